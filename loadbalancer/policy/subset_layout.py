"""How many proxies have an upstream in their subset, as each of them can calculate."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SubsetLayout:
    """The subsets of all proxies on the ring of usable upstreams.

    The proxy with index `i` begins at ring position `i * upstreams // proxies`. It takes
    `ordered_size` upstreams in ring order, and then `zone_size` upstreams of its own zone; where
    the zone has fewer, others in ring order take their place. The proxies of each zone are not
    known: they are taken to be as many in each.

    Attributes:
        proxies: Number of proxies.
        upstreams: Number of usable upstreams.
        ordered_size: Upstreams that each proxy takes in ring order.
        zone_size: Upstreams that each proxy takes of its own zone; 0: zones do not matter.
        zone_counts: Usable upstreams of each zone, zones without any included.
    """

    proxies: int
    upstreams: int
    ordered_size: int
    zone_size: int = 0
    zone_counts: Collection[int] = ()

    def proxies_at(self, index: int, zone_count: int) -> float:
        """Return the number of proxies that have an upstream in their subset.

        Args:
            index: The upstream's index on the ring.
            zone_count: Number of usable upstreams in its zone.
        """
        if self.ordered_size >= self.upstreams:
            return float(self.proxies)
        in_order = self._first_proxy(index + 1) - self._first_proxy(index + 1 - self.ordered_size)
        return min(float(self.proxies), in_order + self._proxies_by_zone(zone_count))

    def _first_proxy(self, index: int) -> int:
        """Return the first proxy that begins at this index or later, continued past the ends."""
        return -(-index * self.proxies // self.upstreams)

    def _proxies_by_zone(self, zone_count: int) -> float:
        """Return the number of proxies that add an upstream to those in ring order."""
        if not self.zone_size or not self.zone_counts:
            return 0.0
        zone_proxies = self.proxies / len(self.zone_counts)
        missing = sum(max(0, self.zone_size - count) for count in self.zone_counts)
        return zone_proxies * (
            min(1.0, self.zone_size / max(1, zone_count)) + missing / self.upstreams
        )
