"""State that stays reserved while the send after its prefill has no answer: the core alone."""

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest
import structlog
from helpers import SETTINGS

from onyxpass.core.fleet import ActorFleet, ServerActor
from onyxpass.core.requests import Attempt, Request
from onyxpass.core.state_reservations import MIN_UNANSWERED_US
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


def prefilled_and_sent(bed: Bed, acknowledged: bool | None = True) -> tuple[Request, Attempt]:
    """A request whose state r0 holds, and whose next attempt went to w0 at once."""
    request = bed.ask(contract.SendAttempt(7, "r0", 900_000), wait_us=60_000_000)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    bed.step([contract.SendAttempt(7, "w0", 50_000_000)])
    attempt = bed.fleet.started[1]
    bed.core.reservations.attempt_begun(attempt, lambda: acknowledged)
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


def test_state_is_released_beside_a_send_without_an_answer_and_again_at_its_end() -> None:
    bed = Bed()
    request, attempt = prefilled_and_sent(bed)
    bed.later(LIMIT_US)
    assert bed.fleet.did == [("release", False)]
    assert request.in_flight is attempt, "it may have arrived, and goes on"
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.RESET)
    bed.step([contract.ReleaseState(7), contract.Fail(7)])
    assert bed.fleet.did == [("release", False)] * 2, "its state has outlived the first one"


def test_a_send_that_was_late_itself_has_time_to_arrive() -> None:
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "r0", 900_000), wait_us=60_000_000)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    bed.step([contract.SendAttempt(7, "w0", 50_000_000)])
    bed.later(LIMIT_US * 3 // 4)  # connects that came to nothing
    bed.core.reservations.attempt_begun(bed.fleet.started[1], lambda: None)
    bed.later(MIN_UNANSWERED_US - 10_000)
    assert not bed.fleet.did
    bed.later(20_000)
    assert bed.fleet.did == [("release", False)]


def test_nothing_is_released_where_nothing_is_reserved_or_a_stream_has_begun() -> None:
    for committed in (False, True):
        bed = Bed()
        if committed:
            _, attempt = prefilled_and_sent(bed)
            assert bed.core.outcomes.stream_event_received(attempt)
        else:
            bed.ask(contract.SendAttempt(7, "w0", 900_000), wait_us=60_000_000)
            bed.core.reservations.attempt_begun(bed.fleet.started[0], lambda: False)
        bed.later(10 * LIMIT_US)
        assert ("release", False) not in bed.fleet.did


def test_a_later_release_takes_the_place_of_one_that_still_runs() -> None:
    """A send waits for the last release only; a call of an earlier one must not come after it."""

    async def go() -> None:
        bed = Bed()
        request = bed.ask(contract.SendAttempt(7, "r0", 500_000))
        fleet: ActorFleet[ServerActor] = ActorFleet(bed.core)
        ended: list[str] = []

        async def release(name: str) -> None:
            try:
                await asyncio.sleep(60)
            finally:
                ended.append(name)

        fleet.track_release(request, release("first"))
        await asyncio.sleep(0)
        fleet.track_release(request, release("second"))
        while len(fleet.release_tasks) > 1:
            await asyncio.sleep(0)
        assert ended == ["first"] and fleet.release_tasks == {request.release_task}
        fleet.release_tasks.pop().cancel()

    asyncio.run(go())


@pytest.mark.parametrize("acknowledged", [True, False, None])
def test_whatever_the_kernel_says_a_send_is_neither_taken_for_arrived_nor_given_up(
    acknowledged: bool | None,
) -> None:
    """A lost packet alone delays an acknowledgement; a relay's says nothing of the server."""
    bed = Bed()
    request, attempt = prefilled_and_sent(bed, acknowledged)
    reserved_since_us = request.reserved_since_us
    bed.later(20 * LIMIT_US)
    assert bed.fleet.did == [("release", False)] and request.in_flight is attempt
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.RESET)
    bed.step([contract.Fail(7)])
    outcome = bed.script.heard[-1]
    assert isinstance(outcome, contract.AttemptOutcome)
    assert outcome.note == contract.DELIVERY_UNCONFIRMED
    assert request.reserved_since_us == reserved_since_us, "its clock has run on"
