"""A view of all servers: immutable, numbered, and compared with the one before it. Nothing here
does I/O.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from onyxpass.scheduling import contract
from onyxpass.sources.schema import ServerEntry


def view_digest(entries: Mapping[str, ServerEntry]) -> str:
    """Names what a view holds; where in which file it stands is no part of it."""
    rows = [
        (
            s.id,
            s.kind,
            s.zone,
            s.cell,
            s.started_us,
            s.condition.value,
            s.weight,
            str(entry.address),
        )
        for s, entry in ((entry.server, entry) for _, entry in sorted(entries.items()))
    ]
    return hashlib.blake2b(json.dumps(rows).encode(), digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class MembershipView:
    """``number`` grows with every view that came into force, also over restarts where a snapshot
    is kept.
    """

    number: int
    entries: Mapping[str, ServerEntry]
    digest: str

    @classmethod
    def of(cls, number: int, entries: Iterable[ServerEntry]) -> "MembershipView":
        found = {entry.server.id: entry for entry in entries}
        return cls(number, MappingProxyType(found), view_digest(found))


EMPTY_VIEW = MembershipView.of(0, ())


@dataclass(frozen=True, slots=True)
class ViewDifference:
    """By id. ``moved``: at another address or born again, which makes it a new, cold server."""

    added: tuple[str, ...]
    removed: tuple[str, ...]
    moved: tuple[str, ...]
    weighed: tuple[str, ...]  # only the weight differs
    changed: tuple[str, ...]  # kind, hall, cell or drain

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.moved or self.weighed or self.changed)

    def told(self) -> dict[str, list[str]]:
        names = ("added", "removed", "moved", "weighed", "changed")
        return {name: list(getattr(self, name)) for name in names if getattr(self, name)}


def compare(old: Mapping[str, ServerEntry], new: Mapping[str, ServerEntry]) -> ViewDifference:
    added = tuple(sorted(new.keys() - old.keys()))
    removed = tuple(sorted(old.keys() - new.keys()))
    moved, weighed, changed = [], [], []
    for name in sorted(old.keys() & new.keys()):
        before, after = old[name], new[name]
        if is_another(before, after) or before.server.started_us != after.server.started_us:
            moved.append(name)
        elif before.server == after.server:
            continue
        elif replace(before.server, weight=0.0) == replace(after.server, weight=0.0):
            weighed.append(name)
        else:
            changed.append(name)
    return ViewDifference(added, removed, tuple(moved), tuple(weighed), tuple(changed))


def accepts_new_requests(entry: ServerEntry) -> bool:
    return entry.server.condition is contract.EndpointCondition.UP


def is_another(before: ServerEntry, after: ServerEntry) -> bool:
    """Whether the same id stands for another server now: at another address, or of another kind."""
    return before.address != after.address or before.server.kind != after.server.kind


def born_again(before: ServerEntry, after: ServerEntry, now_us: int) -> ServerEntry:
    """Guards against a server that is new at an old id being taken for the old, warm one."""
    started_us = before.server.started_us
    if is_another(before, after):
        started_us = now_us
    elif after.server.started_us is not None:
        return after
    # What was new lately stays so at the next change of the files, which tell nothing of it.
    return replace(after, server=replace(after.server, started_us=started_us))
