"""Actors: each owns its state and handles the messages of its mailbox one at a time, in order."""

import asyncio
from typing import Generic, TypeVar

import structlog

Message = TypeVar("Message")
log = structlog.get_logger("actor")


class Actor(Generic[Message]):
    """Handles the messages of its mailbox; an exception in a handler does not end the actor."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.mailbox: asyncio.Queue[Message] = asyncio.Queue()

    def tell(self, message: Message) -> None:
        """Queue a message without waiting."""
        self.mailbox.put_nowait(message)

    def receive(self, message: Message) -> None:
        """Handle a message."""
        raise NotImplementedError

    def recover(self, message: Message) -> None:
        """Clean up after a message whose handler raised an exception."""

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self.mailbox.get()
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
