"""The actor between the fronts, the router and the fleet.

It accepts requests, queues what happens to them as events for the router, and carries out the
router's actions. Whatever the router decides, each request gets one final answer, has at most one
attempt in flight and ``max_attempts`` in total, and nothing more is sent once an attempt's stream
has begun. An action that would break one of these rules is not carried out.

The actor owns the router and the dispatcher's parts: registry, endpoint table, send preconditions,
state reservations, outcomes, final answers and shutdown.
"""

from collections.abc import Iterable

import structlog

from onyxpass.core import event_loop
from onyxpass.core.actor import Actor
from onyxpass.core.clock import Clock
from onyxpass.core.context import DispatcherContext, enforce
from onyxpass.core.endpoints import COMPLETE_FORMS, EndpointTable
from onyxpass.core.final_answers import FinalAnswers
from onyxpass.core.loop_turn import StepPriority, step_waits
from onyxpass.core.memory_budget import MEGABYTE, MemoryBudget
from onyxpass.core.metrics import Metrics
from onyxpass.core.outcomes import AttemptOutcomes
from onyxpass.core.reasons import Reason
from onyxpass.core.request_registry import RequestRegistry
from onyxpass.core.requests import Attempt, Client, Request, ServerFleet
from onyxpass.core.send_preconditions import SendPreconditions
from onyxpass.core.shutdown import Shutdown
from onyxpass.core.state_reservations import StateReservations
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.invariants import InvariantChecker
from onyxpass.scheduling import contract, prefix_affinity
from onyxpass.scheduling.contract import AttemptStatus
from onyxpass.scheduling.router import Router

# The router's deadline is earlier than the client's by the time that an answer needs to arrive.
ANSWER_MARGIN_US = 20_000
# A request without an answer is failed this long after the router's deadline, before its client
# leaves.
OVERDUE_AFTER_US = 10_000
AFFINITY_DIVISOR = 24  # part of the memory that the table of sessions and prefixes may take
TIMER_RETRY_US = 50_000  # until a timer event on which the router failed is repeated
log = structlog.get_logger("core")


class RequestDispatcher(Actor[contract.Event]):
    """Handles one dispatcher's requests. Not thread-safe: all calls come from one event loop."""

    def __init__(
        self, settings: contract.Settings, seed: int, clock: Clock, wheel: TimerWheel
    ) -> None:
        super().__init__("module")
        self.clock = clock
        self.wheel = wheel
        self.router = Router(settings, seed)
        self.deadlines = _deadlines(settings)
        self.metrics = Metrics(traffic_class.name for traffic_class in settings.classes)
        self.invariants = InvariantChecker(settings)
        self.endpoints = EndpointTable(settings.kinds, clock)
        self.registry = RequestRegistry(clock, self.invariants)
        self.memory_budget = MemoryBudget()
        self._context = DispatcherContext(
            settings,
            clock,
            wheel,
            self.metrics,
            self.invariants,
            self.endpoints,
            self.registry,
            self.tell,
        )
        self.answers = FinalAnswers(self._context)
        self.reservations = StateReservations(self._context)
        self.outcomes = AttemptOutcomes(self._context, self.answers, self.reservations)
        self.preconditions = SendPreconditions(self._context, self.answers)
        self.shutdown = Shutdown(self.registry, self.answers)

    @property
    def settings(self) -> contract.Settings:
        """The settings in force."""
        return self._context.settings

    def limit_memory(self, memory_mb: int, connections: int) -> None:
        """Set the memory that the process may use, with so many client connections at once."""
        self.memory_budget = MemoryBudget(memory_mb, connections)
        entries = memory_mb * MEGABYTE // AFFINITY_DIVISOR // prefix_affinity.ENTRY_BYTES
        self.router.affinity.memory_limit = max(1, entries)

    def connect_fleet(self, fleet: ServerFleet) -> None:
        """Set the fleet that carries out attempts; nothing is sent without one."""
        self._context.fleet = fleet

    def apply_settings(self, settings: contract.Settings) -> None:
        """Apply new settings; the names, kinds and idempotency in them must be unchanged."""
        self._context.settings = settings
        self.invariants.apply_settings(settings)
        self.deadlines = _deadlines(settings)
        self.tell(contract.SettingsChanged(settings))

    def update_endpoints(
        self, update: contract.EndpointUpdate, absent_us: int | None = None
    ) -> None:
        """Apply a change of the endpoint list; pending sends observe it at once.

        Start times are as reported, by the wall clocks of the servers' machines. ``absent_us``:
        when the list was last known without this change, on the dispatcher's clock; None if
        unknown.
        """
        now_us = self.clock.now_us()
        update = self.endpoints.apply(update, now_us, absent_us)
        self.invariants.record_endpoints(update.endpoints, update.form in COMPLETE_FORMS, now_us)
        self.tell(update)

    def set_exclusions(self, servers: Iterable[str]) -> None:
        """Set the manually excluded servers; pending sends observe this at once, as a drain."""
        for server in self.endpoints.exclude(servers):
            excluded = server in self.endpoints.excluded
            log.info("server_excluded" if excluded else "server_readmitted", server=server)
            self.tell(contract.Exclusion(server, excluded))
            if self._context.fleet is not None:
                self._context.fleet.drop_connections(server)

    def submit(
        self, request_id: str, arrival: contract.Arrival, client: Client, payload: object
    ) -> Request:
        """Accept a request; its client gets one final answer.

        ``arrival.id`` comes from ``registry.allocate_number``.
        """
        request = Request(request_id, arrival.id, arrival, client, payload, self.clock.now_us())
        self.registry.add(request)
        self.metrics.received += 1
        self.invariants.record_request(request_id, arrival.traffic_class, arrival.deadline_us)
        if self.shutdown.begun:
            self._reject(request, 0)
            self._remove_finished(request)
            return request
        remaining_us = arrival.deadline_us - self.clock.now_us() + OVERDUE_AFTER_US
        request.deadline_timer = self.wheel.after(
            remaining_us, lambda: self.answers.fail_overdue(request)
        )
        self.tell(arrival)
        return request

    def adopt_stream(self, request: Request, attempt: Attempt) -> None:
        """Continue a stream that another process began, to which the request is committed."""
        request.adopted = True
        request.attempts = [attempt]
        request.in_flight = attempt
        request.committed = attempt
        self.registry.add(request)
        self.metrics.received += 1
        arrival = request.arrival
        self.invariants.record_adopted_stream(
            request.id, arrival.traffic_class, attempt.number, attempt.server, self.clock.now_us()
        )
        tokens = arrival.prompt_tokens + arrival.max_tokens // 2
        self.tell(contract.StreamAdopted(request.number, attempt.server, tokens))

    def check_connection_close(self, request: Request | None, unanswered: bool) -> None:
        """Check that a front may close a client connection; ``request`` is the last one on it."""
        if unanswered and request is not None:
            enforce(self.invariants.check_close(unanswered), request)

    def idempotency_of(self, request: Request) -> contract.Idempotency:
        """Return the request's idempotency; a request of an unknown class may run only once."""
        return self._context.idempotency_of(request)

    def metric_rows(self) -> dict[str, int]:
        """Return all metrics by name, including the number of servers that the router avoids."""
        avoided = self.router.avoided(self.clock.now_us()) & self.endpoints.by_id.keys()
        rows = self.metrics.rows(len(self.endpoints.by_id), len(avoided))
        rows["svc.longest_loop_turn_us"] = event_loop.longest_turn_us()
        for priority in StepPriority:
            waits, name = step_waits(priority), priority.name.lower()
            rows[f"svc.delayed_steps.{name}"] = waits.steps
            rows[f"svc.longest_step_wait_us.{name}"] = waits.longest_us
        rows["svc.client_bytes"] = self.memory_budget.charged_bytes
        rows["svc.client_bytes_limit"] = self.memory_budget.limit_bytes
        rows["svc.memory_evictions"] = self.memory_budget.evictions
        return rows | {"svc.violations": self.invariants.violations.total()}

    def receive(self, message: contract.Event) -> None:
        """Pass an event to the router and carry out its actions."""
        request = self._request_of(message)
        if isinstance(message, contract.Arrival) and (request is None or request.finished):
            # The request ended before the router received it, for instance because its client left.
            self.registry.remove(request)
            return
        try:
            for action in self.router.handle(self.clock.now_us(), message):
                self._apply(action)
        finally:
            # Prevents requests from staying registered forever: an event, such as a timer's, may
            # finish other requests than the one it names.
            for finished in self.registry.take_recently_finished():
                self._remove_finished(finished)
            if request is not None:
                self._remove_finished(request)

    def recover(self, message: contract.Event) -> None:
        """Repeat a timer event on which the router failed, or fail the request of another event.

        Only the request of an arrival or outcome is failed, and only with nothing in flight.
        """
        if isinstance(message, contract.TimerFired):
            self.wheel.after(TIMER_RETRY_US, lambda: self.tell(message))
        if not isinstance(message, contract.Arrival | contract.AttemptOutcome):
            return
        request = self.registry.by_number.get(message.id)
        if request is not None and request.in_flight is None:
            self.answers.fail(request, "the dispatcher's own fault")
            self._remove_finished(request)

    def _request_of(self, event: contract.Event) -> Request | None:
        if isinstance(
            event,
            contract.StreamStarted
            | contract.AttemptOutcome
            | contract.Arrival
            | contract.RequestWithdrawn,
        ):
            return self.registry.by_number.get(event.id)
        return None

    def _apply(self, action: contract.Action) -> None:
        match action:
            case contract.SendAttempt(number, server, timeout_us):
                self._send(number, server, timeout_us)
            case contract.HealthCheck(server):
                self._check_health(server)
            case contract.SetTimer(ref, delay_us):
                self.wheel.after(delay_us, lambda: self.tell(contract.TimerFired(ref)))
            case contract.LogMessage(text):
                log.info("router_message", text=text)
            case contract.FetchEndpoints() | contract.WatchEndpoints():
                pass  # the endpoint list is always watched
            case _:
                request = self.registry.by_number.get(action.id)
                if request is not None:
                    self._apply_to(request, action)

    def _apply_to(
        self,
        request: Request,
        action: contract.Reject | contract.Fail | contract.ReleaseState | contract.CancelAttempt,
    ) -> None:
        match action:
            case contract.Reject(_, retry_after_us):
                if not request.finished:
                    self._reject(request, retry_after_us)
            case contract.Fail():
                self.answers.fail(request, "no answer could be had")
            case contract.ReleaseState():
                # While an attempt is in flight, the state is released at its end, unless a stream
                # has used it.
                if request.has_reserved_state and request.in_flight is None:
                    self.reservations.release(request)
            case contract.CancelAttempt(_, attempt_number):
                attempt = request.in_flight
                if attempt is None or attempt.committed:
                    return
                if attempt.number == attempt_number:
                    self._context.stop_attempt(attempt, AttemptStatus.CANCELLED)

    def _send(self, number: int, server: str, timeout_us: int) -> None:
        request = self.registry.by_number.get(number)
        if request is None:
            log.error("send_for_unknown_request", number=number)
            return
        attempt = self._new_attempt(request, server, timeout_us)
        if request.in_flight or request.committed:
            reason = Reason.ANOTHER_IN_FLIGHT
        else:
            reason = self.preconditions.check(attempt)
        fleet = self._context.fleet
        if reason or fleet is None:
            reason = reason or Reason.NO_FLEET
            self.outcomes.attempt_ended(attempt, AttemptStatus.NOT_SENT, reason=reason)
            return
        request.in_flight = attempt
        attempt.timer = self.wheel.after(
            attempt.timeout_us,
            lambda: self._context.stop_attempt(attempt, AttemptStatus.TIMED_OUT),
        )
        fleet.start(attempt)

    def _new_attempt(self, request: Request, server: str, timeout_us: int) -> Attempt:
        now_us = self.clock.now_us()
        remaining_us = request.arrival.deadline_us - now_us
        attempt = Attempt(
            request, len(request.attempts), server, min(timeout_us, remaining_us), now_us
        )
        attempt.may_prefill = self.endpoints.may_prefill(server)
        attempt.may_generate = self.endpoints.may_generate(server)
        attempt.endpoint = self.endpoints.by_id.get(server)
        attempt.view_number = self.endpoints.view_number
        request.attempts.append(attempt)
        return attempt

    def _check_health(self, server: str) -> None:
        fleet = self._context.fleet
        allowed = self.settings.health_checks_allowed and server not in self.endpoints.excluded
        if fleet is not None and allowed:
            fleet.check_health(server)

    def _reject(self, request: Request, retry_after_us: int) -> None:
        self.answers.reject(request, retry_after_us, self.shutdown.begun)

    def _remove_finished(self, request: Request) -> None:
        """Release the state of a finished request with nothing in flight, and unregister it."""
        if not request.finished or request.in_flight is not None:
            return
        if request.has_reserved_state:
            self.reservations.release(request)
        if request.number in self.registry.by_number and all(
            attempt.ended for attempt in request.attempts
        ):
            self.registry.remove(request)


def _deadlines(settings: contract.Settings) -> dict[str, int]:
    return {traffic_class.name: traffic_class.deadline_us for traffic_class in settings.classes}
