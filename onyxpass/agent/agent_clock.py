"""The clock by which an agent tells whether a call is too old.

Clocks of two hosts need not agree. A caller reads this clock first, and states times of it.
"""

import secrets
from dataclasses import dataclass

from onyxpass.leases.event_log import boottime_ms


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A time of one clock, in ms."""

    clock_id: str
    at_ms: int


class AgentClock:
    """A clock that no one sets; each start of an agent has another one."""

    def __init__(self) -> None:
        self._id = secrets.token_hex(8)

    def now(self) -> ClockReading:
        """Return the present time."""
        return ClockReading(self._id, boottime_ms())

    def has_passed(self, time: ClockReading) -> bool:
        """Return whether a time has passed; one of another clock has."""
        now = self.now()
        return time.clock_id != now.clock_id or time.at_ms <= now.at_ms
