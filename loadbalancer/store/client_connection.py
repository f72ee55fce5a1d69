"""A client's connection to one node."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from loadbalancer.store.handshake import DialedConnection
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import (
    AnyReply,
    AnyRequest,
    Changes,
    Hello,
    RequestFailed,
    Row,
)

WatchReply = Changes | RequestFailed | None  # None: the connection was closed


@dataclass(slots=True)
class ReadResult:
    """Rows that were read.

    Attributes:
        rows: The rows.
        revision: The log index that the rows reflect.
        behind_ms: For a stale read, how long the node had been without a known leader.
    """

    rows: list[Row]
    revision: int
    behind_ms: int = 0


class ClientConnection(DialedConnection):
    """A connection that matches replies to requests and watches."""

    def __init__(self, hello: Hello) -> None:
        super().__init__(hello)
        self.pending: dict[int, asyncio.Future[AnyReply]] = {}
        self.watches: dict[int, asyncio.Queue[WatchReply]] = {}

    def payload_received(self, payload: bytes) -> None:
        """Deliver a reply to its request or watch."""
        reply = protocol.unpack_reply(payload)
        queue = self.watches.get(reply.id)
        if queue is not None and isinstance(reply, Changes | RequestFailed):
            queue.put_nowait(reply)
            return
        future = self.pending.pop(reply.id, None)
        if future is not None and not future.done():
            future.set_result(reply)

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all pending requests and end all watches."""
        super().connection_lost(error)
        for future in self.pending.values():
            if not future.done():
                future.set_exception(ConnectionError(self.close_reason))
                future.exception()  # marks it as retrieved: the caller may have timed out
        self.pending.clear()
        for queue in self.watches.values():
            queue.put_nowait(None)

    def request(self, request: AnyRequest) -> asyncio.Future[AnyReply]:
        """Send a request and return a future for its reply.

        Raises:
            ConnectionError: The connection is closed.
        """
        if self.closed:
            raise ConnectionError(self.close_reason)
        future: asyncio.Future[AnyReply] = asyncio.get_running_loop().create_future()
        self.pending[request.id] = future
        self.send(request)
        return future

    def send(self, request: AnyRequest) -> None:
        """Send a request without waiting for a reply; drop it if the connection is closed."""
        if not self.closed and self.transport is not None:
            self.transport.write(self.encoder.frame(protocol.pack(request)))
