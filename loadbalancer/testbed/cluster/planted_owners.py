"""Owners, and the store under them, with one bug each, planted to see that the books of `owners`
catch it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from loadbalancer.leases import table
from loadbalancer.leases.expiry import Expiry, Running
from loadbalancer.leases.fence import Word
from loadbalancer.leases.holder import Holder
from loadbalancer.testbed.cluster import owners
from loadbalancer.testbed.cluster.owners import Box, Owners
from loadbalancer.testbed.cluster.plans import Outcome


class TimeFromAnswer(Holder):
    """Its time counts from when the store's answer came."""

    def answered(self, number: int, token: int, place: int, why: str, now: int) -> None:
        self.sent_ns = now
        super().answered(number, token, place, why, now)


@contextmanager
def no_token_check() -> Iterator[None]:
    """The store takes a write under any token."""
    with patch.object(table.Lease, "guards", lambda lease, token: True):
        yield


@contextmanager
def hasty_leader() -> Iterator[None]:
    """A new leader takes it that all leases were over when it came."""
    real = Expiry.__init__

    def begun(expiry: Expiry, running: Iterable[Running], now: int) -> None:
        real(expiry, [one._replace(ttl_ms=1) for one in running], now)

    with patch.object(Expiry, "__init__", begun):
        yield


@contextmanager
def token_from_clock() -> Iterator[None]:
    """A token is the time of who asked."""
    real = table.claim

    def claimed(lease: table.Lease, who: table.Claimant, token: int, time_ms: int) -> table.Outcome:
        return real(lease, who, time_ms // 500, time_ms)

    with patch.object(table, "claim", claimed):
        yield


@contextmanager
def forgets_highest() -> Iterator[None]:
    """A receiver that restarts heeds whoever speaks first."""
    with patch.object(Box, "learn", lambda box: box.receiver.learn(Word())):
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


Plant = tuple[Callable[[], Any], type[Holder], Callable[[Owners], None]]
PLANTS: dict[str, Plant] = {
    "no-token-check": (no_token_check, Holder, lambda fleet: None),
    "time-from-answer": (nothing, TimeFromAnswer, lambda fleet: None),
    "hasty-leader": (hasty_leader, Holder, lambda fleet: None),
    "token-from-clock": (token_from_clock, Holder, lambda fleet: None),
    "forgets-highest": (forgets_highest, Holder, lambda fleet: None),
    "no-look-after-pause": (nothing, Holder, careless),
    "released-by-anybody": (released_by_anybody, Holder, lambda fleet: None),
}


def played(name: str, seed: int) -> Outcome:
    """A run with this bug planted, clocks as they should be."""
    around, make, prepare = PLANTS[name]
    with around():
        return owners.play(seed, make, False, prepare)
