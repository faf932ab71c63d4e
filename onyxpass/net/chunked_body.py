"""Follows the framing of a chunked body as its bytes come, without I/O.

h11 returns the content of chunks, and doesn't tell to which part of the framing the next byte belongs.
"""

import re
from enum import Enum

HEX_DIGITS_PATTERN = re.compile(rb"[0-9A-Fa-f]*")
BITS_PER_DIGIT = 4
LINE_END_BYTES = len(b"\r\n")


class FramingPart(Enum):
    """Part of a chunked body (RFC 9112, section 7.1)."""

    SIZE_LINE = "size line"  # of a chunk, with its extensions
    CONTENT = "content"
    CONTENT_END = "line end after the content"
    TRAILERS = "trailers"
    END = "end"  # what follows belongs to the next message


class ChunkedBody:
    """The position in one chunked body, from its first byte on.

    It is not followed any further once a chunk exceeds the limit.
    """

    def __init__(self, max_chunk_bytes: int) -> None:
        self.max_chunk_bytes = max_chunk_bytes
        self.part = FramingPart.SIZE_LINE  # to which the next byte belongs
        self.chunk_bytes = 0  # the size of the present chunk, as far as its digits have come
        self.trailer_lines = 0
        self.received_bytes = 0  # of the body
        self.content_end_bytes = 0  # up to the end of the content that came last
        self._line_is_empty = True  # no byte of the present line has come, but for its line end
        self._size_is_complete = False  # a byte that is no digit has followed
        self._remaining_bytes = 0  # of the present part, if its size is known

    @property
    def exceeds_limit(self) -> bool:
        """Whether the present chunk states a size over the limit."""
        return self.chunk_bytes > self.max_chunk_bytes

    @property
    def is_between_chunks(self) -> bool:
        """Whether the next byte is the first one of a size line."""
        return self.part is FramingPart.SIZE_LINE and self._line_is_empty

    def received(self, data: bytes) -> None:
        """Follow the next bytes."""
        at = 0
        while at < len(data) and self.part is not FramingPart.END and not self.exceeds_limit:
            match self.part:
                case FramingPart.SIZE_LINE:
                    at = self._follow_size_line(data, at)
                case FramingPart.TRAILERS:
                    at = self._follow_trailer(data, at)
                case _:
                    at = self._skip(data, at)
        self.received_bytes += len(data)

    def _follow_size_line(self, data: bytes, at: int) -> int:
        """Follow a size line to its end, or as far as it has come; return where that is."""
        self._read_digits(data, at)
        end = data.find(b"\n", at)
        self._line_is_empty = False
        if end < 0:
            return len(data)
        self._line_is_empty, self._size_is_complete = True, False
        self._remaining_bytes = self.chunk_bytes
        self.part = FramingPart.CONTENT if self.chunk_bytes else FramingPart.TRAILERS
        return end + 1

    def _read_digits(self, data: bytes, at: int) -> None:
        """Read the digits of the size, as far as they have come."""
        if self._line_is_empty:
            self.chunk_bytes = 0
        if self._size_is_complete or (found := HEX_DIGITS_PATTERN.match(data, at)) is None:
            return
        if digits := found[0]:
            self.chunk_bytes = (self.chunk_bytes << BITS_PER_DIGIT * len(digits)) + int(digits, 16)
        self._size_is_complete = found.end() < len(data)

    def _skip(self, data: bytes, at: int) -> int:
        """Skip the content of a chunk, or its line end; return the position behind it."""
        skipped = min(self._remaining_bytes, len(data) - at)
        self._remaining_bytes -= skipped
        if not self._remaining_bytes:
            if within_content := self.part is FramingPart.CONTENT:
                self.content_end_bytes = self.received_bytes + at + skipped
            self.part = FramingPart.CONTENT_END if within_content else FramingPart.SIZE_LINE
            self._remaining_bytes = LINE_END_BYTES if within_content else 0
        return at + skipped

    def _follow_trailer(self, data: bytes, at: int) -> int:
        """Follow a line of the trailers to its end, or as far as it has come; return where that is."""
        end = data.find(b"\n", at)
        line = data[at : end if end >= 0 else len(data)]
        self._line_is_empty = self._line_is_empty and line in (b"", b"\r")
        if end < 0:
            return len(data)
        if self._line_is_empty:
            self.part = FramingPart.END
        else:
            self.trailer_lines += 1
        self._line_is_empty = True
        return end + 1
