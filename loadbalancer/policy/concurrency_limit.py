"""How many requests of this proxy may be in flight, and what a request takes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from loadbalancer.policy.clock import SECOND

if TYPE_CHECKING:
    from loadbalancer.policy.requests import Attempt, Request

# Requests of all proxies together in flight at each upstream: about one for each core, and half as
# many again while others wait. What stands there beyond that wins nothing, and a crowd of it makes
# an upstream slow for long. Requests do not come evenly: a proxy begins with the root of its part
# on top, and may come to WIDE.
START_WINDOW: Final = 2
WIDEST: Final = 1.5
WIDE: Final = 10.0
EASE = (0.35, 0.8)  # part of its aim that an attempt may take; times what it takes in good times
CROWD: Final = 3.0
# So long it takes to feel a crowd, and to take it for good times. Where answers are many this must
# not go by their number: a crowd would pass for normal within a second, and one slow answer for a
# crowd.
FELT_NS = SECOND // 4
GROWN_USED_NS = 60 * SECOND
STRESS_MAX: Final = 1.5  # worse than that counts no more
STEP: Final = 0.5  # of the window for each outcome
# Of an upstream that is met each second or so an answer moves the belief by the first part; the
# rarer it is met, the more, to the second: in a large home one that turned slow must not take ten
# answers to be found.
PACE_FELT = (0.2, 0.5)
PACE_FELT_NS = 4 * SECOND


class Crowding:
    """Learns what requests take, and how many of this proxy's own may be in flight.

    Extension: among hundreds of proxies own counts say little of an upstream, but all feel it when
    it is crowded. Each keeps a window over all it has in flight; beyond it requests wait in the
    line.
    """

    def __init__(self) -> None:
        self.start = self.window = (
            0.5  # own requests that may be in flight, for each upstream within reach
        )
        self.widest = WIDEST * self.window
        self.stress = 0.0  # part of its aim that an answer took lately
        self.calm = EASE[0] / CROWD  # and takes in good times
        self.gap, self.felt_ns = (
            float(SECOND),
            0,
        )  # time from one answer to the next, and the last one's
        self.ease = EASE[0]  # above this, upstreams are crowded
        self.seen = 0
        self.each = SECOND / 50  # time for each request that an upstream holds
        self.taken: dict[str, float] = {}  # class -> time, or time per hinted time
        self.spread = 0.5  # mean deviation from the expected

    @property
    def limit(self) -> int:
        """How many of them may be at any one upstream."""
        return math.ceil(self.window)

    def expected(self, r: Request) -> float:
        if r.hint:
            return self.taken.get("", 1.0) * r.hint
        return self.taken.get(r.cls.name, r.cls.latency_objective_ns / 8)

    def note(self, r: Request, a: Attempt, took: int) -> None:
        server = a.server
        name, base = ("", float(r.hint)) if r.hint else (r.cls.name, 1.0)
        was = self.taken.get(name)
        self.taken[name] = (
            took / base if was is None else was + 0.05 * (min(took / base, 8 * was) - was)
        )
        self.crowd(a, took)
        ratio = took / max(1.0, self.expected(r))
        self.spread += 0.05 * (min(3.0, abs(ratio / server.pace - 1)) - self.spread)
        now = a.sent_ns + took
        felt = min(PACE_FELT[1], max(PACE_FELT[0], (now - server.met_ns) / PACE_FELT_NS))
        server.met_ns = now
        server.pace += felt * (min(10.0, max(0.1, ratio)) - server.pace)

    def crowd(self, a: Attempt, took: int) -> None:
        if a.opens:
            # it tells what opening a connection takes, and would pass for a crowd at each start
            return
        self.seen += (
            1  # the first ones count more: a proxy with little traffic can't wait for twenty
        )
        self.each += max(0.05, 1 / self.seen) * (max(1, took) / a.load - self.each)

    def begin(self, start: float, widest: float) -> None:
        """A list came: what this proxy may have in flight before it knows better, and comes back
        to, and what it may at most.
        """
        self.start, self.widest = start, widest
        if not self.seen:
            self.window = start

    def crowded(self) -> bool:
        return self.stress > self.ease

    def feel(self, stress: float, waiting: bool, width: int, now: int) -> None:
        """An attempt took this part of its aim: widen the window while others wait, or narrow
        it.
        """
        stress = min(stress, STRESS_MAX)
        self.gap += 0.05 * (min(SECOND, now - self.felt_ns) - self.gap)
        self.felt_ns = now
        rise = min(0.002, self.gap / GROWN_USED_NS)
        self.stress += min(0.1, self.gap / FELT_NS) * (stress - self.stress)
        self.calm += (0.05 if self.stress < self.calm else rise) * (self.stress - self.calm)
        self.ease = min(EASE[1], max(EASE[0], CROWD * self.calm))
        step = STEP * (self.ease - stress) / max(1, width)
        if waiting or step < 0 or self.window < self.start:
            self.window = max(1 / max(1, width), min(self.window + step, self.widest))
