"""The JSON-RPC front end: client connections and the methods ``generate``, ``cancel`` and ``ping``.

Scheduling decisions are made by the core only.
"""

import asyncio
import contextlib
import secrets
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import ANSWER_MARGIN_US, RequestDispatcher
from onyxpass.core.loop_turn import StepFlow, StepPriority
from onyxpass.core.memory_budget import MemoryAccount, Standing
from onyxpass.core.requests import Request
from onyxpass.net.http import (
    CLIENT_CLOSE_TIMEOUT_US,
    TimedProtocol,
    buffered_bytes,
    clear_buffer,
    hung_up,
)
from onyxpass.scheduling import contract
from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.replicas import Payload
from onyxpass.toolcalls.rpc import RpcError, RpcRequest
from onyxpass.toolcalls.tool_call_relay import ToolCallRelay, ToolCallState

CHARACTERS_PER_TOKEN = 4  # estimate for a request without ``prompt_tokens``
MAX_ID_CHARACTERS = 128
MAX_NAME_CHARACTERS = 512  # of a session and of a prefix, as of a header at the HTTP front
# Time at shutdown in which the connections in the kernel's accept queue are accepted.
ACCEPT_QUEUE_DELAY_US = 50_000
# Turns of the event loop after ``ACCEPT_QUEUE_DELAY_US``; some turns do not poll the sockets.
ACCEPT_TURNS = 8
FLUSH_TIMEOUT_US = 2_000_000  # at shutdown, for clients to receive the rest of their responses
MAX_OPEN_REQUESTS = 256  # per connection
log = structlog.get_logger("rpc")


class RpcClient:
    """The core's client for one ``generate``: text as notifications, then exactly one response."""

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
        self.on_answered: Callable[[], None] = lambda: None

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
            log.debug("client_disconnected")  # the reading side reports it to the core

    @property
    def unsent_bytes(self) -> int:
        return self.writer.transport.get_write_buffer_size()

    def disconnect(self) -> None:
        self.writer.transport.abort()

    def _respond(self, text: bytes) -> None:
        if not self.answered:
            self.answered = True
            self._write(text)
            self.release()

    def release(self) -> None:
        """Let go of the request, which is answered or whose client has left.

        The request and its calls refer to this client.
        """
        self.on_answered()
        self.request, self.payload = None, Payload("", 0, "")

    def send_error(self, code: int, message: str, **data: object) -> None:
        self._respond(rpc.error(self.id, RpcError(code, message, data=data or None)))

    def call_states(self, *states: ToolCallState) -> list[dict[str, Any]]:
        wanted = states or tuple(ToolCallState)
        calls = [c for c in self.payload.calls.values() if c.state in wanted]
        return [{"call": c.call_id, "name": c.name, "state": c.state.value} for c in calls]

    def complete(self) -> None:
        result = {"request": self.request.id if self.request else None, "calls": self.call_states()}
        self._respond(rpc.result(self.id, {**self.payload.result, **result}))

    def send_incomplete(self, code: int, message: str) -> None:
        """Send the error of a stream that ended early.

        If the outcome of tool calls is unknown, the error ``OUTCOME_UNKNOWN`` names them and replaces
        ``code``; otherwise the error names all tool calls of the request.
        """
        if unknown := self.call_states(ToolCallState.SENT, ToolCallState.UNKNOWN):
            self.send_error(rpc.OUTCOME_UNKNOWN, "outcome unknown", calls=unknown, why=message)
        else:
            self.send_error(
                code, message, **({"calls": calls} if (calls := self.call_states()) else {})
            )

    def abort(self, reason: str) -> None:
        self.send_incomplete(rpc.FAILED, f"the stream broke: {reason}")

    def reject(self, retry_after_us: int) -> None:
        self.send_error(rpc.REFUSED, "refused", retry_after_ms=-(-retry_after_us // 1000))

    def fail(self, reason: str, late: bool) -> None:
        self.send_incomplete(rpc.DEADLINE_EXCEEDED if late else rpc.FAILED, reason)


RpcClients = dict[rpc.Id, RpcClient]


@dataclass(slots=True)
class Connection:
    """One client connection and its requests, by JSON-RPC id."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    clients: RpcClients
    memory: MemoryAccount
    requests_memory: MemoryAccount  # of open requests; never evicted
    closed_by_server: bool = False
    # The earliest monotonic time at which the line read last may have arrived.
    arrived_since_ns: int | None = None

    def record_arrival(self) -> None:
        """Record since when the line that was just read may have waited in the kernel."""
        protocol = self.writer.transport.get_protocol()
        if isinstance(protocol, TimedProtocol) and (since_ns := protocol.take_since()) is not None:
            self.arrived_since_ns = since_ns


class RpcFront:
    """Accepts JSON-RPC clients and submits their requests to the core."""

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
        self.connections: dict[asyncio.Task[None], Connection] = {}  # least recently active first
        self.closing = False

    async def start(self) -> None:
        loop = asyncio.get_running_loop()

        def make_protocol() -> TimedProtocol:
            reader, clients = asyncio.StreamReader(rpc.LINE_LIMIT, loop), RpcClients()

            def drop_input() -> None:
                clear_buffer(reader)
                reader.feed_eof()

            def standing() -> Standing:
                return Standing.OPEN_REQUEST if clients else Standing.NO_REQUEST

            memory = self.core.memory_budget.open(drop_input, standing)

            async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                requests_memory = self.core.memory_budget.open(
                    lambda: None, lambda: Standing.PROTECTED
                )
                connection = Connection(reader, writer, clients, memory, requests_memory)
                await self._serve_client(connection)

            protocol = TimedProtocol(reader, serve, loop)
            protocol.memory = memory
            return protocol

        self.server = await loop.create_server(make_protocol, self.listen.host, self.listen.port)

    @property
    def port(self) -> int:
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])

    def count_unsent(self) -> int:
        """Return the number of open connections whose write buffer is not empty."""
        writers = (connection.writer for connection in self.connections.values())
        return sum(not w.is_closing() and w.transport.get_write_buffer_size() > 0 for w in writers)

    async def _serve_client(self, connection: Connection) -> None:
        reader, writer, memory = connection.reader, connection.writer, connection.memory
        task = asyncio.current_task()
        assert task is not None
        has_room = len(self.connections) < self.max_connections or self._close_idle_connection()
        self.connections[task] = connection
        try:
            if not has_room:
                writer.write(rpc.error(None, RpcError(rpc.REFUSED, "too many connections")))
                return
            flow = StepFlow(StepPriority.NEW_REQUEST)
            while line := await rpc.read_line(reader, flow):
                memory.settle(buffered_bytes(reader))
                self.connections[task] = self.connections.pop(task)
                connection.record_arrival()
                if connection.closed_by_server:
                    continue
                try:
                    message = rpc.parse(line)
                    if isinstance(message, RpcRequest):
                        self._handle(message, connection)
                        # One decision at a time for each connection: prevents requests of one
                        # client from queueing before those of all others.
                        if message.method == "generate":
                            await self.core.settled()
                    else:
                        log.debug("unexpected_client_response", id=str(message.id)[:80])
                except RpcError as problem:
                    writer.write(rpc.error(problem.id, problem))
                await writer.drain()
            if memory.is_evicted:
                reason = "too much is held for other requests"
                writer.write(rpc.error(None, RpcError(rpc.REFUSED, reason)))
        except RpcError as problem:  # the line is too long, so the start of the next is unknown
            writer.write(rpc.error(None, problem))
        except (OSError, asyncio.CancelledError):  # cancelled when the program ends
            log.debug("client_disconnected")
        except Exception:
            log.exception("client_connection_failed")
        finally:
            for client in list(connection.clients.values()):
                self._cancel_request(client)
                client.release()
            self.connections.pop(task, None)
            memory.close()
            connection.requests_memory.close()
            writer.close()

    def _close_idle_connection(self) -> bool:
        """Close the least recently active connection without open requests, if there is one.

        Prevents silent clients from holding every connection slot.
        """
        for connection in self.connections.values():
            idle = all(client.answered for client in connection.clients.values())
            if idle and not connection.writer.is_closing():
                connection.writer.transport.abort()
                return True
        return False

    def _handle(self, call: RpcRequest, connection: Connection) -> None:
        writer, clients = connection.writer, connection.clients
        match call.method:
            case "generate" if call.id is not None:
                # Its response could not be told from that of the open request.
                if call.id in clients:
                    raise RpcError(rpc.INVALID_REQUEST, "this id is open", data={"id": call.id})
                if len(clients) >= MAX_OPEN_REQUESTS or self.closing:
                    raise RpcError(
                        rpc.REFUSED, "no more requests here", call.id, {"retry_after_ms": 1000}
                    )
                try:
                    self._generate(call.id, call.params, connection)
                except RpcError as problem:
                    problem.id = call.id
                    raise
            case "cancel":
                id = call.params.get("id")
                if isinstance(id, str | int) and (client := clients.get(id)) is not None:
                    self._cancel_request(client)
                    client.send_incomplete(rpc.CANCELLED, "cancelled")
                if call.id is not None:
                    writer.write(rpc.result(call.id, {}))
            case "ping" if call.id is not None:
                writer.write(rpc.result(call.id, {"ready": not self.closing}))
            case _ if call.id is not None:
                raise RpcError(rpc.METHOD_NOT_FOUND, f"no method {call.method[:80]!r}", call.id)

    def _cancel_request(self, client: RpcClient) -> None:
        """Cancel a request whose client no longer waits, and withdraw its open tool calls."""
        request = client.request
        if client.answered or request is None or request.finished:
            return
        self.core.answers.client_disconnected(request)
        for call in client.payload.calls.values():
            if not call.settled.is_set():
                self.relay.withdraw(call)

    def _generate(self, id: rpc.Id, params: Any, connection: Connection) -> None:
        """Submit a request; its client is one of the connection's until it is answered."""
        request_id = rpc.string_param(params, "request", secrets.token_hex(8))
        if (
            not 0 < len(request_id) <= MAX_ID_CHARACTERS
            or not request_id.isascii()
            or not request_id.isprintable()
        ):
            raise RpcError(
                rpc.INVALID_PARAMS, f"request must be 1 to {MAX_ID_CHARACTERS} printable characters"
            )
        if request_id in self.core.registry.by_id:
            raise RpcError(
                rpc.INVALID_REQUEST, "a request of this name is open", data={"request": request_id}
            )
        traffic_class, prompt = (
            rpc.string_param(params, "class"),
            rpc.string_param(params, "prompt"),
        )
        session = rpc.string_param(params, "session", request_id)
        prefix = rpc.string_param(params, "prefix", "")
        if max(len(session), len(prefix)) > MAX_NAME_CHARACTERS:
            raise RpcError(
                rpc.INVALID_PARAMS,
                f"session and prefix are up to {MAX_NAME_CHARACTERS} characters",
            )
        if traffic_class not in self.core.deadlines:
            raise RpcError(
                rpc.INVALID_PARAMS,
                f"no class {traffic_class[:80]!r}",
                data={"classes": list(self.core.deadlines)},
            )
        timeout_ms = rpc.integer_param(
            params, "timeout_ms", self.core.deadlines[traffic_class] // 1000, minimum=1
        )
        max_tokens = rpc.integer_param(params, "max_tokens", 256, minimum=1)
        prompt_tokens = rpc.integer_param(
            params, "prompt_tokens", -(-len(prompt) // CHARACTERS_PER_TOKEN)
        )
        clock, since_ns = self.core.clock, connection.arrived_since_ns
        # Prevents a server from being given more time than the client has left, as at the HTTP
        # front end.
        arrived_us = clock.from_monotonic_ns(since_ns) if since_ns is not None else clock.now_us()
        arrival = contract.Arrival(
            id=self.core.registry.allocate_number(request_id),
            traffic_class=traffic_class,
            session=session,
            deadline_us=arrived_us + timeout_ms * 1000 - min(ANSWER_MARGIN_US, timeout_ms * 500),
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            prefix=prefix or None,
            prefix_tokens=rpc.integer_param(params, "prefix_tokens", 0),
        )
        payload = Payload(prompt, max_tokens, traffic_class, is_new_request="request" not in params)
        client = RpcClient(connection.reader, connection.writer, id, payload)
        held_bytes = sys.getsizeof(prompt)
        if not connection.requests_memory.reserve(held_bytes):
            raise RpcError(
                rpc.REFUSED, "too much is held for other requests", data={"retry_after_ms": 1000}
            )

        def release() -> None:
            client.on_answered = lambda: None  # at the answer or at the connection's end, once
            connection.requests_memory.release(held_bytes)
            del connection.clients[id]

        connection.clients[id] = client
        client.on_answered = release
        request = self.core.submit(request_id, arrival, client, payload)
        if not client.answered:
            client.request = request

    async def stop(self) -> None:
        """Reject new requests, let the open ones end, then close all connections."""
        self.closing = True
        # Prevents clients that have just connected from being reset: closing the listening socket
        # resets the connections in its accept queue.
        await self.core.wheel.sleep(ACCEPT_QUEUE_DELAY_US)
        # The loop accepts from the queue at least once after the timer, however late it fired.
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        if self.server is not None:
            self.server.close()
        while self.core.registry.by_number:
            await self.core.wheel.sleep(20_000)
        # Prevents the loss of answers that are on their way: closing a socket with unread bytes
        # resets the connection.
        for connection in self.connections.values():
            connection.closed_by_server = True
            if connection.writer.can_write_eof() and not connection.writer.is_closing():
                # The client may have closed the connection without this being read yet.
                with contextlib.suppress(OSError):
                    connection.writer.write_eof()
        if self.connections:
            with contextlib.suppress(TimeoutError):
                async with self.core.wheel.timeout(CLIENT_CLOSE_TIMEOUT_US):
                    await asyncio.wait(list(self.connections))
        await self._close_connections()

    async def _close_connections(self) -> None:
        """Close all connections; those whose clients don't read the rest are broken off in the end."""
        for connection in list(self.connections.values()):
            connection.writer.close()
        if self.connections:
            with contextlib.suppress(TimeoutError):
                async with self.core.wheel.timeout(FLUSH_TIMEOUT_US):
                    await asyncio.wait(list(self.connections))
        if self.connections:
            log.warning("clients_broken_off", clients=len(self.connections))
        for connection in list(self.connections.values()):
            connection.writer.transport.abort()
        while self.connections:
            await asyncio.wait(list(self.connections))
