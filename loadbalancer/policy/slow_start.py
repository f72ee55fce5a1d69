"""Slow start: the spacing of this proxy's attempts at upstreams that started recently."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from loadbalancer.policy import api
from loadbalancer.policy.capacity_estimate import CapacityEstimate
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.transitions import (
    SlowStartBegan,
    SlowStartEnd,
    SlowStartEnded,
    Transition,
)
from loadbalancer.policy.upstream_stats import UpstreamStats


@dataclass(slots=True)
class _Start:
    """One slow start of an upstream."""

    upstream: UpstreamStats
    started_ns: int
    attempts: int = 0


class SlowStart:
    """Decides how far apart this proxy's attempts at a starting upstream are.

    Attributes:
        planned_rates_per_s: By upstream, attempts a second that the traffic plan allows.
        capacity: What an upstream serves once warm.
        proxies_per_upstream: Mean number of proxies with an upstream in their subset.
    """

    def __init__(
        self,
        rules: api.TrafficRules,
        capacity: CapacityEstimate,
        rng: random.Random,
        transitions: list[Transition],
    ) -> None:
        self.rules = rules
        self.capacity = capacity
        self.rng = rng
        self.transitions = transitions
        self.planned_rates_per_s: Mapping[int, float] = {}
        self.proxies_per_upstream = 1.0
        self._starts: dict[int, _Start] = {}

    def is_active(self, upstream: UpstreamStats, now: int) -> bool:
        """Return whether the upstream is in slow start, that is, started recently."""
        # Due to clock skew the start may be in the future. The upstream is in slow start then too,
        # unless slow start is off (0).
        started_ns = upstream.started_ns
        return bool(started_ns) and now - started_ns < self.rules.slow_start_ns > 0

    def begin(self, upstream: UpstreamStats, now: int) -> int:
        """Return the time of the first attempt, which is drawn at random within the gap.

        The first attempts of all proxies must not reach the upstream together.
        """
        start = self._starts.get(upstream.id)
        if start is not None and start.started_ns != upstream.started_ns:
            self._end(start, SlowStartEnd.RESTARTED)
            start = None
        if start is None:
            self._starts[upstream.id] = _Start(upstream, upstream.started_ns)
        else:
            start.upstream = upstream  # listed anew
        gap_ns = self.gap_ns(upstream, now)
        self.transitions.append(
            SlowStartBegan(
                upstream.id,
                self._age_ns(upstream, now),
                self.capacity.per_s(),
                self.proxies_per_upstream,
                gap_ns,
                upstream.id in self.planned_rates_per_s,
            )
        )
        return now + int(self.rng.random() * gap_ns)

    def count_attempt(self, upstream: UpstreamStats) -> None:
        """Count an attempt at an upstream in slow start."""
        start = self._starts.get(upstream.id)
        if start is not None:
            start.attempts += 1

    def update(self, now: int) -> None:
        """Update the estimate, and end the slow start of upstreams that are warm or not listed."""
        self.capacity.update(now)
        for start in list(self._starts.values()):
            upstream = start.upstream
            if upstream.entry.state is api.UpstreamState.REMOVED:
                self._end(start, SlowStartEnd.REMOVED)
            elif not self.is_active(upstream, now):
                self._end(start, SlowStartEnd.WARMED_UP)

    def _end(self, start: _Start, reason: SlowStartEnd) -> None:
        self.transitions.append(SlowStartEnded(start.upstream.id, start.attempts, reason))
        del self._starts[start.upstream.id]

    def gap_ns(self, upstream: UpstreamStats, now: int) -> int:
        """Return the minimum time between attempts at an upstream in slow start.

        The proxies with the upstream in their subset divide what the settings allow it at its age,
        of the capacity that it has once warm. A planned rate takes precedence.
        """
        rules = self.rules
        planned = self.planned_rates_per_s.get(upstream.id)
        if planned is not None:
            return int(SECOND / planned) if planned > 0 else rules.slow_start_ns
        age = self._age_ns(upstream, now)
        capacity = (
            rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age / rules.slow_start_ns
        )
        allowed_per_s = rules.overload_multiple * capacity * self.capacity.per_s()
        return int(SECOND * self.proxies_per_upstream / allowed_per_s)

    @staticmethod
    def _age_ns(upstream: UpstreamStats, now: int) -> int:
        return max(0, now - upstream.started_ns)  # clock skew may put the start in the future
