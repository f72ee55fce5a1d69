"""Connections to other members, one for each, made anew whenever they break. Messages that can't go
are dropped: consensus sends again what matters.
"""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
import time
from collections.abc import Callable, Sequence
from typing import cast

from loadbalancer.settings import Malformed, split_address
from loadbalancer.store.handshake import DialedConnection
from loadbalancer.store.raft.messages import AnyMessage, pack
from loadbalancer.store.wire.protocol import Hello, Welcome

log = logging.getLogger(__name__)

MOST_WAITING = (
    16 << 20
)  # bytes that a slow member may leave unread; beyond it nothing more is written
CONNECT_S = 2.0
BACKOFF_S = 0.05, 2.0
STUCK_S = 5.0  # nothing was read for so long, though there was something: the connection is dead


class MemberConnection(DialedConnection):
    """A connection to a member, which sends nothing back on it."""

    def __init__(self, hello: Hello, expected: int, least: int) -> None:
        super().__init__(hello)
        self.expected = expected
        self.least = least
        self.format = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).set_write_buffer_limits(MOST_WAITING)
        super().connection_made(transport)

    def mismatch(self, welcome: Welcome) -> str | None:
        if welcome.node != self.expected or welcome.cluster != self.hello.cluster:
            return f"node {welcome.node:x} of cluster {welcome.cluster} answers there"
        if welcome.format < self.least:
            # It would take entries that it can't read for nothing, and part from the others.
            return f"its program knows format {welcome.format}, and the state is at {self.least}"
        self.format = welcome.format
        return ""


class MemberLink:
    """The way to one member."""

    def __init__(
        self,
        node: int,
        address: str,
        reach: str,
        hello: Callable[[], Hello],
        tls: Callable[[], ssl.SSLContext | None],
        least: Callable[[], int] = lambda: 1,
    ) -> None:
        """`address` as it is advertised, `reach` as it is dialled from here; `least`: the format
        that the member's program must know by now.
        """
        self.node = node
        self.address = address
        self.reach = reach
        self.hello = hello
        self.least = least
        self.format = 0  # the newest that it knows, as last met
        self.tls = tls
        self.now: MemberConnection | None = None  # greeted, and open
        self.dropped = 0
        self.why = "not tried yet"
        self.unread = 0  # bytes, when last looked
        self.read_s = 0.0  # when it last went down
        self.task = asyncio.get_running_loop().create_task(self._keep())

    def send(self, messages: Sequence[AnyMessage]) -> None:
        dialing = self.now
        if dialing is None or dialing.transport is None or dialing.closed:
            self.dropped += len(messages)
            return
        waiting = dialing.transport.get_write_buffer_size()
        if waiting > MOST_WAITING:
            self.dropped += len(messages)
            return
        now = time.monotonic()
        if waiting == 0 or waiting < self.unread:
            self.read_s = now
        elif now - self.read_s > STUCK_S:
            self.why = f"nothing was read for {STUCK_S:.0f} s"
            dialing.transport.abort()
            return
        dialing.transport.write(b"".join(dialing.encoder.frame(pack(m)) for m in messages))
        self.unread = dialing.transport.get_write_buffer_size()

    async def _keep(self) -> None:
        wait = BACKOFF_S[0]
        said = ""
        while True:
            try:
                self.why = await self._once()
                wait = BACKOFF_S[0]
            except (OSError, TimeoutError, Malformed, ssl.SSLError) as error:
                self.why = str(error) or "no connection in time"
            finally:
                self.now = None
            if self.why != said:
                log.warning("node %x at %s: %s", self.node, self.address, self.why)
                said = self.why
            await asyncio.sleep(wait * random.uniform(0.5, 1.0))
            wait = min(2 * wait, BACKOFF_S[1])

    async def _once(self) -> str:
        """One connection's life; why it ended."""
        dialing = MemberConnection(self.hello(), self.node, self.least())
        loop = asyncio.get_running_loop()
        host, port = split_address(self.reach)
        try:
            async with asyncio.timeout(CONNECT_S):
                await loop.create_connection(lambda: dialing, host, port, ssl=self.tls())
                await dialing.welcomed
            self.now, self.read_s, self.unread = dialing, time.monotonic(), 0
            self.format = dialing.format
            log.info("node %x at %s: connected", self.node, self.address)
            await dialing.ended
        finally:
            dialing.abort()
        return "the connection was closed"

    def close(self) -> None:
        self.task.cancel()
        if self.now is not None:
            self.now.abort()
