"""Limits how long tasks can occupy the event loop with steps that do not wait."""

import asyncio
import time

from onyxpass.core.event_loop import turn_began_ns

MAX_TURN_US = 10_000  # time of a turn of the event loop after which a task yields


async def end_long_turn() -> None:
    """Yield to all other tasks, timers and sockets if the present turn has lasted ``MAX_TURN_US``.

    To be called before each step of a loop whose input may already be buffered: such a loop never
    waits, and without yielding it would keep requests, timers and other streams from being served
    for as long as its peer sends. The time of the turn counts, whichever tasks used it, so many
    such loops together exceed it by one step each.
    """
    if time.monotonic_ns() - turn_began_ns() >= MAX_TURN_US * 1000:
        await asyncio.sleep(0)
