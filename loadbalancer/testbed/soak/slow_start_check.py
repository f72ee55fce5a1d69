"""The budget of a cold upstream: what all balancers together may send to it in a window.

With N the requests that the settings allow in the window, more than N + 2 roots of N + 2 are too
many (N under 30: N + 3 roots of N + 3). The rule is broken if over two thirds of those came from
balancers that count as notified of the start.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from loadbalancer.testbed.soak.history import Attempt, ColdStart
from loadbalancer.testbed.soak.plan import SECOND

SMALL_BUDGET: Final = 30
NOTIFIED_SHARE: Final = 2 / 3

IsNotified = Callable[[Attempt, ColdStart], bool]


@dataclass(frozen=True, slots=True)
class SlowStartRules:
    """The settings that a budget follows from."""

    cold_share: float
    cold_ns: int
    multiple: float
    window_ns: int

    def budget(self, age_ns: int, warm_per_s: float) -> float:
        """Return N for a window that ends at this age, of an upstream that serves so much warm."""
        share = self.cold_share + (1 - self.cold_share) * min(age_ns, self.cold_ns) / self.cold_ns
        return self.multiple * share * warm_per_s * self.window_ns / SECOND


class Overload(NamedTuple):
    """The fullest window of a cold upstream, against its limit.

    Attributes:
        at_ns: The end of the window.
        sent: The requests in it.
        limit: The most that it may have.
        notified: Those from balancers that count as notified of the start.
    """

    at_ns: int
    sent: int
    limit: float
    notified: int

    @property
    def ratio(self) -> float:
        """The requests against the limit."""
        return self.sent / self.limit

    @property
    def is_breach(self) -> bool:
        """Whether the rule is broken."""
        return self.ratio > 1.0 and self.notified > NOTIFIED_SHARE * self.sent


def limit(budget: float) -> float:
    """Return the most requests in a window with this budget."""
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return budget + 2 * math.sqrt(budget) + 2


def windows(
    start: ColdStart,
    attempts: Sequence[Attempt],
    rules: SlowStartRules,
    is_notified: IsNotified,
) -> Iterator[Overload]:
    """Yield each window that ends with an attempt at this start of an upstream.

    Args:
        start: The start.
        attempts: All attempts.
        rules: What the budget follows from.
        is_notified: Whether an attempt's balancer counts as notified of the start.
    """
    sent = sorted(
        (
            attempt
            for attempt in attempts
            if attempt.upstream == start.change.upstream
            and attempt.process == start.process
            and attempt.whole_ns
            and attempt.whole_ns - start.started_ns < rules.cold_ns
        ),
        key=lambda attempt: attempt.whole_ns,
    )
    times = [attempt.whole_ns for attempt in sent]
    for last, at_ns in enumerate(times):
        first = bisect_right(times, at_ns - rules.window_ns)
        in_window = sent[first : last + 1]
        budget = rules.budget(at_ns - start.started_ns, start.warm_per_s)
        notified = sum(is_notified(attempt, start) for attempt in in_window)
        yield Overload(at_ns, len(in_window), limit(budget), notified)
