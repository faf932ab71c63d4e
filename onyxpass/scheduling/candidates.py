"""Which servers a request may be sent to: slow start, deduplication, rejections, past attempts."""

from onyxpass.scheduling.contract import Idempotency, Role
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState
from onyxpass.scheduling.slow_start import SlowStart
from onyxpass.scheduling.stable_hash import stable_hash

OVERLOAD_REST_US = 8_000_000  # for which a server that rejected a class is passed by


class CandidateFilter:
    """Narrows servers to those that one request may be sent to."""

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
        """Return the servers that may get the request, those not yet attempted if there are any.

        ``holder`` is the server that holds its prefilled state. Guarantees that what may have run
        is not run again, except by servers that discard it as a duplicate.
        """
        servers = self.sample_warming(request, servers, now_us, holder)
        traffic_class = request.traffic_class
        if request.may_have_run and traffic_class.idempotency is not Idempotency.IDEMPOTENT:
            where, sent_us = request.may_have_run
            expired = now_us >= sent_us + traffic_class.deduplication_window_us
            if expired or traffic_class.idempotency is Idempotency.NONE:
                return []
            scope = traffic_class.deduplication_scope
            servers = [server for server in servers if scope.covers_both(server.endpoint, where)]
        name = traffic_class.name
        servers = [
            server
            for server in servers
            if server.overloaded_at_us.get(name, -OVERLOAD_REST_US) + OVERLOAD_REST_US <= now_us
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

        A server's part follows who bore the work before some left. Prefills are sampled by session,
        and all that are as warm share them. A decode server that is sampled is preferred, so its
        part comes from the prefill servers of its zone.
        """
        # Sampling prevents what each router had saved up from coming at once.
        factors = {server: server.slow_start_factor(now_us) for server in servers}
        capacity = sum(factors.values())
        if capacity >= len(servers):
            return servers
        others_warm = any(factor >= 1 for factor in factors.values())
        prefill_zones = [server.endpoint.zone for server in self._pool.available[Role.PREFILL]]
        chosen = set[ServerState]()
        as_warm = 0.0  # rendezvous weight of all servers that are at least as warm
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
        """Return the part of all calls that a server bears at this slow start factor.

        ``capacity`` is that of all servers with which it shares the calls now, in warm servers.
        """
        pool = self._pool
        peak = pool.peak_capacity(server.role)
        return factor * min(
            max(1 / peak, pool.many_routers / capacity),
            pool.settings.overload_multiple / 2 / peak,
        )

    @staticmethod
    def _zone_factor(server: ServerState, holder: ServerState, prefill_zones: list[str]) -> float:
        """Return the factor by which a decode server draws on its own zone's prefills alone."""
        in_zone = prefill_zones.count(server.endpoint.zone)
        if not in_zone:
            return 1.0
        same_zone = server.endpoint.zone == holder.endpoint.zone
        return same_zone * len(prefill_zones) / in_zone
