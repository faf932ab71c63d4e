"""Measures how long a front writes its claims to an emptied store: `make bench-reclaim`.

Each row is a number of claims and a delay of each of the store's answers. The time is from the look
that finds the store empty until all claims are written again, by a real `CallClaims` over a socket
to a stand-in store in the same process. Writes docs/measurements/reclaim.md.
"""

import asyncio
import json
import platform
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

from onyxpass.core.clock import Clock
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.store.claim_generation import StoreGeneration, StoreReading
from onyxpass.store.redis import CALL_KEY_PREFIX, RedisStore
from onyxpass.testbed.store import RespStore
from onyxpass.toolcalls.call_claims import CallClaims
from onyxpass.toolcalls.call_journal import CallJournal, JournalEntry

ROOT = Path(__file__).parent.parent
CLAIM_COUNTS = (1_000, 10_000, 100_000)
ANSWER_DELAYS_MS = (1, 10, 150)
TTL_S = 86_400


class DelayedStore(RedisStore):
    """A store whose every answer to a reclaiming front takes ``delay_s`` longer."""

    delay_s = 0.0
    batches = 0

    async def read_claims(self, front: str) -> StoreReading:
        await asyncio.sleep(self.delay_s)
        return await super().read_claims(front)

    async def begin_claims(self, generation: str, *, replace: bool) -> None:
        await asyncio.sleep(self.delay_s)
        await super().begin_claims(generation, replace=replace)

    async def write_heartbeat(self, front: str, heartbeat: int) -> None:
        await asyncio.sleep(self.delay_s)
        await super().write_heartbeat(front, heartbeat)

    async def restore_calls(
        self, calls: Sequence[tuple[str, str, int]], front: str, mark_ttl_ms: int
    ) -> None:
        self.batches += 1
        await asyncio.sleep(self.delay_s)
        await super().restore_calls(calls, front, mark_ttl_ms)


class FilledJournal(CallJournal):
    """A journal of ``count`` claims, also of more than a front keeps."""

    def __init__(self, count: int) -> None:
        super().__init__()
        self.count = count

    def newest_first(self) -> Iterator[tuple[str, JournalEntry]]:
        record = {"state": "done", "name": "book_out", "content": "0" * 16, "claim": "0" * 16}
        text = json.dumps(record | {"call": "c1", "result": {"text": "x" * 100}})
        expires_at_s = time.time() + TTL_S
        return ((f"r{n}:c1", JournalEntry(text, expires_at_s)) for n in range(self.count))


async def reclaim_s(count: int, delay_ms: int) -> tuple[float, int]:
    """Return the time in seconds, and the round trips that wrote claims."""
    server = RespStore()
    await server.start()
    store = DelayedStore(f"redis://{server.address}/0")
    store.delay_s = delay_ms / 1000
    claims = CallClaims(
        store, FilledJournal(count), "front-1", TimerWheel(Clock()), StoreGeneration()
    )
    try:
        began_s = time.monotonic()
        await claims._look()
        took_s = time.monotonic() - began_s
        assert sum(key.startswith(CALL_KEY_PREFIX) for key in server.data) == count
    finally:
        await store.close()
        await server.stop()
    return took_s, store.batches


async def main() -> None:
    """Measure all rows, and write the page."""
    rows = []
    for count in CLAIM_COUNTS:
        for delay_ms in ANSWER_DELAYS_MS:
            took_s, batches = await reclaim_s(count, delay_ms)
            rows.append(f"| {count:,} | {delay_ms} | {batches} | {took_s:.2f} |")
            print(rows[-1], flush=True)
    machine = f"{platform.machine()}, Python {platform.python_version()}"
    (ROOT / "docs/measurements/reclaim.md").write_text(f"""\
# How long claims are written again after the store lost them

`make bench-reclaim`. {machine}; one front, and a stand-in store in the same process, whose own time for each
record is in the figures. Other fronts serve fresh bookings once no front writes any more, at least `recovery_ms` after they have noticed the
loss ([../design/CLAIMS.md](../design/CLAIMS.md)). A front keeps 50,000 claims at most; 100,000 are two such fronts one after the other.

| claims | ms an answer | round trips | seconds |
| --- | --- | --- | --- |
{chr(10).join(rows)}
""")


asyncio.run(main())
