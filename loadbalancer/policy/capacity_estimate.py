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
        served_count: Responses since the last update.
    """

    def __init__(self, concurrency: ConcurrencyLimit, proxies: int) -> None:
        self.concurrency = concurrency
        self.proxies = proxies
        self.assumed_service_ns = float(SECOND)
        self.ready_count = 0
        self.served_count = 0
        self._served_per_s = 0.0
        self._baseline_ns = 0.0  # service time of a request without overload; 0: not measured
        self._updated_ns = 0

    def update(self, now: int) -> None:
        """Update the served rate and the baseline service time."""
        elapsed_ns = now - self._updated_ns if self._updated_ns else SECOND
        if elapsed_ns <= 0:
            return
        self._updated_ns = now
        served_per_s = self.served_count * SECOND / elapsed_ns
        self.served_count = 0
        gain = min(1.0, elapsed_ns / SERVED_TIME_NS)
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
        has_samples = self.concurrency.sample_count > 0
        return self.concurrency.per_request_ns if has_samples else self.assumed_service_ns
