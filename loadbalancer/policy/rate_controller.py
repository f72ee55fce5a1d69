"""The proxy's rate, learned from how attempts end, and its division among the tenants."""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from operator import attrgetter
from typing import Final

from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.token_bucket import START_RATE, Throttle

BY_RATIO = attrgetter("ratio")
BY_RATIO_AND_PLACE = attrgetter("ratio", "place")
FEEDBACK_NS = SECOND // 2
SLACK: Final = (
    0.2  # R comes down only when answers take this much more of their aim than is crowded
)
CLIMB = 1.1, 2.0  # of R in one interval: the second while nothing is crowded
FEW_ASK: Final = 64  # tenants in one interval that are put into their order one by one
CALM = -0.1  # stress is so far below crowded, and not one attempt in so many failed or was late
FEW: Final = 8
LEAST: Final = 0.2  # of what was served in good times, R keeps; forgotten in a minute
BEST_FADE: Final = 0.98
DEEPEST_CUT: Final = 0.3  # of R in one feedback interval
EVIDENCE: Final = 8  # outcomes before a figure is believed


class Rate:
    """The proxy's rate R, learned from how attempts end, and its division among the tenants."""

    def __init__(self, throttles: list[Throttle], now: int) -> None:
        self.throttles = throttles
        for i, t in enumerate(throttles):
            t.place = i
        self.whole = sum(t.weight for t in throttles)
        # Those that ever asked, by what they want for their weight, equals as they are listed.
        self.order: list[Throttle] = []
        self.value = START_RATE
        self.since = now
        self.sent = 0.0  # attempts ended a second
        self.served = START_RATE  # and those of them in time
        self.good = 0
        self.unplaced = 0  # requests that no upstream had room for in time
        self.bad = 0
        self.best = 1.0  # served a second in good times, slowly forgotten

    def adjust(self, now: int, excess: float) -> None:
        elapsed = now - self.since
        total = self.good + self.bad + self.unplaced
        # A proxy with little traffic waits for enough outcomes, but not for ever.
        if elapsed < FEEDBACK_NS or (total < EVIDENCE and elapsed < 4 * FEEDBACK_NS):
            return
        self.served = self.good * SECOND / elapsed
        self.sent = (self.good + self.bad) * SECOND / elapsed
        self.best = max(self.served, self.best * BEST_FADE)
        quick = excess < CALM
        # Judged by what lately ended, not by this interval: of eight outcomes one is late on any
        # good day.
        excess += self.unplaced / max(1, total) - SLACK
        if excess > 0:
            # After a shrink R stands far above what is served: come down to that first. But where
            # what is sent is answered quickly, little was sent as little was let through, as in the
            # rush of a start.
            top = self.value if quick else min(self.value, 1.2 * self.sent + 1)
            cut = top * (1 - min(DEEPEST_CUT, excess))
            self.value = max(LEAST * self.best, 0.9 * self.served, cut)
        elif total and any(t.short for t in self.throttles):
            # Where nothing is crowded, what is short is R itself: it must not starve a fleet for
            # seconds.
            calm = excess < CALM - SLACK and FEW * self.bad <= self.good
            climb = CLIMB[1] if calm else CLIMB[0]
            self.value = min(START_RATE, self.value * climb + 0.5)
        self._learn(elapsed)
        self._share(now)
        self.since, self.good, self.bad, self.unplaced = now, 0, 0, 0

    def recall(self, value: float, demands: Iterable[tuple[Throttle, float]], now: int) -> None:
        self.value = self.served = min(self.value, value)
        for t, demand in demands:
            t.demand = max(0.0, demand)
        for t in self.throttles:
            t.ratio, t.lent, t.fair = t.demand / t.weight, 0.0, 0.0
        self.order = sorted([t for t in self.throttles if t.demand], key=BY_RATIO)
        self._share(now)

    def _learn(self, elapsed: int) -> None:
        """What each wants. Those that did not ask keep their order, as all want half as much as
        before.
        """
        asked = [t for t in self.throttles if t.asked]
        order: list[Throttle] = []
        sort, ratio, place = len(asked) > FEW_ASK, 0.0, -1
        for t in self.order:
            if not t.asked:
                t.demand += 0.5 * (0.0 - t.demand)
                t.ratio = t.demand / t.weight
                sort = (
                    sort or t.ratio < ratio or t.ratio == ratio and t.place < place
                )  # rounded near nothing
                ratio, place = t.ratio, t.place
                order.append(t)
        for t in asked:
            t.demand += 0.5 * (t.asked * SECOND / elapsed - t.demand)
            t.ratio = t.demand / t.weight
            t.asked, t.short = 0, False
            if sort:
                order.append(t)
            else:
                bisect.insort(order, t, key=BY_RATIO_AND_PLACE)
        if sort:
            order.sort(key=BY_RATIO_AND_PLACE)
        self.order = order

    def _share(self, now: int) -> None:
        """Fair shares of R by weight; what quiet tenants leave is lent to those who want more."""
        lent, fair, weights = self.value, self.served, self.whole
        for t in self.throttles:
            if t.ratio == 0.0:
                weights = max(1e-9, weights - t.weight)
        for t in self.order:
            t.lent = min(t.demand, lent * t.weight / weights)
            t.fair = min(t.demand, fair * t.weight / weights)
            lent, fair = max(0.0, lent - t.lent), max(0.0, fair - t.fair)
            if t.ratio:
                weights = max(1e-9, weights - t.weight)
        # Each has its own phase of ticks, rounded at each step, which no sum of steps gives: so all
        # take each step, also those that ask for nothing, and a step must be cheap.
        last = None
        for t in self.throttles:
            rate = max(max(0.05, self.value * t.weight / self.whole), t.lent + lent)
            t.set_rate(rate, now, last if last is not None and last.rate == rate else None)
            last = t  # those of one weight that ask for nothing have the same
            t.over = t.demand > 1.1 * (
                t.fair + fair
            )  # it asks more than its share of what is served
