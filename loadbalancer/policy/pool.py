"""The upstreams eligible for a set of classes: subset, candidates and upstream selection."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from loadbalancer.policy import api, rules
from loadbalancer.policy.availability import Availability
from loadbalancer.policy.subset_layout import SubsetLayout
from loadbalancer.policy.subset_ring import SubsetRing
from loadbalancer.policy.upstream_stats import (
    CROSS_ZONE_PENALTY,
    UNSAFE_ERROR_RATE,
    UpstreamStats,
    hash_id,
    load_score,
)

MAX_SCAN: Final = 64  # maximum number of upstreams scanned when random draws find none
RANDOM_DRAWS: Final = 2  # random choices, in addition to the previous choice
# An upstream may need less work for a key that it served recently, but it caches few keys.
# Therefore each key prefers KEY_UPSTREAMS upstreams of the subset, whose load score is multiplied
# by KEY_SCORE_FACTOR. The subset has at least 1 / KEY_SUBSET_DIVISOR of all upstreams (at most
# MAX_SCAN): with smaller subsets, the requests of all proxies for one key would spread over too
# many upstreams. The preferred upstreams of up to MAX_CACHED_KEYS keys are cached.
KEY_UPSTREAMS: Final = 2
KEY_SCORE_FACTOR: Final = 0.6
KEY_SUBSET_DIVISOR: Final = 4
MAX_CACHED_KEYS: Final = 4096
KEY_MULTIPLIER: Final = 0xD1342543DE82EF95  # odd, so a change of any bit reaches the top bit
MIN_SUBSET: Final = 4
PREFERRED_SUBSET: Final = 10  # large enough to tolerate paused upstreams
MAX_SUBSET_SHARING: Final = 6  # proxies that may share an upstream to reach PREFERRED_SUBSET
SMALL_FLEET: Final = 8  # proxies, all of which send to an upstream in slow start

_MASK_64: Final = 0xFFFFFFFFFFFFFFFF


@dataclass(slots=True)
class SubsetOptions:
    """Inputs to subset selection that are common to all pools."""

    proxies: int
    prefers_key_upstreams: bool  # large subsets, so that fewer upstreams share each key
    enabled: list[UpstreamStats]  # recently enabled by operators


class Pool:
    """The upstreams that are eligible for one set of classes, and the candidates among them.

    Attributes:
        candidates: The subset, followed by further upstreams; at least `width` entries.
        subset_size: Number of candidates that form this proxy's subset.
        width: Number of candidates that attempts are distributed over.
        min_width: Lower bound of `width`.
    """

    def __init__(self, availability: Availability, request_class: api.RequestClass) -> None:
        self.availability = availability
        self.rng = availability.rng
        # One of the classes of the pool, all of which are eligible for the same upstreams.
        self.request_class = request_class
        self.ring = SubsetRing()
        self.layout = SubsetLayout(1, 0, 0)
        self.candidates: list[UpstreamStats] = []
        self.subset_size = 0
        self.width = 0
        self.min_width = 0
        self.has_more_than_subset = False  # this proxy's section of the ring exceeds MAX_SCAN
        self.last_choice: UpstreamStats | None = None
        # Upstreams of the subset in the proxy's own zone; empty if all of them are.
        self.same_zone: list[UpstreamStats] = []
        self.prefers_same_zone = True
        self.positions: dict[int, int] = {}  # upstream id -> index in `candidates`
        self.by_key: dict[int, list[UpstreamStats]] = {}  # by CRC of the key, as keys may be long

    def update(self, ring: SubsetRing, options: SubsetOptions) -> None:
        """Choose the subset and the candidates.

        Each proxy's subset is a section of a ring that all proxies compute identically. Few proxies
        share an upstream, so a proxy's attempts in flight are a useful estimate of its load. The
        candidates outside the subset follow in an order that differs between proxies. Only the
        upstreams that are needed are visited, not all of them, unless the classes of the pool are
        restricted to zones or kinds.
        """
        if self.request_class.zones or self.request_class.kinds:
            ring = ring.eligible_for(self.request_class)
        self.ring = ring
        count = len(ring.ready)
        index = self.availability.settings.instance_index
        first = index * count // options.proxies
        # With few proxies, a section has more upstreams than a proxy needs. So the section is
        # limited to MAX_SCAN upstreams, and the pool's `width` grows with the load.
        section_limit = (index + 1) * count // options.proxies - first
        section = min(MAX_SCAN, section_limit)
        self.has_more_than_subset = section < section_limit
        min_size = max(
            MIN_SUBSET,
            min(PREFERRED_SUBSET, MAX_SUBSET_SHARING * count // options.proxies),
            options.prefers_key_upstreams * min(MAX_SCAN, count // KEY_SUBSET_DIVISOR),
        )
        size = count if self.availability.queries_load else min(count, max(min_size, section))
        # At least half of the subset comes from the ring in order, whatever the zone, so that every
        # upstream is in some subset. The rest prefers the proxy's own zone. A subset of the own
        # zone alone would fail if a zone has many proxies and few upstreams: the proxies would
        # overload those upstreams while other zones are idle. A proxy has no count of the proxies
        # in its zone, so it needs upstreams of both kinds to compare their service times.
        any_zone_count = max(section, -(-size // 2))
        subset = ring.subset(first, any_zone_count, size)
        is_for_all = size == count or self.has_more_than_subset or options.proxies <= SMALL_FLEET
        self.layout = self._layout(options.proxies, size, any_zone_count, is_for_all)
        # Every proxy includes upstreams that operators enabled recently, because operators check
        # that traffic reaches them.
        if options.enabled:
            subset += ring.outside_subset(first, any_zone_count, subset, options.enabled)
        self._set_subset(subset)

    def _layout(
        self, proxies: int, size: int, any_zone_count: int, is_for_all: bool
    ) -> SubsetLayout:
        ring = self.ring
        count = len(ring.ready)
        if is_for_all:
            return SubsetLayout(proxies, count, count)
        zone_counts = ring.zone_counts.values()
        if not self.availability.settings.prices.cross_zone or len(zone_counts) <= 1:
            return SubsetLayout(proxies, count, size)
        return SubsetLayout(proxies, count, any_zone_count, size - any_zone_count, zone_counts)

    @property
    def is_shared_by_all(self) -> bool:
        """Whether every proxy may send to all eligible upstreams, also to those in slow start."""
        return self.layout.ordered_size >= self.count

    def proxies_sharing(self, upstream: UpstreamStats) -> float:
        """Return how many proxies have an upstream in this pool's subset; 0: it is not eligible."""
        index = self.ring.index(upstream)
        if index is None:
            return 0.0
        return self.layout.proxies_at(index, self.ring.zone_counts[upstream.entry.zone])

    def _set_subset(self, subset: list[UpstreamStats]) -> None:
        count = self.count
        self.subset_size = len(subset)
        self.same_zone = [upstream for upstream in subset if upstream.zone_penalty == 1.0]
        if len(self.same_zone) == len(subset):
            self.same_zone = []  # all upstreams are in the same zone: no preference is needed
        # The minimum width does not depend on the subset size alone: with a small width, each
        # upstream would receive attempts from the same few proxies only.
        self.min_width = min(
            count, max(self.subset_size, min(MAX_SCAN, count // KEY_SUBSET_DIVISOR))
        )
        self.width = min(count, max(self.width, self.min_width))
        self._set_candidates(subset)
        self.by_key.clear()
        for upstream in subset:
            upstream.in_subset = True

    def _set_candidates(self, subset: list[UpstreamStats]) -> None:
        self.candidates = subset + self.ring.outside(subset, self.width - len(subset))
        self.positions = {upstream.id: i for i, upstream in enumerate(self.candidates)}

    @property
    def count(self) -> int:
        """The number of eligible upstreams, including those that are not candidates."""
        return len(self.ring.ready)

    @property
    def subset(self) -> list[UpstreamStats]:
        """The subset of this proxy."""
        return self.candidates[: self.subset_size]

    def widen(self) -> None:
        """Increase the width by one, or by a quarter if the ring section exceeds MAX_SCAN."""
        increment = max(1, self.width // 4) if self.has_more_than_subset else 1
        self.width = min(self.count, self.width + increment)
        if self.width > len(self.candidates):
            self._set_candidates(self.subset)

    def all_upstreams(self) -> list[UpstreamStats]:
        """Return all eligible upstreams, the subset first."""
        subset = self.subset
        return subset + self.ring.outside(subset, self.count)

    def key_upstreams(self, key: str) -> list[UpstreamStats]:
        """Return the preferred upstreams of a key in the subset, by rendezvous hashing."""
        checksum = zlib.crc32(key.encode(errors="surrogatepass"))
        upstreams_for_key = self.by_key.get(checksum)
        if upstreams_for_key is None:
            if len(self.by_key) >= MAX_CACHED_KEYS:
                self.by_key.clear()
            salt = hash_id(checksum, 0)
            subset = self.subset
            ranked = sorted(
                [
                    ((upstream.ring_position[0] ^ salt) * KEY_MULTIPLIER & _MASK_64, i)
                    for i, upstream in enumerate(subset)
                ]
            )
            upstreams_for_key = [subset[i] for _, i in ranked[:KEY_UPSTREAMS]]
            self.by_key[checksum] = upstreams_for_key
        return upstreams_for_key

    def draw(self, count: int, now: int) -> list[UpstreamStats]:
        """Return up to `count` random candidates that accept an attempt, and the previous choice.

        If the proxy's own zone is preferred, one of the draws is made from that zone. Only
        candidates are visited, never all upstreams.
        """
        accepts = self.availability.accepts
        width = self.width
        drawn: list[UpstreamStats] = []
        if self.same_zone and self.prefers_same_zone:  # a draw without cross-zone cost
            upstream = self.same_zone[int(self.rng.random() * len(self.same_zone))]
            if accepts(upstream, now):
                drawn.append(upstream)
        for _ in range(4 * count if width else 0):
            upstream = self.candidates[int(self.rng.random() * width)]
            if accepts(upstream, now):
                drawn.append(upstream)
                if len(drawn) == count:
                    break
        if not drawn and width:
            drawn = self._scan(count, now)
        last = self.last_choice
        if (
            last is not None
            and accepts(last, now)
            and rules.is_eligible(last.entry, self.request_class)
        ):
            drawn.append(last)
        return drawn

    def _scan(self, count: int, now: int) -> list[UpstreamStats]:
        """Scan a section of the candidates after random draws found none that accepts."""
        width = self.width
        first = int(self.rng.random() * width) if width > MAX_SCAN else 0
        wrapped_end = min(first, max(0, first + MAX_SCAN - width))
        section = (
            self.candidates[first : min(width, first + MAX_SCAN)] + self.candidates[:wrapped_end]
        )
        accepting = [u for u in section if self.availability.accepts(u, now)]
        if not accepting:
            return []
        return [accepting[int(self.rng.random() * len(accepting))] for _ in range(count)]

    def update_zone_preference(self) -> None:
        """Prefer the proxy's own zone unless it is slower than the cross-zone penalty justifies.

        All proxies of an overloaded zone observe the same slowness, and the overload persists as
        long as they keep their preference.
        """
        if self.same_zone:
            subset = self.subset
            same_zone_mean = sum(u.relative_service_time for u in self.same_zone) / len(
                self.same_zone
            )
            total = sum(u.relative_service_time for u in subset)
            other_zone_mean = (total - same_zone_mean * len(self.same_zone)) / (
                len(subset) - len(self.same_zone)
            )
            self.prefers_same_zone = same_zone_mean <= CROSS_ZONE_PENALTY * other_zone_mean

    def available_count(self, now: int) -> int:
        """Return the number of candidates that are not avoided.

        The concurrency limit scales with this number, so the load of failed upstreams does not all
        move to the others. An upstream in slow start that is avoided only until its next attempt
        and has one in flight is counted as available.
        """
        availability = self.availability
        positions = self.positions
        width = self.width
        avoided = availability.avoided
        for upstream in [u for u in avoided.values() if not availability.is_avoided(u, now)]:
            del avoided[upstream.id]
        return width - sum(
            positions.get(number, width) < width
            and not (upstream.in_flight and availability.slow_start.is_active(upstream, now))
            for number, upstream in avoided.items()
        )

    def pick(
        self,
        now: int,
        allowed: Iterable[UpstreamStats] | None = None,
        avoids_errors: bool = False,
        key: str = "",
    ) -> UpstreamStats | None:
        """Choose the upstream with the lowest load score of two draws and the previous choice.

        Args:
            now: The time in nanoseconds.
            allowed: Choose among these upstreams instead of random draws.
            avoids_errors: Prefer upstreams with a low error rate, for requests that may not be
                repeated.
            key: Prefer the upstreams of this key.
        """
        accepts = self.availability.accepts
        drawn = (
            self.draw(RANDOM_DRAWS, now)
            if allowed is None
            else [upstream for upstream in allowed if accepts(upstream, now)]
        )
        preferred: list[UpstreamStats] = []
        if key and allowed is None:
            preferred = [upstream for upstream in self.key_upstreams(key) if accepts(upstream, now)]
            drawn += preferred
        if not drawn:
            return None
        if avoids_errors:
            drawn = [u for u in drawn if u.error_rate < UNSAFE_ERROR_RATE] or drawn
        best = drawn[0]
        best_score = math.inf
        for upstream in drawn:
            score = load_score(upstream) * (KEY_SCORE_FACTOR if upstream in preferred else 1.0)
            if score < best_score:
                best = upstream
                best_score = score
        self.last_choice = best
        return best
