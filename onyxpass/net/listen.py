"""A listening socket whose connections are never accepted and then lost."""

import asyncio
import errno
import select
import socket
import time
from collections import deque

import structlog

from onyxpass.core.event_loop import unseen_since_ns

# Errors of ``accept`` that concern only the connection it was about to return: that one is gone,
# and the next one can be accepted (accept(2)). With all other errors nothing can be accepted at
# present.
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
MIN_BACKOFF_US = 5_000  # before the first retry of a failed accept; doubles with each retry
MAX_BACKOFF_US = 200_000
MAX_LOST_CONNECTIONS = 64  # connections lost in a row until the failure counts as persistent


log = structlog.get_logger("listen")


class Backoff:
    """Exponential backoff between retries.

    It is short at first, because most resource shortages are short.
    """

    def __init__(self) -> None:
        self._next_us = MIN_BACKOFF_US

    def next_us(self) -> int:
        delay_us, self._next_us = self._next_us, min(MAX_BACKOFF_US, 2 * self._next_us)
        return delay_us

    def reset(self) -> None:
        self._next_us = MIN_BACKOFF_US


class Listener:
    """A listening socket, which another process may share.

    ``accept`` may be cancelled at any time.
    """

    def __init__(self, sock: socket.socket, backlog: int = socket.SOMAXCONN) -> None:
        """``backlog`` is the length of the kernel's accept queue."""
        self.sock = sock
        # time at which the accept queue was last known to be empty
        self._queue_empty_ns = time.monotonic_ns()
        self._accepted_ns = deque[int](maxlen=backlog + 2)  # times of the latest accepts
        self._queue_drained = True  # whether the last accept found the queue empty
        self.watched_descriptor = -1  # descriptor that the event loop watches; -1: none
        sock.setblocking(False)

    @classmethod
    def at(cls, host: str, port: int, backlog: int) -> "Listener":
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        return cls(socket.create_server((host, port), family=family, backlog=backlog), backlog)

    @property
    def port(self) -> int:
        return int(self.sock.getsockname()[1])

    async def accept(self) -> socket.socket:
        """Return the next connection.

        The accept itself is one synchronous step, so that a cancelled task never loses an accepted
        connection, which would be reset unread. If another process was faster, or accept fails, it
        keeps trying: a server that ends for lack of descriptors serves nobody.
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
        """Return the connection queued longest; None if there is none.

        Raises OSError if nothing can be accepted at present although connections may be queued; a
        later call may succeed.
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
        """Lower bound of when the connection accepted last entered the queue.

        It entered after the queue was last empty. It also entered after the accept of an earlier
        connection that, with all those accepted since, would have filled the queue.
        """
        full = len(self._accepted_ns) == self._accepted_ns.maxlen
        return max(self._queue_empty_ns, self._accepted_ns[0]) if full else self._queue_empty_ns

    @property
    def has_pending(self) -> bool:
        """Whether a connection is queued."""
        poller = select.poll()
        poller.register(self.sock, select.POLLIN)
        return bool(poller.poll(0))

    async def wait_readable(self) -> None:
        """Wait until a connection is queued; another process may accept it first."""
        ready = asyncio.Event()
        self.watched_descriptor = self.sock.fileno()
        asyncio.get_running_loop().add_reader(self.watched_descriptor, self._on_readable, ready)
        try:
            await ready.wait()
        finally:
            self._unwatch()

    def _on_readable(self, ready: asyncio.Event) -> None:
        if self._queue_drained:  # the queue was empty at the poll before this one
            self._queue_empty_ns, self._queue_drained = (
                max(self._queue_empty_ns, unseen_since_ns()),
                False,
            )
        ready.set()

    def _unwatch(self) -> None:
        """Stop watching the socket.

        Once the socket is closed, its descriptor may be reused by another socket, which must stay
        watched.
        """
        if self.watched_descriptor >= 0:
            asyncio.get_running_loop().remove_reader(self.watched_descriptor)
            self.watched_descriptor = -1

    @property
    def closed(self) -> bool:
        return self.sock.fileno() < 0

    def close(self) -> None:
        """Close this process's descriptor.

        ``shutdown`` would end the socket for every process that shares it.
        """
        self._unwatch()
        self.sock.close()
