"""HTTP/1.1 helpers for both sides of the proxy: forwarded headers, chunks and buffered reads."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from loadbalancer.proxy.body_stream import READ_SIZE
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.peer_transport import PeerTransport, ReadPause

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
    """Protocol that reads into one buffer for all connections, a limited part at a time.

    Each read is copied from the buffer before another connection can read. The event loop goes on
    reading from one socket as long as a read fills the buffer; after a read that fills a shorter
    one, the other connections have their turn first.

    Attributes:
        memory: The account of this process, which limits a read.
        transport: The connection's transport.
    """

    _buffer = memoryview(bytearray(READ_SIZE))
    memory: MemoryAccount
    transport: PeerTransport
    _offered_bytes = READ_SIZE

    def get_buffer(self, size: int) -> memoryview:  # noqa: ARG002 (a hint; the account decides)
        """Return the part of the shared buffer to read into; called by the event loop."""
        self._offered_bytes = self.memory.buffer_bytes
        return self._buffer[: self._offered_bytes]

    def buffer_updated(self, count: int) -> None:
        """Pass the received bytes to `data_received`; called by the event loop."""
        is_turn_over = count == self._offered_bytes < READ_SIZE
        self.data_received(bytes(self._buffer[:count]))
        if is_turn_over:
            self.transport.pause_reading(ReadPause.TURN)
            loop = asyncio.get_running_loop()
            loop.call_soon(self.transport.resume_reading, ReadPause.TURN)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
