"""Listening sockets never lose a connection, nor the event loop's watch of another socket."""

import asyncio
import socket

from onyxpass.net.listen import Listener


def test_a_cancelled_accept_loses_no_connection_and_a_shared_socket_stays_open() -> None:
    async def scenario() -> None:
        listener = Listener.at("127.0.0.1", 0, 8)
        shared = Listener(socket.socket(fileno=listener.sock.dup().detach()))
        accepting = asyncio.create_task(listener.accept())
        await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        await asyncio.sleep(0)  # the event loop has seen the connection, the task has not
        accepting.cancel()
        await asyncio.gather(accepting, return_exceptions=True)
        listener.close()
        taken = await shared.accept() if accepting.cancelled() else accepting.result()
        taken.sendall(b"hello")
        assert await reader.readexactly(5) == b"hello"
        taken.close()
        writer.close()
        shared.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))


def test_closing_a_listener_keeps_the_watch_of_a_socket_that_reuses_its_descriptor() -> None:
    async def scenario() -> None:
        listener = Listener.at("127.0.0.1", 0, 8)
        descriptor = listener.sock.fileno()
        accepting = asyncio.create_task(listener.accept())
        await asyncio.sleep(0)
        accepting.cancel()
        listener.close()
        one, two = socket.socketpair()
        reused = socket.socket(fileno=one.detach()) if one.fileno() == descriptor else one
        reused.setblocking(False)
        assert reused.fileno() == descriptor, "the lowest free descriptor is reused"
        received = asyncio.create_task(asyncio.get_running_loop().sock_recv(reused, 1))
        await asyncio.gather(accepting, return_exceptions=True)
        two.send(b"x")
        assert await received == b"x"
        reused.close()
        two.close()

    asyncio.run(asyncio.wait_for(scenario(), 10))
