"""One accepted connection: the handshake, then messages of a member or requests of a client."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Sequence
from typing import Final, Protocol, cast

import msgspec

from loadbalancer.changefeed.fanout import Send
from loadbalancer.store.commands import STATE_FORMAT
from loadbalancer.store.errors import ProtocolError
from loadbalancer.store.node import Node
from loadbalancer.store.raft.messages import unpack_message
from loadbalancer.store.request_handler import RequestHandler
from loadbalancer.store.security import CertificateRole, role_of
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.frames import NONCE_BYTES, FrameDecoder, FrameEncoder
from loadbalancer.store.wire.protocol import (
    ChangefeedMessage,
    Declined,
    FailureCode,
    Hello,
    Reply,
    SendToChangefeed,
    Welcome,
)

log = logging.getLogger(__name__)

GREETING_TIMEOUT_S: Final = 5.0
# Size of the send buffer above which reading from the client pauses.
MAX_UNREAD_BYTES: Final = 8 << 20
# Send buffer size above which the fan-out only marks scopes as changed.
MAX_UNREAD_CHANGEFEED_BYTES: Final = 64 << 10
# TCP closes a subscriber's connection if sent data is not acknowledged for this long.
ACK_TIMEOUT_MS: Final = 30_000


class ConnectionHost(Protocol):
    """The interface of the server that a connection uses."""

    @property
    def node(self) -> Node:
        """The node."""

    @property
    def uses_tls(self) -> bool:
        """Whether peers authenticate with certificates."""

    def connection_opened(self, connection: Connection) -> bool:
        """Register a connection; return whether there is capacity for it."""

    def connection_closed(self, connection: Connection) -> None:
        """Remove a connection."""


class Connection(asyncio.Protocol):
    """A connection of a member or client.

    Attributes:
        node: The node that accepted the connection.
        peer: The peer's address, for logs.
        transport: Its transport.
    """

    def __init__(self, host: ConnectionHost) -> None:
        self.peer = ""
        self._host = host
        self.node = host.node
        self._decoder = FrameDecoder()
        self._encoder = FrameEncoder()
        self.transport: asyncio.Transport | None = None
        self._member: int | None = None  # the number of the connected member
        self._handler: RequestHandler | None = None  # for the connected client
        self._subscriber: int | None = None  # the number of the change feed subscriber
        self._subscription_id = 0  # the id of the request that started the subscription
        self._greeting_timer: asyncio.TimerHandle | None = None

    @property
    def _is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    @property
    def _is_handshake_complete(self) -> bool:
        return self._member is not None or self._handler is not None

    # ---- transport -------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start the handshake timeout."""
        self.transport = cast(asyncio.Transport, transport)
        address = transport.get_extra_info("peername")
        self.peer = f"{address[0]}:{address[1]}" if address else "?"
        self.transport.set_write_buffer_limits(MAX_UNREAD_BYTES)
        if not self._host.connection_opened(self):
            self._decline("there are too many connections")
            return
        loop = asyncio.get_running_loop()
        self._greeting_timer = loop.call_later(GREETING_TIMEOUT_S, self._greeting_timed_out)

    def _greeting_timed_out(self) -> None:
        if not self._is_handshake_complete:
            self._decline("no greeting came in time")

    def data_received(self, data: bytes) -> None:
        """Handle each complete frame; close the connection on an invalid one."""
        self._decoder.feed(data)
        try:
            for payload in self._decoder.payloads():
                if not self._is_open:
                    return
                self._payload_received(payload)
        except (ProtocolError, ValueError) as error:
            self._decline(" ".join(str(error).split()))

    def _payload_received(self, payload: bytes) -> None:
        if self._member is not None:
            self.node.message_received(self._member, unpack_message(payload))
        elif self._handler is not None:
            self._handler.request_received(protocol.unpack_request(payload))
        else:
            self._greeting_received(payload)

    def pause_writing(self) -> None:
        """Stop reading from a peer whose send buffer is full, and pause its watches."""
        if self.transport is not None:
            self.transport.pause_reading()
        if self._handler is not None:
            self._handler.pause()
        if self._subscriber is not None:
            self.node.changefeed.set_writable(self._subscriber, False)

    def resume_writing(self) -> None:
        """Resume reading and watches when the send buffer has drained."""
        if self.transport is not None:
            self.transport.resume_reading()
        if self._handler is not None:
            self._handler.resume()
        if self._subscriber is not None:
            self.node.changefeed.set_writable(self._subscriber, True)

    def abort(self) -> None:
        """Close the connection and discard buffered data."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 (asyncio's)
        """End the connection's subscription, watches and requests."""
        self._host.connection_closed(self)
        if self._greeting_timer is not None:
            self._greeting_timer.cancel()
        if self._handler is not None:
            self._handler.close_watches()
        if self._subscriber is not None:
            self.node.changefeed.remove_subscriber(self._subscriber)
        if self._handler is not None:
            self._handler.cancel_tasks()

    # ---- handshake -------------------------------------------------------------------------------

    def _greeting_received(self, payload: bytes) -> None:
        hello = protocol.unpack_greeting(payload)
        if not isinstance(hello, Hello):
            self._decline("it does not greet")
            return
        role = self._role_of(hello)
        reason = _protocol_mismatch(hello, self.node.identity.cluster)
        reason = reason or self._node_mismatch(hello, role)
        if reason:
            self._decline(reason)
        else:
            self._welcome(hello, role)

    def _role_of(self, hello: Hello) -> CertificateRole | None:
        if self._host.uses_tls:
            assert self.transport is not None
            certificate = self.transport.get_extra_info("peercert")
            return role_of(certificate, self.node.identity.cluster)
        return CertificateRole.NODE if hello.node else CertificateRole.ADMIN

    def _node_mismatch(self, hello: Hello, role: CertificateRole | None) -> str | None:
        if bool(hello.node) != (role is CertificateRole.NODE):
            return f"its certificate's role is {role or 'none'}"
        if hello.node in self.node.core.members.removed:
            return f"node {hello.node:x} was removed"
        if hello.node == self.node.identity.node:
            return "it has this node's own number"
        return None

    def _welcome(self, hello: Hello, role: CertificateRole | None) -> None:
        identity = self.node.identity
        nonce = os.urandom(NONCE_BYTES)
        role_name = role.value if role is not None else ""
        self._send(Welcome(STATE_FORMAT, identity.cluster, identity.node, nonce, role_name))
        self._encoder.bind(nonce)
        self._decoder.bind(nonce)
        if hello.node:
            self._decoder.max_payload_bytes = protocol.MAX_MESSAGE_BYTES
            self._member = hello.node
            self.node.links.address_reported(hello.node, hello.address)
        else:
            self._decoder.max_payload_bytes = protocol.MAX_REQUEST_BYTES
        if not hello.node and role is not None:
            # A client without a role gets no request handler. Its next frame is decoded as another
            # greeting, so that a request closes the connection.
            self._handler = RequestHandler(self.node, self, role)

    def _decline(self, reason: str) -> None:
        log.warning("store connection declined: peer=%s reason=%s", self.peer, reason)
        if self.transport is not None and self._is_open:
            if not self._is_handshake_complete:
                self._send(Declined(reason))
            self.transport.close()

    # ---- replies ---------------------------------------------------------------------------------

    def _send(self, message: msgspec.Struct) -> None:
        assert self.transport is not None
        self.transport.write(self._encoder.frame(protocol.pack(message)))

    def send(self, reply: Reply) -> None:
        """Send a reply, unless the connection is closed."""
        if self._is_open:
            self._send(reply)

    # ---- change feed -----------------------------------------------------------------------------

    def changefeed_message_received(self, request: SendToChangefeed) -> None:
        """Handle a client's change feed message; the first message starts a subscription."""
        if self._subscriber is None:
            self._begin_subscription(request.id)
        assert self._subscriber is not None
        self.node.changefeed.message_received(self._subscriber, request.message)

    def _begin_subscription(self, request_id: int) -> None:
        assert self.transport is not None
        self.transport.set_write_buffer_limits(MAX_UNREAD_CHANGEFEED_BYTES)
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            self.transport.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS
            )
        self._subscription_id = request_id
        self._subscriber = self.node.changefeed.add_subscriber(self)

    def send_messages(self, sends: Sequence[Send]) -> None:
        """Send messages of the change feed in one write."""
        if self.transport is None or not self._is_open:
            return
        frames = [
            self._encoder.frame(
                protocol.pack(
                    ChangefeedMessage(
                        self._subscription_id, send.generation, send.sequence, send.payload
                    )
                )
            )
            for send in sends
        ]
        self.transport.write(b"".join(frames))

    def end_subscription(self, reason: str) -> None:
        """End the subscription and close the connection."""
        assert self._handler is not None
        self._handler.fail(self._subscription_id, FailureCode.REJECTED, reason)
        self._decline(reason)


def _protocol_mismatch(hello: Hello, cluster: str) -> str | None:
    if hello.format > protocol.PROTOCOL_VERSION:
        return f"protocol {hello.format} is newer than {protocol.PROTOCOL_VERSION}"
    if hello.cluster != cluster and (hello.node or hello.cluster):
        return f"this is cluster {cluster}, not {hello.cluster}"
    return None
