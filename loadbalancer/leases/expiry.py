"""The store's leader counts the time of leases; nobody else does. It counts from when it applied a
claim, and a new leader lets each run its full time again: an owner, which counts from before it
sent, is always done first, whatever became of answers and leaders, as long as no clock runs faster
than the owner allows for.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

MS = 1_000_000
STEP_NS = (
    500 * MS
)  # a clock that moves on by more between two looks was stopped, and renewals lie unread


class Running(NamedTuple):
    """A claim and its time; `round` counts how often it was renewed; 0 ms: it is over."""

    lease: str
    claim: int
    round: int
    ttl_ms: int


class Expiry:
    def __init__(self, running: Iterable[Running], now: int) -> None:
        self.at = now
        self.stopped = 0  # time that does not count, in which this process stood still
        self.running: dict[tuple[str, int], tuple[int, Running]] = {}
        self.due: list[tuple[int, str, int]] = []
        for one in running:
            self.note(one, now)

    def _move(self, now: int) -> None:
        self.stopped += max(0, now - self.at - STEP_NS)
        self.at = max(self.at, now)

    def note(self, one: Running, now: int) -> None:
        """A claim was made, renewed or is over."""
        self._move(now)
        key = one.lease, one.claim
        if one.ttl_ms <= 0:
            self.running.pop(key, None)
            return
        until = self.at - self.stopped + one.ttl_ms * MS
        known = key in self.running
        self.running[key] = until, one
        if not known:
            heapq.heappush(self.due, (until, *key))

    def lapsed(self, now: int) -> list[Running]:
        """Those whose time is over, each once a time; it stays known until the log says that it is
        gone.
        """
        self._move(now)
        over = []
        while self.due and self.due[0][0] <= self.at - self.stopped:
            _, lease, claim = heapq.heappop(self.due)
            found = self.running.get((lease, claim))
            if found is None:
                continue
            until, one = found
            if until <= self.at - self.stopped:
                over.append(one)
                until = self.at - self.stopped + one.ttl_ms * MS  # what was proposed may be lost
                self.running[lease, claim] = until, one
            heapq.heappush(self.due, (until, lease, claim))
        return over

    @property
    def wake_ns(self) -> int:
        """When to look again, on the clock that is handed in; 0: nothing runs."""
        if not self.due:
            return 0
        return min(self.due[0][0] + self.stopped, self.at + STEP_NS)
