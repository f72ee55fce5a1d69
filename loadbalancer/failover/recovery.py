"""Recovery ramp of a site that comes back, and slow start of its cold upstreams.

Stages: out, health checks, a trickle of load, rising shares of its load, normal. A failed stage
goes back to the previous one and waits longer each time; a site that is lost again starts over.
Time in a stage is measured by the current lease holder's clock alone, so a change of the lease
holder can delay a recovery but never speed it up.

One lease holder assigns slow start: each cold upstream gets a few balancers and a rate limit that
they share. Without a lease holder each balancer uses its own estimate, which assumes that all other
balancers send as well.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

HEALTH_CHECKS_S: Final = 1.0  # minimum time in the stage
TRICKLE_S: Final = 1.0  # minimum time in the stage
STEP_S: Final = 1.0  # minimum time between two rises
TRICKLE_FRACTION: Final = 0.04  # of the site's usual load
RISE_FACTOR: Final = 2.0
MIN_RISE: Final = 0.1
URGENT_TIME_FACTOR: Final = 0.5  # of the minimum times, while the fleet is short of capacity
URGENT_MIN_RISE: Final = 0.5
GOOD_FRACTION: Final = 0.9  # fraction of responses in time that a rise requires
BAD_FRACTION: Final = 0.7  # fraction of responses in time below which the stage fails
SLOW_RATIO: Final = 2.0  # latency relative to the other sites above which the site does not rise
TOO_SLOW_RATIO: Final = 4.0  # latency relative to the other sites above which the stage fails
MIN_ATTEMPTS: Final = 5  # attempts in a stage before it is judged
MIN_WAIT_S: Final = 2.0  # wait before the next try after the first failure
MAX_WAIT_S: Final = 120.0
MAX_FAILURES: Final = 16
# Fraction of the whole fleet's capacity by which all recovering sites may rise in one step.
MAX_FLEET_RISE: Final = 0.12
MIN_SENDERS: Final = 4  # balancers per cold upstream, so that it is not idle if one of them stops
SLOW_START_MARGIN: Final = 0.7  # used fraction of the rate that a cold upstream can serve
GOLDEN_RATIO: Final = 0.6180339887498949
EPSILON: Final = 1e-9
ROUNDING: Final = 1e-12


class Stage(Enum):
    """Stage of a recovery. The values are stored."""

    OUT = "out"
    HEALTH_CHECKS = "probes"
    TRICKLE = "trickle"
    SHARES = "shares"
    NORMAL = "normal"


STAGES: Final = tuple(Stage)
MIN_STAGE_S: Final = {Stage.HEALTH_CHECKS: HEALTH_CHECKS_S, Stage.TRICKLE: TRICKLE_S}


@dataclass(frozen=True, slots=True)
class Recovery:
    """Progress of one site's recovery.

    Attributes:
        fraction: Fraction of its usual load that the site gets.
        failures: Number of failed stages since the site was last normal.
        has_failed: The last change was a failed stage.
    """

    site: str
    stage: Stage = Stage.OUT
    fraction: float = 0.0
    failures: int = 0
    has_failed: bool = False

    @property
    def wait_s(self) -> float:
        """Wait before the next try; it doubles with each failure."""
        if not self.failures:
            return 0.0
        return min(MAX_WAIT_S, MIN_WAIT_S * 2.0 ** (self.failures - 1))


@dataclass(frozen=True, slots=True)
class Observation:
    """Observations of a site during its current stage.

    Attributes:
        is_lost: The site does not respond.
        attempts: Number of attempts since the stage began.
        good_fraction: Fraction of them answered in time, relative to the other sites.
        latency_ratio: Latency relative to the other sites.
    """

    is_lost: bool
    attempts: int
    good_fraction: float
    latency_ratio: float = 1.0


def _previous_stage(recovery: Recovery) -> Recovery:
    """Return the recovery one stage earlier, with a longer wait before the next try."""
    stage = STAGES[max(1, STAGES.index(recovery.stage) - 1)]
    fraction = {Stage.HEALTH_CHECKS: 0.0, Stage.TRICKLE: TRICKLE_FRACTION}.get(
        stage, recovery.fraction / RISE_FACTOR
    )
    return replace(
        recovery,
        stage=stage,
        fraction=min(recovery.fraction, fraction),
        failures=min(MAX_FAILURES, recovery.failures + 1),
        has_failed=True,
    )


def step(
    recovery: Recovery,
    observed: Observation,
    age_s: float,
    max_rise: float = 1.0,
    is_urgent: bool = False,
) -> Recovery:
    """Return the next state of a recovery, or the same object if nothing changes.

    Args:
        recovery: The current state.
        observed: Observations of the site.
        age_s: Time since the last change of the recovery.
        max_rise: Limit of the rise of its fraction in this step.
        is_urgent: The fleet is short of capacity, so the site rises sooner and by larger steps.
    """
    if observed.is_lost:
        if recovery.stage is Stage.OUT:
            return recovery
        failures = min(MAX_FAILURES, recovery.failures + (recovery.stage is not Stage.NORMAL))
        return Recovery(recovery.site, Stage.OUT, 0.0, failures)
    if recovery.stage is Stage.NORMAL:
        return recovery
    if recovery.stage is Stage.OUT:
        if age_s >= recovery.wait_s:
            return replace(recovery, stage=Stage.HEALTH_CHECKS)
        return recovery
    return _step_answering(recovery, observed, age_s, max_rise, is_urgent)


def _step_answering(
    recovery: Recovery, observed: Observation, age_s: float, max_rise: float, is_urgent: bool
) -> Recovery:
    is_bad = observed.good_fraction < BAD_FRACTION or observed.latency_ratio > TOO_SLOW_RATIO
    if observed.attempts >= MIN_ATTEMPTS and is_bad:
        return _previous_stage(recovery)
    if age_s < _min_age_s(recovery, is_urgent) or not _may_rise(observed):
        return recovery
    return _rise(recovery, max_rise, is_urgent)


def _min_age_s(recovery: Recovery, is_urgent: bool) -> float:
    min_age_s = MIN_STAGE_S.get(recovery.stage, STEP_S)
    min_age_s *= URGENT_TIME_FACTOR if is_urgent else 1.0
    return max(min_age_s, recovery.wait_s if recovery.has_failed else 0.0)


def _may_rise(observed: Observation) -> bool:
    return (
        observed.attempts >= MIN_ATTEMPTS
        and observed.good_fraction >= GOOD_FRACTION
        and observed.latency_ratio <= SLOW_RATIO
    )


def _rise(recovery: Recovery, max_rise: float, is_urgent: bool) -> Recovery:
    if recovery.stage is Stage.HEALTH_CHECKS:
        return replace(recovery, stage=Stage.TRICKLE, fraction=TRICKLE_FRACTION, has_failed=False)
    rise = max(MIN_RISE, recovery.fraction * (RISE_FACTOR - 1.0))
    rise = max(rise, URGENT_MIN_RISE) if is_urgent else min(max_rise, rise)
    fraction = min(1.0, recovery.fraction + rise)
    if fraction >= 1.0:
        return Recovery(recovery.site, Stage.NORMAL, 1.0, 0)
    return replace(recovery, stage=Stage.SHARES, fraction=fraction, has_failed=False)


def allowed_rises(
    recoveries: Iterable[Recovery], capacities: Mapping[str, float]
) -> dict[str, float]:
    """Return by how much each recovering site may rise in its next step.

    The total rise is limited to a fraction of the fleet's capacity and split evenly. Favouring the
    sites that are nearly recovered would starve the others.
    """
    rising = [
        rising_recovery
        for rising_recovery in recoveries
        if rising_recovery.stage in (Stage.TRICKLE, Stage.SHARES)
    ]
    total = sum(capacities.values())
    return {
        rising_recovery.site: MAX_FLEET_RISE
        * total
        / len(rising)
        / max(EPSILON, capacities.get(rising_recovery.site, 0.0))
        for rising_recovery in rising
    }


def assign_slow_start(
    upstreams: Sequence[int],
    balancers: Sequence[str],
    rates: Mapping[int, float],
    weights: Mapping[str, float] | None = None,
) -> dict[str, dict[int, float]]:
    """Return the requests/s that each balancer may send to each cold upstream.

    Each upstream is assigned to so few balancers that each of them may send about one request per
    second. The assignment rotates over the balancers, so that no balancer gets many more upstreams
    than the others.

    Args:
        upstreams: Numbers of the cold upstreams.
        balancers: Names of all balancers that can send.
        rates: By upstream, the requests/s that it can serve now from all balancers.
        weights: By balancer, its share of the traffic.
    """
    assigned: dict[str, dict[int, float]] = {}
    if not balancers:
        return assigned
    bounds = _cumulative_weights(balancers, weights or {})
    offset = 0.0
    for upstream in upstreams:
        rate = rates.get(upstream, 0.0)
        if rate <= 0:
            continue
        senders = min(len(balancers), max(MIN_SENDERS, math.ceil(rate)))
        chosen: dict[str, int] = {}
        for index in range(senders):
            point = (offset + index / senders) % 1.0
            position = next(i for i, bound in enumerate(bounds) if point < bound + ROUNDING)
            balancer = balancers[min(len(balancers) - 1, position)]
            chosen[balancer] = chosen.get(balancer, 0) + 1
        for balancer, count in chosen.items():
            assigned.setdefault(balancer, {})[upstream] = rate * count / senders
        offset = (offset + GOLDEN_RATIO) % 1.0  # spreads any number of upstreams evenly
    return assigned


def _cumulative_weights(balancers: Sequence[str], weights: Mapping[str, float]) -> list[float]:
    """Return the upper bound of each balancer's interval within [0, 1]."""
    positive = [max(0.0, weights.get(balancer, 1.0)) for balancer in balancers]
    total = sum(positive) or float(len(balancers))
    bounds = []
    running = 0.0
    for weight in positive:
        running += weight if sum(positive) else 1.0
        bounds.append(running / total)
    return bounds


@dataclass(frozen=True, slots=True)
class SlowStartRules:
    """Settings of the slow start of cold upstreams."""

    duration_s: float
    initial_capacity: float
    overload_multiple: float

    def rate(self, full_rate: float, age_s: float) -> float:
        """Return the requests/s that a cold upstream can serve from all balancers.

        Args:
            full_rate: Requests/s that it can serve once it is warmed up.
            age_s: Time since it was started.
        """
        if self.duration_s <= 0:
            return full_rate
        progress = min(1.0, max(0.0, age_s) / self.duration_s)
        fraction = self.initial_capacity + (1.0 - self.initial_capacity) * progress
        if fraction >= 1.0:
            return full_rate
        return SLOW_START_MARGIN * self.overload_multiple * fraction * full_rate
