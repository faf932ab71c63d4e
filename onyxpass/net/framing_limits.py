"""Bounds the lines of a head, and the framing of a chunked body, before they are parsed.

h11 parses all lines of a head in one step, whose time grows with their number, and bounds only
their bytes. It accepts chunks of any size, whose content it returns as it comes.
"""

import re

import h11

from onyxpass.net.chunked_body import ChunkedBody

MAX_LINES = 1_000  # of one head with its first line, or of the trailers of one body
TOO_MANY_LINES_STATUS = 431  # Request Header Fields Too Large
BLANK_LINE_PATTERN = re.compile(rb"\n\r?\n")
BLANK_LINE_OVERLAP = 2  # bytes of a blank line's pattern that may have come with an earlier part


class FramingLimits:
    """Bounds the lines, and the sizes of chunks, that one connection receives.

    Lines are counted for the present head or trailers; each part received is looked at once.
    """

    def __init__(self, connection: h11.Connection, max_chunk_bytes: int) -> None:
        self.max_chunk_bytes = max_chunk_bytes
        self._connection = connection
        self._in_body = False  # of a message whose head was parsed
        # The body that is being received, if it is chunked. The head itself is not kept, which may
        # be large.
        self.chunked_body: ChunkedBody | None = None
        self._head_complete = False
        self._last_bytes = b""
        self._head_lines = 0

    def received(self, data: bytes) -> int:
        """Follow ``data``, which h11 has received; return the lines of the present head in it."""
        if self._in_body:
            if self.chunked_body is not None:
                self.chunked_body.received(data)
            return 0
        if self._head_complete:
            return 0
        searched = self._last_bytes + data
        blank = BLANK_LINE_PATTERN.search(searched)
        head_end = len(data) if blank is None else blank.end() - len(self._last_bytes)
        self._head_complete = blank is not None
        self._last_bytes = searched[-BLANK_LINE_OVERLAP:]
        new_head_lines = data.count(b"\n", 0, head_end)
        self._head_lines += new_head_lines
        return new_head_lines

    def begin_message(self) -> None:
        """Count anew for the next message, of which some bytes may have been received."""
        self._in_body, self.chunked_body = False, None
        self._head_complete, self._last_bytes, self._head_lines = False, b"", 0
        self.received(self._buffered())

    def parsed(self, event: h11.Event | type[h11.PAUSED]) -> None:
        """Record what h11 has returned."""
        if isinstance(event, h11.InformationalResponse):
            self.begin_message()
        elif isinstance(event, h11.Request | h11.Response):
            self._in_body = True
            if is_chunked(event):
                self.chunked_body = ChunkedBody(self.max_chunk_bytes)
                self.chunked_body.received(self._buffered())

    def has_oversized_chunk(self) -> bool:
        """Return whether the next chunk states a size over the limit, as far as its digits have come."""
        body = self.chunked_body
        return body is not None and body.exceeds_limit and self._has_returned_content(body)

    def has_too_many_lines(self) -> bool:
        """Return whether the next head, or the next trailers, have too many lines to be parsed."""
        if not self._in_body:
            return self._head_lines > MAX_LINES
        body = self.chunked_body
        if body is None or body.trailer_lines <= MAX_LINES:
            return False
        return self._has_returned_content(body)

    def _has_returned_content(self, body: ChunkedBody) -> bool:
        """Return whether h11 has returned all chunks that have come complete."""
        return body.received_bytes - len(self._buffered()) >= body.content_end_bytes

    def _buffered(self) -> bytes:
        return bytes(self._connection.trailing_data[0])


def is_chunked(head: h11.Request | h11.Response) -> bool:
    """Return whether the body comes in chunks, the only transfer coding that h11 accepts."""
    return any(name == b"transfer-encoding" for name, _ in head.headers)
