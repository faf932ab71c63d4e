"""The HTTP front: clients' connections, their requests, and the answers. It decides nothing."""

import asyncio
import re
from collections.abc import Callable

import h11
import structlog

from onyxpass import interface as api
from onyxpass.config import Address
from onyxpass.core.dispatcher import ANSWER_ROOM_US, Core
from onyxpass.core.requests import Request
from onyxpass.net.http import CHUNK, HEAD_LIMIT, Broken, Wire, body, header
from onyxpass.net.replica import Payload, passed_on

HEAD_US = 10_000_000  # from a request's first byte to its last
IDLE_US = 120_000_000
LINGER_US = 450_000  # after SIGTERM new connections keep coming for up to 0.4 s
NUMBER_MOST = 2**53
ID = re.compile(rb"[A-Za-z0-9._~-]{1,128}\Z")
log = structlog.get_logger("front")


class BadRequest(ValueError):
    """A request that lacks something or says it in a form that is not allowed."""


def whole_number(text: bytes | str | None, name: str, fallback: int | None = None) -> int:
    if text is None or len(text) == 0:
        if fallback is None:
            raise BadRequest(f"{name} is absent")
        return fallback
    if not text.isdigit() or len(text) > 16 or not text.isascii() or int(text) > NUMBER_MOST:
        raise BadRequest(f"{name} is not a whole number")
    return int(text)


def read_attrs(text: bytes | None) -> dict[str, str]:
    """``X-Attrs``: names and values, by commas."""
    found: dict[str, str] = {}
    for part in (text or b"").decode("latin-1").split(","):
        name, equals, value = part.strip().partition("=")
        if part.strip() and not equals:
            raise BadRequest("X-Attrs is not a row of name=value")
        if name:
            found[name] = value
    return found


def read_arrival(head: h11.Request, core: Core, arrived_us: int) -> tuple[str, api.Arrival]:
    """The request's headers in the module's words."""
    named = {bytes(k): bytes(v) for k, v in head.headers}
    request_id = named.get(b"x-request-id", b"")
    if not ID.match(request_id):
        raise BadRequest("X-Request-ID is absent or not an id")
    attrs = read_attrs(named.get(b"x-attrs"))
    cls = named.get(b"x-priority-class", b"").decode("latin-1")
    most_us = core.deadlines.get(cls, 5_000_000)
    wait_us = whole_number(named.get(b"x-timeout-ms"), "X-Timeout-Ms", most_us // 1000) * 1000
    hint = named.get(b"x-cost")
    retried = named.get(b"x-retried", b"")
    text_id = request_id.decode("ascii")
    return text_id, api.Arrival(
        id=core.number_for(text_id),
        cls=cls,
        session=named.get(b"x-route-key", b"").decode("latin-1") or text_id,
        deadline_us=arrived_us + wait_us - ANSWER_ROOM_US,
        prompt_tokens=whole_number(attrs.get("prompt_len"), "prompt_len", 0),
        max_tokens=whole_number(attrs.get("max_out"), "max_out", 0),
        prefix=attrs.get("prefix") or None,
        prefix_tokens=whole_number(attrs.get("prefix_len"), "prefix_len", 0),
        tenant=named.get(b"x-tenant-id", b"").decode("latin-1") or None,
        hint_us=whole_number(hint, "X-Cost") if hint else None,
        is_retry=retried == b"1",
        resumed=retried == b"again",
    )


class HttpClient:
    """The core's client over one HTTP exchange."""

    def __init__(self, wire: Wire, closing: Callable[[], bool]) -> None:
        self.wire, self._closing = wire, closing
        self.done = asyncio.Event()
        self.broken = False
        self._begun = False

    def _headers(self, *more: tuple[bytes, bytes]) -> list[tuple[bytes, bytes]]:
        return [*more, (b"connection", b"close")] if self._closing() else list(more)

    async def relay(self, event: bytes) -> None:
        if self.done.is_set():
            return
        if self._begun:
            self.wire.write(h11.Data(data=event))
        else:
            self._begun = True
            kind = (b"content-type", b"text/event-stream")
            headers = self._headers(kind, (b"transfer-encoding", b"chunked"))
            self.wire.write(h11.Response(status_code=200, headers=headers), h11.Data(data=event))
        try:
            await self.wire.writer.drain()
        except OSError:
            log.debug("the client has gone")  # its reading side tells the core

    def finish(self) -> None:
        self.wire.write(h11.EndOfMessage())
        self.done.set()

    def cut(self, reason: str) -> None:
        self.broken = True
        self.wire.abort()  # guards against a broken stream that looks whole: no last chunk
        self.done.set()

    def refuse(self, retry_after_us: int) -> None:
        advice = [(b"retry-after", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
        self.answer(503, b"refused\n", *advice)

    def fail(self, reason: str, late: bool) -> None:
        self.answer(504 if late else 502, b"failed\n")

    def answer(self, status: int, text: bytes, *more: tuple[bytes, bytes]) -> None:
        headers = self._headers(*more, (b"content-length", b"%d" % len(text)))
        self.wire.write(
            h11.Response(status_code=status, headers=headers), h11.Data(data=text), h11.EndOfMessage()
        )
        self.done.set()


class Front:
    def __init__(self, core: Core, listen: Address, ready: Callable[[], bool], most: int) -> None:
        self.core, self.listen, self.ready, self.most = core, listen, ready, most
        self.server: asyncio.Server | None = None
        self.open: dict[asyncio.Task[None], Wire] = {}
        self.idle: dict[asyncio.Task[None], Wire] = {}  # between requests, longest idle first
        self.closing = False

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._accept, self.listen.host, self.listen.port, backlog=512
        )

    @property
    def bound(self) -> str:
        """Where it really listens, should the port have been left to the system."""
        assert self.server is not None
        return "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self.open) >= self.most and self.idle:
            # Guards against running out of descriptors: the connection idle for longest makes room.
            self.idle.pop(next(iter(self.idle))).close()
        wire = self.open[task] = Wire(h11.SERVER, reader, writer)
        try:
            await self._serve(task, wire)
        except (Broken, OSError, TimeoutError) as problem:
            log.debug("connection ended", why=str(problem))
        except asyncio.CancelledError:  # the program ends; asyncio's own callback would print a traceback
            log.debug("connection ended", why="stopped")
        except Exception:
            log.exception("a client's connection failed")
        finally:
            self.open.pop(task, None)
            self.idle.pop(task, None)
            wire.close()

    async def _serve(self, task: asyncio.Task[None], wire: Wire) -> None:
        while True:
            if not wire.h11.trailing_data[0]:
                self.idle[task] = wire
                async with self.core.wheel.limit(IDLE_US):
                    data = await wire.reader.read(CHUNK)
                self.idle.pop(task, None)
                if not data:
                    return
                wire.h11.receive_data(data)
            client = HttpClient(wire, lambda: self.closing)
            try:
                await self._exchange(wire, client)
            except (Broken, BadRequest, TimeoutError) as problem:
                status = problem.status if isinstance(problem, Broken) else 400
                if isinstance(problem, TimeoutError):
                    status = 408
                if status and not client.done.is_set():
                    self._complain(wire, status, str(problem))
                    await self._drain_input(wire)
                return
            if client.broken or wire.writer.is_closing():
                return
            await wire.writer.drain()
            if wire.h11.our_state is not h11.DONE or wire.h11.their_state is not h11.DONE:
                return
            if self.closing:
                return
            wire.h11.start_next_cycle()

    def _complain(self, wire: Wire, status: int, why: str) -> None:
        text = why.encode("ascii", "replace")[:200] + b"\n"
        headers = [(b"content-length", b"%d" % len(text)), (b"connection", b"close")]
        if wire.h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            wire.write(
                h11.Response(status_code=status, headers=headers), h11.Data(data=text), h11.EndOfMessage()
            )
        log.info("bad request", status=status, why=why)

    async def _drain_input(self, wire: Wire) -> None:
        """Guards against a reset that outruns the answer: read on for a moment before closing."""
        if wire.writer.can_write_eof():
            wire.writer.write_eof()
        try:
            async with self.core.wheel.limit(500_000):
                for _ in range(64):
                    if not await wire.reader.read(CHUNK):
                        return
        except (OSError, TimeoutError):
            return

    async def _exchange(self, wire: Wire, client: HttpClient) -> None:
        arrived_us = self.core.clock.now_us()
        async with self.core.wheel.limit(HEAD_US):
            head = await wire.event()
            if not isinstance(head, h11.Request):
                raise Broken("closed")
            if wire.h11.they_are_waiting_for_100_continue:
                wire.write(h11.InformationalResponse(status_code=100, headers=[]))
            size = header(head, b"content-length")
            if size is not None and len(size) > 9:
                raise Broken("body too large", 413)
            text = await body(wire)
        path = bytes(head.target).partition(b"?")[0]
        if path in (b"/health/ready", b"/health/live"):
            fit = path == b"/health/live" or (self.ready() and not self.closing)
            client.answer(*((200, b"ok\n") if fit else (503, b"not ready\n")))
        elif not path.startswith(b"/v1/"):
            client.answer(404, b"no such path\n")
        elif head.method != b"POST":
            client.answer(405, b"POST only\n", (b"allow", b"POST"))
        else:
            request_id, arrival = read_arrival(head, self.core, arrived_us)
            if request_id in self.core.live_ids:
                client.answer(409, b"a request with this id is open\n")
                return
            payload = Payload(bytes(head.method), bytes(head.target), passed_on(head.headers), text)
            await self._await_answer(wire, client, self.core.submit(request_id, arrival, client, payload))

    async def _await_answer(self, wire: Wire, client: HttpClient, request: Request) -> None:
        """Wait for the final answer, and watch for a client that goes away meanwhile."""
        watch = asyncio.create_task(self._until_gone(wire))
        done = asyncio.create_task(client.done.wait())
        try:
            await asyncio.wait((watch, done), return_when=asyncio.FIRST_COMPLETED)
            if not client.done.is_set():
                client.broken = True
                client.done.set()
                self.core.withdraw(request)
                wire.abort()
        finally:
            for task in (watch, done):
                task.cancel()
            await asyncio.gather(watch, done, return_exceptions=True)

    async def _until_gone(self, wire: Wire) -> None:
        """Returns once the client has closed. What it sends ahead is kept, up to a bound."""
        ahead = 0
        while True:
            try:
                data = await wire.reader.read(CHUNK)
            except OSError:
                return
            if not data:
                return
            ahead += len(data)
            if ahead > HEAD_LIMIT:
                return  # guards against a client that floods its connection while it should wait
            wire.h11.receive_data(data)

    async def stop(self) -> None:
        """A planned end: keep accepting a moment, finish all that was taken, then return."""
        self.closing = True
        await self.core.wheel.sleep(LINGER_US)
        if self.server is not None:
            self.server.close()
        for wire in list(self.idle.values()):
            wire.close()
        while self.open:
            await asyncio.wait(list(self.open))
