"""Each invariant is violated once on purpose; regular sequences violate none."""

from collections.abc import Callable

import pytest
from helpers import SETTINGS, S

from onyxpass.invariants import InvariantChecker, ProcessStartChecker, Rule, Verdict
from onyxpass.invariants.rules import CLIENT_GONE_GRACE_US, SCHEDULING_DELAY_US
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus, EndpointCondition

NOW = 1_000 * S
DEADLINE = NOW + 5 * S
SERVERS = tuple(
    contract.Endpoint(name, kind, zone, 0)
    for name, kind, zone in (("r0", "r", "z0"), ("w0", "w", "z0"), ("w1", "w", "z1"))
)


def new_checker(traffic_class: str = "light") -> InvariantChecker:
    checker = InvariantChecker(SETTINGS)
    checker.record_endpoints(SERVERS, True, NOW)
    checker.record_request("a1", traffic_class, DEADLINE)
    return checker


def check_send(
    checker: InvariantChecker,
    attempt: int,
    server: str = "r0",
    timeout_us: int = S,
    now_us: int = NOW,
) -> Verdict:
    return checker.check_send("a1", attempt, server, server != "r0", timeout_us, now_us)


def test_a_regular_request_violates_nothing() -> None:
    checker = new_checker("once")
    assert check_send(checker, 0)
    checker.record_attempt_end("a1", 0, AttemptStatus.PREFILLED)
    assert check_send(checker, 1, "w0") and checker.check_commit("a1", 1)
    checker.record_attempt_end("a1", 1, AttemptStatus.COMPLETED)
    assert checker.check_answer("a1") and checker.check_close(False)
    checker.record_removal("a1")
    assert not checker.violations


def send_of_unknown_request(checker: InvariantChecker) -> Verdict:
    checker.record_removal("a1")
    return check_send(checker, 0)


def answer_to_unknown_request(checker: InvariantChecker) -> Verdict:
    checker.record_removal("a1")
    return checker.check_answer("a1")


def second_answer(checker: InvariantChecker) -> Verdict:
    assert checker.check_answer("a1")
    return checker.check_answer("a1")


def send_after_answer(checker: InvariantChecker) -> Verdict:
    assert checker.check_answer("a1")
    return check_send(checker, 0)


def event_after_answer(checker: InvariantChecker) -> Verdict:
    assert check_send(checker, 0) and checker.check_answer("a1")
    return checker.check_commit("a1", 0)


def overlapping_attempts(checker: InvariantChecker) -> Verdict:
    assert check_send(checker, 0)
    return check_send(checker, 1, "w0")


def send_after_first_event(checker: InvariantChecker) -> Verdict:
    assert check_send(checker, 0, "w0") and checker.check_commit("a1", 0)
    checker.record_attempt_end("a1", 0, AttemptStatus.RESET)
    return check_send(checker, 1, "w1")


def second_stream(checker: InvariantChecker) -> Verdict:
    assert check_send(checker, 0, "w0") and checker.check_commit("a1", 0)
    return checker.check_commit("a1", 1)


def too_many_attempts(checker: InvariantChecker) -> Verdict:
    for n in range(SETTINGS.max_attempts):
        assert check_send(checker, n)
        checker.record_attempt_end("a1", n, AttemptStatus.OVERLOADED)
    return check_send(checker, SETTINGS.max_attempts)


def repeated_attempt_number(checker: InvariantChecker) -> Verdict:
    assert check_send(checker, 0)
    checker.record_attempt_end("a1", 0, AttemptStatus.OVERLOADED)
    return check_send(checker, 0)


def send_past_deadline(checker: InvariantChecker) -> Verdict:
    assert check_send(new_checker(), 0, now_us=DEADLINE + SCHEDULING_DELAY_US, timeout_us=0), (
        "a delay by the scheduler is allowed"
    )
    return check_send(checker, 0, now_us=DEADLINE + SCHEDULING_DELAY_US + 1, timeout_us=0)


def timeout_beyond_deadline(checker: InvariantChecker) -> Verdict:
    return check_send(checker, 0, timeout_us=6 * S)


def send_after_client_left(checker: InvariantChecker) -> Verdict:
    checker.record_client_disconnect("a1", NOW)
    return check_send(checker, 0, now_us=NOW + CLIENT_GONE_GRACE_US + 1)


def send_to_drained_server(checker: InvariantChecker) -> Verdict:
    checker.record_endpoints(
        [contract.Endpoint("r0", "r", "z0", 0, condition=EndpointCondition.DRAINING)], False, NOW
    )
    assert check_send(new_checker(), 0)
    return check_send(checker, 0, now_us=NOW + SETTINGS.drain_grace_us)


def send_to_removed_server(checker: InvariantChecker) -> Verdict:
    checker.record_endpoints(SERVERS[1:], True, NOW)
    return check_send(checker, 0, now_us=NOW + SETTINGS.drain_grace_us)


def second_run(checker: InvariantChecker, server: str = "w1", now_us: int = NOW) -> Verdict:
    assert check_send(checker, 0, "w0")
    checker.record_attempt_end("a1", 0, AttemptStatus.RESET)
    return check_send(checker, 1, server, now_us=now_us)


def rejection_after_possible_run(checker: InvariantChecker) -> Verdict:
    assert check_send(checker, 0, "w0")
    checker.record_attempt_end("a1", 0, AttemptStatus.TIMED_OUT)
    return checker.check_answer("a1", rejection=True)


def rejection_while_in_flight(checker: InvariantChecker) -> Verdict:
    assert check_send(checker, 0, "w0")
    return checker.check_answer("a1", rejection=True)


@pytest.mark.parametrize(
    ("rule", "traffic_class", "violate"),
    [
        (Rule.UNKNOWN_REQUEST, "light", send_of_unknown_request),
        (Rule.UNKNOWN_REQUEST, "light", answer_to_unknown_request),
        (Rule.ONE_ANSWER, "light", second_answer),
        (Rule.ONE_ANSWER, "light", send_after_answer),
        (Rule.ONE_ANSWER, "light", event_after_answer),
        (Rule.ONE_OUT, "light", overlapping_attempts),
        (Rule.COMMITTED, "light", send_after_first_event),
        (Rule.COMMITTED, "light", second_stream),
        (Rule.ATTEMPTS, "light", too_many_attempts),
        (Rule.ATTEMPTS, "light", repeated_attempt_number),
        (Rule.DEADLINE, "light", send_past_deadline),
        (Rule.TIME_TOLD, "light", timeout_beyond_deadline),
        (Rule.CLIENT_GONE, "light", send_after_client_left),
        (Rule.DRAINED, "light", send_to_drained_server),
        (Rule.DRAINED, "light", send_to_removed_server),
        (Rule.RUN_ONCE, "once", second_run),
        (Rule.RUN_ONCE, "keyed", second_run),  # in another zone than the first run
        (
            Rule.RUN_ONCE,
            "keyed",
            lambda checker: second_run(checker, "w0", NOW + 5 * S + SCHEDULING_DELAY_US),
        ),
        (Rule.REFUSAL, "once", rejection_after_possible_run),
        (Rule.REFUSAL, "once", rejection_while_in_flight),
        (Rule.UNANSWERED, "light", lambda checker: checker.check_close(True)),
    ],
)
def test_a_step_that_would_violate_an_invariant_is_refused_and_counted(
    rule: Rule, traffic_class: str, violate: Callable[[InvariantChecker], Verdict]
) -> None:
    checker = new_checker(traffic_class)
    if rule is Rule.RUN_ONCE:
        checker.record_request("a1", traffic_class, DEADLINE + 60 * S)
    verdict = violate(checker)
    assert not verdict and verdict.rule is rule
    assert checker.violations == {rule: 1}


def test_harmless_steps_are_allowed() -> None:
    assert second_run(new_checker("light")), "an idempotent request may run again"
    assert second_run(new_checker("keyed"), "w0"), (
        "a keyed request may run again where its duplicates are discarded"
    )
    checker = new_checker("light")
    assert check_send(checker, 0, "w0")
    checker.record_attempt_end("a1", 0, AttemptStatus.TIMED_OUT)
    assert checker.check_answer("a1", rejection=True)
    checker = new_checker("once")
    checker.record_endpoints(
        [contract.Endpoint("r0", "r", "z0", 0, condition=EndpointCondition.DRAINING)], False, NOW
    )
    checker.record_endpoints(SERVERS, True, NOW + S)
    assert check_send(checker, 0, now_us=NOW + 2 * S), "the server is up again"


def test_a_second_process_of_an_instance_is_refused_and_counted() -> None:
    checker = ProcessStartChecker()
    assert checker.check_start("n1")
    checker.record_start("n1", 7)
    assert checker.check_start("n1").rule is Rule.ONE_PROCESS
    assert checker.violations.total() == 1
    checker.record_end("n1")
    assert checker.check_start("n1")
