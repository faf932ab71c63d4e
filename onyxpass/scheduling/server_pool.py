"""The servers that one router knows: those listed, those that may get work, the healthy ones.

The pool follows the endpoint list and the operators' exclusions. It owns all ``ServerState``s of
its router, and belongs to that router alone.
"""

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import EndpointCondition, EndpointUpdateForm, Role
from onyxpass.scheduling.memory_projection import prefill_to_memory_ratios
from onyxpass.scheduling.outlier_detection import MANY_ROUTERS
from onyxpass.scheduling.server_state import ServerState

MIN_RENDEZVOUS_SHARE = 0.2  # for a mixed server, and for one of low weight in the list


class ServerPool:
    """All servers by id, and those that may get work by role."""

    def __init__(self, settings: contract.Settings) -> None:
        self.settings = settings
        # Fixed at the start: later settings do not change which of the rules that read it apply.
        # Code that reads ``settings.routers`` itself follows later settings.
        self.many_routers = settings.routers >= MANY_ROUTERS
        self.servers: dict[str, ServerState] = {}
        self.available: dict[Role, list[ServerState]] = {role: [] for role in Role}  # by id
        self.excluded: set[str] = set()  # by operators, listed or not
        self.prefill_to_memory: dict[object, float] = {}  # by zone and by cell
        self._kinds = {kind.name: kind for kind in settings.kinds}
        # By role: the peak capacity in servers that recently shared its work, and when it expires
        self._peak_capacity = dict.fromkeys(Role, (1.0, 0))

    def peak_capacity(self, role: Role) -> float:
        """Return how many servers shared the work of this role before some of them left."""
        return self._peak_capacity[role][0]

    def apply_update(self, update: contract.EndpointUpdate, now_us: int) -> None:
        """Apply an update of the endpoint list."""
        if update.form in (EndpointUpdateForm.PERSISTED, EndpointUpdateForm.COMPLETE):
            listed = (endpoint.id for endpoint in update.endpoints)
            self.servers = {id_: self.servers[id_] for id_ in listed if id_ in self.servers}
        for endpoint in update.endpoints:
            known = self.servers.get(endpoint.id)
            if endpoint.condition is EndpointCondition.REMOVED:
                self.servers.pop(endpoint.id, None)
            elif known and known.endpoint.started_us == endpoint.started_us:
                known.endpoint = endpoint
            else:
                self._replace_state(endpoint, known)
        self._rebuild(now_us)

    def exclude(self, event: contract.Exclusion, now_us: int) -> None:
        """Exclude a server or readmit it."""
        if event.excluded:
            self.excluded.add(event.server)
        else:
            self.excluded.discard(event.server)
            if known := self.servers.get(event.server):
                # Prevents outdated health data and a burst: the server goes through slow start.
                fresh = self._replace_state(known.endpoint, known)
                fresh.readmitted_us = now_us
                fresh.awaits_first_work = True
        self._rebuild(now_us)

    def _replace_state(self, endpoint: contract.Endpoint, known: ServerState | None) -> ServerState:
        """Replace a server's state, and keep only its attempts in flight and its readmission."""
        fresh = ServerState(endpoint, self._kinds.get(endpoint.kind), self.settings)
        self.servers[endpoint.id] = fresh
        if known:
            fresh.pending_tokens = known.pending_tokens
            fresh.streams = known.streams
            fresh.readmitted_us = known.readmitted_us
            fresh.awaits_first_work = known.awaits_first_work
        return fresh

    def _rebuild(self, now_us: int) -> None:
        """Recompute the available servers, the capacities and the weights."""
        self.available = {role: [] for role in Role}
        for _, server in sorted(self.servers.items()):
            up = server.endpoint.condition is EndpointCondition.UP
            if up and server.id not in self.excluded:
                self.available[server.role].append(server)
        self.prefill_to_memory = prefill_to_memory_ratios(
            self.available[Role.PREFILL], self.available[Role.DECODE] + self.available[Role.MIXED]
        )
        self._update_peak_capacity(now_us)
        self._update_rendezvous_weights()

    def _update_peak_capacity(self, now_us: int) -> None:
        prefill, decode, mixed = (
            sum(
                server.slow_start_factor(now_us) if self.many_routers else 1.0
                for server in self.available[role]
            )
            for role in Role
        )
        if self.many_routers:
            shared = (prefill + mixed, decode + mixed, max(prefill, decode) + mixed)
        else:
            shared = (prefill, decode, mixed)
        for role, capacity in zip(Role, shared, strict=True):
            peak, expires_us = self._peak_capacity[role]
            if capacity >= peak or now_us > expires_us:
                expires_us = now_us + self.settings.slow_start_duration_us
                self._peak_capacity[role] = (max(1.0, capacity), expires_us)

    def _update_rendezvous_weights(self) -> None:
        # Prevents mixed servers from answering more than decode servers do, since mixed servers
        # answer all that they prefill.
        prefill = self.available[Role.PREFILL]
        decode = self.available[Role.DECODE]
        for server in (*prefill, *self.available[Role.MIXED]):
            share = 1.0
            if decode and server.role is Role.MIXED:
                share = min(1.0, len(prefill) / len(decode))
            weight = max(MIN_RENDEZVOUS_SHARE, server.endpoint.weight)
            server.rendezvous_weight = max(MIN_RENDEZVOUS_SHARE, share) * weight

    def healthy(self, now_us: int, *roles: Role) -> list[ServerState]:
        """Return the servers of these roles that may get work now."""
        available = [server for role in roles for server in self.available[role]]
        healthy = [server for server in available if server.is_healthy(now_us)]
        if 2 * len(healthy) < len(available):
            # Most look unhealthy: the cause is likely shared, so all that answer are used, or all
            # servers if none answers.
            healthy = [
                server
                for server in available
                if not server.is_unresponsive or server.is_healthy(now_us)
            ]
            return healthy or available
        return healthy

    def avoided(self, now_us: int) -> set[str]:
        """Return the ids of the servers that get no work now: excluded, ejected or in a trial."""
        used = {server.id for server in self.healthy(now_us, Role.PREFILL, Role.MIXED)}
        used |= {server.id for server in self.healthy(now_us, Role.DECODE, Role.MIXED)}
        available = {server.id for servers in self.available.values() for server in servers}
        return self.excluded | (available - used)
