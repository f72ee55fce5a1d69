"""What follows from the courses for each balancer: which sites' boxes it may use and how much, what
it refuses, and which cold boxes are its to warm. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from loadbalancer.failover import recovery
from loadbalancer.failover.plan import (
    COPIES,
    EPSILON,
    EXCESS,
    RETRIES,
    Admission,
    Fleet,
    Kind,
    Ladder,
    Load,
    Place,
    admitted,
    back_window,
    table,
)
from loadbalancer.failover.recovery import RISE, STEP_S, Stage
from loadbalancer.failover.site_reports import Told
from loadbalancer.failover.site_state import Course, parts

SEEN_LEAST = (
    0.15  # of its draws that a site keeps which has room: balancers correct by what they see
)
LEAST_SHARE = 1.0  # a second, of a tenant at a balancer
SPARE = 0.05  # of what is borne, that is thought to be left for those who come back
FIRST_NS, ROOM_MOST_NS = 250_000_000, 60_000_000_000


@dataclass(frozen=True, slots=True)
class Orders:
    """For all balancers; `zones` by the site where one stands, `shares` and `cold` by its name.
    `cooling`: the boxes that are dealt out; who is given nothing of one sends it nothing.
    """

    zones: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    excess: float = 0.0
    repeats: float = 0.0
    copies: bool = True
    classes: Mapping[str, float] = field(default_factory=dict)
    back_ns: tuple[int, int] = (0, 0)
    shares: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    cold: Mapping[str, Mapping[int, float]] = field(default_factory=dict)
    cooling: tuple[int, ...] = ()


def fleet_of(
    places: Iterable[Place],
    worths: Mapping[str, float],
    shares: Mapping[str, float],
    rows: Mapping[str, Told],
) -> Fleet:
    """What the rows that are fresh add up to. Work is against the mean of the usual mix, so that
    what a place `bears` is in requests a second. `shares`: by tenant, what is its, requests a
    second over all; 0: not told.
    """
    sums: dict[tuple[str, str, str], list[float]] = {}
    works: dict[str, list[float]] = {}
    rates: dict[str, float] = {}
    tenants: dict[str, float] = {}
    for told in rows.values():
        if not told.fresh:
            continue
        for kind, tenant, rate, repeats in told.row.loads:
            if kind in worths:
                row = sums.setdefault((told.row.site, kind, tenant), [0.0, 0.0])
                row[0] += rate
                row[1] += rate * repeats
                rates[kind] = rates.get(kind, 0.0) + rate
                tenants[tenant] = tenants.get(tenant, 0.0) + rate
        for kind, seconds in told.row.work:
            if kind in worths and seconds > 0:
                works.setdefault(kind, []).append(seconds)
    work = {kind: sorted(seen)[len(seen) // 2] for kind, seen in works.items()}
    usual = sum(work.values()) / len(work) if work else 1.0
    whole = sum(rates.values())
    mean = sum(rate * work.get(k, usual) for k, rate in rates.items()) / whole if whole else usual
    kinds = {
        k: Kind(k, worth, work.get(k, usual) / max(EPSILON, mean)) for k, worth in worths.items()
    }
    beyond = {
        t: max(0.0, 1.0 - shares[t] / rate) if shares.get(t) and rate > 0 else 0.0
        for t, rate in tenants.items()
    }
    loads = tuple(
        Load(site, kind, tenant, row[0], beyond[tenant], row[1] / row[0])
        for (site, kind, tenant), row in sorted(sums.items())
        if row[0] > EPSILON
    )
    return Fleet({p.name: p for p in places}, kinds, loads, shares)


def shrunk(fleet: Fleet, left: Mapping[str, float]) -> Fleet:
    """With what its sites bear now: a part of the usual for those that are lost, emptied or coming
    back.
    """
    return replace(
        fleet,
        places={n: replace(p, bears=p.bears * left.get(n, 1.0)) for n, p in fleet.places.items()},
    )


def orders(
    fleet: Fleet,
    courses: Sequence[Course],
    ladder: Ladder,
    rows: Mapping[str, Told],
    cold: Mapping[int, float],
    now: int,
) -> Orders:
    """`cold`: cold boxes of sites that come back, and requests a second that each bears from all
    together.
    """
    left = parts(courses)
    if not left:
        ladder.at = Admission()
        return Orders()
    apart = {c.site for c in courses if c.apart}
    joined = shrunk(
        replace(fleet, places={n: p for n, p in fleet.places.items() if n not in apart}), left
    )
    gone = [n for n in joined.places if left.get(n, 1.0) <= 0.0]
    loads = tuple(
        load for load in fleet.loads if load.site not in apart and load.site in joined.places
    )
    joined = replace(joined, loads=loads)
    found = table(joined, gone) if len(gone) < len(joined.places) else None
    # The ladder has a memory: up at once, down with care.
    bears = sum(p.bears for n, p in joined.places.items() if n not in gone)
    admission = ladder.update(joined, loads, 0.9 * bears, now)
    zones: dict[str, dict[str, float]] = {}
    for here in fleet.places:
        if here in apart:
            zones[here] = {n: 0.0 for n in fleet.places if n != here}
            continue
        zones[here] = {n: 0.0 for n in apart} | {n: left[n] for n in gone}
        if found is not None:
            zones[here] |= _draws(joined, here, found.shares.get(here, {}), gone, left)
    refused = {k: admission.refused(fleet.rung_of[k]) for k in fleet.kinds}
    return Orders(
        zones,
        admission.refused(EXCESS),
        admission.refused(RETRIES),
        not admission.refused(COPIES),
        {k: part for k, part in refused.items() if part > 0},
        _back(joined, loads, admission, bears, courses),
        quotas(rows, joined) if admission.rung else {},
        _dealt(cold, rows, apart),
        tuple(sorted(cold)),
    )


def _draws(
    fleet: Fleet,
    here: str,
    shares: Mapping[str, float],
    gone: Sequence[str],
    left: Mapping[str, float],
) -> dict[str, float]:
    """By which part the draws at each site's boxes are used. Where distance is dear they go as the
    table says: boxes are drawn alike, so a site that is to get less for what it bears gets a part
    of its draws. Where it is cheap they stay as they are: who may choose among all boxes finds the
    idle ones.
    """
    each = {
        n: shares.get(n, 0.0) / max(EPSILON, p.bears)
        for n, p in fleet.places.items()
        if n not in gone and p.bears > EPSILON
    }
    most = max(each.values(), default=0.0)
    found = {}
    for name, share in each.items():
        dear = min(1.0, fleet.places[name].prices.get(here, 0.0))
        part = 1.0 - dear * (1.0 - max(SEEN_LEAST, share / most)) if most > 0 else 1.0
        # One that comes back gets no more than its part, whatever the table has room for.
        part = min(part, left[name]) if name in left else part
        if part < 0.999:
            found[name] = round(part, 4)
    return found


def _back(
    fleet: Fleet,
    loads: Sequence[Load],
    admission: Admission,
    bears: float,
    courses: Sequence[Course],
) -> tuple[int, int]:
    """From when to when the refused shall try again."""
    if not admission.rung:
        return 0, 0
    asked = sum(load.rate for load in loads)
    refused = asked - sum(admitted(fleet, load, admission) for load in loads)
    # When is there room? Where a site comes back, once it has risen; else by what is spare each
    # second.
    rounds = [_rounds(c.part) for c in courses if c.stage in (Stage.TRICKLE, Stage.SHARES)]
    room = int(min(rounds, default=0.0) * STEP_S * 1e9)
    return back_window(refused, SPARE * bears, room, FIRST_NS, ROOM_MOST_NS)


def _rounds(part: float) -> float:
    """Steps until a share is whole."""
    steps = 0.0
    while 0 < part < 1 and steps < 40:
        part, steps = part * RISE, steps + 1
    return steps


def quotas(rows: Mapping[str, Told], fleet: Fleet) -> dict[str, dict[str, float]]:
    """Each balancer's part of each tenant's share, requests a second, by its part of that tenant's
    traffic. Who asks less than its share gets more here than it asks: chance alone must not make it
    seem beyond.
    """
    asked: dict[str, float] = {}
    mine: dict[str, dict[str, float]] = {name: {} for name in rows}
    for name, told in rows.items():
        for _, tenant, rate, _ in told.row.loads:
            asked[tenant] = asked.get(tenant, 0.0) + rate
            mine[name][tenant] = mine[name].get(tenant, 0.0) + rate
    return {
        name: {
            t: round(max(LEAST_SHARE, fleet.quotas[t] * rate / asked[t]), 3)
            for t, rate in sorted(found.items())
            if fleet.quotas.get(t, 0.0) > 0 and asked[t] > 0
        }
        for name, found in mine.items()
    }


def _dealt(
    cold: Mapping[int, float], rows: Mapping[str, Told], apart: Iterable[str]
) -> dict[str, dict[int, float]]:
    """Who warms which cold box."""
    if not cold:
        return {}
    out = set(apart)
    able = {n: t for n, t in rows.items() if t.fresh and not t.row.alone and t.row.site not in out}
    traffic = {n: sum(load[2] for load in t.row.loads) for n, t in able.items()}
    dealt = recovery.deal(
        sorted(cold), sorted(able), cold, traffic if any(traffic.values()) else None
    )
    return {
        name: {box: round(rate, 4) for box, rate in sorted(mine.items())}
        for name, mine in dealt.items()
    }
