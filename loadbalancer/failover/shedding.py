"""Load shedding by levels: which load is refused first when capacity is short.

A level is shed completely before the next one, and evenly over the tenants within a level:
    1. requests beyond a tenant's quota, which are worth a fifth of the normal value
    2. client retries
    3. hedged requests
    4. and up: the request classes, the lowest value per unit of work first
No level aborts a request that is in progress and may not be retried; the policy enforces this.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final, NamedTuple

from loadbalancer.failover.fleet_model import (
    EPSILON,
    EXCESS,
    HEDGES,
    NO_SHEDDING,
    RETRIES,
    Fleet,
    Load,
)

SECOND_NS: Final = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Shedding:
    """How much is shed: all levels below `level`, and this fraction of `level`."""

    level: int = NO_SHEDDING
    fraction: float = 0.0

    @property
    def position(self) -> float:
        """The amount shed as one number, `level + fraction`; 0 if nothing is shed."""
        return self.level + self.fraction if self.level else 0.0

    def shed_fraction(self, level: int) -> float:
        """Return the fraction of a level that is shed."""
        if level < self.level:
            return 1.0
        return self.fraction if level == self.level else 0.0

    @staticmethod
    def at(position: float) -> Shedding:
        """Return the shedding with this `position`.

        2.25 is a quarter of level 2. An integer is all of the level below, so 3.0 is all of level
        2.
        """
        if position <= 1.0:
            return Shedding()
        level = int(position)
        fraction = position - level
        return Shedding(level, fraction) if fraction > EPSILON else Shedding(level - 1, 1.0)


def admitted(fleet: Fleet, load: Load, shedding: Shedding) -> float:
    """Return the admitted requests/s of a load."""
    level = fleet.level_of[load.class_name]
    within = 1.0 - load.excess * shedding.shed_fraction(EXCESS)
    return (
        load.rate
        * within
        * (1.0 - load.retries * shedding.shed_fraction(RETRIES))
        * (1.0 - shedding.shed_fraction(level))
    )


def work(fleet: Fleet, load: Load, shedding: Shedding) -> float:
    """Return the admitted work per second of a load, including hedged requests."""
    hedges = 1.0 + load.hedges * (1.0 - shedding.shed_fraction(HEDGES))
    return admitted(fleet, load, shedding) * hedges * fleet.classes[load.class_name].work


def required_shedding(fleet: Fleet, loads: Iterable[Load], capacity: float) -> Shedding:
    """Return the least shedding that keeps the admitted work within the capacity."""
    loads = list(loads)

    def demand(shedding: Shedding) -> float:
        return sum(work(fleet, load, shedding) for load in loads)

    if demand(Shedding()) <= capacity:
        return Shedding()
    level = NO_SHEDDING
    while level < fleet.top_level:
        level += 1
        if demand(Shedding(level, 1.0)) <= capacity:
            break
    with_all_shed = demand(Shedding(level, 1.0))
    with_none_shed = demand(Shedding(level, 0.0))
    if with_none_shed - with_all_shed <= EPSILON:
        return Shedding(level, 1.0)
    fraction = (with_none_shed - capacity) / (with_none_shed - with_all_shed)
    return Shedding(level, min(1.0, max(0.0, fraction)))


class SheddingController:
    """Adjusts shedding over time.

    Shedding rises to a higher level at once when load or capacity requires it. It falls one step at
    a time, and only after it was too high for `HOLD_NS`. Otherwise all refused clients would come
    back together.
    """

    # Shedding is too high if less of it would suffice with this fraction of the capacity.
    FALL_MARGIN: Final = 0.92
    HOLD_NS: Final = 3 * SECOND_NS
    FALL_STEP: Final = 0.5  # levels per step
    RISE_GAIN: Final = 0.3  # gain of a rise within a level

    def __init__(self, now: int) -> None:
        self.current = Shedding()
        self._needed_at_ns = now  # when the current shedding was last needed or changed

    def update(self, fleet: Fleet, loads: Iterable[Load], capacity: float, now: int) -> Shedding:
        """Update the shedding for the current loads and capacity, and return it."""
        loads = list(loads)
        position = self.current.position
        needed = required_shedding(fleet, loads, capacity)
        if needed.position >= position:
            if needed.level > self.current.level:
                self.current = needed
            else:
                # Rise only part of the way within a level. Otherwise shedding would stay at the
                # highest of many noisy estimates.
                rise = self.RISE_GAIN * (needed.position - position)
                self.current = Shedding.at(position + rise)
            self._needed_at_ns = now
            return self.current
        with_margin = required_shedding(fleet, loads, capacity * self.FALL_MARGIN)
        if with_margin.position >= position:
            self._needed_at_ns = now
        elif now - self._needed_at_ns >= self.HOLD_NS:
            self.current = Shedding.at(max(with_margin.position, position - self.FALL_STEP))
            self._needed_at_ns = now
        return self.current


class RetryWindow(NamedTuple):
    """The interval in which refused clients should retry, in nanoseconds from now."""

    from_ns: int
    until_ns: int


@dataclass(frozen=True, slots=True)
class RetryWindowLimits:
    """Bounds for the start of a retry window."""

    min_ns: int
    max_ns: int


def retry_window(
    refused_rate: float, spare_rate: float, capacity_in_ns: int, limits: RetryWindowLimits
) -> RetryWindow:
    """Return when refused clients should retry.

    The retries are spread over the time that it takes to serve them with the spare capacity, so
    that they do not arrive together.

    Args:
        refused_rate: Refused requests/s.
        spare_rate: Requests/s that can be served in addition to the admitted load.
        capacity_in_ns: Time until more capacity is expected.
        limits: Bounds of the window.
    """
    start_ns = min(limits.max_ns, max(limits.min_ns, capacity_in_ns))
    spread_ns = int(1e9 * refused_rate / max(EPSILON, spare_rate)) if refused_rate > 0 else 0
    return RetryWindow(start_ns, min(2 * limits.max_ns, start_ns + max(limits.min_ns, spread_ns)))
