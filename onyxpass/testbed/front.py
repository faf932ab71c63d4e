"""A stand-in for the front layer: it asks dispatchers for their readiness, and spreads clients
over them.
"""

import asyncio
import itertools

from onyxpass.history_checkers.trace import Trace
from onyxpass.testbed.client import ClientResult, send_request

ASK_EVERY_S = 0.05
ASK_S = 0.5


class FrontLayer:
    """``ports``: the dispatchers' by name. A client that finds no one ready waits."""

    def __init__(self, trace: Trace, ports: dict[str, int]) -> None:
        self.trace, self.ports = trace, ports
        self.ready: set[str] = set()
        self.turn = itertools.count()

    async def run(self) -> None:
        await asyncio.gather(*(self._follow(name, port) for name, port in self.ports.items()))

    async def _follow(self, name: str, port: int) -> None:
        while True:
            if await self._is_ready(port):
                self.ready.add(name)
            else:
                self.ready.discard(name)
            await asyncio.sleep(ASK_EVERY_S)

    @staticmethod
    async def _is_ready(port: int) -> bool:
        try:
            async with asyncio.timeout(ASK_S):
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
        """Through the next dispatcher that is ready; asked once, and never again."""
        while not self.ready:
            await asyncio.sleep(ASK_EVERY_S)
        names = sorted(self.ready)
        name = names[next(self.turn) % len(names)]
        return await send_request(
            self.trace, ("127.0.0.1", self.ports[name]), request, traffic_class, session, max_out
        )
