"""A fleet of real modules on one clock, without sockets: uneven traffic, servers that answer
all.
"""

import heapq
import random
from dataclasses import replace
from itertools import count

from helpers import MS, SETTINGS, S

from onyxpass.scheduling import contract
from onyxpass.scheduling.router import Router

PREFILL_US, FIRST_TOKEN_US, STREAM_US = (
    80 * MS,
    60 * MS,
    900 * MS,
)  # of an answer, where servers are quick


class SimulatedFleet:
    """Routers with uneven traffic before servers that answer all; counts the sends to one of
    them.
    """

    def __init__(
        self, cold: str, routers: int, readers: int, rate: float, seed: int, **settings: object
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
            for kind, most in (("r", readers), ("w", 2 * readers), ("m", 2))
            for n in range(most)
        }
        self.now, self.order = 1_000 * S, count()
        self.events: list[tuple[int, int, int, contract.Event]] = []
        self.weights = [self.random.lognormvariate(0, 0.8) for _ in range(routers)]
        self.rate, self.numbers, self.arrivals = rate, count(1), dict[int, contract.Arrival]()
        self.answered: dict[int, bool] = {}  # whether an answer began
        self.sent: list[int] = []  # to the cold one: when
        self.routers: list[Router] = []
        for n in range(routers):
            self.start_router(n)
        self.prefixes = [f"p{n}" for n in range(readers)]

    def start_router(self, n: int) -> None:
        self.routers[n : n + 1] = [Router(self.settings[n], self.random.randrange(2**32))]
        self.deliver(
            n,
            contract.EndpointUpdate(
                contract.EndpointUpdateForm.COMPLETE, tuple(self.servers.values()), 1
            ),
        )

    def update_endpoints(self, *servers: contract.Endpoint) -> None:
        self.servers.update({server.id: server for server in servers})
        for n in range(len(self.routers)):
            self.deliver(n, contract.EndpointUpdate(contract.EndpointUpdateForm.DELTA, servers, 2))

    def schedule(self, us: int, router_index: int, event: contract.Event) -> None:
        heapq.heappush(self.events, (self.now + us, next(self.order), router_index, event))

    def run(self, for_us: int) -> None:
        until = self.now + for_us
        while True:
            gap_us = round(self.random.expovariate(self.rate) * S)
            while self.events and self.events[0][0] <= min(until, self.now + gap_us):
                self.now, _, router_index, event = heapq.heappop(self.events)
                self.deliver(router_index, event)
                gap_us = round(self.random.expovariate(self.rate) * S)  # arrivals have no memory
            if self.now + gap_us > until:
                self.now = until
                return
            self.now += gap_us
            (router_index,) = self.random.choices(range(len(self.routers)), self.weights)
            ask = self.make_arrival(next(self.numbers))
            self.arrivals[ask.id] = ask
            self.deliver(router_index, ask)

    def make_arrival(self, number: int) -> contract.Arrival:
        begin = self.prefixes[int(len(self.prefixes) * self.random.random() ** 2)]
        session = f"s{self.random.randrange(2000)}"
        return contract.Arrival(number, "light", session, self.now + 6 * S, 2000, 200, begin, 1200)

    def prefill_us(self, server: str, tokens: int) -> int:
        """How long a read that is sent now takes."""
        return PREFILL_US

    def deliver(self, router_index: int, event: contract.Event) -> None:
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
        """Processes that start anew know nothing but the list, and have no request."""
        for n in self.random.sample(range(len(self.routers)), round(share * len(self.routers))):
            self.events = [event for event in self.events if event[2] != n]
            heapq.heapify(self.events)
            self.start_router(n)
