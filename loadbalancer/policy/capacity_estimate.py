"""Estimate of what a warm upstream serves, from responses and service times alone.

Attempts that failed, were rejected or were given up are no sign of capacity, so neither the load of
this proxy nor failures raise the estimate above what the upstreams have served.
"""

from __future__ import annotations

from typing import Final

from loadbalancer.policy.clock import SECOND
from loadbalancer.policy.concurrency_limit import START_WINDOW, ConcurrencyLimit

SERVED_TIME_NS = 5 * SECOND  # time constant of the served rate
# The baseline service time follows shorter times fast and longer ones slowly, so that an overload
# does not count as a slower upstream.
BASELINE_FALL_GAIN: Final = 0.1
BASELINE_RISE_NS = 60 * SECOND


class CapacityEstimate:
    """Estimates the requests a second that one warm upstream serves.

    Args:
        concurrency: Measures the service time.
        proxies: Number of proxies that send to the same upstreams.

    Attributes:
        assumed_service_ns: Service time while nothing is measured. It has to be longer than the
            true one.
        ready_count: Number of usable upstreams.
    """

    def __init__(self, concurrency: ConcurrencyLimit, proxies: int) -> None:
        self.concurrency = concurrency
        self.proxies = proxies
        self.assumed_service_ns = float(SECOND)
        self.ready_count = 0
        self._served_count = 0  # since the last update
        self._served_per_s = 0.0
        self._observed_ns = 0
        # Durations of the first responses, which include the setup of a connection.
        self._first_count = 0
        self._first_total_ns = 0
        self._baseline_ns = 0.0  # service time of a request without overload; 0: not measured
        self._updated_ns = 0

    def record_response(self, duration_ns: int) -> None:
        """Count a response of an upstream, and its duration while nothing better is measured."""
        self._served_count += 1
        if not self.concurrency.sample_count:
            self._first_count += 1
            self._first_total_ns += max(1, duration_ns)

    def update(self, now: int) -> None:
        """Update the served rate and the baseline service time."""
        elapsed_ns = now - self._updated_ns if self._updated_ns else SECOND
        if elapsed_ns <= 0:
            return
        self._updated_ns = now
        served_per_s = self._served_count * SECOND / elapsed_ns
        self._served_count = 0
        # The mean since the start, until that is longer than the time constant.
        self._observed_ns = min(SERVED_TIME_NS, self._observed_ns + elapsed_ns)
        gain = min(1.0, elapsed_ns / self._observed_ns)
        self._served_per_s += gain * (served_per_s - self._served_per_s)
        if not self.concurrency.sample_count:
            return
        measured_ns = self.concurrency.per_request_ns
        baseline_ns = self._baseline_ns or measured_ns
        rise_gain = min(1.0, elapsed_ns / BASELINE_RISE_NS)
        gain = BASELINE_FALL_GAIN if measured_ns < baseline_ns else rise_gain
        self._baseline_ns = baseline_ns + gain * (measured_ns - baseline_ns)

    def per_s(self) -> float:
        """Return the estimate, in requests a second.

        If all proxies are like this one, each upstream serves this proxy's served rate, times the
        proxies, divided by the upstreams. A proxy that sees several times the mean would
        overestimate it: an upstream serves at least one request in a service time, and counts for
        at most START_WINDOW.
        """
        served_per_s = self._served_per_s * self.proxies / max(1, self.ready_count)
        single_per_s = SECOND / self._service_ns()
        return min(max(served_per_s, single_per_s), START_WINDOW * single_per_s)

    def _service_ns(self) -> float:
        if self._baseline_ns:
            return self._baseline_ns
        if self.concurrency.sample_count:
            return self.concurrency.per_request_ns
        if self._first_count:
            return min(self.assumed_service_ns, self._first_total_ns / self._first_count)
        return self.assumed_service_ns
