"""The clock of a dispatcher: the Unix time at its start plus the monotonic time since then."""

import time


class Clock:
    """Unix time in microseconds that never runs backwards, even if the wall clock is stepped."""

    def __init__(self) -> None:
        self._start_us = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now_us(self) -> int:
        """Return the current time."""
        return self._start_us + time.monotonic_ns() // 1000

    def wall_us(self) -> int:
        """Return the wall clock's Unix time, which may have been stepped since this clock began."""
        return time.time_ns() // 1000

    def from_monotonic_ns(self, monotonic_ns: int) -> int:
        """Convert a reading of the monotonic clock to a time of this clock."""
        return self._start_us + monotonic_ns // 1000

    def to_monotonic_us(self, at_us: int) -> int:
        """Convert a time of this clock to the monotonic clock, which all local processes share."""
        return at_us - self._start_us


def cpu_us() -> int:
    """Return the processor time that this process has used, in microseconds."""
    return time.process_time_ns() // 1000
