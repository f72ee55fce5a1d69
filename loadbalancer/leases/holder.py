"""One process's side of a lease: it claims, queues, holds, renews and releases.

The TTL counts from before a claim was **sent**, less what this clock may run slower than that of
the store's leader: then the lease is over, whether anybody says so or not. A shell hands in the
clock, the store's responses and watch events, carries out the requests that `next_request` gives,
and calls `token` before each effect and after each pause.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Final

from loadbalancer.leases.table import MAX_CANDIDATES, Lease

NS_PER_MS: Final = 1_000_000
# A clock that runs slow by less than this leaves no gap; beyond it only the token protects.
MAX_CLOCK_DRIFT: Final = 0.1
# Fractions of the TTL:
RENEWAL_FRACTION: Final = 1 / 3  # between two renewals
CANDIDACY_FRACTION: Final = 1.0  # between two claims of a candidate, which expires after two TTLs
RETRY_FRACTION: Final = 1 / 12  # before a first retry; it doubles up to the renewal interval
IDLE_FRACTION: Final = 1.0  # before a process claims that found no room among the candidates
MAX_BACKOFF_DOUBLINGS: Final = 8
# First claims of a free lease are spread over this, at most a renewal interval.
FIRST_CLAIM_SPREAD_NS: Final = 200 * NS_PER_MS


class Phase(Enum):
    """What a process is to the lease."""

    IDLE = "idle"  # it does not want the lease, or observes as there is no room for candidates
    CLAIMING = "claiming"  # its claim is in flight, or will be
    QUEUED = "queued"  # a candidate
    HELD = "held"
    RELEASED = "released"  # for good: this claim never returns


class RequestKind(Enum):
    """What is asked of the store."""

    CLAIM = "claim"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """A request to carry out; its end is reported by `response_received` or `request_failed`."""

    kind: RequestKind
    number: int
    token: int = 0  # of a release


class LeaseHolder:
    """The state machine of one claim on one lease, by a process that wants to lead a task."""

    def __init__(self, name: str, claim: int, ttl_ns: int, rng: random.Random, now: int) -> None:
        """Begin without the lease.

        Args:
            name: This process's name among the candidates.
            claim: A number drawn for this incarnation of the process, and for no other.
            ttl_ns: How long the lease lasts without a renewal.
            rng: Spreads the requests of many processes.
            now: The clock.
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
        self.next_claim_ns: int | None = None  # the next claim; None: after a watch event only
        self.in_flight: LeaseRequest | None = None
        self.sent_ns = 0
        self.request_count = 0
        self.failures = 0
        self.reason = ""  # why the store last rejected a claim
        self.is_leaving = False

    def _advance(self, now: int) -> int:
        """Move the clock on; one that jumps back stands still."""
        self.now_ns = max(self.now_ns, now)
        return self.now_ns

    # ---- what may be done ------------------------------------------------------------------------

    def token(self, now: int) -> int:
        """Return the fencing token to act under right now; 0: no effect is permitted."""
        now = self._advance(now)
        if self.phase is Phase.HELD and now >= self.expires_ns:
            self._expire(now)
        return self._token if self.phase is Phase.HELD and not self.is_leaving else 0

    def _enter_without_lease(self, phase: Phase) -> None:
        """Enter a phase without the lease."""
        self.phase = phase
        self._token = 0
        self.expires_ns = 0

    def _expire(self, now: int) -> None:
        """The TTL ran out without a renewal: claim anew, whoever holds the lease by now."""
        self._enter_without_lease(Phase.CLAIMING)
        if self.in_flight is None:
            self.next_claim_ns = now

    # ---- events ----------------------------------------------------------------------------------

    def lease_observed(self, lease: Lease | None, now: int) -> None:
        """Take in the lease as some node has it, late or not.

        It says when to claim, never what this process holds.
        """
        now = self._advance(now)
        if self.phase is Phase.RELEASED or self.is_leaving:
            return
        if lease is not None and lease.holder and lease.claim == self.claim:
            if self.phase is not Phase.HELD and self.in_flight is None:  # offered: take it
                self.next_claim_ns = now
            return
        if self.phase is Phase.HELD:
            self._observed_while_held(lease, now)
        elif self.phase is Phase.IDLE and self.in_flight is None and self.next_claim_ns is None:
            self._observed_while_idle(lease, now)

    def _observed_while_held(self, lease: Lease | None, now: int) -> None:
        if lease is None or lease.token <= self._token:
            return  # from a node that lags
        self._expire(now)
        if self.next_claim_ns is not None:
            self.next_claim_ns = now + self._jittered_ns(RENEWAL_FRACTION)

    def _observed_while_idle(self, lease: Lease | None, now: int) -> None:
        if lease is None or not lease.holder:
            spread_ns = min(FIRST_CLAIM_SPREAD_NS, self.ttl_ns * RENEWAL_FRACTION)
            self.next_claim_ns = now + int(self.rng.random() * spread_ns)
        elif len(lease.candidates) < MAX_CANDIDATES:
            # Room among the candidates: no hurry, and not all observers at once.
            self.next_claim_ns = now + self._jittered_ns(IDLE_FRACTION)

    def is_queue_full(self, lease: Lease | None) -> bool:
        """Return whether a claim would be rejected, as there is no room among the candidates."""
        return (
            lease is not None
            and bool(lease.holder)
            and lease.claim != self.claim
            and len(lease.candidates) >= MAX_CANDIDATES
            and all(candidate.claim != self.claim for candidate in lease.candidates)
        )

    def next_request(self, now: int, lease: Lease | None = None) -> LeaseRequest | None:
        """Return the request to send now, if any; one is in flight at a time.

        Args:
            now: The clock.
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
        """The request in flight, if it bears this number; it is in flight no more."""
        request = self.in_flight
        if request is None or request.number != number:
            return None
        self.in_flight = None
        return request

    def response_received(
        self, number: int, token: int, queue_position: int, reason: str, now: int
    ) -> None:
        """Take in the store's response: a token, a position among the candidates, or neither.

        Args:
            number: The request's.
            token: The fencing token granted; 0: none.
            queue_position: Among the candidates, from 1; 0: not queued.
            reason: Why a claim was rejected.
            now: The clock.
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
            # No room, or the claim was released: a watch event may bring the next claim on.
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
        self.token(now)  # a response may come when the TTL has run out

    def request_failed(self, number: int, reason: str, now: int) -> None:
        """Take in that a request had no response: whether the store took it is unknown.

        A holder goes on until its TTL runs out.
        """
        now = self._advance(now)
        request = self._finish_request(number)
        if request is None:
            return
        self.reason = reason
        self.failures += 1
        if request.kind is RequestKind.RELEASE:
            self._enter_without_lease(Phase.RELEASED)  # the store ends the lease after its TTL
            return
        doublings = min(self.failures - 1, MAX_BACKOFF_DOUBLINGS)
        backoff = min(RETRY_FRACTION * 2.0**doublings, RENEWAL_FRACTION)
        self.next_claim_ns = now + self._jittered_ns(backoff)

    def leave(self, now: int) -> None:
        """Release the lease, or the candidacy, with one request; no effect may follow."""
        self._advance(now)
        if self.phase is Phase.RELEASED or self.is_leaving:
            return
        if self.phase is Phase.IDLE and self.in_flight is None:
            self.phase = Phase.RELEASED
            self.next_claim_ns = None
            return
        self.is_leaving = True
        if self.in_flight is not None and self.in_flight.kind is RequestKind.CLAIM:
            self.in_flight = None  # its response, if one comes, is that of a released claim

    def _jittered_ns(self, fraction: float) -> int:
        """A fraction of the TTL, with jitter: many processes must not send in step."""
        return int(self.ttl_ns * fraction * self.rng.uniform(0.7, 1.0))

    @property
    def wake_ns(self) -> int | None:
        """When to call `next_request` next. None: only after an event."""
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
