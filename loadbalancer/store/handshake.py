"""The side that connects, a member's or a client's: it greets, is welcomed or told why not, and
then hears frames.
"""

from __future__ import annotations

import asyncio
from typing import cast

from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.frames import Receiver, Refused, Sender
from loadbalancer.store.wire.protocol import Declined, Hello, Welcome


class Dial(asyncio.Protocol):
    """One connection, until it ends. `welcomed` raises ConnectionError with the reason where it is
    not.
    """

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.sender, self.receiver = Sender(), Receiver()
        self.transport: asyncio.Transport | None = None
        loop = asyncio.get_running_loop()
        self.welcomed: asyncio.Future[Welcome] = loop.create_future()
        self.ended: asyncio.Future[None] = loop.create_future()
        self.why = "the connection was closed"

    @property
    def closed(self) -> bool:
        return self.transport is None or self.transport.is_closing()

    def wrong(self, welcome: Welcome) -> str:
        """Why this is not who was called; empty: it is."""
        return ""

    def heard(self, payload: bytes) -> None:
        """A frame after the welcome. Raises Refused, ValueError."""
        raise Refused("it speaks out of turn")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.sender.frame(protocol.pack(self.hello)))

    def data_received(self, data: bytes) -> None:
        self.receiver.feed(data)
        try:
            for payload in self.receiver.payloads():
                if self.welcomed.done():
                    self.heard(payload)
                else:
                    self._greeted(payload)
        except (Refused, ValueError) as error:
            self.end(" ".join(str(error).split()))

    def _greeted(self, payload: bytes) -> None:
        greeting = protocol.unpack_greeting(payload)
        if not isinstance(greeting, Welcome):
            raise Refused(
                greeting.text if isinstance(greeting, Declined) else "it speaks out of turn"
            )
        wrong = self.wrong(greeting)
        if wrong:
            raise Refused(wrong)
        self.sender.bind(greeting.nonce)
        self.receiver.bind(greeting.nonce)
        self.receiver.most = protocol.MOST_MESSAGE
        self.welcomed.set_result(greeting)

    def end(self, why: str) -> None:
        self.why = why
        self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.welcomed.done():
            self.welcomed.set_exception(ConnectionError(self.why))
            self.welcomed.exception()  # whoever waits hears of it; nobody may
        if not self.ended.done():
            self.ended.set_result(None)
