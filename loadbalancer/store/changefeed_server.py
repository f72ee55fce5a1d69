"""A node's feed: carries the fan-out's words to connections, and the store's changes to the
fan-out.

Rows are read from the state once, off the loop, and from then on only what was applied is told on;
all that comes meanwhile is held, in its order, and done once they are there. After that a change
costs one encoding a scope and one write for each who hears it; nobody asks the state for it.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from msgspec import structs

from loadbalancer.changefeed.fanout import (
    Fanout,
    FanoutLimits,
    FeedChange,
    FeedProtocolError,
    Send,
    StoreSnapshot,
)
from loadbalancer.changefeed.messages import PREFIX, Bookmark, unpack_server_message
from loadbalancer.changefeed.status import FeedStatus
from loadbalancer.store.durable.rows import Event, Loaded
from loadbalancer.store.durable.state import State

if TYPE_CHECKING:
    from loadbalancer.store.node import Node

log = logging.getLogger(__name__)

LEAST_NS = 1_000_000  # between two turns that a timer begins
LEADERLESS_MS = 5_000  # so long without a leader: what this node knows may be old
Act = Callable[[Fanout, int], None]


class Hearer(Protocol):
    """A subscriber's connection."""

    def tell(self, sends: Sequence[Send]) -> None:
        """In one write."""

    def end(self, why: str) -> None: ...


class Feeding:
    """One a node. There is no fan-out until somebody asks for the feed, or a row is there."""

    def __init__(self, node: Node, limits: FanoutLimits) -> None:
        self.node, self.limits = node, limits
        self.fanout: Fanout | None = None
        self.hearers: dict[int, Hearer] = {}
        self.numbers = 0
        self.failures = 0
        self.held: list[Act] | None = None  # while rows are loaded: what comes
        self.alone = False  # it has had no leader for long
        self.stale = False  # a snapshot of the store came while rows were loaded
        self.turning = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ns = 0
        self.last: dict[str, Any] | None = None  # status

    # ---- the store -------------------------------------------------------------------------------

    def start(self) -> None:
        """Before anything is applied."""
        if self.node.replica.state.scan(PREFIX, "", 1):
            self._load()

    def applied(self, revision: int, events: Sequence[Event]) -> None:
        """In the turn of the loop in which it was."""
        if self.fanout is None and self.held is None:
            if events:
                self._load()
            return  # they are among what is loaded
        changes = _changes(events)

        def act(fanout: Fanout, now: int) -> None:
            if revision > fanout.revision:
                fanout.apply(revision, changes, now)

        self._do(act)

    def installed(self) -> None:
        """A snapshot took the place of the state."""
        if self.held is not None:
            self.stale = True
        elif self.fanout is not None:
            self._load()

    def led(self, leaderless_ms: int) -> None:
        """How long this node has known of no leader. Cut off, it would say in good faith that there
        is nothing newer: balancers are sent elsewhere, once, and those that come back, as they
        reach nobody else, are told what it knows, and not that it is all there is.
        """
        alone, self.alone = self.alone, leaderless_ms > LEADERLESS_MS
        if self.alone and not alone and self.hearers:
            log.warning(
                "feed: no leader for %d ms, %d balancers are sent elsewhere",
                leaderless_ms,
                len(self.hearers),
            )
            for hearer in list(self.hearers.values()):
                hearer.end("this node knows of no leader")

    def _load(self) -> None:
        self.held = []
        self.node.task(self._loaded())

    async def _loaded(self) -> None:
        try:
            await self._loading()
        except Exception as error:
            self.held = None
            if not self.node.failed.done():
                self._fail(error)

    async def _loading(self) -> None:
        began = time.monotonic()
        fanout = self.fanout or Fanout(self.node.identity.cluster, self.limits, time.monotonic_ns())
        while True:
            self.stale = False
            # What is applied before the state is looked at is among this, and held as well; the
            # rest is held.
            loaded = await self.node.query(State.rows)
            await asyncio.get_running_loop().run_in_executor(None, _fill, fanout, loaded)
            if not self.stale:
                break
        held, self.held = self.held or [], None
        self.fanout = fanout
        log.info(
            "feed: %d rows as of revision %d, loaded in %.0f ms",
            len(loaded.rows),
            loaded.revision,
            (time.monotonic() - began) * 1000,
        )
        for act in held:
            self._do(act)
        self._wake()

    # ---- subscribers -----------------------------------------------------------------------------

    def begin(self, hearer: Hearer) -> int:
        """The number of a new subscriber."""
        self.numbers += 1
        self.hearers[self.numbers] = hearer
        if self.fanout is None and self.held is None:
            self._load()
        return self.numbers

    def heard(self, number: int, word: bytes) -> None:
        def act(fanout: Fanout, now: int) -> None:
            try:
                if number in self.hearers:
                    fanout.receive(number, word, now)
            except FeedProtocolError as error:
                self.hearers[number].end(str(error))

        self._do(act)

    def writable(self, number: int, on: bool) -> None:
        self._do(lambda fanout, now: fanout.set_writable(number, on, now))

    def gone(self, number: int) -> None:
        if self.hearers.pop(number, None) is not None:
            self._do(lambda fanout, now: fanout.remove(number, now))

    # ---- the loop's turn -------------------------------------------------------------------------

    def _do(self, act: Act) -> None:
        """At once, or when the rows are there."""
        if self.held is not None:
            self.held.append(act)
        elif self.fanout is not None:
            try:
                act(self.fanout, time.monotonic_ns())
            except Exception as error:
                self._fail(error)
            self._wake()

    def _wake(self) -> None:
        if not self.turning:
            self.turning = True
            self.node.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self.turning = False
        if self.fanout is None or self.held is not None:
            return
        try:
            self._carry_out(self.fanout)
        except Exception as error:
            self._fail(error)

    def _carry_out(self, fanout: Fanout) -> None:
        now = time.monotonic_ns()
        wake_ns = fanout.wake_ns
        if wake_ns is not None and wake_ns <= now:
            fanout.tick(now)
        by: dict[int, list[Send]] = {}
        for send in fanout.take_sends():
            if self.alone and isinstance(unpack_server_message(send.payload), Bookmark):
                continue
            by.setdefault(send.subscriber, []).append(send)
        for number, sends in by.items():
            hearer = self.hearers.get(number)
            if hearer is not None:
                hearer.tell(sends)
        wake_ns = fanout.wake_ns
        if wake_ns is None:
            return
        wake_ns = max(wake_ns, now + LEAST_NS)
        if self.timer is None or wake_ns < self.timer_ns:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_ns = wake_ns
            self.timer = self.node.loop.call_later((wake_ns - now) / 1e9, self._timed)

    def _timed(self) -> None:
        self.timer = None
        self._wake()

    def _fail(self, error: Exception) -> None:
        """What nobody thought of: the feed begins anew, and the store goes on."""
        log.exception("the feed fails, and begins anew")
        self.failures += 1
        self.fanout = None
        for hearer in list(self.hearers.values()):
            hearer.end(f"the node's feed begins anew: {type(error).__name__}")

    def status(self) -> dict[str, Any] | None:
        """None: nobody asked for the feed yet, and there are no rows."""
        if self.fanout is not None and self.held is None:
            self.fanout.tick(time.monotonic_ns())
            self._wake()
            self.last = self._told(self.fanout.status())
        elif self.held is not None and self.last is None:  # nobody has anything of it yet
            empty, count = (
                Fanout(self.node.identity.cluster, self.limits, 0).status(),
                len(self.hearers),
            )
            return self._told(
                structs.replace(
                    empty, subscribers=count, acknowledged=((0, count),) if count else ()
                )
            )
        return self.last

    def _told(self, status: FeedStatus) -> dict[str, Any]:
        return {**msgspec.to_builtins(status), "failures": self.failures}

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()


def _changes(events: Sequence[Event]) -> list[FeedChange]:
    return [FeedChange(one.revision, one.key, one.version, one.value) for one in events]


def _fill(fanout: Fanout, loaded: Loaded) -> None:
    changes = _changes(loaded.events)
    fanout.load(
        StoreSnapshot(loaded.revision, loaded.rows, loaded.base, changes), time.monotonic_ns()
    )
