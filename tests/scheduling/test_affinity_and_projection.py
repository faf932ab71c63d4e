"""The ordinary path, step by step, as the design page words it."""

from helpers import MS, Drive, S, fleet

from onyxpass.scheduling import (
    contract,
    decode_placement,
    memory_projection,
    prefill_selection,
    prefix_affinity,
)


def test_hash_home_is_shared_by_all_routers_and_moves_only_its_own_keys() -> None:
    homes = {p: Drive(ordinal=0).ask(1, "a", p) for p in map(str, range(60))}
    assert homes == {p: Drive(ordinal=1).ask(9, "b", p) for p in map(str, range(60))}
    assert len(set(homes.values())) == 4
    fewer = {p: Drive(fleet(3)).ask(1, "a", p) for p in map(str, range(60))}
    assert all(fewer[p] == home for p, home in homes.items() if home != "r3")


def test_without_a_shared_beginning_the_session_is_hashed() -> None:
    assert len({Drive().ask(1, f"s{i}", None) for i in range(40)}) == 4


def test_session_goes_before_shared_beginning_and_a_read_stores_both() -> None:
    drive = Drive()
    first = drive.serve(1, "s1", "p1")
    table = drive.router.affinity.entries
    assert table["s|s1"][0].id == table["p|p1"][0].id == first
    other = next(h for h in drive.router.servers.values() if h.id.startswith("r") and h.id != first)
    table["s|s1"] = (other, drive.now, 3_000)
    assert drive.ask(2, "s1", "p1") == other.id
    assert drive.ask(3, "s-new", "p1") == first


def test_with_many_routers_a_beginning_has_a_few_homes_and_a_session_one() -> None:
    """Found with 47 and more routers: none sees the queue at a popular beginning's only home."""
    went = {
        (o, s): Drive(routers=60, ordinal=o).ask(1, f"s{s}", "p1")
        for o in range(3)
        for s in range(12)
    }
    assert all(went[0, s] == went[1, s] == went[2, s] for s in range(12))
    assert len(set(went.values())) == prefix_affinity.MIN_OWNERS
    for s in range(12):
        drive = Drive(routers=60)
        drive.serve(1, "s1", "p1")
        assert drive.ask(2, f"s{s}", "p1") == went[0, s], "a known beginning too"


def test_one_own_stream_does_not_stand_for_a_hundred() -> None:
    """Found with 47 and more routers: one stream made all writers look full."""
    assert memory_projection.estimate_all_routers([5_000], 150) == 5_000
    assert memory_projection.estimate_all_routers([1_000] * 100, 3) > 250_000
    drive = Drive(routers=150)
    assert all(drive.ask(i, f"s{i}", f"p{i}") for i in range(4))


def test_equal_writers_are_not_preferred_alike_by_all_routers() -> None:
    firsts = set()
    for ordinal in range(12):
        drive = Drive(routers=60, ordinal=ordinal)
        drive.ask(1)
        drive.end(1, contract.AttemptStatus.PREFILLED)
        firsts.add(drive.sent[1][1])
    assert len(firsts) > 1


def test_entries_expire_and_the_table_is_capped(monkeypatch: object) -> None:
    drive = Drive()
    drive.serve(1, "s1", "p1")
    drive.now += prefix_affinity.ENTRY_TTL_US + S
    drive.ask(2, "s1", "p1")
    assert "s|s1" not in drive.router.affinity.entries
    original, prefix_affinity.MAX_ENTRIES = prefix_affinity.MAX_ENTRIES, 6
    try:
        for i in range(10, 20):
            drive.serve(i, f"s{i}", "p1")
        assert len(drive.router.affinity.entries) == 6
        assert (
            "p|p1" in drive.router.affinity.entries and "s|s10" not in drive.router.affinity.entries
        )
    finally:
        prefix_affinity.MAX_ENTRIES = original


def test_escape_needs_both_bounds_and_takes_the_least_busy() -> None:
    drive = Drive()
    went = [drive.ask(i, f"s{i}", "p1") for i in range(1, 10)]
    upto = int(prefill_selection.MIN_QUEUE_EXCESS) + 1
    assert set(went[:upto]) == {went[0]}, "it stays up to the floor"
    assert went[upto] != went[0] and len(set(went)) == 4, "then it takes the least busy"


def test_writer_near_the_reader_unless_well_above_the_lowest() -> None:
    hosts = Drive().router.servers
    writers = {hosts[f"w{i}"]: share for i, share in enumerate((0.30, 0.25, 0.32, 0.5))}
    near = hosts["r0"].endpoint
    assert decode_placement.place_near(writers, near).id == "w0"
    writers[hosts["w0"]] = writers[hosts["w2"]] = (
        0.25 + decode_placement.NEAR_EXCESS_UTILIZATION + 0.01
    )
    assert decode_placement.place_near(writers, near).id == "w1"


def test_projection_counts_report_average_and_streams_since() -> None:
    drive = Drive(routers=1, load_report_mode=contract.LoadReportMode.INLINE)
    w0, w1 = drive.router.servers["w0"], drive.router.servers["w1"]
    w0.memory_utilization, w0.utilization_reported_us = 0.4, drive.now
    w0.streams = {1: (drive.now + 1, 15_000), 2: (drive.now - 5 * S, 15_000)}
    projected = memory_projection.projected_utilization([w0, w1], drive.settings, drive.now)
    assert abs(projected[w0] - 0.5) < 1e-9 and abs(projected[w1] - 0.4) < 1e-9


def test_an_old_report_fades_to_the_average() -> None:
    """Found with 130 and more routers: near writers were preferred for want of news till they
    jammed.
    """
    drive = Drive(routers=150, load_report_mode=contract.LoadReportMode.INLINE)
    w0, w1 = drive.router.servers["w0"], drive.router.servers["w1"]
    (
        w0.memory_utilization,
        w0.utilization_reported_us,
        w1.memory_utilization,
        w1.utilization_reported_us,
    ) = (
        0.8,
        drive.now - memory_projection.REPORT_HALF_LIFE_US,
        0.2,
        drive.now,
    )
    projected = memory_projection.projected_utilization([w0, w1], drive.settings, drive.now)
    assert projected[w1] == 0.2 and 0.4 < projected[w0] < 0.7


def test_writer_is_chosen_when_the_read_has_ended_and_gets_the_hinted_length() -> None:
    drive = Drive()
    drive.ask(1, expected_stream_us=6 * S)
    assert len(drive.sent[1]) == 1
    drive.end(1, contract.AttemptStatus.PREFILLED)
    writer = drive.router.servers[drive.sent[1][1]]
    assert writer.streams[1][1] == 3_000 + 100
    drive.ask(2, "t")
    assert drive.router.requests[2].decode_tokens == 3_000 + 150


def test_mixed_servers_take_their_share_whole_and_learn() -> None:
    drive = Drive(fleet(0, 0, 3))
    server = drive.ask(1)
    assert server and server.startswith("m")
    drive.give(contract.StreamStarted(1, 0, server, 40 * MS), 40 * MS)
    assert drive.router.affinity.entries["s|s"][0].id == server
    drive.end(1, contract.AttemptStatus.COMPLETED, final=True)
    assert drive.sent[1] == [server] and not drive.answers


def test_writers_read_by_themselves_only_where_allowed_and_no_reader_is_left() -> None:
    assert Drive(fleet(0, 3), decode_servers_prefill=True).ask(1) in {"w0", "w1", "w2"}
    drive = Drive(fleet(0, 3))
    assert drive.ask(1) is None
    assert Drive(fleet(1, 3), decode_servers_prefill=True).ask(1) == "r0"
