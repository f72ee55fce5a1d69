"""The timers of the policy, which share a single timer of the caller."""

from __future__ import annotations

import heapq
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.requests import KeyQueue, Request
from loadbalancer.policy.token_bucket import TokenBucket

LATE_TIMER_NS: Final = 10_000_000  # a timer this late indicates that the proxy itself is overloaded

MIN_PURGE_LENGTH: Final = 4096  # timers; fewer take less memory than is worth the work


class Timer:
    """Base class of timers."""


class ServeQueuesTimer(Timer):
    """An upstream may be available again.

    Needs no handler, as `Balancer.handle` serves the queues after any timer.
    """


class SubscribeTimer(Timer):
    """The endpoint list must be subscribed to."""


class FirstSubscribeTimer(Timer):
    """The endpoint list must be subscribed to if no upstream is usable yet."""


class TokenTimer(Timer):
    """A bucket with buffered requests has accrued its next token."""

    def __init__(self, bucket: TokenBucket[Request]) -> None:
        self.bucket = bucket


class KeyQueueTimer(Timer):
    """The gap between two requests of a key is over."""

    def __init__(self, key_queue: KeyQueue) -> None:
        self.key_queue = key_queue


class RequestTimer(Timer):
    """Base class of timers of one request, which have no effect once it is over.

    Attributes:
        handle: Refers to the request, or to None once it is over.
    """

    def __init__(self, request: Request) -> None:
        self.handle = request.handle

    @property
    def is_dead(self) -> bool:
        """Whether its request is over."""
        return self.handle.request is None


class QueueDeadlineTimer(RequestTimer):
    """A request has reached its queue deadline."""


class AttemptTimer(RequestTimer):
    """Base class of timers of one attempt."""

    def __init__(self, request: Request, number: int) -> None:
        super().__init__(request)
        self.number = number


class AttemptOverdueTimer(AttemptTimer):
    """An attempt is in flight for longer than expected."""


class AttemptLateTimer(AttemptTimer):
    """An attempt has missed its latency objective."""


class TimerQueue:
    """The timers in order of due time, and the caller's timer for the earliest of them.

    Timers of requests that are over are removed together, whenever their number may have doubled.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._purge_length = MIN_PURGE_LENGTH
        self._count = 0
        self._wake_up_ns = 0  # when the caller's timer is due; 0: none is set
        self._wake_up_number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, due_ns: int, timer: Timer) -> None:
        """Add a timer; timers with the same due time fire in the order added."""
        self._count += 1
        heapq.heappush(self._heap, (due_ns, self._count, timer))
        if len(self._heap) >= self._purge_length:
            self._purge()

    def _purge(self) -> None:
        """Remove the timers of requests that are over."""
        self._heap = [
            entry
            for entry in self._heap
            if not (isinstance(entry[2], RequestTimer) and entry[2].is_dead)
        ]
        heapq.heapify(self._heap)
        self._purge_length = max(MIN_PURGE_LENGTH, 2 * len(self._heap))

    def pop_due(self, now: int) -> Timer | None:
        """Remove and return the first timer that is due, if any."""
        while self._heap and self._heap[0][0] <= now:
            due_ns, _, timer = heapq.heappop(self._heap)
            if isinstance(timer, AttemptOverdueTimer) and now - due_ns > LATE_TIMER_NS:
                # If the proxy itself is delayed, the response may have arrived but not been read
                # yet, so the attempt can't be called overdue. The timer is postponed by the delay;
                # an upstream that stalled meanwhile is detected later by that much.
                self.schedule(2 * now - due_ns, timer)
            else:
                return timer
        return None

    def wake_up_fired(self, name: str) -> None:
        """Handle a fired timer of the caller; only the last one that was set counts."""
        # Timers are matched by name instead of time, because a timer may fire slightly early.
        if name == str(self._wake_up_number):
            self._wake_up_ns = 0

    def next_wake_up(self, now: int) -> api.SetTimer | None:
        """Return the timer that the caller must set, if none is set or the set one is too late."""
        if not self._heap:
            return None
        due_ns = self._heap[0][0]
        if self._wake_up_ns and due_ns >= self._wake_up_ns:
            return None
        self._wake_up_ns = due_ns
        self._wake_up_number += 1
        return api.SetTimer(max(1, due_ns - now), str(self._wake_up_number))
