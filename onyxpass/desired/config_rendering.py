"""Renders a dispatcher's configuration from a base and the desired values, without I/O.

A key is the path of a value in the platform's JSON, such as ``limits.sockets`` or
``settings.grades.NAME.promiseUs``; a row of a list is selected by its ``name``. A key without a
place in the base raises StateError, so that nothing is rendered.
"""

import copy
from collections.abc import Mapping
from typing import Any

from onyxpass.desired.state import StateError


def render_config(base: Mapping[str, Any], values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the base with all values set; StateError with the key that has no place in it."""
    config = copy.deepcopy(dict(base))
    for key, value in values.items():
        _set_value(config, key, value)
    return config


def _set_value(config: dict[str, Any], key: str, value: Any) -> None:
    *path, last = key.split(".")
    table: Any = config
    for part in path:
        table = _child(table, part, key)
    if not isinstance(table, dict):
        raise StateError(key, "its parent is not a table")
    table[last] = value


def _child(table: Any, part: str, key: str) -> Any:
    if isinstance(table, list):
        for row in table:
            if isinstance(row, dict) and row.get("name") == part:
                return row
        raise StateError(key, f"no row named {part!r}")
    if isinstance(table, dict) and isinstance(table.get(part), dict | list):
        return table[part]
    raise StateError(key, f"no table {part!r}")
