"""Shared parts of the benchmarks: process metrics and a discovery server that serves the list.

The discovery server is a process of its own: `python benchmarks/bench_support.py SERVERS`. It prints
its port. Then it reads one command per line, `change` or `restart`, and prints the list's version
after each; an empty line or the end of its input stops it.
"""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from onyxpass.emulator import full_scale
from onyxpass.history_checkers.trace import Trace
from onyxpass.testbed.replicas import (
    ListedReplica,
    PrefillStates,
    StandinDiscovery,
    StandinFleet,
    StandinReplica,
)
from onyxpass.testbed.settings import dispatcher_config
from onyxpass.testbed.site import free_port

ROOT = Path(__file__).parent.parent
Measurements = dict[str, float]


# A dispatcher


@asynccontextmanager
async def running_dispatcher(fleet: StandinFleet) -> AsyncIterator[tuple[int, int]]:
    """Run a dispatcher in front of a stand-in fleet; yields its process id and port."""
    with tempfile.TemporaryDirectory() as folder:
        path, port = Path(folder) / "config.json", free_port()
        path.write_text(json.dumps(dispatcher_config("n0", f"127.0.0.1:{port}", fleet)))
        command = (sys.executable, "-m", "onyxpass", "serve", "--config", str(path))
        process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        while b'"full"' not in await process.stdout.readline():
            pass
        drain = asyncio.create_task(process.stdout.read())
        try:
            yield process.pid, port
        finally:
            process.terminate()
            await process.wait()
            await drain


# Metrics from /proc


def private_bytes(pid: int) -> int:
    """Return the memory of a process alone, without files that others map as well."""
    rows = [row.split() for row in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()]
    return sum(int(row[1]) for row in rows if row[0].startswith("Private_")) * 1024


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid: int, key: str = "VmRSS") -> float:
    """Return a memory figure of a process in MB; ``key`` names a line of /proc/PID/status."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith(key + ":")) / 1024


def loopback_bytes() -> int:
    lines = Path("/proc/net/dev").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.strip().startswith("lo:"))


async def wait_until(condition: Callable[[], bool], timeout_s: float = 60.0) -> float:
    """Return the seconds until the condition holds; raise TimeoutError after ``timeout_s``."""
    began_s = time.monotonic()
    while not condition():
        if time.monotonic() - began_s > timeout_s:
            raise TimeoutError
        await asyncio.sleep(0.005)
    return time.monotonic() - began_s


async def measure_idle(pid: int, seconds: float) -> Measurements:
    """Return loopback bytes and a process's CPU milliseconds, both per second, over ``seconds``."""
    bytes_before, cpu_before_s = loopback_bytes(), cpu_s(pid)
    await asyncio.sleep(seconds)
    used_s = cpu_s(pid) - cpu_before_s
    return {
        "bytes_a_s": (loopback_bytes() - bytes_before) / seconds,
        "cpu_ms_a_s": used_s / seconds * 1e3,
    }


async def serve_list(servers: int) -> None:
    trace, states = Trace(), PrefillStates()
    discovery = StandinDiscovery(trace)
    for number in range(servers):
        kind, role = ("reader", "read") if number % 5 < 2 else ("writer", "write")
        replica = StandinReplica(f"{kind}-{number}", role, trace, states, port=1_024 + number)
        discovery.add(
            ListedReplica(
                replica, kind, full_scale.ZONES[number % len(full_scale.ZONES)], number % 24
            )
        )
    await discovery.start()
    print(discovery.port, flush=True)
    health, names = "leaving", list(discovery.rows)
    number = 0
    while line := (await asyncio.to_thread(sys.stdin.readline)).strip():
        if line == "restart":
            await discovery.stop()
            discovery.seq += 1
            await discovery.start()
        else:
            discovery.change(names[number % len(names)], health)
            number += 1
        print(discovery.seq, flush=True)


class ListServer:
    """Runs ``serve_list`` in a process of its own."""

    def __init__(self, servers: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, __file__, str(servers)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = self._read_number()

    def _read_number(self) -> int:
        assert self.process.stdout is not None
        return int(self.process.stdout.readline())

    def request_change(self, command: str) -> int:
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()
        return self._read_number()

    def stop(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait(10)


if __name__ == "__main__":
    asyncio.run(serve_list(int(sys.argv[1])))
