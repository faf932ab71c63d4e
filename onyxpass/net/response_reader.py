"""Parses responses of replicas into heads, complete chunks, and their ends.

Invalid framing raises ``HttpError`` and is not forwarded.
"""

import h11

from onyxpass.core.timer_wheel import Timeout, TimerWheel
from onyxpass.net.event_stream import MAX_EVENT_BYTES, EventSplitter
from onyxpass.net.framing_limits import is_chunked
from onyxpass.net.http import HttpConnection, HttpError, buffered_bytes, header
from onyxpass.net.response_deadline import ResponseDeadline, Wait

# part of a response: its head, a complete chunk, or its end
Part = h11.Event | type[h11.PAUSED] | bytes


class CorruptResponseError(HttpError):
    """A response that became invalid or stalled after it had begun.

    Its request has run, and the state that the request used is gone.
    """


class WaitInterrupted(Exception):
    """A wait between two chunks was interrupted; no data is lost."""


class ResponseReader:
    """Reads one response: its heads, its body (by complete chunks if chunked), and its end."""

    def __init__(self, wire: HttpConnection, wheel: TimerWheel) -> None:
        self.wire, self.wheel = wire, wheel
        self.begun = False  # whether any byte of the response was received
        self.events: EventSplitter | None = None  # of the body, if it is a stream of events
        self.chunked = False
        # time limit of the present wait, if no byte of the next part is there
        self._wait: Timeout | None = None
        self._interrupted = False
        # Whether the client has a part of the stream: incomplete chunks are returned as they come,
        # for the events within them, and an event may take longer than before.
        self.forwarding = False
        self._parts: list[bytes] = []
        self._within_chunk = False  # a part of an incomplete chunk was returned
        self._size = 0
        self._in_body = False
        self._deadline = ResponseDeadline()
        self._lookahead: h11.Event | type[h11.PAUSED] | None = None

    @property
    def at_chunk_boundary(self) -> bool:
        """Whether all bytes received form complete chunks, each with its line end."""
        return self.wire.is_between_chunks and not (self._lookahead or self._chunk_begun)

    @property
    def _chunk_begun(self) -> bool:
        """Whether a head or chunk is partly received."""
        return bool(self._parts) or self._within_chunk or self.wire.pending

    @property
    def held_bytes(self) -> int:
        """Bytes that were received and not returned; an incomplete head counts until it is parsed."""
        return self._size + self.wire.unparsed_bytes + buffered_bytes(self.wire.reader)

    def drop(self) -> None:
        """Drop what was received and not returned, before the exchange has ended."""
        self._parts, self._size, self._lookahead = [], 0, None
        if self.events is not None:
            self.events.clear()

    def settle(self, returned_bytes: int) -> None:
        """Charge the exchange with what is held now, of it ``returned_bytes`` of what was returned.

        Does nothing while all that has arrived since the last time is free of charge.
        """
        if (memory := self.wire.memory) is not None and memory.charged_bytes:
            memory.settle(self.held_bytes + returned_bytes)

    def interrupt_wait(self) -> None:
        """Interrupt the present wait for the next part, or the next such wait if there is none."""
        self._interrupted = True
        if self._wait is not None:
            self._wait.expire()

    def event_completed(self) -> None:
        """Record that an event with data is complete; the time of the next one counts from here."""
        self._deadline.part_completed(self.wheel.clock.now_us())

    async def next(self, silence_us: int | None = None) -> Part:
        """Return the next part.

        ``silence_us`` limits a wait in which nothing has begun; ``ResponseDeadline`` decides how
        long what has begun may take.
        """
        while True:
            if self.wire.out_of_memory:
                raise HttpError("too much is held for other requests")
            await self.wire.begin_step()
            event, self._lookahead = self._lookahead, None
            if event is None:
                event = self.wire.poll()
            if event is None:
                await self._read_more(silence_us)
            elif isinstance(event, h11.Data):
                self._deadline.content_received(self.wheel.clock.now_us())
                if (part := self._add_data(event)) is not None:
                    return part
            else:
                self.event_completed()
                self.begun = True
                if isinstance(event, h11.Response):
                    self._begin_body(event)
                return event

    def _begin_body(self, head: h11.Response) -> None:
        self.chunked, self._in_body = is_chunked(head), True
        length = header(head, b"content-length")
        if length is not None and int(length) > MAX_EVENT_BYTES:
            raise HttpError("a body exceeds the size limit")

    def _add_data(self, event: h11.Data) -> bytes | None:
        self._parts.append(bytes(event.data))
        self._size += len(event.data)
        if self._size > MAX_EVENT_BYTES:  # prevents a chunk of gigabytes from filling the memory
            raise HttpError("a chunk exceeds the size limit")
        complete = bool(event.chunk_end) or not self.chunked
        if not complete and not self.forwarding:
            return None
        self._within_chunk = not complete
        # Parses what follows before the chunk is forwarded, to detect a wrong chunk size.
        self._lookahead = self.wire.poll()
        part = b"".join(self._parts)
        self._parts, self._size = [], 0
        return part

    async def _read_more(self, silence_us: int | None) -> None:
        """Read more bytes; HttpError if none come for too long."""
        wait = self._next_wait(silence_us)
        if self._interrupted and not self._chunk_begun:
            self._interrupted = False
            raise WaitInterrupted
        if not wait.begun and silence_us is None:  # the timer of the attempt ends the wait
            await self.wire.read_more()
        else:
            await self._read_in_time(wait)
        if not self._in_body:
            self._deadline.content_received(self.wheel.clock.now_us())
        self.begun = self.begun or self.wire.pending

    def _next_wait(self, silence_us: int | None) -> Wait:
        wait = Wait(silence_us or 0, begun=self._chunk_begun, forwarding=self.forwarding)
        if (events := self.events) is not None:
            wait.begun = wait.begun or events.has_partial_event
            wait.within_event = events.has_partial_event and not events.partial_is_comment
            within_body = self._within_chunk or not self.chunked
            wait.within_body_after_end = events.has_last_event and within_body
        return wait

    async def _read_in_time(self, wait: Wait) -> None:
        can_interrupt = not self._chunk_begun
        now_us = self.wheel.clock.now_us()
        timeout = self.wheel.timeout(self._deadline.due_us(wait, now_us) - now_us)
        try:
            async with timeout:
                self._wait = timeout if can_interrupt else None
                await self.wire.read_more()
        except TimeoutError:
            if self._interrupted and can_interrupt:
                self._interrupted = False
                raise WaitInterrupted from None
            raise HttpError(
                "incomplete head or chunk timed out"
                if wait.begun
                else "no data within the time limit"
            ) from None
        finally:
            self._wait = None


def is_framed(response: h11.Response) -> bool:
    """Return whether the end of the body can be told from a broken connection."""
    return is_chunked(response) or header(response, b"content-length") is not None
