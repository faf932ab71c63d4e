"""The state that servers reserve for a request, from its prefill until its stream begins.

Reserved state must be used by a send or released within ``Settings.release_within_us``, counted
from the end of the last attempt that its server is known to have had. Only an answer shows that a
server has had an attempt: relays, and the kernels of processes that do not run, acknowledge bytes
as well. So what has no answer shortly before the limit is released while its attempt goes on. A
release does not touch state that an attempt waits for at its server (wire page, ``unhold``): an
attempt that has arrived goes on as it was, and one that has not finds no state later on.
"""

from collections.abc import Callable

import structlog

from onyxpass.core.context import DispatcherContext
from onyxpass.core.requests import Attempt, Request
from onyxpass.scheduling.contract import AttemptStatus

# Statuses after which a prefill may have succeeded all the same.
INTERRUPTED = (AttemptStatus.TIMED_OUT, AttemptStatus.CANCELLED, AttemptStatus.RESET)
NEVER_SENT = (AttemptStatus.UNREACHABLE, AttemptStatus.NOT_SENT)
# Of the time in which reserved state must be used or released, that a send may stay unanswered.
UNANSWERED_SHARE = 0.8
MIN_UNANSWERED_US = 100_000  # after its first byte, whatever has been used up before
Acknowledged = Callable[[], bool | None]  # by the peer's kernel; None where this can't be told
log = structlog.get_logger("core")


class StateReservations:
    """Owner of each request's account of reserved state (``Request.reserved_since_us`` and near).

    A part of the dispatcher: only the event loop's thread calls it.
    """

    def __init__(self, context: DispatcherContext) -> None:
        self._context = context

    def attempt_begun(self, attempt: Attempt, acknowledged: Acknowledged) -> None:
        """Follow an attempt, whose first byte has gone, until its stream begins or it ends.

        Called by the fleet, once for each attempt that it writes.
        """
        request = attempt.request
        if not request.has_reserved_state or attempt.ended:
            return
        context = self._context
        limit_us = round(UNANSWERED_SHARE * context.settings.release_within_us)
        left_us = request.reserved_since_us + limit_us - context.clock.now_us()
        attempt.unanswered_timer = context.wheel.after(
            max(left_us, MIN_UNANSWERED_US), lambda: self._unanswered(attempt, acknowledged)
        )

    def attempt_ended(self, attempt: Attempt, status: AttemptStatus, note: int) -> None:
        """Take in how an attempt ended; ``note`` is that of the router's contract."""
        self._stop_following(attempt)
        request = attempt.request
        request.prefill_interrupted = status in INTERRUPTED and attempt.may_prefill
        # What has not arrived does not stop the clock of the state reserved before it.
        restarts_clock = status not in NEVER_SENT and (
            attempt.delivered or not request.has_reserved_state
        )
        if status is AttemptStatus.PREFILLED:
            attempt.cached_tokens = note
        if status is AttemptStatus.PREFILLED or request.prefill_interrupted:
            request.has_reserved_state = True
            request.state_holder = attempt.server
        if restarts_clock:
            request.reserved_since_us = self._context.clock.now_us()

    def stream_committed(self, attempt: Attempt) -> None:
        """Note that a stream has begun: the state has moved along with it."""
        self._stop_following(attempt)
        attempt.request.has_reserved_state = False

    def release(self, request: Request) -> None:
        """Have the fleet release what is reserved for a request with nothing in flight."""
        request.has_reserved_state = False
        if self._context.fleet is not None:
            self._context.fleet.release(request, request.prefill_interrupted)

    def reserved_for_us(self, request: Request) -> int:
        """Return for how long state has been reserved without a send known to have arrived."""
        return self._context.clock.now_us() - request.reserved_since_us

    def _unanswered(self, attempt: Attempt, acknowledged: Acknowledged) -> None:
        request = attempt.request
        if attempt.ended or attempt.committed or not request.has_reserved_state:
            return
        self._context.metrics.unanswered_sends += 1
        if self._context.fleet is not None:
            # ``has_reserved_state`` stays: if the attempt did arrive, its state outlives this.
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
    def _stop_following(attempt: Attempt) -> None:
        if attempt.unanswered_timer is not None:
            attempt.unanswered_timer.cancel()
