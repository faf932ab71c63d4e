"""Releases the state that servers have reserved for a request.

Failed connects, unanswered calls and silent connections of a release share one time budget, which
starts at ``Request.reserved_since_us`` and lasts at least ``MIN_BUDGET_US`` from the first call on.
"""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine, Iterable

import structlog

from onyxpass.core.dispatcher import RequestDispatcher
from onyxpass.core.requests import Request

HEDGE_DELAY_US = 25_000  # time until the next server is called beside an unanswered one
MIN_BUDGET_US = 225_000  # minimum time for which a release is tried
GRACE_US = 150_000  # time beyond ``release_within_us`` for which a release is tried
MAX_CALLS = 6  # concurrent calls of one release
RETRY_DELAY_US = 5_000  # between two calls that fail immediately
log = structlog.get_logger("release")
# Called with a server; returns whether that server released the state.
ReleaseCall = Callable[[str], Coroutine[object, object, bool]]


async def release(
    core: RequestDispatcher,
    request: Request,
    others: Callable[[], Iterable[str]],
    call: ReleaseCall,
) -> bool:
    """Have a server release a request's state, and return whether one did.

    Any server can do it. The holder is called first, then ``others`` in their order, then all of
    them again. The next server is called while earlier calls are unanswered, and after calls that
    failed, so that state does not stay reserved while the servers of a lost zone cannot be reached.
    """
    clock = core.clock
    end_us = request.reserved_since_us + core.settings.release_within_us + GRACE_US
    end_us = max(end_us, clock.now_us() + MIN_BUDGET_US)
    calls: set[asyncio.Task[bool]] = set()
    uncalled: list[str] = []
    call_count = 0
    try:
        while clock.now_us() < end_us:
            if len(calls) < MAX_CALLS:
                uncalled = uncalled or _call_order(core, request, others())
                calls.add(asyncio.create_task(call(uncalled.pop(0))))
                call_count += 1
            if await _any_succeeds(core, calls, HEDGE_DELAY_US):
                _report(core, request, call_count, released=True)
                return True
            if not calls:  # prevents a busy loop while no server can be called
                await core.wheel.sleep(RETRY_DELAY_US)
        _report(core, request, call_count, released=False)
        return False
    finally:
        for task in calls:
            task.cancel()


def _report(core: RequestDispatcher, request: Request, calls: int, *, released: bool) -> None:
    """Log and count the result of a release; ``calls``: number of calls made."""
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
    """Return the servers to call, without excluded ones unless all are excluded."""
    names = list(dict.fromkeys([request.state_holder, *others]))
    return [name for name in names if name not in core.endpoints.excluded] or names


async def _any_succeeds(
    core: RequestDispatcher, calls: set[asyncio.Task[bool]], wait_us: int
) -> bool:
    """Return whether a call succeeds within ``wait_us``; ended calls are removed from ``calls``."""
    end_us = core.clock.now_us() + wait_us
    while calls and (remaining_us := end_us - core.clock.now_us()) > 0:
        with contextlib.suppress(TimeoutError):
            async with core.wheel.timeout(remaining_us):
                await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
        done = {task for task in calls if task.done()}
        calls -= done
        if any(task.result() for task in done):
            return True
    return False
