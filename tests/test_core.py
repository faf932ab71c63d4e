"""The core's invariants, against a fleet that does nothing by itself and a module that asks for
anything.
"""

import asyncio

from helpers import SETTINGS, fleet

from onyxpass.core.actor import Actor
from onyxpass.core.timer_wheel import TICK_US
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus
from tests.support.dispatcher_bed import Bed


def test_one_attempt_out_at_a_time_and_none_past_the_most() -> None:
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "r0", 500_000), contract.SendAttempt(7, "r1", 500_000))
    assert [a.server for a in bed.fleet.started] == ["r0"]
    (barred,) = [e for e in bed.script.heard if isinstance(e, contract.AttemptOutcome)]
    assert barred.status is AttemptStatus.NOT_SENT and barred.attempt == 1
    for n in range(4):
        bed.core.outcomes.attempt_ended(bed.fleet.started[-1], AttemptStatus.OVERLOADED)
        bed.step([contract.SendAttempt(7, "r2", 500_000)])
        assert len(bed.fleet.started) <= 3, n
    assert len(bed.fleet.started) == 3, "numbers 0, 2 and 3: the barred one counts"


def test_the_first_event_commits_and_nothing_more_goes_out() -> None:
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "w0", 500_000))
    out = bed.fleet.started[0]
    assert bed.core.outcomes.stream_event_received(out) and bed.core.outcomes.stream_event_received(
        out
    )
    bed.step([contract.SendAttempt(7, "w1", 1), contract.CancelAttempt(7, 0), contract.Fail(7)])
    assert len(bed.fleet.started) == 1 and ("stop", 0) not in bed.fleet.did
    bed.later(5_000_000)
    assert not bed.fleet.did, "a stream has no deadline"


def test_a_stream_that_breaks_is_cut_and_a_second_end_does_not_count() -> None:
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "w0", 500_000))
    out = bed.fleet.started[0]
    bed.core.outcomes.stream_event_received(out)
    bed.core.outcomes.attempt_ended(out, AttemptStatus.RESET)
    bed.core.outcomes.attempt_ended(out, AttemptStatus.COMPLETED)
    bed.step()
    assert (
        bed.client.finals == ["cut"]
        and not bed.core.registry.by_number
        and not bed.core.registry.by_id
    )


def test_the_end_of_an_attempt_that_is_called_off_is_told_after_its_close() -> None:
    """Found in the first score: a booking was sent again while the cancelled read was still
    open.
    """
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "r0", 500_000))
    bed.core.tell(contract.TimerFired(0))
    bed.step([contract.CancelAttempt(7, 0)])
    assert bed.fleet.did == [("stop", 0)]
    assert not [e for e in bed.script.heard if isinstance(e, contract.AttemptOutcome)], (
        "not before it is closed"
    )
    assert not bed.core.outcomes.stream_event_received(bed.fleet.started[0]), (
        "nothing of it is passed on any more"
    )
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.CANCELLED)
    bed.step([contract.ReleaseState(7), contract.SendAttempt(7, "r1", 400_000)])
    assert bed.script.heard[-1].status is AttemptStatus.CANCELLED  # type: ignore[union-attr]
    assert bed.fleet.did[-1] == ("release", True), (
        "at once; the send after it waits for it (test_net)"
    )
    bed.core.outcomes.attempt_ended(bed.fleet.started[1], AttemptStatus.PREFILLED)
    bed.step([contract.Fail(7)])
    assert bed.fleet.did[-1] == ("release", False) and bed.client.finals == ["fail"]


def test_what_an_interrupted_read_may_have_left_is_let_go() -> None:
    for status in (AttemptStatus.TIMED_OUT, AttemptStatus.RESET, AttemptStatus.CANCELLED):
        bed = Bed()
        bed.ask(contract.SendAttempt(7, "r0", 500_000))
        bed.core.outcomes.attempt_ended(bed.fleet.started[0], status)
        bed.step([contract.Reject(7)])
        late = status is AttemptStatus.TIMED_OUT
        assert bed.fleet.did == [("release", True)]
        assert bed.client.finals == ["late" if late else "fail"], status


def test_dials_for_a_state_that_is_held_get_ever_less_time() -> None:
    """Seen on a split day: two writers of a lost zone, dialled for 250 ms each while a read
    state waited.
    """
    bed = Bed()
    request = bed.ask(contract.SendAttempt(7, "r0", 500_000))
    assert bed.core.preconditions.connect_timeout_us(request, 250_000) == 250_000, (
        "nothing is held yet"
    )
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    spent = 0
    for server in ("w0", "w1", "w2"):
        bed.step([contract.SendAttempt(7, server, 400_000)])
        dial_us = bed.core.preconditions.connect_timeout_us(request, 250_000)
        spent += dial_us
        bed.later(dial_us)
        bed.core.outcomes.attempt_ended(bed.fleet.started[-1], AttemptStatus.UNREACHABLE)
    assert 150_000 < spent < SETTINGS.release_within_us, (
        "the time runs on while connections fail to come up"
    )


def test_the_time_of_what_is_held_starts_anew_once_a_server_has_had_the_request() -> None:
    bed = Bed()
    request = bed.ask(contract.SendAttempt(7, "r0", 500_000))
    for server, status in (("w0", AttemptStatus.PREFILLED), ("w1", AttemptStatus.OVERLOADED)):
        bed.later(200_000)
        bed.core.outcomes.attempt_ended(bed.fleet.started[-1], status)
        bed.step([contract.SendAttempt(7, server, 400_000)])
        assert bed.core.preconditions.connect_timeout_us(request, 250_000) == 150_000


def test_the_time_out_comes_from_the_wheel() -> None:
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "r0", 300_000))
    bed.later(290_000)
    assert not bed.fleet.did
    bed.later(2 * TICK_US + 10_000)
    assert bed.fleet.did == [("stop", 0)]
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.CANCELLED)
    bed.step([])
    assert bed.script.heard[-1].status is AttemptStatus.TIMED_OUT  # type: ignore[union-attr]


def test_a_client_that_leaves_gets_nothing_and_all_is_let_go() -> None:
    bed = Bed()
    request = bed.ask(contract.SendAttempt(7, "r0", 500_000))
    bed.core.answers.client_disconnected(request)
    bed.step([], [])
    assert isinstance(bed.script.heard[-1], contract.RequestWithdrawn)
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.PREFILLED)
    bed.step([])
    assert bed.fleet.did == [("stop", 0), ("release", False)]
    assert bed.client.finals == [] and not bed.core.registry.by_number


def test_a_module_that_fails_leaves_no_request_unanswered() -> None:
    bed = Bed()

    def broken(now_us: int, event: contract.Event) -> list[contract.Action]:
        raise RuntimeError("broken")

    bed.script.handle = broken  # type: ignore[method-assign]
    bed.ask()
    assert bed.client.finals == ["fail"] and not bed.core.registry.by_number


def test_a_front_that_fails_to_answer_hides_no_end_from_the_module() -> None:
    bed = Bed()

    def broken() -> None:
        raise RuntimeError("broken")

    bed.client.complete = broken  # type: ignore[method-assign]
    bed.ask(contract.SendAttempt(7, "w0", 500_000))
    bed.core.outcomes.stream_event_received(bed.fleet.started[0])
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.COMPLETED)
    bed.step()
    assert bed.script.heard[-1].final and not bed.core.registry.by_number  # type: ignore[union-attr]


def test_a_request_that_nobody_answers_is_failed_before_its_client_leaves() -> None:
    bed = Bed()
    bed.ask(wait_us=200_000)
    bed.later(200_000 + 3 * TICK_US + 10_000)
    assert bed.client.finals == ["late"]


def test_a_refusal_is_a_failure_while_a_booking_may_run() -> None:
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "w0", 500_000), contract.Reject(7, 9))
    assert bed.client.finals == ["fail"]


def test_no_send_to_a_server_that_drains() -> None:
    bed = Bed()
    drains = contract.Endpoint("r0", "r", "z0", 0, condition=contract.EndpointCondition.DRAINING)
    bed.core.update_endpoints(contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (drains,)))
    bed.ask(contract.SendAttempt(7, "r0", 500_000))
    assert not bed.fleet.started
    assert bed.script.heard[-1].status is AttemptStatus.NOT_SENT  # type: ignore[union-attr]


def test_a_whole_list_takes_away_what_it_does_not_name() -> None:
    bed = Bed()
    bed.core.update_endpoints(
        contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, fleet()[1:])
    )
    assert not bed.core.endpoints.accepts_new_work("r0") and bed.core.endpoints.accepts_new_work(
        "r1"
    )


def test_an_actor_outlives_a_message_that_fails() -> None:
    class Picky(Actor[int]):
        def __init__(self) -> None:
            super().__init__("picky")
            self.seen: list[int] = []

        def receive(self, message: int) -> None:
            self.seen.append(100 // message)

        def recover(self, message: int) -> None:
            self.seen.append(-1)
            raise RuntimeError("broken too")

    async def go() -> None:
        actor = Picky()
        task = asyncio.create_task(actor.run())
        for n in (1, 0, 50):
            actor.tell(n)
        while len(actor.seen) < 3:
            await asyncio.sleep(0)
        task.cancel()
        assert actor.seen == [100, -1, 2]

    asyncio.run(go())


def test_ids_that_left_the_list_are_forgotten_and_their_reads_still_let_go() -> None:
    """Found by reading: every id ever named stayed, on days that replace servers all the time."""
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "r0", 500_000))
    for n in range(50):
        gone = contract.Endpoint(f"x{n}", "r", condition=contract.EndpointCondition.REMOVED)
        bed.core.update_endpoints(
            contract.EndpointUpdate(
                contract.EndpointUpdateForm.DELTA, (contract.Endpoint(f"x{n}", "r"),)
            )
        )
        bed.core.update_endpoints(
            contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (gone,))
        )
    bed.core.update_endpoints(
        contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, fleet(readers=0))
    )
    assert len(bed.core.endpoints.by_id) == 4 and not bed.core.endpoints.accepts_new_work("r0")
    bed.step()
    bed.core.outcomes.attempt_ended(bed.fleet.started[0], AttemptStatus.RESET)
    bed.step([contract.ReleaseState(7)])
    assert bed.fleet.did == [("release", True)], (
        "what a server read that has left may still be held"
    )


def test_a_booking_that_may_have_run_is_never_refused_whatever_the_module_says() -> None:
    """Seen once on a long day: a booking was refused after an attempt that may have run."""
    ends = (("w0", AttemptStatus.RESET, "fail"), ("w0", AttemptStatus.OVERLOADED, "refuse"))
    for server, status, final in (
        *ends,
        ("r0", AttemptStatus.CANCELLED, "fail"),
        ("r0", AttemptStatus.PREFILLED, "refuse"),
    ):
        bed = Bed()
        bed.ask(contract.SendAttempt(7, server, 500_000))
        bed.core.outcomes.attempt_ended(bed.fleet.started[0], status)
        bed.step([contract.Reject(7)])
        assert bed.client.finals == [final]


def test_a_mixed_server_that_still_has_a_booking_may_run_it() -> None:
    bed = Bed()
    bed.core.update_endpoints(
        contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, fleet(0, 0, mixed=1))
    )
    bed.step([])
    bed.ask(contract.SendAttempt(7, "m0", 500_000), contract.Reject(7))
    assert bed.client.finals == ["fail"]


def test_a_request_that_a_tick_answers_is_forgotten() -> None:
    """Found by a dispatcher that did not end: what was refused while it waited was kept for
    ever.
    """
    bed = Bed()
    bed.ask()
    bed.core.tell(contract.TimerFired(0))
    bed.step([contract.Reject(7)])
    assert bed.client.finals == ["refuse"]
    assert not bed.core.registry.by_number and not bed.core.registry.by_id


def test_what_is_left_for_an_attempt_shrinks_while_it_is_dialled_and_is_never_nothing() -> None:
    bed = Bed()
    bed.ask(contract.SendAttempt(7, "w0", 500_000))
    attempt = bed.fleet.started[0]
    assert bed.core.preconditions.remaining_ms(attempt) == attempt.timeout_us // 1000
    bed.clock.us += 200_000
    assert bed.core.preconditions.remaining_ms(attempt) == (attempt.timeout_us - 200_000) // 1000
    bed.clock.us += attempt.timeout_us
    assert bed.core.preconditions.remaining_ms(attempt) == 1
