"""A listening socket whose connections are never taken and then lost."""

import asyncio
import socket


class Listener:
    """``accept`` may be cancelled at any moment, and the socket may be shared with another process."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.waiting = -1  # the descriptor that the loop watches for it at present
        sock.setblocking(False)

    @classmethod
    def at(cls, host: str, port: int, backlog: int) -> "Listener":
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return cls(socket.create_server((host, port), family=family, backlog=backlog))

    @property
    def port(self) -> int:
        return int(self.sock.getsockname()[1])

    async def accept(self) -> socket.socket:
        """Guards against a connection that is taken while the task is cancelled: it would be reset unread.

        So nothing is taken but by this very step. Where another process was quicker, it waits on.
        """
        while (taken := self.take()) is None:
            await self.newcomer()
        return taken

    def take(self) -> socket.socket | None:
        """The connection that has waited for longest, if there is one."""
        try:
            return self.sock.accept()[0]
        except (BlockingIOError, InterruptedError):
            return None

    async def newcomer(self) -> None:
        """Returns once a connection waits to be taken; another process may take it first."""
        ready = asyncio.Event()
        self.waiting = self.sock.fileno()
        asyncio.get_running_loop().add_reader(self.waiting, ready.set)
        try:
            await ready.wait()
        finally:
            self._unwatch()

    def _unwatch(self) -> None:
        """Guards against a later socket left unwatched: once this one is closed, its number is another's."""
        if self.waiting >= 0:
            asyncio.get_running_loop().remove_reader(self.waiting)
            self.waiting = -1

    @property
    def closed(self) -> bool:
        return self.sock.fileno() < 0

    def close(self) -> None:
        """This process's hold on it only: never ``shutdown``, which would end it for the other one too."""
        self._unwatch()
        self.sock.close()
