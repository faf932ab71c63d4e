"""Decides whether the store still has every claim that was made in it, without I/O.

A claim proves that a call is made for the first time only in a store that has lost nothing. All
fronts of a store share a random *generation*, a key that never expires. Each front also counts up a
*heartbeat* key of its own. A store without the generation, or with another one, is new or was
emptied; one with an older heartbeat was restored from a copy.

After a loss a new generation begins, and for a *recovery period* no claim counts. Within it every
running front notices the new generation and begins to write the claims that it remembers to the
store again, as clients reclaim locks after a restart of an NFSv4 server. While a front does so it
keeps a *reclaim mark* in the store, which expires by itself; the period lasts until a front that
looks after its end finds no mark, and no front missing that is known to have claims
(``front_registry``).
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

# of one look at the store by each front; a copy that is younger than this goes unnoticed
HEARTBEAT_INTERVAL_US = 1_000_000
# So that every front has noticed the loss and has set its reclaim mark, one look being late.
LOOKS_PER_RECOVERY_PERIOD = 3
RECOVERY_PERIOD_US = LOOKS_PER_RECOVERY_PERIOD * HEARTBEAT_INTERVAL_US
RECLAIM_POLL_INTERVAL_US = 100_000  # of looks while other fronts still write their claims again


@dataclass(frozen=True, slots=True)
class StoreReading:
    """What the store holds of the shared generation and of this front's heartbeat.

    ``is_reclaiming`` tells whether a front is writing its claims again; ``fronts`` is the text of
    the registry of fronts.
    """

    generation: str | None
    heartbeat: int | None
    is_reclaiming: bool = False
    fronts: str | None = None


class StoreChange(Enum):
    """What a reading shows."""

    NONE = "none"
    EMPTIED = "emptied"  # no generation: the store is new or has lost its keys
    REPLACED = "replaced"  # another front has begun a generation, or this front has just started
    RESTORED = "restored"  # the generation is the same, and the heartbeat is older


class StoreGeneration:
    """The generation that this front takes part in, and from when on its claims count."""

    def __init__(self, recovery_period_us: int = RECOVERY_PERIOD_US) -> None:
        self.recovery_period_us = recovery_period_us
        self.current: str | None = None
        self.heartbeat = 0  # the last one that the store has confirmed
        self.is_open = False  # whether a claim proves that a call is made for the first time
        # earliest time at which claims may count; None: this front has not written its own again
        self._earliest_open_us: int | None = None
        # names of the fronts for which a recovery period is longer than its shortest time
        self.missing_fronts: tuple[str, ...] = ()

    @property
    def look_interval_us(self) -> int:
        """Time between two looks of this front at the store."""
        return min(HEARTBEAT_INTERVAL_US, self.recovery_period_us // LOOKS_PER_RECOVERY_PERIOD)

    def next_look_us(self, now_us: int) -> int:
        """Return the time from now until this front should look at the store again."""
        if self.is_open or self._earliest_open_us is None:
            return self.look_interval_us
        until_open_us = self._earliest_open_us - now_us
        if until_open_us <= 0:
            until_open_us = RECLAIM_POLL_INTERVAL_US
        return min(self.look_interval_us, until_open_us)

    def compare(self, reading: StoreReading) -> StoreChange:
        """Return what a reading shows, without taking it over."""
        if reading.generation is None:
            return StoreChange.EMPTIED
        if reading.generation != self.current:
            return StoreChange.REPLACED
        if (reading.heartbeat or 0) < self.heartbeat:
            return StoreChange.RESTORED
        return StoreChange.NONE

    def close(self) -> None:
        """Let no claim count until a generation is joined: the store has lost something."""
        self.current = self._earliest_open_us = None
        self.is_open = False
        self.missing_fronts = ()

    def join(self, generation: str, heartbeat: int, noticed_us: int) -> None:
        """Take part in a generation; the store has all claims that this front remembers.

        The recovery period counts from when this front noticed the generation, which was after it
        had begun.
        """
        self.current, self.heartbeat = generation, heartbeat
        self._earliest_open_us = noticed_us + self.recovery_period_us

    def confirm(
        self, reading: StoreReading, read_from_us: int, missing_fronts: Sequence[str] = ()
    ) -> None:
        """Take over a reading that shows no change; ``read_from_us`` is when it was requested.

        The recovery period ends with the first one that was requested after its shortest time and
        shows no front that is still writing its claims, and none that has yet to do so.
        """
        if self._earliest_open_us is None or read_from_us < self._earliest_open_us:
            return
        if not self.is_open:
            self.missing_fronts = tuple(missing_fronts)
            self.is_open = not reading.is_reclaiming and not missing_fronts
