"""Helpers of the tests: small settings with invented names, and a checker of the rules.

The checker keeps books of its own from the events and actions alone; it shares nothing with the
module.
"""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.policy import Balancer, api

MS = 1_000_000
SECOND = 1000 * MS
START = 5 * SECOND

READ = api.RequestClass("read", api.Effect.IDEMPOTENT, latency_objective_ns=300 * MS)
PAY = api.RequestClass("pay", api.Effect.NON_IDEMPOTENT, latency_objective_ns=300 * MS)
CELL = api.RequestClass(
    "cell",
    api.Effect.IDEMPOTENT_WITH_KEY,
    api.DeduplicationScope.CELL,
    window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
ANY = api.RequestClass(
    "any",
    api.Effect.IDEMPOTENT_WITH_KEY,
    api.DeduplicationScope.ALL,
    window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
ROW = api.RequestClass(
    "row",
    api.Effect.IDEMPOTENT_WITH_KEY,
    api.DeduplicationScope.CELL,
    window_ns=400 * MS,
    latency_objective_ns=300 * MS,
    ordered_by_key=True,
)
WEST = api.RequestClass(
    "west", api.Effect.IDEMPOTENT, latency_objective_ns=300 * MS, zones=frozenset({"west"})
)
BIG = api.RequestClass(
    "big", api.Effect.NON_IDEMPOTENT, latency_objective_ns=300 * MS, kinds=frozenset({"big"})
)
MAY_STILL_RUN = (api.AttemptResult.TIMEOUT, api.AttemptResult.RESET, api.AttemptResult.CANCELLED)


def settings(**changes: object) -> api.Settings:
    base: dict[str, object] = {
        "classes": {c.name: c for c in (READ, PAY, CELL, ANY, ROW, WEST, BIG)},
        "tenants": {"ash": api.Tenant("ash", 0.5), "birch": api.Tenant("birch", 0.5)},
        "limits": api.Limits(max_attempts=3, may_hedge=True, may_cancel=True, retry_after=True),
        "rules": api.TrafficRules(slow_start_ns=4 * SECOND, key_order_gap_ns=100 * MS),
        "zone": "east",
    }
    return api.Settings(**{**base, **changes})  # type: ignore[arg-type]


def upstreams(count: int, first: int = 1, started_ns: int = 0) -> list[api.Upstream]:
    return [
        api.Upstream(first + i, api.UpstreamState.READY, "east", i // 3, 1.0, started_ns)
        for i in range(count)
    ]


def places(count: int) -> list[api.Upstream]:
    """Upstreams in two zones and of two kinds, by turns."""
    return [
        u._replace(zone=("east", "west")[u.id % 2], kind=("big", "small")[u.id // 2 % 2])
        for u in upstreams(count)
    ]


def arrival(
    number: int | str,
    now: int,
    cls: api.RequestClass = READ,
    tenant: str = "ash",
    wait_ns: int = 500 * MS,
    retry: bool = False,
    key: str = "",
) -> api.RequestArrived:
    return api.RequestArrived(
        f"r{number}", cls.name, tenant, now + wait_ns, key=key, is_retry=retry
    )


def check_cold_budget(
    sends: list[int], started_ns: int, rules: api.TrafficRules, warm_per_s: float
) -> None:
    """Rule 4 over all proxies: in no window is a cold upstream sent more than it can stand. Slack
    of two.
    """
    for i, last in enumerate(sends):
        age = last - started_ns
        if age >= rules.slow_start_ns:
            continue
        part = (
            rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age / rules.slow_start_ns
        )
        count = sum(last - rules.overload_window_ns < t <= last for t in sends[: i + 1])
        most = rules.overload_multiple * part * warm_per_s * rules.overload_window_ns / SECOND + 2
        assert count <= most, f"{count} sends to a cold upstream, {most:.1f} at most"


class Desk:
    """Drives one balancer, keeps its timers, and checks the rules and the grammar of its
    actions.
    """

    def __init__(self, config: api.Settings | None = None, seed: int = 7, servers: int = 6) -> None:
        self.config = config or settings()
        self.now = START
        self.balancer = Balancer(self.config, seed, self.now)
        self.cls: dict[str, api.RequestClass] = {}
        self.deadline: dict[str, int] = {}
        self.answer: dict[str, str] = {}
        self.told_over: set[str] = set()
        self.rows: dict[str, list[str]] = {}  # key -> requests in order, as taken
        self.rest: dict[
            str, int
        ] = {}  # request -> time until which later ones of its key must wait
        self.sends: dict[str, list[tuple[api.Upstream, int]]] = {}
        self.results: dict[tuple[str, int], api.AttemptResult] = {}
        self.list: dict[int, api.Upstream] = {}
        self.timers: list[tuple[int, str]] = []
        self.log: list[api.Action] = []
        if servers:
            self.give(api.EndpointsUpdated(api.EndpointListKind.CACHED, upstreams(servers)))

    # -- time --

    def give(self, *events: api.Event) -> list[api.Action]:
        for e in events:
            self._event(e)
        actions = self.balancer.handle(self.now, events)
        for a in actions:
            self._action(a)
        self.log += actions
        return actions

    def advance(self, by_ns: int, step_ns: int = 5 * MS) -> list[api.Action]:
        """Let time pass in ticks, delivering timers that are due and time-outs at the deadline."""
        seen: list[api.Action] = []
        end = self.now + by_ns
        while self.now < end:
            self.now = min(end, self.now + step_ns)
            due = sorted(t for t in self.timers if t[0] <= self.now)
            self.timers = [t for t in self.timers if t[0] > self.now]
            events: list[api.Event] = [api.TimerFired(name) for _, name in due]
            for request, number in self.out():
                if self.deadline[request] <= self.now:
                    events.append(self.result(request, number, api.AttemptResult.TIMEOUT))
            if events:
                seen += self.give(*events)
            for request, deadline in self.deadline.items():
                if deadline + 20 * MS < self.now:
                    assert request in self.answer, f"{request} had no final answer in its time"
        return seen

    def out(self) -> list[tuple[str, int]]:
        return [
            (r, i)
            for r, sent in self.sends.items()
            for i in range(len(sent))
            if (r, i) not in self.results
        ]

    def result(self, request: str, number: int, result: api.AttemptResult) -> api.AttemptFinished:
        upstream, sent = self.sends[request][number]
        over = request in self.answer or request in self.told_over or result is api.AttemptResult.OK
        return api.AttemptFinished(request, number, upstream.id, result, self.now - sent, over)

    def finish(
        self, request: str, result: api.AttemptResult = api.AttemptResult.OK, number: int = -1
    ) -> list[api.Action]:
        number = number if number >= 0 else len(self.sends[request]) - 1
        return self.give(self.result(request, number, result))

    # -- books --

    def _event(self, e: api.Event) -> None:
        if isinstance(e, api.RequestArrived):
            self.cls[e.request] = self.config.classes[e.class_name]
            self.deadline[e.request] = e.deadline_ns
            if self.cls[e.request].ordered_by_key and e.key:
                self.rows.setdefault(e.key, []).append(e.request)
        elif isinstance(e, api.AttemptFinished) and e.request in self.cls:
            self.results[e.request, e.attempt] = e.result
            if e.result in MAY_STILL_RUN:
                self.rest[e.request] = self.now + self.config.rules.key_order_gap_ns
            if e.result is api.AttemptResult.OK and e.request not in self.answer:
                self.answer[e.request] = "served"
            if e.complete:
                self.told_over.add(e.request)
        elif isinstance(e, api.ClientDisconnected):
            self.answer.setdefault(e.request, "gone")
            self.told_over.add(e.request)
        elif isinstance(e, api.BodyCompleted):
            self.deadline[e.request] = e.deadline_ns
        elif isinstance(e, api.EndpointsUpdated):
            if e.kind in (api.EndpointListKind.FULL, api.EndpointListKind.CACHED):
                self.list = {
                    i: u._replace(state=api.UpstreamState.REMOVED) for i, u in self.list.items()
                }
            self.list |= {u.id: u for u in e.upstreams}

    def _risky(self, request: str) -> list[tuple[api.Upstream, int]]:
        return [
            s
            for i, s in enumerate(self.sends.get(request, []))
            if self.results.get((request, i)) not in api.NEVER_RAN
        ]

    def _action(self, a: api.Action) -> None:
        if isinstance(a, api.StartAttempt):
            self._send(a)
        elif isinstance(a, api.RejectRequest):
            cls, risky = self.cls[a.request], self._risky(a.request)
            harmless = (
                cls.effect is api.Effect.IDEMPOTENT
                or not risky
                or (
                    cls.effect is api.Effect.IDEMPOTENT_WITH_KEY
                    and cls.scope is api.DeduplicationScope.ALL
                )
            )
            assert harmless, f"{a.request} refused though it may have run"
            self._final(a.request, "refused")
            assert 0 <= a.retry_after_ns <= self.config.limits.max_retry_after_ns
        elif isinstance(a, api.FailRequest):
            self._final(a.request, "failed")
        elif isinstance(a, api.CancelAttempt):
            assert self.config.limits.may_cancel and a.attempt < len(self.sends[a.request])
        elif isinstance(a, api.CheckHealth):
            assert self.config.limits.probes and a.upstream in self.list
        elif isinstance(a, api.SendGossip):
            assert self.config.limits.peers and len(a.data) <= 256
        elif isinstance(a, api.SetTimer):
            assert a.delay_ns > 0
            self.timers.append((self.now + a.delay_ns, a.name))

    def _turn(self, request: str) -> None:
        for row in self.rows.values():
            for earlier in row[: row.index(request)] if request in row else ():
                over = earlier in self.answer or earlier in self.told_over
                assert over, f"{request} sent before {earlier}, taken earlier, is over"
                assert earlier not in {r for r, _ in self.out()}, (
                    f"{request} sent while {earlier} is out"
                )
                assert self.now >= self.rest.get(earlier, 0), f"{request} sent while its key rests"

    def _final(self, request: str, answer: str) -> None:
        assert request in self.cls, f"{request} was never taken"
        assert request not in self.answer, (
            f"{request} answered twice: {self.answer.get(request)}, {answer}"
        )
        assert self.now <= self.deadline[request] + 20 * MS, f"{request} answered late"
        self.answer[request] = answer

    def _send(self, a: api.StartAttempt) -> None:
        request, upstream = a.request, self.list[a.upstream]
        cls, limits, risky = self.cls[request], self.config.limits, self._risky(a.request)
        assert request not in self.answer and request not in self.told_over, (
            f"{request} sent after its end"
        )
        assert upstream.state is api.UpstreamState.READY, (
            f"{request} sent to a draining or gone upstream"
        )
        assert not cls.zones or upstream.zone in cls.zones, f"{request} sent outside its zones"
        assert not cls.kinds or upstream.kind in cls.kinds, (
            f"{request} sent to a kind it may not use"
        )
        self._turn(request)
        sent = self.sends.setdefault(request, [])
        assert len(sent) < limits.max_attempts
        out = sum((request, i) not in self.results for i in range(len(sent)))
        assert out < (2 if limits.may_hedge else 1), f"{request}: {out} attempts out already"
        if risky and cls.effect is api.Effect.NON_IDEMPOTENT:
            raise AssertionError(f"{request} is unsafe, may have run and is sent again")
        if risky and cls.effect is api.Effect.IDEMPOTENT_WITH_KEY:
            assert self.now - risky[0][1] <= cls.window_ns, f"{request} repeated after its window"
            if cls.scope is api.DeduplicationScope.CELL:
                assert all((u.zone, u.cell) == (upstream.zone, upstream.cell) for u, _ in risky)
        sent.append((upstream, self.now))


def of_type(kind: type, actions: Iterable[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, kind)]
