"""Runs one schedule of faults against real dispatchers and checks the records."""

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
from onyxpass.soak.clients import ClientPool
from onyxpass.soak.delivery_monitor import DeliveryMonitor
from onyxpass.soak.dispatchers import TRAFFIC_CLASSES, SoakDispatcher
from onyxpass.soak.injector import FaultInjector, SoakComponents
from onyxpass.soak.records import Records
from onyxpass.soak.schedule import ScheduledFault, SoakParameters
from onyxpass.soak.testbed import SoakFleet
from onyxpass.testbed.link import Link

LAG_CHECK_INTERVAL_S = 0.02
PROCESS_CHECK_INTERVAL_S = 0.25
MAX_CONCURRENT_STARTS = 8
SETTLE_S = 4.0  # after the last fault and client, for requests and held states to end


@dataclass(slots=True)
class SoakResult:
    """The breaches, the number of requests by outcome, and how much the machine interfered."""

    breaches: list[str]
    outcomes: Counter[str] = field(default_factory=Counter)
    lag_s: float = 0.0  # the longest that the soak's own process was kept from running
    descheduled_s: float = 0.0  # the total time for which dispatchers were kept from running


class Soak:
    """One soak, from the start of its components to their end."""

    def __init__(self, folder: Path, seed: int, parameters: SoakParameters) -> None:
        self.folder, self.parameters = folder, parameters
        self.rng = random.Random(f"clients {seed}")
        self.records = Records(Trace())
        self.fleet = SoakFleet(parameters.readers, parameters.writers, self.records)
        self.components = SoakComponents(self.records, self.fleet, build_library(folder))
        self.dispatchers = self.components.dispatchers
        self.clients = self.components.clients
        self.client_tasks: set[asyncio.Task[None]] = set()

    async def run(self, faults: Sequence[ScheduledFault]) -> SoakResult:
        """Inject these faults while clients send requests, and check the records."""
        try:
            await self._start()
            works = (
                self._measure_lag(),
                self._check_processes(),
                DeliveryMonitor(self.records).run(),
            )
            monitors = [asyncio.create_task(work) for work in works]
            injector = FaultInjector(self.components)
            injections = [asyncio.create_task(injector.inject(fault)) for fault in faults]
            await self._send_requests()
            await asyncio.gather(*injections)
            await asyncio.gather(*self.client_tasks)
            await asyncio.sleep(SETTLE_S)
            for task in monitors:
                task.cancel()
            await asyncio.gather(*monitors, return_exceptions=True)
            await self._terminate_dispatchers()
        finally:
            await self._stop()
        for dispatcher in self.dispatchers:
            dispatcher.read_log()
        outcomes = Counter(request.outcome for request in self.records.requests.values())
        records = self.records
        return SoakResult(checker.breaches(records), outcomes, records.lag_s, records.descheduled_s)

    async def _start(self) -> None:
        await self.fleet.start()
        both = (Link(self.fleet.discovery.port), Link(self.fleet.discovery.port))
        self.components.discovery_links.extend(both)
        for link in both:
            await link.start()
        for number in range(self.parameters.dispatchers):
            dispatcher = SoakDispatcher(number, self.folder, both, self.records, self.parameters)
            dispatcher.write_config()
            self.dispatchers.append(dispatcher)
            self.clients.append(ClientPool(self.records, number, dispatcher.port, self.rng))
        slots = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start(dispatcher: SoakDispatcher) -> None:
            async with slots:
                await dispatcher.start(self.components.library)

        await asyncio.gather(*(start(dispatcher) for dispatcher in self.dispatchers))

    async def _send_requests(self) -> None:
        """Start clients at random moments, each at a dispatcher that accepts clients.

        A dispatcher that is terminating is also used while its pool has idle connections, because
        clients use open connections for as long as there are any.
        """
        began_s, number = time.monotonic(), 0
        while time.monotonic() - began_s < self.parameters.length_s:
            await asyncio.sleep(self.rng.expovariate(self.parameters.requests_per_s))
            serving = [
                d.number
                for d in self.dispatchers
                if d.accepts_clients or (d.terminating and self.clients[d.number].idle)
            ]
            if not serving:
                continue
            number += 1
            traffic_class = self.rng.choice(TRAFFIC_CLASSES)[0]
            timeout_s = self.rng.choice((self.parameters.deadline_s, 1.5, 0.6))
            clients = self.clients[self.rng.choice(serving)]
            task = asyncio.create_task(
                clients.run_client(f"r{number:05}", traffic_class, timeout_s)
            )
            self.client_tasks.add(task)
            task.add_done_callback(self.client_tasks.discard)

    # Monitors that run beside the clients

    async def _measure_lag(self) -> None:
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            self.records.lag_s = max(
                self.records.lag_s, time.monotonic() - began_s - LAG_CHECK_INTERVAL_S
            )

    async def _check_processes(self) -> None:
        while True:
            for dispatcher in self.dispatchers:
                dispatcher.check_running()
            await asyncio.sleep(PROCESS_CHECK_INTERVAL_S)

    # Shutdown

    async def _terminate_dispatchers(self) -> None:
        """Terminate all running dispatchers; no request is open at this point."""
        running = [
            (d, d.process)
            for d in self.dispatchers
            if d.process is not None and d.process.returncode is None
        ]
        for dispatcher, _ in running:
            dispatcher.accepts_clients = False
        await asyncio.gather(*(dispatcher.terminate(process) for dispatcher, process in running))

    async def _stop(self) -> None:
        for clients in self.clients:
            clients.close()
        for dispatcher in self.dispatchers:
            if dispatcher.process is not None and dispatcher.process.returncode is None:
                with suppress(ProcessLookupError):
                    dispatcher.process.kill()
                await dispatcher.process.wait()
            if dispatcher.inherited_socket is not None:
                dispatcher.inherited_socket.close()
        for link in self.components.discovery_links:
            await link.stop()
        await self.fleet.stop()


async def run_soak(
    seed: int,
    parameters: SoakParameters,
    faults: Sequence[ScheduledFault],
    log_folder: Path | None = None,
) -> SoakResult:
    """Run one soak in ``log_folder``, which stays, or else in a temporary folder."""
    if log_folder is not None:
        await asyncio.to_thread(log_folder.mkdir, parents=True, exist_ok=True)
        return await Soak(log_folder, seed, parameters).run(faults)
    with tempfile.TemporaryDirectory(prefix="onyxpass-soak-") as folder:
        return await Soak(Path(folder), seed, parameters).run(faults)
