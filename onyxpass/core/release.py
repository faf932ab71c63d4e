"""Releases the state that servers have reserved for a request.

One budget counts from the moment at which nothing was in flight any more
(``Request.reserved_since_us``): connects that fail, calls that nobody answers and connections that
are silent all run within it.
"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterable

import structlog

from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.requests import Request

HEDGE_DELAY_US = 25_000  # one server is waited for so long till the next is called as well
MIN_BUDGET_US = 225_000  # tried for in any case
GRACE_US = 150_000  # tried for past the time in the settings
MAX_CALLS = 6  # in flight at once
RETRY_DELAY_US = 5_000  # between two calls that fail at once
log = structlog.get_logger("release")
ReleaseCall = Callable[[str], Coroutine[object, object, bool]]  # by server; whether it released


async def release(
    core: RequestDispatcher,
    request: Request,
    others: Callable[[], Iterable[str]],
    call: ReleaseCall,
) -> bool:
    """Have some server release a request's state, and return whether one did.

    Any server will do; the holder is called first, then ``others`` in their order, then all over
    again. Prevents state from staying reserved while a lost zone's servers are called in vain one
    after another: the next is called beside those that have not answered; and while the first few
    cannot be called at all.
    """
    clock = core.clock
    due_us = request.reserved_since_us + core.settings.release_within_us + GRACE_US
    due_us = max(due_us, clock.now_us() + MIN_BUDGET_US)
    calls: set[asyncio.Task[bool]] = set()
    order: list[str] = []
    call_count = 0
    try:
        while clock.now_us() < due_us:
            if len(calls) < MAX_CALLS:
                order = order or _call_order(core, request, others())
                calls.add(asyncio.create_task(call(order.pop(0))))
                call_count += 1
            if await _any_succeeds(core, calls, HEDGE_DELAY_US):
                _report(core, request, call_count, released=True)
                return True
            if not calls:  # prevents a busy loop where nobody can be called just now
                await core.wheel.sleep(RETRY_DELAY_US)
        _report(core, request, call_count, released=False)
        return False
    finally:
        for task in calls:
            task.cancel()


def _report(core: RequestDispatcher, request: Request, calls: int, *, released: bool) -> None:
    """Log and count how a release ended; ``calls``: servers that were asked."""
    core.metrics.states_released += released
    core.metrics.states_not_released += not released
    fields = {
        "id": request.id,
        "holder": request.state_holder,
        "held_us": core.reservations.reserved_for_us(request),
        "calls": calls,
    }
    if released:
        log.info("state_released", **fields)
    else:
        log.warning("state_not_released", **fields)


def _call_order(core: RequestDispatcher, request: Request, others: Iterable[str]) -> list[str]:
    """Return the servers to call; none that operators excluded, unless there is no other."""
    names = list(dict.fromkeys([request.state_holder, *others]))
    return [name for name in names if name not in core.endpoints.excluded] or names


async def _any_succeeds(
    core: RequestDispatcher, calls: set[asyncio.Task[bool]], wait_us: int
) -> bool:
    """Return whether a call succeeds within that time; calls that end are taken out."""
    due_us = core.clock.now_us() + wait_us
    while calls and (left_us := due_us - core.clock.now_us()) > 0:
        with contextlib.suppress(TimeoutError):
            async with core.wheel.timeout(left_us):
                await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        done = {task for task in calls if task.done()}
        calls -= done
        if any(task.result() for task in done):
            return True
    return False
