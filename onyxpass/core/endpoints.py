"""The endpoints that a dispatcher may send to, according to discovery and the operators.

The table owns the listed endpoints, the manual exclusions and the servers' start times. Times are
microseconds of the dispatcher's own clock.
"""

from collections.abc import Iterable
from dataclasses import replace

from onyxpass.core.clock import Clock
from onyxpass.core.start_times import StartTimes
from onyxpass.scheduling import contract

COMPLETE_FORMS = (contract.EndpointUpdateForm.COMPLETE, contract.EndpointUpdateForm.PERSISTED)


class EndpointTable:
    """The listed endpoints by id, the manually excluded servers and the current view's number."""

    def __init__(self, kinds: Iterable[contract.ServerKind], clock: Clock) -> None:
        self.roles = {kind.name: kind.role for kind in kinds}
        self.by_id: dict[str, contract.Endpoint] = {}
        self.excluded: frozenset[str] = frozenset()  # whether or not they are listed
        self.view_number = 0  # 0 if views are not numbered
        self.start_times = StartTimes()
        self._clock = clock

    def apply(
        self, update: contract.EndpointUpdate, now_us: int, absent_us: int | None
    ) -> contract.EndpointUpdate:
        """Apply an update and return it with start times converted to the dispatcher's clock.

        ``absent_us``: when the list was last known without this change; None if unknown.
        """
        self.start_times.observe_wall_clock(now_us, self._clock.wall_us())
        endpoints = tuple(
            self._convert_start_time(endpoint, now_us, absent_us) for endpoint in update.endpoints
        )
        update = replace(update, endpoints=endpoints)
        if update.form in COMPLETE_FORMS:
            self.by_id = {}
        for endpoint in endpoints:
            # Prevents the table from growing with every id that was ever listed.
            if endpoint.condition is contract.EndpointCondition.REMOVED:
                self.by_id.pop(endpoint.id, None)
            else:
                self.by_id[endpoint.id] = endpoint
        return update

    def exclude(self, servers: Iterable[str]) -> list[str]:
        """Set the excluded servers; return, sorted, those whose exclusion has changed."""
        before = self.excluded
        self.excluded = frozenset(servers)
        return sorted(before ^ self.excluded)

    def accepts_new_work(self, server: str) -> bool:
        """Return whether the server is listed as up and is not excluded."""
        endpoint = self.by_id.get(server)
        up = endpoint is not None and endpoint.condition is contract.EndpointCondition.UP
        return up and server not in self.excluded

    def may_prefill(self, server: str) -> bool:
        """Return whether the server processes prompts; False for an unknown server."""
        endpoint = self.by_id.get(server)
        return endpoint is not None and self._role_of(endpoint) is not contract.Role.DECODE

    def may_generate(self, server: str) -> bool:
        """Return whether the server may generate an answer; True for an unknown server."""
        endpoint = self.by_id.get(server)
        return endpoint is None or self._role_of(endpoint) is not contract.Role.PREFILL

    def _role_of(self, endpoint: contract.Endpoint) -> contract.Role:
        return self.roles.get(endpoint.kind, contract.Role.MIXED)

    def _convert_start_time(
        self, endpoint: contract.Endpoint, now_us: int, absent_us: int | None
    ) -> contract.Endpoint:
        removed = endpoint.condition is contract.EndpointCondition.REMOVED
        if endpoint.started_us is None or removed:
            return endpoint
        started_us = self.start_times.started_us(
            endpoint.id, endpoint.started_us, now_us, absent_us
        )
        if started_us == endpoint.started_us:
            return endpoint
        return replace(endpoint, started_us=started_us)
