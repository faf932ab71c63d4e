"""Reduces the faults of a schedule that fails to the fewest that still do, without I/O."""

from collections.abc import Awaitable, Callable, Sequence

from onyxpass.soak.schedule import Fault

Fails = Callable[[Sequence[Fault]], Awaitable[bool]]


async def shrunk(faults: Sequence[Fault], fails: Fails) -> list[Fault]:
    """Delta debugging: leave out ever smaller parts for as long as what remains still fails."""
    found, parts = list(faults), 2
    while len(found) > 1:
        size = -(-len(found) // parts)
        for start in range(0, len(found), size):
            rest = found[:start] + found[start + size :]
            if rest and await fails(rest):
                found, parts = rest, max(2, parts - 1)
                break
        else:
            if parts >= len(found):
                break
            parts = min(len(found), 2 * parts)
    return found
