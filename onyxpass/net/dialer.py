"""Connections to servers of both protocols; separates local shortages from server failures."""

import asyncio
import errno

# Errors of this machine: of its descriptors, buffers or ports (connect(2), socket(2)).
LOCAL_SHORTAGE_ERRNOS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ECONNABORTED,
    )
)
# Errors that may be as short-lived as a local shortage, but that concern the route to one server if
# they persist.
UNREACHABLE_ERRNOS = frozenset((errno.ENETUNREACH, errno.EHOSTUNREACH, errno.EACCES, errno.EPERM))
# delay before each retry after a local shortage or an unreachable route; most are short
RETRY_DELAYS_S = (0.002, 0.005, 0.015)


class ResourceShortageError(Exception):
    """This dispatcher lacks a resource that a connection needs; says nothing about the server."""


async def connect(
    host: str,
    port: int,
    limit: int = 2**16,
    protocol_type: type[asyncio.StreamReaderProtocol] = asyncio.StreamReaderProtocol,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection to a server; ``ResourceShortageError`` if a local resource is lacking.

    Prevents blaming a server for a local shortage, and wasting attempts where some new connections
    are dropped: a reset is retried once, a shortage or an unreachable route a few times. A refused
    connection or one without an answer is not retried. ``limit`` is that of the reader.
    """
    delays = iter(RETRY_DELAYS_S)
    was_reset = False
    while True:
        try:
            return await _open_streams(host, port, limit, protocol_type)
        except OSError as error:
            is_shortage = error.errno in LOCAL_SHORTAGE_ERRNOS
            if is_shortage or error.errno in UNREACHABLE_ERRNOS:
                if (delay_s := next(delays, None)) is not None:
                    await asyncio.sleep(delay_s)
                elif is_shortage:
                    raise ResourceShortageError(str(error)) from error
                else:
                    raise
            elif isinstance(error, ConnectionResetError) and not was_reset:
                was_reset = True
            else:
                raise


async def open_connection(
    host: str, port: int, limit: int, protocol_type: type[asyncio.StreamReaderProtocol]
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open streams as ``asyncio.open_connection`` does, with a protocol of this type."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit, loop)
    protocol = protocol_type(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def _open_streams(
    host: str, port: int, limit: int, protocol_type: type[asyncio.StreamReaderProtocol]
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open the streams; OSError with EAGAIN if the connection was not established.

    asyncio takes EAGAIN from connect for a connection in progress, and then returns one that is not
    connected.
    """
    reader, writer = await open_connection(host, port, limit, protocol_type)
    if writer.get_extra_info("peername") is None:
        writer.transport.abort()
        raise OSError(errno.EAGAIN, "the connection was not established")
    return reader, writer
