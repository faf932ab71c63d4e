"""What replicas send: heads, whole chunks, whole events. What does not fit is ``HttpError``, never
passed on.
"""

import json
import re

import h11

from onyxpass.core.timer_wheel import Timeout, TimerWheel
from onyxpass.net.http import BODY_LIMIT, HttpConnection, HttpError, header

EVENT_MOST = BODY_LIMIT  # of one event, and of one chunk
TAIL = 512  # bytes of the last events in which the usage may stand
USAGE = re.compile(rb'"completion_tokens"\s*:\s*([0-9]{1,9})')
PART_US = 1_000_000  # from the first bytes of a head, chunk or small body to its last
BLANK_LINES = (b"\n\n", b"\n\r\n", b"\r\r")
Part = h11.Event | type[h11.PAUSED] | bytes  # of an answer: its head, a whole chunk, its end
FIELDS = (b"data", b"event", b"id", b"retry", b"")  # the last: a comment


class Spoilt(HttpError):
    """An answer that had begun and is no use: its request has run, and the state that it needed
    is gone.
    """


class Nudged(Exception):
    """A wait between two chunks was ended from outside; nothing is lost."""


class ResponseReader:
    """One answer from a replica. Gives heads, the end, and the body as bytes, each chunk whole."""

    def __init__(self, wire: HttpConnection, wheel: TimerWheel) -> None:
        self.wire, self.wheel = wire, wheel
        self.begun = False  # whether anything of the answer has come
        self.chunked = False
        self._wait: Timeout | None = None  # at present, with nothing of a next part there
        self._nudged = False
        self._parts: list[bytes] = []
        self._tail = b""  # how the last whole chunk ended
        self._size = self._due_us = 0
        self._ahead: h11.Event | type[h11.PAUSED] | None = None

    @property
    def between(self) -> bool:
        """Whether all that has come are whole chunks, and the line's end of the last one with
        them.
        """
        # a chunk's own end that looks alike proves nothing
        ended = self.wire.last == b"\r\n" != self._tail
        return self.chunked and ended and not (self._parts or self._ahead or self.wire.pending)

    def nudge(self) -> None:
        if self._wait is not None:
            self._nudged = True
            self._wait.expire()

    async def next(self, quiet_us: int | None = None) -> Part:
        """``quiet_us``: how long nothing at all may come; what has begun has its own time."""
        while True:
            event, self._ahead = self._ahead, None
            if event is None:
                event = self.wire.poll()
            if event is None:
                await self._fill(quiet_us)
            elif isinstance(event, h11.Data):
                if (part := self._take(event)) is not None:
                    return part
            else:
                self._due_us, self.begun = 0, True
                if isinstance(event, h11.Response):
                    self.chunked = is_chunked(event)
                return event

    def _take(self, event: h11.Data) -> bytes | None:
        self._parts.append(bytes(event.data))
        self._size += len(event.data)
        if self._size > EVENT_MOST:  # guards against a chunk of gigabytes that keeps coming
            raise HttpError("a chunk that does not end")
        if self.chunked and not event.chunk_end:
            return None
        # Guards against a chunk whose size does not fit: what follows is looked at before it is
        # passed on.
        self._ahead = self.wire.poll()
        part = b"".join(self._parts)
        self._parts, self._size, self._due_us = [], 0, 0
        self._tail = part[-2:]
        return part

    async def _fill(self, quiet_us: int | None) -> None:
        """Guards against a head or chunk that begins and goes no further, on a connection that
        stays open.
        """
        part = bool(self._parts) or self.wire.pending
        if not part and quiet_us is None:  # the attempt's own timer ends the wait
            await self.wire.fill()
        else:
            now_us = self.wheel.clock.now_us()
            if part and not self._due_us:
                self._due_us = now_us + PART_US
            limit = self.wheel.timeout(self._due_us - now_us if part else quiet_us or 0)
            try:
                async with limit:
                    self._wait = None if part else limit
                    await self.wire.fill()
            except TimeoutError:
                if self._nudged:
                    self._nudged = False
                    raise Nudged from None
                raise HttpError(
                    "a head or chunk that does not end" if part else "silence"
                ) from None
            finally:
                self._wait = None
        self.begun = self.begun or self.wire.pending


class EventSplitter:
    """Cuts a body into whole server-sent events, byte for byte; the first must be well formed."""

    def __init__(self, rest: bytes | None = None) -> None:
        """``rest``: of a stream whose first event has been seen elsewhere, what is there of the
        next one.
        """
        self._rest = bytearray(rest or b"")
        self._sound = rest is not None
        self.tail = b""  # of what has been cut off so far

    def feed(self, data: bytes) -> bytes:
        """All events that are whole by now, once the first that carries data is among them."""
        looked = max(0, len(self._rest) - 2)
        self._rest += data
        end = max(
            at + len(b) if (at := self._rest.rfind(b, looked)) >= 0 else 0 for b in BLANK_LINES
        )
        if end and not self._sound:
            self._sound = opens(bytes(self._rest[:end]))
        if not end or not self._sound:
            if len(self._rest) > EVENT_MOST:  # guards against an event without an end
                raise HttpError("an event that does not end")
            return b""
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        self.tail = whole if len(whole) >= TAIL else (self.tail + whole)[-TAIL:]
        return whole

    def tokens(self) -> int:
        """Of the answer, as its last events tell; 0 if they do not."""
        told = USAGE.findall(self.tail)
        return min(BODY_LIMIT, int(told[-1])) if told else 0

    @property
    def partial_event(self) -> bytes:
        """The part of the next event that has come."""
        return bytes(self._rest)

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._rest)


def opens(text: bytes) -> bool:
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
            if line and name.encode() not in FIELDS:
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
    except (ValueError, RecursionError) as problem:
        raise HttpError(f"not an event: {type(problem).__name__}") from problem
    return True


def is_chunked(response: h11.Response) -> bool:
    return (header(response, b"transfer-encoding") or b"").lower().endswith(b"chunked")


def framed(response: h11.Response) -> bool:
    """Whether the end of the body can be told from a connection that broke."""
    return is_chunked(response) or header(response, b"content-length") is not None
