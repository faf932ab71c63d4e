"""Clients that send their next request while the stream before it still comes."""

import asyncio
import contextlib
import random
import time

import pytest
from cluster import EVENTS, HEAD, PREFILLED, Cluster, Replica, chat_request, running_cluster
from fault_injection import run_async
from sound_framing import LAST_CHUNK
from standins import until
from test_endless_input import chunk

SEED = 7430
STREAMS = 20
EVENT_PAUSE_S = 0.02
STREAM_EVENTS = 50
CLASS_TIME_MS = 3000
MAX_STOP_S = 0.5  # from the client's close to the close of its attempt
EARLY_BYTES = 1_000_000


async def stream_at_usual_pace(
    self: Replica, _: asyncio.StreamReader, writer: asyncio.StreamWriter, head: bytes
) -> None:
    writer.write(HEAD)
    for _ in range(STREAM_EVENTS):
        writer.write(chunk(EVENTS[0]))
        await asyncio.sleep(EVENT_PAUSE_S)
        await writer.drain()
    writer.write(chunk(EVENTS[1]) + LAST_CHUNK)


async def ask_early(cluster: Cluster, number: int, random_source: random.Random) -> bytes:
    """Return what a client receives that sends its second request within the first stream."""
    reader, writer = await cluster.send(chat_request(f"a{number}", ms=CLASS_TIME_MS))
    received = await reader.readuntil(EVENTS[0])
    await asyncio.sleep(random_source.uniform(0.0, 0.8 * STREAM_EVENTS * EVENT_PAUSE_S))
    early = chat_request(f"b{number}", ms=CLASS_TIME_MS, close=True)
    cut = random_source.choice((len(early), random_source.randint(1, len(early) - 1)))
    writer.write(early[:cut])
    received += await reader.readuntil(LAST_CHUNK)
    writer.write(early[cut:])
    received += await reader.read()
    writer.close()
    return received


def test_a_stream_goes_on_when_its_client_sends_the_next_request() -> None:
    """Guards against a sound stream that is cut off for bytes of its client."""

    async def scenario() -> None:
        random_source = random.Random(SEED)
        async with running_cluster([Replica(PREFILLED)], [Replica(stream_at_usual_pace)]) as w:
            answers = await asyncio.gather(
                *(ask_early(w, number, random_source) for number in range(STREAMS)),
                return_exceptions=True,
            )
        complete = [
            isinstance(answer, bytes)
            and answer.count(LAST_CHUNK) == 2
            and answer.count(EVENTS[0]) == 2 * STREAM_EVENTS
            for answer in answers
        ]
        assert all(complete), complete.count(False)

    run_async(scenario())


def test_a_client_that_leaves_behind_its_early_bytes_ends_its_attempt() -> None:
    """Guards against work, and requests, for a client that has left with much still unread."""

    async def scenario() -> None:
        server = Replica(stream_at_usual_pace)
        async with running_cluster([Replica(PREFILLED)], [server]) as w:
            reader, writer = await w.send(chat_request("a1", ms=CLASS_TIME_MS))
            await reader.readuntil(EVENTS[0])
            writer.write(chat_request("b1", ms=CLASS_TIME_MS) + b"x" * EARLY_BYTES)
            await asyncio.sleep(0.1)
            writer.transport.abort()
            left_s = time.monotonic()
            await until(lambda: not w.dispatcher.core.registry.by_number)
            assert time.monotonic() - left_s <= MAX_STOP_S
            await until(lambda: not w.dispatcher.front.connections)
        assert len(server.heads) == 1

    run_async(scenario())


def test_a_stream_goes_on_when_its_client_ends_its_sending() -> None:
    """Guards against a sound stream that is cut off for a client that still reads it."""

    async def scenario() -> None:
        random_source = random.Random(SEED + 1)

        async def read_half_closed(cluster: Cluster, number: int) -> bytes:
            reader, writer = await cluster.send(chat_request(f"a{number}", ms=CLASS_TIME_MS))
            received = await reader.readuntil(EVENTS[0])
            await asyncio.sleep(random_source.uniform(0.0, 0.8 * STREAM_EVENTS * EVENT_PAUSE_S))
            writer.write_eof()
            with contextlib.suppress(ConnectionError):
                received += await reader.read()
            writer.close()
            return received

        async with running_cluster([Replica(PREFILLED)], [Replica(stream_at_usual_pace)]) as w:
            answers = await asyncio.gather(*(read_half_closed(w, n) for n in range(STREAMS)))
        cut = sum(not answer.endswith(LAST_CHUNK) for answer in answers)
        assert not cut, cut

    run_async(scenario())


@pytest.mark.parametrize("early", [b"", chat_request("b1")])
def test_a_client_that_closes_within_its_stream_ends_its_attempt(early: bytes) -> None:
    """Guards against an attempt that goes on for a client that has closed its connection."""

    async def scenario() -> None:
        server = Replica(stream_at_usual_pace)
        async with running_cluster([Replica(PREFILLED)], [server]) as w:
            reader, writer = await w.send(chat_request("a1", ms=CLASS_TIME_MS))
            await reader.readuntil(EVENTS[0])
            writer.write(early)
            await writer.drain()
            writer.close()
            left_s = time.monotonic()
            await until(lambda: not w.dispatcher.core.registry.by_number)
            assert time.monotonic() - left_s <= MAX_STOP_S
        assert len(server.heads) == 1

    run_async(scenario())
