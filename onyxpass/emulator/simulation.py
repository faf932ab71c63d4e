"""One emulated day: dispatchers with a policy each, servers, clients, a late list, and troubles."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from onyxpass.emulator.events import Handle, Queue, Rank
from onyxpass.emulator.policies import FullKnowledge, Job, Maker, Policy
from onyxpass.emulator.processor_sharing import Shared
from onyxpass.emulator.servers import Ask, Server, State, Visit
from onyxpass.emulator.topology import Site, Trouble
from onyxpass.emulator.traffic import Turn, draw
from onyxpass.history_checkers.trace import EventKind, Trace
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus

RETRY_S = 1.0  # a client that was refused with no advice comes again after so long
STALL_US = 4_600_000  # a stream that is silent for so long is given up
CUT_CONNECT_US = 250_000  # for a connection that never comes up to be given up


class PolicyFault(RuntimeError):
    """The policy raised, or asked for what makes no sense: its own run ends, and nobody else's."""


@dataclass(eq=False, slots=True)
class Try:
    """One try of a client. ``worth`` belongs to the first one."""

    turn: Turn
    ask: Ask
    arrival: contract.Arrival
    first: bool
    began_us: int
    committed: bool = False
    over: bool = False
    attempts: int = 0
    visit: Visit | None = None
    server: str = ""
    sent_us: int = 0
    first_us: int = 0
    timer: Handle | None = None
    guard: Handle | None = None


@dataclass(slots=True)
class Tally:
    """Of a day; requests are first tries, and each ends once."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0  # the client left unanswered
    late: int = 0
    retried: int = 0
    worth: float = 0.0
    worth_asked: float = 0.0
    attempts: int = 0
    decisions: int = 0
    waits_us: list[int] = field(default_factory=list)  # of served first tries, till the first token
    paces_us: list[float] = field(default_factory=list)  # of the same, a token
    by_second: dict[int, list[float]] = field(default_factory=dict)  # worth answered and asked

    @property
    def g(self) -> float:
        """The worth answered in the wanted time over the worth asked for."""
        return self.worth / self.worth_asked if self.worth_asked else 0.0


class Dispatcher:
    """Carries out what its policy asks for, under the same invariants as the program's core."""

    def __init__(self, world: "World", ordinal: int, policy: Policy) -> None:
        self.world, self.ordinal, self.policy = world, ordinal, policy
        self.hall = world.site.halls[ordinal % len(world.site.halls)]
        self.open: dict[int, Try] = {}

    def tell(self, event: contract.Event) -> None:
        world = self.world
        world.tally.decisions += 1
        try:
            actions = self.policy.handle(world.queue.now_us, event)
            for action in actions:
                self._do(action)
        except PolicyFault:
            raise
        except Exception as problem:
            raise PolicyFault(
                f"dispatcher {self.ordinal} at {world.queue.now_us} us: {problem!r}"
            ) from problem

    def _do(self, action: contract.Action) -> None:
        world = self.world
        match action:
            case contract.SendAttempt(number, server, timeout_us):
                self._send(number, server, timeout_us)
            case contract.Reject(number, wait_us):
                if (found := self.open.get(number)) is not None:
                    world.answered(self, found, "refused", wait_us)
            case contract.Fail(number):
                if (found := self.open.get(number)) is not None:
                    world.answered(self, found, "failed", 0)
            case contract.ReleaseState(number):
                key = f"{self.ordinal}-{number}"
                world.queue.after(world.site.one_way_us, Rank.NETWORK, lambda: world.release(key))
            case contract.CancelAttempt(number, attempt):
                found = self.open.get(number)
                if found is not None and found.visit is not None and found.attempts - 1 == attempt:
                    self._stop(found, AttemptStatus.CANCELLED)
            case contract.SetTimer(ref, delay_us):
                world.queue.after(delay_us, Rank.TIMER, lambda: self.tell(contract.TimerFired(ref)))
            case (
                contract.HealthCheck()
                | contract.FetchEndpoints()
                | contract.WatchEndpoints()
                | contract.LogMessage()
            ):
                pass
            case _:
                raise PolicyFault(f"dispatcher {self.ordinal}: a malformed action: {action!r}")

    def _send(self, number: int, server: str, timeout_us: int) -> None:
        world, found = self.world, self.open.get(number)
        if server not in world.servers:
            raise PolicyFault(
                f"dispatcher {self.ordinal}: a send to {server!r}, which nobody named"
            )
        if found is None or found.visit is not None or found.committed or found.over:
            raise PolicyFault(
                f"dispatcher {self.ordinal}: a send for {number}, which may not go out"
            )
        attempt, found.attempts = found.attempts, found.attempts + 1
        if found.attempts > 4:
            raise PolicyFault(f"dispatcher {self.ordinal}: a fifth attempt for {number}")
        world.tally.attempts += 1
        found.server, found.sent_us = server, world.queue.now_us
        target = world.servers[server]

        def ended(status: AttemptStatus, note: int) -> None:
            world.over_there(target, visit)
            # nothing is heard of it: a begun stream has stopped
            if world.cut(self.hall, target.spec.zone):
                stalled = lambda: self._ended(found, visit, attempt, AttemptStatus.RESET, 0)  # noqa: E731
                world.queue.after(STALL_US, Rank.TIMER, stalled)
                return
            world.back(target, lambda: self._ended(found, visit, attempt, status, note), self)

        def first() -> None:
            world.began(target, visit)
            world.back(target, lambda: self._first(found, visit, attempt), self)

        visit = found.visit = Visit(found.ask, ended, first)
        found.timer = world.queue.after(
            timeout_us, Rank.TIMER, lambda: self._stop(found, AttemptStatus.TIMED_OUT)
        )
        if world.cut(self.hall, target.spec.zone):
            world.queue.after(
                CUT_CONNECT_US,
                Rank.NETWORK,
                lambda: self._ended(found, visit, attempt, AttemptStatus.UNREACHABLE, 0),
            )
            return
        way_us = world.way_us(self.hall, target.spec.zone)
        world.queue.after(way_us, Rank.NETWORK, lambda: world.arrive(target, visit))

    def _first(self, found: Try, visit: Visit, attempt: int) -> None:
        if found.visit is not visit or found.over:
            return
        found.committed = True
        found.first_us = self.world.queue.now_us
        for timer in (found.timer, found.guard):
            if timer is not None:
                timer.cancel()
        elapsed_us = found.first_us - found.sent_us
        self.tell(contract.StreamStarted(found.arrival.id, attempt, found.server, elapsed_us))

    def _ended(
        self, found: Try, visit: Visit, attempt: int, status: AttemptStatus, note: int
    ) -> None:
        if found.visit is not visit:
            return
        found.visit = None
        if found.timer is not None:
            found.timer.cancel()
        if found.committed and not found.over:
            self.world.answered(
                self, found, "served" if status is AttemptStatus.COMPLETED else "failed", 0
            )
        self.tell(
            contract.AttemptOutcome(
                found.arrival.id,
                attempt,
                found.server,
                status,
                self.world.queue.now_us - found.sent_us,
                found.over,
                note,
            )
        )

    def _stop(self, found: Try, status: AttemptStatus) -> None:
        """Close the attempt; its end is told after that."""
        visit = found.visit
        if visit is None:
            return
        target, attempt = self.world.servers[found.server], found.attempts - 1
        way_us = self.world.way_us(self.hall, target.spec.zone)
        self.world.queue.after(way_us, Rank.NETWORK, lambda: self.world.closed(target, visit))
        self._ended(found, visit, attempt, status, 0)

    def withdraw(self, found: Try) -> None:
        """The client has gone."""
        if found.over or found.committed:
            return
        found.over = True
        self.world.left(self, found)
        self.tell(contract.RequestWithdrawn(found.arrival.id))
        if found.visit is not None:
            self._stop(found, AttemptStatus.CANCELLED)


class World:
    """``make``: the policy of each dispatcher; None for full knowledge."""

    def __init__(self, site: Site, make: Maker | None, seed: int, traced: bool = True) -> None:
        self.site, self.seed, self.traced = site, seed, traced
        self.queue = Queue()
        self.tally = Tally()
        self.trace = Trace(clock=lambda: self.queue.now_us / 1e6)
        self.chance = random.Random(f"{seed}|world")
        states: dict[str, State] = {}
        self.states = states
        rows = site.servers()
        links = {spec.cell: Shared(self.queue, lambda n: site.far_rate / n) for _, spec in rows}
        self.servers = {s.id: Server(self.queue, site, kind, s, states, links) for kind, s in rows}
        self.lag_us = round(site.list_lag_s * 1e6)
        self.cuts: set[str] = set()
        self.version = 1
        self.turns = draw(site, seed)
        self.numbers = 0
        self.dispatchers = []
        for ordinal in range(site.dispatchers):
            settings = site.settings(ordinal)
            policy: Policy
            if make is None:
                policy = FullKnowledge(settings, seed + ordinal, self.true_wait)
            else:
                policy = make(settings, seed + ordinal)
            self.dispatchers.append(Dispatcher(self, ordinal, policy))

    def run(self) -> Tally:
        """The whole day, and on till all is answered. PolicyFault where a policy fails."""
        specs = tuple(server.spec for server in self.servers.values())
        for dispatcher in self.dispatchers:
            dispatcher.tell(contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, specs, 1))
        for trouble in self.site.troubles:
            self._plan(trouble)
        for turn in self.turns:
            self.queue.at(turn.at_us, Rank.CLIENT, lambda turn=turn: self._ask(turn, True))  # type: ignore[misc]
        end_us = round((self.site.seconds + 40) * 1e6)
        self.queue.run(end_us)
        return self.tally

    # The network

    def way_us(self, here: str, there: str) -> int:
        return self.site.one_way_us if here != there else self.site.one_way_us // 4

    def cut(self, here: str, there: str) -> bool:
        return here != there and (here in self.cuts or there in self.cuts)

    def arrive(self, server: Server, visit: Visit) -> None:
        if visit.off:
            return
        if self.traced:
            self.trace.record(
                EventKind.RECEIVED, visit.ask.key, server.spec.id, server.kind.role.value
            )
        server.take(visit)

    def closed(self, server: Server, visit: Visit) -> None:
        """A dispatcher has given the attempt up."""
        if not visit.off:
            self.over_there(server, visit)
        server.cancel(visit)

    def over_there(self, server: Server, visit: Visit) -> None:
        if self.traced:
            self.trace.record(EventKind.CLOSED, visit.ask.key, server.spec.id)

    def began(self, server: Server, visit: Visit) -> None:
        if self.traced:
            self.trace.record(EventKind.RAN, visit.ask.key, server.spec.id, server.kind.role.value)

    def back(self, server: Server, call: Callable[[], None], dispatcher: Dispatcher) -> None:
        """A word from a server to a dispatcher; what crosses a cut is lost."""
        if self.cut(dispatcher.hall, server.spec.zone):
            return
        way_us = self.way_us(dispatcher.hall, server.spec.zone)
        self.queue.after(way_us, Rank.NETWORK, call)

    def release(self, key: str) -> None:
        if (state := self.states.get(key)) is not None:
            state.reader.let_go(key)

    # Clients

    def _ask(self, turn: Turn, first: bool) -> None:
        dispatcher = self.dispatchers[turn.front]
        self.numbers += 1
        number, now_us = self.numbers, self.queue.now_us
        traffic_class = self.site.classes[turn.traffic_class].traffic
        per_k_us = traffic_class.latency_objective_us_per_1k_tokens * turn.prompt / 1000
        wait_us = round((traffic_class.deadline_us + 2 * per_k_us) * turn.patience)
        key = f"{dispatcher.ordinal}-{number}"
        ask = Ask(
            key,
            turn.session,
            turn.prefix,
            turn.prompt,
            turn.prefix_tokens,
            turn.out,
            traffic_class.name,
        )
        arrival = contract.Arrival(
            id=number,
            traffic_class=traffic_class.name,
            session=turn.session,
            deadline_us=now_us + wait_us - 20_000,
            prompt_tokens=turn.prompt,
            max_tokens=2 * turn.out,
            prefix=turn.prefix,
            prefix_tokens=turn.prefix_tokens,
            tenant=turn.tenant,
            is_retry=not first,
        )
        found = Try(turn, ask, arrival, first, now_us)
        if first:
            self.tally.asked += 1
            worth = self._worth(turn)
            self.tally.worth_asked += worth
            self.tally.by_second.setdefault(turn.at_us // 1_000_000, [0.0, 0.0])[1] += worth
        else:
            self.tally.retried += 1
        if self.traced:
            self.trace.classes[key] = traffic_class.name
            self.trace.record(EventKind.SENT, key)
        dispatcher.open[number] = found
        found.guard = self.queue.after(wait_us, Rank.CLIENT, lambda: dispatcher.withdraw(found))
        dispatcher.tell(arrival)

    def _worth(self, turn: Turn) -> float:
        """Of one request: its class's value for each unit of its work."""
        traffic_class = self.site.classes[turn.traffic_class].traffic
        return traffic_class.priority_weight * (turn.prompt / 16_000 + turn.out * 0.002)

    def answered(self, dispatcher: Dispatcher, found: Try, end: str, wait_us: int) -> None:
        """A final answer."""
        if found.over:
            raise PolicyFault(
                f"dispatcher {dispatcher.ordinal}: a second answer to {found.arrival.id}"
            )
        self._over(dispatcher, found, end)
        if end == "served":
            self.tally.served += 1
            self._earn(found)
        elif end == "refused":
            self.tally.refused += 1
            # half of them come again
            if found.first and self.site.retries and not found.turn.number % 2:
                later_us = max(wait_us, round(RETRY_S * 1e6))
                self.queue.after(later_us, Rank.CLIENT, lambda: self._ask(found.turn, False))
        else:
            self.tally.failed += 1

    def left(self, dispatcher: Dispatcher, found: Try) -> None:
        self.tally.gone += 1
        self._over(dispatcher, found, "failed")

    def _over(self, dispatcher: Dispatcher, found: Try, end: str) -> None:
        found.over = True
        if found.guard is not None:
            found.guard.cancel()
        dispatcher.open.pop(found.arrival.id, None)
        if self.traced:
            self.trace.record(EventKind.ANSWERED, found.ask.key, detail=end)

    def _earn(self, found: Try) -> None:
        """Full worth in the wanted time and pace, part of it later; counted from the first try."""
        turn = found.turn
        traffic_class = self.site.classes[turn.traffic_class].traffic
        latency_objective_us = (
            traffic_class.latency_objective_us
            + traffic_class.latency_objective_us_per_1k_tokens * turn.prompt / 1000
        )
        stream_us = self.queue.now_us - found.first_us
        self.tally.waits_us.append(found.first_us - turn.at_us)
        self.tally.paces_us.append(stream_us / max(1, turn.out))
        in_time = (
            found.first_us - turn.at_us <= latency_objective_us
            and stream_us <= traffic_class.token_objective_us * max(1, turn.out)
        )
        worth = self._worth(turn) * (1.0 if in_time else traffic_class.late_weight)
        self.tally.late += not in_time
        self.tally.worth += worth
        self.tally.by_second.setdefault(turn.at_us // 1_000_000, [0.0, 0.0])[0] += worth

    # The list, and what goes wrong

    def list_changed(self, server: Server, condition: contract.EndpointCondition) -> None:
        """Discovery knows of it at once, and dispatchers hear of it later."""
        self.version += 1
        spec = replace(server.spec, condition=condition, started_us=server.born_us)
        update = contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (spec,), self.version)
        for dispatcher in self.dispatchers:
            self.queue.after(self.lag_us, Rank.NETWORK, lambda d=dispatcher: d.tell(update))  # type: ignore[misc]

    def _plan(self, trouble: Trouble) -> None:
        start, end = (round(s * 1e6) for s in (trouble.at_s, trouble.at_s + trouble.for_s))
        put = self.queue.at
        match trouble.what:
            case "lag":
                more = round(trouble.size * 1e6)
                put(start, Rank.TROUBLE, lambda: self._lag(more))
                put(end, Rank.TROUBLE, lambda: self._lag(-more))
            case "flush":
                put(start, Rank.TROUBLE, lambda: self._flush(trouble.size))
            case "cut" | "flap":
                times = 2 if trouble.what == "flap" else 1
                part = (end - start) // (2 * times - 1)
                for n in range(times):
                    put(start + 2 * n * part, Rank.TROUBLE, lambda: self.cuts.add(trouble.hall))
                    put(
                        start + (2 * n + 1) * part,
                        Rank.TROUBLE,
                        lambda: self.cuts.discard(trouble.hall),
                    )
            case "crash":
                put(start, Rank.TROUBLE, lambda: self._crash(trouble.server))
                if trouble.for_s:
                    put(end, Rank.TROUBLE, lambda: self._start(trouble.server))
            case "slow":
                put(start, Rank.TROUBLE, lambda: self._slow(trouble.server, trouble.size))
                put(end, Rank.TROUBLE, lambda: self._slow(trouble.server, 1.0))
            case "hot":
                pass  # it is in the traffic
            case _:
                raise ValueError(f"no trouble {trouble.what!r}")

    def _lag(self, more_us: int) -> None:
        self.lag_us += more_us

    def _flush(self, share: float) -> None:
        for name in sorted(self.servers):
            if self.chance.random() < share:
                self.servers[name].kept.clear()

    def _crash(self, name: str) -> None:
        self.servers[name].crash()
        self.list_changed(self.servers[name], contract.EndpointCondition.REMOVED)

    def _start(self, name: str) -> None:
        self.servers[name].start()
        self.list_changed(self.servers[name], contract.EndpointCondition.UP)

    def _slow(self, name: str, times: float) -> None:
        self.servers[name].slow = times

    # For the bound from full knowledge

    def true_wait(self, name: str, job: Job) -> float:
        server = self.servers[name]
        if not server.up:
            return 1e12
        if job.reader:
            crowd = (len(server.asked) + len(server.open) + len(server.coming)) / server.kind.slots
            full = server._used() / server.kind.memory
            near = self.servers[job.reader].spec
            far = (near.cell != server.spec.cell) + (near.zone != server.spec.zone)
            return (crowd + full + 0.1 * far) / server.capacity()
        ask = job.ask
        probe = Ask(
            "", ask.session, ask.prefix, ask.prompt_tokens, ask.prefix_tokens, 0, ask.traffic_class
        )
        todo = [*server.waiting, *([server.reading] if server.reading else [])]
        tokens = sum(v.ask.prompt - server.kept.found(v.ask) for v in todo if not v.off)
        tokens += ask.prompt_tokens - server.kept.found(probe)
        return tokens / server.kind.read_rate / server.capacity()
