"""The event loop of a dispatcher: asyncio's own, which knows since when input may have waited."""

import asyncio
import selectors
import time

BLOCKED_NS = 1_000_000  # a poll that took longer had to wait: what it found came at its end


class TimedSelector(selectors.DefaultSelector):
    """Notes a lower bound of when what it found can have come."""

    def __init__(self) -> None:
        super().__init__()
        self._polled_ns = time.monotonic_ns()
        self.unseen_since_ns = self._polled_ns

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll the sockets for up to ``timeout`` seconds, without end if it is None."""
        began_ns = time.monotonic_ns()
        found: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        ended_ns = time.monotonic_ns()
        # What a poll finds without waiting came at some time since the poll before it.
        self.unseen_since_ns = ended_ns if ended_ns - began_ns > BLOCKED_NS else self._polled_ns
        self._polled_ns = ended_ns
        return found


class TimedEventLoop(asyncio.SelectorEventLoop):
    """Knows since when what it found last may have waited in the kernel."""

    def __init__(self) -> None:
        self.timed_selector = TimedSelector()
        super().__init__(self.timed_selector)


def make() -> asyncio.AbstractEventLoop:
    """Return a new loop, for ``asyncio.Runner``."""
    return TimedEventLoop()


def unseen_since_ns() -> int:
    """Return a lower bound, on the monotonic clock, of when the last input can have come.

    Another loop than ours does not know it: then it is the present.
    """
    loop = asyncio.get_running_loop()
    return (
        loop.timed_selector.unseen_since_ns
        if isinstance(loop, TimedEventLoop)
        else time.monotonic_ns()
    )
