"""Whether an attempt may be sent, and the times that it may take.

Nothing here changes a request, except that a client found to have left is handled as such.
"""

from onyxpass.core.context import DispatcherContext, enforce
from onyxpass.core.final_answers import FinalAnswers
from onyxpass.core.reasons import Reason
from onyxpass.core.requests import Attempt, Request
from onyxpass.scheduling import contract

MIN_CONNECT_TIMEOUT_US = 30_000  # a connection has at least so long to come up


class SendPreconditions:
    """Checks an attempt when it is chosen, and again just before its first byte goes out."""

    def __init__(self, context: DispatcherContext, answers: FinalAnswers) -> None:
        self._context = context
        self._answers = answers

    def check(self, attempt: Attempt) -> Reason:
        """Return why the attempt may not begin now; ``Reason.NONE`` if it may.

        Checked when the attempt is chosen, and again in the step in which its first byte goes: a
        connect or a release before it takes time, in which the endpoint list, the client and the
        window for deduplication may change.
        """
        request = attempt.request
        context = self._context
        now_us = context.clock.now_us()
        if attempt.ended or attempt.stop_status is not None:
            return Reason.CANCELLED
        # Prevents an attempt for a client whose leaving this process has not yet had time to read.
        if not request.finished and request.client.has_disconnected():
            self._answers.client_disconnected(request)
        if request.finished:
            return Reason.REQUEST_FINISHED
        if now_us >= request.arrival.deadline_us:
            return Reason.DEADLINE_EXCEEDED
        if attempt.number >= context.settings.max_attempts:
            return Reason.TOO_MANY_ATTEMPTS
        if not context.endpoints.accepts_new_work(attempt.server):
            return Reason.NOT_LISTED
        return Reason.NONE if self._may_run_again(attempt, now_us) else Reason.NOT_IDEMPOTENT

    def check_first_byte(self, attempt: Attempt) -> Reason:
        """Return why the first byte may not go now; if ``Reason.NONE``, it must go in this step."""
        if reason := self.check(attempt):
            return reason
        context = self._context
        verdict = context.invariants.check_send(
            attempt.request.id,
            attempt.number,
            attempt.server,
            attempt.may_generate,
            self.remaining_ms(attempt) * 1000,
            context.clock.now_us(),
        )
        allowed = enforce(verdict, attempt.request, attempt)
        return Reason.NONE if allowed else Reason.INVARIANT_VIOLATED

    def remaining_ms(self, attempt: Attempt) -> int:
        """Return the milliseconds, at least 1, that the attempt's server may still use.

        Prevents a server from working, after a connect or a release took its time, for a client
        that will have left by then.
        """
        expires_us = attempt.sent_us + attempt.timeout_us
        return max(1, (expires_us - self._context.clock.now_us()) // 1000)

    def connect_timeout_us(self, request: Request, max_us: int) -> int:
        """Return how long a connection for this request may take to come up, in microseconds.

        Prevents state from staying reserved while one server after the other is connected to in
        vain: each connect may take half of what is left of the time in which the state has to be
        used or released.
        """
        if not request.has_reserved_state:
            return max_us
        context = self._context
        reserved_for_us = context.clock.now_us() - request.reserved_since_us
        left_us = context.settings.release_within_us - reserved_for_us
        return min(max_us, max(MIN_CONNECT_TIMEOUT_US, left_us // 2))

    def _may_run_again(self, attempt: Attempt, now_us: int) -> bool:
        """Return whether what may have run before allows this attempt; a prefill has no effect."""
        traffic_class = self._context.traffic_class_of(attempt.request)
        idempotency = (
            traffic_class.idempotency if traffic_class is not None else contract.Idempotency.NONE
        )
        if idempotency is contract.Idempotency.IDEMPOTENT:
            return True
        may_have_run = [
            other
            for other in attempt.request.attempts
            if other is not attempt and other.may_generate and other.may_have_run
        ]
        if not may_have_run:
            return True
        if traffic_class is None or idempotency is contract.Idempotency.NONE:
            return False
        if now_us >= may_have_run[0].sent_us + traffic_class.deduplication_window_us:
            return False
        scope = traffic_class.deduplication_scope
        if scope is contract.DeduplicationScope.ALL:
            return True
        here = attempt.endpoint
        return here is not None and all(
            other.endpoint is not None and scope.covers_both(here, other.endpoint)
            for other in may_have_run
        )
