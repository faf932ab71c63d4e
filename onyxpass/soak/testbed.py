"""The stand-ins of a soak: replicas behind links, and discovery, all in this process."""

import asyncio
import time

import h11

from onyxpass.net.http import HttpConnection, header
from onyxpass.soak.clients import LONG_TOKENS
from onyxpass.soak.records import Records, Told
from onyxpass.testbed.link import Link
from onyxpass.testbed.replicas import (
    ListedReplica,
    PrefillStates,
    Speed,
    StandinDiscovery,
    StandinReplica,
)

HALLS = ("z0", "z1")


class SoakReplica(StandinReplica):
    """Notes the time that each attempt tells it; ``hangs``: takes requests and says nothing."""

    def __init__(
        self, name: str, role: str, records: Records, states: PrefillStates, speed: Speed
    ) -> None:
        super().__init__(name, role, records.trace, states, speed)
        self.records, self.hangs = records, False

    async def _answer(self, wire: HttpConnection, head: h11.Request, text: bytes) -> bool:
        request = (header(head, b"x-request-id") or b"").decode("latin-1")
        told_ms = header(head, b"x-timeout-ms")
        if request and told_ms is not None:
            told = Told(request, self.name, time.monotonic(), int(told_ms) / 1000)
            self.records.told.append(told)
        return await super()._answer(wire, head, text)

    async def _work(self, wire: HttpConnection, request: str, text: bytes) -> bool:
        if self.hangs:
            await asyncio.Event().wait()
        return await super()._work(wire, request, text)

    def break_all(self) -> None:
        """Reset every connection."""
        for writer in list(self.writers):
            writer.transport.abort()


class Fleet:
    """Replicas by number: readers first, then writers; each is listed at its link's address."""

    def __init__(self, readers: int, writers: int, records: Records) -> None:
        self.records, self.states = records, PrefillStates()
        self.discovery = StandinDiscovery(records.trace)
        self.replicas: list[SoakReplica] = []
        self.links: list[Link] = []
        self.rows: list[ListedReplica] = []
        speed = Speed(read_s=0.015, first_s=0.02, token_s=0.001, tokens=LONG_TOKENS)
        for role, kind, count in (("read", "reader", readers), ("write", "writer", writers)):
            for number in range(count):
                replica = SoakReplica(f"{kind}-{number + 1}", role, records, self.states, speed)
                self.replicas.append(replica)
                self.rows.append(ListedReplica(replica, kind, HALLS[number % len(HALLS)]))

    def tell_start(self, number: int) -> None:
        """Tell of a replica that has just started anew."""
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
        """Stop everything that was started."""
        for server in (self.discovery, *self.links, *self.replicas):
            await server.stop()
