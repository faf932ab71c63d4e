"""An asyncio event loop that records when each of its turns began and how long the longest was.

A turn of the loop runs what is due between two polls of the sockets. When it began tells since when
the input of the next poll may have been waiting, and how long tasks have kept the loop.
"""

import asyncio
import selectors
import time
from collections.abc import Callable
from weakref import WeakKeyDictionary

BLOCKED_NS = 1_000_000  # a longer poll has blocked, so its input arrived at its end
# when the present turn of a loop other than ``TimedEventLoop`` began, as far as it is known
_turns_of_plain_loops: WeakKeyDictionary[asyncio.AbstractEventLoop, int] = WeakKeyDictionary()


class TimedSelector(selectors.DefaultSelector):
    """Selector that records when its latest input can have arrived, and the turns between polls."""

    def __init__(self) -> None:
        super().__init__()
        self.turn_began_ns = time.monotonic_ns()
        self.longest_turn_ns = 0
        self.recent_longest_turn_ns = 0
        self.unseen_since_ns = self.turn_began_ns

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Poll the sockets for up to ``timeout`` seconds, or without limit if it is None."""
        began_ns = time.monotonic_ns()
        turn_ns = began_ns - self.turn_began_ns
        self.longest_turn_ns = max(self.longest_turn_ns, turn_ns)
        self.recent_longest_turn_ns = max(self.recent_longest_turn_ns, turn_ns)
        ready: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
        ended_ns = time.monotonic_ns()
        # Input that a poll finds without blocking arrived at some time after the previous poll.
        self.unseen_since_ns = ended_ns if ended_ns - began_ns > BLOCKED_NS else self.turn_began_ns
        self.turn_began_ns = ended_ns
        return ready


class TimedEventLoop(asyncio.SelectorEventLoop):
    """Event loop that knows its turns, and how long its latest input may have been waiting."""

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


def turn_clock(loop: asyncio.AbstractEventLoop) -> Callable[[], int]:
    """Return a function that returns the monotonic time, in ns, at which the present turn began.

    It does not keep the loop from being collected, and is to be called while the loop runs. On any
    other loop than ``TimedEventLoop`` that is the time of the first call in a turn.
    """
    if isinstance(loop, TimedEventLoop):
        selector = loop.timed_selector
        return lambda: selector.turn_began_ns

    def first_call_ns() -> int:
        loop = asyncio.get_running_loop()
        if (began_ns := _turns_of_plain_loops.get(loop)) is None:
            began_ns = _turns_of_plain_loops[loop] = time.monotonic_ns()
            loop.call_soon(_turns_of_plain_loops.pop, loop, None)
        return began_ns

    return first_call_ns


def longest_turn_us() -> int:
    """Return the longest turn, in us, since the last ``restart_longest_turn``; 0 if unknown."""
    selector = _timed_selector()
    return selector.longest_turn_ns // 1000 if selector is not None else 0


def take_recent_longest_turn_us() -> int:
    """Return the longest turn, in us, since the last call of this function; 0 if unknown."""
    if (selector := _timed_selector()) is None:
        return 0
    recent_ns, selector.recent_longest_turn_ns = selector.recent_longest_turn_ns, 0
    return recent_ns // 1000


def restart_longest_turn() -> None:
    """Forget the turns so far, such as those of the program's start."""
    if (selector := _timed_selector()) is not None:
        selector.longest_turn_ns = selector.recent_longest_turn_ns = 0


def _timed_selector() -> TimedSelector | None:
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return None
    return loop.timed_selector if isinstance(loop, TimedEventLoop) else None
