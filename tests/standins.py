"""Stand-ins for the JSON-RPC front, written from the public specification, on loopback ports of
their own.

Each counts what reaches it, so that tests can look for what came twice.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

from onyxpass.testbed.server import Server, until
from onyxpass.testbed.store import RespStore


def send_message(writer: asyncio.StreamWriter, **message: Any) -> None:
    writer.write(json.dumps({"jsonrpc": "2.0", **message}).encode() + b"\n")


class LineServer(Server):
    """JSON-RPC, one object a line; ``hear`` is called with each message."""

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
        raise NotImplementedError

    def count(self, method: str) -> int:
        return sum(m.get("method") == method for m in self.requests)


class PrefillServer(LineServer):
    """Answers reads as ``ends`` says, one after another; then well."""

    def __init__(self) -> None:
        super().__init__()
        self.prefill_replies: list[dict[str, Any]] = []
        self.released: list[str] = []

    async def handle_message(
        self, message: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if message.get("method") == "read":
            end = (
                self.prefill_replies.pop(0)
                if self.prefill_replies
                else {"result": {"cached_tokens": 7}}
            )
            if end:  # an empty one: silence
                send_message(writer, id=message["id"], **end)
        elif message.get("method") == "release":
            self.released.append(message["params"]["request"])
            send_message(writer, id=message["id"], result={})


Step = Callable[["DecodeServer", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class DecodeServer(LineServer):
    """Plays ``steps`` on each stream; what comes back for its calls is in ``results``."""

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
        line = await reader.readline()
        if not line:
            raise ConnectionResetError
        message: dict[str, Any] = json.loads(line)
        if "method" in message:
            self.notifications.append(message)
        return message


def send_text(text: str) -> Step:
    async def step(
        self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        send_message(writer, method="text", params={"text": text})

    return step


def call_tool(id: str | int, name: str = "book_out", wait: bool = True) -> Step:
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
    async def step(
        self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(line + b"\n")

    return step


async def receive_one(
    self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    self.results.append(await self.receive(reader))


async def abort_on_event(
    self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Hold on till the test lets go; then break the connection."""
    await self.abort_event.wait()
    writer.transport.abort()
    raise ConnectionResetError


async def read_until_closed(
    self: DecodeServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Say nothing till the other side closes; what it sends before is kept."""
    while True:
        await self.receive(reader)


class ToolServer(LineServer):
    """The tool server. ``ledger`` holds every call that ever reached it, in order."""

    def __init__(self) -> None:
        super().__init__()
        self.ledger: list[str] = []
        self.answers: dict[str, dict[str, Any]] = {}  # by tool name, in place of the usual result
        self.release = asyncio.Event()
        self.release.set()  # cleared: results wait
        self.replies_garbage = False
        self.waiting: set[asyncio.Task[None]] = set()

    async def handle_message(
        self, message: dict[str, Any], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if message.get("method") != "tools/call":
            return
        self.ledger.append(message["id"])
        if self.replies_garbage:
            writer.write(b"%% not json %%\n")
            return
        answer = self.answers.get(
            message["params"]["name"], {"result": {"booked": len(self.ledger)}}
        )
        task = asyncio.create_task(self._later(writer, message["id"], answer))
        self.waiting.add(task)
        task.add_done_callback(self.waiting.discard)

    async def _later(self, writer: asyncio.StreamWriter, id: str, answer: dict[str, Any]) -> None:
        await self.release.wait()
        send_message(writer, id=id, **answer)


class Client:
    """A client of the JSON-RPC front; ``texts`` and ``responses`` by id, in the order they came."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.texts: list[str] = []
        self.responses: list[dict[str, Any]] = []
        self.closed = False

    async def start(self) -> "Client":
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.task = asyncio.create_task(self._follow())
        return self

    async def _follow(self) -> None:
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
        given = {"class": traffic_class, "session": "s1", "prompt": "book out one board", **params}
        send_message(self.writer, id=id, method="generate", params=given)

    async def response(self, id: str | int | None) -> dict[str, Any]:
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
