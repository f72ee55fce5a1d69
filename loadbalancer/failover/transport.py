"""The transportation problem (Hitchcock 1941): assign work from origins to targets at low cost.

Vogel's approximation solves it without adding a solver library to the balancer. Its distance from
the optimum is in docs/measurements.md.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from loadbalancer.failover.fleet_model import EPSILON

Costs = Mapping[tuple[str, str], float]
Flow = dict[tuple[str, str], float]


class _Choice(NamedTuple):
    """The cheapest target of an origin. Choices are ordered, and the smallest is taken first."""

    negative_regret: float
    cost: float
    origin: str
    target: str


def assign(
    demand: Mapping[str, float], capacities: Mapping[str, float], costs: Costs
) -> dict[str, dict[str, float]]:
    """Return the work from each origin to each target, with no target over its capacity.

    The next origin to assign is the one that would lose most by not getting its cheapest target
    (Vogel). Afterwards work moves to cheaper targets, and pairs of origins swap targets, until
    neither reduces the cost. Work that exceeds the capacity is omitted.
    """
    open_demand = {origin: amount for origin, amount in demand.items() if amount > EPSILON}
    free = {target: amount for target, amount in capacities.items() if amount > EPSILON}
    flow: Flow = {}
    while open_demand and free:
        choice = min(_cheapest_target(origin, free, costs) for origin in sorted(open_demand))
        origin = choice.origin
        target = choice.target
        moved = min(open_demand[origin], free[target])
        _add(flow, origin, target, moved)
        _subtract(open_demand, origin, moved)
        _subtract(free, target, moved)
    while _move_to_free_target(flow, free, costs) or _swap_targets(flow, costs):
        pass
    assigned: dict[str, dict[str, float]] = {}
    for (origin, target), amount in sorted(flow.items()):
        if amount > EPSILON:
            assigned.setdefault(origin, {})[target] = amount
    return assigned


def _cheapest_target(origin: str, free: Mapping[str, float], costs: Costs) -> _Choice:
    ranked = sorted((costs.get((origin, target), 0.0), target) for target in free)
    regret = ranked[1][0] - ranked[0][0] if len(ranked) > 1 else 0.0
    return _Choice(-regret, ranked[0][0], origin, ranked[0][1])


def _add(flow: Flow, origin: str, target: str, amount: float) -> None:
    flow[origin, target] = flow.get((origin, target), 0.0) + amount


def _subtract(amounts: dict[str, float], name: str, amount: float) -> None:
    amounts[name] -= amount
    if amounts[name] <= EPSILON:
        del amounts[name]


def _used(flow: Flow) -> list[tuple[str, str]]:
    return [pair for pair, amount in sorted(flow.items()) if amount > EPSILON]


def _move_to_free_target(flow: Flow, free: dict[str, float], costs: Costs) -> bool:
    """Move work of one origin to a cheaper target with free capacity; return whether it did."""
    for origin, target in _used(flow):
        for candidate, amount in sorted(free.items()):
            is_cheaper = (
                costs.get((origin, candidate), 0.0) < costs.get((origin, target), 0.0) - EPSILON
            )
            if amount > EPSILON and is_cheaper:
                moved = min(amount, flow[origin, target])
                _add(flow, origin, target, -moved)
                _add(flow, origin, candidate, moved)
                free[candidate] -= moved
                free[target] = free.get(target, 0.0) + moved
                return True
    return False


def _swap_targets(flow: Flow, costs: Costs) -> bool:
    """Swap the targets of two origins if that reduces the cost; return whether it did."""
    used = _used(flow)
    for index, (origin, target) in enumerate(used):
        for other_origin, other_target in used[index + 1 :]:
            gain = (
                costs.get((origin, target), 0.0)
                + costs.get((other_origin, other_target), 0.0)
                - costs.get((origin, other_target), 0.0)
                - costs.get((other_origin, target), 0.0)
            )
            if origin != other_origin and target != other_target and gain > EPSILON:
                moved = min(flow[origin, target], flow[other_origin, other_target])
                _add(flow, origin, target, -moved)
                _add(flow, origin, other_target, moved)
                _add(flow, other_origin, other_target, -moved)
                _add(flow, other_origin, target, moved)
                return True
    return False
