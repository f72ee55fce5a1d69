"""Rate limit of a node's snapshots, and retry times for subscribers that find the queue full."""

from __future__ import annotations

from typing import Final

from loadbalancer.changefeed.limits import MILLISECOND_NS, SECOND_NS

# Successive multiples, modulo 1, are spread evenly however many there are.
GOLDEN_RATIO: Final = 0.6180339887498949


class TokenBucket:
    """Token bucket of bytes that may be overdrawn.

    A request is granted as long as any token is left, so that a message larger than the burst
    passes too; it is paid for afterwards.
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
        """Spend tokens, also such as are not there yet."""
        self._refill(now)
        self._tokens -= size

    def ready_at(self, now: int) -> int:
        """Return when a token is left again."""
        self._refill(now)
        if self._tokens > 0:
            return now
        return self._refilled_at_ns + int((1 - self._tokens) * SECOND_NS / self._rate) + 1


class RetrySlots:
    """Times at which subscribers retry that found the queue full.

    They follow each other at the distance that serving each takes. Past `max_ms` they are spread
    over its later half.
    """

    def __init__(self, bytes_s: int, min_ms: int, max_ms: int) -> None:
        self._rate = bytes_s
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._next_ns = 0
        self._spread_fraction = 0.0

    def reserve(self, queued_bytes: int, needed_bytes: int, now: int) -> int:
        """Return the milliseconds after which to retry.

        Args:
            queued_bytes: Snapshots that others wait for already.
            needed_bytes: Snapshots that this subscriber needs.
            now: The clock in nanoseconds.
        """
        slot = max(self._next_ns, now + queued_bytes * SECOND_NS // self._rate)
        after_ms = (slot - now) // MILLISECOND_NS
        if after_ms >= self._max_ms:
            self._spread_fraction = (self._spread_fraction + GOLDEN_RATIO) % 1
            return int(self._max_ms * (0.5 + 0.5 * self._spread_fraction))
        self._next_ns = slot + max(needed_bytes * SECOND_NS // self._rate, MILLISECOND_NS)
        return max(self._min_ms, after_ms)
