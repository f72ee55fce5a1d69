"""A node's change feed: passes applied changes to the fan-out and its messages to subscribers.

The rows are read from the state once, outside the event loop. Operations that arrive during the
load are queued and executed in order when the load is complete. After that the fan-out receives
each applied change directly: a change costs one encoding per scope and one write per subscriber,
and no read of the state.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Final, Protocol, TypeVar

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
from loadbalancer.store.durable.rows import LoadedRows, WatchEvent
from loadbalancer.store.durable.state import State
from loadbalancer.store.replica import Replica
from loadbalancer.store.timer import WakeTimer

log = logging.getLogger(__name__)

T = TypeVar("T")

MIN_TIMER_NS: Final = 1_000_000  # shortest delay of the timer, 1 ms
MAX_LEADERLESS_MS: Final = 5_000  # without a leader for longer, this node's rows may be stale
Operation = Callable[[Fanout, int], None]


class ChangefeedHost(Protocol):
    """The interface of a node that the change feed uses."""

    @property
    def replica(self) -> Replica:
        """The replica."""

    @property
    def has_failed(self) -> bool:
        """Whether the node has stopped."""

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task."""

    async def query(self, read: Callable[[State], T]) -> T:
        """Read from the state as applied here."""


class Subscriber(Protocol):
    """A subscriber's connection."""

    def send_messages(self, sends: Sequence[Send]) -> None:
        """Send messages in one write."""

    def end_subscription(self, reason: str) -> None:
        """End the subscription and its connection."""


class ChangefeedServer:
    """The change feed of one node.

    The fan-out is created when the first subscriber connects or the first row exists.

    Args:
        cluster: The cluster's name, which is part of the cursors.
        host: The node.
        limits: Limits of the fan-out.

    Attributes:
        fanout: The rows and subscriptions; None until the rows are loaded.
        subscribers: Connections by subscriber number.
        failures: How often the feed was restarted after an unexpected error.
    """

    def __init__(self, cluster: str, host: ChangefeedHost, limits: FanoutLimits) -> None:
        self.fanout: Fanout | None = None
        self.subscribers: dict[int, Subscriber] = {}
        self.failures = 0
        self._cluster = cluster
        self._host = host
        self._limits = limits
        self._last_number = 0
        # Operations that arrived while rows are loaded; None if no load is running.
        self._queued: list[Operation] | None = None
        self._is_isolated = False  # no leader has been known for `MAX_LEADERLESS_MS`
        self._must_reload = False  # a snapshot was installed while rows were loaded
        self._is_woken = False
        self._timer = WakeTimer(self._wake)
        self._last_status: dict[str, Any] | None = None

    @property
    def is_loading(self) -> bool:
        """Whether rows are being loaded."""
        return self._queued is not None

    # ---- the store -------------------------------------------------------------------------------

    def start(self) -> None:
        """Start loading the rows, if any exist; must be called before entries are applied."""
        if self._host.replica.state.scan(PREFIX, "", 1):
            self._start_loading()

    def entries_applied(self, revision: int, events: Sequence[WatchEvent]) -> None:
        """Pass changes to the fan-out in the event-loop iteration in which they were applied."""
        if self.fanout is None and self._queued is None:
            if events:
                self._start_loading()
            return  # the load that was just started includes these changes
        changes = _feed_changes(events)

        def apply(fanout: Fanout, now_ns: int) -> None:
            if revision > fanout.revision:
                fanout.apply(revision, changes, now_ns)

        self._execute(apply)

    def snapshot_installed(self) -> None:
        """Reload the rows, because a snapshot replaced the state."""
        if self._queued is not None:
            self._must_reload = True
        elif self.fanout is not None:
            self._start_loading()

    def leader_checked(self, leaderless_ms: int) -> None:
        """End all subscriptions once when no leader has been known for `MAX_LEADERLESS_MS`.

        Bookmarks from a node that is cut off from the cluster would falsely confirm that its rows
        are current. Balancers that reconnect because they reach no other node receive the node's
        rows but no bookmarks.
        """
        was_isolated = self._is_isolated
        self._is_isolated = leaderless_ms > MAX_LEADERLESS_MS
        if self._is_isolated and not was_isolated and self.subscribers:
            log.warning(
                "change feed ends all subscriptions, no leader is known: leaderless_ms=%d "
                "subscribers=%d",
                leaderless_ms,
                len(self.subscribers),
            )
            self._end_subscriptions("this node knows of no leader")

    def _end_subscriptions(self, reason: str) -> None:
        for subscriber in list(self.subscribers.values()):
            subscriber.end_subscription(reason)

    def _start_loading(self) -> None:
        self._queued = []
        self._host.start_task(self._load_guarded())

    async def _load_guarded(self) -> None:
        try:
            await self._load()
        except Exception as error:  # noqa: BLE001 (the feed starts over, the store goes on)
            self._queued = None
            if not self._host.has_failed:
                self._fail(error)

    async def _load(self) -> None:
        start_s = time.monotonic()
        fanout = self.fanout or Fanout(self._cluster, self._limits, time.monotonic_ns())
        while True:
            self._must_reload = False
            # Changes that are applied before the state is read are both in the rows and in the
            # queue; later changes are only in the queue.
            loaded = await self._host.query(State.rows)
            await asyncio.get_running_loop().run_in_executor(None, _load_fanout, fanout, loaded)
            if not self._must_reload:
                break
        queued = self._queued or []
        self._queued = None
        self.fanout = fanout
        log.info(
            "change feed loaded: rows=%d revision=%d load_ms=%.0f",
            len(loaded.rows),
            loaded.revision,
            (time.monotonic() - start_s) * 1000,
        )
        for operation in queued:
            self._execute(operation)
        self._wake()

    # ---- subscribers -----------------------------------------------------------------------------

    def add_subscriber(self, subscriber: Subscriber) -> int:
        """Register a subscriber and return its number, starting at 1."""
        self._last_number += 1
        self.subscribers[self._last_number] = subscriber
        if self.fanout is None and self._queued is None:
            self._start_loading()
        return self._last_number

    def message_received(self, number: int, message: bytes) -> None:
        """Handle a subscriber's message."""

        def receive(fanout: Fanout, now_ns: int) -> None:
            try:
                if number in self.subscribers:
                    fanout.receive(number, message, now_ns)
            except FeedProtocolError as error:
                self.subscribers[number].end_subscription(str(error))

        self._execute(receive)

    def set_writable(self, number: int, is_writable: bool) -> None:
        """Record whether a subscriber's connection accepts more data."""
        self._execute(lambda fanout, now_ns: fanout.set_writable(number, is_writable, now_ns))

    def remove_subscriber(self, number: int) -> None:
        """Remove a subscriber whose connection was closed."""
        if self.subscribers.pop(number, None) is not None:
            self._execute(lambda fanout, now_ns: fanout.remove(number, now_ns))

    # ---- one iteration ---------------------------------------------------------------------------

    def _execute(self, operation: Operation) -> None:
        """Execute an operation immediately, or queue it until the rows are loaded."""
        if self._queued is not None:
            self._queued.append(operation)
        elif self.fanout is not None:
            try:
                operation(self.fanout, time.monotonic_ns())
            except Exception as error:  # noqa: BLE001 (the feed starts over, the store goes on)
                self._fail(error)
            self._wake()

    def _wake(self) -> None:
        if not self._is_woken:
            self._is_woken = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_woken = False
        if self.fanout is None or self._queued is not None:
            return
        try:
            self._send_due(self.fanout)
        except Exception as error:  # noqa: BLE001 (the feed starts over, the store goes on)
            self._fail(error)

    def _send_due(self, fanout: Fanout) -> None:
        now_ns = time.monotonic_ns()
        if fanout.wake_ns is not None and fanout.wake_ns <= now_ns:
            fanout.tick(now_ns)
        sends_by_subscriber: dict[int, list[Send]] = {}
        for send in fanout.take_sends():
            if self._is_isolated and isinstance(unpack_server_message(send.payload), Bookmark):
                continue
            sends_by_subscriber.setdefault(send.subscriber, []).append(send)
        for number, sends in sends_by_subscriber.items():
            subscriber = self.subscribers.get(number)
            if subscriber is not None:
                subscriber.send_messages(sends)
        if fanout.wake_ns is not None:
            self._timer.schedule(max(fanout.wake_ns, now_ns + MIN_TIMER_NS), now_ns)

    def _fail(self, error: Exception) -> None:
        """Discard the fan-out after an unexpected error; the store keeps running."""
        log.error("change feed failed and starts over", exc_info=error)
        self.failures += 1
        self.fanout = None
        self._end_subscriptions(f"the node's feed begins anew: {type(error).__name__}")

    def status(self) -> dict[str, Any] | None:
        """Return the feed's status; None if the feed is not in use yet."""
        if self.fanout is not None and self._queued is None:
            self.fanout.tick(time.monotonic_ns())
            self._wake()
            self._last_status = self._encode_status(self.fanout.status())
        elif self._queued is not None and self._last_status is None:
            return self._encode_status(self._loading_status())
        return self._last_status

    def _loading_status(self) -> FeedStatus:
        """Return the status during the first load, when no subscriber has received rows."""
        count = len(self.subscribers)
        return structs.replace(
            Fanout(self._cluster, self._limits, 0).status(),
            subscribers=count,
            acknowledged=((0, count),) if count else (),
        )

    def _encode_status(self, status: FeedStatus) -> dict[str, Any]:
        return {**msgspec.to_builtins(status), "failures": self.failures}

    def close(self) -> None:
        """Cancel the timer."""
        self._timer.cancel()


def _feed_changes(events: Sequence[WatchEvent]) -> list[FeedChange]:
    return [FeedChange(event.revision, event.key, event.version, event.value) for event in events]


def _load_fanout(fanout: Fanout, loaded: LoadedRows) -> None:
    changes = _feed_changes(loaded.events)
    snapshot = StoreSnapshot(loaded.revision, loaded.rows, loaded.base, changes)
    fanout.load(snapshot, time.monotonic_ns())
