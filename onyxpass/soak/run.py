"""Plays one schedule of faults over real dispatchers and gives the records to the checker."""

import asyncio
import random
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from onyxpass.faultshim.control import build_library
from onyxpass.history_checkers.trace import Trace
from onyxpass.soak import checker
from onyxpass.soak.clients import Clients
from onyxpass.soak.dispatchers import CLASSES, Dispatcher
from onyxpass.soak.injector import FaultInjector, Parties
from onyxpass.soak.records import Records
from onyxpass.soak.schedule import Fault, Shape
from onyxpass.soak.testbed import Fleet
from onyxpass.testbed.link import Link

LOOK_S = 0.02  # between looks at this process's own pauses
CHECK_S = 0.25  # between looks at whether all dispatchers live
STARTED_AT_ONCE = 8
SETTLE_S = 4.0  # after the last fault, for every request and every held state to come to its end


@dataclass(slots=True)
class Result:
    """What one soak gave."""

    breaches: list[str]
    ends: Counter[str] = field(default_factory=Counter)
    lag_s: float = 0.0
    not_run_s: float = 0.0  # for how long the machine kept dispatchers from running, in all


class Soak:
    """One soak: its parties from their start to their end."""

    def __init__(self, folder: Path, seed: int, shape: Shape) -> None:
        self.folder, self.shape = folder, shape
        self.chance = random.Random(f"clients {seed}")
        self.records = Records(Trace())
        self.fleet = Fleet(shape.readers, shape.writers, self.records)
        self.parties = Parties(self.records, self.fleet, build_library(folder))
        self.dispatchers = self.parties.dispatchers
        self.clients = self.parties.clients
        self.asks: set[asyncio.Task[None]] = set()

    async def play(self, faults: Sequence[Fault]) -> Result:
        """Play these faults while clients ask, and check what was seen."""
        try:
            await self._open()
            beside = [asyncio.create_task(work) for work in (self._lag(), self._check())]
            injector = FaultInjector(self.parties)
            injections = [asyncio.create_task(injector.inject(fault)) for fault in faults]
            await self._ask_all()
            await asyncio.gather(*injections)
            await asyncio.gather(*self.asks)
            await asyncio.sleep(SETTLE_S)
            for task in beside:
                task.cancel()
            await self._end()
        finally:
            await self._close()
        for dispatcher in self.dispatchers:
            dispatcher.read_log()
        ends = Counter(asked.end for asked in self.records.asked.values())
        records = self.records
        return Result(checker.breaches(records), ends, records.lag_s, records.not_run_s)

    async def _open(self) -> None:
        await self.fleet.start()
        both = (Link(self.fleet.discovery.port), Link(self.fleet.discovery.port))
        self.parties.discovery_links.extend(both)
        for link in both:
            await link.start()
        for number in range(self.shape.dispatchers):
            dispatcher = Dispatcher(number, self.folder, both, self.records, self.shape)
            dispatcher.write()
            self.dispatchers.append(dispatcher)
            self.clients.append(Clients(self.records, number, dispatcher.port, self.chance))
        places = asyncio.Semaphore(STARTED_AT_ONCE)

        async def start(dispatcher: Dispatcher) -> None:
            async with places:
                await dispatcher.start(self.parties.library)

        await asyncio.gather(*(start(dispatcher) for dispatcher in self.dispatchers))

    async def _ask_all(self) -> None:
        """Ask at random moments, each time at a dispatcher that serves.

        Or at one that ends: clients use their open connections for as long as there are any.
        """
        began_s, number = time.monotonic(), 0
        while time.monotonic() - began_s < self.shape.length_s:
            await asyncio.sleep(self.chance.expovariate(self.shape.requests_per_s))
            serving = [
                d.number
                for d in self.dispatchers
                if d.serves or (d.leaves and self.clients[d.number].idle)
            ]
            if not serving:
                continue
            number += 1
            traffic_class = self.chance.choice(CLASSES)[0]
            wait_s = self.chance.choice((self.shape.deadline_s, 1.5, 0.6))
            clients = self.clients[self.chance.choice(serving)]
            task = asyncio.create_task(clients.one(f"r{number:05}", traffic_class, wait_s))
            self.asks.add(task)
            task.add_done_callback(self.asks.discard)

    # Beside

    async def _lag(self) -> None:
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(LOOK_S)
            self.records.lag_s = max(self.records.lag_s, time.monotonic() - began_s - LOOK_S)

    async def _check(self) -> None:
        while True:
            for dispatcher in self.dispatchers:
                dispatcher.check()
            await asyncio.sleep(CHECK_S)

    # The end

    async def _end(self) -> None:
        """Tell all dispatchers to end, with nothing under way."""
        children = [
            (d, d.child)
            for d in self.dispatchers
            if d.child is not None and d.child.returncode is None
        ]
        for dispatcher, _ in children:
            dispatcher.serves = False
        await asyncio.gather(*(dispatcher.terminate(child) for dispatcher, child in children))

    async def _close(self) -> None:
        for clients in self.clients:
            clients.close()
        for dispatcher in self.dispatchers:
            if dispatcher.child is not None and dispatcher.child.returncode is None:
                with suppress(ProcessLookupError):
                    dispatcher.child.kill()
                await dispatcher.child.wait()
            if dispatcher.passed is not None:
                dispatcher.passed.close()
        for link in self.parties.discovery_links:
            await link.stop()
        await self.fleet.stop()


async def play(
    seed: int, shape: Shape, faults: Sequence[Fault], keep: Path | None = None
) -> Result:
    """Play one soak in a folder of its own; ``keep``: one that stays, for its logs."""
    if keep is not None:
        await asyncio.to_thread(keep.mkdir, parents=True, exist_ok=True)
        return await Soak(keep, seed, shape).play(faults)
    with tempfile.TemporaryDirectory(prefix="onyxpass-soak-") as folder:
        return await Soak(Path(folder), seed, shape).play(faults)
