"""Tests of the lease history checkers: a sound history passes, and each check finds its planted fault."""

import json
from pathlib import Path
from typing import Any

import pytest

from onyxpass.history_checkers import history
from onyxpass.history_checkers.history import HistoryLine


def line(at: int, kind: str, **fields: Any) -> HistoryLine:
    all_fields = {"lease": "l", "resource": "r", **fields}
    return HistoryLine(at, kind, "p", 1, all_fields)


def effect(at: int, end: int | None, token: int, holder: str) -> list[HistoryLine]:
    effect_id = f"{holder}-{at}"
    lines = [line(at, "begin", token=token, holder=holder, effect=effect_id)]
    return (
        lines
        if end is None
        else [*lines, line(end, "end", token=token, holder=holder, effect=effect_id)]
    )


def grant(
    requested: int, answered: int | None, token: int, holder: str, number: int = 1
) -> list[HistoryLine]:
    lines = [line(requested, "ask", holder=holder, number=number)]
    if answered is not None:
        lines.append(line(answered, "answer", holder=holder, number=number, token=token))
    return lines


def held_lease(
    at: int, end: int | None, token: int, holder: str, until: int = 0
) -> list[HistoryLine]:
    lines = [line(at, "held", token=token, holder=holder)]
    if end is not None:
        lines.append(line(end, "lost", token=token, holder=holder, until_ns=until or None))
    return lines


SOUND = [
    *effect(10, 20, 1, "a"), *effect(21, 30, 2, "b"), *effect(22, 24, 2, "b"), *effect(40, None, 3, "c"),
    *grant(1, 5, 1, "a"), *grant(2, 20, 2, "b"), *grant(3, None, 0, "x"), *grant(21, 35, 4, "c"),
    *held_lease(5, 19, 1, "a"), *held_lease(20, 34, 2, "b"),
    *held_lease(35, None, 4, "c"), *held_lease(50, 60, 5, "d"),
]  # fmt: skip
PLANTED_FAULTS = {
    "effects apart": [*effect(10, 25, 1, "a"), *effect(20, 30, 2, "b")],
    "effects apart, one without an end": [*effect(10, None, 1, "a"), *effect(20, 30, 2, "b")],
    "tokens grow": [*effect(10, 15, 2, "b"), *effect(20, 30, 1, "a")],
    "tokens grow, one number of two": [*effect(10, 15, 2, "b"), *effect(20, 30, 2, "a")],
    "holders apart": [*held_lease(5, 30, 1, "a"), *held_lease(20, 34, 2, "b")],
    "grants in order": [*grant(1, 5, 2, "a"), *grant(6, 9, 1, "b")],
    "grants in order, one number of two": [*grant(1, 5, 2, "a"), *grant(2, 9, 2, "b")],
}


def in_time_order(lines: list[HistoryLine]) -> list[HistoryLine]:
    return sorted(lines, key=lambda each: each.at_ns)


def test_a_sound_history_passes_all_checks() -> None:
    assert not history.breaches(in_time_order(SOUND))


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_each_checker_finds_its_planted_fault(name: str) -> None:
    found = history.breaches(in_time_order(PLANTED_FAULTS[name]))
    assert found and all(breach.startswith(name.split(",")[0]) for breach in found), found


def test_a_suspended_holder_held_its_lease_until_it_expired_not_until_it_was_resumed() -> None:
    lines = [*held_lease(5, 90, 1, "a", until=18), *held_lease(20, 34, 2, "b")]
    assert not history.breaches(in_time_order(lines), ["holders apart"])


def test_histories_are_read_from_logs_of_many_processes(tmp_path: Path) -> None:
    record = {
        "event": "history",
        "what": "held",
        "at_ns": 5,
        "pid": 7,
        "lease": "l",
        "token": 1,
        "holder": "a",
    }
    (tmp_path / "a.log").write_text(json.dumps({**record, "at_ns": 9}) + "\nnoise\n{}\n{\n")
    (tmp_path / "b.log").write_text("[1.2] " + json.dumps(record) + "\n")
    lines = history.read(sorted(tmp_path.glob("*.log")))
    assert [(each.at_ns, each.source, each["holder"]) for each in lines] == [
        (5, "b.log", "a"),
        (9, "a.log", "a"),
    ]
