"""The operators' address: one HTTP/1.1 call a connection, answered within a second whatever the load."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

import h11
import structlog

from onyxpass.config import Address
from onyxpass.core.dispatcher import Core
from onyxpass.net.http import Broken, Wire, body, drain_input
from onyxpass.net.listen import Listener

CALL_US = 800_000  # from connecting to the end of the call; then its caller is told so, or closed on
LEAVE_US = 300_000  # for a caller to take its answer
DRAIN_US = 150_000  # for it to close once it has it
MOST = 16  # callers at once; a newcomer takes the place of the one that has said nothing for longest
BODY_MOST = 4096  # of a call, which needs none
BACKLOG = 64
RETRY_US = 200_000  # till the address, if it is in use, is tried again
PATHS = {
    b"/api/ready": b"GET",
    b"/api/telemetry": b"GET",
    b"/api/exclude": b"POST",
    b"/api/include": b"POST",
}
Exclude = Callable[[str, bool], Awaitable[bool]]
Reply = tuple[int, bytes]
log = structlog.get_logger("control")


class Control:
    """Its callers have places of their own: a crowd at the clients' address takes none of them."""

    def __init__(self, core: Core, address: Address, ready: Callable[[], bool], exclude: Exclude) -> None:
        self.core, self.address, self.ready, self.exclude = core, address, ready, exclude
        self.wheel = core.wheel
        self.calls: dict[asyncio.Task[None], bool] = {}  # and whether the call is whole
        self.listener: Listener | None = None

    @property
    def port(self) -> int:
        assert self.listener is not None
        return self.listener.port

    async def run(self) -> None:
        while self.listener is None:
            try:
                self.listener = Listener.at(self.address.host, self.address.port, BACKLOG)
            except OSError as problem:  # guards against clients left unserved for the operators' address
                log.error("can't listen", address=str(self.address), why=str(problem))
                await self.wheel.sleep(RETRY_US)
        log.info("control", listen=f"{self.address.host}:{self.port}")
        try:
            await self._accept_all(self.listener)
        finally:
            self.listener.close()

    async def _accept_all(self, listener: Listener) -> None:
        while True:
            try:
                sock = await listener.accept()
            except OSError as problem:
                log.warning("can't accept", why=str(problem))
                await self.wheel.sleep(RETRY_US)
                continue
            while len(self.calls) >= MOST and not self._make_room():
                await self.wheel.sleep(10_000)
            task = asyncio.create_task(self._call(sock))
            self.calls[task] = False
            task.add_done_callback(lambda done: self.calls.pop(done, None))
            await asyncio.sleep(0)

    def _make_room(self) -> bool:
        """Guards against callers that say nothing and stay: the eldest of them goes."""
        eldest = next((task for task, whole in self.calls.items() if not whole), None)
        if eldest is not None:
            del self.calls[eldest]
            eldest.cancel()
        return eldest is not None

    async def _call(self, sock: socket.socket) -> None:
        wire: Wire | None = None
        try:
            wire = await Wire.over(sock, h11.SERVER)
            await self._answer(wire)
            wire.close()
            async with self.wheel.limit(LEAVE_US):
                await wire.writer.wait_closed()
        except (Broken, OSError, TimeoutError, asyncio.CancelledError) as problem:
            log.debug("a call ended", why=str(problem))
        except Exception:
            log.exception("a call failed")
        finally:
            if wire is not None:
                wire.abort()

    async def _answer(self, wire: Wire) -> None:
        began = False
        try:
            async with self.wheel.limit(CALL_US):
                await wire.fill()
                if not (began := wire.pending):
                    return  # it left without a word
                head = await wire.event()
                if not isinstance(head, h11.Request):
                    raise Broken("not a call", 400)
                await body(wire, BODY_MOST)
        except TimeoutError:
            if not began:
                return
            reply: Reply = (408, b"too slow\n")
        except Broken as problem:
            if not problem.status:
                return
            reply = (problem.status, str(problem).encode("ascii", "replace")[:200] + b"\n")
        else:
            task = asyncio.current_task()
            if task in self.calls:
                self.calls[task] = True
            try:
                reply = await self._carry_out(head)
            except Exception:  # guards against a caller left without an answer by a fault here
                log.exception("a call could not be carried out")
                reply = (500, b"the dispatcher's own fault\n")
        await self._write(wire, *reply)

    async def _write(self, wire: Wire, status: int, text: bytes) -> None:
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(text)),
            (b"connection", b"close"),
        ]
        if wire.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(status_code=status, headers=headers)
            wire.write(head, h11.Data(data=text), h11.EndOfMessage())
        await drain_input(wire, self.wheel, DRAIN_US)

    async def _carry_out(self, head: h11.Request) -> Reply:
        path, _, query = bytes(head.target).partition(b"?")
        if (method := PATHS.get(path)) is None:
            return 404, b"no such path\n"
        if head.method != method:
            return 405, method + b" only\n"
        if path == b"/api/ready":
            return (200, b"ready\n") if self.ready() else (503, b"not ready\n")
        if path == b"/api/telemetry":
            rows = self.core.rows().items()
            return 200, "".join(f"{name}={value}\n" for name, value in rows).encode("utf-8", "replace")
        return await self._move(query, path == b"/api/exclude")

    async def _move(self, query: bytes, out: bool) -> Reply:
        try:
            named = parse_qs(query.decode("ascii"), True, strict_parsing=True, errors="strict")
        except ValueError:
            return 400, b"the query can't be read\n"
        hosts = named.get("host", [])
        if len(hosts) != 1 or not hosts[0]:
            return 400, b"one host is to be named: ?host=ID\n"
        # Guards against a ban that can't be undone since its replica has left the list.
        if hosts[0] not in self.core.servers and hosts[0] not in self.core.excluded:
            return 404, b"no such replica\n"
        done = await self.exclude(hosts[0], out)
        log.info("exclude" if out else "include", server=hosts[0], done=done)
        return (200, b"done\n") if done else (503, b"in force here, but not kept or not everywhere yet\n")
