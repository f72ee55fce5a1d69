"""State of one proxy that the components of the policy share."""

from __future__ import annotations

import random
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.concurrency_limit import ConcurrencyLimit
from loadbalancer.policy.execution_history import ExecutionHistory
from loadbalancer.policy.rate_controller import RateController
from loadbalancer.policy.requests import KeyQueue, Request
from loadbalancer.policy.timers import TimerQueue
from loadbalancer.policy.token_bucket import TokenBucket
from loadbalancer.policy.transitions import Transition
from loadbalancer.policy.upstream_set import UpstreamSet

# Timeout of a load query: this fraction of the shortest latency objective, between the two bounds.
LOAD_QUERY_FRACTION: Final = 0.04
MIN_LOAD_QUERY_NS = SECOND // 333
MAX_LOAD_QUERY_NS = SECOND // 100
# Upper bound of the initial estimate of the service time per request that an upstream holds, as a
# fraction of the shortest latency objective.
MAX_START_PER_REQUEST: Final = 0.08


class PolicyContext:
    """State of one proxy that the components of the policy share."""

    def __init__(
        self,
        settings: api.Settings,
        rng: random.Random,
        buckets: dict[str, TokenBucket[Request]],
        rate_controller: RateController,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.buckets = buckets
        self.rate_controller = rate_controller
        self.concurrency = ConcurrencyLimit()
        self.transitions: list[Transition] = []  # of the current `Balancer.handle` call
        self.upstream_set = UpstreamSet(settings, self.concurrency, rng, self.transitions)
        self.timers = TimerQueue()
        self.requests: dict[str, Request] = {}
        self.executions = ExecutionHistory()
        self.key_queues: dict[str, KeyQueue] = {}
        self.actions: list[api.Action] = []  # result of the current `Balancer.handle` call
        self.shortest_objective_ns = min(
            (cls.latency_objective_ns for cls in settings.classes.values()), default=SECOND
        )
        self.upstream_set.slow_start.capacity.assumed_service_ns = float(self.shortest_objective_ns)
        query_ns = LOAD_QUERY_FRACTION * self.shortest_objective_ns
        self.load_query_ns = int(max(MIN_LOAD_QUERY_NS, min(MAX_LOAD_QUERY_NS, query_ns)))
        self.concurrency.per_request_ns = min(
            self.concurrency.per_request_ns, MAX_START_PER_REQUEST * self.shortest_objective_ns
        )
