"""Retries: whether another attempt follows a failed one, and the final answer if none does."""

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus, Idempotency
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState

# Limit on all attempts of a request whose prefill attempt ended with a sign of a queue.
MAX_ATTEMPTS_WHEN_QUEUED = 2
# Share of the time for which a server keeps a state, after which the state is offered to no
# further decode server.
STATE_DIAL_SHARE = 0.6
MIN_RETRY_TICKS = 4  # before the deadline; a later retry is of no use
WAIT_OBJECTIVE_SHARE = 0.35  # of the latency objective, for which a request may wait for capacity
# Between checks of waiting requests, overdue attempts, ejected servers and endpoint polling.
TIMER_INTERVAL_US = 50_000
MIN_WAIT_INTERVALS = 3  # before the deadline, at which a request stops waiting


class RetryPolicy:
    """The limits on attempts, waiting and reserved states; the policy keeps no state itself."""

    def __init__(self, pool: ServerPool) -> None:
        self._pool = pool

    def may_retry(self, request: RequestState, status: AttemptStatus, now_us: int) -> bool:
        """Return whether the limits allow another attempt after one that ended with ``status``."""
        settings = self._pool.settings
        max_attempts = settings.max_attempts
        end_us = request.arrival.deadline_us - MIN_RETRY_TICKS * settings.tick_us
        if not request.state_holder:
            # Prevents repeated prefills that lengthen a queue: none is sent past the objective, and
            # fewer after a sign of a queue.
            max_attempts -= 1
            if status in (AttemptStatus.OVERLOADED, AttemptStatus.TIMED_OUT):
                max_attempts = min(max_attempts, MAX_ATTEMPTS_WHEN_QUEUED)
            end_us = min(end_us, request.arrived_us + request.latency_objective_us)
        return now_us < end_us and request.attempts < max_attempts

    def may_wait(self, request: RequestState, now_us: int) -> bool:
        """Return whether a request that can't be sent now may wait for the next timer event."""
        last_us = min(
            request.arrived_us + WAIT_OBJECTIVE_SHARE * request.latency_objective_us,
            request.arrival.deadline_us - MIN_WAIT_INTERVALS * TIMER_INTERVAL_US,
        )
        return now_us < last_us

    def update_state_holder(
        self,
        request: RequestState,
        server: ServerState,
        event: contract.AttemptOutcome,
        now_us: int,
    ) -> None:
        """Record which server holds the prefilled state after an attempt at ``server``."""
        prefilled = event.status is AttemptStatus.PREFILLED
        if prefilled or event.note == contract.STATE_LOST:
            request.state_holder = server if prefilled else None
            request.attempted_servers = set()
        delivery_unconfirmed = not prefilled and event.note in (
            contract.STALE_CONNECTION,
            contract.DELIVERY_UNCONFIRMED,
        )
        unsent = event.status in (AttemptStatus.UNREACHABLE, AttemptStatus.NOT_SENT)
        if not delivery_unconfirmed and not unsent:
            request.state_confirmed_us = now_us
        elif now_us - request.state_confirmed_us > (
            STATE_DIAL_SHARE * self._pool.settings.release_within_us
        ):
            # Prevents holding a state while one send after another fails to reach a server.
            request.state_holder = None

    def final_answer(self, request: RequestState) -> contract.Reject | contract.Fail:
        """Return a rejection where a retry by the client does no harm, else a failure."""
        traffic_class = request.traffic_class
        retry_is_harmful = (
            request.first_possible_run
            and traffic_class.idempotency is not Idempotency.IDEMPOTENT
            and not traffic_class.deduplicated_everywhere
        )
        if retry_is_harmful:
            return contract.Fail(request.arrival.id)
        settings = self._pool.settings
        retry_after_us = settings.max_retry_after_us if settings.retry_after_supported else 0
        return contract.Reject(request.arrival.id, retry_after_us)
