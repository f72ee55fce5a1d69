"""A listener that seems cut off: what connects to it anew never comes up."""

from __future__ import annotations

import socket
from contextlib import suppress

STUFFED = 4  # connections that fill the shortest queue for certain


def silence(listener: socket.socket) -> list[socket.socket]:
    """Fill the kernel's queue of connections that wait to be accepted; nobody may accept meanwhile.
    Close what is given back, and listen anew, to end it.
    """
    listener.listen(0)
    stuffing = []
    for _ in range(STUFFED):
        one = socket.socket()
        one.setblocking(False)
        with suppress(BlockingIOError):
            one.connect(listener.getsockname())
        stuffing.append(one)
    return stuffing
