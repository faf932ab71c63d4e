"""Bytes that arrive in parts and are held until they are complete, in blocks of one size."""

BLOCK_BYTES = 16 * 1024


class ByteBlocks:
    """The parts that were appended, put together into blocks.

    One buffer that grows would be moved again and again, and leave holes in the heap that nothing
    else fits into.
    """

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self.size = 0

    def append(self, data: bytes | bytearray) -> None:
        """Add a part."""
        self.size += len(data)
        view = memoryview(data)
        while view:
            if not self._blocks or len(self._blocks[-1]) >= BLOCK_BYTES:
                self._blocks.append(bytearray())
            room = BLOCK_BYTES - len(self._blocks[-1])
            self._blocks[-1] += view[:room]
            view = view[room:]

    def first_byte(self) -> bytes:
        """Return the first byte; none if there is none."""
        return bytes(self._blocks[0][:1]) if self._blocks else b""

    def content(self) -> bytes:
        """Return all parts as one."""
        return b"".join(self._blocks)

    def take(self) -> bytes:
        """Return all parts as one, and hold none of them any more."""
        content = self.content()
        self.clear()
        return content

    def clear(self) -> None:
        """Drop all parts."""
        self._blocks.clear()
        self.size = 0
