"""Clients of a soak.

Most ask on kept connections and stay; some listen long, leave early, dawdle or say nothing.
"""

import asyncio
import json
import random
import time
from dataclasses import dataclass
from enum import Enum

import h11

from onyxpass.history_checkers.trace import EventKind
from onyxpass.soak.records import Asked, BadClient, Records

# a client that breaks off in the middle has its error or a close within this time
BAD_CLIENT_S = 3.0
STAY_S = 30.0


class Manner(Enum):
    """How a client behaves."""

    STAYS = "stays"
    LEAVES = "leaves"  # closes before its answer has ended
    BREAKS_OFF = "breaks off"  # sends half a request and waits
    IN_A_HURRY = "in a hurry"  # has a few milliseconds
    SAYS_NOTHING = "says nothing"
    LISTENS_LONG = "listens long"  # to a stream of a second and more


MANNERS = (
    *((Manner.STAYS,) * 20),
    *((Manner.LEAVES,) * 3),
    *((Manner.LISTENS_LONG,) * 3),
    *tuple(Manner),
)
TOKENS = 40
LONG_TOKENS = 1_200


@dataclass(slots=True)
class Connection:
    """A client's connection, kept for a next request."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    wire: h11.Connection
    used: int = 0


class Clients:
    """All clients of one dispatcher's address; a connection has one request at a time."""

    def __init__(self, records: Records, dispatcher: int, port: int, chance: random.Random) -> None:
        self.records, self.dispatcher, self.port, self.chance = records, dispatcher, port, chance
        self.idle: list[Connection] = []

    async def one(self, request: str, traffic_class: str, wait_s: float) -> None:
        """One client's request, from its connection to its end, in a manner that is drawn."""
        manner = self.chance.choice(MANNERS)
        if manner in (Manner.BREAKS_OFF, Manner.SAYS_NOTHING):
            await self._be_bad(manner, request, traffic_class)
            return
        if manner is Manner.IN_A_HURRY:
            wait_s = self.chance.uniform(0.001, 0.03)
        asked = Asked(request, traffic_class, self.dispatcher, wait_s)
        try:
            async with asyncio.timeout(STAY_S):
                await self._ask(asked, manner)
        except TimeoutError:
            asked.end = "never"
        asked.ended_s = time.monotonic()
        self.records.asked[request] = asked
        if asked.asked_s:
            self.records.trace.record(EventKind.ANSWERED, request, detail=asked.end)

    def _text(self, request: str, traffic_class: str, wait_s: float, tokens: int = TOKENS) -> bytes:
        body = json.dumps(
            {"model": traffic_class, "stream": True, "max_tokens": tokens, "messages": []}
        ).encode()
        lines = [
            "POST /v1/chat/completions HTTP/1.1",
            "Host: onyxpass",
            f"X-Request-ID: {request}",
            f"X-Priority-Class: {traffic_class}",
            f"X-Route-Key: s{self.chance.randrange(60)}",
            f"X-Timeout-Ms: {max(1, round(wait_s * 1000))}",
            f"X-Attrs: prefix=p1,prompt_len=400,prefix_len=200,max_out={tokens}",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _ask(self, asked: Asked, manner: Manner) -> None:
        tokens = LONG_TOKENS if manner is Manner.LISTENS_LONG else TOKENS
        text = self._text(asked.request, asked.traffic_class, asked.wait_s, tokens)
        self.records.trace.classes[asked.request] = asked.traffic_class
        for again in (False, True):
            connection = self.idle.pop() if self.idle and not again else await self._connect()
            if connection is None:
                asked.end = "not taken"
                return
            kept = connection.used > 0
            asked.on_new_connection = not kept
            connection.writer.write(text)
            if not asked.asked_s:
                asked.asked_s = time.monotonic()
                self.records.trace.record(EventKind.SENT, asked.request)
            await self._read(connection, asked, manner)
            if asked.end == "broken" and kept and not asked.status:
                asked.again = True
                # it crossed the end of a resting connection, and is sent once more on a new one
                continue
            return

    async def _connect(self) -> Connection | None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return None
        return Connection(reader, writer, h11.Connection(h11.CLIENT))

    async def _read(self, connection: Connection, asked: Asked, manner: Manner) -> None:
        wire = connection.wire
        wire.send(
            h11.Request(method="POST", target="/", headers=[("host", "x"), ("content-length", "0")])
        )
        wire.send(h11.EndOfMessage())
        leave_s = self.chance.uniform(0.0, 0.15) if manner is Manner.LEAVES else STAY_S
        asked.end, closes = "broken", True
        try:
            async with asyncio.timeout(leave_s):
                while True:
                    event = wire.next_event()
                    if event is h11.NEED_DATA:
                        wire.receive_data(await connection.reader.read(65_536))
                    elif isinstance(event, h11.Response):
                        asked.status = event.status_code
                        closes = (b"connection", b"close") in event.headers
                    elif isinstance(event, h11.Data):
                        asked.first_s = asked.first_s or time.monotonic()
                        asked.events += bytes(event.data).count(b"data: ")
                    elif isinstance(event, h11.EndOfMessage):
                        asked.end = ended(asked.status)
                        break
                    else:
                        break
        except TimeoutError:
            if manner is Manner.LEAVES:
                asked.end, asked.left_s = "left", time.monotonic()
            else:
                asked.end = "never"
        except (OSError, h11.ProtocolError):
            asked.end = "broken"
        if asked.end in ("served", "refused", "failed") and not closes:
            wire.start_next_cycle()
            connection.used += 1
            self.idle.append(connection)
        elif asked.end == "left":
            connection.writer.transport.abort()
        else:
            connection.writer.close()

    async def _be_bad(self, manner: Manner, request: str, traffic_class: str) -> None:
        """Say half of it, or nothing, and stay till the dispatcher ends it."""
        if (connection := await self._connect()) is None:
            return
        began_s = time.monotonic()
        try:
            if manner is Manner.BREAKS_OFF:
                text = self._text(request, traffic_class, 1.0)
                connection.writer.write(text[: self.chance.randrange(1, len(text) - 1)])
            async with asyncio.timeout(STAY_S):
                await connection.reader.read()
        except (OSError, TimeoutError):
            pass
        finally:
            connection.writer.close()
        bad_client = BadClient(manner.value, self.dispatcher, began_s, time.monotonic())
        self.records.bad_clients.append(bad_client)

    async def crowd(self, count: int, for_s: float) -> None:
        """Open so many connections that say nothing, and close them again."""
        found = await asyncio.gather(*(self._connect() for _ in range(count)))
        await asyncio.sleep(for_s)
        for connection in found:
            if connection is not None:
                connection.writer.close()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.writer.close()
        self.idle.clear()


def ended(status: int) -> str:
    """Return what a complete answer of this status means."""
    if status == 200:
        return "served"
    return "refused" if status in (429, 503) else "failed"
