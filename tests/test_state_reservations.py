"""State that stays reserved while the send after its prefill is unanswered, without sockets."""

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
from tests.support.dispatcher_bed import DispatcherBed

LIMIT_US = SETTINGS.release_within_us


@pytest.fixture
def logged() -> Iterator[list[Any]]:
    with structlog.testing.capture_logs() as lines:
        yield lines


def lines_of(logged: list[Any], name: str) -> list[Any]:
    return [line for line in logged if line["event"] == name]


def prefilled_and_sent(
    bed: DispatcherBed, acknowledged: bool | None = True
) -> tuple[Request, Attempt]:
    """Return a request whose state r0 holds, and its next attempt, which went to w0 at once."""
    request = bed.submit(contract.SendAttempt(7, "r0", 900_000), wait_us=60_000_000)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    bed.step([contract.SendAttempt(7, "w0", 50_000_000)])
    attempt = bed.fleet.started[1]
    bed.core.reservations.attempt_begun(attempt, lambda: acknowledged)
    return request, attempt


def test_an_unanswered_send_is_logged_and_counted_before_the_limit(
    logged: list[Any],
) -> None:
    bed = DispatcherBed()
    prefilled_and_sent(bed)
    bed.advance(LIMIT_US // 2)
    assert not lines_of(logged, "send_unanswered")
    bed.advance(LIMIT_US // 2)
    (line,) = lines_of(logged, "send_unanswered")
    assert (line["n"], line["server"], line["holder"]) == (1, "w0", "r0")
    assert line["acknowledged"] is True and line["held_us"] <= LIMIT_US
    assert bed.core.metrics.unanswered_sends == 1


def test_a_send_that_is_answered_or_ends_in_time_is_not_logged(logged: list[Any]) -> None:
    bed = DispatcherBed()
    _, attempt = prefilled_and_sent(bed)
    assert bed.core.outcomes.stream_event_received(attempt)
    bed.advance(10 * LIMIT_US)
    other_bed = DispatcherBed()
    _, attempt = prefilled_and_sent(other_bed)
    other_bed.core.outcomes.attempt_ended(attempt, AttemptStatus.OVERLOADED)
    other_bed.step([contract.Fail(7)])
    other_bed.advance(10 * LIMIT_US)
    assert not lines_of(logged, "send_unanswered")


def test_the_end_of_an_attempt_is_logged_with_how_long_state_was_reserved(
    logged: list[Any],
) -> None:
    bed = DispatcherBed()
    _, attempt = prefilled_and_sent(bed)
    bed.advance(LIMIT_US // 2)
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.RESET)
    (line,) = lines_of(logged, "attempt")
    assert line["holder"] == "r0" and line["held_us"] == LIMIT_US // 2


def test_state_is_released_during_an_unanswered_send_and_again_at_its_end() -> None:
    bed = DispatcherBed()
    request, attempt = prefilled_and_sent(bed)
    bed.advance(LIMIT_US)
    assert bed.fleet.calls == [("release", False)]
    assert request.in_flight is attempt, "the attempt may have arrived and continues"
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.RESET)
    bed.step([contract.ReleaseState(7), contract.Fail(7)])
    assert bed.fleet.calls == [("release", False)] * 2, (
        "its state may have survived the first release"
    )


def test_a_late_send_still_has_time_to_arrive() -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "r0", 900_000), wait_us=60_000_000)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    bed.step([contract.SendAttempt(7, "w0", 50_000_000)])
    bed.advance(LIMIT_US * 3 // 4)  # failed connects
    bed.core.reservations.attempt_begun(bed.fleet.started[1], lambda: None)
    bed.advance(MIN_UNANSWERED_US - 10_000)
    assert not bed.fleet.calls
    bed.advance(20_000)
    assert bed.fleet.calls == [("release", False)]


def test_nothing_is_released_if_nothing_is_reserved_or_a_stream_has_begun() -> None:
    for committed in (False, True):
        bed = DispatcherBed()
        if committed:
            _, attempt = prefilled_and_sent(bed)
            assert bed.core.outcomes.stream_event_received(attempt)
        else:
            bed.submit(contract.SendAttempt(7, "w0", 900_000), wait_us=60_000_000)
            bed.core.reservations.attempt_begun(bed.fleet.started[0], lambda: False)
        bed.advance(10 * LIMIT_US)
        assert ("release", False) not in bed.fleet.calls


def test_a_release_replaces_one_that_is_still_running() -> None:
    """Guards against a call of an earlier release that arrives after the next send.

    A send waits for the last release only.
    """

    async def scenario() -> None:
        bed = DispatcherBed()
        request = bed.submit(contract.SendAttempt(7, "r0", 500_000))
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

    asyncio.run(scenario())


@pytest.mark.parametrize("acknowledged", [True, False, None])
def test_an_acknowledgement_by_the_kernel_decides_nothing_about_a_send(
    acknowledged: bool | None,
) -> None:
    """A lost packet delays an acknowledgement, and a relay acknowledges without the server."""
    bed = DispatcherBed()
    request, attempt = prefilled_and_sent(bed, acknowledged)
    reserved_since_us = request.reserved_since_us
    bed.advance(20 * LIMIT_US)
    assert bed.fleet.calls == [("release", False)] and request.in_flight is attempt
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.RESET)
    bed.step([contract.Fail(7)])
    outcome = bed.script.events[-1]
    assert isinstance(outcome, contract.AttemptOutcome)
    assert outcome.note == contract.DELIVERY_UNCONFIRMED
    assert request.reserved_since_us == reserved_since_us, (
        "the time for reserved state has not restarted"
    )
