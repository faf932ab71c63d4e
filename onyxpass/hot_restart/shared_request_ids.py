"""The ids of requests that may have run, in a file that the processes of one dispatcher share."""

import fcntl
import mmap
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from onyxpass.core.request_ids import TABLE_BYTES, RequestIdTable

FILE_NAME = "request-ids.table"


def open_shared_table(folder: Path, now_us: Callable[[], int]) -> RequestIdTable:
    """Open the table in this folder, and make it if there is none; OSError on failure.

    The file is locked for the microseconds of each call; a process that ends gives its lock back.
    """
    descriptor = os.open(folder / FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        if os.fstat(descriptor).st_size != TABLE_BYTES:
            os.ftruncate(descriptor, TABLE_BYTES)
        buffer = mmap.mmap(descriptor, TABLE_BYTES)
    except OSError:
        os.close(descriptor)
        raise

    @contextmanager
    def lock() -> Iterator[None]:
        fcntl.flock(descriptor, fcntl.LOCK_EX)
        try:
            yield
        finally:
            fcntl.flock(descriptor, fcntl.LOCK_UN)

    return RequestIdTable(now_us, buffer, lock)
