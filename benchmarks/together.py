"""Measures lease handovers while holders fail: `make bench-together`.

The store is a stand-in in a process of its own; the contenders run in this process, each with its
own connection. Each holder in turn is killed (it sends nothing more), cut off (its connections are
closed, and it sends nothing more) or gives the lease back. The baseline of the same run is a key set
with NX and PX for which all contenders poll, without queue or token. Then a model checker searches
the lease protocol. Writes docs/measurements/together.md.

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
FAULTS = ("killed", "cut off", "given back")


class Contender:
    def __init__(self, url: str, name: str, ttl_ms: int, lines: list[HistoryLine]) -> None:
        self.store = LeaseStore(url, ttl_ms, timeout_ms=1_000)
        self.name, self.ttl_ms, self.lines = name, ttl_ms, lines
        self.incarnation = 0
        self.client = self.restart()

    def restart(self) -> LeaseClient:
        self.incarnation += 1
        holder = LeaseHolder(f"{self.name}-{self.incarnation}", self.ttl_ms)

        def record_event(what: str, token: int, _why: str) -> None:
            until_ns = holder.last_valid_until_ms * 1_000_000 if what == "lost" else None
            fields = {"lease": "l", "token": token, "holder": holder.name, "until_ns": until_ns}
            self.lines.append(
                HistoryLine(time.clock_gettime_ns(time.CLOCK_BOOTTIME), what, "bench", 0, fields)
            )

        self.client = LeaseClient(holder, self.store.request_sender("l"), boottime_ms, record_event)
        return self.client


async def handovers(url: str, contender_count: int, ttl_ms: int, wanted: int) -> dict[str, object]:
    lines: list[HistoryLine] = []
    contenders = [Contender(url, f"c{i}", ttl_ms, lines) for i in range(contender_count)]

    async def acquire_lease(contender: Contender) -> None:
        await contender.client.acquire()

    acquisitions = {
        contender: asyncio.create_task(acquire_lease(contender)) for contender in contenders
    }
    durations_ms: dict[str, list[float]] = {fault: [] for fault in FAULTS}
    began_s, commands = time.monotonic(), 0
    for number in range(wanted):
        await asyncio.wait(acquisitions.values(), return_when=asyncio.FIRST_COMPLETED)
        holder = next(contender for contender, task in acquisitions.items() if task.done())
        fault = FAULTS[number % len(FAULTS)]
        fault_s = time.monotonic()
        del acquisitions[holder]
        if fault == "given back":
            await holder.client.release()
        else:
            if fault == "cut off":
                await holder.store._redis.aclose()
            holder.client.close()
        holder.client.close()
        await asyncio.wait(acquisitions.values(), return_when=asyncio.FIRST_COMPLETED)
        durations_ms[fault].append((time.monotonic() - fault_s) * 1000)
        holder.restart()
        acquisitions[holder] = asyncio.create_task(acquire_lease(holder))
    spent_s = time.monotonic() - began_s
    commands = sum(contender.store.commands for contender in contenders)
    for task in acquisitions.values():
        task.cancel()
    for contender in contenders:
        contender.client.close()
        await contender.store.close()
    found = breaches(sorted(lines, key=lambda line: line.at_ns), ["holders apart"])
    return {
        "contenders": contender_count,
        "ttl_ms": ttl_ms,
        "handovers": wanted,
        "took": durations_ms,
        "overlaps": len(found),
        "commands": commands / contender_count / (spent_s * 1000 / ttl_ms),
    }


async def measure_plain_key(
    url: str, contender_count: int, ttl_ms: int, wanted: int
) -> list[float]:
    """Measure the baseline, a key with NX and PX whose holders are killed: milliseconds each."""
    clients = [Redis.from_url(url, protocol=2) for _ in range(contender_count)]
    durations_ms: list[float] = []
    holder, fault_s = -1, 0.0
    while len(durations_ms) < wanted:
        for i, redis_client in enumerate(clients):
            if i != holder and await redis_client.set("plain", str(i), nx=True, px=ttl_ms):
                if holder >= 0:
                    durations_ms.append((time.monotonic() - fault_s) * 1000)
                holder, fault_s = i, time.monotonic()  # the holder is killed at once
                break
        await asyncio.sleep(ttl_ms / 3 / 1000)
    for redis_client in clients:
        await redis_client.aclose()
    return durations_ms


def median_and_p99(values: list[float]) -> str:
    ordered = sorted(values)
    return f"{statistics.median(ordered):.0f}, {ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]:.0f}"


async def measure(wanted: int, max_states: int) -> str:
    port = free_port()
    store = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "onyxpass", "standin", "store", "--port", str(port)),
        stdout=asyncio.subprocess.PIPE,
    )
    assert store.stdout is not None
    await store.stdout.readline()
    url = f"redis://127.0.0.1:{port}/0"
    rows = []
    try:
        for contender_count, ttl_ms in RUNS:
            count = max(9, wanted * 300 // ttl_ms)
            found = await handovers(url, contender_count, ttl_ms, count)
            base = await measure_plain_key(url, contender_count, ttl_ms, max(9, count // 10))
            durations_ms = found["took"]
            assert isinstance(durations_ms, dict)
            ratio = statistics.median(durations_ms["killed"]) / statistics.median(base)
            cells = " | ".join(median_and_p99(durations_ms[fault]) for fault in FAULTS)
            last_cells = f"{median_and_p99(base)} | {ratio:.2f} | {found['overlaps']} | {found['commands']:.1f}"
            rows.append(f"| {contender_count} | {ttl_ms} | {count} | {cells} | {last_cells} |")
            print(rows[-1], flush=True)
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
    faulty = ModelChecker(SearchBounds(max_states=max_states)).run()
    random_walks = ModelChecker(
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
    truncation_note = "" if faulty.complete else " (ended by the limit on states)"
    violation_count = sum(
        bool(checker_result.violation) for checker_result in (full, faulty, random_walks)
    )
    searched = (
        f"Searched: {full.states} states, all of two contenders within 150 ms without faults; {faulty.states} "
        f"of two within 300 ms with each fault once{truncation_note}; {random_walks.states} steps of seeded walks with up to "
        f"three of each. Violations: {violation_count}. {time.monotonic() - began_s:.0f} s."
    )
    print(searched, flush=True)
    return "\n".join([*rows, "", searched])


HEADER = """# Acting together, measured

`make bench-together`. {machine}. The store is the stand-in, a process of its own. Milliseconds from the
fault until the next holder has the lease: median, 99th percentile. After a killed or cut-off holder the lease
must first expire; the target is the lease time and 1 s. Last column: commands per contender and lease time.

| contenders | lease | handovers | killed | cut off | given back | plain key | ratio | overlaps | commands |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""


def main() -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    wanted = int(sys.argv[1]) if len(sys.argv) > 1 else 2_000
    max_states = int(sys.argv[2]) if len(sys.argv) > 2 else 1_000_000
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    text = asyncio.run(measure(wanted, max_states))
    (ROOT / "docs" / "measurements" / "together.md").write_text(
        HEADER.format(machine=machine) + text + "\n"
    )


if __name__ == "__main__":
    main()
