"""State that stays reserved while the send after its prefill has no answer: the core alone."""

from collections.abc import Iterator
from typing import Any

import pytest
import structlog
from helpers import SETTINGS

from onyxpass.core.requests import Attempt, Request
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus
from tests.support.dispatcher_bed import Bed

LIMIT_US = SETTINGS.release_within_us


@pytest.fixture
def logged() -> Iterator[list[Any]]:
    with structlog.testing.capture_logs() as lines:
        yield lines


def events(logged: list[Any], name: str) -> list[Any]:
    return [line for line in logged if line["event"] == name]


def prefilled_and_sent(bed: Bed) -> tuple[Request, Attempt]:
    """A request whose state r0 holds, and whose next attempt went to w0 at once."""
    request = bed.ask(contract.SendAttempt(7, "r0", 900_000), wait_us=60_000_000)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    bed.step([contract.SendAttempt(7, "w0", 50_000_000)])
    attempt = bed.fleet.started[1]
    bed.core.reservations.attempt_sent(attempt, lambda: True)
    return request, attempt


def test_a_send_without_an_answer_is_logged_and_counted_before_the_limit(
    logged: list[Any],
) -> None:
    bed = Bed()
    prefilled_and_sent(bed)
    bed.later(LIMIT_US // 2)
    assert not events(logged, "send_unanswered")
    bed.later(LIMIT_US // 2)
    (line,) = events(logged, "send_unanswered")
    assert (line["n"], line["server"], line["holder"]) == (1, "w0", "r0")
    assert line["acknowledged"] is True and line["held_us"] <= LIMIT_US
    assert bed.core.metrics.unanswered_sends == 1


def test_an_answer_in_time_and_an_end_in_time_are_not_logged(logged: list[Any]) -> None:
    bed = Bed()
    _, attempt = prefilled_and_sent(bed)
    assert bed.core.outcomes.stream_event_received(attempt)
    bed.later(10 * LIMIT_US)
    other = Bed()
    _, attempt = prefilled_and_sent(other)
    other.core.outcomes.attempt_ended(attempt, AttemptStatus.OVERLOADED)
    other.step([contract.Fail(7)])
    other.later(10 * LIMIT_US)
    assert not events(logged, "send_unanswered")


def test_the_end_of_an_attempt_tells_for_how_long_state_was_held(logged: list[Any]) -> None:
    bed = Bed()
    _, attempt = prefilled_and_sent(bed)
    bed.later(LIMIT_US // 2)
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.RESET)
    (line,) = events(logged, "attempt")
    assert line["holder"] == "r0" and line["held_us"] == LIMIT_US // 2
