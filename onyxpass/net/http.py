"""HTTP/1.1 over asyncio streams, with h11 for parsing and gathered writes."""

import asyncio
import select
import socket
from collections.abc import Callable
from typing import Any
from weakref import WeakSet

import h11

from onyxpass.core.event_loop import unseen_since_ns
from onyxpass.core.loop_turn import StepFlow, StepPriority
from onyxpass.core.memory_budget import MemoryAccount, MemoryBudget, Standing
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net.byte_blocks import ByteBlocks
from onyxpass.net.framing_limits import TOO_MANY_LINES_STATUS, FramingLimits
from onyxpass.net.step_cost import STEP_NS, input_cost_ns
from onyxpass.net.tcp import acknowledged

HEAD_LIMIT = 32 * 1024
BODY_LIMIT = 256 * 1024
READ_BYTES = 32 * 1024
RECEIVE_BYTES = 16 * 1024
CLIENT_READER_LIMIT = RECEIVE_BYTES  # reading pauses beyond twice this
SERVER_READER_LIMIT = RECEIVE_BYTES // 4  # likewise
# Memory of one header field of a parsed head, beside its bytes: its tuples and strings, twice.
FIELD_BYTES = 256
# bytes for a client that the kernel does not take yet, beyond which its stream waits
CLIENT_WRITE_LIMIT = 8 * 1024
# time for a client to close after this side has; bytes it sends meanwhile are discarded
CLIENT_CLOSE_TIMEOUT_US = 250_000
# bounds of what is read of a rejected message, so that its response is not lost
DRAIN_TIMEOUT_US, MAX_DRAIN_READS = 300_000, 16
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding".split()
    + b"upgrade expect content-length".split()
)


OUT_OF_MEMORY_STATUS = 503
TOO_LARGE_STATUS = 413  # Content Too Large
WAKE_UP_BYTE = b"\0"  # wakes a task that waits for input; never parsed


class HttpError(Exception):
    """The peer closed the connection or broke the protocol, or a message can't be accepted.

    ``status`` is the status code that a server may answer with; 0: no answer.
    """

    def __init__(self, reason: str, status: int = 0) -> None:
        super().__init__(reason)
        self.status = status


class OutOfMemoryError(HttpError):
    """The connection's input was dropped, because the process holds too much for its peers."""

    def __init__(self) -> None:
        super().__init__("too much is held for other requests", OUT_OF_MEMORY_STATUS)


class ChargedProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Charges received bytes to the connection's memory account, and drops those that exceed it.

    It receives in parts of the size of usual messages. What it does not take stays in the kernel
    until there is room, and so does not count as held; asyncio takes 256 KiB at once.
    """

    memory: MemoryAccount | None = None
    has_received = False  # whether any byte has come
    _received = bytearray()

    def get_buffer(self, sizehint: int) -> bytearray:
        self._received = bytearray(RECEIVE_BYTES)
        return self._received

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(memoryview(self._received)[:nbytes])
        del self._received
        self.data_received(data)

    def data_received(self, data: bytes) -> None:
        self.has_received = True
        if self.memory is None or self.memory.charge(len(data)):
            self.input_accepted()
            super().data_received(data)

    def input_accepted(self) -> None:
        """Record that bytes were received and are kept."""


class TimedProtocol(ChargedProtocol):
    """Records a lower bound of when received bytes entered the kernel's buffer."""

    unseen_since_ns: int | None = None  # for the first bytes received since ``take_since``

    def input_accepted(self) -> None:
        if self.unseen_since_ns is None:
            self.unseen_since_ns = unseen_since_ns()

    def take_since(self) -> int | None:
        since_ns, self.unseen_since_ns = self.unseen_since_ns, None
        return since_ns


_in_memory: "WeakSet[HttpConnection]" = WeakSet()


def count_in_memory() -> int:
    """Return how many connections are in memory, those that have ended among them."""
    return len(_in_memory)


class HttpConnection:
    """One HTTP/1.1 connection: an h11 state machine on a pair of asyncio streams."""

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER], reader: Any, writer: Any) -> None:
        self.reader: asyncio.StreamReader = reader
        self.writer: asyncio.StreamWriter = writer
        self.h11 = h11.Connection(role, max_incomplete_event_size=HEAD_LIMIT)
        self._framing = FramingLimits(self.h11, BODY_LIMIT)
        self._next_step_cost_ns = STEP_NS
        self._step_flow = StepFlow(
            StepPriority.NEW_REQUEST if role is h11.SERVER else StepPriority.OPEN_REQUEST
        )
        self.is_waiting_for_step = False  # whether received bytes wait for their turn
        # number of the server's exclusions and inclusions when this connection was opened
        self.generation = 0
        self.read_count = 0
        self.timed_protocol: TimedProtocol | None = None  # set if arrival times are recorded
        self.memory: MemoryAccount | None = None  # set if the process bounds what it holds
        self.partial_body = ByteBlocks()  # of the message that is being read
        self.unparsed_bytes = 0  # received and not returned by ``poll``, without incomplete heads
        self._on_evicted: Callable[[], None] | None = None  # during an exchange with a server
        self._memory_standing = Standing.NO_REQUEST
        _in_memory.add(self)
        # lower bound of when the bytes of the last read arrived
        self.received_since_ns: int | None = None
        self.idle_us = -1  # idle time before the current request; -1: a new connection

    @classmethod
    async def from_socket(
        cls,
        sock: socket.socket,
        role: type[h11.CLIENT] | type[h11.SERVER],
        budget: MemoryBudget | None = None,
    ) -> "HttpConnection":
        """Wrap a connected socket; what arrives on it is charged to ``budget``."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(CLIENT_READER_LIMIT, loop)
        protocol = TimedProtocol(reader)
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
        except BaseException:
            sock.close()
            raise
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            # Prevents the kernel from holding back events until earlier ones are acknowledged.
            # asyncio sets this option only if the socket states its protocol, which accepted
            # sockets do not.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        transport.set_write_buffer_limits(CLIENT_WRITE_LIMIT)
        wire = cls(role, reader, asyncio.StreamWriter(transport, protocol, reader, loop))
        wire.timed_protocol = protocol
        if budget is not None:
            wire.memory = protocol.memory = budget.open(
                wire._drop_input, lambda: wire._memory_standing
            )
        return wire

    def charge_to(self, budget: MemoryBudget) -> None:
        """Charge what arrives on a connection to a server, which ``ChargedProtocol`` reads."""
        protocol = self.writer.transport.get_protocol()
        assert isinstance(protocol, ChargedProtocol)
        self.memory = protocol.memory = budget.open(
            self._end_exchange, lambda: self._memory_standing
        )

    def limit_chunks(self, max_bytes: int) -> None:
        """Set the largest chunk that is accepted, in bytes, if it is not that of usual bodies."""
        self._framing.max_chunk_bytes = max_bytes

    def begin_exchange(self, on_evicted: Callable[[], None]) -> None:
        """Charge what arrives to an exchange, until the next cycle.

        ``on_evicted`` is called if the exchange holds too much, and must end it.
        """
        self._memory_standing, self._on_evicted = Standing.EXCHANGE, on_evicted

    def _end_exchange(self) -> None:
        clear_buffer(self.reader)
        (self._on_evicted or self.abort)()

    def _drop_input(self) -> None:
        """Drop what was received; the message that is being read fails."""
        clear_buffer(self.reader)
        self.partial_body.clear()
        if not self.reader.at_eof():
            self.reader.feed_data(WAKE_UP_BYTE)

    @property
    def out_of_memory(self) -> bool:
        """Whether the connection's input was dropped because the process holds too much."""
        return self.memory is not None and self.memory.is_evicted

    def protect_memory(self) -> None:
        """Keep what is held, which belongs to an open request now."""
        self._memory_standing = Standing.PROTECTED

    def settle_memory(self) -> None:
        """Hold no more than what is still to be parsed: the message has been answered or failed."""
        self._memory_standing, self._on_evicted = Standing.NO_REQUEST, None
        if self.memory is not None:
            self.memory.settle(len(self.h11.trailing_data[0]) + buffered_bytes(self.reader))

    def dispose(self) -> None:
        """Let go of what is held for the connection, which has ended and is not used any more."""
        clear_buffer(self.reader)
        self.partial_body.clear()
        self._on_evicted = None
        # The frames of a connection error refer to the connection, which keeps the error.
        if (error := self.reader.exception()) is not None:
            error.__traceback__ = None
        if self.memory is not None:
            self.memory.close()

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event.

        Raises HttpError if the peer closes within a message or breaks the protocol.
        """
        while True:
            if not self.out_of_memory:
                await self.begin_step()
            if self.out_of_memory:
                raise OutOfMemoryError
            if (event := self.poll()) is not None:
                return event
            await self.read_more()

    async def begin_step(self) -> None:
        """Wait for the turn of this connection to parse what it has received."""
        cost_ns, self._next_step_cost_ns = self._next_step_cost_ns, STEP_NS
        if self._step_flow.try_begin_step(cost_ns):
            return
        self.is_waiting_for_step = True
        try:
            await self._step_flow.wait_for_step(cost_ns)
        finally:
            self.is_waiting_for_step = False

    def poll(self) -> h11.Event | type[h11.PAUSED] | None:
        """Return the next event from bytes already received; None if more bytes are needed."""
        if self._framing.has_too_many_lines():
            raise HttpError("too many header lines", TOO_MANY_LINES_STATUS)
        if self._framing.has_oversized_chunk():
            limit = self._framing.max_chunk_bytes
            raise HttpError(f"a chunk states more than {limit:,} bytes", TOO_LARGE_STATUS)
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as error:
            raise HttpError(str(error), error.error_status_hint) from error
        if event is h11.NEED_DATA:
            self.unparsed_bytes = 0
            return None
        if isinstance(event, h11.Data):
            self.unparsed_bytes -= len(event.data)
        elif isinstance(event, h11.Request):
            self._charge_fields(len(event.headers))
        self._framing.parsed(event)  # type: ignore[arg-type]
        return event  # type: ignore[return-value]

    def _charge_fields(self, count: int) -> None:
        """Charge a parsed head, whose short fields take far more than their bytes."""
        if self.memory is not None and not self.memory.charge(count * FIELD_BYTES):
            raise OutOfMemoryError

    def start_next_cycle(self) -> None:
        """Prepare for the next message once both sides have ended the present one."""
        self.h11.start_next_cycle()
        self._framing.begin_message()
        self.settle_memory()

    async def read_more(self) -> None:
        """Read once and pass the bytes, or the end of the stream, to h11."""
        try:
            data = await self.reader.read(READ_BYTES)
        except OSError as error:
            raise HttpError(f"connection lost: {error}") from error
        self.read_count += 1
        self.received_since_ns = (
            self.timed_protocol.take_since() if self.timed_protocol is not None else None
        )
        self.receive(data)

    def receive(self, data: bytes) -> None:
        """Pass bytes that were read from the connection, or the end of the stream, to h11."""
        try:
            self.h11.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            raise HttpError(str(error)) from error
        self.unparsed_bytes += len(data)
        head_lines = self._framing.received(data)
        self._next_step_cost_ns += input_cost_ns(len(data), head_lines)

    @property
    def is_between_chunks(self) -> bool:
        """Whether the next byte to come is the first one of a chunk of the present body."""
        body = self._framing.chunked_body
        return body is not None and body.is_between_chunks

    @property
    def pending(self) -> bool:
        """Whether h11 holds received bytes that are not part of a returned event."""
        return bool(self.h11.trailing_data[0])

    def write(self, *events: h11.Event) -> None:
        """Write all events in one gathered write."""
        parts: list[bytes] = []
        for event in events:
            parts += self.h11.send_with_data_passthrough(event) or ()
        if parts and not self.writer.is_closing():
            self.writer.writelines(parts)

    @property
    def written(self) -> bool:
        """Whether the kernel has accepted everything written."""
        transport = self.writer.transport
        return transport.get_write_buffer_size() == 0 and not transport.is_closing()

    @property
    def unsent(self) -> bool:
        """Whether the kernel has certainly not accepted everything written.

        If the connection is aborted now, the rest is never sent.
        """
        transport = self.writer.transport
        return transport.get_write_buffer_size() > 0 and not transport.is_closing()

    def acknowledged(self) -> bool | None:
        """Return whether the peer's kernel has acknowledged everything; None if unknown."""
        transport = self.writer.transport
        if transport.is_closing():
            return None
        if transport.get_write_buffer_size() > 0:
            return False
        return acknowledged(self.writer.get_extra_info("socket"))

    async def flush(self) -> None:
        """Wait until the kernel has accepted everything written; OSError if the connection breaks."""
        if self.written:
            return
        self.writer.transport.set_write_buffer_limits(high=0)
        await self.writer.drain()
        if not self.written:
            raise ConnectionResetError("closed while writing")

    @property
    def stale(self) -> bool:
        """Whether the peer has closed an idle connection, or has sent bytes without a request."""
        # Asks the kernel too: the event loop may not have read a close or a second response yet.
        return has_ended(self.reader, self.writer) or self.pending or self.unread

    @property
    def unread(self) -> bool:
        """Whether bytes, or the end of the stream, wait in the stream's buffer or in the kernel."""
        return buffered_bytes(self.reader) > 0 or bool(poll_socket(self.writer, select.POLLIN))

    @property
    def hung_up(self) -> bool:
        return hung_up(self.reader, self.writer)

    @property
    def is_broken(self) -> bool:
        """Whether the peer takes nothing any more, because it has reset or both sides have ended."""
        return self.writer.is_closing() or bool(poll_socket(self.writer, 0))

    def abort(self) -> None:
        """Close at once; data that is not yet written is discarded."""
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()


def buffered_bytes(reader: asyncio.StreamReader) -> int:
    """Return the number of bytes that a stream has received and nobody has read."""
    return len(getattr(reader, "_buffer", b""))


def clear_buffer(reader: asyncio.StreamReader) -> None:
    """Drop what a stream has received and nobody has read."""
    getattr(reader, "_buffer", bytearray()).clear()


def hung_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has ended its side or reset, by asyncio's or the kernel's knowledge."""
    return has_ended(reader, writer) or bool(poll_socket(writer, select.POLLRDHUP))


def has_ended(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Return whether asyncio has seen the end of the connection."""
    return writer.is_closing() or reader.at_eof() or reader.exception() is not None


def poll_socket(writer: asyncio.StreamWriter, events: int) -> int:
    """Return the events that the kernel reports on a connection.

    These are those of ``events``, an error, or a hang-up. A connection that asyncio has closed has
    hung up: after a reset it closes the socket one turn of the event loop before the tasks that
    use the connection are told.
    """
    descriptor = writer.get_extra_info("socket").fileno()
    if descriptor < 0:
        return select.POLLHUP
    poller = select.poll()
    poller.register(descriptor, events)
    return sum(returned for _, returned in poller.poll(0))


async def drain_input(
    wire: HttpConnection, wheel: TimerWheel, timeout_us: int = DRAIN_TIMEOUT_US
) -> None:
    """End this side, and discard input for a moment before the close.

    A close with unread input resets the connection, and the reset may overtake the response.
    """
    if wire.writer.can_write_eof() and not wire.writer.is_closing():
        wire.writer.write_eof()
    try:
        async with wheel.timeout(timeout_us):
            for _ in range(MAX_DRAIN_READS):
                if not await wire.reader.read(READ_BYTES):
                    return
    except (OSError, TimeoutError):
        return


async def read_body(wire: HttpConnection, max_bytes: int = BODY_LIMIT) -> bytes:
    """Return the rest of the message's body; HttpError with 413 if it exceeds ``max_bytes``."""
    body = wire.partial_body
    try:
        while True:
            event = await wire.next_event()
            if isinstance(event, h11.Data):
                if body.size + len(event.data) > max_bytes:
                    raise HttpError("body too large", TOO_LARGE_STATUS)
                body.append(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return body.take()
            else:
                raise HttpError("ended within a body", 400)
    finally:
        body.clear()


def header(
    message: h11.Request | h11.Response | h11.InformationalResponse, name: bytes
) -> bytes | None:
    for key, value in message.headers:
        if key == name:
            return bytes(value)
    return None
