"""Scripted JSON-RPC servers and a client for tests of the JSON-RPC front, on loopback ports.

They are written from the public specification, and each server records the messages that reach it,
so that tests can detect duplicates.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from onyxpass.testbed.server import Server, until
from onyxpass.testbed.store import RespStore


def send_message(writer: asyncio.StreamWriter, **message: Any) -> None:
    """Write one JSON-RPC message as a line."""
    writer.write(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")


class LineServer(Server):
    """A server of JSON-RPC messages, one object a line.

    ``requests`` holds the messages with an id, ``notifications`` those without one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.notifications: list[dict[str, Any]] = []
        self.requests: list[dict[str, Any]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            message = json.loads(line)
            (self.requests if "id" in message else self.notifications).append(message)
            await self.handle_message(message, reader, writer)

    async def handle_message(
        self, message: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one message, which has been recorded already."""
        raise NotImplementedError

    def count(self, method: str) -> int:
        """Return how many requests of this method have arrived."""
        return sum(request.get("method") == method for request in self.requests)


class PrefillServer(LineServer):
    """Answers each ``read`` with the next of ``prefill_replies``, and then with success.

    An empty reply stands for no answer. ``released`` holds the ids of the released requests.
    """

    def __init__(self) -> None:
        super().__init__()
        self.prefill_replies: list[dict[str, Any]] = []
        self.released: list[str] = []

    async def handle_message(
        self, message: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if message.get("method") == "read":
            reply = (
                self.prefill_replies.pop(0)
                if self.prefill_replies
                else {"result": {"cached_tokens": 7}}
            )
            if reply:
                send_message(writer, id=message["id"], **reply)
        elif message.get("method") == "release":
            self.released.append(message["params"]["request"])
            send_message(writer, id=message["id"], result={})


Step = Callable[["DecodeServer", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class DecodeServer(LineServer):
    """Plays ``steps`` on each stream; ``results`` holds the responses to its tool calls."""

    def __init__(self, *steps: Step) -> None:
        super().__init__()
        self.steps = steps
        self.results: list[dict[str, Any]] = []
        self.abort_event = asyncio.Event()

    async def handle_message(
        self, message: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if message.get("method") != "write":
            if "id" in message and "method" in message:
                send_message(writer, id=message["id"], result={})
            return
        for step in self.steps:
            await step(self, reader, writer)
        send_message(writer, id=message["id"], result={"finish": "stop"})

    async def receive(self, reader: asyncio.StreamReader) -> dict[str, Any]:
        """Return the next message; raise ConnectionResetError at the end of the connection."""
        line = await reader.readline()
        if not line:
            raise ConnectionResetError
        message: dict[str, Any] = json.loads(line)
        if "method" in message:
            self.notifications.append(message)
        return message


def send_text(text: str) -> Step:
    """Return a step that sends a piece of the answer's text."""

    async def step(
        self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        send_message(writer, method="text", params={"text": text})

    return step


def call_tool(id: str | int, name: str = "book_out", wait: bool = True) -> Step:
    """Return a step that calls a tool and, if ``wait`` is set, records the next message."""

    async def step(
        self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        send_message(
            writer,
            id=id,
            method="tools/call",
            params={"name": name, "arguments": {"part": "hv-board"}},
        )
        if wait:
            self.results.append(await self.receive(reader))

    return step


def send_line(line: bytes) -> Step:
    """Return a step that writes these bytes as a line."""

    async def step(
        self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(line + b"\n")

    return step


async def receive_one(
    self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Record the next message as a result."""
    self.results.append(await self.receive(reader))


async def abort_on_event(
    self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Wait until the test sets ``abort_event``, then reset the connection."""
    await self.abort_event.wait()
    writer.transport.abort()
    raise ConnectionResetError


async def read_until_closed(
    self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Write nothing until the other side closes; record the notifications that it sends."""
    while True:
        await self.receive(reader)


class ToolServer(LineServer):
    """A tool server; ``call_ids`` holds the id of each call that reached it, in order.

    While ``release`` is cleared, results are held back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.call_ids: list[str] = []
        self.answers: dict[str, dict[str, Any]] = {}  # by tool name, instead of the usual result
        self.release = asyncio.Event()
        self.release.set()
        self.replies_garbage = False
        self.reply_tasks: set[asyncio.Task[None]] = set()

    async def handle_message(
        self, message: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if message.get("method") != "tools/call":
            return
        self.call_ids.append(message["id"])
        if self.replies_garbage:
            writer.write(b"%% not json %%\n")
            return
        answer = self.answers.get(
            message["params"]["name"], {"result": {"booked": len(self.call_ids)}}
        )
        task = asyncio.create_task(self._reply(writer, message["id"], answer))
        self.reply_tasks.add(task)
        task.add_done_callback(self.reply_tasks.discard)

    async def _reply(self, writer: asyncio.StreamWriter, id: str, answer: dict[str, Any]) -> None:
        await self.release.wait()
        send_message(writer, id=id, **answer)


class Client:
    """A client of the JSON-RPC front; ``texts`` and ``responses`` are in order of arrival."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.texts: list[str] = []
        self.responses: list[dict[str, Any]] = []
        self.closed = False

    async def start(self) -> "Client":
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.task = asyncio.create_task(self._read_messages())
        return self

    async def _read_messages(self) -> None:
        try:
            while line := await self.reader.readline():
                message = json.loads(line)
                if message.get("method") == "text":
                    self.texts.append(message["params"]["text"])
                else:
                    self.responses.append(message)
        except OSError:
            return
        finally:
            self.closed = True

    def generate(self, id: str | int, traffic_class: str = "stock-booking", **params: Any) -> None:
        """Send a ``generate`` request; ``params`` override the usual parameters."""
        message_params = {
            "class": traffic_class,
            "session": "s1",
            "prompt": "book out one board",
            **params,
        }
        send_message(self.writer, id=id, method="generate", params=message_params)

    async def response(self, id: str | int | None) -> dict[str, Any]:
        """Return the first response with this id, once it has arrived."""
        await until(lambda: any(r.get("id") == id for r in self.responses))
        return next(r for r in self.responses if r.get("id") == id)

    async def stop(self) -> None:
        self.writer.close()
        await asyncio.wait([self.task])


__all__ = [
    "Client",
    "DecodeServer",
    "PrefillServer",
    "RespStore",
    "Server",
    "ToolServer",
    "until",
]
