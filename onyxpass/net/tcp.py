"""What this kernel knows of bytes on their way over TCP."""

import fcntl
import socket
import struct

SIOCOUTQ = 0x5411  # bytes that the other side has not acknowledged, those not yet sent among them (tcp(7))
TCP_INFO_SIZE, RETRANSMIT_TIMEOUT_AT = 12, 8  # of struct tcp_info, whose first four-byte field is tcpi_rto


def acknowledged(sock: socket.socket) -> bool | None:
    """Whether the other side has acknowledged every byte; None where this can't be told.

    A kernel that keeps no retransmission time for the connection knows nothing of acknowledgements either.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        queued = fcntl.ioctl(sock.fileno(), SIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return None
    if len(info) < TCP_INFO_SIZE or not struct.unpack_from("=I", info, RETRANSMIT_TIMEOUT_AT)[0]:
        return None
    return bool(struct.unpack("=i", queued)[0] == 0)
