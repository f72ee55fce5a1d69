"""Plain sockets for tests that force the order of two events."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace

from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.messages import message
from loadbalancer.settings import Json
from tests.fakes import (
    SECOND,
    SETTINGS,
    BalancerHarness,
)

POST = b"POST /pay HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n"
REQUEST = message(b"GET /quote HTTP/1.1", [(b"Host", b"h"), (b"X-Request-Id", b"r1")])


async def connect_raw_socket(harness: BalancerHarness) -> socket.socket:
    """Connect a non-blocking socket whose calls take effect at once, without the event loop."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, harness.address)
    return sock


async def read_until_eof(sock: socket.socket) -> bytes:
    """Return everything received until EOF; a reset raises ConnectionResetError."""
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
        received += data
    return received


async def connection_with_open_request(front: Frontend) -> ClientConnection:
    """Wait until a client connection has an open request, and return that connection."""
    while not front.clients or not any(c.open_request for c in front.clients):
        await asyncio.sleep(0)
    return next(c for c in front.clients if c.open_request)


RETRY_SETTINGS = replace(
    SETTINGS,
    limits=replace(
        SETTINGS.limits, max_attempts=3, may_cancel=False, connect_timeout_ns=20 * SECOND
    ),
)


@contextmanager
def upstream_with_full_accept_queue() -> Iterator[tuple[Json, Callable[[], socket.socket]]]:
    """Provide an upstream whose accept queue is full, so that connects wait until it is emptied.

    Yields the upstream's entry in the endpoint list, and a function that empties the accept queue
    and accepts the next connection.
    """
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        address = server.getsockname()
        fillers = [socket.create_connection(address)]
        with suppress(TimeoutError):
            while True:
                fillers.append(socket.create_connection(address, 0.2))

        def accept_next() -> socket.socket:
            """Empty the accept queue, and return the next connection."""
            for sock in fillers:
                server.accept()[0].close()
                sock.close()
            server.settimeout(10.0)
            return server.accept()[0]

        yield {"id": "blocked", "addr": "{}:{}".format(*address), "state": "Ready"}, accept_next
