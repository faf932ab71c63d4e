"""Measures a dispatcher without traffic: `make bench-start`; writes docs/measurements/start.md.

Two builds run in turn: this one, and an earlier one that is checked out in the given folder. Measured
are the time, processor time and memory of a start until the list is complete, and the processor time
per idle second.

    python benchmarks/start.py EARLIER [RUNS]     # EARLIER: a checkout, for example by `git worktree add`
"""

import asyncio
import json
import os
import platform
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from bench_support import cpu_s, memory_mb

from onyxpass.testbed.replicas import StandinFleet
from onyxpass.testbed.settings import dispatcher_config

ROOT = Path(__file__).parent.parent
READERS, WRITERS, PEERS = 45, 55, 200
IDLE_S = 4.0
MEASURES = {
    "start, CPU in s": "start_cpu_s",
    "start, time in s": "start_s",
    "memory, RSS in MB": "mb",
    "memory of its own, in MB": "own_mb",
    "an idle second, CPU in ms": "idle_ms",
}


async def wait_until_ready(port: int) -> None:
    """Return once the dispatcher reports that it is ready."""
    while True:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            response = await reader.read()
            writer.close()
            if response.startswith(b"HTTP/1.1 200"):
                return
        except OSError:
            pass
        await asyncio.sleep(0.005)


async def measure_start(build: Path, fleet: StandinFleet, folder: Path) -> dict[str, float]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    document = dispatcher_config("n0", f"127.0.0.1:{port}", fleet, PEERS)
    (folder / "config.json").write_text(json.dumps(document))
    environment = {k: v for k, v in os.environ.items() if not k.startswith(("ROUTER_", "PYTHON"))}
    environment |= {
        "ROUTER_CONFIG": str(folder / "config.json"),
        "TMPDIR": str(folder),
        "PYTHONPATH": str(build),
    }
    began_s = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-m", "onyxpass", "serve"],
        cwd=build,
        env=environment,
        stdout=subprocess.DEVNULL,
    )
    try:
        await wait_until_ready(port)
        measurement = {"start_s": time.monotonic() - began_s, "start_cpu_s": cpu_s(process.pid)}
        await asyncio.sleep(0.5)
        before_s = cpu_s(process.pid)
        await asyncio.sleep(IDLE_S)
        measurement["idle_ms"] = (cpu_s(process.pid) - before_s) / IDLE_S * 1000
        measurement["mb"], measurement["own_mb"] = (
            memory_mb(process.pid, "VmRSS"),
            memory_mb(process.pid, "RssAnon"),
        )
    finally:
        process.terminate()
        await asyncio.to_thread(process.wait)
    return measurement


async def main(earlier: Path, runs: int) -> None:
    for build in (earlier, ROOT):
        subprocess.run(
            [sys.executable, "-m", "compileall", "-q", str(build / "onyxpass")], check=True
        )
    fleet = await StandinFleet(READERS, WRITERS).start()
    measurements_by_build: dict[Path, list[dict[str, float]]] = {earlier: [], ROOT: []}
    with tempfile.TemporaryDirectory(prefix="onyxpass-start-") as folder:
        for _ in range(runs):
            for build, measurements in measurements_by_build.items():
                measurements.append(await measure_start(build, fleet, Path(folder)))
    await fleet.stop()
    earlier_commit = subprocess.run(
        ["git", "log", "-1", "--format=%h %s"],
        cwd=earlier,
        capture_output=True,
        text=True,
        check=True,
    )
    lines = [
        "# What a dispatcher costs before it serves anything",
        "",
        f"`make bench-start`, {runs} runs of each build in turn, medians. {os.cpu_count()} cores,",
        f"{platform.machine()}, Python {platform.python_version()}. {READERS} readers and {WRITERS} writers",
        f"on the list, {PEERS} dispatchers configured. Earlier build: `{earlier_commit.stdout.strip()}`.",
        "",
        "| measure | earlier | now | ratio |",
        "| --- | --- | --- | --- |",
    ]
    for title, key in MEASURES.items():
        old, new = (
            statistics.median(row[key] for row in measurements)
            for measurements in measurements_by_build.values()
        )
        lines.append(f"| {title} | {old:.3g} | {new:.3g} | {new / old:.2f} |")
    print("\n".join(lines))
    (ROOT / "docs" / "measurements" / "start.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1]).resolve(), int(sys.argv[2]) if len(sys.argv) > 2 else 20))
