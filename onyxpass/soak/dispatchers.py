"""The real dispatchers of a soak, each in a process that runs under the fault library."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from onyxpass import atomic_file, reload_signal
from onyxpass.faultshim.control import FaultControl
from onyxpass.soak.records import DESCHEDULED, FaultInterval, Records
from onyxpass.soak.schedule import SoakParameters
from onyxpass.testbed.link import Link
from onyxpass.testbed.settings import SETTINGS
from onyxpass.testbed.site import free_port

KILL_AFTER_DEADLINE_S = 0.7  # SIGKILL is sent this long after SIGTERM plus the deadline
MAX_COUNTED_DEADLINE_S = 3.0  # a longer deadline counts as this
SOCKET_LIMIT = 512  # sockets that a dispatcher may have open
MEMORY_MIB = 96  # that it may use
# a process that used less CPU time than this part of a stall was not run by the machine
MIN_CPU_SHARE = 0.5
ROUTED_AFTER_SIGTERM_S = 0.3  # new connections keep coming this long after SIGTERM
READY_TIMEOUT_S = 30.0
TRAFFIC_CLASSES = (
    ("part-lookup", "read_like", 0),
    ("shift-summary", "idempotency_key", 1_000_000),
    ("stock-booking", "non_idempotent", 0),
)
BOOKING_CLASSES = frozenset(("stock-booking",))


def dispatcher_settings(parameters: SoakParameters) -> dict[str, Any]:
    """Return settings with short times, so that a soak of seconds sees every end of a request."""
    deadline_us = round(parameters.deadline_s * 1e6)
    traffic_classes = [
        {
            "name": name,
            "promiseUs": min(1_000_000, deadline_us),
            "deadlineUs": deadline_us,
            "value": 1.0,
            "repeat": repeat,
            "group": "zone",
            "windowUs": deduplication_window_us,
        }
        for name, repeat, deduplication_window_us in TRAFFIC_CLASSES
    ]
    limits = {**SETTINGS["limits"], "connIdleUs": 6_000_000}
    rules = {"drainGraceUs": 1_000_000, "coldFrom": 0.3, "coldUs": 3_000_000}
    return {
        **SETTINGS,
        "az": "z0",
        "grades": traffic_classes,
        "limits": limits,
        "rules": rules,
        "peersTotal": parameters.dispatchers,
    }


class SoakDispatcher:
    """One dispatcher and its successive processes.

    An inherited listening socket outlives them all.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        discovery_links: tuple[Link, Link],
        records: Records,
        parameters: SoakParameters,
    ) -> None:
        self.number, self.folder, self.discovery_links, self.records = (
            number,
            folder,
            discovery_links,
            records,
        )
        self.parameters = parameters
        self.name = f"d{number:02}"
        self.discovery_link = 0  # index of the link whose address is in the configuration
        self.temporary_folder = folder / self.name
        self.temporary_folder.mkdir()
        # Every second dispatcher inherits its listening socket, as for an upgrade; the others bind
        # it themselves.
        self.inherited_socket = (
            socket.create_server(("127.0.0.1", 0), backlog=512) if number % 2 == 0 else None
        )
        self.port = (
            int(self.inherited_socket.getsockname()[1])
            if self.inherited_socket is not None
            else free_port()
        )
        self.config = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.fault_control: FaultControl | None = None
        self.process: asyncio.subprocess.Process | None = None
        self.accepts_clients = False  # whether clients open connections to it
        self.killed: asyncio.subprocess.Process | None = None  # the process killed last
        self.terminating = False  # whether SIGTERM was sent to its present process
        self.starts = 0
        self.unserved_since_s = 0.0  # since when no process accepts connections; 0: one does
        self._log_offset = 0  # where the log of the present process begins, in bytes

    def write_config(self) -> None:
        """Write the configuration file, with the address of the present discovery link."""
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"127.0.0.1:{self.port}",
                "discovery": self.discovery_links[self.discovery_link].address,
                "seed": f"{self.number + 1:x}",
                "limits": {"cores": 1.0, "memory_mb": MEMORY_MIB, "sockets": SOCKET_LIMIT},
                "known": {},
                "settings": dispatcher_settings(self.parameters),
            }
        )
        atomic_file.replace(self.config, text.encode())

    async def start(self, library: Path) -> None:
        """Start a process, and let clients connect once it listens and has the endpoint list.

        A process that does not get ready within ``READY_TIMEOUT_S`` is recorded as a problem.
        """
        self.starts += 1
        control = FaultControl(
            library, self.folder / f"{self.name}-{self.starts}.block", self.number + self.starts
        )
        environment: Mapping[str, str] = {
            **{key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")},
            **control.environment,
            "TMPDIR": str(self.temporary_folder),
        }
        descriptors = (self.inherited_socket.fileno(),) if self.inherited_socket is not None else ()
        if self.inherited_socket is not None:
            environment = {
                **environment,
                "ROUTER_PASSED_SOCKET": str(self.inherited_socket.fileno()),
            }
        with self.log.open("ab") as log, reload_signal.blocked_for_child():
            self._log_offset = self.log.stat().st_size
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "onyxpass", "serve", "--config", str(self.config)),
                stdout=log,
                stderr=log,
                env=environment,
                pass_fds=descriptors,
            )
        self.fault_control, self.process, self.terminating = control, process, False
        due_s = time.monotonic() + READY_TIMEOUT_S
        while not self._logged(b'"listening"', b'"form": "full"'):
            if process.returncode is not None and (self.terminating or process is self.killed):
                return  # it was terminated or killed by a fault while it was starting
            if process.returncode is not None or time.monotonic() > due_s:
                state = (
                    f"exit code {process.returncode}"
                    if process.returncode is not None
                    else "still starting"
                )
                self.records.problems.append(f"{self.name}: not ready ({state})")
                return
            await asyncio.sleep(0.05)
        self.accepts_clients = True
        if self.inherited_socket is not None and self.unserved_since_s:
            # Clients that connect while no process runs wait in the queue of the inherited socket,
            # and nothing can answer them.
            interval = FaultInterval(self.unserved_since_s, time.monotonic(), "no process")
            self.records.dispatcher_faults[self.number].append(interval)
        self.unserved_since_s = 0.0

    def _logged(self, *texts: bytes) -> bool:
        """Return whether the log of the present process contains all of these texts."""
        with self.log.open("rb") as log:
            log.seek(self._log_offset)
            logged = log.read()
        return all(text in logged for text in texts)

    def record_disturbance(self, cause: str, duration_s: float) -> None:
        """Record that the dispatcher is disturbed from now on for ``duration_s``."""
        now_s = time.monotonic()
        self.records.dispatcher_faults[self.number].append(
            FaultInterval(now_s, now_s + duration_s, cause)
        )

    async def terminate(
        self,
        process: asyncio.subprocess.Process,
        signals: Sequence[signal.Signals] = (signal.SIGTERM,),
        pause_s: float = 0.0,
    ) -> None:
        """Send SIGTERM, alone or in a series, and SIGKILL at the platform's earliest time.

        An end by SIGKILL is recorded as a disturbance, an unexpected exit code as a problem.
        """
        first = signals.index(signal.SIGTERM)
        await self._send_signals(process, signals[:first], pause_s)
        self.terminating = True
        began_s = time.monotonic()
        if process is self.process:
            self.unserved_since_s = began_s
        sent = asyncio.create_task(self._send_signals(process, signals[first:], pause_s))
        await asyncio.sleep(ROUTED_AFTER_SIGTERM_S)
        if process is self.process:
            self.accepts_clients = False
        kill_after_s = (
            min(self.parameters.deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_AFTER_DEADLINE_S
        )
        left_s = kill_after_s - (time.monotonic() - began_s)
        try:
            await asyncio.wait_for(process.wait(), max(0.1, left_s))
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            interval = FaultInterval(began_s, time.monotonic(), "ended by SIGKILL")
            self.records.dispatcher_faults[self.number].append(interval)
        await sent
        # A program that is still being loaded has no signal handler yet, so SIGTERM ends it; it has
        # received no request by then.
        loading = process.returncode == -signal.SIGTERM and not self._logged(b'"listening"')
        if process.returncode not in (0, -signal.SIGKILL) and not loading:
            self.records.problems.append(
                f"{self.name}: exit code {process.returncode} after SIGTERM"
            )

    @staticmethod
    async def _send_signals(
        process: asyncio.subprocess.Process, signals: Sequence[signal.Signals], pause_s: float
    ) -> None:
        for number in signals:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(number)
            await asyncio.sleep(pause_s)

    async def kill(self) -> None:
        """Kill the process; its clients have to notice by themselves."""
        process = self.process
        self.accepts_clients, self.unserved_since_s = False, time.monotonic()
        self.record_disturbance("killed", 0.5)
        self.killed = process
        if process is not None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    def check_running(self) -> None:
        """Record a problem if the process ended without being terminated by the soak."""
        if (
            self.process is not None
            and self.process.returncode is not None
            and self.accepts_clients
            and not self.terminating
        ):
            self.records.problems.append(
                f"{self.name}: ended by itself, exit code {self.process.returncode}"
            )
            self.accepts_clients = False

    def read_log(self) -> None:
        """Record violations, exceptions, other text and stalls from the log of all processes."""
        cpu_us = 0
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                if line.strip():
                    self.records.problems.append(f"{self.name}: log: {line[:200]}")
                continue
            if entry.get("event") == "listening":
                cpu_us = 0  # a new process begins here
            if entry.get("event") == "process_held_up":
                self._record_stall(entry, cpu_us)
            cpu_us = entry.get("cpu_us", cpu_us)
            if entry.get("event") == "violation" or "exception" in entry or "Traceback" in line:
                self.records.problems.append(f"{self.name}: log: {line[:600]}")

    def _record_stall(self, entry: Mapping[str, Any], cpu_before_us: int) -> None:
        """Record a stall in which the process used little CPU time since its previous log line."""
        if entry["cpu_us"] - cpu_before_us < MIN_CPU_SHARE * entry["late_us"]:
            end_s = entry["at_us"] / 1e6
            interval = FaultInterval(end_s - entry["late_us"] / 1e6, end_s, DESCHEDULED)
            self.records.dispatcher_faults[self.number].append(interval)
            self.records.descheduled_s += entry["late_us"] / 1e6
