"""Plays one schedule of faults over real dispatchers and gives the records to the judge."""

import asyncio
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from onyxpass.faultshim.control import build
from onyxpass.history_checkers.trace import Trace
from onyxpass.soak import checker
from onyxpass.soak.clients import Clients
from onyxpass.soak.dispatchers import CLASSES, CONNECTIONS, Dispatcher
from onyxpass.soak.records import Records, Span
from onyxpass.soak.schedule import DISCOVERY, DISPATCHER, Fault, Kind, Shape
from onyxpass.soak.testbed import Fleet
from onyxpass.testbed.link import Link, Mode
from onyxpass.testbed.server import Server

AGAIN_S = 0.05  # between tries to listen
LOOK_S = 0.02  # between looks at this process's own pauses
CHECK_S = 0.25  # between looks at whether all dispatchers live
STARTED_AT_ONCE = 8
SETTLE_S = 4.0  # after the last fault, for every request and every held state to come to its end
RELOADS = 3
MODES = {Kind.STALL: Mode.STALL, Kind.PIECES: Mode.PIECES, Kind.DELAY: Mode.PASS}


@dataclass(slots=True)
class Result:
    """What one soak gave."""

    breaches: list[str]
    ends: Counter[str] = field(default_factory=Counter)
    lag_s: float = 0.0


class Soak:
    def __init__(self, folder: Path, seed: int, shape: Shape) -> None:
        self.folder, self.shape = folder, shape
        self.chance = random.Random(f"clients {seed}")
        self.records = Records(Trace())
        self.fleet = Fleet(shape.readers, shape.writers, self.records)
        self.ways: list[Link] = []
        self.dispatchers: list[Dispatcher] = []
        self.clients: list[Clients] = []
        self.library = build(folder)
        self.asks: set[asyncio.Task[None]] = set()

    async def play(self, faults: Sequence[Fault]) -> Result:
        try:
            await self._open()
            beside = [asyncio.create_task(work) for work in (self._lag(), self._check())]
            strikes = [asyncio.create_task(self._strike(fault)) for fault in faults]
            await self._ask_all()
            await asyncio.gather(*strikes)
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
        return Result(checker.breaches(self.records), ends, self.records.lag_s)

    async def _open(self) -> None:
        await self.fleet.start()
        for _ in range(2):
            way = Link(self.fleet.discovery.port)
            await way.start()
            self.ways.append(way)
        both = (self.ways[0], self.ways[1])
        for number in range(self.shape.dispatchers):
            dispatcher = Dispatcher(number, self.folder, both, self.records, self.shape)
            dispatcher.write()
            self.dispatchers.append(dispatcher)
            self.clients.append(Clients(self.records, number, dispatcher.port, self.chance))
        places = asyncio.Semaphore(STARTED_AT_ONCE)

        async def start(dispatcher: Dispatcher) -> None:
            async with places:
                await dispatcher.start(self.library)

        await asyncio.gather(*(start(dispatcher) for dispatcher in self.dispatchers))

    async def _ask_all(self) -> None:
        """Requests at random moments, each at a dispatcher that serves.

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

    # Faults

    async def _strike(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        if fault.kind in DISPATCHER:
            await asyncio.gather(
                *(self._strike_one(fault, self.dispatchers[n]) for n in fault.targets)
            )
        elif fault.kind in DISCOVERY:
            await self._strike_discovery(fault)
        else:
            await self._strike_replica(fault, fault.targets[0])

    async def _strike_one(self, fault: Fault, dispatcher: Dispatcher) -> None:
        child, control = dispatcher.child, dispatcher.control
        if child is None or control is None or child.returncode is not None or dispatcher.leaves:
            return
        match fault.kind:
            case Kind.TERMINATE:
                dispatcher.trouble("restarted", 6.0)
                await dispatcher.terminate(child)
                await dispatcher.start(self.library)
            case Kind.SIGNALS:
                dispatcher.trouble("restarted", 6.0)
                await dispatcher.terminate(child, fault.signals, fault.amount)
                await dispatcher.start(self.library)
            case Kind.CROWD:
                dispatcher.trouble("crowd", fault.for_s + 1.0)
                await self.clients[dispatcher.number].crowd(CONNECTIONS, fault.for_s)
            case Kind.KILL:
                await dispatcher.kill()
                dispatcher.trouble("restarted", 6.0)
                await dispatcher.start(self.library)
            case Kind.UPGRADE:
                dispatcher.trouble("restarted", 6.0)
                if dispatcher.passed is not None:
                    await dispatcher.start(self.library)
                    await dispatcher.terminate(child)
                    dispatcher.leaves = False  # the new one serves already
                else:
                    await dispatcher.terminate(child)
                    await dispatcher.start(self.library)
            case Kind.HOLD_UP:
                child.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                child.send_signal(signal.SIGCONT)
            case Kind.RELOAD:
                dispatcher.trouble("reloaded", fault.for_s + 4.0)
                for _ in range(RELOADS):
                    dispatcher.way = 1 - dispatcher.way
                    dispatcher.write()
                    with suppress(ProcessLookupError):
                        child.send_signal(signal.SIGHUP)
                    await asyncio.sleep(fault.for_s / RELOADS)
            case Kind.STEP_CLOCK:
                control.step_wall_clock(fault.amount)
            case Kind.FAIL_CALLS | Kind.BREAK_CALLS:
                what = "broken calls" if fault.kind is Kind.BREAK_CALLS else "failed calls"
                dispatcher.trouble(what, fault.for_s + 0.5)
                control.force(*fault.forced)
                await asyncio.sleep(fault.for_s)
                control.force()
            case Kind.DELAY_SENDS:
                dispatcher.trouble("delayed sends", fault.for_s + 0.5)
                control.delay_sends(fault.amount)
                await asyncio.sleep(fault.for_s)
                control.delay_sends(0)

    async def _strike_discovery(self, fault: Fault) -> None:
        now_s = time.monotonic()
        self.records.discovery.append(Span(now_s, now_s + fault.for_s, fault.kind.value))
        if fault.kind is Kind.DISCOVERY_DOWN:
            await self.fleet.discovery.stop()
            await asyncio.sleep(fault.for_s)
            await started_again(self.fleet.discovery)
            return
        for way in self.ways:
            if fault.kind is Kind.DISCOVERY_SILENT:
                way.cut()
            else:
                way.back.set(Mode.PIECES)
        await asyncio.sleep(fault.for_s)
        for way in self.ways:
            way.mend()

    async def _strike_replica(self, fault: Fault, number: int) -> None:
        replica, link, row = (
            self.fleet.replicas[number],
            self.fleet.links[number],
            self.fleet.rows[number],
        )
        now_s = time.monotonic()
        self.records.replicas[replica.name].append(
            Span(now_s, now_s + fault.for_s + 1.0, fault.kind.value)
        )
        match fault.kind:
            case Kind.DRAIN:
                self.fleet.discovery.change(replica.name, "leaving")
                await asyncio.sleep(fault.for_s)
                row.born_ms = round(time.time() * 1000)
                self.fleet.discovery.change(replica.name, "active")
            case Kind.HANG:
                replica.hangs = True
                await asyncio.sleep(fault.for_s)
                replica.hangs = False
                replica.break_all()
            case Kind.RESTART:
                await replica.stop()
                await asyncio.sleep(fault.for_s)
                await started_again(replica)
                row.born_ms = round(time.time() * 1000)
                self.fleet.discovery.change(replica.name, "active")
            case Kind.CUT:
                link.cut()
                await asyncio.sleep(fault.for_s)
                link.mend()
            case Kind.RESET:
                link.reset()
            case _:
                delay_s = fault.amount if fault.kind is Kind.DELAY else 0.0
                for way in (link.there, link.back):
                    way.set(MODES[fault.kind], delay_s)
                await asyncio.sleep(fault.for_s)
                for way in (link.there, link.back):
                    way.set(Mode.PASS)

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
        """All dispatchers are told to end, with nothing under way."""
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
        for way in self.ways:
            await way.stop()
        await self.fleet.stop()


async def started_again(server: Server) -> None:
    """At its own port, which an outgoing connection may have been given meanwhile.

    Two faults that overlap may both have stopped it; then the first to end has started it.
    """
    while server.server is None or not server.server.is_serving():
        try:
            await server.start()
            return
        except OSError:
            await asyncio.sleep(AGAIN_S)


async def play(
    seed: int, shape: Shape, faults: Sequence[Fault], keep: Path | None = None
) -> Result:
    """One soak in a folder of its own; ``keep``: one that stays, for its logs."""
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        return await Soak(keep, seed, shape).play(faults)
    with tempfile.TemporaryDirectory(prefix="onyxpass-soak-") as folder:
        return await Soak(Path(folder), seed, shape).play(faults)
