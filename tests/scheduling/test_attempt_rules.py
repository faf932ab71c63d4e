"""The five rules for attempts and answers, each with faults that break it, and odd input."""

from dataclasses import replace

from helpers import MS, RouterDriver, S, make_endpoints
from hypothesis import given, settings
from hypothesis import strategies as st

from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus


def test_every_request_is_answered_in_time_without_servers() -> None:
    for servers in ((), make_endpoints(0, 4), make_endpoints(4, 0)):
        driver = RouterDriver(
            servers
            or [replace(s, condition=contract.EndpointCondition.DRAINING) for s in make_endpoints()]
        )
        deadline = driver.now + 5 * S
        driver.submit(1)
        while 1 not in driver.answers and driver.now < deadline:
            driver.tick()
        assert len(driver.answers[1]) == 1 and driver.now < deadline


def test_a_request_that_arrives_with_little_time_is_answered_at_once() -> None:
    """During router restarts, a retry with less time left than a tick was never answered."""
    driver = RouterDriver(make_endpoints(4, 0))
    driver.submit(1, deadline_us=driver.now + 20 * MS)
    assert len(driver.answers[1]) == 1


def test_attempts_end_before_the_deadline_and_never_run_two_at_once() -> None:
    driver = RouterDriver()
    driver.submit(1)
    deadline = driver.now + 5 * S
    for _ in range(8):
        (send,) = [a for a in driver.last_actions if isinstance(a, contract.SendAttempt)]
        assert driver.now + send.timeout_us < deadline
        driver.deliver_outcome(1, AttemptStatus.TIMED_OUT, send.timeout_us)
        if 1 in driver.answers:
            break
    assert len(driver.answers[1]) == 1 and driver.now < deadline
    assert len(driver.sent[1]) <= driver.settings.max_attempts


def test_state_is_fetched_or_released_after_every_attempt() -> None:
    driver = RouterDriver()
    driver.submit(1)
    driver.deliver(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.COMPLETE,
            tuple(s for s in make_endpoints() if s.kind == "r"),
        )
    )
    actions = driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    assert contract.ReleaseState(1) in actions and driver.answers[1]


def test_the_state_of_a_prefill_that_ends_after_its_request_is_released() -> None:
    driver = RouterDriver()
    driver.submit(1)
    assert contract.CancelAttempt(1, 0) in driver.deliver(contract.RequestWithdrawn(1))
    assert contract.ReleaseState(1) in driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    assert contract.ReleaseState(99) in driver.deliver(
        contract.AttemptOutcome(99, 0, "r0", AttemptStatus.PREFILLED)
    )
    assert 1 not in driver.answers


def test_a_non_idempotent_request_is_not_resent_or_rejected_once_it_may_have_run() -> None:
    driver = RouterDriver()
    driver.submit(1, traffic_class="once")
    driver.deliver_outcome(1, AttemptStatus.ERROR)
    assert len(driver.sent[1]) == 2, "a failed prefill has had no effect"
    driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    driver.deliver_outcome(1, AttemptStatus.OVERLOADED)
    assert len(driver.sent[1]) == 4, "a decode server that rejected the request did not run it"
    driver.deliver_outcome(1, AttemptStatus.RESET)
    assert driver.answers[1] == [contract.Fail(1)] and len(driver.sent[1]) == 4


def test_a_keyed_request_is_retried_only_in_its_deduplication_scope_and_window() -> None:
    driver = RouterDriver(max_attempts=9)
    driver.submit(1, traffic_class="keyed", deadline_us=driver.now + 8 * S)
    driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    zone = driver.router.servers[driver.sent[1][1]].endpoint.zone
    driver.deliver_outcome(1, AttemptStatus.ERROR)
    assert driver.router.servers[driver.sent[1][2]].endpoint.zone == zone
    driver.deliver_outcome(1, AttemptStatus.ERROR, 5 * S)
    assert driver.answers[1] == [contract.Fail(1)] and len(driver.sent[1]) == 3


def test_a_draining_or_removed_server_gets_no_new_request() -> None:
    driver = RouterDriver()
    owner = driver.complete_request(1)
    endpoint = driver.router.servers[owner].endpoint
    driver.deliver(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA,
            (replace(endpoint, condition=contract.EndpointCondition.DRAINING),),
        )
    )
    assert driver.submit(2) != owner
    driver.deliver(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.COMPLETE,
            tuple(s for s in make_endpoints() if s.id == "r0" or s.kind == "w"),
        )
    )
    assert driver.submit(3, "t", "q") == "r0"


def test_a_server_in_slow_start_gets_only_its_share() -> None:
    driver = RouterDriver(make_endpoints(4, 8), routers=2)
    driver.deliver(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA,
            (replace(make_endpoints()[0], started_us=driver.now),),
        )
    )
    chosen = [driver.complete_request(i, f"s{i}", f"p{i}") for i in range(120)]
    cold, *warm = (chosen.count(f"r{i}") for i in range(4))
    assert 0 < cold <= 0.8 * sum(warm) / 3


def test_two_hundred_routers_do_not_overload_a_server_in_slow_start() -> None:
    """With 149 routers, each allowed itself one send to a server that had just started."""
    cold = replace(make_endpoints()[0], started_us=1_000 * S)
    sent = 0
    for ordinal in range(200):
        driver = RouterDriver((cold, *make_endpoints()[1:]), routers=200, ordinal=ordinal)
        for i in range(12):
            sent += (
                driver.submit(
                    i, f"s{ordinal}-{i}", f"p{ordinal}-{i}", prompt_tokens=9, max_tokens=9
                )
                == cold.id
            )
    even_share, factor = 200 * 12 / 4, driver.settings.slow_start_initial_factor
    assert 0.3 * factor * even_share < sent <= 1.3 * factor * even_share


def test_events_of_unknown_requests_and_servers_are_ignored() -> None:
    driver = RouterDriver()
    assert driver.deliver(contract.AttemptOutcome(5, 0, "nobody", AttemptStatus.TIMED_OUT)) == []
    assert driver.deliver(contract.StreamStarted(5, 0, "nobody")) == []
    assert driver.deliver(contract.RequestWithdrawn(5)) == []
    assert driver.deliver(contract.IgnoredEvent()) == []
    driver.deliver(contract.HealthCheckResult("nobody", True))


def test_implausible_reports_are_ignored() -> None:
    driver = RouterDriver()
    server = driver.router.servers["w0"]
    for share in (-1.0, float("nan"), float("inf"), 40.0, None):
        driver.deliver(
            contract.HealthCheckResult(
                "w0", True, 10, contract.LoadReport(memory_utilization=share, in_flight=share)
            )
        )
        assert server.utilization_reported_us == -1
    driver.deliver(
        contract.HealthCheckResult("w0", True, 10, contract.LoadReport(memory_utilization=0.5))
    )
    assert server.memory_utilization == 0.5


def test_an_endpoint_list_that_must_be_watched_is_watched_again_after_an_error() -> None:
    driver = RouterDriver(watch_endpoints=True)
    assert contract.WatchEndpoints() in driver.last_actions
    assert contract.FetchEndpoints() in driver.deliver(
        contract.EndpointUpdate(contract.EndpointUpdateForm.FAILED)
    )
    watches = []
    for _ in range(200):
        driver.tick()
        watches += [a for a in driver.last_actions if isinstance(a, contract.WatchEndpoints)]
    assert watches and driver.submit(1), "the old list stays in force"


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
    driver = RouterDriver(cancellation_allowed=cancel, routers=n)
    in_flight: dict[int, tuple[str, int]] = {}  # by request: server, and when it times out
    holding: set[int] = set()
    open_until: dict[int, int] = {}
    attempts: dict[int, int] = {}
    drained: set[str] = set()

    def check_actions() -> None:
        for action in driver.last_actions:
            match action:
                case contract.SendAttempt(request, server, timeout_us):
                    assert request in open_until, "sent for a request that has ended"
                    assert request not in in_flight, "two attempts at once"
                    assert server not in drained
                    assert timeout_us > 0 and driver.now + timeout_us <= max(
                        open_until[request], driver.now + 1
                    )
                    in_flight[request] = (server, driver.now + timeout_us)
                    attempts[request] = attempts.get(request, 0) + 1
                    assert attempts[request] <= driver.settings.max_attempts
                    holding.discard(request)
                case contract.Reject(request, _) | contract.Fail(request):
                    assert request in open_until, "answered twice"
                    assert driver.now <= open_until.pop(request), "answered late"
                case contract.ReleaseState(request):
                    holding.discard(request)
        assert not holding, "state left reserved"

    def end_attempt(request: int, status: AttemptStatus) -> None:
        server, _ = in_flight.pop(request)
        if status is AttemptStatus.PREFILLED and not server.startswith("r"):
            status = AttemptStatus.OVERLOADED
        if status is AttemptStatus.PREFILLED:
            holding.add(request)
        driver.deliver(
            contract.AttemptOutcome(request, attempts[request] - 1, server, status, 1_000)
        )
        check_actions()

    for kind, number, status, after_us in steps:
        step_end_us = driver.now + after_us
        while driver.now < step_end_us:
            driver.tick()
            check_actions()
            for request in [r for r, (_, at) in in_flight.items() if at <= driver.now]:
                end_attempt(request, AttemptStatus.TIMED_OUT)
            assert all(driver.now <= until + 25 * MS for until in open_until.values()), (
                "no answer before the deadline"
            )
        if (
            kind == "ask"
            and number not in attempts
            and number not in open_until
            and number not in driver.answers
        ):
            open_until[number] = driver.now + 200 * MS + number * 150 * MS
            driver.submit(
                number, f"s{number % 5}", f"p{number % 3}", deadline_us=open_until[number]
            )
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
            driver.deliver(
                contract.StreamStarted(
                    number, attempts[number] - 1, in_flight.pop(number)[0], 1_000
                )
            )
            check_actions()
        elif kind == "gone" and number in open_until:
            open_until.pop(number)
            driver.deliver(contract.RequestWithdrawn(number))
            check_actions()
        elif kind == "list":
            endpoint = make_endpoints()[number % 8]
            drained.symmetric_difference_update({endpoint.id})
            condition = (
                contract.EndpointCondition.DRAINING
                if endpoint.id in drained
                else contract.EndpointCondition.UP
            )
            driver.deliver(
                contract.EndpointUpdate(
                    contract.EndpointUpdateForm.DELTA, (replace(endpoint, condition=condition),)
                )
            )
            check_actions()
