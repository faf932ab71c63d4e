"""Runs many random fault schedules: `make bench-schedules`; writes docs/measurements/schedules.md.

A seed determines its schedule; `python benchmarks/schedules.py 1 SEED` repeats a failed one.

    python benchmarks/schedules.py [COUNT] [FIRST SEED] [CONCURRENCY]
"""

import asyncio
import os
import platform
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import structlog

from onyxpass.history_checkers import history
from onyxpass.testbed.process_trial import draw_schedule, run_schedule

ROOT = Path(__file__).parent.parent


async def run_seed(seed: int, slots: asyncio.Semaphore, seen: Counter[str]) -> str:
    async with slots:
        with tempfile.TemporaryDirectory() as folder:
            try:
                async with asyncio.timeout(180):
                    await run_schedule(Path(folder), seed)
                problem = ""
            except Exception as found:
                problem = f"{type(found).__name__}: {found}"
            for line in history.read(sorted(Path(folder).glob("*.log"))):
                seen[line.kind] += 1
    if problem:
        print(
            f"seed {seed}: {problem}",
            *(strike.describe() for strike in draw_schedule(seed)),
            sep="\n  ",
            flush=True,
        )
    return problem


async def measure(count: int, first: int, concurrency: int) -> str:
    slots, seen, began_s = asyncio.Semaphore(concurrency), Counter[str](), time.monotonic()
    ends = await asyncio.gather(
        *(run_seed(seed, slots, seen) for seed in range(first, first + count))
    )
    failed = [first + i for i, problem in enumerate(ends) if problem]
    strikes = Counter(
        strike.kind for seed in range(first, first + count) for strike in draw_schedule(seed)
    )
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    rows = "\n".join(f"| {what} | {n} |" for what, n in sorted(strikes.items()))
    counts = ", ".join(
        f"{what} {seen[what]}" for what in ("held", "lost", "begin", "end", "refused")
    )
    failures = f"; failed: seeds {failed}" if failed else ""
    duration = f"{concurrency} at a time, {time.monotonic() - began_s:.0f} s"
    return f"""# Schedules of faults, run

`make bench-schedules`. {machine}. Seeds {first} to {first + count - 1}, {duration}.
Two agents, four dispatchers and, one after another, three fleet tools, as processes; six faults within
6 s in each schedule. After each one a last rollout must change all instances, and the histories of all
processes are checked.

{count - len(failed)} of {count} held every rule{failures}. Lines of history: {counts}.

| strike | times |
| --- | --- |
{rows}
"""


def main() -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    arguments = [int(word) for word in sys.argv[1:]]
    count, first, concurrency = [*arguments, *(100, 1, 4)[len(arguments) :]]
    text = asyncio.run(measure(count, first, concurrency))
    print(text)
    if count > 1:
        (ROOT / "docs" / "measurements" / "schedules.md").write_text(text)


if __name__ == "__main__":
    main()
