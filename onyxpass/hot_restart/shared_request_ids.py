"""The ids of requests that may have run, in a file that the processes of one dispatcher share."""

import fcntl
import mmap
import os
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from onyxpass.core.request_ids import TABLE_BYTES, RequestIdTable

FILE_NAME = "request-ids.table"
# Longest wait for the lock, which is held for microseconds: a process that is stopped with it does
# not stop the other one.
LOCK_TIMEOUT_S = 0.05


def open_shared_table(folder: Path, now_us: Callable[[], int]) -> RequestIdTable:
    """Open the table in this folder, and make it if there is none; OSError on failure."""
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
        locked = _lock_in_time(descriptor)
        try:
            yield
        finally:
            if locked:
                fcntl.flock(descriptor, fcntl.LOCK_UN)

    return RequestIdTable(now_us, buffer, lock)


def _lock_in_time(descriptor: int) -> bool:
    """Lock the file; False if another process holds it for too long."""
    due_s = time.monotonic() + LOCK_TIMEOUT_S
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            if time.monotonic() >= due_s:
                return False
            os.sched_yield()
        else:
            return True
