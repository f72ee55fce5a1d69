"""How fast a node gives out snapshots, and when it asks those to come back for whom it has no
room.
"""

from __future__ import annotations

NS = 1_000_000_000
MS = 1_000_000
GOLDEN = (
    0.6180339887498949  # successive multiples, modulo 1, are spread evenly however many there are
)


class TokenBucket:
    """Bytes, by the clock that is handed in. What is asked for is given as long as anything is
    left, so a piece larger than the burst passes too, and is paid for afterwards.
    """

    def __init__(self, bytes_s: int, burst: int, now: int) -> None:
        self._rate, self._burst, self._left, self._at = bytes_s, burst, float(burst), now

    def _fill(self, now: int) -> None:
        if now > self._at:
            self._left = min(float(self._burst), self._left + (now - self._at) * self._rate / NS)
            self._at = now

    def ready(self, now: int) -> bool:
        self._fill(now)
        return self._left > 0

    def take(self, size: int, now: int) -> None:
        self._fill(now)
        self._left -= size

    def ready_at(self, now: int) -> int:
        """When there is something again."""
        self._fill(now)
        return now if self._left > 0 else self._at + int((1 - self._left) * NS / self._rate) + 1


class Slots:
    """Moments at which those come back who found the queue full: one after another, as far apart as
    serving each takes. Past `most_ms` they are spread over its later half.
    """

    def __init__(self, bytes_s: int, least_ms: int, most_ms: int) -> None:
        self._rate, self._least_ms, self._most_ms = bytes_s, least_ms, most_ms
        self._next = 0
        self._spread = 0.0

    def draw(self, waiting_bytes: int, needs_bytes: int, now: int) -> int:
        """ms from now, for who needs so many bytes when so many are waited for already."""
        slot = max(self._next, now + waiting_bytes * NS // self._rate)
        after_ms = (slot - now) // MS
        if after_ms >= self._most_ms:
            self._spread = (self._spread + GOLDEN) % 1
            return int(self._most_ms * (0.5 + 0.5 * self._spread))
        self._next = slot + max(needs_bytes * NS // self._rate, MS)
        return max(self._least_ms, after_ms)
