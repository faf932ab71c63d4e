"""Stand-in readers, writers and discovery that speak the platform's protocol, in one process.

A reader answers 202 and holds the read state; a writer takes the state and streams an answer, or
says 410 where there is none. Their speed is told, so are their faults: each fault is used up by one
request.
"""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import h11

from onyxpass.history_checkers.trace import EventKind, Trace
from onyxpass.net.http import HttpConnection, HttpError, header, read_body
from onyxpass.testbed.server import Server

TOKENS_AN_EVENT = 4
STREAM = [(b"content-type", b"text/event-stream"), (b"transfer-encoding", b"chunked")]
NOT_RUN = [(b"x-not-processed", b"1"), (b"content-length", b"0")]


@dataclass(frozen=True, slots=True)
class Speed:
    """Of one replica, in seconds."""

    read_s: float = 0.01  # a whole read
    first_s: float = 0.01  # till the first event of an answer
    token_s: float = 0.001
    tokens: int = 40  # of an answer, where the request does not ask for less


@dataclass(frozen=True, slots=True)
class Fault:
    """What befalls one request. ``after``: events that still go out before a break or a silence."""

    kind: str  # full, error, silent, break
    after: int = 0


@dataclass(eq=False, slots=True)
class States:
    """Which reader holds the read state of which request."""

    holder: dict[str, str] = field(default_factory=dict)


class StandinReplica(Server):
    def __init__(
        self,
        name: str,
        role: str,
        trace: Trace,
        states: States,
        speed: Speed = Speed(),
        port: int = 0,
    ) -> None:
        super().__init__(port)
        self.name, self.role, self.trace, self.states, self.speed = name, role, trace, states, speed
        self.faults: list[Fault] = []
        self.served = 0
        self.out: set[str] = set()  # attempts that are not over
        self.hold = asyncio.Event()  # cleared: streams wait after their first event
        self.hold.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = HttpConnection(h11.SERVER, reader, writer)
        try:
            while True:
                head = await wire.next_event()
                if not isinstance(head, h11.Request):
                    return
                text = await read_body(wire)
                if not await self._answer(wire, head, text):
                    return
                await writer.drain()
                if wire.h11.our_state is not h11.DONE:
                    return
                wire.h11.start_next_cycle()
        except HttpError:
            return

    async def _answer(self, wire: HttpConnection, head: h11.Request, text: bytes) -> bool:
        """False: the connection has ended."""
        path = bytes(head.target).partition(b"?")[0].decode("latin-1")
        if path.startswith("/kv/leases/") and head.method == b"DELETE":
            self._free(path.removeprefix("/kv/leases/"))
            wire.write(h11.Response(status_code=204, headers=[]), h11.EndOfMessage())
            return True
        if path == "/health/live":
            self._short(wire, 200)
            return True
        request = (header(head, b"x-request-id") or b"").decode("latin-1")
        if not request:
            self._short(wire, 404)
            return True
        self.trace.record(EventKind.RECEIVED, request, self.name, self.role)
        self.out.add(request)
        gone = asyncio.ensure_future(wire.reader.read(1))
        work = asyncio.ensure_future(self._work(wire, request, text))
        try:
            # The dispatcher gives an attempt up by closing: work stops when its request is
            # cancelled.
            await asyncio.wait([gone, work], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False
            return work.result()
        finally:
            for task in (gone, work):
                task.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)
            self._over(request)

    def _over(self, request: str) -> None:
        """The attempt is over, told before the last byte of its answer goes out.

        Guards against an overlap seen where there is none: on a busy machine the dispatcher's next
        attempt comes in before this task has had its turn again.
        """
        if request in self.out:
            self.out.discard(request)
            self.trace.record(EventKind.CLOSED, request, self.name)

    def _short(
        self,
        wire: HttpConnection,
        status: int,
        *headers: tuple[bytes, bytes],
        text: bytes = b"",
        request: str = "",
    ) -> None:
        """A whole answer; ``request``: the attempt that ends with it."""
        self._over(request)
        sized = [*headers, (b"content-length", b"%d" % len(text))]
        wire.write(
            h11.Response(status_code=status, headers=sized), h11.Data(data=text), h11.EndOfMessage()
        )

    def _free(self, request: str) -> None:
        if self.states.holder.pop(request, None) is not None:
            self.trace.record(EventKind.RELEASED, request, self.name)

    async def _work(self, wire: HttpConnection, request: str, text: bytes) -> bool:
        fault = self.faults.pop(0) if self.faults else None
        if fault is not None and fault.kind == "full":
            self._short(wire, 503, (b"x-not-processed", b"1"), request=request)
            return True
        if fault is not None and fault.kind == "silent" and fault.after == 0:
            await asyncio.Event().wait()
        if fault is not None and fault.kind == "break" and fault.after == 0:
            return False
        if self.role == "read":
            return await self._read(wire, request, fault)
        return await self._write(wire, request, text, fault)

    async def _read(self, wire: HttpConnection, request: str, fault: Fault | None) -> bool:
        await asyncio.sleep(self.speed.read_s)
        if fault is not None and fault.kind == "error":
            self._short(wire, 500, request=request)
            return True
        self.states.holder[request] = self.name
        self.trace.record(EventKind.HELD, request, self.name)
        self._short(wire, 202, text=b'{"cached_tokens":0}', request=request)
        return True

    async def _write(
        self, wire: HttpConnection, request: str, text: bytes, fault: Fault | None
    ) -> bool:
        if request not in self.states.holder:
            self._over(request)
            wire.write(h11.Response(status_code=410, headers=NOT_RUN), h11.EndOfMessage())
            return True
        self._free(request)
        self.trace.record(EventKind.RAN, request, self.name, self.role)
        if fault is not None and fault.kind == "error":
            self._short(wire, 500, request=request)
            return True
        await asyncio.sleep(self.speed.first_s)
        count = max(
            1, min(self.speed.tokens, int(json.loads(text).get("max_tokens") or self.speed.tokens))
        )
        events = [
            self._event("word " * TOKENS_AN_EVENT) for _ in range(-(-count // TOKENS_AN_EVENT))
        ]
        usage = {"choices": [], "usage": {"prompt_tokens": 0, "completion_tokens": count}}
        events += [self._event("", "stop"), b"data: " + json.dumps(usage).encode() + b"\n\n"]
        events.append(b"data: [DONE]\n\n")
        wire.write(h11.Response(status_code=200, headers=STREAM))
        for number, event in enumerate(events):
            if fault is not None and fault.after == number and fault.kind in ("break", "silent"):
                if fault.kind == "break":
                    await wire.writer.drain()
                    return False
                await asyncio.Event().wait()
            wire.write(h11.Data(data=event))
            await wire.writer.drain()
            await self.hold.wait()
            await asyncio.sleep(self.speed.token_s * TOKENS_AN_EVENT)
        self._over(request)
        wire.write(h11.EndOfMessage())
        self.served += 1
        return True

    @staticmethod
    def _event(content: str, finish: str | None = None) -> bytes:
        choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish}
        return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


@dataclass(slots=True)
class Listed:
    """One line of the list."""

    replica: StandinReplica
    kind: str
    hall: str
    cell: int = 0
    health: str = "active"
    born_ms: int = 0
    dial: str = ""  # where it is reached, if not at its own address

    def told(self) -> dict[str, Any]:
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
    """The whole list, and a watch on its changes."""

    def __init__(self, trace: Trace, port: int = 0) -> None:
        super().__init__(port)
        self.trace = trace
        self.seq = 1
        self.rows: dict[str, Listed] = {}
        self.watches: set[asyncio.Queue[bytes]] = set()

    def add(self, *rows: Listed) -> None:
        for row in rows:
            self.rows[row.replica.name] = row

    def change(self, name: str, health: str) -> None:
        """Tell all watches of a server that drains, leaves or is back."""
        row = self.rows[name]
        row.health = health
        self.seq += 1
        line = json.dumps({"seq": self.seq, "whole": False, "hosts": [row.told()]}).encode() + b"\n"
        for queue in self.watches:
            queue.put_nowait(line)
        self.trace.record(
            EventKind.DRAIN_ANNOUNCED, server=name, detail="up" if health == "active" else ""
        )

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        wire = HttpConnection(h11.SERVER, reader, writer)
        try:
            while True:
                head = await wire.next_event()
                if not isinstance(head, h11.Request):
                    return
                await read_body(wire)
                if b"watch=1" in bytes(head.target):
                    await self._watch(wire)
                    return
                text = json.dumps({"seq": self.seq, "whole": True, "hosts": self._hosts()}).encode()
                sized = [(b"content-length", b"%d" % len(text))]
                wire.write(
                    h11.Response(status_code=200, headers=sized),
                    h11.Data(data=text),
                    h11.EndOfMessage(),
                )
                await writer.drain()
                wire.h11.start_next_cycle()
        except HttpError:
            return

    def _hosts(self) -> list[dict[str, Any]]:
        return [row.told() for row in self.rows.values() if row.health != "left"]

    async def _watch(self, wire: HttpConnection) -> None:
        queue: asyncio.Queue[bytes] = asyncio.Queue()
        self.watches.add(queue)
        try:
            whole = (
                json.dumps({"seq": self.seq, "whole": True, "hosts": self._hosts()}).encode()
                + b"\n"
            )
            chunked = [(b"transfer-encoding", b"chunked")]
            wire.write(h11.Response(status_code=200, headers=chunked), h11.Data(data=whole))
            while True:
                await wire.writer.drain()
                try:
                    line = await asyncio.wait_for(queue.get(), 2.0)
                except TimeoutError:
                    line = b"\n"
                wire.write(h11.Data(data=line))
        finally:
            self.watches.discard(queue)


class StandinFleet:
    """Readers and writers over halls, their discovery and one trace."""

    def __init__(
        self,
        readers: int = 2,
        writers: int = 2,
        halls: tuple[str, ...] = ("boa-vista", "santo-amaro", "derby"),
        speed: Speed = Speed(),
        port: int = 0,
    ) -> None:
        self.trace, self.states = Trace(), States()
        self.discovery = StandinDiscovery(self.trace, port)
        self.replicas: dict[str, StandinReplica] = {}
        for role, kind, count in (("read", "reader", readers), ("write", "writer", writers)):
            for number in range(count):
                replica = StandinReplica(
                    f"{kind}-{number + 1}", role, self.trace, self.states, speed
                )
                self.replicas[replica.name] = replica
                self.discovery.add(
                    Listed(replica, kind, halls[number % len(halls)], number % len(halls))
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
