"""Tests of upstream selection by one of many balancers, which sends few requests per upstream.

A virtual clock and a simple model of upstreams drive the policy module alone; the seed is fixed.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Sequence

from loadbalancer.policy import Balancer, api
from loadbalancer.policy.pool import MAX_CACHED_KEYS
from tests.bench import PolicyHarness, settings
from tests.fakes import MS, SECOND

CLASSES = {
    "look": api.RequestClass(
        "look", api.Effect.IDEMPOTENT, latency_objective_ns=400 * MS, deadline_ns=900 * MS
    ),
    "book": api.RequestClass(
        "book", api.Effect.NON_IDEMPOTENT, latency_objective_ns=600 * MS, deadline_ns=1400 * MS
    ),
}
SimulatedResult = tuple[api.AttemptResult, int]  # the result, and the attempt's duration in ns


class SimulatedProxy:
    """One proxy on a virtual clock with random arrivals.

    `simulate_attempt` gets an upstream and the time, and returns the result of an attempt.
    """

    def __init__(
        self,
        upstreams: Sequence[api.Upstream],
        simulate_attempt: Callable[[int, int], SimulatedResult],
        proxies: int = 1,
        seed: int = 1,
        index: int = 0,
        zone: str = "",
    ) -> None:
        self.settings = api.Settings(
            instance_index=index,
            instance_count=proxies,
            zone=zone,
            prices=api.Prices(cross_zone=0.029 if zone else 0.0),
            classes=CLASSES,
            tenants={"t0": api.Tenant("t0", 1.0)},
            limits=api.Limits(max_attempts=4, may_cancel=True, retry_after=True),
            rules=api.TrafficRules(slow_start_ns=8 * SECOND),
        )
        self.now = SECOND
        self.rng = random.Random(seed)
        self.balancer = Balancer(self.settings, seed, self.now)
        self.simulate_attempt = simulate_attempt
        self.event_queue: list[tuple[int, int, api.Event]] = []
        self.count = 0
        self.sent: list[tuple[int, int]] = []  # (time, upstream)
        self.outcomes: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.open_requests: set[str] = set()
        self.request_keys: dict[str, str] = {}
        self.by_key: Counter[tuple[str, int]] = Counter()  # (key, upstream) -> number of attempts
        self.schedule(self.now, api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams))

    def schedule(self, at: int, event: api.Event) -> None:
        """Queue an event for delivery at a time."""
        self.count += 1
        heapq.heappush(self.event_queue, (at, self.count, event))

    def run_load(self, seconds: float, rate: float, keys: Sequence[str] = ("",)) -> None:
        """Continue for some seconds with `rate` requests per second, each with a random key."""
        end = at = self.now
        end += int(seconds * SECOND)
        while (at := at + int(self.rng.expovariate(rate) * SECOND)) < end:
            cls = self.rng.choice(list(CLASSES))
            name = f"q{self.count}"
            self.request_keys[name] = self.rng.choice(keys)
            self.schedule(
                at,
                api.RequestArrived(
                    name, cls, "t0", at + CLASSES[cls].deadline_ns, key=self.request_keys[name]
                ),
            )
        self.run_until(end)

    def run_until(self, end: int) -> None:
        """Deliver all queued events up to a time and apply the actions."""
        while self.event_queue and self.event_queue[0][0] <= end:
            self.now, _, event = heapq.heappop(self.event_queue)
            if isinstance(event, api.RequestArrived):
                self.open_requests.add(event.request)
            elif isinstance(event, api.AttemptFinished):
                served = (
                    event.result is api.AttemptResult.OK and event.request in self.open_requests
                )
                event = event._replace(complete=served or event.request not in self.open_requests)
                if served:
                    self.open_requests.discard(event.request)
                    self.outcomes["served"] += 1
            for action in self.balancer.handle(self.now, [event]):
                self.apply(action)
        self.now = end

    def apply(self, action: api.Action) -> None:
        """Record an action and schedule the event that follows from it."""
        match action:
            case api.StartAttempt():
                number = self.attempts[action.request]
                self.attempts[action.request] += 1
                self.sent.append((self.now, action.upstream))
                self.by_key[self.request_keys[action.request], action.upstream] += 1
                result, duration_ns = self.simulate_attempt(action.upstream, self.now)
                self.schedule(
                    self.now + duration_ns,
                    api.AttemptFinished(
                        action.request, number, action.upstream, result, duration_ns
                    ),
                )
            case api.RejectRequest() | api.FailRequest():
                self.open_requests.discard(action.request)
                self.outcomes["refused" if isinstance(action, api.RejectRequest) else "failed"] += 1
            case api.SetTimer():
                self.schedule(self.now + action.delay_ns, api.TimerFired(action.name))
            case _:
                pass

    def fraction_sent_to(self, upstreams: set[int], since: int) -> float:
        """Return the fraction of attempts since a time that went to these upstreams."""
        sent = [to for at, to in self.sent if at >= since]
        return sum(to in upstreams for to in sent) / len(sent)


def test_half_failing_upstream_is_avoided_and_used_again_after_recovery() -> None:
    """Guards against a fault observed with 40 proxies during the loss of a zone.

    A third of all attempts went to upstreams that failed immediately.
    """
    shares_while_failing, shares_after_recovery = [], []
    for seed in range(1, 6):
        chance = random.Random(seed)
        failing = {1}

        def simulate_attempt(
            upstream: int, now: int, chance: random.Random = chance, failing: set[int] = failing
        ) -> SimulatedResult:
            if upstream in failing and chance.random() < 0.5:
                return api.AttemptResult.ERROR, 2 * MS
            return api.AttemptResult.OK, int(chance.uniform(30, 90) * MS)

        proxy = SimulatedProxy([api.Upstream(n) for n in range(1, 10)], simulate_attempt, seed=seed)
        proxy.run_load(6, 25)
        shares_while_failing.append(9 * proxy.fraction_sent_to({1}, proxy.now - 4 * SECOND))
        failing.clear()
        proxy.run_load(20, 25)
        shares_after_recovery.append(9 * proxy.fraction_sent_to({1}, proxy.now - 12 * SECOND))
    assert sum(shares_while_failing) / 5 < 0.5, shares_while_failing  # of its fair share
    assert sum(shares_after_recovery) / 5 > 0.7, shares_after_recovery


def test_small_overloaded_zone_spills_traffic_to_other_zones() -> None:
    """Guards against a fault observed with 40 proxies, 15 of them in a zone with 8 upstreams.

    The 15 proxies kept four requests in flight at each of the 8 upstreams and rejected half of
    their requests, but never used the other 52 upstreams, which had one request in flight.
    """
    fleet = [api.Upstream(n, zone="a" if n <= 8 else "bcd"[n % 3]) for n in range(1, 61)]
    local = set(range(1, 9))
    for index in (0, 7, 23):
        chance = random.Random(index)

        def simulate_attempt(
            upstream: int, now: int, chance: random.Random = chance
        ) -> SimulatedResult:
            slowdown = 4 if upstream in local else 1  # caused by the other proxies of the zone
            return api.AttemptResult.OK, int(slowdown * chance.uniform(40, 90) * MS)

        proxy = SimulatedProxy(
            fleet, simulate_attempt, proxies=40, seed=index, index=index, zone="a"
        )
        proxy.run_load(10, 30)
        assert proxy.fraction_sent_to(local, proxy.now - 4 * SECOND) < 0.4, index
        assert proxy.outcomes["refused"] < 0.2 * proxy.outcomes["served"], index


def test_zone_with_spare_capacity_keeps_its_traffic() -> None:
    fleet = [api.Upstream(n, zone="abcd"[n % 4]) for n in range(1, 61)]
    chance = random.Random(1)
    proxy = SimulatedProxy(
        fleet,
        lambda upstream, now: (api.AttemptResult.OK, int(chance.uniform(40, 90) * MS)),
        proxies=40,
        index=5,
        zone="a",
    )
    proxy.run_load(10, 20)
    assert proxy.fraction_sent_to(set(range(4, 61, 4)), SECOND) > 0.5


def test_avoided_cold_upstreams_with_requests_count_in_the_window() -> None:
    """Guards against a fault observed when six in ten upstreams were replaced.

    A cold upstream is avoided until its next attempt is due. While it has a request in flight, it
    must count towards the concurrency window, which that request occupies.
    """
    cold = {5, 6, 7, 8, 9}
    fleet = [api.Upstream(n, started_ns=SECOND // 2 if n in cold else 0) for n in range(1, 10)]
    proxy = SimulatedProxy(
        fleet,
        lambda upstream, now: (api.AttemptResult.OK, 300 * MS if upstream in cold else 60 * MS),
        proxies=9,
    )
    proxy.run_load(1, 40)
    pool = proxy.balancer.upstream_set.main_pool
    availability = pool.availability
    avoided = [s for s in pool.candidates[: pool.width] if availability.is_avoided(s, proxy.now)]
    assert any(s.in_flight for s in avoided)
    assert pool.available_count(proxy.now) == pool.width - sum(not s.in_flight for s in avoided)


def test_malformed_endpoint_lists_keep_routing_working() -> None:
    """Lists with duplicate ids, a zone of one upstream, a future start, or thousands of entries.

    Deltas also remove or drain upstreams that were never listed.
    """
    malformed = [
        api.Upstream(1, zone="a"),
        api.Upstream(1, zone="b"),
        api.Upstream(2, zone="nowhere"),
        api.Upstream(3, zone="a", started_ns=3600 * SECOND),
    ]
    for fleet in (
        malformed,
        malformed + [api.Upstream(n, zone="abc"[n % 3]) for n in range(10, 5000)],
    ):
        proxy = SimulatedProxy(
            fleet,
            lambda upstream, now: (api.AttemptResult.OK, 50 * MS),
            proxies=40,
            index=39,
            zone="a",
        )
        proxy.run_load(1, 20)
        proxy.schedule(
            proxy.now,
            api.EndpointsUpdated(
                api.EndpointListKind.DELTA,
                [
                    api.Upstream(7000, api.UpstreamState.REMOVED),
                    api.Upstream(7001, api.UpstreamState.DRAINING),
                    malformed[0],
                    malformed[0],
                ],
            ),
        )
        before = proxy.outcomes["served"]
        proxy.run_load(1, 20)
        assert proxy.outcomes["served"] - before >= 10
        assert {to for _, to in proxy.sent} <= {u.id for u in fleet}


def test_independent_proxies_send_a_key_to_the_same_few_upstreams() -> None:
    """Requests of one key should reach the same few upstreams, whose caches hold few keys.

    Guards against choosing upstreams at random from subsets of four, which differ between proxies:
    each key then reached all upstreams of a large fleet.
    """
    fleet = [api.Upstream(n) for n in range(1, 121)]
    keys = [f"order:{n}" for n in range(40)]
    total: Counter[tuple[str, int]] = Counter()
    for index in range(0, 180, 15):
        chance = random.Random(index)

        def simulate_attempt(
            upstream: int, now: int, chance: random.Random = chance
        ) -> SimulatedResult:
            return api.AttemptResult.OK, int(chance.uniform(60, 140) * MS)

        proxy = SimulatedProxy(fleet, simulate_attempt, proxies=180, seed=index, index=index)
        proxy.run_load(30, 10, keys)
        total += proxy.by_key
    sent_to_top_eight = sum(
        sum(sorted((total[key, u.id] for u in fleet), reverse=True)[:8]) for key in keys
    )
    assert (
        sent_to_top_eight / sum(total.values()) > 0.6
    )  # with random choice, 8 of 120 upstreams get about 0.2


def test_hot_key_does_not_overload_its_upstreams() -> None:
    chance = random.Random(4)
    open_attempts: list[tuple[int, int]] = []  # (end time, upstream)

    def simulate_attempt(upstream: int, now: int) -> SimulatedResult:
        held = 1 + sum(other == upstream and until > now for until, other in open_attempts)
        duration_ns = int(held * chance.uniform(40, 80) * MS)
        open_attempts.append((now + duration_ns, upstream))
        return api.AttemptResult.OK, duration_ns

    proxy = SimulatedProxy([api.Upstream(n) for n in range(1, 13)], simulate_attempt)
    proxy.run_load(20, 60, ["order:1"] * 9 + ["order:2"])
    to = Counter(upstream for _, upstream in proxy.sent)
    assert max(to.values()) < 0.3 * len(proxy.sent), to
    assert proxy.outcomes["served"] > 0.95 * proxy.outcomes.total()


def test_unlimited_keys_use_bounded_memory_and_unusual_keys_are_served() -> None:
    """New keys never stop arriving, and clients send keys that are not text or very long."""
    proxy = SimulatedProxy(
        [api.Upstream(n) for n in range(1, 13)], lambda upstream, now: (api.AttemptResult.OK, MS)
    )
    proxy.run_load(5, 40, ["\ud800", "x" * 60_000, "\x00", " ", "é" * 300])
    assert proxy.outcomes["served"] == proxy.outcomes.total() > 100
    pool = proxy.balancer.upstream_set.main_pool
    for n in range(3 * MAX_CACHED_KEYS):
        pool.key_upstreams(f"{n}" * 100)
    assert len(pool.by_key) <= MAX_CACHED_KEYS and all(
        isinstance(cached, int) for cached in pool.by_key
    )


def test_subset_shrinks_during_fleet_replacement_and_grows_afterwards() -> None:
    """New upstreams have no cached keys, and a larger subset takes longer to measure.

    So the subset is small while many upstreams are new, and large again afterwards.
    """
    proxy = SimulatedProxy(
        [api.Upstream(n) for n in range(1, 121)],
        lambda upstream, now: (api.AttemptResult.OK, 80 * MS),
        proxies=180,
    )
    proxy.run_until(2 * SECOND)
    large = proxy.balancer.upstream_set.main_pool.subset_size
    fresh = [api.Upstream(n, started_ns=2 * SECOND) for n in range(200, 240)]
    proxy.schedule(2 * SECOND, api.EndpointsUpdated(api.EndpointListKind.DELTA, fresh))
    proxy.run_until(3 * SECOND)
    small = proxy.balancer.upstream_set.main_pool.subset_size
    # While the subset is small, random choices still use as many candidates as before, because the
    # few upstreams of a proxy's subset are in other proxies' subsets as well.
    for second in range(4, 25):
        proxy.schedule(second * SECOND, api.EndpointsUpdated(api.EndpointListKind.DELTA, []))
        proxy.run_until(second * SECOND)
    assert proxy.balancer.upstream_set.main_pool.width >= 40
    proxy.schedule(40 * SECOND, api.EndpointsUpdated(api.EndpointListKind.DELTA, []))
    proxy.run_until(41 * SECOND)
    assert (large, small, proxy.balancer.upstream_set.main_pool.subset_size) == (30, 5, 40)


def test_response_has_more_weight_after_a_longer_pause() -> None:
    """In a subset of thirty, each upstream gets a request only every few seconds.

    Detecting that an upstream became slow must not take ten responses.
    """

    def service_time_after(pause: int) -> float:
        slow = [False]
        proxy = SimulatedProxy(
            [api.Upstream(1)],
            lambda upstream, now: (api.AttemptResult.OK, (250 if slow[0] else 50) * MS),
        )
        proxy.run_load(10, 5)
        slow[0] = True
        at = proxy.now + pause
        proxy.schedule(at, api.RequestArrived("last", "look", "t0", at + 900 * MS))
        proxy.request_keys["last"] = ""
        proxy.run_until(at + SECOND)
        return proxy.balancer.upstream_set.upstreams[1].relative_service_time

    without_pause, with_pause = service_time_after(0), service_time_after(4 * SECOND)
    assert without_pause < 2.2 and with_pause > 2.4, (without_pause, with_pause)


def test_start_time_in_the_future_is_accepted_without_slow_start() -> None:
    """Start times in a shared list are rounded and can be in the future.

    Guards against dropping such a list when slow start is disabled.
    """
    harness = PolicyHarness(settings(rules=api.TrafficRules(slow_start_ns=0)), servers=0)
    harness.deliver(
        api.EndpointsUpdated(
            api.EndpointListKind.FULL, [api.Upstream(1, started_ns=harness.now + 40 * MS)]
        )
    )
    harness.deliver(
        api.EndpointsUpdated(
            api.EndpointListKind.FULL, [api.Upstream(1, started_ns=harness.now + 90 * MS)]
        )
    )
    assert [s.id for s in harness.balancer.upstream_set.ready] == [1]
