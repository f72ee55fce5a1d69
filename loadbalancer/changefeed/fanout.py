"""A node's side of the changefeed: who is subscribed to which scopes, and what each is sent.

Pure: the store's changes and the subscribers' messages go in with the clock, messages for
subscribers come out. A change costs one encoding a scope and one `Send` for each who watches it;
an idle subscriber costs a bookmark now and then. The scopes of a subscriber that can't take more
are marked, and it is sent their last state when it can: in each scope it sees complete revisions
only, in order, some of them coalesced; *across* scopes no order is promised. Deltas are sent at
once; snapshots wait in a queue with a rate limit in bytes.

All times are those of a monotonic clock, in nanoseconds.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Sequence
from typing import Final

from loadbalancer.changefeed.cache import StoreSnapshot, WatchCache
from loadbalancer.changefeed.delivery import Delivery, Send
from loadbalancer.changefeed.limits import FanoutLimits
from loadbalancer.changefeed.messages import Acknowledge, Subscribe, UpdateScopes
from loadbalancer.changefeed.scope import UNKNOWN, FeedChange
from loadbalancer.changefeed.status import (
    MAX_REFUSED_ROWS,
    FeedStatus,
    RefusedRow,
    compute_progress,
)
from loadbalancer.changefeed.subscriber import ScopeLag, Subscriber
from loadbalancer.changefeed.validation import (
    FeedProtocolError,
    parse_message,
    validate_acknowledge,
    validate_subscribe,
    validate_update,
)

__all__ = [
    "Fanout",
    "FanoutLimits",
    "FeedChange",
    "FeedProtocolError",
    "Send",
    "StoreSnapshot",
]
MAX_STALE_PARKED_ENTRIES: Final = (
    64  # heap entries of subscribers that left, beside those that are there
)


class Fanout:
    """Sends the changes of the store to the subscribers of a node."""

    def __init__(self, epoch: str, limits: FanoutLimits, now: int) -> None:
        self.epoch = epoch
        self.limits = limits
        self.cache = WatchCache(limits)
        self.subscribers: dict[int, Subscriber] = {}
        self._delivery = Delivery(self.cache, limits, now)
        self.patches = self._delivery.patches
        self._bookmark_due_ns: OrderedDict[Subscriber, int] = OrderedDict()  # when the next is due
        # Heap of parked subscribers: the revision that each needs, and the order of arrival.
        self._parked: list[tuple[int, int, Subscriber]] = []
        self._parked_sequence = 0
        self._refusing_subscribers: dict[Subscriber, None] = {}
        self._rejected_connections: set[int] = (
            set()
        )  # connections whose subscription was not accepted
        self._now = now
        self._resumes = 0
        self._retry_later_count = 0

    # The store

    def load(self, snapshot: StoreSnapshot, now: int) -> None:
        """Take all rows of the store: at the start, and after a snapshot of it was installed.

        Subscribers stay. Where the snapshot's changes continue from what is known, only these are
        applied.

        Raises:
            ValueError: The snapshot is older than what is known.
        """
        revision = snapshot.revision
        base = snapshot.base
        if revision < self.revision or not 0 <= base <= revision:
            raise ValueError(
                f"rows of revision {revision} on a base of {base}, after {self.revision}"
            )
        self._now = now
        revision_before_load = self.revision
        if revision_before_load > 0 and base <= revision_before_load:
            if revision > revision_before_load:
                changes = [
                    one
                    for one in snapshot.changes
                    if revision_before_load < one.revision <= revision
                ]
                self.apply(revision, changes, now)
            return
        self.patches.clear()
        old_scopes = self.cache.load(snapshot)
        self.cache.trim(self.cache.scopes.values())
        for subscriber in self.subscribers.values():
            if subscriber.parked_cursors is None:
                self._move_to_loaded_scopes(subscriber, revision_before_load, now)
        for name in old_scopes:
            self.cache.discard_if_unused(self.cache.scopes[name])
        self._release_parked(now)
        self._delivery.send_snapshots(now)

    def apply(self, revision: int, changes: Sequence[FeedChange], now: int) -> None:
        """Apply what the store changed up to `revision`: complete revisions, in order.

        It is called also where no row changed: a subscriber that comes from a node that is further
        is parked until this one reaches its revision.

        Raises:
            ValueError: The revision is not newer than what is known.
        """
        if revision <= self.revision:
            raise ValueError(f"revision {revision} comes after {self.revision}")
        self._now = now
        changed_scopes = self.cache.apply(revision, changes)
        for scope, change in changed_scopes.items():
            self._delivery.broadcast(
                scope, change.previous_revision, change.first_revision - 1, now
            )
        self.cache.trim(changed_scopes)
        self._release_parked(now)
        self._delivery.send_snapshots(now)

    @property
    def revision(self) -> int:
        """The store's revision that is known here."""
        return self.cache.revision

    # Subscribers

    def receive(self, number: int, payload: bytes, now: int) -> None:
        """Handle a message of a subscriber.

        Args:
            number: Of its connection.
            payload: The message.
            now: The clock.

        Raises:
            FeedProtocolError: The connection is to be closed, and `remove` to be called.
        """
        self._now = now
        message = parse_message(payload)
        subscriber = self.subscribers.get(number)
        if isinstance(message, Subscribe):
            if subscriber is not None:
                raise FeedProtocolError("a second subscription on one connection")
            self._subscribe(number, message, now)
        elif subscriber is None:
            if (
                number not in self._rejected_connections
            ):  # it may not have received the rejection yet
                raise FeedProtocolError("a subscription begins with Subscribe")
        elif isinstance(message, UpdateScopes):
            self._update_scopes(subscriber, message, now)
        else:
            self._acknowledge(subscriber, message, now)
        self._delivery.send_snapshots(now)

    def _subscribe(self, number: int, message: Subscribe, now: int) -> None:
        cursors = validate_subscribe(message)
        if message.epoch != self.epoch:
            cursors = dict.fromkeys(cursors, 0)
        needed_bytes = sum(
            self.cache.snapshot_bytes_needed(name, cursor) for name, cursor in cursors.items()
        )
        is_full = len(self.subscribers) >= self.limits.subscribers_most
        if is_full or (needed_bytes and self._delivery.queue.is_full):
            self._retry_later_count += 1
            self._rejected_connections.add(number)
            self._delivery.send_retry_later(number, needed_bytes, now)
            return
        subscriber = self.subscribers[number] = Subscriber(number, message.name)
        self._bookmark_due_ns[subscriber] = now + self.limits.bookmark_ns
        if max(cursors.values(), default=0) > self.revision:
            self._park(subscriber, cursors, now)
        else:
            self._start_delivery(subscriber, cursors, now)

    def _park(self, subscriber: Subscriber, cursors: dict[str, int], now: int) -> None:
        subscriber.parked_cursors = cursors
        subscriber.parked_at_ns = now
        if len(self._parked) > 2 * len(self.subscribers) + MAX_STALE_PARKED_ENTRIES:
            self._parked = [one for one in self._parked if one[2].parked_cursors is not None]
            heapq.heapify(self._parked)
        self._parked_sequence += 1
        heapq.heappush(self._parked, (max(cursors.values()), self._parked_sequence, subscriber))
        self._delivery.send_replica_behind(subscriber)

    def _release_parked(self, now: int) -> None:
        """Serve the parked subscribers that the node has caught up with."""
        while self._parked and self._parked[0][0] <= self.revision:
            subscriber = heapq.heappop(self._parked)[2]
            cursors = subscriber.parked_cursors
            if cursors is not None and max(cursors.values(), default=0) <= self.revision:
                subscriber.parked_cursors = None
                self._start_delivery(subscriber, cursors, now)

    def _start_delivery(self, subscriber: Subscriber, cursors: dict[str, int], now: int) -> None:
        for name, cursor in cursors.items():
            self._watch(subscriber, name, cursor, now)
        subscriber.bookmark_due = True
        self._delivery.serve(subscriber, now)

    def _watch(
        self,
        subscriber: Subscriber,
        name: str,
        cursor: int,
        now: int,
        lag: ScopeLag | None = None,
    ) -> None:
        """Add a subscriber to the watchers of a scope.

        Args:
            subscriber: The subscriber.
            name: Of the scope.
            cursor: Where it starts; 0 where nothing is known.
            now: The clock.
            lag: How it lagged in the scope already, if it did.
        """
        scope = self.cache.scope(name)
        scope.watchers[subscriber] = None
        subscriber.scopes[name] = scope
        since_ns = now if lag is None else lag.since_ns
        floor = cursor if lag is None else lag.floor
        if not cursor or not scope.covers(cursor):
            self._delivery.request_snapshot(subscriber, scope, ScopeLag(UNKNOWN, floor, since_ns))
            return
        self._resumes += 1
        if cursor < max(scope.revision, scope.base):
            if lag is None:
                floor = scope.last_revision_before_change(cursor)
            subscriber.dirty[name] = ScopeLag(cursor, floor, since_ns)

    def _unwatch(self, subscriber: Subscriber, name: str) -> None:
        scope = subscriber.scopes.pop(name)
        scope.watchers.pop(subscriber, None)
        self._delivery.clear_lag(subscriber, name)
        self.cache.discard_if_unused(scope)

    def _move_to_loaded_scopes(
        self, subscriber: Subscriber, revision_before_load: int, now: int
    ) -> None:
        """Move a subscriber to the scopes as they were loaded.

        Where it was up to date, it was so at `revision_before_load`.
        """
        self._delivery.queue.leave(subscriber)
        for name in list(subscriber.scopes):
            lag = self._delivery.clear_lag(subscriber, name)
            if lag is None:
                self._watch(subscriber, name, revision_before_load, now)
            else:
                self._watch(subscriber, name, 0, now, lag)  # its cursor is older than the log
        subscriber.bookmark_due = True
        self._delivery.serve(subscriber, now)

    def _update_scopes(self, subscriber: Subscriber, message: UpdateScopes, now: int) -> None:
        added = validate_update(message, subscriber, self.revision)
        subscriber.generation = message.generation
        parked_cursors = subscriber.parked_cursors
        if parked_cursors is not None:
            for name in message.remove:
                del parked_cursors[name]
            parked_cursors |= added
            subscriber.parked_cursors = None
            if max(parked_cursors.values(), default=0) > self.revision:
                self._park(subscriber, parked_cursors, now)
            else:
                self._start_delivery(subscriber, parked_cursors, now)
            return
        for name in message.remove:
            self._unwatch(subscriber, name)
            subscriber.ignore_in_flight(name)
        for name in added:
            if name in subscriber.scopes:
                self._delivery.clear_lag(subscriber, name)
                subscriber.ignore_in_flight(name)
        self._start_delivery(subscriber, added, now)

    def _acknowledge(self, subscriber: Subscriber, message: Acknowledge, now: int) -> None:
        validate_acknowledge(message, subscriber)
        subscriber.acknowledge(message.sequence)
        subscriber.refusals = message.refused
        if message.refused:
            self._refusing_subscribers[subscriber] = None
        else:
            self._refusing_subscribers.pop(subscriber, None)
        self._delivery.serve(subscriber, now)

    def set_writable(self, number: int, is_writable: bool, now: int) -> None:
        """Note whether a connection takes more; what was held back is sent when it does."""
        self._now = now
        subscriber = self.subscribers.get(number)
        if subscriber is not None and subscriber.is_writable != is_writable:
            subscriber.is_writable = is_writable
            if is_writable:
                self._delivery.serve(subscriber, now)
        self._delivery.send_snapshots(now)

    def remove(self, number: int, now: int) -> None:
        """Forget a connection that ended."""
        self._now = now
        self._rejected_connections.discard(number)
        subscriber = self.subscribers.pop(number, None)
        if subscriber is None:
            return
        subscriber.parked_cursors = None
        self._delivery.queue.leave(subscriber)
        for name in list(subscriber.scopes):
            self._unwatch(subscriber, name)
        self._bookmark_due_ns.pop(subscriber, None)
        self._refusing_subscribers.pop(subscriber, None)
        self._delivery.send_snapshots(now)

    # Timers and output

    def tick(self, now: int) -> None:
        """Send the bookmarks and snapshots that are due."""
        self._now = now
        interval_ns = self.limits.bookmark_ns
        while self._bookmark_due_ns:
            subscriber, due_ns = next(iter(self._bookmark_due_ns.items()))
            if due_ns > now:
                break
            self._bookmark_due_ns[subscriber] = now + interval_ns
            self._bookmark_due_ns.move_to_end(subscriber)
            in_flight = subscriber.unacknowledged
            is_stalled = bool(in_flight) and in_flight[0].sent_at_ns <= now - interval_ns
            if is_stalled or not subscriber.is_writable:
                continue
            if subscriber.parked_cursors is not None:
                self._delivery.send_replica_behind(subscriber)
            else:
                self._delivery.send_bookmark(subscriber)
        self._delivery.send_snapshots(now)

    @property
    def wake_ns(self) -> int | None:
        """When `tick` has something to do; None: never."""
        due_ns = next(iter(self._bookmark_due_ns.values()), None)
        if not self._delivery.queue:
            return due_ns
        ready_at = self._delivery.queue.ready_at(self._now)
        return ready_at if due_ns is None else min(due_ns, ready_at)

    def take_sends(self) -> list[Send]:
        """Return and forget the messages to send, in order.

        One may be for a connection that has ended meanwhile.
        """
        return self._delivery.take_sends()

    def status(self) -> FeedStatus:
        """Return the progress of all subscribers. Visits each of them."""
        subscribers = self.subscribers.values()
        progress = compute_progress(subscribers, self.revision, self._now)
        refused = [
            RefusedRow(subscriber.name, refusal)
            for subscriber in self._refusing_subscribers
            for refusal in subscriber.refusals
        ]
        return FeedStatus(
            epoch=self.epoch,
            revision=self.revision,
            subscribers=len(subscribers),
            acknowledged=progress.acknowledged,
            laggards=progress.laggards,
            refusals=len(refused),
            refused=tuple(refused[:MAX_REFUSED_ROWS]),
            parked=sum(one.parked_cursors is not None for one in subscribers),
            waiting=sum(bool(one.pending) for one in subscribers),
            sent_bytes=self._delivery.sent_bytes,
            sent_messages=self._delivery.sent_messages,
            encoded=self.patches.encoded,
            resumes=self._resumes,
            snapshots=self._delivery.snapshots,
            later=self._retry_later_count,
        )
