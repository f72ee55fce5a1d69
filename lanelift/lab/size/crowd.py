"""Many watchers in one process: connections to a node that greet, watch and count what they are told, and do
nothing else with it, so that the node stays what is measured."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from lanelift.settings import split_address
from lanelift.store.dial import Dial
from lanelift.store.wire import protocol
from lanelift.store.wire.frames import HEAD
from lanelift.store.wire.protocol import Changes, Failed, Hello, Watch, unpack_reply

TOGETHER = 64  # connections that are made at a time: a listener's backlog holds 128
PATIENCE_S = 30.0


class Watcher(Dial):
    """One connection with one watch."""

    def __init__(self, prefix: str, after: int, told: Callable[[int], None]) -> None:
        super().__init__(Hello(protocol.FORMAT, "", 0, "", "crowd"))
        self.prefix, self.after, self.told = prefix, after, told
        self.bytes = 0
        self.kinds: Counter[str] = Counter()  # changes, by the first part of their keys

    def watch(self) -> None:
        assert self.transport is not None
        self.transport.write(self.sender.frame(protocol.pack(Watch(1, 0, self.prefix, self.after))))

    def heard(self, payload: bytes) -> None:
        self.bytes += HEAD.size + len(payload)
        reply = unpack_reply(payload)
        if isinstance(reply, Failed):
            raise ValueError(reply.text)
        if isinstance(reply, Changes) and reply.changes:
            self.kinds.update(c.key.partition("/")[0] for c in reply.changes)
            self.told(len(reply.changes))


class Crowd:
    """Watchers of one prefix at one node."""

    def __init__(self, address: str, prefix: str) -> None:
        self.address, self.prefix = address, prefix
        self.watchers: list[Watcher] = []
        self.told = 0  # changes, over all watchers
        self.awaited = 0
        self.all_told = asyncio.Event()

    def _told(self, count: int) -> None:
        self.told += count
        if self.told >= self.awaited:
            self.all_told.set()

    async def grow(self, size: int, after: int) -> None:
        """To so many in all; the new ones watch from revision `after` on. Raises OSError, TimeoutError."""
        host, port = split_address(self.address)
        loop = asyncio.get_running_loop()
        places = asyncio.Semaphore(TOGETHER)

        async def one() -> None:
            async with places:
                watcher = Watcher(self.prefix, after, self._told)
                await loop.create_connection(lambda: watcher, host, port)
                await watcher.welcomed
                watcher.watch()
                self.watchers.append(watcher)

        async with asyncio.timeout(PATIENCE_S):
            await asyncio.gather(*(one() for _ in range(size - len(self.watchers))))

    @property
    def bytes(self) -> int:
        return sum(w.bytes for w in self.watchers)

    @property
    def kinds(self) -> Counter[str]:
        """Changes by the first part of their keys, over all watchers."""
        return sum((w.kinds for w in self.watchers), Counter())

    def expect(self, changes: int) -> None:
        """So many changes more, to each."""
        self.awaited = self.told + changes * len(self.watchers)
        self.all_told.clear()

    async def heard(self, began: float) -> float:
        """Seconds from `began`, of `time.perf_counter`, until the last has heard what was expected. Raises
        TimeoutError."""
        async with asyncio.timeout(PATIENCE_S):
            await self.all_told.wait()
        return time.perf_counter() - began

    async def close(self) -> None:
        for watcher in self.watchers:
            watcher.abort()
        await asyncio.gather(*(w.ended for w in self.watchers))
        self.watchers.clear()
