"""Simulated time: an event queue with a deterministic order.

Events with the same time run in the order of their rank, and events with the same time and rank in
the order in which they were scheduled. A run is therefore the same on any machine and in any number
of processes.
"""

import heapq
from collections.abc import Callable
from enum import IntEnum


class Rank(IntEnum):
    """Order of events with the same time; the lowest value runs first."""

    FAULT = 0  # injected faults apply before anything else happens
    SERVER = 1  # a server finishes work
    NETWORK = 2  # a message arrives
    TIMER = 3
    CLIENT = 4  # a client sends or withdraws a request


class ScheduledEvent:
    """A scheduled callback that can be cancelled."""

    __slots__ = ("callback", "cancelled")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback, self.cancelled = callback, False

    def cancel(self) -> None:
        self.cancelled = True


class EventQueue:
    """Runs callbacks in simulated time.

    ``now_us`` is the current time in whole microseconds. An event that is scheduled for an earlier
    time runs at ``now_us``.
    """

    def __init__(self) -> None:
        self.now_us = 0
        self.executed_count = 0  # events run, cancelled ones not counted
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
        """Run all events up to and including ``until_us``, and advance ``now_us`` to it."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, _, event = heapq.heappop(self._heap)
            if not event.cancelled:
                self.executed_count += 1
                event.callback()
        self.now_us = max(self.now_us, until_us)
