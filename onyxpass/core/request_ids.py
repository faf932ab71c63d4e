"""Remembers the ids of requests that may have run, so that none runs again under the same id.

A table of fixed size, in memory or in a file that the two processes of an upgrade share. An id is
claimed when its request is accepted, and released if nothing of it can have run. Others are
remembered for a while; where the table is full, the id that would be forgotten first makes room.
"""

import hashlib
import struct
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, nullcontext
from typing import Protocol

REMEMBERED_US = 120_000_000  # longer than a client asks again, and than two processes take over
SLOTS = 8_192
PROBED_SLOTS = 16  # in which an id is looked for
SLOT = struct.Struct("<8sQ")  # digest of the id; when it is forgotten, in microseconds
TABLE_BYTES = SLOTS * SLOT.size
FREE_SLOT = b"\0" * 8


class Buffer(Protocol):
    """Writable bytes of the size of a table."""

    def __len__(self) -> int: ...


class RequestIdTable:
    """The ids that may not be used again.

    Times are on the monotonic clock, which all processes of a machine share.
    """

    def __init__(
        self,
        now_us: Callable[[], int],
        buffer: Buffer | None = None,
        lock: Callable[[], AbstractContextManager[None]] = nullcontext,
    ) -> None:
        """``lock`` keeps other processes from the buffer during a call."""
        self._now_us = now_us
        self._buffer = memoryview(buffer if buffer is not None else bytearray(TABLE_BYTES))  # type: ignore[arg-type]
        self._lock = lock

    def claim(self, request_id: str) -> bool:
        """Claim an id; False if it was claimed before and is still remembered."""
        digest, now_us = _digest(request_id), self._now_us()
        with self._lock():
            slots = [(at, *SLOT.unpack_from(self._buffer, at)) for at in _probed(digest)]
            if any(found == digest and until_us > now_us for _, found, until_us in slots):
                return False
            at = min(slots, key=lambda slot: slot[2])[0]
            SLOT.pack_into(self._buffer, at, digest, now_us + REMEMBERED_US)
        return True

    def release(self, request_id: str) -> None:
        """Forget an id: nothing of its request has run, and it may be used again."""
        digest = _digest(request_id)
        with self._lock():
            for at in _probed(digest):
                if SLOT.unpack_from(self._buffer, at)[0] == digest:
                    SLOT.pack_into(self._buffer, at, FREE_SLOT, 0)


def _digest(request_id: str) -> bytes:
    return hashlib.blake2b(request_id.encode("utf-8", "surrogatepass"), digest_size=8).digest()


def _probed(digest: bytes) -> Iterator[int]:
    """Return the offsets of the slots in which a digest may stand."""
    first = int.from_bytes(digest, "little") % SLOTS
    return ((first + step) % SLOTS * SLOT.size for step in range(PROBED_SLOTS))
