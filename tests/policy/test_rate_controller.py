"""The learned admission rate R."""

from __future__ import annotations

import random

from loadbalancer.policy import Request, TokenBucket
from loadbalancer.policy.rate_controller import MAX_FEEDBACK_NS, RateController
from tests.bench import SECOND

OVERLOADED = 0.5  # excess of the latency ratio of recent responses over the overload ratio


def controller() -> RateController:
    """Return a rate controller with two tenants of equal weight."""
    buckets: list[TokenBucket[Request]] = [TokenBucket(1.0, random.Random(1), 0) for _ in range(2)]
    return RateController(buckets, 0)


def test_idle_proxy_keeps_its_rate() -> None:
    """Guards against a rate that decays while no requests arrive.

    It fell by a third every 2 s, almost to zero, and the first requests after the pause were lost.
    """
    rate = controller()
    rate.in_time_count = 100
    rate.adjust(SECOND, OVERLOADED)
    learned = rate.rate
    assert learned < 1_000.0
    for step in range(1, 1_200):  # 40 minutes
        rate.adjust(SECOND + step * MAX_FEEDBACK_NS, OVERLOADED)
    assert rate.rate == learned


def test_failures_count_as_outcomes_and_overload_reduces_the_rate() -> None:
    rate = controller()
    rate.in_time_count = 100
    rate.adjust(SECOND, OVERLOADED)
    learned = rate.rate
    for step in range(1, 5):
        rate.failure_count = 20
        rate.adjust(SECOND + step * SECOND, OVERLOADED)
    assert rate.rate < learned / 2
