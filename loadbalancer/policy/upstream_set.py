"""The set of upstreams: membership, operator changes, outlier ejection and pools."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.availability import Availability
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.concurrency_limit import (
    MAX_GROWTH,
    MAX_WINDOW,
    START_WINDOW,
    ConcurrencyLimit,
)
from loadbalancer.policy.pool import MAX_SCAN, Pool, SubsetOptions
from loadbalancer.policy.subset_ring import SubsetRing
from loadbalancer.policy.transitions import Transition
from loadbalancer.policy.upstream_stats import (
    CROSS_ZONE_PENALTY,
    EJECT_ERROR_RATE,
    ERROR_GAIN,
    ERROR_RATE_DECAY,
    MAX_EJECT_FRACTION,
    SUCCESS_GAIN,
    UpstreamStats,
    hash_id,
)

# Subsets are kept small while more than one in MIN_READY_PER_NEW upstreams is new, that is, started
# within NEW_AGE_SLOW_STARTS times the slow start. New upstreams have cached few keys, and large
# subsets only delay the caching.
MIN_READY_PER_NEW: Final = 5
NEW_AGE_SLOW_STARTS: Final = 3
MAX_AVOID_NS = 3 * SECOND
MAX_AVOID_DOUBLINGS: Final = 5
MAX_AVOIDED_FRACTION: Final = 0.7  # of the candidates; above it, no further upstream is avoided
# If at least this fraction of all attempts is reset, a reset does not indicate a fault of its
# upstream, unless that upstream has had MAX_CONSECUTIVE_RESETS in a row.
MAX_RESET_RATE: Final = 0.05
MAX_CONSECUTIVE_RESETS: Final = 3
RESET_GAIN: Final = 0.02


class UpstreamSet:
    """The upstreams of this proxy, and the pools that serve the request classes."""

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
        self.availability = Availability(settings, concurrency, rng, transitions)
        self.slow_start = self.availability.slow_start
        self.upstreams: dict[int, UpstreamStats] = {}
        # Relative service time and last start, learned before a restart, of upstreams that are not
        # listed yet.
        self.restored: dict[int, tuple[float, int]] = {}
        self.reset_rate = 0.0  # fraction of recent attempts that were reset
        self.prefers_key_upstreams = True
        self.out_of_subset_slowness = 1.0  # actual to expected service time outside the subset
        self.disabled_ids: set[int] = set()  # disabled by operators, whether listed or not
        self.enabled_ns: dict[int, int] = {}  # when operators enabled an upstream again
        self.ring = SubsetRing()
        self.pools: dict[tuple[frozenset[str], frozenset[str]], Pool] = {}
        self.main_pool = self.pool(api.RequestClass(""))

    @property
    def ready(self) -> list[UpstreamStats]:
        """The usable upstreams, by ring position."""
        return self.ring.ready

    @property
    def plan(self) -> api.TrafficPlan:
        """The traffic plan in force."""
        return self.availability.plan

    def recently_enabled(self) -> list[UpstreamStats]:
        """Return the listed upstreams that operators recently enabled again."""
        return [self.upstreams[number] for number in self.enabled_ns if number in self.upstreams]

    def pool(self, request_class: api.RequestClass) -> Pool:
        """Return the pool shared by all classes that are eligible for the same upstreams."""
        key = (request_class.zones, request_class.kinds)
        existing = self.pools.get(key)
        return existing or self.pools.setdefault(key, Pool(self.availability, request_class))

    def update(self, event: api.EndpointsUpdated, now: int) -> None:
        """Apply a complete endpoint list or a delta."""
        if event.kind is not api.EndpointListKind.DELTA:
            self._remove_unlisted({entry.id for entry in event.upstreams})
        starting: list[UpstreamStats] = []
        own_zone = self.settings.zone if self.settings.prices.cross_zone else ""
        for entry in event.upstreams:
            upstream = self.upstreams.get(entry.id) or self._add(entry)
            is_other_zone = bool(own_zone) and entry.zone != own_zone
            upstream.zone_penalty = CROSS_ZONE_PENALTY if is_other_zone else 1.0
            upstream.traffic_fraction = self.plan.zone_fractions.get(entry.zone, 1.0)
            upstream.is_disabled = entry.id in self.disabled_ids
            upstream.enabled_ns = self.enabled_ns.get(entry.id, 0)
            previous = upstream.entry
            upstream.entry = entry
            is_restarted = entry.started_ns != previous.started_ns
            if is_restarted:
                upstream.failure_count = 0
                upstream.avoid_until_ns = 0
            is_new = previous is entry
            if self.slow_start.is_active(upstream, now) and (is_restarted or is_new):
                starting.append(upstream)
            self.ring.update(upstream)
            self.forget_removed(upstream)
        self.update_pools(now)
        for upstream in starting:
            self._begin_slow_start(upstream, now)

    def _begin_slow_start(self, upstream: UpstreamStats, now: int) -> None:
        self.slow_start.begin(upstream, self.proxies_sharing(upstream), now)
        self.availability.note_avoided(upstream)

    def proxies_sharing(self, upstream: UpstreamStats) -> float:
        """Return how many proxies may send to an upstream in slow start.

        Those are the proxies with the upstream in their subset: others, which use it only while
        they are overloaded, are not known, and do not send to it.

        Returns:
            0 if this proxy is none of them.
        """
        proxies = float(max(1, self.settings.instance_count))
        is_for_all = upstream.enabled_ns or any(
            pool.is_shared_by_all and pool.ring.index(upstream) is not None
            for pool in self.pools.values()
        )
        if is_for_all:
            return proxies
        if not upstream.in_subset:
            return 0.0
        return min(proxies, sum(pool.proxies_sharing(upstream) for pool in self.pools.values()))

    def _remove_unlisted(self, present_ids: set[int]) -> None:
        for upstream in [u for u in self.upstreams.values() if u.id not in present_ids]:
            upstream.entry = upstream.entry._replace(state=api.UpstreamState.REMOVED)
            self.ring.update(upstream)
            self.forget_removed(upstream)

    def _add(self, entry: api.Upstream) -> UpstreamStats:
        upstream = UpstreamStats(entry.id, entry)
        self.upstreams[entry.id] = upstream
        upstream.ring_position = (hash_id(entry.id, 0), entry.id)
        local_salt = self.settings.instance_index + 1
        upstream.local_position = (hash_id(entry.id, local_salt), entry.id)
        if entry.id in self.restored:
            self._restore_service_time(upstream)
        return upstream

    def restore(self, service_times: Mapping[int, tuple[float, int]], trust: float) -> None:
        """Restore relative service times that were learned before a restart.

        The values of upstreams that are not listed yet are applied when they are listed.
        """
        self.restored = {
            number: (1.0 + trust * (relative - 1.0), started_ns)
            for number, (relative, started_ns) in service_times.items()
        }
        for number in [number for number in self.restored if number in self.upstreams]:
            self._restore_service_time(self.upstreams[number])

    def _restore_service_time(self, upstream: UpstreamStats) -> None:
        relative, started_ns = self.restored.pop(upstream.id)
        if started_ns == upstream.entry.started_ns:  # a restart invalidates the learned value
            upstream.relative_service_time = min(10.0, max(0.1, relative))

    def set_disabled(self, event: api.UpstreamDisabled, now: int) -> None:
        """Disable or enable an upstream at the request of operators.

        A disabled upstream stays disabled regardless of endpoint lists. Once enabled, it is in slow
        start.
        """
        slow_start_ns = self.settings.rules.slow_start_ns
        self.enabled_ns = {
            number: enabled_ns
            for number, enabled_ns in self.enabled_ns.items()
            if now - enabled_ns < slow_start_ns and number != event.upstream
        }
        upstream = self.upstreams.get(event.upstream)
        if event.is_disabled:
            self.disabled_ids.add(event.upstream)
        elif event.upstream in self.disabled_ids:
            self.disabled_ids.discard(event.upstream)
            self.enabled_ns[event.upstream] = now
            if upstream is not None:
                upstream.enabled_ns = now
                upstream.failure_count = 0
                self.availability.avoid(upstream, now)
        if upstream is not None:
            upstream.is_disabled = event.is_disabled
            self.ring.update(upstream)
        self.update_pools(now)
        is_enabled_now = upstream is not None and upstream.enabled_ns == now
        if upstream is not None and is_enabled_now and self.slow_start.is_active(upstream, now):
            self._begin_slow_start(upstream, now)

    def set_plan(self, plan: api.TrafficPlan, now: int) -> None:
        """Apply a traffic plan: zone fractions, and attempt rates in slow start."""
        previous = self.plan.slow_start_rates_per_s
        self.availability.plan = plan
        self.slow_start.planned_rates_per_s = plan.slow_start_rates_per_s
        changed: list[UpstreamStats] = []
        for upstream in self.upstreams.values():
            upstream.traffic_fraction = plan.zone_fractions.get(upstream.entry.zone, 1.0)
            is_changed = plan.slow_start_rates_per_s.get(upstream.id) != previous.get(upstream.id)
            if self.slow_start.is_active(upstream, now) and is_changed:
                changed.append(upstream)
            self.ring.update(upstream)
        self.update_pools(now)
        for upstream in changed:
            self._begin_slow_start(upstream, now)

    def update_pools(self, now: int) -> None:
        """Update the candidates of each pool and the bounds of the concurrency limit."""
        proxies = max(1, self.settings.instance_count)
        ready_count = len(self.ready)
        new_since_ns = now - NEW_AGE_SLOW_STARTS * self.settings.rules.slow_start_ns
        new_count = self.ring.started_since(new_since_ns)
        self.prefers_key_upstreams = MIN_READY_PER_NEW * new_count <= ready_count
        for pool in self.pools.values():
            for upstream in pool.subset:
                upstream.in_subset = False
        options = SubsetOptions(proxies, self.prefers_key_upstreams, self.recently_enabled())
        for pool in self.pools.values():
            pool.update(self.ring, options)
        subset_size = self.main_pool.subset_size
        self.slow_start.capacity.ready_count = ready_count
        for upstream in self.slow_start.starting():
            self.slow_start.set_proxies(upstream, self.proxies_sharing(upstream), now)
            self.availability.note_avoided(upstream)
        # Bounded subsets may leave upstreams that are in no proxy's subset and serve no requests
        # yet.
        subset_upstreams = min(ready_count, subset_size * proxies)
        start_window = START_WINDOW * subset_upstreams / proxies
        start_window = max(1.0, start_window + math.sqrt(start_window))
        max_window = max(MAX_WINDOW, MAX_GROWTH * START_WINDOW * subset_upstreams / proxies)
        self.concurrency.set_bounds(
            start_window / max(1, subset_size), max_window / max(1, subset_size)
        )

    def forget_removed(self, upstream: UpstreamStats) -> None:
        """Forget a removed upstream without attempts in flight.

        Ids are never reused, so the state of removed upstreams would accumulate.
        """
        if upstream.entry.state is api.UpstreamState.REMOVED and not upstream.in_flight:
            self.upstreams.pop(upstream.id, None)
            self.availability.avoided.pop(upstream.id, None)

    def _scan_candidates(self) -> list[UpstreamStats]:
        return self.main_pool.candidates[: min(self.main_pool.width, MAX_SCAN)]

    def decay_error_rates(self) -> None:
        """Decay the error rates of candidates, including those that receive no attempts."""
        for upstream in self._scan_candidates():
            upstream.error_rate *= ERROR_RATE_DECAY

    def record_response(self, upstream: UpstreamStats, is_error: bool) -> bool:
        """Record a response in the error rate of its upstream.

        An upstream that returns errors immediately has the lowest load and would attract requests,
        including those that may not be repeated. If many upstreams fail, the requests or the
        network are at fault, and no upstream is avoided.

        Returns:
            Whether the upstream should be avoided because of its error rate.
        """
        gain = ERROR_GAIN if is_error else SUCCESS_GAIN
        upstream.error_rate += gain * (is_error - upstream.error_rate)
        if not is_error or upstream.error_rate <= EJECT_ERROR_RATE:
            return False
        scanned = self._scan_candidates()
        failing = [other for other in scanned if other.error_rate > EJECT_ERROR_RATE]
        if len(failing) <= MAX_EJECT_FRACTION * len(scanned):
            return True
        for other in failing:
            other.failure_count = 0
            other.avoid_until_ns = 0
        return False

    def record_no_reset(self, upstream: UpstreamStats) -> None:
        """Record an attempt whose connection was not reset."""
        self.reset_rate -= RESET_GAIN * self.reset_rate
        upstream.consecutive_resets = 0

    def record_reset(self, upstream: UpstreamStats) -> bool:
        """Record a reset connection.

        Frequent resets at many upstreams are caused by the network. Avoiding half of the upstreams
        for that would overload the others.

        Returns:
            Whether the upstream should be avoided because of the reset.
        """
        self.reset_rate += RESET_GAIN * (1.0 - self.reset_rate)
        upstream.consecutive_resets += 1
        return (
            self.reset_rate < MAX_RESET_RATE
            or upstream.consecutive_resets >= MAX_CONSECUTIVE_RESETS
        )

    def record_failure(self, attempt: Attempt, now: int, base_ns: float) -> None:
        """Avoid a failing upstream with exponential backoff, unless too many are avoided.

        Attempts in flight when an upstream stalls all fail, though at different times. They count
        as one failure: an attempt sent before the last recorded failure is ignored. Otherwise,
        eight such attempts counted as seven failures; the upstream, idle by then, was avoided for
        seconds, and its traffic overloaded the next one. A stall that persists is detected by the
        next attempt.
        """
        upstream = attempt.upstream
        if upstream.avoid_until_ns > now or attempt.sent_ns < upstream.last_failure_ns:
            return
        upstream.failure_count += 1
        upstream.last_failure_ns = now
        width = self.main_pool.width
        avoided = width - self.main_pool.available_count(now)
        if avoided < MAX_AVOIDED_FRACTION * width:
            doublings = min(upstream.failure_count - 1, MAX_AVOID_DOUBLINGS)
            avoid_ns = min(base_ns * 2**doublings, MAX_AVOID_NS)
            self.availability.avoid(upstream, now + int(avoid_ns * self.rng.uniform(0.75, 1.25)))
