"""Injects the faults of a schedule into a soak, and records when each component was disturbed."""

import asyncio
import signal
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from onyxpass.faultshim.control import FaultControl
from onyxpass.soak.clients import ClientPool
from onyxpass.soak.dispatchers import SOCKET_LIMIT, SoakDispatcher
from onyxpass.soak.records import FaultInterval, Records
from onyxpass.soak.schedule import (
    DISCOVERY_FAULTS,
    DISPATCHER_FAULTS,
    FaultKind,
    ScheduledFault,
)
from onyxpass.soak.testbed import SoakFleet
from onyxpass.testbed.link import Link, Mode
from onyxpass.testbed.server import Server

LISTEN_RETRY_S = 0.05
DELAY_PULSE_S = 0.1  # with a send that began in it, the process is held up for 0.14 s at most
DELAY_PAUSE_S = 0.3
RELOADS = 3
UNFINISHED_BODIES = SOCKET_LIMIT // 5  # clients, fewer than the places that others leave free
# How long the effects of a fault may last after its start or its end:
RESTART_EFFECT_S = 6.0  # a new process may not know changes that the previous one was sent
RELOAD_EFFECT_S = 4.0  # changes may not be known yet after discovery's address changed
CALLS_EFFECT_S = 0.5  # work that failed or delayed system calls began still goes on
IDLE_CONNECTIONS_EFFECT_S = 1.0  # displaced connections are still being closed
LINK_EFFECT_S = 1.0  # data on a link is still on its way
LINK_MODES = {
    FaultKind.STALL: Mode.STALL,
    FaultKind.PIECES: Mode.PIECES,
    FaultKind.DELAY: Mode.PASS,
}


@dataclass(slots=True)
class SoakComponents:
    """The components that faults act on; dispatchers and their clients by number."""

    records: Records
    fleet: SoakFleet
    library: Path  # the fault library, loaded by the dispatchers that are started
    discovery_links: list[Link] = field(default_factory=list)
    dispatchers: list[SoakDispatcher] = field(default_factory=list)
    clients: list[ClientPool] = field(default_factory=list)


class FaultInjector:
    """Injects faults, several at the same time if they overlap."""

    def __init__(self, components: SoakComponents) -> None:
        self._components = components
        self._records = components.records

    async def inject(self, fault: ScheduledFault) -> None:
        """Wait until the fault's time, inject it and return once it is over."""
        await asyncio.sleep(fault.at_s)
        if fault.kind in DISPATCHER_FAULTS:
            targets = [self._components.dispatchers[number] for number in fault.targets]
            await asyncio.gather(
                *(self._inject_into_dispatcher(fault, target) for target in targets)
            )
        elif fault.kind in DISCOVERY_FAULTS:
            await self._inject_into_discovery(fault)
        else:
            await self._inject_into_replica(fault, fault.targets[0])

    async def _inject_into_dispatcher(
        self, fault: ScheduledFault, dispatcher: SoakDispatcher
    ) -> None:
        process = dispatcher.process
        if process is None or process.returncode is not None or dispatcher.terminating:
            return
        match fault.kind:
            case FaultKind.TERMINATE | FaultKind.SIGNAL_SERIES:
                await self._restart(dispatcher, process, fault)
            case FaultKind.KILL:
                await dispatcher.kill()
                dispatcher.record_disturbance("restarted", RESTART_EFFECT_S)
                await dispatcher.start(self._components.library)
            case FaultKind.UPGRADE:
                await self._upgrade(dispatcher, process)
            case FaultKind.SUSPEND:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_s)
                process.send_signal(signal.SIGCONT)
            case FaultKind.RELOAD:
                await self._reload(dispatcher, process, fault.duration_s)
            case FaultKind.IDLE_CONNECTIONS:
                dispatcher.record_disturbance("crowd", fault.duration_s + IDLE_CONNECTIONS_EFFECT_S)
                clients = self._components.clients[dispatcher.number]
                await clients.hold_idle_connections(SOCKET_LIMIT, fault.duration_s)
            case FaultKind.UNFINISHED_BODIES:
                clients = self._components.clients[dispatcher.number]
                await clients.hold_unfinished_bodies(UNFINISHED_BODIES, fault.duration_s)
            case _:
                await self._force_calls(fault, dispatcher)

    async def _restart(
        self,
        dispatcher: SoakDispatcher,
        process: asyncio.subprocess.Process,
        fault: ScheduledFault,
    ) -> None:
        signals: Sequence[signal.Signals] = fault.signals or (signal.SIGTERM,)
        dispatcher.record_disturbance("restarted", RESTART_EFFECT_S)
        await dispatcher.terminate(process, signals, fault.amount_s)
        await dispatcher.start(self._components.library)

    async def _upgrade(
        self, dispatcher: SoakDispatcher, process: asyncio.subprocess.Process
    ) -> None:
        library = self._components.library
        dispatcher.record_disturbance("restarted", RESTART_EFFECT_S)
        if dispatcher.inherited_socket is None:
            await dispatcher.terminate(process)
            await dispatcher.start(library)
            return
        await dispatcher.start(library)
        await dispatcher.terminate(process)
        dispatcher.terminating = False  # the new process serves already

    @staticmethod
    async def _reload(
        dispatcher: SoakDispatcher, process: asyncio.subprocess.Process, duration_s: float
    ) -> None:
        dispatcher.record_disturbance("reloaded", duration_s + RELOAD_EFFECT_S)
        for _ in range(RELOADS):
            dispatcher.discovery_link = 1 - dispatcher.discovery_link
            dispatcher.write_config()
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(duration_s / RELOADS)

    @staticmethod
    async def _force_calls(fault: ScheduledFault, dispatcher: SoakDispatcher) -> None:
        control = dispatcher.fault_control
        if control is None:
            return
        match fault.kind:
            case FaultKind.STEP_CLOCK:
                control.step_wall_clock(fault.amount_s)
            case FaultKind.FAIL_CALLS | FaultKind.BREAK_CONNECTIONS:
                cause = (
                    "broken calls" if fault.kind is FaultKind.BREAK_CONNECTIONS else "failed calls"
                )
                dispatcher.record_disturbance(cause, fault.duration_s + CALLS_EFFECT_S)
                control.force(*fault.forced)
                await asyncio.sleep(fault.duration_s)
                control.force()
            case FaultKind.DELAY_SENDS:
                dispatcher.record_disturbance("delayed sends", fault.duration_s + CALLS_EFFECT_S)
                await _delay_in_pulses(control, fault)

    async def _inject_into_discovery(self, fault: ScheduledFault) -> None:
        discovery = self._components.fleet.discovery
        links = self._components.discovery_links
        now_s = time.monotonic()
        self._records.discovery_faults.append(
            FaultInterval(now_s, now_s + fault.duration_s, fault.kind.value)
        )
        if fault.kind is FaultKind.DISCOVERY_DOWN:
            await discovery.stop()
            await asyncio.sleep(fault.duration_s)
            await start_again(discovery)
            return
        for link in links:
            if fault.kind is FaultKind.DISCOVERY_SILENT:
                link.cut()
            else:
                link.to_client.set_mode(Mode.PIECES)
        await asyncio.sleep(fault.duration_s)
        for link in links:
            link.restore()

    async def _inject_into_replica(self, fault: ScheduledFault, number: int) -> None:
        fleet = self._components.fleet
        replica = fleet.replicas[number]
        link = fleet.links[number]
        now_s = time.monotonic()
        interval = FaultInterval(now_s, now_s + fault.duration_s + LINK_EFFECT_S, fault.kind.value)
        self._records.replica_faults[replica.name].append(interval)
        match fault.kind:
            case FaultKind.DRAIN:
                fleet.discovery.change(replica.name, "leaving")
                await asyncio.sleep(fault.duration_s)
                fleet.announce_start(number)
            case FaultKind.HANG:
                replica.hanging = True
                await asyncio.sleep(fault.duration_s)
                replica.hanging = False
                replica.reset_connections()
            case FaultKind.RESTART:
                await replica.stop()
                await asyncio.sleep(fault.duration_s)
                await start_again(replica)
                fleet.announce_start(number)
            case FaultKind.CUT:
                link.cut()
                await asyncio.sleep(fault.duration_s)
                link.restore()
            case FaultKind.RESET:
                link.reset()
            case _:
                await self._slow_down(link, fault)

    @staticmethod
    async def _slow_down(link: Link, fault: ScheduledFault) -> None:
        delay_s = fault.amount_s if fault.kind is FaultKind.DELAY else 0.0
        for direction in (link.to_server, link.to_client):
            direction.set_mode(LINK_MODES[fault.kind], delay_s)
        await asyncio.sleep(fault.duration_s)
        for direction in (link.to_server, link.to_client):
            direction.set_mode(Mode.PASS)


async def _delay_in_pulses(control: FaultControl, fault: ScheduledFault) -> None:
    """Delay sends in short pulses with pauses between them.

    The platform may hold a process up for up to 0.15 s; a process whose every send is slow would be
    overloaded instead.
    """
    end_s = time.monotonic() + fault.duration_s
    while time.monotonic() < end_s:
        control.delay_sends(fault.amount_s)
        await asyncio.sleep(DELAY_PULSE_S)
        control.delay_sends(0)
        await asyncio.sleep(DELAY_PAUSE_S)


async def start_again(server: Server) -> None:
    """Start a server at its own port, and retry while an outgoing connection has that port.

    A server that serves already is left alone: if two overlapping faults stopped it, the one that
    ends first starts it.
    """
    while server.server is None or not server.server.is_serving():
        try:
            await server.start()
        except OSError:
            await asyncio.sleep(LISTEN_RETRY_S)
