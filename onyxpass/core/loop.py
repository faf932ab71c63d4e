"""The event loop of a dispatcher: asyncio's own, with fewer questions to the kernel."""

import asyncio
import selectors

SKIPS = 3  # looks at the sockets left out in a row while calls are ready


class CalmSelector(selectors.DefaultSelector):
    """Looks at the sockets only once a few rounds of ready calls are done, or nothing is ready.

    A loop with ready calls asks the kernel before each round, though a round is often the second half of one
    event: a reader is fed, and its task goes on in the next. Those questions were half of all that a stream's
    event cost in system calls. A socket that becomes readable meanwhile waits ``SKIPS`` rounds at the most.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """As asyncio calls it: ``timeout`` 0 means that calls are ready."""
        if timeout is not None and timeout <= 0 and self._skipped < SKIPS:
            self._skipped += 1
            return []
        self._skipped = 0
        found: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        return found


def make() -> asyncio.AbstractEventLoop:
    """For ``asyncio.Runner``."""
    return asyncio.SelectorEventLoop(CalmSelector())
