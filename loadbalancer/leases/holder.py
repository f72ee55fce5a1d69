"""One process's side of a lease: it asks, waits its turn, holds, shows that it is there, gives
back.

Time counts from before a claim was **sent**, less what this clock may run slower than the store's
leader's: then it is over, whether anybody says so or not. A shell hands in the clock, what the
store answered and what a watch told; it carries out what `take` gives; and before each effect,
after each pause, it asks `token`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

from loadbalancer.leases.table import MOST_WAITING, Lease

MS = 1_000_000
DRIFT = (
    0.1  # a clock that runs slow by less than this leaves no gap; beyond it only the token protects
)
RENEW_PART = 1 / 3  # of the time, between two renewals
WAIT_PART = 1.0  # of it, between two words of a candidate, which is gone after twice its time
AGAIN_PART = (
    1 / 12
)  # of the time, before what failed is asked again; it doubles up to a renewal's distance
BEGIN_NS = (
    200 * MS
)  # first claims of a lease that is free are spread over this, by the share of the time


class Phase(Enum):
    OUT = "out"  # it does not want the lease, or looks on as there is no room
    ASKING = "asking"  # its claim is on the way, or will be
    WAITING = "waiting"  # a candidate
    HELD = "held"
    LEFT = "left"  # given back: this claim never returns


@dataclass(frozen=True, slots=True)
class Ask:
    """Carry out, and tell how it ended with `answered` or `failed`. `token` is that of a
    release.
    """

    what: str  # claim or release
    number: int
    token: int = 0


class Holder:
    def __init__(self, name: str, claim: int, ttl_ns: int, rng: random.Random, now: int) -> None:
        """`claim`: drawn for this life of the process, and of no other."""
        self.name = name
        self.claim = claim
        self.ttl_ns = ttl_ns
        self.rng = rng
        self.phase = Phase.OUT
        self.at = now
        self.until_ns = 0  # it may act until then
        self._token = 0
        self.place = 0
        self.due_ns = 0  # when to ask next; 0: on word from the watch only
        self.out: Ask | None = None
        self.sent_ns = 0
        self.number = 0
        self.failures = 0
        self.why = ""  # what the store said last, where it did not take a claim
        self.leaving = False

    def _now(self, now: int) -> int:
        """A clock that jumps back stands still."""
        self.at = max(self.at, now)
        return self.at

    # ---- what may be done ------------------------------------------------------------------------

    def token(self, now: int) -> int:
        """The token to act with right now; 0: it may not. To be asked before each effect."""
        now = self._now(now)
        if self.phase is Phase.HELD and now >= self.until_ns:
            self._lose(now)
        return self._token if self.phase is Phase.HELD and not self.leaving else 0

    def _lose(self, now: int) -> None:
        """Its time ran out unheard: whoever has it now, it asks anew."""
        self.phase, self._token, self.until_ns = Phase.ASKING, 0, 0
        if self.out is None:
            self.due_ns = now

    # ---- events ----------------------------------------------------------------------------------

    def seen(self, lease: Lease | None, now: int) -> None:
        """The row as some node has it, late or not: it tells when to ask, never what one holds."""
        now = self._now(now)
        if self.phase is Phase.LEFT or self.leaving:
            return
        if lease is not None and lease.holder and lease.claim == self.claim:
            if self.phase is not Phase.HELD and self.out is None:  # offered: take it
                self.due_ns = now
            return
        if self.phase is Phase.HELD:
            if (
                lease is not None and lease.token > self._token
            ):  # the log's own word that it went on
                self._lose(now)
                self.due_ns = self.due_ns and now + self._spread(RENEW_PART)
            return
        if self.phase is Phase.OUT and self.out is None and not self.due_ns:
            free = lease is None or not lease.holder
            if free:
                self.due_ns = now + int(self.rng.random() * min(BEGIN_NS, self.ttl_ns * RENEW_PART))
            elif lease is not None and len(lease.waiting) < MOST_WAITING:
                # Room among the candidates: no hurry, and not all who look on together.
                self.due_ns = now + self._spread(1.0)

    def full(self, lease: Lease | None) -> bool:
        """Is there no use in asking now?"""
        return (
            lease is not None
            and bool(lease.holder)
            and lease.claim != self.claim
            and len(lease.waiting) >= MOST_WAITING
            and all(c.claim != self.claim for c in lease.waiting)
        )

    def take(self, now: int, lease: Lease | None = None) -> Ask | None:
        """What is to be asked now, if anything; one thing at a time. `lease`: as last seen."""
        now = self._now(now)
        self.token(now)
        if self.out is not None or self.phase is Phase.LEFT:
            return None
        if self.leaving:
            self.number += 1
            self.out = Ask("release", self.number, self._token)
            return self.out
        if not self.due_ns or now < self.due_ns:
            return None
        if self.phase is Phase.OUT and self.full(lease):
            self.due_ns = 0
            return None
        self.number += 1
        self.due_ns, self.sent_ns = 0, now
        self.out = Ask("claim", self.number)
        if self.phase is Phase.OUT:
            self.phase = Phase.ASKING
        return self.out

    def answered(self, number: int, token: int, place: int, why: str, now: int) -> None:
        """The store's answer: a token, or a place among the candidates, or why not."""
        now = self._now(now)
        if self.out is None or self.out.number != number:
            return
        asked, self.out = self.out, None
        self.failures, self.why = 0, why
        if asked.what == "release":
            self.phase, self._token, self.until_ns = Phase.LEFT, 0, 0
            return
        if token:
            until = self.sent_ns + int(self.ttl_ns * (1 - DRIFT))
            self.place = 0
            self._token = token
            self.phase = Phase.HELD
            self.until_ns = max(self.until_ns, until)
            self.due_ns = max(now, self.sent_ns + self._spread(RENEW_PART))
            self.token(now)  # an answer may come when all is over
        elif place:
            self.phase, self._token, self.place = Phase.WAITING, 0, place
            self.due_ns = now + self._spread(WAIT_PART)
        else:
            # No room, or the claim was given back: word from the watch brings it on again.
            self.phase, self._token, self.place = Phase.OUT, 0, 0
            self.due_ns = now + self._spread(1.0)

    def failed(self, number: int, why: str, now: int) -> None:
        """It is not known whether the store took it. An owner goes on to its own end of time."""
        now = self._now(now)
        if self.out is None or self.out.number != number:
            return
        asked, self.out = self.out, None
        self.why = why
        self.failures += 1
        if asked.what == "release":
            self.phase, self._token, self.until_ns = Phase.LEFT, 0, 0  # its time ends it
            return
        wait = min(AGAIN_PART * 2.0 ** min(self.failures - 1, 8), RENEW_PART)
        self.due_ns = now + self._spread(wait)

    def leave(self, now: int) -> None:
        """Give it back, in one message; no effect may follow."""
        self._now(now)
        if self.phase is Phase.LEFT or self.leaving:
            return
        if self.phase is Phase.OUT and self.out is None:
            self.phase, self.due_ns = Phase.LEFT, 0
            return
        self.leaving = True
        if self.out is not None and self.out.what == "claim":
            self.out = None  # its answer, if one comes, is that of a claim which is given back

    def _spread(self, part: float) -> int:
        """Not two processes at one beat."""
        return int(self.ttl_ns * part * self.rng.uniform(0.7, 1.0))

    @property
    def wake_ns(self) -> int:
        """When to look again; 0: only when something comes."""
        if self.phase is Phase.LEFT:
            return 0
        if self.leaving and self.out is None:
            return self.at
        times = [self.due_ns] if self.due_ns and self.out is None else []
        if self.phase is Phase.HELD:
            times.append(self.until_ns)
        return min(times, default=0)
