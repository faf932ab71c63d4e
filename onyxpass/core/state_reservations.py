"""The state that servers reserve for a request, from its prefill until its stream begins.

Reserved state must be used by a send or released within ``Settings.release_within_us``, counted
from the end of the last attempt that is known to have reached its server. Only an answer shows
that: relays, and the kernels of processes that do not run, acknowledge bytes as well. The state of
an attempt without an answer is therefore released shortly before the limit, while the attempt
continues. A release does not affect state that an attempt waits for at its server (``unhold`` of
the wire protocol): an attempt that has arrived continues as before, and one that arrives later
finds no state.
"""

from collections.abc import Callable

import structlog

from onyxpass.core.context import DispatcherContext
from onyxpass.core.requests import Attempt, Request
from onyxpass.scheduling.contract import AttemptStatus

# Statuses of interrupted attempts; an interrupted prefill may nevertheless have succeeded.
INTERRUPTED = (AttemptStatus.TIMED_OUT, AttemptStatus.CANCELLED, AttemptStatus.RESET)
NEVER_SENT = (AttemptStatus.UNREACHABLE, AttemptStatus.NOT_SENT)
# Share of ``Settings.release_within_us`` for which a send may stay unanswered.
UNANSWERED_SHARE = 0.8
MIN_UNANSWERED_US = 100_000  # after the first byte, however late it was sent
Acknowledged = Callable[[], bool | None]  # by the peer's kernel; None if that is unknown
log = structlog.get_logger("core")


class StateReservations:
    """Keeps the requests' fields on reserved state, such as ``Request.reserved_since_us``.

    Called only from the event loop's thread.
    """

    def __init__(self, context: DispatcherContext) -> None:
        self._context = context

    def attempt_begun(self, attempt: Attempt, acknowledged: Acknowledged) -> None:
        """Watch an attempt whose first byte has been sent, until its stream begins or it ends.

        Called by the fleet, once for each attempt that it writes.
        """
        request = attempt.request
        if not request.has_reserved_state or attempt.ended:
            return
        context = self._context
        limit_us = round(UNANSWERED_SHARE * context.settings.release_within_us)
        remaining_us = request.reserved_since_us + limit_us - context.clock.now_us()
        attempt.unanswered_timer = context.wheel.after(
            max(remaining_us, MIN_UNANSWERED_US),
            lambda: self._release_unanswered(attempt, acknowledged),
        )

    def attempt_ended(self, attempt: Attempt, status: AttemptStatus, note: int) -> None:
        """Record how an attempt ended; ``note`` is that of ``contract.AttemptOutcome``."""
        self._stop_watching(attempt)
        request = attempt.request
        request.prefill_interrupted = status in INTERRUPTED and attempt.may_prefill
        # An attempt that has not arrived does not restart the time of state reserved before it.
        restarts_time = status not in NEVER_SENT and (
            attempt.delivered or not request.has_reserved_state
        )
        if status is AttemptStatus.PREFILLED:
            attempt.cached_tokens = note
        if status is AttemptStatus.PREFILLED or request.prefill_interrupted:
            request.has_reserved_state = True
            request.state_holder = attempt.server
        if restarts_time:
            request.reserved_since_us = self._context.clock.now_us()

    def stream_committed(self, attempt: Attempt) -> None:
        """Record that a stream has begun, which has used the reserved state."""
        self._stop_watching(attempt)
        attempt.request.has_reserved_state = False

    def release(self, request: Request) -> None:
        """Have the fleet release the state of a request that has nothing in flight."""
        request.has_reserved_state = False
        if self._context.fleet is not None:
            self._context.fleet.release(request, request.prefill_interrupted)

    def reserved_for_us(self, request: Request) -> int:
        """Return for how long state has been reserved without a send known to have arrived."""
        return self._context.clock.now_us() - request.reserved_since_us

    def _release_unanswered(self, attempt: Attempt, acknowledged: Acknowledged) -> None:
        request = attempt.request
        if attempt.ended or attempt.committed or not request.has_reserved_state:
            return
        self._context.metrics.unanswered_sends += 1
        if self._context.fleet is not None:
            # ``has_reserved_state`` stays set: if the attempt did arrive, its state survives this.
            self._context.fleet.release(request, prefill_interrupted=False)
        log.info(
            "send_unanswered",
            id=request.id,
            n=attempt.number,
            server=attempt.server,
            holder=request.state_holder,
            held_us=self.reserved_for_us(request),
            sent_us=self._context.clock.now_us() - attempt.sent_us,
            acknowledged=acknowledged(),
        )

    @staticmethod
    def _stop_watching(attempt: Attempt) -> None:
        if attempt.unanswered_timer is not None:
            attempt.unanswered_timer.cancel()
