"""Ends an exchange with a server that holds too much of the process's memory."""

from collections.abc import Callable

import structlog

from onyxpass.core.requests import Attempt

log = structlog.get_logger("memory")


def evict_exchange(attempt: Attempt, server: str, abort: Callable[[], None]) -> None:
    """End the exchange of an attempt; ``abort`` breaks the connection to its server.

    The client of a stream does not read it, and counts as gone: the server is not to blame.
    """
    log.warning("exchange_evicted", id=attempt.request.id, server=server)
    if attempt.committed:
        attempt.request.client.disconnect()
    else:
        abort()
