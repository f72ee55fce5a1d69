"""The queue of those who wait for snapshots: bounded for newcomers, served as fast as bytes may
go.
"""

from __future__ import annotations

from collections import deque

from loadbalancer.changefeed.snapshot_rate import Slots, TokenBucket
from loadbalancer.changefeed.subscriber import Subscriber


class Waiting:
    """None in it is blocked by its own connection: who is, leaves, and joins again when it can go
    on. `most`: from so many on it is full, for who is not subscribed yet; the others are bounded by
    how many they are.
    """

    def __init__(
        self, most: int, bytes_s: int, burst: int, least_ms: int, most_ms: int, now: int
    ) -> None:
        self._most = most
        self._queue: deque[Subscriber] = deque()
        self._backlog = 0  # bytes of all in it
        self._bucket = TokenBucket(bytes_s, burst, now)
        self._slots = Slots(bytes_s, least_ms, most_ms)

    def __bool__(self) -> bool:
        return bool(self._queue)

    @property
    def first(self) -> Subscriber:
        return self._queue[0]

    @property
    def full(self) -> bool:
        return len(self._queue) >= self._most

    def owe(self, subscriber: Subscriber, size: int) -> None:
        """So many bytes more, or fewer, are to be told to it."""
        subscriber.pending_bytes += size
        if subscriber.queued:
            self._backlog += size

    def join(self, subscriber: Subscriber) -> None:
        """At its end; who is in the middle of a snapshot had its turn, and goes on first."""
        if subscriber.queued:
            return
        subscriber.queued = True
        self._backlog += subscriber.pending_bytes
        if next(iter(subscriber.pending.values())).stream is None:
            self._queue.append(subscriber)
        else:
            self._queue.appendleft(subscriber)

    def leave(self, subscriber: Subscriber) -> None:
        if subscriber.queued:
            subscriber.queued = False
            self._backlog -= subscriber.pending_bytes
            self._queue.remove(subscriber)

    def ready(self, now: int) -> bool:
        return self._bucket.ready(now)

    def ready_at(self, now: int) -> int:
        return self._bucket.ready_at(now)

    def spend(self, size: int, now: int) -> None:
        self._bucket.take(size, now)

    def later_ms(self, needs: int, now: int) -> int:
        """When one who needs so many bytes is to come back."""
        return self._slots.draw(self._backlog, needs, now)
