"""What a connection reads of the state: rows, pages of them, and watches."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loadbalancer.store.durable.state import Compacted, Item, State
from loadbalancer.store.errors import DeadlineExceededError
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import Change, Changes, FailureCode, Row, Watch

if TYPE_CHECKING:
    from loadbalancer.store.server import Connection

PROGRESS_S = 5.0  # a watch with nothing to tell says so often how far it has looked


class WatchSession:
    """One watch: tells every change behind a revision, as fast as its client reads and no faster. A
    client that falls behind what is kept is told so, and has to read anew.
    """

    def __init__(self, connection: Connection, r: Watch) -> None:
        self.connection = connection
        self.id = r.id
        self.prefix = r.prefix
        self.after = r.after
        self.told = time.monotonic()
        self.paused = self.stopped = False
        self.looking: asyncio.Task[None] | None = None
        self.again = False
        connection.node.watchers[self] = self.prefix, self.poke
        self.timer = connection.node.loop.call_later(PROGRESS_S, self._progress)
        self.poke()

    def poke(self) -> None:
        if self.stopped or self.paused:
            return
        if self.looking is not None and not self.looking.done():
            self.again = True
            return
        self.looking = self.connection.node.loop.create_task(self._look())

    def _progress(self) -> None:
        self.timer = self.connection.node.loop.call_later(PROGRESS_S, self._progress)
        if time.monotonic() - self.told > PROGRESS_S / 2 and not self.paused:
            self.told = 0.0
            self.poke()

    async def _look(self) -> None:
        node = self.connection.node
        while not self.stopped and not self.paused:
            self.again = False
            try:
                events, applied = await node.query(
                    lambda s: (s.events(self.prefix, self.after), s.applied)
                )
            except DeadlineExceededError:
                return  # its connection closes
            except Compacted as error:
                self.connection.fail(self.id, FailureCode.COMPACTED, str(error))
                self.connection.watches.pop(self.id, None)
                self.stop()
                return
            if events:
                # A page may end before what is applied; then there is more to tell.
                upto = events[-1].revision
                changes = tuple(Change(e.revision, e.key, e.version, e.value) for e in events)
                self._tell(Changes(self.id, changes, upto))
                continue
            if applied > self.after:
                self.after = applied
            if self.told == 0.0:
                self._tell(Changes(self.id, (), self.after))
            if not self.again:
                return

    def _tell(self, changes: Changes) -> None:
        self.after, self.told = changes.revision, time.monotonic()
        if not self.stopped:
            self.connection.send(changes)

    def stop(self) -> None:
        self.stopped = True
        self.timer.cancel()
        self.connection.node.watchers.pop(self, None)


def row(item: Item | None, key: str) -> Row:
    if item is None:
        return Row(key, None, 0, 0)
    return Row(
        item.key, item.value, item.version, item.revision, item.time_ms, item.author, item.note
    )


def scan(state: State, prefix: str, after: str, most: int) -> tuple[tuple[Row, ...], bool]:
    """A page: so many keys at most, and no more bytes than one answer takes."""
    most = max(1, min(most, 1000))
    found: list[Row] = []
    size = 0
    for item in state.scan(prefix, after, most):
        size += len(item.value or b"") + len(item.key)
        if found and size > protocol.MAX_PAGE_BYTES:
            return tuple(found), True
        found.append(row(item, item.key))
    return tuple(found), len(found) == most
