"""Case 3: bookings that are asked for again under their names, after the store has restarted.

The rule is broken if the tool server has carried out two calls for one booking.
"""

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from common import BROKEN, HELD, NOT_RUN, Bench, CannotRunError, Record, free_port, program, trouble

HERE = Path(__file__).resolve().parent
BOOKINGS = 5
ANSWER_S = 10.0  # the class's deadline is 7.5 s
SETTLE_S = 1.5  # for calls that are out to end, and to be recorded
STORE_AWAY_S = 0.5
CONFIG = """
name = "toolcalls-1"
listen = "127.0.0.1:{listen}"
[store]
url = "redis://127.0.0.1:{store}/0"
[tools]
address = "127.0.0.1:{tools}"
[[servers]]
id = "reader-1"
kind = "reader"
zone = "boa-vista"
address = "127.0.0.1:{reader}"
[[servers]]
id = "writer-1"
kind = "writer"
zone = "boa-vista"
address = "127.0.0.1:{writer}"
[settings]
az = "boa-vista"
hostTypes = ["reader", "writer"]
[[settings.grades]]
name = "stock-booking"
promiseUs = 1500000
deadlineUs = 7500000
value = 2.0
lateWorth = 0.1
repeat = "non_idempotent"
[settings.extra]
roleByKind = ["read", "write"]
tokensByKind = [240000, 150000]
tokenAimUs = [70000]
aimUsPer1000PromptTokens = [40000]
[settings.limits]
maxAttempts = 4
cancelling = true
retryAfter = true
maxRetryAfterUs = 1000000
"""


class Client:
    """One connection to the JSON-RPC front."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> "Client":
        """Open a connection."""
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, **message: Any) -> None:
        """Send one message."""
        self.writer.write(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")

    async def receive(self) -> dict[str, Any]:
        """Return the next message; empty at the end of the connection."""
        line = await asyncio.wait_for(self.reader.readline(), ANSWER_S)
        message: dict[str, Any] = json.loads(line) if line else {}
        return message


async def wait_until_ready(port: int) -> None:
    """Wait until the front answers."""
    for _ in range(200):
        await asyncio.sleep(0.1)
        try:
            client = await Client.connect(port)
            client.send(id=1, method="ping", params={})
            answer = await client.receive()
            client.writer.close()
        except (OSError, TimeoutError):
            continue
        if answer.get("result", {}).get("ready"):
            return
    raise CannotRunError("the JSON-RPC front is not ready")


async def ask(port: int, name: str, record: Record, leave: bool) -> None:
    """Ask for a booking; ``leave``: give it up while its tool call is out."""
    client = await Client.connect(port)
    params = {"class": "stock-booking", "request": name, "session": "s-7", "prompt": "Book one."}
    client.send(id=1, method="generate", params=params)
    record("sent", name=name)
    while message := await client.receive():
        if message.get("method") == "text":
            record("text", name=name, text=message["params"]["text"])
            if leave:
                await asyncio.sleep(0.1)  # the call is out: the tool server takes 0.5 s
                record("client leaves", name=name)
                break
        else:
            record("answer", name=name, answer=message.get("result", message.get("error")))
            break
    client.writer.close()


async def start_store(bench: Bench, port: int) -> Any:
    """Start the store and wait until it serves."""
    process = bench.start_standin("store", HERE.parent / "store.py", str(port))
    for _ in range(100):
        await asyncio.sleep(0.05)
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            continue
        writer.close()
        return process
    raise CannotRunError("the store has not started")


async def play(bench: Bench, record: Record) -> int:
    """Run the case and return its exit code."""
    names = ("listen", "store", "tools", "reader", "writer")
    ports = {name: free_port() for name in names}
    ledger = bench.folder / "ledger"
    store = await start_store(bench, ports["store"])
    own = [str(ports[name]) for name in ("reader", "writer", "tools")]
    bench.start_standin("peers", HERE / "peers.py", *own, str(ledger))
    await bench.first_line("peers")
    config = bench.folder / "toolcalls.toml"
    config.write_text(CONFIG.format(**ports))
    front = bench.start("front", program("toolcalls", "--config", str(config)))
    await wait_until_ready(ports["listen"])
    bookings = [f"booking-{number}" for number in range(BOOKINGS)]
    for name in bookings:
        await ask(ports["listen"], name, record, leave=True)
    await asyncio.sleep(SETTLE_S)
    if trouble():
        store.kill()
        store.wait()
        record("the store is killed")
        await asyncio.sleep(STORE_AWAY_S)
        await start_store(bench, ports["store"])
        record("the store is back, and empty")
    await asyncio.sleep(SETTLE_S)
    for name in bookings:
        await ask(ports["listen"], name, record, leave=False)
    await asyncio.sleep(SETTLE_S)
    if front.poll() is not None:
        raise CannotRunError("the front has ended")
    rows = [json.loads(line) for line in ledger.read_text().splitlines()]
    for row in rows:
        record("the ledger's call " + json.dumps(row))
    calls = Counter(row["call"]["arguments"]["for"] for row in rows)
    if set(calls) != set(bookings):
        raise CannotRunError("a booking was not carried out at all")
    doubled = [name for name, count in calls.items() if count > 1]
    record("verdict", bookings=len(bookings), carried_out=len(rows), doubled=doubled)
    sys.stdout.write(f"{len(bookings)} bookings, {len(rows)} calls, {len(doubled)} doubled\n")
    return BROKEN if doubled else HELD


async def main() -> int:
    """Run the case, and end whatever it has started."""
    record, bench = Record(HERE / "record.txt"), Bench()
    try:
        async with asyncio.timeout(100):
            return await play(bench, record)
    except Exception as error:  # noqa: BLE001 - whatever fails here says nothing about the rule
        record("could not run", why=repr(error))
        return NOT_RUN
    finally:
        bench.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
