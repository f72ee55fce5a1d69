"""Measures what a balancer's process holds at rest, and for each connection in a given state."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Final

from loadbalancer.testbed.soak.ports import free_port

START_S: Final = 1.5
SETTLE_S: Final = 1.0
CONNECTIONS_A_BATCH: Final = 50
BATCH_PAUSE_S: Final = 0.02
MEMORY_MB: Final = 512
SOCKETS: Final = 4096
LONG_NS: Final = 60_000_000_000


class ConnectionState(Enum):
    """The state of each connection; the value is its name on the command line."""

    IDLE = "idle"  # connected, nothing sent
    HALF_HEAD = "half-head"  # a usual head without its end
    LARGE_HEAD = "large-head"  # 15,000 bytes of a head
    HALF_BODY = "half-body"  # 63,000 of 64,000 bytes of a body
    STREAMED_BODY = "streamed-body"  # 63,000 of 164,000 bytes of a body
    OPEN = "open"  # a complete request whose upstream does not answer


@dataclass(frozen=True, slots=True)
class Measurement:
    """Resident memory of the process, in bytes.

    Attributes:
        rest: Without clients.
        per_connection: What each connection adds.
    """

    rest: int
    per_connection: float


def _input(state: ConnectionState, number: int) -> bytes:
    def head(kind: str, method: str = "POST") -> bytes:
        return (
            f"{method} /{kind} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {number}\r\n"
            f"X-Class: {kind}\r\nX-Deadline-Ms: 60000\r\n"
        ).encode()

    read = head("read", "GET")
    return {
        ConnectionState.IDLE: b"",
        ConnectionState.HALF_HEAD: read,
        ConnectionState.LARGE_HEAD: read + b"X-Any: " + b"a" * 15_000,
        ConnectionState.HALF_BODY: head("pay") + b"Content-Length: 64000\r\n\r\n" + bytes(63_000),
        ConnectionState.STREAMED_BODY: (
            head("pay") + b"Content-Length: 164000\r\n\r\n" + bytes(63_000)
        ),
        ConnectionState.OPEN: read + b"\r\n",
    }[state]


def _configuration(port: int, upstream_port: int) -> dict[str, object]:
    def profile(name: str, repeat: str) -> dict[str, object]:
        return {"name": name, "repeat": repeat, "aim_ns": LONG_NS // 2, "hard_limit_ns": LONG_NS}

    server = {"id": "s", "addr": f"127.0.0.1:{upstream_port}", "state": "Ready"}
    return {
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "seed": "1",
        "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": {
            "profiles": [profile("read", "read_like"), profile("pay", "non_idempotent")],
            "limits": {"max_open": 2000, "connect_timeout_ns": 700_000_000},
        },
        "known": {"version": 1, "full": True, "servers": [server]},
    }


@contextmanager
def _running(program: Path, folder: Path, port: int, upstream_port: int) -> Iterator[int]:
    """Run a balancer, and yield its process id."""
    path = folder / "config.json"
    path.write_text(json.dumps(_configuration(port, upstream_port)))
    environ = {**os.environ, "BALANCER_CONFIG": str(path), "PYTHONPATH": str(program)}
    with subprocess.Popen(
        [sys.executable, "-P", "-m", "loadbalancer"],
        env={**environ, "TMPDIR": str(folder)},
        stderr=subprocess.DEVNULL,
    ) as process:
        try:
            time.sleep(START_S)
            yield process.pid
        finally:
            process.kill()


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def measure_connections(program: Path, state: ConnectionState, connections: int) -> Measurement:
    """Measure the memory of connections in one state.

    Raises:
        OSError: The balancer can't be connected to.
    """
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        upstream = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        port = free_port()
        pid = stack.enter_context(_running(program, folder, port, upstream.getsockname()[1]))
        rest = _resident_bytes(pid)
        for number in range(connections):
            client = stack.enter_context(socket.create_connection(("127.0.0.1", port)))
            client.sendall(_input(state, number))
            if number % CONNECTIONS_A_BATCH == 0:
                time.sleep(BATCH_PAUSE_S)
        time.sleep(SETTLE_S)
        return Measurement(rest, (_resident_bytes(pid) - rest) / connections)
