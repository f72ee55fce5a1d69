"""What operators can read of upstreams, slow starts and requests: log lines and counters."""

from __future__ import annotations

import logging
import time

import pytest

from loadbalancer.policy import Balancer, api
from loadbalancer.policy.transitions import (
    GiveUpReason,
    RequestGivenUp,
    RequestRetried,
    SlowStartBegan,
    SlowStartEnd,
    SlowStartEnded,
    Transition,
)
from loadbalancer.proxy import bounded_log
from loadbalancer.proxy.bounded_log import MAX_KINDS, MAX_LINES_PER_SECOND, BoundedLog
from loadbalancer.proxy.endpoint import Endpoint, UpstreamChange, upstream_number
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.message_end_log import Direction, MessageEnd, MessageEndLog
from loadbalancer.proxy.traffic_log import TrafficLog
from loadbalancer.proxy.upstream import Upstreams

SECOND = 1_000_000_000
LOGGER = logging.getLogger("tests.traffic_log")


@pytest.fixture
def clock_ns(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """The monotonic clock of the bounded log, in one element."""
    now_ns = [5 * SECOND]
    monkeypatch.setattr(time, "monotonic_ns", lambda: now_ns[0])
    return now_ns


def test_lines_of_a_kind_are_limited_and_the_rest_is_counted(
    clock_ns: list[int], caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    log = BoundedLog(LOGGER)
    for number in range(200):
        log.write("state", "state: number=%d", number)
    log.write("list", "list")
    assert len(caplog.messages) == MAX_LINES_PER_SECOND + 1
    clock_ns[0] += SECOND
    log.write("list", "list")
    assert caplog.messages[-2:] == ["lines suppressed: kind=state count=190", "list"]
    assert log.suppressed == {"state": 190}


def test_many_kinds_share_one_limit(clock_ns: list[int], caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    log = BoundedLog(LOGGER)
    for number in range(10 * MAX_KINDS):
        log.write(f"kind {number}", "line")
    assert len(caplog.messages) == MAX_KINDS + MAX_LINES_PER_SECOND
    assert bounded_log.OTHER_KINDS not in log.suppressed  # counted by their own names
    assert sum(log.suppressed.values()) == 9 * MAX_KINDS - MAX_LINES_PER_SECOND


def test_each_record_of_the_policy_is_one_line_and_one_count(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    log = TrafficLog(lambda number: f"s-{number}")
    records: list[Transition] = [
        SlowStartBegan(7, SECOND // 2, 12.5, 40.0, SECOND // 4, False),
        RequestRetried("r1", 7, api.AttemptResult.REJECTED),
        RequestGivenUp("r1", GiveUpReason.ATTEMPTS_FAILED, 2),
        SlowStartEnded(7, 3, SlowStartEnd.WARMED_UP),
    ]
    log.record(records)
    log.request_closed("r2", "client gone")
    assert caplog.messages == [
        "slow start began: upstream=s-7 age_s=0.50 capacity_per_s=12.50 proxies=40.0 gap_s=0.250 "
        "source=estimate",
        "request retried: request=r1 upstream=s-7 result=rejected",
        "request given up: request=r1 reason='attempts failed' attempts=2",
        "slow start ended: upstream=s-7 reason='warmed up' attempts=3",
        "request closed: request=r2 reason='client gone'",
    ]
    metrics = log.metrics_text({"its client has gone": 2}).splitlines()
    for expected in (
        'loadbalancer_slow_starts_total{event="begun"} 1',
        'loadbalancer_slow_start_attempts_total{end="warmed up"} 3',
        'loadbalancer_requests_given_up_total{reason="attempts failed"} 1',
        'loadbalancer_retries_total{result="rejected"} 1',
        'loadbalancer_requests_closed_total{reason="client gone"} 1',
        'loadbalancer_attempts_denied_total{reason="its client has gone"} 2',
    ):
        assert expected in metrics


def endpoint(name: str, state: api.UpstreamState, started_ms: int = 0) -> Endpoint:
    return Endpoint(api.Upstream(upstream_number(name), state), "127.0.0.1", 80, started_ms, name)


def test_a_list_reports_the_upstreams_that_changed_by_their_names() -> None:
    ready, draining, removed = (
        api.UpstreamState.READY,
        api.UpstreamState.DRAINING,
        api.UpstreamState.REMOVED,
    )
    upstreams = Upstreams(api.Limits(), 10, (), MemoryAccount(1))
    first = [endpoint("s-a", ready), endpoint("s-b", ready)]
    assert upstreams.learn(first, full=True) == [
        UpstreamChange("s-a", ready, 0),
        UpstreamChange("s-b", ready, 0),
    ]
    assert upstreams.learn(first, full=True) == []
    assert upstreams.name(upstream_number("s-a")) == "s-a"
    assert upstreams.learn([endpoint("s-a", draining)], full=False) == [
        UpstreamChange("s-a", draining, 0)
    ]
    assert upstreams.learn([endpoint("s-a", ready, 9)], full=True) == [
        UpstreamChange("s-a", ready, 9),
        UpstreamChange("s-b", removed, 0),
    ]
    assert upstreams.learn([endpoint("s-c", removed)], full=False) == []


def test_the_policy_records_begin_and_end_of_a_slow_start() -> None:
    settings = api.Settings(
        classes={"read": api.RequestClass("read")},
        rules=api.TrafficRules(slow_start_ns=2 * SECOND),
    )
    balancer = Balancer(settings, seed=1, now=0)
    entry = api.Upstream(7, started_ns=10 * SECOND)
    balancer.handle(10 * SECOND, [api.EndpointsUpdated(api.EndpointListKind.FULL, [entry])])
    [began] = balancer.transitions
    assert isinstance(began, SlowStartBegan)
    assert (began.upstream, began.age_ns) == (7, 0)
    balancer.handle(11 * SECOND, [])
    assert not balancer.transitions
    balancer.handle(12 * SECOND, [])
    assert list(balancer.transitions) == [SlowStartEnded(7, 0, SlowStartEnd.WARMED_UP)]


def test_the_policy_records_why_a_request_was_given_up() -> None:
    settings = api.Settings(classes={"read": api.RequestClass("read")})
    balancer = Balancer(settings, seed=1, now=0)
    balancer.handle(1, [api.RequestArrived("r", "read", "", deadline_ns=SECOND)])
    assert list(balancer.transitions) == [RequestGivenUp("r", GiveUpReason.NO_TOKEN, 0)]


def test_a_request_that_is_given_up_says_what_failed_last(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    log = TrafficLog(lambda number: f"s-{number}")
    result = api.AttemptResult.TIMEOUT
    log.record([RequestGivenUp("r1", GiveUpReason.ATTEMPTS_FAILED, 2, result, 7)])
    [line] = caplog.messages
    assert line.endswith("reason='attempts failed' attempts=2 result=timeout upstream=s-7")


def test_a_message_that_ends_in_transit_is_one_line_and_one_count(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    log = MessageEndLog()
    end = MessageEnd("r1", "s-a", Direction.RESPONSE, "long", "silence", 70_000, 66_000, SECOND)
    log.record(end)
    assert caplog.messages == [
        "message cut: direction=response request=r1 upstream=s-a state='long' cause='silence' "
        "received=70000 sent=66000 piece_age_s=1.000"
    ]
    labels = 'direction="response",state="long",cause="silence"'
    assert f"loadbalancer_messages_cut_total{{{labels}}} 1" in log.metrics_text().splitlines()
