"""A listening socket whose connections are never taken and then lost."""

import asyncio
import errno
import select
import socket
import time
from collections import deque

import structlog

from onyxpass.core.event_loop import unseen_since_ns

# Errors of ``accept`` that belong to the one connection that it was about to give: it is gone, and
# the next
# one is there to be taken (accept(2)). All others say that nothing can be taken at present.
SINGLE_CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ETIMEDOUT,
    )
)
MIN_BACKOFF_US = (
    5_000  # till the next try to accept while that fails; each backoff is twice the last
)
MAX_BACKOFF_US = 200_000
MAX_LOST_CONNECTIONS = 64  # connections lost in a row, till the failure counts as one that lasts


log = structlog.get_logger("listen")


class Backoff:
    """Between tries at what fails for want of something here: short at first, as most lacks are."""

    def __init__(self) -> None:
        self._next_us = MIN_BACKOFF_US

    def next_us(self) -> int:
        now_us, self._next_us = self._next_us, min(MAX_BACKOFF_US, 2 * self._next_us)
        return now_us

    def reset(self) -> None:
        self._next_us = MIN_BACKOFF_US


class Listener:
    """``accept`` may be cancelled at any moment, and the socket may be shared with another
    process.
    """

    def __init__(self, sock: socket.socket, backlog: int = socket.SOMAXCONN) -> None:
        """``backlog``: how many connections the kernel keeps waiting at most."""
        self.sock = sock
        self._queue_empty_ns = time.monotonic_ns()  # when the queue was last known to be empty
        self._accepted_ns = deque[int](maxlen=backlog + 2)  # when the latest ones were taken
        self._queue_drained = True  # whether all that was there has been taken
        self.watched_descriptor = -1  # the descriptor that the loop watches for it at present
        sock.setblocking(False)

    @classmethod
    def at(cls, host: str, port: int, backlog: int) -> "Listener":
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return cls(socket.create_server((host, port), family=family, backlog=backlog), backlog)

    @property
    def port(self) -> int:
        return int(self.sock.getsockname()[1])

    async def accept(self) -> socket.socket:
        """Guards against a connection that is taken while the task is cancelled: it would be
        reset unread.

        So nothing is taken but by this very step. Where another process was quicker, it waits on.
        What keeps it from accepting is waited out, too: a server that ends for a lack of
        descriptors serves nobody.
        """
        backoff = Backoff()
        while True:
            try:
                taken = self.accept_nowait()
            except OSError as error:
                log.warning("accept_failed", why=str(error))
                await asyncio.sleep(backoff.next_us() / 1e6)
                continue
            if taken is not None:
                return taken
            await self.wait_readable()

    def accept_nowait(self) -> socket.socket | None:
        """The connection that has waited for longest, if there is one.

        OSError where none can be taken at present, though some may wait; later it may go again.
        """
        for _ in range(MAX_LOST_CONNECTIONS):
            try:
                sock = self.sock.accept()[0]
            except (BlockingIOError, InterruptedError):
                self._queue_empty_ns, self._queue_drained = time.monotonic_ns(), True
                return None
            except OSError as error:
                if error.errno not in SINGLE_CONNECTION_ERRNOS:
                    raise
                lost = error
            else:
                self._accepted_ns.append(time.monotonic_ns())
                return sock
        raise lost

    @property
    def queued_since_ns(self) -> int:
        """A lower bound of when the connection that was taken last can have come into the queue.

        It came after the queue was last empty; and after that one was taken which would have filled
        the queue together with all that have been taken since.
        """
        full = len(self._accepted_ns) == self._accepted_ns.maxlen
        return max(self._queue_empty_ns, self._accepted_ns[0]) if full else self._queue_empty_ns

    @property
    def has_pending(self) -> bool:
        """Whether the kernel holds a connection to be taken."""
        asked = select.poll()
        asked.register(self.sock, select.POLLIN)
        return bool(asked.poll(0))

    async def wait_readable(self) -> None:
        """Returns once a connection waits to be taken; another process may take it first."""
        ready = asyncio.Event()
        self.watched_descriptor = self.sock.fileno()
        asyncio.get_running_loop().add_reader(self.watched_descriptor, self._on_readable, ready)
        try:
            await ready.wait()
        finally:
            self._unwatch()

    def _on_readable(self, ready: asyncio.Event) -> None:
        if self._queue_drained:  # till the look at the sockets before this one, nobody had come
            self._queue_empty_ns, self._queue_drained = (
                max(self._queue_empty_ns, unseen_since_ns()),
                False,
            )
        ready.set()

    def _unwatch(self) -> None:
        """Guards against a later socket left unwatched: once this one is closed, its number is
        another's.
        """
        if self.watched_descriptor >= 0:
            asyncio.get_running_loop().remove_reader(self.watched_descriptor)
            self.watched_descriptor = -1

    @property
    def closed(self) -> bool:
        return self.sock.fileno() < 0

    def close(self) -> None:
        """This process's hold on it only: never ``shutdown``, which would end it for the other
        one too.
        """
        self._unwatch()
        self.sock.close()
