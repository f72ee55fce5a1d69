"""Rate limit of a node's snapshots, and retry times for rejected subscribers."""

from __future__ import annotations

from typing import Final

from loadbalancer.changefeed.limits import MILLISECOND_NS, SECOND_NS

# Fractional part of the golden ratio: any number of its successive multiples, modulo 1, are spread
# evenly over [0, 1).
GOLDEN_RATIO: Final = 0.6180339887498949


class TokenBucket:
    """Token bucket of bytes whose balance may go negative.

    A message is admitted as long as any token is left, so that a message larger than the burst is
    also admitted; later messages wait until the deficit is refilled.
    """

    def __init__(self, bytes_s: int, burst: int, now: int) -> None:
        self._rate = bytes_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at_ns = now

    def _refill(self, now: int) -> None:
        if now > self._refilled_at_ns:
            new_tokens = (now - self._refilled_at_ns) * self._rate / SECOND_NS
            self._tokens = min(float(self._burst), self._tokens + new_tokens)
            self._refilled_at_ns = now

    def is_ready(self, now: int) -> bool:
        """Return whether any token is left."""
        self._refill(now)
        return self._tokens > 0

    def take(self, size: int, now: int) -> None:
        """Spend tokens; the balance may become negative."""
        self._refill(now)
        self._tokens -= size

    def ready_at(self, now: int) -> int:
        """Return when a token is next available."""
        self._refill(now)
        if self._tokens > 0:
            return now
        return self._refilled_at_ns + int((1 - self._tokens) * SECOND_NS / self._rate) + 1


class RetrySlots:
    """Assigns retry times to subscribers that were rejected because the queue was full.

    Successive slots are spaced by the time it takes to serve each subscriber. Delays that would
    exceed `max_ms` are spread evenly between half of `max_ms` and `max_ms`.
    """

    def __init__(self, bytes_s: int, min_ms: int, max_ms: int) -> None:
        self._rate = bytes_s
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._next_ns = 0
        self._spread_fraction = 0.0

    def reserve(self, queued_bytes: int, needed_bytes: int, now: int) -> int:
        """Reserve a slot; return the delay until it in milliseconds.

        Args:
            queued_bytes: Size of the snapshots that queued subscribers wait for.
            needed_bytes: Size of the snapshots that this subscriber needs.
            now: The current time in nanoseconds.
        """
        slot = max(self._next_ns, now + queued_bytes * SECOND_NS // self._rate)
        after_ms = (slot - now) // MILLISECOND_NS
        if after_ms >= self._max_ms:
            self._spread_fraction = (self._spread_fraction + GOLDEN_RATIO) % 1
            return int(self._max_ms * (0.5 + 0.5 * self._spread_fraction))
        self._next_ns = slot + max(needed_bytes * SECOND_NS // self._rate, MILLISECOND_NS)
        return max(self._min_ms, after_ms)
