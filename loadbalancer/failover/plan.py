"""Precomputed failover plans: where a lost site's load goes and which load is shed.

There is a plan for the loss of each site and of each pair of sites. It says which fraction of each
site's admitted load goes to the upstreams of which site, and how much load the fleet sheds.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from loadbalancer.failover.fleet_model import EPSILON, EXCESS, RETRIES, Fleet, Load
from loadbalancer.failover.shedding import Shedding, required_shedding, work
from loadbalancer.failover.tally import Tally
from loadbalancer.failover.transport import assign

MAX_UTILISATION: Final = 0.9  # above this, random fluctuations alone build up a queue
FOREIGN_WORK_FACTOR: Final = 1.15  # work of a request whose key its upstream never served before
EXCESS_VALUE: Final = 0.2  # relative value of a request beyond its tenant's quota
MAX_LOST_SITES: Final = 2  # largest number of sites lost at a time that is planned for


@dataclass(frozen=True, slots=True)
class ServedValue:
    """Value served per second under a plan.

    Attributes:
        normal_value: Value per second if nothing is shed.
        by_tenant: By tenant, the served fraction of the value within its quota.
        by_class: By class, the served fraction of the value within quotas.
    """

    value: float
    normal_value: float
    by_tenant: Mapping[str, float]
    by_class: Mapping[str, float]

    @property
    def fraction(self) -> float:
        """Served value as a fraction of the normal value."""
        return self.value / max(EPSILON, self.normal_value)


@dataclass(frozen=True, slots=True)
class FailoverPlan:
    """Plan for the loss of a set of sites.

    Attributes:
        shares: By origin, the fraction of its admitted load that goes to each site.
        utilisation: By site, the used fraction of its capacity, without its own burst.
    """

    lost: frozenset[str]
    shares: Mapping[str, Mapping[str, float]]
    shedding: Shedding
    utilisation: Mapping[str, float]
    served: ServedValue


def spare_capacities(fleet: Fleet, lost: frozenset[str]) -> dict[str, float]:
    """Return the work per second that each remaining site can take, less its own burst."""
    local_work: dict[str, float] = {}
    for load in fleet.loads:
        local_work[load.site] = local_work.get(load.site, 0.0) + work(fleet, load, Shedding())
    capacities = {}
    for name, site in fleet.sites.items():
        if name in lost:
            continue
        capacity = site.capacity * MAX_UTILISATION - local_work.get(name, 0.0) * site.burst
        if site.connections is not None:
            capacity = min(capacity, site.connections)
        capacities[name] = max(0.0, capacity)
    return capacities


def plan_for_loss(fleet: Fleet, lost: Iterable[str]) -> FailoverPlan:
    """Return where all load goes and what is shed while some sites are lost.

    Load that used to arrive at lost sites is assumed to arrive evenly at the others.
    """
    lost_sites = frozenset(lost)
    remaining_sites = [name for name in sorted(fleet.sites) if name not in lost_sites]
    capacities = spare_capacities(fleet, lost_sites)
    loads = _redistributed(fleet, lost_sites, remaining_sites)
    work_factor = _work_factor(fleet, lost_sites)
    if remaining_sites:
        total = sum(capacities.values()) / work_factor
        shedding = required_shedding(fleet, loads, total)
    else:
        shedding = Shedding(fleet.top_level, 1.0)
    demand: dict[str, float] = {}
    for load in loads:
        demand[load.site] = demand.get(load.site, 0.0) + work_factor * work(fleet, load, shedding)
    costs = {
        (origin, target): fleet.sites[target].costs.get(origin, 0.0)
        for origin in remaining_sites
        for target in remaining_sites
    }
    flow = assign(demand, capacities, costs)
    shares = {
        origin: {
            target: amount / max(EPSILON, sum(targets.values()))
            for target, amount in sorted(targets.items())
        }
        for origin, targets in sorted(flow.items())
    }
    used = {
        target: sum(targets.get(target, 0.0) for targets in flow.values())
        for target in remaining_sites
    }
    utilisation = {
        target: used[target] / max(EPSILON, fleet.sites[target].capacity)
        for target in remaining_sites
    }
    return FailoverPlan(
        lost_sites, shares, shedding, utilisation, _served_value(fleet, loads, shedding)
    )


def _redistributed(
    fleet: Fleet, lost_sites: frozenset[str], remaining_sites: list[str]
) -> list[Load]:
    """Return the loads with those of lost sites spread evenly over the others."""
    loads: list[Load] = []
    for load in fleet.loads:
        if load.site in lost_sites:
            loads += [
                replace(load, site=name, rate=load.rate / len(remaining_sites))
                for name in remaining_sites
            ]
        else:
            loads.append(load)
    return loads


def _work_factor(fleet: Fleet, lost_sites: frozenset[str]) -> float:
    """Return the factor by which work grows because upstreams serve keys that are new to them."""
    foreign = sum(work(fleet, load, Shedding()) for load in fleet.loads if load.site in lost_sites)
    total = sum(work(fleet, load, Shedding()) for load in fleet.loads)
    return 1.0 + (FOREIGN_WORK_FACTOR - 1.0) * foreign / total if total else 1.0


def _served_value(fleet: Fleet, loads: Iterable[Load], shedding: Shedding) -> ServedValue:
    """Return the value of the admitted load; by tenant and class only within quotas."""
    overall = Tally()
    tenants: dict[str, Tally] = {}
    classes: dict[str, Tally] = {}
    for load in loads:
        value = fleet.classes[load.class_name].value
        rate_within_quota = load.rate * (1.0 - load.excess)
        level = fleet.level_of[load.class_name]
        fraction = (1.0 - load.retries * shedding.shed_fraction(RETRIES)) * (
            1.0 - shedding.shed_fraction(level)
        )
        excess = load.rate * load.excess * (1.0 - shedding.shed_fraction(EXCESS)) * EXCESS_VALUE
        overall.good += value * fraction * (rate_within_quota + excess)
        overall.total += value * (rate_within_quota + load.rate * load.excess * EXCESS_VALUE)
        for tallies, name in ((tenants, load.tenant), (classes, load.class_name)):
            tally = tallies.setdefault(name, Tally())
            tally.good += value * fraction * rate_within_quota
            tally.total += value * rate_within_quota
    return ServedValue(
        overall.good,
        overall.total,
        {name: tally.fraction for name, tally in sorted(tenants.items())},
        {name: tally.fraction for name, tally in sorted(classes.items())},
    )


def plans_for_losses(fleet: Fleet) -> dict[frozenset[str], FailoverPlan]:
    """Return the plans for no loss, for each lost site, and for each pair of lost sites."""
    names = sorted(fleet.sites)
    losses = [
        frozenset(combination)
        for count in range(MAX_LOST_SITES + 1)
        for combination in itertools.combinations(names, count)
        if count < len(names)
    ]
    return {lost: plan_for_loss(fleet, lost) for lost in losses}


def losses_over_capacity(plans: Mapping[frozenset[str], FailoverPlan]) -> list[frozenset[str]]:
    """Return the single-site losses that the other sites lack capacity for (N-1 fails)."""
    return sorted(
        (lost for lost, plan in plans.items() if len(lost) == 1 and plan.shedding.level > EXCESS),
        key=sorted,
    )
