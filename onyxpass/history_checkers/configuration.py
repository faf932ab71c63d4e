"""Checks how a desired configuration spread over its nodes, from the nodes' logs."""

import json
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from onyxpass.history_checkers.json_lines import read_objects


@dataclass(frozen=True, slots=True)
class NodeEvent:
    """A change that a node ordered, merged or brought in force, from one line of its log.

    ``seen``: for each origin, the number of its latest change that the node had received.
    """

    at_ns: int
    node: str
    kind: str
    digest: str
    seen: Mapping[str, int]


EVENT_KINDS = ("ordered", "merged", "configuration_in_force")


def read(files: Iterable[Path]) -> list[NodeEvent]:
    """Return the node events of these logs in order of time; skip all other lines."""
    found = [
        NodeEvent(raw["at_ns"], raw["node"], raw["event"], raw["digest"], raw["seen"])
        for _, raw in read_objects(files)
        if raw.get("event") in EVENT_KINDS and "seen" in raw
    ]
    return sorted(found, key=lambda event: event.at_ns)


def regressions(events: Sequence[NodeEvent]) -> Iterable[str]:
    """Yield nodes whose configuration in force lost a change that was in force before.

    A node that was restarted counts as the same node.
    """
    last: dict[str, NodeEvent] = {}
    for event in events:
        if event.kind != "configuration_in_force":
            continue
        before = last.get(event.node)
        if before is not None and any(event.seen.get(o, 0) < n for o, n in before.seen.items()):
            yield f"{event.node} went back from {dict(before.seen)} to {dict(event.seen)}"
        last[event.node] = event


def outdated_hosts(events: Sequence[NodeEvent], hosts: Iterable[str]) -> Iterable[str]:
    """Yield hosts whose last configuration lacks an ordered change, and digests that differ."""
    ends: dict[str, NodeEvent] = {
        event.node: event for event in events if event.kind == "configuration_in_force"
    }
    ordered: dict[str, int] = {}
    for event in events:
        if event.kind == "ordered":
            for origin, number in event.seen.items():
                ordered[origin] = max(number, ordered.get(origin, 0))
    digests = {ends[host].digest for host in hosts if host in ends}
    if len(digests) > 1:
        yield f"hosts differ: {sorted(digests)}"
    for host in hosts:
        if host not in ends:
            yield f"{host} has nothing in force"
        elif missed := {o: n for o, n in ordered.items() if ends[host].seen.get(o, 0) < n}:
            yield f"{host} missed {missed}"


def digest_conflicts(events: Sequence[NodeEvent]) -> Iterable[str]:
    """Yield nodes that received the same changes and have different digests."""
    found: dict[str, NodeEvent] = {}
    for event in events:
        key = json.dumps(sorted(event.seen.items()))
        other = found.setdefault(key, event)
        if other.digest != event.digest:
            digests = f"{event.digest}, {other.digest}"
            yield f"{event.node} and {other.node} have the same changes and digests {digests}"


def propagation_times_s(events: Sequence[NodeEvent], hosts: Iterable[str]) -> list[float]:
    """Return the seconds from each order until the last host had it in force.

    Orders that did not come into force on every host are left out.
    """
    found = []
    all_hosts = set(hosts)
    for order in (event for event in events if event.kind == "ordered"):
        first: dict[str, int] = {}
        for event in events:
            covered = all(event.seen.get(o, 0) >= n for o, n in order.seen.items())
            if event.kind == "configuration_in_force" and covered and event.at_ns >= order.at_ns:
                first.setdefault(event.node, event.at_ns)
        if all_hosts <= first.keys():
            found.append((max(first[host] for host in all_hosts) - order.at_ns) / 1e9)
    return found
