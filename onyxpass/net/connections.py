"""What the front knows of each client's connection, and which may be closed to make room for another."""

from dataclasses import dataclass
from enum import Enum

from onyxpass.core.wheel import Limit
from onyxpass.net.http import Wire


class Stage(Enum):
    """What a client's connection is at."""

    NEW = "new"  # nothing has come on it yet
    READING = "reading"  # part of a request has
    OPEN = "open"  # a request is being served
    IDLE = "idle"  # between requests
    LEAVING = "leaving"  # its last answer is given


FRESH_US = 150_000  # so long after connecting a first request may still be on its way
SPARED = (  # connections that may be closed for others, those missed least first, and from which age on
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
    wire: Wire | None = None
    stage: Stage = Stage.NEW
    resting: Limit | None = None  # while it waits for a next request
    pieces: int = 0  # that had come on the wire before the request that is being read

    def progress(self) -> tuple[int, int]:
        """Guards against true requests that are written slowly and go for what a crowd has left behind.

        In how many pieces its request has come so far: one that is never finished stops early, so among those
        with the fewest the eldest is missed least.
        """
        reading = self.stage is Stage.READING and self.wire is not None
        return (self.wire.pieces - self.pieces if reading and self.wire else 0), self.since_us
