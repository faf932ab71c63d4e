"""Measurement of the processor time of a decision.

One real router runs on an emulated clock; its servers answer after fixed durations.
"""

import gc
import heapq
import random
import time
from dataclasses import dataclass
from itertools import count

from onyxpass.emulator.topology import SECOND_US, Site
from onyxpass.scheduling import contract
from onyxpass.scheduling.router import Router

PREFILL_US, FIRST_TOKEN_US, STREAM_US = (
    200_000,
    60_000,
    4_000_000,
)  # durations on an unloaded server


@dataclass(frozen=True, slots=True)
class DecisionCost:
    """``us_a_request``: processor time per request in microseconds, the load generator included."""

    servers: int
    routers: int
    requests: int
    us_a_request: float


def measure_decision_cost(
    servers: int, routers: int, rate: float, seconds: float, seed: int
) -> DecisionCost:
    """Measure one router that receives ``rate`` requests per second; 40% of the servers are readers."""
    readers = round(0.4 * servers)
    site = Site(readers, servers - readers, 0, dispatchers=routers)
    load = _DecisionLoad(Router(site.settings(0), seed), random.Random(seed), site)
    gc.collect()
    began_s = time.process_time()
    request_count = load.run(rate, seconds)
    return DecisionCost(
        servers,
        routers,
        request_count,
        (time.process_time() - began_s) * 1e6 / max(1, request_count),
    )


class _DecisionLoad:
    """Generates requests and attempt outcomes for the router, in simulated time."""

    def __init__(self, router: Router, generator: random.Random, site: Site) -> None:
        self.router, self.generator, self.site = router, generator, site
        self.now_us, self.sequence = 1_000 * SECOND_US, count()
        self.pending: list[tuple[int, int, contract.Event]] = []
        self.attempts: dict[int, int] = {}
        endpoints = tuple(endpoint for _, endpoint in site.servers())
        self._handle(contract.EndpointUpdate(contract.EndpointUpdateForm.COMPLETE, endpoints, 1))

    def run(self, rate: float, seconds: float) -> int:
        end_us = self.now_us + round(seconds * SECOND_US)
        number, next_us = 0, self.now_us
        while self.now_us < end_us:
            if self.pending and self.pending[0][0] <= next_us:
                self.now_us, _, event = heapq.heappop(self.pending)
                self._handle(event)
                continue
            self.now_us, number = next_us, number + 1
            next_us += round(self.generator.expovariate(rate) * SECOND_US)
            self._handle(self._arrival(number))
        return number

    def _arrival(self, number: int) -> contract.Arrival:
        traffic_class = self.generator.choice(self.site.classes).traffic_class
        session = f"s{self.generator.randrange(200)}"
        prefix = f"p{round(self.generator.paretovariate(0.9)) % 1_000}"
        return contract.Arrival(
            number,
            traffic_class.name,
            session,
            self.now_us + traffic_class.deadline_us,
            3_000,
            300,
            prefix,
            2_000,
        )

    def _after(self, delay_us: int, event: contract.Event) -> None:
        heapq.heappush(self.pending, (self.now_us + delay_us, next(self.sequence), event))

    def _handle(self, event: contract.Event) -> None:
        for action in self.router.handle(self.now_us, event):
            match action:
                case contract.SendAttempt(number, server, _):
                    self._send(number, server)
                case contract.SetTimer(ref, delay_us):
                    self._after(delay_us, contract.TimerFired(ref))

    def _send(self, number: int, server: str) -> None:
        attempt = self.attempts.get(number, 0)
        self.attempts[number] = attempt + 1
        if not attempt:
            self._after(
                PREFILL_US,
                contract.AttemptOutcome(
                    number, 0, server, contract.AttemptStatus.PREFILLED, PREFILL_US
                ),
            )
            return
        del self.attempts[number]
        self._after(FIRST_TOKEN_US, contract.StreamStarted(number, attempt, server, FIRST_TOKEN_US))
        ended = contract.AttemptOutcome(
            number, attempt, server, contract.AttemptStatus.COMPLETED, STREAM_US, True
        )
        self._after(STREAM_US, ended)
