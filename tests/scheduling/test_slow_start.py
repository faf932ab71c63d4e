"""All routers together keep to the budget of a server in slow start, however many they are."""

import math
import random
from collections.abc import Iterator
from dataclasses import replace

import pytest
from helpers import SETTINGS, S
from simulated_fleet import SimulatedFleet

from onyxpass.scheduling import contract, slow_start
from onyxpass.scheduling.slow_start import MIN_RATE_AGE_US, SlowStart

WINDOW_US = SETTINGS.overload_window_us
WARM_SERVERS = 20  # of the same kind as the server in slow start
SAMPLED_SHARE = 0.3 / WARM_SERVERS  # of all calls, for the server in slow start
WARM_UP_US = 12 * S  # of traffic before a server starts


def max_in_a_window(sent: list[int], window_us: int) -> int:
    ordered, found = sorted(sent), 0
    first = 0
    for last, at_us in enumerate(ordered):
        while ordered[first] <= at_us - window_us:
            first += 1
        found = max(found, last - first + 1)
    return found


def bursts(routers: int, calls: float, seed: int) -> Iterator[tuple[int, int, float]]:
    """Yield router, time and random draw of each request.

    A warm server answers ``calls`` in a window. In each of six windows, ten times what all warm
    servers answer in it arrives within some milliseconds.
    """
    rng = random.Random(seed)
    for window in range(6):
        for n in range(round(10 * calls * WARM_SERVERS) + 10 * routers):
            yield rng.randrange(routers), WARM_UP_US + window * WINDOW_US + n, rng.random()


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("calls", [1.0, 4.0, 12.0, 40.0, 200.0])
@pytest.mark.parametrize("routers", [1, 2, 3, 6, 9, 14, 23, 40])
def test_a_burst_at_all_routers_stays_within_the_budget_of_a_server(
    routers: int, calls: float, seed: int
) -> None:
    """Every router knows the rate of a warm server, and gets far more than all servers answer."""
    slow_starts = [SlowStart(replace(SETTINGS, routers=routers, ordinal=n)) for n in range(routers)]
    rate = calls * S / WINDOW_US / routers * WARM_SERVERS  # answers per second to each router
    for state in slow_starts:
        state.sampling_factor("r0", "r", 0.3, SAMPLED_SHARE, 0)
        phase = random.Random(f"{seed} {state.settings.ordinal}").random()
        for n in range(math.ceil(rate * WARM_UP_US / S - phase)):
            state.record_answer("r", 1.0, [1.0] * WARM_SERVERS, round((n + phase) * S / rate))
    factor, sent = 0.3, list[int]()
    for router, at_us, draw in sorted(bursts(routers, calls, seed), key=lambda request: request[1]):
        slow_starts[router].record_arrival(at_us)
        if draw < SAMPLED_SHARE * slow_starts[router].sampling_factor(
            "r0", "r", factor, SAMPLED_SHARE, at_us
        ):
            slow_starts[router].record_attempt("r0", at_us)
            sent.append(at_us)
        else:
            slow_starts[router].record_attempt("warm", at_us)
    budget = slow_start.window_budget(SETTINGS.overload_multiple * factor * calls)
    assert max_in_a_window(sent, WINDOW_US) <= budget * 1.1 + 1
    assert sent, "the server gets some calls"


def test_a_router_without_history_sends_only_in_its_turn() -> None:
    slow_starts, sampled, sent = (
        [SlowStart(replace(SETTINGS, routers=10, ordinal=n)) for n in range(10)],
        0,
        0,
    )
    rng = random.Random(3)
    for window in range(40):
        now_us, sent_in_window = window * WINDOW_US, 0
        for state in slow_starts:
            for n in range(5):
                state.record_arrival(now_us + n)
                sampled += rng.random() < SAMPLED_SHARE
                if rng.random() < SAMPLED_SHARE * state.sampling_factor(
                    "r0", "r", 0.3, SAMPLED_SHARE, now_us + n
                ):
                    sent_in_window += 1
                    state.record_attempt("r0", now_us + n)
                else:
                    state.record_attempt("warm", now_us + n)
        assert sent_in_window <= slow_start.window_budget(0)
        sent += sent_in_window
    assert 0 < sent <= 1.5 * sampled, "little more than by sampling alone"


def test_a_rate_decays_and_is_unknown_at_first() -> None:
    rate = slow_start.DecayingRate(0)
    assert rate.per_second(0) is None
    for n in range(200):
        rate.add(n * S // 10, 1.0)
    assert rate.per_second(20 * S) == pytest.approx(10, rel=0.1)
    assert rate.per_second(20 * S + slow_start.RATE_HALF_LIFE_US) == pytest.approx(5, rel=0.15)
    fresh = slow_start.DecayingRate(0)
    fresh.add(0, 1.0)
    assert (
        fresh.per_second(MIN_RATE_AGE_US - 1) is None
        and fresh.per_second(MIN_RATE_AGE_US) is not None
    )


def leaving(prefill_servers: int) -> list[str]:
    """Return the prefill servers that leave: about half of them."""
    return [f"r{n:02}" for n in range(1, max(2, prefill_servers // 2))]


def fleet_with_slow_start(
    routers: int, prefill_servers: int, seed: int
) -> tuple[SimulatedFleet, int]:
    """Run a slow start in which servers leave, others disappear and return, and a burst arrives.

    Returns the fleet and the time at which the server started.
    """
    rng = random.Random(seed)
    fleet = SimulatedFleet(
        "r00",
        routers,
        prefill_servers,
        rate=RATE * prefill_servers,
        seed=seed,
        slow_start_initial_factor=rng.uniform(0.25, 0.4),
        slow_start_duration_us=round(rng.uniform(8, 13) * S),
        overload_multiple=rng.choice([2.0, 2.5, 3.0]),
        overload_window_us=round(rng.choice([1, 2]) * S),
    )
    fleet.run(4 * S)
    fleet.sent.clear()
    started_us = fleet.now
    fleet.update_endpoints(replace(fleet.servers["r00"], started_us=started_us))
    fleet.run(S)
    left = leaving(prefill_servers)
    fleet.update_endpoints(
        *(
            replace(fleet.servers[name], condition=contract.EndpointCondition.DRAINING)
            for name in left
        )
    )
    fleet.run(S)
    remaining = [f"r{n:02}" for n in range(1, prefill_servers) if f"r{n:02}" not in left]
    mixed = [name for name in fleet.servers if name.startswith("m")]
    fleet.update_endpoints(
        *(
            replace(fleet.servers[name], condition=contract.EndpointCondition.REMOVED)
            for name in (*remaining, *mixed)
        )
    )
    fleet.rate *= BURST  # only the server in slow start is left for it
    fleet.run(2 * S)
    fleet.rate /= BURST
    fleet.update_endpoints(*(contract.Endpoint(name, "r", "z0", 0) for name in remaining))
    fleet.run(2 * S)
    return fleet, started_us


def max_excess(fleet: SimulatedFleet, started_us: int, prefill_servers: int) -> float:
    """Return by how many calls the worst window exceeded the budget; negative if none did.

    A warm server can take what each one answered after half of them had left.
    """
    rate_per_server = RATE * prefill_servers / (prefill_servers - len(leaving(prefill_servers)))
    settings, worst = fleet.settings[0], -math.inf
    for i, start in enumerate(fleet.sent):
        calls = sum(start <= at < start + settings.overload_window_us for at in fleet.sent[i:])
        factor = slow_start.slow_start_factor(
            settings, started_us, start + settings.overload_window_us
        )
        expected = (
            settings.overload_multiple * factor * rate_per_server * settings.overload_window_us / S
        )
        worst = max(worst, calls - slow_start.window_budget(expected))
    return worst


RATE = 8.0  # requests per second and prefill server
BURST = 8  # multiple of the usual traffic
SIZES = [(1, 3), (2, 4), (4, 6), (6, 3), (6, 14), (14, 6), (24, 10), (40, 20)]


@pytest.mark.parametrize(("routers", "prefill_servers"), SIZES)
@pytest.mark.parametrize("seed", range(2))
def test_all_routers_keep_to_the_budget_of_a_server_while_the_fleet_changes(
    routers: int, prefill_servers: int, seed: int
) -> None:
    fleet, started_us = fleet_with_slow_start(routers, prefill_servers, 100 * routers + seed)
    assert max_excess(fleet, started_us, prefill_servers) <= 0


def test_sampling_alone_would_not_keep_to_the_budget(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted fault: without the limit on each router's own sends, the check above finds excess."""
    monkeypatch.setattr(SlowStart, "sampling_factor", lambda *_: 1.0)
    found = [
        max_excess(
            *fleet_with_slow_start(routers, prefill_servers, 100 * routers + n), prefill_servers
        )
        for routers, prefill_servers in SIZES[:6]
        for n in range(2)
    ]
    assert max(found) > 0
