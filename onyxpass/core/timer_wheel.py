"""A timer wheel: timers are coarse ticks; to set or drop one costs a set operation, no heap."""

import asyncio
from collections.abc import Callable
from types import TracebackType

import structlog

from onyxpass.core.clock import Clock, cpu_us

TICK_US = 5_000
MAX_SLEEP_TICKS = 64  # with no timer in between
STALL_TICKS = 4  # so far behind, the process has been stalled
HELD_UP_US = 150_000  # a stall that is logged
ROUNDS_AFTER_STALL = 6  # of the event loop, that go before the timers
SLOTS = 512  # a revolution is 2.56 s; what lies further ahead waits some revolutions in its slot
log = structlog.get_logger("wheel")


class Timer:
    """One pending call. It never fires early, and at most a tick or so late."""

    __slots__ = ("_call", "_slot", "due_tick")

    def __init__(self, due_tick: int, call: Callable[[], None], slot: "set[Timer]") -> None:
        self.due_tick = due_tick
        self._call = call
        self._slot = slot

    def cancel(self) -> None:
        """Cancel the timer, if it is still pending."""
        self._slot.discard(self)

    def fire(self) -> None:
        """Make the call."""
        self._call()


class Timeout:
    """``async with wheel.timeout(us)``: raises TimeoutError in the block once the time is over."""

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
        # Prevents swallowing a cancellation from elsewhere that came together with the expiry.
        ours = self._expired and self._task is not None and self._task.uncancel() <= 0
        if ours and kind is asyncio.CancelledError:
            raise TimeoutError from error


class TimerWheel:
    """Owner of all pending timers. Those that are due fire in the order of their ticks.

    It sleeps until the next tick that has a timer, so that an idle process costs next to nothing:
    where hundreds share a machine, ticks that fire nothing were most of their cost.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._slots: list[set[Timer]] = [set() for _ in range(SLOTS)]
        self._tick = clock.now_us() // TICK_US
        self._loop: asyncio.AbstractEventLoop | None = None  # while it runs
        self._next: asyncio.Handle | None = None
        self._rounds_since_stall = 0
        self._next_tick = 0
        self._failed: asyncio.Future[None] | None = None

    def after(self, delay_us: int, call: Callable[[], None]) -> Timer:
        """Make the call once ``delay_us`` have passed: never early, at most a tick or so late."""
        due = max(self._tick + 1, -(-(self.clock.now_us() + max(0, delay_us)) // TICK_US))
        slot = self._slots[due % SLOTS]
        timer = Timer(due, call, slot)
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
        """Fire all that is due by now."""
        now_tick = self.clock.now_us() // TICK_US
        # Prevents missed timers after a stall longer than a revolution: each slot is then looked
        # at once.
        first = max(self._tick + 1, now_tick - SLOTS + 1)
        self._tick = max(self._tick, now_tick)
        for tick in range(first, now_tick + 1):
            slot = self._slots[tick % SLOTS]
            if not slot:
                continue
            for timer in sorted(
                (t for t in slot if t.due_tick <= now_tick), key=lambda t: t.due_tick
            ):
                if timer in slot:  # not dropped by one that fired before it
                    slot.discard(timer)
                    try:
                        timer.fire()
                    except Exception:
                        log.exception("timer_failed")

    async def run(self) -> None:
        """Fire timers until cancelled; an error of the wheel itself is raised here."""
        self._loop = asyncio.get_running_loop()
        self._failed = self._loop.create_future()
        self._next_tick = self.clock.now_us() // TICK_US  # a start is no stall
        self._advance_and_sleep()
        try:
            await self._failed  # never done but by an error, which ends the program
        finally:
            self._loop = None
            if self._next is not None:
                self._next.cancel()

    def _advance_and_sleep(self) -> None:
        loop, failed = self._loop, self._failed
        if loop is None or failed is None or failed.done():
            return
        # Prevents timeouts of what came while this process stood still or was kept from running: a
        # connection that is up, an answer that has arrived, is taken in before the timers fire.
        if (
            self._rounds_since_stall < ROUNDS_AFTER_STALL
            and self.clock.now_us() // TICK_US >= self._next_tick + STALL_TICKS
        ):
            if not self._rounds_since_stall:
                self._log_stall()
            self._rounds_since_stall += 1
            self._next = loop.call_soon(self._advance_and_sleep)
            return
        self._rounds_since_stall = 0
        try:
            self._next_tick = self._tick  # what is set meanwhile is found by the look at the slots
            self.advance()
            # A slot may hold timers of a later revolution only; then it is looked at once in vain.
            ahead = next(
                (n for n in range(1, MAX_SLEEP_TICKS) if self._slots[(self._tick + n) % SLOTS]),
                MAX_SLEEP_TICKS,
            )
            self._sleep_until(loop, self._tick + ahead)
        except Exception as error:  # noqa: BLE001 - ``run`` raises it: no process without its wheel
            failed.set_exception(error)

    def _log_stall(self) -> None:
        """Log a stall that keeps this process from all its times.

        ``at_us`` is monotonic; ``cpu_us`` is all processor time so far, as in the line ``state``:
        if it has hardly grown, the machine did not run the process.
        """
        now_us = self.clock.now_us()
        late_us = now_us - self._next_tick * TICK_US
        if late_us > HELD_UP_US:
            at_us = self.clock.to_monotonic_us(now_us)
            log.info("process_held_up", late_us=late_us, at_us=at_us, cpu_us=cpu_us())

    def _sleep_until(self, loop: asyncio.AbstractEventLoop, tick: int) -> None:
        if self._next is not None:
            self._next.cancel()
        self._next_tick = tick
        wait_us = tick * TICK_US - self.clock.now_us()
        self._next = loop.call_later(max(0, wait_us) / 1e6, self._advance_and_sleep)
