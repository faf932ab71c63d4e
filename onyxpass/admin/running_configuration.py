"""The configuration that an instance runs on, and what a reload can change; without I/O.

A configuration is a flat table of keys and values, identified by its digest: an instance runs on a
configuration exactly if both digests are equal. A reload applies some keys without a restart; if a
key that needs a restart differs as well, the instance runs on a mixture, whose digest equals
neither file's.
"""

import hashlib
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields, replace
from typing import Any

from onyxpass.admin.table_keys import CLASS_KEYS, SETTINGS_KEYS, keyed_fields
from onyxpass.scheduling import contract

DIGEST_BYTES = 12
ConfigurationTable = Mapping[str, Any]
RELOADABLE_CLASS_KEYS = frozenset(
    ("aim_us", "deadline_us", "value", "late_worth", "aim_per_k_us", "token_us")
)
RELOADABLE_SETTINGS_KEYS = frozenset(("retry_after", "max_retry_after_us"))


def table_digest(values: ConfigurationTable) -> str:
    """Return the table's digest, 24 hexadecimal digits that do not depend on the order of keys."""
    text = json.dumps(
        values, sort_keys=True, separators=(",", ":"), ensure_ascii=True, allow_nan=True
    )
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def to_json_value(value: Any) -> Any:
    """Convert a setting for JSON: enums to their values, dataclasses to dicts, tuples to lists."""
    if isinstance(
        value,
        contract.Role
        | contract.Idempotency
        | contract.DeduplicationScope
        | contract.LoadReportMode,
    ):
        return value.value
    if isinstance(value, tuple):
        return [to_json_value(v) for v in value]
    if hasattr(value, "__dataclass_fields__"):
        return {f.name: to_json_value(getattr(value, f.name)) for f in fields(value)}
    return value


def settings_values(settings: contract.Settings) -> dict[str, Any]:
    """Return the settings as a flat table.

    The keys are ``settings.KEY``, ``class.NAME.KEY`` for the traffic classes, and ``classes`` for
    the order of the classes.
    """
    values: dict[str, Any] = {"classes": [c.name for c in settings.classes]}
    for key, name in keyed_fields(settings, SETTINGS_KEYS).items():
        if key != "classes":
            values[f"settings.{key}"] = to_json_value(getattr(settings, name))
    for traffic_class in settings.classes:
        for key, name in keyed_fields(traffic_class, CLASS_KEYS).items():
            if key != "name":
                values[f"class.{traffic_class.name}.{key}"] = to_json_value(
                    getattr(traffic_class, name)
                )
    return values


def is_reloadable_setting(key: str) -> bool:
    """Whether a reload can apply a new value of this key to new requests.

    ``repeat`` is not reloadable: a request in progress must never begin to count as safe to repeat.
    """
    section, _, name = key.partition(".")
    if section == "settings":
        return name in RELOADABLE_SETTINGS_KEYS
    return section == "class" and name.rpartition(".")[2] in RELOADABLE_CLASS_KEYS


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The keys that differ between the configuration in force and a new file.

    ``values`` is the configuration in force after the keys in ``applied`` have been applied.
    """

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]
    values: Mapping[str, Any]

    @property
    def digest(self) -> str:
        return table_digest(self.values)


def classify_changes(
    running: ConfigurationTable, wanted: ConfigurationTable, is_reloadable: Callable[[str], bool]
) -> ConfigurationChange:
    """Sort the keys that differ into those that a reload applies and those that need a restart.

    If the list of classes differs, no key of a class is applied, which prevents a mixture of class
    tables.
    """
    differ = [
        key
        for key in sorted(running.keys() | wanted.keys())
        if (key in running) != (key in wanted) or running.get(key) != wanted.get(key)
    ]
    same_classes = running.get("classes") == wanted.get("classes")
    applied: list[str] = []
    needs_restart: list[str] = []
    for key in differ:
        is_applied = (
            key in running
            and key in wanted
            and is_reloadable(key)
            and (same_classes or not key.startswith("class."))
        )
        (applied if is_applied else needs_restart).append(key)
    values = {**running, **{key: wanted[key] for key in applied}}
    return ConfigurationChange(tuple(applied), tuple(needs_restart), values)


def _reloadable_values(
    record: Any, keys: Mapping[str, str], reloadable: frozenset[str]
) -> dict[str, Any]:
    """Return the reloadable fields of a record with their values."""
    named = keyed_fields(record, keys)
    return {named[key]: getattr(record, named[key]) for key in reloadable}


def with_reloaded_keys(running: contract.Settings, wanted: contract.Settings) -> contract.Settings:
    """Return ``running`` with the reloadable values of ``wanted``."""
    classes = running.classes
    if [c.name for c in running.classes] == [c.name for c in wanted.classes]:
        classes = tuple(
            replace(old, **_reloadable_values(new, CLASS_KEYS, RELOADABLE_CLASS_KEYS))
            for old, new in zip(running.classes, wanted.classes, strict=True)
        )
    settings = _reloadable_values(wanted, SETTINGS_KEYS, RELOADABLE_SETTINGS_KEYS)
    return replace(running, classes=classes, **settings)


@dataclass(slots=True)
class RunningConfiguration:
    """What an instance reports about its configuration."""

    values: ConfigurationTable
    generation: int = 0
    needs_restart: tuple[str, ...] = ()  # keys that differ in the newest file but are not in force
    problem: str = ""  # why the last reload was rejected, empty if it was not
    reloads: int = 0

    def record_reload(self, change: ConfigurationChange, generation: int | None) -> None:
        """Record an applied reload.

        ``generation`` comes into force only if no key of its configuration needs a restart.
        """
        self.values, self.needs_restart, self.problem = change.values, change.needs_restart, ""
        self.reloads += 1
        if generation is not None and not change.needs_restart:
            self.generation = generation

    def record_rejection(self, why: str) -> None:
        self.problem = why

    def to_dict(self) -> dict[str, Any]:
        return {
            "digest": table_digest(self.values),
            "generation": self.generation,
            "needs_restart": list(self.needs_restart),
            "problem": self.problem,
            "reloads": self.reloads,
        }
