"""A listening socket whose connections are never taken and then lost."""

import asyncio
import socket

from onyxpass.net.listen import Listener


def test_a_cancelled_accept_takes_no_connection_and_the_passed_socket_is_never_shut_down() -> None:
    async def go() -> None:
        listener = Listener.at("127.0.0.1", 0, 8)
        shared = Listener(socket.socket(fileno=listener.sock.dup().detach()))
        taking = asyncio.create_task(listener.accept())
        await asyncio.sleep(0)
        reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
        await asyncio.sleep(0)  # the loop has seen the connection, the task has not
        taking.cancel()
        await asyncio.gather(taking, return_exceptions=True)
        listener.close()
        taken = await shared.accept() if taking.cancelled() else taking.result()
        taken.sendall(b"hello")
        assert await reader.readexactly(5) == b"hello"
        taken.close()
        writer.close()
        shared.close()

    asyncio.run(asyncio.wait_for(go(), 10))


def test_a_listener_that_closes_leaves_alone_the_socket_that_gets_its_number() -> None:
    async def go() -> None:
        listener = Listener.at("127.0.0.1", 0, 8)
        number = listener.sock.fileno()
        taking = asyncio.create_task(listener.accept())
        await asyncio.sleep(0)
        taking.cancel()
        listener.close()
        one, two = socket.socketpair()
        reused = socket.socket(fileno=one.detach()) if one.fileno() == number else one
        reused.setblocking(False)
        assert reused.fileno() == number, "the lowest free number is given out again"
        heard = asyncio.create_task(asyncio.get_running_loop().sock_recv(reused, 1))
        await asyncio.gather(taking, return_exceptions=True)
        two.send(b"x")
        assert await heard == b"x"
        reused.close()
        two.close()

    asyncio.run(asyncio.wait_for(go(), 10))
