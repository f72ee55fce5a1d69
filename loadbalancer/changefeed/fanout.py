"""A node's side of the changefeed: the subscribers, their scopes, and the messages they are sent.

The module does no I/O: its inputs are the store's changes, the subscribers' messages and the
current time; its output is messages for subscribers. A change costs one encoding per scope and one
`Send` per watcher; an idle subscriber costs a periodic bookmark. If a subscriber can't receive
more, its changed scopes are marked, and it is sent their latest state once it can. Within a scope a
subscriber receives complete revisions only, in order, some of them coalesced; there is no ordering
guarantee *across* scopes. Deltas are sent immediately; snapshots wait in a queue with a rate limit
in bytes.

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
# Heap entries beyond twice the number of subscribers at which stale ones are removed.
MAX_STALE_PARKED_ENTRIES: Final = 64


class Fanout:
    """Sends the changes of the store to the subscribers of a node."""

    def __init__(self, epoch: str, limits: FanoutLimits, now: int) -> None:
        self.epoch = epoch
        self.limits = limits
        self.cache = WatchCache(limits)
        self.subscribers: dict[int, Subscriber] = {}
        self._delivery = Delivery(self.cache, limits, now)
        self.patches = self._delivery.patches
        self._bookmark_due_ns: OrderedDict[Subscriber, int] = OrderedDict()
        # Heap of parked subscribers: the revision that each needs, and a sequence number as
        # tie-breaker.
        self._parked: list[tuple[int, int, Subscriber]] = []
        self._parked_sequence = 0
        self._refusing_subscribers: dict[Subscriber, None] = {}
        self._rejected_connections: set[int] = set()
        self._now = now
        self._resumes = 0
        self._retry_later_count = 0

    # The store

    def load(self, snapshot: StoreSnapshot, now: int) -> None:
        """Load all rows of the store, at startup and after the store installed a snapshot.

        Subscribers stay subscribed. If the snapshot's changes continue from the current revision,
        only those changes are applied.

        Raises:
            ValueError: The snapshot is older than the current revision.
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
        """Apply the store's changes up to `revision`: complete revisions, in order.

        It must be called even if no row changed, because a subscriber that comes from a node with a
        higher revision is parked until this node reaches that revision.

        Raises:
            ValueError: The revision is not newer than the current revision.
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
        """The store's revision up to which this node has applied changes."""
        return self.cache.revision

    # Subscribers

    def receive(self, number: int, payload: bytes, now: int) -> None:
        """Handle a message of a subscriber.

        Args:
            number: Number of the connection.
            payload: The encoded message.
            now: The current time.

        Raises:
            FeedProtocolError: The caller must close the connection and call `remove`.
        """
        self._now = now
        message = parse_message(payload)
        subscriber = self.subscribers.get(number)
        if isinstance(message, Subscribe):
            if subscriber is not None:
                raise FeedProtocolError("a second subscription on one connection")
            self._subscribe(number, message, now)
        elif subscriber is None:
            if number not in self._rejected_connections:  # the rejection may still be in flight
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
        """Start delivery to the parked subscribers whose revision the node has reached."""
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
            name: Name of the scope.
            cursor: Revision to resume from; 0 if a snapshot is needed.
            now: The current time.
            lag: The previous lag in the scope, whose floor and start time are kept.
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
        """Move a subscriber from the old scopes to the loaded ones.

        In scopes without lag it resumes from `revision_before_load`.
        """
        self._delivery.queue.leave(subscriber)
        for name in list(subscriber.scopes):
            lag = self._delivery.clear_lag(subscriber, name)
            if lag is None:
                self._watch(subscriber, name, revision_before_load, now)
            else:
                self._watch(subscriber, name, 0, now, lag)  # its cursor precedes the log
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
        """Record whether a connection is writable; send the delayed messages once it is."""
        self._now = now
        subscriber = self.subscribers.get(number)
        if subscriber is not None and subscriber.is_writable != is_writable:
            subscriber.is_writable = is_writable
            if is_writable:
                self._delivery.serve(subscriber, now)
        self._delivery.send_snapshots(now)

    def remove(self, number: int, now: int) -> None:
        """Remove the state of a closed connection."""
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
        """When `tick` must be called next; None if no timer is set."""
        due_ns = next(iter(self._bookmark_due_ns.values()), None)
        if not self._delivery.queue:
            return due_ns
        rate_admits_at = self._delivery.queue.rate_admits_at(self._now)
        return rate_admits_at if due_ns is None else min(due_ns, rate_admits_at)

    def take_sends(self) -> list[Send]:
        """Return the messages to send, in order, and clear the outbox.

        Some may be addressed to a connection that has closed in the meantime.
        """
        return self._delivery.take_sends()

    def status(self) -> FeedStatus:
        """Return the status of the feed. The cost is linear in the number of subscribers."""
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
