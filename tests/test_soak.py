"""Tests of the soak: its schedules, each rule on a planted fault, and short soaks of real processes."""

import asyncio
import json
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from signal import SIGHUP, SIGTERM

import pytest

from onyxpass.faultshim.control import build_library
from onyxpass.history_checkers.trace import Event, EventKind, Trace
from onyxpass.soak.checker import RULES, breaches
from onyxpass.soak.dispatchers import SoakDispatcher
from onyxpass.soak.minimizer import minimize_faults
from onyxpass.soak.records import (
    DESCHEDULED,
    AttemptTimeout,
    ClientRequest,
    Delivery,
    FaultInterval,
    Records,
    StalledClient,
)
from onyxpass.soak.run import run_soak
from onyxpass.soak.schedule import (
    DISCOVERY_FAULTS,
    DISPATCHER_FAULTS,
    FaultKind,
    ScheduledFault,
    SoakParameters,
    draw_faults,
)
from onyxpass.testbed.link import Link

PARAMETERS = SoakParameters(dispatchers=24, length_s=60.0)


def test_a_seed_determines_its_schedule_and_faults_come_in_groups() -> None:
    assert draw_faults(3, PARAMETERS) == draw_faults(3, PARAMETERS) != draw_faults(4, PARAMETERS)
    kinds = {fault.kind for seed in range(40) for fault in draw_faults(seed, PARAMETERS)}
    assert kinds == set(FaultKind)
    for seed in range(20):
        faults = draw_faults(seed, PARAMETERS)
        for fault in faults:
            assert fault.targets or fault.kind in DISCOVERY_FAULTS
            target_count = (
                PARAMETERS.dispatchers if fault.kind in DISPATCHER_FAULTS else PARAMETERS.replicas
            )
            assert all(0 <= target < target_count for target in fault.targets)
        near = [f for f in faults if any(g is not f and abs(g.at_s - f.at_s) < 0.7 for g in faults)]
        assert len(near) == len(faults), "no fault comes alone"


def good_records() -> Records:
    """Return the records of one request that was served without a breach."""
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
    events = [Event(at_s, kind, "r1", server, detail) for at_s, kind, server, detail in steps]
    records = Records(Trace(events, {"r1": "stock-booking"}))
    request = ClientRequest("r1", "stock-booking", 0, 1.0, 0.001, 0.11, 0.05, 200, 5, "served")
    records.requests["r1"] = request
    records.attempt_timeouts.append(AttemptTimeout("r1", "writer-1", 0.03, 0.97))
    return records


def add_events(records: Records, *events: tuple[float, EventKind, str, str]) -> None:
    added = [Event(at_s, kind, "r1", server, detail) for at_s, kind, server, detail in events]
    records.trace.events = sorted([*records.trace.events, *added], key=lambda event: event.at_s)


def never_answered(records: Records) -> None:
    records.requests["r1"] = replace(records.requests["r1"], outcome="broken", events=0, status=0)


def too_late(records: Records) -> None:
    records.requests["r1"] = replace(records.requests["r1"], first_event_s=2.0, ended_s=2.1)


def stream_cut(records: Records) -> None:
    records.requests["r1"] = replace(records.requests["r1"], outcome="broken")


def timeout_too_long(records: Records) -> None:
    records.attempt_timeouts.append(AttemptTimeout("r1", "writer-1", 0.5, 0.9))


def attempt_after_disconnect(records: Records) -> None:
    records.requests["r1"] = replace(records.requests["r1"], outcome="left", disconnected_s=0.02)
    add_events(
        records,
        (0.5, EventKind.RECEIVED, "writer-2", "write"),
        (0.6, EventKind.CLOSED, "writer-2", ""),
    )


def attempt_after_drain(records: Records) -> None:
    add_events(records, (-2.0, EventKind.DRAIN_ANNOUNCED, "writer-1", ""))


def two_open_attempts(records: Records) -> None:
    add_events(
        records,
        (0.04, EventKind.RECEIVED, "writer-2", "write"),
        (0.5, EventKind.CLOSED, "writer-2", ""),
    )
    records.trace.events = [
        e for e in records.trace.events if (e.kind, e.server) != (EventKind.CLOSED, "writer-1")
    ]


def two_open_attempts_at_a_hanging_server(records: Records) -> None:
    two_open_attempts(records)
    records.replica_faults["writer-1"].append(FaultInterval(0.0, 1.0, "hang"))


def stream_cut_while_its_writer_drains(records: Records) -> None:
    stream_cut(records)
    records.replica_faults["writer-1"].append(FaultInterval(0.0, 1.0, "drain"))


def attempt_after_drain_despite_many_idle_connections(records: Records) -> None:
    attempt_after_drain(records)
    records.dispatcher_faults[0].append(FaultInterval(-3.0, 1.0, "crowd"))


def five_attempts(records: Records) -> None:
    for n in range(5):
        add_events(
            records,
            (0.2 + n / 10, EventKind.RECEIVED, "writer-1", "w"),
            (0.25 + n / 10, EventKind.CLOSED, "writer-1", ""),
        )


def booked_twice(records: Records) -> None:
    add_events(records, (0.08, EventKind.RAN, "writer-2", "write"))


def refused_and_run(records: Records) -> None:
    last = records.trace.events[-1]
    records.trace.events[-1] = replace(last, detail="refused")


def held_too_long(records: Records) -> None:
    records.trace.events = [e for e in records.trace.events if e.kind is not EventKind.RELEASED]
    add_events(records, (5.0, EventKind.RELEASED, "reader-1", ""))


def held_too_long_with_a_cut_link_to_the_writer(records: Records) -> None:
    """No server can detect the cut, and no rule of the platform excuses a state held because of it."""
    held_too_long(records)
    records.replica_faults["writer-1"].append(FaultInterval(0.0, 5.0, "cut"))


def never_released(records: Records) -> None:
    """Even if the link to the holder is cut, the state must be released in the end."""
    records.trace.events = [e for e in records.trace.events if e.kind is not EventKind.RELEASED]
    add_events(
        records,
        (5.0, EventKind.RECEIVED, "writer-2", "write"),
        (5.1, EventKind.CLOSED, "writer-2", ""),
    )
    records.replica_faults["reader-1"].append(FaultInterval(0.0, 5.0, "cut"))


def stream_cut_by_a_process_that_ended_by_itself(records: Records) -> None:
    stream_cut(records)
    records.dispatcher_faults[0].append(FaultInterval(-0.5, 0.2, "terminated"))


def stream_requested_late_and_cut_by_sigkill(records: Records) -> None:
    stream_cut(records)
    records.dispatcher_faults[0].append(FaultInterval(-1.0, 0.2, "ended by SIGKILL"))


def unanswered_at_sigkill(records: Records) -> None:
    never_answered(records)
    records.dispatcher_faults[0].append(FaultInterval(-0.1, 0.2, "ended by SIGKILL"))


def timeout_too_long_at_a_hanging_server(records: Records) -> None:
    timeout_too_long(records)
    records.replica_faults["writer-1"].append(FaultInterval(0.0, 1.0, "hang"))


def stalled_client_not_closed(records: Records) -> None:
    records.stalled_clients.append(StalledClient("breaks off", 0, 0.0, 8.0))


def crashed(records: Records) -> None:
    records.problems.append("d00: ended by itself, exit code 1")


PLANTED_FAULTS: list[tuple[str, Callable[[Records], None]]] = [
    ("answers", never_answered),
    ("answers", too_late),
    ("answers", stream_cut),
    ("answers", stream_cut_by_a_process_that_ended_by_itself),
    ("answers", stream_requested_late_and_cut_by_sigkill),
    ("answers", unanswered_at_sigkill),
    ("time told", timeout_too_long),
    ("time told", timeout_too_long_at_a_hanging_server),
    ("clients gone", attempt_after_disconnect),
    ("answers", stream_cut_while_its_writer_drains),
    ("drains", attempt_after_drain),
    ("drains", attempt_after_drain_despite_many_idle_connections),
    ("overlap", two_open_attempts),
    ("overlap", two_open_attempts_at_a_hanging_server),
    ("attempts", five_attempts),
    ("bookings", booked_twice),
    ("bookings", refused_and_run),
    ("held", held_too_long),
    ("held", held_too_long_with_a_cut_link_to_the_writer),
    ("held", never_released),
    ("bad clients", stalled_client_not_closed),
    ("processes", crashed),
]


def test_each_rule_has_a_planted_fault() -> None:
    assert {rule for rule, _ in PLANTED_FAULTS} == set(RULES)
    assert not breaches(good_records())


@pytest.mark.parametrize(("rule", "planted"), PLANTED_FAULTS)
def test_a_planted_fault_is_found(rule: str, planted: Callable[[Records], None]) -> None:
    records = good_records()
    planted(records)
    assert any(breach.startswith(f"{rule}: ") for breach in breaches(records))


def test_what_a_killed_dispatcher_leaves_open_is_no_breach() -> None:
    records = good_records()
    never_answered(records)
    held_too_long(records)
    records.dispatcher_faults[0].append(FaultInterval(0.05, 0.5, "killed"))
    assert not breaches(records)


def test_a_stalled_client_need_not_be_closed_while_no_process_runs() -> None:
    records = good_records()
    records.dispatcher_faults[0].append(FaultInterval(1.0, 3.0, "no process"))
    records.stalled_clients.append(StalledClient("breaks off", 0, 1.0, 5.9))
    assert not breaches(records)
    records.stalled_clients.append(StalledClient("breaks off", 0, 1.0, 6.4))
    assert len(breaches(records)) == 1


def test_a_stream_requested_soon_after_sigterm_may_be_cut_by_sigkill() -> None:
    records = good_records()
    stream_cut(records)
    records.dispatcher_faults[0].append(FaultInterval(-0.1, 0.2, "ended by SIGKILL"))
    assert not breaches(records)


def test_a_state_may_be_released_late_if_the_prefill_answer_may_be_lost() -> None:
    records = good_records()
    held_too_long(records)
    records.replica_faults["reader-1"].append(FaultInterval(0.0, 5.0, "cut"))
    assert not breaches(records), "the attempt stays open until the dispatcher gives it up"


def test_a_new_connection_may_be_closed_unread_among_many_idle_ones() -> None:
    records = good_records()
    never_answered(records)
    records.dispatcher_faults[0].append(FaultInterval(0.0, 1.0, "crowd"))
    assert breaches(records), "it was a kept connection"
    records.requests["r1"] = replace(records.requests["r1"], on_new_connection=True)
    assert not breaches(records)


@pytest.mark.parametrize(
    "planted", [too_late, timeout_too_long, held_too_long, attempt_after_disconnect]
)
def test_times_are_not_checked_while_the_machine_does_not_run_a_dispatcher(
    planted: Callable[[Records], None],
) -> None:
    records = good_records()
    planted(records)
    records.dispatcher_faults[0].append(FaultInterval(-0.5, 0.3, DESCHEDULED))
    assert not breaches(records)


@pytest.mark.parametrize("planted", [never_answered, stream_cut, never_released, two_open_attempts])
def test_rules_without_times_apply_while_the_machine_does_not_run_a_dispatcher(
    planted: Callable[[Records], None],
) -> None:
    records = good_records()
    planted(records)
    records.dispatcher_faults[0].append(FaultInterval(-0.5, 0.3, DESCHEDULED))
    assert breaches(records)


@pytest.mark.parametrize(("cpu_us", "intervals"), [(100_000, 1), (900_000, 0)])
def test_a_stall_counts_as_descheduled_if_the_process_used_little_cpu_time(
    tmp_path: Path, cpu_us: int, intervals: int
) -> None:
    links = (Link(1), Link(1))
    records = Records(Trace())
    dispatcher = SoakDispatcher(1, tmp_path, links, records, PARAMETERS)
    lines = [
        {"event": "listening"},
        {"event": "state", "cpu_us": 50_000},
        {"event": "process_held_up", "late_us": 800_000, "at_us": 9_000_000, "cpu_us": cpu_us},
    ]
    dispatcher.log.write_text("".join(json.dumps(line) + "\n" for line in lines))
    dispatcher.read_log()
    found = [interval for interval in records.dispatcher_faults[1] if interval.cause == DESCHEDULED]
    assert [(interval.start_s, interval.end_s) for interval in found] == [(8.2, 9.0)] * intervals


@pytest.mark.parametrize(("killed_by_soak", "problems"), [(True, 0), (False, 1)])
def test_a_kill_during_the_start_is_a_problem_unless_the_soak_did_it(
    tmp_path: Path, killed_by_soak: bool, problems: int
) -> None:
    """Found in a soak (seeds 9110 and 9137): a fault killed a process that another had just started."""

    async def scenario() -> None:
        records = Records(Trace())
        dispatcher = SoakDispatcher(1, tmp_path, (Link(1), Link(1)), records, PARAMETERS)
        dispatcher.write_config()
        starting = asyncio.create_task(dispatcher.start(build_library(tmp_path)))
        while dispatcher.process is None:
            await asyncio.sleep(0)
        if killed_by_soak:
            await dispatcher.kill()
        else:
            dispatcher.process.kill()
        await starting
        assert len(records.problems) == problems, records.problems

    asyncio.run(asyncio.wait_for(scenario(), 60))


@pytest.mark.parametrize("plant", [timeout_too_long, attempt_after_disconnect])
def test_only_a_delay_of_the_soak_itself_excuses_a_late_arrival(
    plant: Callable[[Records], None],
) -> None:
    records = good_records()
    plant(records)
    records.deliveries = [Delivery(0.0, 0.01), Delivery(0.4, 0.41), Delivery(0.7, 1.4)]
    assert breaches(records)
    records.deliveries.append(Delivery(0.02, 0.45))
    assert not breaches(records)


def test_a_closed_attempt_that_arrives_late_is_no_overlap() -> None:
    """Found in a soak: the link to a reader stalled, so an attempt that was already closed arrived
    while a writer had the request.
    """
    records = good_records()
    records.trace.events = [
        replace(e, at_s=0.5) if (e.kind, e.server) == (EventKind.CLOSED, "writer-1") else e
        for e in records.trace.events
    ]
    add_events(
        records,
        (0.05, EventKind.RECEIVED, "reader-2", "read"),
        (0.06, EventKind.CLOSED, "reader-2", ""),
    )
    assert any(breach.startswith("overlap: ") for breach in breaches(records))
    records.replica_faults["reader-2"].append(FaultInterval(-1.0, 0.1, "stall"))
    assert not any(breach.startswith("overlap: ") for breach in breaches(records))


def test_a_booking_that_its_client_sent_again_after_a_kill_is_no_breach() -> None:
    records = good_records()
    booked_twice(records)
    records.dispatcher_faults[0].append(FaultInterval(0.05, 0.5, "killed"))
    assert breaches(records), "the client did not send it again"
    records.requests["r1"] = replace(records.requests["r1"], resent=True)
    assert not breaches(records)


def test_the_faults_that_break_a_rule_are_reduced_to_the_fewest() -> None:
    faults = [ScheduledFault(n, 1.0, FaultKind.RESET, (n,)) for n in range(9)]
    needed = {2, 7}

    async def fails(some: Sequence[ScheduledFault]) -> bool:
        return needed <= {fault.targets[0] for fault in some}

    assert {fault.targets[0] for fault in asyncio.run(minimize_faults(faults, fails))} == needed


def test_a_short_soak_of_real_dispatchers_keeps_all_rules(tmp_path: Path) -> None:
    """One dispatcher restarts and one is upgraded while a link is cut and system calls fail."""
    parameters = SoakParameters(
        dispatchers=6, readers=2, writers=3, length_s=6.0, requests_per_s=25.0
    )
    faults = [
        ScheduledFault(0.8, 0.5, FaultKind.TERMINATE, (1,)),
        ScheduledFault(0.9, 1.0, FaultKind.CUT, (3,)),
        ScheduledFault(1.0, 1.0, FaultKind.FAIL_CALLS, (2, 3), forced=draw_forced_calls()),
        ScheduledFault(2.4, 0.5, FaultKind.UPGRADE, (0,)),
        ScheduledFault(2.5, 0.6, FaultKind.STEP_CLOCK, (4, 5), amount_s=-3600.0),
        ScheduledFault(2.6, 2.0, FaultKind.DRAIN, (1,)),
    ]
    result = asyncio.run(asyncio.wait_for(run_soak(1, parameters, faults, tmp_path / "soak"), 90))
    assert not result.breaches, "\n".join(result.breaches)
    assert result.outcomes["served"] > 20


def test_slow_turns_of_the_soak_itself_are_no_breach(tmp_path: Path) -> None:
    """Guards against dispatchers that are blamed for what the soak's own process delays."""
    parameters = SoakParameters(
        dispatchers=6, readers=2, writers=3, length_s=7.0, requests_per_s=100.0, deadline_s=1.6
    )

    async def keep_busy() -> None:
        await asyncio.sleep(2.5)
        end_s = time.monotonic() + 3.0
        while time.monotonic() < end_s:
            time.sleep(0.1)  # a turn of the loop that takes long
            await asyncio.sleep(0)

    async def play() -> list[str]:
        busy = asyncio.create_task(keep_busy())
        result = await run_soak(9105, parameters, [], tmp_path / "soak")
        await busy
        return result.breaches

    assert asyncio.run(asyncio.wait_for(play(), 90)) == []


@pytest.mark.parametrize(("seed", "deadline_s"), [(1, 3.0), (2, 1.6)])
def test_a_seeded_soak_with_signal_series_and_many_idle_connections(
    tmp_path: Path, seed: int, deadline_s: float
) -> None:
    """Clients use their open connections until SIGKILL, which is sent at its earliest time."""
    parameters = SoakParameters(
        dispatchers=6,
        readers=2,
        writers=4,
        length_s=8.0,
        requests_per_s=25.0,
        deadline_s=deadline_s,
    )
    always = [
        ScheduledFault(1.0, 1.0, FaultKind.IDLE_CONNECTIONS, (0,)),
        ScheduledFault(1.2, 1.5, FaultKind.HANG, (4,)),
        ScheduledFault(1.4, 1.5, FaultKind.CUT, (5,)),
        ScheduledFault(
            2.0,
            0.5,
            FaultKind.SIGNAL_SERIES,
            (1, 2),
            0.1,
            signals=(SIGHUP, SIGTERM, SIGHUP, SIGTERM),
        ),
    ]
    faults = always + [fault for fault in draw_faults(seed, parameters) if fault.at_s > 3.0]
    result = asyncio.run(
        asyncio.wait_for(run_soak(seed, parameters, faults, tmp_path / "soak"), 120)
    )
    assert not result.breaches, "\n".join(result.breaches)
    assert result.outcomes["served"] > 20


def draw_forced_calls() -> tuple:  # type: ignore[type-arg]
    return next(
        f.forced
        for seed in range(99)
        for f in draw_faults(seed, PARAMETERS)
        if f.kind is FaultKind.FAIL_CALLS
    )
