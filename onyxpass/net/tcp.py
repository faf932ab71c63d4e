"""The kernel's state of TCP connections: time since the last data, and acknowledgements."""

import fcntl
import socket
import struct

# ioctl for the bytes not yet acknowledged, including those not yet sent (tcp(7))
SIOCOUTQ = 0x5411
TCP_INFO_SIZE = 56  # size of struct tcp_info up to the last field read here
RTO_OFFSET, LAST_DATA_OFFSET = 8, 52  # offsets of tcpi_rto and tcpi_last_data_recv


def tcp_info(sock: socket.socket) -> bytes | None:
    """Return struct tcp_info of a connection; None if the kernel does not provide it.

    A kernel that reports no retransmission timeout does not report the other times either.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    known = len(info) == TCP_INFO_SIZE and struct.unpack_from("=I", info, RTO_OFFSET)[0]
    return info if known else None


def ms_since_last_data(sock: socket.socket) -> int | None:
    """Return the milliseconds since the last data arrived, or since the connection if none has.

    None if unknown.
    """
    info = tcp_info(sock)
    return int(struct.unpack_from("=I", info, LAST_DATA_OFFSET)[0]) if info is not None else None


def acknowledged(sock: socket.socket) -> bool | None:
    """Return whether the peer has acknowledged every byte; None if unknown."""
    if tcp_info(sock) is None:
        return None
    try:
        queued = fcntl.ioctl(sock.fileno(), SIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return None
    return bool(struct.unpack("=i", queued)[0] == 0)
