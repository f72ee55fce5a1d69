"""The proxy's admission rate, learned from attempt outcomes, and its division among tenants."""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from operator import attrgetter
from typing import Final

from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.requests import Request
from loadbalancer.policy.token_bucket import START_RATE, TokenBucket

BY_DEMAND_RATIO = attrgetter("demand_ratio")
BY_DEMAND_RATIO_AND_INDEX = attrgetter("demand_ratio", "index")
FEEDBACK_NS = SECOND // 2
MAX_FEEDBACK_NS = 4 * FEEDBACK_NS  # interval when there are fewer than MIN_OUTCOMES outcomes
MIN_OUTCOMES: Final = 8  # outcomes needed for a reliable estimate
# The rate decreases only when the latency ratio, the fraction of the latency objective that
# responses take, exceeds the overload ratio by more than this.
OVERLOAD_SLACK: Final = 0.2
# Growth of the rate in one interval: normally, and while nothing is overloaded.
INCREASE_FACTOR: Final = 1.1
FAST_INCREASE_FACTOR: Final = 2.0
# Nothing is overloaded if the latency ratio is this far below the overload ratio and at least
# MIN_SUCCESSES_PER_FAILURE attempts succeeded in time for each one that failed or was late.
NO_OVERLOAD_EXCESS: Final = -0.1
MIN_SUCCESSES_PER_FAILURE: Final = 8
MAX_DECREASE: Final = 0.3  # fraction of the rate in one interval
# A decrease starts from at most FINISHED_FACTOR times the finished attempts of the last interval,
# and never goes below SERVED_FACTOR times those that were served in time.
FINISHED_FACTOR: Final = 1.2
SERVED_FACTOR: Final = 0.9
MIN_INCREASE: Final = 0.5  # requests a second in one interval
DEMAND_GAIN: Final = 0.5  # smoothing gain of a tenant's demand, in one interval
# Lower bound of the rate, as a fraction of the best served rate, which decays within a minute.
MIN_RATE_FRACTION: Final = 0.2
BEST_SERVED_DECAY: Final = 0.98
MIN_TENANT_RATE: Final = 0.05
MAX_SINGLE_INSERTS: Final = 64  # active tenants; with more, the order is sorted as a whole
OVER_SHARE_FACTOR: Final = 1.1
MIN_TOTAL_WEIGHT: Final = 1e-9


class RateController:
    """Learns the admission rate R from attempt outcomes, and divides it among the tenants.

    Attributes:
        rate: R, in requests a second.
        finished_per_s: Attempts a second that finished in the last interval.
        served_per_s: Attempts a second that finished in time, errors of upstreams included.
    """

    def __init__(self, buckets: list[TokenBucket[Request]], now: int) -> None:
        self.buckets = buckets
        for index, bucket in enumerate(buckets):
            bucket.index = index
        self.total_weight = sum(bucket.weight for bucket in buckets)
        # Buckets that have had a request, sorted by demand ratio and then by index.
        self.by_demand: list[TokenBucket[Request]] = []
        self.rate = START_RATE
        self.adjusted_ns = now
        self.finished_per_s = 0.0
        self.served_per_s = START_RATE
        self.best_served_per_s = 1.0  # decaying maximum of `served_per_s`
        # Outcomes since the rate was last adjusted.
        self.in_time_count = 0
        self.failure_count = 0  # attempts that failed or were late
        self.unplaced_count = 0  # requests given up for lack of upstream capacity

    def adjust(self, now: int, excess: float) -> None:
        """Adjust the rate if the feedback interval is over.

        Args:
            now: The time in nanoseconds.
            excess: Latency ratio above the overload ratio.
        """
        elapsed = now - self.adjusted_ns
        total = self.in_time_count + self.failure_count + self.unplaced_count
        # A proxy with little traffic waits longer for enough outcomes, but at most MAX_FEEDBACK_NS.
        if elapsed < FEEDBACK_NS or (total < MIN_OUTCOMES and elapsed < MAX_FEEDBACK_NS):
            return
        self.served_per_s = self.in_time_count * SECOND / elapsed
        self.finished_per_s = (self.in_time_count + self.failure_count) * SECOND / elapsed
        self.best_served_per_s = max(self.served_per_s, self.best_served_per_s * BEST_SERVED_DECAY)
        is_low_latency = excess < NO_OVERLOAD_EXCESS
        # The latency ratio averages over recent responses rather than this interval alone: even
        # without overload, one of eight outcomes may be late.
        excess += self.unplaced_count / max(1, total) - OVERLOAD_SLACK
        if total:
            self._adjust_rate(excess, is_low_latency)
        self._update_demands(elapsed)
        self._divide_rate(now)
        self.adjusted_ns = now
        self.in_time_count = 0
        self.failure_count = 0
        self.unplaced_count = 0

    def _adjust_rate(self, excess: float, is_low_latency: bool) -> None:
        """Decrease or increase the rate.

        Called only if the interval had outcomes: without any, the latency ratio is out of date.
        """
        if excess > 0:
            self._decrease(excess, is_low_latency)
        elif any(bucket.had_token_shortage for bucket in self.buckets):
            self._increase(excess)

    def _decrease(self, excess: float, is_low_latency: bool) -> None:
        # After a loss of upstreams the rate is far above the finished rate, so it first drops to
        # that. With low latency, however, few attempts finished because few were admitted, for
        # example during the burst after a start, and the rate is kept as the base.
        base_rate = (
            self.rate
            if is_low_latency
            else min(self.rate, FINISHED_FACTOR * self.finished_per_s + 1)
        )
        decreased = base_rate * (1 - min(MAX_DECREASE, excess))
        self.rate = max(
            MIN_RATE_FRACTION * self.best_served_per_s,
            SERVED_FACTOR * self.served_per_s,
            decreased,
        )

    def _increase(self, excess: float) -> None:
        # If nothing is overloaded, the rate itself is the bottleneck. It grows fast so that the
        # upstreams do not stay underused for seconds.
        increases_fast = (
            excess < NO_OVERLOAD_EXCESS - OVERLOAD_SLACK
            and MIN_SUCCESSES_PER_FAILURE * self.failure_count <= self.in_time_count
        )
        factor = FAST_INCREASE_FACTOR if increases_fast else INCREASE_FACTOR
        self.rate = min(START_RATE, self.rate * factor + MIN_INCREASE)

    def restore(
        self, rate: float, demands: Iterable[tuple[TokenBucket[Request], float]], now: int
    ) -> None:
        """Restore the rate and the demands that were learned before a restart."""
        self.rate = min(self.rate, rate)
        self.served_per_s = self.rate
        for bucket, demand in demands:
            bucket.demand = max(0.0, demand)
        for bucket in self.buckets:
            bucket.demand_ratio = bucket.demand / bucket.weight
            bucket.granted_rate = 0.0
            bucket.fair_rate = 0.0
        with_demand = [bucket for bucket in self.buckets if bucket.demand]
        self.by_demand = sorted(with_demand, key=BY_DEMAND_RATIO)
        self._divide_rate(now)

    def _update_demands(self, elapsed: int) -> None:
        """Update each tenant's demand, and the order of the buckets by demand ratio.

        Tenants without a request keep their relative order, as their demands all decay by the same
        factor.
        """
        active = [bucket for bucket in self.buckets if bucket.request_count]
        needs_sort = len(active) > MAX_SINGLE_INSERTS
        order: list[TokenBucket[Request]] = []
        last_ratio = 0.0
        last_index = -1
        for bucket in self.by_demand:
            if not bucket.request_count:
                bucket.demand += DEMAND_GAIN * (0.0 - bucket.demand)
                ratio = bucket.demand / bucket.weight
                bucket.demand_ratio = ratio
                # Rounding of very small demands may change the order.
                needs_sort = (
                    needs_sort
                    or ratio < last_ratio
                    or (ratio == last_ratio and bucket.index < last_index)
                )
                last_ratio = ratio
                last_index = bucket.index
                order.append(bucket)
        for bucket in active:
            demand = bucket.request_count * SECOND / elapsed
            bucket.demand += DEMAND_GAIN * (demand - bucket.demand)
            bucket.demand_ratio = bucket.demand / bucket.weight
            bucket.request_count = 0
            bucket.had_token_shortage = False
            if needs_sort:
                order.append(bucket)
            else:
                bisect.insort(order, bucket, key=BY_DEMAND_RATIO_AND_INDEX)
        if needs_sort:
            order.sort(key=BY_DEMAND_RATIO_AND_INDEX)
        self.by_demand = order

    def _divide_rate(self, now: int) -> None:
        """Divide the rate by weight; the unused share of a tenant goes to the others."""
        rate_left = self.rate
        served_left = self.served_per_s
        weight_left = self.total_weight
        for bucket in self.buckets:
            if bucket.demand_ratio == 0.0:
                weight_left = max(MIN_TOTAL_WEIGHT, weight_left - bucket.weight)
        for bucket in self.by_demand:
            granted = min(bucket.demand, rate_left * bucket.weight / weight_left)
            fair = min(bucket.demand, served_left * bucket.weight / weight_left)
            bucket.granted_rate = granted
            bucket.fair_rate = fair
            rate_left = max(0.0, rate_left - granted)
            served_left = max(0.0, served_left - fair)
            if bucket.demand_ratio:
                weight_left = max(MIN_TOTAL_WEIGHT, weight_left - bucket.weight)
        # Each bucket accumulates its fraction of a token with a rounding error at each step, so
        # several steps can't be replaced by one. Hence every bucket is updated in every interval,
        # even without requests, and an update must be cheap.
        last: TokenBucket[Request] | None = None
        for bucket in self.buckets:
            minimum = max(MIN_TENANT_RATE, self.rate * bucket.weight / self.total_weight)
            rate = max(minimum, bucket.granted_rate + rate_left)
            bucket.set_rate(rate, now, last if last is not None and last.rate == rate else None)
            last = bucket  # tenants of equal weight without requests have equal rates
            bucket.is_over_share = bucket.demand > OVER_SHARE_FACTOR * (
                bucket.fair_rate + served_left
            )
