"""A stream is handed over in the moment in which its replica's connection breaks."""

import asyncio
import contextlib
import json
import socket
import struct
from pathlib import Path

from test_operators import OFFER
from world import READ, STREAM, Replica, run, until, world

from onyxpass.net import succession

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER


def pair() -> tuple[socket.socket, socket.socket]:
    """Both ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        one = socket.create_connection(listener.getsockname())
        return one, listener.accept()[0]


def test_a_stream_whose_replica_broke_during_the_hand_over_is_cut_and_not_left_open(tmp_path: Path) -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)], folder=tmp_path) as w:
            path = w.dispatcher.handover.heir()
            assert path is not None
            await until(path.exists)
            client, ours = pair()
            wire, replica = pair()
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
                sock.setblocking(False)
                with succession.short(path) as short:
                    sock.connect(short)
                told = {**OFFER, "version": succession.VERSION}
                socket.send_fds(sock, [json.dumps(told).encode()], [ours.fileno(), wire.fileno()])
                loop = asyncio.get_running_loop()
                assert await loop.sock_recv(sock, 1) == succession.WILLING
                replica.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                replica.close()
                sock.send(succession.GO)
                ours.close()
                wire.close()
                client.setblocking(False)
                with contextlib.suppress(ConnectionResetError):  # or reset: it must not look whole
                    assert await asyncio.wait_for(loop.sock_recv(client, 100), 10) == b""
            await until(lambda: not w.dispatcher.core.requests and not w.dispatcher.front.open)
            client.close()

    run(go)
