"""The clients' listening socket, inherited from the parent process."""

import socket

import structlog

log = structlog.get_logger("hot_restart")


def inherited_listener(descriptor: int | None) -> socket.socket | None:
    """Return the listening socket behind ``descriptor``; None if there is none.

    A descriptor that is not a listening socket is left open, because this process does not own it.
    The returned socket is closed on exec.
    """
    if descriptor is None:
        return None
    try:
        sock = socket.socket(fileno=descriptor)
    except OSError as error:
        log.warning("inherited_socket_unusable", descriptor=descriptor, error=str(error))
        return None
    try:
        _require_listening(sock)
        sock.set_inheritable(False)
    except OSError as error:
        sock.detach()  # not owned by this process, so it stays open
        log.warning("inherited_socket_unusable", descriptor=descriptor, error=str(error))
        return None
    return sock


def _require_listening(sock: socket.socket) -> None:
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise OSError("not a listening socket")
