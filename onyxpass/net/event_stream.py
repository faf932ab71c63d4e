"""Splits the body of a streamed response into complete server-sent events, unchanged.

An invalid first event raises ``HttpError`` and is not forwarded. Later events are not validated.
"""

import json
import re

from onyxpass.net.byte_blocks import ByteBlocks
from onyxpass.net.http import BODY_LIMIT, HttpError

MAX_EVENT_BYTES = BODY_LIMIT
TAIL_BYTES = 512  # last bytes of the stream that are searched for the usage
USAGE_PATTERN = re.compile(rb'"completion_tokens"\s*:\s*([0-9]{1,9})')
EVENT_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
END_OVERLAP = 2  # bytes of the end of an event that may have come with an earlier part
EVENT_FIELDS = (b"data", b"event", b"id", b"retry", b"")  # the empty name marks a comment
DATA_LINE_PATTERN = re.compile(rb"(?:\A|[\r\n])data[:\r\n]")
COMMENT_MARK = b":"
LAST_EVENT_DATA = "[DONE]"


class EventSplitter:
    """Splits a body into complete server-sent events, unchanged; the first one is validated."""

    def __init__(self, partial: bytes | None = None, has_last_event: bool = False) -> None:
        """Start a stream, or continue one whose first event was seen elsewhere.

        In the second case ``partial`` holds the bytes received of the next event, and
        ``has_last_event`` tells whether the last one of the stream was seen.
        """
        self._partial = ByteBlocks()  # of the next event
        self._partial.append(partial or b"")
        self._last_bytes = (partial or b"")[-END_OVERLAP:]  # of the next event
        self._comments = ByteBlocks()  # complete events before the first one with data
        self._opened = partial is not None
        # Whether the event that ends every complete answer has come.
        self.has_last_event = has_last_event
        # Whether it had come before the events returned last.
        self.ended_before_latest = has_last_event
        self.tail = b""  # last bytes of the events returned so far

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by ``data``.

        Nothing is returned until the first event with data is complete.
        """
        end = self._end_of_events(data)
        if end:
            self._partial.append(data[:end])
            data = data[end:]
            self._last_bytes = b""
        complete = self._open(self._partial.take()) if end else b""
        self._partial.append(data)
        self._last_bytes = (self._last_bytes + data)[-END_OVERLAP:]
        # prevents an event without an end from filling the memory
        if not complete and self.partial_bytes > MAX_EVENT_BYTES:
            raise HttpError("an event exceeds the size limit")
        if complete:
            self.ended_before_latest = self.has_last_event
            self.has_last_event = self.has_last_event or contains_last_event(complete)
            is_long = len(complete) >= TAIL_BYTES
            self.tail = complete if is_long else (self.tail + complete)[-TAIL_BYTES:]
        return complete

    def _end_of_events(self, data: bytes) -> int:
        """Return where in ``data`` the last complete event ends; 0 if none does."""
        searched = self._last_bytes + data
        ends = (searched.rfind(end) + len(end) for end in EVENT_ENDS if end in searched)
        return max(0, max(ends, default=0) - len(self._last_bytes))

    def _open(self, events: bytes) -> bytes:
        """Return complete events with those held back before; none before the first with data."""
        if self._opened:
            return events
        # Each event is validated once: a stream may begin with any number of comments.
        self._opened = has_data_event(events, is_first=self._comments.size == 0)
        self._comments.append(events)
        return self._comments.take() if self._opened else b""

    def clear(self) -> None:
        """Drop what was not returned; the stream can't be continued."""
        self._partial.clear()
        self._comments.clear()

    def tokens(self) -> int:
        """Return the completion tokens by the last events; 0 if they do not state them."""
        counts = USAGE_PATTERN.findall(self.tail)
        return min(BODY_LIMIT, int(counts[-1])) if counts else 0

    @property
    def partial_bytes(self) -> int:
        """The number of bytes received and not returned."""
        return self._partial.size + self._comments.size

    @property
    def partial_event(self) -> bytes:
        """The bytes received of the next event."""
        return self._partial.content()

    @property
    def has_partial_event(self) -> bool:
        """Whether an event is partly received."""
        return self._partial.size > 0

    @property
    def partial_is_comment(self) -> bool:
        """Whether the event that is partly received begins as a comment."""
        return self._partial.first_byte() == COMMENT_MARK


def split_event_lines(text: str) -> list[str]:
    """Return the lines of events, of which an empty one ends each event."""
    return text.replace("\r\n", "\n").replace("\r", "\n").split("\n")


def contains_last_event(events: bytes) -> bool:
    """Return whether one of these complete events is the last one of an answer."""
    if LAST_EVENT_DATA.encode() not in events:
        return False
    data: list[str] = []
    for line in split_event_lines(events.decode("utf-8", "replace")):
        name, _, value = line.partition(":")
        if name == "data":
            data.append(value.removeprefix(" "))
        elif not line:
            if data == [LAST_EVENT_DATA]:
                return True
            data = []
    return False


def contains_data(events: bytes) -> bool:
    """Return whether one of these complete events carries data, and is not only a comment."""
    return DATA_LINE_PATTERN.search(events) is not None


def has_data_event(text: bytes, is_first: bool = True) -> bool:
    """Return whether one of these complete events carries data.

    ``is_first``: the stream begins with them, and so perhaps with a byte order mark. Raises HttpError
    if they are not valid events of a response.
    """
    data: list[str] = []
    try:
        decoded = text.decode("utf-8")
        if is_first:
            decoded = decoded.removeprefix("\ufeff")
        for line in split_event_lines(decoded):
            name, _, value = line.partition(":")
            if line and name.encode() not in EVENT_FIELDS:
                raise HttpError("invalid server-sent event")
            if line and name == "data":
                data.append(value.removeprefix(" "))
            elif not line and data:
                break
        else:
            return False
        event_data = "\n".join(data)
        if event_data != LAST_EVENT_DATA and not isinstance(json.loads(event_data), dict):
            raise HttpError("event data is not a JSON object")
    except (ValueError, RecursionError) as error:
        raise HttpError(f"invalid server-sent event: {type(error).__name__}") from error
    return True
