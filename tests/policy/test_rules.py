"""Tests of each rule through the policy interface, with scripted and random event sequences."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from loadbalancer.policy import Attempt, Balancer, api
from tests.bench import (
    BIG_ONLY,
    CELL_SCOPED,
    GLOBAL_SCOPED,
    KEY_ORDERED,
    MS,
    PAY,
    READ,
    SECOND,
    START,
    WEST_ONLY,
    PolicyHarness,
    arrival,
    check_slow_start_budget,
    mixed_upstreams,
    of_type,
    settings,
    upstreams,
)


def test_successful_attempt_completes_the_request() -> None:
    harness = PolicyHarness()
    assert len(of_type(api.StartAttempt, harness.deliver(arrival(1, harness.now)))) == 1
    assert not of_type(api.FailRequest, harness.finish("r1")) and harness.outcome["r1"] == "served"


@pytest.mark.parametrize("cls", [READ, PAY, CELL_SCOPED, GLOBAL_SCOPED])
def test_request_is_rejected_before_its_deadline_without_upstreams(cls: api.RequestClass) -> None:
    harness = PolicyHarness(servers=0)
    harness.deliver(api.EndpointsUpdated(api.EndpointListKind.CACHED), arrival(1, harness.now, cls))
    harness.advance(600 * MS)
    assert harness.outcome["r1"] == "refused"


def test_disabled_upstream_gets_no_requests_even_if_listed_as_ready() -> None:
    """Neither queued requests, retries nor a new endpoint list use a disabled upstream.

    Once it is enabled again, it is in slow start.
    """
    harness = PolicyHarness(servers=2)
    disabled, other = (u.id for u in upstreams(2))
    harness.deliver(api.UpstreamDisabled(disabled))
    harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(1, 9)))
    harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(2)))
    for number in range(1, 30):
        harness.deliver(arrival(number, harness.now))
        harness.advance(20 * MS)
        assert {upstream.id for upstream, _ in harness.sends[f"r{number}"]} == {other}
        harness.finish(f"r{number}")
    harness.deliver(
        api.EndpointsUpdated(
            api.EndpointListKind.DELTA, [api.Upstream(other, api.UpstreamState.DRAINING)]
        )
    )
    harness.deliver(arrival(100, harness.now))
    harness.advance(600 * MS)
    assert harness.outcome["r100"] == "refused"
    harness.deliver(api.UpstreamDisabled(disabled, False))
    upstream_set = harness.balancer.upstream_set
    assert upstream_set.upstreams[disabled].is_usable and upstream_set.slow_start.is_active(
        upstream_set.upstreams[disabled], harness.now
    )
    harness.advance(600 * MS)
    harness.deliver(arrival(101, harness.now))
    harness.advance(100 * MS)
    assert [upstream.id for upstream, _ in harness.sends["r101"]] == [disabled]


def test_reenabled_upstream_is_in_the_candidates_of_a_proxy() -> None:
    """A proxy also uses a re-enabled upstream that is outside its subset."""
    harness = PolicyHarness(settings(instance_count=20), servers=30)
    pool = harness.balancer.upstream_set.main_pool
    outside_subset = pool.all_upstreams()[-1].id
    assert outside_subset not in {s.id for s in pool.candidates[: pool.width]}
    harness.deliver(api.UpstreamDisabled(outside_subset))
    harness.deliver(api.UpstreamDisabled(outside_subset, False))
    harness.advance(5 * SECOND)
    assert outside_subset in {s.id for s in pool.candidates[: pool.width]}


def test_incomplete_body_is_not_in_flight_and_its_deadline_starts_at_body_end() -> None:
    """A slow client's upload neither occupies the concurrency limit nor fails its upstream."""
    harness = PolicyHarness(servers=1)
    b = harness.balancer
    incomplete_request = arrival(1, harness.now, PAY)._replace(
        deadline_ns=harness.now + 600 * SECOND, body_complete=False
    )
    assert harness.deliver(incomplete_request)
    ((sent_to, _),) = harness.sends["r1"]
    server = b.upstream_set.upstreams[sent_to.id]
    assert (b.concurrency.in_flight, server.in_flight) == (0, 0)
    harness.advance(20 * SECOND)
    assert (
        "r1" not in harness.outcome and not server.failure_count
    )  # a slow client does not count as an upstream failure
    harness.deliver(api.BodyCompleted("r1", harness.now + PAY.deadline_ns, harness.now, False))
    assert (b.concurrency.in_flight, server.in_flight) == (1, 1)
    harness.finish(
        "r1", api.AttemptResult.REJECTED
    )  # it never ran, but its streamed body cannot be sent again
    assert (b.concurrency.in_flight, server.in_flight) == (0, 0)
    assert harness.outcome["r1"] == "refused" and len(harness.sends["r1"]) == 1


def test_request_is_rejected_when_all_upstreams_are_draining() -> None:
    harness = PolicyHarness()
    harness.deliver(
        api.EndpointsUpdated(
            api.EndpointListKind.DELTA,
            [u._replace(state=api.UpstreamState.DRAINING) for u in upstreams(6)],
        )
    )
    harness.deliver(arrival(1, harness.now, PAY))
    harness.advance(600 * MS)
    assert harness.outcome["r1"] == "refused" and "r1" not in harness.sends


def test_non_idempotent_request_fails_when_its_attempt_times_out() -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now, PAY))
    harness.advance(600 * MS)
    assert harness.outcome["r1"] == "failed" and len(harness.sends["r1"]) == 1


@pytest.mark.parametrize("result", [api.AttemptResult.REJECTED, api.AttemptResult.CONNECT_FAILED])
def test_non_idempotent_request_is_retried_if_it_never_ran(result: api.AttemptResult) -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now, PAY))
    harness.now += MS
    harness.finish("r1", result)
    assert len(harness.sends["r1"]) == 2


@pytest.mark.parametrize(
    "result", [api.AttemptResult.ERROR, api.AttemptResult.RESET, api.AttemptResult.CANCELLED]
)
def test_non_idempotent_request_fails_if_it_may_have_run(result: api.AttemptResult) -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now, PAY))
    harness.now += MS
    harness.finish("r1", result)
    assert harness.outcome["r1"] == "failed"


def test_attempts_are_limited_to_max_attempts() -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now, READ))
    for _ in range(3):
        harness.now += MS
        if "r1" not in harness.outcome:
            harness.finish("r1", api.AttemptResult.REJECTED)
    harness.advance(600 * MS)
    assert harness.outcome["r1"] == "refused" and len(harness.sends["r1"]) <= 3


def test_every_request_is_answered_when_the_queue_stalls() -> None:
    harness = PolicyHarness(servers=1)
    for i in range(30):
        harness.deliver(arrival(i, harness.now))
    harness.advance(700 * MS)
    assert len(harness.outcome) == 30


def test_short_deadlines_are_answered_while_the_queue_is_blocked() -> None:
    # Guards against a timer that fires slightly early and is ignored as outdated: no further timer
    # was set, and the queue was never processed again.
    harness = PolicyHarness(servers=1)
    harness.deliver(arrival(1, harness.now))
    for i in range(2, 40):
        harness.deliver(arrival(i, harness.now, wait_ns=3 * MS))
        early = [t for t in harness.timers]
        harness.timers = [(at - 300, name) for at, name in early]
        harness.advance(30 * MS, step_ns=MS)
    harness.advance(SECOND)
    assert len(harness.outcome) == 39


def test_draining_upstreams_get_no_new_requests() -> None:
    harness = PolicyHarness()
    harness.deliver(
        api.EndpointsUpdated(
            api.EndpointListKind.DELTA,
            [u._replace(state=api.UpstreamState.DRAINING) for u in upstreams(5)],
        )
    )
    for i in range(20):
        harness.deliver(arrival(i, harness.now))
        harness.advance(20 * MS)
        for request, number in harness.open_attempts():
            harness.finish(request, number=number)
    assert {u.id for sent in harness.sends.values() for u, _ in sent} == {6}


def test_upstreams_missing_from_a_full_list_get_no_requests() -> None:
    harness = PolicyHarness()
    harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(1)))
    for i in range(5):
        harness.deliver(arrival(i, harness.now))
        harness.finish(f"r{i}")
    assert {u.id for sent in harness.sends.values() for u, _ in sent} == {1}


def test_cold_upstreams_get_one_request_at_a_time() -> None:
    harness = PolicyHarness(servers=0)
    harness.deliver(
        api.EndpointsUpdated(api.EndpointListKind.CACHED, upstreams(4, started_ns=START - MS))
    )
    for i in range(40):
        harness.deliver(arrival(i, harness.now))
        harness.advance(5 * MS)
        in_flight_by_upstream: dict[int, int] = {}
        for request, number in harness.open_attempts():
            upstream = harness.sends[request][number][0].id
            in_flight_by_upstream[upstream] = in_flight_by_upstream.get(upstream, 0) + 1
        assert max(in_flight_by_upstream.values(), default=0) <= 1


def test_slow_start_budget_is_divided_among_proxies() -> None:
    # Guards against forty proxies that each send a few requests to a cold upstream and together
    # overload it.
    sent = []
    for proxies in (1, 40):
        harness = PolicyHarness(settings(instance_count=proxies), servers=0)
        harness.deliver(
            api.EndpointsUpdated(api.EndpointListKind.CACHED, upstreams(6, started_ns=START - MS))
        )
        for i in range(100):
            harness.deliver(arrival(i, harness.now))
            harness.advance(5 * MS)
            for request, number in harness.open_attempts():
                harness.finish(request, number=number)
        sent.append(sum(map(len, harness.sends.values())))
    assert sent[1] < sent[0] / 2


def probing_harness(servers: int = 6) -> PolicyHarness:
    """Return a harness whose balancer may probe upstreams for inflight and queue."""
    limits = api.Limits(max_attempts=3, probes=True, may_cancel=True)
    return PolicyHarness(
        settings(limits=limits, report_columns=("inflight", "queue")), servers=servers
    )


def test_sampled_upstreams_are_probed_and_the_least_loaded_is_chosen() -> None:
    # With many proxies, a proxy's own in-flight counts are a poor measure of an upstream's load, so
    # the load that the upstreams report decides.
    harness = probing_harness()
    probed = [
        a.upstream
        for a in harness.deliver(arrival(1, harness.now))
        if isinstance(a, api.CheckHealth)
    ]
    assert probed and "r1" not in harness.sends
    harness.now += MS
    harness.deliver(
        *(
            api.HealthCheckFinished(u, api.AttemptResult.OK, MS, {"inflight": float(i)})
            for i, u in enumerate(probed)
        )
    )
    assert harness.sends["r1"][0][0].id == probed[0]


def test_request_is_sent_when_a_load_report_is_lost() -> None:
    harness = probing_harness()
    harness.deliver(arrival(1, harness.now))
    harness.advance(20 * MS)
    assert len(harness.sends["r1"]) == 1


def test_request_is_rejected_when_all_probed_upstreams_are_overloaded() -> None:
    harness = probing_harness()
    probed = [
        a.upstream
        for a in harness.deliver(arrival(1, harness.now))
        if isinstance(a, api.CheckHealth)
    ]
    harness.now += MS
    harness.deliver(
        *(api.HealthCheckFinished(u, api.AttemptResult.OK, MS, {"inflight": 500.0}) for u in probed)
    )
    assert harness.outcome["r1"] == "refused"


def test_idle_upstream_is_tried_despite_a_high_service_time() -> None:
    # Guards against rejections under low load: one heavy request raised the upstream's estimated
    # service time.
    harness = probing_harness(servers=1)
    harness.balancer.upstream_set.upstreams[1].relative_service_time = 9.0
    harness.deliver(arrival(1, harness.now, wait_ns=100 * MS))
    harness.deliver(api.HealthCheckFinished(1, api.AttemptResult.OK, MS, {"inflight": 0.0}))
    assert len(harness.sends["r1"]) == 1


def test_probes_are_skipped_if_expensive_or_without_load_columns() -> None:
    limits = api.Limits(max_attempts=3, probes=True)
    expensive = settings(limits=limits, report_columns=("inflight",), prices=api.Prices(probe=0.05))
    for config in (expensive, settings(limits=limits, report_columns=("util",))):
        harness = PolicyHarness(config)
        harness.deliver(arrival(1, harness.now))
        assert "r1" in harness.sends and not of_type(api.CheckHealth, harness.emitted_actions)


def test_simultaneous_timeouts_count_as_one_failure() -> None:
    # Guards against a short stall of one upstream that times out all its requests: counted one by
    # one, these failures caused the upstream to be avoided for seconds.
    harness = PolicyHarness(servers=1)
    for i in range(6):
        harness.deliver(arrival(i, harness.now, wait_ns=100 * MS))
    harness.advance(150 * MS)
    server = harness.balancer.upstream_set.upstreams[1]
    assert server.failure_count <= 2


def test_late_attempt_is_cancelled_only_when_requests_are_queued() -> None:
    # A late response has no value, so the attempt is cancelled when queued requests need its slot.
    # Without queued requests it may finish for the client, since most of the work is already done.
    harness = PolicyHarness(servers=1)
    harness.deliver(arrival(1, harness.now, READ))
    harness.advance(READ.latency_objective_ns + 100 * MS)
    assert not of_type(api.CancelAttempt, harness.emitted_actions) and "r1" not in harness.outcome
    for i in range(2, 12):
        harness.deliver(arrival(i, harness.now, READ, wait_ns=2 * SECOND))
    harness.advance(50 * MS)
    assert of_type(api.CancelAttempt, harness.emitted_actions)[0] == api.CancelAttempt("r1", 0)
    harness.finish("r1", api.AttemptResult.CANCELLED)
    assert harness.outcome["r1"] == "refused"


def test_attempt_timeout_is_the_latency_objective_if_attempts_cannot_be_cancelled() -> None:
    harness = PolicyHarness(settings(limits=api.Limits(max_attempts=3)))
    sends = [
        a for a in harness.deliver(arrival(1, harness.now, READ)) if isinstance(a, api.StartAttempt)
    ]
    assert sends[0].timeout_ns == READ.latency_objective_ns


def test_non_idempotent_requests_avoid_a_partly_failing_upstream() -> None:
    harness = PolicyHarness(servers=6)
    run_rounds(
        harness,
        150,
        lambda server, n: (
            api.AttemptResult.ERROR if server == 2 and n % 2 else api.AttemptResult.OK
        ),
    )
    assert harness.balancer.upstream_set.upstreams[2].error_rate > 0.1
    before = len(harness.sends)
    for i in range(120):
        harness.deliver(arrival(f"p{i}", harness.now, PAY))
        harness.finish(f"rp{i}")
        harness.advance(5 * MS)
    sent = [harness.sends[f"rp{i}"][0][0].id for i in range(120)]
    assert len(harness.sends) == before + 120 and sent.count(2) <= 2


def test_requests_are_hedged_after_two_consecutive_late_responses() -> None:
    harness = PolicyHarness(servers=6)
    run_rounds(harness, 40, lambda server, n: api.AttemptResult.OK)
    harness.deliver(arrival("long", harness.now, READ, wait_ns=2 * SECOND))
    harness.advance(READ.latency_objective_ns // 2)
    assert len(harness.sends["rlong"]) == 1
    server = harness.sends["rlong"][0][0].id
    harness.finish("rlong", api.AttemptResult.TIMEOUT)
    # The next attempts at this upstream get no response either, while the other upstreams respond.
    for i in range(200):
        harness.deliver(
            *(arrival(f"s{i}-{j}", harness.now, READ, wait_ns=2 * SECOND) for j in range(5))
        )
        harness.advance(5 * MS)
        for request, number in harness.open_attempts():
            if harness.sends[request][number][0].id != server:
                harness.finish(request, api.AttemptResult.OK, number)
    hedged = [
        name for name, sends in harness.sends.items() if name.startswith("rs") and len(sends) == 2
    ]
    assert hedged and all(harness.sends[name][0][0].id == server for name in hedged)


def test_local_zone_is_preferred_up_to_its_capacity() -> None:
    two_zones = [u._replace(zone=("east", "west")[u.id % 2]) for u in upstreams(8)]
    harness = PolicyHarness(settings(prices=api.Prices(cross_zone=0.03)), servers=0)
    harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FULL, two_zones))
    local_count = 0
    for i in range(100):
        harness.deliver(arrival(i, harness.now))
        local_count += harness.sends[f"r{i}"][0][0].zone == "east"
        harness.advance(5 * MS)
        harness.finish(f"r{i}")
    assert local_count >= 75
    zones: set[str] = set()
    for round_number in range(
        10
    ):  # six concurrent requests exceed the capacity of the four local upstreams
        names = [f"m{round_number}-{i}" for i in range(6)]
        harness.deliver(*(arrival(name, harness.now) for name in names))
        zones |= {
            harness.sends[f"r{name}"][0][0].zone for name in names if f"r{name}" in harness.sends
        }
        harness.advance(5 * MS)
        for request, number in harness.open_attempts():
            harness.finish(request, api.AttemptResult.OK, number)
    assert zones == {"east", "west"}


def test_subsets_cover_all_upstreams_evenly() -> None:
    # All proxies compute the same ring; each takes its own section and the upstreams after it.
    subset_members: list[int] = []
    for instance in range(10):
        b = Balancer(settings(instance_index=instance, instance_count=10), 1, START)
        b.handle(START, [api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(100))])
        subset_members += [
            s.id
            for s in b.upstream_set.main_pool.candidates[: b.upstream_set.main_pool.subset_size]
        ]
    proxies_per_upstream = Counter(subset_members)
    assert (
        set(proxies_per_upstream) == set(range(1, 101))
        and max(proxies_per_upstream.values()) - min(proxies_per_upstream.values()) <= 1
    ), proxies_per_upstream


def test_subset_size_shrinks_as_proxies_increase() -> None:
    # Incident ib66e0d: an upstream in the subset of every proxy has many requests in flight that no
    # single proxy's count shows. A subset of a quarter of the fleet is large enough for requests of
    # one key to reach the same upstream again.
    sizes = {}
    for proxies in (3, 20, 400):
        b = Balancer(settings(instance_index=1, instance_count=proxies), 1, START)
        b.handle(START, [api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(30))])
        sizes[proxies] = b.upstream_set.main_pool.subset_size
    assert sizes == {3: 10, 20: 9, 400: 7}


def test_concurrency_limit_does_not_grow_before_the_first_responses() -> None:
    # Incident i4eb9e9: requests were queued at the start, and each limit was raised before the
    # requests sent under it had finished.
    harness = PolicyHarness(settings(instance_count=20))
    for i in range(300):
        harness.deliver(arrival(i, harness.now))
        harness.now += MS // 10
    assert len(harness.open_attempts()) <= 3


def test_initial_windows_of_all_proxies_sum_to_a_few_requests_per_upstream() -> None:
    # Incident i9559ec: 279 proxies with two requests each overloaded 42 upstreams in their first
    # seconds.
    for proxies in (1, 10, 100, 400):
        harness = PolicyHarness(settings(instance_count=proxies), servers=40)
        harness.deliver(*(arrival(i, harness.now) for i in range(400)))
        assert len(harness.open_attempts()) * proxies / 40 <= 8 + proxies / 40


@pytest.mark.parametrize(("proxies", "max_per_upstream"), [(2, 3.0), (4, 3.5), (16, 14.0)])
def test_fast_responses_do_not_grow_the_window_to_overload(
    proxies: int, max_per_upstream: float
) -> None:
    # Twelve upstreams with two cores each stayed slow for a long time once each had eight requests
    # in flight.
    harness = PolicyHarness(settings(instance_count=proxies), servers=12)
    concurrency, width = (
        harness.balancer.concurrency,
        harness.balancer.upstream_set.main_pool.subset_size,
    )
    for i in range(10_000):
        concurrency.update_window(0.01, True, width, harness.now + i * MS)
    assert concurrency.window * width * proxies / 12 <= max_per_upstream


def run_sequential_requests(harness: PolicyHarness, duration_ns: int, count: int = 40) -> None:
    """Run `count` requests one after another, each finishing after `duration_ns`."""
    for i in range(count):
        ident = f"{harness.now}-{i}"
        harness.deliver(arrival(ident, harness.now))
        harness.advance(duration_ns)
        if f"r{ident}" in harness.sends and (f"r{ident}", 0) in harness.open_attempts():
            harness.finish(f"r{ident}", number=0)


def test_window_shrinks_on_slow_responses_and_grows_on_fast_ones() -> None:
    harness = PolicyHarness(settings(instance_count=10))
    start = harness.balancer.concurrency.window
    run_sequential_requests(harness, 280 * MS)
    narrow_window = harness.balancer.concurrency.window
    run_sequential_requests(harness, 20 * MS, 200)
    assert narrow_window < start and narrow_window < harness.balancer.concurrency.window


def test_lost_responses_do_not_reduce_the_admission_rate() -> None:
    # Guards against a fault of the Bergen days with lost responses: the admission rate R fell
    # permanently although the responses that did arrive were fast.
    harness = PolicyHarness(settings(instance_count=10, limits=api.Limits(max_attempts=1)))
    for i in range(400):
        harness.deliver(arrival(i, harness.now, PAY))
        harness.advance(50 * MS)
        for request, number in harness.open_attempts():
            if int(request.removeprefix("r")) % 5:
                harness.finish(request, number=number)
    assert harness.balancer.rate_controller.rate > 50


def test_overdue_attempts_free_only_part_of_the_window() -> None:
    # One upstream that never responds must not block the requests to all others, and a slow fleet
    # must not raise the number of open attempts far above the window.
    for stress, more in ((1.0, 1), (0.1, 2)):
        harness = PolicyHarness(
            settings(instance_count=8), servers=4
        )  # a concurrency window of two
        harness.deliver(*(arrival(i, harness.now) for i in range(10)))
        assert len(harness.open_attempts()) == 2
        harness.balancer.concurrency.overdue, harness.balancer.concurrency.latency_ratio = 2, stress
        harness.deliver()
        assert len(harness.open_attempts()) == 2 + more


def test_queue_stays_short_for_a_class_with_a_long_latency_objective() -> None:
    # Incident i31aba8: requests with two seconds left filled the queue, and requests with a short
    # deadline were never admitted.
    slow = api.RequestClass("slow", api.Effect.IDEMPOTENT, latency_objective_ns=20 * SECOND)
    harness = PolicyHarness(
        settings(classes={"slow": slow, "read": READ}, instance_count=20), servers=1
    )
    for i in range(200):
        harness.deliver(arrival(i, harness.now, slow, wait_ns=20 * SECOND))
        harness.advance(10 * MS)
        for request, number in harness.open_attempts():
            if harness.now - harness.sends[request][number][1] >= 50 * MS:
                harness.finish(request, number=number)
    assert (
        len(harness.balancer.dispatcher.main_queue.waiting) < 20
        and "refused" in harness.outcome.values()
    )


def test_first_responses_have_more_weight_in_the_service_time() -> None:
    # Incident i530c5f: at two requests per second, the estimate of the service time needed many
    # seconds to become accurate.
    harness = PolicyHarness()
    for i in range(3):
        harness.deliver(arrival(i, harness.now))
        harness.now += 100 * MS
        harness.finish(f"r{i}")
    assert abs(harness.balancer.concurrency.per_request_ns - 100 * MS) < 10 * MS


def test_tenant_over_its_share_is_detected() -> None:
    harness = PolicyHarness(settings(instance_count=20), servers=1)
    for i in range(600):
        harness.deliver(
            *(
                arrival(f"{i}-{j}", harness.now, tenant="birch" if i % 10 == j == 0 else "ash")
                for j in range(3)
            )
        )
        harness.advance(5 * MS)
        for request, number in harness.open_attempts():
            if harness.now - harness.sends[request][number][1] >= 50 * MS:
                harness.finish(request, number=number)
    assert (
        harness.balancer.buckets["ash"].is_over_share
        and not harness.balancer.buckets["birch"].is_over_share
    )


@pytest.mark.parametrize(("waited_ms", "outcome"), [(100, None), (290, "refused")])
def test_request_that_already_waited_too_long_is_rejected_immediately(
    waited_ms: int, outcome: str | None
) -> None:
    harness = PolicyHarness()
    arrived_ns = harness.now - waited_ms * MS
    rejections = harness.deliver(
        arrival(1, arrived_ns, wait_ns=500 * MS)._replace(received_ns=arrived_ns)
    )
    assert harness.outcome.get("r1") == outcome and len(harness.sends) == (outcome is None)
    assert all(
        a.retry_after_ns > 0
        for a in of_type(api.RejectRequest, rejections)
        if isinstance(a, api.RejectRequest)
    )


def test_event_loop_delay_does_not_count_as_an_upstream_failure() -> None:
    for step_ns, avoided_count in (
        (5 * MS, 1),
        (120 * MS, 0),
    ):  # on time, and in one late event-loop iteration
        harness = PolicyHarness()
        harness.deliver(arrival(1, harness.now))
        harness.advance(120 * MS, step_ns)
        assert (
            sum(
                s.avoid_until_ns > harness.now
                for s in harness.balancer.upstream_set.upstreams.values()
            )
            == avoided_count
        )


def test_client_disconnect_ends_the_request() -> None:
    harness = PolicyHarness()
    harness.deliver(
        arrival(1, harness.now),
        api.ClientDisconnected("r1"),
        api.ClientDisconnected("r1"),
        api.ClientDisconnected("unknown"),
    )
    harness.advance(600 * MS)
    assert harness.outcome["r1"] == "gone"


def test_late_and_unknown_attempt_results_are_ignored() -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(1, harness.now))
    late = harness.result("r1", 0, api.AttemptResult.OK)
    harness.deliver(late)
    harness.balancer.handle(
        harness.now, [late, late._replace(request="unknown"), late._replace(upstream=99)]
    )


def test_poll_mode_subscribes_and_backs_off() -> None:
    harness = PolicyHarness(settings(discovery_push=False))
    assert not of_type(api.SubscribeEndpoints, harness.emitted_actions)
    harness.advance(5 * SECOND)
    assert len(of_type(api.SubscribeEndpoints, harness.emitted_actions)) == 1
    gaps, last = [], harness.now
    for _ in range(4):
        harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FAILED))
        before = len(of_type(api.SubscribeEndpoints, harness.emitted_actions))
        while len(of_type(api.SubscribeEndpoints, harness.emitted_actions)) == before:
            harness.advance(50 * MS)
            assert harness.now - last < 20 * SECOND
        gaps.append(harness.now - last)
        last = harness.now
    assert gaps[0] < gaps[2] and max(gaps) <= harness.config.rules.list_expiry_ns


def test_first_discovery_calls_are_spread_over_time() -> None:
    first_call_steps = set()
    for seed in range(10):
        b = Balancer(settings(discovery_push=False), seed, START)
        b.handle(START, [api.EndpointsUpdated(api.EndpointListKind.CACHED, upstreams(6))])
        first_call_steps.add(
            next(
                n
                for n in range(60)
                if of_type(api.SubscribeEndpoints, b.handle(START + n * 50 * MS, []))
            )
        )
    assert len(first_call_steps) > 5


def test_push_mode_never_calls_discovery() -> None:
    harness = PolicyHarness()
    harness.advance(5 * SECOND)
    assert not of_type(api.SubscribeEndpoints, harness.emitted_actions)


def test_missing_tenants_and_unknown_class_are_accepted() -> None:
    harness = PolicyHarness(settings(tenants={}))
    harness.deliver(arrival(1, harness.now, tenant=""))
    harness.finish("r1")
    b = Balancer(api.Settings(), 1, START)
    b.handle(
        START,
        [
            api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(2)),
            api.RequestArrived("x", "never-named", "nobody", START + SECOND),
        ],
    )


def test_retry_after_is_jittered() -> None:
    harness = PolicyHarness(servers=0)
    harness.deliver(*(arrival(i, harness.now) for i in range(30)))
    harness.advance(600 * MS)
    retry_after_values = {
        a.retry_after_ns for a in harness.emitted_actions if isinstance(a, api.RejectRequest)
    }
    assert len(retry_after_values) > 20


RESULTS = [api.AttemptResult.OK] * 6 + [
    r for r in api.AttemptResult if r is not api.AttemptResult.TIMEOUT
]


@hypothesis_settings(derandomize=True, deadline=None, max_examples=120)
@given(st.integers(0, 10**6), st.booleans(), st.booleans(), st.integers(1, 9))
def test_random_event_sequences_keep_the_rules(
    seed: int, hedging: bool, push: bool, servers: int
) -> None:
    rng = random.Random(seed)
    limits = api.Limits(
        max_attempts=rng.choice([1, 2, 3, 5]),
        may_hedge=hedging,
        may_cancel=rng.random() < 0.7,
        retry_after=True,
        probes=True,
        peers=True,
    )
    harness = PolicyHarness(
        settings(limits=limits, discovery_push=push, instance_count=rng.choice([1, 3, 40])),
        seed,
        servers,
    )
    pool = mixed_upstreams(servers)
    harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FULL, pool))
    for number in range(rng.randint(5, 120)):
        for _ in range(rng.choice([0, 1, 1, 2, 12])):
            cls = rng.choice(
                [
                    READ,
                    PAY,
                    CELL_SCOPED,
                    GLOBAL_SCOPED,
                    KEY_ORDERED,
                    KEY_ORDERED,
                    WEST_ONLY,
                    BIG_ONLY,
                ]
            )
            ident = f"{number}-{rng.random()}"
            harness.deliver(
                arrival(
                    ident,
                    harness.now,
                    cls,
                    rng.choice(["ash", "birch"]),
                    rng.choice([2, 40, 300, 900]) * MS,
                    rng.random() < 0.2,
                    rng.choice(["", "k1", "k2"]),
                )
            )
        for request, attempt in harness.open_attempts():
            if rng.random() < 0.4:
                harness.deliver(harness.result(request, attempt, rng.choice(RESULTS)))
        if rng.random() < 0.1:
            open_requests = [r for r in harness.request_classes if r not in harness.outcome]
            if open_requests:
                harness.deliver(api.ClientDisconnected(rng.choice(open_requests)))
        if rng.random() < 0.1:
            i = rng.randrange(len(pool))
            started = harness.now if rng.random() < 0.5 else pool[i].started_ns
            pool[i] = pool[i]._replace(
                state=rng.choice(list(api.UpstreamState)), started_ns=started
            )
            kind = rng.choice(
                [api.EndpointListKind.DELTA, api.EndpointListKind.FULL, api.EndpointListKind.CACHED]
            )
            harness.deliver(
                api.EndpointsUpdated(
                    kind, [pool[i]] if kind is api.EndpointListKind.DELTA else pool
                )
            )
        if not push and rng.random() < 0.05:
            harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FAILED))
        harness.advance(rng.choice([0, 1, 10, 50]) * MS)
    harness.advance(2 * SECOND)
    assert set(harness.outcome) == set(harness.request_classes)


# ---- placement (rule 6) --------------------------------------------------------------------------


@pytest.mark.parametrize(("cls", "ids"), [(WEST_ONLY, {1, 3, 5}), (BIG_ONLY, {1, 4, 5})])
def test_restricted_class_is_sent_only_to_allowed_upstreams(
    cls: api.RequestClass, ids: set[int]
) -> None:
    harness = PolicyHarness(servers=0)
    harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FULL, mixed_upstreams(6)))
    for i in range(60):
        harness.deliver(arrival(i, harness.now, cls))
        harness.advance(5 * MS)
        for request, number in harness.open_attempts():
            harness.finish(request, number=number)
    assert {u.id for sent in harness.sends.values() for u, _ in sent} == ids


def test_restricted_class_is_rejected_without_blocking_other_classes() -> None:
    # The only allowed upstreams fail: requests of this class may not go to others and may not block
    # requests of other classes.
    harness = PolicyHarness(servers=0)
    harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FULL, mixed_upstreams(6)))
    for i in range(40):
        harness.deliver(
            arrival(f"w{i}", harness.now, WEST_ONLY), arrival(f"a{i}", harness.now, READ)
        )
        harness.advance(10 * MS)
        for request, number in harness.open_attempts():
            west = harness.sends[request][number][0].zone == "west"
            harness.finish(
                request, api.AttemptResult.CONNECT_FAILED if west else api.AttemptResult.OK, number
            )
    harness.advance(SECOND)
    assert all(harness.outcome[f"rw{i}"] == "refused" for i in range(40))
    assert sum(harness.outcome[f"ra{i}"] == "served" for i in range(40)) > 30


def test_restricted_class_is_rejected_immediately_without_allowed_upstreams() -> None:
    harness = PolicyHarness()  # all upstreams are in the zone east
    tokens = harness.balancer.buckets["ash"].counter
    harness.deliver(arrival(1, harness.now, WEST_ONLY))
    assert harness.outcome["r1"] == "refused" and harness.balancer.buckets["ash"].counter == tokens


# ---- order (rule 5) ------------------------------------------------------------------------------


def test_requests_of_one_key_run_serially_and_other_keys_in_parallel() -> None:
    harness = PolicyHarness()
    harness.deliver(
        arrival(1, harness.now, KEY_ORDERED, key="k"),
        arrival(2, harness.now, KEY_ORDERED, key="k"),
        arrival(3, harness.now, KEY_ORDERED, key="other"),
        arrival(4, harness.now, KEY_ORDERED),
    )
    for number in (1, 3, 4):
        harness.advance(10 * MS)
        harness.finish(f"r{number}")
    harness.advance(10 * MS)
    assert list(harness.sends) == ["r1", "r3", "r4", "r2"] or list(harness.sends) == [
        "r1",
        "r3",
        "r2",
        "r4",
    ]


@pytest.mark.parametrize(
    ("result", "is_blocked"),
    [
        (api.AttemptResult.OK, False),
        (api.AttemptResult.ERROR, False),
        (api.AttemptResult.RESET, True),
        (api.AttemptResult.TIMEOUT, True),
    ],
)
def test_key_is_blocked_only_after_a_result_that_may_still_run(
    result: api.AttemptResult, is_blocked: bool
) -> None:
    limits = api.Limits(max_attempts=1)
    harness = PolicyHarness(settings(limits=limits))
    harness.deliver(
        arrival(1, harness.now, KEY_ORDERED, key="k"), arrival(2, harness.now, KEY_ORDERED, key="k")
    )
    harness.now += MS
    harness.finish("r1", result)
    harness.advance(20 * MS)
    assert ("r2" not in harness.sends) == is_blocked
    harness.advance(100 * MS)
    assert "r2" in harness.sends


def test_open_attempt_blocks_its_key_after_client_disconnect() -> None:
    harness = PolicyHarness(settings(limits=api.Limits(max_attempts=2)))
    harness.deliver(
        arrival(1, harness.now, KEY_ORDERED, key="k"), arrival(2, harness.now, KEY_ORDERED, key="k")
    )
    harness.deliver(api.ClientDisconnected("r1"))
    harness.advance(100 * MS)
    assert "r2" not in harness.sends
    harness.finish("r1", api.AttemptResult.ERROR)
    harness.advance(10 * MS)
    assert "r2" in harness.sends


def test_requests_waiting_for_their_key_take_no_token_and_are_answered() -> None:
    harness = PolicyHarness()
    harness.deliver(arrival(0, harness.now, KEY_ORDERED, key="k"))
    before = harness.balancer.buckets["ash"].counter
    harness.deliver(*(arrival(i, harness.now, KEY_ORDERED, key="k") for i in range(1, 20)))
    assert harness.balancer.buckets["ash"].counter == before
    harness.advance(600 * MS)
    assert len(harness.outcome) == 20


def test_key_queues_are_removed_after_their_last_request() -> None:
    harness = PolicyHarness()
    for i in range(50):
        harness.deliver(arrival(i, harness.now, KEY_ORDERED, key=f"k{i}"))
        harness.advance(10 * MS)
        if i % 2 and f"r{i}" in harness.sends:
            harness.finish(f"r{i}")
    harness.advance(2 * SECOND)
    assert not harness.balancer.context.key_queues and not harness.balancer.requests


# ---- slow start (rule 4), over several proxies ---------------------------------------------------


def test_proxies_spread_their_first_requests_to_a_new_upstream() -> None:
    # Incident i604f4b: each proxy kept its interval between requests, but all proxies sent their
    # first request as soon as they received the new upstream.
    harnesses = [
        PolicyHarness(
            settings(instance_index=instance, instance_count=40), seed=instance, servers=4
        )
        for instance in range(40)
    ]
    for harness in harnesses:
        for i in range(40):  # first measure a warm upstream: 50 ms per request
            harness.deliver(arrival(f"w{i}", harness.now))
            harness.advance(50 * MS)
            for request, number in harness.open_attempts():
                harness.finish(request, number=number)
    started = harnesses[0].now
    for harness in harnesses:
        harness.deliver(
            api.EndpointsUpdated(api.EndpointListKind.FULL, upstreams(4) + upstreams(1, 9, started))
        )
    delays = {
        upstream_set.slow_start.next_attempt_ns(upstream_set.upstreams[9]) - started
        for upstream_set in (harness.balancer.upstream_set for harness in harnesses)
    }
    assert len(delays) == len(harnesses) and max(delays) > 100 * MS
    for i in range(80):
        for harness in harnesses:
            harness.deliver(*(arrival(f"c{i}-{j}", harness.now) for j in range(2)))
            harness.advance(50 * MS)
            for request, number in harness.open_attempts():
                harness.finish(request, number=number)
    sends = sorted(
        t for harness in harnesses for sent in harness.sends.values() for u, t in sent if u.id == 9
    )
    assert sum(t < started + 3 * SECOND for t in sends) > 5
    check_slow_start_budget(sends, started, harnesses[0].config.rules, 40 * 20 / 4)


# ---- the harness itself --------------------------------------------------------------------------


def assert_violation(harness: PolicyHarness, *actions: api.Action) -> None:
    """Check that the harness rejects one of these actions."""
    with pytest.raises(AssertionError):
        for action in actions:
            harness._check_action(action)


def test_harness_detects_a_violation_of_each_rule() -> None:
    def new_harness(*events: api.Event) -> PolicyHarness:
        harness = PolicyHarness(settings(limits=api.Limits(max_attempts=3)), servers=0)
        for e in (api.EndpointsUpdated(api.EndpointListKind.FULL, mixed_upstreams(6)), *events):
            harness._record_event(e)
        return harness

    read_arrival, pay_arrival = arrival(1, START), arrival(1, START, PAY)
    assert_violation(
        new_harness(read_arrival), api.RejectRequest("r1"), api.StartAttempt("r1", 1)
    )  # 1: sent after its completion
    assert_violation(
        new_harness(read_arrival), api.RejectRequest("r1"), api.FailRequest("r1")
    )  # 1: two outcomes
    assert_violation(
        new_harness(read_arrival), api.StartAttempt("r1", 1), api.StartAttempt("r1", 2)
    )  # 2: two open attempts without hedging
    executed = new_harness(pay_arrival)
    executed._check_action(api.StartAttempt("r1", 1))
    executed.results["r1", 0] = api.AttemptResult.ERROR
    assert_violation(executed, api.RejectRequest("r1"))  # 2: rejected though it may have run
    assert_violation(executed, api.StartAttempt("r1", 2))  # 2: not idempotent and retried
    draining = new_harness(
        read_arrival,
        api.EndpointsUpdated(
            api.EndpointListKind.DELTA,
            [mixed_upstreams(1)[0]._replace(state=api.UpstreamState.DRAINING)],
        ),
    )
    assert_violation(draining, api.StartAttempt("r1", 1))  # 3: sent to a draining upstream
    with pytest.raises(AssertionError):  # 4: slow-start budget exceeded
        check_slow_start_budget(
            [START + i * MS for i in range(60)], START, api.TrafficRules(slow_start_ns=SECOND), 10.0
        )
    key_arrivals = [arrival(i, START, KEY_ORDERED, key="k") for i in (1, 2)]
    assert_violation(
        new_harness(*key_arrivals), api.StartAttempt("r2", 1)
    )  # 5: sent before an earlier request with the same key
    blocked = new_harness(*key_arrivals)
    blocked._check_action(api.StartAttempt("r1", 1))
    blocked._record_event(blocked.result("r1", 0, api.AttemptResult.RESET))
    blocked._check_action(api.FailRequest("r1"))
    assert_violation(blocked, api.StartAttempt("r2", 1))  # 5: while its key is blocked
    assert_violation(
        new_harness(arrival(1, START, WEST_ONLY)), api.StartAttempt("r1", 2)
    )  # 6: zone
    assert_violation(new_harness(arrival(1, START, BIG_ONLY)), api.StartAttempt("r1", 2))  # 6: kind


def load_reporting_harness(servers: int = 6) -> PolicyHarness:
    """Return a harness whose balancer probes the load of upstreams before it sends a request."""
    limits = api.Limits(max_attempts=3, probes=True, may_cancel=True, retry_after=True)
    return PolicyHarness(settings(limits=limits, report_columns=("inflight",)), servers=servers)


def test_one_load_probe_per_upstream_serves_all_waiting_requests() -> None:
    # Guards against one probe per request: within half a second 160 connections were open, and no
    # connection was left.
    harness = load_reporting_harness(3)
    actions = harness.deliver(*(arrival(i, harness.now) for i in range(20)))
    probed = [a.upstream for a in actions if isinstance(a, api.CheckHealth)]
    assert len(probed) == len(set(probed)) <= 3 and not harness.sends
    harness.now += MS
    harness.deliver(
        *(api.HealthCheckFinished(u, api.AttemptResult.OK, MS, {"inflight": 0.0}) for u in probed)
    )
    assert len(harness.sends) > 1 and not harness.outcome
    # An upstream with an unanswered probe is not probed again, and no further request waits for it.
    # After the probe has finished, the next request probes the upstream again.
    harness = load_reporting_harness(1)
    assert len(of_type(api.CheckHealth, harness.deliver(arrival(1, harness.now)))) == 1
    harness.advance(20 * MS)
    assert "r1" in harness.sends
    assert (
        not of_type(api.CheckHealth, harness.deliver(arrival(2, harness.now)))
        and "r2" in harness.sends
    )
    harness.deliver(api.HealthCheckFinished(1, api.AttemptResult.TIMEOUT, 20 * MS))
    assert len(of_type(api.CheckHealth, harness.deliver(arrival(3, harness.now)))) == 1


def test_requests_sent_during_a_probe_are_added_to_the_reported_load() -> None:
    harness = load_reporting_harness(1)
    harness.deliver(arrival(1, harness.now))
    harness.advance(20 * MS)  # the request no longer waits for the probe
    harness.deliver(arrival(2, harness.now))
    harness.deliver(api.HealthCheckFinished(1, api.AttemptResult.OK, 20 * MS, {"inflight": 3.0}))
    assert harness.balancer.upstream_set.upstreams[1].reported_load == 5.0


def test_waiting_for_a_load_report_does_not_cause_rejections() -> None:
    # Guards against rejecting requests of tenants over their share as soon as another request waits
    # for a load report.
    harness = load_reporting_harness()
    harness.balancer.rate_controller.served_per_s = 1.0
    for t in harness.balancer.buckets.values():
        t.is_over_share = True
    harness.deliver(*(arrival(i, harness.now) for i in range(5)))
    assert not harness.outcome


def test_removed_upstreams_are_forgotten_after_their_last_attempt() -> None:
    harness = PolicyHarness(servers=3)
    harness.deliver(*(arrival(i, harness.now) for i in range(6)))
    assert harness.open_attempts()
    for first_id in range(10, 3000, 3):  # new ids each time, by full lists and by deltas
        gone = [
            u._replace(state=api.UpstreamState.REMOVED)
            for u in harness.endpoints.values()
            if u.state is not api.UpstreamState.REMOVED
        ]
        kind = (api.EndpointListKind.FULL, api.EndpointListKind.DELTA)[first_id % 2]
        harness.deliver(
            api.EndpointsUpdated(
                kind, upstreams(3, first_id) + (gone if kind is api.EndpointListKind.DELTA else [])
            )
        )
    upstream_set = harness.balancer.upstream_set
    assert {s.id for s in upstream_set.upstreams.values()} - {1, 2, 3} == {
        first_id,
        first_id + 1,
        first_id + 2,
    }
    for request, number in harness.open_attempts():
        harness.finish(request, number=number)
    assert set(upstream_set.upstreams) == {first_id, first_id + 1, first_id + 2}
    assert harness.balancer.concurrency.in_flight == 0 and not harness.balancer.requests


def test_huge_cost_hint_leaves_no_timers_or_requests() -> None:
    harness = PolicyHarness()
    for i in range(50):
        harness.deliver(arrival(i, harness.now)._replace(cost_hint_ns=10**21))
        harness.finish(f"r{i}")
    harness.advance(30 * SECOND, SECOND // 10)
    assert len(harness.balancer.timers) < 5 and not harness.balancer.requests


def run_rounds(
    harness: PolicyHarness,
    count: int,
    result_of: Callable[[int, int], api.AttemptResult],
    name: str = "",
) -> Counter[int]:
    """Run `count` rounds of eight requests and return the number of attempts at each upstream.

    `result_of` gets an upstream's id and the number of attempts so far, and returns the result.
    """
    seen: Counter[int] = Counter()
    for i in range(count):
        harness.deliver(*(arrival(f"{name}{i}-{j}", harness.now) for j in range(8)))
        while harness.open_attempts():
            harness.advance(2 * MS, MS)
            for request, number in harness.open_attempts():
                server = harness.sends[request][number][0].id
                seen[server] += 1
                harness.finish(request, result_of(server, sum(seen.values())), number)
    return seen


@pytest.mark.parametrize("faulty", [1, 6])
def test_one_failing_upstream_is_avoided_but_not_all(faulty: int) -> None:
    # An upstream that fails immediately always seems to be the least loaded one.
    harness = PolicyHarness(servers=6)
    # Its error rate lowers its weight, so it gets few requests, and more requests are needed until
    # its failures cause it to be avoided.
    seen = run_rounds(
        harness,
        450,
        lambda server, n: api.AttemptResult.ERROR if server <= faulty else api.AttemptResult.OK,
    )
    failed_upstreams = [
        s.id for s in harness.balancer.upstream_set.upstreams.values() if s.failure_count
    ]
    assert failed_upstreams == ([1] if faulty == 1 else [])
    if faulty == 1:
        assert 0 < seen[1] < 0.2 * sum(seen.values()) / 6


def test_resets_shared_by_all_upstreams_avoid_none() -> None:
    # Guards against resets of one attempt in ten at all upstreams: half the upstreams were avoided,
    # and the others were overloaded.
    harness = PolicyHarness(servers=6)
    run_rounds(
        harness,
        200,
        lambda server, n: api.AttemptResult.RESET if n % 10 == 0 else api.AttemptResult.OK,
    )
    assert not [
        s
        for s in harness.balancer.upstream_set.upstreams.values()
        if s.avoid_until_ns > harness.now
    ]
    # An upstream at which every attempt is reset has failed.
    run_rounds(
        harness,
        200,
        lambda server, n: api.AttemptResult.RESET if server == 1 else api.AttemptResult.OK,
        "more",
    )
    assert harness.balancer.upstream_set.upstreams[1].avoid_until_ns > harness.now


def test_admission_rate_recovers_quickly_without_overload() -> None:
    # The admission rate starts low, as after half a second of overload. It must recover within the
    # 3 s of this test, rather than admit only half of the requests for five seconds.
    harness = PolicyHarness(servers=6)
    harness.balancer.rate_controller.rate = 100.0
    for i in range(1500):
        harness.deliver(arrival(i, harness.now))
        harness.advance(2 * MS, MS)
        for request, number in harness.open_attempts():
            harness.finish(request, number=number)
    assert harness.balancer.rate_controller.rate > 400


def test_attempts_open_during_a_stall_count_as_one_failure() -> None:
    harness = PolicyHarness(servers=1)
    upstream_set = harness.balancer.upstream_set
    (server,) = upstream_set.upstreams.values()
    sent = harness.now
    for late_ms in (
        100,
        300,
        500,
    ):  # each after the avoidance period of the previous failure
        upstream_set.record_failure(Attempt(server, sent, 1.0, 1.0), sent + late_ms * MS, 10 * MS)
    assert server.failure_count == 1
    upstream_set.record_failure(
        Attempt(server, sent + 600 * MS, 1.0, 1.0), sent + 900 * MS, 10 * MS
    )
    assert server.failure_count == 2


@pytest.mark.parametrize("answers", [4, 400])
def test_overload_is_detected_at_any_response_rate(answers: int) -> None:
    concurrency = PolicyHarness().balancer.concurrency
    for second, stress in enumerate([0.15] * 10 + [0.7] * 5):
        for i in range(answers):
            concurrency.update_window(
                stress, False, 6, START + second * SECOND + i * SECOND // answers
            )
    assert concurrency.is_overloaded() and concurrency.overload_ratio < 0.55
    assert abs(concurrency.latency_ratio - 0.7) < 0.25


@pytest.mark.parametrize(("stress", "keeps_rate"), [(0.1, True), (0.9, False)])
def test_rejected_burst_reduces_the_rate_only_if_upstreams_are_slow(
    stress: float, keeps_rate: bool
) -> None:
    # Guards against a start in which nearly all requests are rejected: the admission rate R then
    # stayed at the low rate of sent requests for seconds.
    harness = PolicyHarness()
    rate = harness.balancer.rate_controller
    rate.in_time_count, rate.unplaced_count = 30, 200
    rate.adjust(harness.now + SECOND // 2, stress - 0.35)
    assert (rate.rate > 5000) is keeps_rate


def test_start_time_in_the_future_does_not_block_a_cold_upstream() -> None:
    harness = PolicyHarness(servers=0)
    harness.deliver(
        api.EndpointsUpdated(
            api.EndpointListKind.FULL, upstreams(1, started_ns=harness.now + 1000 * SECOND)
        )
    )
    harness.advance(10 * SECOND, SECOND // 10)
    harness.deliver(arrival(1, harness.now))
    assert "r1" in harness.sends


def test_proxy_without_upstreams_subscribes_immediately() -> None:
    # Guards against a proxy without upstreams that rejected all requests for minutes because the
    # list expiry, and with it the delay of its first call, was very long.
    config = settings(discovery_push=False, rules=api.TrafficRules(list_expiry_ns=3600 * SECOND))
    for seed in range(20):
        b = Balancer(config, seed, START)
        now, subscriptions = START, []
        b.handle(now, [api.EndpointsUpdated(api.EndpointListKind.CACHED)] if seed % 2 else [])
        for _ in range(20):
            now += 5 * MS
            subscriptions += of_type(api.SubscribeEndpoints, b.handle(now, []))
        assert len(subscriptions) == 1, f"seed {seed}"
    with_upstreams = Balancer(config, 1, START)  # with upstreams, its first call is delayed
    first = with_upstreams.handle(
        START, [api.EndpointsUpdated(api.EndpointListKind.CACHED, upstreams(6))]
    )
    soon = with_upstreams.handle(START + 100 * MS, [])
    later = with_upstreams.handle(START + 3 * SECOND, [])
    assert [len(of_type(api.SubscribeEndpoints, actions)) for actions in (first, soon, later)] == [
        0,
        0,
        1,
    ]
