"""A bound on how long one task keeps the event loop in steps that need not wait."""

import asyncio

from onyxpass.core.clock import Clock

MAX_TURN_US = 10_000  # of steps without a wait, until all others have their turn


class LoopTurn:
    """Adds up the time of a task's steps. Owned by that task.

    A stream whose events have come already is forwarded without a single wait; requests, timers and
    other streams would stand still until its end.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._used_us = 0
        self._step_began_us = 0

    def begin_step(self) -> None:
        """Note that a step begins."""
        self._step_began_us = self._clock.now_us()

    async def end_step(self) -> None:
        """Note its end, and let all others have their turn if the task's own has been long."""
        self._used_us += self._clock.now_us() - self._step_began_us
        if self._used_us >= MAX_TURN_US:
            self._used_us = 0
            await asyncio.sleep(0)
