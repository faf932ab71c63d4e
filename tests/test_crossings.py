"""Where two events cross, forced over loopback sockets: one test for each line of
docs/CROSSINGS.md.
"""

import socket

import h11
from world import READ, STREAM, Replica, ask, run, world

from onyxpass.net.http import HttpConnection
from onyxpass.net.listen import Listener


def held_back(wire: HttpConnection) -> bool:
    """Whether the system may keep small writes till earlier ones are acknowledged."""
    return not wire.writer.get_extra_info("socket").getsockopt(
        socket.IPPROTO_TCP, socket.TCP_NODELAY
    )


# Streams


def test_no_write_is_held_back_by_the_system_on_either_side() -> None:
    async def go() -> None:
        async with world([Replica(READ)], [Replica(STREAM)]) as w:
            reader, writer = await w.send(ask("a1"))
            await reader.readuntil(b"\r\n0\r\n\r\n")
            clients = [peer.wire for peer in w.dispatcher.front.connections.values()]
            kept = [
                idle.wire for actor in w.dispatcher.replicas.actors.values() for idle in actor.idle
            ]
            assert len(clients) == 1 and len(kept) == 2
            assert not [wire for wire in (*clients, *kept) if wire is None or held_back(wire)]
            writer.close()
        with socket.create_server(("127.0.0.1", 0)) as bound:
            # as a socket that is inherited arrives
            passed = Listener(socket.socket(fileno=bound.detach()))
            with socket.create_connection(("127.0.0.1", passed.port)):
                adopted = await HttpConnection.over(await passed.accept(), h11.SERVER)
                assert not held_back(adopted)
                adopted.abort()
            passed.close()

    run(go)
