"""What both sides of the proxy share of HTTP/1.1: headers that are passed on, chunks, reading."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from loadbalancer.proxy.body_stream import READ_SIZE

LAST_CHUNK = b"0\r\n\r\n"
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def end_to_end(headers: Sequence[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """The headers that a proxy passes on: none of the connection, none of the body's framing."""
    forwarded = [row for row in headers if row[0] not in HOP_BY_HOP]
    if len(forwarded) == len(headers):
        return forwarded  # `connection` itself is not among them
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [row for row in forwarded if row[0] not in named] if named else forwarded


def chunk(piece: bytes) -> bytes:
    """Frame a piece of a body as a chunk."""
    return b"%x\r\n%b\r\n" % (len(piece), piece)


class BufferedReader(asyncio.BufferedProtocol):
    """Reads in pieces of a bounded size, into one buffer that all connections share.

    What stands in the buffer is taken out before the next connection reads.
    """

    _buffer = bytearray(READ_SIZE)

    def get_buffer(self, size: int) -> bytearray:  # noqa: ARG002 (the loop's hint; ours is fixed)
        """Return the shared buffer; called by the event loop."""
        return self._buffer

    def buffer_updated(self, count: int) -> None:
        """Pass on what was read; called by the event loop."""
        self.data_received(bytes(memoryview(self._buffer)[:count]))

    def data_received(self, data: bytes) -> None:
        """Handle bytes that came."""
        raise NotImplementedError
