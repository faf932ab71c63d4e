"""Readers and writers that speak JSON-RPC: one actor per server, one connection per attempt."""

import asyncio
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.exchange_eviction import evict_exchange
from onyxpass.core.fleet import ActorFleet, ServerActor
from onyxpass.core.loop_turn import StepFlow
from onyxpass.core.memory_budget import MemoryAccount, Standing
from onyxpass.core.release import release
from onyxpass.core.requests import Attempt, Request
from onyxpass.net.dialer import ResourceShortageError, connect
from onyxpass.net.http import ChargedProtocol, buffered_bytes, clear_buffer
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus, HealthCheckResult, Idempotency
from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.rpc import RpcError, RpcRequest, RpcResponse
from onyxpass.toolcalls.tool_call_relay import ToolCall, ToolCallRelay, ToolCallState

# A stream without a message for this time is taken as broken. Every tool time-out is shorter.
STREAM_STALL_TIMEOUT_US = 30_000_000
MAX_OPEN_CALLS = 8  # unanswered tool calls per request
CALL_TIMEOUT_US = 120_000  # for health checks and releases, including the connect
log = structlog.get_logger("peers")


@dataclass(slots=True)
class Payload:
    """A client's request, its final result and its tool calls."""

    prompt: str
    max_tokens: int
    traffic_class: str
    is_new_request: bool = False  # whether the client left it to the front to name the request
    result: dict[str, Any] = field(default_factory=dict)  # of the writer's final response
    # By call id, in the order of their arrival.
    calls: dict[rpc.Id, ToolCall] = field(default_factory=dict)


def is_unsent(writer: asyncio.StreamWriter) -> bool:
    """Return whether the kernel has not accepted everything that was written."""
    transport = writer.transport
    return transport.get_write_buffer_size() > 0 and not transport.is_closing()


def is_request_unsent(writer: asyncio.StreamWriter) -> bool:
    """Return whether the server has certainly not received all of the request.

    Once it has answered anything, what is unsent may be the result of one of its calls.
    """
    protocol = writer.transport.get_protocol()
    assert isinstance(protocol, ChargedProtocol)
    return is_unsent(writer) and not protocol.has_received


class RpcReplica(ServerActor):
    """A reader or writer that speaks JSON-RPC, as an actor."""

    def __init__(
        self,
        name: str,
        address: Address,
        core: RequestDispatcher,
        relay: ToolCallRelay,
        connect_timeout_us: int,
        connection_slots: asyncio.Semaphore,
    ) -> None:
        super().__init__(name, core)
        self.address, self.relay = address, relay
        self.connect_timeout_us, self.connection_slots = connect_timeout_us, connection_slots

    async def _open(
        self, timeout_us: int | None = None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        async with self.wheel.timeout(
            self.connect_timeout_us if timeout_us is None else timeout_us
        ):
            host, port = self.address.host, self.address.port
            return await connect(host, port, rpc.LINE_LIMIT, ChargedProtocol)

    async def run_attempt(self, attempt: Attempt) -> None:
        status, note, reason, written = AttemptStatus.UNREACHABLE, 0, "", False
        writer: asyncio.StreamWriter | None = None
        try:
            async with self.connection_slots:
                reader, writer = await self._open(
                    self.core.preconditions.connect_timeout_us(
                        attempt.request, self.connect_timeout_us
                    )
                )
                await self.wait_for_release(attempt)
                if why := self.core.preconditions.check_first_byte(attempt):
                    status, reason = AttemptStatus.NOT_SENT, why
                else:
                    # Prevents a second run: from here on the server may have the request.
                    written = True
                    self._send_request(writer, attempt)
                    self.core.reservations.attempt_begun(attempt, lambda: None)
                    self.core.outcomes.request_sent(attempt)
                    with self._charged(reader, writer, attempt) as memory:
                        status, note, reason = await self._read_stream(
                            reader, writer, attempt, memory
                        )
        except ResourceShortageError as problem:
            status, reason = AttemptStatus.NOT_SENT, str(problem)
        except RpcError as problem:
            status, reason = AttemptStatus.RESET, f"garbage: {problem.message}"
        except (OSError, TimeoutError) as problem:
            status = AttemptStatus.RESET if written else AttemptStatus.UNREACHABLE
            reason = str(problem) or "no connection"
        except asyncio.CancelledError:
            # A line without its end is no request: it has certainly not run.
            sent = written and writer is not None and not is_request_unsent(writer)
            status = AttemptStatus.CANCELLED if sent else AttemptStatus.NOT_SENT
            if sent and writer is not None and not writer.is_closing():
                writer.write(rpc.notification("cancel", {"request": attempt.request.id}))
        except Exception:
            log.exception("exchange_failed", server=self.name)
            status = AttemptStatus.RESET if written else AttemptStatus.UNREACHABLE
        finally:
            if writer is not None:
                # A close would go on sending what the server has not read, after the attempt's end.
                if is_unsent(writer):
                    writer.transport.abort()
                writer.close()
            self.core.outcomes.attempt_ended(attempt, status, note, reason)

    @contextmanager
    def _charged(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, attempt: Attempt
    ) -> Iterator[MemoryAccount]:
        """Charge what arrives on a connection to an account, which is closed at the end."""

        def evict() -> None:
            clear_buffer(reader)
            evict_exchange(attempt, self.name, writer.transport.abort)

        protocol = writer.transport.get_protocol()
        assert isinstance(protocol, ChargedProtocol)
        memory = protocol.memory = self.core.memory_budget.open(evict, lambda: Standing.EXCHANGE)
        try:
            yield memory
        finally:
            memory.close()

    def _send_request(self, writer: asyncio.StreamWriter, attempt: Attempt) -> None:
        payload: Payload = attempt.request.payload
        params = {
            "request": attempt.request.id,
            "class": payload.traffic_class,
            "prompt": payload.prompt,
            "max_tokens": payload.max_tokens,
            "timeout_ms": self.core.preconditions.remaining_ms(attempt),
        }
        if attempt.view_number:
            params["view"] = attempt.view_number
        writer.write(
            rpc.request(attempt.number, "write" if attempt.may_generate else "read", params)
        )

    async def _read_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        attempt: Attempt,
        memory: MemoryAccount,
    ) -> tuple[AttemptStatus, int, str]:
        """Read an attempt's stream up to its response; text and tool calls are both stream events.

        Whether it is a prefill was decided with the attempt: meanwhile its server's id may have been
        given to a server of another kind.
        Returns the attempt's status, its note in the router's contract, and a reason.
        """
        result_tasks: set[asyncio.Task[None]] = set()
        flow = StepFlow()
        try:
            while True:
                async with self.wheel.timeout(STREAM_STALL_TIMEOUT_US):
                    text = await rpc.read_line(reader, flow)
                if text is None:
                    return AttemptStatus.RESET, 0, "closed without a response"
                unsent_bytes = attempt.request.client.unsent_bytes
                memory.settle(buffered_bytes(reader) + len(text) + unsent_bytes)
                match rpc.parse(text):
                    case RpcResponse(id, result, error) if id == attempt.number:
                        return self._final_status(attempt, result, error)
                    case RpcRequest(None, "text", params) if attempt.may_generate:
                        part = rpc.string_param(params, "text", reject_surrogates=False).encode(
                            "utf-8", "surrogatepass"
                        )
                        if not self.core.outcomes.stream_event_received(attempt):
                            return AttemptStatus.CANCELLED, 0, "nobody waits"
                        # Ends the attempt of a client that does not read its stream.
                        async with self.wheel.timeout(STREAM_STALL_TIMEOUT_US):
                            await attempt.request.client.forward(part)
                    case RpcRequest(int() | str() as id, "tools/call", params) if (
                        attempt.may_generate
                    ):
                        # Prevents a second run: the call commits the attempt before it is sent on.
                        if not self.core.outcomes.stream_event_received(attempt):
                            return AttemptStatus.CANCELLED, 0, "nobody waits"
                        call = self._start_tool_call(writer, attempt, id, params)
                        if call is not None:
                            task = asyncio.create_task(self._send_result(writer, call))
                            result_tasks.add(task)
                            task.add_done_callback(result_tasks.discard)
                    case RpcRequest(int() | str() as id, method, _):
                        writer.write(
                            rpc.error(
                                id, RpcError(rpc.METHOD_NOT_FOUND, f"no method {method[:80]!r}")
                            )
                        )
                    case RpcResponse(id):
                        log.warning("unexpected_response", server=self.name, id=str(id)[:80])
        finally:
            for task in result_tasks:
                task.cancel()

    def _start_tool_call(
        self, writer: asyncio.StreamWriter, attempt: Attempt, id: rpc.Id, params: Mapping[str, Any]
    ) -> ToolCall | None:
        payload: Payload = attempt.request.payload
        try:
            name, arguments = rpc.string_param(params, "name"), params.get("arguments", {})
            if not isinstance(arguments, dict) or not name:
                raise RpcError(
                    rpc.INVALID_PARAMS, "a call needs a name, and arguments that are an object"
                )
            if id in payload.calls:  # a response under this id is sent for the first call only
                writer.write(
                    rpc.error(
                        None,
                        RpcError(rpc.INVALID_REQUEST, "a call id is used twice", data={"call": id}),
                    )
                )
                return None
            if sum(not c.settled.is_set() for c in payload.calls.values()) >= MAX_OPEN_CALLS:
                raise RpcError(rpc.CALL_NOT_MADE, f"more than {MAX_OPEN_CALLS} calls out")
        except RpcError as problem:
            writer.write(rpc.error(id, problem))
            return None
        call = ToolCall(
            attempt.request.id,
            id,
            name,
            arguments,
            is_wanted=lambda: not attempt.ended,
            idempotent=self.core.idempotency_of(attempt.request) is Idempotency.IDEMPOTENT,
            is_new_request=payload.is_new_request,
        )
        call.take_place_among(payload.calls.values())
        payload.calls[id] = call
        self.relay.start(call)
        return call

    async def _send_result(self, writer: asyncio.StreamWriter, call: ToolCall) -> None:
        await call.settled.wait()
        if call.error is not None:
            writer.write(rpc.error(call.call_id, call.error))
        else:
            writer.write(rpc.result(call.call_id, call.result))

    def _final_status(
        self, attempt: Attempt, result: Any, error: RpcError | None
    ) -> tuple[AttemptStatus, int, str]:
        if error is not None:
            if error.code in (rpc.SERVER_FULL, rpc.NO_STATE) and not attempt.committed:
                return (
                    AttemptStatus.OVERLOADED,
                    int(error.code == rpc.NO_STATE),
                    error.message[:200],
                )
            is_invalid = (
                error.code in (rpc.INVALID_REQUEST, rpc.INVALID_PARAMS) and not attempt.committed
            )
            return (
                (AttemptStatus.INVALID_REQUEST if is_invalid else AttemptStatus.ERROR),
                0,
                error.message[:200],
            )
        if not attempt.may_generate:
            cached = result.get("cached_tokens") if isinstance(result, dict) else 0
            return AttemptStatus.PREFILLED, cached if type(cached) is int and cached >= 0 else 0, ""
        payload: Payload = attempt.request.payload
        if any(
            c.state in (ToolCallState.CLAIMING, ToolCallState.SENT) for c in payload.calls.values()
        ):
            return AttemptStatus.RESET, 0, "the writer ended its stream with a call out"
        payload.result = result if isinstance(result, dict) else {}
        return (
            (AttemptStatus.COMPLETED, 0, "")
            if self.core.outcomes.stream_event_received(attempt)
            else (AttemptStatus.CANCELLED, 0, "nobody waits")
        )

    async def check_health(self) -> None:
        began_us = self.core.clock.now_us()
        if (ok := await self.call("ping", {})) is not None:
            self.core.tell(HealthCheckResult(self.name, ok, self.core.clock.now_us() - began_us))

    async def call(self, method: str, params: Mapping[str, Any]) -> bool | None:
        """Send one request that is not an attempt, on a connection of its own.

        Returns whether it was answered without an error, or None if this process has no resources
        for a connection.
        """
        writer: asyncio.StreamWriter | None = None
        try:
            async with self.wheel.timeout(CALL_TIMEOUT_US):
                reader, writer = await self._open()
                writer.write(rpc.request(0, method, params))
                text = await rpc.read_line(reader, StepFlow())
                answer = rpc.parse(text) if text is not None else None
                return isinstance(answer, RpcResponse) and answer.id == 0 and answer.error is None
        except ResourceShortageError:
            return None
        except (RpcError, OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()


class RpcReplicas(ActorFleet[RpcReplica]):
    """The readers and writers that speak JSON-RPC."""

    def __init__(
        self,
        core: RequestDispatcher,
        relay: ToolCallRelay,
        connect_timeout_us: int,
        max_connections: int,
    ) -> None:
        super().__init__(core)
        self.relay, self.connect_timeout_us = relay, connect_timeout_us
        self.connection_slots = asyncio.Semaphore(max_connections)
        self.departed: set[str] = set()  # left the membership, with work open

    def add(self, name: str, address: Address) -> None:
        """Add a server of the operator's file, or update its address for later attempts."""
        if (known := self.actors.get(name)) is not None:
            known.address = address
        else:
            self.add_actor(
                RpcReplica(
                    name,
                    address,
                    self.core,
                    self.relay,
                    self.connect_timeout_us,
                    self.connection_slots,
                )
            )

    def update_member(self, server: contract.Endpoint, address: Address, left: bool) -> None:
        """Apply what a membership source reports of a server.

        The actor of a server that has left is removed at the first report, of any server, that finds
        the actor without work.
        """
        if left:
            self.departed.add(server.id)
        else:
            self.departed.discard(server.id)
            self.add(server.id, address)
        for name in list(self.departed):
            actor = self.actors.get(name)
            if actor is None or not (
                actor.tasks or actor.background_tasks or actor.mailbox.qsize()
            ):
                self.departed.discard(name)
                if actor is not None:
                    self.remove_actor(actor)

    def release(self, request: Request, prefill_interrupted: bool) -> None:
        self.track_release(request, self._release(request))

    async def _release(self, request: Request) -> None:
        """Release the state of a request by a call to any one of the servers."""
        await release(
            self.core,
            request,
            lambda: self.actors,
            lambda name: self._call_release(name, request.id),
        )

    async def _call_release(self, name: str, request_id: str) -> bool:
        replica = self.actors.get(name)
        return replica is not None and bool(await replica.call("release", {"request": request_id}))
