"""Case 1: usual clients of one dispatcher, while some bad clients write bodies in small chunks.

The rule is broken if a request of a usual client, which stays and reads, has neither the first
event of an answer nor a final answer ``GRACE_S`` after its time. Each client keeps its connection,
which is open before the disruption.
"""

import asyncio
import json
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from common import (
    BROKEN,
    HELD,
    NOT_RUN,
    Bench,
    CannotRunError,
    Record,
    free_port,
    peak_memory_kb,
    run_command,
    trouble,
)

HERE = Path(__file__).resolve().parent
BAD_CLIENTS, CHUNK_BYTES = 40, 4
USUAL_CLIENTS, THINK_S = 20, 0.6
QUIET_S, REST_S = 5.0, 25.0  # before the bad clients come, and from then on
# Half a second by the page, 50 ms for sockets, and as much again for this process's own clock.
GRACE_S = 1.1
LATEST_S = 30.0  # after its time, until which a client waits on, for the record
PROMPT_CHARACTERS = 8_000
MEMORY_MB, SOCKETS = 112, 896
CLASSES = (("part-lookup", 6.0, 47), ("shift-summary", 15.0, 31), ("stock-booking", 7.5, 22))
SETTINGS = {
    "az": "boa-vista",
    "azs": ["boa-vista", "santo-amaro", "derby"],
    "hostTypes": ["reader", "writer"],
    "peersTotal": 1,
    "membershipMode": "automatic",
    "grades": [
        {
            "name": name,
            "promiseUs": int(deadline_s * 200_000),
            "deadlineUs": int(deadline_s * 1_000_000),
            "value": 3.0,
            "lateWorth": 0.2,
            "streamed": True,
            "repeat": "non_idempotent" if name == "stock-booking" else "read_like",
        }
        for name, deadline_s, _ in CLASSES
    ],
    "extra": {
        "roleByKind": ["read", "write"],
        "tokensByKind": [240_000, 150_000],
        "tokenAimUs": [60_000, 80_000, 70_000],
        "aimUsPer1000PromptTokens": [40_000, 40_000, 40_000],
        "releaseWithinUs": 300_000,
    },
    "limits": {
        "maxAttempts": 4,
        "cancelling": True,
        "retryAfter": True,
        "maxRetryAfterUs": 1_000_000,
        "connectTimeoutUs": 250_000,
        "connIdleUs": 15_000_000,
        "mayProbe": True,
    },
    "rules": {"drainGraceUs": 1_000_000, "coldFrom": 0.25, "coldUs": 13_000_000},
}


@dataclass
class Outcome:
    """How one request ended; ``late_s`` counts from its time, negative if it was in time."""

    request: str
    status: str
    late_s: float


class UsualClient:
    """A client that sends one request after the other on a connection that it keeps."""

    def __init__(self, number: int, address: str, record: Record) -> None:
        self.number, self.address, self.record = number, address, record
        self.rng = random.Random(number)
        self.outcomes: list[Outcome] = []
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        host, _, port = self.address.partition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def run(self, until_s: float) -> None:
        """Send requests until then; the last one is waited for."""
        await asyncio.sleep(self.rng.uniform(0, THINK_S))
        count = 0
        while time.monotonic() < until_s:
            count += 1
            await self._ask(f"u{self.number:02d}x{count:03d}")
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * THINK_S)

    async def _ask(self, request: str) -> None:
        name, deadline_s, _ = self.rng.choices(CLASSES, [weight for *_, weight in CLASSES])[0]
        wait_s = deadline_s * self.rng.uniform(0.5, 1.0)
        body = json.dumps(
            {
                "model": "chat",
                "stream": True,
                "max_tokens": 60,
                "messages": [{"role": "user", "content": "a" * PROMPT_CHARACTERS}],
            }
        ).encode()
        text = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\n"
            f"X-Request-ID: {request}\r\nX-Priority-Class: {name}\r\n"
            f"X-Route-Key: session{self.number}\r\nX-Timeout-Ms: {int(wait_s * 1000)}\r\n"
            f"X-Attrs: prompt_len={PROMPT_CHARACTERS // 4},max_out=60\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        for _ in range(2):
            if self.writer is None or self.writer.is_closing():
                await self.connect()
            assert self.writer is not None
            sent_s = time.monotonic()
            self.writer.write(text)
            await self.writer.drain()
            self.record("sent", id=request, cls=name, timeout_ms=int(wait_s * 1000))
            status = await self._status(wait_s + LATEST_S)
            if status != "closed unread":
                break
            self.writer = None  # a close that crossed the request: it is sent once more
        late_s = time.monotonic() - sent_s - wait_s
        self.outcomes.append(Outcome(request, status, late_s))
        self.record("first answer", id=request, status=status, late_s=round(late_s, 3))
        if not await self._read_rest(status):
            self.writer = None

    async def _status(self, wait_s: float) -> str:
        assert self.reader is not None
        try:
            line = await asyncio.wait_for(self.reader.readline(), wait_s)
            if not line:
                return "closed unread"
            head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), wait_s)
        except TimeoutError:
            return "none"
        except (OSError, asyncio.IncompleteReadError):
            return "closed unread"
        self.keeps = b"connection: close" not in head.lower()
        self.length = 0
        for field in head.lower().split(b"\r\n"):
            if field.startswith(b"content-length:"):
                self.length = int(field.partition(b":")[2])
        return line.decode("latin-1").split(" ")[1]

    async def _read_rest(self, status: str) -> bool:
        """Read the rest of the answer; return whether the connection can be used again."""
        assert self.reader is not None
        if not status.isdigit():
            return False
        try:
            async with asyncio.timeout(LATEST_S):
                if status == "200":
                    await self.reader.readuntil(b"\r\n0\r\n\r\n")
                else:
                    await self.reader.readexactly(self.length)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return False
        return self.keeps


async def wait_for_ready(address: str) -> None:
    """Wait until the dispatcher answers that it is ready."""
    host, _, port = address.partition(":")
    for _ in range(200):
        await asyncio.sleep(0.1)
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2.0)
            writer.close()
        except (OSError, TimeoutError):
            continue
        if b" 200 " in line:
            return
    raise CannotRunError("the dispatcher is not ready")


async def play(bench: Bench, record: Record) -> int:
    """Run the case and return its exit code."""
    bench.start_standin("fleet", HERE.parent / "fleet.py", "3", "3", str(bench.folder / "runs"))
    discovery = await bench.first_line("fleet")
    address = f"127.0.0.1:{free_port()}"
    temporary, config = bench.folder / "tmp", bench.folder / "config.json"
    temporary.mkdir()
    config.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": address,
                "discovery": discovery,
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
                "known": {},
                "settings": SETTINGS,
            }
        )
    )
    dispatcher = bench.start(
        "dispatcher",
        run_command(),
        {
            "ROUTER_NAME": "n1",
            "ROUTER_LISTEN": address,
            "ROUTER_DISCOVERY": discovery,
            "ROUTER_CONFIG": str(config),
            "TMPDIR": str(temporary),
        },
    )
    await wait_for_ready(address)
    clients = [UsualClient(number, address, record) for number in range(USUAL_CLIENTS)]
    await asyncio.gather(*(client.connect() for client in clients))
    until_s = time.monotonic() + QUIET_S + REST_S
    tasks = [asyncio.create_task(client.run(until_s)) for client in clients]
    await asyncio.sleep(QUIET_S)
    record("quiet", peak_kb=peak_memory_kb(dispatcher.pid))
    if trouble():
        record("bad clients", count=BAD_CLIENTS, chunk_bytes=CHUNK_BYTES)
        bench.start_standin(
            "bad", HERE / "bad_clients.py", address, str(BAD_CLIENTS), str(CHUNK_BYTES)
        )
    await asyncio.gather(*tasks)
    record("end", peak_kb=peak_memory_kb(dispatcher.pid), exit_code=dispatcher.poll())
    for line in bench.log("bad").splitlines():
        record("bad client", end=line)
    for line in (bench.folder / "runs").read_text().splitlines():
        record("server " + line)
    if dispatcher.poll() is not None:
        record("verdict", broken="the dispatcher has crashed")
        return BROKEN
    outcomes = [outcome for client in clients for outcome in client.outcomes]
    lost = [o for o in outcomes if o.late_s > GRACE_S or o.status in ("none", "closed unread")]
    record(
        "verdict",
        requests=len(outcomes),
        lost=len(lost),
        latest_s=round(max(o.late_s for o in outcomes), 1),
    )
    sys.stdout.write(f"{len(outcomes)} requests of usual clients, {len(lost)} lost\n")
    return BROKEN if lost else HELD


async def main() -> int:
    """Run the case, and end whatever it has started."""
    record, bench = Record(HERE / "record.txt"), Bench()
    try:
        async with asyncio.timeout(105):
            return await play(bench, record)
    except Exception as error:  # noqa: BLE001 - whatever fails here says nothing about the rule
        record("could not run", why=repr(error))
        return NOT_RUN
    finally:
        bench.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
