"""Queue of subscribers that wait for snapshots: bounded for newcomers, rate-limited in bytes."""

from __future__ import annotations

from collections import deque

from loadbalancer.changefeed.limits import FanoutLimits
from loadbalancer.changefeed.snapshot_rate import RetrySlots, TokenBucket
from loadbalancer.changefeed.subscriber import Subscriber


class SnapshotQueue:
    """Subscribers that wait for snapshots.

    None in it is blocked by its own connection: a blocked subscriber leaves and joins again when it
    is writable. The queue is full, for newcomers, at `waiting_most`; those who are subscribed
    already are bounded by their number.
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
        """The subscriber that is served next."""
        return self._queue[0]

    @property
    def is_full(self) -> bool:
        """A newcomer that needs a snapshot has to retry later."""
        return len(self._queue) >= self._max_length

    def add_pending_bytes(self, subscriber: Subscriber, size: int) -> None:
        """Note that so many bytes more (or fewer, where negative) are owed to a subscriber."""
        subscriber.pending_bytes += size
        if subscriber.is_queued:
            self._queued_bytes += size

    def join(self, subscriber: Subscriber) -> None:
        """Queue a subscriber: last, or first where it is in the middle of a snapshot."""
        if subscriber.is_queued:
            return
        subscriber.is_queued = True
        self._queued_bytes += subscriber.pending_bytes
        if next(iter(subscriber.pending.values())).patch is None:
            self._queue.append(subscriber)
        else:
            self._queue.appendleft(subscriber)

    def leave(self, subscriber: Subscriber) -> None:
        """Remove a subscriber from the queue, if it is there."""
        if subscriber.is_queued:
            subscriber.is_queued = False
            self._queued_bytes -= subscriber.pending_bytes
            self._queue.remove(subscriber)

    def is_ready(self, now: int) -> bool:
        """Return whether the rate limit lets a message through."""
        return self._bucket.is_ready(now)

    def ready_at(self, now: int) -> int:
        """Return when the rate limit lets a message through."""
        return self._bucket.ready_at(now)

    def spend(self, size: int, now: int) -> None:
        """Count the bytes of a message that was sent."""
        self._bucket.take(size, now)

    def retry_after_ms(self, needed_bytes: int, now: int) -> int:
        """Return when a subscriber that needs so many bytes is to retry."""
        return self._retry_slots.reserve(self._queued_bytes, needed_bytes, now)
