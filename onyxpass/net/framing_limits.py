"""Bounds the lines of a head, and the framing of a chunked body, before they are parsed.

h11 parses all lines of a head in one step, whose time grows with their number, and bounds only
their bytes. It accepts chunks of any size, whose content it returns as it comes.
"""

import re

import h11

MAX_LINES = 1_000  # of one head with its first line, or of the trailers of one body
TOO_MANY_LINES_STATUS = 431  # Request Header Fields Too Large
BLANK_LINE_PATTERN = re.compile(rb"\n\r?\n")
BLANK_LINE_OVERLAP = 2  # bytes of a blank line's pattern that may have come with an earlier part
# the line end of a chunk, as far as it was not parsed with the chunk, and what has come of a size
STATED_SIZE_PATTERN = re.compile(rb"\r?\n?([0-9A-Fa-f]+)")
# the line end of a chunk, if it was not parsed with the chunk, and the size of a chunk with content
CHUNK_SIZE_PATTERN = re.compile(rb"(?:\r\n)?0*[1-9A-Fa-f][0-9A-Fa-f]*[ \t]*[;\r]")


class FramingLimits:
    """Bounds the lines, and the sizes of chunks, that one connection receives.

    Lines are counted for the present head or body; each part received is looked at once.
    """

    def __init__(self, connection: h11.Connection, max_chunk_bytes: int) -> None:
        self.max_chunk_bytes = max_chunk_bytes
        self.stated_bytes = 0  # the size that the latest chunk stated
        self._connection = connection
        # Of the message whose body is being received: whether it is chunked; None before its body.
        # The head itself is not kept, which may be large.
        self._is_chunked: bool | None = None
        self._head_complete = False
        self._last_bytes = b""
        self._head_lines = 0
        self._body_lines = 0
        self._at_chunk_end = False
        self._in_trailers = False

    def received(self, data: bytes) -> int:
        """Count the lines of ``data``, which h11 has received; return those of the present head."""
        if self._head_complete:
            self._body_lines += data.count(b"\n")
            return 0
        searched = self._last_bytes + data
        blank = BLANK_LINE_PATTERN.search(searched)
        head_end = len(data) if blank is None else blank.end() - len(self._last_bytes)
        self._head_complete = blank is not None
        self._last_bytes = searched[-BLANK_LINE_OVERLAP:]
        new_head_lines = data.count(b"\n", 0, head_end)
        self._head_lines += new_head_lines
        self._body_lines += data.count(b"\n", head_end)
        return new_head_lines

    def begin_message(self) -> None:
        """Count anew for the next message, of which some bytes may have been received."""
        self._is_chunked, self._head_complete, self._last_bytes = None, False, b""
        self._in_trailers = False
        self._head_lines = self._body_lines = 0
        self.received(self._buffered())

    def parsed(self, event: h11.Event | type[h11.PAUSED]) -> None:
        """Record what h11 has returned."""
        if isinstance(event, h11.Data):
            self._at_chunk_end = event.chunk_end
        elif isinstance(event, h11.InformationalResponse):
            self.begin_message()
        elif isinstance(event, h11.Request | h11.Response):
            self._is_chunked, self._at_chunk_end = is_chunked(event), True

    def chunk_is_too_large(self) -> bool:
        """Return whether the next chunk states a size over the limit.

        A size line that is incomplete counts as far as it has come.
        """
        if not self._is_chunked or not self._at_chunk_end or self._in_trailers:
            return False
        buffered = self._buffered()
        if (stated := STATED_SIZE_PATTERN.match(buffered)) is None:
            return False
        size = self.stated_bytes = int(stated[1], 16)
        # Prevents taking the name of a trailer for a size.
        self._in_trailers = size == 0 and b"\n" in buffered[stated.end() :]
        return size > self.max_chunk_bytes

    def has_too_many_lines(self) -> bool:
        """Return whether the next head, or the next trailers, have too many lines to be parsed."""
        if self._is_chunked is None:
            return self._head_lines > MAX_LINES
        if self._body_lines <= MAX_LINES or not self._at_chunk_end:
            return False
        return self._is_chunked and self._trailers_exceed()

    def _trailers_exceed(self) -> bool:
        """Return whether what follows the end of a chunk is no chunk, but too many lines."""
        buffered = self._buffered()
        if CHUNK_SIZE_PATTERN.match(buffered) is not None:
            return False
        blank = BLANK_LINE_PATTERN.search(buffered)
        return buffered.count(b"\n", 0, blank.start() if blank else len(buffered)) > MAX_LINES

    def _buffered(self) -> bytes:
        return bytes(self._connection.trailing_data[0])


def is_chunked(head: h11.Request | h11.Response) -> bool:
    """Return whether the body comes in chunks, the only transfer coding that h11 accepts."""
    return any(name == b"transfer-encoding" for name, _ in head.headers)
