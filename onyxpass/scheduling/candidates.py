"""Which servers a request may be sent to.

The choice depends on slow start, deduplication, recent rejections and past attempts.
"""

from onyxpass.scheduling.contract import Idempotency, Role
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState
from onyxpass.scheduling.slow_start import SlowStart
from onyxpass.scheduling.stable_hash import stable_hash

OVERLOAD_COOLDOWN_US = 8_000_000  # for which a server that rejected a class is passed over for it


class CandidateFilter:
    """Selects the servers that a request may be sent to."""

    def __init__(self, pool: ServerPool, slow_start: SlowStart) -> None:
        self._pool = pool
        self._slow_start = slow_start

    def eligible(
        self,
        request: RequestState,
        servers: list[ServerState],
        now_us: int,
        holder: ServerState | None = None,
    ) -> list[ServerState]:
        """Return the servers that may get the request: those not yet attempted, if there are any.

        ``holder`` is the server that holds the request's prefilled state. A request that may have
        run and is not idempotent only goes to servers that discard it as a duplicate.
        """
        servers = self.sample_warming(request, servers, now_us, holder)
        traffic_class = request.traffic_class
        if request.first_possible_run and traffic_class.idempotency is not Idempotency.IDEMPOTENT:
            first_endpoint, sent_us = request.first_possible_run
            expired = now_us >= sent_us + traffic_class.deduplication_window_us
            if expired or traffic_class.idempotency is Idempotency.NONE:
                return []
            scope = traffic_class.deduplication_scope
            servers = [
                server for server in servers if scope.covers_both(server.endpoint, first_endpoint)
            ]
        name = traffic_class.name
        servers = [
            server
            for server in servers
            if server.overloaded_at_us.get(name, -OVERLOAD_COOLDOWN_US) + OVERLOAD_COOLDOWN_US
            <= now_us
        ] or servers
        attempted = request.attempted_servers
        return [server for server in servers if server.id not in attempted] or servers

    def sample_warming(
        self,
        request: RequestState,
        servers: list[ServerState],
        now_us: int,
        holder: ServerState | None,
    ) -> list[ServerState]:
        """Return the warm servers, and those in slow start for which the request is sampled.

        A server's share is based on the peak capacity, before other servers left. Prefills are
        sampled by session and shared by the servers that are at least as warm. A decode server is
        preferred for the requests that are sampled for it, so its share is taken from the prefill
        servers of its zone.
        """
        # Sampling prevents all routers from spending a saved-up allowance at the same time.
        factors = {server: server.slow_start_factor(now_us) for server in servers}
        capacity = sum(factors.values())
        if capacity >= len(servers):
            return servers
        others_warm = any(factor >= 1 for factor in factors.values())
        prefill_zones = [server.endpoint.zone for server in self._pool.available[Role.PREFILL]]
        chosen = set[ServerState]()
        as_warm = 0.0  # rendezvous weight of the servers that are at least as warm
        for server in sorted(servers, key=lambda server: -factors[server]):
            as_warm += server.rendezvous_weight
            factor = factors[server]
            sampled = self._sampled_share(server, factor, capacity)
            probability = sampled
            if holder is None:
                probability *= as_warm / server.rendezvous_weight
            elif server.role is Role.DECODE:
                probability *= self._zone_factor(server, holder, prefill_zones)
            probability *= server.awaits_first_work or self._slow_start.sampling_factor(
                server.id, server.endpoint.kind, factor, sampled, now_us, others_warm
            )
            by_request = holder or server.awaits_first_work
            key = f"{request.arrival.id}|{server.id}" if by_request else request.arrival.session
            if factor >= 1 or stable_hash(f"lot|{key}") / 2**64 < probability:
                chosen.add(server)
        return [server for server in servers if server in chosen]

    def _sampled_share(self, server: ServerState, factor: float, capacity: float) -> float:
        """Return the share of all calls that a server can take at this slow start factor.

        ``capacity`` is the present capacity of all servers that share the calls, in units of one
        warm server.
        """
        pool = self._pool
        peak = pool.peak_capacity(server.role)
        return factor * min(
            max(1 / peak, pool.many_routers / capacity),
            pool.settings.overload_multiple / 2 / peak,
        )

    @staticmethod
    def _zone_factor(server: ServerState, holder: ServerState, prefill_zones: list[str]) -> float:
        """Return the factor that confines a decode server's share to prefills of its own zone."""
        in_zone = prefill_zones.count(server.endpoint.zone)
        if not in_zone:
            return 1.0
        same_zone = server.endpoint.zone == holder.endpoint.zone
        return same_zone * len(prefill_zones) / in_zone
