"""Rate-limited queue of subscribers that wait for snapshots; a full queue rejects new ones."""

from __future__ import annotations

from collections import deque

from loadbalancer.changefeed.limits import FanoutLimits
from loadbalancer.changefeed.snapshot_rate import RetrySlots, TokenBucket
from loadbalancer.changefeed.subscriber import Subscriber


class SnapshotQueue:
    """Queue of subscribers that wait for snapshots.

    A subscriber whose connection is not writable, or whose limit of unacknowledged bytes is
    reached, leaves the queue and joins it again when it can receive more. A new subscription that
    needs a snapshot is rejected while at least `waiting_most` subscribers wait. Existing
    subscribers may always join, so the queue can exceed `waiting_most` up to the number of
    subscribers.
    """

    def __init__(self, limits: FanoutLimits, now: int) -> None:
        self._max_length = limits.waiting_most
        self._queue: deque[Subscriber] = deque()
        self._queued_bytes = 0
        self._bucket = TokenBucket(limits.snapshot_bytes_s, limits.snapshot_burst, now)
        self._retry_slots = RetrySlots(
            limits.snapshot_bytes_s, limits.later_least_ms, limits.later_most_ms
        )

    def __bool__(self) -> bool:
        return bool(self._queue)

    @property
    def first(self) -> Subscriber:
        """The subscriber to serve next."""
        return self._queue[0]

    @property
    def is_full(self) -> bool:
        """Whether a new subscriber that needs a snapshot must retry later."""
        return len(self._queue) >= self._max_length

    def add_pending_bytes(self, subscriber: Subscriber, size: int) -> None:
        """Add `size`, which may be negative, to the snapshot bytes pending for a subscriber."""
        subscriber.pending_bytes += size
        if subscriber.is_queued:
            self._queued_bytes += size

    def join(self, subscriber: Subscriber) -> None:
        """Add a subscriber at the end, or at the front if a snapshot to it is in progress."""
        if subscriber.is_queued:
            return
        subscriber.is_queued = True
        self._queued_bytes += subscriber.pending_bytes
        if next(iter(subscriber.pending.values())).patch is None:
            self._queue.append(subscriber)
        else:
            self._queue.appendleft(subscriber)

    def leave(self, subscriber: Subscriber) -> None:
        """Remove a subscriber from the queue if it is queued."""
        if subscriber.is_queued:
            subscriber.is_queued = False
            self._queued_bytes -= subscriber.pending_bytes
            self._queue.remove(subscriber)

    def rate_admits(self, now: int) -> bool:
        """Return whether the rate limit admits a message now."""
        return self._bucket.is_ready(now)

    def rate_admits_at(self, now: int) -> int:
        """Return when the rate limit admits the next message."""
        return self._bucket.ready_at(now)

    def spend(self, size: int, now: int) -> None:
        """Charge the bytes of a sent message to the rate limit."""
        self._bucket.take(size, now)

    def reserve_retry_slot(self, needed_bytes: int, now: int) -> int:
        """Reserve a retry slot for a rejected subscriber; return the delay until it in ms.

        `needed_bytes` is the size of the snapshots that the subscriber needs.
        """
        return self._retry_slots.reserve(self._queued_bytes, needed_bytes, now)
