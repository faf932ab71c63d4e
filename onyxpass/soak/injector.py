"""Injects the faults of a schedule into the parties of a soak, and records when each had one."""

import asyncio
import signal
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from onyxpass.faultshim.control import FaultControl
from onyxpass.soak.clients import Clients
from onyxpass.soak.dispatchers import CONNECTIONS, Dispatcher
from onyxpass.soak.records import Records, Span
from onyxpass.soak.schedule import DISCOVERY, DISPATCHER, Fault, Kind
from onyxpass.soak.testbed import Fleet
from onyxpass.testbed.link import Link, Mode
from onyxpass.testbed.server import Server

LISTEN_RETRY_S = 0.05
DELAY_PULSE_S = 0.1  # with a send that began in it, 0.14 s at most
DELAY_PAUSE_S = 0.3
RELOADS = 3
RESTART_EFFECT_S = 6.0  # for which a new process may not know what the one before it was told
RELOAD_EFFECT_S = 4.0  # for which a moved discovery's changes may not be known yet
CALLS_EFFECT_S = 0.5  # for which what forced calls began goes on
CROWD_EFFECT_S = 1.0  # for which connections that were displaced are still being closed
LINK_EFFECT_S = 1.0  # for which what was on a link is still on its way
LINK_MODES = {Kind.STALL: Mode.STALL, Kind.PIECES: Mode.PIECES, Kind.DELAY: Mode.PASS}


@dataclass(slots=True)
class Parties:
    """All that faults are injected into; by number: dispatchers, their clients, replicas."""

    records: Records
    fleet: Fleet
    library: Path  # of forced system calls, for the processes that are started
    discovery_links: list[Link] = field(default_factory=list)
    dispatchers: list[Dispatcher] = field(default_factory=list)
    clients: list[Clients] = field(default_factory=list)


class FaultInjector:
    """Injects one fault after another, or several beside each other."""

    def __init__(self, parties: Parties) -> None:
        self._parties = parties
        self._records = parties.records

    async def inject(self, fault: Fault) -> None:
        """Wait until the fault's time, and return once it is over."""
        await asyncio.sleep(fault.at_s)
        if fault.kind in DISPATCHER:
            targets = [self._parties.dispatchers[number] for number in fault.targets]
            await asyncio.gather(*(self._inject_at(fault, target) for target in targets))
        elif fault.kind in DISCOVERY:
            await self._inject_at_discovery(fault)
        else:
            await self._inject_at_replica(fault, fault.targets[0])

    async def _inject_at(self, fault: Fault, dispatcher: Dispatcher) -> None:
        child = dispatcher.child
        if child is None or child.returncode is not None or dispatcher.leaves:
            return
        match fault.kind:
            case Kind.TERMINATE | Kind.SIGNALS:
                await self._restart(dispatcher, child, fault)
            case Kind.KILL:
                await dispatcher.kill()
                dispatcher.trouble("restarted", RESTART_EFFECT_S)
                await dispatcher.start(self._parties.library)
            case Kind.UPGRADE:
                await self._upgrade(dispatcher, child)
            case Kind.HOLD_UP:
                child.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.for_s)
                child.send_signal(signal.SIGCONT)
            case Kind.RELOAD:
                await self._reload(dispatcher, child, fault.for_s)
            case Kind.CROWD:
                dispatcher.trouble("crowd", fault.for_s + CROWD_EFFECT_S)
                clients = self._parties.clients[dispatcher.number]
                await clients.crowd(CONNECTIONS, fault.for_s)
            case _:
                await self._force_calls(fault, dispatcher)

    async def _restart(
        self, dispatcher: Dispatcher, child: asyncio.subprocess.Process, fault: Fault
    ) -> None:
        signals: Sequence[signal.Signals] = fault.signals or (signal.SIGTERM,)
        dispatcher.trouble("restarted", RESTART_EFFECT_S)
        await dispatcher.terminate(child, signals, fault.amount)
        await dispatcher.start(self._parties.library)

    async def _upgrade(self, dispatcher: Dispatcher, child: asyncio.subprocess.Process) -> None:
        library = self._parties.library
        dispatcher.trouble("restarted", RESTART_EFFECT_S)
        if dispatcher.passed is None:
            await dispatcher.terminate(child)
            await dispatcher.start(library)
            return
        await dispatcher.start(library)
        await dispatcher.terminate(child)
        dispatcher.leaves = False  # the new one serves already

    @staticmethod
    async def _reload(
        dispatcher: Dispatcher, child: asyncio.subprocess.Process, for_s: float
    ) -> None:
        dispatcher.trouble("reloaded", for_s + RELOAD_EFFECT_S)
        for _ in range(RELOADS):
            dispatcher.way = 1 - dispatcher.way
            dispatcher.write()
            with suppress(ProcessLookupError):
                child.send_signal(signal.SIGHUP)
            await asyncio.sleep(for_s / RELOADS)

    @staticmethod
    async def _force_calls(fault: Fault, dispatcher: Dispatcher) -> None:
        control = dispatcher.control
        if control is None:
            return
        match fault.kind:
            case Kind.STEP_CLOCK:
                control.step_wall_clock(fault.amount)
            case Kind.FAIL_CALLS | Kind.BREAK_CALLS:
                what = "broken calls" if fault.kind is Kind.BREAK_CALLS else "failed calls"
                dispatcher.trouble(what, fault.for_s + CALLS_EFFECT_S)
                control.force(*fault.forced)
                await asyncio.sleep(fault.for_s)
                control.force()
            case Kind.DELAY_SENDS:
                dispatcher.trouble("delayed sends", fault.for_s + CALLS_EFFECT_S)
                await _delay_in_pulses(control, fault)

    async def _inject_at_discovery(self, fault: Fault) -> None:
        discovery = self._parties.fleet.discovery
        links = self._parties.discovery_links
        now_s = time.monotonic()
        self._records.discovery.append(Span(now_s, now_s + fault.for_s, fault.kind.value))
        if fault.kind is Kind.DISCOVERY_DOWN:
            await discovery.stop()
            await asyncio.sleep(fault.for_s)
            await start_again(discovery)
            return
        for link in links:
            if fault.kind is Kind.DISCOVERY_SILENT:
                link.cut()
            else:
                link.to_client.set_mode(Mode.PIECES)
        await asyncio.sleep(fault.for_s)
        for link in links:
            link.restore()

    async def _inject_at_replica(self, fault: Fault, number: int) -> None:
        fleet = self._parties.fleet
        replica = fleet.replicas[number]
        link = fleet.links[number]
        now_s = time.monotonic()
        span = Span(now_s, now_s + fault.for_s + LINK_EFFECT_S, fault.kind.value)
        self._records.replicas[replica.name].append(span)
        match fault.kind:
            case Kind.DRAIN:
                fleet.discovery.change(replica.name, "leaving")
                await asyncio.sleep(fault.for_s)
                fleet.tell_start(number)
            case Kind.HANG:
                replica.hangs = True
                await asyncio.sleep(fault.for_s)
                replica.hangs = False
                replica.break_all()
            case Kind.RESTART:
                await replica.stop()
                await asyncio.sleep(fault.for_s)
                await start_again(replica)
                fleet.tell_start(number)
            case Kind.CUT:
                link.cut()
                await asyncio.sleep(fault.for_s)
                link.restore()
            case Kind.RESET:
                link.reset()
            case _:
                await self._slow_down(link, fault)

    @staticmethod
    async def _slow_down(link: Link, fault: Fault) -> None:
        delay_s = fault.amount if fault.kind is Kind.DELAY else 0.0
        for direction in (link.to_server, link.to_client):
            direction.set_mode(LINK_MODES[fault.kind], delay_s)
        await asyncio.sleep(fault.for_s)
        for direction in (link.to_server, link.to_client):
            direction.set_mode(Mode.PASS)


async def _delay_in_pulses(control: FaultControl, fault: Fault) -> None:
    """Delay the sends of a moment, again and again.

    A process is held up for up to 0.15 s (the pages); one whose every send is slow is overloaded.
    """
    until_s = time.monotonic() + fault.for_s
    while time.monotonic() < until_s:
        control.delay_sends(fault.amount)
        await asyncio.sleep(DELAY_PULSE_S)
        control.delay_sends(0)
        await asyncio.sleep(DELAY_PAUSE_S)


async def start_again(server: Server) -> None:
    """Start at its own port, which an outgoing connection may have been given meanwhile.

    Two faults that overlap may both have stopped it; then the first to end has started it.
    """
    while server.server is None or not server.server.is_serving():
        try:
            await server.start()
        except OSError:
            await asyncio.sleep(LISTEN_RETRY_S)
