"""The checkers of histories: what is sound passes, and each planted fault is found by its own
checker.
"""

import json
from pathlib import Path
from typing import Any

import pytest

from onyxpass.history_checkers import history
from onyxpass.history_checkers.history import HistoryLine


def line(at: int, what: str, **fields: Any) -> HistoryLine:
    told = {"lease": "l", "resource": "r", **fields}
    return HistoryLine(at, what, "p", 1, told)


def effect(at: int, end: int | None, token: int, holder: str) -> list[HistoryLine]:
    id = f"{holder}-{at}"
    found = [line(at, "begin", token=token, holder=holder, effect=id)]
    return (
        found if end is None else [*found, line(end, "end", token=token, holder=holder, effect=id)]
    )


def grant(
    asked: int, answered: int | None, token: int, holder: str, number: int = 1
) -> list[HistoryLine]:
    found = [line(asked, "ask", holder=holder, number=number)]
    if answered is not None:
        found.append(line(answered, "answer", holder=holder, number=number, token=token))
    return found


def hold(at: int, end: int | None, token: int, holder: str, until: int = 0) -> list[HistoryLine]:
    found = [line(at, "held", token=token, holder=holder)]
    if end is not None:
        found.append(line(end, "lost", token=token, holder=holder, until_ns=until or None))
    return found


SOUND = [
    *effect(10, 20, 1, "a"), *effect(21, 30, 2, "b"), *effect(22, 24, 2, "b"), *effect(40, None, 3, "c"),
    *grant(1, 5, 1, "a"), *grant(2, 20, 2, "b"), *grant(3, None, 0, "x"), *grant(21, 35, 4, "c"),
    *hold(5, 19, 1, "a"), *hold(20, 34, 2, "b"), *hold(35, None, 4, "c"), *hold(50, 60, 5, "d"),
]  # fmt: skip
PLANTED = {
    "effects apart": [*effect(10, 25, 1, "a"), *effect(20, 30, 2, "b")],
    "effects apart, one without an end": [*effect(10, None, 1, "a"), *effect(20, 30, 2, "b")],
    "tokens grow": [*effect(10, 15, 2, "b"), *effect(20, 30, 1, "a")],
    "tokens grow, one number of two": [*effect(10, 15, 2, "b"), *effect(20, 30, 2, "a")],
    "holders apart": [*hold(5, 30, 1, "a"), *hold(20, 34, 2, "b")],
    "grants in order": [*grant(1, 5, 2, "a"), *grant(6, 9, 1, "b")],
    "grants in order, one number of two": [*grant(1, 5, 2, "a"), *grant(2, 9, 2, "b")],
}


def ordered(lines: list[HistoryLine]) -> list[HistoryLine]:
    return sorted(lines, key=lambda each: each.at_ns)


def test_a_sound_history_passes_all_checks() -> None:
    assert not history.breaches(ordered(SOUND))


@pytest.mark.parametrize("name", PLANTED)
def test_each_checker_finds_its_planted_fault(name: str) -> None:
    found = history.breaches(ordered(PLANTED[name]))
    assert found and all(breach.startswith(name.split(",")[0]) for breach in found), found


def test_a_holder_that_was_stopped_lost_it_when_its_time_was_over_not_when_it_woke() -> None:
    lines = [*hold(5, 90, 1, "a", until=18), *hold(20, 34, 2, "b")]
    assert not history.breaches(ordered(lines), ["holders apart"])


def test_histories_are_read_from_logs_of_many_processes(tmp_path: Path) -> None:
    told = {
        "event": "history",
        "what": "held",
        "at_ns": 5,
        "pid": 7,
        "lease": "l",
        "token": 1,
        "holder": "a",
    }
    (tmp_path / "a.log").write_text(json.dumps({**told, "at_ns": 9}) + "\nnoise\n{}\n{\n")
    (tmp_path / "b.log").write_text("[1.2] " + json.dumps(told) + "\n")
    lines = history.read(sorted(tmp_path.glob("*.log")))
    assert [(x.at_ns, x.source, x["holder"]) for x in lines] == [
        (5, "b.log", "a"),
        (9, "a.log", "a"),
    ]
