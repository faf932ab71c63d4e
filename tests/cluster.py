"""One dispatcher with scripted replicas and a scripted discovery server, over loopback sockets."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from helpers import SETTINGS
from standins import Server, until

from onyxpass.config.platform_file import Address, Config
from onyxpass.scheduling import contract
from onyxpass.serve import DispatcherProcess

Responder = Callable[
    ["Replica", asyncio.StreamReader, asyncio.StreamWriter, bytes], Awaitable[None]
]


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Read one HTTP message and return its head and body; no Content-Length means no body."""
    head = await reader.readuntil(b"\r\n\r\n")
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.partition(b":")[2])
    return head, await reader.readexactly(size)


class Replica(Server):
    """Answers each request with the next of ``answers``, and repeats the last one.

    ``heads`` holds the heads of the requests, ``leases`` the targets of the answered DELETE
    requests, and ``eof`` counts the connections that the dispatcher closed.
    """

    def __init__(self, *answers: Responder) -> None:
        super().__init__()
        self.answers, self.heads, self.leases = list(answers), [], []  # type: ignore[var-annotated]
        self.eof = 0
        self.answers_deletes = True  # False: DELETE requests are read and get no answer

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            try:
                head, _ = await read_message(reader)
            except asyncio.IncompleteReadError:
                self.eof += 1
                return
            if head.startswith(b"DELETE"):
                if not self.answers_deletes:
                    continue
                self.leases.append(head.split()[1].decode())
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                continue
            self.heads.append(head)
            await (self.answers.pop(0) if len(self.answers) > 1 else self.answers[0])(
                self, reader, writer, head
            )


def respond_with(text: bytes) -> Responder:
    """Return a responder that writes these bytes."""

    async def answer(
        self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
    ) -> None:
        writer.write(text)

    return answer


def hold_last_chunk(hold: asyncio.Event) -> Responder:
    """Return a responder that streams the events but writes the last chunk only after ``hold``."""

    async def answer(
        self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
    ) -> None:
        writer.write(HEAD + CHUNKS)
        await hold.wait()
        writer.write(b"0\r\n\r\n")

    return answer


def break_connection(text: bytes = b"") -> Responder:
    """Return a responder that writes these bytes and closes the connection."""

    async def answer(
        self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
    ) -> None:
        writer.write(text)
        await writer.drain()
        writer.close()
        raise ConnectionResetError

    return answer


async def never_answer(
    self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
) -> None:
    """Write nothing until the dispatcher closes the connection; another byte counts as a close."""
    await reader.read(1)
    self.eof += 1
    raise ConnectionResetError


def status_response(code: int, *headers: str, text: str = "") -> Responder:
    """Return a responder that writes a complete response with this status code."""
    lines = [f"HTTP/1.1 {code} X", f"Content-Length: {len(text)}", *headers, "", text]
    return respond_with("\r\n".join(lines).encode())


PREFILLED = status_response(202, text='{"cached_tokens":12}')
SERVER_FULL = status_response(503, "X-Not-Processed: 1")
EVENTS = [b'data: {"choices":[]}\n\n', b"data: [DONE]\n\n"]
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"".join(b"%x\r\n%b\r\n" % (len(event), event) for event in EVENTS)
STREAM = respond_with(HEAD + CHUNKS + b"0\r\n\r\n")


class Discovery(Server):
    """A discovery server: the complete list, and a watch that sends the lines put into ``changes``.

    ``delay_s`` delays each response, and ``requested_targets`` holds the targets of all requests.
    """

    def __init__(self) -> None:
        super().__init__()
        self.hosts: list[dict[str, Any]] = []
        self.seq, self.requested_targets = 41, []  # type: ignore[var-annotated]
        self.delay_s = 0.0
        self.changes: asyncio.Queue[bytes] = asyncio.Queue()

    def entry(self, host: str, kind: str, dial: str, health: str = "active") -> dict[str, Any]:
        """Return one server of the list; ``dial`` is its address."""
        fields = {
            "host": host,
            "dial": dial,
            "site": "z0",
            "class": kind,
            "block": 0,
            "health": health,
        }
        return {**fields, "share": 1.0, "born_ms": 0}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head, _ = await read_message(reader)
            target = head.split()[1].decode()
            self.requested_targets.append(target)
            await asyncio.sleep(self.delay_s)
            if "watch" not in target:
                text = json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
            client_closed = asyncio.create_task(reader.read(1))
            while not client_closed.done():
                change = asyncio.create_task(self.changes.get())
                await asyncio.wait([client_closed, change], return_when=asyncio.FIRST_COMPLETED)
                if change.done():
                    line = change.result()
                    writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                else:
                    change.cancel()
            return

    def change(self, *hosts: dict[str, Any]) -> None:
        """Send these entries as one change of the list to the watch."""
        self.seq += 1
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": hosts}).encode() + b"\n"
        self.changes.put_nowait(line)


class Cluster:
    """A running dispatcher with its prefill servers, its decode servers and its discovery."""

    def __init__(
        self, readers: list[Replica], writers: list[Replica], dispatcher: DispatcherProcess
    ) -> None:
        self.readers, self.writers, self.dispatcher = readers, writers, dispatcher
        self.discovery: Discovery

    @property
    def port(self) -> int:
        return self.dispatcher.front.port

    async def send(self, text: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Write these bytes on a new connection to the dispatcher."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(text)
        return reader, writer

    async def request(self, id: str = "a1", traffic_class: str = "light", ms: int = 3000) -> bytes:
        """Send a request and return the bytes of the response, none if the connection was reset."""
        reader, writer = await self.send(chat_request(id, traffic_class, ms, close=True))
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()


def chat_request(
    id: str, traffic_class: str = "light", ms: int = 3000, close: bool = False, text: bytes = b"{}"
) -> bytes:
    """Return the bytes of a chat completion request with a time limit of ``ms``."""
    lines = ["POST /v1/chat/completions?x=1 HTTP/1.1", "Host: backend.local", f"X-Request-ID: {id}"]
    lines += [f"X-Priority-Class: {traffic_class}", "X-Route-Key: s1", f"X-Timeout-Ms: {ms}"]
    lines += [
        "X-Attrs: prefix=p1,prompt_len=900,prefix_len=500,max_out=100",
        f"Content-Length: {len(text)}",
    ]
    return "\r\n".join([*lines, *(["Connection: close"] if close else []), "", ""]).encode() + text


@asynccontextmanager
async def running_cluster(
    readers: list[Replica],
    writers: list[Replica],
    discovery: Discovery | None = None,
    settings: contract.Settings = SETTINGS,
    on_created: Callable[[DispatcherProcess], None] = lambda _: None,
    **config_fields: Any,
) -> AsyncIterator[Cluster]:
    """Run a dispatcher with these servers and yield the cluster once the endpoint list is loaded.

    ``on_created`` is called with the dispatcher before it starts. ``config_fields`` are fields of
    ``Config``; ``known`` sets ``known_endpoints``.
    """
    discovery = discovery or Discovery()
    parts: list[Server] = [discovery, *readers, *writers]
    for part in parts:
        await part.start()
    for kind, replicas in (("r", readers), ("w", writers)):
        for i, replica in enumerate(replicas):
            discovery.hosts.append(discovery.entry(f"{kind}{i}", kind, replica.address))
    listen = Address("127.0.0.1", 0)
    known = config_fields.pop("known", {})
    config = Config(
        "n0", listen, Address("127.0.0.1", discovery.port), 1, settings, known, **config_fields
    )
    dispatcher = DispatcherProcess(config)
    on_created(dispatcher)
    await dispatcher.start()
    cluster = Cluster(readers, writers, dispatcher)
    cluster.discovery = discovery
    await until(lambda: dispatcher.endpoint_watcher.ready)
    try:
        yield cluster
    finally:
        for task in dispatcher.tasks:
            task.cancel()
        for part in parts:
            await part.stop()
        dispatcher.front.close()
        dispatcher.process_registry.end()


def run_async(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run the coroutine of a test, with a timeout of 30 s."""
    asyncio.run(asyncio.wait_for(test(), 30))
