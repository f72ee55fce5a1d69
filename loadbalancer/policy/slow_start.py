"""Slow start: the spacing of this proxy's attempts at upstreams that started recently.

The bound on what all proxies send together is derived in `docs/design/slow-start.md`.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

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

# Attempts in flight at a starting upstream, of all proxies together, that are allowed at least.
# A proxy has one in flight, or more if few proxies share the upstream.
SHARED_IN_FLIGHT: Final = 4


@dataclass(slots=True)
class _Start:
    """One slow start of an upstream.

    It is kept until the upstream is warm, also while it is not listed, so that an upstream that is
    listed again is not sent more.

    Attributes:
        proxies: Number of proxies that share the upstream; 0: this proxy is none of them.
        next_attempt_ns: When this proxy may send the next attempt.
    """

    upstream: UpstreamStats
    started_ns: int
    proxies: float
    next_attempt_ns: int = 0
    attempts: int = 0
    is_reported: bool = False  # as ended


class SlowStart:
    """Decides when this proxy may send attempts to starting upstreams.

    Attributes:
        capacity: What an upstream serves once warm.
        planned_rates_per_s: By upstream, attempts a second that the traffic plan allows.
        processes: Processes of this proxy, which divide its share among them.
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
        self.processes = 1
        self._starts: dict[int, _Start] = {}

    def is_active(self, upstream: UpstreamStats, now: int) -> bool:
        """Return whether the upstream is in slow start, that is, started recently."""
        # Due to clock skew the start may be in the future. The upstream is in slow start then too,
        # unless slow start is off (0).
        return self._is_recent(upstream.started_ns, now)

    def _is_recent(self, started_ns: int, now: int) -> bool:
        return bool(started_ns) and now - started_ns < self.rules.slow_start_ns > 0

    def may_attempt(self, upstream: UpstreamStats, now: int) -> bool:
        """Return whether an attempt at an upstream in slow start may start now."""
        start = self._starts.get(upstream.id)
        if start is None:
            return True
        is_sharing = start.proxies > 0 or upstream.id in self.planned_rates_per_s
        return is_sharing and now >= start.next_attempt_ns

    def next_attempt_ns(self, upstream: UpstreamStats) -> int:
        """Return when the next attempt at an upstream may start; 0 outside of slow start."""
        start = self._starts.get(upstream.id)
        return start.next_attempt_ns if start is not None else 0

    def max_in_flight(self, upstream: UpstreamStats) -> int:
        """Return how many attempts this proxy may have in flight at an upstream in slow start."""
        start = self._starts.get(upstream.id)
        proxies = start.proxies if start is not None else 1.0
        return max(1, round(SHARED_IN_FLIGHT / max(1.0, proxies)))

    # ---- begin and end ---------------------------------------------------------------------------

    def begin(self, upstream: UpstreamStats, proxies: float, now: int) -> None:
        """Begin the slow start of an upstream, or space its attempts anew after a change.

        The first attempt is delayed by a time drawn at random within the gap: the first attempts of
        all proxies must not reach the upstream together. An upstream that is listed anew keeps its
        time.
        """
        start = self._starts.get(upstream.id)
        if start is not None and start.started_ns != upstream.started_ns:
            self._end(start, SlowStartEnd.RESTARTED)
            start = None
        is_listed_anew = start is not None and start.upstream is not upstream
        if start is None:
            start = self._starts[upstream.id] = _Start(upstream, upstream.started_ns, proxies)
        start.upstream = upstream
        start.proxies = proxies
        start.is_reported = False
        gap_ns = self.gap_ns(upstream, now)
        if not is_listed_anew:
            self._draw_first_attempt(start, now)
        self.transitions.append(
            SlowStartBegan(
                upstream.id,
                self._age_ns(upstream, now),
                self.capacity.per_s(),
                proxies,
                gap_ns,
                upstream.id in self.planned_rates_per_s,
            )
        )

    def starting(self) -> Iterable[UpstreamStats]:
        """Return the upstreams whose slow start this proxy has noticed."""
        return [start.upstream for start in self._starts.values()]

    def set_proxies(self, upstream: UpstreamStats, proxies: float, now: int) -> None:
        """Set the number of proxies that share an upstream; 0: this proxy is none of them."""
        start = self._starts[upstream.id]
        is_joining = proxies > 0 and not start.proxies
        start.proxies = proxies
        if is_joining:  # as others do at the same time, after the same change of the list
            self._draw_first_attempt(start, now)

    def _draw_first_attempt(self, start: _Start, now: int) -> None:
        gap_ns = self.gap_ns(start.upstream, now)
        start.next_attempt_ns = now + int(self.rng.random() * gap_ns)

    def attempt_started(self, upstream: UpstreamStats, now: int) -> int:
        """Count an attempt at an upstream in slow start.

        Returns:
            When the next one may start.
        """
        start = self._starts.get(upstream.id)
        if start is None:
            return now
        start.attempts += 1
        start.next_attempt_ns = now + self.gap_ns(upstream, now)
        return start.next_attempt_ns

    def update(self, now: int) -> None:
        """Update the estimate, and end the slow start of upstreams that are warm or not listed."""
        self.capacity.update(now)
        for start in list(self._starts.values()):
            upstream = start.upstream
            if not self._is_recent(start.started_ns, now):
                self._end(start, SlowStartEnd.WARMED_UP)
            elif upstream.entry.state is api.UpstreamState.REMOVED:
                self._report_end(start, SlowStartEnd.REMOVED)

    def _end(self, start: _Start, reason: SlowStartEnd) -> None:
        self._report_end(start, reason)
        del self._starts[start.upstream.id]

    def _report_end(self, start: _Start, reason: SlowStartEnd) -> None:
        if not start.is_reported:
            start.is_reported = True
            self.transitions.append(SlowStartEnded(start.upstream.id, start.attempts, reason))

    # ---- spacing ---------------------------------------------------------------------------------

    def gap_ns(self, upstream: UpstreamStats, now: int) -> int:
        """Return the minimum time between this proxy's attempts at an upstream in slow start.

        The proxies that share the upstream divide what the settings allow it at its age, of the
        capacity that it has once warm. A planned rate takes precedence.
        """
        rules = self.rules
        planned = self.planned_rates_per_s.get(upstream.id)
        if planned is not None:
            return int(SECOND / planned) if planned > 0 else rules.slow_start_ns
        start = self._starts.get(upstream.id)
        proxies = start.proxies if start is not None else 1.0
        age = self._age_ns(upstream, now)
        fraction = (
            rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age / rules.slow_start_ns
        )
        allowed_per_s = rules.overload_multiple * fraction * self.capacity.per_s()
        return int(SECOND * max(1.0, proxies) * self.processes / allowed_per_s)

    @staticmethod
    def _age_ns(upstream: UpstreamStats, now: int) -> int:
        return max(0, now - upstream.started_ns)  # clock skew may put the start in the future
