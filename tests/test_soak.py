"""The soak: its schedules, a short one on real processes, and a planted fault for each of its
rules.
"""

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from signal import SIGHUP, SIGTERM

import pytest

from onyxpass.history_checkers.trace import Event, EventKind, Trace
from onyxpass.soak.checker import RULES, breaches
from onyxpass.soak.dispatchers import Dispatcher
from onyxpass.soak.minimizer import shrunk
from onyxpass.soak.records import NOT_RUN, Asked, BadClient, Records, Span, Told
from onyxpass.soak.run import play
from onyxpass.soak.schedule import DISCOVERY, DISPATCHER, Fault, Kind, Shape, drawn
from onyxpass.testbed.link import Link

SHAPE = Shape(dispatchers=24, length_s=60.0)


def test_schedules_come_from_their_seed_and_their_faults_overlap() -> None:
    assert drawn(3, SHAPE) == drawn(3, SHAPE) != drawn(4, SHAPE)
    kinds = {fault.kind for seed in range(40) for fault in drawn(seed, SHAPE)}
    assert kinds == set(Kind)
    for seed in range(20):
        faults = drawn(seed, SHAPE)
        for fault in faults:
            assert fault.targets or fault.kind in DISCOVERY
            most = SHAPE.dispatchers if fault.kind in DISPATCHER else SHAPE.replicas
            assert all(0 <= target < most for target in fault.targets)
        near = [f for f in faults if any(g is not f and abs(g.at_s - f.at_s) < 0.7 for g in faults)]
        assert len(near) == len(faults), "no fault comes alone"


def good() -> Records:
    """One request that went well, at both ends."""
    steps = [
        (0.0, EventKind.SENT, "", ""),
        (0.01, EventKind.RECEIVED, "reader-1", "read"),
        (0.02, EventKind.HELD, "reader-1", ""),
        (0.02, EventKind.CLOSED, "reader-1", ""),
        (0.03, EventKind.RECEIVED, "writer-1", "write"),
        (0.03, EventKind.RELEASED, "reader-1", ""),
        (0.03, EventKind.RAN, "writer-1", "write"),
        (0.1, EventKind.CLOSED, "writer-1", ""),
        (0.11, EventKind.ANSWERED, "", "served"),
    ]
    events = [Event(at_s, what, "r1", server, detail) for at_s, what, server, detail in steps]
    records = Records(Trace(events, {"r1": "stock-booking"}))
    asked = Asked("r1", "stock-booking", 0, 1.0, 0.001, 0.11, 0.05, 200, 5, "served")
    records.asked["r1"] = asked
    records.told.append(Told("r1", "writer-1", 0.03, 0.97))
    return records


def add(records: Records, *events: tuple[float, EventKind, str, str]) -> None:
    found = [Event(at_s, what, "r1", server, detail) for at_s, what, server, detail in events]
    records.trace.events = sorted([*records.trace.events, *found], key=lambda event: event.at_s)


def never_answered(records: Records) -> None:
    records.asked["r1"] = replace(records.asked["r1"], end="broken", events=0, status=0)


def too_late(records: Records) -> None:
    records.asked["r1"] = replace(records.asked["r1"], first_s=2.0, ended_s=2.1)


def stream_cut(records: Records) -> None:
    records.asked["r1"] = replace(records.asked["r1"], end="broken")


def told_too_much(records: Records) -> None:
    records.told.append(Told("r1", "writer-1", 0.5, 0.9))


def sent_for_one_that_left(records: Records) -> None:
    records.asked["r1"] = replace(records.asked["r1"], end="left", left_s=0.02)
    add(
        records,
        (0.5, EventKind.RECEIVED, "writer-2", "write"),
        (0.6, EventKind.CLOSED, "writer-2", ""),
    )


def sent_after_a_drain(records: Records) -> None:
    add(records, (-2.0, EventKind.DRAIN_ANNOUNCED, "writer-1", ""))


def two_out(records: Records) -> None:
    add(
        records,
        (0.04, EventKind.RECEIVED, "writer-2", "write"),
        (0.5, EventKind.CLOSED, "writer-2", ""),
    )
    records.trace.events = [
        e for e in records.trace.events if (e.kind, e.server) != (EventKind.CLOSED, "writer-1")
    ]


def two_out_at_a_server_that_hangs(records: Records) -> None:
    two_out(records)
    records.replicas["writer-1"].append(Span(0.0, 1.0, "hang"))


def stream_cut_while_its_writer_drains(records: Records) -> None:
    stream_cut(records)
    records.replicas["writer-1"].append(Span(0.0, 1.0, "drain"))


def sent_after_a_drain_to_a_dispatcher_with_a_crowd(records: Records) -> None:
    sent_after_a_drain(records)
    records.dispatchers[0].append(Span(-3.0, 1.0, "crowd"))


def five_attempts(records: Records) -> None:
    for n in range(5):
        add(
            records,
            (0.2 + n / 10, EventKind.RECEIVED, "writer-1", "w"),
            (0.25 + n / 10, EventKind.CLOSED, "writer-1", ""),
        )


def booked_twice(records: Records) -> None:
    add(records, (0.08, EventKind.RAN, "writer-2", "write"))


def refused_and_run(records: Records) -> None:
    last = records.trace.events[-1]
    records.trace.events[-1] = replace(last, detail="refused")


def held_on(records: Records) -> None:
    records.trace.events = [e for e in records.trace.events if e.kind is not EventKind.RELEASED]
    add(records, (5.0, EventKind.RELEASED, "reader-1", ""))


def held_on_behind_a_silent_writer(records: Records) -> None:
    """No server knows that its way was troubled, and no page excuses what is held behind it."""
    held_on(records)
    records.replicas["writer-1"].append(Span(0.0, 5.0, "cut"))


def held_for_ever(records: Records) -> None:
    """The holder's way is troubled; what comes of the prefill is let go all the same."""
    records.trace.events = [e for e in records.trace.events if e.kind is not EventKind.RELEASED]
    add(
        records,
        (5.0, EventKind.RECEIVED, "writer-2", "write"),
        (5.1, EventKind.CLOSED, "writer-2", ""),
    )
    records.replicas["reader-1"].append(Span(0.0, 5.0, "cut"))


def stream_cut_by_a_process_that_ended_by_itself(records: Records) -> None:
    stream_cut(records)
    records.dispatchers[0].append(Span(-0.5, 0.2, "terminated"))


def stream_asked_for_late_and_cut_by_sigkill(records: Records) -> None:
    stream_cut(records)
    records.dispatchers[0].append(Span(-1.0, 0.2, "ended by SIGKILL"))


def unanswered_at_sigkill(records: Records) -> None:
    never_answered(records)
    records.dispatchers[0].append(Span(-0.1, 0.2, "ended by SIGKILL"))


def told_too_much_by_way_of_a_server_that_hangs(records: Records) -> None:
    told_too_much(records)
    records.replicas["writer-1"].append(Span(0.0, 1.0, "hang"))


def bad_client_stays(records: Records) -> None:
    records.bad_clients.append(BadClient("breaks off", 0, 0.0, 8.0))


def crashed(records: Records) -> None:
    records.problems.append("d00: ended by itself, exit code 1")


PLANTED: list[tuple[str, Callable[[Records], None]]] = [
    ("answers", never_answered),
    ("answers", too_late),
    ("answers", stream_cut),
    ("answers", stream_cut_by_a_process_that_ended_by_itself),
    ("answers", stream_asked_for_late_and_cut_by_sigkill),
    ("answers", unanswered_at_sigkill),
    ("time told", told_too_much),
    ("time told", told_too_much_by_way_of_a_server_that_hangs),
    ("clients gone", sent_for_one_that_left),
    ("answers", stream_cut_while_its_writer_drains),
    ("drains", sent_after_a_drain),
    ("drains", sent_after_a_drain_to_a_dispatcher_with_a_crowd),
    ("overlap", two_out),
    ("overlap", two_out_at_a_server_that_hangs),
    ("attempts", five_attempts),
    ("bookings", booked_twice),
    ("bookings", refused_and_run),
    ("held", held_on),
    ("held", held_on_behind_a_silent_writer),
    ("held", held_for_ever),
    ("bad clients", bad_client_stays),
    ("processes", crashed),
]


def test_each_rule_has_a_planted_fault() -> None:
    assert {rule for rule, _ in PLANTED} == set(RULES)
    assert not breaches(good())


@pytest.mark.parametrize(("rule", "planted"), PLANTED)
def test_a_planted_fault_is_found(rule: str, planted: Callable[[Records], None]) -> None:
    records = good()
    planted(records)
    assert any(breach.startswith(f"{rule}: ") for breach in breaches(records))


def test_what_a_killed_dispatcher_leaves_open_is_no_breach() -> None:
    records = good()
    never_answered(records)
    held_on(records)
    records.dispatchers[0].append(Span(0.05, 0.5, "killed"))
    assert not breaches(records)


def test_a_bad_client_is_owed_its_end_from_when_a_process_can_see_it() -> None:
    records = good()
    records.dispatchers[0].append(Span(1.0, 3.0, "no process"))
    records.bad_clients.append(BadClient("breaks off", 0, 1.0, 5.9))
    assert not breaches(records)
    records.bad_clients.append(BadClient("breaks off", 0, 1.0, 6.4))
    assert len(breaches(records)) == 1


def test_a_stream_that_was_asked_for_in_time_may_meet_sigkill() -> None:
    records = good()
    stream_cut(records)
    records.dispatchers[0].append(Span(-0.1, 0.2, "ended by SIGKILL"))
    assert not breaches(records)


def test_an_answer_to_a_prefill_that_was_lost_on_the_way_stops_the_clock() -> None:
    records = good()
    held_on(records)
    records.replicas["reader-1"].append(Span(0.0, 5.0, "cut"))
    assert not breaches(records), "its attempt is out till the dispatcher gives it up"


def test_a_new_connection_may_be_shut_unread_for_a_crowd() -> None:
    records = good()
    never_answered(records)
    records.dispatchers[0].append(Span(0.0, 1.0, "crowd"))
    assert breaches(records), "it was a kept connection"
    records.asked["r1"] = replace(records.asked["r1"], on_new_connection=True)
    assert not breaches(records)


@pytest.mark.parametrize("planted", [too_late, told_too_much, held_on, sent_for_one_that_left])
def test_times_are_not_judged_while_the_machine_does_not_run_a_dispatcher(
    planted: Callable[[Records], None],
) -> None:
    records = good()
    planted(records)
    records.dispatchers[0].append(Span(-0.5, 0.3, NOT_RUN))
    assert not breaches(records)


@pytest.mark.parametrize("planted", [never_answered, stream_cut, held_for_ever, two_out])
def test_what_is_no_matter_of_time_counts_also_while_a_dispatcher_is_not_run(
    planted: Callable[[Records], None],
) -> None:
    records = good()
    planted(records)
    records.dispatchers[0].append(Span(-0.5, 0.3, NOT_RUN))
    assert breaches(records)


@pytest.mark.parametrize(("cpu_us", "spans"), [(100_000, 1), (900_000, 0)])
def test_a_stall_counts_as_not_run_if_the_process_hardly_used_the_processor(
    tmp_path: Path, cpu_us: int, spans: int
) -> None:
    links = (Link(1), Link(1))
    records = Records(Trace())
    dispatcher = Dispatcher(1, tmp_path, links, records, SHAPE)
    lines = [
        {"event": "listening"},
        {"event": "state", "cpu_us": 50_000},
        {"event": "process_held_up", "late_us": 800_000, "at_us": 9_000_000, "cpu_us": cpu_us},
    ]
    dispatcher.log.write_text("".join(json.dumps(line) + "\n" for line in lines))
    dispatcher.read_log()
    found = [span for span in records.dispatchers[1] if span.what == NOT_RUN]
    assert [(span.since_s, span.until_s) for span in found] == [(8.2, 9.0)] * spans


def test_an_attempt_that_was_closed_and_comes_late_is_no_overlap() -> None:
    """Found in a soak: the way to a reader stalled, its attempt was closed, and came when a writer
    had the request.
    """
    records = good()
    records.trace.events = [
        replace(e, at_s=0.5) if (e.kind, e.server) == (EventKind.CLOSED, "writer-1") else e
        for e in records.trace.events
    ]
    add(
        records,
        (0.05, EventKind.RECEIVED, "reader-2", "read"),
        (0.06, EventKind.CLOSED, "reader-2", ""),
    )
    assert any(breach.startswith("overlap: ") for breach in breaches(records))
    records.replicas["reader-2"].append(Span(-1.0, 0.1, "stall"))
    assert not any(breach.startswith("overlap: ") for breach in breaches(records))


def test_a_booking_that_its_client_sent_again_after_a_kill_is_no_breach() -> None:
    records = good()
    booked_twice(records)
    records.dispatchers[0].append(Span(0.05, 0.5, "killed"))
    assert breaches(records), "it was not sent again"
    records.asked["r1"] = replace(records.asked["r1"], again=True)
    assert not breaches(records)


def test_the_faults_that_break_a_rule_are_reduced_to_the_fewest() -> None:
    faults = [Fault(n, 1.0, Kind.RESET, (n,)) for n in range(9)]
    needed = {2, 7}

    async def fails(some: Sequence[Fault]) -> bool:
        return needed <= {fault.targets[0] for fault in some}

    assert {fault.targets[0] for fault in asyncio.run(shrunk(faults, fails))} == needed


def test_a_short_soak_of_real_dispatchers_keeps_all_rules(tmp_path: Path) -> None:
    """A dispatcher that ends and one that is upgraded while a way is cut and system calls fail."""
    shape = Shape(dispatchers=6, readers=2, writers=3, length_s=6.0, requests_per_s=25.0)
    faults = [
        Fault(0.8, 0.5, Kind.TERMINATE, (1,)),
        Fault(0.9, 1.0, Kind.CUT, (3,)),
        Fault(1.0, 1.0, Kind.FAIL_CALLS, (2, 3), forced=drawn_calls()),
        Fault(2.4, 0.5, Kind.UPGRADE, (0,)),
        Fault(2.5, 0.6, Kind.STEP_CLOCK, (4, 5), amount=-3600.0),
        Fault(2.6, 2.0, Kind.DRAIN, (1,)),
    ]
    result = asyncio.run(asyncio.wait_for(play(1, shape, faults, tmp_path / "soak"), 90))
    assert not result.breaches, "\n".join(result.breaches)
    assert result.ends["served"] > 20


@pytest.mark.parametrize(("seed", "deadline_s"), [(1, 3.0), (2, 1.6)])
def test_a_seeded_soak_with_signals_in_series_and_a_crowd(
    tmp_path: Path, seed: int, deadline_s: float
) -> None:
    """Clients use their open connections until SIGKILL, which comes at its earliest."""
    shape = Shape(
        dispatchers=6,
        readers=2,
        writers=4,
        length_s=8.0,
        requests_per_s=25.0,
        deadline_s=deadline_s,
    )
    always = [
        Fault(1.0, 1.0, Kind.CROWD, (0,)),
        Fault(1.2, 1.5, Kind.HANG, (4,)),
        Fault(1.4, 1.5, Kind.CUT, (5,)),
        Fault(2.0, 0.5, Kind.SIGNALS, (1, 2), 0.1, signals=(SIGHUP, SIGTERM, SIGHUP, SIGTERM)),
    ]
    faults = always + [fault for fault in drawn(seed, shape) if fault.at_s > 3.0]
    result = asyncio.run(asyncio.wait_for(play(seed, shape, faults, tmp_path / "soak"), 120))
    assert not result.breaches, "\n".join(result.breaches)
    assert result.ends["served"] > 20


def drawn_calls() -> tuple:  # type: ignore[type-arg]
    return next(
        f.forced for seed in range(99) for f in drawn(seed, SHAPE) if f.kind is Kind.FAIL_CALLS
    )
