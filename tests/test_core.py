"""The rules that the dispatcher enforces whatever its router decides.

The router is scripted by each test, and the fleet only records its orders.
"""

import asyncio

from helpers import SETTINGS, make_endpoints

from onyxpass.core.actor import Actor
from onyxpass.core.timer_wheel import TICK_US
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus
from tests.support.dispatcher_bed import DispatcherBed


def test_one_attempt_is_in_flight_at_a_time_and_none_exceeds_the_maximum() -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "r0", 500_000), contract.SendAttempt(7, "r1", 500_000))
    assert [attempt.server for attempt in bed.fleet.started] == ["r0"]
    (unsent,) = [event for event in bed.script.events if isinstance(event, contract.AttemptOutcome)]
    assert unsent.status is AttemptStatus.NOT_SENT and unsent.attempt == 1
    for number in range(4):
        bed.core.outcomes.attempt_ended(bed.fleet.started[-1], AttemptStatus.OVERLOADED)
        bed.step([contract.SendAttempt(7, "r2", 500_000)])
        assert len(bed.fleet.started) <= 3, number
    assert len(bed.fleet.started) == 3, (
        "attempts 0, 2 and 3 are sent: the unsent attempt 1 counts as well"
    )


def test_the_first_event_commits_the_request_and_nothing_more_is_sent() -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "w0", 500_000))
    attempt = bed.fleet.started[0]
    assert bed.core.outcomes.stream_event_received(
        attempt
    ) and bed.core.outcomes.stream_event_received(attempt)
    bed.step([contract.SendAttempt(7, "w1", 1), contract.CancelAttempt(7, 0), contract.Fail(7)])
    assert len(bed.fleet.started) == 1 and ("stop", 0) not in bed.fleet.calls
    bed.advance(5_000_000)
    assert not bed.fleet.calls, "a stream has no deadline"


def test_a_broken_stream_is_aborted_and_a_second_end_is_ignored() -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "w0", 500_000))
    attempt = bed.fleet.started[0]
    bed.core.outcomes.stream_event_received(attempt)
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.RESET)
    bed.core.outcomes.attempt_ended(attempt, AttemptStatus.COMPLETED)
    bed.step()
    assert (
        bed.client.final_answers == ["cut"]
        and not bed.core.registry.by_number
        and not bed.core.registry.by_id
    )


def test_the_end_of_a_cancelled_attempt_is_reported_after_its_close() -> None:
    """Guards against sending a non-idempotent request again while the cancelled prefill is open."""
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "r0", 500_000))
    bed.core.tell(contract.TimerFired(0))
    bed.step([contract.CancelAttempt(7, 0)])
    assert bed.fleet.calls == [("stop", 0)]
    assert not [
        event for event in bed.script.events if isinstance(event, contract.AttemptOutcome)
    ], "the end is not reported before the close"
    assert not bed.core.outcomes.stream_event_received(bed.fleet.started[0]), (
        "events of a cancelled attempt are not forwarded"
    )
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.CANCELLED)
    bed.step([contract.ReleaseState(7), contract.SendAttempt(7, "r1", 400_000)])
    assert bed.script.events[-1].status is AttemptStatus.CANCELLED  # type: ignore[union-attr]
    assert bed.fleet.calls[-1] == ("release", True), (
        "released at once; the next send waits for the release (see test_net)"
    )
    bed.core.outcomes.attempt_ended(bed.fleet.started[1], AttemptStatus.PREFILLED)
    bed.step([contract.Fail(7)])
    assert bed.fleet.calls[-1] == ("release", False) and bed.client.final_answers == ["fail"]


def test_state_that_an_interrupted_prefill_may_have_reserved_is_released() -> None:
    for status in (AttemptStatus.TIMED_OUT, AttemptStatus.RESET, AttemptStatus.CANCELLED):
        bed = DispatcherBed()
        bed.submit(contract.SendAttempt(7, "r0", 500_000))
        bed.core.outcomes.attempt_ended(bed.fleet.started[0], status)
        bed.step([contract.Reject(7)])
        late = status is AttemptStatus.TIMED_OUT
        assert bed.fleet.calls == [("release", True)]
        assert bed.client.final_answers == ["late" if late else "fail"], status


def test_successive_connects_get_less_time_while_state_is_reserved() -> None:
    """Guards against state that stays reserved during connects to a lost zone's decode servers.

    With a fixed connect timeout, two such servers took 250 ms each.
    """
    bed = DispatcherBed()
    request = bed.submit(contract.SendAttempt(7, "r0", 500_000))
    assert bed.core.preconditions.connect_timeout_us(request, 250_000) == 250_000, (
        "no state is reserved yet"
    )
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    total_us = 0
    for server in ("w0", "w1", "w2"):
        bed.step([contract.SendAttempt(7, server, 400_000)])
        connect_us = bed.core.preconditions.connect_timeout_us(request, 250_000)
        total_us += connect_us
        bed.advance(connect_us)
        bed.core.outcomes.attempt_ended(bed.fleet.started[-1], AttemptStatus.UNREACHABLE)
    assert 150_000 < total_us < SETTINGS.release_within_us, (
        "the time for reserved state goes on during failed connects"
    )


def test_the_time_for_reserved_state_restarts_once_a_server_has_received_an_attempt() -> None:
    bed = DispatcherBed()
    request = bed.submit(contract.SendAttempt(7, "r0", 500_000))
    for server, status in (("w0", AttemptStatus.PREFILLED), ("w1", AttemptStatus.OVERLOADED)):
        bed.advance(200_000)
        bed.core.outcomes.attempt_ended(bed.fleet.started[-1], status)
        bed.step([contract.SendAttempt(7, server, 400_000)])
        assert bed.core.preconditions.connect_timeout_us(request, 250_000) == 150_000


def test_the_timer_wheel_times_out_an_attempt() -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "r0", 300_000))
    bed.advance(290_000)
    assert not bed.fleet.calls
    bed.advance(2 * TICK_US + 10_000)
    assert bed.fleet.calls == [("stop", 0)]
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.CANCELLED)
    bed.step([])
    assert bed.script.events[-1].status is AttemptStatus.TIMED_OUT  # type: ignore[union-attr]


def test_a_client_that_leaves_gets_no_answer_and_its_state_is_released() -> None:
    bed = DispatcherBed()
    request = bed.submit(contract.SendAttempt(7, "r0", 500_000))
    bed.core.answers.client_disconnected(request)
    bed.step([], [])
    assert isinstance(bed.script.events[-1], contract.RequestWithdrawn)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    bed.step([])
    assert bed.fleet.calls == [("stop", 0), ("release", False)]
    assert bed.client.final_answers == [] and not bed.core.registry.by_number


def test_a_failing_router_leaves_no_request_unanswered() -> None:
    bed = DispatcherBed()

    def fail(now_us: int, event: contract.Event) -> list[contract.Action]:
        raise RuntimeError("broken")

    bed.script.handle = fail  # type: ignore[method-assign]
    bed.submit()
    assert bed.client.final_answers == ["fail"] and not bed.core.registry.by_number


def test_the_router_receives_the_end_of_a_request_whose_answer_fails() -> None:
    bed = DispatcherBed()

    def fail() -> None:
        raise RuntimeError("broken")

    bed.client.complete = fail  # type: ignore[method-assign]
    bed.submit(contract.SendAttempt(7, "w0", 500_000))
    bed.core.outcomes.stream_event_received(bed.fleet.started[0])
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.COMPLETED)
    bed.step()
    assert bed.script.events[-1].final and not bed.core.registry.by_number  # type: ignore[union-attr]


def test_a_request_that_the_router_does_not_answer_is_failed_before_its_client_leaves() -> None:
    bed = DispatcherBed()
    bed.submit(wait_us=200_000)
    bed.advance(200_000 + 3 * TICK_US + 10_000)
    assert bed.client.final_answers == ["late"]


def test_a_rejection_becomes_a_failure_while_a_non_idempotent_request_may_run() -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "w0", 500_000), contract.Reject(7, 9))
    assert bed.client.final_answers == ["fail"]


def test_nothing_is_sent_to_a_draining_server() -> None:
    bed = DispatcherBed()
    draining = contract.Endpoint("r0", "r", "z0", 0, condition=contract.EndpointCondition.DRAINING)
    bed.core.update_endpoints(
        contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (draining,))
    )
    bed.submit(contract.SendAttempt(7, "r0", 500_000))
    assert not bed.fleet.started
    assert bed.script.events[-1].status is AttemptStatus.NOT_SENT  # type: ignore[union-attr]


def test_a_complete_list_removes_the_servers_that_it_does_not_name() -> None:
    bed = DispatcherBed()
    bed.core.update_endpoints(
        contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, make_endpoints()[1:])
    )
    assert not bed.core.endpoints.accepts_new_work("r0") and bed.core.endpoints.accepts_new_work(
        "r1"
    )


def test_an_actor_survives_a_message_whose_handler_fails() -> None:
    class FailingActor(Actor[int]):
        def __init__(self) -> None:
            super().__init__("picky")
            self.results: list[int] = []

        def receive(self, message: int) -> None:
            self.results.append(100 // message)

        def recover(self, message: int) -> None:
            self.results.append(-1)
            raise RuntimeError("broken too")

    async def scenario() -> None:
        actor = FailingActor()
        task = asyncio.create_task(actor.run())
        for message in (1, 0, 50):
            actor.tell(message)
        while len(actor.results) < 3:
            await asyncio.sleep(0)
        task.cancel()
        assert actor.results == [100, -1, 2]

    asyncio.run(scenario())


def test_removed_servers_are_forgotten_and_their_reserved_state_is_still_released() -> None:
    """Guards against keeping every id ever listed while servers are replaced all the time."""
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "r0", 500_000))
    for number in range(50):
        removed = contract.Endpoint(f"x{number}", "r", condition=contract.EndpointCondition.REMOVED)
        bed.core.update_endpoints(
            contract.EndpointUpdate(
                contract.EndpointUpdateForm.DELTA, (contract.Endpoint(f"x{number}", "r"),)
            )
        )
        bed.core.update_endpoints(
            contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (removed,))
        )
    bed.core.update_endpoints(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.COMPLETE, make_endpoints(prefill_servers=0)
        )
    )
    assert len(bed.core.endpoints.by_id) == 4 and not bed.core.endpoints.accepts_new_work("r0")
    bed.step()
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.RESET)
    bed.step([contract.ReleaseState(7)])
    assert bed.fleet.calls == [("release", True)], "a removed server may still have state reserved"


def test_a_request_that_may_have_run_is_never_rejected() -> None:
    """Guards against rejecting a non-idempotent request after an attempt that may have run."""
    decode_cases = (("w0", AttemptStatus.RESET, "fail"), ("w0", AttemptStatus.OVERLOADED, "refuse"))
    for server, status, answer in (
        *decode_cases,
        ("r0", AttemptStatus.CANCELLED, "fail"),
        ("r0", AttemptStatus.PREFILLED, "refuse"),
    ):
        bed = DispatcherBed()
        bed.submit(contract.SendAttempt(7, server, 500_000))
        bed.core.outcomes.attempt_ended(bed.fleet.started[0], status)
        bed.step([contract.Reject(7)])
        assert bed.client.final_answers == [answer]


def test_a_request_in_flight_at_a_mixed_server_is_not_rejected() -> None:
    bed = DispatcherBed()
    bed.core.update_endpoints(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, make_endpoints(0, 0, mixed_servers=1)
        )
    )
    bed.step([])
    bed.submit(contract.SendAttempt(7, "m0", 500_000), contract.Reject(7))
    assert bed.client.final_answers == ["fail"]


def test_a_request_that_a_timer_event_finishes_is_removed() -> None:
    """Guards against a dispatcher that does not end: a request rejected while it waited for
    capacity stayed registered forever.
    """
    bed = DispatcherBed()
    bed.submit()
    bed.core.tell(contract.TimerFired(0))
    bed.step([contract.Reject(7)])
    assert bed.client.final_answers == ["refuse"]
    assert not bed.core.registry.by_number and not bed.core.registry.by_id


def test_the_remaining_time_of_an_attempt_shrinks_during_its_connect_and_stays_above_zero() -> None:
    bed = DispatcherBed()
    bed.submit(contract.SendAttempt(7, "w0", 500_000))
    attempt = bed.fleet.started[0]
    assert bed.core.preconditions.remaining_ms(attempt) == attempt.timeout_us // 1000
    bed.clock.us += 200_000
    assert bed.core.preconditions.remaining_ms(attempt) == (attempt.timeout_us - 200_000) // 1000
    bed.clock.us += attempt.timeout_us
    assert bed.core.preconditions.remaining_ms(attempt) == 1
