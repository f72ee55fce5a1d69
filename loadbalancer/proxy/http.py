"""HTTP/1.1 helpers for both sides of the proxy: forwarded headers, chunks and buffered reads."""

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
    """Return the headers that a proxy forwards, without hop-by-hop and framing headers."""
    forwarded = [row for row in headers if row[0] not in HOP_BY_HOP]
    if len(forwarded) == len(headers):
        return forwarded  # no hop-by-hop header, so no Connection header either
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
    """Protocol that reads at most READ_SIZE bytes at a time, into one buffer for all connections.

    Each read is copied from the buffer before another connection can read.
    """

    _buffer = bytearray(READ_SIZE)

    def get_buffer(self, size: int) -> bytearray:  # noqa: ARG002 (a hint; the buffer's size is fixed)
        """Return the shared buffer; called by the event loop."""
        return self._buffer

    def buffer_updated(self, count: int) -> None:
        """Pass the received bytes to `data_received`; called by the event loop."""
        self.data_received(bytes(memoryview(self._buffer)[:count]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
