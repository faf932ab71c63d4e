"""Plays many drawn schedules of faults: `make bench-schedules`; writes
docs/measurements/schedules.md.

Each is told by its seed; one that failed is played again by `python benchmarks/schedules.py 1
SEED`.

    python benchmarks/schedules.py [HOW MANY] [FIRST SEED] [BESIDE EACH OTHER]
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
from onyxpass.testbed.process_trial import drawn, play

ROOT = Path(__file__).parent.parent


async def one(seed: int, slots: asyncio.Semaphore, seen: Counter[str]) -> str:
    async with slots:
        with tempfile.TemporaryDirectory() as folder:
            try:
                async with asyncio.timeout(180):
                    await play(Path(folder), seed)
                problem = ""
            except Exception as found:
                problem = f"{type(found).__name__}: {found}"
            for line in history.read(sorted(Path(folder).glob("*.log"))):
                seen[line.kind] += 1
    if problem:
        print(
            f"seed {seed}: {problem}",
            *(strike.told() for strike in drawn(seed)),
            sep="\n  ",
            flush=True,
        )
    return problem


async def measure(many: int, first: int, beside: int) -> str:
    slots, seen, began_s = asyncio.Semaphore(beside), Counter[str](), time.monotonic()
    ends = await asyncio.gather(*(one(seed, slots, seen) for seed in range(first, first + many)))
    failed = [first + i for i, problem in enumerate(ends) if problem]
    strikes = Counter(strike.what for seed in range(first, first + many) for strike in drawn(seed))
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    rows = "\n".join(f"| {what} | {n} |" for what, n in sorted(strikes.items()))
    counts = ", ".join(
        f"{what} {seen[what]}" for what in ("held", "lost", "begin", "end", "refused")
    )
    bad = f"; not kept: seeds {failed}" if failed else ""
    took = f"{beside} beside each other, {time.monotonic() - began_s:.0f} s"
    return f"""# Schedules of faults, played

`make bench-schedules`. {machine}. Seeds {first} to {first + many - 1}, {took}.
Two agents, four dispatchers, three tools in turn as processes; six strikes each within 6 s. After each
schedule a last rollout has to change all, and the histories of all processes are checked.

{many - len(failed)} of {many} kept everything{bad}. Lines of history: {counts}.

| strike | times |
| --- | --- |
{rows}
"""


def main() -> None:
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    given = [int(word) for word in sys.argv[1:]]
    many, first, beside = [*given, *(100, 1, 4)[len(given) :]]
    text = asyncio.run(measure(many, first, beside))
    print(text)
    if many > 1:
        (ROOT / "docs" / "measurements" / "schedules.md").write_text(text)


if __name__ == "__main__":
    main()
