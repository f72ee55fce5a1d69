"""The client side of a lease: claim, queue as a candidate, hold, renew and release.

The TTL counts from before the claim was **sent** and is shortened by the allowed clock drift,
because this clock may run slower than that of the store's leader. When this time is up the lease
has expired, with or without a message from the store. The caller passes in the clock, the store's
responses and watch events, sends the requests that `next_request` returns, and calls `token` before
each side effect and after each pause.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Final

from loadbalancer.leases.table import MAX_CANDIDATES, Lease

NS_PER_MS: Final = 1_000_000
# Up to this relative drift, a slow clock still expires the lease before the store does. Beyond it
# only the fencing token protects.
MAX_CLOCK_DRIFT: Final = 0.1
# Delays as fractions of the TTL:
RENEWAL_FRACTION: Final = 1 / 3  # between two renewals
CANDIDACY_FRACTION: Final = 1.0  # between two claims of a candidate, which expires after two TTLs
RETRY_FRACTION: Final = 1 / 12  # before the first retry; doubles up to the renewal interval
IDLE_FRACTION: Final = 1.0  # before a process claims again after the candidate queue was full
MAX_BACKOFF_DOUBLINGS: Final = 8
# First claims of a free lease are spread over this time, or a renewal interval if shorter.
FIRST_CLAIM_SPREAD_NS: Final = 200 * NS_PER_MS


class Phase(Enum):
    """Phase of one claim on a lease."""

    IDLE = "idle"  # not claiming yet, or only observing because the candidate queue is full
    CLAIMING = "claiming"  # a claim is in flight or scheduled
    QUEUED = "queued"  # waiting as a candidate
    HELD = "held"
    RELEASED = "released"  # final: this claim is never granted again


class RequestKind(Enum):
    """Kind of a request to the store."""

    CLAIM = "claim"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A request to send; its result is passed to `response_received` or `request_failed`."""

    kind: RequestKind
    number: int
    token: int = 0  # token of the lease to release; 0 for a claim


class LeaseHolder:
    """State machine of one process's claim on one lease."""

    def __init__(self, name: str, claim: int, ttl_ns: int, rng: random.Random, now: int) -> None:
        """Start without the lease.

        Args:
            name: This process's name among the candidates.
            claim: A number that is unique to this incarnation of the process.
            ttl_ns: How long the lease lasts without a renewal.
            rng: Source of the jitter that spreads the requests of many processes.
            now: The current time.
        """
        self.name = name
        self.claim = claim
        self.ttl_ns = ttl_ns
        self.rng = rng
        self.phase = Phase.IDLE
        self.now_ns = now
        self.expires_ns = 0
        self._token = 0
        self.queue_position = 0
        self.next_claim_ns: int | None = None  # None: no claim before the next watch event
        self.in_flight: LeaseRequest | None = None
        self.sent_ns = 0
        self.request_count = 0
        self.failures = 0
        self.reason = ""  # why the last claim was rejected or the last request failed
        self.is_leaving = False

    def _advance(self, now: int) -> int:
        """Advance the clock; backward jumps are ignored."""
        self.now_ns = max(self.now_ns, now)
        return self.now_ns

    # ---- permission to act -----------------------------------------------------------------------

    def token(self, now: int) -> int:
        """Return the fencing token that is valid now; 0 if no side effect is permitted."""
        now = self._advance(now)
        if self.phase is Phase.HELD and now >= self.expires_ns:
            self._expire(now)
        return self._token if self.phase is Phase.HELD and not self.is_leaving else 0

    def _enter_without_lease(self, phase: Phase) -> None:
        """Enter a phase in which the lease is not held."""
        self.phase = phase
        self._token = 0
        self.expires_ns = 0

    def _expire(self, now: int) -> None:
        """Handle the loss of the lease by expiry or a newer token: claim it again."""
        self._enter_without_lease(Phase.CLAIMING)
        if self.in_flight is None:
            self.next_claim_ns = now

    # ---- events ----------------------------------------------------------------------------------

    def lease_observed(self, lease: Lease | None, now: int) -> None:
        """Process a watch event with the lease as one node of the store has it, possibly stale.

        It affects when to claim next and can end a held lease. It never grants the lease.
        """
        now = self._advance(now)
        if self.phase is Phase.RELEASED or self.is_leaving:
            return
        if lease is not None and lease.holder and lease.claim == self.claim:
            if self.phase is not Phase.HELD and self.in_flight is None:  # offered: accept it
                self.next_claim_ns = now
            return
        if self.phase is Phase.HELD:
            self._observed_while_held(lease, now)
        elif self.phase is Phase.IDLE and self.in_flight is None and self.next_claim_ns is None:
            self._observed_while_idle(lease, now)

    def _observed_while_held(self, lease: Lease | None, now: int) -> None:
        if lease is None or lease.token <= self._token:
            return  # a stale event from a lagging node
        self._expire(now)
        if self.next_claim_ns is not None:
            self.next_claim_ns = now + self._jittered_ns(RENEWAL_FRACTION)

    def _observed_while_idle(self, lease: Lease | None, now: int) -> None:
        if lease is None or not lease.holder:
            spread_ns = min(FIRST_CLAIM_SPREAD_NS, self.ttl_ns * RENEWAL_FRACTION)
            self.next_claim_ns = now + int(self.rng.random() * spread_ns)
        elif len(lease.candidates) < MAX_CANDIDATES:
            # The candidate queue has room. Jitter keeps the observers from all claiming at once.
            self.next_claim_ns = now + self._jittered_ns(IDLE_FRACTION)

    def is_queue_full(self, lease: Lease | None) -> bool:
        """Return whether a claim would be rejected because the candidate queue is full."""
        return (
            lease is not None
            and bool(lease.holder)
            and lease.claim != self.claim
            and len(lease.candidates) >= MAX_CANDIDATES
            and all(candidate.claim != self.claim for candidate in lease.candidates)
        )

    def next_request(self, now: int, lease: Lease | None = None) -> LeaseRequest | None:
        """Return the request to send now, if any. At most one request is in flight.

        Args:
            now: The current time.
            lease: The lease as last observed.
        """
        now = self._advance(now)
        self.token(now)
        if self.in_flight is not None or self.phase is Phase.RELEASED:
            return None
        if self.is_leaving:
            return self._request(RequestKind.RELEASE, self._token)
        if self.next_claim_ns is None or now < self.next_claim_ns:
            return None
        if self.phase is Phase.IDLE and self.is_queue_full(lease):
            self.next_claim_ns = None
            return None
        self.next_claim_ns = None
        self.sent_ns = now
        if self.phase is Phase.IDLE:
            self.phase = Phase.CLAIMING
        return self._request(RequestKind.CLAIM)

    def _request(self, kind: RequestKind, token: int = 0) -> LeaseRequest:
        self.request_count += 1
        self.in_flight = LeaseRequest(kind, self.request_count, token)
        return self.in_flight

    def _finish_request(self, number: int) -> LeaseRequest | None:
        """Clear and return the request in flight if it has this number, else return None."""
        request = self.in_flight
        if request is None or request.number != number:
            return None
        self.in_flight = None
        return request

    def response_received(
        self, number: int, token: int, queue_position: int, reason: str, now: int
    ) -> None:
        """Process the store's response: a token, a position among the candidates, or a rejection.

        Args:
            number: Number of the request.
            token: The fencing token granted; 0 if none.
            queue_position: Position among the candidates, counted from 1; 0 if not queued.
            reason: Why a claim was rejected.
            now: The current time.
        """
        now = self._advance(now)
        request = self._finish_request(number)
        if request is None:
            return
        self.failures = 0
        self.reason = reason
        if request.kind is RequestKind.RELEASE:
            self._enter_without_lease(Phase.RELEASED)
        elif token:
            self._apply_grant(token, now)
        elif queue_position:
            self.phase = Phase.QUEUED
            self._token = 0
            self.queue_position = queue_position
            self.next_claim_ns = now + self._jittered_ns(CANDIDACY_FRACTION)
        else:
            # The queue is full or the claim was released. Claim again after the idle interval. If
            # the queue is still full then, wait for a watch event.
            self.phase = Phase.IDLE
            self._token = 0
            self.queue_position = 0
            self.next_claim_ns = now + self._jittered_ns(IDLE_FRACTION)

    def _apply_grant(self, token: int, now: int) -> None:
        self.phase = Phase.HELD
        self._token = token
        self.queue_position = 0
        expires_ns = self.sent_ns + int(self.ttl_ns * (1 - MAX_CLOCK_DRIFT))
        self.expires_ns = max(self.expires_ns, expires_ns)
        self.next_claim_ns = max(now, self.sent_ns + self._jittered_ns(RENEWAL_FRACTION))
        self.token(now)  # expire at once if the response arrived after the TTL

    def request_failed(self, number: int, reason: str, now: int) -> None:
        """Process a request that got no response: the store may or may not have executed it.

        A holder keeps the lease until its TTL expires.
        """
        now = self._advance(now)
        request = self._finish_request(number)
        if request is None:
            return
        self.reason = reason
        self.failures += 1
        if request.kind is RequestKind.RELEASE:
            self._enter_without_lease(Phase.RELEASED)  # the store expires the lease after its TTL
            return
        doublings = min(self.failures - 1, MAX_BACKOFF_DOUBLINGS)
        backoff = min(RETRY_FRACTION * 2.0**doublings, RENEWAL_FRACTION)
        self.next_claim_ns = now + self._jittered_ns(backoff)

    def leave(self, now: int) -> None:
        """Release the lease or candidacy with one request; `token` returns 0 from now on."""
        self._advance(now)
        if self.phase is Phase.RELEASED or self.is_leaving:
            return
        if self.phase is Phase.IDLE and self.in_flight is None:
            self.phase = Phase.RELEASED
            self.next_claim_ns = None
            return
        self.is_leaving = True
        if self.in_flight is not None and self.in_flight.kind is RequestKind.CLAIM:
            self.in_flight = None  # ignore its response: the claim is about to be released

    def _jittered_ns(self, fraction: float) -> int:
        """Return a fraction of the TTL with jitter, so that processes do not send in lockstep."""
        return int(self.ttl_ns * fraction * self.rng.uniform(0.7, 1.0))

    @property
    def wake_ns(self) -> int | None:
        """When to call `next_request` next; None if only after an event."""
        if self.phase is Phase.RELEASED:
            return None
        if self.is_leaving and self.in_flight is None:
            return self.now_ns
        times = []
        if self.next_claim_ns is not None and self.in_flight is None:
            times.append(self.next_claim_ns)
        if self.phase is Phase.HELD:
            times.append(self.expires_ns)
        return min(times, default=None)
