"""Validation of the platform's settings: each fault with its key and reason.

A fault is fatal if no dispatcher can run with it. A value with any other fault is read in the safe
sense, and rejected by strict callers. Keys are those of the platform's documentation.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeGuard

from onyxpass.config.settings import IDEMPOTENCY_OF_KEY, LOAD_REPORT_MODE_OF_KEY, ROLE_OF_KEY
from onyxpass.scheduling import contract

DEDUPLICATION_SCOPES = tuple(scope.value for scope in contract.DeduplicationScope)
# Numbers that must not be negative, by their table; an absent one has a default.
NON_NEGATIVE_KEYS: Mapping[str, Sequence[str]] = {
    "limits": [
        "connIdleUs",
        "connectTimeoutUs",
        "cpuUsPerRequest",
        "cpuUsPerS",
        "maxRetryAfterUs",
        "mostHeld",
    ],
    "rules": [
        "askWithinUs",
        "coldFrom",
        "coldUs",
        "drainGraceUs",
        "fallUs",
        "graceToAnswerUs",
        "tipMultiple",
    ],
    "extra": ["releaseWithinUs", "farPrice"],
    "prices": ["probe", "handshake", "waste", "lateFail"],
    "goal": ["whole", "worstClass", "worstTenant", "worstWindow"],
}
REQUIRED_DURATION_KEYS = ("promiseUs", "deadlineUs")
NON_NEGATIVE_CLASS_KEYS = ("windowUs", "value", "lateWorth")


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault of the settings; ``key`` is a dotted path."""

    key: str
    reason: str
    fatal: bool = True

    def __str__(self) -> str:
        return f"{self.key}: {self.reason}"


def is_number(value: Any) -> TypeGuard[float]:
    """Return whether the value is a number, which neither a bool nor NaN is."""
    return isinstance(value, int | float) and not isinstance(value, bool) and value == value


def find_faults(settings: Mapping[str, Any], sockets: Any = None) -> Iterator[SettingsFault]:
    """Yield all faults of a settings object and of its file's number of sockets."""
    yield from _unless_non_negative("limits.sockets", sockets)
    yield from _faults_in_tables(settings)
    yield from _faults_in_counts(settings)
    classes = settings.get("grades")
    if not isinstance(classes, list) or not classes:
        absent = classes is None or classes == []
        reason = "no class of requests is configured"
        yield SettingsFault("settings.grades", reason, fatal=not absent)
        return
    yield from _faults_in_classes(classes)
    yield from _faults_in_kinds(settings, len(classes))
    mode = (settings.get("stats") or {}).get("how")
    if mode is not None:
        yield from _unless_one_of("settings.stats.how", mode, LOAD_REPORT_MODE_OF_KEY)


def _unless_non_negative(key: str, value: Any) -> Iterator[SettingsFault]:
    if value is not None and (not is_number(value) or value < 0):
        yield SettingsFault(key, f"must be a number, 0 at least, not {value!r}")


def _unless_one_of(key: str, value: Any, allowed: Iterable[str]) -> Iterator[SettingsFault]:
    # A tuple instead of a set, since the value may be an unhashable list or table.
    if value not in tuple(allowed):
        reason = f"must be one of {', '.join(allowed)}, not {value!r}"
        yield SettingsFault(key, reason, fatal=False)


def _faults_in_tables(settings: Mapping[str, Any]) -> Iterator[SettingsFault]:
    for table, keys in NON_NEGATIVE_KEYS.items():
        values = settings.get(table)
        if values is None:
            continue
        if not isinstance(values, Mapping):
            yield SettingsFault(f"settings.{table}", "must be an object")
            continue
        for key in keys:
            yield from _unless_non_negative(f"settings.{table}.{key}", values.get(key))


def _faults_in_counts(settings: Mapping[str, Any]) -> Iterator[SettingsFault]:
    limits = settings.get("limits")
    attempts = limits.get("maxAttempts") if isinstance(limits, Mapping) else None
    if attempts is not None and (not is_number(attempts) or attempts < 1):
        reason = f"must be 1 at least, not {attempts!r}"
        yield SettingsFault("settings.limits.maxAttempts", reason)
    routers = settings.get("peersTotal")
    if routers is not None and (not is_number(routers) or routers < 1):
        reason = f"must be 1 at least, not {routers!r}"
        yield SettingsFault("settings.peersTotal", reason, fatal=not is_number(routers))


def _faults_in_classes(classes: Sequence[Any]) -> Iterator[SettingsFault]:
    names: list[str] = []
    for index, traffic_class in enumerate(classes):
        at = f"settings.grades[{index}]"
        if not isinstance(traffic_class, Mapping):
            yield SettingsFault(at, "must be an object")
            continue
        name = traffic_class.get("name")
        if not name:
            yield SettingsFault(f"{at}.name", "is absent")
        elif name in names:
            yield SettingsFault(f"{at}.name", f"{name!r} stands there twice", fatal=False)
        names.append(str(name))
        yield from _faults_in_class(at, traffic_class)


def _faults_in_class(at: str, traffic_class: Mapping[str, Any]) -> Iterator[SettingsFault]:
    for key in REQUIRED_DURATION_KEYS:
        value = traffic_class.get(key)
        if value is None:
            yield SettingsFault(f"{at}.{key}", "is absent")
        elif not is_number(value) or value <= 0:
            yield SettingsFault(f"{at}.{key}", f"must be above 0, not {value!r}")
    for key in NON_NEGATIVE_CLASS_KEYS:
        yield from _unless_non_negative(f"{at}.{key}", traffic_class.get(key))
    idempotency = traffic_class.get("repeat")
    yield from _unless_one_of(f"{at}.repeat", idempotency, IDEMPOTENCY_OF_KEY)
    scope = traffic_class.get("group")
    if scope is not None:
        yield from _unless_one_of(f"{at}.group", scope, DEDUPLICATION_SCOPES)
    window = traffic_class.get("windowUs") or 0
    deadline = traffic_class.get("deadlineUs") or 0
    keyed = IDEMPOTENCY_OF_KEY.get(str(idempotency)) is contract.Idempotency.KEYED
    if keyed and is_number(window) and is_number(deadline) and window > deadline:
        reason = f"{window} is longer than deadlineUs, {deadline}"
        yield SettingsFault(f"{at}.windowUs", reason, fatal=False)


def _faults_in_kinds(settings: Mapping[str, Any], classes: int) -> Iterator[SettingsFault]:
    extra = settings.get("extra")
    if not isinstance(extra, Mapping):
        return
    kinds = len(settings.get("hostTypes") or [])
    for index, role in enumerate(extra.get("roleByKind") or []):
        yield from _unless_one_of(f"settings.extra.roleByKind[{index}]", role, ROLE_OF_KEY)
    for key, expected, counted in (
        ("roleByKind", kinds, "kinds"),
        ("tokensByKind", kinds, "kinds"),
        ("tokenAimUs", classes, "classes"),
        ("aimUsPer1000PromptTokens", classes, "classes"),
    ):
        values = extra.get(key)
        if values is not None and len(values) != expected:
            reason = f"{len(values)} figures for {expected} {counted}"
            yield SettingsFault(f"settings.extra.{key}", reason, fatal=False)
