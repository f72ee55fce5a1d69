"""Lease expiry as counted by the store's leader, the only node that counts it.

The leader counts a TTL from when it applied the claim, and a new leader restarts each TTL in full.
A lease holder counts from before it sent the claim, so the holder always stops before the leader
expires the lease, even when responses are lost or the leader changes. This requires that the
clocks differ by no more than the drift that the holder allows for.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Final, NamedTuple

NS_PER_MS: Final = 1_000_000
# A larger step between two calls means that the process was paused, so renewals may be waiting
# unread.
MAX_CLOCK_STEP_NS: Final = 500 * NS_PER_MS


class ActiveClaim(NamedTuple):
    """A claim and its TTL. A TTL of 0 ms means that the claim has ended."""

    lease: str
    claim: int
    round: int  # how often its TTL restarted
    ttl_ms: int


class LeaseExpiry:
    """Deadlines of all active claims, by the clock of the store's leader."""

    def __init__(self, claims: Iterable[ActiveClaim], now: int) -> None:
        self.now_ns = now
        self.paused_ns = 0  # total time this process was paused; not counted towards any TTL
        self.claims: dict[tuple[str, int], tuple[int, ActiveClaim]] = {}
        self.deadlines: list[tuple[int, str, int]] = []
        for claim in claims:
            self.record(claim, now)

    def _advance(self, now: int) -> None:
        self.paused_ns += max(0, now - self.now_ns - MAX_CLOCK_STEP_NS)
        self.now_ns = max(self.now_ns, now)

    @property
    def _running_ns(self) -> int:
        """The clock without the time during which this process was paused."""
        return self.now_ns - self.paused_ns

    def record(self, claim: ActiveClaim, now: int) -> None:
        """Record that a claim was made, renewed or ended."""
        self._advance(now)
        key = claim.lease, claim.claim
        if claim.ttl_ms <= 0:
            self.claims.pop(key, None)
            return
        deadline = self._running_ns + claim.ttl_ms * NS_PER_MS
        is_tracked = key in self.claims
        self.claims[key] = deadline, claim
        if not is_tracked:
            heapq.heappush(self.deadlines, (deadline, *key))

    def take_expired(self, now: int) -> list[ActiveClaim]:
        """Return the claims whose TTL has expired, each once per TTL.

        A claim stays active until an entry of the log ends it, because a proposal of the leader may
        be lost.
        """
        self._advance(now)
        expired = []
        while self.deadlines and self.deadlines[0][0] <= self._running_ns:
            _, lease, number = heapq.heappop(self.deadlines)
            expiry_entry = self.claims.get((lease, number))
            if expiry_entry is None:
                continue
            deadline, claim = expiry_entry
            if deadline <= self._running_ns:
                expired.append(claim)
                deadline = self._running_ns + claim.ttl_ms * NS_PER_MS
                self.claims[lease, number] = deadline, claim
            heapq.heappush(self.deadlines, (deadline, lease, number))
        return expired

    @property
    def wake_ns(self) -> int | None:
        """When to call `take_expired` next, by the caller's clock; None if no claim is active."""
        if not self.deadlines:
            return None
        return min(self.deadlines[0][0] + self.paused_ns, self.now_ns + MAX_CLOCK_STEP_NS)
