"""Applies the events of attempts to their requests, and passes them on to the router.

The first event of an attempt commits the request to it: from then on, the attempt's stream is
forwarded to the client and nothing more is sent. An attempt ends once; later reports of its end
are ignored.
"""

import structlog

from onyxpass.core.context import DispatcherContext, enforce
from onyxpass.core.final_answers import FinalAnswers
from onyxpass.core.requests import Attempt, Request
from onyxpass.core.state_reservations import INTERRUPTED, StateReservations
from onyxpass.core.timing import measure_answer
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus

# Statuses that only an answer of the server can have caused.
ANSWERED = (
    AttemptStatus.COMPLETED,
    AttemptStatus.PREFILLED,
    AttemptStatus.OVERLOADED,
    AttemptStatus.ERROR,
    AttemptStatus.INVALID_REQUEST,
)
log = structlog.get_logger("core")


class AttemptOutcomes:
    """Processes what the fleet reports about attempts."""

    def __init__(
        self,
        context: DispatcherContext,
        answers: FinalAnswers,
        reservations: StateReservations,
    ) -> None:
        self._context = context
        self._reservations = reservations
        self._clock = context.clock  # read for each event of a stream
        self._answers = answers

    def request_sent(self, attempt: Attempt) -> None:
        """Count an attempt whose last byte has been sent; only the first report counts."""
        if not attempt.fully_sent:
            attempt.fully_sent = True
            self._context.metrics.upstream += 1

    def stream_event_received(self, attempt: Attempt) -> bool:
        """Record an event of an attempt's stream; return whether to forward it to the client."""
        request = attempt.request
        stopped = attempt.ended or attempt.stop_status
        if stopped or request.finished or request.in_flight is not attempt:
            return False
        if request.committed is None and not self._commit(request, attempt):
            return False
        now_us = self._clock.now_us()
        if attempt.event_count:
            attempt.longest_gap_us = max(attempt.longest_gap_us, now_us - attempt.last_event_us)
        attempt.event_count += 1
        attempt.last_event_us = now_us
        return True

    def attempt_ended(
        self, attempt: Attempt, status: AttemptStatus, note: int = 0, reason: str = ""
    ) -> None:
        """Record the end of an attempt; only the first report counts.

        ``note`` is that of ``contract.AttemptOutcome``: for a prefill, the cached tokens.
        """
        if attempt.ended:
            return
        request = attempt.request
        status = self._close(attempt, status)
        if status in INTERRUPTED and not attempt.delivered and not note:
            note = contract.DELIVERY_UNCONFIRMED
        reserved_for_us = (
            self._reservations.reserved_for_us(request) if request.has_reserved_state else 0
        )
        self._reservations.attempt_ended(attempt, status, note)
        self._log_end(attempt, status, reason, reserved_for_us)
        if request.committed is attempt and not request.finished:
            if status is AttemptStatus.COMPLETED:
                self._answers.complete(request)
            else:
                self._answers.abort_stream(request, reason or status.value)
        self._context.notify_router(
            contract.AttemptOutcome(
                request.number,
                attempt.number,
                attempt.server,
                status,
                attempt.duration_us,
                request.finished,
                note,
            )
        )

    def stream_migrated(self, attempt: Attempt) -> None:
        """Finish a stream that the next process has taken over and counts as its own."""
        request = attempt.request
        if attempt.ended or request.finished:
            return
        attempt.ended = True
        attempt.status = AttemptStatus.CANCELLED
        request.in_flight = None
        self._context.registry.finish(request)
        self._context.metrics.received -= 1
        log.info("stream_migrated", id=request.id, server=attempt.server)
        self._context.notify_router(
            contract.AttemptOutcome(
                request.number, attempt.number, attempt.server, AttemptStatus.CANCELLED, 0, True
            )
        )

    def _commit(self, request: Request, attempt: Attempt) -> bool:
        """Commit the request to the attempt, if the invariants allow it."""
        context = self._context
        verdict = context.invariants.check_commit(request.id, attempt.number)
        if not enforce(verdict, request, attempt):
            return False
        request.committed = attempt
        self._reservations.stream_committed(attempt)
        for timer in (attempt.timer, request.deadline_timer):
            if timer is not None:
                timer.cancel()
        attempt.first_event_us = self._clock.now_us() - attempt.sent_us
        context.notify_router(
            contract.StreamStarted(
                request.number, attempt.number, attempt.server, attempt.first_event_us
            )
        )
        return True

    def _close(self, attempt: Attempt, status: AttemptStatus) -> AttemptStatus:
        """Record the end and return its status; a stopped attempt gets the status of the stop."""
        request = attempt.request
        attempt.ended = True
        if status is AttemptStatus.CANCELLED and attempt.stop_status is not None:
            status = attempt.stop_status
        attempt.status = status
        self._context.invariants.record_attempt_end(request.id, attempt.number, status)
        if attempt.timer is not None:
            attempt.timer.cancel()
        if request.in_flight is attempt:
            request.in_flight = None
        attempt.duration_us = self._clock.now_us() - attempt.sent_us
        attempt.delivered = attempt.delivered or status in ANSWERED
        return status

    def _log_end(
        self, attempt: Attempt, status: AttemptStatus, reason: str, reserved_for_us: int
    ) -> None:
        """Log the end of an attempt, except of a successful prefill.

        ``reserved_for_us``: how long state had been reserved when the attempt ended.
        """
        if status is AttemptStatus.PREFILLED:
            return
        request = attempt.request
        fields: dict[str, object] = {
            "id": request.id,
            "cls": request.arrival.traffic_class,
            "n": attempt.number,
            "server": attempt.server,
            "prompt": request.arrival.prompt_tokens,
        }
        if attempt.view_number:
            fields["view"] = attempt.view_number
        if reserved_for_us:
            fields |= {"holder": request.state_holder, "held_us": reserved_for_us}
        if status is AttemptStatus.COMPLETED:
            log.info("served", **fields, **self._count_completed(attempt))
        else:
            if attempt.event_count:  # of a stream that was cut off
                fields["parts"] = attempt.event_count
            log.info("attempt", **fields, end=status.value, us=attempt.duration_us, why=reason)

    def _count_completed(self, attempt: Attempt) -> dict[str, object]:
        """Count the timeliness of a completed answer and return its log fields."""
        traffic_class = self._context.traffic_class_of(attempt.request)
        timing = measure_answer(attempt, traffic_class)
        if traffic_class is not None and timing.assessment is not None:
            self._context.metrics.count_timeliness(traffic_class.name, timing.assessment.timeliness)
        return timing.log_fields()
