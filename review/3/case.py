"""A booking is asked for again under its name after the front was killed with its call out."""

import asyncio
import json
import os
import secrets
import sys
from pathlib import Path
from typing import Any

from standins import CannotRunError, Programs, Record, Server, free_port, settings, toml, until

ANSWER_S = 30.0  # for a client to get its final answer
LEDGER_S = 0.8  # that the ledger's tool server takes for a call
KILLED_AFTER_S = 0.4  # from the call at the ledger to the kill of the front, before its result
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
        self.ran: list[str] = []
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
        name, key = message["params"]["name"], message["id"]
        self.ran.append(name)
        self.record.write("run", at="ledger", name=name, key=key)
        await asyncio.sleep(LEDGER_S)
        self.record.write("ran", at="ledger", name=name, key=key)
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
    """A writer that speaks JSON-RPC; the ids of its calls are new with each run."""

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
        request, number = message["params"]["request"], f"call_{secrets.token_hex(6)}"
        self.record.write("run", at=self.name, request=request)
        call = {"name": "book_out", "arguments": {"part": "D-7", "count": 2}}
        writer.write(line({"id": number, "method": "tools/call", "params": call}))
        self.record.write("call", at=self.name, request=request, id=number, name="book_out")
        reply = json.loads(await reader.readuntil(b"\n"))
        if "id" not in reply:  # the attempt was called off
            return
        shown = reply.get("result", reply.get("error"))
        self.record.write("reply", at=self.name, id=reply["id"], reply=shown)
        text = "Two of part D-7 are booked out." if "result" in reply else "Nothing is booked."
        writer.write(line({"method": "text", "params": {"text": text}}))
        writer.write(line({"id": message["id"], "result": {"finish": "stop"}}))
        await writer.drain()
        await reader.read()


async def generate(port: int, record: Record, request: str, number: int) -> bool:
    """Ask for a booking under this name; return whether a final answer came."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    params = {
        "class": "stock-booking",
        "request": request,
        "session": "s-7",
        "prompt": "Book two of part D-7 out for the north group.",
    }
    record.write("sent", request=request, id=number)
    writer.write(line({"id": number, "method": "generate", "params": params}))
    try:
        async with asyncio.timeout(ANSWER_S):
            while True:
                message: dict[str, Any] = json.loads(await reader.readuntil(b"\n"))
                if message.get("id") == number:
                    answer = message.get("result", message.get("error"))
                    record.write("answered", request=request, id=number, answer=answer)
                    return True
    except (OSError, asyncio.IncompleteReadError) as error:
        record.write("broke", request=request, id=number, why=type(error).__name__)
        return False
    finally:
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
        front = await start_front(programs, path, "front-1.log")
        asked = asyncio.create_task(generate(port, record, "booking-1", 1))
        if TROUBLE:
            if not await until(lambda: bool(ledger.ran), 10):
                raise CannotRunError("no call came to the ledger")
            await asyncio.sleep(KILLED_AFTER_S)
            record.write("killed", pid=front.pid)
            front.kill()
            await front.wait()
        if not await asked:
            await start_front(programs, path, "front-2.log")
            record.write("started_again")
            await generate(port, record, "booking-1", 2)

    record.write("verdict", booked_at_ledger=len(ledger.ran))
    return 1 if len(ledger.ran) > 1 else 0


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
