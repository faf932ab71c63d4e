"""Actors: each owns its state and handles the messages of its mailbox one at a time, in order."""

import asyncio
import time
from typing import Generic, TypeVar

import structlog

from onyxpass.core.event_loop import turn_clock
from onyxpass.core.loop_turn import MAX_TURN_US

Message = TypeVar("Message")
log = structlog.get_logger("actor")


class Actor(Generic[Message]):
    """Handles the messages of its mailbox; an exception in a handler does not end the actor."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.mailbox: asyncio.Queue[Message | asyncio.Future[None]] = asyncio.Queue()

    def tell(self, message: Message) -> None:
        """Queue a message without waiting."""
        self.mailbox.put_nowait(message)

    async def settled(self) -> None:
        """Wait until all messages that were queued before are handled."""
        reached = asyncio.get_running_loop().create_future()
        self.mailbox.put_nowait(reached)
        await reached

    def receive(self, message: Message) -> None:
        """Handle a message."""
        raise NotImplementedError

    def recover(self, message: Message) -> None:
        """Clean up after a message whose handler raised an exception."""

    async def run(self) -> None:
        """Handle messages until cancelled."""
        turn_began_ns = turn_clock(asyncio.get_running_loop())
        while True:
            # Not kept in a variable: an idle actor would hold what its last message refers to.
            self._process(await self.mailbox.get())
            # A queue that is not empty never waits, and would keep timers from the loop.
            if time.monotonic_ns() - turn_began_ns() > MAX_TURN_US * 1000:
                await asyncio.sleep(0)

    def _process(self, message: Message | asyncio.Future[None]) -> None:
        if isinstance(message, asyncio.Future):
            if not message.done():  # its waiter may have been cancelled
                message.set_result(None)
            return
        try:
            self.receive(message)
        except Exception:
            log.exception("message_failed", actor=self.name)
            self._clean_up(message)

    def _clean_up(self, message: Message) -> None:
        try:
            self.recover(message)
        except Exception:
            # An uncaught exception would end the actor, and its later messages would be lost.
            log.exception("message_cleanup_failed", actor=self.name)
