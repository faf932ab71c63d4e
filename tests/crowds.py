"""Crowds of clients of drawn kinds and sizes at one dispatcher, and the peak of its memory.

Memory is counted as a platform may count it: all resident pages at their peak, files that others
map among them, in megabytes of 10^6 bytes.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from cluster import HEAD, PREFILLED, STREAM, Replica
from fault_injection import ChildProcess, open_connection, servers_and_config
from test_endless_input import CLASS_TIME_MS, Play, chunk

from onyxpass.net.framing_limits import MAX_LINES
from onyxpass.net.http import BODY_LIMIT

MEGABYTE = 1_000_000
LEAST_MEMORY_MB = 32
DESCRIPTORS = 1024
CLIENTS = 470
PATIENT_CLIENTS = 40  # that hold their places for seconds, of those that the least memory leaves
BAD_CLIENT_END_S = 8.0  # for the answer, or the close, that a client of the crowd gets
MAX_CHUNKS = 4_000  # of one client
SLOW_EVENT_S = 0.05
SLOW_EVENTS = 100
Crowd = Callable[[random.Random, int, asyncio.StreamWriter], asyncio.Future[None] | None]


def head(number: int, length: int, fields: bytes = b"") -> bytes:
    """Return the head of a request of the crowd."""
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: crowd-%d\r\n"
        b"X-Priority-Class: a\r\nX-Timeout-Ms: 6000\r\nContent-Length: %d\r\n%b\r\n"
        % (number, length, fields)
    )


def short_fields(count: int) -> bytes:
    return b"".join(b"x%x:%d\r\n" % (number, number % 10) for number in range(count))


def many_fields_and_no_body(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> None:
    fields = short_fields(random_source.randint(MAX_LINES // 2, MAX_LINES - 20))
    writer.write(head(number, BODY_LIMIT, fields) + b'{"a":"')


def many_fields_of_an_open_request(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> None:
    fields = short_fields(random_source.randint(MAX_LINES // 2, MAX_LINES - 20))
    writer.write(head(number, 2, fields) + b"{}")


def body_that_stops(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> None:
    """Stop within a large body, one byte before its end at the latest."""
    missing = random_source.choice((1, random_source.randint(1, BODY_LIMIT - 10)))
    writer.write(head(number, BODY_LIMIT) + b'{"a":"' + b"x" * (BODY_LIMIT - 6 - missing))


def body_written_slowly(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> asyncio.Future[None]:
    piece, pause_s = random_source.randint(500, 20_000), random_source.uniform(0.01, 0.2)

    async def send() -> None:
        writer.write(head(number, BODY_LIMIT) + b'{"a":"')
        for _ in range((BODY_LIMIT - 8) // piece):
            writer.write(b"x" * piece)
            await writer.drain()
            await asyncio.sleep(pause_s)

    return asyncio.ensure_future(send())


def large_open_request(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> None:
    body = b'{"a":"' + b"x" * random_source.randint(100_000, BODY_LIMIT - 8) + b'"}'
    writer.write(head(number, len(body)) + body)


def body_of_many_values(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> None:
    """Send a valid body that takes far more memory as objects than as text."""
    body = b'{"a":[' + b"[],{}," * random_source.randint(10_000, 40_000) + b"0]}"
    writer.write(head(number, len(body)) + body)


def open_request_that_is_not_read(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> None:
    writer.write(head(number, 2) + b"{}")
    writer.transport.pause_reading()  # type: ignore[attr-defined]


def chunked_body_that_stops(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> asyncio.Future[None]:
    """Stop within a large body in chunks of one size, and leave after a while."""
    body = b'{"a":"' + b"x" * random_source.randint(60_000, BODY_LIMIT - 10)
    size, stay_s = random_source.choice((10, 100, 1000, 16_000)), random_source.uniform(0.0, 3.0)
    pieces = (body[at : at + size] for at in range(0, min(len(body), MAX_CHUNKS * size), size))
    length_field = b"Content-Length: 0\r\n"
    chunked = head(number, 0).replace(length_field, b"Transfer-Encoding: chunked\r\n")
    writer.write(chunked + b"".join(map(chunk, pieces)))

    async def leave() -> None:
        await asyncio.sleep(stay_s)
        writer.transport.abort()

    return asyncio.ensure_future(leave())


def head_written_slowly(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> asyncio.Future[None]:
    fields = short_fields(random_source.randint(MAX_LINES // 2, MAX_LINES - 20))
    text = head(number, 2, fields) + b"{}"
    piece, pause_s = random_source.randint(50, 2_000), random_source.uniform(0.005, 0.1)

    async def send() -> None:
        for at in range(0, len(text), piece):
            writer.write(text[at : at + piece])
            await writer.drain()
            await asyncio.sleep(pause_s)

    return asyncio.ensure_future(send())


def nothing_at_all(random_source: random.Random, number: int, writer: asyncio.StreamWriter) -> None:
    """Say nothing, and wait for the end."""


def any_returning_kind(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> asyncio.Future[None] | None:
    return random_source.choice(RETURNING_KINDS)(random_source, number, writer)


def any_kind(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> asyncio.Future[None] | None:
    return random_source.choice(KINDS)(random_source, number, writer)


def any_unsound_kind(
    random_source: random.Random, number: int, writer: asyncio.StreamWriter
) -> asyncio.Future[None] | None:
    return random_source.choice(KINDS[:-1])(random_source, number, writer)


KINDS: tuple[Crowd, ...] = (
    many_fields_and_no_body,
    many_fields_of_an_open_request,
    body_that_stops,
    body_written_slowly,
    large_open_request,
    body_of_many_values,
    open_request_that_is_not_read,
)
# Clients that are ended soon, and so can come again many times.
RETURNING_KINDS: tuple[Crowd, ...] = (
    *KINDS[:-1],
    chunked_body_that_stops,
    head_written_slowly,
    nothing_at_all,
)


async def stream_slowly(
    self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes
) -> None:
    """Answer the requests of the crowd slowly, and all others at once."""
    if b"crowd-" not in request:
        await STREAM(self, reader, writer, request)
        return
    writer.write(HEAD)
    event = chunk(b'data: {"choices":[{"index":0,"delta":{"content":"%b"}}]}\n\n' % (b"x" * 300))
    with contextlib.suppress(OSError):
        for _ in range(SLOW_EVENTS):
            writer.write(event)
            await writer.drain()
            await asyncio.sleep(SLOW_EVENT_S)


def peak_megabytes(pid: int) -> float:
    """Return the most resident memory that a process has had since its start."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    peak_kib = next(int(row.split()[1]) for row in rows if row.startswith("VmHWM"))
    return peak_kib * 1024 / MEGABYTE


async def play_crowd(
    folder: Path,
    memory_mb: int,
    crowd: Crowd,
    seed: int,
    clients: int = CLIENTS,
    returns: bool = False,
) -> float:
    """Play a crowd beside usual requests, which have to be answered; return the peak of memory.

    ``returns``: each client connects again at once when it is ended, while usual requests come.
    """
    random_source = random.Random(seed)
    answers = Counter[bytes]()
    play_ended = asyncio.Event()

    async def send_once(port: int, number: int) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            async with open_connection(port) as (reader, writer):
                reading = asyncio.ensure_future(reader.read())
                writing = crowd(random_source, number, writer)
                try:
                    # A client that is ended while it writes comes again without writing the rest.
                    if writing is not None and not returns:
                        await writing
                    answer = await asyncio.wait_for(reading, BAD_CLIENT_END_S)
                    answers[answer[:12]] += 1
                finally:
                    reading.cancel()
                    if writing is not None:
                        writing.cancel()
                    writer.transport.abort()

    async def send(port: int, number: int) -> None:
        await send_once(port, number)
        while returns and not play_ended.is_set():
            number += clients  # an id of its own
            await send_once(port, number)

    limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTORS}
    readers = [Replica(PREFILLED) for _ in range(2)]
    writers = [Replica(stream_slowly) for _ in range(2)]
    async with servers_and_config(folder, readers, writers, limits=limits) as (path, _):
        process = await ChildProcess.start("serve", environment={"ROUTER_CONFIG": str(path)})
        play = Play(await process.port())
        sending = [asyncio.create_task(send(play.port, number)) for number in range(clients)]
        usual = await play.usual_requests()
        play_ended.set()
        if returns:
            for client in sending:
                client.cancel()
        await asyncio.gather(*sending, return_exceptions=returns)
        peak_mb = peak_megabytes(process.child.pid)
        assert await process.terminate() == 0, process.other_output
    served = sum(answer.startswith(b"HTTP/1.1 200") for answer in usual)
    assert all(answer.startswith(b"HTTP/1.1 ") for answer in usual), answers
    assert served >= len(usual) // 2, (served, answers)
    assert play.longest_s * 1000 <= CLASS_TIME_MS
    return peak_mb
