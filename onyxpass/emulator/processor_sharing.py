"""Processor sharing by virtual time: a change costs O(log n) and updates no other job.

While ``n`` jobs are open, each is served ``rate(n)`` units per second. Virtual time counts the units
that a job open since the start would have been served; a job of ``size`` units that is added at
virtual time ``v`` is done at ``v + size``.
"""

import heapq
import math
from collections.abc import Callable

from onyxpass.emulator.events import EventQueue, Rank, ScheduledEvent


class ServiceJob:
    __slots__ = ("end", "on_done", "removed", "start")

    def __init__(self, start: float, end: float, on_done: Callable[[], None]) -> None:
        self.start, self.end, self.on_done, self.removed = start, end, on_done, False


class SharedCapacity:
    """Capacity that the open jobs share evenly.

    ``rate(n)`` returns the units per second for each of ``n`` jobs; it is called again after each
    change.
    """

    def __init__(self, queue: EventQueue, rate: Callable[[int], float]) -> None:
        self.queue, self.rate = queue, rate
        self.virtual_time = 0.0
        self.open_count = 0
        self._updated_us = 0
        self._current_rate = 0.0
        self._heap: list[tuple[float, int, ServiceJob]] = []
        self._order = 0
        self._next_event: ScheduledEvent | None = None

    def _advance(self) -> None:
        self.virtual_time += self._current_rate * (self.queue.now_us - self._updated_us) / 1e6
        self._updated_us = self.queue.now_us

    def add(self, size: float, on_done: Callable[[], None]) -> ServiceJob:
        self._advance()
        job = ServiceJob(self.virtual_time, self.virtual_time + max(size, 0.0), on_done)
        self._order += 1
        heapq.heappush(self._heap, (job.end, self._order, job))
        self.open_count += 1
        self.update_rate()
        return job

    def remove(self, job: ServiceJob) -> float:
        """Remove a job; return the units it was served, 0 where it had ended or been removed before."""
        if job.removed:
            return 0.0
        self._advance()
        job.removed = True
        self.open_count -= 1
        served = min(self.virtual_time, job.end) - job.start
        self.update_rate()
        return served

    def served(self, job: ServiceJob) -> float:
        """Return the units that an open job has been served."""
        self._advance()
        return min(self.virtual_time, job.end) - job.start

    def update_rate(self) -> None:
        """Apply the current rate and reschedule the end of the next job."""
        self._advance()
        if self._next_event is not None:
            self._next_event.cancel()
            self._next_event = None
        while self._heap and self._heap[0][2].removed:
            heapq.heappop(self._heap)
        self._current_rate = self.rate(self.open_count) if self.open_count else 0.0
        if self._heap and self._current_rate > 0:
            remaining = max(0.0, self._heap[0][0] - self.virtual_time)
            # Rounding down could leave a remainder at the event's time, so that the next event is due
            # at the same time, without end.
            self._next_event = self.queue.schedule_after(
                math.ceil(remaining / self._current_rate * 1e6), Rank.SERVER, self._finish_due_jobs
            )

    def _finish_due_jobs(self) -> None:
        self._next_event = None
        self._advance()
        finished: list[ServiceJob] = []
        while self._heap and (
            self._heap[0][2].removed or self._heap[0][0] <= self.virtual_time + 1e-6
        ):
            job = heapq.heappop(self._heap)[2]
            if not job.removed:
                job.removed = True
                self.open_count -= 1
                finished.append(job)
        self.update_rate()
        for job in finished:
            job.on_done()
