"""An index of the current servers by role, hall and cell, which is updated in place.

A rebuild takes time in proportion to the number of servers, an update in proportion to the number
of changed servers. `make bench-sources` measures both.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from onyxpass.scheduling import contract
from onyxpass.sources.membership_view import ViewDifference, accepts_new_requests
from onyxpass.sources.schema import ServerEntry

Place = tuple[str, ...]  # (hall,) or (hall, cell)


@dataclass(slots=True)
class ServerIndex:
    """Ids by role, and by role and place, of the servers that accept new requests."""

    roles: Mapping[str, contract.Role]
    entries: dict[str, ServerEntry] = field(default_factory=dict)
    by_role: dict[contract.Role, set[str]] = field(default_factory=dict)
    by_place: dict[tuple[contract.Role, Place], set[str]] = field(default_factory=dict)

    @classmethod
    def build(
        cls, roles: Mapping[str, contract.Role], entries: Iterable[ServerEntry]
    ) -> "ServerIndex":
        """Build an index from all entries."""
        index = cls(roles)
        for entry in entries:
            index.put(entry)
        return index

    def _keys(self, entry: ServerEntry) -> tuple[contract.Role, tuple[Place, Place]]:
        server = entry.server
        return self.roles[server.kind], ((server.zone,), (server.zone, str(server.cell)))

    def put(self, entry: ServerEntry) -> None:
        """Add a server or replace its entry."""
        name = entry.server.id
        if name in self.entries:
            self.drop(name)
        self.entries[name] = entry
        if accepts_new_requests(entry):
            role, places = self._keys(entry)
            self.by_role.setdefault(role, set()).add(name)
            for place in places:
                self.by_place.setdefault((role, place), set()).add(name)

    def drop(self, name: str) -> None:
        entry = self.entries.pop(name)
        if accepts_new_requests(entry):
            role, places = self._keys(entry)
            self.by_role[role].discard(name)
            for place in places:
                remaining = self.by_place[role, place]
                remaining.discard(name)
                if not remaining:  # prevents a table that grows with every place ever seen
                    del self.by_place[role, place]

    def apply(self, difference: ViewDifference, entries: Mapping[str, ServerEntry]) -> None:
        """Apply a difference; ``entries`` are those of the new view."""
        for name in difference.removed:
            self.drop(name)
        for names in (difference.added, difference.moved, difference.weighed, difference.changed):
            for name in names:
                self.put(entries[name])

    def count(self, role: contract.Role, *place: str) -> int:
        """Count the servers of a role that accept new requests: all, of a hall, or of a cell."""
        return len(self.by_place.get((role, place), ()) if place else self.by_role.get(role, ()))
