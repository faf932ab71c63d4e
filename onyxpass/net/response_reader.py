"""What replicas send: heads, whole chunks, whole events. What does not fit is ``HttpError``, never
passed on.
"""

import json
import re

import h11

from onyxpass.core.timer_wheel import Limit, TimerWheel
from onyxpass.net.http import BODY_LIMIT, HttpConnection, HttpError, header

MAX_EVENT_BYTES = BODY_LIMIT  # of one event, and of one chunk
TAIL_BYTES = 512  # bytes of the last events in which the usage may stand
USAGE_PATTERN = re.compile(rb'"completion_tokens"\s*:\s*([0-9]{1,9})')
PART_TIMEOUT_US = 1_000_000  # from the first bytes of a head, chunk or small body to its last
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
Part = h11.Event | type[h11.PAUSED] | bytes  # of an answer: its head, a whole chunk, its end
EVENT_FIELDS = (b"data", b"event", b"id", b"retry", b"")  # the last: a comment


class CorruptResponseError(HttpError):
    """An answer that had begun and is no use: its request has run, and the state that it needed
    is gone.
    """


class WaitInterrupted(Exception):
    """A wait between two chunks was ended from outside; nothing is lost."""


class ResponseReader:
    """One answer from a replica. Gives heads, the end, and the body as bytes, each chunk whole."""

    def __init__(self, wire: HttpConnection, wheel: TimerWheel) -> None:
        self.wire, self.wheel = wire, wheel
        self.begun = False  # whether anything of the answer has come
        self.chunked = False
        self._wait: Limit | None = None  # at present, with nothing of a next part there
        self._interrupted = False
        self._parts: list[bytes] = []
        self._last_chunk_end = b""  # how the last whole chunk ended
        self._size = self._due_us = 0
        self._lookahead: h11.Event | type[h11.PAUSED] | None = None

    @property
    def at_chunk_boundary(self) -> bool:
        """Whether all that has come are whole chunks, and the line's end of the last one with
        them.
        """
        # a chunk's own end that looks alike proves nothing
        ended = self.wire.last_two_bytes == b"\r\n" != self._last_chunk_end
        return self.chunked and ended and not (self._parts or self._lookahead or self.wire.pending)

    def interrupt_wait(self) -> None:
        if self._wait is not None:
            self._interrupted = True
            self._wait.expire()

    async def next(self, silence_us: int | None = None) -> Part:
        """``silence_us``: how long nothing at all may come; what has begun has its own time."""
        while True:
            event, self._lookahead = self._lookahead, None
            if event is None:
                event = self.wire.poll()
            if event is None:
                await self._read_more(silence_us)
            elif isinstance(event, h11.Data):
                if (part := self._add_data(event)) is not None:
                    return part
            else:
                self._due_us, self.begun = 0, True
                if isinstance(event, h11.Response):
                    self.chunked = is_chunked(event)
                return event

    def _add_data(self, event: h11.Data) -> bytes | None:
        self._parts.append(bytes(event.data))
        self._size += len(event.data)
        if self._size > MAX_EVENT_BYTES:  # guards against a chunk of gigabytes that keeps coming
            raise HttpError("a chunk that does not end")
        if self.chunked and not event.chunk_end:
            return None
        # Guards against a chunk whose size does not fit: what follows is looked at before it is
        # passed on.
        self._lookahead = self.wire.poll()
        part = b"".join(self._parts)
        self._parts, self._size, self._due_us = [], 0, 0
        self._last_chunk_end = part[-2:]
        return part

    async def _read_more(self, silence_us: int | None) -> None:
        """Guards against a head or chunk that begins and goes no further, on a connection that
        stays open.
        """
        part = bool(self._parts) or self.wire.pending
        if not part and silence_us is None:  # the attempt's own timer ends the wait
            await self.wire.read_more()
        else:
            now_us = self.wheel.clock.now_us()
            if part and not self._due_us:
                self._due_us = now_us + PART_TIMEOUT_US
            limit = self.wheel.limit(self._due_us - now_us if part else silence_us or 0)
            try:
                async with limit:
                    self._wait = None if part else limit
                    await self.wire.read_more()
            except TimeoutError:
                if self._interrupted:
                    self._interrupted = False
                    raise WaitInterrupted from None
                raise HttpError(
                    "a head or chunk that does not end" if part else "silence"
                ) from None
            finally:
                self._wait = None
        self.begun = self.begun or self.wire.pending


class EventSplitter:
    """Cuts a body into whole server-sent events, byte for byte; the first must be well formed."""

    def __init__(self, partial: bytes | None = None) -> None:
        """``rest``: of a stream whose first event has been seen elsewhere, what is there of the
        next one.
        """
        self._partial = bytearray(partial or b"")
        self._opened = partial is not None
        self.tail = b""  # of what has been cut off so far

    def feed(self, data: bytes) -> bytes:
        """All events that are whole by now, once the first that carries data is among them."""
        looked = max(0, len(self._partial) - 2)
        self._partial += data
        end = max(
            at + len(b) if (at := self._partial.rfind(b, looked)) >= 0 else 0 for b in EVENT_ENDS
        )
        if end and not self._opened:
            self._opened = has_data_event(bytes(self._partial[:end]))
        if not end or not self._opened:
            if len(self._partial) > MAX_EVENT_BYTES:  # guards against an event without an end
                raise HttpError("an event that does not end")
            return b""
        whole = bytes(self._partial[:end])
        del self._partial[:end]
        self.tail = whole if len(whole) >= TAIL_BYTES else (self.tail + whole)[-TAIL_BYTES:]
        return whole

    def tokens(self) -> int:
        """Of the answer, as its last events tell; 0 if they do not."""
        told = USAGE_PATTERN.findall(self.tail)
        return min(BODY_LIMIT, int(told[-1])) if told else 0

    @property
    def partial_event(self) -> bytes:
        """The part of the next event that has come."""
        return bytes(self._partial)

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._partial)


def has_data_event(text: bytes) -> bool:
    """Whether these whole events hold one with data yet. HttpError: they are no events of an
    answer.
    """
    data: list[str] = []
    try:
        lines = (
            text.decode("utf-8").removeprefix("\ufeff").replace("\r\n", "\n").replace("\r", "\n")
        )
        for line in lines.split("\n"):
            name, _, value = line.partition(":")
            if line and name.encode() not in EVENT_FIELDS:
                raise HttpError("not an event")
            if line and name == "data":
                data.append(value.removeprefix(" "))
            elif not line and data:
                break
        else:
            return False
        told = "\n".join(data)
        if told != "[DONE]" and not isinstance(json.loads(told), dict):
            raise HttpError("an event without an object")
    except (ValueError, RecursionError) as error:
        raise HttpError(f"not an event: {type(error).__name__}") from error
    return True


def is_chunked(response: h11.Response) -> bool:
    return (header(response, b"transfer-encoding") or b"").lower().endswith(b"chunked")


def is_framed(response: h11.Response) -> bool:
    """Whether the end of the body can be told from a connection that broke."""
    return is_chunked(response) or header(response, b"content-length") is not None
