"""The normal path of a request, step by step, as the design page describes it."""

from helpers import MS, RouterDriver, S, make_endpoints

from onyxpass.scheduling import (
    contract,
    decode_placement,
    memory_projection,
    prefill_selection,
    prefix_affinity,
)


def test_all_routers_agree_on_owners_and_a_server_that_leaves_moves_only_its_own_keys() -> None:
    owners = {p: RouterDriver(ordinal=0).submit(1, "a", p) for p in map(str, range(60))}
    assert owners == {p: RouterDriver(ordinal=1).submit(9, "b", p) for p in map(str, range(60))}
    assert len(set(owners.values())) == 4
    without_r3 = {p: RouterDriver(make_endpoints(3)).submit(1, "a", p) for p in map(str, range(60))}
    assert all(without_r3[p] == owner for p, owner in owners.items() if owner != "r3")


def test_without_a_shared_prefix_the_session_is_hashed() -> None:
    assert len({RouterDriver().submit(1, f"s{i}", None) for i in range(40)}) == 4


def test_a_session_takes_precedence_over_a_shared_prefix_and_a_prefill_stores_both() -> None:
    driver = RouterDriver()
    first = driver.complete_request(1, "s1", "p1")
    table = driver.router.affinity.entries
    assert table["s|s1"][0].id == table["p|p1"][0].id == first
    other = next(
        server
        for server in driver.router.servers.values()
        if server.id.startswith("r") and server.id != first
    )
    table["s|s1"] = (other, driver.now, 3_000)
    assert driver.submit(2, "s1", "p1") == other.id
    assert driver.submit(3, "s-new", "p1") == first


def test_with_many_routers_a_prefix_has_a_few_owners_and_a_session_one() -> None:
    """With 47 and more routers, none saw the queue at the only owner of a popular prefix."""
    chosen = {
        (o, s): RouterDriver(routers=60, ordinal=o).submit(1, f"s{s}", "p1")
        for o in range(3)
        for s in range(12)
    }
    assert all(chosen[0, s] == chosen[1, s] == chosen[2, s] for s in range(12))
    assert len(set(chosen.values())) == prefix_affinity.MIN_OWNERS
    for s in range(12):
        driver = RouterDriver(routers=60)
        driver.complete_request(1, "s1", "p1")
        assert driver.submit(2, f"s{s}", "p1") == chosen[0, s], "a known prefix too"


def test_one_stream_of_a_router_is_not_multiplied_by_the_number_of_routers() -> None:
    """With 47 and more routers, one stream made all decode servers look full."""
    assert memory_projection.estimate_all_routers([5_000], 150) == 5_000
    assert memory_projection.estimate_all_routers([1_000] * 100, 3) > 250_000
    driver = RouterDriver(routers=150)
    assert all(driver.submit(i, f"s{i}", f"p{i}") for i in range(4))


def test_routers_prefer_different_servers_among_equal_decode_servers() -> None:
    first_choices = set()
    for ordinal in range(12):
        driver = RouterDriver(routers=60, ordinal=ordinal)
        driver.submit(1)
        driver.deliver_outcome(1, contract.AttemptStatus.PREFILLED)
        first_choices.add(driver.sent[1][1])
    assert len(first_choices) > 1


def test_entries_expire_and_the_table_is_capped(monkeypatch: object) -> None:
    driver = RouterDriver()
    driver.complete_request(1, "s1", "p1")
    driver.now += prefix_affinity.ENTRY_TTL_US + S
    driver.submit(2, "s1", "p1")
    assert "s|s1" not in driver.router.affinity.entries
    original, prefix_affinity.MAX_ENTRIES = prefix_affinity.MAX_ENTRIES, 6
    try:
        for i in range(10, 20):
            driver.complete_request(i, f"s{i}", "p1")
        assert len(driver.router.affinity.entries) == 6
        assert (
            "p|p1" in driver.router.affinity.entries
            and "s|s10" not in driver.router.affinity.entries
        )
    finally:
        prefix_affinity.MAX_ENTRIES = original


def test_a_match_above_both_limits_is_passed_over_for_the_least_busy_server() -> None:
    driver = RouterDriver()
    chosen = [driver.submit(i, f"s{i}", "p1") for i in range(1, 10)]
    limit = int(prefill_selection.MIN_QUEUE_EXCESS) + 1
    assert set(chosen[:limit]) == {chosen[0]}, "the match is kept up to the absolute limit"
    assert chosen[limit] != chosen[0] and len(set(chosen)) == 4, "then the least busy is chosen"


def test_the_nearest_decode_server_is_chosen_unless_well_above_the_lowest_utilization() -> None:
    servers = RouterDriver().router.servers
    utilization = {servers[f"w{i}"]: share for i, share in enumerate((0.30, 0.25, 0.32, 0.5))}
    near = servers["r0"].endpoint
    assert decode_placement.place_near(utilization, near).id == "w0"
    utilization[servers["w0"]] = utilization[servers["w2"]] = (
        0.25 + decode_placement.NEAR_EXCESS_UTILIZATION + 0.01
    )
    assert decode_placement.place_near(utilization, near).id == "w1"


def test_the_projection_counts_the_report_the_average_and_later_streams() -> None:
    driver = RouterDriver(routers=1, load_report_mode=contract.LoadReportMode.INLINE)
    w0, w1 = driver.router.servers["w0"], driver.router.servers["w1"]
    w0.memory_utilization, w0.utilization_reported_us = 0.4, driver.now
    w0.streams = {1: (driver.now + 1, 15_000), 2: (driver.now - 5 * S, 15_000)}
    projected = memory_projection.projected_utilization([w0, w1], driver.settings, driver.now)
    assert abs(projected[w0] - 0.5) < 1e-9 and abs(projected[w1] - 0.4) < 1e-9


def test_an_old_report_fades_to_the_average() -> None:
    """With 130 and more routers, near decode servers without new reports were overloaded."""
    driver = RouterDriver(routers=150, load_report_mode=contract.LoadReportMode.INLINE)
    w0, w1 = driver.router.servers["w0"], driver.router.servers["w1"]
    (
        w0.memory_utilization,
        w0.utilization_reported_us,
        w1.memory_utilization,
        w1.utilization_reported_us,
    ) = (
        0.8,
        driver.now - memory_projection.REPORT_HALF_LIFE_US,
        0.2,
        driver.now,
    )
    projected = memory_projection.projected_utilization([w0, w1], driver.settings, driver.now)
    assert projected[w1] == 0.2 and 0.4 < projected[w0] < 0.7


def test_the_decode_server_is_chosen_after_the_prefill_with_the_expected_length() -> None:
    driver = RouterDriver()
    driver.submit(1, expected_stream_us=6 * S)
    assert len(driver.sent[1]) == 1
    driver.deliver_outcome(1, contract.AttemptStatus.PREFILLED)
    decode_server = driver.router.servers[driver.sent[1][1]]
    assert decode_server.streams[1][1] == 3_000 + 100
    driver.submit(2, "t")
    assert driver.router.requests[2].decode_tokens == 3_000 + 150


def test_a_mixed_server_prefills_and_answers_a_request_and_stores_its_prefix() -> None:
    driver = RouterDriver(make_endpoints(0, 0, 3))
    server = driver.submit(1)
    assert server and server.startswith("m")
    driver.deliver(contract.StreamStarted(1, 0, server, 40 * MS), 40 * MS)
    assert driver.router.affinity.entries["s|s"][0].id == server
    driver.deliver_outcome(1, contract.AttemptStatus.COMPLETED, final=True)
    assert driver.sent[1] == [server] and not driver.answers


def test_decode_servers_prefill_only_if_allowed_and_no_prefill_server_is_left() -> None:
    assert RouterDriver(make_endpoints(0, 3), decode_servers_prefill=True).submit(1) in {
        "w0",
        "w1",
        "w2",
    }
    driver = RouterDriver(make_endpoints(0, 3))
    assert driver.submit(1) is None
    assert RouterDriver(make_endpoints(1, 3), decode_servers_prefill=True).submit(1) == "r0"
