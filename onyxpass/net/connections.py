"""State of all client connections, and the choice of one to close in favour of a new one."""

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
    """Stage of a client's connection."""

    NEW = "new"  # no bytes received yet
    READING = "reading"  # a request is partly received
    OPEN = "open"  # a request is being served
    IDLE = "idle"  # between requests
    LEAVING = "leaving"  # no further request is read; the connection is being closed


MAX_EXAMINED = 16  # candidates per stage that are checked for unread bytes
MIN_AGE_US = 150_000  # a request may still be in transit this long after the stage began
# Stages whose connections may be closed for a new one, the least valuable first, and the minimum
# time in the stage.
DISPLACEMENT_ORDER = (
    (Stage.LEAVING, 0),
    (Stage.NEW, MIN_AGE_US),
    (Stage.IDLE, MIN_AGE_US),
    (Stage.READING, MIN_AGE_US),
)


@dataclass(eq=False, slots=True)
class ClientConnection:
    """One client's connection and the progress of its current request."""

    since_us: int  # when the current stage began
    due_us: int  # when the request being read must be complete
    wire: HttpConnection | None = None
    stage: Stage = Stage.NEW
    wait_timeout: Timeout | None = None  # time limit of the present wait for bytes
    queued_since_us: int = 0  # lower bound of when it entered the accept queue
    watched_since_us: int = 0  # when the event loop began to watch it
    request: Request | None = None  # the last request submitted from it
    answered: bool = True  # whether ``request`` has its final answer
    close_reason: CloseReason = CloseReason.AFTER_ANSWER  # why it closes, or has closed
    reads_before: int = 0  # reads on the connection before the current request

    @property
    def unread(self) -> bool:
        """Whether bytes have arrived that no task has parsed, on a connection the client keeps open.

        Such a connection may carry a request, and must not be closed unanswered for a new
        connection.
        """
        if self.wire is None or self.wire.hung_up:
            return False
        return self.wire.is_waiting_for_step or self.wire.unread

    @property
    def ended(self) -> bool:
        """Whether the connection has ended by itself, although its task has not been told yet."""
        return self.wire is not None and self.wire.hung_up

    def progress(self) -> tuple[int, int]:
        """Return the sort key for displacement: reads of the current request, and its start.

        A request that is never completed stops after few reads, while one that is written slowly
        keeps adding reads. Sorting by the number of reads protects slow but genuine requests from
        displacement by many incomplete ones; among equals the oldest goes first.
        """
        reading = self.stage is Stage.READING and self.wire is not None
        return (
            self.wire.read_count - self.reads_before if reading and self.wire else 0
        ), self.since_us


class ClientConnections:
    """All open client connections, by the task that serves each, and by stage in order of entry.

    The index by stage avoids a scan of all connections for each new one: with all slots taken,
    that scan was most of the cost of a connection that sends nothing.
    """

    def __init__(self) -> None:
        self._by_task: dict[asyncio.Task[None], ClientConnection] = {}
        self._by_stage: dict[Stage, dict[ClientConnection, asyncio.Task[None]]] = {
            s: {} for s in Stage
        }
        self.closed = Counter[CloseReason]()  # number of closed connections by reason

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
        """Remove a connection; an unknown task is ignored."""
        if (connection := self._by_task.pop(task, None)) is not None:
            self.closed[connection.close_reason] += 1
            self._by_stage[connection.stage].pop(connection, None)

    def enter(self, connection: ClientConnection, stage: Stage, now_us: int) -> None:
        """Move a connection to the end of a stage.

        A connection that was displaced is in no stage any more: only its own record changes.
        """
        task = self._by_stage[connection.stage].pop(connection, None)
        connection.stage, connection.since_us = stage, now_us
        if task is not None:
            self._by_stage[stage][connection] = task

    def count(self, *stages: Stage) -> int:
        return sum(len(self._by_stage[stage]) for stage in stages)

    def take_displaceable(self, now_us: int) -> tuple[asyncio.Task[None], ClientConnection] | None:
        """Remove and return the connection to close for a new one; None if none may be closed."""
        for stage, min_age_us in DISPLACEMENT_ORDER:
            if (connection := self._displaceable(stage, now_us - min_age_us)) is not None:
                task = self._by_stage[stage][connection]
                connection.close_reason = (
                    CloseReason.CONNECTION_BROKE if connection.ended else CloseReason.DISPLACED
                )
                self.remove(task)
                return task, connection
        return None

    def _displaceable(self, stage: Stage, before_us: int) -> ClientConnection | None:
        """Return a displaceable connection that entered the stage by ``before_us``; None if none."""
        if stage is Stage.READING:
            old = [
                connection
                for connection in self._by_stage[stage]
                if connection.since_us <= before_us
            ]
            slowest = heapq.nsmallest(MAX_EXAMINED, old, key=ClientConnection.progress)
            return next((connection for connection in slowest if not connection.unread), None)
        for connection, _ in zip(self._by_stage[stage], range(MAX_EXAMINED), strict=False):
            if connection.since_us > before_us:
                return None
            if stage is Stage.LEAVING or not connection.unread:
                return connection
        return None
