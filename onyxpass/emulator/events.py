"""Simulated time: a queue of events with one stated order.

At one instant, events happen by their rank, and those of one rank in the order in which they were
put. So a run is the same on any machine and in any number of processes.
"""

import heapq
from collections.abc import Callable
from enum import IntEnum


class Rank(IntEnum):
    """What comes first at one instant."""

    FAULT = 0  # the world changes before anybody acts in it
    SERVER = 1  # work ends
    NETWORK = 2  # messages arrive
    TIMER = 3
    CLIENT = 4  # new work comes last


class ScheduledEvent:
    """One event that may be called off."""

    __slots__ = ("callback", "cancelled")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback, self.cancelled = callback, False

    def cancel(self) -> None:
        self.cancelled = True


class EventQueue:
    """``now_us``: whole microseconds. Nothing is ever put before it."""

    def __init__(self) -> None:
        self.now_us = 0
        self.executed_count = 0  # events that have happened
        self._order = 0
        self._heap: list[tuple[int, int, int, ScheduledEvent]] = []

    def schedule_at(self, when_us: int, rank: Rank, callback: Callable[[], None]) -> ScheduledEvent:
        event = ScheduledEvent(callback)
        self._order += 1
        heapq.heappush(self._heap, (max(when_us, self.now_us), rank, self._order, event))
        return event

    def schedule_after(
        self, delay_us: float, rank: Rank, callback: Callable[[], None]
    ) -> ScheduledEvent:
        return self.schedule_at(self.now_us + max(0, round(delay_us)), rank, callback)

    def run(self, until_us: int) -> None:
        """Let all happen up to and with ``until_us``."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, _, event = heapq.heappop(self._heap)
            if not event.cancelled:
                self.executed_count += 1
                event.callback()
        self.now_us = max(self.now_us, until_us)
