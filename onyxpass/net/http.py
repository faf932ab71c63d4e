"""HTTP/1.1 over asyncio streams with h11: heads parsed in place, written out with gathered
writes.
"""

import asyncio
import select
import socket
from typing import Any

import h11

from onyxpass.core.event_loop import unseen_since_ns
from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net.tcp import acknowledged

HEAD_LIMIT = 32 * 1024
BODY_LIMIT = 256 * 1024
CHUNK = 32 * 1024
# for a client to close once our side has; what it sends meanwhile is read, not served
CLIENT_CLOSE_TIMEOUT_US = 250_000
# what is still read of a bad message, so that its answer arrives
DRAIN_US, DRAIN_PARTS = 300_000, 16
HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection te trailer transfer-encoding".split()
    + b"upgrade expect content-length".split()
)


class HttpError(Exception):
    """The other side closed or sent what is not HTTP; ``status``: what a server may answer, 0
    for nothing.
    """

    def __init__(self, reason: str, status: int = 0) -> None:
        super().__init__(reason)
        self.status = status


class TimedProtocol(asyncio.StreamReaderProtocol):
    """Notes since when the bytes that come may have waited in the kernel."""

    unseen_since_ns: int | None = None  # of the first bytes since ``take_since``

    def data_received(self, data: bytes) -> None:
        if self.unseen_since_ns is None:
            self.unseen_since_ns = unseen_since_ns()
        super().data_received(data)

    def take_since(self) -> int | None:
        since_ns, self.unseen_since_ns = self.unseen_since_ns, None
        return since_ns


class HttpConnection:
    """One connection: an h11 state machine on a pair of asyncio streams."""

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER], reader: Any, writer: Any) -> None:
        self.reader: asyncio.StreamReader = reader
        self.writer: asyncio.StreamWriter = writer
        self.h11 = h11.Connection(role, max_incomplete_event_size=HEAD_LIMIT)
        self.born = 0  # which life of its server it was opened in
        self.pieces = 0  # in which what came so far has come
        self.last = b""  # the last two bytes that came
        self.timed: TimedProtocol | None = None  # where a client's time counts from its first byte
        self.since_ns: int | None = None  # a bound of when what was taken in last can have come
        self.kept_us = -1  # how long it stood idle before its present request; -1: it is new

    @classmethod
    async def over(
        cls, sock: socket.socket, role: type[h11.CLIENT] | type[h11.SERVER]
    ) -> "HttpConnection":
        """A wire on a connection that is there already."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(CHUNK, loop)
        protocol = TimedProtocol(reader)
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
        except BaseException:
            sock.close()
            raise
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            # Guards against events held back till the client has acknowledged the ones before:
            # asyncio does
            # this only for sockets that name their protocol, and what a listener accepts does not.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        wire = cls(role, reader, asyncio.StreamWriter(transport, protocol, reader, loop))
        wire.timed = protocol
        return wire

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """The next event. HttpError if the other side ends within a message or breaks the protocol."""
        while (event := self.poll()) is None:
            await self.fill()
        return event

    def poll(self) -> h11.Event | type[h11.PAUSED] | None:
        """The next event of what has come already; None if more is needed for one."""
        try:
            event = self.h11.next_event()
        except h11.RemoteProtocolError as problem:
            raise HttpError(str(problem), problem.error_status_hint) from problem
        return None if event is h11.NEED_DATA else event  # type: ignore[return-value]

    async def fill(self) -> None:
        """Take in what comes next, be it the end."""
        try:
            data = await self.reader.read(CHUNK)
        except OSError as problem:
            raise HttpError(f"connection lost: {problem}") from problem
        self.pieces += 1
        self.since_ns = self.timed.take_since() if self.timed is not None else None
        self.last = (self.last + data[-2:])[-2:]
        try:
            self.h11.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as problem:
            raise HttpError(str(problem)) from problem

    @property
    def pending(self) -> bool:
        """Whether bytes have come that are no whole event yet, or belong to none."""
        return bool(self.h11.trailing_data[0])

    def write(self, *events: h11.Event) -> None:
        """All the events in one gathered write."""
        parts: list[bytes] = []
        for event in events:
            parts += self.h11.send_with_data_passthrough(event) or ()
        if parts and not self.writer.is_closing():
            self.writer.writelines(parts)

    @property
    def written(self) -> bool:
        """Whether the kernel has taken all that was written."""
        transport = self.writer.transport
        return transport.get_write_buffer_size() == 0 and not transport.is_closing()

    @property
    def unsent(self) -> bool:
        """Whether it is proven that the kernel has not taken all: closed now, the rest never
        leaves.
        """
        transport = self.writer.transport
        return transport.get_write_buffer_size() > 0 and not transport.is_closing()

    def acknowledged(self) -> bool | None:
        """Whether the other side's kernel has acknowledged all that was written; None where this
        can't be told.
        """
        transport = self.writer.transport
        if transport.is_closing():
            return None
        if transport.get_write_buffer_size() > 0:
            return False
        return acknowledged(self.writer.get_extra_info("socket"))

    async def flush(self) -> None:
        """Wait till the kernel has taken all that was written; OSError if the connection breaks
        before.
        """
        if self.written:
            return
        self.writer.transport.set_write_buffer_limits(high=0)
        await self.writer.drain()
        if not self.written:
            raise ConnectionResetError("closed while writing")

    @property
    def stale(self) -> bool:
        """An idle connection that the other side has closed, or on which it has spoken out of
        turn.
        """
        # Guards against a close or a second answer that the loop has not read yet: the kernel knows
        # of it.
        return ended(self.reader, self.writer) or self.pending or self.unread

    @property
    def unread(self) -> bool:
        """Whether bytes, or the end, wait in the stream's buffer or in the kernel."""
        held = len(getattr(self.reader, "_buffer", b"")) > 0
        return held or bool(kernel_tells(self.writer, select.POLLIN))

    @property
    def hung_up(self) -> bool:
        return hung_up(self.reader, self.writer)

    def abort(self) -> None:
        """Close at once; what is not yet written never is."""
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()


def hung_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Whether the other side has ended its sending or broken, by the kernel's word if not yet by
    ours.
    """
    return ended(reader, writer) or bool(kernel_tells(writer, select.POLLRDHUP))


def ended(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Whether this process knows that nothing more comes."""
    return writer.is_closing() or reader.at_eof() or reader.exception() is not None


def kernel_tells(writer: asyncio.StreamWriter, events: int) -> int:
    """Which of these events, or a break, the kernel knows of on a connection that is open here."""
    asked = select.poll()
    asked.register(writer.get_extra_info("socket"), events)
    return sum(found for _, found in asked.poll(0))


async def drain_input(wire: HttpConnection, wheel: TimerWheel, most_us: int = DRAIN_US) -> None:
    """Guards against a reset that outruns the answer: end our side, and read on a moment before
    closing.
    """
    if wire.writer.can_write_eof() and not wire.writer.is_closing():
        wire.writer.write_eof()
    try:
        async with wheel.timeout(most_us):
            for _ in range(DRAIN_PARTS):
                if not await wire.reader.read(CHUNK):
                    return
    except (OSError, TimeoutError):
        return


async def read_body(wire: HttpConnection, most: int = BODY_LIMIT) -> bytes:
    """The rest of the message's body; HttpError with 413 if it is larger than ``most``."""
    parts: list[bytes] = []
    size = 0
    while True:
        event = await wire.next_event()
        if isinstance(event, h11.Data):
            size += len(event.data)
            if size > most:
                raise HttpError("body too large", 413)
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return b"".join(parts)
        else:
            raise HttpError("ended within a body", 400)


def header(
    message: h11.Request | h11.Response | h11.InformationalResponse, name: bytes
) -> bytes | None:
    for key, value in message.headers:
        if key == name:
            return bytes(value)
    return None
