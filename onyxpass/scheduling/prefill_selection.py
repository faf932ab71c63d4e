"""Selects the server that prefills a request's prompt, or lets the request wait."""

from onyxpass.scheduling import contract
from onyxpass.scheduling.candidates import CandidateFilter
from onyxpass.scheduling.contract import Role
from onyxpass.scheduling.latency_baselines import LatencyBaselines
from onyxpass.scheduling.memory_projection import projected_utilization
from onyxpass.scheduling.outlier_detection import MANY_ROUTERS, median
from onyxpass.scheduling.prefix_affinity import PrefixAffinityTable, shared_key
from onyxpass.scheduling.rendezvous import rank_by_rendezvous
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import PREFILL_OVERHEAD_TOKENS, ServerState

# Requests in flight above the median before a match is passed over; 4 and 4 / routers gave worse
# results overall.
MIN_QUEUE_EXCESS = 2.0
MIXED_EXCESS_UTILIZATION = 0.05  # by which a mixed server may exceed the mean of decode servers
PLANNED_OBJECTIVE_SHARE = 0.8  # of the latency objective that may be planned for a prefill


def divert_if_overloaded(matched: ServerState, ready: list[ServerState]) -> ServerState:
    """Return the matched server, or the least busy one if the match is far above the median."""
    median_in_flight = median([server.in_flight() for server in ready])
    matched_in_flight = matched.in_flight()
    if (
        matched_in_flight > 2 * median_in_flight
        and matched_in_flight > median_in_flight + MIN_QUEUE_EXCESS
    ):
        return min(
            ready, key=lambda server: (server.in_flight(), sum(server.pending_tokens.values()))
        )
    return matched


class PrefillSelector:
    """Selects by prefix affinity, unless the match is far busier than others or would be late."""

    def __init__(
        self,
        pool: ServerPool,
        candidates: CandidateFilter,
        affinity: PrefixAffinityTable,
        baselines: LatencyBaselines,
    ) -> None:
        self._pool = pool
        self._candidates = candidates
        self._affinity = affinity
        self._baselines = baselines
        self.reconfigure(pool.settings)

    def reconfigure(self, settings: contract.Settings) -> None:
        """Compute for each class the shortest objective among classes of at least its priority."""
        # With many routers, one router alone cannot keep a queue short.
        classes = settings.classes if settings.routers < MANY_ROUTERS else ()
        self._shortest_objective_us = {
            traffic_class.name: min(
                other.latency_objective_us
                for other in classes
                if other.priority_weight >= traffic_class.priority_weight
            )
            for traffic_class in classes
        }

    def select(self, request: RequestState, now_us: int) -> ServerState | None:
        """Return the server for the prompt, or None if the request has to wait."""
        ready = self._ready(request, now_us)
        if not ready:
            return None
        ranked = rank_by_rendezvous(shared_key(request.arrival), ready)
        if self._pool.many_routers:
            ready = ranked  # ties go to the prefix's next owner, not to one server for all
        matched, cached_tokens = self._affinity.match(request, ranked, now_us)
        target = divert_if_overloaded(matched, ready)
        if request.attempts:
            # Only a request without attempts may wait, so a retry is sent even if it may be late.
            return target
        tokens = request.arrival.prompt_tokens
        unloaded = self._baselines.unloaded_us_per_token
        baselines = {server: unloaded[server.endpoint.kind] for server in ready}
        expected_us = {
            server: server.expected_prefill_us(
                tokens - cached_tokens * (server is matched), now_us, baselines[server]
            )
            for server in ready
        }
        # The time for the prompt itself does not count as a queue.
        unloaded_us = min(baselines.values()) * (PREFILL_OVERHEAD_TOKENS + tokens)
        left_us = max(self._time_left_us(request, now_us), unloaded_us)
        # Prevents queues: a request that would be late at its target goes to the quickest server,
        # and waits if it would be late there too.
        if expected_us[target] <= left_us:
            return target
        quickest = min(ready, key=expected_us.__getitem__)
        return quickest if expected_us[quickest] <= left_us else None

    def _ready(self, request: RequestState, now_us: int) -> list[ServerState]:
        """Return the servers that may prefill the request now."""
        pool = self._pool
        healthy = pool.healthy(now_us, Role.PREFILL, Role.MIXED)
        ready = self._candidates.eligible(request, healthy, now_us)
        if not ready and pool.settings.decode_servers_prefill:
            decode = pool.healthy(now_us, Role.DECODE)
            ready = self._candidates.eligible(request, decode, now_us)
        if not ready:
            return ready
        readmitted = [server for server in ready if server.awaits_first_work]
        return readmitted or self._without_full_mixed(ready, now_us)

    def _without_full_mixed(self, ready: list[ServerState], now_us: int) -> list[ServerState]:
        """Return ``ready`` without mixed servers fuller than decode servers, unless all are."""
        # Prevents overload of a mixed server that owns a popular prefix.
        decode = self._pool.healthy(now_us, Role.DECODE)
        mixed = self._pool.available[Role.MIXED]
        if not decode or not mixed:
            return ready
        utilization = projected_utilization([*decode, *mixed], self._pool.settings, now_us)
        limit = sum(utilization[server] for server in decode) / len(decode)
        limit += MIXED_EXCESS_UTILIZATION
        return [
            server
            for server in ready
            if server.role is not Role.MIXED or utilization[server] <= limit
        ] or ready

    def _time_left_us(self, request: RequestState, now_us: int) -> float:
        """Return the time a prefill may take without making this or later requests late."""
        queue_us = self._baselines.decode_queue_us(now_us)
        # Prevents a prefill that delays requests of at least the same priority and with a shorter
        # objective.
        objective_us = request.latency_objective_us
        shortest_us = self._shortest_objective_us.get(request.traffic_class.name, objective_us)
        waited_us = now_us - request.arrived_us
        return min(
            shortest_us * PLANNED_OBJECTIVE_SHARE - queue_us,
            objective_us * PLANNED_OBJECTIVE_SHARE - queue_us - waited_us,
        )
