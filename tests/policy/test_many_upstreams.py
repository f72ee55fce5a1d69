"""The CPU cost of a balancer is independent of the number of upstreams outside its subset.

This holds for any number of balancers. The cost is counted in interpreter instructions, so the
result is the same on any machine.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from types import FrameType
from typing import Any

import pytest

from loadbalancer.policy import Balancer, api
from tests.bench import MS, READ, SECOND, START

FEW, MANY = 200, 3200  # upstreams
FLEETS = [(0, 1), (2, 5), (7, 40), (90, 200)]  # (index of this balancer, number of balancers)


def count_instructions(work: Callable[[], object]) -> int:
    """Return the number of interpreter instructions that a call executes."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(None)
    return count


def balancer(upstreams: int, instance: int, balancers: int) -> Balancer:
    """Return a balancer with this many upstreams and peers."""
    settings = api.Settings(
        instance_index=instance,
        instance_count=balancers,
        zone="east",
        classes={"read": READ},
        prices=api.Prices(cross_zone=0.03),
        rules=api.TrafficRules(slow_start_ns=4 * SECOND),
        limits=api.Limits(max_attempts=3, may_cancel=True, retry_after=True),
    )
    created = Balancer(settings, 7, START)
    created.handle(
        START,
        [
            api.EndpointsUpdated(
                api.EndpointListKind.CACHED, [endpoint(n) for n in range(upstreams)]
            )
        ],
    )
    return created


def endpoint(number: int, state: api.UpstreamState = api.UpstreamState.READY) -> api.Upstream:
    return api.Upstream(
        number * 7_919 + 1, state, ("east", "west", "north")[number % 3], number // 3
    )


def drain_and_restore(module: Balancer, number: int) -> None:
    """Deliver two deltas: one upstream is draining, then ready again."""
    module.handle(
        START,
        [
            api.EndpointsUpdated(
                api.EndpointListKind.DELTA, [endpoint(number, api.UpstreamState.DRAINING)]
            )
        ],
    )
    module.handle(START, [api.EndpointsUpdated(api.EndpointListKind.DELTA, [endpoint(number)])])


def send_requests(module: Balancer, count: int, contacted: set[int]) -> None:
    """Send a request with a new key every 10 ms; each succeeds after 5 ms.

    The ids of the upstreams used are added to `contacted`.
    """
    now = START
    for i in range(count):
        now += 5 * MS
        sent = module.handle(
            now, [api.RequestArrived(f"r{i}", "read", "", now + 500 * MS, key=f"key-{i}")]
        )
        now += 5 * MS
        for action in sent:
            if isinstance(action, api.StartAttempt):
                contacted.add(action.upstream)
                finished = api.AttemptFinished(
                    action.request, 0, action.upstream, api.AttemptResult.OK, 5 * MS, True
                )
                module.handle(now, [finished])


@pytest.mark.parametrize(("instance", "balancers"), FLEETS)
def test_cost_of_an_endpoint_change_is_independent_of_upstream_count(
    instance: int, balancers: int
) -> None:
    modules = {n: balancer(n, instance, balancers) for n in (FEW, MANY)}
    cost = {
        n: count_instructions(partial(drain_and_restore, module, n // 2))
        for n, module in modules.items()
    }
    assert cost[MANY] <= 1.4 * cost[FEW] + 2_000


@pytest.mark.parametrize(("instance", "balancers"), FLEETS)
def test_cost_of_a_request_is_independent_of_upstream_count(instance: int, balancers: int) -> None:
    modules = {n: balancer(n, instance, balancers) for n in (FEW, MANY)}
    cost = {
        n: count_instructions(partial(send_requests, module, 200, set()))
        for n, module in modules.items()
    }
    assert cost[MANY] <= 1.4 * cost[FEW] + 2_000


@pytest.mark.parametrize(("instance", "balancers"), FLEETS)
def test_number_of_contacted_upstreams_follows_the_load(instance: int, balancers: int) -> None:
    contacted_by_size: dict[int, set[int]] = {FEW: set(), MANY: set()}
    for n, contacted in contacted_by_size.items():
        send_requests(balancer(n, instance, balancers), 3000, contacted)
    assert len(contacted_by_size[MANY]) <= 2 * len(contacted_by_size[FEW]) + 40
