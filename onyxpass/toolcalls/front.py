"""The JSON-RPC front: clients' connections, ``generate`` and ``cancel``. It decides nothing."""

import asyncio
import contextlib
import secrets
from dataclasses import dataclass
from typing import Any

import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import ANSWER_MARGIN_US, RequestDispatcher
from onyxpass.core.requests import Request
from onyxpass.net.http import CLIENT_CLOSE_TIMEOUT_US, TimedProtocol, hung_up
from onyxpass.scheduling import contract
from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.replicas import Payload
from onyxpass.toolcalls.rpc import RpcError, RpcRequest
from onyxpass.toolcalls.tool_call_relay import ToolCallRelay, ToolCallState

TOKEN_CHARACTERS = 4
ID_MOST = 128
LINGER_US = 50_000  # at the end, for the system's queue of connections to be taken in
LOOKS = 8  # rounds of the loop, which leaves out a few looks at the sockets
MOST_OPEN = 256  # requests that one connection may have open
log = structlog.get_logger("rpc")


class RpcClient:
    """The core's client over one ``generate``: text as notifications, then exactly one response."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        id: rpc.Id,
        payload: Payload,
    ) -> None:
        self.reader, self.writer, self.id, self.payload = reader, writer, id, payload
        self.request: Request | None = None
        self.answered = False

    def _write(self, text: bytes) -> None:
        if not self.writer.is_closing():
            self.writer.write(text)

    def has_disconnected(self) -> bool:
        return self.answered or hung_up(self.reader, self.writer)

    async def forward(self, event: bytes) -> None:
        if self.answered:
            return
        text = event.decode("utf-8", "surrogatepass")
        self._write(rpc.notification("text", {"id": self.id, "text": text}))
        try:
            await self.writer.drain()
        except OSError:
            log.debug("client_disconnected")  # its reading side tells the core

    def _answer(self, text: bytes) -> None:
        if not self.answered:
            self.answered = True
            self._write(text)

    def error(self, code: int, message: str, **data: object) -> None:
        self._answer(rpc.error(self.id, RpcError(code, message, data=data or None)))

    def calls(self, *states: ToolCallState) -> list[dict[str, Any]]:
        wanted = states or tuple(ToolCallState)
        told = [c for c in self.payload.calls.values() if c.state in wanted]
        return [{"call": c.call, "name": c.name, "state": c.state.value} for c in told]

    def complete(self) -> None:
        result = {"request": self.request.id if self.request else None, "calls": self.calls()}
        self._answer(rpc.result(self.id, {**self.payload.result, **result}))

    def broken(self, code: int, message: str) -> None:
        """A stream that ended too early: what may have happened without a word of it is named."""
        if unknown := self.calls(ToolCallState.SENT, ToolCallState.UNKNOWN):
            self.error(rpc.UNKNOWN, "outcome unknown", calls=unknown, why=message)
        else:
            self.error(code, message, **({"calls": told} if (told := self.calls()) else {}))

    def abort(self, reason: str) -> None:
        self.broken(rpc.FAILED, f"the stream broke: {reason}")

    def reject(self, retry_after_us: int) -> None:
        self.error(rpc.REFUSED, "refused", retry_after_ms=-(-retry_after_us // 1000))

    def fail(self, reason: str, late: bool) -> None:
        self.broken(rpc.DEADLINE if late else rpc.FAILED, reason)


@dataclass(slots=True)
class Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    mine: dict[rpc.Id, RpcClient]
    closed_by_server: bool = False
    since_ns: int | None = None  # a bound of when what was read last can have come

    def heard(self) -> None:
        """Note since when the line that was just read may have waited in the kernel."""
        protocol = self.writer.transport.get_protocol()
        if isinstance(protocol, TimedProtocol) and (since_ns := protocol.take_since()) is not None:
            self.since_ns = since_ns


class RpcFront:
    def __init__(
        self, core: RequestDispatcher, relay: ToolCallRelay, listen: Address, max_connections: int
    ) -> None:
        self.core, self.relay, self.listen, self.max_connections = (
            core,
            relay,
            listen,
            max_connections,
        )
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.Task[None], Connection] = {}  # heard from longest ago first
        self.closing = False

    async def start(self) -> None:
        loop = asyncio.get_running_loop()

        def protocol() -> TimedProtocol:
            reader = asyncio.StreamReader(rpc.LINE_LIMIT, loop)
            return TimedProtocol(reader, self._accept, loop)

        self.server = await loop.create_server(protocol, self.listen.host, self.listen.port)

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def count_unsent(self) -> int:
        """Connections on which an answer has not wholly left."""
        writers = (connection.writer for connection in self.connections.values())
        return sum(not w.is_closing() and w.transport.get_write_buffer_size() > 0 for w in writers)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        mine: dict[rpc.Id, RpcClient] = {}
        made_room = len(self.connections) < self.max_connections or self._make_room()
        connection = self.connections[task] = Connection(reader, writer, mine)
        try:
            if not made_room:
                writer.write(rpc.error(None, RpcError(rpc.REFUSED, "too many connections")))
                return
            while (line := await rpc.read_line(reader)) is not None:
                self.connections[task] = self.connections.pop(task)
                connection.heard()
                if connection.closed_by_server:
                    continue
                try:
                    message = rpc.parse(line)
                    if isinstance(message, RpcRequest):
                        self._call(message, connection)
                    else:
                        log.debug("unexpected_client_response", id=str(message.id)[:80])
                except RpcError as problem:
                    writer.write(rpc.error(problem.id, problem))
                await writer.drain()
        except RpcError as problem:  # a line too long: where the next one starts can't be told
            writer.write(rpc.error(None, problem))
        except (OSError, asyncio.CancelledError):  # the latter at the program's end
            log.debug("client_disconnected")
        except Exception:
            log.exception("client_connection_failed")
        finally:
            for client in mine.values():
                self._withdraw(client)
            self.connections.pop(task, None)
            writer.close()

    def _make_room(self) -> bool:
        """Guards against silent clients that hold every place: one with nothing open goes, the
        longest so.
        """
        for connection in self.connections.values():
            idle = all(client.answered for client in connection.mine.values())
            if idle and not connection.writer.is_closing():
                connection.writer.transport.abort()
                return True
        return False

    def _call(self, call: RpcRequest, connection: Connection) -> None:
        writer, mine = connection.writer, connection.mine
        for done in [id for id, client in mine.items() if client.answered]:
            del mine[done]
        match call.method:
            case "generate" if call.id is not None:
                if call.id in mine:  # a response with that id would be taken for the first one's
                    raise RpcError(rpc.INVALID_REQUEST, "this id is open", data={"id": call.id})
                if len(mine) >= MOST_OPEN or self.closing:
                    raise RpcError(
                        rpc.REFUSED, "no more requests here", call.id, {"retry_after_ms": 1000}
                    )
                try:
                    mine[call.id] = self._generate(call.id, call.params, connection)
                except RpcError as problem:
                    problem.id = call.id
                    raise
            case "cancel":
                id = call.params.get("id")
                if isinstance(id, str | int) and (client := mine.get(id)) is not None:
                    self._withdraw(client)
                    client.broken(rpc.CANCELLED, "cancelled")
                if call.id is not None:
                    writer.write(rpc.result(call.id, {}))
            case "ping" if call.id is not None:
                writer.write(rpc.result(call.id, {"ready": not self.closing}))
            case _ if call.id is not None:
                raise RpcError(rpc.METHOD_NOT_FOUND, f"no method {call.method[:80]!r}", call.id)

    def _withdraw(self, client: RpcClient) -> None:
        """The client has gone: the writer is called off, and the tool server told of what is
        out.
        """
        request = client.request
        if client.answered or request is None or request.finished:
            return
        self.core.answers.client_disconnected(request)
        for call in client.payload.calls.values():
            if not call.told.is_set():
                self.relay.withdraw(call)

    def _generate(self, id: rpc.Id, params: Any, connection: Connection) -> RpcClient:
        request_id = rpc.string_param(params, "request", secrets.token_hex(8))
        if (
            not 0 < len(request_id) <= ID_MOST
            or not request_id.isascii()
            or not request_id.isprintable()
        ):
            raise RpcError(
                rpc.INVALID_PARAMS, f"request must be 1 to {ID_MOST} printable characters"
            )
        if request_id in self.core.registry.by_id:
            raise RpcError(
                rpc.INVALID_REQUEST, "a request of this name is open", data={"request": request_id}
            )
        traffic_class, prompt = (
            rpc.string_param(params, "class"),
            rpc.string_param(params, "prompt"),
        )
        if traffic_class not in self.core.deadlines:
            raise RpcError(
                rpc.INVALID_PARAMS,
                f"no class {traffic_class[:80]!r}",
                data={"classes": list(self.core.deadlines)},
            )
        wait_ms = rpc.integer_param(
            params, "timeout_ms", self.core.deadlines[traffic_class] // 1000, least=1
        )
        max_tokens = rpc.integer_param(params, "max_tokens", 256, least=1)
        prompt_tokens = rpc.integer_param(
            params, "prompt_tokens", -(-len(prompt) // TOKEN_CHARACTERS)
        )
        clock, since_ns = self.core.clock, connection.since_ns
        # Guards against telling a server more time than the client has left, as at the HTTP front.
        arrived_us = clock.from_monotonic_ns(since_ns) if since_ns is not None else clock.now_us()
        arrival = contract.Arrival(
            id=self.core.registry.allocate_number(request_id),
            traffic_class=traffic_class,
            session=rpc.string_param(params, "session", request_id),
            deadline_us=arrived_us + wait_ms * 1000 - min(ANSWER_MARGIN_US, wait_ms * 500),
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            prefix=rpc.string_param(params, "prefix", "") or None,
            prefix_tokens=rpc.integer_param(params, "prefix_tokens", 0),
        )
        payload = Payload(prompt, max_tokens, traffic_class)
        client = RpcClient(connection.reader, connection.writer, id, payload)
        client.request = self.core.submit(request_id, arrival, client, payload)
        return client

    async def stop(self) -> None:
        """Take nothing new, let what was taken end, then close."""
        self.closing = True
        # Guards against a reset of what came just before: once closed, the queue's connections are
        # reset.
        await self.core.wheel.sleep(LINGER_US)
        # however late that timer came, the loop has looked at the queue after it
        for _ in range(LOOKS):
            await asyncio.sleep(0)
        if self.server is not None:
            self.server.close()
        while self.core.registry.by_number:
            await self.core.wheel.sleep(20_000)
        # Guards against a close over unread bytes, which takes with it what is on its way to the
        # client.
        for connection in self.connections.values():
            connection.closed_by_server = True
            if connection.writer.can_write_eof() and not connection.writer.is_closing():
                # the client has broken off, and we have not read it yet
                with contextlib.suppress(OSError):
                    connection.writer.write_eof()
        if self.connections:
            with contextlib.suppress(TimeoutError):
                async with self.core.wheel.timeout(CLIENT_CLOSE_TIMEOUT_US):
                    await asyncio.wait(list(self.connections))
        for connection in list(self.connections.values()):
            connection.writer.close()
        while self.connections:
            await asyncio.wait(list(self.connections))
        await self.relay.settle()
