"""The clients' listening socket, which a process that takes over shares through SO_REUSEPORT.

Each process has an accept queue of its own, and closing a listener resets what waits in it. So a
process that shuts down first has the kernel send new connections to its successor, and closes once
its queue is empty.
"""

from __future__ import annotations

import ctypes
import errno
import logging
import socket
import struct
import sys

log = logging.getLogger(__name__)

# Linux; the socket module does not name them.
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RET = 0x06
# The group numbers its sockets in the order in which they listened, and closes gaps: a process that
# leaves is the oldest, number 0. Where there is no other, the choice is out of range, and the
# kernel goes by its hash.
SUCCESSOR = 1


def listening_socket(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """Make a bound socket that does not listen yet.

    Args:
        address: Host and port.
        shared: Whether the next process may bind it too.

    Raises:
        OSError: It can't be bound.
    """
    listener = socket.socket(
        socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM
    )
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind(address)
    except OSError:
        listener.close()
        raise
    return listener


def listen(listener: socket.socket, backlog: int) -> None:
    """Accept connections, beside other processes; an earlier one's filter is removed."""
    listener.listen(backlog)
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
    except OSError as error:
        if sys.platform == "linux" and error.errno != errno.ENOENT:  # there was nothing to take off
            log.warning("listener's old filter not removed: error=%s", error)


def redirect_to_successor(listener: socket.socket) -> None:
    """Have the kernel send new connections to the next process, if there is one."""
    code = ctypes.create_string_buffer(struct.pack("=HBBI", BPF_RET, 0, 0, SUCCESSOR))
    program = struct.pack("@HP", 1, ctypes.addressof(code))
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:  # then both go on accepting connections until this one closes
        log.warning("new connections not left to the next process: error=%s", error)
