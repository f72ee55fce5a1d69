"""One measurement of the decision module at one size, in a process of its own, so that memory is
its own too.

It is run as a file, beside whichever program is to be measured (plain, or compiled by the
platform's `build`, which holds no lab), and imports only what both have. It prints figures by name
as one JSON object: CPU time in microseconds, memory in KB. The collector runs as in the program:
on, and what stood at the start is frozen.
"""

from __future__ import annotations

import gc
import heapq
import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from functools import partial
from itertools import accumulate
from pathlib import Path

from loadbalancer import policy
from loadbalancer.policy import api
from loadbalancer.proxy import upstream
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.memory_account import MemoryAccount

SECOND = 1_000_000_000
START = 1_000 * SECOND
ANSWER_NS = 8_000_000  # what an upstream takes for a request
ZONES = 20
Figures = dict[str, float]


def resident_kb() -> float:
    gc.collect()
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("RssAnon"):
            return float(line.split()[1])
    return 0.0


def taken(work: Callable[[], object]) -> float:
    """CPU time of this thread, in microseconds."""
    began = time.thread_time_ns()
    work()
    return (time.thread_time_ns() - began) / 1000


def settings(
    tenants: int = 1, classes: int = 1, pools: int = 1, balancers: int = 1
) -> api.Settings:
    """`pools`: classes are spread over so many sets of zones, each with an order of upstreams of
    its own.
    """
    zones = [frozenset(f"zone-{z}" for z in range(ZONES) if z != i and i) for i in range(pools)]
    made = [api.RequestClass(f"class-{i}", zones=zones[i % pools]) for i in range(classes)]
    return api.Settings(
        instance_count=balancers,
        zone="zone-0",
        classes={c.name: c for c in made},
        tenants={f"tenant-{i:06d}": api.Tenant(f"tenant-{i:06d}", 1.0) for i in range(tenants)},
        limits=api.Limits(max_attempts=3, may_cancel=True, retry_after=True),
    )


def upstreams(count: int, first: int = 0) -> list[api.Upstream]:
    """With ids as large as the program's."""
    return [
        api.Upstream(policy.hash_id(first + i, 77), api.UpstreamState.READY, f"zone-{i % ZONES}")
        for i in range(count)
    ]


def skewed(count: int, rng: random.Random) -> Callable[[], int]:
    """Draws of one in so many: the second comes half as often as the first, the third a third, and
    so on.
    """
    totals = list(accumulate(1 / (i + 1) for i in range(count)))
    return lambda: rng.choices(range(count), cum_weights=totals)[0]


class Day:
    """Requests at an even rate through one module: each is answered well, and timers are kept.
    `keys`: each request has one of its own.
    """

    def __init__(self, balancer: policy.Balancer, given: api.Settings, keys: bool = False) -> None:
        self.balancer = balancer
        self.keys = keys
        self.met: set[int] = set()  # upstreams that were sent to
        self.now = START
        self.due: list[tuple[int, int, api.Event]] = []
        self.number = 0
        self.spent_us: list[float] = []  # of each call
        self.sent = 0
        self.rng = random.Random(7)
        self.tenant = skewed(len(given.tenants), self.rng)
        self.tenants, self.classes = list(given.tenants), list(given.classes)

    def hand(self, *events: api.Event) -> None:
        began = time.thread_time_ns()
        actions = self.balancer.handle(self.now, events)
        self.spent_us.append((time.thread_time_ns() - began) / 1000)
        for action in actions:
            if isinstance(action, api.StartAttempt):
                self.sent += 1
                self.met.add(action.upstream)
                answer = api.AttemptFinished(
                    action.request, 0, action.upstream, api.AttemptResult.OK, ANSWER_NS, True
                )
                self.later(ANSWER_NS, answer)
            elif isinstance(action, api.SetTimer):
                self.later(action.delay_ns, api.TimerFired(action.name))

    def later(self, after_ns: int, event: api.Event) -> None:
        self.number += 1
        heapq.heappush(self.due, (self.now + after_ns, self.number, event))

    def until(self, at: int) -> None:
        while self.due and self.due[0][0] <= at:
            self.now, _, event = heapq.heappop(self.due)
            self.hand(event)
        self.now = at

    def play(self, seconds: float, per_s: float) -> None:
        end, gap = self.now + int(seconds * SECOND), int(SECOND / per_s)
        while self.now < end:
            self.number += 1
            name, tenant = (
                self.classes[self.rng.randrange(len(self.classes))],
                self.tenants[self.tenant()],
            )
            key = f"key-{self.number}" if self.keys else ""
            self.hand(
                api.RequestArrived(f"r{self.number}", name, tenant, self.now + 2 * SECOND, key=key)
            )
            self.until(self.now + gap)


def played(
    balancer: policy.Balancer, given: api.Settings, seconds: float, per_s: float, keys: bool = False
) -> Figures:
    """What the events of so many seconds cost, and how many upstreams were sent to."""
    day = Day(balancer, given, keys)
    day.play(min(2.0, seconds), per_s)
    day.spent_us.clear()
    day.sent = 0
    began = day.now
    day.play(seconds, per_s)
    if not day.sent:
        raise SystemExit("no request was sent: this measures nothing")
    total = sum(day.spent_us)
    return {
        "met": len(day.met),
        "event": total / len(day.spent_us),
        "request": total / day.sent,
        "median_event": statistics.median(day.spent_us),
        "worst_event": max(day.spent_us),
        "second": total * SECOND / (day.now - began),
    }


def connections(
    given: api.Settings, endpoints: list[Endpoint]
) -> tuple[upstream.Upstreams, Figures]:
    """What keeps connections to upstreams, once it has the list; none is open."""
    before = resident_kb()
    kept = upstream.Upstreams(given.limits, 1000, (), MemoryAccount(1 << 20))
    first = taken(lambda: kept.learn(endpoints, True))
    whole = statistics.median(taken(lambda: kept.learn(endpoints, True)) for _ in range(5))
    return kept, {
        "targets_first": first,
        "targets_whole": whole,
        "targets_kb": resident_kb() - before,
    }


def of_upstreams(
    size: int,
    seconds: float,
    per_s: float,
    balancers: int = 1,
    classes: int = 1,
    pools: int = 1,
    keys: bool = False,
) -> Figures:
    """A list of `size`: whole, again, and one of it changed; then requests. `targets`: the same
    list beside the module, where connections are kept.
    """
    given = settings(tenants=10, classes=classes, pools=pools, balancers=balancers)
    balancer = policy.Balancer(given, 7, START)
    before = resident_kb()
    listed = upstreams(size)
    first = api.EndpointsUpdated(api.EndpointListKind.FULL, listed)
    figures = {
        "list_first": taken(lambda: balancer.handle(START, [first])),
        "list_kb": resident_kb() - before,
    }
    before = resident_kb()
    endpoints = [Endpoint(e, f"10.1.{i >> 8}.{i & 255}", 8080) for i, e in enumerate(listed)]
    figures["endpoints_kb"] = resident_kb() - before
    kept, of_kept = connections(given, endpoints)
    figures |= {**of_kept, "targets": len(kept.targets)}
    gc.freeze()
    again = api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(size))
    whole = [taken(lambda: balancer.handle(START, [again])) for _ in range(5)]
    figures["list_whole"] = statistics.median(whole)
    changes = []
    for i in range(20):
        entry = again.upstreams[size * i // 20]
        for state in (api.UpstreamState.DRAINING, api.UpstreamState.READY):
            update = api.EndpointsUpdated(api.EndpointListKind.DELTA, [entry._replace(state=state)])
            changes.append(taken(lambda: balancer.handle(START, [update])))  # noqa: B023
    figures["change"] = statistics.median(changes)
    return {**figures, **played(balancer, given, seconds, per_s, keys)}


def of_settings(kind: str, size: int, seconds: float, per_s: float) -> Figures:
    """So many tenants, or so many classes that are open to the same upstreams, before 64 of those;
    `kb`: with the settings that name them.
    """
    before = resident_kb()
    given = settings(tenants=size) if kind == "tenants" else settings(tenants=10, classes=size)
    balancer = policy.Balancer(given, 7, START)
    kept = resident_kb() - before
    balancer.handle(START, [api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(64))])
    gc.freeze()
    return {"kb": kept, **played(balancer, given, seconds, per_s)}


def of_services(size: int, seconds: float, per_s: float) -> Figures:
    """So many services of skewed size, 15 upstreams in the mean, each a module of its own with ten
    tenants; `per_s` over all of them, by their size.
    """
    weights = [1 / (i + 1) for i in range(size)]
    sizes = [max(2, round(15 * size * w / sum(weights))) for w in weights]
    given = settings(tenants=10)
    before = resident_kb()
    began = time.thread_time_ns()
    days = []
    for i, count in enumerate(sizes):
        balancer = policy.Balancer(given, i, START)
        balancer.handle(
            START, [api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(count, 100_000 * i))]
        )
        days.append(Day(balancer, given))
    spent = (time.thread_time_ns() - began) / 1000
    kept = resident_kb() - before
    gc.freeze()
    for day, w in zip(days, weights, strict=True):
        part = per_s * w / sum(weights)
        if part * seconds >= 1:
            day.play(seconds, part)
    events = [us for day in days for us in day.spent_us]
    return {
        "kb": kept,
        "start": spent,
        "upstreams": sum(sizes),
        "event": sum(events) / len(events),
        "worst_event": max(events),
        "second": sum(events) / seconds,
    }


KINDS: dict[str, Callable[..., Figures]] = {
    "upstreams": of_upstreams,
    "services": of_services,
    "tenants": partial(of_settings, "tenants"),
    "classes": partial(of_settings, "classes"),
}


def main() -> None:
    asked = json.loads(sys.argv[1])
    found = KINDS[asked.pop("kind")](**asked)
    module = sys.modules[policy.Balancer.__module__]  # a package, or one module in an older program
    print(json.dumps({**found, "compiled": float(str(module.__file__).endswith(".so"))}))


if __name__ == "__main__":
    main()
