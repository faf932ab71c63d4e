"""Each invariant, with what would violate it planted; and that good runs violate none."""

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


def made(traffic_class: str = "light") -> InvariantChecker:
    checker = InvariantChecker(SETTINGS)
    checker.record_endpoints(SERVERS, True, NOW)
    checker.record_request("a1", traffic_class, DEADLINE)
    return checker


def sends(
    checker: InvariantChecker, n: int, server: str = "r0", told_us: int = S, now_us: int = NOW
) -> Verdict:
    return checker.check_send("a1", n, server, server != "r0", told_us, now_us)


def test_a_request_that_goes_well_breaks_nothing() -> None:
    checker = made("once")
    assert sends(checker, 0)
    checker.record_attempt_end("a1", 0, AttemptStatus.PREFILLED)
    assert sends(checker, 1, "w0") and checker.check_commit("a1", 1)
    checker.record_attempt_end("a1", 1, AttemptStatus.COMPLETED)
    assert checker.check_answer("a1") and checker.check_close(False)
    checker.record_removal("a1")
    assert not checker.violations


def unknown(checker: InvariantChecker) -> Verdict:
    checker.record_removal("a1")
    return sends(checker, 0)


def unknown_answer(checker: InvariantChecker) -> Verdict:
    checker.record_removal("a1")
    return checker.check_answer("a1")


def second_answer(checker: InvariantChecker) -> Verdict:
    assert checker.check_answer("a1")
    return checker.check_answer("a1")


def send_after_the_answer(checker: InvariantChecker) -> Verdict:
    assert checker.check_answer("a1")
    return sends(checker, 0)


def event_after_the_answer(checker: InvariantChecker) -> Verdict:
    assert sends(checker, 0) and checker.check_answer("a1")
    return checker.check_commit("a1", 0)


def overlap(checker: InvariantChecker) -> Verdict:
    assert sends(checker, 0)
    return sends(checker, 1, "w0")


def send_after_the_first_event(checker: InvariantChecker) -> Verdict:
    assert sends(checker, 0, "w0") and checker.check_commit("a1", 0)
    checker.record_attempt_end("a1", 0, AttemptStatus.RESET)
    return sends(checker, 1, "w1")


def second_stream(checker: InvariantChecker) -> Verdict:
    assert sends(checker, 0, "w0") and checker.check_commit("a1", 0)
    return checker.check_commit("a1", 1)


def too_many(checker: InvariantChecker) -> Verdict:
    for n in range(SETTINGS.max_attempts):
        assert sends(checker, n)
        checker.record_attempt_end("a1", n, AttemptStatus.OVERLOADED)
    return sends(checker, SETTINGS.max_attempts)


def the_same_attempt_again(checker: InvariantChecker) -> Verdict:
    assert sends(checker, 0)
    checker.record_attempt_end("a1", 0, AttemptStatus.OVERLOADED)
    return sends(checker, 0)


def too_late(checker: InvariantChecker) -> Verdict:
    assert sends(made(), 0, now_us=DEADLINE + SCHEDULING_DELAY_US, told_us=0), (
        "what it may be held up by is allowed"
    )
    return sends(checker, 0, now_us=DEADLINE + SCHEDULING_DELAY_US + 1, told_us=0)


def told_too_much(checker: InvariantChecker) -> Verdict:
    return sends(checker, 0, told_us=6 * S)


def client_gone(checker: InvariantChecker) -> Verdict:
    checker.record_client_disconnect("a1", NOW)
    return sends(checker, 0, now_us=NOW + CLIENT_GONE_GRACE_US + 1)


def drained(checker: InvariantChecker) -> Verdict:
    checker.record_endpoints(
        [contract.Endpoint("r0", "r", "z0", 0, condition=EndpointCondition.DRAINING)], False, NOW
    )
    assert sends(made(), 0)
    return sends(checker, 0, now_us=NOW + SETTINGS.drain_grace_us)


def removed(checker: InvariantChecker) -> Verdict:
    checker.record_endpoints(SERVERS[1:], True, NOW)
    return sends(checker, 0, now_us=NOW + SETTINGS.drain_grace_us)


def ran(checker: InvariantChecker, server: str = "w1", now_us: int = NOW) -> Verdict:
    assert sends(checker, 0, "w0")
    checker.record_attempt_end("a1", 0, AttemptStatus.RESET)
    return sends(checker, 1, server, now_us=now_us)


def refused_after_it_ran(checker: InvariantChecker) -> Verdict:
    assert sends(checker, 0, "w0")
    checker.record_attempt_end("a1", 0, AttemptStatus.TIMED_OUT)
    return checker.check_answer("a1", rejection=True)


def refused_while_it_runs(checker: InvariantChecker) -> Verdict:
    assert sends(checker, 0, "w0")
    return checker.check_answer("a1", rejection=True)


@pytest.mark.parametrize(
    ("rule", "traffic_class", "planted"),
    [
        (Rule.UNKNOWN_REQUEST, "light", unknown),
        (Rule.UNKNOWN_REQUEST, "light", unknown_answer),
        (Rule.ONE_ANSWER, "light", second_answer),
        (Rule.ONE_ANSWER, "light", send_after_the_answer),
        (Rule.ONE_ANSWER, "light", event_after_the_answer),
        (Rule.ONE_OUT, "light", overlap),
        (Rule.COMMITTED, "light", send_after_the_first_event),
        (Rule.COMMITTED, "light", second_stream),
        (Rule.ATTEMPTS, "light", too_many),
        (Rule.ATTEMPTS, "light", the_same_attempt_again),
        (Rule.DEADLINE, "light", too_late),
        (Rule.TIME_TOLD, "light", told_too_much),
        (Rule.CLIENT_GONE, "light", client_gone),
        (Rule.DRAINED, "light", drained),
        (Rule.DRAINED, "light", removed),
        (Rule.RUN_ONCE, "once", ran),
        (Rule.RUN_ONCE, "keyed", ran),  # in another zone
        (
            Rule.RUN_ONCE,
            "keyed",
            lambda checker: ran(checker, "w0", NOW + 5 * S + SCHEDULING_DELAY_US),
        ),
        (Rule.REFUSAL, "once", refused_after_it_ran),
        (Rule.REFUSAL, "once", refused_while_it_runs),
        (Rule.UNANSWERED, "light", lambda checker: checker.check_close(True)),
    ],
)
def test_what_would_break_a_rule_is_refused_and_counted(
    rule: Rule, traffic_class: str, planted: Callable[[InvariantChecker], Verdict]
) -> None:
    checker = made(traffic_class)
    if rule is Rule.RUN_ONCE:
        checker.record_request("a1", traffic_class, DEADLINE + 60 * S)
    verdict = planted(checker)
    assert not verdict and verdict.rule is rule
    assert checker.violations == {rule: 1}


def test_what_is_harmless_is_allowed() -> None:
    assert ran(made("light")), "a safe request may run again"
    assert ran(made("keyed"), "w0"), "a keyed one too, where its duplicates are discarded"
    checker = made("light")
    assert sends(checker, 0, "w0")
    checker.record_attempt_end("a1", 0, AttemptStatus.TIMED_OUT)
    assert checker.check_answer("a1", rejection=True)
    checker = made("once")
    checker.record_endpoints(
        [contract.Endpoint("r0", "r", "z0", 0, condition=EndpointCondition.DRAINING)], False, NOW
    )
    checker.record_endpoints(SERVERS, True, NOW + S)
    assert sends(checker, 0, now_us=NOW + 2 * S), "it is back"


def test_a_second_process_of_an_instance_is_refused_and_counted() -> None:
    checker = ProcessStartChecker()
    assert checker.check_start("n1")
    checker.record_start("n1", 7)
    assert checker.check_start("n1").rule is Rule.ONE_PROCESS
    assert checker.violations.total() == 1
    checker.record_end("n1")
    assert checker.check_start("n1")
