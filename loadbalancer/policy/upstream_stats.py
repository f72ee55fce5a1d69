"""Statistics of one upstream, and the load score for upstream selection."""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from typing import Final

from loadbalancer.policy import api

BY_RING_POSITION = attrgetter("ring_position")
BY_LOCAL_POSITION = attrgetter("local_position")
# An upstream with an error rate above EJECT_ERROR_RATE is avoided, unless this is so for more than
# MAX_EJECT_FRACTION of the candidates. An upstream that fails in part still serves part of the
# load; with a lower limit, avoiding it would overload the others at peak load.
EJECT_ERROR_RATE: Final = 0.9
MAX_EJECT_FRACTION: Final = 0.5
# Requests that may not be repeated avoid upstreams above this error rate.
UNSAFE_ERROR_RATE: Final = 0.1
# With many proxies, each proxy sends an upstream only a few requests a second. Errors have a higher
# gain than successes, since otherwise a fault would be over before it is detected; a healthy
# upstream returns about three errors in a thousand. Without traffic, an error rate halves in 7 s.
ERROR_GAIN: Final = 0.3
SUCCESS_GAIN: Final = 0.1
ERROR_RATE_DECAY: Final = 0.95
ERROR_WEIGHT: Final = 0.9  # weight of the error rate in the load score
CROSS_ZONE_PENALTY: Final = 1.4  # load factor of other zones, if cross-zone traffic has a price

_MASK_64: Final = 0xFFFFFFFFFFFFFFFF


def hash_id(number: int, salt: int) -> int:
    """Return a 64-bit hash of an id, equal on all proxies and independent of the hash seed."""
    mixed = (
        number * 0x9E3779B97F4A7C15 + salt * 0xD1B54A32D192ED03 + 0x632BE59BD9B4E019
    ) & _MASK_64
    mixed = ((mixed ^ (mixed >> 29)) * 0xBF58476D1CE4E5B9) & _MASK_64
    return mixed ^ (mixed >> 32)


@dataclass(slots=True, eq=False)
class UpstreamStats:
    """Statistics and state of one upstream at this proxy."""

    id: int
    entry: api.Upstream
    in_flight: int = 0  # this proxy's attempts in flight
    relative_service_time: float = 1.0  # service time relative to the mean of all upstreams
    failure_count: int = 0
    avoid_until_ns: int = 0
    last_failure_ns: int = 0
    in_subset: bool = False
    zone_penalty: float = 1.0  # load factor, above 1 in another zone
    reported_load: float = 0.0  # requests of all proxies in flight, estimated from its last report
    load_reported_ns: int = 0
    load_query_ns: int = 0  # when the load query in flight was sent; 0: none is in flight
    max_in_flight: int = 0  # maximum of this proxy's attempts in flight so far
    sent_since_query: int = 0  # attempts that the result of the load query may not include
    error_rate: float = 0.0
    consecutive_resets: int = 0
    last_success_ns: int = 0
    is_disabled: bool = False  # by operators
    traffic_fraction: float = 1.0  # fraction of its normal traffic, by the traffic plan
    enabled_ns: int = 0  # when operators enabled the upstream again; 0: not recently
    ring_position: tuple[int, int] = (0, 0)  # on the ring common to all proxies
    local_position: tuple[int, int] = (0, 0)  # in the order specific to this proxy
    # Values with which the upstream was inserted into `SubsetRing`.
    in_ring: bool = False
    in_ring_same_zone: bool = False
    ring_started_ns: int = 0
    ring_zone: str = ""

    @property
    def is_usable(self) -> bool:
        """Whether its state, the operators and the traffic plan allow new attempts."""
        return (
            self.entry.state is api.UpstreamState.READY
            and not self.is_disabled
            and self.traffic_fraction > 0
        )

    @property
    def started_ns(self) -> int:
        """The time of its last start.

        A disabled upstream is usually restarted, and discovery lists the restart with a delay.
        Therefore an upstream counts as started when operators enable it.
        """
        return max(self.entry.started_ns, self.enabled_ns)


def load_score(upstream: UpstreamStats) -> float:
    """Return the load score from attempts in flight or reported load, and the service time."""
    # A failing upstream becomes idle immediately and would otherwise have the lowest score.
    return (
        (max(upstream.in_flight, upstream.reported_load) + 1)
        * upstream.relative_service_time
        * upstream.zone_penalty
        / (1.0 - ERROR_WEIGHT * upstream.error_rate)
    )
