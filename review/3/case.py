"""Bookings are asked for again under their names after the store was restarted and emptied."""

import asyncio
import json
import os
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from standins import CannotRunError, Programs, Record, Server, free_port, settings, toml, until

ANSWER_S = 30.0  # for a client to get its final answer
LEDGER_S = 0.8  # that the ledger's tool server takes for a call
GONE_AFTER_S = 0.3  # from the call at the ledger to the client's leaving, before the result
RECORDED_S = 2.5  # for the results that come after that to be recorded
AWAY_S = 0.5  # that the store is away
BOOKINGS = 3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def line(message: dict[str, Any]) -> bytes:
    """Return one JSON-RPC message as a line."""
    return json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n"


class Store(Server):
    """As much of Redis as claims and records of tool calls need."""

    def __init__(self) -> None:
        super().__init__()
        self.values: dict[str, str] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer commands, one after another."""
        while True:
            count = int((await reader.readuntil(b"\r\n"))[1:])
            words = []
            for _ in range(count):
                size = int((await reader.readuntil(b"\r\n"))[1:])
                words.append((await reader.readexactly(size + 2))[:-2].decode())
            writer.write(self.run(words))
            await writer.drain()

    def run(self, words: list[str]) -> bytes:
        """Run one command and return its reply."""
        match words:
            case ["SET", key, value, *options]:
                if "NX" in options and key in self.values:
                    return b"$-1\r\n"
                self.values[key] = value
                return b"+OK\r\n"
            case ["GET", key] if key in self.values:
                data = self.values[key].encode()
                return b"$%d\r\n%b\r\n" % (len(data), data)
            case ["GET", _]:
                return b"$-1\r\n"
        return b"-ERR unknown command\r\n"


class Ledger(Server):
    """The ledger's tool server: it runs each call that it gets and answers after a while."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.ran: list[str] = []  # the bookings, by the order that the writer names
        self.tasks: set[asyncio.Task[None]] = set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run calls, each beside the others."""
        while True:
            message = json.loads(await reader.readuntil(b"\n"))
            if message.get("method") == "tools/call":
                task = asyncio.create_task(self.run(message, writer))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def run(self, message: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        """Run one call; a call whose sender has gone has run all the same."""
        key, order = message["id"], message["params"]["arguments"]["order"]
        self.ran.append(order)
        self.record.write("run", at="ledger", key=key, order=order)
        await asyncio.sleep(LEDGER_S)
        self.record.write("ran", at="ledger", key=key, order=order)
        if not writer.is_closing():
            writer.write(line({"id": key, "result": {"booked": 2}}))


class Reader(Server):
    """A reader that speaks JSON-RPC."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer reads, releases and probes."""
        while True:
            message = json.loads(await reader.readuntil(b"\n"))
            if "id" in message:
                writer.write(line({"id": message["id"], "result": {"cached_tokens": 0}}))


class Writer(Server):
    """A writer that speaks JSON-RPC and makes the same call at each run of a request."""

    def __init__(self, name: str, record: Record) -> None:
        super().__init__()
        self.name, self.record = name, record

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a write, a release or a probe."""
        message = json.loads(await reader.readuntil(b"\n"))
        if message["method"] != "write":
            writer.write(line({"id": message["id"], "result": {}}))
            await writer.drain()
            return
        request = message["params"]["request"]
        self.record.write("run", at=self.name, request=request)
        call = {"name": "book_out", "arguments": {"part": "D-7", "count": 2, "order": request}}
        writer.write(line({"id": "c1", "method": "tools/call", "params": call}))
        self.record.write("call", at=self.name, request=request, id="c1", name="book_out")
        reply = json.loads(await reader.readuntil(b"\n"))
        if "id" not in reply:  # the attempt was called off
            return
        shown = reply.get("result", reply.get("error"))
        self.record.write("reply", at=self.name, request=request, id="c1", reply=shown)
        text = "Two of part D-7 are booked out." if "result" in reply else "Nothing is booked."
        writer.write(line({"method": "text", "params": {"text": text}}))
        writer.write(line({"id": message["id"], "result": {"finish": "stop"}}))
        await writer.drain()
        await reader.read()


async def generate(port: int, record: Record, request: str, gives_up: asyncio.Event) -> None:
    """Ask for a booking under this name, until it is answered or the client gives it up."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    params = {
        "class": "stock-booking",
        "request": request,
        "session": "s-7",
        "prompt": f"Book two of part D-7 out for the north group, order {request}.",
    }
    record.write("sent", request=request)
    writer.write(line({"id": 1, "method": "generate", "params": params}))
    leaving = asyncio.create_task(gives_up.wait())
    try:
        async with asyncio.timeout(ANSWER_S):
            while True:
                reading = asyncio.create_task(reader.readuntil(b"\n"))
                await asyncio.wait((reading, leaving), return_when=asyncio.FIRST_COMPLETED)
                if not reading.done():
                    reading.cancel()
                    record.write("given_up", request=request)
                    return
                message: dict[str, Any] = json.loads(reading.result())
                if message.get("id") == 1:
                    answer = message.get("result", message.get("error"))
                    record.write("answered", request=request, answer=answer)
                    return
    finally:
        leaving.cancel()
        writer.close()


async def start_front(programs: Programs, path: Path, log: str) -> asyncio.subprocess.Process:
    """Start the JSON-RPC front as `make toolcalls` does; wait until it listens."""
    command = f"exec .venv/bin/python -m onyxpass toolcalls --config {path}"
    process = await programs.start(command, log, {})
    if not await until(lambda: b'"listening"' in programs.text(log), 20):
        raise CannotRunError("the front did not start")
    return process


async def play(record: Record) -> int:
    """Play the case and return its exit code."""
    store, ledger, reader = Store(), Ledger(record), Reader()
    writers = [Writer(f"writer-{number}", record) for number in (1, 2)]
    for server in (store, ledger, reader, *writers):
        await server.start()
    port = free_port()
    rows = [("reader-1", "reader", reader), *((w.name, "writer", w) for w in writers)]
    config = {
        "name": "toolcalls-1",
        "listen": f"127.0.0.1:{port}",
        "store": {"url": f"redis://{store.address}/0", "timeout_ms": 300},
        "tools": {"address": ledger.address, "timeout_ms": 10_000},
        "servers": [
            {"id": name, "kind": kind, "zone": "boa-vista", "cell": 0, "address": server.address}
            for name, kind, server in rows
        ],
        "settings": settings(),
    }
    async with Programs(record) as programs:
        path = programs.folder / "toolcalls.toml"
        path.write_text(toml(config))
        await start_front(programs, path, "front.log")
        names, gives_up = [f"booking-{n}" for n in range(1, BOOKINGS + 1)], asyncio.Event()
        first = [asyncio.create_task(generate(port, record, name, gives_up)) for name in names]
        if not await until(lambda: len(ledger.ran) == BOOKINGS, 10):
            raise CannotRunError("not every call came to the ledger")
        await asyncio.sleep(GONE_AFTER_S)
        gives_up.set()
        await asyncio.gather(*first)
        await asyncio.sleep(RECORDED_S)
        record.write("store_holds", keys=sorted(store.values))
        if TROUBLE:
            store.kill()
            store.values.clear()
            record.write("store_killed")
            await asyncio.sleep(AWAY_S)
            await store.start()
            record.write("store_back", keys=sorted(store.values))
        await asyncio.sleep(1.0)
        await asyncio.gather(*(generate(port, record, name, asyncio.Event()) for name in names))

    counts = Counter(ledger.ran)
    doubled = sorted(name for name, count in counts.items() if count > 1)
    record.write("verdict", bookings=BOOKINGS, ledger_calls=len(ledger.ran), doubled=doubled)
    return 1 if doubled else 0


def main() -> int:
    """Play the case beside its record."""
    record = Record(Path(__file__).parent / "record.txt")
    try:
        return asyncio.run(asyncio.wait_for(play(record), 110))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write("could_not_run", why=repr(error))
        return 2


if __name__ == "__main__":
    sys.exit(main())
