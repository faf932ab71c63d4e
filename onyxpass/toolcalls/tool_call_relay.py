"""Tool calls: each is claimed in the store before it is sent, is sent at most once, and has its
outcome recorded.
"""

import asyncio
import hashlib
import itertools
import json
import secrets
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.actor import Actor
from onyxpass.core.loop_turn import StepFlow
from onyxpass.core.timer_wheel import Timer, TimerWheel
from onyxpass.store.redis import StoreUnavailableError
from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.call_claims import CallClaims, CallNotWantedError
from onyxpass.toolcalls.rpc import RpcError, RpcResponse

KEY_SEPARATOR = "\x1f"  # not printable, so in no request's name
log = structlog.get_logger("tools")


class ToolCallState(Enum):
    """The progress of a call. A call that was sent may have taken effect, whatever its result."""

    CLAIMING = "claiming"
    NOT_MADE = "not made"
    SENT = "sent"
    DONE = "done"
    ERROR = "error"
    UNKNOWN = "unknown"


@dataclass(eq=False, slots=True)
class ToolCall:
    request: str
    call_id: rpc.Id
    name: str
    arguments: Mapping[str, Any]
    is_wanted: Callable[[], bool]  # whether the stream that made the call is still open
    idempotent: bool = False  # whether its request may be repeated without harm
    is_new_request: bool = False  # whether this front has given the request its name
    state: ToolCallState = ToolCallState.CLAIMING
    result: Any = None
    error: RpcError | None = None
    withdrawn: bool = False  # the client has disconnected or cancelled the request
    settled: asyncio.Event = field(default_factory=asyncio.Event)  # the writer can be answered
    timer: Timer | None = None
    # Number among the calls of the stream with the same name and arguments. A call that was not made
    # and not claimed leaves its number, and its claim token, to the next one.
    occurrence: int = 0
    claim_token: str = field(default_factory=lambda: secrets.token_hex(8))
    was_claimed: bool = True  # whether a record of the call may have to be found again

    @property
    def key(self) -> str:
        """The key that the tool server gets, made of the writer's id of the call."""
        return f"{self.request}:{self.call_id}"

    @property
    def content(self) -> str:
        """A digest of the name and the arguments."""
        text = json.dumps([self.name, self.arguments], sort_keys=True)
        return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()

    def take_place_among(self, earlier_calls: Iterable["ToolCall"]) -> None:
        """Take the first free number among the earlier calls of the same stream."""
        equal_calls = [call for call in earlier_calls if call.content == self.content]
        taken = {call.occurrence for call in equal_calls if call.was_claimed}
        self.occurrence = next(number for number in itertools.count() if number not in taken)
        for call in equal_calls:
            if call.occurrence == self.occurrence:
                self.claim_token = call.claim_token

    @property
    def keys(self) -> tuple[str, ...]:
        """All keys under which the call is claimed.

        A writer may give its call a new id when a request is repeated. The second key finds the
        call again by what it asks for, and also if one of the two keys alone is lost.
        """
        if self.idempotent:
            return (self.key,)
        return self.key, f"{self.request}{KEY_SEPARATOR}{self.content}:{self.occurrence}"

    def summary(self) -> dict[str, Any]:
        """Return what the error of a call tells the writer."""
        return {"call": self.call_id, "state": self.state.value}

    def to_record(self) -> dict[str, Any]:
        body: dict[str, Any] = {
            "state": self.state.value,
            "name": self.name,
            "content": self.content,
            "withdrawn": self.withdrawn,
        }
        if self.state is ToolCallState.DONE:
            body["result"] = self.result
        if self.error is not None:
            body["error"] = self.error.to_dict()
        return body


@dataclass(frozen=True, slots=True)
class SendCall:
    call: ToolCall


@dataclass(frozen=True, slots=True)
class WithdrawCall:
    call: ToolCall


@dataclass(frozen=True, slots=True)
class CallTimedOut:
    call: ToolCall


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    connection_number: int
    reply: RpcResponse


@dataclass(frozen=True, slots=True)
class Connected:
    writer: asyncio.StreamWriter


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    connection_number: int
    reason: str


Message = SendCall | WithdrawCall | CallTimedOut | ResponseReceived | Connected | ConnectionLost


class ToolServer(Actor[Message]):
    """The tool server as an actor: one connection for many calls, each of them written once."""

    def __init__(
        self,
        address: Address,
        wheel: TimerWheel,
        on_change: Callable[[ToolCall], None],
        timeout_us: int,
        connect_timeout_us: int,
    ) -> None:
        super().__init__("tools")
        self.address, self.wheel, self.on_change = address, wheel, on_change
        self.timeout_us, self.connect_timeout_us = timeout_us, connect_timeout_us
        self.queued: list[ToolCall] = []  # waiting for a connection
        self.in_flight: dict[str, ToolCall] = {}  # sent on this connection, no result yet
        self.writer: asyncio.StreamWriter | None = None
        self.connection_number = 0  # messages from connections with a lower number are ignored
        self.task: asyncio.Task[None] | None = None

    def receive(self, message: Message) -> None:
        match message:
            case SendCall(call):
                self._send(call)
            case WithdrawCall(call):
                self._withdraw(call)
            case CallTimedOut(call) if call.state is ToolCallState.SENT:
                # The connection stays open, so that a late result is still recorded.
                self._finish(
                    call,
                    ToolCallState.UNKNOWN,
                    RpcError(rpc.TOOL_OUTCOME_UNKNOWN, "no result in time: outcome unknown"),
                )
            case ResponseReceived(connection_number, reply) if (
                connection_number == self.connection_number
            ):
                self._handle_response(reply)
            case Connected(writer):
                self.writer, queued, self.queued = writer, self.queued, []
                for call in queued:
                    self._send(call)
            case ConnectionLost(connection_number, reason) if (
                connection_number == self.connection_number
            ):
                self._handle_connection_loss(reason)

    def recover(self, message: Message) -> None:
        if isinstance(message, SendCall):
            sent = message.call.state is ToolCallState.SENT
            self._finish(
                message.call,
                ToolCallState.UNKNOWN if sent else ToolCallState.NOT_MADE,
                RpcError(rpc.INTERNAL_ERROR, "fault"),
            )

    def _send(self, call: ToolCall) -> None:
        if call.withdrawn or not call.is_wanted():  # the stream that made the call has ended
            self._finish(
                call,
                ToolCallState.NOT_MADE,
                RpcError(rpc.CALL_NOT_MADE, "nobody waits for it any more"),
            )
            return
        if self.writer is None or self.writer.is_closing():
            self.queued.append(call)
            if self.task is None:
                self.connection_number += 1
                self.task = asyncio.create_task(self._run_connection(self.connection_number))
            return
        call.state = ToolCallState.SENT
        self.in_flight[call.key] = call
        call.timer = self.wheel.after(self.timeout_us, lambda: self.tell(CallTimedOut(call)))
        params = {"name": call.name, "arguments": call.arguments}
        self.writer.write(rpc.request(call.key, "tools/call", params))

    def _withdraw(self, call: ToolCall) -> None:
        if call.key in self.in_flight and self.writer is not None and not self.writer.is_closing():
            params = {"requestId": call.key, "reason": "the client has gone"}
            self.writer.write(rpc.notification("notifications/cancelled", params))
        self.on_change(call)  # records the withdrawal now; a result is recorded when it arrives

    def _handle_response(self, reply: RpcResponse) -> None:
        call = self.in_flight.pop(str(reply.id), None)
        if call is None:
            log.warning("unexpected_tool_result", id=str(reply.id)[:80])
        elif reply.error is not None:
            self._finish(call, ToolCallState.ERROR, reply.error)
        else:
            call.result = reply.result
            self._finish(call, ToolCallState.DONE, None)

    def _handle_connection_loss(self, reason: str) -> None:
        self.task, was_connected = None, self.writer is not None
        if self.writer is not None:
            self.writer.close()
        self.writer, in_flight, queued = None, list(self.in_flight.values()), self.queued
        self.in_flight, self.queued = {}, []
        for call in queued:
            # The call was queued while the old connection was closing: a new one is tried.
            if was_connected:
                self._send(call)
                continue
            self._finish(
                call,
                ToolCallState.NOT_MADE,
                RpcError(rpc.CALL_NOT_MADE, f"the tool server can't be reached: {reason}"),
            )
        for call in in_flight:  # not sent again: the server may have received it
            self._finish(
                call,
                ToolCallState.UNKNOWN,
                RpcError(rpc.TOOL_OUTCOME_UNKNOWN, f"the tool server was lost: {reason}"),
            )

    def _finish(self, call: ToolCall, state: ToolCallState, error: RpcError | None) -> None:
        if call.timer is not None:
            call.timer.cancel()
        call.state, call.error = state, error
        call.settled.set()
        self.on_change(call)

    async def _run_connection(self, connection_number: int) -> None:
        reason, writer = "closed", None
        try:
            async with self.wheel.timeout(self.connect_timeout_us):
                reader, writer = await asyncio.open_connection(
                    self.address.host, self.address.port, limit=rpc.LINE_LIMIT
                )
            self.tell(Connected(writer))
            flow = StepFlow()
            while (text := await rpc.read_line(reader, flow)) is not None:
                message = rpc.parse(text)
                if isinstance(message, RpcResponse):
                    self.tell(ResponseReceived(connection_number, message))
                elif message.id is not None:
                    writer.write(
                        rpc.error(
                            message.id, RpcError(rpc.METHOD_NOT_FOUND, "nothing is served here")
                        )
                    )
        except RpcError as problem:  # an invalid message: nothing after it can be trusted
            reason = f"garbage: {problem.message}"
        except (OSError, TimeoutError) as problem:
            reason = str(problem) or "no connection"
        finally:
            self.tell(ConnectionLost(connection_number, reason))


class ToolCallRelay:
    """Claims, sends and records tool calls.

    A call that was sent is followed until it ends, even if the stream that made it has ended.
    """

    def __init__(self, claims: CallClaims, ttl_s: int) -> None:
        self.claims, self.ttl_s = claims, ttl_s
        self.tool_server: ToolServer | None = None
        self.open_calls: dict[str, ToolCall] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self._last_writes: dict[str, asyncio.Task[None]] = {}

    def start(self, call: ToolCall) -> None:
        """Start a call; ``call.settled`` is set once the writer can be answered."""
        if open_call := next(filter(None, map(self.open_calls.get, call.keys)), None):
            is_same = open_call.content == call.content
            call.state = ToolCallState.UNKNOWN if is_same else ToolCallState.NOT_MADE
            call.was_claimed = is_same
            call.error = RpcError(
                rpc.ALREADY_CLAIMED, "a call with this id is out", data={"call": call.call_id}
            )
            call.settled.set()
            return
        for key in call.keys:
            self.open_calls[key] = call
        self._start_task(self._claim(call))

    def withdraw(self, call: ToolCall) -> None:
        """Withdraw a call whose client no longer waits.

        A call that is not sent yet will not be sent; otherwise the tool server is notified.
        """
        call.withdrawn = True
        if call.state is ToolCallState.SENT and self.tool_server is not None:
            self.tool_server.tell(WithdrawCall(call))

    def record(self, call: ToolCall) -> None:
        """Record the present state of a call, after the records of its earlier states."""
        if call.state is not ToolCallState.SENT:
            self._close(call)
        record = call.to_record()
        for key in call.keys:
            self.claims.journal.put(key, record, self.ttl_s)
            self._start_task(self._write_record(key, record, self._last_writes.get(key)), key)

    def _close(self, call: ToolCall) -> None:
        for key in call.keys:
            self.open_calls.pop(key, None)

    def _start_task(self, work: Any, key: str = "") -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if key:
            self._last_writes[key] = task
            task.add_done_callback(
                lambda done: self._last_writes.get(key) is done and self._last_writes.pop(key)
            )

    async def _claim(self, call: ToolCall) -> None:
        try:
            record = await self.claims.claim(
                call.keys,
                {
                    "state": ToolCallState.CLAIMING.value,
                    "name": call.name,
                    "content": call.content,
                },
                self.ttl_s,
                token=call.claim_token,
                idempotent=call.idempotent,
                is_new_request=call.is_new_request,
                is_wanted=lambda: call.is_wanted() and not call.withdrawn,
            )
        except CallNotWantedError:
            call.was_claimed = False
            self._fail_unsent(call, RpcError(rpc.CALL_NOT_MADE, "nobody waits for it any more"))
            return
        except StoreUnavailableError as problem:
            # Prevents a call from being made twice: without a claim it is not made at all.
            log.warning("store_unavailable", why=str(problem), call=call.key)
            call.was_claimed = False
            self._fail_unsent(
                call, RpcError(rpc.STORE_UNAVAILABLE, "the store is down: the call was not made")
            )
            return
        if record is None:
            self._send(call)
        else:
            self._use_record(call, record)

    def _send(self, call: ToolCall) -> None:
        if self.tool_server is not None:
            self.tool_server.tell(SendCall(call))
        else:
            self._fail_unsent(call, RpcError(rpc.CALL_NOT_MADE, "nobody waits for it any more"))
            self.record(call)

    def _use_record(self, call: ToolCall, record: Mapping[str, Any]) -> None:
        """Settle a call that was claimed before by its record.

        The record of another call under the same id tells nothing of this one, which is not made.
        """
        state = record.get("state")
        if record.get("name") != call.name or record.get("content", call.content) != call.content:
            call.state, call.was_claimed = ToolCallState.NOT_MADE, False
            call.error = RpcError(
                rpc.ALREADY_CLAIMED, "this id was claimed for another call", data=call.summary()
            )
        elif state == ToolCallState.DONE.value:  # made before: the recorded result is used
            call.result, call.state = record.get("result"), ToolCallState.DONE
        else:
            # Another process may be making the call, or may have crashed: it is not made again.
            call.state = (
                ToolCallState(state)
                if state in (ToolCallState.NOT_MADE.value, ToolCallState.ERROR.value)
                else ToolCallState.UNKNOWN
            )
            call.error = RpcError(rpc.ALREADY_CLAIMED, "claimed before", data=call.summary())
        self._close(call)
        call.settled.set()

    def _fail_unsent(self, call: ToolCall, error: RpcError) -> None:
        call.state, call.error = ToolCallState.NOT_MADE, error
        self._close(call)
        call.settled.set()

    async def _write_record(
        self, key: str, record: Mapping[str, Any], previous: asyncio.Task[None] | None
    ) -> None:
        if previous is not None:
            await asyncio.wait([previous])
        # The write is retried, because a store outage may be short.
        for wait_s in (0.1, 1.0, 5.0, 0.0):
            try:
                await self.claims.store.record_call(key, record, self.ttl_s)
                return
            except StoreUnavailableError as problem:
                log.warning("call_not_recorded", call=key, why=str(problem), record=record)
                await asyncio.sleep(wait_s)

    async def finish(self) -> None:
        """Wait until each call that is out has ended, and no claim or record is being written.

        A call ends at the latest with the time limit of the tool server. Prevents a booking that was
        made from being unknown to whoever asks for it again.
        """
        while self.open_calls:
            await asyncio.wait(
                [asyncio.create_task(call.settled.wait()) for call in self.open_calls.values()]
            )
        while self.tasks:
            await asyncio.wait(list(self.tasks))
