"""What the sites' cores are worth, measured: how soon a loss is believed and how often wrongly, how
far the rule of largest regret is from the optimum, and runs of whole fleets with and without the
plan.
"""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable, Sequence
from concurrent.futures import as_completed
from dataclasses import dataclass, replace

import highspy
import numpy as np

from loadbalancer.failover.evidence import Evidence
from loadbalancer.failover.fleet_model import Fleet, Load, SiteCapacity, WorkClass
from loadbalancer.failover.health import SiteHealth
from loadbalancer.failover.plan import plan_for_loss, spare_capacities
from loadbalancer.failover.shedding import Shedding, retry_window, work
from loadbalancer.failover.traffic_shares import RETRY_LIMITS
from loadbalancer.failover.transport import assign
from loadbalancer.testbed.experiments import processes
from loadbalancer.testbed.sites.world import Found, Shape, play
from loadbalancer.testbed.topology import Topology

SECOND = 1_000_000_000
HOUR_S = 3600.0
LEAST_PRICE = 0.05  # of a unit of work: where next to nothing moves, a part of that tells nothing


@dataclass(frozen=True, slots=True)
class Detected:
    """`seconds`: from the loss until it is believed, by seed; `alarms`: losses believed in an hour
    without one.
    """

    rate: float
    loss: float
    seconds: list[float]
    alarms: float


def detect(
    rate: float,
    loss: float,
    seeds: int,
    sites: int = 4,
    boxes: int = 50,
    calm_s: float = 600.0,
    sounds: bool = True,
) -> Detected:
    """One balancer with so many tries a second over all sites, a part of which gives no sign
    anyhow. `sounds`: a suspected site is called by itself, twice each quarter of a second.
    """
    times, alarms = [], 0
    for seed in range(1, seeds + 1):
        rng = random.Random(seed)
        where = {i: "abcdefgh"[i % sites] for i in range(sites * boxes)}
        evidence = Evidence("a", SECOND)
        evidence.update_upstreams(where, SECOND)
        now, gone_ns, next_tick = SECOND, SECOND + int(calm_s * SECOND), SECOND
        while now < gone_ns + 120 * SECOND:
            now += int(rng.expovariate(rate) * SECOND)
            box = rng.randrange(len(where))
            lost = now >= gone_ns and where[box] == "b"
            evidence.record_attempt(box, not lost and rng.random() >= loss, now)
            if now < next_tick:
                continue
            next_tick = now + SECOND // 4
            if sounds:
                for name in evidence.sites:
                    if evidence.is_suspected(name):
                        for n in rng.sample([n for n, s in where.items() if s == name], 2):
                            away = now >= gone_ns and name == "b"
                            evidence.record_attempt(n, not away and rng.random() >= loss, now)
            for name, verdict in evidence.tick(now):
                if verdict.health in (SiteHealth.LOST, SiteHealth.PARTITIONED):
                    if now < gone_ns or name != "b":
                        alarms += 1
                    else:
                        times.append((now - gone_ns) / SECOND)
                        gone_ns = -1
            if gone_ns < 0:
                break
    return Detected(rate, loss, sorted(times), alarms / (seeds * calm_s / HOUR_S))


def drawn(rng: random.Random) -> Fleet:
    """A fleet of 3 to 8 sites with loads, burdens and distances by chance."""
    names = "abcdefgh"[: rng.randint(3, 8)]
    kinds = {
        n: WorkClass(n, rng.choice([1.0, 2.0, 3.0]), rng.uniform(0.5, 3.0)) for n in ("x", "y", "z")
    }
    loads = tuple(
        Load(s, k, t, rng.uniform(1, 30)) for s in names for k in kinds for t in ("t1", "t2")
    )
    whole = sum(work(Fleet({}, kinds, loads), x, Shedding()) for x in loads)
    bears = [rng.uniform(0.5, 1.5) for _ in names]
    scale = whole / rng.uniform(0.4, 0.95) / sum(bears)
    places = {
        n: SiteCapacity(
            n,
            b * scale,
            rng.choice([0.0, 0.1]),
            {o: rng.uniform(0.5, 3.0) for o in names if o != n},
        )
        for n, b in zip(names, bears, strict=True)
    }
    return replace(Fleet({}, kinds, loads), sites=places)


def cheapest(
    need: dict[str, float], room: dict[str, float], price: dict[tuple[str, str], float]
) -> float:
    """The least price at which as much as possible of the need is met, by linear programming
    (HiGHS).
    """
    origins, targets = sorted(need), sorted(room)
    pairs = [(o, t) for o in origins for t in targets]
    met = min(sum(need.values()), sum(room.values())) * (1 - 1e-9)
    h = highspy.Highs()  # type: ignore[no-untyped-call]
    h.silent()
    inf = highspy.kHighsInf
    for _ in pairs:
        h.addVar(0.0, inf)
    h.changeColsCost(
        len(pairs),
        np.arange(len(pairs), dtype=np.int32),
        np.array([price[p] for p in pairs], dtype=np.float64),
    )
    for limits, side in ((need, 0), (room, 1)):
        for name, most in limits.items():
            columns = [i for i, p in enumerate(pairs) if p[side] == name]
            h.addRow(
                -inf, most, len(columns), np.array(columns, dtype=np.int32), np.ones(len(columns))
            )
    h.addRow(met, inf, len(pairs), np.arange(len(pairs), dtype=np.int32), np.ones(len(pairs)))
    h.run()
    found: float = h.getInfo().objective_function_value
    return found


def regret(count: int, first: int = 1) -> list[float]:
    """By drawn fleet with one site lost: by which part the rule's price is over the optimum's."""
    over = []
    for seed in range(first, first + count):
        rng = random.Random(f"regret/{seed}")
        fleet = drawn(rng)
        gone = frozenset([rng.choice(sorted(fleet.sites))])
        t = plan_for_loss(fleet, gone)
        left = sorted(set(fleet.sites) - gone)
        room = spare_capacities(fleet, gone)
        need: dict[str, float] = dict.fromkeys(left, 0.0)
        for x in fleet.loads:
            w = work(fleet, x, t.shedding)
            for o in left if x.site in gone else [x.site]:
                need[o] += w / len(left) if x.site in gone else w
        price = {(o, d): fleet.sites[d].costs.get(o, 0.0) for o in left for d in left}
        flow = assign(need, room, price)
        cost = sum(w * price[o, d] for o, to in flow.items() for d, w in to.items())
        best = cheapest(need, room, price)
        over.append((cost - best) / max(best, LEAST_PRICE * sum(need.values())))
    return over


def _one(task: tuple[Topology, Shape, str, str, int]) -> Found:
    return play(*task)


def compare(
    t: Topology,
    shapes: Sequence[Shape],
    incidents: Sequence[str],
    rules: Sequence[str],
    seeds: int,
    workers: int,
    heard: Callable[[int, int], None] = lambda done, of: None,
) -> list[Found]:
    """All of these on the same seeds."""
    tasks = [
        (t, shape, incident, rule, seed)
        for shape in shapes
        for incident in incidents
        for rule in rules
        for seed in range(1, seeds + 1)
    ]
    found = []
    with processes(workers) as pool:
        futures = [pool.submit(_one, task) for task in tasks]
        for future in as_completed(futures):
            found.append(future.result())
            heard(len(found), len(tasks))
    return sorted(found, key=lambda f: (f.incident, f.load, f.rule, f.seed))


@dataclass(frozen=True, slots=True)
class Line:
    """Means over the seeds; `gain`: in points against the rule `none` on the same seeds, during and
    after, with half of its 95% interval.
    """

    incident: str
    load: float
    rule: str
    first: float
    during: float
    after: float
    top: float
    tenant: float
    dip: float
    back_s: float
    late: int
    broken: int
    gain: tuple[float, float]
    gain_after: tuple[float, float]


def lines(found: Sequence[Found]) -> list[Line]:
    groups: dict[tuple[str, float, str], list[Found]] = {}
    for f in found:
        groups.setdefault((f.incident, f.load, f.rule), []).append(f)

    def mean(values: Sequence[float]) -> float:
        return statistics.fmean(values) if values else 0.0

    def against(some: list[Found], base: list[Found], what: str) -> tuple[float, float]:
        by_seed = {f.seed: f for f in base}
        gaps = [
            100 * (getattr(f, what) - getattr(by_seed[f.seed], what))
            for f in some
            if f.seed in by_seed
        ]
        half = 1.96 * statistics.stdev(gaps) / len(gaps) ** 0.5 if len(gaps) > 1 else 0.0
        return mean(gaps), half

    rows = []
    for (incident, load, rule), some in sorted(groups.items()):
        base = groups.get((incident, load, "none"), [])
        back = [f.back_s for f in some if f.back_s >= 0]
        rows.append(
            Line(
                incident,
                load,
                rule,
                mean([f.first for f in some]),
                mean([f.during for f in some]),
                mean([f.after for f in some]),
                mean([f.top["during"] for f in some]),
                mean([f.tenant for f in some]),
                mean([f.dip for f in some]),
                statistics.median(back) if back else -1.0,
                len(some) - len(back),
                sum(bool(f.broken) for f in some),
                against(some, base, "during"),
                against(some, base, "after"),
            )
        )
    return rows


@dataclass(frozen=True, slots=True)
class Returned:
    """Arrivals in each 100 ms, first tries and returns, of `seconds`; `peak`: the most of them
    against the rate of first tries, once the refusing began; `settled_s`: until no 100 ms saw a
    tenth more than that rate.
    """

    how: str
    arrivals: list[int]
    peak: float
    settled_s: float


def returns(
    rate: float,
    bears: float,
    refusing_s: float,
    seed: int,
    plan: bool,
    fixed_s: float = 1.0,
    seconds: float = 30.0,
) -> Returned:
    """Clients come at `rate` a second; from 5 s on, for so long, only `bears` are let in, and who
    is refused comes back when told: by the plan's times, or after a fixed time. All do so, until
    they are served.
    """
    rng = random.Random(f"returns/{seed}")
    bins = [0] * int(seconds * 10)
    begin = 5.0
    heap: list[tuple[float, bool]] = []
    at = 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        heapq.heappush(heap, (at, True))
    room = 0.0
    last = 0.0
    while heap:
        now, first = heapq.heappop(heap)
        if now >= seconds:
            break
        bins[int(now * 10)] += 1
        scarce = begin <= now < begin + refusing_s
        room = min(bears / 10, room + (now - last) * bears) if scarce else 1.0
        last = now
        if room >= 1.0:
            room -= 1.0
            continue
        if plan:
            # As orders say it: no earlier than there is room, and spread over what it takes to
            # serve it beside.
            left = begin + refusing_s - now
            refused = rate - bears
            window = retry_window(refused, 0.1 * bears, int(left * SECOND), RETRY_LIMITS)
            told = rng.uniform(*window) / SECOND
        else:
            told = fixed_s
        heapq.heappush(heap, (now + told, False))
    after = bins[int(begin * 10) :]
    calm = rate / 10
    high = [i for i, n in enumerate(after) if n > 1.1 * calm + 3 * calm**0.5]
    return Returned(
        "plan" if plan else "fixed", bins, max(after) / calm, (high[-1] + 1) / 10 if high else 0.0
    )
