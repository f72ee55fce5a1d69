"""How long one decision takes as the fleet grows: the module alone, fed by hand, no model around
it.

A proxy is driven at a steady part of its share of the fleet, and through what makes a large fleet
dear: a list change, failing upstreams, a crowd. Times are real ones, so they differ from machine to
machine; their growth should not.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, NamedTuple

from loadbalancer.policy import api
from loadbalancer.testbed.hosts import Maker

MS = 1_000_000
SECOND = 1000 * MS
TOOK_NS = 40 * MS
STEP_NS = 2 * MS
CLASSES = {
    "lookup": api.RequestClass(
        "lookup", api.Effect.IDEMPOTENT, latency_objective_ns=200 * MS, deadline_ns=500 * MS
    ),
    "book": api.RequestClass(
        "book", api.Effect.NON_IDEMPOTENT, latency_objective_ns=750 * MS, deadline_ns=3 * SECOND
    ),
}
SETTINGS = api.Settings(
    classes=CLASSES,
    tenants={"ash": api.Tenant("ash", 0.5), "birch": api.Tenant("birch", 0.5)},
    limits=api.Limits(max_attempts=4, may_hedge=True, may_cancel=True, retry_after=True),
    rules=api.TrafficRules(drain_grace_ns=SECOND // 2, slow_start_ns=8 * SECOND),
    zone="a",
    prices=api.Prices(cross_zone=0.03),
)


class Cost(NamedTuple):
    """Microseconds of one `handle`, an event: in steady traffic, with a tenth of the upstreams
    failing, in a crowd; and of one list change.
    """

    boxes: int
    balancers: int
    steady: float
    failing: float
    crowded: float
    change: float


class Drive:
    """One instance, and upstreams that answer after a fixed time."""

    def __init__(self, maker: Maker, boxes: int, balancers: int) -> None:
        self.now = 10 * SECOND
        settings = replace(SETTINGS, instance_count=balancers)
        self.module = maker(settings, 1, self.now)
        self.rng = random.Random(1)
        self.entries = [
            api.Upstream(i + 1, api.UpstreamState.READY, "abcd"[i % 4], i // 4)
            for i in range(boxes)
        ]
        self.due: list[tuple[int, api.Event]] = []
        self.open: dict[str, int] = {}
        self.out: dict[tuple[str, int], tuple[int, int]] = {}
        self.count = 0
        self.spent_ns = self.events = 0
        self.give([api.EndpointsUpdated(api.EndpointListKind.FULL, self.entries)])

    def give(self, events: Sequence[api.Event]) -> None:
        began = time.perf_counter_ns()
        actions = self.module.handle(self.now, events)
        self.spent_ns += time.perf_counter_ns() - began
        self.events += len(events)
        for a in actions:
            if isinstance(a, api.StartAttempt):
                number = self.open.get(a.request, 0)
                self.open[a.request] = number + 1
                self.out[a.request, number] = a.upstream, self.now
            elif isinstance(a, api.RejectRequest | api.FailRequest):
                self.open.pop(a.request, None)
            elif isinstance(a, api.SetTimer):
                self.due.append((self.now + a.delay_ns, api.TimerFired(a.name)))
            elif isinstance(a, api.CancelAttempt) and (a.request, a.attempt) in self.out:
                upstream, sent = self.out.pop((a.request, a.attempt))
                self.due.append(
                    (
                        self.now,
                        api.AttemptFinished(
                            a.request,
                            a.attempt,
                            upstream,
                            api.AttemptResult.CANCELLED,
                            self.now - sent,
                            a.request not in self.open,
                        ),
                    )
                )

    def play(
        self,
        seconds: float,
        per_s: float,
        how: Callable[[int], api.AttemptResult],
        duration_ns: int = TOOK_NS,
    ) -> float:
        """Traffic for so long; microseconds an event in the module."""
        self.spent_ns = self.events = 0
        end = self.now + int(seconds * SECOND)
        owed = 0.0
        while self.now < end:
            self.now += STEP_NS
            events: list[Any] = [e for at, e in self.due if at <= self.now]
            self.due = [d for d in self.due if d[0] > self.now]
            for (name, number), (upstream, sent) in list(self.out.items()):
                if self.now - sent >= duration_ns:
                    del self.out[name, number]
                    result = how(upstream)
                    over = name not in self.open or result is api.AttemptResult.OK
                    if over:
                        self.open.pop(name, None)
                    events.append(
                        api.AttemptFinished(name, number, upstream, result, self.now - sent, over)
                    )
            owed += per_s * STEP_NS / SECOND
            while owed >= 1:
                owed -= 1
                self.count += 1
                name = f"r{self.count}"
                self.open[name] = 0
                cls = CLASSES["lookup" if self.count % 3 else "book"]
                events.append(
                    api.RequestArrived(
                        name,
                        cls.name,
                        ("ash", "birch")[self.count % 2],
                        self.now + cls.deadline_ns,
                        key=f"k{self.count % 500}",
                    )
                )
            if events:
                self.give(events)
        return self.spent_ns / 1000 / max(1, self.events)

    def change(self, count: int) -> float:
        """Restarts told one by one; microseconds a change."""
        self.spent_ns = 0
        for i in range(count):
            self.now += STEP_NS
            entry = self.entries[i * 7 % len(self.entries)]
            self.give(
                [
                    api.EndpointsUpdated(
                        api.EndpointListKind.DELTA,
                        [entry._replace(state=api.UpstreamState.DRAINING)],
                    )
                ]
            )
            self.give([api.EndpointsUpdated(api.EndpointListKind.DELTA, [entry])])
        return self.spent_ns / 1000 / (2 * count)


def cost(maker: Maker, boxes: int, balancers: int, per_s: float = 400.0) -> Cost:
    """Microseconds for a fleet of this size. The proxy's traffic is the same for all sizes."""
    drive = Drive(maker, boxes, balancers)
    drive.play(1.0, per_s, lambda upstream: api.AttemptResult.OK)
    steady = drive.play(4.0, per_s, lambda upstream: api.AttemptResult.OK)
    failing = drive.play(
        4.0,
        per_s,
        lambda upstream: api.AttemptResult.ERROR if upstream % 10 == 0 else api.AttemptResult.OK,
    )
    crowded = drive.play(
        4.0,
        2 * per_s,
        lambda upstream: (
            api.AttemptResult.REJECTED if drive.rng.random() < 0.3 else api.AttemptResult.OK
        ),
        8 * TOOK_NS,
    )
    return Cost(boxes, balancers, steady, failing, crowded, drive.change(50))
