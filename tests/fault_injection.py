"""Dispatchers as real processes whose system calls, clock and disk the test makes fail."""

import asyncio
import contextlib
import json
import os
import sys
import tempfile
from collections.abc import AsyncIterator, Coroutine, Mapping, Sequence
from pathlib import Path
from typing import Any, ClassVar

from cluster import Discovery, Replica
from test_program import RAW

from onyxpass.faultshim.control import FaultControl, build_library

ROOT = Path(__file__).parent.parent
TEST_TIMEOUT_S = 60.0  # only ends what has failed already
LIBRARY_FOLDER = Path(tempfile.gettempdir()) / f"onyxpass-faultshim-{os.getpid()}"


def fault_control(folder: Path, name: str = "faults", seed: int = 1) -> FaultControl:
    """The faults of one process that is yet to start."""
    LIBRARY_FOLDER.mkdir(exist_ok=True)
    return FaultControl(build_library(LIBRARY_FOLDER), folder / f"{name}.block", seed)


def run_async(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a test's work; children that it leaves behind, having failed, are killed."""
    return asyncio.run(_and_clean_up(work))


async def _and_clean_up(work: Coroutine[Any, Any, Any]) -> Any:
    try:
        return await asyncio.wait_for(work, TEST_TIMEOUT_S)
    finally:
        # Left to the garbage collector, what they hold would be closed in the middle of pytest's
        # own report.
        for process in ChildProcess.started:
            await process.kill()
        ChildProcess.started.clear()


@contextlib.asynccontextmanager
async def open_connection(
    port: int,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Closed at the end, however the test ends: left to the garbage collector it spoils pytest's
    report.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.close()
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def servers_and_config(
    folder: Path, readers: Sequence[Replica], writers: Sequence[Replica], **told: object
) -> AsyncIterator[tuple[Path, Discovery]]:
    """Servers with their discovery, and the file of a dispatcher before them; ``told``: keys of
    that file.
    """
    discovery = Discovery()
    for kind, replicas in (("r", readers), ("w", writers)):
        for number, replica in enumerate(replicas):
            await replica.start()
            discovery.hosts.append(discovery.entry(f"{kind}{number}", kind, replica.address))
    await discovery.start()
    path = folder / "config.json"
    path.write_text(json.dumps({**RAW, "discovery": discovery.address, **told}))
    yield path, discovery
    for part in (discovery, *readers, *writers):
        await part.stop()


class ChildProcess:
    """One of our programs as a child process; ``lines`` are the objects of its log so far."""

    started: ClassVar[list["ChildProcess"]] = []

    def __init__(self, child: asyncio.subprocess.Process) -> None:
        self.started.append(self)
        self.child = child
        self.lines: list[dict[str, Any]] = []
        self.other_output = ""  # whatever else it wrote
        self._told = asyncio.Event()
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def start(
        cls, *arguments: str, control: FaultControl | None = None, **more: Any
    ) -> "ChildProcess":
        environment: Mapping[str, str] = more.pop("environment", {})
        forced = control.environment if control is not None else {}
        stdout = more.pop("stdout", asyncio.subprocess.PIPE)
        child = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "onyxpass", *arguments),
            cwd=ROOT,
            stdout=stdout,
            stderr=asyncio.subprocess.STDOUT,
            env={**os.environ, **environment, **forced},
            **more,
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
            told, self._told = self._told, asyncio.Event()
            told.set()

    def events(self, event: str, **fields: object) -> list[dict[str, Any]]:
        """The lines of this event with these fields."""
        return [
            line
            for line in self.lines
            if line.get("event") == event and all(line.get(k) == v for k, v in fields.items())
        ]

    async def wait_for_event(self, event: str, **fields: object) -> dict[str, Any]:
        """The first such line, once it has come."""
        while not (found := self.events(event, **fields)):
            assert not self._reading.done(), (
                f"ended without {event}: {self.other_output}{self.lines[-3:]}"
            )
            told = asyncio.ensure_future(self._told.wait())
            await asyncio.wait([told, self._reading], return_when=asyncio.FIRST_COMPLETED)
            told.cancel()
        return found[0]

    async def port(self) -> int:
        """Where it listens, once it has the whole list."""
        await self.wait_for_event("list", form="full")
        return int((await self.wait_for_event("listening"))["listen"].rpartition(":")[2])

    async def terminate(self) -> int:
        """SIGTERM, where it still runs; its exit code."""
        if self.child.returncode is None:
            self.child.terminate()
        code = await self.child.wait()
        await self._reading
        return code

    async def kill(self) -> None:
        """SIGKILL, where it still runs, and close what belongs to it."""
        if self.child.returncode is None:
            self.child.kill()
        await self.child.wait()
        await self._reading
        self.child._transport.close()  # type: ignore[attr-defined]
