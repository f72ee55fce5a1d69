"""The limit of this proxy's attempts in flight, and estimates of service times."""

from __future__ import annotations

import math
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.clock import SECOND

# Target for the requests of all proxies in flight at each upstream: START_WINDOW, about one for
# each core, and up to MAX_GROWTH times as many while requests wait. More in flight do not increase
# throughput, and an overloaded upstream recovers slowly. Requests do not arrive evenly, so a proxy
# starts with its share plus the square root of its share, and may always grow to MAX_WINDOW.
START_WINDOW: Final = 2
MAX_GROWTH: Final = 1.5
MAX_WINDOW: Final = 10.0
# An attempt that takes more than the overload ratio of its latency objective indicates overload.
# The overload ratio is OVERLOAD_FACTOR times the baseline ratio, between these two bounds.
MIN_OVERLOAD_RATIO: Final = 0.35
MAX_OVERLOAD_RATIO: Final = 0.8
OVERLOAD_FACTOR: Final = 3.0
# Time constants of the latency ratio and of its baseline. With many responses, smoothing must
# depend on time instead of the number of responses: otherwise the baseline would adapt to an
# overload within a second, and a single slow response would look like an overload.
LATENCY_TIME_NS = SECOND // 4
BASELINE_TIME_NS = 60 * SECOND
BASELINE_MAX_GAIN: Final = 0.002
BASELINE_FALL_GAIN: Final = 0.05
LATENCY_MAX_GAIN: Final = 0.1
MAX_LATENCY_RATIO: Final = 1.5  # higher ratios are clipped to this
WINDOW_STEP: Final = 0.5  # factor of the window's change for each outcome
# Bounds of the gain of an upstream's relative service time. The gain is the time since its last
# successful response divided by SERVICE_TIME_GAIN_NS. In a large subset each upstream responds to a
# proxy rarely, so a slow upstream must be detected within a few responses.
MIN_SERVICE_TIME_GAIN: Final = 0.2
MAX_SERVICE_TIME_GAIN: Final = 0.5
SERVICE_TIME_GAIN_NS = 4 * SECOND
# Gain of learned service times, deviations and intervals, and the bounds of a single sample.
SAMPLE_GAIN: Final = 0.05
MAX_TIME_RATIO: Final = 8.0  # of a sampled service time to its previous estimate
MAX_DEVIATION: Final = 3.0
# Bounds of an upstream's service time relative to the expected time.
MIN_RELATIVE_TIME: Final = 0.1
MAX_RELATIVE_TIME: Final = 10.0
# Overdue attempts up to this fraction of the window, or one attempt if that is more, do not count
# against the window. The allowance doubles while the upstreams are not overloaded.
OVERDUE_FRACTION: Final = 0.25

_COST_HINT_KEY: Final = ""  # key in `service_times` of the service time per ns of cost hint


class ConcurrencyLimit:
    """Learns service times, and limits the attempts of this proxy in flight.

    With hundreds of proxies, the attempts of one proxy are a poor estimate of an upstream's load,
    but all proxies observe the latency when it is overloaded. Each proxy limits its attempts in
    flight by a window; further requests wait in the queue.
    """

    def __init__(self) -> None:
        self.in_flight = 0  # attempts that an upstream has received completely
        self.overdue = 0  # attempts in flight for longer than expected
        self.window = 0.5  # attempts in flight for each candidate upstream
        self.start_window = self.window
        self.max_window = MAX_GROWTH * self.window
        self.latency_ratio = 0.0  # recent response times relative to their latency objectives
        self.baseline_latency_ratio = MIN_OVERLOAD_RATIO / OVERLOAD_FACTOR  # ratio without overload
        self.overload_ratio = MIN_OVERLOAD_RATIO  # a higher latency ratio means overload
        self.response_interval_ns = float(SECOND)
        self.last_response_ns = 0
        self.sample_count = 0
        self.per_request_ns = SECOND / 50  # service time divided by the upstream's load
        self.service_times: dict[str, float] = {}  # class -> ns
        self.deviation = 0.5  # mean deviation of service times, relative to the expected time

    @property
    def per_upstream(self) -> int:
        """The maximum number of attempts of this proxy in flight at one upstream."""
        return math.ceil(self.window)

    def has_capacity(self, available: int) -> bool:
        """Return whether one more attempt may start, given the number of available candidates."""
        # Stalled attempts must not fill the window while other responses are fast. If those are
        # slow too, the upstreams are overloaded and still execute the overdue attempts, so the
        # allowance is smaller.
        window = max(1.0, self.window * available)
        overdue_allowance = max(1.0, OVERDUE_FRACTION * window) * (1 if self.is_overloaded() else 2)
        return self.in_flight - min(self.overdue, overdue_allowance) < window

    def expected_ns(self, request_class: api.RequestClass, cost_hint_ns: int) -> float:
        """Return the expected service time of a request."""
        if cost_hint_ns:
            return self.service_times.get(_COST_HINT_KEY, 1.0) * cost_hint_ns
        return self.service_times.get(request_class.name, request_class.latency_objective_ns / 8)

    def record_success(
        self,
        request_class: api.RequestClass,
        cost_hint_ns: int,
        attempt: Attempt,
        duration_ns: int,
    ) -> None:
        """Update the service time estimates from a successful attempt."""
        name = _COST_HINT_KEY if cost_hint_ns else request_class.name
        base = float(cost_hint_ns) if cost_hint_ns else 1.0
        previous = self.service_times.get(name)
        measured = duration_ns / base
        if previous is None:
            self.service_times[name] = measured
        else:
            bounded = min(measured, MAX_TIME_RATIO * previous)
            self.service_times[name] = previous + SAMPLE_GAIN * (bounded - previous)
        self.record_duration(attempt, duration_ns)
        upstream = attempt.upstream
        ratio = duration_ns / max(1.0, self.expected_ns(request_class, cost_hint_ns))
        deviation = abs(ratio / upstream.relative_service_time - 1)
        self.deviation += SAMPLE_GAIN * (min(MAX_DEVIATION, deviation) - self.deviation)
        now_ns = attempt.sent_ns + duration_ns
        since_last = (now_ns - upstream.last_success_ns) / SERVICE_TIME_GAIN_NS
        gain = min(MAX_SERVICE_TIME_GAIN, max(MIN_SERVICE_TIME_GAIN, since_last))
        upstream.last_success_ns = now_ns
        bounded_ratio = min(MAX_RELATIVE_TIME, max(MIN_RELATIVE_TIME, ratio))
        upstream.relative_service_time += gain * (bounded_ratio - upstream.relative_service_time)

    def record_duration(self, attempt: Attempt, duration_ns: int) -> None:
        """Update the estimated service time per request that an upstream holds."""
        if attempt.opens_connection:
            # The duration includes connection setup and would look like overload after each start.
            return
        self.sample_count += 1
        # The first samples have a higher weight, because a proxy with little traffic takes long to
        # collect the twenty samples that the normal gain averages over.
        gain = max(SAMPLE_GAIN, 1 / self.sample_count)
        self.per_request_ns += gain * (max(1, duration_ns) / attempt.load - self.per_request_ns)

    def record_timeout(self, attempt: Attempt, duration_ns: int) -> None:
        """Update the estimated service time from an attempt that was given up.

        It would have taken longer: a duration below the estimate says nothing.
        """
        if duration_ns / attempt.load > self.per_request_ns:
            self.record_duration(attempt, duration_ns)

    def set_bounds(self, start_window: float, max_window: float) -> None:
        """Set the window to start from and recover to, and its upper bound."""
        self.start_window = start_window
        self.max_window = max_window
        if not self.sample_count:
            self.window = start_window

    def is_overloaded(self) -> bool:
        """Return whether response times indicate that the upstreams are overloaded."""
        return self.latency_ratio > self.overload_ratio

    def update_window(
        self, ratio: float, has_waiting_requests: bool, candidate_count: int, now: int
    ) -> None:
        """Adjust the window after the outcome of an attempt.

        Args:
            ratio: Duration of the attempt, as a fraction of its latency objective.
            has_waiting_requests: Whether requests wait for an upstream. Otherwise the window grows
                no further than the start window.
            candidate_count: The count of candidate upstreams.
            now: The time in nanoseconds.
        """
        ratio = min(ratio, MAX_LATENCY_RATIO)
        interval = min(SECOND, now - self.last_response_ns)
        self.response_interval_ns += SAMPLE_GAIN * (interval - self.response_interval_ns)
        self.last_response_ns = now
        gain = min(LATENCY_MAX_GAIN, self.response_interval_ns / LATENCY_TIME_NS)
        self.latency_ratio += gain * (ratio - self.latency_ratio)
        rise_gain = min(BASELINE_MAX_GAIN, self.response_interval_ns / BASELINE_TIME_NS)
        is_falling = self.latency_ratio < self.baseline_latency_ratio
        self.baseline_latency_ratio += (BASELINE_FALL_GAIN if is_falling else rise_gain) * (
            self.latency_ratio - self.baseline_latency_ratio
        )
        self.overload_ratio = min(
            MAX_OVERLOAD_RATIO,
            max(MIN_OVERLOAD_RATIO, OVERLOAD_FACTOR * self.baseline_latency_ratio),
        )
        step = WINDOW_STEP * (self.overload_ratio - ratio) / max(1, candidate_count)
        if has_waiting_requests or step < 0 or self.window < self.start_window:
            self.window = max(1 / max(1, candidate_count), min(self.window + step, self.max_window))
