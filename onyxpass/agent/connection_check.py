"""The health check of an instance: whether it accepts connections."""

import asyncio

from onyxpass.config.platform_file import Address

CONNECT_TIMEOUT_S = 1.0


async def accepts_connections(address: Address) -> bool:
    """Return whether a connection to ``address`` opens within ``CONNECT_TIMEOUT_S``."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
