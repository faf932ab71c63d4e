"""Real routers on one simulated clock, with simulated servers and traffic and without sockets."""

import heapq
import random
from dataclasses import replace
from itertools import count

from helpers import MS, SETTINGS, S

from onyxpass.scheduling import contract
from onyxpass.scheduling.router import Router

# Duration of a prefill, and times from a decode attempt to its first token and to its end
PREFILL_US, FIRST_TOKEN_US, STREAM_US = 80 * MS, 60 * MS, 900 * MS


class SimulatedFleet:
    """Routers that get different shares of the traffic, and servers that complete every request.

    ``rate`` is the number of requests per second at all routers together. ``sent`` records the
    time of each attempt at the server ``cold``.
    """

    def __init__(
        self,
        cold: str,
        routers: int,
        prefill_servers: int,
        rate: float,
        seed: int,
        **settings: object,
    ) -> None:
        self.cold, self.random = cold, random.Random(seed)
        self.settings = [
            replace(
                SETTINGS,
                routers=routers,
                ordinal=n,
                health_checks_allowed=True,
                health_check_cost=0.002,
                **settings,
            )  # type: ignore[arg-type]
            for n in range(routers)
        ]
        self.servers = {
            f"{kind}{n:02}": contract.Endpoint(f"{kind}{n:02}", kind, f"z{n % 3}", n % 6)
            for kind, size in (("r", prefill_servers), ("w", 2 * prefill_servers), ("m", 2))
            for n in range(size)
        }
        self.now, self.order = 1_000 * S, count()
        self.events: list[tuple[int, int, int, contract.Event]] = []
        self.weights = [self.random.lognormvariate(0, 0.8) for _ in range(routers)]
        self.rate, self.numbers, self.arrivals = rate, count(1), dict[int, contract.Arrival]()
        self.answered: dict[int, bool] = {}  # False: rejected or failed
        self.sent: list[int] = []  # times of the attempts at the cold server
        self.routers: list[Router] = []
        for n in range(routers):
            self.start_router(n)
        self.prefixes = [f"p{n}" for n in range(prefill_servers)]

    def start_router(self, n: int) -> None:
        """Replace router ``n`` by a new one and deliver the complete endpoint list to it."""
        self.routers[n : n + 1] = [Router(self.settings[n], self.random.randrange(2**32))]
        self.deliver(
            n,
            contract.EndpointUpdate(
                contract.EndpointUpdateForm.COMPLETE, tuple(self.servers.values()), 1
            ),
        )

    def update_endpoints(self, *servers: contract.Endpoint) -> None:
        """Deliver these changed endpoints to all routers."""
        self.servers.update({server.id: server for server in servers})
        for n in range(len(self.routers)):
            self.deliver(n, contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, servers, 2))

    def schedule(self, us: int, router_index: int, event: contract.Event) -> None:
        """Schedule an event of one router ``us`` from now."""
        heapq.heappush(self.events, (self.now + us, next(self.order), router_index, event))

    def run(self, for_us: int) -> None:
        """Play arrivals, a Poisson process, and scheduled events for this time."""
        until = self.now + for_us
        while True:
            gap_us = round(self.random.expovariate(self.rate) * S)
            while self.events and self.events[0][0] <= min(until, self.now + gap_us):
                self.now, _, router_index, event = heapq.heappop(self.events)
                self.deliver(router_index, event)
                # An exponential gap has no memory, so it may be drawn again after an event.
                gap_us = round(self.random.expovariate(self.rate) * S)
            if self.now + gap_us > until:
                self.now = until
                return
            self.now += gap_us
            (router_index,) = self.random.choices(range(len(self.routers)), self.weights)
            arrival = self.make_arrival(next(self.numbers))
            self.arrivals[arrival.id] = arrival
            self.deliver(router_index, arrival)

    def make_arrival(self, number: int) -> contract.Arrival:
        """Return a request with a random session and a random prefix, of which some are popular."""
        prefix = self.prefixes[int(len(self.prefixes) * self.random.random() ** 2)]
        session = f"s{self.random.randrange(2000)}"
        return contract.Arrival(number, "light", session, self.now + 6 * S, 2000, 200, prefix, 1200)

    def prefill_us(self, server: str, tokens: int) -> int:
        """Return the duration of a prefill that starts now."""
        return PREFILL_US

    def deliver(self, router_index: int, event: contract.Event) -> None:
        """Let the router handle the event, and simulate the effects of its actions."""
        router = self.routers[router_index]
        if isinstance(event, contract.StreamStarted):
            self.answered[event.id] = True
        for action in router.handle(self.now, event):
            match action:
                case contract.SendAttempt(number, server, _):
                    self.send(router, router_index, number, server)
                case contract.SetTimer(ref, delay_us):
                    self.schedule(delay_us, router_index, contract.TimerFired(ref))
                case contract.Reject(number) | contract.Fail(number):
                    self.answered[number] = False
                case contract.HealthCheck(server):
                    self.schedule(
                        2 * MS, router_index, contract.HealthCheckResult(server, True, 2 * MS)
                    )

    def send(self, router: Router, router_index: int, number: int, server: str) -> None:
        """Schedule the events of an attempt at this server."""
        attempt = router.requests[number].attempts - 1
        if server == self.cold:
            self.sent.append(self.now)
        if router.requests[number].state_holder is None and not server.startswith("w"):
            us = self.prefill_us(server, router.requests[number].arrival.prompt_tokens)
            self.schedule(
                us,
                router_index,
                contract.AttemptOutcome(
                    number, attempt, server, contract.AttemptStatus.PREFILLED, us
                ),
            )
            return
        self.schedule(
            FIRST_TOKEN_US,
            router_index,
            contract.StreamStarted(number, attempt, server, FIRST_TOKEN_US),
        )
        end = contract.AttemptOutcome(
            number, attempt, server, contract.AttemptStatus.COMPLETED, STREAM_US, True
        )
        self.schedule(STREAM_US, router_index, end)

    def restart_routers(self, share: float) -> None:
        """Restart this share of the routers, chosen at random; all their requests and state are lost."""
        for n in self.random.sample(range(len(self.routers)), round(share * len(self.routers))):
            self.events = [event for event in self.events if event[2] != n]
            heapq.heapify(self.events)
            self.start_router(n)
