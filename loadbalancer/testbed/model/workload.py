"""The clients: what is wanted when, by whom, and what a client does with the answer to a try. Pure.

An open loop: arrivals are drawn ahead and never wait for an answer, so a slow victim can't hide its
damage.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.testbed.ledger import Answer
from loadbalancer.testbed.model.box import Draw
from loadbalancer.testbed.topology import Class, Topology

SECOND = 1_000_000_000
LEAST_TRY_NS = 20_000_000  # a client with less time left than this does not try again
BURST_S = 1.0  # of a tenant's quota that may come at once and still count as within its share


class Want(NamedTuple):
    """A first try: who wants what, when."""

    at_ns: int
    number: int
    cls: Class
    tenant: str
    key: str
    zone: int
    work: float  # nanoseconds on the yardstick
    within: bool


@dataclass(frozen=True, slots=True)
class Habits:
    """What the clients of a run are like, drawn once."""

    retries: int
    try_part: float
    backoff_ns: int
    honour: float
    keys: int
    key_skew: float


def habits(t: Topology, draw: Draw) -> Habits:
    c = t.clients
    return Habits(
        round(draw.of(c.retries)),
        draw.of(c.try_part),
        draw.ns(c.backoff),
        draw.of(c.honour),
        max(1, round(draw.of(c.keys))),
        draw.of(c.key_skew),
    )


def mean_work(t: Topology) -> float:
    """Of one request, nanoseconds on the yardstick, in the middle of its range."""
    whole = sum(c.share for c in t.classes)
    mean: float = sum(c.share / whole * (c.work.low + c.work.high) / 2 for c in t.classes)
    return mean


def rate_of(t: Topology, capacity: float) -> float:
    """First tries a second. `capacity`: of the fleet, seconds of work a second."""
    return (
        t.clients.load * capacity * 1e9 / mean_work(t) if t.clients.load else float(t.clients.rate)
    )


def quotas(t: Topology, capacity: float) -> dict[str, float]:
    """Requests a second within each tenant's share, over all balancers."""
    whole = sum(n.share for n in t.tenants) or 1.0
    all_of_them = t.clients.quota_of_capacity * capacity * 1e9 / mean_work(t)
    return {n.name: all_of_them * n.share / whole for n in t.tenants}


class Workload:
    """First tries in the order of their time. `part` of the whole rate and of the quotas is this
    one's.
    """

    def __init__(
        self,
        t: Topology,
        seed: str,
        capacity: float,
        start_ns: int,
        part: float = 1.0,
        zones: Sequence[int] | None = None,
        number: int = 0,
    ) -> None:
        self.t = t
        self.rng = random.Random(seed)
        shape = random.Random(
            seed.rpartition("/")[0]
        )  # what all generators of a run must draw alike
        draw = Draw(shape)
        self.habits = habits(t, draw)
        self.rate = rate_of(t, capacity) * part
        self.start_ns = start_ns
        self.zones = list(zones) if zones is not None else list(range(len(t.network.zones)))
        self.surges: dict[str, float] = {}  # times the rate, by tenant; "" for all
        self.heavy: tuple[str, float, float] | None = None  # class, part, times the work
        self.number = number
        self.phase = shape.random()
        self.work_of = {c.name: draw.ns(c.work) for c in t.classes}
        self.cv_of = {c.name: draw.of(c.spread) for c in t.classes}
        self.classes = list(t.classes)
        self.class_sums = list(itertools.accumulate(c.share for c in t.classes))
        self.tenants = [n.name for n in t.tenants] or [""]
        usage = [n.share * draw.of(n.usage) for n in t.tenants] or [1.0]
        self.usage = [u / sum(usage) for u in usage]
        self.quota = {name: q * part for name, q in quotas(t, capacity).items()}
        self.tokens = {name: (q * BURST_S, start_ns) for name, q in self.quota.items()}
        weights = [1.0 / (rank + 1) ** self.habits.key_skew for rank in range(self.habits.keys)]
        self.key_sums = list(itertools.accumulate(weights))

    def step(self, what: str, name: str, size: float, part: float) -> bool:
        """What a schedule does to the clients' wishes (see `faults.Step`); False if it is none of
        theirs.
        """
        match what:
            case "surge":
                self.surges[name] = size
            case "surge over":
                self.surges.pop(name, None)
            case "heavy":
                self.heavy = (name, part, size)
            case "heavy over":
                self.heavy = None
            case _:
                return False
        return True

    def work_asked(self) -> float:
        """By the first tries of a whole run, nanoseconds on the yardstick; never nothing."""
        mean = sum(c.share * self.work_of[c.name] for c in self.classes) / self.class_sums[-1]
        return max(1e-9, self.rate * self.t.length / SECOND * mean)

    def _rate_at(self, at_ns: int) -> float:
        wave = math.sin(2 * math.pi * ((at_ns - self.start_ns) / self.t.length + self.phase))
        return self.rate * (1.0 + self.t.clients.swing * wave)

    def _mix(self) -> list[float]:
        return [
            u * self.surges.get(name, 1.0) * self.surges.get("", 1.0)
            for name, u in zip(self.tenants, self.usage, strict=True)
        ]

    def wants(self, end_ns: int) -> Iterator[Want]:
        """One at a time, up to `end_ns`; a surge that begins meanwhile holds from the next one
        on.
        """
        at = float(self.start_ns)
        rng = self.rng
        while True:
            mix = self._mix()
            surge = sum(mix)
            top = self.rate * (1.0 + self.t.clients.swing) * surge
            if top <= 0:
                return
            at += rng.expovariate(top) * SECOND
            if at >= end_ns:
                return
            if rng.random() * top > self._rate_at(int(at)) * surge:
                continue
            yield self._want(int(at), mix)

    def _want(self, at: int, mix: list[float]) -> Want:
        rng = self.rng
        cls = self.classes[bisect.bisect(self.class_sums, rng.random() * self.class_sums[-1])]
        tenant = rng.choices(self.tenants, mix)[0]
        rank = bisect.bisect(self.key_sums, rng.random() * self.key_sums[-1])
        cv = self.cv_of[cls.name]
        sigma = math.sqrt(math.log(1 + cv * cv))
        work = self.work_of[cls.name] * math.exp(rng.gauss(-sigma * sigma / 2, sigma))
        if self.heavy is not None and self.heavy[0] == cls.name and rng.random() < self.heavy[1]:
            work *= self.heavy[2]
        self.number += 1
        return Want(
            at,
            self.number,
            cls,
            tenant,
            f"{tenant or 'order'}:{rank}",
            self.zones[int(rng.random() * len(self.zones))],
            work,
            self._within(tenant, at),
        )

    def _within(self, tenant: str, at: int) -> bool:
        if tenant not in self.tokens:
            return True
        left, then = self.tokens[tenant]
        quota = self.quota[tenant]
        left = min(max(1.0, quota * BURST_S), left + quota * (at - then) / SECOND)
        within = left >= 1.0
        self.tokens[tenant] = (left - within, at)
        return within

    # ---- a client and the answers to its tries ---------------------------------------------------

    def try_ns(self, cls: Class, received_ns: int, now: int) -> int:
        """When this try is given up: a part of the class's time, within the time of the whole."""
        return min(received_ns + cls.deadline, now + int(cls.deadline * self.habits.try_part))

    def again_at(
        self, cls: Class, received_ns: int, tries: int, answer: Answer, told_ns: int, now: int
    ) -> int | None:
        """When the client tries again after this answer, or None. `told_ns`: how long it was told
        to stay away. What may have run is repeated only where that is safe.
        """
        if answer is Answer.SERVED or tries > self.habits.retries:
            return None
        if answer in (Answer.FAILED, Answer.NONE) and cls.effect != "safe":
            return None
        wait = self.habits.backoff_ns * (1 << (tries - 1)) * (0.5 + self.rng.random())
        if told_ns and self.rng.random() < self.habits.honour:
            wait = max(wait, told_ns)
        at = now + int(wait)
        return at if at + LEAST_TRY_NS <= received_ns + cls.deadline else None
