"""The health check of an instance: whether it accepts connections."""

import asyncio

from onyxpass.config.platform_file import Address

CONNECT_TIMEOUT_S = 1.0


async def accepts_connections(address: Address) -> bool:
    """Return whether a connection to ``address`` opens within ``CONNECT_TIMEOUT_S``."""
    opening = asyncio.open_connection(address.host, address.port)
    try:
        _, writer = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
