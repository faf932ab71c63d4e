"""Unix sockets, however deep the folder lies."""

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

PATH_MOST = 100  # bytes of a socket's path that every system takes


@contextmanager
def short_socket_path(path: Path) -> Iterator[str]:
    """The path of a socket, in a form that is short enough however deep the folder lies."""
    if len(os.fsencode(path)) <= PATH_MOST:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def listen_unix(path: Path, backlog: int) -> socket.socket:
    """A listening stream socket that only this user may open; what a dead process left there is
    replaced.
    """
    path.unlink(missing_ok=True)
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        with short_socket_path(path) as name:
            sock.bind(name)
        path.chmod(0o600)
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock
