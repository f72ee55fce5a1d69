"""Availability of upstreams for attempts: slow start, avoidance and the traffic plan."""

from __future__ import annotations

import random
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.upstream_stats import UpstreamStats

LOAD_QUERIES: Final = 3  # upstreams whose load is queried before an attempt, if queries are cheap
MAX_QUERY_PRICE: Final = 0.01  # maximum price of the load queries for one request
SLOW_START_FRACTION: Final = 0.7  # fraction of a starting upstream's capacity that is used


class Availability:
    """Decides which upstreams may receive an attempt now, and spaces attempts in slow start."""

    def __init__(
        self, settings: api.Settings, concurrency: ConcurrencyLimit, rng: random.Random
    ) -> None:
        self.settings = settings
        self.concurrency = concurrency
        self.rng = rng
        self.queries_load = (
            settings.limits.probes
            and "inflight" in settings.report_columns
            and settings.prices.probe * (LOAD_QUERIES + 1) <= MAX_QUERY_PRICE
        )
        self.plan = api.TrafficPlan()
        self.endpoints_trusted = True  # False: the endpoint list is too old
        self.attempts_per_upstream_s = 0.0  # this proxy's finished attempts at each upstream
        self.proxies_per_upstream = 1.0  # mean number of proxies with an upstream in their subset
        self.avoided: dict[int, UpstreamStats] = {}

    def avoid(self, upstream: UpstreamStats, until_ns: int) -> None:
        """Start no attempts at this upstream until the given time."""
        upstream.avoid_until_ns = until_ns
        self.avoided[upstream.id] = upstream

    def avoid_before_first_attempt(self, upstream: UpstreamStats, now: int) -> None:
        """Delay the first attempt in slow start by a random time.

        The first attempts of all proxies must not reach the upstream together.
        """
        gap_ns = self.slow_start_gap_ns(upstream, now)
        self.avoid(upstream, now + int(self.rng.random() * gap_ns))

    def is_in_slow_start(self, upstream: UpstreamStats, now: int) -> bool:
        """Return whether the upstream is in slow start, that is, started recently."""
        # Due to clock skew the start may be in the future. The upstream is in slow start then too,
        # unless slow start is off (0).
        started_ns = upstream.started_ns
        return bool(started_ns) and now - started_ns < self.settings.rules.slow_start_ns > 0

    def slow_start_gap_ns(self, upstream: UpstreamStats, now: int) -> int:
        """Return the minimum time between attempts at an upstream in slow start.

        Together, all proxies with the upstream in their subset stay below its capacity. A planned
        rate takes precedence. Otherwise the capacity is the larger of two estimates: this proxy's
        finished attempts at each upstream, and the rate that follows from the service time.
        """
        rules = self.settings.rules
        planned = self.plan.slow_start_rates_per_s.get(upstream.id)
        if planned is not None:
            return int(SECOND / planned) if planned > 0 else rules.slow_start_ns
        age = max(0, now - upstream.started_ns)  # clock skew may put the start in the future
        capacity = (
            rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age / rules.slow_start_ns
        )
        served_per_s = max(
            self.attempts_per_upstream_s,
            SECOND / self.concurrency.per_request_ns / self.proxies_per_upstream,
        )
        return int(
            SECOND / (SLOW_START_FRACTION * rules.overload_multiple * capacity * served_per_s)
        )

    def accepts(self, upstream: UpstreamStats, now: int) -> bool:
        """Return whether this upstream may receive an attempt now.

        Draws a random number if the traffic plan limits the upstream to a fraction.
        """
        if not upstream.is_usable or not self.endpoints_trusted or now < upstream.avoid_until_ns:
            return False
        fraction = upstream.traffic_fraction
        if fraction < 1.0 and self.rng.random() >= fraction:
            return False
        # An upstream that has failed or is in slow start gets one attempt at a time. If load is
        # queried before each attempt, this proxy's attempts in flight do not limit other upstreams.
        limit = (
            1
            if upstream.failure_count or self.is_in_slow_start(upstream, now)
            else self.concurrency.per_upstream
        )
        return upstream.in_flight < limit or (self.queries_load and not upstream.failure_count)
