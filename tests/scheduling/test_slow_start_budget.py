"""What all routers together send to a server that has just started.

Many real routers run on one simulated clock.
"""

import math
import random
from dataclasses import replace

import pytest
from helpers import SETTINGS, RouterDriver, S, make_endpoints
from simulated_fleet import SimulatedFleet

from onyxpass.scheduling import contract


def worst_window(fleet: SimulatedFleet, since_us: int, rate: float) -> tuple[float, int, float]:
    """Return the excess, the calls and the budget of the window with the largest excess.

    ``rate`` is the calls per second that a warm server gets.
    """
    settings = fleet.settings[0]
    times, worst = fleet.sent, (-math.inf, 0, 0.0)
    for i, start in enumerate(times):
        calls = sum(start <= at < start + settings.overload_window_us for at in times[i:])
        age = min(1.0, (start - since_us) / settings.slow_start_duration_us)
        factor = settings.slow_start_initial_factor + (1 - settings.slow_start_initial_factor) * age
        expected = settings.overload_multiple * factor * rate * settings.overload_window_us / S
        budget = expected + 2 * math.sqrt(expected) + 2
        worst = max(worst, (calls - budget, calls, budget))
    return worst


SIZES = [(4, 6, 60.0), (30, 12, 150.0), (200, 30, 400.0)]


@pytest.mark.parametrize(("routers", "prefill_servers", "rate"), SIZES)
@pytest.mark.parametrize(("cold", "seed"), [("r00", 0), ("r00", 1), ("w00", 2), ("m00", 3)])
def test_all_routers_keep_to_the_budget_of_a_server_in_slow_start(
    cold: str, routers: int, prefill_servers: int, rate: float, seed: int
) -> None:
    rng = random.Random(seed * 100 + routers)
    fleet = SimulatedFleet(
        cold,
        routers,
        prefill_servers,
        rate,
        seed,
        slow_start_initial_factor=rng.uniform(0.25, 0.5),
        slow_start_duration_us=round(rng.uniform(6, 13) * S),
        overload_multiple=rng.choice([2.0, 2.5, 3.0]),
        overload_window_us=round(rng.choice([1, 1.5, 2]) * S),
    )
    fleet.run(2 * S)
    fleet.sent.clear()
    started_us = fleet.now
    fleet.update_endpoints(replace(fleet.servers[cold], started_us=started_us))
    fleet.run(1 * S)
    fleet.restart_routers(0.7)
    fleet.run(2 * S)
    # Half of the prefill servers leave, and their traffic moves to the others at once.
    half = [f"r{n:02}" for n in range(1, prefill_servers, 2)]
    fleet.update_endpoints(
        *(
            replace(fleet.servers[name], condition=contract.EndpointCondition.DRAINING)
            for name in half
        )
    )
    fleet.run(2 * S)
    excess, calls, budget = worst_window(
        fleet, started_us, rate / (2 * prefill_servers if cold == "w00" else prefill_servers + 2)
    )
    assert excess <= 0, f"{calls} calls in a window with a budget of {budget:.1f}"
    assert fleet.sent, "the server gets some calls"


def test_a_server_in_slow_start_is_not_overloaded_when_nearly_all_others_leave() -> None:
    """The servers that are left get many times their share of the traffic."""
    fleet = SimulatedFleet(
        "r00",
        200,
        30,
        400.0,
        1,
        slow_start_initial_factor=0.25,
        slow_start_duration_us=12 * S,
        overload_multiple=2.0,
        overload_window_us=S,
    )
    fleet.run(2 * S)
    fleet.sent.clear()
    started_us = fleet.now
    fleet.update_endpoints(replace(fleet.servers["r00"], started_us=started_us))
    fleet.run(4 * S)
    names = [f"r{n:02}" for n in range(1, 29)]
    fleet.update_endpoints(
        *(
            replace(fleet.servers[name], condition=contract.EndpointCondition.DRAINING)
            for name in names
        )
    )
    fleet.run(2 * S)
    excess, calls, budget = worst_window(fleet, started_us, 400.0 / 30)
    assert excess <= 0, f"{calls} calls in a window with a budget of {budget:.1f}"


@pytest.mark.parametrize("cold", ["w0", "r0", "m0"])
def test_routers_do_not_all_spend_a_saved_up_send_at_once(cold: str) -> None:
    """With 32 routers, each had saved up one send to a new decode server, and all sent at once."""
    started_us, sent, routers = 1_000 * S, 0, 60
    servers = [
        replace(s, started_us=started_us if s.id == cold else None) for s in make_endpoints(4, 4, 1)
    ]
    peers = [s for s in servers if s.kind == cold[0] or (s.kind in "rw" and cold == "m0")]
    for ordinal in range(routers):
        driver = RouterDriver(
            servers,
            routers=routers,
            ordinal=ordinal,
            slow_start_initial_factor=0.25,
            slow_start_duration_us=12 * S,
        )
        for n in range(20):
            driver.complete_request(n, f"s{ordinal}-{n}", f"p{ordinal}-{n}")
        leaving = [
            replace(s, condition=contract.EndpointCondition.DRAINING) for s in peers if s.id != cold
        ]
        driver.deliver(
            contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, tuple(leaving)), 3 * S
        )
        if driver.submit(1_000 + ordinal, f"t{ordinal}", f"q{ordinal}") not in (None, cold):
            driver.deliver_outcome(1_000 + ordinal, contract.AttemptStatus.PREFILLED)
        sent += cold in driver.sent.get(1_000 + ordinal, [])
    half_budget = (
        routers
        * SETTINGS.overload_multiple
        / 2
        * driver.router.servers[cold].slow_start_factor(driver.now)
        / 4
    )
    assert sent <= half_budget + math.sqrt(half_budget), (
        f"{sent} at once, {half_budget:.1f} are half of the budget"
    )
