"""A balancer's subscription over real connections: one node at a time, the next where it fails."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import ssl
import time
from collections.abc import Callable, Collection, Mapping, Sequence

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
from loadbalancer.settings import Malformed, split_address
from loadbalancer.store import handshake
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.frames import Refused
from loadbalancer.store.wire.protocol import Failed, Fed, Feed, Hello

log = logging.getLogger(__name__)

ID = 1  # of the subscription, on each of its connections
UNREAD_MOST = 1 << 20  # bytes of words that a node leaves unread: it is left


class FeedWire(handshake.Dial):
    """A connection to a node's feed."""

    def __init__(self, hello: Hello, client: FeedClient) -> None:
        super().__init__(hello)
        self.client = client

    def heard(self, payload: bytes) -> None:
        reply = protocol.unpack_reply(payload)
        if isinstance(reply, Fed):
            self.client.told(self, reply)
        elif isinstance(reply, Failed):
            raise Refused(reply.text)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.client.ended(self)


class FeedClient:
    """`addresses`: of nodes, HOST:PORT; the first `near` of them are tried before the others, and
    both in an order drawn by `rng`. `check` says what is wrong with a row, or nothing; `apply` puts
    rows in force. Both are called in the loop, and take no time. What is known of the rows, and how
    old it is, tells `subscription`.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        tls: Callable[[], ssl.SSLContext | None],
        name: str,
        scopes: Collection[str],
        check: RowCheck,
        apply: Callable[[Apply], None],
        reach: Mapping[str, str] | None = None,
        rng: random.Random | None = None,
        near: int = 0,
        limits: SubscriptionLimits = SubscriptionLimits(),  # noqa: B008 (it is frozen)
    ) -> None:
        """Raises Malformed."""
        for address in (*addresses, *(reach or {}).values()):
            split_address(address)
        self.rng = rng or random.Random(os.urandom(8))
        self.addresses = [*self._drawn(addresses[:near]), *self._drawn(addresses[near:])]
        self.tls, self.name, self.apply = tls, name, apply
        self.reach = reach or {}
        self.at = ""  # the node that it is connected to, or dials
        self.subscription = Subscription(
            name, scopes, SubscriptionOptions(check, limits, self.rng), time.monotonic_ns()
        )
        self.wire: FeedWire | None = None
        self.dialling: asyncio.Task[None] | None = None
        self.closed = True
        self.turning = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ns = 0

    def _drawn(self, addresses: Sequence[str]) -> list[str]:
        return self.rng.sample(addresses, len(addresses))

    def start(self) -> None:
        """Within a running loop."""
        self.loop = asyncio.get_running_loop()
        self.closed = False
        self._wake()

    def want(self, add: Collection[str], drop: Collection[str]) -> None:
        """Other scopes. Raises ValueError."""
        self.subscription.update_scopes(add, drop, time.monotonic_ns())
        if not self.closed:
            self._wake()

    async def close(self) -> None:
        """Nothing is applied from here on."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        dialling = self.dialling
        self._leave()
        if dialling is not None:
            await asyncio.wait({dialling})

    # ---- the loop's turn -------------------------------------------------------------------------

    def _wake(self) -> None:
        if not self.turning and not self.closed:
            self.turning = True
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self.turning = False
        if self.closed:
            return
        now = time.monotonic_ns()
        if self.subscription.wake_ns <= now:
            self.subscription.tick(now)
        words: list[bytes] = []
        for action in self.subscription.take_actions():
            match action:
                case SendMessage():
                    words.append(action.payload)
                case Apply():
                    self._apply(action)
                case Dial():
                    words.clear()
                    self._leave()
                    self.dialling = self.loop.create_task(self._dial(action.address_index))
                case Disconnect():
                    words.clear()
                    self._leave()
        if words and self.wire is not None:
            self._say(self.wire, words)
        wake_ns = self.subscription.wake_ns
        if self.timer is None or wake_ns < self.timer_ns:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_ns = wake_ns
            self.timer = self.loop.call_later(max(0, wake_ns - now) / 1e9, self._timed)

    def _timed(self) -> None:
        self.timer = None
        self._wake()

    def _apply(self, action: Apply) -> None:
        try:
            self.apply(action)
        except Exception:
            log.exception("feed: rows of %s as of revision %d", action.scope, action.revision)

    def _say(self, wire: FeedWire, words: list[bytes]) -> None:
        if wire.closed or wire.transport is None:
            return
        wire.transport.write(
            b"".join(wire.sender.frame(protocol.pack(Feed(ID, 0, word))) for word in words)
        )
        if wire.transport.get_write_buffer_size() > UNREAD_MOST:
            wire.end("it reads nothing")

    # ---- connections -----------------------------------------------------------------------------

    async def _dial(self, turn: int) -> None:
        """How long it may take is the subscription's to say."""
        self.at = self.addresses[turn % len(self.addresses)]
        wire = FeedWire(Hello(protocol.FORMAT, "", 0, "", self.name), self)
        why = ""
        try:
            host, port = split_address(self.reach.get(self.at, self.at))
            await self.loop.create_connection(lambda: wire, host, port, ssl=self.tls())
            welcome = await wire.welcomed
        except (OSError, Malformed) as error:
            why = f"{self.at}: {error}"
        except BaseException:
            wire.abort()
            raise
        if self.dialling is not asyncio.current_task():
            wire.abort()
            return
        self.dialling = None
        if why:
            wire.abort()
            self._lost(why)
            return
        self.wire = wire
        self.subscription.on_connected(welcome.cluster, time.monotonic_ns())
        self._wake()

    def told(self, wire: FeedWire, fed: Fed) -> None:
        if wire is self.wire:
            self.subscription.receive(fed.generation, fed.sequence, fed.word, time.monotonic_ns())
            self._wake()

    def ended(self, wire: FeedWire) -> None:
        if wire is self.wire:
            self.wire = None
            self._lost(f"{self.at}: {wire.why}")

    def _lost(self, why: str) -> None:
        log.debug("feed: %s", why)
        self.subscription.on_disconnected(why, time.monotonic_ns())
        self._wake()

    def _leave(self) -> None:
        if self.dialling is not None:
            self.dialling.cancel()
            self.dialling = None
        wire, self.wire = self.wire, None
        if wire is not None:
            wire.abort()
