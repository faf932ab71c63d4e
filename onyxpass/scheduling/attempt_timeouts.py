"""Attempt timeouts: how long an attempt may take, and when it is cancelled as lost.

An attempt past its silence deadline is cancelled if its server has answered nothing since the send,
or if its connection counts as lost. Cancellations spend a budget that requests earn, since a
prefill that is restarted elsewhere lengthens a queue; only cancelling a prefill on a lost
connection is free. Each router owns one ``AttemptTimeouts``.
"""

from onyxpass.scheduling.contract import Idempotency, Role
from onyxpass.scheduling.latency_baselines import LatencyBaselines
from onyxpass.scheduling.outlier_detection import OVERTAKEN_LIMIT
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState
from onyxpass.scheduling.stable_hash import stable_hash

# A server counts as silent after this multiple of the typical time, or after this share of the
# latency objective if that is longer.
SILENCE_MULTIPLE = 5.0
SILENCE_MULTIPLE_MANY_ROUTERS = 2.0
SILENCE_OBJECTIVE_SHARE = 0.40
# Cancellations that each request earns. More would lengthen queues. Where there are many routers,
# each sees little of any queue.
CANCELLATIONS_PER_REQUEST = 0.03
CANCELLATIONS_PER_REQUEST_MANY_ROUTERS = 0.2
MAX_CANCELLATION_CREDIT = 2.0
OVERTAKEN_LIMIT_UNLOADED = 1  # applies where answers come quickly, so that there is no queue
TIMEOUT_SHARE = 0.8  # of the remaining time, for an attempt before the last two
ANSWER_MARGIN_TICKS = 2  # before the deadline, reserved for sending the answer


class AttemptTimeouts:
    """Timeouts of attempts, and the budget of cancellations."""

    def __init__(self, pool: ServerPool, baselines: LatencyBaselines) -> None:
        self._pool = pool
        self._baselines = baselines
        if pool.many_routers:
            # Routers that each get few requests would never earn a cancellation: each starts with
            # a part of one.
            self.credit = stable_hash(f"calls|{pool.settings.ordinal}") / 2**64
            self._credit_per_request = CANCELLATIONS_PER_REQUEST_MANY_ROUTERS
            self._silence_multiple = SILENCE_MULTIPLE_MANY_ROUTERS
        else:
            self.credit = 0.0
            self._credit_per_request = CANCELLATIONS_PER_REQUEST
            self._silence_multiple = SILENCE_MULTIPLE

    def earn_credit(self, congestion: float) -> None:
        """Earn credit for a new request; the congestion of its class (0 to 1) reduces it."""
        earned = self._credit_per_request * (1 - congestion)
        self.credit = min(MAX_CANCELLATION_CREDIT, self.credit + earned)

    def silence_deadline_us(
        self, request: RequestState, server: ServerState, tokens: int, now_us: int
    ) -> int:
        """Return the time at which the server counts as silent on an attempt that is sent now."""
        prefill_us = 0.0  # time for the prompt itself, which does not count as silence
        if not request.state_holder:
            prefill_us = self._baselines.unloaded_us_per_token[server.endpoint.kind] * tokens
        silence_us = max(
            self._silence_multiple * self._baselines.typical_us[server.role],
            SILENCE_OBJECTIVE_SHARE * request.latency_objective_us,
        )
        return now_us + round(prefill_us + silence_us)

    def timeout_us(self, request: RequestState, now_us: int) -> int:
        """Return the timeout of the request's next attempt."""
        settings = self._pool.settings
        remaining_us = request.arrival.deadline_us - now_us - ANSWER_MARGIN_TICKS * settings.tick_us
        share_us = remaining_us
        if request.attempts + 2 < settings.max_attempts:
            share_us = round(TIMEOUT_SHARE * remaining_us)
        return max(1, min(remaining_us, share_us))

    def should_cancel(self, request: RequestState, now_us: int) -> bool:
        """Return whether to cancel the attempt in flight, and if so charge its cost.

        Once it has returned True, it returns False until the request's deadline.
        """
        server = request.server
        if server is None or now_us < request.silence_deadline_us:
            return False
        idempotent = request.traffic_class.idempotency is Idempotency.IDEMPOTENT
        if not idempotent and server.role is not Role.PREFILL:
            return False
        connection_lost = self._is_connection_lost(request, server, now_us)
        if not connection_lost and server.last_answer_us >= request.sent_us:
            return False
        is_free = connection_lost and not request.state_holder
        if not is_free and self.credit < 1:
            return False
        self.credit -= not is_free
        request.silence_deadline_us = request.arrival.deadline_us
        return True

    def _is_connection_lost(self, request: RequestState, server: ServerState, now_us: int) -> bool:
        """Return whether the server has answered later sends while this attempt is overdue."""
        # Prevents waiting on a silent connection whose server answers other requests. Servers take
        # prefills in order of arrival, so a later prefill does not end before an earlier one.
        # At decode servers, requests also wait for memory.
        typical_us = self._baselines.typical_us[server.role]
        unloaded = (
            SILENCE_MULTIPLE * typical_us < SILENCE_OBJECTIVE_SHARE * request.latency_objective_us
        )
        if request.overtaken_count < (OVERTAKEN_LIMIT_UNLOADED if unloaded else OVERTAKEN_LIMIT):
            return False
        expected_us = server.us_per_token * request.tokens_ahead
        return now_us >= request.sent_us + SILENCE_MULTIPLE * expected_us
