"""What all routers together send to a server that has just started: many real modules on one clock."""

import heapq
import math
import random
from dataclasses import replace
from itertools import count

import pytest
from helpers import MS, SETTINGS, S

from onyxpass import interface as api
from onyxpass.choice import Router

READ_US, FIRST_US, REST_US = 80 * MS, 60 * MS, 900 * MS  # of an answer, where servers are quick


class Fleet:
    """Routers with uneven traffic before servers that answer all; counts the sends to one of them."""

    def __init__(
        self, cold: str, routers: int, readers: int, rate: float, seed: int, **settings: object
    ) -> None:
        self.cold, self.chance = cold, random.Random(seed)
        self.settings = [
            replace(SETTINGS, routers=routers, ordinal=n, may_probe=True, probe_price=0.002, **settings)  # type: ignore[arg-type]
            for n in range(routers)
        ]
        self.servers = {
            f"{kind}{n:02}": api.Server(f"{kind}{n:02}", kind, f"z{n % 3}", n % 6)
            for kind, most in (("r", readers), ("w", 2 * readers), ("m", 2))
            for n in range(most)
        }
        self.now, self.order = 1_000 * S, count()
        self.events: list[tuple[int, int, int, api.Event]] = []
        self.weights = [self.chance.lognormvariate(0, 0.8) for _ in range(routers)]
        self.rate, self.numbers, self.asks = rate, count(1), dict[int, int]()
        self.sent: list[tuple[int, int]] = []  # to the cold one: when, by whom
        self.routers = [self.router(n) for n in range(routers)]
        self.beginnings = [f"p{n}" for n in range(readers)]

    def router(self, n: int) -> Router:
        made = Router(self.settings[n], self.chance.randrange(2**32))
        made.handle(self.now, api.ListUpdate(api.ListForm.FULL, tuple(self.servers.values()), 1))
        return made

    def tell(self, *servers: api.Server) -> None:
        self.servers.update({server.id: server for server in servers})
        for router in self.routers:
            router.handle(self.now, api.ListUpdate(api.ListForm.DELTA, servers, 2))

    def later(self, us: int, who: int, event: api.Event) -> None:
        heapq.heappush(self.events, (self.now + us, next(self.order), who, event))

    def run(self, for_us: int) -> None:
        until = self.now + for_us
        while True:
            gap_us = round(self.chance.expovariate(self.rate) * S)
            while self.events and self.events[0][0] <= min(until, self.now + gap_us):
                self.now, _, who, event = heapq.heappop(self.events)
                self.give(who, event)
                gap_us = round(self.chance.expovariate(self.rate) * S)  # arrivals have no memory
            if self.now + gap_us > until:
                self.now = until
                return
            self.now += gap_us
            (who,) = self.chance.choices(range(len(self.routers)), self.weights)
            begin = self.beginnings[int(len(self.beginnings) * self.chance.random() ** 2)]
            number, session = next(self.numbers), f"s{self.chance.randrange(2000)}"
            self.asks[number] = who
            ask = api.Arrival(number, "light", session, self.now + 6 * S, 2000, 200, begin, 1200)
            self.give(who, ask)

    def give(self, who: int, event: api.Event) -> None:
        router = self.routers[who]
        for action in router.handle(self.now, event):
            match action:
                case api.Send(number, server, _):
                    self.send(router, who, number, server)
                case api.SetTimer(ref, delay_us):
                    self.later(delay_us, who, api.TimerFired(ref))
                case api.Probe(server):
                    self.later(2 * MS, who, api.ProbeResult(server, True, 2 * MS))

    def send(self, router: Router, who: int, number: int, server: str) -> None:
        attempt = router.jobs[number].attempts - 1
        if server == self.cold:
            self.sent.append((self.now, who))
        if router.jobs[number].holder is None and not server.startswith("w"):
            self.later(READ_US, who, api.Outcome(number, attempt, server, api.Status.READ, READ_US))
            return
        self.later(FIRST_US, who, api.StreamStarted(number, attempt, server, FIRST_US))
        end = api.Outcome(number, attempt, server, api.Status.SERVED, REST_US, True)
        self.later(REST_US, who, end)

    def restart(self, share: float) -> None:
        """Processes that start anew know nothing but the list, and have no request."""
        for n in self.chance.sample(range(len(self.routers)), round(share * len(self.routers))):
            self.events = [event for event in self.events if event[2] != n]
            heapq.heapify(self.events)
            self.routers[n] = self.router(n)


def worst(fleet: Fleet, since_us: int, share: float) -> tuple[float, int, float]:
    """The window that is most over its budget: by how much, what was sent, and what it bears."""
    s = fleet.settings[0]
    times, found = [at for at, _ in fleet.sent], (-math.inf, 0, 0.0)
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
