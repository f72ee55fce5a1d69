"""What a proxy has learnt, told to its successor, and what that believes of it after a restart."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.concurrency_limit import EASE, Crowding
from loadbalancer.policy.rate_controller import EVIDENCE, Rate
from loadbalancer.policy.token_bucket import START_RATE, Throttle
from loadbalancer.policy.upstream_set import Fleet

# What was learnt before a restart is believed by half after so long, and not at all below a part;
# it counts as so many outcomes. R comes back with room on top, more the older it is: too low a
# start starves tenants.
HALF_LIFE_NS = 60 * SECOND
LEAST_BELIEF: Final = 0.05
RECALLED: Final = 20
HEADROOM: Final = 1.3


def learnt(
    throttles: Mapping[str, Throttle], rate: Rate, crowding: Crowding, fleet: Fleet
) -> api.LearnedState:
    """What it has learnt so far."""
    demands = {name: t.demand for name, t in throttles.items()}
    paces = {s.id: (s.pace, s.started_ns) for s in fleet.ready}
    return api.LearnedState(
        0,
        rate.value if rate.value < START_RATE else 0.0,
        demands,
        dict(crowding.taken),
        crowding.each,
        crowding.calm,
        crowding.window,
        paces,
    )


def recall(
    e: api.LearnedState,
    now: int,
    throttles: Mapping[str, Throttle],
    rate: Rate,
    crowding: Crowding,
    fleet: Fleet,
) -> None:
    """Begin with what was learnt before a restart. What this proxy has seen by itself stands."""
    trust = 0.5 ** (max(0, e.age_ns) / HALF_LIFE_NS)
    c = crowding
    if trust < LEAST_BELIEF or c.seen >= EVIDENCE:
        return
    for name, took in e.taken.items():
        c.taken.setdefault(name, took)
    if e.per_request_ns > 0:
        c.each += trust * (e.per_request_ns - c.each)
        c.calm += trust * (min(e.calm, EASE[1]) - c.calm)
        c.window += trust * (min(e.window, c.widest) - c.window)
        c.seen = max(c.seen, int(RECALLED * trust))
    fleet.recall(e.paces, trust)
    if e.rate:
        demands = [(throttles[n], demand) for n, demand in e.demands.items() if n in throttles]
        rate.recall(e.rate * HEADROOM / trust, demands, now)
