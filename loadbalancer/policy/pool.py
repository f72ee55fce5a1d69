"""The upstreams that a set of classes may go to, this proxy's candidates among them, the choice."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from loadbalancer.policy import api, rules
from loadbalancer.policy.availability import Availability
from loadbalancer.policy.subset_ring import SubsetRing
from loadbalancer.policy.upstream_stats import (
    CROSS_ZONE_PENALTY,
    UNSAFE_ERROR_RATE,
    UpstreamStats,
    hash_id,
    load_score,
)

MAX_SCAN: Final = 64  # most upstreams that are looked through, where random draws find none
RANDOM_DRAWS: Final = 2  # beside the previous choice
# An upstream that lately met a key may do less work for it, and remembers few keys. So each key has
# KEY_UPSTREAMS of a subset that are drawn for it, and whose load score is reduced. A subset is such
# a part of all upstreams at least, or what all proxies send of one key falls on too many. The
# upstreams of MAX_CACHED_KEYS keys are cached.
KEY_UPSTREAMS: Final = 2
KEY_SCORE_FACTOR: Final = 0.6
KEY_SUBSET_DIVISOR: Final = 4
MAX_CACHED_KEYS: Final = 4096
KEY_MULTIPLIER: Final = 0xD1342543DE82EF95  # odd: it carries a difference of any bit to the top
MIN_SUBSET: Final = 4
PREFERRED_SUBSET: Final = 10  # large enough for pauses
MAX_SUBSET_SHARING: Final = 6  # proxies that may share an upstream for it

_MASK_64: Final = 0xFFFFFFFFFFFFFFFF


@dataclass(slots=True)
class SubsetOptions:
    """What the subsets of all pools depend on."""

    proxies: int
    prefers_key_upstreams: bool  # subsets are large, for the keys that upstreams remember
    enabled: list[UpstreamStats]  # enabled lately by operators


class Pool:
    """The upstreams that one set of classes may go to, and the candidates among them.

    Attributes:
        candidates: The subset, then further upstreams; as many as are drawn from, or more.
        subset_size: How many of the candidates are this proxy's subset.
        width: How many of the candidates are drawn from.
        min_width: The least width.
    """

    def __init__(self, availability: Availability, request_class: api.RequestClass) -> None:
        self.availability = availability
        self.rng = availability.rng
        # One of the classes that it serves: they may all go to the same upstreams.
        self.request_class = request_class
        self.ring = SubsetRing()
        self.candidates: list[UpstreamStats] = []
        self.subset_size = 0
        self.width = 0
        self.min_width = 0
        self.has_more_than_subset = False  # its part of the ring is larger than its subset
        self.last_choice: UpstreamStats | None = None
        # Those of the subset in the proxy's own zone, where that matters.
        self.same_zone: list[UpstreamStats] = []
        self.prefers_same_zone = True
        self.positions: dict[int, int] = {}  # of each upstream in `candidates`
        self.by_key: dict[int, list[UpstreamStats]] = {}  # by checksum: a key may be long

    def update(self, ring: SubsetRing, options: SubsetOptions) -> None:
        """Choose the subset and the candidates.

        Each proxy's subset is its stretch of one ring that all proxies compute alike, so that its
        own attempts in flight say something about the upstream. Beyond it, each has an order of its
        own. Looks at as many upstreams as it needs, not at all of them.
        """
        if self.request_class.zones or self.request_class.kinds:
            ring = ring.eligible_for(self.request_class)
        self.ring = ring
        count = len(ring.ready)
        index = self.availability.settings.instance_index
        first = index * count // options.proxies
        # Few proxies have a part of the ring that they do not need: the width grows with the load.
        section_limit = (index + 1) * count // options.proxies - first
        section = min(MAX_SCAN, section_limit)
        self.has_more_than_subset = section < section_limit
        min_size = max(
            MIN_SUBSET,
            min(PREFERRED_SUBSET, MAX_SUBSET_SHARING * count // options.proxies),
            options.prefers_key_upstreams * min(MAX_SCAN, count // KEY_SUBSET_DIVISOR),
        )
        size = count if self.availability.queries_load else min(count, max(min_size, section))
        # First the ring as it stands, for half of the subset, or some upstream is in no subset;
        # then the proxy's own zone. That alone would not do: where a zone has many proxies and few
        # upstreams, all of them would overload these while other zones are idle. No proxy knows how
        # many others are in its zone: it needs some of each to see which are quicker.
        any_zone_count = max(section, -(-size // 2))
        subset = ring.subset(first, any_zone_count, size)
        # What operators enabled is drawn from by every proxy for a while: they wait to see it used.
        if options.enabled:
            subset += ring.outside_subset(first, any_zone_count, subset, options.enabled)
        self._set_subset(subset)

    def _set_subset(self, subset: list[UpstreamStats]) -> None:
        count = self.count
        self.subset_size = len(subset)
        self.same_zone = [upstream for upstream in subset if upstream.zone_penalty == 1.0]
        if len(self.same_zone) == len(subset):
            self.same_zone = []  # no choice between zones
        # Random draws come from as many whatever the size of the subset: few would all be met by
        # the same few proxies.
        self.min_width = min(
            count, max(self.subset_size, min(MAX_SCAN, count // KEY_SUBSET_DIVISOR))
        )
        self.width = min(count, max(self.width, self.min_width))
        self._set_candidates(subset)
        self.by_key.clear()
        for upstream in subset:
            upstream.in_subset = True

    def _set_candidates(self, subset: list[UpstreamStats]) -> None:
        self.candidates = subset + self.ring.beyond(subset, self.width - len(subset))
        self.positions = {upstream.id: i for i, upstream in enumerate(self.candidates)}

    @property
    def count(self) -> int:
        """How many upstreams it has, candidates or not."""
        return len(self.ring.ready)

    @property
    def subset(self) -> list[UpstreamStats]:
        """The subset of this proxy."""
        return self.candidates[: self.subset_size]

    def widen(self) -> None:
        """Draw from more: one, or a quarter as many again where there are far more."""
        increment = max(1, self.width // 4) if self.has_more_than_subset else 1
        self.width = min(self.count, self.width + increment)
        if self.width > len(self.candidates):
            self._set_candidates(self.subset)

    def all_upstreams(self) -> list[UpstreamStats]:
        """All upstreams, the subset first."""
        subset = self.subset
        return subset + self.ring.beyond(subset, self.count)

    def key_upstreams(self, key: str) -> list[UpstreamStats]:
        """Those of the subset that all proxies send this key to, by rendezvous hashing."""
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
        """Return so many random draws that accept an attempt, and the previous choice.

        Looks at the candidates at most, never at all upstreams.
        """
        accepts = self.availability.accepts
        width = self.width
        drawn: list[UpstreamStats] = []
        if self.same_zone and self.prefers_same_zone:  # one of the draws costs no crossing
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
        """Look through a stretch of the candidates, where random draws found none."""
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

    def compare_zones(self) -> None:
        """Prefer the proxy's own zone unless it is slower than crossing costs.

        Where a zone is overloaded, all its proxies see that alike, and each that goes on as before
        keeps it so.
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
        """Count the candidates that are not avoided.

        The attempts of failed upstreams must not all move to the rest. One in slow start that has
        an attempt of this proxy, and is given the next one in a while, is counted.
        """
        availability = self.availability
        positions = self.positions
        width = self.width
        avoided = availability.avoided
        for upstream in [u for u in avoided.values() if u.avoid_until_ns <= now]:
            del avoided[upstream.id]
        return width - sum(
            positions.get(number, width) < width
            and not (upstream.in_flight and availability.is_in_slow_start(upstream, now))
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
            allowed: Choose among these instead.
            avoids_errors: Prefer upstreams without recent errors, for what may not be repeated.
            key: Prefer the upstreams that this key is sent to.
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
