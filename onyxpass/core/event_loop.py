"""An asyncio event loop that records since when its latest input may have been waiting."""

import asyncio
import selectors
import time

BLOCKED_NS = 1_000_000  # a longer poll has blocked, so its input arrived at its end


class TimedSelector(selectors.DefaultSelector):
    """Selector that records the earliest time at which its latest input can have arrived."""

    def __init__(self) -> None:
        super().__init__()
        self._polled_ns = time.monotonic_ns()
        self.unseen_since_ns = self._polled_ns

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll the sockets for up to ``timeout`` seconds, or without limit if it is None."""
        began_ns = time.monotonic_ns()
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        ended_ns = time.monotonic_ns()
        # Input that a poll finds without blocking arrived at some time after the previous poll.
        self.unseen_since_ns = ended_ns if ended_ns - began_ns > BLOCKED_NS else self._polled_ns
        self._polled_ns = ended_ns
        return ready


class TimedEventLoop(asyncio.SelectorEventLoop):
    """Event loop that knows since when its latest input may have been waiting in the kernel."""

    def __init__(self) -> None:
        self.timed_selector = TimedSelector()
        super().__init__(self.timed_selector)


def make() -> asyncio.AbstractEventLoop:
    """Return a new loop, for ``asyncio.Runner``."""
    return TimedEventLoop()


def unseen_since_ns() -> int:
    """Return the earliest monotonic time, in ns, at which the latest input can have arrived.

    On any other loop than ``TimedEventLoop`` that is unknown, and the current time is returned.
    """
    loop = asyncio.get_running_loop()
    return (
        loop.timed_selector.unseen_since_ns
        if isinstance(loop, TimedEventLoop)
        else time.monotonic_ns()
    )
