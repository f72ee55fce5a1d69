"""What the kernel knows of a TCP connection and the event loop does not tell."""

from __future__ import annotations

import select
import socket
import struct
import sys
from typing import Protocol

# Of Linux's `struct tcp_info`: the connection's state, and the milliseconds since data last came.
TCP_INFO = struct.Struct("B51xI")
# Of the states (`tcp_states.h`): TIME_WAIT, CLOSE (after a reset), CLOSE_WAIT, LAST_ACK and
# CLOSING.
PEER_ENDED = frozenset({6, 7, 8, 9, 11})


class Socket(Protocol):
    def getsockopt(self, level: int, option: int, length: int, /) -> bytes: ...

    def fileno(self) -> int: ...


def received(sock: Socket) -> tuple[bool, int]:
    """Has the peer closed its side behind what it sent, or reset the connection, and how many ns
    ago did data last come? A loop that is late reads both only afterwards: it would take a request
    for fresh, and its client for there. Where the kernel does not tell: that it is there, and has
    only just sent. It counts in ticks of some 4 ms.
    """
    if sys.platform != "linux":
        return False, 0
    try:
        state, ago_ms = TCP_INFO.unpack(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        )
    except (OSError, struct.error):
        return False, 0
    return state in PEER_ENDED, ago_ms * 1_000_000


def readable(sock: Socket) -> bool:
    """Does something lie there that was not read yet: bytes, the peer's end, or a reset? Timers and
    calls run ahead of the sockets in a turn of the loop, so that it does whenever the loop is
    late.
    """
    try:
        look = select.poll()
        look.register(sock.fileno(), select.POLLIN)
        return bool(look.poll(0))
    except (OSError, ValueError):  # closed already
        return False
