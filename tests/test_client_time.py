"""The start of a client's time limit, and answers to all requests that were read.

All over loopback sockets.
"""

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

import pytest
import test_toolcalls
from cluster import PREFILLED, STREAM, Cluster, Replica, chat_request, running_cluster
from standins import until

from onyxpass.core import event_loop
from onyxpass.core.dispatcher import ANSWER_MARGIN_US, RequestDispatcher
from onyxpass.core.requests import Request
from onyxpass.net import front
from onyxpass.net.connections import ClientConnection, ClientConnections, Stage
from onyxpass.net.http import HttpConnection
from onyxpass.net.listen import Listener
from onyxpass.scheduling import contract

STALL_S = 0.4
WAIT_MS = 3_000


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test on the event loop of a dispatcher."""
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(asyncio.wait_for(test(), 30))


def deadlines(core: RequestDispatcher) -> list[int]:
    """Return a list that receives the deadline of each request submitted to the core."""
    found, submit = list[int](), core.submit

    def record(request_id: str, arrival: contract.Arrival, *more: Any) -> Request:
        found.append(arrival.deadline_us)
        return submit(request_id, arrival, *more)

    core.submit = record  # type: ignore[method-assign]
    return found


async def answer(client: socket.socket) -> bytes:
    client.setblocking(False)
    return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 4096), 10)


@contextmanager
def connected(w: Cluster) -> Iterator[socket.socket]:
    """Yield a client that is closed even if the test fails.

    Otherwise the end of the dispatcher would wait for it.
    """
    client = socket.create_connection(("127.0.0.1", w.port))
    try:
        yield client
    finally:
        client.close()


def test_the_time_in_the_accept_queue_counts_as_the_clients_time() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            found, clock = deadlines(w.dispatcher.core), w.dispatcher.clock
            with connected(w) as client:
                client.sendall(chat_request("a1", ms=WAIT_MS))
                sent_us = clock.now_us()
                # the event loop has no turn: the connection waits in the kernel
                time.sleep(STALL_S)
                assert (await answer(client)).startswith(b"HTTP/1.1 200")
            assert found[0] <= sent_us + WAIT_MS * 1000

    run(scenario)


def test_the_time_unread_on_an_open_connection_counts_as_the_clients_time() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            found, clock = deadlines(w.dispatcher.core), w.dispatcher.clock
            with connected(w) as client:
                client.sendall(chat_request("a1", ms=WAIT_MS))
                await answer(client)
                await until(
                    lambda: all(
                        c.stage is Stage.IDLE for c in w.dispatcher.front.connections.values()
                    )
                )
                client.sendall(chat_request("a2", ms=WAIT_MS))
                sent_us = clock.now_us()
                time.sleep(STALL_S)
                await until(lambda: len(found) == 2)
            assert found[1] <= sent_us + WAIT_MS * 1000

    run(scenario)


def test_idle_time_before_a_request_does_not_count() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            found, clock = deadlines(w.dispatcher.core), w.dispatcher.clock
            await asyncio.sleep(2 * STALL_S)
            with connected(w) as client:
                await asyncio.sleep(2 * STALL_S)
                sent_us = clock.now_us()
                client.sendall(chat_request("a1", ms=WAIT_MS))
                assert (await answer(client)).startswith(b"HTTP/1.1 200")
            assert found[0] >= sent_us + WAIT_MS * 1000 - ANSWER_MARGIN_US - STALL_S * 1_000_000

    run(scenario)


def test_the_time_unread_of_a_json_rpc_call_counts_as_the_clients_time() -> None:
    async def scenario() -> None:
        async with test_toolcalls.world() as w:
            service: Any = w.service
            found, clock = deadlines(service.core), service.core.clock
            params = {
                "class": next(iter(service.core.deadlines)),
                "prompt": "x",
                "timeout_ms": WAIT_MS,
            }
            call = {"jsonrpc": "2.0", "id": 1, "method": "generate", "params": params}
            client = socket.create_connection(("127.0.0.1", service.front.port))
            try:
                await until(lambda: len(service.front.connections) == 1)
                client.sendall(json.dumps(call).encode() + b"\n")
                sent_us = clock.now_us()
                time.sleep(STALL_S)
                await until(lambda: len(found) == 1)
            finally:
                client.close()
            assert found[0] <= sent_us + WAIT_MS * 1000

    run(scenario)


@pytest.mark.parametrize("seed", range(5))
def test_the_lower_bound_of_a_connections_queueing_is_never_too_late(seed: int) -> None:
    """Random connects and accepts.

    The bound lies before the connect, and after the last time the queue was empty.
    """
    chance = random.Random(seed)
    listener = Listener.at("127.0.0.1", 0, 16)
    waiting: list[tuple[int, socket.socket]] = []
    held, empty_ns = [], 0
    for _ in range(300):
        if len(waiting) < 16 and chance.random() < 0.55:
            client = socket.create_connection(("127.0.0.1", listener.port))
            waiting.append((time.monotonic_ns(), client))
        elif (taken := listener.accept_nowait()) is None:
            assert not waiting
            empty_ns = time.monotonic_ns()
        else:
            connected_ns, client = waiting.pop(0)
            assert listener.queued_since_ns <= connected_ns
            assert listener.queued_since_ns >= empty_ns - 1_000_000 or not empty_ns
            held += [taken, client]
    for sock in (*held, *(client for _, client in waiting)):
        sock.close()
    listener.close()


class StubConnection:
    """The attributes of a connection that the search for a displaceable one uses."""

    def __init__(self, unread: bool) -> None:
        self.unread, self.hung_up, self.read_count = unread, False, 1
        self.is_waiting_for_step = False


def test_connections_with_unread_bytes_are_not_displaced_and_the_oldest_goes_first() -> None:
    async def scenario() -> None:
        held, made = ClientConnections(), []
        for n in range(6):
            wire: Any = StubConnection(unread=n == 0)
            connection = ClientConnection(since_us=n, due_us=0, wire=wire)
            made.append(connection)
            held.add(asyncio.create_task(asyncio.sleep(0)), connection)
        held.enter(made[1], Stage.OPEN, 10)
        held.enter(made[2], Stage.IDLE, 11)
        order = []
        while (found := held.take_displaceable(10**9)) is not None:
            order.append(made.index(found[1]))
        assert order == [3, 4, 5, 2], (
            "new ones before idle ones; never one with unread bytes or an open request"
        )
        assert len(held) == 2 and held.count(Stage.OPEN, Stage.LEAVING) == 1

    asyncio.run(scenario())


def test_a_request_that_arrives_as_its_connection_times_out_is_answered() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            opened = w.dispatcher.front.connections
            with connected(w) as client:
                await until(lambda: [c.wait_timeout is not None for c in opened.values()] == [True])
                (connection,) = opened.values()
                client.sendall(chat_request("a1"))
                assert connection.wait_timeout is not None
                connection.wait_timeout.expire()  # before the event loop has had a turn to read it
                assert (await answer(client)).startswith(b"HTTP/1.1 200")

    run(scenario)


def test_an_internal_error_still_answers_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:

            def fails(*_: object) -> None:
                raise RuntimeError("planted")

            monkeypatch.setattr(front, "read_arrival", fails)
            with connected(w) as client:
                client.sendall(chat_request("a1"))
                assert (await answer(client)).startswith(b"HTTP/1.1 500")

    run(scenario)


def test_a_crowd_of_connections_does_not_keep_requests_from_their_answers() -> None:
    """Connections without a request, or with half of one, hold every slot; each request still ends."""

    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            w.dispatcher.front.max_connections = 8
            crowd = []
            answers = []
            for number in range(40):
                for text in (b"", b"POST /v1/chat HTTP/1.1\r\nHost"):
                    crowd.append(await w.send(text))
                answers.append(asyncio.create_task(w.request(f"a{number}", ms=20_000)))
                await asyncio.sleep(0.02)
            ends = [answer[9:12] for answer in await asyncio.gather(*answers)]
            assert set(ends) <= {b"200", b"503"} and ends.count(b"200") >= 35
            for _, writer in crowd:
                writer.close()

    run(scenario)


def test_a_connection_reports_unread_bytes() -> None:
    async def scenario() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        wire = await HttpConnection.from_socket(ours, front.h11.SERVER)
        assert not wire.unread
        theirs.sendall(b"x")
        assert wire.unread, "in the kernel"
        await asyncio.sleep(0.05)
        assert wire.unread, "in the stream's buffer"
        await wire.read_more()
        assert not wire.unread
        wire.abort()
        theirs.close()

    asyncio.run(scenario())
