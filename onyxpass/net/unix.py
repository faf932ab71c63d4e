"""Unix sockets with paths of any length."""

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

MAX_PATH_BYTES = 100  # length of a socket path that every system accepts, in bytes


@contextmanager
def short_socket_path(path: Path) -> Iterator[str]:
    """Yield a path to the socket that is short enough for bind and connect.

    A long path is replaced by one through a descriptor of its folder, valid within the block.
    """
    if len(os.fsencode(path)) <= MAX_PATH_BYTES:
        yield str(path)
        return
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


def listen_unix(path: Path, backlog: int) -> socket.socket:
    """Return a listening stream socket with access for this user only.

    An existing file at the path is replaced.
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
