"""A stand-in for the platform's front layer, which spreads requests over ready dispatchers."""

import asyncio
import itertools

from onyxpass.history_checkers.trace import Trace
from onyxpass.testbed.client import ClientResult, send_request

POLL_INTERVAL_S = 0.05  # between two readiness checks of a dispatcher
POLL_TIMEOUT_S = 0.5


class FrontLayer:
    """Spreads requests in turn over the ready dispatchers; a request waits while none is ready.

    ``ports`` are those of the dispatchers, by name.
    """

    def __init__(self, trace: Trace, ports: dict[str, int]) -> None:
        self.trace, self.ports = trace, ports
        self.ready: set[str] = set()
        self.request_count = itertools.count()

    async def run(self) -> None:
        await asyncio.gather(
            *(self._poll_readiness(name, port) for name, port in self.ports.items())
        )

    async def _poll_readiness(self, name: str, port: int) -> None:
        while True:
            if await self._is_ready(port):
                self.ready.add(name)
            else:
                self.ready.discard(name)
            await asyncio.sleep(POLL_INTERVAL_S)

    @staticmethod
    async def _is_ready(port: int) -> bool:
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    writer.write(
                        b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                    )
                    return (await reader.readline()).split()[1:2] == [b"200"]
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def send_request(
        self, request: str, traffic_class: str, session: str, max_out: int = 40
    ) -> ClientResult:
        """Send a request once, without retries, through the next ready dispatcher."""
        while not self.ready:
            await asyncio.sleep(POLL_INTERVAL_S)
        names = sorted(self.ready)
        name = names[next(self.request_count) % len(names)]
        return await send_request(
            self.trace, ("127.0.0.1", self.ports[name]), request, traffic_class, session, max_out
        )
