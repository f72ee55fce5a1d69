"""Availability of upstreams for attempts: avoidance, slow start and the traffic plan."""

from __future__ import annotations

import random
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.capacity_estimate import CapacityEstimate
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.policy.transitions import Transition
from loadbalancer.policy.upstream_stats import UpstreamStats

LOAD_QUERIES: Final = 3  # upstreams whose load is queried before an attempt, if queries are cheap
MAX_QUERY_PRICE: Final = 0.01  # maximum price of the load queries for one request


class Availability:
    """Decides which upstreams may receive an attempt now."""

    def __init__(
        self,
        settings: api.Settings,
        concurrency: ConcurrencyLimit,
        rng: random.Random,
        transitions: list[Transition],
    ) -> None:
        self.settings = settings
        self.concurrency = concurrency
        self.rng = rng
        self.queries_load = (
            settings.limits.probes
            and "inflight" in settings.report_columns
            and settings.prices.probe * (LOAD_QUERIES + 1) <= MAX_QUERY_PRICE
        )
        self.slow_start = SlowStart(
            settings.rules,
            CapacityEstimate(concurrency, max(1, settings.instance_count)),
            rng,
            transitions,
        )
        self.plan = api.TrafficPlan()
        self.endpoints_trusted = True  # False: the endpoint list is too old
        self.avoided: dict[int, UpstreamStats] = {}

    def avoid(self, upstream: UpstreamStats, until_ns: int) -> None:
        """Start no attempts at this upstream until the given time."""
        upstream.avoid_until_ns = until_ns
        self.avoided[upstream.id] = upstream

    def is_avoided(self, upstream: UpstreamStats, now: int) -> bool:
        """Return whether an attempt has to wait, after a failure or in slow start."""
        if now < upstream.avoid_until_ns:
            return True
        slow_start = self.slow_start
        return slow_start.is_active(upstream, now) and not slow_start.may_attempt(upstream, now)

    def note_avoided(self, upstream: UpstreamStats) -> None:
        """Count an upstream in slow start as avoided for as long as it is."""
        self.avoided[upstream.id] = upstream

    def accepts(self, upstream: UpstreamStats, now: int) -> bool:
        """Return whether this upstream may receive an attempt now.

        Draws a random number if the traffic plan limits the upstream to a fraction.
        """
        if not upstream.is_usable or not self.endpoints_trusted or self.is_avoided(upstream, now):
            return False
        fraction = upstream.traffic_fraction
        if fraction < 1.0 and self.rng.random() >= fraction:
            return False
        # An upstream that has failed gets one attempt at a time. If load is queried before each
        # attempt, this proxy's attempts in flight do not limit other upstreams.
        if upstream.failure_count:
            limit = 1
        elif self.slow_start.is_active(upstream, now):
            limit = self.slow_start.max_in_flight(upstream)
        else:
            limit = self.concurrency.per_upstream
        return upstream.in_flight < limit or (self.queries_load and not upstream.failure_count)
