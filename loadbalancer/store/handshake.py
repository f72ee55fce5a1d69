"""The initiating side of a connection, with its handshake; used by members and clients."""

from __future__ import annotations

import asyncio
from typing import cast

from loadbalancer.store.errors import ProtocolError
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.frames import FrameDecoder, FrameEncoder
from loadbalancer.store.wire.protocol import Declined, Hello, Welcome


class DialedConnection(asyncio.Protocol):
    """One outgoing connection.

    Attributes:
        welcomed: The node's greeting; fails with ConnectionError if the handshake fails.
        ended: Completes when the connection is closed.
        close_reason: Why the connection was closed, in one line.
    """

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.encoder = FrameEncoder()
        self.decoder = FrameDecoder()
        self.transport: asyncio.Transport | None = None
        loop = asyncio.get_running_loop()
        self.welcomed: asyncio.Future[Welcome] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()
        self.close_reason = "the connection was closed"

    @property
    def closed(self) -> bool:
        """Whether the connection is closed, closing or not established yet."""
        return self.transport is None or self.transport.is_closing()

    def mismatch(self, welcome: Welcome) -> str | None:  # noqa: ARG002 (for subclasses)
        """Return why the peer is not acceptable; None if it is the expected peer."""
        return None

    def payload_received(self, payload: bytes) -> None:  # noqa: ARG002 (for subclasses)
        """Handle a frame after the handshake.

        Raises:
            ProtocolError: The frame is not expected.
            ValueError: The frame can't be decoded.
        """
        raise ProtocolError("it speaks out of turn")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.encoder.frame(protocol.pack(self.hello)))

    def data_received(self, data: bytes) -> None:
        """Handle each complete frame; close the connection on an invalid one."""
        self.decoder.feed(data)
        try:
            for payload in self.decoder.payloads():
                if self.welcomed.done():
                    self.payload_received(payload)
                else:
                    self._greeting_received(payload)
        except (ProtocolError, ValueError) as error:
            self.close(" ".join(str(error).split()))

    def _greeting_received(self, payload: bytes) -> None:
        greeting = protocol.unpack_greeting(payload)
        if isinstance(greeting, Declined):
            raise ProtocolError(greeting.text)
        if not isinstance(greeting, Welcome):
            raise ProtocolError("it speaks out of turn")
        mismatch = self.mismatch(greeting)
        if mismatch:
            raise ProtocolError(mismatch)
        self.encoder.bind(greeting.nonce)
        self.decoder.bind(greeting.nonce)
        self.decoder.max_payload_bytes = protocol.MAX_MESSAGE_BYTES
        self.welcomed.set_result(greeting)

    def close(self, reason: str) -> None:
        """Close the connection and record the reason."""
        self.close_reason = reason
        self.abort()

    def abort(self) -> None:
        """Close the connection and discard buffered data."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 (asyncio's)
        """Resolve `welcomed` and `ended`."""
        if not self.welcomed.done():
            self.welcomed.set_exception(ConnectionError(self.close_reason))
            self.welcomed.exception()  # marks it as retrieved: there may be no waiter
        if not self.ended.done():
            self.ended.set_result(None)
