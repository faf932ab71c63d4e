"""The real dispatchers of a soak: one process each, under the control of the fault library."""

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

from onyxpass import atomic_file
from onyxpass.faultshim.control import FaultControl
from onyxpass.soak.records import NOT_RUN, Records, Span
from onyxpass.soak.schedule import Shape
from onyxpass.testbed.link import Link
from onyxpass.testbed.settings import SETTINGS
from onyxpass.testbed.site import free_port

KILL_AFTER_DEADLINE_S = 0.7  # SIGKILL comes so long after SIGTERM and the longest deadline
LONGEST_COUNTED_S = 3.0  # a longer deadline counts as this
CONNECTIONS = 512  # descriptors that a dispatcher may hold
BUSY_SHARE = 0.5  # of a stall, in which a process that was run would have used the processor
LINGER_S = 0.3  # after SIGTERM new connections keep coming
READY_S = 30.0
CLASSES = (
    ("part-lookup", "read_like", 0),
    ("shift-summary", "idempotency_key", 1_000_000),
    ("stock-booking", "non_idempotent", 0),
)
BOOKINGS = frozenset(("stock-booking",))


def settings(shape: Shape) -> dict[str, Any]:
    """Short deadlines, so that a soak of some seconds sees every end of a request."""
    deadline_us = round(shape.deadline_s * 1e6)
    grades = [
        {
            "name": name,
            "promiseUs": min(1_000_000, deadline_us),
            "deadlineUs": deadline_us,
            "value": 1.0,
            "repeat": repeat,
            "group": "zone",
            "windowUs": deduplication_window_us,
        }
        for name, repeat, deduplication_window_us in CLASSES
    ]
    limits = {**SETTINGS["limits"], "connIdleUs": 6_000_000}
    rules = {"drainGraceUs": 1_000_000, "coldFrom": 0.3, "coldUs": 3_000_000}
    return {
        **SETTINGS,
        "az": "z0",
        "grades": grades,
        "limits": limits,
        "rules": rules,
        "peersTotal": shape.dispatchers,
    }


class Dispatcher:
    """One dispatcher through all its processes; its clients' socket outlives them."""

    def __init__(
        self,
        number: int,
        folder: Path,
        discovery: tuple[Link, Link],
        records: Records,
        shape: Shape,
    ) -> None:
        self.number, self.folder, self.ways, self.records = number, folder, discovery, records
        self.shape = shape
        self.name = f"d{number:02}"
        self.way = 0  # which of discovery's addresses it is told
        self.temporary = folder / self.name
        self.temporary.mkdir()
        # Every second one inherits its clients' socket, as for an upgrade; the others bind it
        # themselves.
        self.passed = (
            socket.create_server(("127.0.0.1", 0), backlog=512) if number % 2 == 0 else None
        )
        self.port = int(self.passed.getsockname()[1]) if self.passed is not None else free_port()
        self.config = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.control: FaultControl | None = None
        self.child: asyncio.subprocess.Process | None = None
        self.serves = False  # whether clients come
        self.leaves = False  # whether its present process has been told to end
        self.lives = 0
        self.unserved_s = 0.0  # since when no process takes connections; 0: one does
        self._log_offset = 0  # where the log of its present process begins

    def write(self) -> None:
        """Write its file anew, with the address of discovery that it is told at present."""
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"127.0.0.1:{self.port}",
                "discovery": self.ways[self.way].address,
                "seed": f"{self.number + 1:x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": CONNECTIONS},
                "known": {},
                "settings": settings(self.shape),
            }
        )
        atomic_file.replace(self.config, text.encode())

    async def start(self, library: Path) -> None:
        """Start a process, and let clients come once it says that it has the list."""
        self.lives += 1
        control = FaultControl(
            library, self.folder / f"{self.name}-{self.lives}.block", self.number + self.lives
        )
        environment: Mapping[str, str] = {
            **{key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")},
            **control.environment,
            "TMPDIR": str(self.temporary),
        }
        descriptors = (self.passed.fileno(),) if self.passed is not None else ()
        if self.passed is not None:
            environment = {**environment, "ROUTER_PASSED_SOCKET": str(self.passed.fileno())}
        with self.log.open("ab") as log:
            self._log_offset = self.log.stat().st_size
            child = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "onyxpass", "serve", "--config", str(self.config)),
                stdout=log,
                stderr=log,
                env=environment,
                pass_fds=descriptors,
            )
        self.control, self.child, self.leaves = control, child, False
        due_s = time.monotonic() + READY_S
        while not self._logged(b'"listening"', b'"form": "full"'):
            if child.returncode is not None and self.leaves:
                return  # told to end while it was starting
            if child.returncode is not None or time.monotonic() > due_s:
                state = (
                    f"exit code {child.returncode}"
                    if child.returncode is not None
                    else "still starting"
                )
                self.records.problems.append(f"{self.name}: not ready ({state})")
                return
            await asyncio.sleep(0.05)
        self.serves = True
        if self.passed is not None and self.unserved_s:
            # Clients wait in the queue of a socket that outlives its processes, and nobody can
            # answer them.
            span = Span(self.unserved_s, time.monotonic(), "no process")
            self.records.dispatchers[self.number].append(span)
        self.unserved_s = 0.0

    def _logged(self, *texts: bytes) -> bool:
        """Return whether its present process has logged all of these."""
        with self.log.open("rb") as log:
            log.seek(self._log_offset)
            logged = log.read()
        return all(text in logged for text in texts)

    def trouble(self, what: str, for_s: float) -> None:
        """Record that it is troubled from now on."""
        now_s = time.monotonic()
        self.records.dispatchers[self.number].append(Span(now_s, now_s + for_s, what))

    async def terminate(
        self,
        child: asyncio.subprocess.Process,
        signals: Sequence[signal.Signals] = (signal.SIGTERM,),
        pause_s: float = 0.0,
    ) -> None:
        """SIGTERM, alone or in a series, and SIGKILL at the platform's earliest.

        What the process's end tells is put down.
        """
        first = signals.index(signal.SIGTERM)
        await self._signal(child, signals[:first], pause_s)
        self.leaves = True
        began_s = time.monotonic()
        if child is self.child:
            self.unserved_s = began_s
        sent = asyncio.create_task(self._signal(child, signals[first:], pause_s))
        await asyncio.sleep(LINGER_S)
        if child is self.child:
            self.serves = False
        kill_after_s = min(self.shape.deadline_s, LONGEST_COUNTED_S) + KILL_AFTER_DEADLINE_S
        left_s = kill_after_s - (time.monotonic() - began_s)
        try:
            await asyncio.wait_for(child.wait(), max(0.1, left_s))
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                child.kill()
            await child.wait()
            span = Span(began_s, time.monotonic(), "ended by SIGKILL")
            self.records.dispatchers[self.number].append(span)
        await sent
        # A program that is still being loaded ends by the signal's default, and has taken nothing.
        loading = child.returncode == -signal.SIGTERM and not self._logged(b'"listening"')
        if child.returncode not in (0, -signal.SIGKILL) and not loading:
            self.records.problems.append(f"{self.name}: exit code {child.returncode} after SIGTERM")

    @staticmethod
    async def _signal(
        child: asyncio.subprocess.Process, signals: Sequence[signal.Signals], pause_s: float
    ) -> None:
        for number in signals:
            with contextlib.suppress(ProcessLookupError):
                child.send_signal(number)
            await asyncio.sleep(pause_s)

    async def kill(self) -> None:
        """Kill its process, which its clients have to notice by themselves."""
        child = self.child
        self.serves, self.unserved_s = False, time.monotonic()
        self.trouble("killed", 0.5)
        if child is not None:
            with contextlib.suppress(ProcessLookupError):
                child.kill()
            await child.wait()

    def check(self) -> None:
        """Guards against a process that ended by itself and is not missed."""
        if (
            self.child is not None
            and self.child.returncode is not None
            and self.serves
            and not self.leaves
        ):
            self.records.problems.append(
                f"{self.name}: ended by itself, exit code {self.child.returncode}"
            )
            self.serves = False

    def read_log(self) -> None:
        """Take violations, faults of its own and stalls from the logs of all its processes."""
        cpu_us = 0
        for line in self.log.read_text(errors="replace").splitlines():
            try:
                told = json.loads(line)
            except ValueError:
                if line.strip():
                    self.records.problems.append(f"{self.name}: log: {line[:200]}")
                continue
            if told.get("event") == "listening":
                cpu_us = 0  # another process
            if told.get("event") == "process_held_up":
                self._note_stall(told, cpu_us)
            cpu_us = told.get("cpu_us", cpu_us)
            if told.get("event") == "violation" or "exception" in told or "Traceback" in line:
                self.records.problems.append(f"{self.name}: log: {line[:600]}")

    def _note_stall(self, told: Mapping[str, Any], cpu_before_us: int) -> None:
        """Record a stall in which its process hardly used the processor since its last line."""
        if told["cpu_us"] - cpu_before_us < BUSY_SHARE * told["late_us"]:
            until_s = told["at_us"] / 1e6
            span = Span(until_s - told["late_us"] / 1e6, until_s, NOT_RUN)
            self.records.dispatchers[self.number].append(span)
            self.records.not_run_s += told["late_us"] / 1e6
