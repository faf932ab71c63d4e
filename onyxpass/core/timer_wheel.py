"""A timer wheel with coarse ticks, where setting or cancelling a timer is one set operation."""

import asyncio
from collections.abc import Callable
from types import TracebackType

import structlog

from onyxpass.core.clock import Clock, cpu_us

TICK_US = 5_000
MAX_SLEEP_TICKS = 64  # longest sleep if no timer is due in between
STALL_TICKS = 4  # delay from which the process counts as stalled
LOGGED_STALL_US = 150_000  # longer stalls are logged
ROUNDS_AFTER_STALL = 6  # iterations of the event loop after a stall, before timers fire
SLOTS = 512  # a revolution is 2.56 s; later timers wait in their slots for several revolutions
log = structlog.get_logger("wheel")


def _do_nothing() -> None:
    """Take the place of a callback that is not called any more."""


class Timer:
    """One pending call. It never fires early and, without a stall, at most about a tick late.

    Its callback, and what that refers to, is let go of when the timer is cancelled or fires.
    """

    __slots__ = ("_callback", "_slot", "due_tick")

    def __init__(self, due_tick: int, callback: Callable[[], None], slot: "set[Timer]") -> None:
        self.due_tick = due_tick
        self._callback = callback
        self._slot = slot

    def cancel(self) -> None:
        """Cancel the timer if it is still pending."""
        self._slot.discard(self)
        self._callback = _do_nothing

    def fire(self) -> None:
        """Call the callback."""
        callback, self._callback = self._callback, _do_nothing
        callback()


class Timeout:
    """Made by ``TimerWheel.timeout``; ends its block with TimeoutError once the time is over."""

    def __init__(self, wheel: "TimerWheel", delay_us: int) -> None:
        self._wheel = wheel
        self._delay_us = delay_us
        self._expired = False
        self._timer: Timer | None = None
        self._task: asyncio.Task[object] | None = None

    async def __aenter__(self) -> "Timeout":
        self._task = asyncio.current_task()
        self._timer = self._wheel.after(self._delay_us, self.expire)
        return self

    def expire(self) -> None:
        """End the block as if its time were over."""
        if self._task is not None:
            self._expired = True
            self._task.cancel()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        # Prevents swallowing a cancellation from elsewhere that coincides with the expiry.
        task, self._task = self._task, None  # the task's error may refer to this block
        is_own = self._expired and task is not None and task.uncancel() <= 0
        if is_own and kind is asyncio.CancelledError:
            raise TimeoutError from error


class TimerWheel:
    """Owns all pending timers.

    Due timers fire in the order of their ticks, except after a stall longer than a revolution.

    The wheel sleeps until the next tick that has a timer, so that an idle process uses next to no
    CPU time: with hundreds of processes on a machine, empty ticks were most of their cost.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._slots: list[set[Timer]] = [set() for _ in range(SLOTS)]
        self._tick = clock.now_us() // TICK_US
        self._loop: asyncio.AbstractEventLoop | None = None  # while it runs
        self._wakeup: asyncio.Handle | None = None
        self._rounds_since_stall = 0
        self._next_tick = 0
        self._failed: asyncio.Future[None] | None = None

    def after(self, delay_us: int, callback: Callable[[], None]) -> Timer:
        """Call ``callback`` once ``delay_us`` have passed; see ``Timer`` for the precision."""
        due = max(self._tick + 1, -(-(self.clock.now_us() + max(0, delay_us)) // TICK_US))
        slot = self._slots[due % SLOTS]
        timer = Timer(due, callback, slot)
        slot.add(timer)
        if self._loop is not None and due < self._next_tick:
            self._sleep_until(self._loop, due)
        return timer

    def timeout(self, delay_us: int) -> Timeout:
        """Return a context manager that limits the time of its block."""
        return Timeout(self, delay_us)

    async def sleep(self, delay_us: int) -> None:
        """Wait for ``delay_us``."""
        due = asyncio.Event()
        timer = self.after(delay_us, due.set)
        try:
            await due.wait()
        finally:
            timer.cancel()

    def advance(self) -> None:
        """Fire all timers that are due."""
        now_tick = self.clock.now_us() // TICK_US
        # After a stall longer than a revolution, each slot is visited once, so that no timer is
        # missed.
        first = max(self._tick + 1, now_tick - SLOTS + 1)
        self._tick = max(self._tick, now_tick)
        for tick in range(first, now_tick + 1):
            slot = self._slots[tick % SLOTS]
            if not slot:
                continue
            for timer in sorted(
                (t for t in slot if t.due_tick <= now_tick), key=lambda t: t.due_tick
            ):
                if timer in slot:  # not cancelled by one that fired before it
                    slot.discard(timer)
                    try:
                        timer.fire()
                    except Exception:
                        log.exception("timer_failed")

    async def run(self) -> None:
        """Fire timers until cancelled; an error of the wheel itself is raised here."""
        self._loop = asyncio.get_running_loop()
        self._failed = self._loop.create_future()
        self._next_tick = self.clock.now_us() // TICK_US  # the time before the start is no stall
        self._advance_and_sleep()
        try:
            await self._failed  # completes only with an error, which ends the program
        finally:
            self._loop = None
            if self._wakeup is not None:
                self._wakeup.cancel()

    def _advance_and_sleep(self) -> None:
        loop, failed = self._loop, self._failed
        if loop is None or failed is None or failed.done():
            return
        # Prevents timing out what arrived while this process was stopped or kept from running: an
        # established connection or an answer is processed before the timers fire.
        if (
            self._rounds_since_stall < ROUNDS_AFTER_STALL
            and self.clock.now_us() // TICK_US >= self._next_tick + STALL_TICKS
        ):
            if not self._rounds_since_stall:
                self._log_stall()
            self._rounds_since_stall += 1
            self._wakeup = loop.call_soon(self._advance_and_sleep)
            return
        self._rounds_since_stall = 0
        try:
            self._next_tick = self._tick  # the scan below finds timers set during ``advance``
            self.advance()
            # A slot may hold only timers of a later revolution; the wheel then wakes without need.
            ahead = next(
                (n for n in range(1, MAX_SLEEP_TICKS) if self._slots[(self._tick + n) % SLOTS]),
                MAX_SLEEP_TICKS,
            )
            self._sleep_until(loop, self._tick + ahead)
        except Exception as error:  # noqa: BLE001 - ``run`` raises it: no process without its wheel
            failed.set_exception(error)

    def _log_stall(self) -> None:
        """Log a stall, during which no timer of this process could fire.

        ``at_us`` is monotonic time; ``cpu_us`` is the process's CPU time so far, as in the log line
        ``state``: if it has hardly grown, the machine did not run the process.
        """
        now_us = self.clock.now_us()
        late_us = now_us - self._next_tick * TICK_US
        if late_us > LOGGED_STALL_US:
            at_us = self.clock.to_monotonic_us(now_us)
            log.info("process_held_up", late_us=late_us, at_us=at_us, cpu_us=cpu_us())

    def _sleep_until(self, loop: asyncio.AbstractEventLoop, tick: int) -> None:
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._next_tick = tick
        wait_us = tick * TICK_US - self.clock.now_us()
        self._wakeup = loop.call_later(max(0, wait_us) / 1e6, self._advance_and_sleep)
