"""One emulated run: clients, dispatchers with a policy each, servers, endpoint list and faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from onyxpass.emulator.events import EventQueue, Rank, ScheduledEvent
from onyxpass.emulator.policies import FullKnowledge, Policy, PolicyFactory, PolicyRequest
from onyxpass.emulator.processor_sharing import SharedCapacity
from onyxpass.emulator.servers import PrefillState, Server, ServerAttempt, ServerRequest
from onyxpass.emulator.topology import InjectedFault, Site
from onyxpass.emulator.traffic import Turn, draw_turns
from onyxpass.history_checkers.trace import EventKind, Trace
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus

DEFAULT_RETRY_S = 1.0  # minimum delay before a client retries a refused request
STREAM_STALL_TIMEOUT_US = 4_600_000  # silence after which a dispatcher gives up a stream
CONNECT_TIMEOUT_US = 250_000  # after which a dispatcher gives up a connection attempt


class PolicyError(RuntimeError):
    """A policy raised an exception or returned an invalid action; only its own run ends."""


@dataclass(eq=False, slots=True)
class ClientRequest:
    """One request of a client, first or retry, at its dispatcher."""

    turn: Turn
    server_request: ServerRequest
    arrival: contract.Arrival
    is_first: bool
    created_us: int
    committed: bool = False
    finished: bool = False
    attempts: int = 0
    attempt: ServerAttempt | None = None
    server: str = ""
    sent_us: int = 0
    first_token_us: int = 0
    attempt_timer: ScheduledEvent | None = None
    withdrawal_timer: ScheduledEvent | None = None


@dataclass(slots=True)
class Tally:
    """Results of a run. ``asked`` and ``worth_asked`` count requests without their retries."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0  # the client left before an answer began
    late: int = 0
    retried: int = 0
    worth: float = 0.0
    worth_asked: float = 0.0
    attempts: int = 0
    decisions: int = 0
    # Of each served request: time from its first sending to the first token, and time per token.
    waits_us: list[int] = field(default_factory=list)
    paces_us: list[float] = field(default_factory=list)
    # Worth answered and worth asked for, by the second in which the request was first sent.
    by_second: dict[int, list[float]] = field(default_factory=dict)

    @property
    def g(self) -> float:
        """Return the worth answered, late answers in part, as a share of the worth asked for."""
        return self.worth / self.worth_asked if self.worth_asked else 0.0


class Dispatcher:
    """Performs the actions of its policy; raises PolicyError on an invalid action.

    Invalid are an unknown kind of action, an unknown server, a fifth attempt, and a send while an
    attempt is open, after the answer has begun or for a request that has ended. A second final
    answer is ignored, because the first one has closed the request.
    """

    def __init__(self, simulation: "Simulation", ordinal: int, policy: Policy) -> None:
        self.simulation, self.ordinal, self.policy = simulation, ordinal, policy
        self.hall = simulation.site.halls[ordinal % len(simulation.site.halls)]
        self.open_requests: dict[int, ClientRequest] = {}

    def handle_event(self, event: contract.Event) -> None:
        simulation = self.simulation
        simulation.tally.decisions += 1
        try:
            actions = self.policy.handle(simulation.queue.now_us, event)
            for action in actions:
                self._perform(action)
        except PolicyError:
            raise
        except Exception as error:
            raise PolicyError(
                f"dispatcher {self.ordinal} at {simulation.queue.now_us} us: {error!r}"
            ) from error

    def _perform(self, action: contract.Action) -> None:
        simulation = self.simulation
        match action:
            case contract.SendAttempt(request_id, server, timeout_us):
                self._send(request_id, server, timeout_us)
            case contract.Reject(request_id, wait_us):
                if (request := self.open_requests.get(request_id)) is not None:
                    simulation.record_answer(self, request, "refused", wait_us)
            case contract.Fail(request_id):
                if (request := self.open_requests.get(request_id)) is not None:
                    simulation.record_answer(self, request, "failed", 0)
            case contract.ReleaseState(request_id):
                key = f"{self.ordinal}-{request_id}"
                simulation.queue.schedule_after(
                    simulation.site.one_way_us, Rank.NETWORK, lambda: simulation.release_state(key)
                )
            case contract.CancelAttempt(request_id, attempt_index):
                request = self.open_requests.get(request_id)
                if (
                    request is not None
                    and request.attempt is not None
                    and request.attempts - 1 == attempt_index
                ):
                    self._close_attempt(request, AttemptStatus.CANCELLED)
            case contract.SetTimer(ref, delay_us):
                simulation.queue.schedule_after(
                    delay_us, Rank.TIMER, lambda: self.handle_event(contract.TimerFired(ref))
                )
            case (
                contract.HealthCheck()
                | contract.FetchEndpoints()
                | contract.WatchEndpoints()
                | contract.LogMessage()
            ):
                pass
            case _:
                raise PolicyError(f"dispatcher {self.ordinal}: unknown action {action!r}")

    def _send(self, request_id: int, server: str, timeout_us: int) -> None:
        simulation, request = self.simulation, self.open_requests.get(request_id)
        if server not in simulation.servers:
            raise PolicyError(f"dispatcher {self.ordinal}: send to unknown server {server!r}")
        if request is None or request.attempt is not None or request.committed or request.finished:
            raise PolicyError(
                f"dispatcher {self.ordinal}: send for request {request_id}, which has an open attempt or an answer"
            )
        attempt_index, request.attempts = request.attempts, request.attempts + 1
        if request.attempts > 4:
            raise PolicyError(f"dispatcher {self.ordinal}: fifth attempt for request {request_id}")
        simulation.tally.attempts += 1
        request.server, request.sent_us = server, simulation.queue.now_us
        target = simulation.servers[server]

        def on_end(status: AttemptStatus, note: int) -> None:
            simulation.record_closed(target, attempt)
            # The end does not arrive through a partition: the dispatcher sees a stalled stream.
            if simulation.is_partitioned(self.hall, target.endpoint.zone):
                stalled = lambda: self._finish_attempt(  # noqa: E731
                    request, attempt, attempt_index, AttemptStatus.RESET, 0
                )
                simulation.queue.schedule_after(STREAM_STALL_TIMEOUT_US, Rank.TIMER, stalled)
                return
            simulation.deliver_reply(
                target,
                lambda: self._finish_attempt(request, attempt, attempt_index, status, note),
                self,
            )

        def on_first_token() -> None:
            simulation.record_running(target, attempt)
            simulation.deliver_reply(
                target, lambda: self._commit(request, attempt, attempt_index), self
            )

        attempt = request.attempt = ServerAttempt(request.server_request, on_end, on_first_token)
        request.attempt_timer = simulation.queue.schedule_after(
            timeout_us, Rank.TIMER, lambda: self._close_attempt(request, AttemptStatus.TIMED_OUT)
        )
        if simulation.is_partitioned(self.hall, target.endpoint.zone):
            simulation.queue.schedule_after(
                CONNECT_TIMEOUT_US,
                Rank.NETWORK,
                lambda: self._finish_attempt(
                    request, attempt, attempt_index, AttemptStatus.UNREACHABLE, 0
                ),
            )
            return
        one_way_delay_us = simulation.one_way_delay_us(self.hall, target.endpoint.zone)
        simulation.queue.schedule_after(
            one_way_delay_us, Rank.NETWORK, lambda: simulation.deliver_attempt(target, attempt)
        )

    def _commit(self, request: ClientRequest, attempt: ServerAttempt, attempt_index: int) -> None:
        if request.attempt is not attempt or request.finished:
            return
        request.committed = True
        request.first_token_us = self.simulation.queue.now_us
        for timer in (request.attempt_timer, request.withdrawal_timer):
            if timer is not None:
                timer.cancel()
        elapsed_us = request.first_token_us - request.sent_us
        self.handle_event(
            contract.StreamStarted(request.arrival.id, attempt_index, request.server, elapsed_us)
        )

    def _finish_attempt(
        self,
        request: ClientRequest,
        attempt: ServerAttempt,
        attempt_index: int,
        status: AttemptStatus,
        note: int,
    ) -> None:
        if request.attempt is not attempt:
            return
        request.attempt = None
        if request.attempt_timer is not None:
            request.attempt_timer.cancel()
        if request.committed and not request.finished:
            self.simulation.record_answer(
                self, request, "served" if status is AttemptStatus.COMPLETED else "failed", 0
            )
        self.handle_event(
            contract.AttemptOutcome(
                request.arrival.id,
                attempt_index,
                request.server,
                status,
                self.simulation.queue.now_us - request.sent_us,
                request.finished,
                note,
            )
        )

    def _close_attempt(self, request: ClientRequest, status: AttemptStatus) -> None:
        """Close the open attempt, if any, and report its end to the policy at once."""
        attempt = request.attempt
        if attempt is None:
            return
        target, attempt_index = self.simulation.servers[request.server], request.attempts - 1
        one_way_delay_us = self.simulation.one_way_delay_us(self.hall, target.endpoint.zone)
        self.simulation.queue.schedule_after(
            one_way_delay_us, Rank.NETWORK, lambda: self.simulation.close_attempt(target, attempt)
        )
        self._finish_attempt(request, attempt, attempt_index, status, 0)

    def withdraw(self, request: ClientRequest) -> None:
        """End a request that its client has left before an answer began."""
        if request.finished or request.committed:
            return
        request.finished = True
        self.simulation.record_client_left(self, request)
        self.handle_event(contract.RequestWithdrawn(request.arrival.id))
        if request.attempt is not None:
            self._close_attempt(request, AttemptStatus.CANCELLED)


class Simulation:
    """A run of one policy on one site.

    ``policy_factory`` makes the policy of each dispatcher; None stands for FullKnowledge.
    """

    def __init__(
        self, site: Site, policy_factory: PolicyFactory | None, seed: int, traced: bool = True
    ) -> None:
        self.site, self.seed, self.traced = site, seed, traced
        self.queue = EventQueue()
        self.tally = Tally()
        self.trace = Trace(clock=lambda: self.queue.now_us / 1e6)
        self.generator = random.Random(f"{seed}|world")
        states: dict[str, PrefillState] = {}
        self.states = states
        placements = site.servers()
        links = {
            endpoint.cell: SharedCapacity(self.queue, lambda n: site.cell_link_rate / n)
            for _, endpoint in placements
        }
        self.servers = {
            s.id: Server(self.queue, site, kind, s, states, links) for kind, s in placements
        }
        self.list_lag_us = round(site.list_lag_s * 1e6)
        self.partitioned_halls: set[str] = set()
        self.list_version = 1
        self.turns = draw_turns(site, seed)
        self.last_request_id = 0
        self.dispatchers = []
        for ordinal in range(site.dispatchers):
            settings = site.settings(ordinal)
            policy: Policy
            if policy_factory is None:
                policy = FullKnowledge(settings, seed + ordinal, self.load_score)
            else:
                policy = policy_factory(settings, seed + ordinal)
            self.dispatchers.append(Dispatcher(self, ordinal, policy))

    def run(self) -> Tally:
        """Run the site's duration and 40 s more; raise PolicyError where a policy fails."""
        endpoints = tuple(server.endpoint for server in self.servers.values())
        for dispatcher in self.dispatchers:
            dispatcher.handle_event(
                contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, endpoints, 1)
            )
        for fault in self.site.faults:
            self._schedule_fault(fault)
        for turn in self.turns:
            self.queue.schedule_at(
                turn.at_us,
                Rank.CLIENT,
                lambda turn=turn: self._send_request(turn, True),  # type: ignore[misc]
            )
        end_us = round((self.site.seconds + 40) * 1e6)
        self.queue.run(end_us)
        return self.tally

    # Network

    def one_way_delay_us(self, here: str, there: str) -> int:
        return self.site.one_way_us if here != there else self.site.one_way_us // 4

    def is_partitioned(self, here: str, there: str) -> bool:
        return here != there and (here in self.partitioned_halls or there in self.partitioned_halls)

    def deliver_attempt(self, server: Server, attempt: ServerAttempt) -> None:
        if attempt.closed:
            return
        if self.traced:
            self.trace.record(
                EventKind.RECEIVED, attempt.request.key, server.endpoint.id, server.kind.role.value
            )
        server.receive(attempt)

    def close_attempt(self, server: Server, attempt: ServerAttempt) -> None:
        """Stop an attempt that its dispatcher has given up."""
        if not attempt.closed:
            self.record_closed(server, attempt)
        server.cancel(attempt)

    def record_closed(self, server: Server, attempt: ServerAttempt) -> None:
        if self.traced:
            self.trace.record(EventKind.CLOSED, attempt.request.key, server.endpoint.id)

    def record_running(self, server: Server, attempt: ServerAttempt) -> None:
        if self.traced:
            self.trace.record(
                EventKind.RAN, attempt.request.key, server.endpoint.id, server.kind.role.value
            )

    def deliver_reply(
        self, server: Server, call: Callable[[], None], dispatcher: Dispatcher
    ) -> None:
        """Call ``call`` when the reply arrives at the dispatcher; a partition loses the reply."""
        if self.is_partitioned(dispatcher.hall, server.endpoint.zone):
            return
        one_way_delay_us = self.one_way_delay_us(dispatcher.hall, server.endpoint.zone)
        self.queue.schedule_after(one_way_delay_us, Rank.NETWORK, call)

    def release_state(self, key: str) -> None:
        if (state := self.states.get(key)) is not None:
            state.reader.release_state(key)

    # Clients

    def _send_request(self, turn: Turn, is_first: bool) -> None:
        dispatcher = self.dispatchers[turn.dispatcher_ordinal]
        self.last_request_id += 1
        request_id, now_us = self.last_request_id, self.queue.now_us
        traffic_class = self.site.classes[turn.class_index].traffic_class
        per_k_us = traffic_class.latency_objective_us_per_1k_tokens * turn.prompt_tokens / 1000
        wait_us = round((traffic_class.deadline_us + 2 * per_k_us) * turn.patience)
        key = f"{dispatcher.ordinal}-{request_id}"
        server_request = ServerRequest(
            key,
            turn.session,
            turn.prefix,
            turn.prompt_tokens,
            turn.prefix_tokens,
            turn.output_tokens,
            traffic_class.name,
        )
        arrival = contract.Arrival(
            id=request_id,
            traffic_class=traffic_class.name,
            session=turn.session,
            deadline_us=now_us + wait_us - 20_000,
            prompt_tokens=turn.prompt_tokens,
            max_tokens=2 * turn.output_tokens,
            prefix=turn.prefix,
            prefix_tokens=turn.prefix_tokens,
            tenant=turn.tenant,
            is_retry=not is_first,
        )
        request = ClientRequest(turn, server_request, arrival, is_first, now_us)
        if is_first:
            self.tally.asked += 1
            worth = self._worth(turn)
            self.tally.worth_asked += worth
            self.tally.by_second.setdefault(turn.at_us // 1_000_000, [0.0, 0.0])[1] += worth
        else:
            self.tally.retried += 1
        if self.traced:
            self.trace.classes[key] = traffic_class.name
            self.trace.record(EventKind.SENT, key)
        dispatcher.open_requests[request_id] = request
        request.withdrawal_timer = self.queue.schedule_after(
            wait_us, Rank.CLIENT, lambda: dispatcher.withdraw(request)
        )
        dispatcher.handle_event(arrival)

    def _worth(self, turn: Turn) -> float:
        """Return the worth of a request: the weight of its class times its work."""
        traffic_class = self.site.classes[turn.class_index].traffic_class
        return traffic_class.priority_weight * (
            turn.prompt_tokens / 16_000 + turn.output_tokens * 0.002
        )

    def record_answer(
        self, dispatcher: Dispatcher, request: ClientRequest, end: str, wait_us: int
    ) -> None:
        """Record a final answer; a client may retry a refused request."""
        if request.finished:
            raise PolicyError(
                f"dispatcher {dispatcher.ordinal}: a second answer to {request.arrival.id}"
            )
        self._finish_request(dispatcher, request, end)
        if end == "served":
            self.tally.served += 1
            self._add_worth(request)
        elif end == "refused":
            self.tally.refused += 1
            # Half of the refused requests are retried once.
            if request.is_first and self.site.retries and not request.turn.sequence % 2:
                retry_delay_us = max(wait_us, round(DEFAULT_RETRY_S * 1e6))
                self.queue.schedule_after(
                    retry_delay_us, Rank.CLIENT, lambda: self._send_request(request.turn, False)
                )
        else:
            self.tally.failed += 1

    def record_client_left(self, dispatcher: Dispatcher, request: ClientRequest) -> None:
        self.tally.gone += 1
        self._finish_request(dispatcher, request, "failed")

    def _finish_request(self, dispatcher: Dispatcher, request: ClientRequest, end: str) -> None:
        request.finished = True
        if request.withdrawal_timer is not None:
            request.withdrawal_timer.cancel()
        dispatcher.open_requests.pop(request.arrival.id, None)
        if self.traced:
            self.trace.record(EventKind.ANSWERED, request.server_request.key, detail=end)

    def _add_worth(self, request: ClientRequest) -> None:
        """Add the worth of a served request: all of it on time, else the class's share for late ones.

        The time to the first token counts from the first sending, retries included.
        """
        turn = request.turn
        traffic_class = self.site.classes[turn.class_index].traffic_class
        latency_objective_us = (
            traffic_class.latency_objective_us
            + traffic_class.latency_objective_us_per_1k_tokens * turn.prompt_tokens / 1000
        )
        stream_us = self.queue.now_us - request.first_token_us
        self.tally.waits_us.append(request.first_token_us - turn.at_us)
        self.tally.paces_us.append(stream_us / max(1, turn.output_tokens))
        in_time = (
            request.first_token_us - turn.at_us <= latency_objective_us
            and stream_us <= traffic_class.token_objective_us * max(1, turn.output_tokens)
        )
        worth = self._worth(turn) * (1.0 if in_time else traffic_class.late_weight)
        self.tally.late += not in_time
        self.tally.worth += worth
        self.tally.by_second.setdefault(turn.at_us // 1_000_000, [0.0, 0.0])[0] += worth

    # Endpoint list and faults

    def announce_condition(self, server: Server, condition: contract.EndpointCondition) -> None:
        """Send a changed condition to all dispatchers; it arrives after the list's lag."""
        self.list_version += 1
        endpoint = replace(server.endpoint, condition=condition, started_us=server.started_us)
        update = contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, (endpoint,), self.list_version
        )
        for dispatcher in self.dispatchers:
            self.queue.schedule_after(
                self.list_lag_us,
                Rank.NETWORK,
                lambda d=dispatcher: d.handle_event(update),  # type: ignore[misc]
            )

    def _schedule_fault(self, fault: InjectedFault) -> None:
        start_us, end_us = (round(s * 1e6) for s in (fault.at_s, fault.at_s + fault.for_s))
        schedule = self.queue.schedule_at
        match fault.what:
            case "lag":
                added_us = round(fault.size * 1e6)
                schedule(start_us, Rank.FAULT, lambda: self._add_list_lag(added_us))
                schedule(end_us, Rank.FAULT, lambda: self._add_list_lag(-added_us))
            case "flush":
                schedule(start_us, Rank.FAULT, lambda: self._clear_prefix_caches(fault.size))
            case "cut" | "flap":
                repeats = 2 if fault.what == "flap" else 1
                phase_us = (end_us - start_us) // (2 * repeats - 1)
                for n in range(repeats):
                    schedule(
                        start_us + 2 * n * phase_us,
                        Rank.FAULT,
                        lambda: self.partitioned_halls.add(fault.hall),
                    )
                    schedule(
                        start_us + (2 * n + 1) * phase_us,
                        Rank.FAULT,
                        lambda: self.partitioned_halls.discard(fault.hall),
                    )
            case "crash":
                schedule(start_us, Rank.FAULT, lambda: self._crash_server(fault.server))
                if fault.for_s:
                    schedule(end_us, Rank.FAULT, lambda: self._start_server(fault.server))
            case "slow":
                schedule(start_us, Rank.FAULT, lambda: self._set_slowdown(fault.server, fault.size))
                schedule(end_us, Rank.FAULT, lambda: self._set_slowdown(fault.server, 1.0))
            case "hot":
                pass  # part of the traffic, see ``hot_share``
            case _:
                raise ValueError(f"no trouble {fault.what!r}")

    def _add_list_lag(self, added_us: int) -> None:
        self.list_lag_us += added_us

    def _clear_prefix_caches(self, share: float) -> None:
        for name in sorted(self.servers):
            if self.generator.random() < share:
                self.servers[name].prefix_cache.clear()

    def _crash_server(self, name: str) -> None:
        self.servers[name].crash()
        self.announce_condition(self.servers[name], contract.EndpointCondition.REMOVED)

    def _start_server(self, name: str) -> None:
        self.servers[name].start()
        self.announce_condition(self.servers[name], contract.EndpointCondition.UP)

    def _set_slowdown(self, name: str, slowdown: float) -> None:
        self.servers[name].slowdown = slowdown

    # For FullKnowledge

    def load_score(self, name: str, request: PolicyRequest) -> float:
        """Return how loaded a server is for a request, from its true state; lower is better.

        Before the prefill: seconds of queued prefill work, this request included. After it: used
        slots and memory as shares, plus a charge for the distance to the reader.
        """
        server = self.servers[name]
        if not server.up:
            return 1e12
        if request.reader:
            slot_load = (
                len(server.decode_queue) + len(server.decoding) + len(server.preparing)
            ) / server.kind.slots
            memory_load = server._used_tokens() / server.kind.memory_tokens
            reader_endpoint = self.servers[request.reader].endpoint
            distance = (reader_endpoint.cell != server.endpoint.cell) + (
                reader_endpoint.zone != server.endpoint.zone
            )
            return (slot_load + memory_load + 0.1 * distance) / server.speed_factor()
        arrival = request.arrival
        probe_request = ServerRequest(
            "",
            arrival.session,
            arrival.prefix,
            arrival.prompt_tokens,
            arrival.prefix_tokens,
            0,
            arrival.traffic_class,
        )
        pending = [*server.prefill_queue, *([server.prefilling] if server.prefilling else [])]
        tokens = sum(
            attempt.request.prompt_tokens - server.prefix_cache.cached_tokens(attempt.request)
            for attempt in pending
            if not attempt.closed
        )
        tokens += arrival.prompt_tokens - server.prefix_cache.cached_tokens(probe_request)
        return tokens / server.kind.prefill_rate / server.speed_factor()
