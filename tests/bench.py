"""Helpers of the policy tests: small settings, event builders, and a harness that checks the rules.

The harness derives its own state from the events and actions alone; it shares no state or code with
the policy module.
"""

from __future__ import annotations

from collections.abc import Iterable

from loadbalancer.policy import Balancer, api

MS = 1_000_000
SECOND = 1000 * MS
START = 5 * SECOND

READ = api.RequestClass("read", api.Effect.IDEMPOTENT, latency_objective_ns=300 * MS)
PAY = api.RequestClass("pay", api.Effect.NON_IDEMPOTENT, latency_objective_ns=300 * MS)
CELL_SCOPED = api.RequestClass(
    "cell",
    api.Effect.IDEMPOTENT_WITH_KEY,
    api.DeduplicationScope.CELL,
    window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
GLOBAL_SCOPED = api.RequestClass(
    "any",
    api.Effect.IDEMPOTENT_WITH_KEY,
    api.DeduplicationScope.ALL,
    window_ns=400 * MS,
    latency_objective_ns=300 * MS,
)
KEY_ORDERED = api.RequestClass(
    "row",
    api.Effect.IDEMPOTENT_WITH_KEY,
    api.DeduplicationScope.CELL,
    window_ns=400 * MS,
    latency_objective_ns=300 * MS,
    ordered_by_key=True,
)
WEST_ONLY = api.RequestClass(
    "west", api.Effect.IDEMPOTENT, latency_objective_ns=300 * MS, zones=frozenset({"west"})
)
BIG_ONLY = api.RequestClass(
    "big", api.Effect.NON_IDEMPOTENT, latency_objective_ns=300 * MS, kinds=frozenset({"big"})
)
MAY_STILL_RUN = (api.AttemptResult.TIMEOUT, api.AttemptResult.RESET, api.AttemptResult.CANCELLED)


def settings(**changes: object) -> api.Settings:
    """Return the default test settings with some fields replaced."""
    defaults: dict[str, object] = {
        "classes": {
            c.name: c
            for c in (READ, PAY, CELL_SCOPED, GLOBAL_SCOPED, KEY_ORDERED, WEST_ONLY, BIG_ONLY)
        },
        "tenants": {"ash": api.Tenant("ash", 0.5), "birch": api.Tenant("birch", 0.5)},
        "limits": api.Limits(max_attempts=3, may_hedge=True, may_cancel=True, retry_after=True),
        "rules": api.TrafficRules(slow_start_ns=4 * SECOND, key_order_gap_ns=100 * MS),
        "zone": "east",
    }
    return api.Settings(**{**defaults, **changes})  # type: ignore[arg-type]


def upstreams(count: int, first: int = 1, started_ns: int = 0) -> list[api.Upstream]:
    """Return ready upstreams of one zone with consecutive ids, three to a cell."""
    return [
        api.Upstream(first + i, api.UpstreamState.READY, "east", i // 3, 1.0, started_ns)
        for i in range(count)
    ]


def mixed_upstreams(count: int) -> list[api.Upstream]:
    """Return upstreams of alternating zones (east, west) and kinds (big, small)."""
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
    """Return an arrival of request `r<number>` whose deadline is `wait_ns` after `now`."""
    return api.RequestArrived(
        f"r{number}", cls.name, tenant, now + wait_ns, key=key, is_retry=retry
    )


def check_slow_start_budget(
    sends: list[int], started_ns: int, rules: api.TrafficRules, warm_rate_per_s: float
) -> None:
    """Check rule 4 over the sends of all proxies to one upstream.

    In no overload window may a cold upstream get more requests than its slow-start capacity allows,
    with a tolerance of two.
    """
    for i, sent_ns in enumerate(sends):
        age = sent_ns - started_ns
        if age >= rules.slow_start_ns:
            continue
        capacity_fraction = (
            rules.slow_start_capacity + (1 - rules.slow_start_capacity) * age / rules.slow_start_ns
        )
        count = sum(sent_ns - rules.overload_window_ns < t <= sent_ns for t in sends[: i + 1])
        max_sends = (
            rules.overload_multiple
            * capacity_fraction
            * warm_rate_per_s
            * rules.overload_window_ns
            / SECOND
            + 2
        )
        assert count <= max_sends, f"{count} sends to a cold upstream, {max_sends:.1f} at most"


class PolicyHarness:
    """Drives one balancer on a virtual clock and checks every action against the rules."""

    def __init__(self, config: api.Settings | None = None, seed: int = 7, servers: int = 6) -> None:
        self.config = config or settings()
        self.now = START
        self.balancer = Balancer(self.config, seed, self.now)
        self.request_classes: dict[str, api.RequestClass] = {}
        self.deadlines: dict[str, int] = {}
        self.outcome: dict[str, str] = {}
        self.completed: set[str] = set()
        self.requests_by_key: dict[str, list[str]] = {}  # key -> its requests in arrival order
        self.key_blocked_until: dict[
            str, int
        ] = {}  # request -> time before which later requests of its key may not be sent
        self.sends: dict[str, list[tuple[api.Upstream, int]]] = {}
        self.results: dict[tuple[str, int], api.AttemptResult] = {}
        self.endpoints: dict[int, api.Upstream] = {}
        self.timers: list[tuple[int, str]] = []
        self.emitted_actions: list[api.Action] = []
        if servers:
            self.deliver(api.EndpointsUpdated(api.EndpointListKind.CACHED, upstreams(servers)))

    # -- time --

    def deliver(self, *events: api.Event) -> list[api.Action]:
        """Pass events to the balancer, check its actions and return them."""
        for event in events:
            self._record_event(event)
        actions = self.balancer.handle(self.now, events)
        for action in actions:
            self._check_action(action)
        self.emitted_actions += actions
        return actions

    def advance(self, duration_ns: int, step_ns: int = 5 * MS) -> list[api.Action]:
        """Advance the clock in steps and return all actions.

        Each step delivers expired timers, and a TIMEOUT for open attempts at their deadline.
        """
        collected: list[api.Action] = []
        end = self.now + duration_ns
        while self.now < end:
            self.now = min(end, self.now + step_ns)
            due = sorted(t for t in self.timers if t[0] <= self.now)
            self.timers = [t for t in self.timers if t[0] > self.now]
            events: list[api.Event] = [api.TimerFired(name) for _, name in due]
            for request, number in self.open_attempts():
                if self.deadlines[request] <= self.now:
                    events.append(self.result(request, number, api.AttemptResult.TIMEOUT))
            if events:
                collected += self.deliver(*events)
            for request, deadline in self.deadlines.items():
                if deadline + 20 * MS < self.now:
                    assert request in self.outcome, (
                        f"{request} had no outcome 20 ms after its deadline"
                    )
        return collected

    def open_attempts(self) -> list[tuple[str, int]]:
        """Return (request, attempt number) of all attempts without a result."""
        return [
            (r, i)
            for r, sent in self.sends.items()
            for i in range(len(sent))
            if (r, i) not in self.results
        ]

    def result(self, request: str, number: int, result: api.AttemptResult) -> api.AttemptFinished:
        """Return the event that reports the result of an attempt."""
        upstream, sent = self.sends[request][number]
        is_complete = (
            request in self.outcome or request in self.completed or result is api.AttemptResult.OK
        )
        return api.AttemptFinished(
            request, number, upstream.id, result, self.now - sent, is_complete
        )

    def finish(
        self, request: str, result: api.AttemptResult = api.AttemptResult.OK, number: int = -1
    ) -> list[api.Action]:
        """Deliver the result of an attempt, by default the request's last one."""
        number = number if number >= 0 else len(self.sends[request]) - 1
        return self.deliver(self.result(request, number, result))

    # -- recorded events and checks --

    def _record_event(self, event: api.Event) -> None:
        """Update the harness's state from an event before the balancer receives it."""
        if isinstance(event, api.RequestArrived):
            self.request_classes[event.request] = self.config.classes[event.class_name]
            self.deadlines[event.request] = event.deadline_ns
            if self.request_classes[event.request].ordered_by_key and event.key:
                self.requests_by_key.setdefault(event.key, []).append(event.request)
        elif isinstance(event, api.AttemptFinished) and event.request in self.request_classes:
            self.results[event.request, event.attempt] = event.result
            if event.result in MAY_STILL_RUN:
                self.key_blocked_until[event.request] = (
                    self.now + self.config.rules.key_order_gap_ns
                )
            if event.result is api.AttemptResult.OK and event.request not in self.outcome:
                self.outcome[event.request] = "served"
            if event.complete:
                self.completed.add(event.request)
        elif isinstance(event, api.ClientDisconnected):
            self.outcome.setdefault(event.request, "gone")
            self.completed.add(event.request)
        elif isinstance(event, api.BodyCompleted):
            self.deadlines[event.request] = event.deadline_ns
        elif isinstance(event, api.EndpointsUpdated):
            if event.kind in (api.EndpointListKind.FULL, api.EndpointListKind.CACHED):
                self.endpoints = {
                    i: u._replace(state=api.UpstreamState.REMOVED)
                    for i, u in self.endpoints.items()
                }
            self.endpoints |= {u.id: u for u in event.upstreams}

    def _attempts_that_may_have_run(self, request: str) -> list[tuple[api.Upstream, int]]:
        """Return the attempts whose result does not prove that the upstream never ran them."""
        return [
            s
            for i, s in enumerate(self.sends.get(request, []))
            if self.results.get((request, i)) not in api.NEVER_RAN
        ]

    def _check_action(self, action: api.Action) -> None:
        """Check an action and update the harness's state from it."""
        if isinstance(action, api.StartAttempt):
            self._check_attempt(action)
        elif isinstance(action, api.RejectRequest):
            cls, may_have_run = (
                self.request_classes[action.request],
                self._attempts_that_may_have_run(action.request),
            )
            safe_to_reject = (
                cls.effect is api.Effect.IDEMPOTENT
                or not may_have_run
                or (
                    cls.effect is api.Effect.IDEMPOTENT_WITH_KEY
                    and cls.scope is api.DeduplicationScope.ALL
                )
            )
            assert safe_to_reject, f"{action.request} rejected though it may have run"
            self._record_outcome(action.request, "refused")
            assert 0 <= action.retry_after_ns <= self.config.limits.max_retry_after_ns
        elif isinstance(action, api.FailRequest):
            self._record_outcome(action.request, "failed")
        elif isinstance(action, api.CancelAttempt):
            assert self.config.limits.may_cancel and action.attempt < len(
                self.sends[action.request]
            )
        elif isinstance(action, api.CheckHealth):
            assert self.config.limits.probes and action.upstream in self.endpoints
        elif isinstance(action, api.SendGossip):
            assert self.config.limits.peers and len(action.data) <= 256
        elif isinstance(action, api.SetTimer):
            assert action.delay_ns > 0
            self.timers.append((self.now + action.delay_ns, action.name))

    def _check_key_order(self, request: str) -> None:
        """Check rule 5: earlier requests of the key are complete, and the key is not blocked."""
        for key_requests in self.requests_by_key.values():
            for earlier in (
                key_requests[: key_requests.index(request)] if request in key_requests else ()
            ):
                is_complete = earlier in self.outcome or earlier in self.completed
                assert is_complete, f"{request} sent before the earlier request {earlier} completed"
                assert earlier not in {r for r, _ in self.open_attempts()}, (
                    f"{request} sent while an attempt of {earlier} is open"
                )
                assert self.now >= self.key_blocked_until.get(earlier, 0), (
                    f"{request} sent while its key is blocked"
                )

    def _record_outcome(self, request: str, outcome: str) -> None:
        """Record the final outcome; there is at most one, and it is on time."""
        assert request in self.request_classes, f"{request} never arrived"
        assert request not in self.outcome, (
            f"{request} answered twice: {self.outcome.get(request)}, {outcome}"
        )
        assert self.now <= self.deadlines[request] + 20 * MS, (
            f"{request} answered after its deadline"
        )
        self.outcome[request] = outcome

    def _check_attempt(self, action: api.StartAttempt) -> None:
        """Check that a new attempt follows the rules for its request and upstream."""
        request, upstream = action.request, self.endpoints[action.upstream]
        cls, limits, may_have_run = (
            self.request_classes[request],
            self.config.limits,
            self._attempts_that_may_have_run(action.request),
        )
        assert request not in self.outcome and request not in self.completed, (
            f"{request} sent after its completion"
        )
        assert upstream.state is api.UpstreamState.READY, (
            f"{request} sent to a draining or removed upstream"
        )
        assert not cls.zones or upstream.zone in cls.zones, (
            f"{request} sent to an upstream outside its zones"
        )
        assert not cls.kinds or upstream.kind in cls.kinds, (
            f"{request} sent to an upstream of a kind that its class excludes"
        )
        self._check_key_order(request)
        sent = self.sends.setdefault(request, [])
        assert len(sent) < limits.max_attempts
        open_attempts = sum((request, i) not in self.results for i in range(len(sent)))
        assert open_attempts < (2 if limits.may_hedge else 1), (
            f"{request}: {open_attempts} attempts are already open"
        )
        if may_have_run and cls.effect is api.Effect.NON_IDEMPOTENT:
            raise AssertionError(f"{request} is not idempotent, may have run, and was retried")
        if may_have_run and cls.effect is api.Effect.IDEMPOTENT_WITH_KEY:
            assert self.now - may_have_run[0][1] <= cls.window_ns, (
                f"{request} retried after its deduplication window"
            )
            if cls.scope is api.DeduplicationScope.CELL:
                assert all(
                    (u.zone, u.cell) == (upstream.zone, upstream.cell) for u, _ in may_have_run
                )
        sent.append((upstream, self.now))


def of_type(kind: type, actions: Iterable[api.Action]) -> list[api.Action]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]
