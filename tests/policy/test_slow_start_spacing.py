"""The spacing of one proxy's attempts at a cold upstream lasts, whatever else happens to it."""

from __future__ import annotations

import pytest

from loadbalancer.policy import Balancer, api

SECOND, MS = 1_000_000_000, 1_000_000
COLD = api.Upstream(9, started_ns=10 * SECOND)
START = COLD.started_ns
SERVICE_NS, INTERVAL_NS = 50 * MS, 60 * MS


def balancer_with_a_cold_upstream() -> Balancer:
    """One of 20 proxies before a warm upstream, and one that has just started."""
    settings = api.Settings(
        instance_count=20,
        classes={"read": api.RequestClass("read", latency_objective_ns=4 * SECOND)},
        rules=api.TrafficRules(slow_start_ns=8 * SECOND),
        limits=api.Limits(max_attempts=4),
    )
    now = START - 3 * SECOND
    balancer = Balancer(settings, seed=1, now=now)
    balancer.handle(now, [api.EndpointsUpdated(api.EndpointListKind.FULL, [api.Upstream(1)])])
    while now < START:  # first measure a warm upstream
        for start in ask(balancer, f"w{now}", now):
            finish(balancer, start, now + SERVICE_NS)
        now += INTERVAL_NS
    balancer.handle(START, [api.EndpointsUpdated(api.EndpointListKind.DELTA, [COLD])])
    return balancer


def ask(balancer: Balancer, name: str, now: int) -> list[api.StartAttempt]:
    """Let a request arrive, and return the attempts that the policy starts."""
    arrival = api.RequestArrived(name, "read", "", deadline_ns=now + 4 * SECOND)
    actions = balancer.handle(now, [arrival])
    return [action for action in actions if isinstance(action, api.StartAttempt)]


def finish(balancer: Balancer, start: api.StartAttempt, now: int) -> None:
    done = api.AttemptFinished(
        start.request, 0, start.upstream, api.AttemptResult.OK, SERVICE_NS, True
    )
    balancer.handle(now, [done])


def attempt_at_cold(balancer: Balancer, now: int) -> tuple[api.StartAttempt, int]:
    """Send a request each 60 ms until one goes to the cold upstream; return it and the time."""
    for _ in range(100):
        for start in ask(balancer, f"r{now}", now):
            if start.upstream == COLD.id:
                return start, now
            finish(balancer, start, now + SERVICE_NS)
        now += INTERVAL_NS
    raise AssertionError("no attempt at the cold upstream")


def gap_ns(balancer: Balancer, now: int) -> int:
    upstream_set = balancer.upstream_set
    return upstream_set.slow_start.gap_ns(upstream_set.upstreams[COLD.id], now)


# Guards against a gap that a failure, or the success after it, sets back.
def test_a_success_after_a_failure_does_not_shorten_the_gap() -> None:
    balancer = balancer_with_a_cold_upstream()
    start, now = attempt_at_cold(balancer, START)
    finish(balancer, start, now + SERVICE_NS)
    start, now = attempt_at_cold(balancer, now + INTERVAL_NS)
    needed_ns = gap_ns(balancer, now)
    balancer.upstream_set.upstreams[COLD.id].failure_count = 1  # an earlier attempt was overdue
    finish(balancer, start, now + SERVICE_NS)
    _, later = attempt_at_cold(balancer, now + INTERVAL_NS)
    assert later - now >= needed_ns


# Guards against a slow start that begins anew with each listing.
def test_an_upstream_that_is_listed_again_keeps_its_gap() -> None:
    balancer = balancer_with_a_cold_upstream()
    start, last = attempt_at_cold(balancer, START)
    finish(balancer, start, last + SERVICE_NS)
    needed_ns = gap_ns(balancer, last)
    now = last + INTERVAL_NS
    for state in (api.UpstreamState.REMOVED, api.UpstreamState.READY):
        entry = COLD._replace(state=state)
        balancer.handle(now, [api.EndpointsUpdated(api.EndpointListKind.DELTA, [entry])])
    _, now = attempt_at_cold(balancer, now)
    assert now - last >= needed_ns


# Guards against two processes of one balancer that each take its whole share.
def test_two_processes_of_a_balancer_divide_its_share() -> None:
    balancer = balancer_with_a_cold_upstream()
    alone_ns = gap_ns(balancer, START)
    balancer.handle(START, [api.ProcessCountChanged(2)])
    assert gap_ns(balancer, START) == pytest.approx(2 * alone_ns, rel=0.01)
    balancer.handle(START, [api.ProcessCountChanged(1)])
    assert gap_ns(balancer, START) == alone_ns
