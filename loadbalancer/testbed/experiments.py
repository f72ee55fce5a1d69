"""Runs side by side: many seeds over all cores, two policies compared, broken rules hunted and
shrunk.
"""

from __future__ import annotations

import multiprocessing
import os
import signal
import statistics
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
import numpy as np

from loadbalancer.settings import Json
from loadbalancer.testbed.hosts import Host
from loadbalancer.testbed.model.faults import schedule
from loadbalancer.testbed.model.series import SERIES_NS, share
from loadbalancer.testbed.policies import ByName, policy
from loadbalancer.testbed.shrinking import shrink
from loadbalancer.testbed.topology import Fault, Topology, read, source
from loadbalancer.testbed.virtual import Outcome, World
from loadbalancer.units import Duration, decode

SECOND = 1_000_000_000
RESAMPLES = 10_000
COLLAPSE = 0.85  # of what was good before the first fault
CALM_NS = 12 * SECOND  # so long after the last fault, service must be back


class Played(NamedTuple):
    """What a comparison needs of a run; small enough to come back from another process."""

    seed: int
    score: float
    whole: float
    p99_ms: float
    attempts: float
    broken: dict[str, int]
    collapsed: bool
    breach: str


def play(t: Topology, seed: int, maker: ByName, faults: list[Fault] | None = None) -> Outcome:
    return World(t, seed, Host(maker), faults).run()


def played(t: Topology, seed: int, maker: ByName, faults: list[Fault] | None = None) -> Played:
    outcome = play(t, seed, maker, faults)
    j = outcome.judgement
    return Played(
        seed,
        j.score,
        j.whole,
        outcome.ledger.latency.get_value_at_percentile(99) / 1000,
        outcome.per_first_try("attempts"),
        dict(j.broken),
        collapsed(t, outcome),
        breach(outcome),
    )


def breach(outcome: Outcome) -> str:
    """The first rule that broke, in words; empty if all were kept."""
    j = outcome.judgement
    if j.breaches:
        return j.breaches[0].what
    return next(iter(outcome.notes), "") if j.broken else ""


def collapsed(t: Topology, outcome: Outcome) -> bool:
    """Did harm outlive its cause: is service still far below what it was, long after the last
    fault?
    """
    if not outcome.faults:
        return False
    first = min(f.at for f in outcome.faults)
    last = max(f.at + f.lasts for f in outcome.faults) + CALM_NS
    before = outcome.series[: max(1, first // SERIES_NS)]
    after = outcome.series[last // SERIES_NS : t.length // SERIES_NS]
    if len(before) < 4 or len(after) < 6:
        return False
    return share(after) < COLLAPSE * share(before)


# ---- many runs -----------------------------------------------------------------------------------

# Topology as JSON, seed, policy, its modules' texts, faults as JSON.
Task = tuple[str, int, str, Mapping[str, str] | None, str]


def _quiet() -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent ends the pool


def _run(packed: Task) -> Played:
    return played(*unpacked(packed))


def faults_from(raw: Sequence[Json]) -> list[Fault]:
    return [msgspec.convert(entry, Fault, dec_hook=decode) for entry in raw]


def task(t: Topology, seed: int, maker: ByName, faults: Sequence[Fault] | None = None) -> Task:
    return (
        msgspec.json.encode(source(t)).decode(),
        seed,
        maker.name,
        maker.text,
        msgspec.json.encode([source(f) for f in faults]).decode() if faults is not None else "",
    )


def unpacked(packed: Task) -> tuple[Topology, int, ByName, list[Fault] | None]:
    """What `task` packed, in the process that plays it."""
    text, seed, name, module, faults = packed
    chosen = faults_from(msgspec.json.decode(faults)) if faults else None
    return read(msgspec.json.decode(text), "run"), seed, ByName(name, module), chosen


@contextmanager
def processes(workers: int) -> Iterator[ProcessPoolExecutor]:
    """So many of them; what is left to do when the block is left is dropped."""
    pool = ProcessPoolExecutor(workers, multiprocessing.get_context("spawn"), _quiet)
    try:
        yield pool
    finally:
        pool.shutdown(cancel_futures=True)


def spread(tasks: Iterable[Task], pool: ProcessPoolExecutor) -> Iterator[tuple[int, Played]]:
    """Play the tasks; results come as they end, with their place among the tasks."""
    waiting = {pool.submit(_run, t): i for i, t in enumerate(tasks)}
    for future in as_completed(waiting):
        yield waiting[future], future.result()


def cores() -> int:
    return max(1, len(os.sched_getaffinity(0)) - 1)


# ---- compare -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Difference:
    """One figure of A and B over the same seeds: means, B less A, and the interval that holds it in
    95%.
    """

    figure: str
    a: float
    b: float
    low: float
    high: float

    @property
    def noise(self) -> bool:
        return self.low <= 0.0 <= self.high


def differences(a: Sequence[Played], b: Sequence[Played]) -> list[Difference]:
    """Pairs by seed; the interval is the percentile bootstrap of the mean of the pairs'
    differences.
    """
    figures: list[tuple[str, Callable[[Played], float]]] = [
        ("score", lambda p: p.score),
        ("worth served", lambda p: p.whole),
        ("p99 ms", lambda p: p.p99_ms),
        ("attempts a request", lambda p: p.attempts),
    ]
    found = []
    rng = np.random.default_rng(7)
    for name, of in figures:
        pairs = np.array([of(y) - of(x) for x, y in zip(a, b, strict=True)])
        means = pairs[rng.integers(0, len(pairs), (RESAMPLES, len(pairs)))].mean(axis=1)
        low, high = np.percentile(means, [2.5, 97.5])
        found.append(
            Difference(
                name,
                statistics.fmean(map(of, a)),
                statistics.fmean(map(of, b)),
                float(low),
                float(high),
            )
        )
    return found


def compare(
    t: Topology,
    first: str,
    second: str,
    seeds: Sequence[int],
    workers: int,
    heard: Callable[[int, int], None] = lambda done, of: None,
) -> tuple[list[Played], list[Played]]:
    """Both policies on the same seeds, which draw the same fleet, clients and faults for both."""
    makers = policy(first), policy(second)
    tasks = [task(t, seed, maker) for maker in makers for seed in seeds]
    results: dict[int, Played] = {}
    with processes(workers) as pool:
        for at, one in spread(tasks, pool):
            results[at] = one
            heard(len(results), len(tasks))
    ordered = [results[i] for i in range(len(tasks))]
    return ordered[: len(seeds)], ordered[len(seeds) :]


# ---- hunt ----------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Find:
    """A schedule that breaks a rule, or whose harm outlives it."""

    seed: int
    what: str
    outcome: Outcome  # of the smallest schedule


def bad(one: Played) -> str:
    """What is wrong with a run, in a word that stays the same while its schedule is shrunk."""
    if one.broken:
        return sorted(one.broken)[0]
    return "collapse" if one.collapsed else ""


def shorter(fault: Fault) -> Fault:
    return msgspec.structs.replace(fault, lasts=Duration(max(SECOND, fault.lasts // 2)))


def smaller(fault: Fault) -> Fault:
    return msgspec.structs.replace(fault, part=round(max(0.01, fault.part / 2), 4))


def hunt(
    t: Topology,
    name: str,
    seconds: float,
    first_seed: int,
    workers: int,
    most: int = 5,
    heard: Callable[[int, list[Find]], None] = lambda done, finds: None,
) -> list[Find]:
    """Draw schedules by seed and play them until the time is over; shrink what is bad. Which seeds
    are played depends on the machine; what each one comes to does not.
    """
    maker = policy(name)
    ends = time.monotonic() + seconds
    finds: list[Find] = []
    seen: set[str] = set()
    done, seed = 0, first_seed
    with processes(workers) as pool:
        while time.monotonic() < ends and len(finds) < most:
            batch = list(range(seed, seed + 2 * workers))
            seed = batch[-1] + 1
            for at, one in spread([task(t, s, maker) for s in batch], pool):
                done += 1
                what = bad(one)
                if not what or what in seen:
                    continue
                seen.add(what)
                small = shrink(
                    schedule(t, batch[at]),
                    what,
                    lambda fewer, s=batch[at]: bad(played(t, s, maker, fewer)),  # type: ignore[misc]
                    (shorter, smaller),
                )
                finds.append(Find(batch[at], what, play(t, batch[at], maker, small)))
            heard(done, finds)
    return finds
