"""Each defence against overload acts on its symptom and not on a healthy fleet."""

from collections import Counter
from dataclasses import replace

from helpers import MS, RouterDriver, S, make_endpoints

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


def serve_requests(
    driver: RouterDriver,
    faulty: set[str],
    slowdown: int = 1,
    status: AttemptStatus = AttemptStatus.PREFILLED,
    n: int = 120,
) -> list[str]:
    """Serve ``n`` requests one after another; return the prefill servers that were used.

    Prefills at ``faulty`` servers take ``slowdown`` times as long and end with ``status``.
    """
    used: list[str] = []
    first = 1_000 + len(driver.sent)
    for i in range(first, first + n):
        server = driver.submit(i, f"s{i}", f"p{i}", deadline_us=driver.now + 20 * S)
        driver.tick()
        while server and i not in driver.answers and driver.sent[i][-1].startswith("r"):
            used.append(driver.sent[i][-1])
            at_faulty = used[-1] in faulty
            driver.deliver_outcome(
                i,
                status if at_faulty else AttemptStatus.PREFILLED,
                50 * MS * (slowdown if at_faulty else 1),
            )
        if server and i not in driver.answers:
            driver.deliver(
                contract.StreamStarted(i, len(driver.sent[i]) - 1, driver.sent[i][-1], 30 * MS),
                30 * MS,
            )
            driver.deliver_outcome(i, AttemptStatus.COMPLETED, final=True)
    return used


def ejected(driver: RouterDriver) -> set[str]:
    return {server.id for server in driver.router.servers.values() if server.ejection_level}


def test_no_defence_acts_on_a_healthy_fleet() -> None:
    driver = RouterDriver()
    used = serve_requests(driver, set())
    assert not ejected(driver) and not driver.answers and len(used) == 120


def test_a_slow_server_that_answers_is_ejected() -> None:
    driver = RouterDriver()
    used = serve_requests(driver, {"r0"}, slowdown=8, n=240)
    assert used.count("r0") < 40 and ejected(driver) == {"r0"}


def test_servers_that_are_all_slow_are_not_ejected() -> None:
    driver = RouterDriver()
    serve_requests(driver, {"r0", "r1", "r2", "r3"}, slowdown=4)
    assert not ejected(driver)


def test_a_server_with_quick_errors_is_ejected_and_comes_back() -> None:
    driver = RouterDriver()
    used = serve_requests(driver, {"r1"}, status=AttemptStatus.ERROR)
    assert used.count("r1") < 15 and ejected(driver) == {"r1"} and not driver.answers
    driver.now += outlier_detection.MAX_EJECTION_US
    later = serve_requests(driver, set(), n=121)
    assert later.count("r1") > 15 and not ejected(driver)


def test_an_attempt_at_a_silent_server_is_cancelled_once_and_the_server_ejected() -> None:
    driver = RouterDriver()
    owner = driver.complete_request(1)
    driver.router.timeouts.credit = 1.0
    driver.submit(2)
    driver.tick(40)
    assert driver.sent[2] == [owner]
    assert (
        driver.router.requests[2].silence_deadline_us
        == driver.router.requests[2].arrival.deadline_us
    ), "cancelled, once"
    driver.deliver_outcome(2, AttemptStatus.CANCELLED)
    assert (
        driver.sent[2][1] != owner
        and ejected(driver) == {owner}
        and driver.router.servers[owner].is_unresponsive
    )


def test_cancellations_have_a_budget() -> None:
    """With 51 routers, cancelled prefills were restarted elsewhere until all servers had queues."""
    driver = RouterDriver(make_endpoints(4, 8))
    for i in range(50):
        driver.submit(i, f"s{i}", f"p{i}", prompt_tokens=9, max_tokens=9)
    cancelled = 0
    for _ in range(40):
        driver.tick()
        cancelled += sum(isinstance(a, contract.CancelAttempt) for a in driver.last_actions)
    assert 1 <= cancelled <= 50 * attempt_timeouts.CANCELLATIONS_PER_REQUEST + 1


def test_an_attempt_at_a_server_that_answers_others_is_not_cancelled() -> None:
    """Timeouts at servers with queues led to repeated prefills that overloaded all servers."""
    driver = RouterDriver()
    owner = driver.submit(1)
    driver.submit(2)
    for _ in range(30):
        driver.router.servers[str(owner)].last_answer_us = driver.now
        driver.tick()
        assert not [a for a in driver.last_actions if isinstance(a, contract.CancelAttempt)]


def test_ejected_servers_are_used_if_most_servers_are_ejected() -> None:
    driver = RouterDriver()
    for name in ("r0", "r1", "r2"):
        driver.router.servers[name].eject(driver.now, unresponsive=False)
    assert len({driver.submit(i, f"s{i}", f"p{i}") for i in range(30)} - {None}) == 4


def test_full_decode_servers_make_requests_wait_and_then_be_rejected_with_advice() -> None:
    driver = RouterDriver(load_report_mode=contract.LoadReportMode.INLINE)
    for server in driver.router.servers.values():
        server.memory_utilization, server.utilization_reported_us = 0.85, driver.now + 3 * S
    assert driver.submit(1, traffic_class="light") is None, "the lowest priority waits first"
    assert driver.submit(2, "t", traffic_class="heavy", deadline_us=driver.now + 9 * S) is not None
    driver.tick(60)
    assert driver.answers[1] == [contract.Reject(1, driver.settings.max_retry_after_us)]


def test_a_request_that_cannot_be_in_time_is_rejected_early() -> None:
    driver = RouterDriver()
    assert driver.submit(49, "v", "w") is not None
    for server in driver.router.servers.values():
        server.us_per_token, server.last_answer_us = 1 * MS, driver.now
    assert driver.submit(50, "x", "y") is None
    driver.tick(60)
    assert driver.answers[50]
    driver.now += 10 * S
    assert driver.submit(51, "x", "y") is not None, "an old measurement counts less and less"


def test_with_many_routers_decode_servers_near_the_prefill_server_are_checked_first() -> None:
    """With 145 routers, each got a report per server once a minute, and overloaded near servers."""
    driver = RouterDriver(
        make_endpoints(4, 12),
        routers=150,
        health_checks_allowed=True,
        load_report_mode=contract.LoadReportMode.ON_HEALTH_CHECK,
    )
    checked = []
    for i in range(4):
        near = driver.router.servers[str(driver.submit(i, f"s{i}", f"p{i}"))].endpoint
        checked += [a.server for a in driver.last_actions if isinstance(a, contract.HealthCheck)]
        if i == 0:
            assert driver.router.servers[checked[0]].endpoint.cell == near.cell
    assert len(checked) == len(set(checked)) and 4 <= len(checked) <= 8, "within the budget"
    assert not [
        a for a in RouterDriver(routers=150).last_actions if isinstance(a, contract.HealthCheck)
    ]


def test_a_server_that_rejects_one_class_is_passed_over_for_that_class_and_not_ejected() -> None:
    """Servers rejected one class above a rate, late, and accepted the others."""
    driver = RouterDriver()
    owner = driver.submit(1, traffic_class="light")
    driver.deliver_outcome(1, AttemptStatus.OVERLOADED)
    assert driver.sent[1][1] != owner and not ejected(driver)
    assert driver.submit(2, traffic_class="light") != owner, (
        "the class avoids the server for a while"
    )
    assert driver.submit(3, traffic_class="heavy") == owner, "other classes do not"
    driver.now += candidates.OVERLOAD_COOLDOWN_US
    assert driver.submit(4, traffic_class="light") == owner


def test_no_new_prefill_is_sent_after_the_latency_objective() -> None:
    """With 51 routers, prefills that were late already were repeated and lengthened the queues."""
    driver = RouterDriver()
    driver.submit(1)
    driver.deliver_outcome(1, AttemptStatus.TIMED_OUT, 1 * S)
    assert len(driver.sent[1]) == 2, "in time: another prefill server is tried"
    driver.deliver_outcome(1, AttemptStatus.TIMED_OUT, 1 * S)
    assert len(driver.sent[1]) == 2 and driver.answers[1]
    driver.submit(2, "t", "q")
    driver.deliver_outcome(2, AttemptStatus.PREFILLED, 2 * S)
    driver.deliver_outcome(2, AttemptStatus.OVERLOADED)
    assert len(driver.sent[2]) == 3, "an existing state is still fetched"


def test_with_many_routers_the_first_ejection_is_long() -> None:
    """An ejection of 1.5 s has no effect where a router uses a server twice a minute."""
    few, many = RouterDriver(), RouterDriver(routers=60)
    for driver in (few, many):
        driver.router.servers["r0"].eject(driver.now, unresponsive=False)
    assert (
        many.router.servers["r0"].ejected_until_us - few.router.servers["r0"].ejected_until_us
        > 5 * S
    )


def test_requests_of_a_tenant_over_its_quota_have_a_lower_priority() -> None:
    driver = RouterDriver(
        tenants=(contract.Tenant("a", 2.0), contract.Tenant("b", 2.0)), over_quota_weight=0.05
    )
    for i in range(10):
        driver.submit(i, f"s{i}", f"p{i}", tenant="a")
    driver.submit(20, "s", tenant="b")
    requests = driver.router.requests
    assert requests[0].priority == requests[20].priority == 0.5
    assert requests[9].priority < 0.05


def test_streams_are_projected_where_reports_are_late_or_missing() -> None:
    driver = RouterDriver(
        make_endpoints(4, 2), load_report_mode=contract.LoadReportMode.INLINE, routers=1
    )
    w0, w1 = driver.router.servers["w0"], driver.router.servers["w1"]
    w0.memory_utilization, w0.utilization_reported_us = (
        0.1,
        driver.now - memory_projection.REPORT_HALF_LIFE_US - 1,
    )
    w0.streams = dict.fromkeys(range(3), (driver.now - S, 30000))
    projected = memory_projection.projected_utilization([w0, w1], driver.settings, driver.now)
    assert projected[w0] > 0.5 and abs(projected[w1] - 0.1) < 1e-9


def test_a_restarted_server_has_no_history() -> None:
    driver = RouterDriver()
    server = driver.complete_request(1)
    driver.deliver(
        contract.EndpointUpdate(
            contract.EndpointUpdateForm.DELTA,
            (contract.Endpoint(server, "r", "z0", 0, driver.now),),
        )
    )
    assert (
        driver.router.servers[server].slow_start_factor(driver.now)
        == driver.settings.slow_start_initial_factor
    )
    driver.submit(2)
    assert "s|s" not in driver.router.affinity.entries


def test_a_health_check_must_pass_before_a_trial() -> None:
    driver = RouterDriver(health_checks_allowed=True)
    server = driver.router.servers["r0"]
    server.eject(driver.now, unresponsive=True)
    driver.now += outlier_detection.EJECTION_US
    driver.tick()
    assert contract.HealthCheck("r0") in driver.last_actions and not server.is_healthy(driver.now)
    driver.deliver(contract.HealthCheckResult("r0", True, 1 * MS))
    assert server.is_healthy(driver.now)


def test_a_replacement_that_leaves_no_warm_server_still_gets_work() -> None:
    """Incident ic9ca78: all replacements were in slow start, and each got one send per window."""
    driver = RouterDriver(make_endpoints(3, 8), overload_window_us=3 * S)
    for i in range(60):
        driver.complete_request(i, f"s{i}", f"p{i}")
        if i == 40:
            fresh = contract.Endpoint("r1", "r", "z0", 0, driver.now)
            driver.deliver(contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, (fresh,)))
    driver.now += 3 * S
    fresh_all = tuple(contract.Endpoint(f"r{i}", "r", "z0", 0, driver.now) for i in range(3))
    driver.deliver(contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, fresh_all))
    sent = sum(driver.submit(i, f"s{i}", f"p{i}") is not None for i in range(100, 130))
    assert 3 < sent <= 30


def test_a_state_in_an_unreachable_zone_is_released_when_no_decode_server_can_fetch_it() -> None:
    """With a zone cut off, a state stayed reserved after its fetch failed and its request ended."""
    driver = RouterDriver(max_attempts=3)
    driver.submit(1)
    driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    actions = driver.deliver_outcome(1, AttemptStatus.OVERLOADED, note=1)
    assert contract.ReleaseState(1) in actions and driver.answers[1]


def cells(*sizes: tuple[int, int]) -> tuple[contract.Endpoint, ...]:
    """Return cells of one zone with these numbers of prefill and decode servers."""
    return tuple(
        contract.Endpoint(f"{kind}{cell}{i}", kind, "z0", cell)
        for cell, counts in enumerate(sizes)
        for kind, count in zip("rw", counts, strict=True)
        for i in range(count)
    )


def share_kept_in_cell(
    sizes: list[tuple[int, int]], cell: int, interval_us: int, n: int = 400
) -> float:
    """Return the share of a cell's states placed in that cell, with 191 routers without reports."""
    driver = RouterDriver(cells(*sizes), routers=191)
    near = prefilled = 0
    for i in range(n):
        driver.submit(
            i,
            f"s{i}",
            f"p{i}",
            prompt_tokens=6_000,
            max_tokens=200,
            deadline_us=driver.now + 60 * S,
        )
        driver.deliver_outcome(i, AttemptStatus.PREFILLED, 20 * MS)
        driver.deliver(contract.StreamStarted(i, 1, driver.sent[i][1], 30 * MS), interval_us)
        if i >= 6:  # six streams run at a time
            driver.deliver_outcome(i - 6, AttemptStatus.COMPLETED, final=True)
        prefill_cell = driver.router.servers[driver.sent[i][0]].endpoint.cell
        if prefill_cell == cell:
            prefilled, near = (
                prefilled + 1,
                near + (driver.router.servers[driver.sent[i][1]].endpoint.cell == cell),
            )
    return near / prefilled


def test_few_decode_servers_near_many_prefill_servers_are_not_overloaded() -> None:
    """In case L7ff7c3 with 191 routers, cells with 3 prefill and 2 decode servers were overloaded.

    Each router saw those decode servers as empty, while others were idle.
    """
    assert share_kept_in_cell([(3, 2), (1, 4), (1, 4)] * 4, 0, S) < 0.5


def test_states_stay_near_in_cells_with_enough_decode_servers() -> None:
    assert share_kept_in_cell([(2, 3)] * 12, 0, S) > 0.85
    assert share_kept_in_cell([(3, 2), (1, 4), (1, 4)] * 4, 1, S) > 0.85


def rejected_at_once(
    driver: RouterDriver,
    first: int,
    n: int,
    interval_us: int,
    prefill_us: int,
    traffic_class: str = "light",
) -> int:
    """Send requests at a fixed interval; return how many were rejected at once."""
    rejected = 0
    for i in range(first, first + n):
        server = driver.submit(
            i, f"s{i}", f"p{i}", traffic_class=traffic_class, deadline_us=driver.now + 8 * S
        )
        rejected += server is None and i in driver.answers
        if server:
            driver.deliver_outcome(i, AttemptStatus.PREFILLED, prefill_us)
            driver.deliver(contract.StreamStarted(i, 1, driver.sent[i][1], 30 * MS), 30 * MS)
            driver.deliver_outcome(i, AttemptStatus.COMPLETED, final=True)
        driver.now += interval_us
    return rejected


def test_late_answers_cause_rejections_at_once_which_end_with_the_overload() -> None:
    """In case L7ff7c3, late answers, repeated prefills and retries kept up an overload.

    No load report showed it.
    """
    driver = RouterDriver(routers=191)
    assert rejected_at_once(driver, 0, 30, 500 * MS, 40 * MS) == 0, "inactive on a healthy fleet"
    for server in driver.router.servers.values():
        server.sample_count = 0  # only the outcomes of requests count, not the measured times
    rejected = rejected_at_once(driver, 100, 60, 100 * MS, 2 * S)
    assert rejected > 20, "requests that would be late cause no more work"
    rejected_at_once(driver, 200, 120, 500 * MS, 40 * MS)
    assert rejected_at_once(driver, 400, 30, 500 * MS, 40 * MS) == 0, "the rejections end"


def test_the_highest_priority_is_throttled_less_and_no_class_for_outcomes_of_another() -> None:
    throttle = admission.AdaptiveThrottle()
    throttle.objective_share = 1.0
    for i in range(20):
        throttle.record(i, in_time=i % 2 == 1)
    assert throttle.shed_probability(20, 0.1) > 0.3 and throttle.shed_probability(20, 1.0) <= 0
    driver = RouterDriver(routers=191)
    for _ in range(20):
        driver.router.admission.throttles["light"].record(driver.now, in_time=False)
    assert driver.submit(1, traffic_class="heavy") is not None


def test_a_throttled_class_is_tried_again_within_seconds() -> None:
    driver = RouterDriver(routers=191)
    driver.router.admission.throttles["light"].objective_share = 1.0
    for _ in range(50):
        driver.router.admission.throttles["light"].record(driver.now, in_time=False)
    assert (
        driver.router.admission.throttles["light"].shed_probability(driver.now, 0.5)
        == admission.MAX_SHED_PROBABILITY
    )
    assert sum(driver.submit(i, f"s{i}") is not None for i in range(60)) >= 2, (
        "some requests are sent in the worst overload"
    )


def test_lost_answers_do_not_throttle_a_class_while_others_are_quick() -> None:
    """A third of the answers of most servers was lost, and rejecting requests saved nothing."""
    throttle = admission.AdaptiveThrottle()
    for i in range(40):
        throttle.record(i, in_time=i % 2 == 1)
        throttle.record_latency(0.15)
    assert throttle.shed_probability(40, 0.1) <= 0


def owner_count(driver: RouterDriver, prefix: str, first: int) -> int:
    """Return the number of prefill servers used by new sessions with this prefix."""
    servers = set()
    for i in range(first, first + 60):
        servers.add(driver.submit(i, f"t{i}", prefix, prompt_tokens=100))
        driver.deliver_outcome(i, AttemptStatus.ERROR, 1 * MS, final=True)
        driver.router.servers[driver.sent[i][0]].failure_rate = 0.0  # the failure is not under test
        driver.router.affinity.recent_prefixes.pop()
    return len(servers)


def test_a_prefix_that_is_certainly_popular_has_more_owners_and_others_have_four() -> None:
    """With 145 routers, two owners of one prefix were overloaded while other servers were idle."""
    driver = RouterDriver(make_endpoints(24, 4), routers=145)
    driver.router.affinity.recent_prefixes.extend(["hot"] * 10 + [f"p{i % 12}" for i in range(20)])
    assert owner_count(driver, "hot", 0) == 8, (
        "a third of all requests: each owner gets an even share of all"
    )
    assert owner_count(driver, "p1", 100) == prefix_affinity.MIN_OWNERS
    assert owner_count(driver, "unheard", 200) == prefix_affinity.MIN_OWNERS
    few = RouterDriver(make_endpoints(24, 4))
    few.router.affinity.recent_prefixes.extend(["hot"] * 10)
    assert owner_count(few, "hot", 0) == 1


def test_routers_that_saw_a_popular_prefix_more_or_less_often_agree_on_its_owners() -> None:
    """The turns of a session reach different routers.

    If those count different owners, the session's prompts are prefilled again.
    """
    owner_counts = set()
    for count in range(6):  # of 30 recent requests, where a tenth is expected
        driver = RouterDriver(make_endpoints(24, 4), routers=40)
        driver.router.affinity.recent_prefixes.extend(
            ["warm"] * count + [f"p{i}" for i in range(30 - count)]
        )
        owner_counts.add(owner_count(driver, "warm", 0))
    assert owner_counts == {prefix_affinity.MIN_OWNERS}


def test_after_signs_of_a_queue_one_more_prefill_server_is_tried_and_after_errors_more() -> None:
    """In cases i51a683 and i047fef, each request tried up to five full servers.

    That kept up the overload.
    """
    for status, attempts in (
        (AttemptStatus.OVERLOADED, 2),
        (AttemptStatus.TIMED_OUT, 2),
        (AttemptStatus.ERROR, 4),
    ):
        driver = RouterDriver(make_endpoints(8, 4), max_attempts=5)
        driver.submit(1)
        while 1 not in driver.answers:
            driver.deliver_outcome(1, status, 1 * MS)
        assert len(driver.sent[1]) == attempts


def test_a_throttle_acts_on_few_recorded_requests() -> None:
    """In case i047fef, 249 routers each had recorded few requests of a class.

    They let a third of an overload through.
    """
    throttle = admission.AdaptiveThrottle()
    throttle.objective_share = 1.0
    for i in range(3):
        throttle.record(i, in_time=False)
    assert throttle.shed_probability(3, 0.5) == admission.MAX_SHED_PROBABILITY
    for i in range(20):
        throttle.record(3 + i, in_time=True)
    assert throttle.shed_probability(23, 0.5) <= 0


def test_mixed_servers_own_no_more_prefixes_than_their_share_of_the_answers() -> None:
    """Four mixed servers took half of all requests although there were seven decode servers."""
    owners = [RouterDriver(make_endpoints(3, 6, 3)).submit(1, "s", f"p{i}") for i in range(300)]
    assert 0.22 < sum(str(owner).startswith("m") for owner in owners) / 300 < 0.44


def test_a_mixed_server_fuller_than_the_decode_servers_gets_no_new_prefill() -> None:
    """The owner of a popular prefix was a mixed server, and its streams began far too late."""
    driver = RouterDriver(make_endpoints(2, 4, 2))
    prefix = next(
        f"p{i}"
        for i in range(99)
        if str(RouterDriver(make_endpoints(2, 4, 2)).submit(1, "s", f"p{i}")) == "m0"
    )
    servers = driver.router.servers
    servers["m0"].streams = {900 + i: (driver.now, 3_000) for i in range(20)}
    assert driver.submit(1, "s", prefix) != "m0"
    for name in ("w0", "w1", "w2", "w3"):
        servers[name].streams = {900 + i: (driver.now, 3_000) for i in range(20)}
    assert driver.submit(2, "t", prefix) == "m0", "all are as full: the owner is kept"


def test_a_broken_answer_shows_that_its_state_is_gone() -> None:
    """Guards against an attempt for a state that was fetched already, which is rejected as full."""
    driver = RouterDriver()
    driver.submit(1)
    driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    driver.deliver_outcome(1, AttemptStatus.RESET, note=1)
    assert driver.sent[1][2].startswith("r"), "the prompt is prefilled again"
    driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    assert driver.sent[1][3].startswith("w")


def test_expired_prefixes_are_removed_from_the_table() -> None:
    """The keys of all sessions stayed up to the table's limit, although expired keys are unused."""
    driver = RouterDriver()
    for i in range(200):
        driver.complete_request(i, f"s{i}", f"p{i}")
        driver.now += S
    assert len(driver.router.affinity.entries) <= 2 * (prefix_affinity.ENTRY_TTL_US // S + 1)


def test_invalid_requests_eject_no_server() -> None:
    """With faulty clients, 5,607 attempts ended with 400, and prefill servers were ejected."""
    driver = RouterDriver()
    for i in range(20):
        driver.submit(i)
        driver.deliver_outcome(i, AttemptStatus.INVALID_REQUEST)
        assert [type(a) for a in driver.answers[i]] == [contract.Fail] and len(driver.sent[i]) == 1
    assert not ejected(driver)


def test_broken_answers_eject_one_faulty_server_but_not_all_servers_alike() -> None:
    """With broken streams everywhere, three of fourteen healthy servers were ejected at a time."""
    driver, answers_by_server = RouterDriver(), Counter[str]()
    for i in range(200):
        driver.submit(i, f"s{i}", f"p{i}")
        driver.deliver_outcome(i, AttemptStatus.PREFILLED)
        answers_by_server[driver.sent[i][-1]] += 1
        if answers_by_server[driver.sent[i][-1]] % 10 < 2:
            driver.deliver_outcome(i, AttemptStatus.RESET, note=1)
            driver.deliver(contract.RequestWithdrawn(i))
        else:
            driver.deliver(contract.StreamStarted(i, 1, driver.sent[i][-1], 30 * MS), 30 * MS)
            driver.deliver_outcome(i, AttemptStatus.COMPLETED, final=True)
        assert not ejected(driver)
    faulty = driver.sent[199][-1]
    for i in range(200, 280):
        driver.submit(i, f"s{i}", f"p{i}")
        driver.deliver_outcome(i, AttemptStatus.PREFILLED)
        if driver.sent[i][-1] == faulty:
            driver.deliver_outcome(i, AttemptStatus.RESET, note=1)
            driver.deliver(contract.RequestWithdrawn(i))
        else:
            driver.deliver(contract.StreamStarted(i, 1, driver.sent[i][-1], 30 * MS), 30 * MS)
            driver.deliver_outcome(i, AttemptStatus.COMPLETED, final=True)
    assert ejected(driver) == {faulty}


def test_a_prefill_overtaken_by_later_ones_is_cancelled_and_a_queued_one_is_not() -> None:
    """Prefills waited 4.9 s on silent connections while their server answered others.

    Where prefills take long there may be a queue, so several later answers are needed to cancel;
    elsewhere one is enough.
    """
    for prefill_ms, later, expected in (
        (50, 0, True),  # with no later answer, the attempt is cancelled for silence
        (50, 1, True),
        (200, 1, False),
        (200, outlier_detection.OVERTAKEN_LIMIT - 1, False),
        (200, outlier_detection.OVERTAKEN_LIMIT, True),
    ):
        driver = RouterDriver(make_endpoints(prefill_servers=1))

        def serve(number: int, driver: RouterDriver = driver, prefill_ms: int = prefill_ms) -> None:
            driver.submit(number, f"w{number}")
            driver.deliver_outcome(number, AttemptStatus.PREFILLED, prefill_ms * MS, note=1_000)
            decode_server = driver.sent[number][-1]
            driver.deliver(contract.StreamStarted(number, 1, decode_server, 30 * MS), 30 * MS)
            driver.deliver_outcome(number, AttemptStatus.COMPLETED, final=True)

        for i in range(60):
            serve(i)
        driver.submit(100, "s")
        for i in range(later):
            driver.now += MS
            serve(101 + i)
        cancelled = []
        for _ in range(60):
            driver.tick()
            cancelled += [
                a.id for a in driver.last_actions if isinstance(a, contract.CancelAttempt)
            ]
        assert cancelled == ([100] if expected else []), (prefill_ms, later)


def test_a_cancelled_attempt_ejects_a_server_only_briefly_with_many_routers() -> None:
    """Many routers cancel prefills mostly because of queues.

    A long ejection would lose the prefixes that the owner has cached for its sessions.
    """
    driver = RouterDriver(routers=40, health_checks_allowed=True)
    owner = driver.complete_request(1)
    driver.submit(2)
    driver.deliver_outcome(2, AttemptStatus.CANCELLED, 600 * MS)
    server = driver.router.servers[owner]
    assert server.ejection_level and not server.is_healthy(driver.now)
    driver.now += outlier_detection.EJECTION_US
    driver.tick()
    assert contract.HealthCheck(owner) in driver.last_actions
    driver.deliver(contract.HealthCheckResult(owner, True, 1 * MS))
    assert server.is_healthy(driver.now) and driver.submit(3) == owner
    driver.deliver_outcome(3, AttemptStatus.TIMED_OUT, 600 * MS)
    assert not server.is_healthy(driver.now + outlier_detection.MAX_EJECTION_US - 1 * S), (
        "after a timeout the server may be gone: a long ejection"
    )


def test_an_owner_in_slow_start_gets_the_same_sessions_at_all_routers_and_more_as_it_warms() -> (
    None
):
    """Sampling by request would alternate a session's turns, each prefilled again at its server."""
    slow_start_duration_us, endpoints = 13 * S, make_endpoints(4, 4)
    servers = [replace(s, started_us=1_000 * S) if s.id == "r0" else s for s in endpoints]
    drives = [
        RouterDriver(
            servers,
            routers=40,
            ordinal=n,
            slow_start_duration_us=slow_start_duration_us,
            slow_start_initial_factor=0.25,
        )
        for n in (3, 17)
    ]
    chosen: dict[int, dict[str, set[str]]] = {}
    for after_us in (0, slow_start_duration_us // 2, slow_start_duration_us):
        by_session = chosen[after_us] = {f"s{i}": set() for i in range(80)}
        for driver in drives:
            driver.now = 1_000 * S + after_us
            for session, session_servers in by_session.items():
                arrival = contract.Arrival(
                    1, "light", session, driver.now + 5 * S, 3_000, 300, f"p{session}", 2_000
                )
                request = request_state.RequestState(
                    arrival, driver.router.admission.classes["light"], driver.now, 1.0
                )
                healthy = driver.router.pool.healthy(
                    driver.now, contract.Role.PREFILL, contract.Role.MIXED
                )
                eligible = driver.router.candidates.eligible(request, healthy, driver.now)
                ranked = rendezvous.rank_by_rendezvous(f"p{session}", eligible)
                matched, _ = driver.router.affinity.match(request, ranked, driver.now)
                session_servers.add(matched.id)
    assert all(len(ids) == 1 for by_session in chosen.values() for ids in by_session.values())
    cold, half, warm = (
        {session for session, ids in by_session.items() if ids == {"r0"}}
        for by_session in chosen.values()
    )
    assert cold < half < warm and 2 * len(cold) < len(warm) >= 10


def test_fewer_cancellations_are_earned_while_answers_are_slow() -> None:
    """If all prefill servers are overloaded, prefills repeated elsewhere make it worse."""
    earned = []
    for objective_share in (0.1, 0.4, 1.0):
        driver = RouterDriver(routers=40)
        (
            driver.router.timeouts.credit,
            driver.router.admission.throttles["light"].objective_share,
        ) = (
            0.0,
            objective_share,
        )
        for i in range(4):
            driver.submit(i, f"s{i}")
        earned.append(driver.router.timeouts.credit)
    assert (
        abs(earned[0] - 4 * attempt_timeouts.CANCELLATIONS_PER_REQUEST_MANY_ROUTERS) < 1e-9
        and 0 < earned[1] < earned[0]
        and earned[2] == 0
    )


def test_a_state_is_released_once_failed_connections_have_used_up_its_time() -> None:
    """With a zone cut off, two decode servers took 250 ms each to fail while the state was held."""
    driver = RouterDriver(max_attempts=6)
    driver.submit(1)
    driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    driver.deliver_outcome(1, AttemptStatus.UNREACHABLE, 150 * MS)
    assert [s[0] for s in driver.sent[1]] == ["r", "w", "w"], "there is time for one more"
    assert not [a for a in driver.last_actions if isinstance(a, contract.ReleaseState)]
    driver.deliver_outcome(1, AttemptStatus.UNREACHABLE, 75 * MS)
    assert (
        isinstance(driver.last_actions[0], contract.ReleaseState) and driver.sent[1][-1][0] == "r"
    ), "released, and prefilled again"
    driver.submit(2)
    driver.deliver_outcome(2, AttemptStatus.PREFILLED)
    driver.deliver_outcome(2, AttemptStatus.OVERLOADED, 400 * MS)
    driver.deliver_outcome(2, AttemptStatus.UNREACHABLE, 150 * MS)
    assert [s[0] for s in driver.sent[2]] == ["r", "w", "w", "w"], (
        "the first attempt was received: its time started over"
    )


def test_a_past_queue_at_decode_servers_does_not_block_requests() -> None:
    """After a queue of 2 s at the decode servers, every later request was rejected."""
    driver = RouterDriver()
    driver.submit(1)
    driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    driver.deliver(contract.StreamStarted(1, 1, driver.sent[1][-1], 2_500 * MS), 2_500 * MS)
    driver.deliver_outcome(1, AttemptStatus.COMPLETED, final=True)
    assert driver.submit(100) is None, "no answer of its class would be in time now"
    driver.now += 10 * latency_baselines.QUEUE_HALF_LIFE_US
    assert driver.submit(101) is not None, (
        "unless a request is sent, nothing shows that the queue is gone"
    )


def test_a_long_objective_does_not_make_equal_priorities_with_a_short_one_late() -> None:
    """In overload, classes with long objectives filled the queues of the prefill servers.

    Those with short objectives were never in time.
    """
    classes = (
        contract.TrafficClass("patient", 3 * S, 9 * S, 1.0),
        contract.TrafficClass("urgent", S, 5 * S, 2.0),
    )
    # With many routers the request is sent: what one of them delays makes no queue shorter, as the
    # others fill it.
    for settings, routers, is_sent in (
        (classes, 2, False),
        (classes[:1], 2, True),
        (classes, 60, True),
    ):
        driver = RouterDriver(make_endpoints(2, 4), classes=settings, routers=routers)
        for server in driver.router.servers.values():
            server.us_per_token, server.sample_count, server.last_answer_us = (
                1.2 * S / (server_state.PREFILL_OVERHEAD_TOKENS + 3_000),
                3,
                driver.now,
            )
        assert (driver.submit(1, traffic_class="patient") is not None) is is_sent


def test_prefills_in_progress_count_as_future_memory_of_decode_servers() -> None:
    """Once decode servers had memory for one request, all that waited were prefilled at once."""
    driver = RouterDriver(
        make_endpoints(4, 1), load_report_mode=contract.LoadReportMode.INLINE, routers=1
    )
    decode_server = driver.router.servers["w0"]
    decode_server.memory_utilization, decode_server.utilization_reported_us = (
        admission.MAX_UTILIZATION - admission.PRIORITY_SPAN - 0.1,
        driver.now,
    )
    sent = [driver.submit(i, f"s{i}", f"p{i}", prompt_tokens=8_000) is not None for i in range(8)]
    assert sent[0] and not any(sent[4:]), "the first requests take the reported free memory"
    assert driver.router.requests.keys() == set(range(8)), "the others wait"


def test_an_attempt_that_was_not_sent_does_not_extend_the_time_of_a_held_state() -> None:
    """A server that drained while connecting, or a lack of descriptors, restarted that time."""
    driver = RouterDriver(release_within_us=300 * MS)
    driver.submit(1)
    driver.deliver_outcome(1, AttemptStatus.PREFILLED)
    for _ in range(2):
        assert not [a for a in driver.last_actions if isinstance(a, contract.ReleaseState)]
        driver.deliver_outcome(1, AttemptStatus.NOT_SENT, 100 * MS)
    assert [a for a in driver.last_actions if isinstance(a, contract.ReleaseState)], (
        "released before its time is over"
    )
