"""One client that sends requests on one connection at full speed."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Final

REQUESTS_A_WRITE: Final = 200
READ_BYTES: Final = 256 * 1024
WRITE_TIMEOUT_S: Final = 0.002  # then what came is read
CONNECT_TIMEOUT_S: Final = 1.0
PAUSE_S: Final = 0.02  # before it connects again


class Flood(Enum):
    """What it sends; the value is its name on the command line."""

    UNKNOWN_CLASS = "unknown-class"  # requests of one class that there is not
    NEW_CLASSES = "new-classes"  # requests of ever new classes that there are not
    NEW_TENANTS = "new-tenants"  # sound requests of ever new tenants
    NEW_IDS = "new-ids"  # sound requests, each with an id of its own
    ONE_ID = "one-id"  # sound requests with one id
    NEW_FIELDS = "new-fields"  # sound requests with ever new header fields


def _request(path: str, name: str, tenant: str = "elm", field: str = "X-Any") -> bytes:
    return (
        f"GET /{path} HTTP/1.1\r\nHost: soak\r\nX-Request-Id: {name}\r\nX-Tenant: {tenant}\r\n"
        f"X-Deadline-Ms: 500\r\n{field}: 1\r\n\r\n"
    ).encode()


REQUESTS: Final[dict[Flood, Callable[[int], bytes]]] = {
    Flood.UNKNOWN_CLASS: lambda n: _request("none", f"flood-{n}"),
    Flood.NEW_CLASSES: lambda n: _request(f"none{n}", f"flood-{n}"),
    Flood.NEW_TENANTS: lambda n: _request("read", f"flood-{n}", tenant=f"tenant-{n}"),
    Flood.NEW_IDS: lambda n: _request("read", f"flood-{n}"),
    Flood.ONE_ID: lambda _: _request("read", "flood"),
    Flood.NEW_FIELDS: lambda n: _request("read", f"flood-{n}", field=f"X-Any-{n}"),
}


class Flooder:
    """A thread that keeps one connection full, and opens another when it is closed.

    Attributes:
        answered_bytes: What it read.
    """

    def __init__(self, port: int, flood: Flood) -> None:
        self.port = port
        self.flood = flood
        self.answered_bytes = 0
        self._number = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """End, and wait for the end."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                with socket.create_connection(("127.0.0.1", self.port), CONNECT_TIMEOUT_S) as sock:
                    self._fill(sock)
            except OSError:
                time.sleep(PAUSE_S)

    def _fill(self, sock: socket.socket) -> None:
        sock.settimeout(WRITE_TIMEOUT_S)
        unsent = b""
        while not self._stopped.is_set():
            unsent = unsent or self._next_requests()
            with suppress(TimeoutError):
                unsent = unsent[sock.send(unsent) :]
            try:
                data = sock.recv(READ_BYTES)
            except TimeoutError:
                continue
            if not data:
                return
            self.answered_bytes += len(data)

    def _next_requests(self) -> bytes:
        build = REQUESTS[self.flood]
        first = self._number
        self._number += REQUESTS_A_WRITE
        return b"".join(build(number) for number in range(first, self._number))
