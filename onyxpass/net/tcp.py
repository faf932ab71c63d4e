"""What this kernel knows of bytes on their way over TCP."""

import fcntl
import socket
import struct

# bytes that the other side has not acknowledged, those not yet sent among them (tcp(7))
SIOCOUTQ = 0x5411
TCP_INFO_SIZE = 56  # of struct tcp_info, up to the last field that is read here
RTO_OFFSET, LAST_DATA_OFFSET = 8, 52  # its fields tcpi_rto and tcpi_last_data_recv


def tcp_info(sock: socket.socket) -> bytes | None:
    """What the kernel tells of the connection; None where it tells nothing.

    A kernel that keeps no retransmission time for the connection knows nothing of its other times
    either.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    known = len(info) == TCP_INFO_SIZE and struct.unpack_from("=I", info, RTO_OFFSET)[0]
    return info if known else None


def ms_since_last_data(sock: socket.socket) -> int | None:
    """How long ago the last data came, or the connection, if none has; None where this can't be
    told.
    """
    info = tcp_info(sock)
    return int(struct.unpack_from("=I", info, LAST_DATA_OFFSET)[0]) if info is not None else None


def acknowledged(sock: socket.socket) -> bool | None:
    """Whether the other side has acknowledged every byte; None where this can't be told."""
    if tcp_info(sock) is None:
        return None
    try:
        queued = fcntl.ioctl(sock.fileno(), SIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return None
    return bool(struct.unpack("=i", queued)[0] == 0)
