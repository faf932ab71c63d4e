"""No router stays idle, even if four in five servers of a role become unresponsive together.

Many real routers run on one simulated clock.
"""

from collections import Counter
from dataclasses import replace

import pytest
from helpers import MS, S
from simulated_fleet import SimulatedFleet

from onyxpass.scheduling import contract
from onyxpass.scheduling.candidates import CandidateFilter
from onyxpass.scheduling.contract import AttemptStatus
from onyxpass.scheduling.request_state import RequestState
from onyxpass.scheduling.router import Router
from onyxpass.scheduling.server_pool import ServerPool
from onyxpass.scheduling.server_state import ServerState

# A router is idle if it rejects this many requests in this time without any attempt.
IDLE_US, IDLE_REJECTIONS = 4 * S, 15
SILENT_TIMEOUT_US = 900 * MS  # of an attempt at a silent server


class RecordingFleet(SimulatedFleet):
    """A fleet that records what each router does; servers in ``silent`` answer nothing."""

    def __init__(self, routers: int, prefill_servers: int, rate: float, seed: int) -> None:
        self.silent = set[str]()
        self.cancelled = set[tuple[int, int]]()
        # By router: time of each attempt (True) or final answer (False)
        self.decisions: dict[int, list[tuple[int, bool]]] = {}
        self.last_sent: dict[int, str] = {}
        super().__init__("none", routers, prefill_servers, rate, seed)

    def start_router(self, n: int) -> None:
        super().start_router(n)
        self.decisions[n] = []
        original_handle = self.routers[n].handle

        def handle(now_us: int, event: contract.Event) -> list[contract.Action]:
            actions = original_handle(now_us, event)
            for action in actions:
                match action:
                    case contract.SendAttempt(number, server, _):
                        self.decisions[n].append((now_us, True))
                        self.last_sent[number] = server
                    case contract.Reject() | contract.Fail():
                        self.decisions[n].append((now_us, False))
                    case contract.CancelAttempt(number, attempt) if number in self.last_sent:
                        self.cancelled.add((number, attempt))
                        end = contract.AttemptOutcome(
                            number, attempt, self.last_sent[number], AttemptStatus.CANCELLED, MS
                        )
                        self.schedule(MS, n, end)
            return actions

        self.routers[n].handle = handle  # type: ignore[method-assign]

    def deliver(self, router_index: int, event: contract.Event) -> None:
        if isinstance(event, contract.StreamStarted | contract.AttemptOutcome):
            is_cancelled = (event.id, event.attempt) in self.cancelled
            if is_cancelled and not (
                isinstance(event, contract.AttemptOutcome)
                and event.status is AttemptStatus.CANCELLED
            ):
                return  # the attempt was cancelled before this event
        super().deliver(router_index, event)

    def send(self, router: Router, router_index: int, number: int, server: str) -> None:
        if server not in self.silent:
            super().send(router, router_index, number, server)
            return
        attempt = router.requests[number].attempts - 1
        self.schedule(
            SILENT_TIMEOUT_US,
            router_index,
            contract.AttemptOutcome(
                number, attempt, server, AttemptStatus.TIMED_OUT, SILENT_TIMEOUT_US
            ),
        )

    def idle(self) -> list[int]:
        """Return the routers that sent no attempt and rejected requests for ``IDLE_US``."""
        found = []
        for n, decisions in self.decisions.items():
            for start, _ in decisions:
                counts = Counter(sent for at, sent in decisions if start <= at < start + IDLE_US)
                if counts[False] >= IDLE_REJECTIONS and not counts[True]:
                    found.append(n)
                    break
        return found

    def answered_since(self, since_us: int) -> float:
        """Return the share answered of the ended requests that arrived since then."""
        arrived = [
            n for n, arrival in self.arrivals.items() if arrival.deadline_us - 6 * S >= since_us
        ]
        ended = [self.answered[n] for n in arrived if n in self.answered]
        return sum(ended) / max(1, len(ended))


@pytest.mark.parametrize("kind", ["r", "w"])
@pytest.mark.parametrize("routers", [4, 30])
def test_requests_are_answered_again_after_four_in_five_of_a_role_were_silent(
    kind: str, routers: int
) -> None:
    check_outages(kind, routers)


def check_outages(kind: str, routers: int) -> None:
    fleet = RecordingFleet(routers, 10, 60.0, 1)
    fleet.run(4 * S)
    names = sorted(name for name in fleet.servers if name[0] == kind)
    for outage in range(3):
        fleet.silent = set(fleet.random.sample(names, len(names) * 4 // 5))
        fleet.run(3 * S)
        fleet.silent = set()
        fleet.run(6 * S)
        assert fleet.answered_since(fleet.now - 3 * S) > 0.9, (
            f"all servers are back after outage {outage}"
        )
    assert len(fleet.idle()) <= routers // 10


@pytest.mark.parametrize("routers", [4, 30])
def test_no_router_is_idle_while_half_of_all_servers_are_replaced(routers: int) -> None:
    check_replacement(routers)


def check_replacement(routers: int) -> None:
    fleet = RecordingFleet(routers, 10, 20.0 * routers, 2)
    fleet.run(3 * S)
    for name in sorted(fleet.servers)[::2]:
        fleet.update_endpoints(replace(fleet.servers[name], started_us=fleet.now))
        fleet.run(300 * MS)
    fleet.run(8 * S)
    assert len(fleet.idle()) <= routers // 10
    assert fleet.answered_since(fleet.now - 4 * S) > 0.9


def test_the_check_for_idle_routers_finds_them() -> None:
    fleet = RecordingFleet(10, 10, 200.0, 3)
    for n in (2, 7):
        fleet.routers[n]._begin = lambda request: False  # type: ignore[method-assign]
    fleet.run(8 * S)
    assert fleet.idle() == [2, 7]


def test_the_checks_detect_planted_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    def none_after_an_ejection(
        self: ServerPool, now_us: int, *roles: contract.Role
    ) -> list[ServerState]:
        available = [server for role in roles for server in self.available[role]]
        return [] if any(server.ejection_level for server in available) else available

    def none_during_slow_start(
        self: CandidateFilter,
        request: RequestState,
        servers: list[ServerState],
        now_us: int,
        holder: ServerState | None,
    ) -> list[ServerState]:
        return [] if any(server.slow_start_factor(now_us) < 1 for server in servers) else servers

    with monkeypatch.context() as planted:
        planted.setattr(ServerPool, "healthy", none_after_an_ejection)
        for kind in ("r", "w"):
            with pytest.raises(AssertionError):
                check_outages(kind, 4)
    monkeypatch.setattr(CandidateFilter, "sample_warming", none_during_slow_start)
    with pytest.raises(AssertionError):
        check_replacement(4)
