"""What an instance really runs on, and what a reload can change. Nothing here does I/O.

A configuration is a flat table of keys and values. Its digest names the whole of it: an instance
runs on a configuration exactly if both digests are equal. A reload takes over some keys in flight;
where one that needs a restart differs too, the instance runs on a mixture, whose digest equals
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
    """24 hexadecimal digits that stand for the table, whatever order its keys were written in."""
    text = json.dumps(
        values, sort_keys=True, separators=(",", ":"), ensure_ascii=True, allow_nan=True
    )
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def plain(value: Any) -> Any:
    """A setting as JSON has it: enumerations by their values, records as tables, tuples as
    lists.
    """
    if isinstance(
        value,
        contract.Role
        | contract.Idempotency
        | contract.DeduplicationScope
        | contract.LoadReportMode,
    ):
        return value.value
    if isinstance(value, tuple):
        return [plain(v) for v in value]
    if hasattr(value, "__dataclass_fields__"):
        return {f.name: plain(getattr(value, f.name)) for f in fields(value)}
    return value


def settings_values(settings: contract.Settings) -> dict[str, Any]:
    """``settings.KEY``, and ``class.NAME.KEY`` for the traffic classes; their order is a key as
    well.
    """
    found: dict[str, Any] = {"classes": [c.name for c in settings.classes]}
    for key, name in keyed_fields(settings, SETTINGS_KEYS).items():
        if key != "classes":
            found[f"settings.{key}"] = plain(getattr(settings, name))
    for traffic_class in settings.classes:
        for key, name in keyed_fields(traffic_class, CLASS_KEYS).items():
            if key != "name":
                found[f"class.{traffic_class.name}.{key}"] = plain(getattr(traffic_class, name))
    return found


def is_reloadable_setting(key: str) -> bool:
    """Whether new requests can go by another value of this key at once.

    ``repeat`` can't: a booking that is under way must never come to count as safe to repeat.
    """
    kind, _, rest = key.partition(".")
    if kind == "settings":
        return rest in RELOADABLE_SETTINGS_KEYS
    return kind == "class" and rest.rpartition(".")[2] in RELOADABLE_CLASS_KEYS


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The difference between what runs and a new file. ``values``: what runs once ``applied`` is
    in force.
    """

    applied: tuple[str, ...]
    needs_restart: tuple[str, ...]
    values: Mapping[str, Any]

    @property
    def digest(self) -> str:
        return table_digest(self.values)


def classify_changes(
    running: ConfigurationTable, wanted: ConfigurationTable, in_flight: Callable[[str], bool]
) -> ConfigurationChange:
    """Sort the keys that differ into those that a reload takes over and those that need a restart.

    Guards against a mixture of class tables: where the classes themselves differ, no key of a class
    is taken.
    """
    differ = [
        key
        for key in sorted(running.keys() | wanted.keys())
        if (key in running) != (key in wanted) or running.get(key) != wanted.get(key)
    ]
    whole = running.get("classes") == wanted.get("classes")
    taken: list[str] = []
    kept: list[str] = []
    for key in differ:
        fits = (
            key in running
            and key in wanted
            and in_flight(key)
            and (whole or not key.startswith("class."))
        )
        (taken if fits else kept).append(key)
    values = {**running, **{key: wanted[key] for key in taken}}
    return ConfigurationChange(tuple(taken), tuple(kept), values)


def _taken_over(record: Any, keys: Mapping[str, str], in_flight: frozenset[str]) -> dict[str, Any]:
    """The fields of a record that a reload takes over, with their values."""
    named = keyed_fields(record, keys)
    return {named[key]: getattr(record, named[key]) for key in in_flight}


def with_reloaded_keys(running: contract.Settings, wanted: contract.Settings) -> contract.Settings:
    """``running`` with all that is taken over in flight as ``wanted`` has it."""
    classes = running.classes
    if [c.name for c in running.classes] == [c.name for c in wanted.classes]:
        classes = tuple(
            replace(old, **_taken_over(new, CLASS_KEYS, RELOADABLE_CLASS_KEYS))
            for old, new in zip(running.classes, wanted.classes, strict=True)
        )
    more = _taken_over(wanted, SETTINGS_KEYS, RELOADABLE_SETTINGS_KEYS)
    return replace(running, classes=classes, **more)


@dataclass(slots=True)
class RunningConfiguration:
    """What an instance tells of its configuration."""

    values: ConfigurationTable
    generation: int = 0
    needs_restart: tuple[str, ...] = ()  # keys of the newest file that are not in force
    problem: str = ""  # why the last reload was refused
    reloads: int = 0

    def took(self, change: ConfigurationChange, generation: int | None) -> None:
        """The generation is taken on only with the whole of its configuration."""
        self.values, self.needs_restart, self.problem = change.values, change.needs_restart, ""
        self.reloads += 1
        if generation is not None and not change.needs_restart:
            self.generation = generation

    def refused(self, why: str) -> None:
        self.problem = why

    def to_dict(self) -> dict[str, Any]:
        return {
            "digest": table_digest(self.values),
            "generation": self.generation,
            "needs_restart": list(self.needs_restart),
            "problem": self.problem,
            "reloads": self.reloads,
        }
