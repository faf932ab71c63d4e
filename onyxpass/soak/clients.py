"""The clients of a soak.

Most clients use kept connections and wait for their answers. Others read long streams, disconnect
early, have a short timeout, or stall before a request is complete.
"""

import asyncio
import json
import random
import time
from dataclasses import dataclass
from enum import Enum

import h11

from onyxpass.history_checkers.trace import EventKind
from onyxpass.soak.records import ClientRequest, Records, StalledClient

# The time within which an error or a close must reach a client that stalls before its request is
# complete.
STALLED_CLIENT_TIMEOUT_S = 3.0
CLIENT_WAIT_S = 30.0  # the longest that a client waits for the end of an answer


class ClientBehavior(Enum):
    """How a client behaves."""

    STAYS = "stays"
    DISCONNECTS = "leaves"  # closes before its answer has ended
    SENDS_HALF = "breaks off"  # sends a part of its request and waits
    SHORT_TIMEOUT = "in a hurry"  # allows 1 to 30 milliseconds
    SENDS_NOTHING = "says nothing"
    LONG_STREAM = "listens long"  # reads a stream that lasts a second or more


BEHAVIORS = (
    *((ClientBehavior.STAYS,) * 20),
    *((ClientBehavior.DISCONNECTS,) * 3),
    *((ClientBehavior.LONG_STREAM,) * 3),
    *tuple(ClientBehavior),
)
BODY_BYTES = 256 * 1024
UNFINISHED_BODY = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: onyxpass\r\nContent-Length: %d\r\n\r\n"
    % BODY_BYTES
) + b"x" * (BODY_BYTES - 1)
TOKENS = 40
LONG_STREAM_TOKENS = 1_200


@dataclass(slots=True)
class PooledConnection:
    """A client's connection that is kept for later requests."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection
    completed: int = 0  # requests


class ClientPool:
    """All clients of one dispatcher's address; a connection has one request at a time."""

    def __init__(self, records: Records, dispatcher: int, port: int, rng: random.Random) -> None:
        self.records, self.dispatcher, self.port, self.rng = records, dispatcher, port, rng
        self.idle: list[PooledConnection] = []

    async def run_client(self, request_id: str, traffic_class: str, timeout_s: float) -> None:
        """Run one client up to the end of its request or stall, and record either of them.

        The client's behavior is drawn at random.
        """
        behavior = self.rng.choice(BEHAVIORS)
        if behavior in (ClientBehavior.SENDS_HALF, ClientBehavior.SENDS_NOTHING):
            await self._stall(behavior, request_id, traffic_class)
            return
        if behavior is ClientBehavior.SHORT_TIMEOUT:
            timeout_s = self.rng.uniform(0.001, 0.03)
        request = ClientRequest(request_id, traffic_class, self.dispatcher, timeout_s)
        try:
            async with asyncio.timeout(CLIENT_WAIT_S):
                await self._send(request, behavior)
        except TimeoutError:
            request.outcome = "never"
        request.ended_s = time.monotonic()
        self.records.requests[request_id] = request
        if request.sent_s:
            self.records.trace.record(EventKind.ANSWERED, request_id, detail=request.outcome)

    def _encode_request(
        self, request_id: str, traffic_class: str, timeout_s: float, tokens: int = TOKENS
    ) -> bytes:
        body = json.dumps(
            {"model": traffic_class, "stream": True, "max_tokens": tokens, "messages": []}
        ).encode()
        lines = [
            "POST /v1/chat/completions HTTP/1.1",
            "Host: onyxpass",
            f"X-Request-ID: {request_id}",
            f"X-Priority-Class: {traffic_class}",
            f"X-Route-Key: s{self.rng.randrange(60)}",
            f"X-Timeout-Ms: {max(1, round(timeout_s * 1000))}",
            f"X-Attrs: prefix=p1,prompt_len=400,prefix_len=200,max_out={tokens}",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _send(self, request: ClientRequest, behavior: ClientBehavior) -> None:
        tokens = LONG_STREAM_TOKENS if behavior is ClientBehavior.LONG_STREAM else TOKENS
        encoded = self._encode_request(
            request.request_id, request.traffic_class, request.timeout_s, tokens
        )
        self.records.trace.classes[request.request_id] = request.traffic_class
        for resending in (False, True):
            connection = self.idle.pop() if self.idle and not resending else await self._connect()
            if connection is None:
                request.outcome = "not taken"
                return
            kept = connection.completed > 0
            request.on_new_connection = not kept
            connection.writer.write(encoded)
            if not request.sent_s:
                request.sent_s = time.monotonic()
                self.records.trace.record(EventKind.SENT, request.request_id)
            await self._read_response(connection, request, behavior)
            if request.outcome == "broken" and kept and not request.status:
                request.resent = True
                # The dispatcher may have closed the idle connection while the request was on its
                # way, so the request is sent once more on a new connection.
                continue
            return

    async def _connect(self) -> PooledConnection | None:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return None
        return PooledConnection(reader, writer, h11.Connection(h11.CLIENT))

    async def _read_response(
        self, connection: PooledConnection, request: ClientRequest, behavior: ClientBehavior
    ) -> None:
        protocol = connection.protocol
        protocol.send(
            h11.Request(method="POST", target="/", headers=[("host", "x"), ("content-length", "0")])
        )
        protocol.send(h11.EndOfMessage())
        wait_s = (
            self.rng.uniform(0.0, 0.15) if behavior is ClientBehavior.DISCONNECTS else CLIENT_WAIT_S
        )
        request.outcome, closes = "broken", True
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    event = protocol.next_event()
                    if event is h11.NEED_DATA:
                        protocol.receive_data(await connection.reader.read(65_536))
                    elif isinstance(event, h11.Response):
                        request.status = event.status_code
                        closes = (b"connection", b"close") in event.headers
                    elif isinstance(event, h11.Data):
                        request.first_event_s = request.first_event_s or time.monotonic()
                        request.events += bytes(event.data).count(b"data: ")
                    elif isinstance(event, h11.EndOfMessage):
                        request.outcome = outcome_of(request.status)
                        break
                    else:
                        break
        except TimeoutError:
            if behavior is ClientBehavior.DISCONNECTS:
                request.outcome, request.disconnected_s = "left", time.monotonic()
            else:
                request.outcome = "never"
        except (OSError, h11.ProtocolError):
            request.outcome = "broken"
        if request.outcome in ("served", "refused", "failed") and not closes:
            protocol.start_next_cycle()
            connection.completed += 1
            self.idle.append(connection)
        elif request.outcome == "left":
            connection.writer.transport.abort()
        else:
            connection.writer.close()

    async def _stall(self, behavior: ClientBehavior, request_id: str, traffic_class: str) -> None:
        """Send a part of a request or nothing, and wait until the dispatcher closes."""
        if (connection := await self._connect()) is None:
            return
        began_s = time.monotonic()
        try:
            if behavior is ClientBehavior.SENDS_HALF:
                encoded = self._encode_request(request_id, traffic_class, 1.0)
                connection.writer.write(encoded[: self.rng.randrange(1, len(encoded) - 1)])
            async with asyncio.timeout(CLIENT_WAIT_S):
                await connection.reader.read()
        except (OSError, TimeoutError):
            pass
        finally:
            connection.writer.close()
        client = StalledClient(behavior.value, self.dispatcher, began_s, time.monotonic())
        self.records.stalled_clients.append(client)

    async def hold_idle_connections(self, count: int, duration_s: float) -> None:
        """Open ``count`` connections, send nothing on them, and close them after ``duration_s``."""
        connections = await asyncio.gather(*(self._connect() for _ in range(count)))
        await asyncio.sleep(duration_s)
        for connection in connections:
            if connection is not None:
                connection.writer.close()

    async def hold_unfinished_bodies(self, count: int, duration_s: float) -> None:
        """Send ``count`` requests without the last byte of their bodies, and close them later."""
        connections = await asyncio.gather(*(self._connect() for _ in range(count)))
        for connection in connections:
            if connection is not None:
                connection.writer.write(UNFINISHED_BODY)
        await asyncio.sleep(duration_s)
        for connection in connections:
            if connection is not None:
                connection.writer.transport.abort()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle:
            connection.writer.close()
        self.idle.clear()


def outcome_of(status: int) -> str:
    """Return the outcome of a request that was completely answered with this status."""
    if status == 200:
        return "served"
    return "refused" if status in (429, 503) else "failed"
