"""What must hold of the desired configuration at many nodes, read from their logs."""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from onyxpass.history_checkers.json_lines import read_objects


@dataclass(frozen=True, slots=True)
class NodeEvent:
    """One line of a node's log: what it ordered, merged or brought in force.

    ``seen``: the changes that it had seen by then, by origin.
    """

    at_ns: int
    node: str
    kind: str
    digest: str
    seen: Mapping[str, int]


WORDS = ("ordered", "merged", "configuration_in_force")


def read(files: Iterable[Path]) -> list[NodeEvent]:
    """Return all such lines by time; a line that is cut off or of another kind is left out."""
    found = [
        NodeEvent(raw["at_ns"], raw["node"], raw["event"], raw["digest"], raw["seen"])
        for _, raw in read_objects(files)
        if raw.get("event") in WORDS and "seen" in raw
    ]
    return sorted(found, key=lambda word: word.at_ns)


def regressions(words: Sequence[NodeEvent]) -> Iterable[str]:
    """Find nodes that brought in force what lacks a change that they had in force before.

    A node is the same in all its lives.
    """
    last: dict[str, NodeEvent] = {}
    for word in words:
        if word.kind != "configuration_in_force":
            continue
        before = last.get(word.node)
        if before is not None and any(word.seen.get(o, 0) < n for o, n in before.seen.items()):
            yield f"{word.node} went back from {dict(before.seen)} to {dict(word.seen)}"
        last[word.node] = word


def outdated_hosts(words: Sequence[NodeEvent], hosts: Iterable[str]) -> Iterable[str]:
    """Find hosts that in the end lack a change that was ordered, or differ from others."""
    ends: dict[str, NodeEvent] = {
        word.node: word for word in words if word.kind == "configuration_in_force"
    }
    ordered: dict[str, int] = {}
    for word in words:
        if word.kind == "ordered":
            for origin, number in word.seen.items():
                ordered[origin] = max(number, ordered.get(origin, 0))
    digests = {ends[host].digest for host in hosts if host in ends}
    if len(digests) > 1:
        yield f"hosts differ: {sorted(digests)}"
    for host in hosts:
        if host not in ends:
            yield f"{host} has nothing in force"
        elif missed := {o: n for o, n in ordered.items() if ends[host].seen.get(o, 0) < n}:
            yield f"{host} missed {missed}"


def digest_conflicts(words: Sequence[NodeEvent]) -> Iterable[str]:
    """Find nodes that have seen the same changes and hold another state."""
    found: dict[str, NodeEvent] = {}
    for word in words:
        key = json.dumps(sorted(word.seen.items()))
        other = found.setdefault(key, word)
        if other.digest != word.digest:
            digests = f"{word.digest}, {other.digest}"
            yield f"{word.node} and {other.node} have seen the same and hold {digests}"


def propagation_times_s(words: Sequence[NodeEvent], hosts: Iterable[str]) -> list[float]:
    """Return for each order the seconds until the last host had it in force.

    Orders that were never in force everywhere are left out.
    """
    found = []
    everyone = set(hosts)
    for order in (word for word in words if word.kind == "ordered"):
        first: dict[str, int] = {}
        for word in words:
            covered = all(word.seen.get(o, 0) >= n for o, n in order.seen.items())
            if word.kind == "configuration_in_force" and covered and word.at_ns >= order.at_ns:
                first.setdefault(word.node, word.at_ns)
        if everyone <= first.keys():
            found.append((max(first[host] for host in everyone) - order.at_ns) / 1e9)
    return found
