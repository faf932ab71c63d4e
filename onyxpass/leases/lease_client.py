"""The driver of a lease holder: sends its requests to a store and runs its timers.

All decisions are ``LeaseHolder``'s. A client owns its holder and the tasks that it starts; they end
with ``release`` or ``close``.
"""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from enum import StrEnum

import structlog

from onyxpass.leases.holder import (
    BeginActing,
    HolderAction,
    HolderState,
    LeaseHolder,
    SendRequest,
    StopActing,
    WakeUpAt,
)
from onyxpass.leases.messages import LeaseReply, LeaseRequest

RELEASE_TIMEOUT_S = 2.0

log = structlog.get_logger("leases")

RequestSender = Callable[[LeaseRequest], Awaitable[LeaseReply]]
"""Sends a request to where the lease is stored; raises ``LeaseUnansweredError``."""


class LeaseUnansweredError(Exception):
    """It is not known whether a request took effect."""


class LeaseChange(StrEnum):
    """What a client reports; the values stand in lease histories."""

    HELD = "held"
    LOST = "lost"


ChangeListener = Callable[[LeaseChange, int, str], None]
"""Called with the change, the token, and the reason of a loss."""


def _ignore_change(_change: LeaseChange, _token: int, _reason: str) -> None:
    pass


class LeaseClient:
    """Acquires, renews and releases one lease.

    ``on_change`` is called at each gain and loss; ``acquired`` is set while a token is held.
    """

    def __init__(
        self,
        holder: LeaseHolder,
        send: RequestSender,
        clock_ms: Callable[[], int],
        on_change: ChangeListener = _ignore_change,
    ) -> None:
        self.holder = holder
        self.acquired = asyncio.Event()
        self._send = send
        self._clock_ms = clock_ms
        self._on_change = on_change
        self._state_changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def token(self) -> int:
        """The token to act under now; 0 for none, also at once in a process that was suspended."""
        return self.holder.token if self.holder.may_act(self._clock_ms()) else 0

    async def acquire(self, highest_seen_token: int = 0, timeout_s: float | None = None) -> bool:
        """Wait for the lease; return whether it is held, False after ``timeout_s``."""
        self._perform(self.holder.acquire(self._clock_ms(), highest_seen_token))
        try:
            async with asyncio.timeout(timeout_s):
                await self.acquired.wait()
        except TimeoutError:
            await self.release()
            return False
        return True

    async def release(self, timeout_s: float = RELEASE_TIMEOUT_S) -> None:
        """Give the lease back and close. If the store can't be reached, the lease expires."""
        self._perform(self.holder.release(self._clock_ms()))
        try:
            async with asyncio.timeout(timeout_s):
                while self.holder.state is HolderState.RELEASING:
                    self._state_changed.clear()
                    await self._state_changed.wait()
        except TimeoutError:
            log.warning("lease_release_unconfirmed", holder=self.holder.name)
        finally:
            self.close()

    def close(self) -> None:
        """Stop all requests and timers. The lease is not given back, and expires."""
        for task in list(self._tasks):
            task.cancel()

    def _perform(self, actions: list[HolderAction]) -> None:
        for action in actions:
            match action:
                case SendRequest(number, request):
                    self._start(self._exchange(number, request))
                case BeginActing(token):
                    self.acquired.set()
                    self._on_change(LeaseChange.HELD, token, "")
                case StopActing(token, reason):
                    self.acquired.clear()
                    self._on_change(LeaseChange.LOST, token, reason)
                case WakeUpAt(at_ms):
                    self._start(self._wake_up(at_ms))
        self._state_changed.set()

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _wake_up(self, at_ms: int) -> None:
        await asyncio.sleep(max(0, at_ms - self._clock_ms()) / 1000)
        self._perform(self.holder.tick(self._clock_ms()))

    async def _exchange(self, number: int, request: LeaseRequest) -> None:
        try:
            reply = await self._send(request)
        except LeaseUnansweredError as error:
            log.info("lease_request_unanswered", holder=self.holder.name, error=str(error))
            self._perform(self.holder.on_no_reply(number, self._clock_ms()))
        else:
            self._perform(self.holder.on_reply(number, reply, self._clock_ms()))
