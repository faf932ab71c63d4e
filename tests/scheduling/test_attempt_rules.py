"""The five rules for attempts and answers, each with faults that break it, and odd input."""

from dataclasses import replace

from helpers import MS, Drive, S, fleet
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus


def test_every_request_is_answered_in_time_without_servers() -> None:
    for servers in ((), fleet(0, 4), fleet(4, 0)):
        drive = Drive(
            servers or [replace(s, condition=contract.EndpointCondition.DRAINING) for s in fleet()]
        )
        deadline = drive.now + 5 * S
        drive.ask(1)
        while 1 not in drive.answers and drive.now < deadline:
            drive.tick()
        assert len(drive.answers[1]) == 1 and drive.now < deadline


def test_a_request_that_arrives_with_little_time_is_answered_at_once() -> None:
    """During router restarts, a retry with less time left than a tick was never answered."""
    drive = Drive(fleet(4, 0))
    drive.ask(1, deadline_us=drive.now + 20 * MS)
    assert len(drive.answers[1]) == 1


def test_attempts_end_before_the_deadline_and_never_run_two_at_once() -> None:
    drive = Drive()
    drive.ask(1)
    deadline = drive.now + 5 * S
    for _ in range(8):
        (send,) = [a for a in drive.last if isinstance(a, contract.SendAttempt)]
        assert drive.now + send.timeout_us < deadline
        drive.end(1, AttemptStatus.TIMED_OUT, send.timeout_us)
        if 1 in drive.answers:
            break
    assert len(drive.answers[1]) == 1 and drive.now < deadline
    assert len(drive.sent[1]) <= drive.settings.max_attempts


def test_state_is_fetched_or_released_after_every_attempt() -> None:
    drive = Drive()
    drive.ask(1)
    drive.give(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.COMPLETE, tuple(s for s in fleet() if s.kind == "r")
        )
    )
    actions = drive.end(1, AttemptStatus.PREFILLED)
    assert contract.ReleaseState(1) in actions and drive.answers[1]


def test_the_state_of_a_prefill_that_ends_after_its_request_is_released() -> None:
    drive = Drive()
    drive.ask(1)
    assert contract.CancelAttempt(1, 0) in drive.give(contract.RequestWithdrawn(1))
    assert contract.ReleaseState(1) in drive.end(1, AttemptStatus.PREFILLED)
    assert contract.ReleaseState(99) in drive.give(
        contract.AttemptOutcome(99, 0, "r0", AttemptStatus.PREFILLED)
    )
    assert 1 not in drive.answers


def test_a_non_idempotent_request_is_not_resent_or_rejected_once_it_may_have_run() -> None:
    drive = Drive()
    drive.ask(1, traffic_class="once")
    drive.end(1, AttemptStatus.ERROR)
    assert len(drive.sent[1]) == 2, "a failed prefill has had no effect"
    drive.end(1, AttemptStatus.PREFILLED)
    drive.end(1, AttemptStatus.OVERLOADED)
    assert len(drive.sent[1]) == 4, "a decode server that rejected the request did not run it"
    drive.end(1, AttemptStatus.RESET)
    assert drive.answers[1] == [contract.Fail(1)] and len(drive.sent[1]) == 4


def test_a_keyed_request_is_retried_only_in_its_deduplication_scope_and_window() -> None:
    drive = Drive(max_attempts=9)
    drive.ask(1, traffic_class="keyed", deadline_us=drive.now + 8 * S)
    drive.end(1, AttemptStatus.PREFILLED)
    zone = drive.router.servers[drive.sent[1][1]].endpoint.zone
    drive.end(1, AttemptStatus.ERROR)
    assert drive.router.servers[drive.sent[1][2]].endpoint.zone == zone
    drive.end(1, AttemptStatus.ERROR, 5 * S)
    assert drive.answers[1] == [contract.Fail(1)] and len(drive.sent[1]) == 3


def test_a_draining_or_removed_server_gets_no_new_request() -> None:
    drive = Drive()
    owner = drive.serve(1)
    endpoint = drive.router.servers[owner].endpoint
    drive.give(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA,
            (replace(endpoint, condition=contract.EndpointCondition.DRAINING),),
        )
    )
    assert drive.ask(2) != owner
    drive.give(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.COMPLETE,
            tuple(s for s in fleet() if s.id == "r0" or s.kind == "w"),
        )
    )
    assert drive.ask(3, "t", "q") == "r0"


def test_a_server_in_slow_start_gets_only_its_share() -> None:
    drive = Drive(fleet(4, 8), routers=2)
    drive.give(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, (replace(fleet()[0], started_us=drive.now),)
        )
    )
    chosen = [drive.serve(i, f"s{i}", f"p{i}") for i in range(120)]
    cold, *warm = (chosen.count(f"r{i}") for i in range(4))
    assert 0 < cold <= 0.8 * sum(warm) / 3


def test_two_hundred_routers_do_not_overload_a_server_in_slow_start() -> None:
    """With 149 routers, each allowed itself one send to a server that had just started."""
    cold = replace(fleet()[0], started_us=1_000 * S)
    sent = 0
    for ordinal in range(200):
        drive = Drive((cold, *fleet()[1:]), routers=200, ordinal=ordinal)
        for i in range(12):
            sent += (
                drive.ask(i, f"s{ordinal}-{i}", f"p{ordinal}-{i}", prompt_tokens=9, max_tokens=9)
                == cold.id
            )
    even_share, factor = 200 * 12 / 4, drive.settings.slow_start_initial_factor
    assert 0.3 * factor * even_share < sent <= 1.3 * factor * even_share


def test_events_of_unknown_requests_and_servers_are_ignored() -> None:
    drive = Drive()
    assert drive.give(contract.AttemptOutcome(5, 0, "nobody", AttemptStatus.TIMED_OUT)) == []
    assert drive.give(contract.StreamStarted(5, 0, "nobody")) == []
    assert drive.give(contract.RequestWithdrawn(5)) == []
    assert drive.give(contract.IgnoredEvent()) == []
    drive.give(contract.HealthCheckResult("nobody", True))


def test_implausible_reports_are_ignored() -> None:
    drive = Drive()
    server = drive.router.servers["w0"]
    for share in (-1.0, float("nan"), float("inf"), 40.0, None):
        drive.give(
            contract.HealthCheckResult(
                "w0", True, 10, contract.LoadReport(memory_utilization=share, in_flight=share)
            )
        )
        assert server.utilization_reported_us == -1
    drive.give(
        contract.HealthCheckResult("w0", True, 10, contract.LoadReport(memory_utilization=0.5))
    )
    assert server.memory_utilization == 0.5


def test_an_endpoint_list_that_must_be_watched_is_watched_again_after_an_error() -> None:
    drive = Drive(watch_endpoints=True)
    assert contract.WatchEndpoints() in drive.last
    assert contract.FetchEndpoints() in drive.give(
        contract.EndpointUpdate(contract.EndpointUpdateForm.FAILED)
    )
    watches = []
    for _ in range(200):
        drive.tick()
        watches += [a for a in drive.last if isinstance(a, contract.WatchEndpoints)]
    assert watches and drive.ask(1), "the old list stays in force"


EVENT_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "end", "start", "gone", "tick", "list", "late"]),
        st.integers(0, 30),
        st.sampled_from([s for s in AttemptStatus if s is not AttemptStatus.COMPLETED]),
        st.integers(1, 300 * MS),
    ),
    min_size=5,
    max_size=60,
)


@settings(derandomize=True, max_examples=80, deadline=None)
@given(EVENT_STEPS, st.booleans(), st.integers(1, 4))
def test_random_events_never_break_a_rule(
    steps: list[tuple[str, int, AttemptStatus, int]], cancel: bool, n: int
) -> None:
    drive = Drive(cancellation_allowed=cancel, routers=n)
    in_flight: dict[int, tuple[str, int]] = {}  # by request: server, and when it times out
    holding: set[int] = set()
    open_until: dict[int, int] = {}
    attempts: dict[int, int] = {}
    drained: set[str] = set()

    def check_actions() -> None:
        for action in drive.last:
            match action:
                case contract.SendAttempt(request, server, timeout_us):
                    assert request in open_until, "sent for a request that has ended"
                    assert request not in in_flight, "two attempts at once"
                    assert server not in drained
                    assert timeout_us > 0 and drive.now + timeout_us <= max(
                        open_until[request], drive.now + 1
                    )
                    in_flight[request] = (server, drive.now + timeout_us)
                    attempts[request] = attempts.get(request, 0) + 1
                    assert attempts[request] <= drive.settings.max_attempts
                    holding.discard(request)
                case contract.Reject(request, _) | contract.Fail(request):
                    assert request in open_until, "answered twice"
                    assert drive.now <= open_until.pop(request), "answered late"
                case contract.ReleaseState(request):
                    holding.discard(request)
        assert not holding, "state left reserved"

    def end_attempt(request: int, status: AttemptStatus) -> None:
        server, _ = in_flight.pop(request)
        if status is AttemptStatus.PREFILLED and not server.startswith("r"):
            status = AttemptStatus.OVERLOADED
        if status is AttemptStatus.PREFILLED:
            holding.add(request)
        drive.give(contract.AttemptOutcome(request, attempts[request] - 1, server, status, 1_000))
        check_actions()

    for kind, number, status, after_us in steps:
        step_end_us = drive.now + after_us
        while drive.now < step_end_us:
            drive.tick()
            check_actions()
            for request in [r for r, (_, at) in in_flight.items() if at <= drive.now]:
                end_attempt(request, AttemptStatus.TIMED_OUT)
            assert all(drive.now <= until + 25 * MS for until in open_until.values()), (
                "no answer before the deadline"
            )
        if (
            kind == "ask"
            and number not in attempts
            and number not in open_until
            and number not in drive.answers
        ):
            open_until[number] = drive.now + 200 * MS + number * 150 * MS
            drive.ask(number, f"s{number % 5}", f"p{number % 3}", deadline_us=open_until[number])
            check_actions()
        elif kind in ("end", "late") and number in in_flight:
            end_attempt(number, status)
        elif (
            kind == "start"
            and number in in_flight
            and number in open_until
            and in_flight[number][0].startswith("w")
        ):
            open_until.pop(number)
            drive.give(
                contract.StreamStarted(
                    number, attempts[number] - 1, in_flight.pop(number)[0], 1_000
                )
            )
            check_actions()
        elif kind == "gone" and number in open_until:
            open_until.pop(number)
            drive.give(contract.RequestWithdrawn(number))
            check_actions()
        elif kind == "list":
            endpoint = fleet()[number % 8]
            drained.symmetric_difference_update({endpoint.id})
            condition = (
                contract.EndpointCondition.DRAINING
                if endpoint.id in drained
                else contract.EndpointCondition.UP
            )
            drive.give(
                contract.EndpointUpdate(
                    contract.EndpointUpdateForm.DELTA, (replace(endpoint, condition=condition),)
                )
            )
            check_actions()
