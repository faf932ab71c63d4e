"""Connections to servers, for both wires: what is lacking here is told apart from what is wrong there."""

import asyncio
import errno

SHORT = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))


class Shortage(Exception):
    """This dispatcher lacks what a connection needs. It says nothing of the server."""


async def connect(
    host: str, port: int, limit: int = 2**16
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """A connection to a server, at the second try if the first is reset: nothing has been sent by then.

    Guards against a server blamed for what is lacking here, and against attempts spent where some new
    connections are dropped. One that is refused or silent is not tried again.
    """
    for last in (False, True):
        try:
            return await asyncio.open_connection(host, port, limit=limit)
        except OSError as problem:
            if problem.errno in SHORT:
                raise Shortage(str(problem)) from problem
            if last or not isinstance(problem, ConnectionResetError):
                raise
    raise AssertionError("not reached")
