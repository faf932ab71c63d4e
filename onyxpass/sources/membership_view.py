"""An immutable, numbered view of all servers, and the difference of two views, without I/O."""

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType

from onyxpass.scheduling import contract
from onyxpass.sources.schema import ServerEntry


def view_digest(entries: Mapping[str, ServerEntry]) -> str:
    """Return a digest of the servers; the file and line of an entry are not part of it."""
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
    """All servers of one accepted version.

    ``number`` grows with every applied view, and across restarts if a snapshot is configured.
    """

    number: int
    entries: Mapping[str, ServerEntry]
    digest: str

    @classmethod
    def of(cls, number: int, entries: Iterable[ServerEntry]) -> "MembershipView":
        by_id = {entry.server.id: entry for entry in entries}
        return cls(number, MappingProxyType(by_id), view_digest(by_id))


EMPTY_VIEW = MembershipView.of(0, ())


@dataclass(frozen=True, slots=True)
class ViewDifference:
    """Ids of the servers that differ between two views.

    ``moved``: another address, kind or start time, so the server counts as new and cold.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...]
    moved: tuple[str, ...]
    weighed: tuple[str, ...]  # only the weight differs
    changed: tuple[str, ...]  # hall, cell or drain

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.moved or self.weighed or self.changed)

    def to_dict(self) -> dict[str, list[str]]:
        """Return the ids by kind of difference, without empty lists."""
        names = ("added", "removed", "moved", "weighed", "changed")
        return {name: list(getattr(self, name)) for name in names if getattr(self, name)}


def compare(old: Mapping[str, ServerEntry], new: Mapping[str, ServerEntry]) -> ViewDifference:
    added = tuple(sorted(new.keys() - old.keys()))
    removed = tuple(sorted(old.keys() - new.keys()))
    moved, weighed, changed = [], [], []
    for name in sorted(old.keys() & new.keys()):
        before, after = old[name], new[name]
        if (
            is_different_server(before, after)
            or before.server.started_us != after.server.started_us
        ):
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


def is_different_server(before: ServerEntry, after: ServerEntry) -> bool:
    """Whether one id denotes another server: at another address or of another kind."""
    return before.address != after.address or before.server.kind != after.server.kind


def with_start_time(before: ServerEntry, after: ServerEntry, now_us: int) -> ServerEntry:
    """Return ``after`` with the start time that makes a new server at a known id count as cold.

    The time is ``now_us`` if the id denotes another server; otherwise a time in the files wins over
    the one in ``before``.
    """
    started_us = before.server.started_us
    if is_different_server(before, after):
        started_us = now_us
    elif after.server.started_us is not None:
        return after
    # A recent server stays recent at the next change of the files, which have no start time.
    return replace(after, server=replace(after.server, started_us=started_us))
