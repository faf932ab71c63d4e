"""Clients that go with a reset while a dispatcher has no free slot for a connection.

Guards against an error of one client's connection that ends the process: the accept loop polled the
descriptor of a connection that asyncio had closed after a reset, and the task of that connection had
not been told yet. The poll raised ValueError, which ended the accept loop and with it the dispatcher.
"""

import asyncio
import contextlib
import random
import signal
import socket
import struct
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import h11
import pytest
from cluster import PREFILLED, STREAM, Replica, chat_request, running_cluster
from cluster import run_async as run_cluster
from fault_injection import ChildProcess, open_connection, run_async, servers_and_config
from hot_restart.test_inherited_listener import start_with_socket
from standins import until

from onyxpass import serve
from onyxpass.config.platform_file import connection_limit
from onyxpass.core.reasons import CloseReason
from onyxpass.net.connections import ClientConnection, ClientConnections, Stage
from onyxpass.net.http import HttpConnection

SOCKETS = 96  # descriptors of a dispatcher: few, so that its slots are soon taken
SILENT_CLIENTS = 4 * connection_limit(SOCKETS)
SILENCE_S = (0.2, 0.4)  # of a client before its reset: longer than until it may be displaced
RUN_S = 3.0
REQUESTS = 8
REPETITIONS = 3  # of a timer that fails each time
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with no time


async def connection_closed_by_asyncio() -> ClientConnection:
    """Return a client's connection whose descriptor asyncio has closed after a reset."""
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    wire = await HttpConnection.from_socket(ours, h11.SERVER)
    theirs.close()
    wire.abort()
    while wire.writer.get_extra_info("socket").fileno() >= 0:
        await asyncio.sleep(0)
    return ClientConnection(0, 0, wire)


def test_a_connection_that_asyncio_has_closed_can_be_displaced() -> None:
    """Guards against ValueError in the accept loop, in each stage that may be displaced."""

    async def scenario() -> None:
        for stage in (Stage.NEW, Stage.IDLE, Stage.READING, Stage.LEAVING):
            connections, connection = ClientConnections(), await connection_closed_by_asyncio()
            task = asyncio.create_task(asyncio.sleep(0))
            connections.add(task, connection)
            connections.enter(connection, stage, 0)
            assert connections.take_displaceable(10**9) == (task, connection)
            assert connections.closed == {CloseReason.CONNECTION_BROKE: 1}
            await task

    asyncio.run(scenario())


def test_a_connection_that_asyncio_has_closed_has_hung_up() -> None:
    """Guards against ValueError wherever the state of a connection is polled."""

    async def scenario() -> None:
        wire = (await connection_closed_by_asyncio()).wire
        assert wire is not None
        assert wire.unread
        assert wire.hung_up
        assert wire.stale
        assert wire.acknowledged() is None

    asyncio.run(scenario())


def test_a_repeated_timer_survives_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one error of one connection that ends the sweep, or the state log, for good."""
    for name in ("SWEEP_INTERVAL_US", "STATE_LOG_INTERVAL_US"):
        monkeypatch.setattr(serve, name, 10_000)
    calls = Counter[str]()

    def fail(name: str) -> None:
        calls[name] += 1
        raise ValueError(name)

    async def scenario() -> None:
        async with running_cluster([], []) as cluster:
            replicas = cluster.dispatcher.replicas
            monkeypatch.setattr(replicas, "sweep", lambda: fail("sweep"))
            monkeypatch.setattr(serve, "cpu_us", lambda: fail("state log"))
            await until(lambda: min(calls["sweep"], calls["state log"]) >= REPETITIONS)

    run_cluster(scenario)


async def stay_silent_and_reset(port: int, draw: random.Random) -> None:
    """Connect, say nothing, and end with a reset, again and again; a refusal is tried again."""
    while True:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            await asyncio.sleep(draw.uniform(*SILENCE_S))
            writer.transport.abort()
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def silent_clients(port: int) -> AsyncIterator[None]:
    """Take all slots of a dispatcher by silent clients until the end of the block."""
    clients = [
        asyncio.create_task(stay_silent_and_reset(port, random.Random(seed)))
        for seed in range(SILENT_CLIENTS)
    ]
    try:
        yield
    finally:
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)


async def request(port: int, name: str) -> bytes:
    """Return the response to one request; empty if its connection was reset."""
    async with open_connection(port) as (reader, writer):
        writer.write(chat_request(name, "a", close=True))
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""


async def check_serves_beside_silent_clients(process: ChildProcess, port: int) -> None:
    """Assert that a dispatcher answers usual requests while silent clients come and go."""
    async with silent_clients(port):
        for number in range(REQUESTS):
            await asyncio.sleep(RUN_S / REQUESTS)
            assert process.child.returncode is None, process.other_output
            assert (await request(port, f"a{number}")).startswith(b"HTTP/1.1 200")


def test_a_dispatcher_with_no_free_slot_survives_clients_that_reset(tmp_path: Path) -> None:
    async def scenario() -> None:
        servers = servers_and_config(
            tmp_path, [Replica(PREFILLED)], [Replica(STREAM)], limits={"sockets": SOCKETS}
        )
        async with servers as (path, _):
            process = await ChildProcess.start("serve", "--config", str(path))
            await check_serves_beside_silent_clients(process, await process.port())
            assert await process.terminate() == 0, process.other_output

    run_async(scenario())


def test_a_dispatcher_survives_resets_during_reloads_and_its_shutdown(tmp_path: Path) -> None:
    """The same under SIGHUP, and between SIGTERM and the end of the process."""

    async def scenario() -> None:
        servers = servers_and_config(
            tmp_path, [Replica(PREFILLED)], [Replica(STREAM)], limits={"sockets": SOCKETS}
        )
        async with servers as (path, _):
            process = await ChildProcess.start("serve", "--config", str(path))
            port = await process.port()
            async with silent_clients(port):
                for _ in range(REQUESTS):
                    await asyncio.sleep(RUN_S / REQUESTS)
                    assert process.child.returncode is None, process.other_output
                    process.child.send_signal(signal.SIGHUP)
                await process.wait_for_event("reloaded")
                assert await process.terminate() == 0, process.other_output
            assert not process.other_output

    run_async(scenario())


def test_a_process_and_its_successor_survive_resets_while_one_hands_over(tmp_path: Path) -> None:
    """The same while a process with an inherited socket ends and the next one begins to accept."""

    async def scenario() -> None:
        servers = servers_and_config(
            tmp_path, [Replica(PREFILLED)], [Replica(STREAM)], limits={"sockets": SOCKETS}
        )
        async with servers as (path, _):
            with socket.create_server(("127.0.0.1", 0)) as inherited:
                port = inherited.getsockname()[1]
                first = await start_with_socket(path, inherited)
                await first.port()
                async with silent_clients(port):
                    await asyncio.sleep(RUN_S / 2)
                    second = await start_with_socket(path, inherited)
                    await second.port()
                    assert await first.terminate() == 0, first.other_output
                    await asyncio.sleep(RUN_S / 2)
                    assert second.child.returncode is None, second.other_output
                assert (await request(port, "a1")).startswith(b"HTTP/1.1 200")
                assert await second.terminate() == 0, second.other_output

    run_async(scenario())
