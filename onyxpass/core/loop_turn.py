"""Bounds how long steps that process peers' input occupy the event loop, and orders these steps.

A step does not wait: it parses a head, a chunk or a line that has been received. Each turn of the
event loop has a time for the steps of each priority; once it is used up, the other steps wait for
later turns. So timers, sockets and tasks are served between them, whatever peers send and however
many they are.

Waiting steps are ordered by weighted fair queueing: each peer gets the same share of the time, so
that one cheap step overtakes any number of costly ones.
"""

import asyncio
import heapq
import itertools
import time
from dataclasses import dataclass, field
from enum import IntEnum
from weakref import WeakKeyDictionary

from onyxpass.core.event_loop import turn_clock

MAX_TURN_US = 10_000  # time in each turn for steps of open requests
MAX_NEW_REQUESTS_US = 5_000  # time in each turn for steps of requests that are not complete
MAX_WAKES = 16  # waiting steps of each priority that are woken in one turn
DEFAULT_COST_NS = 20_000


class StepPriority(IntEnum):
    """For whom a step is done; each priority has its own time in a turn."""

    OPEN_REQUEST = 0  # input of servers and of other parts of the installation
    NEW_REQUEST = 1  # input of a client that has not sent a valid request with it yet


TURN_SHARES_US = {
    StepPriority.OPEN_REQUEST: MAX_TURN_US,
    StepPriority.NEW_REQUEST: MAX_NEW_REQUESTS_US,
}


@dataclass(slots=True)
class StepWaits:
    """Waits of steps for their turn, since the start of the process."""

    steps: int = 0  # steps that had to wait
    longest_us: int = 0


@dataclass(slots=True, order=True)
class _WaitingStep:
    virtual_end_ns: int
    number: int  # the order of arrival decides between equal times
    woken: asyncio.Future[None] = field(compare=False)


class _StepQueue:
    """The steps of one priority on one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, share_us: int) -> None:
        self._share_ns = share_us * 1000
        self._turn_began_ns = turn_clock(loop)
        self._turn_ns = self._first_step_ns = -1  # the turn of the latest step, and its first step
        self.waiting: list[_WaitingStep] = []
        self._numbers = itertools.count()
        self._wake_is_scheduled = False
        # The time that each waiting peer would have had by now, if they were all served together.
        self.virtual_ns = 0
        self.waits = StepWaits()

    async def wait(self, virtual_end_ns: int, cost_ns: int) -> None:
        """Wait for the turn of a step that ends at this virtual time, and begin it."""
        began_ns, number = time.monotonic_ns(), next(self._numbers)
        while True:
            woken = asyncio.get_running_loop().create_future()
            heapq.heappush(self.waiting, _WaitingStep(virtual_end_ns, number, woken))
            self._schedule_wake()
            await woken
            if self.try_begin(cost_ns):
                break
        self.waits.steps += 1
        waited_us = (time.monotonic_ns() - began_ns) // 1000
        self.waits.longest_us = max(self.waits.longest_us, waited_us)

    def try_begin(self, cost_ns: int) -> bool:
        """Begin a step if the present turn has time left for it.

        The first step of a turn always begins, so that the queue makes progress.
        """
        turn_ns, now_ns = self._turn_began_ns(), time.monotonic_ns()
        if turn_ns != self._turn_ns:
            self._turn_ns, self._first_step_ns = turn_ns, now_ns
        elif now_ns - self._first_step_ns >= self._share_ns:
            return False
        self.virtual_ns += cost_ns // (len(self.waiting) + 1) if self.waiting else cost_ns
        return True

    def _schedule_wake(self) -> None:
        if not self._wake_is_scheduled:
            self._wake_is_scheduled = True
            asyncio.get_running_loop().call_soon(self._wake)

    def _wake(self) -> None:
        self._wake_is_scheduled = False
        woken_count = 0
        while self.waiting and woken_count < MAX_WAKES:
            woken = heapq.heappop(self.waiting).woken
            if not woken.done():  # cancelled together with its task
                woken.set_result(None)
                woken_count += 1
        if self.waiting:
            self._schedule_wake()


_queues: WeakKeyDictionary[asyncio.AbstractEventLoop, dict[StepPriority, _StepQueue]] = (
    WeakKeyDictionary()
)


def _queue_of(priority: StepPriority) -> _StepQueue:
    loop = asyncio.get_running_loop()
    if (queues := _queues.get(loop)) is None:
        queues = {p: _StepQueue(loop, share_us) for p, share_us in TURN_SHARES_US.items()}
        _queues[loop] = queues
    return queues[priority]


class StepFlow:
    """The steps of one peer, which share its part of the time.

    Used on one event loop.
    """

    def __init__(self, priority: StepPriority = StepPriority.OPEN_REQUEST) -> None:
        self.priority = priority
        self._queue: _StepQueue | None = None
        self._virtual_end_ns = 0  # of the latest step

    async def begin_step(self, cost_ns: int = DEFAULT_COST_NS) -> None:
        """Wait until the event loop has time for a step of this peer, and begin it.

        To be called before each step of a loop whose input may already be buffered: such a loop
        never waits, and without this it would keep requests, timers and other streams from being
        served for as long as its peer sends. ``cost_ns`` is the estimated processor time of the
        step.
        """
        if not self.try_begin_step(cost_ns):
            await self.wait_for_step(cost_ns)

    def try_begin_step(self, cost_ns: int) -> bool:
        """Begin a step if that needs no wait; otherwise ``wait_for_step`` is to be called next."""
        if (queue := self._queue) is None:
            queue = self._queue = _queue_of(self.priority)
        self._virtual_end_ns = max(self._virtual_end_ns, queue.virtual_ns) + cost_ns
        return not queue.waiting and queue.try_begin(cost_ns)

    async def wait_for_step(self, cost_ns: int) -> None:
        """Wait for the step that ``try_begin_step`` could not begin, and begin it."""
        assert self._queue is not None
        await self._queue.wait(self._virtual_end_ns, cost_ns)


def step_waits(priority: StepPriority) -> StepWaits:
    """Return how long steps of a priority have waited on the running event loop, if one runs."""
    try:
        return _queue_of(priority).waits
    except RuntimeError:
        return StepWaits()


__all__ = [
    "MAX_NEW_REQUESTS_US",
    "MAX_TURN_US",
    "StepFlow",
    "StepPriority",
    "StepWaits",
    "step_waits",
]
