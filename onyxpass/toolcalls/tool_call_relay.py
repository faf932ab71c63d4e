"""Tool calls: each is claimed in the store before it is sent, sent once at most, and recorded to
its end.
"""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import structlog

from onyxpass.config.platform_file import Address
from onyxpass.core.actor import Actor
from onyxpass.core.timer_wheel import Timer, TimerWheel
from onyxpass.store.redis import RedisStore, StoreUnavailableError
from onyxpass.toolcalls import rpc
from onyxpass.toolcalls.rpc import RpcError, RpcResponse

log = structlog.get_logger("tools")


class ToolCallState(Enum):
    """Where a call stands. From SENT on it may have had its effect."""

    CLAIMING = "claiming"
    NOT_MADE = "not made"
    SENT = "sent"
    DONE = "done"
    ERROR = "error"
    UNKNOWN = "unknown"


@dataclass(eq=False, slots=True)
class ToolCall:
    request: str
    call: rpc.Id
    name: str
    arguments: Mapping[str, Any]
    wanted: Callable[[], bool]  # whether the stream that asked for it still waits
    state: ToolCallState = ToolCallState.CLAIMING
    result: Any = None
    problem: RpcError | None = None
    withdrawn: bool = False  # its client has gone
    told: asyncio.Event = field(default_factory=asyncio.Event)  # the writer can be answered
    timer: Timer | None = None

    @property
    def key(self) -> str:
        return f"{self.request}:{self.call}"

    def record(self) -> dict[str, Any]:
        body: dict[str, Any] = {
            "state": self.state.value,
            "name": self.name,
            "withdrawn": self.withdrawn,
        }
        if self.state is ToolCallState.DONE:
            body["result"] = self.result
        if self.problem is not None:
            body["error"] = self.problem.body()
        return body


@dataclass(frozen=True, slots=True)
class Make:
    call: ToolCall


@dataclass(frozen=True, slots=True)
class Withdraw:
    call: ToolCall


@dataclass(frozen=True, slots=True)
class Slow:
    call: ToolCall


@dataclass(frozen=True, slots=True)
class Heard:
    link: int
    reply: RpcResponse


@dataclass(frozen=True, slots=True)
class Up:
    writer: asyncio.StreamWriter


@dataclass(frozen=True, slots=True)
class Lost:
    link: int
    reason: str


Order = Make | Withdraw | Slow | Heard | Up | Lost


class ToolServer(Actor[Order]):
    """The tool server as an actor: one connection, many calls on it, each line written once."""

    def __init__(
        self,
        address: Address,
        wheel: TimerWheel,
        ended: Callable[[ToolCall], None],
        timeout_us: int,
        connect_us: int,
    ) -> None:
        super().__init__("tools")
        self.address, self.wheel, self.ended = address, wheel, ended
        self.timeout_us, self.connect_us = timeout_us, connect_us
        self.queued: list[ToolCall] = []  # not sent: the connection is not up
        self.out: dict[str, ToolCall] = {}  # sent on this connection, and without a result
        self.writer: asyncio.StreamWriter | None = None
        self.link = 0  # which connection; words of an older one are passed over
        self.task: asyncio.Task[None] | None = None

    def receive(self, message: Order) -> None:
        match message:
            case Make(call):
                self._make(call)
            case Withdraw(call):
                self._withdraw(call)
            case Slow(call) if call.state is ToolCallState.SENT:
                # The connection stays: a result that comes late is still recorded.
                self._end(
                    call,
                    ToolCallState.UNKNOWN,
                    RpcError(rpc.TOOL_UNKNOWN, "no result in time: outcome unknown"),
                )
            case Heard(link, reply) if link == self.link:
                self._heard(reply)
            case Up(writer):
                self.writer, queued, self.queued = writer, self.queued, []
                for call in queued:
                    self._make(call)
            case Lost(link, reason) if link == self.link:
                self._lost(reason)

    def recover(self, message: Order) -> None:
        if isinstance(message, Make):
            sent = message.call.state is ToolCallState.SENT
            self._end(
                message.call,
                ToolCallState.UNKNOWN if sent else ToolCallState.NOT_MADE,
                RpcError(rpc.INTERNAL_ERROR, "fault"),
            )

    def _make(self, call: ToolCall) -> None:
        if call.withdrawn or not call.wanted():  # no call goes out for a stream that has ended
            self._end(
                call, ToolCallState.NOT_MADE, RpcError(rpc.NOT_MADE, "nobody waits for it any more")
            )
            return
        if self.writer is None or self.writer.is_closing():
            self.queued.append(call)
            if self.task is None:
                self.link += 1
                self.task = asyncio.create_task(self._follow(self.link))
            return
        call.state = ToolCallState.SENT
        self.out[call.key] = call
        call.timer = self.wheel.after(self.timeout_us, lambda: self.tell(Slow(call)))
        params = {"name": call.name, "arguments": call.arguments}
        self.writer.write(rpc.request(call.key, "tools/call", params))

    def _withdraw(self, call: ToolCall) -> None:
        if call.key in self.out and self.writer is not None and not self.writer.is_closing():
            params = {"requestId": call.key, "reason": "the client has gone"}
            self.writer.write(rpc.notification("notifications/cancelled", params))
        self.ended(call)  # recorded as withdrawn now; its result, if one comes, is recorded then

    def _heard(self, reply: RpcResponse) -> None:
        call = self.out.pop(str(reply.id), None)
        if call is None:
            log.warning("unexpected_tool_result", id=str(reply.id)[:80])
        elif reply.error is not None:
            self._end(call, ToolCallState.ERROR, reply.error)
        else:
            call.result = reply.result
            self._end(call, ToolCallState.DONE, None)

    def _lost(self, reason: str) -> None:
        self.task, was_up = None, self.writer is not None
        if self.writer is not None:
            self.writer.close()
        self.writer, out, queued = None, list(self.out.values()), self.queued
        self.out, self.queued = {}, []
        for call in queued:
            if was_up:  # it came while the old connection was ending, so a new one is worth a try
                self._make(call)
                continue
            self._end(
                call,
                ToolCallState.NOT_MADE,
                RpcError(rpc.NOT_MADE, f"the tool server can't be reached: {reason}"),
            )
        for call in out:  # never sent again: the server may have it
            self._end(
                call,
                ToolCallState.UNKNOWN,
                RpcError(rpc.TOOL_UNKNOWN, f"the tool server was lost: {reason}"),
            )

    def _end(self, call: ToolCall, state: ToolCallState, problem: RpcError | None) -> None:
        if call.timer is not None:
            call.timer.cancel()
        call.state, call.problem = state, problem
        call.told.set()
        self.ended(call)

    async def _follow(self, link: int) -> None:
        reason, writer = "closed", None
        try:
            async with self.wheel.timeout(self.connect_us):
                reader, writer = await asyncio.open_connection(
                    self.address.host, self.address.port, limit=rpc.LINE_LIMIT
                )
            self.tell(Up(writer))
            while (text := await rpc.read_line(reader)) is not None:
                message = rpc.parse(text)
                if isinstance(message, RpcResponse):
                    self.tell(Heard(link, message))
                elif message.id is not None:
                    writer.write(
                        rpc.error(
                            message.id, RpcError(rpc.METHOD_NOT_FOUND, "nothing is served here")
                        )
                    )
        except RpcError as problem:  # it talks garbage: nothing more of it is believed
            reason = f"garbage: {problem.message}"
        except (OSError, TimeoutError) as problem:
            reason = str(problem) or "no connection"
        finally:
            self.tell(Lost(link, reason))


class ToolCallRelay:
    """Claims, makes and records calls. A call outlives the stream that asked for it, till it has
    ended.
    """

    def __init__(self, store: RedisStore, ttl_s: int) -> None:
        self.store, self.ttl_s = store, ttl_s
        self.server: ToolServer | None = None
        self.open: dict[str, ToolCall] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self._last: dict[str, asyncio.Task[None]] = {}

    def make(self, call: ToolCall) -> None:
        """Start on a call; ``call.told`` is set once the writer can be answered."""
        if call.key in self.open:
            call.state = ToolCallState.NOT_MADE
            call.problem = RpcError(
                rpc.CLAIMED, "a call with this id is out", data={"call": call.call}
            )
            call.told.set()
            return
        self.open[call.key] = call
        self._beside(self._claim(call))

    def withdraw(self, call: ToolCall) -> None:
        """The client has gone. The call is not made if it is not out yet; else its server is
        told.
        """
        call.withdrawn = True
        if call.state is ToolCallState.SENT and self.server is not None:
            self.server.tell(Withdraw(call))

    def ended(self, call: ToolCall) -> None:
        """How a call stands now goes on record, in the order in which it came to stand so."""
        if call.state is not ToolCallState.SENT:
            self.open.pop(call.key, None)
        self._beside(self._record(call.key, call.record(), self._last.get(call.key)), call.key)

    def _beside(self, work: Any, key: str = "") -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if key:
            self._last[key] = task
            task.add_done_callback(lambda done: self._last.get(key) is done and self._last.pop(key))

    async def _claim(self, call: ToolCall) -> None:
        try:
            if await self.store.claim_call(
                call.key, {"state": ToolCallState.CLAIMING.value, "name": call.name}, self.ttl_s
            ):
                if self.server is not None:
                    self.server.tell(Make(call))
                else:
                    self._not_made(call, RpcError(rpc.NOT_MADE, "nobody waits for it any more"))
                    self.ended(call)
                return
            found = await self.store.recorded_call(call.key) or {}
        except StoreUnavailableError as problem:
            # Guards against a call that could be made twice: without a claim it is not made at all.
            log.warning("store_unavailable", why=str(problem), call=call.key)
            self._not_made(
                call, RpcError(rpc.STORE_DOWN, "the store is down: the call was not made")
            )
            return
        stood = found.get("state")
        if stood == ToolCallState.DONE.value:  # made before, by whomever: its result serves again
            call.result, call.state = found.get("result"), ToolCallState.DONE
        else:  # it may be out elsewhere, or its maker may have died: it is not made a second time
            call.state = (
                ToolCallState(stood)
                if stood in (ToolCallState.NOT_MADE.value, ToolCallState.ERROR.value)
                else ToolCallState.UNKNOWN
            )
            data = {"call": call.call, "state": call.state.value}
            call.problem = RpcError(rpc.CLAIMED, "claimed before", data=data)
        self.open.pop(call.key, None)
        call.told.set()

    def _not_made(self, call: ToolCall, problem: RpcError) -> None:
        call.state, call.problem = ToolCallState.NOT_MADE, problem
        self.open.pop(call.key, None)
        call.told.set()

    async def _record(
        self, key: str, record: Mapping[str, Any], before: asyncio.Task[None] | None
    ) -> None:
        if before is not None:
            await asyncio.wait([before])
        # how a call ended is worth some patience with the store
        for wait_s in (0.1, 1.0, 5.0, 0.0):
            try:
                await self.store.record_call(key, record, self.ttl_s)
                return
            except StoreUnavailableError as problem:
                log.warning("call_not_recorded", call=key, why=str(problem), record=record)
                await asyncio.sleep(wait_s)

    async def settle(self) -> None:
        """Wait for what is being claimed or recorded."""
        while self.tasks:
            await asyncio.wait(list(self.tasks))
