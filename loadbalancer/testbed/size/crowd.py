"""Many connections to a node in one process, that greet, ask and count what they are told, and do
nothing else with it, so that the node stays what is measured.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from loadbalancer.settings import split_address
from loadbalancer.store.handshake import DialedConnection
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.frames import FRAME_HEADER
from loadbalancer.store.wire.protocol import (
    AnyReply,
    Changes,
    Hello,
    RequestFailed,
    Watch,
    Welcome,
    unpack_reply,
)

TOGETHER = 64  # connections that are made at a time: a listener's backlog holds 128
PATIENCE_S = 30.0


class Hearer(DialedConnection):
    """A connection that counts what comes. `bytes`: of frames, since it was greeted."""

    def __init__(self, name: str) -> None:
        super().__init__(Hello(protocol.PROTOCOL_VERSION, "", 0, "", name))
        self.bytes = 0

    def payload_received(self, payload: bytes) -> None:
        self.bytes += FRAME_HEADER.size + len(payload)
        reply = unpack_reply(payload)
        if isinstance(reply, RequestFailed):
            raise ValueError(reply.text)
        self.replied(reply)

    def replied(self, reply: AnyReply) -> None:
        raise NotImplementedError


T = TypeVar("T", bound=Hearer)


class Hearers(Generic[T]):
    """Many of them at one node. `heard`: how often any was told something."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.all: list[T] = []
        self.heard = self.awaited = 0
        self.all_heard = asyncio.Event()

    def hears(self, count: int) -> None:
        self.heard += count
        if self.heard >= self.awaited:
            self.all_heard.set()

    async def connect(self, new: Sequence[T], begin: Callable[[T, Welcome], None]) -> None:
        """Raises OSError."""
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        places = asyncio.Semaphore(TOGETHER)

        async def one(hearer: T) -> None:
            async with places:
                await loop.create_connection(lambda: hearer, host, port)
                begin(hearer, await hearer.welcomed)

        self.all += new
        await asyncio.gather(*map(one, new))

    @property
    def bytes(self) -> int:
        return sum(hearer.bytes for hearer in self.all)

    def expect(self, count: int = 1) -> None:
        """So often more, each of them."""
        self.awaited = self.heard + count * len(self.all)
        self.all_heard.clear()

    async def last(self, began: float) -> float:
        """Seconds from `began`, of `time.perf_counter`, until the last has heard what was expected.
        Raises TimeoutError.
        """
        async with asyncio.timeout(PATIENCE_S):
            await self.all_heard.wait()
        return time.perf_counter() - began

    async def close(self) -> None:
        for hearer in self.all:
            hearer.abort()
        await asyncio.gather(*(hearer.ended for hearer in self.all))
        self.all.clear()


class Watcher(Hearer):
    """One connection with one watch."""

    def __init__(self, prefix: str, after: int, told: Callable[[int], None]) -> None:
        super().__init__("crowd")
        self.prefix, self.after, self.told = prefix, after, told
        self.kinds: Counter[str] = Counter()  # changes, by the first part of their keys

    def watch(self) -> None:
        assert self.transport is not None
        self.transport.write(
            self.encoder.frame(protocol.pack(Watch(1, 0, self.prefix, self.after)))
        )

    def replied(self, reply: AnyReply) -> None:
        if isinstance(reply, Changes) and reply.changes:
            self.kinds.update(c.key.partition("/")[0] for c in reply.changes)
            self.told(len(reply.changes))


class Crowd(Hearers[Watcher]):
    """Watchers of one prefix at one node; each change counts."""

    def __init__(self, address: str, prefix: str) -> None:
        super().__init__(address)
        self.prefix = prefix

    async def grow(self, size: int, after: int) -> None:
        """To so many in all; the new ones watch from revision `after` on. Raises OSError,
        TimeoutError.
        """
        new = [Watcher(self.prefix, after, self.hears) for _ in range(size - len(self.all))]
        async with asyncio.timeout(PATIENCE_S):
            await self.connect(new, lambda watcher, welcome: watcher.watch())

    @property
    def kinds(self) -> Counter[str]:
        """Changes by the first part of their keys, over all watchers."""
        return sum((w.kinds for w in self.all), Counter())
