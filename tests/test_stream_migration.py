"""Streams that go over to the next process of an upgrade: what is offered, taken, and left where
it was.
"""

import asyncio
import contextlib
import json
import socket
import struct
from pathlib import Path

import h11
import pytest
from helpers import Drive, fleet
from standins import until
from world import READ, STREAM, Replica, ends_with, run, world

from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net import stream_migration
from onyxpass.net.http import HttpConnection
from onyxpass.net.response_reader import ResponseReader
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus
from tests.support.dispatcher_bed import HandClock

OFFER = {
    "version": 1, "id": "a1", "cls": "light", "session": "s", "deadline_us": 1, "prompt_tokens": 1,
    "max_tokens": 1, "arrived_us": 1, "n": 1, "server": "w0", "sent_us": 1, "first_us": 1, "parts": 1,
    "gap_us": 1, "rest": "", "keeps": True,
}  # fmt: skip


async def offered(path: Path, message: bytes, *sockets: socket.socket) -> bytes:
    """The new process's word on an offer; it is never told to go on."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.setblocking(False)
        with stream_migration.short_socket_path(path) as short:
            sock.connect(short)
        socket.send_fds(sock, [message], [s.fileno() for s in sockets])
        return await asyncio.get_running_loop().sock_recv(sock, 1)


def test_only_what_is_a_stream_is_taken_over_and_an_offer_taken_back_changes_nothing(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)], folder=tmp_path) as w:
            path = w.dispatcher.process_registry.migration_socket()
            assert path is not None
            await until(path.exists)
            one, two = socket.socketpair()
            for bad in (
                b"", b"{", b"[]", b"\xff", b"[" * 5000, json.dumps({**OFFER, "version": 3}).encode(),
                json.dumps({**OFFER, "n": "1"}).encode(), json.dumps({**OFFER, "rest": "\u20ac"}).encode(),
                json.dumps({k: v for k, v in OFFER.items() if k != "server"}).encode(),
            ):  # fmt: skip
                assert await offered(path, bad, one, two) == b"", bad
            good = json.dumps(OFFER).encode()
            assert await offered(path, good, one) == b"", "a connection is lacking"
            for version in (stream_migration.OWN_CLOCK_VERSION, stream_migration.VERSION):
                good = json.dumps({**OFFER, "version": version}).encode()
                assert await offered(path, good, one, two) == stream_migration.WILLING, (
                    "the one before is known too"
                )
            assert w.dispatcher.stream_receiver is not None
            await until(lambda: not w.dispatcher.stream_receiver.tasks)
            assert not w.dispatcher.core.registry.by_number and not w.dispatcher.front.connections
            one.send(b"x")
            assert two.recv(1) == b"x", "what was only offered is left as it was"
            one.close()
            two.close()

    run(go)


@pytest.mark.parametrize("answer", [b"", b"0"])
def test_a_stream_that_nobody_takes_stays_and_is_served(tmp_path: Path, answer: bytes) -> None:
    async def go() -> None:
        hold, asked = asyncio.Event(), asyncio.Event()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        with stream_migration.short_socket_path(tmp_path / "x.heir") as short:
            listener.bind(short)
        listener.listen()
        listener.setblocking(False)

        async def turn_down() -> None:
            loop = asyncio.get_running_loop()
            while True:
                sock, _ = await loop.sock_accept(listener)
                with sock:
                    await loop.sock_recv(sock, 70_000)
                    asked.set()
                    if answer:
                        await loop.sock_sendall(sock, answer)

        async with world([Replica(READ)], [Replica(ends_with(hold))]) as w:
            unwilling = asyncio.create_task(turn_down())
            heirs = stream_migration.StreamSender(tmp_path / "x.heir", w.dispatcher.core)
            served = asyncio.create_task(w.ask("a1"))
            await until(
                lambda: any(actor.streams for actor in w.dispatcher.replicas.actors.values())
            )
            w.dispatcher.replicas.migrate_streams(heirs)  # the stream waits for its next event
            await asked.wait()
            hold.set()
            assert (await served).endswith(b"0\r\n\r\n")
            assert w.dispatcher.core.metrics.downstream["light"].completed == 1
            unwilling.cancel()
            listener.close()

    run(go)


async def fed(*parts: bytes) -> ResponseReader:
    """An answer in chunks of which these parts have come, with all whole chunks taken out."""
    wheel = TimerWheel(HandClock())
    reader = asyncio.StreamReader()
    wire = HttpConnection(h11.CLIENT, reader, None)
    wire.h11.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    wire.h11.send(h11.EndOfMessage())
    incoming = ResponseReader(wire, wheel)
    reader.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert isinstance(await incoming.next(), h11.Response)
    for part in parts:
        reader.feed_data(part)
        await wire.fill()
        event = wire.poll()
        if isinstance(event, h11.Data):
            incoming._take(event)
    return incoming


@pytest.mark.parametrize(
    ("parts", "between"),
    [
        ([b"3\r\nab\n\r\n"], True),
        ([b"3\r\nab\n"], False),  # the line's end of the chunk is still to come
        ([b"3\r\nab\n\r"], False),
        ([b"3\r\nab\n", b"\r\n"], True),
        ([b"3\r\nab\n\r\n5"], False),
        ([b"3\r\nab\n\r\n5\r\nx"], False),
        ([b"4\r\na\n\r\n"], False),  # ends as a chunk does, but is none yet
        ([b"4\r\na\n\r\n\r\n"], False),  # whole, but it can't be told from the one above
        ([b"3\r\nab\n\r\n0\r\n\r\n"], False),
    ],
)
def test_a_stream_goes_over_between_whole_chunks_only(parts: list[bytes], between: bool) -> None:
    assert asyncio.run(fed(*parts)).between is between


def test_two_h11_machines_are_brought_within_a_body() -> None:
    wire, client = HttpConnection(h11.CLIENT, None, None), HttpConnection(h11.SERVER, None, None)
    stream_migration.replay(wire, client, keeps=True)
    wire.h11.receive_data(b"2\r\nhi\r\n0\r\n\r\n")
    event = wire.poll()
    assert isinstance(event, h11.Data) and event.data == b"hi"
    assert client.h11.send(h11.Data(data=b"hi")) == b"2\r\nhi\r\n"
    assert client.h11.send(h11.EndOfMessage()) == b"0\r\n\r\n"
    client.h11.start_next_cycle()
    stream_migration.replay(
        HttpConnection(h11.CLIENT, None, None),
        last := HttpConnection(h11.SERVER, None, None),
        keeps=False,
    )
    last.h11.send(h11.EndOfMessage())
    assert last.h11.our_state is h11.MUST_CLOSE


def test_the_module_counts_what_a_stream_that_it_took_over_holds() -> None:
    d = Drive(fleet(2, 2))
    d.give(contract.StreamAdopted(77, "w0", 100_000))
    assert d.router.servers["w0"].streams[77][1] == 100_000
    d.serve(1)
    assert d.sent[1][1] == "w1"
    d.give(contract.AttemptOutcome(77, 1, "w0", AttemptStatus.COMPLETED, 1, True))
    assert not d.router.servers["w0"].streams


RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER


def pair() -> tuple[socket.socket, socket.socket]:
    """Both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        one = socket.create_connection(listener.getsockname())
        return one, listener.accept()[0]


def test_a_stream_whose_replica_broke_during_the_hand_over_is_cut_and_not_left_open(
    tmp_path: Path,
) -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)], folder=tmp_path) as w:
            path = w.dispatcher.process_registry.migration_socket()
            assert path is not None
            await until(path.exists)
            client, ours = pair()
            wire, replica = pair()
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
                sock.setblocking(False)
                with stream_migration.short_socket_path(path) as short:
                    sock.connect(short)
                told = {**OFFER, "version": stream_migration.VERSION}
                socket.send_fds(sock, [json.dumps(told).encode()], [ours.fileno(), wire.fileno()])
                loop = asyncio.get_running_loop()
                assert await loop.sock_recv(sock, 1) == stream_migration.WILLING
                replica.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                replica.close()
                sock.send(stream_migration.GO)
                ours.close()
                wire.close()
                client.setblocking(False)
                with contextlib.suppress(ConnectionResetError):  # or reset: it must not look whole
                    assert await asyncio.wait_for(loop.sock_recv(client, 100), 10) == b""
            await until(
                lambda: (
                    not w.dispatcher.core.registry.by_number and not w.dispatcher.front.connections
                )
            )
            client.close()

    run(go)
