"""Owners, and the store under them, with one bug each, planted to see that the books of `owners`
catch it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from loadbalancer.leases import table
from loadbalancer.leases.expiry import ActiveClaim, LeaseExpiry
from loadbalancer.leases.fence import FencingPosition
from loadbalancer.leases.holder import LeaseHolder
from loadbalancer.testbed.cluster import owners
from loadbalancer.testbed.cluster.owners import Box, Owners
from loadbalancer.testbed.cluster.plans import Outcome


class TimeFromAnswer(LeaseHolder):
    """Its time counts from when the store's answer came."""

    def response_received(
        self, number: int, token: int, queue_position: int, reason: str, now: int
    ) -> None:
        self.sent_ns = now
        super().response_received(number, token, queue_position, reason, now)


@contextmanager
def no_token_check() -> Iterator[None]:
    """The store takes a write under any token."""
    with patch.object(table.Lease, "permits", lambda lease, token: True):
        yield


@contextmanager
def hasty_leader() -> Iterator[None]:
    """A new leader takes it that all leases were over when it came."""
    real = LeaseExpiry.__init__

    def begun(expiry: LeaseExpiry, running: Iterable[ActiveClaim], now: int) -> None:
        real(expiry, [one._replace(ttl_ms=1) for one in running], now)

    with patch.object(LeaseExpiry, "__init__", begun):
        yield


@contextmanager
def token_from_clock() -> Iterator[None]:
    """A token is the time of who asked."""
    real = table.claim

    def claimed(
        lease: table.Lease, who: table.Candidate, token: int, time_ms: int
    ) -> table.Outcome:
        return real(lease, who, time_ms // 500, time_ms)

    with patch.object(table, "claim", claimed):
        yield


@contextmanager
def forgets_highest() -> Iterator[None]:
    """A receiver that restarts heeds whoever speaks first."""
    with patch.object(Box, "learn", lambda box: box.receiver.learn(FencingPosition())):
        yield


@contextmanager
def released_by_anybody() -> Iterator[None]:
    """A release is taken, whoever says it."""
    real = table.release

    def released(
        lease: table.Lease, number: int, token: int, next_token: int, time_ms: int
    ) -> table.Outcome:
        return real(lease, lease.claim or number, 0, next_token, time_ms)

    with patch.object(table, "release", released):
        yield


@contextmanager
def nothing() -> Iterator[None]:
    yield


def careless(fleet: Owners) -> None:
    """An effect goes out after a pause without another look at the clock."""
    fleet.careless = True


Plant = tuple[Callable[[], Any], type[LeaseHolder], Callable[[Owners], None]]
PLANTS: dict[str, Plant] = {
    "no-token-check": (no_token_check, LeaseHolder, lambda fleet: None),
    "time-from-answer": (nothing, TimeFromAnswer, lambda fleet: None),
    "hasty-leader": (hasty_leader, LeaseHolder, lambda fleet: None),
    "token-from-clock": (token_from_clock, LeaseHolder, lambda fleet: None),
    "forgets-highest": (forgets_highest, LeaseHolder, lambda fleet: None),
    "no-look-after-pause": (nothing, LeaseHolder, careless),
    "released-by-anybody": (released_by_anybody, LeaseHolder, lambda fleet: None),
}


def played(name: str, seed: int) -> Outcome:
    """A run with this bug planted, clocks as they should be."""
    around, make, prepare = PLANTS[name]
    with around():
        return owners.play(seed, make, False, prepare)
