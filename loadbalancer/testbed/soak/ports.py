"""Ports that stay free while nobody listens: below those that the kernel gives to connections."""

from __future__ import annotations

import random
import socket
from pathlib import Path

LEAST = 12_000
RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
_given: set[int] = set()


def free_port() -> int:
    """A loopback port that nobody listens at, and that was not given before."""
    most = int(RANGE.read_text().split()[0]) if RANGE.exists() else 32_000
    while True:
        port = random.SystemRandom().randrange(LEAST, max(LEAST + 1000, most))
        if port in _given:
            continue
        with socket.socket() as taken:
            try:
                taken.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        return port
