"""What a balancer costs does not grow with upstreams that it does not need, however few balancers
there are.

Work is counted in the interpreter's instructions, so the verdict is the same on any machine.
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

FEW, MANY = 200, 3200
FLEETS = [(0, 1), (2, 5), (7, 40), (90, 200)]  # this balancer's number, and how many there are


def counted(work: Callable[[], object]) -> int:
    """Instructions that it takes."""
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


def balancer(upstreams: int, me: int, balancers: int) -> Balancer:
    settings = api.Settings(
        instance_index=me,
        instance_count=balancers,
        zone="east",
        classes={"read": READ},
        prices=api.Prices(cross_zone=0.03),
        rules=api.TrafficRules(slow_start_ns=4 * SECOND),
        limits=api.Limits(max_attempts=3, may_cancel=True, retry_after=True),
    )
    made = Balancer(settings, 7, START)
    made.handle(
        START,
        [api.EndpointsUpdated(api.EndpointListKind.CACHED, [entry(n) for n in range(upstreams)])],
    )
    return made


def entry(number: int, state: api.UpstreamState = api.UpstreamState.READY) -> api.Upstream:
    return api.Upstream(
        number * 7_919 + 1, state, ("east", "west", "north")[number % 3], number // 3
    )


def change(module: Balancer, number: int) -> None:
    module.handle(
        START,
        [
            api.EndpointsUpdated(
                api.EndpointListKind.DELTA, [entry(number, api.UpstreamState.DRAINING)]
            )
        ],
    )
    module.handle(START, [api.EndpointsUpdated(api.EndpointListKind.DELTA, [entry(number)])])


def requests(module: Balancer, count: int, seen: set[int]) -> None:
    """One each 10 ms, each of another key, answered well after 5 ms."""
    now = START
    for i in range(count):
        now += 5 * MS
        sent = module.handle(
            now, [api.RequestArrived(f"r{i}", "read", "", now + 500 * MS, key=f"key-{i}")]
        )
        now += 5 * MS
        for action in sent:
            if isinstance(action, api.StartAttempt):
                seen.add(action.upstream)
                ended = api.AttemptFinished(
                    action.request, 0, action.upstream, api.AttemptResult.OK, 5 * MS, True
                )
                module.handle(now, [ended])


@pytest.mark.parametrize(("me", "balancers"), FLEETS)
def test_a_change_of_one_upstream_costs_the_same_among_many(me: int, balancers: int) -> None:
    modules = {n: balancer(n, me, balancers) for n in (FEW, MANY)}
    cost = {n: counted(partial(change, module, n // 2)) for n, module in modules.items()}
    assert cost[MANY] <= 1.4 * cost[FEW] + 2_000


@pytest.mark.parametrize(("me", "balancers"), FLEETS)
def test_a_request_costs_the_same_among_many(me: int, balancers: int) -> None:
    modules = {n: balancer(n, me, balancers) for n in (FEW, MANY)}
    cost = {n: counted(partial(requests, module, 200, set())) for n, module in modules.items()}
    assert cost[MANY] <= 1.4 * cost[FEW] + 2_000


@pytest.mark.parametrize(("me", "balancers"), FLEETS)
def test_no_more_upstreams_are_sent_to_than_the_load_needs(me: int, balancers: int) -> None:
    met: dict[int, set[int]] = {FEW: set(), MANY: set()}
    for n, seen in met.items():
        requests(balancer(n, me, balancers), 3000, seen)
    assert len(met[MANY]) <= 2 * len(met[FEW]) + 40
