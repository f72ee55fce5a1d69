"""By whose word a balancer knows the list of upstreams, and when it asks discovery itself. Pure.

One owner watches discovery and puts the list into the store; the others go by that. Where the
owner's word is missing or old, each asks by itself, at times drawn so that all of them together
make no more calls than `CALLS_S` a second: nobody can count the others when the store is away.
"""

from __future__ import annotations

import random

from loadbalancer.leases.fence import FencedReceiver, FencingPosition

SECOND = 1_000_000_000
OLD_NS = 12 * SECOND  # three times what the owner's watch of discovery may be silent
# A balancer that knows of no upstream waits no longer for the first word, and its first call is
# spread over the second at most: a restart routes within two seconds, store or no store.
FIRST_NS, FIRST_SPREAD_NS = SECOND // 4, SECOND // 2
CALLS_S = 10.0  # of all balancers together, where the owner is silent
LEAST_NS = SECOND  # between two calls of one


class Follower:
    def __init__(self, balancers: int, rng: random.Random, now: int) -> None:
        self.rng = rng
        self.receiver = FencedReceiver(FencingPosition())
        self.beat = 0  # how often the owner said that its list stands
        self.heard_ns = now  # the owner's last new word
        self.owner = False
        self.empty = True  # nothing is known yet
        self.every_ns = max(LEAST_NS, int(balancers / CALLS_S * SECOND))
        self.ask_ns = 0  # the next call of its own; 0: none is planned

    def owns(self, on: bool, now: int) -> None:
        self.owner = on
        self.heard_ns, self.ask_ns = now, 0

    def learn(self, word: FencingPosition, now: int) -> None:
        """What a majority has: heard before any other word is heeded."""
        self.receiver.learn(word)
        if word.token:
            self._fresh(now)

    def listed(self, word: FencingPosition, now: int) -> bool:
        """A list came. May it be gone by?"""
        if not self.receiver.accept(word):
            return False
        self.empty = False
        self._fresh(now)
        return True

    def stands(self, word: FencingPosition, beat: int, now: int) -> None:
        """The owner said that its list is still discovery's."""
        if word == self.receiver.highest and beat > self.beat:
            self._fresh(now)
        self.beat = beat

    def _fresh(self, now: int) -> None:
        self.heard_ns, self.ask_ns = now, 0

    def asks(self, now: int) -> bool:
        """Is it time for a call of its own?"""
        if self.owner:
            return False
        old = self.heard_ns + (FIRST_NS if self.empty else OLD_NS)
        if now < old:
            return False
        if not self.ask_ns:
            # All learn at once that the owner is silent: spread over the first round as over the
            # others.
            first = min(self.every_ns, FIRST_SPREAD_NS) if self.empty else self.every_ns
            self.ask_ns = now + int(self.rng.random() * first)
        if now < self.ask_ns:
            return False
        self.ask_ns = now + int(self.every_ns * self.rng.uniform(0.8, 1.2))
        return True

    @property
    def alone(self) -> bool:
        """Does it go by its own calls for now?"""
        return not self.owner and self.ask_ns > 0

    @property
    def wake_ns(self) -> int:
        return self.ask_ns or self.heard_ns + (FIRST_NS if self.empty else OLD_NS)
