"""The router: takes timestamped events and returns actions, without I/O.

It passes each event to the modules that decide, and combines their decisions into actions. A router
owns all its state: the requests that wait or have an attempt in flight, and the state of its
components.
"""

from collections.abc import Callable
from typing import Any

from onyxpass.scheduling import contract
from onyxpass.scheduling.admission import AdmissionController
from onyxpass.scheduling.attempt_timeouts import AttemptTimeouts
from onyxpass.scheduling.candidates import CandidateFilter
from onyxpass.scheduling.contract import AttemptStatus, Role
from onyxpass.scheduling.decode_placement import DecodePlacer
from onyxpass.scheduling.endpoint_polling import EndpointPolling
from onyxpass.scheduling.health_checks import HealthChecks
from onyxpass.scheduling.latency_baselines import LatencyBaselines
from onyxpass.scheduling.outcome_recorder import OutcomeRecorder
from onyxpass.scheduling.outlier_detection import FailureKind
from onyxpass.scheduling.prefill_selection import PrefillSelector
from onyxpass.scheduling.prefix_affinity import PrefixAffinityTable
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.retry_policy import TIMER_INTERVAL_US, RetryPolicy
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState
from onyxpass.scheduling.slow_start import SlowStart


class Router:
    """Makes the scheduling decisions of one dispatcher.

    The caller passes it events with their time and carries out its actions in order. ``seed`` is
    not used: routers with the same settings and events decide alike.
    """

    def __init__(self, settings: contract.Settings, seed: int = 0) -> None:  # noqa: ARG002
        # The seed is part of the interface that other policies share.
        self.requests: dict[int, RequestState] = {}
        self.pool = ServerPool(settings)
        self.slow_start = SlowStart(settings)
        self.baselines = LatencyBaselines()
        self.affinity = PrefixAffinityTable(self.pool)
        self.admission = AdmissionController(self.pool)
        self.candidates = CandidateFilter(self.pool, self.slow_start)
        self.prefill = PrefillSelector(self.pool, self.candidates, self.affinity, self.baselines)
        self.decode = DecodePlacer(self.pool, self.candidates, self.baselines)
        self.retries = RetryPolicy(self.pool)
        self.timeouts = AttemptTimeouts(self.pool, self.baselines)
        self.health_checks = HealthChecks(self.pool)
        self.polling = EndpointPolling()
        self.outcomes = OutcomeRecorder(
            self.requests, self.pool, self.slow_start, self.baselines, self.affinity
        )
        self._now_us = 0
        self._timer_set = False
        self._actions: list[contract.Action] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            contract.Arrival: self._on_arrival,
            contract.StreamStarted: self._on_stream_started,
            contract.StreamAdopted: self._on_stream_adopted,
            contract.AttemptOutcome: self._on_attempt_outcome,
            contract.RequestWithdrawn: self._on_withdrawn,
            contract.HealthCheckResult: self._on_health_check_result,
            contract.EndpointUpdate: self._on_endpoint_update,
            contract.Exclusion: self._on_exclusion,
            contract.SettingsChanged: self._on_settings_changed,
            contract.TimerFired: self._on_timer,
        }

    @property
    def servers(self) -> dict[str, ServerState]:
        """The servers on the endpoint list, by id."""
        return self.pool.servers

    def avoided(self, now_us: int) -> set[str]:
        """Return the ids of the servers that get no work now: excluded, ejected or in a trial."""
        return self.pool.avoided(now_us)

    def handle(self, now_us: int, event: contract.Event) -> list[contract.Action]:
        """Handle one event and return the actions to carry out, in order."""
        self._now_us = now_us
        self._actions = []
        if handler := self._handlers.get(type(event)):
            handler(event)
        # Any event may leave work for the timer.
        if not (self._timer_set or isinstance(event, contract.TimerFired)):
            self._timer_set = True
            self._actions.append(contract.SetTimer(0, TIMER_INTERVAL_US))
        return self._actions

    def _on_settings_changed(self, event: contract.SettingsChanged) -> None:
        # Requests in progress keep the traffic class that they arrived with.
        self.pool.settings = event.settings
        self.slow_start.settings = event.settings
        self.admission.reconfigure(event.settings)
        self.prefill.reconfigure(event.settings)

    def _on_endpoint_update(self, event: contract.EndpointUpdate) -> None:
        polls = self.polling.after_update(event.form, self.pool.settings, self._now_us)
        self._actions.extend(polls)
        self.pool.apply_update(event, self._now_us)

    def _on_exclusion(self, event: contract.Exclusion) -> None:
        self.pool.exclude(event, self._now_us)

    def _on_health_check_result(self, event: contract.HealthCheckResult) -> None:
        server = self.pool.servers.get(event.server)
        if server is None:
            return
        now_us = self._now_us
        server.record_report(event.report, now_us)
        if event.ok:
            server.record_health_check(now_us)
        else:
            server.record_failure(FailureKind.NO_ANSWER, now_us - event.elapsed_us, now_us)

    def _on_arrival(self, event: contract.Arrival) -> None:
        now_us = self._now_us
        request = self.admission.register(event, now_us)
        self.requests[event.id] = request
        self.slow_start.record_arrival(now_us)
        self.timeouts.earn_credit(self.admission.throttle_of(request).congestion())
        self.health_checks.earn_credit()
        if self.admission.should_shed(request, now_us):
            self._reject_or_fail(request)
        else:
            self._begin_or_wait(request)
        self.affinity.record_arrival(event)

    def _begin_or_wait(self, request: RequestState) -> None:
        if not self._begin(request) and not self.retries.may_wait(request, self._now_us):
            self._reject_or_fail(request)

    def _begin(self, request: RequestState) -> bool:
        """Send the request's first attempt if there is capacity; return whether it was sent."""
        return self.admission.has_capacity(request, self._now_us) and self._send_prefill(request)

    def _send_prefill(self, request: RequestState) -> bool:
        server = self.prefill.select(request, self._now_us)
        if server is None:
            return False
        self._send(request, server, request.arrival.prompt_tokens)
        return True

    def _send_decode(self, request: RequestState, holder: ServerState) -> bool:
        server = self.decode.select(request, holder, self._now_us)
        if server is None:
            return False
        self._send(request, server, request.decode_tokens)
        return True

    def _send(self, request: RequestState, server: ServerState, tokens: int) -> None:
        now_us = self._now_us
        id_ = request.arrival.id
        timeout_us = self.timeouts.timeout_us(request, now_us)
        silence_deadline_us = self.timeouts.silence_deadline_us(request, server, tokens, now_us)
        request.record_attempt(server, tokens, now_us, silence_deadline_us)
        server.pending_tokens[id_] = tokens
        server.awaits_first_work = False
        self.slow_start.record_attempt(server.id, now_us)
        if server.role is Role.PREFILL:
            self._actions.extend(self.health_checks.before_placement(server.endpoint, now_us))
        else:
            server.streams[id_] = (now_us, request.decode_tokens)
        self._actions.append(contract.SendAttempt(id_, server.id, timeout_us))

    def _on_stream_started(self, event: contract.StreamStarted) -> None:
        # A request whose answer has begun needs no further decision.
        request = self.requests.pop(event.id, None)
        if request is None:
            return
        now_us = self._now_us
        if request.server:
            self.outcomes.record_answer(request, request.server, event.elapsed_us, now_us)
        self.baselines.last_stream_start_us = now_us
        objective_us = request.latency_objective_us
        throttle = self.admission.throttle_of(request)
        throttle.record(now_us, in_time=now_us <= request.arrived_us + objective_us)
        throttle.record_latency(request.answered_attempts_us / objective_us)

    def _on_stream_adopted(self, event: contract.StreamAdopted) -> None:
        # The stream uses the server's memory although another process began it.
        if server := self.pool.servers.get(event.server):
            server.streams[event.id] = (self._now_us, event.tokens)

    def _on_withdrawn(self, event: contract.RequestWithdrawn) -> None:
        if request := self.requests.get(event.id):
            self.admission.throttle_of(request).record(self._now_us, in_time=False)
            self._end(request)

    def _on_attempt_outcome(self, event: contract.AttemptOutcome) -> None:
        known = self.pool.servers.get(event.server)
        if known:
            known.record_report(event.report, self._now_us)
            known.pending_tokens.pop(event.id, None)
            known.streams.pop(event.id, None)
        request = self.requests.get(event.id)
        server = request.server if request else None
        if request is None or server is None or request.attempts != event.attempt + 1:
            if event.status is AttemptStatus.PREFILLED:
                # The request has ended, so no server will fetch the state.
                self._actions.append(contract.ReleaseState(event.id))
            return
        self.outcomes.record_outcome(request, server, known, event, self._now_us)
        request.server = None
        invalid = event.status is AttemptStatus.INVALID_REQUEST
        if invalid:
            # Prevents attempts at other servers, which would reject it too and be blamed for it.
            self._actions.append(contract.Fail(event.id))
        if event.final or invalid:
            self._end(request)
        else:
            self._after_attempt(request, server, event)

    def _after_attempt(
        self, request: RequestState, server: ServerState, event: contract.AttemptOutcome
    ) -> None:
        """Continue a request after an attempt: fetch its state, retry it or give a final answer."""
        request.attempted_servers.add(event.server)
        self.retries.update_state_holder(request, server, event, self._now_us)
        holder = request.state_holder
        if not holder:
            # Releases a state that was given up or that an interrupted prefill may have left.
            self._actions.append(contract.ReleaseState(event.id))
        request.record_possible_run(server, event.status)
        sent = False
        if self.retries.may_retry(request, event.status, self._now_us):
            sent = self._send_decode(request, holder) if holder else self._send_prefill(request)
        if not sent:
            self._reject_or_fail(request)

    def _reject_or_fail(self, request: RequestState) -> None:
        self._actions.append(self.retries.final_answer(request))
        self.admission.throttle_of(request).record(self._now_us, in_time=False)
        self._end(request)

    def _end(self, request: RequestState) -> None:
        """Remove the request, cancel its attempt in flight if allowed, and release its state."""
        id_ = request.arrival.id
        self.requests.pop(id_, None)
        if request.server and self.pool.settings.cancellation_allowed:
            self._actions.append(contract.CancelAttempt(id_, request.attempts - 1))
        if request.attempts:
            self._actions.append(contract.ReleaseState(id_))

    def _on_timer(self, _: contract.TimerFired) -> None:
        now_us = self._now_us
        awaiting_health_check = self.health_checks.awaiting_health_check()
        # Prevents hundreds of idle routers from waking up for nothing.
        if not (self.requests or awaiting_health_check or self.polling.is_scheduled):
            self._timer_set = False
            return
        self._actions.append(contract.SetTimer(0, TIMER_INTERVAL_US))
        self._actions.extend(self.polling.due(self.pool.settings, now_us))
        self._actions.extend(self.health_checks.before_trials(awaiting_health_check, now_us))
        if self.pool.settings.cancellation_allowed:
            self._cancel_lost_attempts()
        waiting = [request for request in self.requests.values() if not request.attempts]
        for request in sorted(waiting, key=lambda state: (-state.priority, state.arrived_us)):
            self._begin_or_wait(request)

    def _cancel_lost_attempts(self) -> None:
        for request in self.requests.values():
            if self.timeouts.should_cancel(request, self._now_us):
                cancel = contract.CancelAttempt(request.arrival.id, request.attempts - 1)
                self._actions.append(cancel)
