"""Limits how long one task can occupy the event loop with steps that do not wait."""

import asyncio

from onyxpass.core.clock import Clock

MAX_TURN_US = 10_000  # total time of steps without a wait, after which the task yields


class LoopTurn:
    """Adds up the time of a task's steps and yields once it is too long; used by that task only.

    A stream whose events have already arrived is forwarded without a single wait. Without yielding,
    requests, timers and other streams would not be served until the end of that stream.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._used_us = 0
        self._step_began_us = 0

    def begin_step(self) -> None:
        """Record the start of a step."""
        self._step_began_us = self._clock.now_us()

    async def end_step(self) -> None:
        """Record the end of a step; yield to other tasks if the steps have taken too long."""
        self._used_us += self._clock.now_us() - self._step_began_us
        if self._used_us >= MAX_TURN_US:
            self._used_us = 0
            await asyncio.sleep(0)
