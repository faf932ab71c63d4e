"""Peers whose framing is unsound: chunks of sizes that no body has, size lines and trailers without an end.

Guards against a client that is left on a stream after it has become unsound, and against attempts and
requests that wait for the rest of a message that can't come. Each play is drawn from a seed.
"""

import asyncio
import random
import time
from collections.abc import Callable, Sequence

import pytest
from cluster import EVENTS, HEAD, PREFILLED, STREAM, Cluster, Replica, respond_with, running_cluster
from fault_injection import run_async
from test_endless_input import chunk
from test_slow_streams import (
    CLASS_TIME_MS,
    EVENT,
    LAST_CHUNK,
    MAX_CLIENT_WAIT_S,
    SlowWriter,
    SlowWriters,
    read_stream,
)

from onyxpass.net.http import BODY_LIMIT

SEED = 7130
EVENT_PAUSE_S = 0.04  # of a healthy stream
ENDLESS_S = 9.0  # longer than a client may wait
SOON_S = 1.0
Pieces = Sequence[tuple[float, bytes | None]]
Draw = Callable[[random.Random], Pieces]


def repeat(piece: bytes, pause_s: float = EVENT_PAUSE_S, in_all_s: float = ENDLESS_S) -> Pieces:
    return [(pause_s, piece)] * round(in_all_s / pause_s)


def usual_events(random_source: random.Random, in_all_s: float) -> Pieces:
    events = [EVENT % (b"x" * random_source.randint(1, 200)) for _ in range(20)]
    count = round(in_all_s / EVENT_PAUSE_S)
    return [(EVENT_PAUSE_S, random_source.choice(events)) for _ in range(count)]


def giant_size(random_source: random.Random) -> bytes:
    """Draw a size over that of any body, up to the longest that a parser takes."""
    return b"%x\r\n" % random_source.randint(BODY_LIMIT + 1, 2 ** random_source.randint(20, 79))


# What a server writes from the moment at which its stream is unsound.
UNSOUND: dict[str, Draw] = {
    "a chunk of gigabytes, its events to the end": lambda r: [
        (0.0, giant_size(r)),
        *usual_events(r, r.uniform(0.2, 3.0)),
        (EVENT_PAUSE_S, EVENTS[1]),
    ],
    "a chunk of gigabytes, events without end": lambda r: [
        (0.0, giant_size(r)),
        *usual_events(r, ENDLESS_S),
    ],
    "a size line of digits without an end": lambda r: [
        (0.0, b"1"),
        *repeat(b"%x" % r.randrange(16), r.uniform(0.04, 0.9)),
    ],
    "a size of zeros without an end": lambda r: [(0.0, b"0"), *repeat(b"0", r.uniform(0.04, 0.9))],
    "an extension of a size without an end": lambda r: [
        (0.0, b"1a;"),
        *repeat(b"x=%x;" % r.randrange(16), r.uniform(0.04, 0.9)),
    ],
    "events in an extension of a size": lambda r: [
        (0.0, b"1a;"),
        *[
            (pause_s, (event or b"").replace(b"\n", b" "))
            for pause_s, event in usual_events(r, 9.0)
        ],
    ],
    "trailers without an end": lambda r: [
        (0.0, chunk(EVENTS[1]) + b"0\r\n"),
        *repeat(b"x: y\r\n", r.uniform(0.04, 0.9)),
    ],
    "a size without its line end, then silence": lambda r: [(0.0, b"%x" % r.randrange(1, 4096))],
    "a wrong line end of a chunk": lambda _: [(0.0, b"5\r\ndata:??\r\n")],
    "comments without an end": lambda r: repeat(chunk(b": ping\n\n"), r.uniform(0.04, 0.9)),
    "blank lines without an end": lambda r: repeat(chunk(b"\n"), r.uniform(0.04, 0.9)),
    "a comment without its end": lambda r: [
        (0.0, chunk(b": ")),
        *repeat(chunk(b"x"), r.uniform(0.04, 0.9)),
    ],
    "events after the last one": lambda r: [
        (0.0, chunk(EVENTS[1])),
        *[(pause_s, chunk(event or b"")) for pause_s, event in usual_events(r, ENDLESS_S)],
    ],
    "a chunk that goes on after the last event": lambda _: [
        (0.0, b"%x\r\n" % (BODY_LIMIT // 2) + EVENTS[1]),
        *repeat(b"\n"),
    ],
}


def draw_stream(random_source: random.Random, kind: str) -> tuple[SlowWriter, int]:
    """Draw a stream; return it with the number of its first unsound piece."""
    sound = [(0.0, HEAD + chunk(EVENTS[0]))]
    opening = usual_events(random_source, random_source.uniform(0.0, 1.0))
    sound += [(pause_s, chunk(event or b"")) for pause_s, event in opening]
    return SlowWriter([*sound, *UNSOUND[kind](random_source), (0.0, None)]), len(sound)


def test_a_stream_that_has_become_unsound_ends_before_its_client_has_waited_too_long() -> None:
    """Guards against a chunk of gigabytes, or a size line without an end, that keeps a stream open."""

    async def scenario() -> None:
        random_source = random.Random(SEED)
        writers, first_unsound = SlowWriters(), {}
        for kind in UNSOUND:
            for number in range(3):
                name = f"a{len(first_unsound)}"
                writers.by_id[name], at = draw_stream(random_source, kind)
                first_unsound[name] = (f"{kind} {number}", at)
        async with running_cluster([Replica(PREFILLED)], [writers]) as w:
            streams = await asyncio.gather(*(read_stream(w, name) for name in first_unsound))
        late = {}
        for (kind, at), name, (received, _, ended_s) in zip(
            first_unsound.values(), first_unsound, streams, strict=True
        ):
            assert not received.endswith(LAST_CHUNK), kind
            wait_s = ended_s - writers.by_id[name].written_s[at]
            if wait_s > MAX_CLIENT_WAIT_S:
                late[kind] = round(wait_s, 2)
        assert not late, late

    run_async(scenario())


OPENINGS: dict[str, bytes] = {
    "a chunk of gigabytes": HEAD + b"c0000000\r\n" + EVENTS[0],
    "a size line of digits": HEAD + b"1a00000",
    "a length of gigabytes": HEAD.replace(
        b"Transfer-Encoding: chunked", b"Content-Length: 3221225472"
    )
    + EVENTS[0],
}


@pytest.mark.parametrize("role", ["reader", "writer"])
@pytest.mark.parametrize("kind", OPENINGS)
def test_an_answer_that_opens_with_an_impossible_size_gives_way_to_another_server(
    kind: str, role: str
) -> None:
    """Guards against an attempt that waits, for as long as it may, for what can't come."""

    async def scenario() -> None:
        opening = OPENINGS[kind]
        if role == "reader":
            opening = opening.replace(b"200 OK", b"202 Accepted")

        async def answer(
            self: Replica, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _: bytes
        ) -> None:
            writer.write(opening)
            while not writer.is_closing():
                writer.write(b" ")
                await writer.drain()
                await asyncio.sleep(EVENT_PAUSE_S)

        readers = [Replica(answer, PREFILLED) if role == "reader" else Replica(PREFILLED)]
        writers = [Replica(answer, STREAM) if role == "writer" else Replica(STREAM)]
        async with running_cluster(readers, writers) as w:
            began_s = time.monotonic()
            received = await w.request("a1", ms=CLASS_TIME_MS)
            assert received.startswith(b"HTTP/1.1 200") and received.endswith(LAST_CHUNK)
            assert time.monotonic() - began_s <= SOON_S

    run_async(scenario())


async def rejection(cluster: Cluster, text: bytes) -> tuple[bytes, float]:
    """Send an unfinished request; return the status line of its answer, and how long it took."""
    began_s = time.monotonic()
    reader, writer = await cluster.send(text)
    status = await reader.readline()
    writer.transport.abort()
    return status, time.monotonic() - began_s


@pytest.mark.parametrize("size", [BODY_LIMIT + 1, 3 * 2**30, 2**79])
def test_a_request_is_rejected_as_soon_as_it_states_an_impossible_size(size: int) -> None:
    async def scenario() -> None:
        head = (
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            for text in (head + b"%x\r\n{" % size, head + chunk(b"{") + b"%x" % size):
                status, took_s = await rejection(w, text)
                assert b" 413 " in status
                assert took_s <= SOON_S

    run_async(scenario())


def test_the_largest_chunk_that_a_body_can_have_is_accepted() -> None:
    async def scenario() -> None:
        event = b'data: {"a":"%b"}\n\n'
        event = event % (b"x" * (BODY_LIMIT - len(event) + 2))
        assert len(event) == BODY_LIMIT
        stream = HEAD + chunk(EVENTS[0]) + chunk(event) + chunk(EVENTS[1]) + LAST_CHUNK
        head = b"".join(
            (
                b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\n",
                b"X-Priority-Class: light\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
            )
        )
        body = b'{"a":"%b"}' % (b"x" * (BODY_LIMIT - 8))
        async with running_cluster([Replica(PREFILLED)], [Replica(respond_with(stream))]) as w:
            reader, writer = await w.send(head + b"000000" + chunk(body) + LAST_CHUNK)
            received = await reader.read()
            writer.close()
            assert received.endswith(LAST_CHUNK)
            assert received.count(b"x") >= BODY_LIMIT // 2

    run_async(scenario())
