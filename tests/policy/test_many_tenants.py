"""Tenants' rates and capacities are worked out in few passes; every decision is the same, to the
last bit of every number, as by the plain formulas, which stand here.
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

GAPS = (0, 1, 3 * MS, 11 * MS, 11 * MS, 60 * MS, 499_999_999, 500 * MS, 2 * SECOND, 7 * SECOND)
RESULTS = [api.AttemptResult.OK] * 12 + [
    api.AttemptResult.TIMEOUT,
    api.AttemptResult.REJECTED,
    api.AttemptResult.ERROR,
    api.AttemptResult.RESET,
]


class PlainBucket(policy.TokenBucket[policy.Request]):
    def set_rate(
        self, rate: float, now: int, like: policy.TokenBucket[policy.Request] | None = None
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


class PlainRate(RateController):
    """Every tenant in every loop."""

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
        whole = sum(t.weight for t in self.buckets)
        lent, fair = self._fill(self.rate), self._fill(self.served_per_s)
        for i, t in enumerate(self.buckets):
            t.set_rate(max(0.05, self.rate * t.weight / whole, lent[i]), now)
            t.is_over_share = t.demand > 1.1 * fair[i]

    def _fill(self, left: float) -> list[float]:
        shares, weights = [0.0] * len(self.buckets), sum(t.weight for t in self.buckets)
        for i, t in sorted(
            enumerate(self.buckets), key=lambda it: (it[1].demand / it[1].weight, it[0])
        ):
            shares[i] = min(t.demand, left * t.weight / weights)
            left, weights = max(0.0, left - shares[i]), max(1e-9, weights - t.weight)
        return [share + left for share in shares]


class PlainBalancer(policy.Balancer):
    def _release_tokens(self, now: int) -> None:
        for t in self.buckets.values():
            self.admission.release(t, now)


def plain(settings: api.Settings, seed: int, now: int) -> policy.Balancer:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(balancing, "TokenBucket", PlainBucket)
        patch.setattr(balancing, "RateController", PlainRate)
        return PlainBalancer(settings, seed, now)


def state(balancer: policy.Balancer) -> list[object]:
    """All numbers of all tenants, each to its last bit."""
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


class Pair:
    """The module and the plain one, told the same: whatever either does is compared at once."""

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
        self.both = policy.Balancer(settings, seed, START), plain(settings, seed, START)
        self.now = START
        self.number = 0
        self.out: list[tuple[str, int, int, int]] = []
        self.timers: list[tuple[int, str]] = []
        self.actions = 0
        self.seen: set[str] = set()
        self.sent: dict[str, int] = {}  # attempts of each request
        self.give(api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(8)))

    def give(self, *events: api.Event) -> None:
        ours, theirs = (b.handle(self.now, events) for b in self.both)
        assert ours == theirs
        assert state(self.both[0]) == state(self.both[1])
        for action in ours:
            self.seen.add(type(action).__name__)
            if isinstance(action, api.StartAttempt):
                number = self.sent.get(action.request, 0)
                self.sent[action.request] = number + 1
                self.out.append((action.request, number, action.upstream, self.now))
            elif isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay_ns, action.name))
        self.actions += len(ours)

    def asked(self, name: str, count: int, chance: float = 0.0) -> list[api.RequestArrived]:
        self.number += count
        return [
            api.RequestArrived(
                f"r{self.number - i}",
                "read",
                name,
                self.now + SECOND,
                is_retry=self.rng.random() < chance,
            )
            for i in range(count)
        ]

    def ask(self, count: int, most: int) -> list[api.RequestArrived]:
        return [
            e
            for _ in range(count)
            for e in self.asked(self.names[self.rng.randrange(most)], 1, 0.1)
        ]

    def answers(self, chance: float) -> list[api.Event]:
        done = [o for o in self.out if self.rng.random() < chance]
        self.out = [o for o in self.out if o not in done]
        return [
            api.AttemptFinished(
                r, number, upstream, result, self.now - at, result is api.AttemptResult.OK
            )
            for r, number, upstream, at in done
            for result in [self.rng.choice(RESULTS)]
        ]

    def step(self, most: int, load: int) -> None:
        self.now += self.rng.choice(GAPS)
        due = [t for t in self.timers if t[0] <= self.now]
        self.timers = [t for t in self.timers if t[0] > self.now]
        events: list[api.Event] = [api.TimerFired(name) for _, name in due] + self.answers(0.7)
        events += self.ask(self.rng.randrange(load), most)
        if self.rng.random() < 0.02 and self.both[0].requests:
            events.append(api.ClientDisconnected(self.rng.choice(list(self.both[0].requests))))
        self.give(*events)


def drawn(rng: random.Random) -> list[float]:
    """Weights: alike, of few kinds, or any."""
    count = rng.choice((1, 2, 7, 40, 150))
    kinds = rng.choice(([1.0], [0.1, 0.3, 0.7], [rng.random() for _ in range(count)]))
    return [rng.choice(kinds) for _ in range(count)]


@pytest.mark.parametrize("seed", range(24))
def test_every_decision_is_that_of_the_plain_formulas(seed: int) -> None:
    rng = random.Random(seed)
    weights = drawn(rng)
    pair = Pair(weights, seed)
    if seed % 3 == 0:
        demands = {name: rng.choice((0.0, 3.5, 3.5, 80.0)) for name in pair.names[::2]}
        pair.give(api.LearnedState(SECOND, rng.choice((5.0, 300.0)), {**demands, "gone": 9.0}))
    if seed % 4 == 1:
        pair.give(
            api.TrafficPlan(
                excess_reject_fraction=0.5,
                tenant_rates=dict.fromkeys(pair.names, 2.0),
                retry_reject_fraction=0.5,
            )
        )
    for i in range(300):
        most = (
            len(weights) if i > 200 else max(1, len(weights) // 3)
        )  # some ask for the first time late
        pair.step(most, rng.choice((2, 10, 40, 300)))
    assert pair.actions > 300 and {"StartAttempt", "RejectRequest"} <= pair.seen


def test_so_it_is_near_the_least_number_there_is() -> None:
    """What is wanted by those that asked long ago halves until there equals and order change."""
    least = 5e-324
    for seed in range(300):
        rng = random.Random(seed)
        weights = [rng.choice((0.3, 0.35, 0.7, 40.3, 41.7)) for _ in range(12)] + [1.7] * 3
        wants = [least * rng.randrange(70) for _ in weights]
        both: list[RateController] = []
        for bucket, controller in ((policy.TokenBucket, RateController), (PlainBucket, PlainRate)):
            of_it: list[policy.TokenBucket[policy.Request]] = [
                bucket(w, random.Random(7), START) for w in weights
            ]
            both.append(controller(of_it, START))
            both[-1].restore(3.0, zip(of_it, wants, strict=True), START)
        for step in range(1, 10):
            for r in both:
                for t in r.buckets[-3:]:
                    t.request_count = 100
                r.in_time_count = 2
                r.adjust(START + step * SECOND, -1.0)
            ours, theirs = (
                [(t.rate.hex(), t.demand.hex(), t.counter, t.is_over_share) for t in r.buckets]
                for r in both
            )
            assert ours == theirs, (seed, step)


def test_capacities_are_not_those_of_one_that_holds_more() -> None:
    """Two at one rate, one of which holds more requests than the rate gives it places."""
    pair = Pair([1.0, 1.0, 1.0], 1)
    pair.give(api.LearnedState(SECOND, 100.0))
    pair.now += 495 * MS
    first, second = (pair.asked(name, 100) for name in pair.names[:2])
    pair.give(*first, *second)
    one, other, _ = pair.both[0].buckets.values()
    assert one.buffered and other.buffered
    pair.give(*(api.ClientDisconnected(e.request) for e in second))
    pair.now += 5 * MS
    pair.give(
        *(
            api.AttemptFinished(r, n, u, api.AttemptResult.REJECTED, 3 * MS)
            for r, n, u, _ in pair.out
        )
    )
    assert (
        one.rate == other.rate and one.buffer_capacity == len(one.buffered) > other.buffer_capacity
    )
