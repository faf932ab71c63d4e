"""The stand-in replicas and discovery of a soak, all in the soak's own process."""

import asyncio
import time

import h11

from onyxpass.net.http import HttpConnection, header
from onyxpass.soak.clients import LONG_STREAM_TOKENS
from onyxpass.soak.records import AttemptTimeout, Records
from onyxpass.testbed.link import Link
from onyxpass.testbed.replicas import (
    ListedReplica,
    PrefillStates,
    Speed,
    StandinDiscovery,
    StandinReplica,
)

ZONES = ("z0", "z1")


class SoakReplica(StandinReplica):
    """A replica that records the timeout of each attempt.

    While ``hanging`` is true, it receives requests and never answers them.
    """

    def __init__(
        self, name: str, role: str, records: Records, states: PrefillStates, speed: Speed
    ) -> None:
        super().__init__(name, role, records.trace, states, speed)
        self.records, self.hanging = records, False

    async def _answer(self, wire: HttpConnection, head: h11.Request, text: bytes) -> bool:
        request_id = (header(head, b"x-request-id") or b"").decode("latin-1")
        timeout_ms = header(head, b"x-timeout-ms")
        if request_id and timeout_ms is not None:
            attempt = AttemptTimeout(
                request_id, self.name, time.monotonic(), int(timeout_ms) / 1000
            )
            self.records.attempt_timeouts.append(attempt)
        return await super()._answer(wire, head, text)

    async def _work(self, wire: HttpConnection, request: str, text: bytes) -> bool:
        if self.hanging:
            await asyncio.Event().wait()
        return await super()._work(wire, request, text)

    def reset_connections(self) -> None:
        """Reset every connection."""
        for writer in list(self.writers):
            writer.transport.abort()


class SoakFleet:
    """Replicas by number, readers before writers, behind one link each, and discovery.

    Discovery lists each replica at the address of its link.
    """

    def __init__(self, readers: int, writers: int, records: Records) -> None:
        self.records, self.states = records, PrefillStates()
        self.discovery = StandinDiscovery(records.trace)
        self.replicas: list[SoakReplica] = []
        self.links: list[Link] = []
        self.rows: list[ListedReplica] = []
        speed = Speed(read_s=0.015, first_s=0.02, token_s=0.001, tokens=LONG_STREAM_TOKENS)
        for role, kind, count in (("read", "reader", readers), ("write", "writer", writers)):
            for number in range(count):
                replica = SoakReplica(f"{kind}-{number + 1}", role, records, self.states, speed)
                self.replicas.append(replica)
                self.rows.append(ListedReplica(replica, kind, ZONES[number % len(ZONES)]))

    def announce_start(self, number: int) -> None:
        """List a replica as active with a new start time."""
        row = self.rows[number]
        row.born_ms = round(time.time() * 1000)
        self.discovery.change(row.replica.name, "active")

    async def start(self) -> None:
        """Start the replicas, their links and discovery."""
        for replica, row in zip(self.replicas, self.rows, strict=True):
            await replica.start()
            link = Link(replica.port)
            await link.start()
            self.links.append(link)
            row.dial = link.address
        self.discovery.add(*self.rows)
        await self.discovery.start()

    async def stop(self) -> None:
        """Stop discovery, the links and the replicas."""
        for server in (self.discovery, *self.links, *self.replicas):
            await server.stop()
