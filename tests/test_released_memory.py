"""What has ended is released at once, and does not wait for the collection of reference cycles.

Guards against memory that grows with the number of connections and requests that have ended: full
collections are rare, and what an ended connection had received stayed until the next one.
"""

import asyncio
import contextlib
import gc
import random
from collections import Counter
from collections.abc import Iterator

import pytest
import standins as st
import test_toolcalls as calls
from cluster import (
    HEAD,
    PREFILLED,
    SERVER_FULL,
    STREAM,
    Cluster,
    Replica,
    break_connection,
    chat_request,
    respond_with,
    run_async,
    running_cluster,
)
from crowds import RETURNING_KINDS, Crowd
from standins import until
from test_endless_input import chunk

from onyxpass.core.memory_budget import MemoryAccount
from onyxpass.core.requests import Attempt, Request
from onyxpass.net.client import HttpClient
from onyxpass.net.connections import ClientConnection
from onyxpass.net.event_stream import EventSplitter
from onyxpass.net.http import HttpConnection
from onyxpass.net.replica import Payload
from onyxpass.net.response_reader import ResponseReader
from onyxpass.toolcalls import front, replicas

SEED = 7120
CROWD = 12
RELEASED = (
    HttpConnection,
    MemoryAccount,
    ClientConnection,
    HttpClient,
    Request,
    Attempt,
    Payload,
    ResponseReader,
    EventSplitter,
    front.Connection,
    front.RpcClient,
    replicas.Payload,
)


@contextlib.contextmanager
def no_collection() -> Iterator[None]:
    """Let nothing be released but by its last reference."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def unreleased() -> Counter[str]:
    """Count the objects that belong to a connection or a request."""
    return Counter(
        type(found).__name__ for found in gc.get_objects() if isinstance(found, RELEASED)
    )


async def wait_for_release(allowed: Counter[str]) -> None:
    """Wait until no more objects are left than ``allowed``; names the others."""
    with contextlib.suppress(TimeoutError):
        await until(lambda: not unreleased() - allowed, limit_s=6.0)
    assert not unreleased() - allowed


ANSWERS = {
    "a stream": STREAM,
    "a full server": SERVER_FULL,
    "a broken connection": break_connection(HEAD),
    "an unsound stream": respond_with(HEAD + chunk(b"no event\n\n")),
}


@pytest.mark.parametrize("kind", ANSWERS)
def test_requests_are_released_with_their_answer(kind: str) -> None:
    async def scenario() -> None:
        with no_collection():
            before = unreleased()
            writer = Replica(ANSWERS[kind])
            async with running_cluster([Replica(PREFILLED)], [writer]) as cluster:
                bodies = [b'{"a":"%b"}' % (b"x" * size) for size in (10, 50_000, 200_000)]
                texts = [
                    chat_request(f"a{n}", "light", 1000, close=n % 2 == 0, text=bodies[n % 3])
                    for n in range(CROWD)
                ]
                clients = [await cluster.send(text) for text in texts]
                for reader, _ in clients:
                    await reader.read(1)
                # Open connections without a request hold nothing of the one before.
                await until(lambda: not cluster.dispatcher.core.registry.by_number)
                await until(lambda: not unreleased()["Payload"])
                for _, client_writer in clients:
                    client_writer.transport.abort()
                await end_connections(cluster, before)

    run_async(scenario)


@pytest.mark.parametrize("crowd", RETURNING_KINDS)
def test_connections_are_released_with_their_end(crowd: Crowd) -> None:
    async def scenario() -> None:
        random_source = random.Random(SEED)
        with no_collection():
            before = unreleased()
            async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as cluster:
                writing = []
                for number in range(CROWD):
                    reader, writer = await cluster.send(b"")
                    task = crowd(random_source, number, writer)
                    writing.append((reader, writer, task))
                await asyncio.sleep(0.3)
                for _, writer, task in writing:
                    writer.transport.abort()
                    if task is not None:
                        task.cancel()
                await end_connections(cluster, before)

    run_async(scenario)


async def end_connections(cluster: Cluster, before: Counter[str]) -> None:
    """Wait for the end of all connections, and for their release."""
    dispatcher = cluster.dispatcher
    await until(lambda: not dispatcher.front.connections)
    dispatcher.replicas.sweep(everything=True)
    await until(lambda: not dispatcher.replicas.budget.open)
    await wait_for_release(before + Counter({"HttpConnection": 1}))  # the watch of the list


def test_requests_of_the_json_rpc_front_are_released_with_their_answer() -> None:
    async def scenario() -> None:
        with no_collection():
            before = unreleased()
            async with calls.world(st.send_text("a"), st.call_tool("c1"), st.send_text("b")) as bed:
                client = await bed.client()
                for number in range(CROWD):
                    client.generate(number, prompt="x" * 50_000)
                    await client.response(number)
                await until(lambda: not bed.service.core.registry.by_number)
                await until(lambda: not unreleased()["Payload"])  # the connection is still open
                await client.stop()
                await until(lambda: not bed.service.front.connections)
                await wait_for_release(before)

    calls.run(scenario)
