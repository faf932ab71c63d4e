"""A reader, a writer and a tool server of the JSON-RPC front, as docs/TOOLCALLS.md describes them.

Started as ``peers.py READER_PORT WRITER_PORT TOOLS_PORT LEDGER``. For each booking the writer makes
one tool call, always ``c1``, and streams on with its result. The tool server writes each call that
it carries out as a line to the file ``LEDGER``.
"""

import asyncio
import contextlib
import json
import sys
from collections.abc import Awaitable, Callable
from typing import Any, TextIO

READ_S = 0.05
BOOK_S = 0.5  # for the tool server to carry out a booking
Message = dict[str, Any]


def encode(message: Message) -> bytes:
    """Return a message as a line."""
    return json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n"


class Connection:
    """One connection from the dispatcher."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def receive(self) -> Message:
        """Return the next message; ``ConnectionError`` at the end."""
        line = await self.reader.readline()
        if not line:
            raise ConnectionError("closed")
        message: Message = json.loads(line)
        return message

    async def send(self, **message: Any) -> None:
        """Send one message."""
        self.writer.write(encode(message))
        await self.writer.drain()


async def serve_reader(connection: Connection) -> None:
    """Answer reads, releases and probes."""
    while True:
        message = await connection.receive()
        if message.get("method") == "read":
            await asyncio.sleep(READ_S)
            await connection.send(id=message["id"], result={"cached_tokens": 0})
        elif "id" in message:
            await connection.send(id=message["id"], result={})


async def serve_writer(connection: Connection) -> None:
    """Answer writes: a text, one tool call, a text with its result, and the end."""
    while True:
        message = await connection.receive()
        if message.get("method") != "write":
            if "id" in message:
                await connection.send(id=message["id"], result={})
            continue
        await connection.send(method="text", params={"text": "Booking the part. "})
        arguments = {"part": "pmt-17", "for": message["params"]["request"]}
        call = {"name": "book_out", "arguments": arguments}
        await connection.send(id="c1", method="tools/call", params=call)
        while (reply := await connection.receive()).get("id") != "c1" or "method" in reply:
            pass
        text = json.dumps(reply.get("result", reply.get("error")))
        await connection.send(method="text", params={"text": f"The ledger says {text}."})
        await connection.send(id=message["id"], result={"finish": "stop"})


def tool_server(ledger: TextIO) -> Callable[[Connection], Awaitable[None]]:
    """Return the handler of a tool server that writes down each call that it carries out."""
    count = 0

    async def carry_out(connection: Connection, message: Message) -> None:
        nonlocal count
        count += 1
        row = {"number": count, "id": message["id"], "call": message["params"]}
        ledger.write(json.dumps(row) + "\n")
        ledger.flush()
        booking = count
        await asyncio.sleep(BOOK_S)
        with contextlib.suppress(ConnectionError):
            await connection.send(id=message["id"], result={"booking": booking})

    async def serve(connection: Connection) -> None:
        tasks = set()
        while True:
            message = await connection.receive()
            if message.get("method") == "tools/call":
                task = asyncio.create_task(carry_out(connection, message))
                tasks.add(task)
                task.add_done_callback(tasks.discard)

    return serve


async def listen(port: int, handle: Callable[[Connection], Awaitable[None]]) -> None:
    """Serve connections with ``handle``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            await handle(Connection(reader, writer))
        writer.close()

    await asyncio.start_server(serve, "127.0.0.1", port)


async def main() -> None:
    """Serve until killed."""
    reader_port, writer_port, tools_port = map(int, sys.argv[1:4])
    with open(sys.argv[4], "w") as ledger:  # noqa: ASYNC230, PTH123 - before anything is served
        await listen(reader_port, serve_reader)
        await listen(writer_port, serve_writer)
        await listen(tools_port, tool_server(ledger))
        sys.stdout.write("serving\n")
        sys.stdout.flush()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
