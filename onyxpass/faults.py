"""What is wrong with the platform's settings, each fault with its key and reason."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeGuard

ROLES = ("read", "write", "both")
REPEATS = ("read_like", "idempotency_key", "non_idempotent")
GROUPS = ("all", "zone", "cell")
REPORTS = ("inline", "on_probe", "off")
# Figures that may not be negative, by the table that holds them; where one is absent, a default counts.
FIGURES: Mapping[str, Sequence[str]] = {
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


@dataclass(frozen=True, slots=True)
class Fault:
    key: str
    reason: str
    grave: bool = True  # no dispatcher can run with it; else it has a reading that is on the safe side

    def __str__(self) -> str:
        return f"{self.key}: {self.reason}"


def number(value: Any) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool) and value == value


def faults(conf: Mapping[str, Any], sockets: Any = None) -> Iterator[Fault]:
    """All that is wrong with a ``settings`` object, and with ``limits.sockets`` beside it."""
    if sockets is not None and (not number(sockets) or sockets < 0):
        yield Fault("limits.sockets", f"must be a number, 0 at least, not {sockets!r}")
    for table, keys in FIGURES.items():
        held = conf.get(table)
        if held is None:
            continue
        if not isinstance(held, Mapping):
            yield Fault(f"settings.{table}", "must be an object")
            continue
        for key in keys:
            value = held.get(key)
            if value is not None and (not number(value) or value < 0):
                yield Fault(f"settings.{table}.{key}", f"must be a number, 0 at least, not {value!r}")
    limits = conf.get("limits") if isinstance(conf.get("limits"), Mapping) else {}
    most = (limits or {}).get("maxAttempts")
    if most is not None and (not number(most) or most < 1):
        yield Fault("settings.limits.maxAttempts", f"must be 1 at least, not {most!r}")
    if (peers := conf.get("peersTotal")) is not None and (not number(peers) or peers < 1):
        yield Fault("settings.peersTotal", f"must be 1 at least, not {peers!r}", not number(peers))
    grades = conf.get("grades")
    if not isinstance(grades, list) or not grades:
        yield Fault("settings.grades", "no class of requests is told", grades is not None and grades != [])
        return
    yield from in_classes(grades)
    yield from in_kinds(conf, len(grades))
    how = (conf.get("stats") or {}).get("how")
    if how is not None and how not in REPORTS:
        yield Fault("settings.stats.how", f"must be one of {', '.join(REPORTS)}, not {how!r}", False)


def in_classes(grades: Sequence[Any]) -> Iterator[Fault]:
    names: list[str] = []
    for place, grade in enumerate(grades):
        at = f"settings.grades[{place}]"
        if not isinstance(grade, Mapping):
            yield Fault(at, "must be an object")
            continue
        if not (name := grade.get("name")):
            yield Fault(f"{at}.name", "is absent")
        elif name in names:
            yield Fault(f"{at}.name", f"{name!r} stands there twice", False)
        names.append(str(name))
        for key in ("promiseUs", "deadlineUs"):
            value = grade.get(key)
            if not number(value) or value <= 0:
                told = "is absent" if value is None else f"must be above 0, not {value!r}"
                yield Fault(f"{at}.{key}", told)
        for key in ("windowUs", "value", "lateWorth"):
            value = grade.get(key)
            if value is not None and (not number(value) or value < 0):
                yield Fault(f"{at}.{key}", f"must be a number, 0 at least, not {value!r}")
        repeat, group = grade.get("repeat"), grade.get("group")
        if repeat not in REPEATS:
            yield Fault(f"{at}.repeat", f"must be one of {', '.join(REPEATS)}, not {repeat!r}", False)
        if group is not None and group not in GROUPS:
            yield Fault(f"{at}.group", f"must be one of {', '.join(GROUPS)}, not {group!r}", False)
        window, deadline = grade.get("windowUs") or 0, grade.get("deadlineUs") or 0
        if repeat == REPEATS[1] and number(window) and number(deadline) and window > deadline:
            yield Fault(f"{at}.windowUs", f"{window} is longer than deadlineUs, {deadline}", False)


def in_kinds(conf: Mapping[str, Any], classes: int) -> Iterator[Fault]:
    extra = conf.get("extra")
    if not isinstance(extra, Mapping):
        return
    kinds = conf.get("hostTypes") or []
    for place, role in enumerate(extra.get("roleByKind") or []):
        if role not in ROLES:
            told = f"must be one of {', '.join(ROLES)}, not {role!r}"
            yield Fault(f"settings.extra.roleByKind[{place}]", told, False)
    for key, count, what in (
        ("roleByKind", len(kinds), "kinds"),
        ("tokensByKind", len(kinds), "kinds"),
        ("tokenAimUs", classes, "classes"),
        ("aimUsPer1000PromptTokens", classes, "classes"),
    ):
        if (row := extra.get(key)) is not None and len(row) != count:
            told = f"{len(row)} figures for {count} {what}"
            yield Fault(f"settings.extra.{key}", told, False)
