"""The timers of the policy, which share a single timer of the caller."""

from __future__ import annotations

import heapq
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.requests import KeyQueue, Request
from loadbalancer.policy.token_bucket import TokenBucket

LATE_TIMER_NS: Final = 10_000_000  # a timer this late indicates that the proxy itself is overloaded


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


class QueueDeadlineTimer(Timer):
    """A request has reached its queue deadline."""

    def __init__(self, request: Request) -> None:
        self.request = request


class AttemptOverdueTimer(Timer):
    """An attempt is in flight for longer than expected."""

    def __init__(self, request: Request, number: int) -> None:
        self.request = request
        self.number = number


class AttemptLateTimer(Timer):
    """An attempt has missed its latency objective."""

    def __init__(self, request: Request, number: int) -> None:
        self.request = request
        self.number = number


class TimerQueue:
    """The timers in order of due time, and the caller's timer for the earliest of them."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0
        self._wake_up_ns = 0  # when the caller's timer is due; 0: none is set
        self._wake_up_number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, due_ns: int, timer: Timer) -> None:
        """Add a timer; timers with the same due time fire in the order added."""
        self._count += 1
        heapq.heappush(self._heap, (due_ns, self._count, timer))

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
