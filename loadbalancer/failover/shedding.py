"""Load shedding in levels: what is refused first where capacity is short. Pure.

Each level is shed completely before the next is touched, and within a level evenly over the
tenants:
    1. what is beyond a tenant's quota, which earns a fifth of its value
    2. clients' retries
    3. hedged requests
    4. and so on: the classes, the least value for its work first
A request that has begun and may not be retried is never cut: that is the policy's rule, and no
level touches it.
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
    """All levels below `level` are shed completely, and this fraction of it."""

    level: int = NO_SHEDDING
    fraction: float = 0.0

    @property
    def position(self) -> float:
        """How much is shed, as one number; 0: nothing."""
        return self.level + self.fraction if self.level else 0.0

    def shed_fraction(self, level: int) -> float:
        """Return the fraction of a level that is shed."""
        if level < self.level:
            return 1.0
        return self.fraction if level == self.level else 0.0

    @staticmethod
    def at(position: float) -> Shedding:
        """Return the inverse of `position`.

        2.25 is a quarter of level 2; an integer is all of the level below.
        """
        if position <= 1.0:
            return Shedding()
        level = int(position)
        fraction = position - level
        return Shedding(level, fraction) if fraction > EPSILON else Shedding(level - 1, 1.0)


def admitted(fleet: Fleet, load: Load, shedding: Shedding) -> float:
    """Return the requests a second of a load that are admitted."""
    level = fleet.level_of[load.class_name]
    within = 1.0 - load.excess * shedding.shed_fraction(EXCESS)
    return (
        load.rate
        * within
        * (1.0 - load.retries * shedding.shed_fraction(RETRIES))
        * (1.0 - shedding.shed_fraction(level))
    )


def work(fleet: Fleet, load: Load, shedding: Shedding) -> float:
    """Return the work a second of what is admitted, hedged requests included."""
    hedges = 1.0 + load.hedges * (1.0 - shedding.shed_fraction(HEDGES))
    return admitted(fleet, load, shedding) * hedges * fleet.classes[load.class_name].work


def required_shedding(fleet: Fleet, loads: Iterable[Load], capacity: float) -> Shedding:
    """Return the least shedding with which the admitted work is within the capacity."""
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

    It rises at once as load or capacity require; it falls one step at a time, and only after it was
    too high for a while, or all that was refused would come back together.
    """

    FALL_MARGIN: Final = 0.92  # of the capacity, with which it is too high
    HOLD_NS: Final = 3 * SECOND_NS
    FALL_STEP: Final = 0.5  # of a level
    RISE_GAIN: Final = 0.3  # within a level

    def __init__(self, now: int) -> None:
        self.current = Shedding()
        self._needed_at_ns = now  # when it was last needed as high as it is

    def update(self, fleet: Fleet, loads: Iterable[Load], capacity: float, now: int) -> Shedding:
        """Return the shedding from now on."""
        loads = list(loads)
        position = self.current.position
        needed = required_shedding(fleet, loads, capacity)
        if needed.position >= position:
            if needed.level > self.current.level:
                self.current = needed
            else:
                # Within a level only by a fraction of the way, or the highest of many noisy
                # estimates would stand.
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
    """When refused clients shall retry, in nanoseconds from now."""

    from_ns: int
    until_ns: int


@dataclass(frozen=True, slots=True)
class RetryWindowLimits:
    """Bounds of a retry window's start."""

    min_ns: int
    max_ns: int


def retry_window(
    refused_rate: float, spare_rate: float, capacity_in_ns: int, limits: RetryWindowLimits
) -> RetryWindow:
    """Return when refused clients shall retry.

    Retries are spread over as long as it takes to serve them beside the rest, so that they do not
    come together.

    Args:
        refused_rate: Requests a second that are refused.
        spare_rate: Requests a second that can be served beside the rest.
        capacity_in_ns: When there will be capacity, by the plan.
        limits: Bounds of the window.
    """
    start_ns = min(limits.max_ns, max(limits.min_ns, capacity_in_ns))
    spread_ns = int(1e9 * refused_rate / max(EPSILON, spare_rate)) if refused_rate > 0 else 0
    return RetryWindow(start_ns, min(2 * limits.max_ns, start_ns + max(limits.min_ns, spread_ns)))
