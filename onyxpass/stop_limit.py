"""Bounds the stop of a program: what has not ended by then is named in the log and left."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import structlog

log = structlog.get_logger("stop")


async def stop_within(
    limit_s: float,
    stop: Awaitable[object],
    remaining: Callable[[], Mapping[str, object]] = dict,
) -> bool:
    """Run a stop to its end, or cancel it after ``limit_s``; return whether it has ended.

    ``remaining`` returns what is left, for the log. Raises what the stop raises.
    """
    limit = asyncio.timeout(limit_s)
    try:
        async with limit:
            await stop
    except TimeoutError:
        if not limit.expired():
            raise
        log.warning("stop_overdue", limit_s=limit_s, **remaining())
        return False
    return True
