"""Reduces a failing schedule to a small set of faults that still fails, without I/O."""

from collections.abc import Awaitable, Callable, Sequence

from onyxpass.soak.schedule import ScheduledFault

Fails = Callable[[Sequence[ScheduledFault]], Awaitable[bool]]


async def minimize_faults(faults: Sequence[ScheduledFault], fails: Fails) -> list[ScheduledFault]:
    """Leave out ever smaller parts for as long as the rest still fails (delta debugging)."""
    remaining, parts = list(faults), 2
    while len(remaining) > 1:
        size = -(-len(remaining) // parts)
        for start in range(0, len(remaining), size):
            rest = remaining[:start] + remaining[start + size :]
            if rest and await fails(rest):
                remaining, parts = rest, max(2, parts - 1)
                break
        else:
            if parts >= len(remaining):
                break
            parts = min(len(remaining), 2 * parts)
    return remaining
