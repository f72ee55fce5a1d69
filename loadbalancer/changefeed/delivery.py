"""Sending to the subscribers of a node: deltas immediately, snapshots within a rate limit."""

from __future__ import annotations

import msgspec

from loadbalancer.changefeed.cache import WatchCache
from loadbalancer.changefeed.limits import FanoutLimits
from loadbalancer.changefeed.messages import Bookmark, Message, ReplicaBehind, RetryLater, pack
from loadbalancer.changefeed.patches import PatchCache
from loadbalancer.changefeed.snapshot_queue import SnapshotQueue
from loadbalancer.changefeed.subscriber import ScopeLag, Subscriber, Unacknowledged, WatchedScope


class Send(msgspec.Struct, frozen=True, gc=False):
    """A message for one subscriber.

    Attributes:
        subscriber: Number of the subscriber's connection.
        sequence: Sequence number of a patch; 0 for any other message.
        payload: The encoded message; subscribers that receive the same message share one object.
    """

    subscriber: int
    generation: int
    sequence: int
    payload: bytes


class Delivery:
    """Sends patches and bookmarks to subscribers, within their windows and the rate limit.

    Attributes:
        patches: The cache of encoded patches.
        queue: Subscribers that wait for snapshots.
        sent_messages: Messages sent since the start.
        sent_bytes: Bytes of messages sent since the start.
        snapshots: Scopes sent as a snapshot since the start.
    """

    def __init__(self, cache: WatchCache, limits: FanoutLimits, now: int) -> None:
        self.patches = PatchCache(limits.cache_bytes, limits.chunk_bytes)
        self.queue = SnapshotQueue(limits, now)
        self.sent_messages = 0
        self.sent_bytes = 0
        self.snapshots = 0
        self._cache = cache
        self._limits = limits
        self._outbox: list[Send] = []

    def broadcast(self, scope: WatchedScope, after: int, floor: int, now: int) -> None:
        """Send a change to all watchers of its scope.

        Watchers that are up to date had revision `after` before the change. The loop runs for each
        change and watcher, so the window check and the send are inlined.
        """
        if not scope.watchers:
            return
        name = scope.name
        window = self._limits.window_bytes
        chunks = self.patches.delta(scope, after).chunks
        payload = chunks[0]
        size = len(payload)
        is_single = len(chunks) == 1
        count = 0
        for subscriber in scope.watchers:
            if name in subscriber.dirty or name in subscriber.pending:
                continue
            in_flight_bytes = subscriber.unacknowledged_bytes
            if not (
                is_single
                and subscriber.is_writable
                and (in_flight_bytes + size <= window or not in_flight_bytes)
            ):
                subscriber.dirty[name] = ScopeLag(after, floor, now)
                if not is_single:
                    self._send_deltas(subscriber, now)
                continue
            subscriber.sequence = sequence = subscriber.sequence + 1
            subscriber.unacknowledged.append(Unacknowledged(sequence, size, floor, now, name))
            subscriber.unacknowledged_bytes = in_flight_bytes + size
            self._outbox.append(Send(subscriber.number, subscriber.generation, sequence, payload))
            count += 1
        self.sent_messages += count
        self.sent_bytes += count * size

    def serve(self, subscriber: Subscriber, now: int) -> None:
        """Send the deltas that the window admits, queue snapshots, and send a bookmark if due."""
        if subscriber.parked_cursors is not None:
            return
        self._send_deltas(subscriber, now)
        if subscriber.pending and subscriber.is_writable:
            self.queue.join(subscriber)
        if (
            subscriber.bookmark_due
            and subscriber.is_writable
            and not subscriber.dirty
            and not subscriber.pending
        ):
            self.send_bookmark(subscriber)

    def send_snapshots(self, now: int) -> None:
        """Send queued snapshots within the rate limit.

        A subscriber that is not writable or whose window is full leaves the queue, and joins it
        again when it can receive more.
        """
        while self.queue:
            subscriber = self.queue.first
            if not subscriber.pending or not subscriber.is_writable:
                self.queue.leave(subscriber)
                continue
            if not self.queue.rate_admits(now):
                return
            self._send_snapshot_chunk(subscriber, now)

    def _send_snapshot_chunk(self, subscriber: Subscriber, now: int) -> None:
        name, lag = next(iter(subscriber.pending.items()))
        scope = subscriber.scopes[name]
        if lag.patch is None:
            lag.patch = self.patches.snapshot(scope, lag.min_revision, self._cache.revision)
        patch = lag.patch
        payload = patch.chunks[lag.next_chunk]
        if not self._has_window(subscriber, len(payload)):
            self.queue.leave(subscriber)
            return
        self._send_patch_chunk(subscriber, payload, lag.floor, name, now)
        self.queue.spend(len(payload), now)
        lag.next_chunk += 1
        if lag.next_chunk < len(patch.chunks):
            return
        self.snapshots += 1
        self.clear_lag(subscriber, name)
        self._requeue_if_changed(subscriber, scope, patch.revision, now)
        if not subscriber.pending:
            self.queue.leave(subscriber)
            self.serve(subscriber, now)

    def _send_deltas(self, subscriber: Subscriber, now: int) -> None:
        """Send deltas of the scopes that changed while the subscriber could not receive them."""
        while subscriber.dirty and subscriber.is_writable:
            name, lag = next(iter(subscriber.dirty.items()))
            scope = subscriber.scopes[name]
            if lag.patch is None:
                if not scope.covers(lag.cursor):
                    del subscriber.dirty[name]
                    self.request_snapshot(subscriber, scope, lag)
                    continue
                lag.patch = self.patches.delta(scope, scope.log_position(lag.cursor))
            while lag.next_chunk < len(lag.patch.chunks):
                payload = lag.patch.chunks[lag.next_chunk]
                if not self._has_window(subscriber, len(payload)):
                    return
                self._send_patch_chunk(subscriber, payload, lag.floor, name, now)
                lag.next_chunk += 1
            del subscriber.dirty[name]
            self._requeue_if_changed(subscriber, scope, lag.patch.revision, now)

    def _requeue_if_changed(
        self, subscriber: Subscriber, scope: WatchedScope, revision: int, now: int
    ) -> None:
        """Mark the scope for a delta if it changed after the `revision` of the patch just sent."""
        if scope.revision > revision:
            floor = revision
            if scope.covers(revision):
                floor = scope.last_revision_before_change(revision)
            subscriber.dirty[scope.name] = ScopeLag(revision, floor, now)

    def request_snapshot(self, subscriber: Subscriber, scope: WatchedScope, lag: ScopeLag) -> None:
        """Mark a scope as pending, so that the subscriber is sent a snapshot of it."""
        lag.require_snapshot(self._cache.revision, scope.size_bytes)
        subscriber.pending[scope.name] = lag
        self.queue.add_pending_bytes(subscriber, lag.snapshot_bytes)

    def clear_lag(self, subscriber: Subscriber, name: str) -> ScopeLag | None:
        """Cancel the pending delta or snapshot of a scope; return its state, if there was one."""
        lag = subscriber.pending.pop(name, None)
        if lag is not None:
            self.queue.add_pending_bytes(subscriber, -lag.snapshot_bytes)
            return lag
        return subscriber.dirty.pop(name, None)

    def send_bookmark(self, subscriber: Subscriber) -> None:
        """Send a bookmark: the revision up to which all was sent, and digests of some scopes.

        Successive bookmarks rotate through the scopes. A bookmark carries no digests while deltas
        or snapshots are still to be sent.
        """
        delivered = subscriber.delivered_revision()
        if delivered is not None:
            self._send_control(subscriber, Bookmark(delivered, ()))
            return
        subscriber.bookmark_due = False
        names = list(subscriber.scopes)
        count = self._limits.bookmark_scopes
        first = subscriber.next_digest % len(names) if names else 0
        chosen = (names[first:] + names[:first])[:count]
        subscriber.next_digest = first + count
        digests = tuple((name, subscriber.scopes[name].digest) for name in chosen)
        self._send_control(subscriber, Bookmark(self._cache.revision, digests))

    def send_replica_behind(self, subscriber: Subscriber) -> None:
        """Send a parked subscriber the revision of this node."""
        self._send_control(subscriber, ReplicaBehind(self._cache.revision))

    def send_retry_later(self, number: int, needed_bytes: int, now: int) -> None:
        """Reject the subscription of a connection with a time after which to retry."""
        message = RetryLater(self.queue.reserve_retry_slot(needed_bytes, now))
        self._outbox.append(Send(number, 1, 0, pack(message)))

    def _has_window(self, subscriber: Subscriber, size: int) -> bool:
        in_flight_bytes = subscriber.unacknowledged_bytes
        return subscriber.is_writable and (
            not in_flight_bytes or in_flight_bytes + size <= self._limits.window_bytes
        )

    def _send_patch_chunk(
        self, subscriber: Subscriber, payload: bytes, floor: int, scope: str, now: int
    ) -> None:
        subscriber.sequence += 1
        subscriber.unacknowledged.append(
            Unacknowledged(subscriber.sequence, len(payload), floor, now, scope)
        )
        subscriber.unacknowledged_bytes += len(payload)
        self._enqueue(subscriber, subscriber.sequence, payload)

    def _send_control(self, subscriber: Subscriber, message: Message) -> None:
        """Send a message other than a patch; such messages are not acknowledged."""
        self._enqueue(subscriber, 0, pack(message))

    def _enqueue(self, subscriber: Subscriber, sequence: int, payload: bytes) -> None:
        self._outbox.append(Send(subscriber.number, subscriber.generation, sequence, payload))
        self.sent_messages += 1
        self.sent_bytes += len(payload)

    def take_sends(self) -> list[Send]:
        """Return the messages to send, in order, and clear the outbox."""
        sends = self._outbox
        self._outbox = []
        return sends
