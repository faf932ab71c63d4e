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
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from weakref import WeakKeyDictionary

from onyxpass.core.event_loop import turn_began_ns

MAX_TURN_US = 10_000  # time in each turn for steps of open requests
MAX_NEW_REQUESTS_US = 2_500  # time in each turn for steps of requests that are not complete
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


@dataclass(slots=True)
class StepFlow:
    """The steps of one peer, which share its part of the time."""

    virtual_end_ns: int = 0  # virtual time at which its latest step ends


@dataclass(slots=True, order=True)
class _WaitingStep:
    virtual_end_ns: int
    number: int  # the order of arrival decides between equal times
    woken: asyncio.Future[None] = field(compare=False)


class _StepQueue:
    """The steps of one priority on one event loop."""

    def __init__(self, share_us: int) -> None:
        self._share_ns = share_us * 1000
        self._turn_ns = self._first_step_ns = -1  # the turn of the latest step, and its first step
        self._waiting: list[_WaitingStep] = []
        # The time that each waiting peer would have had by now, if they were all served together.
        self._virtual_ns = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def try_begin(self) -> bool:
        """Begin a step if the present turn has time left for it.

        The first step of a turn always begins, so that the queue makes progress.
        """
        turn_ns, now_ns = turn_began_ns(), time.monotonic_ns()
        if turn_ns != self._turn_ns:
            self._turn_ns, self._first_step_ns = turn_ns, now_ns
            return True
        return now_ns - self._first_step_ns < self._share_ns

    def charge(self, flow: StepFlow, cost_ns: int) -> int:
        """Add a step to a flow; return the virtual time at which the step ends."""
        flow.virtual_end_ns = max(flow.virtual_end_ns, self._virtual_ns) + cost_ns
        return flow.virtual_end_ns

    def advance(self, cost_ns: int) -> None:
        """Advance the virtual time by a step that has begun."""
        self._virtual_ns += cost_ns // (len(self._waiting) + 1)

    def push(self, virtual_end_ns: int, number: int) -> asyncio.Future[None]:
        """Add a waiting step; the returned future is done when it may be tried again."""
        woken = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, _WaitingStep(virtual_end_ns, number, woken))
        return woken

    def wake(self) -> None:
        """Wake the next waiting steps."""
        woken_count = 0
        while self._waiting and woken_count < MAX_WAKES:
            woken = heapq.heappop(self._waiting).woken
            if not woken.done():  # cancelled together with its task
                woken.set_result(None)
                woken_count += 1


class _StepScheduler:
    """Decides on one event loop which steps begin in which turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._queues = {
            priority: _StepQueue(share_us) for priority, share_us in TURN_SHARES_US.items()
        }
        self._numbers: Iterator[int] = itertools.count()
        self._wake_is_scheduled = False
        self.waits = {priority: StepWaits() for priority in StepPriority}

    async def begin_step(self, priority: StepPriority, flow: StepFlow, cost_ns: int) -> None:
        queue = self._queues[priority]
        virtual_end_ns = queue.charge(flow, cost_ns)
        if queue or not queue.try_begin():
            await self._wait(priority, virtual_end_ns)
        queue.advance(cost_ns)

    async def _wait(self, priority: StepPriority, virtual_end_ns: int) -> None:
        queue, waits = self._queues[priority], self.waits[priority]
        began_ns, number = time.monotonic_ns(), next(self._numbers)
        while True:
            woken = queue.push(virtual_end_ns, number)
            self._schedule_wake()
            await woken
            if queue.try_begin():
                break
        waits.steps += 1
        waits.longest_us = max(waits.longest_us, (time.monotonic_ns() - began_ns) // 1000)

    def _schedule_wake(self) -> None:
        if not self._wake_is_scheduled:
            self._wake_is_scheduled = True
            self._loop.call_soon(self._wake)

    def _wake(self) -> None:
        self._wake_is_scheduled = False
        for queue in self._queues.values():
            queue.wake()
        if any(self._queues.values()):
            self._schedule_wake()


_schedulers: WeakKeyDictionary[asyncio.AbstractEventLoop, _StepScheduler] = WeakKeyDictionary()


def _scheduler() -> _StepScheduler:
    loop = asyncio.get_running_loop()
    if (scheduler := _schedulers.get(loop)) is None:
        scheduler = _schedulers[loop] = _StepScheduler(loop)
    return scheduler


async def begin_step(
    priority: StepPriority = StepPriority.OPEN_REQUEST,
    flow: StepFlow | None = None,
    cost_ns: int = DEFAULT_COST_NS,
) -> None:
    """Wait until the event loop has time for a step of this priority, and begin it.

    To be called before each step of a loop whose input may already be buffered: such a loop never
    waits, and without this it would keep requests, timers and other streams from being served for
    as long as its peer sends. ``flow`` is that of the peer; the default is one of its own for this
    step. ``cost_ns`` is the estimated processor time of the step.
    """
    await _scheduler().begin_step(priority, flow or StepFlow(), cost_ns)


def step_waits(priority: StepPriority) -> StepWaits:
    """Return how long steps of a priority have waited on the running event loop, if one runs."""
    try:
        return _scheduler().waits[priority]
    except RuntimeError:
        return StepWaits()


__all__ = [
    "MAX_NEW_REQUESTS_US",
    "MAX_TURN_US",
    "StepFlow",
    "StepPriority",
    "StepWaits",
    "begin_step",
    "step_waits",
]
