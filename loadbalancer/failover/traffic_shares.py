"""Traffic shares: what the states of the sites mean for each balancer. Pure.

They say which sites' upstreams a balancer may use and how much, what it refuses, and which cold
upstreams it warms up.
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

# Of its draws that a site keeps which has capacity: balancers correct by what they observe.
MIN_DRAW_FRACTION: Final = 0.15
FULL_DRAW_FRACTION: Final = 0.999  # from which a site need not be named
MIN_QUOTA: Final = 1.0  # requests a second, of a tenant at a balancer
SPARE_FRACTION: Final = 0.05  # of the capacity, assumed to be left for retries
RETRY_LIMITS: Final = RetryWindowLimits(min_ns=250_000_000, max_ns=60_000_000_000)
MAX_STEPS: Final = 40
SECOND_NS: Final = 1e9
NO_RETRY_WINDOW: Final = RetryWindow(0, 0)


class TrafficShares(msgspec.Struct, frozen=True):
    """What all balancers do, as it stands in the store.

    Attributes:
        zones: By the site where a balancer stands, the fraction of each site's draws that it uses.
        excess: Fraction refused of what is beyond a tenant's quota.
        retries: Fraction refused of clients' retries.
        allows_hedging: Hedged requests may be sent.
        classes: By class, the fraction that is refused.
        retry_window_ns: From when to when the refused shall retry.
        quotas: By balancer, each tenant's quota there in requests a second.
        slow_start: By balancer, the requests a second that it may send to each cold upstream.
        slow_start_upstreams: All that are assigned; who is given nothing of one sends it nothing.
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
    """What shares of single balancers are made of.

    Attributes:
        reports: By balancer.
        slow_start_rates: Cold upstreams of recovering sites, and the requests a second that each
            can serve from all balancers together.
    """

    reports: Mapping[str, ReceivedReport]
    slow_start_rates: Mapping[int, float]


@dataclass(slots=True)
class _RateSum:
    """Rates of a site, class and tenant."""

    rate: float = 0.0
    retry_rate: float = 0.0


def build_fleet(
    sites: Iterable[SiteCapacity],
    class_values: Mapping[str, float],
    quotas: Mapping[str, float],
    reports: Mapping[str, ReceivedReport],
) -> Fleet:
    """Return the fleet that the fresh reports add up to.

    Work is relative to the mean of the usual mix: a site's capacity is in requests a second.

    Args:
        sites: All of them.
        class_values: By class, the value of a request answered in time.
        quotas: By tenant, the requests a second of all balancers together; 0: not known.
        reports: By balancer.
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
    """Return the classes with their work: the reports' median, against the mean of the mix."""
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
    """Return the fleet with each site's capacity times a factor; 1 where none is named."""
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
    """Return what all balancers do, by the sites' states."""
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
    # The controller has a memory: it rises at once and falls slowly.
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
    """Return the fleet without partitioned sites, and with the capacities that are left."""
    sites = {name: site for name, site in fleet.sites.items() if name not in partitioned}
    connected = scaled_capacities(replace(fleet, sites=sites), fractions)
    return replace(connected, loads=tuple(load for load in fleet.loads if load.site in sites))


def _draw_fractions(
    fleet: Fleet, origin: str, plan: FailoverPlan | None, fractions: Mapping[str, float]
) -> dict[str, float]:
    """Return the fraction of the draws of each remaining site's upstreams that a site uses.

    Where distance is costly they follow the plan: upstreams are drawn alike, so a site that is to
    get less for its capacity gets a fraction of its draws. Where it is cheap they stay as they are:
    a balancer that may choose among all upstreams finds the idle ones.
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
        # A recovering site gets no more than its fraction, whatever the plan has capacity for.
        draw = min(draw, fractions.get(name, draw))
        if draw < FULL_DRAW_FRACTION:
            draws[name] = round(draw, 4)
    return draws


def _retry_window(
    fleet: Fleet, shedding: Shedding, capacity: float, states: Sequence[SiteState]
) -> RetryWindow:
    """Return when the refused shall retry."""
    if not shedding.level:
        return NO_RETRY_WINDOW
    demanded = sum(load.rate for load in fleet.loads)
    refused = demanded - sum(admitted(fleet, load, shedding) for load in fleet.loads)
    # There is capacity again once a recovering site has risen; else what is spare each second.
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
    """Return each balancer's part of each tenant's quota, in requests a second.

    It is by the balancer's part of that tenant's traffic. A tenant below its quota gets more here
    than it uses: chance alone must not make it seem beyond.
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
    """Return which balancer warms up which cold upstream."""
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
