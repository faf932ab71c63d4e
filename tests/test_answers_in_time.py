"""As many clients as the platform allows, whose requests take long, and an answer in time for each.

Guards against requests that wait for a place in the kernel's queue, where they count as taken, until
their time is over.
"""

import asyncio
import contextlib
import random
import socket
import time
from collections import Counter
from pathlib import Path

import pytest
from cluster import EVENTS, HEAD, PREFILLED, Replica, Responder, chat_request
from crowds import LEAST_MEMORY_MB, peak_megabytes
from fault_injection import ChildProcess, open_connection, run_async, servers_and_config
from test_endless_input import chunk
from test_slow_streams import EVENT, LAST_CHUNK

LATE_MARGIN_S = 0.5  # an answer up to so late is not lost
TIMEOUT_MS = 3000
CLIENT_SHARE = 3  # clients hold one in so many descriptors at most
ARRIVALS_S = 2.0  # in which all clients come
RECEIVE_BUFFER_BYTES = 4096  # of a server that reads slowly
SLOW_READ_BYTES = 2048
EVENT_PAUSE_S = 0.1


class SlowStream:
    """What a server reads of a connection, slowly."""

    def __init__(self, reader: asyncio.StreamReader, bytes_per_s: int) -> None:
        self.reader, self.bytes_per_s = reader, bytes_per_s
        self.readuntil, self.read = reader.readuntil, reader.read

    async def readexactly(self, count: int) -> bytes:
        parts: list[bytes] = []
        while count > 0:
            parts.append(await self.reader.read(min(count, SLOW_READ_BYTES)))
            if not parts[-1]:
                raise asyncio.IncompleteReadError(b"".join(parts), count)
            count -= len(parts[-1])
            await asyncio.sleep(len(parts[-1]) / self.bytes_per_s)
        return b"".join(parts)


class SlowReader(Replica):
    """A server that reads its requests slowly, with a small buffer in the kernel."""

    def __init__(self, bytes_per_s: int, *answers: Responder) -> None:
        super().__init__(*answers)
        self.bytes_per_s = bytes_per_s

    async def start(self) -> "SlowReader":
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind((self.host, self.port))
        self.server = await asyncio.start_server(
            self._accept, sock=sock, limit=SLOW_READ_BYTES, backlog=1024
        )
        self.port = sock.getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super().serve(SlowStream(reader, self.bytes_per_s), writer)  # type: ignore[arg-type]


def stream_for(seconds: float) -> Responder:
    """Return a responder that writes a stream of usual events for so long."""

    async def answer(
        self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
    ) -> None:
        writer.write(HEAD)
        with contextlib.suppress(OSError):
            for _ in range(round(seconds / EVENT_PAUSE_S)):
                writer.write(chunk(EVENT % b"oqvh"))
                await writer.drain()
                await asyncio.sleep(EVENT_PAUSE_S)
            writer.write(chunk(EVENTS[1]) + LAST_CHUNK)

    return answer


class TimedClients:
    """Clients that record how each of their requests ended, and how late."""

    def __init__(self, port: int, random_source: random.Random) -> None:
        self.port, self.random_source = port, random_source
        self.outcomes = Counter[str]()
        self.late_s: list[float] = []  # first bytes of answers, after the client's time

    async def send(self, number: int, size: int, read_pause_s: float) -> None:
        """Send one request at a drawn moment, and read its answer with pauses."""
        await asyncio.sleep(self.random_source.uniform(0.0, ARRIVALS_S))
        body = b'{"a":"%b"}' % (b"x" * size)
        async with open_connection(self.port) as (reader, writer):
            began_s = time.monotonic()
            writer.write(chat_request(f"c{number}", "a", TIMEOUT_MS, close=True, text=body))
            outcome, ended = "unanswered", b""
            with contextlib.suppress(ConnectionResetError):
                status = await reader.readline()
                self.late_s.append(time.monotonic() - began_s - TIMEOUT_MS / 1000)
                outcome = status[9:12].decode() or "unanswered"
                while part := await reader.read(4096):
                    ended = (ended + part)[-len(LAST_CHUNK) :]
                    await asyncio.sleep(read_pause_s)
            if outcome == "200" and ended != LAST_CHUNK:
                outcome = "cut off"
            self.outcomes[outcome] += 1


# For each play: what servers do, the size of bodies and the pause between two reads of an answer.
PLAYS = {
    "long streams": (lambda r: Replica(stream_for(r.uniform(4.0, 7.0))), (2, 5_000), (0.0, 0.05)),
    "long streams read slowly": (lambda _: Replica(stream_for(5.0)), (2, 5_000), (0.1, 1.0)),
    "requests read slowly": (
        lambda r: SlowReader(r.randint(1_000, 50_000), stream_for(1.0)),
        (4_000, 100_000),
        (0.0, 0.05),
    ),
}
LIMITS = {"the least memory": (LEAST_MEMORY_MB, 1024), "few descriptors": (192, 256)}


async def play_clients(folder: Path, kind: str, limit: str, seed: int) -> TimedClients:
    """Play as many clients as may hold connections at once; memory stays within its limit."""
    random_source = random.Random(seed)
    server, sizes, pauses_s = PLAYS[kind]
    memory_mb, descriptors = LIMITS[limit]
    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
    readers = [Replica(PREFILLED) for _ in range(2)]
    writers = [server(random_source) for _ in range(4)]
    async with servers_and_config(folder, readers, writers, limits=limits) as (path, _):
        process = await ChildProcess.start("serve", environment={"ROUTER_CONFIG": str(path)})
        clients = TimedClients(await process.port(), random_source)
        await asyncio.gather(
            *(
                clients.send(
                    number, random_source.randint(*sizes), random_source.uniform(*pauses_s)
                )
                for number in range(descriptors // CLIENT_SHARE)
            )
        )
        assert peak_megabytes(process.child.pid) <= memory_mb
        assert await process.terminate() == 0, process.other_output
    return clients


@pytest.mark.parametrize("limit", LIMITS)
def test_each_of_the_clients_that_are_allowed_has_its_answer_in_time(
    tmp_path: Path, limit: str
) -> None:
    for number, kind in enumerate(PLAYS):
        clients = run_async(play_clients(tmp_path, kind, limit, seed=7140 + number))
        assert set(clients.outcomes) <= {"200", "502", "503", "504"}, (kind, clients.outcomes)
        assert max(clients.late_s) <= LATE_MARGIN_S, (kind, max(clients.late_s), clients.outcomes)
        assert clients.outcomes["200"] >= clients.outcomes.total() // 10, (kind, clients.outcomes)
