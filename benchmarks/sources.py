"""Measures watched files: `make bench-sources`. Writes docs/measurements/sources.md.

From the rename of a file to its view in force, at 14, 1,000 and 10,000 servers; CPU while nothing
changes and in a storm; memory over 10,000 versions; the index changed in place against the one
built anew.
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


class Nobody:
    """A fleet that nothing is sent to."""

    def update_member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        return


def text_of(count: int, weight: float = 1.0) -> str:
    rows = []
    for n in range(count):
        kind = "reader" if n % 2 else "writer"
        weighed = weight if n == 0 else 1.0
        rows.append(
            f'[[servers]]\nid = "s{n:05}"\nkind = "{kind}"\nhall = "{HALLS[n % 3]}"\ncell = {n % 7}\n'
            f'address = "127.{n // 60000}.0.1:{1024 + n % 60000}"\nweight = {weighed}\n'
        )
    return "".join(rows)


def save(path: Path, text: str) -> None:
    fresh = path.with_name(".new")
    fresh.write_text(text)
    fresh.replace(path)


class Bed:
    def __init__(self, folder: Path, count: int) -> None:
        self.folder, self.count = folder, count
        clock = Clock()
        self.core = RequestDispatcher(read_settings(SETTINGS), 1, clock, TimerWheel(clock))
        file = SourcesFile(watch=["s.toml"], settle_s=SETTLE_S, ramp_s=0.0, snapshot="snap")
        self.source = FileSource(self.core, Nobody(), SourcesConfig(file, folder))
        self.in_force = asyncio.Event()
        self.source.on_view = lambda _: self.in_force.set()

    async def version(self, number: int) -> float:
        """Seconds from the rename to the view in force."""
        text = await asyncio.to_thread(text_of, self.count, 1.0 + number % 5 / 10)
        self.in_force.clear()
        await asyncio.to_thread(save, self.folder / "s.toml", text)
        began_s = time.monotonic()
        await self.in_force.wait()
        return time.monotonic() - began_s


async def latency(count: int, versions: int) -> tuple[float, float, float, float]:
    """p50 and p99 in force, the loop's longest stall, CPU in percent of a core while nothing
    changes.
    """
    with tempfile.TemporaryDirectory() as folder:
        bed = Bed(Path(folder), count)
        save(bed.folder / "s.toml", text_of(count))
        stalls: list[float] = []

        async def beat() -> None:
            while True:
                began_s = time.monotonic()
                await asyncio.sleep(0.005)
                stalls.append(time.monotonic() - began_s - 0.005)

        tasks = [
            asyncio.create_task(work) for work in (bed.source.follow(), bed.core.run(), beat())
        ]
        await bed.in_force.wait()
        stalls.clear()
        times = sorted([await bed.version(n + 1) for n in range(versions)])
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


async def storm(seconds: float) -> tuple[float, int, int]:
    """CPU in percent of a core while a file is replaced with itself; replacements, and views
    made of them.
    """
    with tempfile.TemporaryDirectory() as folder:
        bed = Bed(Path(folder), 14)
        save(bed.folder / "s.toml", text_of(14))
        tasks = [asyncio.create_task(work) for work in (bed.source.follow(), bed.core.run())]
        await bed.in_force.wait()
        writer = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "storm", str(bed.folder / "s.toml"), str(seconds),
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        cpu_s, began_s = time.process_time(), time.monotonic()
        out, _ = await writer.communicate()
        cpu = (time.process_time() - cpu_s) / (time.monotonic() - began_s) * 100
        for task in tasks:
            task.cancel()
        return cpu, int(out), bed.source.accepted - 1


def storming(path: Path, seconds: float) -> None:
    text, count, began_s = path.read_text(), 0, time.monotonic()
    while time.monotonic() - began_s < seconds:
        save(path, text)
        count += 1
        time.sleep(max(0.0, began_s + count / 1000 - time.monotonic()))
    print(count)


async def memory(versions: int) -> tuple[float, float]:
    """MB in use after a tenth of the versions, and after all of them; judged one after the
    other.
    """
    with tempfile.TemporaryDirectory() as folder:
        bed = Bed(Path(folder), 14)
        module = asyncio.create_task(bed.core.run())
        early = 0.0
        for number in range(versions):
            save(bed.folder / "s.toml", text_of(14, 1.0 + number % 7 / 10))
            await bed.source.poll(at_once=True)
            if number == versions // 10:
                early = resident()
        module.cancel()
        return early, resident()


def resident() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


def entries_of(count: int) -> dict[str, ServerEntry]:
    found = {}
    for n in range(count):
        server = contract.Endpoint(f"s{n:05}", "reader" if n % 2 else "writer", HALLS[n % 3], n % 7)
        found[server.id] = ServerEntry(server, Address("127.0.0.1", n))
    return found


def index(count: int, rounds: int = 7) -> tuple[float, float]:
    """Seconds for one change of 5 servers: in place, and by building anew."""
    chance = random.Random(3)
    old = entries_of(count)
    kept = ServerIndex.build(ROLES, old.values())
    places, builds = [], []
    for _ in range(rounds):
        new = dict(old)
        for name in chance.sample(sorted(old), 5):
            server = old[name].server
            new[name] = ServerEntry(
                contract.Endpoint(name, server.kind, chance.choice(HALLS), 1), old[name].address
            )
        difference = compare(old, new)
        began_s = time.perf_counter()
        kept.apply(difference, new)
        places.append(time.perf_counter() - began_s)
        began_s = time.perf_counter()
        built = ServerIndex.build(ROLES, new.values())
        builds.append(time.perf_counter() - began_s)
        assert built.by_place == kept.by_place
        old = new
    return statistics.median(places), statistics.median(builds)


def main() -> None:
    lines = [
        "# Watched files, measured",
        "",
        f"`make bench-sources` on {platform.machine()}, {os.cpu_count()} cores, Python",
        f"{platform.python_version()}. Settling time {SETTLE_S * 1000:g} ms, which is part of each time; one",
        "weight changes from version to version. `stall`: the longest time for which the event loop did not",
        "run: full collections of garbage and the module's own lining up of all servers, each some 0.1 s at",
        "10,000. The ratio is to 14 servers.",
        "",
        "| servers | versions | p50 ms | p99 ms | ratio | stall ms | CPU at rest |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    base = 0.0
    for count, versions in zip(SIZES, (60, 20, 6), strict=True):
        p50, p99, stall, idle = asyncio.run(latency(count, versions))
        base = base or p50
        lines.append(
            f"| {count} | {versions} | {p50 * 1000:.0f} | {p99 * 1000:.0f} | {p50 / base:.1f} "
            f"| {stall * 1000:.0f} | {idle:.1f}% |"
        )
        print(lines[-1], flush=True)
    cpu, replaced, views = asyncio.run(storm(5.0))
    early, late = asyncio.run(memory(10_000))
    lines += [
        "",
        f"A file replaced with itself {replaced} times in 5 s: {cpu:.0f}% of a core, {views} new views.",
        f"Memory after 1,000 versions {early:.1f} MB, after 10,000 {late:.1f} MB ({late / early:.3f}).",
        "",
        "## The index",
        "",
        "One change of five servers, medians of 7.",
        "",
        "| servers | in place, µs | built anew, µs | ratio |",
        "| --- | --- | --- | --- |",
    ]
    for count in SIZES:
        place, build = index(count)
        lines.append(f"| {count} | {place * 1e6:.0f} | {build * 1e6:.0f} | {place / build:.4f} |")
        print(lines[-1], flush=True)
    print(lines[-8], lines[-7])
    (ROOT / "docs" / "measurements" / "sources.md").write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    if sys.argv[1:2] == ["storm"]:
        storming(Path(sys.argv[2]), float(sys.argv[3]))
    else:
        main()
