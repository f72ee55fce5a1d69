"""State of a TCP connection in the kernel, which the event loop has not read yet."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios
from typing import NamedTuple, Protocol

# Fields of Linux's `struct tcp_info`: the connection's state, and the milliseconds since data was
# last received.
TCP_INFO = struct.Struct("B51xI")
# States from `tcp_states.h`: TIME_WAIT, CLOSE (after a reset), CLOSE_WAIT, LAST_ACK, CLOSING.
PEER_CLOSED_STATES = frozenset({6, 7, 8, 9, 11})
NS_PER_MS = 1_000_000
QUEUE_SIZE = struct.Struct("i")  # bytes, as the ioctls TIOCOUTQ and FIONREAD store them
LINGER = struct.Struct("ii")  # `struct linger`: whether it is on, and its seconds


class Socket(Protocol):
    """The socket methods that this module uses."""

    def getsockopt(self, level: int, option: int, length: int, /) -> bytes:
        """Return the value of a socket option."""

    def setsockopt(self, level: int, option: int, value: bytes, /) -> None:
        """Set the value of a socket option."""

    def fileno(self) -> int:
        """Return the file descriptor."""


class ReceiveState(NamedTuple):
    """Receive state of a connection.

    Attributes:
        peer_closed: Whether the peer has closed its side (FIN) or reset the connection.
        data_age_ns: Time since data was last received.
    """

    peer_closed: bool
    data_age_ns: int


def receive_state(sock: Socket) -> ReceiveState:
    """Return the receive state from the kernel, whether or not the data was read.

    A late event loop reads a request and the client's FIN long after the kernel received them. From
    the sockets alone it would treat the request as new and the client as connected. If the kernel
    does not provide the state, the result is a connected peer that has just sent data. The kernel's
    times have a resolution of about 4 ms.
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


def unacknowledged_bytes(sock: Socket) -> int:
    """Return how many bytes in the socket's send queue the peer's kernel has not acknowledged.

    If the kernel does not provide the number, the result is 0.
    """
    return _queue_size(sock, termios.TIOCOUTQ)


def unread_bytes(sock: Socket) -> int:
    """Return how many bytes have arrived that were not read; 0 if the kernel does not say."""
    return _queue_size(sock, termios.FIONREAD)


def _queue_size(sock: Socket, request: int) -> int:
    if sys.platform != "linux":
        return 0
    try:
        queue_size: int
        (queue_size,) = QUEUE_SIZE.unpack(
            fcntl.ioctl(sock.fileno(), request, bytes(QUEUE_SIZE.size))
        )
    except (OSError, ValueError):  # not provided, or already closed
        return 0
    return queue_size


def reset_on_close(sock: Socket) -> None:
    """Let the kernel reset the connection when the socket is closed.

    Raises:
        OSError: The socket is not open.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER.pack(1, 0))


def has_unread_data(sock: Socket) -> bool:
    """Return whether the socket has unread input: bytes, a FIN or a reset.

    In an event-loop iteration, timers and scheduled calls run before sockets are read. When the
    loop is late, input may therefore have arrived that was not read yet.
    """
    try:
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))
    except (OSError, ValueError):  # already closed
        return False
