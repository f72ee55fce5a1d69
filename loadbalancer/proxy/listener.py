"""The listening socket for clients, which a process shares with its successor by SO_REUSEPORT.

Each process has a separate accept queue, and closing a listener resets the connections in it. So a
process that shuts down first has the kernel route new connections to its successor, and closes its
listener once the queue is empty.
"""

from __future__ import annotations

import errno
import logging
import socket
import struct
import sys
from array import array

log = logging.getLogger(__name__)

# Linux constants that the socket module does not define.
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RET = 0x06
# Index of the successor's socket in the SO_REUSEPORT group. The kernel numbers the sockets in the
# order in which they began to listen, without gaps, so the process that shuts down is the oldest
# and has number 0. Without a successor, the index is out of range and the kernel selects by hash.
SUCCESSOR = 1


def listening_socket(address: tuple[str, int], shared: bool = False) -> socket.socket:
    """Create a bound socket that does not listen yet.

    Args:
        address: Host and port.
        shared: Whether a successor may bind the same address.

    Raises:
        OSError: The address can't be bound.
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
    """Start listening, and remove the filter that an earlier process has attached."""
    listener.listen(backlog)
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)
    except OSError as error:
        if sys.platform == "linux" and error.errno != errno.ENOENT:  # no filter was attached
            log.warning("previous socket filter not removed from listener: error=%s", error)


def redirect_to_successor(listener: socket.socket) -> None:
    """Have the kernel route new connections to the successor, if there is one."""
    code = array("B", struct.pack("=HBBI", BPF_RET, 0, 0, SUCCESSOR))
    address, _ = code.buffer_info()
    program = struct.pack("@HP", 1, address)
    try:
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
    except OSError as error:  # both processes then accept until this listener closes
        log.warning("new connections not routed to the next process: error=%s", error)
