"""What happens to fleets of many sizes: worth, spread, recovery, retries, and what a decision costs
there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import as_completed
from dataclasses import asdict, dataclass

import msgspec

from loadbalancer.settings import Json
from loadbalancer.testbed.decisions import cost
from loadbalancer.testbed.experiments import Task, processes, task, unpacked
from loadbalancer.testbed.hosts import Host
from loadbalancer.testbed.model.series import SERIES_NS, Moment, share
from loadbalancer.testbed.policies import policy
from loadbalancer.testbed.topology import Fault, Topology
from loadbalancer.testbed.virtual import World
from loadbalancer.units import Duration, PerSecond

SECOND = 1_000_000_000
AT_S = 8  # the fault comes
LENGTH_S = 26
LOAD = 0.6  # of what the fleet can do
BACK = 0.95  # of what was good before, held for two seconds, is recovered
SCENARIOS: dict[str, list[Fault]] = {
    "calm": [],
    "boxes 30%": [
        Fault(kind="restart", at=Duration(AT_S * SECOND), lasts=Duration(4 * SECOND), part=0.3)
    ],
    "balancers 50%": [
        Fault(
            kind="kill_balancers", at=Duration(AT_S * SECOND), lasts=Duration(4 * SECOND), part=0.5
        )
    ],
    "errors 20%": [
        Fault(
            kind="errors",
            at=Duration(AT_S * SECOND),
            lasts=Duration(6 * SECOND),
            part=0.2,
            size=0.6,
        )
    ],
    "surge x3": [
        Fault(kind="surge", at=Duration(AT_S * SECOND), lasts=Duration(6 * SECOND), size=3.0)
    ],
}


@dataclass(frozen=True, slots=True)
class Row:
    """One run: what it came to. `back_s`: from the fault's start until service was back; -1: not
    within the run. `amplified`: most tries for first tries asked, in any two seconds from the fault
    on.
    """

    boxes: int
    balancers: int
    scenario: str
    whole: float
    p99_ms: float
    attempts: float
    spread: float
    back_s: float
    worst: float
    amplified: float
    broken: dict[str, int]
    us_an_event: float


def sized(t: Topology, boxes: int, balancers: int, scenario: str) -> Topology:
    """The same kind of fleet in another size, at the same part of its load; the list's service
    grows with it, for its calls do.
    """
    fleet = msgspec.structs.replace(t.fleet, boxes=boxes)
    clients = msgspec.structs.replace(
        t.clients,
        load=LOAD,
        rate=PerSecond(0),
        swing=0.0,
        keys=type(t.clients.keys)(max(330, 40 * boxes), max(870, 40 * boxes)),
    )
    return msgspec.structs.replace(
        t,
        name=f"{boxes}x{balancers} {scenario}",
        length=Duration(LENGTH_S * SECOND),
        fleet=fleet,
        clients=clients,
        balancers=msgspec.structs.replace(t.balancers, count=balancers),
        discovery=msgspec.structs.replace(
            t.discovery, service=Duration(SECOND // 500 * 4 // max(4, balancers))
        ),
        faults=SCENARIOS[scenario],
        chance=0,
    )


def recovery(series: Sequence[Moment]) -> tuple[float, float, float]:
    """Seconds until service was back, the worst second, and the most tries for each first try."""
    at = AT_S * SECOND // SERIES_NS
    end = LENGTH_S * SECOND // SERIES_NS - 2
    before = share(series[2:at])
    worst = min(share(series[i : i + 2]) for i in range(at, end))
    windows = [series[i : i + 4] for i in range(at, end - 2)]
    amplified = max(
        1 + sum(m.retries for m in w) / max(1, sum(m.asked for m in w)) for w in windows
    )
    last_bad = max(
        (i for i in range(at, end) if share(series[i : i + 4]) < BACK * before), default=at - 1
    )
    if last_bad >= end - 4:
        return -1.0, worst, amplified
    return (last_bad + 1 - at) * SERIES_NS / SECOND, worst, amplified


def play(packed: Task, scenario: str) -> Row:
    """One run, in a process of its own."""
    t, seed, maker, _ = unpacked(packed)
    host = Host(maker)
    outcome = World(t, seed, host).run()
    j = outcome.judgement
    back, worst, amplified = recovery(outcome.series)
    return Row(
        t.fleet.boxes,
        t.balancers.count,
        scenario,
        j.whole,
        outcome.ledger.latency.get_value_at_percentile(99) / 1000,
        outcome.per_first_try("attempts"),
        outcome.load_spread,
        back,
        worst,
        amplified,
        dict(j.broken),
        host.spent_ns / 1000 / max(1, host.events),
    )


def measure(
    t: Topology,
    sizes: Sequence[tuple[int, int]],
    scenarios: Sequence[str],
    seed: int,
    name: str,
    workers: int,
    heard: Callable[[Row], None] = lambda row: None,
) -> list[Row]:
    """All scenarios at all sizes, the largest first, over so many cores."""
    maker = policy(name)
    tasks = [
        (task(sized(t, boxes, balancers, scenario), seed, maker), scenario)
        for boxes, balancers in sorted(sizes, reverse=True)
        for scenario in scenarios
    ]
    return sorted(
        _spread(tasks, workers, heard), key=lambda row: (row.boxes, row.balancers, row.scenario)
    )


def _spread(
    tasks: Sequence[tuple[Task, str]], workers: int, heard: Callable[[Row], None]
) -> Iterator[Row]:
    with processes(workers) as pool:
        for future in as_completed([pool.submit(play, *one) for one in tasks]):
            row = future.result()
            heard(row)
            yield row


def as_json(rows: Sequence[Row]) -> list[Json]:
    return [asdict(row) for row in rows]


def decision_costs(name: str, sizes: Sequence[tuple[int, int]]) -> list[Json]:
    """Microseconds a decision at each size, measured alone in this process."""
    return [dict(cost(policy(name), boxes, balancers)._asdict()) for boxes, balancers in sizes]
