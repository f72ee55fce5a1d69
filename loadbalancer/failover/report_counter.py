"""Counters for a balancer's reports: requests, attempts and their latency."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import Final

from loadbalancer.failover.health import PeerReport
from loadbalancer.failover.site_reports import (
    NOT_KNOWN,
    ClassLoad,
    SiteAttempts,
    SiteReport,
)
from loadbalancer.policy import api

SECOND_NS: Final = 1_000_000_000
MIN_INTERVAL_S: Final = 0.05
MIN_REQUESTS: Final = 5  # fewer are not enough for a fraction
LATENCY_GAIN: Final = 0.1
MAX_LATENCY_RATIO: Final = 10.0


class ReportCounter:
    """Counts requests and attempts since the last report.

    Latency ratios are averaged exponentially across reports.

    Attributes:
        started_ns: When counting for the current report started.
    """

    def __init__(self, local_site: str, now: int) -> None:
        self.local_site = local_site
        self.started_ns = now
        self._requests: Counter[tuple[str, str]] = Counter()  # by class and tenant
        self._retries: Counter[tuple[str, str]] = Counter()
        self._request_count = 0
        self._served_count = 0
        self._attempts: Counter[str] = Counter()  # by site
        self._good_attempts: Counter[str] = Counter()
        self._latency_ratios: dict[str, float] = {}
        self._sequence = 0

    def add_request(self, event: api.RequestArrived) -> None:
        """Count an incoming request."""
        self._request_count += 1
        self._requests[event.class_name, event.tenant] += 1
        self._retries[event.class_name, event.tenant] += event.is_retry

    def add_served(self) -> None:
        """Count a request that was answered in time."""
        self._served_count += 1

    def add_attempt(self, site: str, is_good: bool, latency_ratio: float | None) -> None:
        """Count an attempt at a site."""
        self._attempts[site] += 1
        self._good_attempts[site] += is_good
        if latency_ratio is not None:
            before = self.latency_ratio(site)
            self._latency_ratios[site] = before + LATENCY_GAIN * (
                min(MAX_LATENCY_RATIO, latency_ratio) - before
            )

    def latency_ratio(self, site: str) -> float:
        """Return the average latency of a site relative to the expected latency."""
        return self._latency_ratios.get(site, 1.0)

    def take(
        self, peer_report: PeerReport, is_isolated: bool, usual_ns: Mapping[str, float], now: int
    ) -> SiteReport:
        """Return the report and start the next one.

        Args:
            peer_report: This balancer's opinion on the sites.
            is_isolated: This balancer appears to be partitioned.
            usual_ns: By class, the usual duration of a request.
            now: The current time.
        """
        seconds = max(MIN_INTERVAL_S, (now - self.started_ns) / SECOND_NS)
        self._sequence += 1
        served = NOT_KNOWN
        if self._request_count >= MIN_REQUESTS:
            served = round(self._served_count / self._request_count, 4)
        report = SiteReport(
            site=self.local_site,
            answering=tuple(sorted(peer_report.answering)),
            silent=tuple(sorted(peer_report.silent)),
            is_isolated=is_isolated,
            loads=self._class_loads(seconds),
            sites=self._site_attempts(),
            served_fraction=served,
            work=tuple(
                (name, round(duration_ns / SECOND_NS, 5))
                for name, duration_ns in sorted(usual_ns.items())
                if name
            ),
            sequence=self._sequence,
        )
        self._reset(now)
        return report

    def _class_loads(self, seconds: float) -> tuple[ClassLoad, ...]:
        return tuple(
            ClassLoad(
                name,
                tenant,
                round(count / seconds, 3),
                round(self._retries[name, tenant] / count, 3),
            )
            for (name, tenant), count in sorted(self._requests.items())
        )

    def _site_attempts(self) -> tuple[SiteAttempts, ...]:
        return tuple(
            SiteAttempts(
                site,
                count,
                round(self._good_attempts[site] / count, 3),
                round(self.latency_ratio(site), 2),
            )
            for site, count in sorted(self._attempts.items())
        )

    def _reset(self, now: int) -> None:
        for counts in (self._requests, self._retries):
            counts.clear()
        for site_counts in (self._attempts, self._good_attempts):
            site_counts.clear()
        self._request_count = 0
        self._served_count = 0
        self.started_ns = now
