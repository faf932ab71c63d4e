"""What a client's time counts from, and that what was read of it is answered, on loopback
sockets.
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
from standins import until
from world import READ, STREAM, Replica, World, ask, world

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
    """On the loop that a dispatcher has."""
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
        runner.run(asyncio.wait_for(test(), 30))


def deadlines(core: RequestDispatcher) -> list[int]:
    """Fills with the deadline of each request that the core is given."""
    found, submit = list[int](), core.submit

    def noted(request_id: str, arrival: contract.Arrival, *more: Any) -> Request:
        found.append(arrival.deadline_us)
        return submit(request_id, arrival, *more)

    core.submit = noted  # type: ignore[method-assign]
    return found


async def answer(client: socket.socket) -> bytes:
    client.setblocking(False)
    return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(client, 4096), 10)


@contextmanager
def connected(w: World) -> Iterator[socket.socket]:
    """Closed also where the test fails: the dispatcher's end waits for its clients."""
    client = socket.create_connection(("127.0.0.1", w.port))
    try:
        yield client
    finally:
        client.close()


def test_the_wait_of_a_new_connection_counts_as_the_clients_time() -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            found, clock = deadlines(w.dispatcher.core), w.dispatcher.clock
            with connected(w) as client:
                client.sendall(ask("a1", ms=WAIT_MS))
                sent_us = clock.now_us()
                time.sleep(STALL_S)  # the loop has no turn: the connection waits in the kernel
                assert (await answer(client)).startswith(b"HTTP/1.1 200")
            assert found[0] <= sent_us + WAIT_MS * 1000

    run(go)


def test_the_wait_of_a_kept_connection_counts_as_the_clients_time() -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            found, clock = deadlines(w.dispatcher.core), w.dispatcher.clock
            with connected(w) as client:
                client.sendall(ask("a1", ms=WAIT_MS))
                await answer(client)
                await until(
                    lambda: all(
                        c.stage is Stage.IDLE for c in w.dispatcher.front.connections.values()
                    )
                )
                client.sendall(ask("a2", ms=WAIT_MS))
                sent_us = clock.now_us()
                time.sleep(STALL_S)
                await until(lambda: len(found) == 2)
            assert found[1] <= sent_us + WAIT_MS * 1000

    run(go)


def test_a_quiet_time_before_a_request_is_not_counted() -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            found, clock = deadlines(w.dispatcher.core), w.dispatcher.clock
            await asyncio.sleep(2 * STALL_S)
            with connected(w) as client:
                await asyncio.sleep(2 * STALL_S)
                sent_us = clock.now_us()
                client.sendall(ask("a1", ms=WAIT_MS))
                assert (await answer(client)).startswith(b"HTTP/1.1 200")
            assert found[0] >= sent_us + WAIT_MS * 1000 - ANSWER_MARGIN_US - STALL_S * 1_000_000

    run(go)


def test_the_wait_of_a_json_rpc_call_counts_as_the_clients_time() -> None:
    async def go() -> None:
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

    run(go)


@pytest.mark.parametrize("seed", range(5))
def test_the_bound_of_a_connections_wait_is_never_too_late(seed: int) -> None:
    """Random connects and takes: the bound lies before the connect, and after an empty queue
    behind that.
    """
    chance = random.Random(seed)
    listener = Listener.at("127.0.0.1", 0, 16)
    waiting: list[tuple[int, socket.socket]] = []
    held, empty_ns = [], 0
    for _ in range(300):
        if len(waiting) < 16 and chance.random() < 0.55:
            client = socket.create_connection(("127.0.0.1", listener.port))
            waiting.append((time.monotonic_ns(), client))
        elif (taken := listener.take()) is None:
            assert not waiting
            empty_ns = time.monotonic_ns()
        else:
            connected_ns, client = waiting.pop(0)
            assert listener.waited_since_ns <= connected_ns
            assert listener.waited_since_ns >= empty_ns - 1_000_000 or not empty_ns
            held += [taken, client]
    for sock in (*held, *(client for _, client in waiting)):
        sock.close()
    listener.close()


class Scripted:
    """As much of a wire as a search for room looks at."""

    def __init__(self, unread: bool) -> None:
        self.unread, self.hung_up, self.pieces = unread, False, 1


def test_what_has_been_read_is_not_closed_for_a_newcomer_and_the_eldest_goes_first() -> None:
    async def go() -> None:
        held, made = ClientConnections(), []
        for n in range(6):
            wire: Any = Scripted(unread=n == 0)
            connection = ClientConnection(since_us=n, due_us=0, wire=wire)
            made.append(connection)
            held.add(asyncio.create_task(asyncio.sleep(0)), connection)
        held.enter(made[1], Stage.OPEN, 10)
        held.enter(made[2], Stage.IDLE, 11)
        order = []
        while (found := held.take_least_missed(10**9)) is not None:
            order.append(made.index(found[1]))
        assert order == [3, 4, 5, 2], (
            "new ones before idle ones; never what is unread or being served"
        )
        assert len(held) == 2 and held.count(Stage.OPEN, Stage.LEAVING) == 1

    asyncio.run(go())


def test_a_request_that_comes_as_a_new_connection_is_given_up_is_answered() -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            opened = w.dispatcher.front.connections
            with connected(w) as client:
                await until(lambda: [c.resting is not None for c in opened.values()] == [True])
                (connection,) = opened.values()
                client.sendall(ask("a1"))
                assert connection.resting is not None
                connection.resting.expire()  # before the loop has had a turn to read it
                assert (await answer(client)).startswith(b"HTTP/1.1 200")

    run(go)


def test_a_fault_of_our_own_still_gives_the_request_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:

            def fails(*_: object) -> None:
                raise RuntimeError("planted")

            monkeypatch.setattr(front, "read_arrival", fails)
            with connected(w) as client:
                client.sendall(ask("a1"))
                assert (await answer(client)).startswith(b"HTTP/1.1 500")

    run(go)


def test_a_crowd_frees_no_request_of_its_answer() -> None:
    """Connections that ask nothing, or half of something, hold every place; each request still
    ends.
    """

    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            w.dispatcher.front.max_connections = 8
            crowd = []
            answers = []
            for number in range(40):
                for text in (b"", b"POST /v1/chat HTTP/1.1\r\nHost"):
                    crowd.append(await w.send(text))
                answers.append(asyncio.create_task(w.ask(f"a{number}", ms=20_000)))
                await asyncio.sleep(0.02)
            ends = [answer[9:12] for answer in await asyncio.gather(*answers)]
            assert set(ends) <= {b"200", b"503"} and ends.count(b"200") >= 35
            for _, writer in crowd:
                writer.close()

    run(go)


def test_a_wire_tells_what_is_unread() -> None:
    async def go() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        wire = await HttpConnection.over(ours, front.h11.SERVER)
        assert not wire.unread
        theirs.sendall(b"x")
        assert wire.unread, "in the kernel"
        await asyncio.sleep(0.05)
        assert wire.unread, "in the stream's buffer"
        await wire.fill()
        assert not wire.unread
        wire.abort()
        theirs.close()

    asyncio.run(go())
