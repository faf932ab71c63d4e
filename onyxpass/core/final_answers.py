"""The one final answer of each request, which is given once and counted once.

A request whose client has left is finished without an answer and counts as failed.
"""

from collections.abc import Callable

import structlog

from onyxpass.core.context import DispatcherContext, enforce
from onyxpass.core.reasons import DisconnectReason, Reason
from onyxpass.core.requests import Request
from onyxpass.invariants import Rule
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus

LATE_MARGIN_US = 10_000  # a failure this shortly before the deadline counts as a time-out
log = structlog.get_logger("core")


class FinalAnswers:
    """Gives the clients their final answers and counts them."""

    def __init__(self, context: DispatcherContext) -> None:
        self._context = context

    def reject(self, request: Request, retry_after_us: int, shutting_down: bool) -> None:
        """Reject a request if a retry by the client is harmless; fail it otherwise.

        A retry of an idempotent request is harmless. A retry of another request is not if an
        attempt may still run, or if one may have run and not every server discards duplicates. This
        includes attempts at prefill servers: an interruption there does not prove that nothing has
        run.
        """
        if self._may_run(request):
            self.fail(request, "it may have run")
            return
        reason = Reason.ATTEMPTS_FAILED if request.attempts else Reason.NO_CAPACITY
        if shutting_down:
            reason = Reason.SHUTTING_DOWN
        request.rejected = True
        log.info("refused", id=request.id, attempts=len(request.attempts), why=reason)
        self._answer(
            request,
            lambda: request.client.reject(retry_after_us),
            self._context.metrics.count_rejected,
            rejection=True,
        )

    def fail(self, request: Request, reason: str) -> None:
        """Fail a request that has no final answer yet; it may have run."""
        if request.finished:
            return
        log.info("failed", id=request.id, attempts=len(request.attempts), why=reason)
        last_status = request.attempts[-1].status if request.attempts else None
        now_us = self._context.clock.now_us()
        out_of_time = now_us >= request.arrival.deadline_us - LATE_MARGIN_US
        late = out_of_time or last_status is AttemptStatus.TIMED_OUT
        self._answer(
            request, lambda: request.client.fail(reason, late), self._context.metrics.count_failed
        )

    def complete(self, request: Request) -> None:
        """Tell the client that its stream is complete."""
        self._answer(request, request.client.complete, self._context.metrics.count_completed)

    def abort_stream(self, request: Request, reason: str) -> None:
        """Tell the client that its stream was cut off after it had begun."""
        self._answer(
            request, lambda: request.client.abort(reason), self._context.metrics.count_failed
        )

    def fail_and_stop(self, request: Request, reason: str, status: AttemptStatus) -> None:
        """Fail a request and stop its attempt in flight with ``status``."""
        self.fail(request, reason)
        self._withdraw(request, status)

    def abort(self, request: Request, reason: str) -> None:
        """End an unfinished request at once, whether or not its stream has begun."""
        if request.committed is None:
            self.fail_and_stop(request, reason, AttemptStatus.CANCELLED)
            return
        self.abort_stream(request, reason)
        self._withdraw(request, AttemptStatus.CANCELLED)

    def fail_overdue(self, request: Request) -> None:
        """Fail a request whose stream has not begun in time.

        Gives every request an answer in time, whatever else has failed.
        """
        if request.finished or request.committed is not None:
            return
        log.warning("overdue", id=request.id)
        self.fail_and_stop(request, "no answer in time", AttemptStatus.TIMED_OUT)

    def client_disconnected(
        self, request: Request, why: DisconnectReason = DisconnectReason.CLOSED
    ) -> None:
        """Finish a request whose client has left and stop its attempt in flight."""
        if request.finished:
            return
        log.info("client_gone", id=request.id, committed=request.committed is not None, why=why)
        context = self._context
        context.registry.finish(request)
        context.invariants.record_client_disconnect(request.id, context.clock.now_us())
        context.metrics.count_failed(request.arrival.traffic_class)
        self._withdraw(request, AttemptStatus.CANCELLED)

    def _withdraw(self, request: Request, status: AttemptStatus) -> None:
        # The router must receive this before the attempt's end; otherwise it would retry.
        self._context.notify_router(contract.RequestWithdrawn(request.number))
        if request.in_flight is not None:
            self._context.stop_attempt(request.in_flight, status)

    def _may_run(self, request: Request) -> bool:
        traffic_class = self._context.traffic_class_of(request)
        if traffic_class is not None and (
            traffic_class.idempotency is contract.Idempotency.IDEMPOTENT
        ):
            return False
        if request.in_flight is not None:
            return True
        deduplicated = traffic_class is not None and traffic_class.deduplicated_everywhere
        return not deduplicated and any(attempt.may_have_run for attempt in request.attempts)

    def _answer(
        self,
        request: Request,
        send_answer: Callable[[], None],
        count: Callable[[str], None],
        rejection: bool = False,
    ) -> None:
        """Give the final answer. All answers pass through here, so that each is counted once.

        An exception from ``send_answer`` is only logged, so that the router still receives the
        request's end.
        """
        verdict = self._context.invariants.check_answer(request.id, rejection)
        if not enforce(verdict, request) and verdict.rule is Rule.ONE_ANSWER:
            return
        if verdict.rule is Rule.REFUSAL:
            self._answer(
                request,
                lambda: request.client.fail(verdict.detail, False),
                self._context.metrics.count_failed,
            )
            return
        self._context.registry.finish(request)
        count(request.arrival.traffic_class)
        try:
            send_answer()
        except Exception:
            # Clients are code of a wire protocol; their errors must not affect the router's events.
            log.exception("final_answer_failed", id=request.id)
