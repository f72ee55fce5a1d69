"""The optimized computation of tenant rates and capacities against a reference implementation.

The policy computes them in few passes. Every decision and every bit of every number must equal the
result of the direct formulas, which these tests implement.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

import pytest

from loadbalancer import policy
from loadbalancer.policy import api
from loadbalancer.policy import balancer as balancing
from loadbalancer.policy import token_bucket as buckets
from loadbalancer.policy.rate_controller import RateController
from tests.bench import MS, SECOND, START, upstreams

STEP_DURATIONS_NS = (
    0,
    1,
    3 * MS,
    11 * MS,
    11 * MS,
    60 * MS,
    499_999_999,
    500 * MS,
    2 * SECOND,
    7 * SECOND,
)
RESULTS = [api.AttemptResult.OK] * 12 + [
    api.AttemptResult.TIMEOUT,
    api.AttemptResult.REJECTED,
    api.AttemptResult.ERROR,
    api.AttemptResult.RESET,
]


class ReferenceBucket(policy.TokenBucket[policy.Request]):
    """Computes its own capacities instead of copying them from a bucket of the same rate."""

    def set_rate(
        self,
        rate: float,
        now: int,
        same_rate_bucket: policy.TokenBucket[policy.Request] | None = None,
    ) -> None:
        self.accrue(now)
        balance = self.counter - self.buffer_capacity
        self.rate = rate
        self.token_capacity = max(4, round(rate * buckets.TOKEN_CAPACITY_S))
        self.buffer_capacity = max(
            1, round(self.token_capacity * buckets.BUFFER_FRACTION), len(self.buffered)
        )
        self.counter = max(
            0, min(self.token_capacity + self.buffer_capacity, balance + self.buffer_capacity)
        )


class ReferenceRateController(RateController):
    """Recomputes demand and share of every tenant, also of those that never had a request."""

    def _update_demands(self, elapsed: int) -> None:
        for t in self.buckets:
            t.demand += 0.5 * (t.request_count * SECOND / elapsed - t.demand)
            t.request_count, t.had_token_shortage = 0, False

    def restore(
        self,
        rate: float,
        demands: Iterable[tuple[policy.TokenBucket[policy.Request], float]],
        now: int,
    ) -> None:
        self.rate = self.served_per_s = min(self.rate, rate)
        for t, demand in demands:
            t.demand = demand
        self._divide_rate(now)

    def _divide_rate(self, now: int) -> None:
        total_weight = sum(t.weight for t in self.buckets)
        shares_of_rate, shares_of_served = (
            self._shares_of(self.rate),
            self._shares_of(self.served_per_s),
        )
        for i, t in enumerate(self.buckets):
            t.set_rate(max(0.05, self.rate * t.weight / total_weight, shares_of_rate[i]), now)
            t.is_over_share = t.demand > 1.1 * shares_of_served[i]

    def _shares_of(self, remaining: float) -> list[float]:
        shares, weights = [0.0] * len(self.buckets), sum(t.weight for t in self.buckets)
        for i, t in sorted(
            enumerate(self.buckets), key=lambda it: (it[1].demand / it[1].weight, it[0])
        ):
            shares[i] = min(t.demand, remaining * t.weight / weights)
            remaining, weights = max(0.0, remaining - shares[i]), max(1e-9, weights - t.weight)
        return [share + remaining for share in shares]


class ReferenceBalancer(policy.Balancer):
    """Releases the tokens of every tenant on each event."""

    def _release_tokens(self, now: int) -> None:
        for t in self.buckets.values():
            self.admission.release(t, now)


def reference_balancer(settings: api.Settings, seed: int, now: int) -> policy.Balancer:
    """Return a balancer built from the reference classes."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(balancing, "TokenBucket", ReferenceBucket)
        patch.setattr(balancing, "RateController", ReferenceRateController)
        return ReferenceBalancer(settings, seed, now)


def numeric_state(balancer: policy.Balancer) -> list[object]:
    """Return the rate controller's and all tenants' numbers, with floats in exact hex form."""
    r = balancer.rate_controller
    return [
        *(float(n).hex() for n in (r.rate, r.served_per_s, r.finished_per_s, r.best_served_per_s)),
        *(
            (
                t.rate.hex(),
                t.token_fraction.hex(),
                float(t.demand).hex(),
                t.counter,
                t.token_capacity,
                t.buffer_capacity,
                t.accrued_ns,
                t.is_over_share,
                t.had_token_shortage,
                t.request_count,
                len(t.buffered),
            )
            for t in balancer.buckets.values()
        ),
    ]


class ComparedBalancers:
    """Passes the same events to the policy and the reference and compares actions and state."""

    def __init__(self, weights: Sequence[float], seed: int) -> None:
        self.rng = random.Random(seed)
        self.names = [f"t{i}" for i in range(len(weights))]
        cls = api.RequestClass("read", latency_objective_ns=300 * MS)
        settings = api.Settings(
            classes={"read": cls},
            tenants={
                name: api.Tenant(name, w) for name, w in zip(self.names, weights, strict=True)
            },
            limits=api.Limits(max_attempts=2, may_hedge=True, may_cancel=True, retry_after=True),
        )
        self.tested_and_reference = (
            policy.Balancer(settings, seed, START),
            reference_balancer(settings, seed, START),
        )
        self.now = START
        self.number = 0
        self.open_attempts: list[tuple[str, int, int, int]] = []
        self.timers: list[tuple[int, str]] = []
        self.action_count = 0
        self.action_types: set[str] = set()
        self.attempt_counts: dict[str, int] = {}  # request -> number of its attempts
        self.deliver(api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(8)))

    def deliver(self, *events: api.Event) -> None:
        """Pass events to both balancers and check that actions and state are equal."""
        actual, expected = (b.handle(self.now, events) for b in self.tested_and_reference)
        assert actual == expected
        assert numeric_state(self.tested_and_reference[0]) == numeric_state(
            self.tested_and_reference[1]
        )
        for action in actual:
            self.action_types.add(type(action).__name__)
            if isinstance(action, api.StartAttempt):
                number = self.attempt_counts.get(action.request, 0)
                self.attempt_counts[action.request] = number + 1
                self.open_attempts.append((action.request, number, action.upstream, self.now))
            elif isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay_ns, action.name))
        self.action_count += len(actual)

    def arrivals_of(
        self, name: str, count: int, probability: float = 0.0
    ) -> list[api.RequestArrived]:
        """Return `count` new requests of one tenant; each is a retry with this probability."""
        self.number += count
        return [
            api.RequestArrived(
                f"r{self.number - i}",
                "read",
                name,
                self.now + SECOND,
                is_retry=self.rng.random() < probability,
            )
            for i in range(count)
        ]

    def random_arrivals(self, count: int, tenant_count: int) -> list[api.RequestArrived]:
        """Return new requests of random tenants among the first `tenant_count`."""
        return [
            e
            for _ in range(count)
            for e in self.arrivals_of(self.names[self.rng.randrange(tenant_count)], 1, 0.1)
        ]

    def attempt_results(self, probability: float) -> list[api.Event]:
        """Return random results for open attempts, each finishing with this probability."""
        finished = [o for o in self.open_attempts if self.rng.random() < probability]
        self.open_attempts = [o for o in self.open_attempts if o not in finished]
        return [
            api.AttemptFinished(
                r, number, upstream, result, self.now - at, result is api.AttemptResult.OK
            )
            for r, number, upstream, at in finished
            for result in [self.rng.choice(RESULTS)]
        ]

    def step(self, tenant_count: int, load: int) -> None:
        """Advance the clock and deliver timers, attempt results and up to `load` arrivals."""
        self.now += self.rng.choice(STEP_DURATIONS_NS)
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        events: list[api.Event] = [api.TimerFired(name) for _, name in due] + self.attempt_results(
            0.7
        )
        events += self.random_arrivals(self.rng.randrange(load), tenant_count)
        if self.rng.random() < 0.02 and self.tested_and_reference[0].requests:
            events.append(
                api.ClientDisconnected(self.rng.choice(list(self.tested_and_reference[0].requests)))
            )
        self.deliver(*events)


def random_weights(rng: random.Random) -> list[float]:
    """Return tenant weights: all equal, of a few values, or arbitrary."""
    count = rng.choice((1, 2, 7, 40, 150))
    choices = rng.choice(([1.0], [0.1, 0.3, 0.7], [rng.random() for _ in range(count)]))
    return [rng.choice(choices) for _ in range(count)]


@pytest.mark.parametrize("seed", range(24))
def test_decisions_equal_the_reference_formulas(seed: int) -> None:
    rng = random.Random(seed)
    weights = random_weights(rng)
    compared = ComparedBalancers(weights, seed)
    if seed % 3 == 0:
        demands = {name: rng.choice((0.0, 3.5, 3.5, 80.0)) for name in compared.names[::2]}
        compared.deliver(
            api.LearnedState(SECOND, rng.choice((5.0, 300.0)), {**demands, "gone": 9.0})
        )
    if seed % 4 == 1:
        compared.deliver(
            api.TrafficPlan(
                excess_reject_fraction=0.5,
                tenant_rates=dict.fromkeys(compared.names, 2.0),
                retry_reject_fraction=0.5,
            )
        )
    for i in range(300):
        tenant_count = (
            len(weights) if i > 200 else max(1, len(weights) // 3)
        )  # some tenants send their first request late
        compared.step(tenant_count, rng.choice((2, 10, 40, 300)))
    assert (
        compared.action_count > 300 and {"StartAttempt", "RejectRequest"} <= compared.action_types
    )


def test_demands_near_the_smallest_float_equal_the_reference() -> None:
    """Demands of idle tenants halve down to the smallest floats.

    Rounding can then make demands equal, or change the order of the tenants by demand and weight.
    """
    smallest_float = 5e-324
    for seed in range(300):
        rng = random.Random(seed)
        weights = [rng.choice((0.3, 0.35, 0.7, 40.3, 41.7)) for _ in range(12)] + [1.7] * 3
        initial_demands = [smallest_float * rng.randrange(70) for _ in weights]
        tested_and_reference: list[RateController] = []
        for bucket, controller in (
            (policy.TokenBucket, RateController),
            (ReferenceBucket, ReferenceRateController),
        ):
            tenant_buckets: list[policy.TokenBucket[policy.Request]] = [
                bucket(w, random.Random(7), START) for w in weights
            ]
            tested_and_reference.append(controller(tenant_buckets, START))
            tested_and_reference[-1].restore(
                3.0, zip(tenant_buckets, initial_demands, strict=True), START
            )
        for step in range(1, 10):
            for r in tested_and_reference:
                for t in r.buckets[-3:]:
                    t.request_count = 100
                r.in_time_count = 2
                r.adjust(START + step * SECOND, -1.0)
            actual, expected = (
                [(t.rate.hex(), t.demand.hex(), t.counter, t.is_over_share) for t in r.buckets]
                for r in tested_and_reference
            )
            assert actual == expected, (seed, step)


def test_buffer_capacity_is_not_shared_with_a_fuller_bucket_of_the_same_rate() -> None:
    """Two buckets have the same rate.

    One buffers more requests than the buffer capacity that follows from this rate. The buffer
    capacity of the fuller bucket must not be copied to the other one.
    """
    compared = ComparedBalancers([1.0, 1.0, 1.0], 1)
    compared.deliver(api.LearnedState(SECOND, 100.0))
    compared.now += 495 * MS
    fuller_arrivals, other_arrivals = (
        compared.arrivals_of(name, 100) for name in compared.names[:2]
    )
    compared.deliver(*fuller_arrivals, *other_arrivals)
    fuller, other, _ = compared.tested_and_reference[0].buckets.values()
    assert fuller.buffered and other.buffered
    compared.deliver(*(api.ClientDisconnected(e.request) for e in other_arrivals))
    compared.now += 5 * MS
    compared.deliver(
        *(
            api.AttemptFinished(r, n, u, api.AttemptResult.REJECTED, 3 * MS)
            for r, n, u, _ in compared.open_attempts
        )
    )
    assert (
        fuller.rate == other.rate
        and fuller.buffer_capacity == len(fuller.buffered) > other.buffer_capacity
    )
