"""Reads the lease histories of many processes from their logs and checks them together.

A history line is a log line with the event ``history``. It carries a time in nanoseconds of a clock
that the processes of a host share, its kind, and the lease, token and result that belong to it. An
operation with no line that ends it has an unknown result.

| line | written by | contents |
| --- | --- | --- |
| ``ask``, ``answer`` | a client that requests a lease | ``number``; the ``token`` if granted |
| ``held``, ``lost`` | the holder | the token it may act under, and when that right ended |
| ``begin``, ``end``, ``refused`` | a resource | an effect under a token; ``effect`` is its id |
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
    """One history line of one process; ``fields`` holds the fields of its kind."""

    at_ns: int
    kind: str
    source: str  # name of the log file; a process that is restarted keeps its file
    pid: int
    fields: Mapping[str, Any]

    def __getitem__(self, name: str) -> Any:
        return self.fields.get(name)


def read(files: Iterable[Path]) -> list[HistoryLine]:
    """Return the history lines of these logs in order of time; skip all other lines."""
    found = [
        HistoryLine(int(raw["at_ns"]), str(raw["what"]), path.name, int(raw["pid"]), raw)
        for path, raw in read_objects(files)
        if raw.get("event") == "history"
    ]
    return sorted(found, key=lambda line: line.at_ns)


def group_by(lines: Iterable[HistoryLine], *names: str) -> dict[tuple[Any, ...], list[HistoryLine]]:
    """Group lines by the values of these fields; each group keeps the order of the lines."""
    groups: dict[tuple[Any, ...], list[HistoryLine]] = defaultdict(list)
    for line in lines:
        groups[tuple(line[name] for name in names)].append(line)
    return groups


def overlapping_effects(lines: list[HistoryLine]) -> Iterable[str]:
    """Yield effects of different tokens or holders that overlapped at a resource.

    An effect with no ``end`` line lasts to the end of the history.
    """
    effect_lines = [line for line in lines if line.kind in ("begin", "end")]
    for (resource, lease), group in group_by(effect_lines, "resource", "lease").items():
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


def token_regressions(lines: list[HistoryLine]) -> Iterable[str]:
    """Yield tokens that decreased at a resource, and tokens that two holders used in turn there."""
    for (resource, lease), group in group_by(
        (x for x in lines if x.kind == "begin"), "resource", "lease"
    ).items():
        last: HistoryLine | None = None
        for line in group:
            if last is not None and line["token"] < last["token"]:
                after = f"was admitted after {last['token']}"
                yield f"{resource}: token {line['token']} of {lease} {after}"
            elif (
                last is not None
                and line["token"] == last["token"]
                and line["holder"] != last["holder"]
            ):
                both = f"{last['holder']}'s and {line['holder']}'s"
                yield f"{resource}: token {line['token']} of {lease} is {both}"
            last = line


def overlapping_holders(lines: list[HistoryLine]) -> Iterable[str]:
    """Yield holders that held a lease at the same time according to their own lines.

    A holder with no ``lost`` line, such as one that was killed, counts as a holder only at the
    moment of its ``held`` line, because nothing more is known of it.
    """
    for (lease,), group in group_by(
        (x for x in lines if x.kind in ("held", "lost")), "lease"
    ).items():
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


def misordered_grants(lines: list[HistoryLine]) -> Iterable[str]:
    """Yield grants that contradict linearizability of the lease as a register that only grows.

    A grant that was answered before another was requested must have the smaller token, and no token
    may be granted to two holders. A request with no answer may or may not have used up a token, so
    tokens may be missing.
    """
    for (lease,), group in group_by(
        (x for x in lines if x.kind in ("ask", "answer")), "lease"
    ).items():
        requested = {(x["holder"], x["number"]): x.at_ns for x in group if x.kind == "ask"}
        grants = [
            (
                requested.get((x["holder"], x["number"]), x.at_ns),
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
        highest = 0  # of the grants answered so far
        moments = sorted(
            [(end, 0, token) for _, end, token, _ in grants] + [(s, 1, t) for s, _, t, _ in grants]
        )
        for _, kind, token in moments:
            if kind == 0:
                highest = max(highest, token)
            elif token < highest:
                yield f"{lease}: token {token} was granted after {highest} had been answered"


CHECKS: dict[str, Callable[[list[HistoryLine]], Iterable[str]]] = {
    "effects apart": overlapping_effects,
    "tokens grow": token_regressions,
    "holders apart": overlapping_holders,
    "grants in order": misordered_grants,
}


def breaches(lines: list[HistoryLine], checks: Iterable[str] = tuple(CHECKS)) -> list[str]:
    """Return every breach that these checks find, each prefixed with the name of its check."""
    return [f"{name}: {breach}" for name in checks for breach in CHECKS[name](lines)]
