"""Stand-in readers, writers and their discovery, as the protocol page describes them.

Started as ``fleet.py READERS WRITERS RUNS``: writes the discovery's address as its first line, and
each run of a request as a line of JSON to the file ``RUNS``.
"""

import asyncio
import contextlib
import json
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TextIO

TOKENS_PER_S = 18_000  # of a prompt that is read
TOKEN_S = 0.005  # of an answer
TOKENS_PER_EVENT = 4
MAX_TOKENS = 60
HEARTBEAT_S = 2.0
HALLS = ("boa-vista", "santo-amaro", "derby")


@dataclass
class Call:
    """One HTTP request that a server has received whole."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Fleet:
    """What the servers share: which reader holds which state, and the file of runs."""

    runs: TextIO
    states: dict[str, str] = field(default_factory=dict)

    def record(self, what: str, request: str, server: str) -> None:
        """Write a run to the file."""
        row = {"at": round(time.time(), 3), "what": what, "id": request, "server": server}
        self.runs.write(json.dumps(row) + "\n")
        self.runs.flush()


async def read_call(reader: asyncio.StreamReader) -> Call | None:
    """Return the next request on a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    method, path, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Call(method, path, headers, body)


def answer(status: str, body: bytes = b"", *headers: str) -> bytes:
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status}", *headers]
    if not status.startswith("204"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """One reader or writer; it serves one request at a time on each connection."""

    def __init__(self, fleet: Fleet, name: str, kind: str) -> None:
        self.fleet, self.name, self.kind = fleet, name, kind
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (call := await read_call(reader)) is not None:
                if not await self._within_connection(reader, self._answer(call, writer)):
                    break
        writer.close()

    async def _within_connection(self, reader: asyncio.StreamReader, work: Awaitable[None]) -> bool:
        """Do the work; stop it and return False if the dispatcher closes the connection."""
        task = asyncio.ensure_future(work)
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait((task, closed), return_when=asyncio.FIRST_COMPLETED)
        done = task.done()
        for each in (task, closed):
            each.cancel()
        await asyncio.gather(task, closed, return_exceptions=True)
        return done

    async def _answer(self, call: Call, writer: asyncio.StreamWriter) -> None:
        if call.path.startswith("/kv/leases/") and call.method == "DELETE":
            self.fleet.states.pop(call.path.rpartition("/")[2], None)
            writer.write(answer("204 No Content"))
        elif call.path == "/health/live":
            writer.write(answer("200 OK"))
        elif not (request := call.headers.get("x-request-id", "")):
            writer.write(answer("404 Not Found"))
        elif self.kind == "reader":
            await self._read(request, call, writer)
        else:
            await self._write(request, writer)
        await writer.drain()

    async def _read(self, request: str, call: Call, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(len(call.body) / 4 / TOKENS_PER_S)
        self.fleet.states[request] = self.name
        self.fleet.record("read", request, self.name)
        writer.write(answer("202 Accepted", b'{"cached_tokens":0}'))

    async def _write(self, request: str, writer: asyncio.StreamWriter) -> None:
        if self.fleet.states.pop(request, None) is None:
            writer.write(answer("410 Gone", b"", "X-Not-Processed: 1"))
            return
        self.fleet.record("run", request, self.name)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        writer.write(head.encode() + b"\r\n\r\n")
        for number in range(0, MAX_TOKENS, TOKENS_PER_EVENT):
            last = number + TOKENS_PER_EVENT >= MAX_TOKENS
            choice = {"index": 0, "delta": {"content": "word" * TOKENS_PER_EVENT}}
            event = {"choices": [{**choice, "finish_reason": "stop" if last else None}]}
            writer.write(chunk(f"data: {json.dumps(event)}\n\n"))
            await writer.drain()
            await asyncio.sleep(TOKEN_S * TOKENS_PER_EVENT)
        usage = {"prompt_tokens": 0, "completion_tokens": MAX_TOKENS}
        writer.write(chunk(f"data: {json.dumps({'choices': [], 'usage': usage})}\n\n"))
        writer.write(chunk("data: [DONE]\n\n") + b"0\r\n\r\n")


def chunk(text: str) -> bytes:
    """Return a text as one chunk."""
    return b"%x\r\n%b\r\n" % (len(text), text.encode())


def discovery(servers: list[Server]) -> Callable[..., Awaitable[None]]:
    """Return the handler of the discovery's connections; the list does not change."""
    hosts = [
        {
            "host": server.name,
            "dial": f"127.0.0.1:{server.port}",
            "site": HALLS[number % len(HALLS)],
            "class": server.kind,
            "block": number % len(HALLS),
            "health": "active",
            "share": 1.0,
            "born_ms": 0,
        }
        for number, server in enumerate(servers)
    ]
    whole = json.dumps({"seq": 1, "whole": True, "hosts": hosts})

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (call := await read_call(reader)) is not None:
                if "watch=1" not in call.path:
                    writer.write(answer("200 OK", whole.encode()))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                line = "\n" if "from=1" in call.path else whole + "\n"
                while not writer.is_closing():
                    writer.write(chunk(line))
                    await writer.drain()
                    await asyncio.sleep(HEARTBEAT_S)
                    line = "\n"
        writer.close()

    return serve


async def main() -> None:
    """Start all servers and run until killed."""
    readers, writers, path = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
    with open(path, "w") as runs:  # noqa: ASYNC230, PTH123 - once, before anything is served
        fleet = Fleet(runs)
        servers = [Server(fleet, f"reader-{n}", "reader") for n in range(readers)]
        servers += [Server(fleet, f"writer-{n}", "writer") for n in range(writers)]
        for server in servers:
            await server.start()
        listener = await asyncio.start_server(discovery(servers), "127.0.0.1", 0, backlog=512)
        host, port = listener.sockets[0].getsockname()[:2]
        sys.stdout.write(f"{host}:{port}\n")
        sys.stdout.flush()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
