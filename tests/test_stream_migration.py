"""Migration of streams to the next process of an upgrade: offers, acceptance and failures."""

import asyncio
import contextlib
import json
import socket
import struct
from pathlib import Path

import h11
import pytest
from cluster import PREFILLED, STREAM, Replica, hold_last_chunk, run_async, running_cluster
from helpers import RouterDriver, make_endpoints
from standins import until

from onyxpass.core.timer_wheel import TimerWheel
from onyxpass.net import stream_migration
from onyxpass.net.framing_limits import MAX_LINES
from onyxpass.net.http import HttpConnection
from onyxpass.net.response_reader import ResponseReader
from onyxpass.scheduling import contract
from onyxpass.scheduling.contract import AttemptStatus
from tests.support.dispatcher_bed import ManualClock

OFFER = {
    "version": 1, "id": "a1", "cls": "light", "session": "s", "deadline_us": 1, "prompt_tokens": 1,
    "max_tokens": 1, "arrived_us": 1, "n": 1, "server": "w0", "sent_us": 1, "first_us": 1, "parts": 1,
    "gap_us": 1, "rest": "", "keeps": True,
}  # fmt: skip


async def send_offer(path: Path, message: bytes, *sockets: socket.socket) -> bytes:
    """Return the new process's reply to an offer that is never confirmed."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.setblocking(False)
        with stream_migration.short_socket_path(path) as short:
            sock.connect(short)
        socket.send_fds(sock, [message], [s.fileno() for s in sockets])
        return await asyncio.get_running_loop().sock_recv(sock, 1)


def test_only_valid_offers_are_accepted_and_a_withdrawn_offer_changes_nothing(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], folder=tmp_path) as w:
            path = w.dispatcher.process_registry.migration_socket()
            assert path is not None
            await until(path.exists)
            one, two = socket.socketpair()
            for bad in (
                b"", b"{", b"[]", b"\xff", b"[" * 5000, json.dumps({**OFFER, "version": 3}).encode(),
                json.dumps({**OFFER, "n": "1"}).encode(), json.dumps({**OFFER, "rest": "\u20ac"}).encode(),
                json.dumps({k: v for k, v in OFFER.items() if k != "server"}).encode(),
            ):  # fmt: skip
                assert await send_offer(path, bad, one, two) == b"", bad
            good = json.dumps(OFFER).encode()
            assert await send_offer(path, good, one) == b"", "a connection is missing"
            for version in (stream_migration.LOCAL_CLOCK_VERSION, stream_migration.VERSION):
                good = json.dumps({**OFFER, "version": version}).encode()
                assert await send_offer(path, good, one, two) == stream_migration.ACCEPTED, (
                    "the previous version is accepted too"
                )
            assert w.dispatcher.stream_receiver is not None
            await until(lambda: not w.dispatcher.stream_receiver.tasks)
            assert not w.dispatcher.core.registry.by_number and not w.dispatcher.front.connections
            one.send(b"x")
            assert two.recv(1) == b"x", "connections that were only offered are unchanged"
            one.close()
            two.close()

    run_async(scenario)


@pytest.mark.parametrize("answer", [b"", b"0"])
def test_a_stream_whose_offer_is_rejected_is_still_served(tmp_path: Path, answer: bytes) -> None:
    async def scenario() -> None:
        hold, asked = asyncio.Event(), asyncio.Event()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        with stream_migration.short_socket_path(tmp_path / "x.heir") as short:
            listener.bind(short)
        listener.listen()
        listener.setblocking(False)

        async def reject_offers() -> None:
            loop = asyncio.get_running_loop()
            while True:
                sock, _ = await loop.sock_accept(listener)
                with sock:
                    await loop.sock_recv(sock, 70_000)
                    asked.set()
                    if answer:
                        await loop.sock_sendall(sock, answer)

        async with running_cluster([Replica(PREFILLED)], [Replica(hold_last_chunk(hold))]) as w:
            rejecting = asyncio.create_task(reject_offers())
            sender = stream_migration.StreamSender(tmp_path / "x.heir", w.dispatcher.core)
            served = asyncio.create_task(w.request("a1"))
            await until(
                lambda: any(actor.streams for actor in w.dispatcher.replicas.actors.values())
            )
            # the stream is waiting for its next event
            w.dispatcher.replicas.migrate_streams(sender)
            await asked.wait()
            hold.set()
            assert (await served).endswith(b"0\r\n\r\n")
            assert w.dispatcher.core.metrics.downstream["light"].completed == 1
            rejecting.cancel()
            listener.close()

    run_async(scenario)


async def reader_after(*parts: bytes) -> ResponseReader:
    """Return a reader of a chunked response that has received ``parts``.

    All complete chunks have been taken out.
    """
    wheel = TimerWheel(ManualClock())
    reader = asyncio.StreamReader()
    wire = HttpConnection(h11.CLIENT, reader, None)
    wire.h11.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    wire.h11.send(h11.EndOfMessage())
    incoming = ResponseReader(wire, wheel)
    reader.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    assert isinstance(await incoming.next(), h11.Response)
    for part in parts:
        reader.feed_data(part)
        await wire.read_more()
        event = wire.poll()
        if isinstance(event, h11.Data):
            incoming._add_data(event)
    return incoming


@pytest.mark.parametrize(
    ("parts", "between"),
    [
        ([b"3\r\nab\n\r\n"], True),
        ([b"3\r\nab\n"], False),  # the line end after the chunk is missing
        ([b"3\r\nab\n\r"], False),
        ([b"3\r\nab\n", b"\r\n"], True),
        ([b"3\r\nab\n\r\n5"], False),
        ([b"3\r\nab\n\r\n5\r\nx"], False),
        ([b"4\r\na\n\r\n"], False),  # the data ends like a chunk, but is incomplete
        ([b"4\r\na\n\r\n\r\n"], True),  # complete, unlike the one above
        ([b"3\r\nab\n\r\n0\r\n\r\n"], False),
        ([b"3\r\nab\n\r\n", b"5\r\n"], False),  # a size line, which h11 has taken
    ],
)
def test_a_stream_migrates_only_between_complete_chunks(parts: list[bytes], between: bool) -> None:
    assert asyncio.run(reader_after(*parts)).at_chunk_boundary is between


def test_two_h11_state_machines_are_restored_within_a_body() -> None:
    wire, client = HttpConnection(h11.CLIENT, None, None), HttpConnection(h11.SERVER, None, None)
    stream_migration.restore_http_state(wire, client, keep_alive=True)
    wire.h11.receive_data(b"2\r\nhi\r\n0\r\n\r\n")
    event = wire.poll()
    assert isinstance(event, h11.Data) and event.data == b"hi"
    assert client.h11.send(h11.Data(data=b"hi")) == b"2\r\nhi\r\n"
    assert client.h11.send(h11.EndOfMessage()) == b"0\r\n\r\n"
    client.h11.start_next_cycle()
    stream_migration.restore_http_state(
        HttpConnection(h11.CLIENT, None, None),
        last := HttpConnection(h11.SERVER, None, None),
        keep_alive=False,
    )
    last.h11.send(h11.EndOfMessage())
    assert last.h11.our_state is h11.MUST_CLOSE


def test_an_adopted_stream_may_have_an_event_of_any_number_of_lines() -> None:
    """Guards against a stream whose lines count as those of a head, since its head came elsewhere."""
    content = b"data: 1\n" * 2 * MAX_LINES

    async def scenario() -> None:
        wires = [HttpConnection(role, None, None) for role in (h11.CLIENT, h11.SERVER)]
        stream_migration.restore_http_state(*wires, True)
        wires[0].receive(b"%x\r\n%b\r\n" % (len(content), content))
        event = wires[0].poll()
        assert isinstance(event, h11.Data) and event.data == content

    asyncio.run(scenario())


def test_the_router_counts_the_tokens_of_an_adopted_stream() -> None:
    d = RouterDriver(make_endpoints(2, 2))
    d.deliver(contract.StreamAdopted(77, "w0", 100_000))
    assert d.router.servers["w0"].streams[77][1] == 100_000
    d.complete_request(1)
    assert d.sent[1][1] == "w1"
    d.deliver(contract.AttemptOutcome(77, 1, "w0", AttemptStatus.COMPLETED, 1, True))
    assert not d.router.servers["w0"].streams


RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER: reset on close


def pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        one = socket.create_connection(listener.getsockname())
        return one, listener.accept()[0]


def test_a_stream_whose_replica_broke_during_the_migration_is_aborted(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], folder=tmp_path) as w:
            path = w.dispatcher.process_registry.migration_socket()
            assert path is not None
            await until(path.exists)
            client, ours = pair()
            wire, replica = pair()
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
                sock.setblocking(False)
                with stream_migration.short_socket_path(path) as short:
                    sock.connect(short)
                offer = {**OFFER, "version": stream_migration.VERSION}
                socket.send_fds(sock, [json.dumps(offer).encode()], [ours.fileno(), wire.fileno()])
                loop = asyncio.get_running_loop()
                assert await loop.sock_recv(sock, 1) == stream_migration.ACCEPTED
                replica.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                replica.close()
                sock.send(stream_migration.CONFIRMED)
                ours.close()
                wire.close()
                client.setblocking(False)
                # a reset is fine too; the stream must not look complete
                with contextlib.suppress(ConnectionResetError):
                    assert await asyncio.wait_for(loop.sock_recv(client, 100), 10) == b""
            await until(
                lambda: (
                    not w.dispatcher.core.registry.by_number and not w.dispatcher.front.connections
                )
            )
            client.close()

    run_async(scenario)


async def migrate(path: Path, offer: dict[str, object], *sockets: socket.socket) -> None:
    """Offer a stream to the process behind ``path``, and confirm it."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.setblocking(False)
        with stream_migration.short_socket_path(path) as short:
            sock.connect(short)
        socket.send_fds(sock, [json.dumps(offer).encode()], [s.fileno() for s in sockets])
        accepted = await asyncio.get_running_loop().sock_recv(sock, 1)
        assert accepted == stream_migration.ACCEPTED
        sock.send(stream_migration.CONFIRMED)


@pytest.mark.parametrize(
    ("fields", "rest", "complete"),
    [
        ({"last_event": False}, b"", False),
        ({"last_event": False}, b"e\r\ndata: [DONE]\n\n\r\n", True),
        ({"last_event": True}, b"", True),
        ({}, b"", True),  # an older build does not tell
    ],
)
def test_an_adopted_stream_is_complete_only_with_its_last_event(
    tmp_path: Path, fields: dict[str, object], rest: bytes, complete: bool
) -> None:
    """Guards against streams that are cut short while they migrate, and told as complete."""

    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)], folder=tmp_path) as w:
            path = w.dispatcher.process_registry.migration_socket()
            assert path is not None
            await until(path.exists)
            (client, ours), (wire, replica) = pair(), pair()
            await migrate(
                path, {**OFFER, "version": stream_migration.VERSION, **fields}, ours, wire
            )
            ours.close()
            wire.close()
            replica.send(rest + b"0\r\n\r\n")
            client.settimeout(10)
            received = b""
            with contextlib.suppress(ConnectionResetError):
                while not received.endswith(b"0\r\n\r\n") and (
                    part := await asyncio.to_thread(client.recv, 4096)
                ):
                    received += part
            assert received.endswith(b"0\r\n\r\n") == complete
            client.close()
            replica.close()

    run_async(scenario)
