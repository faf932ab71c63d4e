"""Passes what an attempt's outcome says to the parts that learn from it.

These are the server's health, the latency baselines, slow start and prefix affinity. The recorder
keeps no state of its own.
"""

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus, Role
from onyxpass.scheduling.latency_baselines import LatencyBaselines
from onyxpass.scheduling.outlier_detection import MIN_SAMPLES, failure_kind, is_slow_outlier
from onyxpass.scheduling.prefix_affinity import PrefixAffinityTable
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import PREFILL_OVERHEAD_TOKENS, ServerState
from onyxpass.scheduling.slow_start import SlowStart


class OutcomeRecorder:
    """Learns from the outcomes of one router's attempts."""

    def __init__(
        self,
        requests: dict[int, RequestState],
        pool: ServerPool,
        slow_start: SlowStart,
        baselines: LatencyBaselines,
        affinity: PrefixAffinityTable,
    ) -> None:
        self._requests = requests
        self._pool = pool
        self._slow_start = slow_start
        self._baselines = baselines
        self._affinity = affinity

    def record_outcome(
        self,
        request: RequestState,
        server: ServerState,
        known: ServerState | None,
        event: contract.AttemptOutcome,
        now_us: int,
    ) -> None:
        """Learn from an attempt at ``server``, whose present state is ``known`` if it is listed."""
        status = event.status
        if status in (AttemptStatus.PREFILLED, AttemptStatus.COMPLETED):
            self.record_answer(request, server, event.elapsed_us, now_us, event.note)
            return
        if known is None:
            return
        abandoned = status in (AttemptStatus.CANCELLED, AttemptStatus.TIMED_OUT)
        if abandoned and request.state_holder:
            self._baselines.record_state_fetch(
                server.endpoint.kind, event.elapsed_us, request.latency_objective_us
            )
        if kind := failure_kind(event, request.overtaken):
            known.record_failure(kind, request.sent_us, now_us)
        if status is AttemptStatus.OVERLOADED and event.note != contract.STATE_LOST:
            known.overloaded_at_us[request.traffic_class.name] = now_us

    def record_answer(
        self,
        request: RequestState,
        server: ServerState,
        elapsed_us: int,
        now_us: int,
        cached_tokens: int = 0,
    ) -> None:
        """Learn from a prefill or first token, ``cached_tokens`` of which had been cached."""
        kind = server.endpoint.kind
        server.pending_tokens.pop(request.arrival.id, None)
        self._count_overtaken(request, server)
        request.answered_attempts_us += elapsed_us
        factors = [
            peer.slow_start_factor(now_us)
            for peer in self._pool.available[server.role]
            if peer.endpoint.kind == kind
        ]
        self._slow_start.record_answer(kind, server.slow_start_factor(now_us), factors, now_us)
        us_per_token = elapsed_us / max(
            PREFILL_OVERHEAD_TOKENS, request.tokens_ahead - cached_tokens
        )
        server.record_success(us_per_token, now_us)
        if is_slow_outlier(server, self._peer_latencies(server.role)):
            server.eject(now_us, unresponsive=False)
        self._baselines.record_answer(server.role, elapsed_us)
        if request.state_holder:
            self._baselines.record_state_fetch(kind, elapsed_us, request.latency_objective_us)
        else:
            self._baselines.record_prefill(kind, us_per_token)
            self._affinity.store(request, server, now_us)

    def _peer_latencies(self, role: Role) -> list[float]:
        return [
            peer.us_per_token
            for peer in self._pool.servers.values()
            if peer.role is role and peer.sample_count >= MIN_SAMPLES
        ]

    def _count_overtaken(self, request: RequestState, server: ServerState) -> None:
        """Count an answer with the earlier sends of the same sort that still wait there."""
        fetches = bool(request.state_holder)
        for id_ in server.pending_tokens:
            other = self._requests.get(id_)
            if other is None or other.server is not server:
                continue
            if bool(other.state_holder) == fetches and other.sent_us < request.sent_us:
                other.overtaken += 1
