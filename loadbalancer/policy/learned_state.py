"""Capture of the state that a proxy has learned, and its restoration after a restart."""

from __future__ import annotations

from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.concurrency_limit import MAX_OVERLOAD_RATIO
from loadbalancer.policy.context import PolicyContext
from loadbalancer.policy.rate_controller import MIN_OUTCOMES
from loadbalancer.policy.token_bucket import START_RATE

# The weight (trust) of restored state halves in each HALF_LIFE_NS of its age. State with less than
# MIN_TRUST is ignored.
HALF_LIFE_NS = 60 * SECOND
MIN_TRUST: Final = 0.05
RESTORED_SAMPLES: Final = 20  # sample count that fully trusted state is equivalent to
# The rate is restored with headroom, which increases with age: too low a rate would starve tenants.
RATE_HEADROOM: Final = 1.3


def capture(context: PolicyContext) -> api.LearnedState:
    """Return the state that the proxy has learned so far."""
    concurrency = context.concurrency
    rate = context.rate_controller.rate
    return api.LearnedState(
        0,
        rate if rate < START_RATE else 0.0,
        {name: bucket.demand for name, bucket in context.buckets.items()},
        dict(concurrency.service_times),
        concurrency.per_request_ns,
        concurrency.baseline_latency_ratio,
        concurrency.window,
        {
            upstream.id: (upstream.relative_service_time, upstream.started_ns)
            for upstream in context.upstream_set.ready
        },
    )


def restore(context: PolicyContext, state: api.LearnedState, now: int) -> None:
    """Restore state learned before a restart, unless this proxy has enough samples of its own."""
    trust = 0.5 ** (max(0, state.age_ns) / HALF_LIFE_NS)
    concurrency = context.concurrency
    if trust < MIN_TRUST or concurrency.sample_count >= MIN_OUTCOMES:
        return
    for name, service_time in state.service_times.items():
        concurrency.service_times.setdefault(name, service_time)
    if state.per_request_ns > 0:
        concurrency.per_request_ns += trust * (state.per_request_ns - concurrency.per_request_ns)
        baseline = min(state.baseline_latency_ratio, MAX_OVERLOAD_RATIO)
        concurrency.baseline_latency_ratio += trust * (
            baseline - concurrency.baseline_latency_ratio
        )
        window = min(state.window, concurrency.max_window)
        concurrency.window += trust * (window - concurrency.window)
        concurrency.sample_count = max(concurrency.sample_count, int(RESTORED_SAMPLES * trust))
    context.upstream_set.restore(state.relative_service_times, trust)
    if state.rate:
        buckets = context.buckets
        demands = [
            (buckets[name], demand) for name, demand in state.demands.items() if name in buckets
        ]
        context.rate_controller.restore(state.rate * RATE_HEADROOM / trust, demands, now)
