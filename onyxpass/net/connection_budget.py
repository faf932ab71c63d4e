"""Idle connections to servers, and the descriptor budget that all servers share."""

from collections.abc import Callable
from dataclasses import dataclass

from onyxpass.net.http import HttpConnection

# moving average of broken reuses: weight of the latest reuse, and half-life
BREAK_RATE_WEIGHT, BREAK_RATE_HALF_LIFE_US = 0.05, 20_000_000


@dataclass(slots=True)
class IdleConnection:
    wire: HttpConnection
    since_us: int
    reusable_us: int  # when it may be reused at the earliest


@dataclass(slots=True)
class ConnectionBudget:
    """Budget of connections to all replicas; the remaining descriptors are for clients."""

    limit: int
    open: int = 0
    break_rate: float = 0.0  # moving average: share of reused connections that broke at once
    break_rate_us: int = 0  # when ``break_rate`` was last updated
    # closes the connection that has been idle longest; False if there is none
    make_room: Callable[[], bool] = lambda: False

    def shrink(self) -> None:
        """Close idle connections until the open ones are within the limit or none is idle."""
        while self.open > self.limit and self.make_room():
            pass

    def record_reuse(self, now_us: int, broke: bool) -> None:
        """Record whether a reused connection broke."""
        self.break_rate, self.break_rate_us = self.break_rate_at(now_us), now_us
        self.break_rate += BREAK_RATE_WEIGHT * (broke - self.break_rate)

    def break_rate_at(self, now_us: int) -> float:
        return (
            self.break_rate * 0.5 ** ((now_us - self.break_rate_us) / BREAK_RATE_HALF_LIFE_US)
            if self.break_rate
            else 0.0
        )
