"""What the parts of one request dispatcher share: its settings, clock, fleet and records.

``RequestDispatcher`` creates the one context of a process and hands it to the parts. Each record in
it has its own owner; the context itself owns only the settings in force and the fleet.
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
    """The shared state of one dispatcher's parts. Only the event loop's thread touches it."""

    settings: contract.Settings
    clock: Clock
    wheel: TimerWheel
    metrics: Metrics
    invariants: InvariantChecker
    endpoints: EndpointTable
    registry: RequestRegistry
    notify_router: Callable[[contract.Event], None]  # queues an event; never waits
    fleet: ServerFleet | None = None  # until one is connected, nothing can be sent

    def traffic_class_of(self, request: Request) -> contract.TrafficClass | None:
        """Return the request's class by the settings in force, or None if it is unknown."""
        name = request.arrival.traffic_class
        return next((known for known in self.settings.classes if known.name == name), None)

    def idempotency_of(self, request: Request) -> contract.Idempotency:
        """Return how often the request may run; one of an unknown class may run only once."""
        traffic_class = self.traffic_class_of(request)
        return traffic_class.idempotency if traffic_class is not None else contract.Idempotency.NONE

    def stop_attempt(self, attempt: Attempt, status: AttemptStatus) -> None:
        """Have the fleet close an attempt, which then ends with ``status``.

        The end is reported only after the close. Prevents a retry from overtaking the close.
        """
        if not attempt.ended and attempt.stop_status is None and self.fleet is not None:
            attempt.stop_status = status
            self.fleet.stop(attempt)


def enforce(verdict: Verdict, request: Request, attempt: Attempt | None = None) -> bool:
    """Return whether the invariants allow a step, and log it if they do not.

    A violation means that the code before this check is wrong.
    """
    if not verdict:
        sent = {"n": attempt.number, "server": attempt.server} if attempt is not None else {}
        log.error("violation", id=request.id, **verdict.log_fields(), **sent)
    return bool(verdict)
