"""Which box or balancer each fault of a schedule meets, and when what happens to it. Pure.

A schedule becomes steps: (time, what, whom, size). A drive carries a step out and knows nothing of
kinds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from loadbalancer.testbed.topology import ON_BALANCERS, ON_BOXES, Fault, FaultKind, Topology
from loadbalancer.units import Duration

SECOND = 1_000_000_000
FLAP_NS = SECOND  # a flapping list changes its mind so often
BY_CHANCE: tuple[FaultKind, ...] = (
    "slow",
    "errors",
    "late_reports",
    "heavy_tail",
    "kill_balancers",
    "rolling_balancers",
    "partition",
    "restart",
    "drain",
    "rolling_restart",
    "surge",
    "list_down",
    "list_flap",
    "spoilt",
)
BACK_NS = SECOND  # a drained box is started again so long after it went


class Step(NamedTuple):
    """`what` is carried out at `at_ns` after the run's start, on box or balancer `whom` where it
    has one.
    """

    at_ns: int
    what: str
    whom: int = -1
    size: float = 0.0
    name: str = ""
    part: float = 0.0


def chosen(rng: random.Random, fault: Fault, count: int) -> list[int]:
    if fault.only:
        return list(fault.only)
    wanted = max(1, round(fault.part * count))
    return sorted(rng.sample(range(count), min(count, wanted)))


def drawn(t: Topology, rng: random.Random) -> list[Fault]:
    """The faults that chance adds: kinds and sizes as operators recorded them."""
    faults = []
    for _ in range(t.chance):
        kind = rng.choice(BY_CHANCE)
        lasts = int(rng.uniform(0.1, 0.4) * t.length)
        at = int(rng.uniform(0.1, 0.75) * t.length)
        part = round(rng.uniform(0.07, 0.22), 3)
        size = 1.0
        if kind == "slow":
            size = round(rng.uniform(3.4, 9.8), 1)
        elif kind in ("errors", "spoilt"):
            size = round(rng.uniform(0.4, 1.0), 2)
        elif kind == "late_reports":
            size = round(rng.uniform(1.1, 4.4), 1)
        elif kind == "heavy_tail":
            part, size = round(rng.uniform(0.009, 0.03), 4), round(rng.uniform(5.8, 28), 1)
        elif kind == "kill_balancers":
            part, lasts = round(rng.uniform(0.2, 0.44), 2), int(rng.uniform(2.1, 7.7) * SECOND)
        elif kind in ("rolling_balancers", "rolling_restart"):
            part, size = round(rng.uniform(0.5, 0.95), 2), 0.2
        elif kind == "surge":
            size = round(rng.uniform(1.3, 3.0), 2)
        elif kind in ("restart", "drain"):
            lasts = int(rng.uniform(1, 5) * SECOND)
        faults.append(
            Fault(
                kind=kind, at=Duration(at), lasts=Duration(max(SECOND, lasts)), part=part, size=size
            )
        )
    return sorted(faults, key=lambda f: (f.at, f.kind))


def schedule(t: Topology, seed: int) -> list[Fault]:
    """The faults of a run: those of its file, and those that its seed draws."""
    return list(t.faults) + drawn(t, random.Random(f"{seed}/faults"))


def steps(t: Topology, faults: Sequence[Fault], seed: int) -> list[Step]:
    """All that happens, in the order of its time. The seed draws whom it meets."""
    rng = random.Random(f"{seed}/whom")
    found: list[Step] = []
    heaviest = max(t.classes, key=lambda c: c.share).name
    for fault in faults:
        count = t.fleet.boxes if fault.kind in ON_BOXES else t.balancers.count
        whom = chosen(rng, fault, count) if fault.kind in ON_BOXES | ON_BALANCERS else []
        found += _of(fault, whom, rng, heaviest, t)
    return sorted(found, key=lambda step: step.at_ns)


def _of(f: Fault, whom: list[int], rng: random.Random, heaviest: str, t: Topology) -> list[Step]:
    at, end = int(f.at), int(f.at) + int(f.lasts)
    match f.kind:
        case "slow" | "errors" | "partition" | "spoilt":
            return [
                step
                for n in whom
                for step in (Step(at, f.kind, n, f.size), Step(end, f"{f.kind} over", n))
            ]
        case "kill":
            return [Step(at, "box down", n) for n in whom]
        case "restart":
            return [
                step for n in whom for step in (Step(at, "box down", n), Step(end, "box up", n))
            ]
        case "rolling_restart":
            return _rolling(f, whom, rng, "box down", "box up", SECOND)
        case "drain":
            return [
                step
                for n in whom
                for step in (
                    Step(at, "drain", n),
                    Step(end, "box down", n),
                    Step(end + BACK_NS, "box up", n),
                )
            ]
        case "kill_balancers":
            return [
                step
                for n in whom
                for step in (Step(at, "balancer down", n), Step(end, "balancer up", n))
            ]
        case "rolling_balancers":
            return _rolling(
                f, whom, rng, "balancer down", "balancer up", int(t.balancers.restart.high)
            )
        case "surge":
            return [
                Step(at, "surge", size=f.size, name=f.tenant),
                Step(end, "surge over", name=f.tenant),
            ]
        case "heavy_tail":
            return [
                Step(at, "heavy", size=f.size, name=f.class_ or heaviest, part=f.part),
                Step(end, "heavy over"),
            ]
        case "late_reports":
            return [Step(at, "late reports", size=f.size), Step(end, "late reports over")]
        case "list_down":
            return [Step(at, "list down"), Step(end, "list up")]
        case "list_flap":
            boxes = chosen(rng, f, t.fleet.boxes)
            turns = max(1, (end - at) // (2 * FLAP_NS))
            return [
                step
                for turn in range(turns)
                for n in boxes
                for step in (
                    Step(at + 2 * turn * FLAP_NS, "unlist", n),
                    Step(at + (2 * turn + 1) * FLAP_NS, "list", n),
                )
            ]
        case "unfinished":
            return [Step(at, "unfinished", size=f.size), Step(end, "unfinished over")]


def _rolling(
    f: Fault, whom: list[int], rng: random.Random, down: str, up: str, away_ns: int
) -> list[Step]:
    """A few at a time, spread over the fault's length; each batch goes together."""
    order = list(whom)
    rng.shuffle(order)
    batch = max(1, math.ceil(min(1.0, f.size) * len(order)))
    batches = [order[i : i + batch] for i in range(0, len(order), batch)]
    found = []
    for turn, members in enumerate(batches):
        at = int(f.at) + turn * int(f.lasts) // len(batches)
        for n in members:
            found += [Step(at, down, n), Step(at + away_ns, up, n)]
    return found
