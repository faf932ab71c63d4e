"""Each defence acts on its symptom and stays quiet on a healthy fleet."""

from collections import Counter
from dataclasses import replace

from helpers import MS, Drive, S, fleet

from onyxpass.scheduling import (
    admission,
    attempt_timeouts,
    candidates,
    contract,
    latency_baselines,
    memory_projection,
    outlier_detection,
    prefix_affinity,
    rendezvous,
    request_state,
    server_state,
)
from onyxpass.scheduling.contract import AttemptStatus


def busy(
    drive: Drive,
    ill: set[str],
    slow: int = 1,
    status: AttemptStatus = AttemptStatus.PREFILLED,
    n: int = 120,
) -> list[str]:
    """Requests one after another; reads at ``ill`` servers take ``slow`` times as long or end
    badly.
    """
    seen: list[str] = []
    first = 1_000 + len(drive.sent)
    for i in range(first, first + n):
        server = drive.ask(i, f"s{i}", f"p{i}", deadline_us=drive.now + 20 * S)
        drive.tick()
        while server and i not in drive.answers and drive.sent[i][-1].startswith("r"):
            seen.append(drive.sent[i][-1])
            at_ill = seen[-1] in ill
            drive.end(
                i, status if at_ill else AttemptStatus.PREFILLED, 50 * MS * (slow if at_ill else 1)
            )
        if server and i not in drive.answers:
            drive.give(
                contract.StreamStarted(i, len(drive.sent[i]) - 1, drive.sent[i][-1], 30 * MS),
                30 * MS,
            )
            drive.end(i, AttemptStatus.COMPLETED, final=True)
    return seen


def aside(drive: Drive) -> set[str]:
    return {h.id for h in drive.router.servers.values() if h.ejection_level}


def test_a_healthy_fleet_sees_no_defence_act() -> None:
    drive = Drive()
    seen = busy(drive, set())
    assert not aside(drive) and not drive.answers and len(seen) == 120


def test_slow_but_answering_is_put_aside() -> None:
    drive = Drive()
    seen = busy(drive, {"r0"}, slow=8, n=240)
    assert seen.count("r0") < 40 and aside(drive) == {"r0"}


def test_all_slow_together_is_no_illness() -> None:
    drive = Drive()
    busy(drive, {"r0", "r1", "r2", "r3"}, slow=4)
    assert not aside(drive)


def test_quick_errors_are_put_aside_and_come_back() -> None:
    drive = Drive()
    seen = busy(drive, {"r1"}, status=AttemptStatus.ERROR)
    assert seen.count("r1") < 15 and aside(drive) == {"r1"} and not drive.answers
    drive.now += outlier_detection.MAX_EJECTION_US
    later = busy(drive, set(), n=121)
    assert later.count("r1") > 15 and not aside(drive)


def test_a_silent_server_is_called_off_once_and_left() -> None:
    drive = Drive()
    home = drive.serve(1)
    drive.router.timeouts.credit = 1.0
    drive.ask(2)
    drive.tick(40)
    assert drive.sent[2] == [home]
    assert (
        drive.router.requests[2].silence_deadline_us == drive.router.requests[2].arrival.deadline_us
    ), "called off, once"
    drive.end(2, AttemptStatus.CANCELLED)
    assert (
        drive.sent[2][1] != home
        and aside(drive) == {home}
        and drive.router.servers[home].is_unresponsive
    )


def test_calls_off_have_a_budget() -> None:
    """Found on a quiet day with 51 routers: reads called off in a jam were read anew till all
    jammed.
    """
    drive = Drive(fleet(4, 8))
    for i in range(50):
        drive.ask(i, f"s{i}", f"p{i}", prompt_tokens=9, max_tokens=9)
    called = 0
    for _ in range(40):
        drive.tick()
        called += sum(isinstance(a, contract.CancelAttempt) for a in drive.last)
    assert 1 <= called <= 50 * attempt_timeouts.CANCELLATIONS_PER_REQUEST + 1


def test_an_attempt_at_a_server_that_answers_others_is_not_called_off() -> None:
    """Found on a rough day: time-outs at queueing readers led to re-reads that jammed them all."""
    drive = Drive()
    home = drive.ask(1)
    drive.ask(2)
    for _ in range(30):
        drive.router.servers[str(home)].last_answer_us = drive.now
        drive.tick()
        assert not [a for a in drive.last if isinstance(a, contract.CancelAttempt)]


def test_most_look_ill_so_routing_goes_on() -> None:
    drive = Drive()
    for name in ("r0", "r1", "r2"):
        drive.router.servers[name].eject(drive.now, unresponsive=False)
    assert len({drive.ask(i, f"s{i}", f"p{i}") for i in range(30)} - {None}) == 4


def test_full_writers_make_requests_wait_then_refuse_with_advice() -> None:
    drive = Drive(load_report_mode=contract.LoadReportMode.INLINE)
    for host in drive.router.servers.values():
        host.memory_utilization, host.utilization_reported_us = 0.85, drive.now + 3 * S
    assert drive.ask(1, traffic_class="light") is None, "least worth per unit of work waits first"
    assert drive.ask(2, "t", traffic_class="heavy", deadline_us=drive.now + 9 * S) is not None
    drive.tick(60)
    assert drive.answers[1] == [contract.Reject(1, drive.settings.max_retry_after_us)]


def test_what_cannot_be_in_time_is_refused_early() -> None:
    drive = Drive()
    assert drive.ask(49, "v", "w") is not None
    for host in drive.router.servers.values():
        host.us_per_token, host.last_answer_us = 1 * MS, drive.now
    assert drive.ask(50, "x", "y") is None
    drive.tick(60)
    assert drive.answers[50]
    drive.now += 10 * S
    assert drive.ask(51, "x", "y") is not None, "an old pace is believed less and less"


def test_with_many_routers_writers_near_the_reader_are_asked_first() -> None:
    """Found with 145 routers: each heard of a writer once a minute, and near ones jammed unseen."""
    drive = Drive(
        fleet(4, 12),
        routers=150,
        health_checks_allowed=True,
        load_report_mode=contract.LoadReportMode.ON_HEALTH_CHECK,
    )
    asked = []
    for i in range(4):
        near = drive.router.servers[str(drive.ask(i, f"s{i}", f"p{i}"))].endpoint
        asked += [a.server for a in drive.last if isinstance(a, contract.HealthCheck)]
        if i == 0:
            assert drive.router.servers[asked[0]].endpoint.cell == near.cell
    assert len(asked) == len(set(asked)) and 4 <= len(asked) <= 8, "within the price"
    assert not [a for a in Drive(routers=150).last if isinstance(a, contract.HealthCheck)]


def test_full_for_one_class_is_no_illness_and_passes_the_server_over_for_that_class() -> None:
    """Found on a day on which servers turned away what one class sent above a rate, late, and
    took others.
    """
    drive = Drive()
    home = drive.ask(1, traffic_class="light")
    drive.end(1, AttemptStatus.OVERLOADED)
    assert drive.sent[1][1] != home and not aside(drive)
    assert drive.ask(2, traffic_class="light") != home, "the class stays away for a while"
    assert drive.ask(3, traffic_class="heavy") == home, "the others do not"
    drive.now += candidates.OVERLOAD_REST_US
    assert drive.ask(4, traffic_class="light") == home


def test_no_new_reading_once_the_aim_has_passed() -> None:
    """Found on a quiet day with 51 routers: reads that were late already were read anew and fed
    the jam.
    """
    drive = Drive()
    drive.ask(1)
    drive.end(1, AttemptStatus.TIMED_OUT, 1 * S)
    assert len(drive.sent[1]) == 2, "in time: another reader is tried"
    drive.end(1, AttemptStatus.TIMED_OUT, 1 * S)
    assert len(drive.sent[1]) == 2 and drive.answers[1]
    drive.ask(2, "t", "q")
    drive.end(2, AttemptStatus.PREFILLED, 2 * S)
    drive.end(2, AttemptStatus.OVERLOADED)
    assert len(drive.sent[2]) == 3, "a state that is there is still fetched"


def test_with_many_routers_the_first_pause_is_long() -> None:
    """Found on days of ageing servers: a pause of 1.5 s is none where a router comes by twice a
    minute.
    """
    few, many = Drive(), Drive(routers=60)
    for drive in (few, many):
        drive.router.servers["r0"].eject(drive.now, unresponsive=False)
    assert (
        many.router.servers["r0"].ejected_until_us - few.router.servers["r0"].ejected_until_us
        > 5 * S
    )


def test_a_tenant_over_its_share_waits_first() -> None:
    drive = Drive(
        tenants=(contract.Tenant("a", 2.0), contract.Tenant("b", 2.0)), over_quota_weight=0.05
    )
    for i in range(10):
        drive.ask(i, f"s{i}", f"p{i}", tenant="a")
    drive.ask(20, "s", tenant="b")
    requests = drive.router.requests
    assert requests[0].priority == requests[20].priority == 0.5
    assert requests[9].priority < 0.05


def test_late_or_missing_reports_leave_the_streams_to_tell() -> None:
    drive = Drive(fleet(4, 2), load_report_mode=contract.LoadReportMode.INLINE, routers=1)
    w0, w1 = drive.router.servers["w0"], drive.router.servers["w1"]
    w0.memory_utilization, w0.utilization_reported_us = (
        0.1,
        drive.now - memory_projection.REPORT_HALF_LIFE_US - 1,
    )
    w0.streams = dict.fromkeys(range(3), (drive.now - S, 30000))
    projected = memory_projection.projected_utilization([w0, w1], drive.settings, drive.now)
    assert projected[w0] > 0.5 and abs(projected[w1] - 0.1) < 1e-9


def test_a_restarted_server_is_a_stranger() -> None:
    drive = Drive()
    home = drive.serve(1)
    drive.give(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA, (contract.Endpoint(home, "r", "z0", 0, drive.now),)
        )
    )
    assert (
        drive.router.servers[home].slow_start_factor(drive.now)
        == drive.settings.slow_start_initial_factor
    )
    drive.ask(2)
    assert "s|s" not in drive.router.affinity.entries


def test_a_probe_must_be_answered_before_a_trial() -> None:
    drive = Drive(health_checks_allowed=True)
    host = drive.router.servers["r0"]
    host.eject(drive.now, unresponsive=True)
    drive.now += outlier_detection.EJECTION_US
    drive.tick()
    assert contract.HealthCheck("r0") in drive.last and not host.is_healthy(drive.now)
    drive.give(contract.HealthCheckResult("r0", True, 1 * MS))
    assert host.is_healthy(drive.now)


def test_a_replacement_that_leaves_no_warm_server_still_gets_work() -> None:
    """Found in incident ic9ca78: all successors were cold, and each got one send a window."""
    drive = Drive(fleet(3, 8), overload_window_us=3 * S)
    for i in range(60):
        drive.serve(i, f"s{i}", f"p{i}")
        if i == 40:
            fresh = contract.Endpoint("r1", "r", "z0", 0, drive.now)
            drive.give(contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (fresh,)))
    drive.now += 3 * S
    fresh_all = tuple(contract.Endpoint(f"r{i}", "r", "z0", 0, drive.now) for i in range(3))
    drive.give(contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, fresh_all))
    sent = sum(drive.ask(i, f"s{i}", f"p{i}") is not None for i in range(100, 130))
    assert 3 < sent <= 30


def test_a_state_behind_a_cut_is_released_when_no_writer_can_fetch_it() -> None:
    """Found on a day with a zone cut off: full, no state to fetch, then refused: it stayed
    pinned.
    """
    drive = Drive(max_attempts=3)
    drive.ask(1)
    drive.end(1, AttemptStatus.PREFILLED)
    actions = drive.end(1, AttemptStatus.OVERLOADED, note=1)
    assert contract.ReleaseState(1) in actions and drive.answers[1]


def racks(*sizes: tuple[int, int]) -> tuple[contract.Endpoint, ...]:
    """Cells of one zone with so many readers and writers each."""
    return tuple(
        contract.Endpoint(f"{kind}{cell}{i}", kind, "z0", cell)
        for cell, counts in enumerate(sizes)
        for kind, count in zip("rw", counts, strict=True)
        for i in range(count)
    )


def kept_near(sizes: list[tuple[int, int]], cell: int, spaced_us: int, n: int = 400) -> float:
    """The part of the states read in a cell that the writers there get from 191 blind routers."""
    drive = Drive(racks(*sizes), routers=191)
    near = read = 0
    for i in range(n):
        drive.ask(
            i, f"s{i}", f"p{i}", prompt_tokens=6_000, max_tokens=200, deadline_us=drive.now + 60 * S
        )
        drive.end(i, AttemptStatus.PREFILLED, 20 * MS)
        drive.give(contract.StreamStarted(i, 1, drive.sent[i][1], 30 * MS), spaced_us)
        if i >= 6:  # six streams run at a time
            drive.end(i - 6, AttemptStatus.COMPLETED, final=True)
        where = drive.router.servers[drive.sent[i][0]].endpoint.cell
        if where == cell:
            read, near = (
                read + 1,
                near + (drive.router.servers[drive.sent[i][1]].endpoint.cell == cell),
            )
    return near / read


def test_writers_near_many_readers_are_not_jammed_by_routers_that_see_them_empty() -> None:
    """Found on day L7ff7c3 with 191 routers: racks with 3 readers and 2 writers jammed, others
    idled.
    """
    assert kept_near([(3, 2), (1, 4), (1, 4)] * 4, 0, S) < 0.5


def test_states_stay_near_where_racks_are_even() -> None:
    assert kept_near([(2, 3)] * 12, 0, S) > 0.85
    assert kept_near([(3, 2), (1, 4), (1, 4)] * 4, 1, S) > 0.85


def overload(
    drive: Drive, first: int, n: int, every_us: int, read_us: int, traffic_class: str = "light"
) -> int:
    """Requests at a pace, each read after so long; how many were refused at once."""
    refused = 0
    for i in range(first, first + n):
        asked = drive.ask(
            i, f"s{i}", f"p{i}", traffic_class=traffic_class, deadline_us=drive.now + 8 * S
        )
        refused += asked is None and i in drive.answers
        if asked:
            drive.end(i, AttemptStatus.PREFILLED, read_us)
            drive.give(contract.StreamStarted(i, 1, drive.sent[i][1], 30 * MS), 30 * MS)
            drive.end(i, AttemptStatus.COMPLETED, final=True)
        drive.now += every_us
    return refused


def test_late_answers_make_requests_be_refused_at_once_and_it_lets_go() -> None:
    """Found on day L7ff7c3: late answers, reading anew and retries kept a jam up that no report
    showed.
    """
    drive = Drive(routers=191)
    assert overload(drive, 0, 30, 500 * MS, 40 * MS) == 0, "quiet on a healthy fleet"
    for host in drive.router.servers.values():
        host.sample_count = 0  # times are no news: only how requests fare
    held = overload(drive, 100, 60, 100 * MS, 2 * S)
    assert held > 20, "what is late costs no more work"
    overload(drive, 200, 120, 500 * MS, 40 * MS)
    assert overload(drive, 400, 30, 500 * MS, 40 * MS) == 0, "and lets go"


def test_the_worthiest_class_is_held_back_less_and_no_class_by_what_another_meets() -> None:
    throttle = admission.AdaptiveThrottle()
    throttle.objective_share = 1.0
    for i in range(20):
        throttle.record(i, in_time=i % 2 == 1)
    assert throttle.shed_probability(20, 0.1) > 0.3 and throttle.shed_probability(20, 1.0) <= 0
    drive = Drive(routers=191)
    for _ in range(20):
        drive.router.admission.throttles["light"].record(drive.now, in_time=False)
    assert drive.ask(1, traffic_class="heavy") is not None


def test_a_held_back_class_is_tried_again_within_seconds() -> None:
    drive = Drive(routers=191)
    drive.router.admission.throttles["light"].objective_share = 1.0
    for _ in range(50):
        drive.router.admission.throttles["light"].record(drive.now, in_time=False)
    assert (
        drive.router.admission.throttles["light"].shed_probability(drive.now, 0.5)
        == admission.MAX_SHED_PROBABILITY
    )
    assert sum(drive.ask(i, f"s{i}") is not None for i in range(60)) >= 2, (
        "some go on in the worst jam"
    )


def test_answers_that_are_lost_while_others_are_quick_hold_no_class_back() -> None:
    """Found on a day on which a third of the answers of most servers got lost: refusing saved
    nothing.
    """
    throttle = admission.AdaptiveThrottle()
    for i in range(40):
        throttle.record(i, in_time=i % 2 == 1)
        throttle.record_latency(0.15)
    assert throttle.shed_probability(40, 0.1) <= 0


def homes_of(drive: Drive, prefix: str, first: int) -> int:
    """How many readers new sessions of a beginning are read at."""
    seen = set()
    for i in range(first, first + 60):
        seen.add(drive.ask(i, f"t{i}", prefix, prompt_tokens=100))
        drive.end(i, AttemptStatus.ERROR, 1 * MS, final=True)
        drive.router.servers[drive.sent[i][0]].failure_rate = 0.0  # the reads are no matter here
        drive.router.affinity.recent_prefixes.pop()
    return len(seen)


def test_a_beginning_that_is_surely_popular_has_more_homes_and_others_four() -> None:
    """Found on a day with 145 routers: two homes of one beginning jammed at 0:10 while the rest
    idled.
    """
    drive = Drive(fleet(24, 4), routers=145)
    drive.router.affinity.recent_prefixes.extend(["hot"] * 10 + [f"p{i % 12}" for i in range(20)])
    assert homes_of(drive, "hot", 0) == 8, (
        "a third of all: to each home what an even share of all is"
    )
    assert homes_of(drive, "p1", 100) == prefix_affinity.MIN_OWNERS
    assert homes_of(drive, "unheard", 200) == prefix_affinity.MIN_OWNERS
    few = Drive(fleet(24, 4))
    few.router.affinity.recent_prefixes.extend(["hot"] * 10)
    assert homes_of(few, "hot", 0) == 1


def test_routers_that_heard_a_popular_beginning_more_or_less_often_agree_on_its_homes() -> None:
    """A session's turns come to other routers: where those count other homes, its texts are read
    anew.
    """
    homes = set()
    for often in range(6):  # of 30 heard, where one in ten is meant
        drive = Drive(fleet(24, 4), routers=40)
        drive.router.affinity.recent_prefixes.extend(
            ["warm"] * often + [f"p{i}" for i in range(30 - often)]
        )
        homes.add(homes_of(drive, "warm", 0))
    assert homes == {prefix_affinity.MIN_OWNERS}


def test_after_signs_of_a_queue_one_more_reader_is_tried_and_after_errors_more() -> None:
    """Found on days i51a683 and i047fef: each request met up to five full readers and kept the
    jam up.
    """
    for status, tries in (
        (AttemptStatus.OVERLOADED, 2),
        (AttemptStatus.TIMED_OUT, 2),
        (AttemptStatus.ERROR, 4),
    ):
        drive = Drive(fleet(8, 4), max_attempts=5)
        drive.ask(1)
        while 1 not in drive.answers:
            drive.end(1, status, 1 * MS)
        assert len(drive.sent[1]) == tries


def test_a_ledger_of_few_requests_still_holds_a_jam_down() -> None:
    """Found on day i047fef: 249 routers each knew few requests of a class, and let a third
    through.
    """
    throttle = admission.AdaptiveThrottle()
    throttle.objective_share = 1.0
    for i in range(3):
        throttle.record(i, in_time=False)
    assert throttle.shed_probability(3, 0.5) == admission.MAX_SHED_PROBABILITY
    for i in range(20):
        throttle.record(3 + i, in_time=True)
    assert throttle.shed_probability(23, 0.5) <= 0


def test_mixed_servers_are_home_to_their_share_of_the_answers_only() -> None:
    """Found on a real day: four mixed servers read and answered half of all beside seven
    writers.
    """
    homes = [Drive(fleet(3, 6, 3)).ask(1, "s", f"p{i}") for i in range(300)]
    assert 0.22 < sum(str(h).startswith("m") for h in homes) / 300 < 0.44


def test_a_mixed_server_fuller_than_the_writers_reads_nothing_new() -> None:
    """Found on a real day: the home of a popular beginning was mixed, and its streams came far
    too late.
    """
    drive = Drive(fleet(2, 4, 2))
    prefix = next(
        f"p{i}" for i in range(99) if str(Drive(fleet(2, 4, 2)).ask(1, "s", f"p{i}")) == "m0"
    )
    hosts = drive.router.servers
    hosts["m0"].streams = {900 + i: (drive.now, 3_000) for i in range(20)}
    assert drive.ask(1, "s", prefix) != "m0"
    for name in ("w0", "w1", "w2", "w3"):
        hosts[name].streams = {900 + i: (drive.now, 3_000) for i in range(20)}
    assert drive.ask(2, "t", prefix) == "m0", "all as full: the home stays"


def test_a_spoilt_answer_proves_that_its_state_is_gone() -> None:
    """Guards against a writer asked for a state that was fetched already: a whole attempt for a
    `full`.
    """
    drive = Drive()
    drive.ask(1)
    drive.end(1, AttemptStatus.PREFILLED)
    drive.end(1, AttemptStatus.RESET, note=1)
    assert drive.sent[1][2].startswith("r"), "it is read anew"
    drive.end(1, AttemptStatus.PREFILLED)
    assert drive.sent[1][3].startswith("w")


def test_prefixes_that_expired_leave_the_table() -> None:
    """Found by reading: each session's key stayed till the cap, though none counts after its
    expiry.
    """
    drive = Drive()
    for i in range(200):
        drive.serve(i, f"s{i}", f"p{i}")
        drive.now += S
    assert len(drive.router.affinity.entries) <= 2 * (prefix_affinity.ENTRY_TTL_US // S + 1)


def test_requests_that_are_no_use_put_no_server_aside() -> None:
    """Seen on a day with bad clients: 5,607 attempts ended with 400, and readers were left out
    for it.
    """
    drive = Drive()
    for i in range(20):
        drive.ask(i)
        drive.end(i, AttemptStatus.INVALID_REQUEST)
        assert [type(a) for a in drive.answers[i]] == [contract.Fail] and len(drive.sent[i]) == 1
    assert not aside(drive)


def test_spoilt_answers_from_all_alike_leave_nobody_out_and_from_one_do() -> None:
    """Seen on a day of spoilt streams: three of fourteen healthy servers were aside at a time."""
    drive, got = Drive(), Counter[str]()
    for i in range(200):
        drive.ask(i, f"s{i}", f"p{i}")
        drive.end(i, AttemptStatus.PREFILLED)
        got[drive.sent[i][-1]] += 1
        if got[drive.sent[i][-1]] % 10 < 2:
            drive.end(i, AttemptStatus.RESET, note=1)
            drive.give(contract.RequestWithdrawn(i))
        else:
            drive.give(contract.StreamStarted(i, 1, drive.sent[i][-1], 30 * MS), 30 * MS)
            drive.end(i, AttemptStatus.COMPLETED, final=True)
        assert not aside(drive)
    ill = drive.sent[199][-1]
    for i in range(200, 280):
        drive.ask(i, f"s{i}", f"p{i}")
        drive.end(i, AttemptStatus.PREFILLED)
        if drive.sent[i][-1] == ill:
            drive.end(i, AttemptStatus.RESET, note=1)
            drive.give(contract.RequestWithdrawn(i))
        else:
            drive.give(contract.StreamStarted(i, 1, drive.sent[i][-1], 30 * MS), 30 * MS)
            drive.end(i, AttemptStatus.COMPLETED, final=True)
    assert aside(drive) == {ill}


def test_a_read_overtaken_by_later_ones_is_called_off_and_one_in_a_queue_is_not() -> None:
    """Seen on an incident: reads waited 4.9 s on silent connections while their reader answered
    others.

    Where reads usually take long there may be a queue, so it takes some later ones; elsewhere one
    tells.
    """
    for usual_ms, later, expected in (
        (50, 0, True),  # while nothing was answered since, the old rule for silence holds instead
        (50, 1, True),
        (200, 1, False),
        (200, outlier_detection.OVERTAKEN_LIMIT - 1, False),
        (200, outlier_detection.OVERTAKEN_LIMIT, True),
    ):
        drive = Drive(fleet(readers=1))

        def serve(number: int, drive: Drive = drive, usual_ms: int = usual_ms) -> None:
            drive.ask(number, f"w{number}")
            drive.end(number, AttemptStatus.PREFILLED, usual_ms * MS, note=1_000)
            writer = drive.sent[number][-1]
            drive.give(contract.StreamStarted(number, 1, writer, 30 * MS), 30 * MS)
            drive.end(number, AttemptStatus.COMPLETED, final=True)

        for i in range(60):
            serve(i)
        drive.ask(100, "s")
        for i in range(later):
            drive.now += MS
            serve(101 + i)
        called = []
        for _ in range(60):
            drive.tick()
            called += [a.id for a in drive.last if isinstance(a, contract.CancelAttempt)]
        assert called == ([100] if expected else []), (usual_ms, later)


def test_what_was_called_off_leaves_a_server_out_only_briefly_among_many_routers() -> None:
    """Many routers call reads off for queues mostly: left out for long, homes lose their
    sessions' texts.
    """
    drive = Drive(routers=40, health_checks_allowed=True)
    home = drive.serve(1)
    drive.ask(2)
    drive.end(2, AttemptStatus.CANCELLED, 600 * MS)
    host = drive.router.servers[home]
    assert host.ejection_level and not host.is_healthy(drive.now)
    drive.now += outlier_detection.EJECTION_US
    drive.tick()
    assert contract.HealthCheck(home) in drive.last
    drive.give(contract.HealthCheckResult(home, True, 1 * MS))
    assert host.is_healthy(drive.now) and drive.ask(3) == home
    drive.end(3, AttemptStatus.TIMED_OUT, 600 * MS)
    assert not host.is_healthy(drive.now + outlier_detection.MAX_EJECTION_US - 1 * S), (
        "what timed out may be gone: left out for long"
    )


def test_a_cold_home_gets_the_same_sessions_at_all_routers_and_more_as_it_warms() -> None:
    """By a lot for each request a session's turns would alternate, and be read anew at each
    reader.
    """
    slow_start_duration_us, readers = 13 * S, fleet(4, 4)
    servers = [replace(s, started_us=1_000 * S) if s.id == "r0" else s for s in readers]
    drives = [
        Drive(
            servers,
            routers=40,
            ordinal=n,
            slow_start_duration_us=slow_start_duration_us,
            slow_start_initial_factor=0.25,
        )
        for n in (3, 17)
    ]
    went: dict[int, dict[str, set[str]]] = {}
    for after_us in (0, slow_start_duration_us // 2, slow_start_duration_us):
        rows = went[after_us] = {f"s{i}": set() for i in range(80)}
        for drive in drives:
            drive.now = 1_000 * S + after_us
            for session, readers_of in rows.items():
                ask = contract.Arrival(
                    1, "light", session, drive.now + 5 * S, 3_000, 300, f"p{session}", 2_000
                )
                request = request_state.RequestState(
                    ask, drive.router.admission.classes["light"], drive.now, 1.0
                )
                healthy = drive.router.pool.healthy(
                    drive.now, contract.Role.PREFILL, contract.Role.MIXED
                )
                eligible = drive.router.candidates.eligible(request, healthy, drive.now)
                ranked = rendezvous.rank_by_rendezvous(f"p{session}", eligible)
                matched, _ = drive.router.affinity.match(request, ranked, drive.now)
                readers_of.add(matched.id)
    assert all(len(of) == 1 for rows in went.values() for of in rows.values())
    cold, half, warm = ({s for s, of in rows.items() if of == {"r0"}} for rows in went.values())
    assert cold < half < warm and 2 * len(cold) < len(warm) >= 10


def test_fewer_reads_are_called_off_where_good_answers_are_slow() -> None:
    """In a jam of all readers what is read anew elsewhere makes it worse."""
    earned = []
    for slow in (0.1, 0.4, 1.0):
        drive = Drive(routers=40)
        drive.router.timeouts.credit, drive.router.admission.throttles["light"].objective_share = (
            0.0,
            slow,
        )
        for i in range(4):
            drive.ask(i, f"s{i}")
        earned.append(drive.router.timeouts.credit)
    assert (
        abs(earned[0] - 4 * attempt_timeouts.CANCELLATIONS_PER_REQUEST_MANY_ROUTERS) < 1e-9
        and 0 < earned[1] < earned[0]
        and earned[2] == 0
    )


def test_a_state_is_let_go_once_dials_have_taken_its_time() -> None:
    """Seen on a split day: 250 ms at one writer of a lost zone, 250 ms at the next, the state
    held.
    """
    drive = Drive(max_attempts=6)
    drive.ask(1)
    drive.end(1, AttemptStatus.PREFILLED)
    drive.end(1, AttemptStatus.UNREACHABLE, 150 * MS)
    assert [s[0] for s in drive.sent[1]] == ["r", "w", "w"], "one more dial fits"
    assert not [a for a in drive.last if isinstance(a, contract.ReleaseState)]
    drive.end(1, AttemptStatus.UNREACHABLE, 75 * MS)
    assert isinstance(drive.last[0], contract.ReleaseState) and drive.sent[1][-1][0] == "r", (
        "let go, and read anew"
    )
    drive.ask(2)
    drive.end(2, AttemptStatus.PREFILLED)
    drive.end(2, AttemptStatus.OVERLOADED, 400 * MS)
    drive.end(2, AttemptStatus.UNREACHABLE, 150 * MS)
    assert [s[0] for s in drive.sent[2]] == ["r", "w", "w", "w"], (
        "the first had arrived: the time began anew"
    )


def test_a_jam_at_writers_that_has_passed_keeps_nothing_from_being_sent() -> None:
    """Found on a drawn day of overload: after one jam of 2 s every request was refused for the
    rest of it.
    """
    drive = Drive()
    drive.ask(1)
    drive.end(1, AttemptStatus.PREFILLED)
    drive.give(contract.StreamStarted(1, 1, drive.sent[1][-1], 2_500 * MS), 2_500 * MS)
    drive.end(1, AttemptStatus.COMPLETED, final=True)
    assert drive.ask(100) is None, "no answer of its class would be in time just now"
    drive.now += 10 * latency_baselines.QUEUE_HALF_LIFE_US
    assert drive.ask(101) is not None, (
        "and none would ever show that the jam has passed, if none were sent"
    )


def test_what_can_wait_makes_nobody_late_that_is_worth_as_much() -> None:
    """Found on days of overload: long aims filled the readers' queues, and short ones were never
    in time.
    """
    classes = (
        contract.TrafficClass("patient", 3 * S, 9 * S, 1.0),
        contract.TrafficClass("urgent", S, 5 * S, 2.0),
    )
    # Among many routers it goes: what one of them holds back makes no queue shorter, as the others
    # fill it.
    for settings, routers, goes in (
        (classes, 2, False),
        (classes[:1], 2, True),
        (classes, 60, True),
    ):
        drive = Drive(fleet(2, 4), classes=settings, routers=routers)
        for host in drive.router.servers.values():
            host.us_per_token, host.sample_count, host.last_answer_us = (
                1.2 * S / (server_state.PREFILL_OVERHEAD_TOKENS + 3_000),
                3,
                drive.now,
            )
        assert (drive.ask(1, traffic_class="patient") is not None) is goes


def test_what_is_being_read_counts_among_what_writers_will_hold() -> None:
    """Found on an overloaded day: once writers had room for one, all that waited were read at
    once.
    """
    drive = Drive(fleet(4, 1), load_report_mode=contract.LoadReportMode.INLINE, routers=1)
    writer = drive.router.servers["w0"]
    writer.memory_utilization, writer.utilization_reported_us = (
        admission.MAX_UTILIZATION - admission.PRIORITY_SPAN - 0.1,
        drive.now,
    )
    went = [drive.ask(i, f"s{i}", f"p{i}", prompt_tokens=8_000) is not None for i in range(8)]
    assert went[0] and not any(went[4:]), "the first ones take the room that the report leaves"
    assert drive.router.requests.keys() == set(range(8)), "the others wait"


def test_a_send_that_was_held_back_here_gives_what_is_held_no_new_time() -> None:
    """Seen in reading: a writer that drains during the dial, or no descriptor for it, restarted
    the clock.
    """
    drive = Drive(release_within_us=300 * MS)
    drive.ask(1)
    drive.end(1, AttemptStatus.PREFILLED)
    for _ in range(2):
        assert not [a for a in drive.last if isinstance(a, contract.ReleaseState)]
        drive.end(1, AttemptStatus.NOT_SENT, 100 * MS)
    assert [a for a in drive.last if isinstance(a, contract.ReleaseState)], (
        "let go before its time is over"
    )
