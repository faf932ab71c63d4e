"""Measures how a lease goes from holder to holder while parts fail: `make bench-together`.

A stand-in store as a process of its own; contenders in this one, each with its own connection. The
holder is struck in turn: killed (it says no more), cut off (its connections are gone, and so is
it), or gives it back. Baseline of the same run: a key set with NX and PX that everybody asks for at
the same pace, without line or token. Writes docs/measurements/together.md.

    python benchmarks/together.py [HANDOVERS] [STATES]
"""

import asyncio
import os
import platform
import statistics
import sys
import time
from pathlib import Path

import structlog
from redis.asyncio import Redis

from onyxpass.history_checkers.history import HistoryLine, breaches
from onyxpass.leases.event_log import boottime_ms
from onyxpass.leases.holder import LeaseHolder
from onyxpass.leases.lease_client import LeaseClient
from onyxpass.leases.model_checker import ModelChecker
from onyxpass.leases.model_state import SearchBounds
from onyxpass.store.leases import LeaseStore
from onyxpass.testbed.site import free_port

ROOT = Path(__file__).parent.parent
RUNS = ((6, 300), (40, 600), (200, 2_000))  # contenders, lease time in ms
STRIKES = ("killed", "cut off", "given back")


class Contender:
    def __init__(self, url: str, name: str, ttl_ms: int, lines: list[HistoryLine]) -> None:
        self.store = LeaseStore(url, ttl_ms, timeout_ms=1_000)
        self.name, self.ttl_ms, self.lines = name, ttl_ms, lines
        self.lives = 0
        self.keeper = self.born()

    def born(self) -> LeaseClient:
        self.lives += 1
        holder = LeaseHolder(f"{self.name}-{self.lives}", self.ttl_ms)

        def told(what: str, token: int, _why: str) -> None:
            until_ns = holder.last_valid_until_ms * 1_000_000 if what == "lost" else None
            fields = {"lease": "l", "token": token, "holder": holder.name, "until_ns": until_ns}
            self.lines.append(
                HistoryLine(time.clock_gettime_ns(time.CLOCK_BOOTTIME), what, "bench", 0, fields)
            )

        self.keeper = LeaseClient(holder, self.store.request_sender("l"), boottime_ms, told)
        return self.keeper


async def handovers(url: str, many: int, ttl_ms: int, wanted: int) -> dict[str, object]:
    lines: list[HistoryLine] = []
    all_ = [Contender(url, f"c{i}", ttl_ms, lines) for i in range(many)]

    async def waits(who: Contender) -> None:
        await who.keeper.acquire()

    waiting = {who: asyncio.create_task(waits(who)) for who in all_}
    took: dict[str, list[float]] = {strike: [] for strike in STRIKES}
    began_s, commands = time.monotonic(), 0
    for number in range(wanted):
        await asyncio.wait(waiting.values(), return_when=asyncio.FIRST_COMPLETED)
        holder = next(who for who, task in waiting.items() if task.done())
        strike = STRIKES[number % len(STRIKES)]
        struck_s = time.monotonic()
        del waiting[holder]
        if strike == "given back":
            await holder.keeper.release()
        else:
            if strike == "cut off":
                await holder.store._redis.aclose()
            holder.keeper.close()
        holder.keeper.close()
        await asyncio.wait(waiting.values(), return_when=asyncio.FIRST_COMPLETED)
        took[strike].append((time.monotonic() - struck_s) * 1000)
        holder.born()
        waiting[holder] = asyncio.create_task(waits(holder))
    spent_s = time.monotonic() - began_s
    commands = sum(who.store.commands for who in all_)
    for task in waiting.values():
        task.cancel()
    for who in all_:
        who.keeper.close()
        await who.store.close()
    found = breaches(sorted(lines, key=lambda line: line.at_ns), ["holders apart"])
    return {
        "contenders": many,
        "ttl_ms": ttl_ms,
        "handovers": wanted,
        "took": took,
        "overlaps": len(found),
        "commands": commands / many / (spent_s * 1000 / ttl_ms),
    }


async def plain(url: str, many: int, ttl_ms: int, wanted: int) -> list[float]:
    """The baseline: killed holders of a key with NX and PX."""
    clients = [Redis.from_url(url, protocol=2) for _ in range(many)]
    took: list[float] = []
    holder, struck_s = -1, 0.0
    while len(took) < wanted:
        for i, client in enumerate(clients):
            if i != holder and await client.set("plain", str(i), nx=True, px=ttl_ms):
                if holder >= 0:
                    took.append((time.monotonic() - struck_s) * 1000)
                holder, struck_s = i, time.monotonic()  # it is killed at once
                break
        await asyncio.sleep(ttl_ms / 3 / 1000)
    for client in clients:
        await client.aclose()
    return took


def row(values: list[float]) -> str:
    ordered = sorted(values)
    return f"{statistics.median(ordered):.0f}, {ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]:.0f}"


async def measure(wanted: int, states: int) -> str:
    port = free_port()
    store = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "onyxpass", "standin", "store", "--port", str(port)),
        stdout=asyncio.subprocess.PIPE,
    )
    assert store.stdout is not None
    await store.stdout.readline()
    url = f"redis://127.0.0.1:{port}/0"
    out = []
    try:
        for many, ttl_ms in RUNS:
            count = max(9, wanted * 300 // ttl_ms)
            found = await handovers(url, many, ttl_ms, count)
            base = await plain(url, many, ttl_ms, max(9, count // 10))
            took = found["took"]
            assert isinstance(took, dict)
            ratio = statistics.median(took["killed"]) / statistics.median(base)
            cells = " | ".join(row(took[strike]) for strike in STRIKES)
            ends = f"{row(base)} | {ratio:.2f} | {found['overlaps']} | {found['commands']:.1f}"
            out.append(f"| {many} | {ttl_ms} | {count} | {cells} | {ends} |")
            print(out[-1], flush=True)
    finally:
        store.terminate()
        await store.wait()
    began_s = time.monotonic()
    full = ModelChecker(
        SearchBounds(
            duration_ms=150,
            lost_messages=0,
            late_requests=0,
            suspensions=0,
            kills=0,
            store_restarts=0,
            commands=0,
            reacquisitions=0,
        )
    ).run()
    wide = ModelChecker(SearchBounds(max_states=states)).run()
    walks = ModelChecker(
        SearchBounds(
            duration_ms=1000,
            lost_messages=3,
            late_requests=3,
            suspensions=2,
            kills=2,
            commands=4,
            reacquisitions=3,
        )
    ).walk(1, 3_000)
    bound = "" if wide.complete else " (the bound on states ended it)"
    broken = sum(bool(each.violation) for each in (full, wide, walks))
    searched = (
        f"Searched: {full.states} states, all of two contenders within 150 ms and no fault; {wide.states} "
        f"of two within 300 ms and each fault once{bound}; {walks.states} steps of seeded walks with up to "
        f"three of each. Breaches: {broken}. {time.monotonic() - began_s:.0f} s."
    )
    print(searched, flush=True)
    return "\n".join([*out, "", searched])


HEAD = """# Acting together, measured

`make bench-together`. {machine}. The store is the stand-in, a process of its own. Milliseconds from the
strike to the next holder's word: median, 99th percentile. A killed or cut-off holder is waited for till its
time is over; the aim is its lease time and 1 s. The last column: commands a contender and lease time.

| contenders | lease | handovers | killed | cut off | given back | plain key | ratio | overlaps | commands |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""


def main() -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    wanted = int(sys.argv[1]) if len(sys.argv) > 1 else 2_000
    states = int(sys.argv[2]) if len(sys.argv) > 2 else 1_000_000
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    text = asyncio.run(measure(wanted, states))
    (ROOT / "docs" / "measurements" / "together.md").write_text(
        HEAD.format(machine=machine) + text + "\n"
    )


if __name__ == "__main__":
    main()
