"""Races at client connections: disconnects, shutdown and closing, over loopback sockets."""

import asyncio
import json
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import pytest
import test_toolcalls
from cluster import (
    CHUNKS,
    HEAD,
    PREFILLED,
    STREAM,
    Cluster,
    Discovery,
    Replica,
    chat_request,
    hold_last_chunk,
    run_async,
    running_cluster,
)
from standins import until
from test_program import RAW, ROOT

from onyxpass.net.connections import Stage
from onyxpass.scheduling import contract


def raw_client(w: Cluster, text: bytes = b"") -> socket.socket:
    """Return a client socket outside the event loop.

    What it does is in the kernel before the dispatcher has a turn.
    """
    sock = socket.create_connection(("127.0.0.1", w.port))
    sock.sendall(text)
    return sock


async def received(sock: socket.socket, until_bytes: bytes = b"") -> bytes:
    """Return the bytes received up to the end of the stream or ``until_bytes``; a reset raises."""
    loop, found = asyncio.get_running_loop(), b""
    sock.setblocking(False)
    while (until_bytes == b"" or until_bytes not in found) and (
        part := await loop.sock_recv(sock, 65536)
    ):
        found += part
    return found


# Disconnects


def hold_connects(w: Cluster, name: str) -> tuple[asyncio.Event, asyncio.Event]:
    """Hold connections to a server after they are established.

    The first event tells that one is up, the second lets it go on.
    """
    up, go_on = asyncio.Event(), asyncio.Event()
    actor = w.dispatcher.replicas.actors[name]
    connect = actor._open

    async def connect_then_wait(timeout_us: int | None = None) -> Any:
        wire = await connect(timeout_us)
        up.set()
        await go_on.wait()
        return wire

    actor._open = connect_then_wait  # type: ignore[method-assign]
    return up, go_on


@pytest.mark.parametrize("at", ["r0", "w0"])
def test_nothing_is_sent_for_a_client_that_left_during_the_connect(at: str) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            up, go_on = hold_connects(w, at)
            client = raw_client(w, chat_request("a1"))
            await up.wait()
            client.close()
            go_on.set()  # in the same step, so the event loop has not seen the close
            await until(
                lambda: (
                    w.dispatcher.core.metrics.received and not w.dispatcher.core.registry.by_number
                )
            )
            assert not (w.readers if at == "r0" else w.writers)[0].heads
            if at == "w0":
                await until(lambda: w.readers[0].leases or w.writers[0].leases)

    run_async(scenario)


def test_nothing_is_sent_for_clients_that_send_and_disconnect_at_once() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            # connections are reused, so no connect gives the event loop time
            assert b" 200 " in await w.request("warm")
            for n in range(200):
                raw_client(w, chat_request(f"a{n}")).close()
            assert b" 200 " in await w.request("true")
            await until(
                lambda: (
                    not w.dispatcher.core.registry.by_number and not w.dispatcher.front.connections
                )
            )
            assert len(w.readers[0].heads) == len(w.writers[0].heads) == 2

    run_async(scenario)


def test_nothing_is_sent_for_a_client_that_left_while_queued() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            core = w.dispatcher.core
            core.router._begin = lambda request: False  # type: ignore[method-assign]
            client = raw_client(w, chat_request("a1"))
            await until(lambda: core.router.requests)
            del core.router._begin
            client.close()
            # the timer fires before the event loop has read the close
            core.receive(contract.TimerFired(0))
            await until(lambda: not core.registry.by_number)
            assert not w.readers[0].heads and not w.readers[0].connections

    run_async(scenario)


def test_nothing_is_sent_for_a_json_rpc_client_that_left_during_the_connect() -> None:
    async def scenario() -> None:
        async with test_toolcalls.world() as w:
            core = w.service.core  # type: ignore[attr-defined]
            up, go_on = asyncio.Event(), asyncio.Event()
            for replica in w.service.replicas.actors.values():  # type: ignore[attr-defined]

                async def connect_then_wait(
                    timeout_us: int | None = None, connect: Any = replica._open
                ) -> Any:
                    streams = await connect(timeout_us)
                    up.set()
                    await go_on.wait()
                    return streams

                replica._open = connect_then_wait
            client = socket.create_connection(("127.0.0.1", w.service.front.port))  # type: ignore[attr-defined]
            params = {"class": next(iter(core.deadlines)), "prompt": "x"}
            call = {"jsonrpc": "2.0", "id": 1, "method": "generate", "params": params}
            client.sendall(json.dumps(call).encode() + b"\n")
            await up.wait()
            client.close()
            go_on.set()
            await until(lambda: core.metrics.received and not core.registry.by_number)
            assert not any(reader.count("read") for reader in w.readers)

    run_async(scenario)


# Closing


async def idle_client(w: Cluster) -> socket.socket:
    """Return a client that has received its answer and keeps its connection open."""
    client = raw_client(w, chat_request("a1"))
    assert b"[DONE]" in await received(client, b"\r\n0\r\n\r\n")
    await until(lambda: all(p.stage is Stage.IDLE for p in w.dispatcher.front.connections.values()))
    return client


def test_a_request_that_crosses_the_close_of_its_idle_connection_is_not_forwarded() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            client = await idle_client(w)
            w.dispatcher.front.close_idle()
            assert await received(client) == b"", "the close is seen"
            client.setblocking(True)
            client.sendall(chat_request("a2"))
            await until(lambda: not w.dispatcher.front.connections)
            assert len(w.readers[0].heads) == 1
            client.close()

    run_async(scenario)


def test_a_request_that_has_arrived_when_its_idle_connection_is_closed_is_answered() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            client = await idle_client(w)
            client.setblocking(True)
            client.sendall(chat_request("a2"))
            w.dispatcher.front.closing = True
            w.dispatcher.front.close_idle()
            answer = await received(client)
            assert answer.startswith(b"HTTP/1.1 200") and b"connection: close" in answer.lower()
            client.close()

    run_async(scenario)


def test_a_request_that_arrived_as_the_previous_answer_ended_is_answered_at_shutdown() -> None:
    async def scenario() -> None:
        hold, draining, go_on = asyncio.Event(), asyncio.Event(), asyncio.Event()
        async with running_cluster(
            [Replica(PREFILLED)], [Replica(hold_last_chunk(hold), STREAM)]
        ) as w:
            client = raw_client(w, chat_request("a1"))
            await received(client, b"[DONE]")
            (peer,) = w.dispatcher.front.connections.values()
            assert peer.wire is not None

            async def drain() -> None:
                draining.set()
                await go_on.wait()

            peer.wire.writer.drain = drain  # type: ignore[method-assign]
            hold.set()
            await draining.wait()  # the answer was written, and its end is in transit
            w.dispatcher.front.closing = True
            client.setblocking(True)
            client.sendall(chat_request("a2"))
            go_on.set()
            assert b"HTTP/1.1 200" in await received(client)
            client.close()

    run_async(scenario)


def test_unread_bytes_do_not_discard_the_end_of_an_answer() -> None:
    """A close with unread bytes resets the connection and discards data in transit to the client."""

    async def scenario() -> None:
        big = b'data: {"x":"%b"}\n\n' % (b"y" * 4000)
        stream = (
            HEAD
            + b"".join(b"%x\r\n%b\r\n" % (len(big), big) for _ in range(40))
            + CHUNKS
            + b"0\r\n\r\n"
        )

        async def answer(
            self: Replica, reader: Any, writer: asyncio.StreamWriter, _: bytes
        ) -> None:
            writer.write(stream)

        async with running_cluster([Replica(PREFILLED)], [Replica(answer)]) as w:
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", w.port))
            client.sendall(chat_request("a1", close=True))
            await until(
                lambda: (
                    any(p.stage is Stage.LEAVING for p in w.dispatcher.front.connections.values())
                    or (not w.dispatcher.core.registry.by_number and w.writers[0].heads)
                )
            )
            client.setblocking(False)
            with pytest.raises(BlockingIOError):
                while True:
                    client.send(b"z" * 65536)
            assert (await received(client)).endswith(b"0\r\n\r\n")
            client.close()

    run_async(scenario)


# Shutdown


def test_connections_queued_when_the_listener_closes_are_answered() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            clients = [raw_client(w, chat_request(f"a{n}")) for n in range(30)]
            w.dispatcher.front.closing = True
            # before the event loop has had a turn to accept one
            await w.dispatcher.front.finish_accepting()
            for client in clients:
                answer = await received(client)
                assert answer.startswith(b"HTTP/1.1 200") and b"connection: close" in answer.lower()
                client.close()

    run_async(scenario)


def test_partial_requests_at_shutdown_are_answered_once_complete_and_refused_if_late() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            body = b'{"k": "%b"}' % (b"v" * 400)
            halves = []
            for request_id, cut in (("a1", 9), ("a2", -100)):
                text = chat_request(request_id, text=body)
                halves.append((raw_client(w, text[:cut]), text[cut:]))
            opened = w.dispatcher.front.connections
            await until(lambda: [p.stage for p in opened.values()] == [Stage.READING] * 2)
            stopping = asyncio.create_task(w.dispatcher.stop())
            await until(lambda: w.dispatcher.front.closing)
            halves[0][0].sendall(halves[0][1])
            assert (await received(halves[0][0])).startswith(b"HTTP/1.1 200")
            await until(lambda: w.dispatcher.core.shutdown.begun)
            halves[1][0].setblocking(True)
            halves[1][0].sendall(halves[1][1])
            assert (await received(halves[1][0])).startswith(b"HTTP/1.1 503")
            await stopping
            assert len(w.readers[0].heads) == 1, "a rejected request is not sent"
            for client, _ in halves:
                client.close()

    run_async(scenario)


def test_repeated_signals_change_nothing_and_a_signal_before_ready_ends_the_process(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        hold = asyncio.Event()
        d, reader, writer = Discovery(), Replica(PREFILLED), Replica(hold_last_chunk(hold))
        for part in (d, reader, writer):
            await part.start()
        d.hosts += [d.entry("r0", "r", reader.address), d.entry("w0", "w", writer.address)]
        path = tmp_path / "config.json"
        for address in (d.address, "127.0.0.1:1"):
            path.write_text(json.dumps({**RAW, "discovery": address}))
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "onyxpass", "serve", "--config", str(path)),
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )
            assert process.stdout is not None
            port, seen = 0, set[str]()
            while not port or (address == d.address and "full" not in seen):
                line = json.loads(await process.stdout.readline())
                seen.add(str(line.get("form")))
                port = (
                    int(line["listen"].rpartition(":")[2]) if line["event"] == "listening" else port
                )
            streams = None
            if address == d.address:
                streams = await asyncio.open_connection("127.0.0.1", port)
                streams[1].write(chat_request("a1", "a"))
                await streams[0].readuntil(b"[DONE]")
            for number in (
                signal.SIGTERM,
                signal.SIGHUP,
                signal.SIGTERM,
                signal.SIGINT,
                signal.SIGHUP,
            ):
                process.send_signal(number)
            if streams is not None:
                hold.set()
                assert (await streams[0].read()).endswith(b"0\r\n\r\n")
                streams[1].close()
            output, errors = await asyncio.wait_for(process.communicate(), 15)
            assert process.returncode == 0 and not errors and b"Traceback" not in output
            assert b'"stopped"' in output
        for part in (d, reader, writer):
            await part.stop()

    run_async(scenario)


def test_a_shutdown_with_hanging_servers_ends_and_answers_every_request() -> None:
    async def scenario() -> None:
        async def hangs(self: Replica, reader: Any, writer: Any, _: bytes) -> None:
            await reader.read()

        async with running_cluster([Replica(hangs)], [Replica(STREAM)]) as w:
            clients = [raw_client(w, chat_request(f"a{n}", ms=60_000)) for n in range(3)]
            await until(lambda: len(w.readers[0].heads) == 3)
            await w.dispatcher.stop()
            for client in clients:
                answer = await received(client)
                assert answer.split()[1] in (b"502", b"503", b"504"), (
                    "by the dispatcher, and in time"
                )
                client.close()
            assert len(w.readers[0].heads) == 3 and not w.dispatcher.front.connections

    run_async(scenario)


def test_the_json_rpc_front_answers_queued_connections_as_it_closes() -> None:
    async def scenario() -> None:
        async with test_toolcalls.world(test_toolcalls.st.send_text("x")) as w:
            service = w.service  # type: ignore[attr-defined]
            idle_client = await w.client()
            idle_client.generate(1)
            assert "result" in await idle_client.response(1)
            stopping = asyncio.create_task(service.front.stop())
            await until(lambda: service.front.closing)
            call = {"jsonrpc": "2.0", "id": 1, "method": "ping"}
            clients = []
            # none of them is accepted yet, because the event loop has no turn in between
            for _ in range(20):
                clients.append(socket.create_connection(("127.0.0.1", service.front.port)))
                clients[-1].sendall(json.dumps(call).encode() + b"\n")
            for client in clients:
                assert json.loads(await received(client, b"\n"))["result"] == {"ready": False}
            await until(lambda: all(c.closed_by_server for c in service.front.connections.values()))
            for client in clients:
                client.setblocking(True)
                # crosses the close of the dispatcher's side
                client.sendall(json.dumps(call).encode() * 20 + b"\n")
                assert await received(client) == b"", "closed, and not reset"
                client.close()
            await idle_client.stop()
            await stopping

    run_async(scenario)
