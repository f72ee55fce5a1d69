"""HTTP messages written and read byte by byte, for tests of framing and of long bodies."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from tests.fakes import (
    running_balancer,
)

# More than all socket buffers between the client and the upstream can hold.
HUGE_BODY_SIZE = 30 * 1024 * 1024
ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def balancer_with_raw_upstream(
    handle: ConnectionHandler, receive_buffer: int | None = None, **config: Any
) -> Any:
    """Run a balancer with one upstream, whose connections `handle` serves.

    `receive_buffer` is the size of its sockets' receive buffers; None: the kernel adapts it.
    """
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    if receive_buffer is not None:
        server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    port = server.sockets[0].getsockname()[1]
    row = {"id": "raw", "addr": f"127.0.0.1:{port}", "state": "Ready"}
    async with running_balancer(
        0, known={"version": 9, "full": True, "servers": [row]}, **config
    ) as harness:
        try:
            yield harness
        finally:
            server.close()


async def read_head(reader: asyncio.StreamReader) -> str:
    """Read the head of a message, and return it in lower case."""
    return (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a chunked body without trailers, and return its data."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


def post_head(name: str, *headers: str) -> bytes:
    """Return the head of a POST request with these additional header lines."""
    rows = [
        "POST /pay HTTP/1.1",
        "Host: h",
        f"X-Request-Id: {name}",
        "X-Class: pay",
        "X-Tenant: ash",
        "X-Deadline-Ms: 3000",
        *headers,
    ]
    return "\r\n".join([*rows, "", ""]).encode()


def framed_body(body: bytes, sizes: list[int] | None) -> bytes:
    """Return the framing headers and the encoded body.

    If `sizes` is None, the body has a Content-Length. Otherwise it is sent in chunks of these
    sizes, with chunk extensions and a trailer.
    """
    if sizes is None:
        return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    framed, offset = b"Transfer-Encoding: chunked\r\n\r\n", 0
    for size in [*sizes, len(body)]:
        piece = body[offset : offset + size]
        if piece:
            framed += b'%X;name="a value"\r\n%b\r\n' % (len(piece), piece)
        offset += size
    return framed + b"0;last\r\nX-Trailer: t\r\n\r\n"
