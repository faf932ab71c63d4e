"""State that the parts of a request dispatcher share: its settings, clock, fleet and records.

``RequestDispatcher`` creates the context and passes it to its parts. The context owns the settings
in force and the reference to the fleet; the other objects in it own their state themselves.
"""

from collections.abc import Callable
from dataclasses import dataclass

import structlog

from onyxpass.core.clock import Clock
from onyxpass.core.endpoints import EndpointTable
from onyxpass.core.metrics import Metrics
from onyxpass.core.request_registry import RequestRegistry
from onyxpass.core.requests import Attempt, Request, ServerFleet
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.invariants import InvariantChecker, Verdict
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus

log = structlog.get_logger("core")


@dataclass(eq=False, slots=True)
class DispatcherContext:
    """The shared state of a dispatcher's parts, accessed only from the event loop's thread."""

    settings: contract.Settings
    clock: Clock
    wheel: TimerWheel
    metrics: Metrics
    invariants: InvariantChecker
    endpoints: EndpointTable
    registry: RequestRegistry
    notify_router: Callable[[contract.Event], None]  # queues an event without waiting
    fleet: ServerFleet | None = None  # nothing can be sent while it is None

    def traffic_class_of(self, request: Request) -> contract.TrafficClass | None:
        """Return the request's class from the settings in force, or None if it is unknown."""
        name = request.arrival.traffic_class
        return next((known for known in self.settings.classes if known.name == name), None)

    def idempotency_of(self, request: Request) -> contract.Idempotency:
        """Return the request's idempotency; a request of an unknown class may run only once."""
        traffic_class = self.traffic_class_of(request)
        return traffic_class.idempotency if traffic_class is not None else contract.Idempotency.NONE

    def stop_attempt(self, attempt: Attempt, status: AttemptStatus) -> None:
        """Have the fleet close an attempt, which then ends with ``status``.

        An attempt of which certainly nothing was sent ends as NOT_SENT instead. The end is reported
        only after the close, so that a retry cannot overtake the close.
        """
        if not attempt.ended and attempt.stop_status is None and self.fleet is not None:
            attempt.stop_status = status
            self.fleet.stop(attempt)


def enforce(verdict: Verdict, request: Request, attempt: Attempt | None = None) -> bool:
    """Return whether the verdict allows a step; log a violation if it does not.

    A violation means that the code that led to this check has a defect.
    """
    if not verdict:
        fields = {"n": attempt.number, "server": attempt.server} if attempt is not None else {}
        log.error("violation", id=request.id, **verdict.log_fields(), **fields)
    return bool(verdict)
