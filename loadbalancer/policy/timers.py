"""The policy's timers: what is due when. One timer of the caller's at a time stands for all."""

from __future__ import annotations

import heapq
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.requests import KeyQueue, Request
from loadbalancer.policy.token_bucket import TokenBucket

LATE_TIMER_NS: Final = 10_000_000  # a timer this late shows that the proxy itself lacks time


class Timer:
    """Something that is due at a time."""


class ServeQueuesTimer(Timer):
    """An upstream may be available again: the queues are served whenever a timer is due."""


class SubscribeTimer(Timer):
    """The endpoint list should be subscribed to."""


class FirstSubscribeTimer(Timer):
    """The endpoint list should be subscribed to if no upstream is known yet."""


class TokenTimer(Timer):
    """A bucket with buffered requests has its next token."""

    def __init__(self, bucket: TokenBucket[Request]) -> None:
        self.bucket = bucket


class KeyQueueTimer(Timer):
    """The gap between two requests of a key is over."""

    def __init__(self, key_queue: KeyQueue) -> None:
        self.key_queue = key_queue


class QueueDeadlineTimer(Timer):
    """A request has waited as long as is of use."""

    def __init__(self, request: Request) -> None:
        self.request = request


class AttemptOverdueTimer(Timer):
    """An attempt is in flight longer than its upstream should take."""

    def __init__(self, request: Request, number: int) -> None:
        self.request = request
        self.number = number


class AttemptLateTimer(Timer):
    """An attempt has missed its latency objective."""

    def __init__(self, request: Request, number: int) -> None:
        self.request = request
        self.number = number


class TimerQueue:
    """The timers by due time, and the caller's timer that wakes the policy for the first."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._count = 0
        self._wake_up_ns = 0  # when the caller's timer is due; 0: none is set
        self._wake_up_number = 0

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, due_ns: int, timer: Timer) -> None:
        """Add a timer; those that are due together fire in the order added."""
        self._count += 1
        heapq.heappush(self._heap, (due_ns, self._count, timer))

    def pop_due(self, now: int) -> Timer | None:
        """Remove and return the first timer that is due, if any."""
        while self._heap and self._heap[0][0] <= now:
            due_ns, _, timer = heapq.heappop(self._heap)
            if isinstance(timer, AttemptOverdueTimer) and now - due_ns > LATE_TIMER_NS:
                # A proxy that is late itself can't say so of an upstream: the answer may not be
                # read yet. Where both stand still, that is found so much later.
                self.schedule(2 * now - due_ns, timer)
            else:
                return timer
        return None

    def wake_up_fired(self, name: str) -> None:
        """Note that a timer of the caller's fired; only the last one set counts."""
        # By its name, not by the clock: a timer may come a little early.
        if name == str(self._wake_up_number):
            self._wake_up_ns = 0

    def next_wake_up(self, now: int) -> api.SetTimer | None:
        """Return the timer that the caller must set, if the one that is set is too late."""
        if not self._heap:
            return None
        due_ns = self._heap[0][0]
        if self._wake_up_ns and due_ns >= self._wake_up_ns:
            return None
        self._wake_up_ns = due_ns
        self._wake_up_number += 1
        return api.SetTimer(max(1, due_ns - now), str(self._wake_up_number))
