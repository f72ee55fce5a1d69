"""What this proxy knows of one upstream, and the load score that it is chosen by."""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from loadbalancer.policy import api

BY_RING_POSITION = attrgetter("ring_position")
BY_LOCAL_POSITION = attrgetter("local_position")
# An upstream whose error rate is above the first limit is avoided, unless more than this fraction
# of the candidates are as bad. An upstream that fails in part still does its share of the work:
# avoided sooner, it would overload the rest on a busy day.
EJECT_ERROR_RATE: Final = 0.9
MAX_EJECT_FRACTION: Final = 0.5
# Above this error rate, a request that may not be repeated goes elsewhere.
UNSAFE_ERROR_RATE: Final = 0.1
# A proxy among many meets each upstream a few times a second. An error, of which a healthy one
# gives three in a thousand, counts for more than the answers after it, or the fault would be over
# before it is believed. Without traffic, an error rate halves in 7 s.
ERROR_GAIN: Final = 0.3
SUCCESS_GAIN: Final = 0.1
ERROR_RATE_DECAY: Final = 0.95
ERROR_WEIGHT: Final = 0.9  # of the error rate in the load score
CROSS_ZONE_PENALTY: Final = 1.4  # load factor of another zone, where crossing has a price

_MASK_64: Final = 0xFFFFFFFFFFFFFFFF


def hash_id(number: int, salt: int) -> int:
    """Hash an id to 64 bits, alike on every proxy and whatever Python's hash seed."""
    mixed = (
        number * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019
    ) & _MASK_64
    mixed = ((mixed ^ (mixed >> 29)) * 0xBF58476D1CE4E5B9) & _MASK_64
    return mixed ^ (mixed >> 32)


@dataclass(slots=True, eq=False)
class UpstreamStats:
    """What this proxy knows of one upstream."""

    id: int
    entry: api.Upstream
    in_flight: int = 0  # this proxy's attempts
    relative_service_time: float = 1.0  # its service time against the mean of all upstreams
    failure_count: int = 0
    avoid_until_ns: int = 0
    last_failure_ns: int = 0
    in_subset: bool = False
    zone_penalty: float = 1.0  # load factor, above 1 in another zone
    reported_load: float = 0.0  # requests from all proxies that it holds, by its last report
    load_reported_ns: int = 0
    load_query_ns: int = 0  # when its load was queried; 0: no query is unanswered
    max_in_flight: int = 0  # most attempts of this proxy at once, so far
    sent_since_query: int = 0  # attempts that the answer to the query may not count
    error_rate: float = 0.0
    consecutive_resets: int = 0
    last_success_ns: int = 0
    is_disabled: bool = False  # by operators
    traffic_fraction: float = 1.0  # of its draws that may be used, by the traffic plan of its zone
    enabled_ns: int = 0  # when operators enabled it again
    ring_position: tuple[int, int] = (0, 0)  # on the ring that all proxies compute alike
    local_position: tuple[int, int] = (0, 0)  # in the order of this proxy
    # How it stands in the ring; see `SubsetRing`.
    in_ring: bool = False
    in_ring_same_zone: bool = False
    ring_started_ns: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether new attempts may go there, by its state, the operators and the traffic plan."""
        return (
            self.entry.state is api.UpstreamState.READY
            and not self.is_disabled
            and self.traffic_fraction > 0
        )

    @property
    def started_ns(self) -> int:
        """Its last start.

        A disabled upstream is usually restarted, and discovery lists that late: once enabled, it
        counts as started then.
        """
        return max(self.entry.started_ns, self.enabled_ns)


def load_score(upstream: UpstreamStats) -> float:
    """Estimate how loaded an upstream is, by attempts or its report, and by its service time."""
    # An upstream that fails is idle at once, and would have the lowest score of all.
    return (
        (max(upstream.in_flight, upstream.reported_load) + 1)
        * upstream.relative_service_time
        * upstream.zone_penalty
        / (1.0 - ERROR_WEIGHT * upstream.error_rate)
    )
