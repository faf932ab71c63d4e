"""Log lines that record the history of leases.

``history_checkers/history.py`` reads and checks them afterwards.
"""

import os
import time

import structlog

log = structlog.get_logger("history")


def boottime_ns() -> int:
    """Return nanoseconds of the clock that all processes of a host share.

    This clock can't be set, and it continues while a process is suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


def boottime_ms() -> int:
    """Return milliseconds of the same clock as ``boottime_ns``."""
    return boottime_ns() // 1_000_000


def record_event(what: str, **fields: object) -> None:
    """Log one event of the history, with the present time and this process's id."""
    log.info("history", what=what, at_ns=boottime_ns(), pid=os.getpid(), **fields)
