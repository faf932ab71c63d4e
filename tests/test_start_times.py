"""Conversion of reported server starts to this process's own clock, without sockets."""

from onyxpass.core.start_times import MAX_DISCOVERY_DELAY_US, MAX_SERVERS, StartTimes

S = 1_000_000
HOUR = 3_600 * S
NOW = 50_000 * S


def test_a_reported_start_is_converted_once() -> None:
    start_times = StartTimes()
    start_times.observe_wall_clock(NOW, NOW)
    started = start_times.started_us("r0", NOW - 4 * S, NOW)
    assert started == NOW - 4 * S
    # The wall clock is stepped, and the same start is reported again.
    start_times.observe_wall_clock(NOW + S, NOW + S + HOUR)
    assert start_times.started_us("r0", NOW - 4 * S, NOW + S) == started
    assert start_times.started_us("r1", None, NOW) is None, (
        "a server without a reported start started long ago"
    )


def test_the_smallest_age_is_used_if_two_clocks_disagree() -> None:
    for step_us in (-HOUR, -10 * S, 10 * S, HOUR):
        start_times = StartTimes()
        start_times.observe_wall_clock(NOW, NOW + step_us)
        assert start_times.started_us("stepped with us", NOW + step_us, NOW) == NOW
        start_times = StartTimes()
        start_times.observe_wall_clock(NOW, NOW + step_us)
        assert (start_times.started_us("not stepped", NOW - S, NOW) or 0) >= NOW - S


def test_a_start_in_the_future_counts_from_its_first_report() -> None:
    assert StartTimes().started_us("r0", NOW + HOUR, NOW) == NOW


def test_a_clock_step_that_was_reverted_is_remembered_for_a_while() -> None:
    start_times = StartTimes()
    start_times.observe_wall_clock(NOW, NOW - HOUR)
    start_times.observe_wall_clock(NOW + S, NOW + S)
    assert start_times.started_us("r0", NOW - HOUR, NOW + 2 * S) == NOW, (
        "the server started while the clock was wrong"
    )
    start_times.observe_wall_clock(NOW + HOUR, NOW + HOUR)
    assert start_times.started_us("r1", NOW - 2 * S, NOW + HOUR) == NOW - 2 * S


def test_a_server_is_hardly_older_than_its_last_known_absence() -> None:
    start_times = StartTimes()
    assert (
        start_times.started_us("r0", NOW - HOUR, NOW, NOW - 2 * S)
        == NOW - 2 * S - MAX_DISCOVERY_DELAY_US
    )
    assert start_times.started_us("r1", NOW - S, NOW, NOW - 2 * S) == NOW - S


def test_a_server_that_returns_with_the_same_start_keeps_its_age() -> None:
    start_times = StartTimes()
    assert start_times.started_us("r0", NOW - HOUR, NOW) == NOW - HOUR
    assert start_times.started_us("r0", NOW - HOUR, NOW + 9 * S, NOW + 8 * S) == NOW - HOUR


def test_the_number_of_remembered_starts_is_bounded() -> None:
    start_times = StartTimes()
    for number in range(MAX_SERVERS + 5):
        start_times.started_us(f"r{number}", NOW, NOW)
    assert start_times.started_us("r0", NOW, NOW + S) == NOW, (
        "the start was forgotten and is converted again"
    )
    assert len(start_times._starts) == MAX_SERVERS
