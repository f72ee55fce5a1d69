"""Random runs of the policy, each reduced to a checksum.

Actions are recorded in the simulator's wire format, which has no names of types or fields, so
renaming does not change a checksum. Run as a program, the module prints the checksums as JSON. It
imports only the policy and the simulator's adapter, so it also runs with the compiled modules.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json
import random
from collections.abc import Mapping
from typing import Any

from loadbalancer.policy import Balancer, api
from loadbalancer.sim_adapter import ACTION_WRITERS

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
STEPS = 900
STEP_NS = 3 * MILLISECOND
# Each entry is a seed, a number of upstreams and a number of balancers.
RUNS = (
    (1, 6, 1),
    (2, 6, 6),
    (3, 12, 2),
    (4, 24, 30),
    (5, 40, 6),
    (6, 60, 40),
    (7, 64, 1),
    (8, 100, 64),
    (9, 120, 200),
    (10, 150, 30),
    (11, 200, 200),
    (12, 200, 1),
)
RESULTS = (
    (api.AttemptResult.OK, 78),
    (api.AttemptResult.ERROR, 6),
    (api.AttemptResult.REJECTED, 5),
    (api.AttemptResult.TIMEOUT, 4),
    (api.AttemptResult.CONNECT_FAILED, 4),
    (api.AttemptResult.RESET, 3),
)


def strip_names(value: Any) -> Any:
    """Return a value without the names of types and fields."""
    if isinstance(value, Mapping):
        return [[key, strip_names(value[key])] for key in sorted(value)]
    if dataclasses.is_dataclass(value):
        return [strip_names(getattr(value, field.name)) for field in dataclasses.fields(value)]
    return [strip_names(item) for item in value] if isinstance(value, tuple | list) else value


def make_settings(rng: random.Random, balancers: int) -> api.Settings:
    classes = [
        api.RequestClass(
            "read",
            api.Effect.IDEMPOTENT,
            latency_objective_ns=150 * MILLISECOND,
            deadline_ns=SECOND,
        ),
        api.RequestClass(
            "write",
            api.Effect.NON_IDEMPOTENT,
            latency_objective_ns=400 * MILLISECOND,
            deadline_ns=3 * SECOND,
            priority_weight=3.0,
        ),
        api.RequestClass(
            "pay",
            api.Effect.IDEMPOTENT_WITH_KEY,
            api.DeduplicationScope.ZONE,
            900 * MILLISECOND,
            latency_objective_ns=300 * MILLISECOND,
            deadline_ns=2 * SECOND,
            priority_weight=2.0,
            late_weight=0.3,
        ),
        api.RequestClass(
            "log",
            api.Effect.IDEMPOTENT_WITH_KEY,
            api.DeduplicationScope.ALL,
            700 * MILLISECOND,
            ordered_by_key=True,
        ),
        api.RequestClass(
            "near", api.Effect.IDEMPOTENT, zones=frozenset("ab"), kinds=frozenset(("", "big"))
        ),
        api.RequestClass("feed", api.Effect.IDEMPOTENT, is_streaming=True),
    ]
    return api.Settings(
        instance_index=rng.randrange(balancers),
        instance_count=balancers,
        zone=rng.choice(["", "a", "b"]),
        discovery_push=rng.random() < 0.5,
        classes={cls.name: cls for cls in classes},
        tenants={
            "ash": api.Tenant("ash", 0.5),
            "birch": api.Tenant("birch", 0.3),
            "elm": api.Tenant("elm", 0.2),
        },
        limits=api.Limits(
            max_attempts=rng.choice([2, 3, 4]),
            may_hedge=rng.random() < 0.7,
            may_cancel=rng.random() < 0.7,
            probes=rng.random() < 0.7,
            retry_after=rng.random() < 0.7,
        ),
        rules=api.TrafficRules(
            drain_grace_ns=SECOND // 2,
            slow_start_ns=rng.choice([0, SECOND, 5 * SECOND]),
            key_order_gap_ns=50 * MILLISECOND,
        ),
        prices=api.Prices(
            cross_zone=rng.choice([0.0, 0.03]), waste=0.02, probe=0.01, connection=0.01
        ),
        report_columns=("util",),
        reports_in_answers=True,
    )


class Run:
    """A policy instance under random traffic, list changes, disabled upstreams and a restart."""

    def __init__(self, seed: int, upstreams: int, balancers: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100 * SECOND
        self.balancers = balancers
        self.settings = make_settings(self.rng, balancers)
        self.entries = {
            number: api.Upstream(
                number,
                api.UpstreamState.READY,
                "abc"[number % 3],
                number // 4,
                self.rng.choice([0.5, 1.0, 1.0, 2.0]),
                kind=self.rng.choice(["", "", "big", "old"]),
            )
            for number in range(1, upstreams + 1)
        }
        self.next_upstream = upstreams + 1
        self.requests = 0
        self.active: dict[str, int] = {}  # request -> attempts sent
        self.in_flight: dict[tuple[str, int], int] = {}  # attempt -> upstream
        self.due: list[tuple[int, int, api.Event]] = []
        self.order = 0
        self.digest = hashlib.sha256()
        self.policy = Balancer(self.settings, seed, self.now)
        self.handle([api.EndpointsUpdated(api.EndpointListKind.FULL, list(self.entries.values()))])

    def schedule(self, delay_ns: int, event: api.Event) -> None:
        self.order += 1
        self.due.append((self.now + delay_ns, self.order, event))

    def record(self, value: Any) -> None:
        self.digest.update(json.dumps(value, sort_keys=True).encode())

    def handle(self, events: list[Any]) -> None:
        for action in self.policy.handle(self.now, events):
            self.record([self.now, ACTION_WRITERS[type(action)](action)])
            self.carry_out(action)

    def carry_out(self, action: api.Action) -> None:
        if isinstance(action, api.StartAttempt):
            self.record(action.start_by_ns)
            attempt = self.active.get(action.request, 0)
            self.active[action.request] = attempt + 1
            self.in_flight[action.request, attempt] = action.upstream
            self.plan_outcome(action, attempt)
        elif isinstance(action, api.RejectRequest | api.FailRequest):
            self.active.pop(action.request, None)
        elif isinstance(action, api.CancelAttempt):
            upstream = self.in_flight.pop((action.request, action.attempt), None)
            if upstream is not None:
                self.schedule(
                    0,
                    api.AttemptFinished(
                        action.request,
                        action.attempt,
                        upstream,
                        api.AttemptResult.CANCELLED,
                        MILLISECOND,
                    ),
                )
        elif isinstance(action, api.SetTimer):
            self.schedule(action.delay_ns, api.TimerFired(action.name))
        elif isinstance(action, api.CheckHealth):
            result = api.AttemptResult.OK if self.rng.random() < 0.8 else api.AttemptResult.TIMEOUT
            self.schedule(
                8 * MILLISECOND,
                api.HealthCheckFinished(
                    action.upstream, result, 8 * MILLISECOND, {"util": self.rng.random()}
                ),
            )
        elif isinstance(action, api.FetchEndpoints):
            self.schedule(
                20 * MILLISECOND,
                api.EndpointsUpdated(api.EndpointListKind.FULL, list(self.entries.values())),
            )

    def plan_outcome(self, start_action: api.StartAttempt, attempt: int) -> None:
        kinds, weights = zip(*RESULTS, strict=True)
        result = self.rng.choices(kinds, weights)[0]
        duration_ns = int(self.rng.lognormvariate(3.4, 0.7) * MILLISECOND)
        if start_action.timeout_ns:
            duration_ns = min(duration_ns, start_action.timeout_ns)
        if result is api.AttemptResult.OK and self.rng.random() < 0.05:
            self.schedule(
                duration_ns // 2,
                api.ResponseStarted(
                    start_action.request, attempt, start_action.upstream, duration_ns // 2
                ),
            )
        report = {"util": self.rng.random()} if self.rng.random() < 0.5 else None
        self.schedule(
            duration_ns,
            api.AttemptFinished(
                start_action.request,
                attempt,
                start_action.upstream,
                result,
                duration_ns,
                report=report,
            ),
        )

    def arrivals(self) -> list[Any]:
        events: list[Any] = []
        load_factor = 3.0 if (self.now // SECOND) % 3 == 1 else 1.0
        for _ in range(int(load_factor * self.rng.random() * 4)):
            self.requests += 1
            name = f"r{self.requests}"
            cls = self.rng.choice(list(self.settings.classes.values()))
            deadline = self.now + int(cls.deadline_ns * self.rng.uniform(0.1, 1.0))
            complete = self.rng.random() < 0.95
            self.active[name] = 0
            events.append(
                api.RequestArrived(
                    name,
                    cls.name,
                    self.rng.choice(["ash", "ash", "birch", "elm", "?"]),
                    deadline,
                    self.rng.choice([0, 0, 20 * MILLISECOND]),
                    f"k{self.rng.randrange(40)}",
                    self.rng.random() < 0.1,
                    self.now - self.rng.choice([0, MILLISECOND]),
                    complete,
                )
            )
            if not complete:
                self.schedule(
                    15 * MILLISECOND,
                    api.BodyCompleted(name, deadline, self.now + 15 * MILLISECOND, True),
                )
            if self.rng.random() < 0.03:
                self.schedule(30 * MILLISECOND, api.ClientDisconnected(name))
        return events

    def list_change(self) -> list[Any]:
        rng = self.rng
        entry = self.entries[rng.choice(sorted(self.entries))]
        kind = rng.randrange(7)
        if kind == 0:
            changed = entry._replace(state=api.UpstreamState.DRAINING)
        elif kind == 1:
            changed = entry._replace(
                state=api.UpstreamState.READY, started_ns=self.now - rng.randrange(SECOND)
            )
        elif kind == 2:
            changed = entry._replace(state=api.UpstreamState.REMOVED)
            if len(self.entries) > 3:
                del self.entries[entry.id]
            return [api.EndpointsUpdated(api.EndpointListKind.DELTA, [changed])]
        elif kind == 3:
            changed = entry._replace(
                id=self.next_upstream, state=api.UpstreamState.READY, started_ns=self.now
            )
            self.next_upstream += 1
        elif kind == 4:
            return [api.UpstreamDisabled(entry.id, rng.random() < 0.6)]
        elif kind == 5:
            return [
                api.EndpointsUpdated(
                    rng.choice([api.EndpointListKind.FULL, api.EndpointListKind.CACHED]),
                    list(self.entries.values()),
                )
            ]
        else:
            return [
                api.EndpointsUpdated(api.EndpointListKind.FAILED),
                api.EndpointTrustChanged(rng.random() < 0.8),
            ]
        self.entries[changed.id] = changed
        return [api.EndpointsUpdated(api.EndpointListKind.DELTA, [changed])]

    def traffic_plan(self) -> api.TrafficPlan:
        rng = self.rng
        if rng.random() < 0.4:
            return api.TrafficPlan()
        return api.TrafficPlan(
            {"a": rng.random()},
            rng.random(),
            {"ash": 50.0},
            rng.random(),
            rng.random() < 0.5,
            {"read": 0.3 * rng.random()},
            (0, SECOND),
            {min(self.entries): 5.0},
        )

    def resolve_due_event(self, event: Any) -> Any:
        """Return a due event, or None if its attempt is no longer in flight."""
        if isinstance(event, api.AttemptFinished):
            was_in_flight = self.in_flight.pop((event.request, event.attempt), None) is not None
            if not was_in_flight and event.result is not api.AttemptResult.CANCELLED:
                return None
            is_complete = event.request not in self.active or event.result is api.AttemptResult.OK
            if is_complete:
                self.active.pop(event.request, None)
            return event._replace(complete=is_complete)
        return event

    def restart(self) -> None:
        """Replace the policy by a new one that restores its learned state."""
        learned = self.policy.learned_state()
        self.record(strip_names(learned))
        self.active.clear()
        self.in_flight.clear()
        self.due.clear()
        self.policy = Balancer(self.settings, self.rng.randrange(1000), self.now)
        self.handle(
            [
                api.EndpointsUpdated(api.EndpointListKind.CACHED, list(self.entries.values())),
                learned._replace(age_ns=SECOND // 2),
            ]
        )

    def execute(self) -> str:
        for step in range(STEPS):
            self.now += STEP_NS
            ready = sorted(item for item in self.due if item[0] <= self.now)
            self.due = [item for item in self.due if item[0] > self.now]
            events = [
                event
                for event in (self.resolve_due_event(item[2]) for item in ready)
                if event is not None
            ]
            events += self.arrivals()
            if self.rng.random() < 0.06:
                events += self.list_change()
            if self.rng.random() < 0.004:
                events.append(self.traffic_plan())
            self.handle(events)
            if step == 2 * STEPS // 3:
                self.restart()
        self.record(strip_names(self.policy.learned_state()))
        return self.digest.hexdigest()


def checksums() -> dict[str, str]:
    return {
        f"seed {seed}, {upstreams} upstreams, {balancers} balancers": Run(
            seed, upstreams, balancers
        ).execute()
        for seed, upstreams, balancers in RUNS
    }


if __name__ == "__main__":
    print(json.dumps(checksums(), indent=1))
