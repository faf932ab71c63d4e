"""Measures how long messages take through the soak's own process, which relays and records them.

A request of a dispatcher passes several turns of the soak's event loop before a replica records it:
its link accepts, connects and relays, and the replica accepts and reads. On a busy machine each
turn takes long, and the sum is several times the longest of them.
"""

import asyncio
import socket
import time

from onyxpass.soak.records import Delivery, Records
from onyxpass.testbed.link import Link
from onyxpass.testbed.server import Server

PROBE_INTERVAL_S = 0.05
NUMBER_BYTES = 8


class DeliveryMonitor(Server):
    """A server behind a link of its own, which records when probes reach it."""

    def __init__(self, records: Records) -> None:
        super().__init__()
        self._records = records
        self._probes: dict[int, tuple[float, socket.socket]] = {}

    async def run(self) -> None:
        """Send a probe on a new connection every ``PROBE_INTERVAL_S`` until cancelled."""
        await self.start()
        link = Link(self.port)
        await link.start()
        number = 0
        try:
            while True:
                number += 1
                self._send(number, link.port)
                await asyncio.sleep(PROBE_INTERVAL_S)
        finally:
            for _, sock in self._probes.values():
                sock.close()
            await link.stop()
            await self.stop()

    def _send(self, number: int, port: int) -> None:
        """Send a probe at once, as another process does: without a turn of this event loop."""
        sock = socket.create_connection(("127.0.0.1", port))
        self._probes[number] = (time.monotonic(), sock)
        sock.sendall(number.to_bytes(NUMBER_BYTES, "big"))

    async def serve(self, reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        """Record the arrival of a probe."""
        number = int.from_bytes(await reader.readexactly(NUMBER_BYTES), "big")
        sent_s, sock = self._probes.pop(number)
        sock.close()
        self._records.deliveries.append(Delivery(sent_s, time.monotonic()))
