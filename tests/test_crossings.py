"""Race conditions between two events, forced over loopback sockets.

Each line of docs/CROSSINGS.md has a test here or in ``test_crossings_*``.
"""

import socket

import h11
from cluster import PREFILLED, STREAM, Replica, chat_request, run_async, running_cluster

from onyxpass.net.http import HttpConnection
from onyxpass.net.listen import Listener


def delays_small_writes(wire: HttpConnection) -> bool:
    """Return whether the kernel may delay small writes until earlier ones are acknowledged."""
    return not wire.writer.get_extra_info("socket").getsockopt(
        socket.IPPROTO_TCP, socket.TCP_NODELAY
    )


# Streams


def test_small_writes_are_not_delayed_by_the_kernel_on_either_side() -> None:
    async def scenario() -> None:
        async with running_cluster([Replica(PREFILLED)], [Replica(STREAM)]) as w:
            reader, writer = await w.send(chat_request("a1"))
            await reader.readuntil(b"\r\n0\r\n\r\n")
            clients = [peer.wire for peer in w.dispatcher.front.connections.values()]
            kept = [
                idle.wire for actor in w.dispatcher.replicas.actors.values() for idle in actor.idle
            ]
            assert len(clients) == 1 and len(kept) == 2
            assert not [
                wire for wire in (*clients, *kept) if wire is None or delays_small_writes(wire)
            ]
            writer.close()
        with socket.create_server(("127.0.0.1", 0)) as bound:
            # as an inherited socket arrives
            inherited = Listener(socket.socket(fileno=bound.detach()))
            with socket.create_connection(("127.0.0.1", inherited.port)):
                adopted = await HttpConnection.from_socket(await inherited.accept(), h11.SERVER)
                assert not delays_small_writes(adopted)
                adopted.abort()
            inherited.close()

    run_async(scenario)
