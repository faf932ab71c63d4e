"""Runs the program in child processes whose system calls, clock and disk a test can make fail."""

import asyncio
import contextlib
import json
import os
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Coroutine, Mapping, Sequence
from pathlib import Path
from typing import Any, ClassVar

from cluster import Discovery, Replica
from test_program import RAW

from onyxpass.faultshim.control import FaultControl, build_library

ROOT = Path(__file__).parent.parent
TEST_TIMEOUT_S = 60.0  # only ends a test that has failed already
LIBRARY_FOLDER = Path(tempfile.gettempdir()) / f"onyxpass-faultshim-{os.getpid()}"


def fault_control(folder: Path, name: str = "faults", seed: int = 1) -> FaultControl:
    """Return the control of the faults of one process that has not started yet."""
    LIBRARY_FOLDER.mkdir(exist_ok=True)
    return FaultControl(build_library(LIBRARY_FOLDER), folder / f"{name}.block", seed)


def run_async(work: Coroutine[Any, Any, Any]) -> Any:
    """Run the coroutine of a test; processes that a failed test leaves behind are killed."""
    return asyncio.run(_and_clean_up(work))


async def _and_clean_up(work: Coroutine[Any, Any, Any]) -> Any:
    try:
        return await asyncio.wait_for(work, TEST_TIMEOUT_S)
    finally:
        # The garbage collector would close what they hold only later, in the middle of pytest's
        # report.
        for process in ChildProcess.started:
            await process.kill()
        ChildProcess.started.clear()


@contextlib.asynccontextmanager
async def open_connection(
    port: int,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Open a connection and close it at the end of the block, even if the test fails.

    A connection that is left to the garbage collector spoils pytest's report.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.close()
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def servers_and_config(
    folder: Path,
    readers: Sequence[Replica],
    writers: Sequence[Replica],
    discovery: Discovery | None = None,
    **keys: object,
) -> AsyncIterator[tuple[Path, Discovery]]:
    """Start these servers and a discovery server, and write the file of a dispatcher for them.

    ``keys`` are keys of that file.
    """
    discovery = discovery or Discovery()
    for kind, replicas in (("r", readers), ("w", writers)):
        for number, replica in enumerate(replicas):
            await replica.start()
            discovery.hosts.append(discovery.entry(f"{kind}{number}", kind, replica.address))
    await discovery.start()
    path = folder / "config.json"
    path.write_text(json.dumps({**RAW, "discovery": discovery.address, **keys}))
    yield path, discovery
    for part in (discovery, *readers, *writers):
        await part.stop()


class ChildProcess:
    """The program as a child process; ``lines`` holds the JSON objects of its log so far."""

    started: ClassVar[list["ChildProcess"]] = []

    def __init__(self, child: asyncio.subprocess.Process) -> None:
        self.started.append(self)
        self.child = child
        self.lines: list[dict[str, Any]] = []
        self.other_output = ""  # lines of its output that are not JSON
        self._new_line = asyncio.Event()
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def start(
        cls, *arguments: str, control: FaultControl | None = None, **options: Any
    ) -> "ChildProcess":
        """Start one command; ``options`` are those of ``create_subprocess_exec``.

        ``environment`` adds variables to those of this process.
        """
        environment: Mapping[str, str] = options.pop("environment", {})
        fault_variables = control.environment if control is not None else {}
        stdout = options.pop("stdout", asyncio.subprocess.PIPE)
        child = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "onyxpass", *arguments),
            cwd=ROOT,
            stdout=stdout,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, **environment, **fault_variables},
            **options,
        )
        return cls(child)

    async def _read(self) -> None:
        if self.child.stdout is None:
            return
        async for line in self.child.stdout:
            try:
                self.lines.append(json.loads(line))
            except ValueError:
                self.other_output += line.decode(errors="replace")
            new_line, self._new_line = self._new_line, asyncio.Event()
            new_line.set()

    def events(self, event: str, **fields: object) -> list[dict[str, Any]]:
        """Return the log lines of this event that have these fields."""
        return [
            line
            for line in self.lines
            if line.get("event") == event and all(line.get(k) == v for k, v in fields.items())
        ]

    async def wait_for_event(self, event: str, **fields: object) -> dict[str, Any]:
        """Return the first such log line, once it has been written."""
        while not (found := self.events(event, **fields)):
            assert not self._reading.done(), (
                f"ended without {event}: {self.other_output}{self.lines[-3:]}"
            )
            new_line = asyncio.ensure_future(self._new_line.wait())
            await asyncio.wait([new_line, self._reading], return_when=asyncio.FIRST_COMPLETED)
            new_line.cancel()
        return found[0]

    async def port(self) -> int:
        """Return the port that it listens on, once it has the complete endpoint list."""
        await self.wait_for_event("list", form="full")
        return int((await self.wait_for_event("listening"))["listen"].rpartition(":")[2])

    async def terminate(self) -> int:
        """Send SIGTERM if the process still runs, wait for its end, and return its exit code."""
        if self.child.returncode is None:
            self.child.terminate()
        code = await self.child.wait()
        await self._reading
        return code

    async def kill(self) -> None:
        """Send SIGKILL if the process still runs, wait for its end, and close its pipes."""
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()
        await self._reading
        self.child._transport.close()  # type: ignore[attr-defined]


async def start_with_socket(
    path: Path, inherited: socket.socket, **environment: str
) -> ChildProcess:
    """Start a dispatcher that inherits its clients' socket; ``environment`` adds variables."""
    descriptor = inherited.fileno()
    environment["ROUTER_PASSED_SOCKET"] = str(descriptor)
    return await ChildProcess.start(
        "serve", "--config", str(path), environment=environment, pass_fds=(descriptor,)
    )
