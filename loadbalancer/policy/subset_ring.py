"""The usable upstreams in the orders required for subsetting, updated incrementally.

All upstreams are visited only for a complete list, or for a class that is restricted to some
upstreams.
"""

from __future__ import annotations

import bisect
from typing import Final

from loadbalancer.policy import api, rules
from loadbalancer.policy.upstream_stats import BY_LOCAL_POSITION, BY_RING_POSITION, UpstreamStats

MAX_ZONES: Final = 64  # zones without upstreams are remembered up to this number of zones


class SubsetRing:
    """The usable upstreams in several orders.

    Attributes:
        ready: All usable upstreams, by position on the ring that all proxies compute identically.
        same_zone: The upstreams of `ready` without a cross-zone penalty.
        local_order: All usable upstreams, in an order specific to this proxy.
        start_times: The known times of their last starts, sorted.
        zone_counts: Number of upstreams of `ready` by zone, zones that had some included.
    """

    def __init__(self) -> None:
        self.ready: list[UpstreamStats] = []
        self.same_zone: list[UpstreamStats] = []
        self.local_order: list[UpstreamStats] = []
        self.start_times: list[int] = []
        self.zone_counts: dict[str, int] = {}

    def add(self, upstream: UpstreamStats) -> None:
        """Insert an upstream that became usable."""
        upstream.in_ring = True
        upstream.in_ring_same_zone = upstream.zone_penalty == 1.0
        upstream.ring_started_ns = upstream.started_ns
        upstream.ring_zone = upstream.entry.zone
        self._count_zone(upstream.ring_zone, 1)
        bisect.insort(self.ready, upstream, key=BY_RING_POSITION)
        bisect.insort(self.local_order, upstream, key=BY_LOCAL_POSITION)
        if upstream.in_ring_same_zone:
            bisect.insort(self.same_zone, upstream, key=BY_RING_POSITION)
        if upstream.ring_started_ns:
            bisect.insort(self.start_times, upstream.ring_started_ns)

    def remove(self, upstream: UpstreamStats) -> None:
        """Remove an upstream that is no longer usable."""
        position = upstream.ring_position
        upstream.in_ring = False
        self._count_zone(upstream.ring_zone, -1)
        del self.ready[bisect.bisect_left(self.ready, position, key=BY_RING_POSITION)]
        local = upstream.local_position
        del self.local_order[bisect.bisect_left(self.local_order, local, key=BY_LOCAL_POSITION)]
        if upstream.in_ring_same_zone:
            del self.same_zone[bisect.bisect_left(self.same_zone, position, key=BY_RING_POSITION)]
        if upstream.ring_started_ns:
            del self.start_times[bisect.bisect_left(self.start_times, upstream.ring_started_ns)]

    def update(self, upstream: UpstreamStats) -> None:
        """Update the ring for an upstream that may have changed."""
        is_current = (
            upstream.in_ring
            and upstream.in_ring_same_zone is (upstream.zone_penalty == 1.0)
            and upstream.ring_started_ns == upstream.started_ns
            and upstream.ring_zone == upstream.entry.zone
        )
        if upstream.is_usable is upstream.in_ring and (is_current or not upstream.in_ring):
            return
        if upstream.in_ring:
            self.remove(upstream)
        if upstream.is_usable:
            self.add(upstream)

    def _count_zone(self, zone: str, change: int) -> None:
        counts = self.zone_counts
        counts[zone] = counts.get(zone, 0) + change
        if not counts[zone] and len(counts) > MAX_ZONES:
            del counts[zone]

    def index(self, upstream: UpstreamStats) -> int | None:
        """Return the index of an upstream in `ready`, or None if it is not in the ring."""
        index = bisect.bisect_left(self.ready, upstream.ring_position, key=BY_RING_POSITION)
        is_in_ring = index < len(self.ready) and self.ready[index] is upstream
        return index if is_in_ring else None

    def started_since(self, since_ns: int) -> int:
        """Return the number of upstreams that started after this time."""
        return len(self.start_times) - bisect.bisect_right(self.start_times, since_ns)

    def eligible_for(self, request_class: api.RequestClass) -> SubsetRing:
        """Return a ring of the upstreams that are eligible for the class."""
        ring = SubsetRing()
        ring.ready = [u for u in self.ready if rules.is_eligible(u.entry, request_class)]
        ring.same_zone = [u for u in self.same_zone if rules.is_eligible(u.entry, request_class)]
        ring.local_order = [
            u for u in self.local_order if rules.is_eligible(u.entry, request_class)
        ]
        for upstream in ring.ready:
            ring._count_zone(upstream.entry.zone, 1)
        return ring

    def subset(self, first: int, any_zone_count: int, count: int) -> list[UpstreamStats]:
        """Return a subset of `count` upstreams that starts at index `first`.

        The first `any_zone_count` are taken in ring order, then those of the same zone after them,
        then the others.
        """
        ready = self.ready
        total = len(ready)
        selected = [ready[(first + i) % total] for i in range(min(any_zone_count, count))]
        if len(selected) < count:
            chosen_ids = {upstream.id for upstream in selected}
            selected += self._same_zone_from(
                first + any_zone_count, chosen_ids, count - len(selected)
            )
        index = first + any_zone_count
        while len(selected) < count:  # skips at most the same-zone upstreams, which are few here
            upstream = ready[index % total]
            if upstream.zone_penalty != 1.0:
                selected.append(upstream)
            index += 1
        return selected

    def _same_zone_from(
        self, index: int, excluded_ids: set[int], count: int
    ) -> list[UpstreamStats]:
        """Return up to `count` same-zone upstreams, starting at this index of the ring."""
        same_zone = self.same_zone
        selected: list[UpstreamStats] = []
        if same_zone:
            position = self.ready[index % len(self.ready)].ring_position
            start = bisect.bisect_left(same_zone, position, key=BY_RING_POSITION)
            for i in range(len(same_zone)):
                upstream = same_zone[(start + i) % len(same_zone)]
                if upstream.id not in excluded_ids:
                    selected.append(upstream)
                    if len(selected) == count:
                        break
        return selected

    def outside_subset(
        self,
        first: int,
        any_zone_count: int,
        subset: list[UpstreamStats],
        upstreams: list[UpstreamStats],
    ) -> list[UpstreamStats]:
        """Return those of `upstreams` that are in the ring but not in the subset.

        They are sorted in the order in which a larger subset would include them.
        """
        total = len(self.ready)
        subset_ids = {upstream.id for upstream in subset}
        selected = []
        for upstream in upstreams:
            index = self.index(upstream)
            if index is not None and upstream.id not in subset_ids:
                distance = (index - first) % total
                is_later = distance >= any_zone_count and upstream.zone_penalty != 1.0
                selected.append((is_later, distance, upstream.id, upstream))
        return [upstream for *_, upstream in sorted(selected, key=lambda row: row[:3])]

    def outside(self, subset: list[UpstreamStats], count: int) -> list[UpstreamStats]:
        """Return up to `count` upstreams outside the subset, in this proxy's local order."""
        selected: list[UpstreamStats] = []
        if count > 0:
            subset_ids = {upstream.id for upstream in subset}
            for upstream in self.local_order:
                if upstream.id not in subset_ids:
                    selected.append(upstream)
                    if len(selected) == count:
                        break
        return selected
