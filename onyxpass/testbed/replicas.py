"""Stand-in readers, writers and discovery that speak the platform's protocol, in one process.

A reader answers 202 and holds the prefill state; a writer takes the state and streams an answer, or
answers 410 if there is none. Speed and faults are set by the test; each fault affects one request.
"""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import h11

from onyxpass.history_checkers.trace import EventKind, Trace
from onyxpass.net.http import HttpConnection, HttpError, header, read_body
from onyxpass.testbed.server import Server

TOKENS_PER_EVENT = 4
STREAM_HEADERS = [(b"content-type", b"text/event-stream"), (b"transfer-encoding", b"chunked")]
NOT_PROCESSED_HEADERS = [(b"x-not-processed", b"1"), (b"content-length", b"0")]


@dataclass(frozen=True, slots=True)
class Speed:
    """The speed of one replica."""

    read_s: float = 0.01  # for a whole prefill
    first_s: float = 0.01  # until the first event of an answer
    token_s: float = 0.001
    tokens: int = 40  # of an answer, unless the request asks for fewer


@dataclass(frozen=True, slots=True)
class ReplicaFault:
    """A fault of one request; ``after`` is the number of events sent before a break or a silence."""

    kind: str  # full, error, silent or break
    after: int = 0


@dataclass(eq=False, slots=True)
class PrefillStates:
    """The prefill states that readers hold."""

    holders: dict[str, str] = field(default_factory=dict)  # request -> reader


class StandinReplica(Server):
    def __init__(
        self,
        name: str,
        role: str,
        trace: Trace,
        states: PrefillStates,
        speed: Speed = Speed(),
        port: int = 0,
    ) -> None:
        super().__init__(port)
        self.name, self.role, self.trace, self.states, self.speed = name, role, trace, states, speed
        self.faults: list[ReplicaFault] = []
        self.served = 0
        self.open_attempts: set[str] = set()  # request ids
        self.streams_may_continue = asyncio.Event()  # cleared: streams wait after their next event
        self.streams_may_continue.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(h11.SERVER, reader, writer)
        try:
            while True:
                head = await connection.next_event()
                if not isinstance(head, h11.Request):
                    return
                text = await read_body(connection)
                if not await self._answer(connection, head, text):
                    return
                await writer.drain()
                if connection.h11.our_state is not h11.DONE:
                    return
                connection.h11.start_next_cycle()
        except HttpError:
            return

    async def _answer(self, connection: HttpConnection, head: h11.Request, text: bytes) -> bool:
        """Handle one request; return False if the connection has ended or must end."""
        path = bytes(head.target).partition(b"?")[0].decode("latin-1")
        if path.startswith("/kv/leases/") and head.method == b"DELETE":
            self._release_state(path.removeprefix("/kv/leases/"))
            connection.write(h11.Response(status_code=204, headers=[]), h11.EndOfMessage())
            return True
        if path == "/health/live":
            self._send_answer(connection, 200)
            return True
        request = (header(head, b"x-request-id") or b"").decode("latin-1")
        if not request:
            self._send_answer(connection, 404)
            return True
        self.trace.record(EventKind.RECEIVED, request, self.name, self.role)
        self.open_attempts.add(request)
        closed = asyncio.ensure_future(connection.reader.read(1))
        work = asyncio.ensure_future(self._work(connection, request, text))
        try:
            # The dispatcher cancels an attempt by closing its connection, which ends the work.
            await asyncio.wait([closed, work], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False
            return work.result()
        finally:
            for task in (closed, work):
                task.cancel()
            await asyncio.gather(closed, work, return_exceptions=True)
            self._end_attempt(request)

    def _end_attempt(self, request: str) -> None:
        """Record the end of an attempt, before the last byte of its answer is sent.

        Prevents an overlap from being seen where there is none: on a busy machine the dispatcher's
        next attempt can arrive before this task runs again.
        """
        if request in self.open_attempts:
            self.open_attempts.discard(request)
            self.trace.record(EventKind.CLOSED, request, self.name)

    def _send_answer(
        self,
        connection: HttpConnection,
        status: int,
        *headers: tuple[bytes, bytes],
        text: bytes = b"",
        request: str = "",
    ) -> None:
        """Send a complete answer; ``request`` is the id of the attempt that ends with it, if any."""
        self._end_attempt(request)
        sized = [*headers, (b"content-length", b"%d" % len(text))]
        connection.write(
            h11.Response(status_code=status, headers=sized), h11.Data(data=text), h11.EndOfMessage()
        )

    def _release_state(self, request: str) -> None:
        if self.states.holders.pop(request, None) is not None:
            self.trace.record(EventKind.RELEASED, request, self.name)

    async def _work(self, connection: HttpConnection, request: str, text: bytes) -> bool:
        fault = self.faults.pop(0) if self.faults else None
        if fault is not None and fault.kind == "full":
            self._send_answer(connection, 503, (b"x-not-processed", b"1"), request=request)
            return True
        if fault is not None and fault.kind == "silent" and fault.after == 0:
            await asyncio.Event().wait()
        if fault is not None and fault.kind == "break" and fault.after == 0:
            return False
        if self.role == "read":
            return await self._prefill(connection, request, fault)
        return await self._decode(connection, request, text, fault)

    async def _prefill(
        self, connection: HttpConnection, request: str, fault: ReplicaFault | None
    ) -> bool:
        await asyncio.sleep(self.speed.read_s)
        if fault is not None and fault.kind == "error":
            self._send_answer(connection, 500, request=request)
            return True
        self.states.holders[request] = self.name
        self.trace.record(EventKind.HELD, request, self.name)
        self._send_answer(connection, 202, text=b'{"cached_tokens":0}', request=request)
        return True

    async def _decode(
        self, connection: HttpConnection, request: str, text: bytes, fault: ReplicaFault | None
    ) -> bool:
        if request not in self.states.holders:
            self._end_attempt(request)
            connection.write(
                h11.Response(status_code=410, headers=NOT_PROCESSED_HEADERS), h11.EndOfMessage()
            )
            return True
        self._release_state(request)
        self.trace.record(EventKind.RAN, request, self.name, self.role)
        if fault is not None and fault.kind == "error":
            self._send_answer(connection, 500, request=request)
            return True
        await asyncio.sleep(self.speed.first_s)
        token_count = max(
            1, min(self.speed.tokens, int(json.loads(text).get("max_tokens") or self.speed.tokens))
        )
        events = [
            self._event("word " * TOKENS_PER_EVENT)
            for _ in range(-(-token_count // TOKENS_PER_EVENT))
        ]
        usage = {"choices": [], "usage": {"prompt_tokens": 0, "completion_tokens": token_count}}
        events += [self._event("", "stop"), b"data: " + json.dumps(usage).encode() + b"\n\n"]
        events.append(b"data: [DONE]\n\n")
        connection.write(h11.Response(status_code=200, headers=STREAM_HEADERS))
        for number, event in enumerate(events):
            if fault is not None and fault.after == number and fault.kind in ("break", "silent"):
                if fault.kind == "break":
                    await connection.writer.drain()
                    return False
                await asyncio.Event().wait()
            connection.write(h11.Data(data=event))
            await connection.writer.drain()
            await self.streams_may_continue.wait()
            await asyncio.sleep(self.speed.token_s * TOKENS_PER_EVENT)
        self._end_attempt(request)
        connection.write(h11.EndOfMessage())
        self.served += 1
        return True

    @staticmethod
    def _event(content: str, finish: str | None = None) -> bytes:
        choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish}
        return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


@dataclass(slots=True)
class ListedReplica:
    """One entry of the endpoint list."""

    replica: StandinReplica
    kind: str
    hall: str
    cell: int = 0
    health: str = "active"
    born_ms: int = 0
    dial: str = ""  # the address to connect to, if not the replica's own

    def to_dict(self) -> dict[str, Any]:
        return {
            "host": self.replica.name,
            "dial": self.dial or self.replica.address,
            "site": self.hall,
            "class": self.kind,
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }


class StandinDiscovery(Server):
    """Serves the endpoint list and a watch on its changes."""

    def __init__(self, trace: Trace, port: int = 0) -> None:
        super().__init__(port)
        self.trace = trace
        self.seq = 1
        self.rows: dict[str, ListedReplica] = {}
        self.watches: set[asyncio.Queue[bytes]] = set()

    def add(self, *rows: ListedReplica) -> None:
        for row in rows:
            self.rows[row.replica.name] = row

    def change(self, name: str, health: str) -> None:
        """Set a server's health and notify all watches."""
        row = self.rows[name]
        row.health = health
        self.seq += 1
        line = (
            json.dumps({"seq": self.seq, "whole": False, "hosts": [row.to_dict()]}).encode() + b"\n"
        )
        for queue in self.watches:
            queue.put_nowait(line)
        self.trace.record(
            EventKind.DRAIN_ANNOUNCED, server=name, detail="up" if health == "active" else ""
        )

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(h11.SERVER, reader, writer)
        try:
            while True:
                head = await connection.next_event()
                if not isinstance(head, h11.Request):
                    return
                await read_body(connection)
                if b"watch=1" in bytes(head.target):
                    await self._watch(connection)
                    return
                text = json.dumps({"seq": self.seq, "whole": True, "hosts": self._hosts()}).encode()
                sized = [(b"content-length", b"%d" % len(text))]
                connection.write(
                    h11.Response(status_code=200, headers=sized),
                    h11.Data(data=text),
                    h11.EndOfMessage(),
                )
                await writer.drain()
                connection.h11.start_next_cycle()
        except HttpError:
            return

    def _hosts(self) -> list[dict[str, Any]]:
        return [row.to_dict() for row in self.rows.values() if row.health != "left"]

    async def _watch(self, connection: HttpConnection) -> None:
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.watches.add(queue)
        try:
            whole = (
                json.dumps({"seq": self.seq, "whole": True, "hosts": self._hosts()}).encode()
                + b"\n"
            )
            chunked = [(b"transfer-encoding", b"chunked")]
            connection.write(h11.Response(status_code=200, headers=chunked), h11.Data(data=whole))
            while True:
                await connection.writer.drain()
                try:
                    line = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    line = b"\n"
                connection.write(h11.Data(data=line))
        finally:
            self.watches.discard(queue)


class StandinFleet:
    """Readers and writers spread over halls, with their discovery and one trace."""

    def __init__(
        self,
        readers: int = 2,
        writers: int = 2,
        halls: tuple[str, ...] = ("boa-vista", "santo-amaro", "derby"),
        speed: Speed = Speed(),
        port: int = 0,
    ) -> None:
        self.trace, self.states = Trace(), PrefillStates()
        self.discovery = StandinDiscovery(self.trace, port)
        self.replicas: dict[str, StandinReplica] = {}
        for role, kind, count in (("read", "reader", readers), ("write", "writer", writers)):
            for number in range(count):
                replica = StandinReplica(
                    f"{kind}-{number + 1}", role, self.trace, self.states, speed
                )
                self.replicas[replica.name] = replica
                self.discovery.add(
                    ListedReplica(replica, kind, halls[number % len(halls)], number % len(halls))
                )

    async def start(self) -> "StandinFleet":
        for replica in self.replicas.values():
            await replica.start()
        await self.discovery.start()
        return self

    async def stop(self) -> None:
        await self.discovery.stop()
        for replica in self.replicas.values():
            await replica.stop()
