"""What the kernel knows of a TCP connection before the event loop has read it."""

from __future__ import annotations

import select
import socket
import struct
import sys
from typing import NamedTuple, Protocol

# Of Linux's `struct tcp_info`: the connection's state, and the milliseconds since data last came.
TCP_INFO = struct.Struct("B51xI")
# Of the states (`tcp_states.h`): TIME_WAIT, CLOSE (after a reset), CLOSE_WAIT, LAST_ACK, CLOSING.
PEER_CLOSED_STATES = frozenset({6, 7, 8, 9, 11})
NS_PER_MS = 1_000_000


class Socket(Protocol):
    """The calls of a socket that are needed here."""

    def getsockopt(self, level: int, option: int, length: int, /) -> bytes:
        """Read an option."""

    def fileno(self) -> int:
        """The file descriptor."""


class ReceiveState(NamedTuple):
    """What has come on a connection.

    Attributes:
        peer_closed: The peer has closed its side, or reset the connection.
        data_age_ns: How long ago data last came.
    """

    peer_closed: bool
    data_age_ns: int


def receive_state(sock: Socket) -> ReceiveState:
    """Look up what has come, read or not.

    A loop that is late reads both only afterwards: it would take a request for new, and its client
    for connected. Where the kernel does not say, the peer is connected and has only just sent. The
    kernel counts in ticks of some 4 ms.
    """
    if sys.platform != "linux":
        return ReceiveState(False, 0)
    try:
        state, data_age_ms = TCP_INFO.unpack(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
        )
    except (OSError, struct.error):
        return ReceiveState(False, 0)
    return ReceiveState(state in PEER_CLOSED_STATES, data_age_ms * NS_PER_MS)


def has_unread_input(sock: Socket) -> bool:
    """Whether something is unread: bytes, the peer's end, or a reset.

    Timers and calls run ahead of the sockets in a turn of the loop, so that something is whenever
    the loop is late.
    """
    try:
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))
    except (OSError, ValueError):  # closed already
        return False
