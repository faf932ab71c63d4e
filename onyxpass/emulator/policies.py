"""Simple policies with the router's interface, for comparison with the router.

Each policy only chooses the reader and the writer. The rest is common to all: a failed attempt is
repeated, on another server if there is one, unless the request may have run and is not idempotent.
A request is refused when no server is up or its attempts or its time are used up.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus
from onyxpass.scheduling.rendezvous import rank_by_rendezvous
from onyxpass.scheduling.router import Router

RETRYABLE = (AttemptStatus.OVERLOADED, AttemptStatus.UNREACHABLE, AttemptStatus.NOT_SENT)


class Policy(Protocol):
    """The interface between an emulated dispatcher and a policy; ``Router`` has it too."""

    def handle(self, now_us: int, event: contract.Event) -> list[contract.Action]: ...


class PolicyRequest:
    __slots__ = ("arrival", "attempts", "failed_servers", "reader")

    def __init__(self, arrival: contract.Arrival) -> None:
        self.arrival, self.attempts, self.reader = arrival, 0, ""
        self.failed_servers: set[str] = set()


class BaselinePolicy:
    """The common part of the simple policies.

    ``choose_reader`` and ``choose_writer`` choose among servers that are up, sorted by id.
    """

    def __init__(self, settings: contract.Settings, seed: int) -> None:
        self.settings, self.generator = settings, random.Random(seed)
        self.roles = {kind.name: kind.role for kind in settings.kinds}
        self.classes = {traffic_class.name: traffic_class for traffic_class in settings.classes}
        self.servers: dict[str, contract.Endpoint] = {}
        self.requests: dict[int, PolicyRequest] = {}
        self.in_flight: dict[str, int] = {}

    def choose_reader(self, request: PolicyRequest, candidates: Sequence[str]) -> str:
        raise NotImplementedError

    def choose_writer(self, request: PolicyRequest, candidates: Sequence[str]) -> str:
        raise NotImplementedError

    def _candidates(self, request: PolicyRequest, *roles: contract.Role) -> list[str]:
        endpoints_up = [
            name
            for name, server in sorted(self.servers.items())
            if server.condition is contract.EndpointCondition.UP
            and self.roles[server.kind] in roles
        ]
        return [name for name in endpoints_up if name not in request.failed_servers] or endpoints_up

    def handle(self, now_us: int, event: contract.Event) -> list[contract.Action]:
        match event:
            case contract.EndpointUpdate(form, servers):
                if form in (
                    contract.EndpointUpdateForm.COMPLETE,
                    contract.EndpointUpdateForm.PERSISTED,
                ):
                    self.servers = {}
                for server in servers:
                    if server.condition is contract.EndpointCondition.REMOVED:
                        self.servers.pop(server.id, None)
                    else:
                        self.servers[server.id] = server
            case contract.Arrival():
                request = self.requests[event.id] = PolicyRequest(event)
                return self._read(now_us, request)
            case contract.RequestWithdrawn(id):
                self.requests.pop(id, None)
                return [contract.ReleaseState(id)]
            case contract.AttemptOutcome():
                return self._outcome(now_us, event)
        return []

    def _outcome(self, now_us: int, event: contract.AttemptOutcome) -> list[contract.Action]:
        self.in_flight[event.server] = max(0, self.in_flight.get(event.server, 0) - 1)
        request = self.requests.get(event.id)
        if request is None:
            return []
        if event.final or event.status is AttemptStatus.COMPLETED:
            del self.requests[event.id]
            return []
        if event.status is AttemptStatus.PREFILLED:
            request.reader = event.server
            return self._write(now_us, request)
        unsafe = (
            self.classes[request.arrival.traffic_class].idempotency is contract.Idempotency.NONE
        )
        role = self.roles[self.servers[event.server].kind] if event.server in self.servers else None
        if event.status not in RETRYABLE and (unsafe and role is not contract.Role.PREFILL):
            return self._give_up(request, contract.Fail(event.id))
        request.failed_servers.add(event.server)
        state_lost = event.status is AttemptStatus.OVERLOADED and event.note == contract.STATE_LOST
        if request.reader and not state_lost:
            return self._write(now_us, request)
        request.reader = ""
        return self._read(now_us, request)

    def _read(self, now_us: int, request: PolicyRequest) -> list[contract.Action]:
        return self._send(
            now_us,
            request,
            self._candidates(request, contract.Role.PREFILL, contract.Role.MIXED),
            self.choose_reader,
        )

    def _write(self, now_us: int, request: PolicyRequest) -> list[contract.Action]:
        return self._send(
            now_us,
            request,
            self._candidates(request, contract.Role.DECODE, contract.Role.MIXED),
            self.choose_writer,
        )

    def _send(
        self,
        now_us: int,
        request: PolicyRequest,
        candidates: list[str],
        choose: Callable[[PolicyRequest, Sequence[str]], str],
    ) -> list[contract.Action]:
        remaining_us = request.arrival.deadline_us - now_us
        if (
            not candidates
            or request.attempts >= self.settings.max_attempts
            or remaining_us <= 2 * self.settings.tick_us
        ):
            return self._give_up(
                request, contract.Reject(request.arrival.id, self.settings.max_retry_after_us)
            )
        server = choose(request, candidates)
        request.attempts += 1
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        return [contract.SendAttempt(request.arrival.id, server, remaining_us)]

    def _give_up(
        self, request: PolicyRequest, action: contract.Reject | contract.Fail
    ) -> list[contract.Action]:
        self.requests.pop(request.arrival.id, None)
        return [contract.ReleaseState(request.arrival.id), action]


class RandomPolicy(BaselinePolicy):
    def choose_reader(self, request: PolicyRequest, candidates: Sequence[str]) -> str:
        return self.generator.choice(candidates)

    choose_writer = choose_reader


class RoundRobin(BaselinePolicy):
    choice_count = 0

    def choose_reader(self, request: PolicyRequest, candidates: Sequence[str]) -> str:
        self.choice_count += 1
        return candidates[(self.choice_count + self.settings.ordinal) % len(candidates)]

    choose_writer = choose_reader


class LeastInFlight(BaselinePolicy):
    """Chooses the server with the fewest attempts of this dispatcher; ties are broken at random."""

    def choose_reader(self, request: PolicyRequest, candidates: Sequence[str]) -> str:
        lowest = min(self.in_flight.get(name, 0) for name in candidates)
        return self.generator.choice(
            [name for name in candidates if self.in_flight.get(name, 0) == lowest]
        )

    choose_writer = choose_reader


class PrefixHash(LeastInFlight):
    """Chooses the reader by rendezvous hashing of the prefix, or of the session without one.

    The writer is the one with the fewest attempts in flight.
    """

    class HashCandidate:
        rendezvous_weight = 1.0

        def __init__(self, name: str) -> None:
            self.id = name

    def choose_reader(self, request: PolicyRequest, candidates: Sequence[str]) -> str:
        hash_candidates = [self.HashCandidate(name) for name in candidates]
        return str(
            rank_by_rendezvous(request.arrival.prefix or request.arrival.session, hash_candidates)[
                0
            ].id
        )

    def choose_writer(self, request: PolicyRequest, candidates: Sequence[str]) -> str:
        return LeastInFlight.choose_reader(self, request, candidates)


class FullKnowledge(BaselinePolicy):
    """Chooses by the true state of all servers, which no real dispatcher can know.

    ``load_score`` returns how loaded a server is for a request; the lowest score is chosen.
    """

    def __init__(
        self,
        settings: contract.Settings,
        seed: int,
        load_score: Callable[[str, PolicyRequest], float],
    ) -> None:
        super().__init__(settings, seed)
        self.load_score = load_score

    def choose_reader(self, request: PolicyRequest, candidates: Sequence[str]) -> str:
        return min(candidates, key=lambda name: (self.load_score(name, request), name))

    choose_writer = choose_reader


PolicyFactory = Callable[[contract.Settings, int], Policy]
POLICIES: Mapping[str, PolicyFactory] = {
    "module": Router,
    "random": RandomPolicy,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "prefix-hash": PrefixHash,
}
