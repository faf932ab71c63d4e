"""Histories of many processes, read together after the fact, and what must hold of them.

Each process writes lines of its log with the event ``history``: when, by a clock that the processes
of a host share, what, of which lease and token, and how it ended. What has no end in any line is
unknown.

| line | by whom | of it |
| --- | --- | --- |
| ``ask``, ``answer`` | who wants a lease | its ``number``; the answer's ``token`` if granted |
| ``held``, ``lost`` | its holder | the token under which it may act, and from when on no more |
| ``begin``, ``end``, ``refused`` | a resource | an effect under a token: ``effect`` is its id |
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path
from typing import Any

from onyxpass.history_checkers.json_lines import read_objects


@dataclass(frozen=True, slots=True)
class HistoryLine:
    """One history line of one process; ``fields`` are those of its kind."""

    at_ns: int
    kind: str
    source: str  # the file that it stood in: one process, in all its lives
    pid: int
    fields: Mapping[str, Any]

    def __getitem__(self, name: str) -> Any:
        return self.fields.get(name)


def read(files: Iterable[Path]) -> list[HistoryLine]:
    """Return all history lines of these logs by time; whatever else stands there is left out."""
    found = [
        HistoryLine(int(raw["at_ns"]), str(raw["what"]), path.name, int(raw["pid"]), raw)
        for path, raw in read_objects(files)
        if raw.get("event") == "history"
    ]
    return sorted(found, key=lambda line: line.at_ns)


def by(lines: Iterable[HistoryLine], *names: str) -> dict[tuple[Any, ...], list[HistoryLine]]:
    """Group lines by these fields, in the order in which they came."""
    groups: dict[tuple[Any, ...], list[HistoryLine]] = defaultdict(list)
    for line in lines:
        groups[tuple(line[name] for name in names)].append(line)
    return groups


def effects_apart(lines: list[HistoryLine]) -> Iterable[str]:
    """Find effects of two tokens that overlapped at a resource.

    One without an end lasts to the end of all.
    """
    mine = [line for line in lines if line.kind in ("begin", "end")]
    for (resource, lease), group in by(mine, "resource", "lease").items():
        running: dict[str, HistoryLine] = {}
        for line in group:
            if line.kind == "end":
                running.pop(line["effect"], None)
                continue
            for other in running.values():
                if (other["token"], other["holder"]) != (line["token"], line["holder"]):
                    yield (
                        f"{resource}: {line['holder']} began under token {line['token']} of "
                        f"{lease} while {other['holder']}'s effect of token {other['token']} was "
                        "under way"
                    )
            running[line["effect"]] = line


def tokens_grow(lines: list[HistoryLine]) -> Iterable[str]:
    """Find tokens that fell at a resource, and numbers that two holders had there."""
    for (resource, lease), group in by(
        (x for x in lines if x.kind == "begin"), "resource", "lease"
    ).items():
        last: HistoryLine | None = None
        for line in group:
            if last is not None and line["token"] < last["token"]:
                after = f"was let in after {last['token']}"
                yield f"{resource}: token {line['token']} of {lease} {after}"
            elif (
                last is not None
                and line["token"] == last["token"]
                and line["holder"] != last["holder"]
            ):
                both = f"{last['holder']}'s and {line['holder']}'s"
                yield f"{resource}: token {line['token']} of {lease} is {both}"
            last = line


def holders_apart(lines: list[HistoryLine]) -> Iterable[str]:
    """Find two holders at once, by their own account.

    Of one that was killed nothing more is known.
    """
    for (lease,), group in by((x for x in lines if x.kind in ("held", "lost")), "lease").items():
        spans: list[tuple[int, int, HistoryLine]] = []
        for line in (x for x in group if x.kind == "held"):
            end = next(
                (
                    other["until_ns"] or other.at_ns
                    for other in group
                    if other.kind == "lost"
                    and other["holder"] == line["holder"]
                    and other["token"] == line["token"]
                ),
                line.at_ns,
            )
            spans.append((line.at_ns, int(end), line))
        spans.sort(key=lambda span: span[0])
        for (_, end, first), (began, _, second) in pairwise(spans):
            if began < end:
                yield (
                    f"{lease}: {second['holder']} held token {second['token']} while "
                    f"{first['holder']} held {first['token']}"
                )


def grants_in_order(lines: list[HistoryLine]) -> Iterable[str]:
    """Find grants by which the lease, as a register that only grows, is not linearizable.

    A grant that was answered before another was asked for has the smaller token; none is granted to
    two. What was asked and never answered may or may not have taken a number, so numbers may be
    missing.
    """
    for (lease,), group in by((x for x in lines if x.kind in ("ask", "answer")), "lease").items():
        asked = {(x["holder"], x["number"]): x.at_ns for x in group if x.kind == "ask"}
        grants = [
            (
                asked.get((x["holder"], x["number"]), x.at_ns),
                x.at_ns,
                int(x["token"]),
                str(x["holder"]),
            )
            for x in group
            if x.kind == "answer" and x["token"]
        ]
        owners: dict[int, str] = {}
        for _, _, token, holder in grants:
            if owners.setdefault(token, holder) != holder:
                yield f"{lease}: token {token} was granted to {owners[token]} and to {holder}"
        highest = 0  # of those answered so far
        moments = sorted(
            [(end, 0, token) for _, end, token, _ in grants] + [(s, 1, t) for s, _, t, _ in grants]
        )
        for _, kind, token in moments:
            if kind == 0:
                highest = max(highest, token)
            elif token < highest:
                yield f"{lease}: token {token} was granted after {highest} had been answered"


CHECKS: dict[str, Callable[[list[HistoryLine]], Iterable[str]]] = {
    "effects apart": effects_apart,
    "tokens grow": tokens_grow,
    "holders apart": holders_apart,
    "grants in order": grants_in_order,
}


def breaches(lines: list[HistoryLine], checks: Iterable[str] = tuple(CHECKS)) -> list[str]:
    """Return every breach, with the name of what does not hold."""
    return [f"{name}: {breach}" for name in checks for breach in CHECKS[name](lines)]
