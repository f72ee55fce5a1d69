"""Ports that stay free while nobody listens: below those that the kernel gives to connections."""

from __future__ import annotations

import random
import socket
from pathlib import Path

LEAST = 12_000
RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
# By port, a datagram socket bound to it: other soaks on this machine pass over the port, while
# listeners for connections are not in its way.
_reserved: dict[int, socket.socket] = {}


def free_port() -> int:
    """A loopback port that nobody listens at, and that no soak was given before."""
    most = int(RANGE.read_text().split()[0]) if RANGE.exists() else 32_000
    while True:
        port = random.SystemRandom().randrange(LEAST, max(LEAST + 1000, most))
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket() as taken:
            try:
                reservation.bind(("127.0.0.1", port))
                taken.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
        _reserved[port] = reservation
        return port
