"""Connections to servers: the idle ones, and the budget of descriptors that all servers share."""

from collections.abc import Callable
from dataclasses import dataclass

from onyxpass.net.http import HttpConnection

RISK_BLEND, RISK_HALVES_US = (
    0.05,
    20_000_000,
)  # how the share of kept connections that break is learnt, and fades


@dataclass(slots=True)
class IdleConnection:
    wire: HttpConnection
    since_us: int
    ready_us: int  # from when on it may be used


@dataclass(slots=True)
class ConnectionBudget:
    """Connections to all replicas together; the rest of the descriptors are for clients."""

    limit: int
    open: int = 0
    risk: float = 0.0  # share of kept connections that broke at their next request lately
    risk_us: int = 0  # when that was learnt
    make_room: Callable[[], bool] = lambda: False  # close the connection that is idle for longest

    def shrink(self) -> None:
        """Guards against idle connections that are kept beyond the limit once it has been
        lowered.
        """
        while self.open > self.limit and self.make_room():
            pass

    def met(self, now_us: int, broke: bool) -> None:
        """A kept connection was used again, and broke or did not."""
        self.risk, self.risk_us = self.risk_at(now_us), now_us
        self.risk += RISK_BLEND * (broke - self.risk)

    def risk_at(self, now_us: int) -> float:
        return self.risk * 0.5 ** ((now_us - self.risk_us) / RISK_HALVES_US) if self.risk else 0.0
