"""One tenant's token bucket with a job buffer (Berger and Whitt)."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import TYPE_CHECKING, Final

from loadbalancer.policy.clock import SECOND

if TYPE_CHECKING:
    from loadbalancer.policy.requests import Request

BANK_S: Final = 0.5  # C_T in seconds of tokens
HOLD_PART: Final = 0.2  # C_J as a part of C_T
START_RATE: Final = 10_000.0  # R starts above anything a proxy carries


class Throttle:
    """One tenant's gate: the paper's counter U = T - J + C_J in [0, C_J + C_T] (2.1), (2.8)."""

    def __init__(self, weight: float, rng: random.Random, now: int) -> None:
        self.weight = weight
        self.bank = round(START_RATE * BANK_S)  # C_T
        self.hold = self.least = round(self.bank * HOLD_PART)  # C_J; and where none is held
        self.u = self.bank + self.hold  # starts full
        self.rate = START_RATE
        self.credit = (
            rng.random()
        )  # phase of the ticks: proxies must not release their holds in step
        self.at = now
        self.held: list[
            Request
        ] = []  # an empty deque takes ten times the memory, and most hold none
        self.asked = 0
        self.demand = 0.0  # requests a second, learned
        self.waking = False  # a timer for the next token is set
        self.over = False
        self.short = False  # a request found no token since R was last set
        self.share = (
            0.0  # requests a second within its share here, where the fleet's plan tells; else 0
        )
        self.share_left, self.share_ns = 0.0, now  # of a second's worth
        self.place = 0  # among all, as the settings list them
        self.ratio = (
            0.0  # what it wants by its weight; of that it is given by R, and by what is served
        )
        self.lent = self.fair = 0.0

    def set_rate(self, rate: float, now: int, like: Throttle | None = None) -> None:
        """Change the rate and with it the capacities; tokens in the bank and requests held stay.
        `like`: one that has this rate already.
        """
        self.accrue(now)
        balance = self.u - self.hold  # T - J
        self.rate = rate
        self.bank = like.bank if like is not None else max(4, round(rate * BANK_S))
        self.least = like.least if like is not None else max(1, round(self.bank * HOLD_PART))
        self.hold = max(self.least, len(self.held))
        self.u = max(0, min(self.bank + self.hold, balance + self.hold))

    def beyond(self, now: int) -> bool:
        """Is this request more than its share, where that is told?"""
        self.share_left = min(
            self.share, self.share_left + self.share * (now - self.share_ns) / SECOND
        )
        self.share_ns = now
        if self.share_left < 1.0:
            return self.share > 0
        self.share_left -= 1.0
        return False

    def accrue(self, now: int) -> None:
        self.credit += self.rate * (now - self.at) / SECOND
        ticks = int(self.credit)
        self.at, self.credit = now, self.credit - ticks
        self.u = min(self.bank + self.hold, self.u + ticks)

    def offer(self, request: Request, now: int) -> bool | None:
        """True: send; None: held; False: overflow."""
        self.accrue(now)
        self.asked += 1
        if self.u <= self.hold:
            self.short = True
        if self.u < 1:
            return False
        self.u -= 1
        if self.u >= self.hold:
            return True
        self.held.append(request)
        return None

    def spare(self, now: int) -> bool:
        """Take a token for a copy or a client's retry, if fresh work leaves part of the bank
        unused.
        """
        self.accrue(now)
        if self.u - self.hold <= self.bank // 4:
            return False
        self.u -= 1
        return True

    def released(self, now: int) -> Iterable[Request]:
        self.accrue(now)
        while len(self.held) > max(0, self.hold - self.u):
            yield self.held.pop(0)

    def leave(self, request: Request) -> None:
        """A held request ends: the token it waited for is not needed."""
        self.held.remove(request)
        self.u += 1
