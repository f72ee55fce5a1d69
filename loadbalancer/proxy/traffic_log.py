"""Log lines and counts of upstreams' states, slow starts and of requests without a response.

The policy's records say why; this module adds the names that operators know.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Final, NamedTuple

from loadbalancer.policy import api
from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.policy.transitions import (
    RequestGivenUp,
    RequestRetried,
    SlowStartBegan,
    SlowStartEnded,
    Transition,
)
from loadbalancer.proxy.bounded_log import BoundedLog
from loadbalancer.proxy.endpoint import UpstreamChange

log = logging.getLogger(__name__)

PREFIX: Final = "loadbalancer_"


class Metric(NamedTuple):
    """A counter with one label, whose values are counted separately."""

    name: str
    label: str
    help: str


ENDPOINT_LISTS = Metric("endpoint_lists_total", "kind", "Endpoint lists received")
STATE_CHANGES = Metric("upstream_state_changes_total", "state", "Changes of an upstream's state")
SLOW_STARTS = Metric("slow_starts_total", "event", "Slow starts of upstreams begun and ended")
SLOW_START_ATTEMPTS = Metric(
    "slow_start_attempts_total", "end", "Attempts at upstreams in slow start, counted at its end"
)
GIVEN_UP = Metric("requests_given_up_total", "reason", "Requests rejected or failed")
RETRIES = Metric("retries_total", "result", "Requests queued again, by the outcome before")
CLOSED = Metric("requests_closed_total", "reason", "Requests whose connection was closed")
DENIALS = Metric("attempts_denied_total", "reason", "Attempts denied at the last moment")
RELIEFS = Metric("memory_reliefs_total", "step", "What gave way because memory was scarce")
SUPPRESSED = Metric("log_lines_suppressed_total", "kind", "Log lines suppressed in bursts")
METRICS: Final = (
    ENDPOINT_LISTS,
    STATE_CHANGES,
    SLOW_STARTS,
    SLOW_START_ATTEMPTS,
    GIVEN_UP,
    RETRIES,
    CLOSED,
    RELIEFS,
)


class TrafficLog:
    """Logs and counts what operators need to trace a request or an upstream.

    Attributes:
        upstream_name: Returns the operators' id of an upstream's number.
    """

    def __init__(self, upstream_name: Callable[[int], str]) -> None:
        self.upstream_name = upstream_name
        self.lines = BoundedLog(log)
        self.counts: dict[str, Counter[str]] = {metric.name: Counter() for metric in METRICS}

    def count(self, metric: Metric, value: str, number: int = 1) -> None:
        """Add to a counter."""
        self.counts[metric.name][value] += number

    # ---- upstreams -------------------------------------------------------------------------------

    def endpoint_list_received(
        self, kind: api.EndpointListKind, version: int, entries: int, upstreams: int
    ) -> None:
        """Log a list: its version, its entries, and the upstreams that are listed after it."""
        self.count(ENDPOINT_LISTS, kind.name.lower())
        self.lines.write(
            "endpoint list",
            "endpoint list received: kind=%s version=%d entries=%d upstreams=%d",
            kind.name.lower(),
            version,
            entries,
            upstreams,
        )

    def upstream_changed(self, change: UpstreamChange) -> None:
        """Log the new state of an upstream, or its restart."""
        state = change.state.name.lower()
        self.count(STATE_CHANGES, state)
        self.lines.write(
            "upstream state",
            "upstream state changed: upstream=%s state=%s started_ms=%d",
            change.name,
            state,
            change.started_ms,
        )

    # ---- the policy's records --------------------------------------------------------------------

    def record(self, transitions: Sequence[Transition]) -> None:
        """Log and count what the policy decided in one call."""
        for transition in transitions:
            match transition:
                case RequestGivenUp():
                    self._given_up(transition)
                case RequestRetried():
                    self._retried(transition)
                case SlowStartBegan():
                    self._slow_start_began(transition)
                case SlowStartEnded():
                    self._slow_start_ended(transition)

    def _given_up(self, given_up: RequestGivenUp) -> None:
        reason = given_up.reason.value
        self.count(GIVEN_UP, reason)
        message = "request given up: request=%s reason=%r attempts=%d"
        values = (given_up.request, reason, given_up.attempts)
        if given_up.result is None:
            self.lines.write(reason, message, *values)
            return
        result = given_up.result.name.lower()
        upstream = self.upstream_name(given_up.upstream)
        self.lines.write(reason, f"{message} result=%s upstream=%s", *values, result, upstream)

    def _retried(self, retried: RequestRetried) -> None:
        result = retried.result.name.lower()
        self.count(RETRIES, result)
        self.lines.write(
            "retry",
            "request retried: request=%s upstream=%s result=%s",
            retried.request,
            self.upstream_name(retried.upstream),
            result,
        )

    def _slow_start_began(self, began: SlowStartBegan) -> None:
        self.count(SLOW_STARTS, "begun")
        self.lines.write(
            "slow start",
            "slow start began: upstream=%s age_s=%.2f capacity_per_s=%.2f proxies=%.1f gap_s=%.3f "
            "source=%s",
            self.upstream_name(began.upstream),
            began.age_ns / NS_PER_S,
            began.capacity_per_s,
            began.proxies,
            began.gap_ns / NS_PER_S,
            "plan" if began.is_planned else "estimate",
        )

    def _slow_start_ended(self, ended: SlowStartEnded) -> None:
        reason = ended.reason.value
        self.count(SLOW_STARTS, reason)
        self.count(SLOW_START_ATTEMPTS, reason, ended.attempts)
        self.lines.write(
            "slow start",
            "slow start ended: upstream=%s reason=%r attempts=%d",
            self.upstream_name(ended.upstream),
            reason,
            ended.attempts,
        )

    # ---- requests that the policy did not end ----------------------------------------------------

    def request_closed(self, request: str, reason: str) -> None:
        """Log a request whose connection closes, or is answered without the policy.

        Args:
            request: The request's id; "-" if it is not known.
            reason: A stable text.
        """
        self.count(CLOSED, reason)
        self.lines.write(reason, "request closed: request=%s reason=%r", request, reason)

    def relieved(self, step: str) -> None:
        """Count what gave way because memory was scarce."""
        self.count(RELIEFS, step)

    # ---- metrics ---------------------------------------------------------------------------------

    def metrics_text(self, denials: Mapping[str, int]) -> str:
        """Return all counters in the Prometheus text format.

        Args:
            denials: Attempts denied at the last moment, by reason.
        """
        self.lines.flush()
        rows: list[str] = []
        for metric in METRICS:
            rows += _metric_lines(metric, self.counts[metric.name])
        rows += _metric_lines(DENIALS, denials)
        rows += _metric_lines(SUPPRESSED, self.lines.suppressed)
        return "\n".join(rows)


def _metric_lines(metric: Metric, counts: Mapping[str, int]) -> Iterator[str]:
    yield f"# HELP {PREFIX}{metric.name} {metric.help}."
    yield f"# TYPE {PREFIX}{metric.name} counter"
    for value in sorted(counts):
        yield f'{PREFIX}{metric.name}{{{metric.label}="{value}"}} {counts[value]}'
