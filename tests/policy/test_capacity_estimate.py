"""What a warm upstream is taken to serve: from responses and service times, never from failures."""

from __future__ import annotations

import pytest

from loadbalancer.policy import Balancer, api
from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.capacity_estimate import CapacityEstimate
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.transitions import SlowStartBegan
from loadbalancer.policy.upstream_stats import UpstreamStats

SECOND, MS = 1_000_000_000, 1_000_000
SERVICE_NS = 100 * MS  # so that one request at a time is 10 a second


def estimate(
    proxies: int = 40, upstreams: int = 20, service_ns: int = SERVICE_NS
) -> CapacityEstimate:
    """An estimate of a proxy that has measured the service time well."""
    concurrency = ConcurrencyLimit()
    upstream = UpstreamStats(1, api.Upstream(1))
    for _ in range(100):
        concurrency.record_duration(Attempt(upstream, 0, 1.0, 1.0), service_ns)
    capacity = CapacityEstimate(concurrency, proxies)
    capacity.ready_count = upstreams
    return capacity


def serve(capacity: CapacityEstimate, per_s: int, seconds: int) -> None:
    """Let the proxy serve this many requests a second, for this long."""
    for second in range(1, seconds + 1):
        for _ in range(per_s):
            capacity.record_response(SERVICE_NS)
        capacity.update(second * SECOND)


@pytest.mark.parametrize(
    ("served_per_s", "expected"),
    [
        (0, 10.0),  # at least one request in a service time
        (7, 14.0),  # what 40 proxies like this one serve at 20 upstreams
        (9, 18.0),
        (30, 20.0),  # a proxy that sees several times the mean
    ],
)
def test_capacity_follows_from_responses_between_bounds_of_the_service_time(
    served_per_s: int, expected: float
) -> None:
    capacity = estimate()
    serve(capacity, served_per_s, 30)
    assert capacity.per_s() == pytest.approx(expected, rel=0.01)


def test_an_overload_is_no_smaller_capacity() -> None:
    capacity = estimate()
    serve(capacity, 8, 30)
    before = capacity.per_s()
    upstream = UpstreamStats(1, api.Upstream(1))
    for second in range(31, 36):
        for _ in range(8):
            attempt = Attempt(upstream, 0, 1.0, 1.0)
            capacity.concurrency.record_duration(attempt, 10 * SERVICE_NS)
        for _ in range(8):
            capacity.record_response(SERVICE_NS)
        capacity.update(second * SECOND)
    assert capacity.per_s() == pytest.approx(before, rel=0.25)


# Guards against a balancer that takes attempts given up early for fast upstreams.
def test_only_timeouts_longer_than_the_service_time_change_it() -> None:
    capacity = estimate()
    concurrency = capacity.concurrency
    attempt = Attempt(UpstreamStats(1, api.Upstream(1)), 0, 1.0, 1.0)
    measured_ns = concurrency.per_request_ns
    for _ in range(50):
        concurrency.record_timeout(attempt, 10 * MS)
    assert concurrency.per_request_ns == measured_ns
    concurrency.record_timeout(attempt, 900 * MS)
    assert concurrency.per_request_ns > measured_ns


# Guards against a balancer that has just started and takes upstreams for very fast.
def test_a_process_without_samples_assumes_the_shortest_objective_as_service_time() -> None:
    settings = api.Settings(
        instance_count=200,
        classes={"read": api.RequestClass("read", latency_objective_ns=400 * MS)},
        rules=api.TrafficRules(slow_start_ns=8 * SECOND),
    )
    balancer = Balancer(settings, seed=1, now=0)
    cold = api.Upstream(9, started_ns=SECOND)
    balancer.handle(SECOND, [api.EndpointsUpdated(api.EndpointListKind.FULL, [cold])])
    [began] = balancer.transitions
    assert isinstance(began, SlowStartBegan)
    assert began.capacity_per_s == pytest.approx(2.5)


def test_first_responses_bound_the_assumed_service_time_until_one_is_measured() -> None:
    capacity = CapacityEstimate(ConcurrencyLimit(), proxies=40)
    capacity.assumed_service_ns = 400.0 * MS
    assert capacity.per_s() == pytest.approx(2.5)
    capacity.record_response(900 * MS)  # the setup of its connection took long
    assert capacity.per_s() == pytest.approx(2.5)
    for _ in range(9):
        capacity.record_response(100 * MS)
    assert capacity.per_s() == pytest.approx(10 / 1.8)


# Guards against a balancer that takes failed and refused attempts for capacity.
@pytest.mark.parametrize(
    "result",
    [
        api.AttemptResult.REJECTED,
        api.AttemptResult.ERROR,
        api.AttemptResult.TIMEOUT,
        api.AttemptResult.CONNECT_FAILED,
        api.AttemptResult.RESET,
        api.AttemptResult.CANCELLED,
    ],
)
def test_attempts_without_a_response_do_not_raise_the_pace_of_slow_start(
    result: api.AttemptResult,
) -> None:
    gap_without_load_ns = gap_after(0, result)
    assert gap_after(50, result) >= gap_without_load_ns


def gap_after(per_second: int, result: api.AttemptResult) -> int:
    """Return the gap at a cold upstream after 5 s in which each attempt ends with this result."""
    settings = api.Settings(
        instance_count=100,
        classes={"read": api.RequestClass("read", api.Effect.IDEMPOTENT)},
        rules=api.TrafficRules(slow_start_ns=8 * SECOND),
    )
    balancer = Balancer(settings, seed=1, now=0)
    fleet = [api.Upstream(number) for number in range(1, 9)]
    balancer.handle(0, [api.EndpointsUpdated(api.EndpointListKind.FULL, fleet)])
    now = 0
    for number in range(5 * per_second):
        now = number * SECOND // per_second
        arrival = api.RequestArrived(f"r{number}", "read", "", deadline_ns=now + SECOND)
        actions = balancer.handle(now, [arrival])
        for start in [a for a in actions if isinstance(a, api.StartAttempt)]:
            number_of_attempt = len(balancer.requests[start.request].attempts) - 1
            finished = api.AttemptFinished(
                start.request, number_of_attempt, start.upstream, result, 2 * MS, True
            )
            balancer.handle(now + 2 * MS, [finished])
    cold = api.Upstream(9, started_ns=6 * SECOND)
    balancer.handle(6 * SECOND, [api.EndpointsUpdated(api.EndpointListKind.DELTA, [cold])])
    upstream_set = balancer.upstream_set
    return upstream_set.slow_start.gap_ns(upstream_set.upstreams[9], 6 * SECOND)
