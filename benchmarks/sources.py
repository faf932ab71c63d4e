"""Measures watched files: `make bench-sources`. Writes docs/measurements/sources.md.

The time from the rename of a file until its view is in force, at 14, 1,000 and 10,000 servers; the
CPU load while nothing changes and while a file is replaced up to 1,000 times a second; the memory
over 10,000 versions; and an index changed in place, compared with one rebuilt.
"""

import asyncio
import logging
import os
import platform
import random
import resource
import statistics
import sys
import tempfile
import time
from pathlib import Path

import structlog

from onyxpass.config.platform_file import Address
from onyxpass.config.settings import read_settings
from onyxpass.core.clock import Clock
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.scheduling import contract
from onyxpass.sources.index import ServerIndex
from onyxpass.sources.membership import FileSource, SourcesConfig
from onyxpass.sources.membership_view import compare
from onyxpass.sources.schema import ServerEntry, SourcesFile
from onyxpass.testbed.settings import SETTINGS

ROOT = Path(__file__).parent.parent
SIZES = (14, 1_000, 10_000)
ROLES = {"reader": contract.Role.PREFILL, "writer": contract.Role.DECODE}
HALLS = ("boa-vista", "santo-amaro", "derby")
SETTLE_S = 0.05


class NullFleet:
    """A fleet that ignores its members."""

    def update_member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        return


def servers_toml(server_count: int, weight: float = 1.0) -> str:
    rows = []
    for n in range(server_count):
        kind = "reader" if n % 2 else "writer"
        entry_weight = weight if n == 0 else 1.0
        rows.append(
            f'[[servers]]\nid = "s{n:05}"\nkind = "{kind}"\nhall = "{HALLS[n % 3]}"\ncell = {n % 7}\n'
            f'address = "127.{n // 60000}.0.1:{1024 + n % 60000}"\nweight = {entry_weight}\n'
        )
    return "".join(rows)


def replace_file(path: Path, text: str) -> None:
    temporary = path.with_name(".new")
    temporary.write_text(text)
    temporary.replace(path)


class SourceFixture:
    def __init__(self, folder: Path, server_count: int) -> None:
        self.folder, self.server_count = folder, server_count
        clock = Clock()
        self.core = RequestDispatcher(read_settings(SETTINGS), 1, clock, TimerWheel(clock))
        file = SourcesFile(watch=["s.toml"], settle_s=SETTLE_S, ramp_s=0.0, snapshot="snap")
        self.source = FileSource(self.core, NullFleet(), SourcesConfig(file, folder))
        self.in_force = asyncio.Event()
        self.source.on_view = lambda _: self.in_force.set()

    async def apply_version(self, number: int) -> float:
        """Replace the file and return the seconds until its view is in force."""
        text = await asyncio.to_thread(servers_toml, self.server_count, 1.0 + number % 5 / 10)
        self.in_force.clear()
        await asyncio.to_thread(replace_file, self.folder / "s.toml", text)
        began_s = time.monotonic()
        await self.in_force.wait()
        return time.monotonic() - began_s


async def measure_latency(server_count: int, versions: int) -> tuple[float, float, float, float]:
    """Return p50 and p99 of the seconds until a version is in force, the event loop's longest stall
    in seconds, and the CPU load in percent of a core while nothing changes.
    """
    with tempfile.TemporaryDirectory() as folder:
        fixture = SourceFixture(Path(folder), server_count)
        replace_file(fixture.folder / "s.toml", servers_toml(server_count))
        stalls: list[float] = []

        async def measure_stalls() -> None:
            while True:
                began_s = time.monotonic()
                await asyncio.sleep(0.005)
                stalls.append(time.monotonic() - began_s - 0.005)

        tasks = [
            asyncio.create_task(work)
            for work in (fixture.source.follow(), fixture.core.run(), measure_stalls())
        ]
        await fixture.in_force.wait()
        stalls.clear()
        times = sorted([await fixture.apply_version(n + 1) for n in range(versions)])
        worst = max(stalls)
        tasks.pop().cancel()
        await asyncio.sleep(0.5)
        cpu_s = time.process_time()
        await asyncio.sleep(5.0)
        idle = (time.process_time() - cpu_s) / 5.0 * 100
        for task in tasks:
            task.cancel()
        return (
            times[len(times) // 2],
            times[min(len(times) - 1, int(len(times) * 0.99))],
            worst,
            idle,
        )


async def measure_replacement_load(seconds: float) -> tuple[float, int, int]:
    """Return the CPU load in percent of a core while a file is replaced with a copy of itself, the
    number of replacements, and the number of views made of them.
    """
    with tempfile.TemporaryDirectory() as folder:
        fixture = SourceFixture(Path(folder), 14)
        replace_file(fixture.folder / "s.toml", servers_toml(14))
        tasks = [
            asyncio.create_task(work) for work in (fixture.source.follow(), fixture.core.run())
        ]
        await fixture.in_force.wait()
        writer = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "storm", str(fixture.folder / "s.toml"), str(seconds),
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        cpu_s, began_s = time.process_time(), time.monotonic()
        out, _ = await writer.communicate()
        cpu = (time.process_time() - cpu_s) / (time.monotonic() - began_s) * 100
        for task in tasks:
            task.cancel()
        return cpu, int(out), fixture.source.accepted - 1


def replace_repeatedly(path: Path, seconds: float) -> None:
    text, replacements, began_s = path.read_text(), 0, time.monotonic()
    while time.monotonic() - began_s < seconds:
        replace_file(path, text)
        replacements += 1
        time.sleep(max(0.0, began_s + replacements / 1000 - time.monotonic()))
    print(replacements)


async def measure_memory(versions: int) -> tuple[float, float]:
    """Return the MB in use after a tenth of the versions and after all of them.

    Each version is applied before the next one is written.
    """
    with tempfile.TemporaryDirectory() as folder:
        fixture = SourceFixture(Path(folder), 14)
        module = asyncio.create_task(fixture.core.run())
        early_mb = 0.0
        for number in range(versions):
            replace_file(fixture.folder / "s.toml", servers_toml(14, 1.0 + number % 7 / 10))
            await fixture.source.poll(at_once=True)
            if number == versions // 10:
                early_mb = resident_mb()
        module.cancel()
        return early_mb, resident_mb()


def resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def make_entries(server_count: int) -> dict[str, ServerEntry]:
    entries = {}
    for n in range(server_count):
        server = contract.Endpoint(f"s{n:05}", "reader" if n % 2 else "writer", HALLS[n % 3], n % 7)
        entries[server.id] = ServerEntry(server, Address("127.0.0.1", n))
    return entries


def measure_index(server_count: int, rounds: int = 7) -> tuple[float, float]:
    """Return the seconds for a change of 5 servers, in place and by a rebuild, as medians."""
    generator = random.Random(3)
    current = make_entries(server_count)
    index = ServerIndex.build(ROLES, current.values())
    in_place_s, rebuild_s = [], []
    for _ in range(rounds):
        changed = dict(current)
        for name in generator.sample(sorted(current), 5):
            server = current[name].server
            changed[name] = ServerEntry(
                contract.Endpoint(name, server.kind, generator.choice(HALLS), 1),
                current[name].address,
            )
        difference = compare(current, changed)
        began_s = time.perf_counter()
        index.apply(difference, changed)
        in_place_s.append(time.perf_counter() - began_s)
        began_s = time.perf_counter()
        rebuilt = ServerIndex.build(ROLES, changed.values())
        rebuild_s.append(time.perf_counter() - began_s)
        assert rebuilt.by_place == index.by_place
        current = changed
    return statistics.median(in_place_s), statistics.median(rebuild_s)


def main() -> None:
    lines = [
        "# Watched files, measured",
        "",
        f"`make bench-sources` on {platform.machine()}, {os.cpu_count()} cores, Python",
        f"{platform.python_version()}. Settling time {SETTLE_S * 1000:g} ms, which is part of each time; one",
        "weight changes from version to version. `stall`: the longest time for which the event loop did not",
        "run: full garbage collections and the module's ordering of all servers, each about 0.1 s at",
        "10,000. The ratio compares with 14 servers.",
        "",
        "| servers | versions | p50 ms | p99 ms | ratio | stall ms | CPU when idle |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    base = 0.0
    for server_count, versions in zip(SIZES, (60, 20, 6), strict=True):
        p50, p99, stall, idle = asyncio.run(measure_latency(server_count, versions))
        base = base or p50
        lines.append(
            f"| {server_count} | {versions} | {p50 * 1000:.0f} | {p99 * 1000:.0f} | {p50 / base:.1f} "
            f"| {stall * 1000:.0f} | {idle:.1f}% |"
        )
        print(lines[-1], flush=True)
    cpu, replaced, views = asyncio.run(measure_replacement_load(5.0))
    early_mb, final_mb = asyncio.run(measure_memory(10_000))
    lines += [
        "",
        f"A file replaced with a copy of itself {replaced} times in 5 s: {cpu:.0f}% of a core, {views} new views.",
        f"Memory after 1,000 versions {early_mb:.1f} MB, after 10,000 {final_mb:.1f} MB ({final_mb / early_mb:.3f}).",
        "",
        "## The index",
        "",
        "One change of five servers, medians of 7.",
        "",
        "| servers | in place, µs | rebuilt, µs | ratio |",
        "| --- | --- | --- | --- |",
    ]
    for server_count in SIZES:
        in_place, rebuild = measure_index(server_count)
        lines.append(
            f"| {server_count} | {in_place * 1e6:.0f} | {rebuild * 1e6:.0f} | {in_place / rebuild:.4f} |"
        )
        print(lines[-1], flush=True)
    print(lines[-8], lines[-7])
    (ROOT / "docs" / "measurements" / "sources.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    if sys.argv[1:2] == ["storm"]:
        replace_repeatedly(Path(sys.argv[2]), float(sys.argv[3]))
    else:
        main()
