"""Converts the reported start times of servers to this process's own clock. Without I/O.

A start is reported as a time of another machine's wall clock, and wall clocks are stepped. Each
start is therefore converted to an age once, when it is first reported, and is a time of the
monotonic clock from then on. If several ages fit the report, the smallest is used: treating a
server in slow start as warm overloads it, while the opposite error only costs a part of its
capacity for the duration of slow start.
"""

from collections import OrderedDict
from dataclasses import dataclass

MAX_SERVERS = 10_000  # whose start times are remembered, including servers that have left
# How long starts may still be reported according to a wall clock that has been stepped since.
OFFSET_RETENTION_US = 600_000_000
MIN_STEP_US = 50_000  # a smaller change is drift, or a stall between reading the two clocks
# Generous maximum of the time from a server's start until discovery lists it.
MAX_DISCOVERY_DELAY_US = 3_000_000


@dataclass(slots=True)
class _ClockOffset:
    """An offset of the wall clock from this process's own clock, and when it was last seen."""

    offset_us: int
    seen_us: int


@dataclass(frozen=True, slots=True)
class _Start:
    """A server's start as it was reported, and on this process's own clock."""

    reported_us: int
    own_us: int


class StartTimes:
    """Owns the known start times of servers; times are in microseconds."""

    def __init__(self) -> None:
        # The first offset is that of the wall clock when this process began.
        self._offsets = [_ClockOffset(0, 0)]
        self._starts: OrderedDict[str, _Start] = OrderedDict()  # the most recently used last

    def observe_wall_clock(self, now_us: int, wall_us: int) -> None:
        """Record the present offset of the wall clock from this process's own clock."""
        offset_us = wall_us - now_us
        self._offsets[1:] = [
            offset for offset in self._offsets[1:] if now_us - offset.seen_us <= OFFSET_RETENTION_US
        ]
        for known in self._offsets:
            if abs(known.offset_us - offset_us) <= MIN_STEP_US:
                known.seen_us = now_us
                return
        self._offsets.append(_ClockOffset(offset_us, now_us))

    def started_us(
        self, server: str, reported_us: int | None, now_us: int, absent_us: int | None = None
    ) -> int | None:
        """Return when the server started, on this process's own clock; None means long ago.

        ``reported_us``: the start by the wall clock of the server's machine; None if it reports
        none. ``absent_us``: when the server was last known to be absent, or present with an earlier
        start, on this process's own clock; None if unknown.
        """
        if reported_us is None:
            return None
        start = self._starts.get(server)
        if start is not None and start.reported_us == reported_us:
            self._starts.move_to_end(server)
            return start.own_us
        age_us = min(now_us + offset.offset_us - reported_us for offset in self._offsets)
        if absent_us is not None:
            age_us = min(age_us, now_us - absent_us + MAX_DISCOVERY_DELAY_US)
        own_us = now_us - max(0, age_us)
        self._starts[server] = _Start(reported_us, own_us)
        self._starts.move_to_end(server)
        while len(self._starts) > MAX_SERVERS:
            self._starts.popitem(last=False)
        return own_us
