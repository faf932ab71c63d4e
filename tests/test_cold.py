"""What all routers together send to a server that has just started: many real modules on one clock."""

import math
import random
from dataclasses import replace

import pytest
from fleets import Fleet
from helpers import S

from onyxpass import interface as api


def worst(fleet: Fleet, since_us: int, share: float) -> tuple[float, int, float]:
    """The window that is most over its budget: by how much, what was sent, and what it bears."""
    s = fleet.settings[0]
    times, found = fleet.sent, (-math.inf, 0, 0.0)
    for i, start in enumerate(times):
        n = sum(start <= at < start + s.fall_us for at in times[i:])
        age = min(1.0, (start - since_us) / s.cold_us)
        warmth = s.cold_from + (1 - s.cold_from) * age
        budget = s.fall_multiple * warmth * share * s.fall_us / S
        most = budget + 2 * math.sqrt(budget) + 2
        found = max(found, (n - most, n, most))
    return found


SIZES = [(4, 6, 60.0), (30, 12, 150.0), (200, 30, 400.0)]


@pytest.mark.parametrize(("routers", "readers", "rate"), SIZES)
@pytest.mark.parametrize(("cold", "seed"), [("r00", 0), ("r00", 1), ("w00", 2), ("m00", 3)])
def test_a_cold_server_bears_what_all_routers_send_it(
    cold: str, routers: int, readers: int, rate: float, seed: int
) -> None:
    chance = random.Random(seed * 100 + routers)
    fleet = Fleet(
        cold,
        routers,
        readers,
        rate,
        seed,
        cold_from=chance.uniform(0.25, 0.5),
        cold_us=round(chance.uniform(6, 13) * S),
        fall_multiple=chance.choice([2.0, 2.5, 3.0]),
        fall_us=round(chance.choice([1, 1.5, 2]) * S),
    )
    fleet.run(2 * S)
    fleet.sent.clear()
    began = fleet.now
    fleet.tell(replace(fleet.servers[cold], started_us=began))
    fleet.run(1 * S)
    fleet.restart(0.7)
    fleet.run(2 * S)
    half = [f"r{n:02}" for n in range(1, readers, 2)]  # what they bore comes to the others, all at once
    fleet.tell(*(replace(fleet.servers[name], condition=api.Condition.DRAINING) for name in half))
    fleet.run(2 * S)
    over, n, most = worst(fleet, began, rate / (2 * readers if cold == "w00" else readers + 2))
    assert over <= 0, f"{n} in a window that bears {most:.1f}"
    assert fleet.sent, "it is not left out either"


def test_a_cold_server_bears_it_where_nearly_all_others_leave() -> None:
    """What is left is asked for many times its share, and must not fall for it."""
    fleet = Fleet("r00", 200, 30, 400.0, 1, cold_from=0.25, cold_us=12 * S, fall_multiple=2.0, fall_us=S)
    fleet.run(2 * S)
    fleet.sent.clear()
    began = fleet.now
    fleet.tell(replace(fleet.servers["r00"], started_us=began))
    fleet.run(4 * S)
    names = [f"r{n:02}" for n in range(1, 29)]
    fleet.tell(*(replace(fleet.servers[name], condition=api.Condition.DRAINING) for name in names))
    fleet.run(2 * S)
    over, n, most = worst(fleet, began, 400.0 / 30)
    assert over <= 0, f"{n} in a window that bears {most:.1f}"
