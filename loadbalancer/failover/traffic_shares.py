"""Traffic shares: the instructions for all balancers that follow from the site states.

They say which sites' upstreams a balancer uses and to what extent, which load it refuses, and which
cold upstreams it warms up.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Final

import msgspec

from loadbalancer.failover import recovery
from loadbalancer.failover.fleet_model import (
    EPSILON,
    EXCESS,
    HEDGES,
    RETRIES,
    Fleet,
    Load,
    SiteCapacity,
    WorkClass,
)
from loadbalancer.failover.plan import MAX_UTILISATION, FailoverPlan, plan_for_loss
from loadbalancer.failover.recovery import RISE_FACTOR, STEP_S, Stage
from loadbalancer.failover.shedding import (
    RetryWindow,
    RetryWindowLimits,
    Shedding,
    SheddingController,
    admitted,
    retry_window,
)
from loadbalancer.failover.site_reports import ReceivedReport
from loadbalancer.failover.site_state import SiteState, load_fractions

# Fraction of draws that a site with capacity keeps, so that balancers still observe it and can
# correct the plan.
MIN_DRAW_FRACTION: Final = 0.15
FULL_DRAW_FRACTION: Final = 0.999  # from here on a site is omitted from the shares
MIN_QUOTA: Final = 1.0  # requests/s of a tenant at one balancer
SPARE_FRACTION: Final = 0.05  # fraction of capacity assumed to be available for retries
RETRY_LIMITS: Final = RetryWindowLimits(min_ns=250_000_000, max_ns=60_000_000_000)
MAX_STEPS: Final = 40
SECOND_NS: Final = 1e9
NO_RETRY_WINDOW: Final = RetryWindow(0, 0)


class TrafficShares(msgspec.Struct, frozen=True):
    """Instructions for all balancers, as stored.

    Attributes:
        zones: By the balancer's site, the fraction of the draws of each site's upstreams to use.
        excess: Refused fraction of the requests beyond a tenant's quota.
        retries: Refused fraction of client retries.
        allows_hedging: Hedged requests may be sent.
        classes: By class, the refused fraction.
        retry_window_ns: Start and end of the interval in which refused clients should retry.
        quotas: By balancer, each tenant's quota there in requests/s.
        slow_start: By balancer, the requests/s that it may send to each cold upstream.
        slow_start_upstreams: All assigned cold upstreams. A balancer without a rate for one of them
            sends it no requests.
    """

    zones: Mapping[str, Mapping[str, float]] = msgspec.field(default_factory=dict)
    excess: float = 0.0
    retries: float = msgspec.field(default=0.0, name="repeats")
    allows_hedging: bool = msgspec.field(default=True, name="copies")
    classes: Mapping[str, float] = msgspec.field(default_factory=dict)
    retry_window_ns: tuple[int, int] = msgspec.field(default=(0, 0), name="back_ns")
    quotas: Mapping[str, Mapping[str, float]] = msgspec.field(default_factory=dict, name="shares")
    slow_start: Mapping[str, Mapping[int, float]] = msgspec.field(default_factory=dict, name="cold")
    slow_start_upstreams: tuple[int, ...] = msgspec.field(default=(), name="cooling")


@dataclass(frozen=True, slots=True)
class BalancerInputs:
    """Inputs for the shares of single balancers.

    Attributes:
        reports: Reports by balancer.
        slow_start_rates: By cold upstream of a recovering site, the requests/s that it can serve
            from all balancers.
    """

    reports: Mapping[str, ReceivedReport]
    slow_start_rates: Mapping[int, float]


@dataclass(slots=True)
class _RateSum:
    """Summed rates of one site, class and tenant."""

    rate: float = 0.0
    retry_rate: float = 0.0


def build_fleet(
    sites: Iterable[SiteCapacity],
    class_values: Mapping[str, float],
    quotas: Mapping[str, float],
    reports: Mapping[str, ReceivedReport],
) -> Fleet:
    """Return the fleet model from the sum of all fresh reports.

    Work is relative to the mean work of the current mix of requests, so a site's capacity is in
    requests/s.

    Args:
        sites: All sites.
        class_values: By class, the value of a request answered in time.
        quotas: By tenant, its quota in requests/s over all balancers; 0 if unknown.
        reports: Reports by balancer.
    """
    sums: dict[tuple[str, str, str], _RateSum] = {}
    class_rates: dict[str, float] = {}
    tenant_rates: dict[str, float] = {}
    for received in reports.values():
        if not received.is_fresh:
            continue
        for name, tenant, rate, retry_fraction in received.report.loads:
            if name in class_values:
                rates = sums.setdefault((received.report.site, name, tenant), _RateSum())
                rates.rate += rate
                rates.retry_rate += rate * retry_fraction
                class_rates[name] = class_rates.get(name, 0.0) + rate
                tenant_rates[tenant] = tenant_rates.get(tenant, 0.0) + rate
    excess = {
        tenant: max(0.0, 1.0 - quotas[tenant] / rate) if quotas.get(tenant) and rate > 0 else 0.0
        for tenant, rate in tenant_rates.items()
    }
    loads = tuple(
        Load(site, name, tenant, rates.rate, excess[tenant], rates.retry_rate / rates.rate)
        for (site, name, tenant), rates in sorted(sums.items())
        if rates.rate > EPSILON
    )
    classes = _work_classes(class_values, class_rates, reports)
    return Fleet({site.name: site for site in sites}, classes, loads, quotas)


def _work_classes(
    class_values: Mapping[str, float],
    class_rates: Mapping[str, float],
    reports: Mapping[str, ReceivedReport],
) -> dict[str, WorkClass]:
    """Return the classes; their work is the reports' median relative to the mean of the mix."""
    samples: dict[str, list[float]] = {}
    for received in reports.values():
        if not received.is_fresh:
            continue
        for name, seconds in received.report.work:
            if name in class_values and seconds > 0:
                samples.setdefault(name, []).append(seconds)
    work = {name: sorted(seconds)[len(seconds) // 2] for name, seconds in samples.items()}
    usual = sum(work.values()) / len(work) if work else 1.0
    total_rate = sum(class_rates.values())
    mean = usual
    if total_rate:
        mean = sum(rate * work.get(name, usual) for name, rate in class_rates.items()) / total_rate
    return {
        name: WorkClass(name, value, work.get(name, usual) / max(EPSILON, mean))
        for name, value in class_values.items()
    }


def scaled_capacities(fleet: Fleet, factors: Mapping[str, float]) -> Fleet:
    """Return the fleet with each site's capacity multiplied by its factor, 1 by default."""
    return replace(
        fleet,
        sites={
            name: replace(site, capacity=site.capacity * factors.get(name, 1.0))
            for name, site in fleet.sites.items()
        },
    )


def compute_shares(
    fleet: Fleet,
    states: Sequence[SiteState],
    controller: SheddingController,
    inputs: BalancerInputs,
    now: int,
) -> TrafficShares:
    """Return the instructions for all balancers that follow from the site states."""
    fractions = load_fractions(states)
    if not fractions:
        controller.current = Shedding()
        return TrafficShares()
    partitioned = {state.site for state in states if state.is_partitioned}
    connected = _connected_fleet(fleet, partitioned, fractions)
    closed_sites = [name for name in connected.sites if fractions.get(name, 1.0) <= 0.0]
    plan = (
        plan_for_loss(connected, closed_sites) if len(closed_sites) < len(connected.sites) else None
    )
    capacity = sum(
        site.capacity for name, site in connected.sites.items() if name not in closed_sites
    )
    # The controller is stateful: shedding rises at once and falls slowly.
    shedding = controller.update(connected, connected.loads, MAX_UTILISATION * capacity, now)
    refused = {name: shedding.shed_fraction(fleet.level_of[name]) for name in fleet.classes}
    zones = {}
    for origin in fleet.sites:
        if origin in partitioned:
            zones[origin] = {name: 0.0 for name in fleet.sites if name != origin}
        else:
            closed = dict.fromkeys(partitioned, 0.0) | {
                name: fractions[name] for name in closed_sites
            }
            zones[origin] = closed | _draw_fractions(connected, origin, plan, fractions)
    return TrafficShares(
        zones=zones,
        excess=shedding.shed_fraction(EXCESS),
        retries=shedding.shed_fraction(RETRIES),
        allows_hedging=not shedding.shed_fraction(HEDGES),
        classes={name: fraction for name, fraction in refused.items() if fraction > 0},
        retry_window_ns=_retry_window(connected, shedding, capacity, states),
        quotas=quotas_by_balancer(inputs.reports, connected) if shedding.level else {},
        slow_start=_assign_slow_start(inputs, partitioned),
        slow_start_upstreams=tuple(sorted(inputs.slow_start_rates)),
    )


def _connected_fleet(fleet: Fleet, partitioned: set[str], fractions: Mapping[str, float]) -> Fleet:
    """Return the fleet without partitioned sites, with capacities reduced to the fractions."""
    sites = {name: site for name, site in fleet.sites.items() if name not in partitioned}
    connected = scaled_capacities(replace(fleet, sites=sites), fractions)
    return replace(connected, loads=tuple(load for load in fleet.loads if load.site in sites))


def _draw_fractions(
    fleet: Fleet, origin: str, plan: FailoverPlan | None, fractions: Mapping[str, float]
) -> dict[str, float]:
    """Return the fraction of the draws of each remaining site's upstreams that one origin uses.

    Balancers draw all upstreams with equal probability. For a site that is costly to reach, the
    fractions follow the plan: a site with a smaller share per capacity keeps fewer of its draws.
    For a site that is cheap to reach they stay near 1, because a balancer that can choose among
    all upstreams finds the idle ones.
    """
    if plan is None:
        return {}
    shares = plan.shares.get(origin, {})
    per_capacity = {
        name: shares.get(name, 0.0) / max(EPSILON, site.capacity)
        for name, site in fleet.sites.items()
        if fractions.get(name, 1.0) > 0.0 and site.capacity > EPSILON
    }
    max_per_capacity = max(per_capacity.values(), default=0.0)
    draws = {}
    for name, share in per_capacity.items():
        draw = 1.0
        if max_per_capacity > 0:
            cost = min(1.0, fleet.sites[name].costs.get(origin, 0.0))
            draw = 1.0 - cost * (1.0 - max(MIN_DRAW_FRACTION, share / max_per_capacity))
        # A recovering site gets no more than its fraction, even if the plan assigns it more.
        draw = min(draw, fractions.get(name, draw))
        if draw < FULL_DRAW_FRACTION:
            draws[name] = round(draw, 4)
    return draws


def _retry_window(
    fleet: Fleet, shedding: Shedding, capacity: float, states: Sequence[SiteState]
) -> RetryWindow:
    """Return when refused clients should retry."""
    if not shedding.level:
        return NO_RETRY_WINDOW
    demanded = sum(load.rate for load in fleet.loads)
    refused = demanded - sum(admitted(fleet, load, shedding) for load in fleet.loads)
    # More capacity is expected when the first recovering site is back in normal service. Without a
    # recovering site the window starts as early as allowed.
    steps = [
        _steps_to_normal(state.fraction)
        for state in states
        if state.stage in (Stage.TRICKLE, Stage.SHARES)
    ]
    capacity_in_ns = int(min(steps, default=0.0) * STEP_S * SECOND_NS)
    return retry_window(refused, SPARE_FRACTION * capacity, capacity_in_ns, RETRY_LIMITS)


def _steps_to_normal(fraction: float) -> float:
    steps = 0.0
    while 0 < fraction < 1 and steps < MAX_STEPS:
        fraction *= RISE_FACTOR
        steps += 1
    return steps


def quotas_by_balancer(
    reports: Mapping[str, ReceivedReport], fleet: Fleet
) -> dict[str, dict[str, float]]:
    """Return each balancer's share of each tenant's quota, in requests/s.

    Quotas are split in proportion to the tenant's traffic at each balancer. A tenant below its
    quota thus gets more at a balancer than it uses there, so random fluctuations do not put it
    over.
    """
    totals: dict[str, float] = {}
    rates: dict[str, dict[str, float]] = {name: {} for name in reports}
    for name, received in reports.items():
        for load in received.report.loads:
            tenant = load.tenant
            totals[tenant] = totals.get(tenant, 0.0) + load.rate
            rates[name][tenant] = rates[name].get(tenant, 0.0) + load.rate
    return {
        name: {
            tenant: round(max(MIN_QUOTA, fleet.quotas[tenant] * rate / totals[tenant]), 3)
            for tenant, rate in sorted(balancer_rates.items())
            if fleet.quotas.get(tenant, 0.0) > 0 and totals[tenant] > 0
        }
        for name, balancer_rates in rates.items()
    }


def _assign_slow_start(
    inputs: BalancerInputs, partitioned: set[str]
) -> dict[str, dict[int, float]]:
    """Return by balancer the requests/s that it may send to each cold upstream."""
    rates = inputs.slow_start_rates
    if not rates:
        return {}
    eligible = {
        name: received.report
        for name, received in inputs.reports.items()
        if received.is_fresh
        and not received.report.is_isolated
        and received.report.site not in partitioned
    }
    traffic = {name: sum(load.rate for load in report.loads) for name, report in eligible.items()}
    weights = traffic if any(traffic.values()) else None
    assigned = recovery.assign_slow_start(sorted(rates), sorted(eligible), rates, weights)
    return {
        name: {upstream: round(rate, 4) for upstream, rate in sorted(assigned_rates.items())}
        for name, assigned_rates in assigned.items()
    }
