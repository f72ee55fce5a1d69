"""How many attempts of this proxy may be in flight, and how long a request takes."""

from __future__ import annotations

import math
from typing import Final

from loadbalancer.policy import api
from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.clock import SECOND

# Requests of all proxies together in flight at each upstream: about one for each core, and half as
# many again while others wait. More gain nothing, and an overload of an upstream lasts long.
# Requests do not come evenly: a proxy begins with the square root of its part on top, and may come
# to MAX_WINDOW.
START_WINDOW: Final = 2
MAX_GROWTH: Final = 1.5
MAX_WINDOW: Final = 10.0
# An attempt that takes more than this fraction of its latency objective means overload. The
# fraction is OVERLOAD_FACTOR times the baseline, between the two.
MIN_OVERLOAD_RATIO: Final = 0.35
MAX_OVERLOAD_RATIO: Final = 0.8
OVERLOAD_FACTOR: Final = 3.0
# Time constants of the latency ratio and of its baseline. Where answers are many these must not go
# by their number: an overload would pass for normal within a second, and one slow answer for an
# overload.
LATENCY_TIME_NS = SECOND // 4
BASELINE_TIME_NS = 60 * SECOND
BASELINE_MAX_GAIN: Final = 0.002
BASELINE_FALL_GAIN: Final = 0.05
LATENCY_MAX_GAIN: Final = 0.1
MAX_LATENCY_RATIO: Final = 1.5  # longer attempts count no more
WINDOW_STEP: Final = 0.5  # for each outcome
# Gain of an upstream's relative service time: the first where it is met each second or so, up to
# the second the rarer it is met. In a large subset, a slow upstream must be found in a few answers.
MIN_SERVICE_TIME_GAIN: Final = 0.2
MAX_SERVICE_TIME_GAIN: Final = 0.5
SERVICE_TIME_GAIN_NS = 4 * SECOND
# Gain of learned service times, deviations and intervals, and how far one sample may move them.
SAMPLE_GAIN: Final = 0.05
MAX_TIME_RATIO: Final = 8.0  # of a service time to the one that is known
MAX_DEVIATION: Final = 3.0
# Bounds of an upstream's service time, relative to what is expected.
MIN_RELATIVE_TIME: Final = 0.1
MAX_RELATIVE_TIME: Final = 10.0
# Overdue attempts may leave this fraction of the window free, or one attempt.
OVERDUE_FRACTION: Final = 0.25

_COST_HINT_KEY: Final = ""  # in `service_times`: the time for each ns of a cost hint


class ConcurrencyLimit:
    """Learns service times, and how many attempts of this proxy may be in flight.

    Among hundreds of proxies, a proxy's own attempts say little about an upstream, but all proxies
    see it when it is overloaded. Each limits its attempts in flight by a window; beyond it requests
    wait in the queue.
    """

    def __init__(self) -> None:
        self.in_flight = 0  # attempts that an upstream works on
        self.overdue = 0  # those of them that are out longer than expected
        self.window = 0.5  # attempts in flight for each candidate upstream
        self.start_window = self.window
        self.max_window = MAX_GROWTH * self.window
        self.latency_ratio = 0.0  # of recent answers, to their latency objectives
        self.baseline_latency_ratio = MIN_OVERLOAD_RATIO / OVERLOAD_FACTOR  # without overload
        self.overload_ratio = MIN_OVERLOAD_RATIO  # above it, upstreams are overloaded
        self.answer_interval_ns = float(SECOND)
        self.last_answer_ns = 0
        self.sample_count = 0
        self.per_request_ns = SECOND / 50  # time for each request that an upstream holds
        self.service_times: dict[str, float] = {}  # class -> ns
        self.deviation = 0.5  # mean, relative to what was expected

    @property
    def per_upstream(self) -> int:
        """The most attempts of this proxy at any one upstream."""
        return math.ceil(self.window)

    def has_capacity(self, available: int) -> bool:
        """Whether one more attempt may start, with so many candidate upstreams available."""
        # Attempts that stand still must not fill the window while other answers are quick. Where
        # those are slow too, upstreams are overloaded, and late work still runs there.
        window = max(1.0, self.window * available)
        overdue_allowance = max(1.0, OVERDUE_FRACTION * window) * (1 if self.is_overloaded() else 2)
        return self.in_flight - min(self.overdue, overdue_allowance) < window

    def expected_ns(self, request_class: api.RequestClass, cost_hint_ns: int) -> float:
        """Expected service time of a request."""
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
        """Learn from the duration of a successful attempt."""
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
        """Learn the time for each request that an upstream holds."""
        if attempt.opens_connection:
            # It includes the opening of a connection, and would pass for overload at each start.
            return
        self.sample_count += 1
        # The first samples count more: a proxy with little traffic can't wait for twenty.
        gain = max(SAMPLE_GAIN, 1 / self.sample_count)
        self.per_request_ns += gain * (max(1, duration_ns) / attempt.load - self.per_request_ns)

    def set_bounds(self, start_window: float, max_window: float) -> None:
        """Set the window to start from and return to, and its upper bound."""
        self.start_window = start_window
        self.max_window = max_window
        if not self.sample_count:
            self.window = start_window

    def is_overloaded(self) -> bool:
        """Whether upstreams answer so slowly that they must be overloaded."""
        return self.latency_ratio > self.overload_ratio

    def update_window(
        self, ratio: float, has_waiting_requests: bool, candidate_count: int, now: int
    ) -> None:
        """Adjust the window after an attempt.

        Args:
            ratio: Duration of the attempt, as a fraction of its latency objective.
            has_waiting_requests: Whether requests wait in the queue; the window grows only then.
            candidate_count: The count of candidate upstreams.
            now: The time in nanoseconds.
        """
        ratio = min(ratio, MAX_LATENCY_RATIO)
        interval = min(SECOND, now - self.last_answer_ns)
        self.answer_interval_ns += SAMPLE_GAIN * (interval - self.answer_interval_ns)
        self.last_answer_ns = now
        gain = min(LATENCY_MAX_GAIN, self.answer_interval_ns / LATENCY_TIME_NS)
        self.latency_ratio += gain * (ratio - self.latency_ratio)
        rise_gain = min(BASELINE_MAX_GAIN, self.answer_interval_ns / BASELINE_TIME_NS)
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
