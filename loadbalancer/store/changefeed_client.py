"""A balancer's change feed subscription over TCP, connected to one node at a time.

After a failure it connects to the next node.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import ssl
import time
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from loadbalancer.changefeed.subscription import (
    Apply,
    Dial,
    Disconnect,
    RowCheck,
    SendMessage,
    Subscription,
    SubscriptionLimits,
    SubscriptionOptions,
)
from loadbalancer.settings import MalformedError, split_address
from loadbalancer.store import handshake
from loadbalancer.store.errors import ProtocolError
from loadbalancer.store.timer import WakeTimer
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import (
    ChangefeedMessage,
    Hello,
    RequestFailed,
    SendToChangefeed,
    Welcome,
)

log = logging.getLogger(__name__)

SUBSCRIPTION_ID: Final = 1  # a connection has one subscription
MAX_UNREAD_BYTES: Final = 1 << 20  # send buffer size above which the connection is closed


class ChangefeedConnection(handshake.DialedConnection):
    """A connection to a node's change feed."""

    def __init__(self, hello: Hello, client: ChangefeedClient) -> None:
        super().__init__(hello)
        self.client = client

    def payload_received(self, payload: bytes) -> None:
        """Deliver a message; fail the connection if the node ended the subscription."""
        reply = protocol.unpack_reply(payload)
        if isinstance(reply, ChangefeedMessage):
            self.client.message_received(self, reply)
        elif isinstance(reply, RequestFailed):
            raise ProtocolError(reply.text)

    def connection_lost(self, error: Exception | None) -> None:
        """Report to the client that the connection was closed."""
        super().connection_lost(error)
        self.client.connection_ended(self)


@dataclass(frozen=True, slots=True)
class ChangefeedTarget:
    """The nodes that a subscription connects to, and its identity.

    Attributes:
        addresses: Addresses of nodes, HOST:PORT.
        tls: Returns the TLS context for a new connection.
        name: The balancer's name.
        nearby_count: How many addresses, from the first on, are tried before the others.
        address_map: The address to connect to for an advertised address, where they differ.
        rng: Random numbers for the order of the addresses and the jitter of the subscription.
    """

    addresses: Sequence[str]
    tls: Callable[[], ssl.SSLContext | None]
    name: str
    nearby_count: int = 0
    address_map: Mapping[str, str] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(os.urandom(8)))


class ChangefeedClient:
    """Executes the actions of a subscription.

    Args:
        target: The nodes to connect to. Nearby nodes and the other nodes are each shuffled.
        scopes: The scopes to subscribe to.
        check: Returns why a row is not valid. Called in the event loop; must not block.
        apply: Applies rows. Called in the event loop; must not block.
        limits: The subscription's limits.

    Attributes:
        subscription: The protocol state: the received rows and their age.
        connection: The open connection.
        address: The address of the node that the client is connected or connecting to.

    Raises:
        MalformedError: An address is not HOST:PORT.
    """

    def __init__(
        self,
        target: ChangefeedTarget,
        scopes: Collection[str],
        check: RowCheck,
        apply: Callable[[Apply], None],
        limits: SubscriptionLimits = SubscriptionLimits(),  # noqa: B008 (it is frozen)
    ) -> None:
        for address in (*target.addresses, *target.address_map.values()):
            split_address(address)
        self.target = target
        nearby = target.addresses[: target.nearby_count]
        remote = target.addresses[target.nearby_count :]
        self._addresses = [*self._shuffled(nearby), *self._shuffled(remote)]
        self._apply_rows = apply
        self.address = ""
        self.subscription = Subscription(
            target.name, scopes, SubscriptionOptions(check, limits, target.rng), time.monotonic_ns()
        )
        self.connection: ChangefeedConnection | None = None
        self._dialing: asyncio.Task[None] | None = None
        self._is_closed = True
        self._is_woken = False
        self._timer = WakeTimer(self._wake)

    def _shuffled(self, addresses: Sequence[str]) -> list[str]:
        return self.target.rng.sample(addresses, len(addresses))

    def start(self) -> None:
        """Start connecting; must be called within a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._is_closed = False
        self._wake()

    def change_scopes(self, add: Collection[str], drop: Collection[str]) -> None:
        """Change the subscribed scopes.

        Raises:
            ValueError: A scope is not valid.
        """
        self.subscription.update_scopes(add, drop, time.monotonic_ns())
        if not self._is_closed:
            self._wake()

    async def close(self) -> None:
        """Close the connection; no more rows are applied."""
        self._is_closed = True
        self._timer.cancel()
        dialing = self._dialing
        self._disconnect()
        if dialing is not None:
            await asyncio.wait({dialing})

    # ---- actions of the subscription -------------------------------------------------------------

    def _wake(self) -> None:
        """Schedule the due actions for the next iteration of the event loop."""
        if not self._is_woken and not self._is_closed:
            self._is_woken = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_woken = False
        if self._is_closed:
            return
        now_ns = time.monotonic_ns()
        if self.subscription.wake_ns <= now_ns:
            self.subscription.tick(now_ns)
        messages = self._execute_actions()
        if messages and self.connection is not None:
            self._send(self.connection, messages)
        self._timer.schedule(self.subscription.wake_ns, now_ns)

    def _execute_actions(self) -> list[bytes]:
        """Execute the pending actions and return the messages to send."""
        messages: list[bytes] = []
        for action in self.subscription.take_actions():
            match action:
                case SendMessage():
                    messages.append(action.payload)
                case Apply():
                    self._apply(action)
                case Dial():
                    messages.clear()
                    self._disconnect()
                    self._dialing = self._loop.create_task(self._dial(action.address_index))
                case Disconnect():
                    messages.clear()
                    self._disconnect()
        return messages

    def _apply(self, action: Apply) -> None:
        try:
            self._apply_rows(action)
        except Exception:
            log.exception(
                "rows can't be applied: scope=%s revision=%d", action.scope, action.revision
            )

    def _send(self, connection: ChangefeedConnection, messages: list[bytes]) -> None:
        if connection.closed or connection.transport is None:
            return
        requests = (SendToChangefeed(SUBSCRIPTION_ID, 0, message) for message in messages)
        connection.transport.write(
            b"".join(connection.encoder.frame(protocol.pack(request)) for request in requests)
        )
        if connection.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            connection.close("it reads nothing")

    # ---- connections -----------------------------------------------------------------------------

    async def _dial(self, attempt: int) -> None:
        """Connect to the node for this attempt; the subscription enforces the connect timeout."""
        self.address = self._addresses[attempt % len(self._addresses)]
        connection = ChangefeedConnection(
            Hello(protocol.PROTOCOL_VERSION, "", 0, "", self.target.name), self
        )
        welcome: Welcome | None = None
        reason = ""
        try:
            welcome = await self._connect(connection)
        except (OSError, MalformedError) as error:
            reason = f"{self.address}: {error}"
        except BaseException:
            connection.abort()
            raise
        if self._dialing is not asyncio.current_task():
            connection.abort()
            return
        self._dialing = None
        if welcome is None:
            connection.abort()
            self._connection_failed(reason)
            return
        self.connection = connection
        self.subscription.on_connected(welcome.cluster, time.monotonic_ns())
        self._wake()

    async def _connect(self, connection: ChangefeedConnection) -> Welcome:
        address = self.target.address_map.get(self.address, self.address)
        host, port = split_address(address)
        await self._loop.create_connection(lambda: connection, host, port, ssl=self.target.tls())
        return await connection.welcomed

    def message_received(
        self, connection: ChangefeedConnection, message: ChangefeedMessage
    ) -> None:
        """Handle a message from the node, unless its connection has been replaced."""
        if connection is self.connection:
            self.subscription.receive(
                message.generation, message.sequence, message.message, time.monotonic_ns()
            )
            self._wake()

    def connection_ended(self, connection: ChangefeedConnection) -> None:
        """Handle the loss of a connection, unless the connection has been replaced."""
        if connection is self.connection:
            self.connection = None
            self._connection_failed(f"{self.address}: {connection.close_reason}")

    def _connection_failed(self, reason: str) -> None:
        log.debug("change feed connection failed: reason=%s", reason)
        self.subscription.on_disconnected(reason, time.monotonic_ns())
        self._wake()

    def _disconnect(self) -> None:
        if self._dialing is not None:
            self._dialing.cancel()
            self._dialing = None
        connection = self.connection
        self.connection = None
        if connection is not None:
            connection.abort()
