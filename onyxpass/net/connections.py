"""What the front knows of each client's connection, and which may be closed to make room for
another.
"""

import asyncio
import heapq
from collections import Counter
from collections.abc import Iterator, ValuesView
from dataclasses import dataclass
from enum import Enum

from onyxpass.core.reasons import CloseReason
from onyxpass.core.requests import Request
from onyxpass.core.timer_wheel import Timeout
from onyxpass.net.http import HttpConnection


class Stage(Enum):
    """What a client's connection is at."""

    NEW = "new"  # nothing has come on it yet
    READING = "reading"  # part of a request has
    OPEN = "open"  # a request is being served
    IDLE = "idle"  # between requests
    LEAVING = "leaving"  # its last answer is given


LOOKS = 16  # connections looked at, at most, to find one on which nothing is on its way
FRESH_US = 150_000  # so long after connecting a first request may still be on its way
# connections that may be closed for others, those missed least first, and from which age on
SPARED = (
    (Stage.LEAVING, 0),
    (Stage.NEW, FRESH_US),
    (Stage.IDLE, FRESH_US),
    (Stage.READING, FRESH_US),
)


@dataclass(eq=False, slots=True)
class ClientConnection:
    """One client's connection, and how far its present request has come."""

    since_us: int  # of the stage
    due_us: int  # by when the request that is being read must be whole
    wire: HttpConnection | None = None
    stage: Stage = Stage.NEW
    resting: Timeout | None = None  # while it waits for a next request
    arrived_us: int = 0  # since when, at the earliest, it may have waited to be taken
    watched_us: int = 0  # since when the loop watches it
    request: Request | None = None  # the last one that was taken on from it
    answered: bool = True  # whether that has its answer
    why: CloseReason = CloseReason.AFTER_ANSWER  # it ends, once it does
    pieces: int = 0  # that had come on the wire before the request that is being read

    @property
    def unread(self) -> bool:
        """Whether bytes have come that no task has looked at yet.

        Guards against a request that was taken from the system and is then closed for a newcomer
        unanswered.
        """
        return self.wire is not None and self.wire.unread and not self.wire.hung_up

    def progress(self) -> tuple[int, int]:
        """Guards against true requests that are written slowly and go for what a crowd has left
        behind.

        In how many pieces its request has come so far: one that is never finished stops early, so
        among those with the fewest the eldest is missed least.
        """
        reading = self.stage is Stage.READING and self.wire is not None
        return (self.wire.pieces - self.pieces if reading and self.wire else 0), self.since_us


class ClientConnections:
    """All open connections by the task that serves each, and in the order in which they entered
    their stage.

    Guards against a search through all of them for each newcomer: where a crowd holds every place,
    that was most of what a connection that brings nothing cost.
    """

    def __init__(self) -> None:
        self._by_task: dict[asyncio.Task[None], ClientConnection] = {}
        self._by_stage: dict[Stage, dict[ClientConnection, asyncio.Task[None]]] = {
            s: {} for s in Stage
        }
        self.closed = Counter[CloseReason]()  # those that have ended, by why

    def __len__(self) -> int:
        return len(self._by_task)

    def __iter__(self) -> Iterator[asyncio.Task[None]]:
        return iter(self._by_task)

    def values(self) -> ValuesView[ClientConnection]:
        return self._by_task.values()

    def add(self, task: asyncio.Task[None], connection: ClientConnection) -> None:
        self._by_task[task] = connection
        self._by_stage[connection.stage][connection] = task

    def remove(self, task: asyncio.Task[None]) -> None:
        """Forget a connection; one that is not known is passed over."""
        if (connection := self._by_task.pop(task, None)) is not None:
            self.closed[connection.why] += 1
            self._by_stage[connection.stage].pop(connection, None)

    def enter(self, connection: ClientConnection, stage: Stage, now_us: int) -> None:
        """Move it to the end of a stage; one that was closed for another only changes its own
        record.
        """
        task = self._by_stage[connection.stage].pop(connection, None)
        connection.stage, connection.since_us = stage, now_us
        if task is not None:
            self._by_stage[stage][connection] = task

    def count(self, *stages: Stage) -> int:
        return sum(len(self._by_stage[stage]) for stage in stages)

    def take_least_missed(self, now_us: int) -> tuple[asyncio.Task[None], ClientConnection] | None:
        """Take out the connection that is missed least, if there is one that may be closed for
        another.
        """
        for stage, least_us in SPARED:
            if (connection := self._least_missed(stage, now_us - least_us)) is not None:
                task = self._by_stage[stage][connection]
                connection.why = CloseReason.DISPLACED
                self.remove(task)
                return task, connection
        return None

    def _least_missed(self, stage: Stage, before_us: int) -> ClientConnection | None:
        """Of those in a stage since ``before_us`` at the latest; the eldest come first there."""
        if stage is Stage.READING:
            old = [
                connection
                for connection in self._by_stage[stage]
                if connection.since_us <= before_us
            ]
            slowest = heapq.nsmallest(LOOKS, old, key=ClientConnection.progress)
            return next((connection for connection in slowest if not connection.unread), None)
        for connection, _ in zip(self._by_stage[stage], range(LOOKS), strict=False):
            if connection.since_us > before_us:
                return None
            if stage is Stage.LEAVING or not connection.unread:
                return connection
        return None
