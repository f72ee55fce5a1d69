"""Site failure detection of one balancer, from its attempts, the endpoint list and peer reports.

An upstream counts as alive if an attempt gets any response, even an error. A failed or broken
connection and a timeout count as failures. One dead upstream does not make a lost site, so distinct
upstreams are counted: a site is judged lost after failures at enough distinct upstreams in a row
without a response in between. The run of failures is a sequential test (Wald 1945; Page 1954). Its
required length depends on the learned baseline failure rate, so a lossy network slows detection
down but does not cause false detections.

The following must not be judged a lost site: a few dead upstreams, slow upstreams, packet loss, a
wrong endpoint list, and above all a partition of this balancer, to which all other sites appear
lost.

All times are in nanoseconds on a monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

from loadbalancer.failover.evidence_state import ATTEMPT_VALID_NS, Site, Upstream
from loadbalancer.failover.health import PeerReport, SiteHealth, Verdict

SECOND_NS: Final = 1_000_000_000
LOST_FAILURE_RATE: Final = 0.98  # of attempts at a lost site
MIN_BASELINE_FAILURE_RATE: Final = 0.01  # bounds of the estimated rate of failures without a loss
MAX_BASELINE_FAILURE_RATE: Final = 0.3
BASELINE_GAIN: Final = 0.005  # weight of each outcome
# Log likelihood ratio of a loss against the baseline at which a loss is accepted: odds of a
# million to one.
LOSS_THRESHOLD: Final = 13.8
# Failed upstreams in a row that a loss requires at a site with enough of them. If half a site has
# died, 8 draws in a row hit only dead upstreams in 1 of 256 cases.
DISTINCT_UPSTREAMS: Final = 8
MAX_SITE_FRACTION: Final = 0.75  # of a site's upstreams that a loss requires at a smaller site
MIN_FAILURES: Final = 3
SLOW_RATIO: Final = 3.0  # times the other sites' latency
LATENCY_GAIN: Final = 0.1  # weight of each response
MAX_LATENCY_RATIO: Final = 10.0
MIN_LATENCY_RATIO: Final = 0.1
IMPAIRED_FRACTION: Final = 0.3  # fraction of silent upstreams from which a site is impaired
# Distinct upstreams that must respond to end a loss, or all upstreams of a smaller site.
MIN_RECOVERY_ANSWERS: Final = 3
# Peers needed to speed up the detection of a loss, or to judge it a partition.
MIN_AGREEING_PEERS: Final = 2
PEER_REPORT_VALID_NS: Final = 6 * SECOND_NS
MIN_STABLE_NS: Final = 2 * SECOND_NS  # required stability after one loss; doubles with each loss
MAX_STABLE_NS: Final = 120 * SECOND_NS
LOSS_DECAY_NS: Final = 300 * SECOND_NS  # time without a loss after which one loss is discounted
MAX_LOSSES: Final = 16
# Failures scored per upstream: more of them show only that this upstream is dead.
MAX_COUNTED_FAILURES: Final = 2
IN_SERVICE: Final = (SiteHealth.HEALTHY, SiteHealth.IMPAIRED)
UNREACHABLE: Final = (SiteHealth.LOST, SiteHealth.PARTITIONED)


class PeerOpinions(NamedTuple):
    """Peer reports on a site.

    Attributes:
        answering: Number of peers that get responses from the site.
        silent: Number of peers that get none.
        reported_inside: A balancer within the site reports to the store.
    """

    answering: int
    silent: int
    reported_inside: bool


class Evidence:
    """Evidence of one balancer on the health of all sites.

    Attributes:
        baseline_failure_rate: Estimated rate of failed attempts at sites that are not lost.
        peer_reports: By balancer, its last report and the time at which it was made.
        is_store_reachable: Whether the store responded recently, as set by the caller.
        is_isolated: This balancer itself appears to be partitioned.
    """

    def __init__(self, local_site: str, now: int) -> None:
        self.local_site = local_site
        self.now = now
        self.sites: dict[str, Site] = {}
        self.upstreams: dict[int, Upstream] = {}
        self.baseline_failure_rate = 2 * MIN_BASELINE_FAILURE_RATE
        self.peer_reports: dict[str, tuple[PeerReport, int]] = {}
        self.is_store_reachable = True
        self.is_isolated = False
        self.changes: list[tuple[str, Verdict]] = []

    # Events

    def update_upstreams(self, upstreams: Mapping[int, str], now: int) -> None:
        """Set the endpoint list: the upstreams in use and the site of each."""
        self.now = max(self.now, now)
        for number in self.upstreams.keys() - upstreams.keys():
            site = self.sites[self.upstreams.pop(number).site]
            site.silent.pop(number, None)
            site.answered.pop(number, None)
        for number, name in upstreams.items():
            existing = self.upstreams.get(number)
            if existing is None or existing.site != name:
                self.upstreams[number] = Upstream(name)
        for name in {*upstreams.values(), *([self.local_site] if self.local_site else [])}:
            if name not in self.sites:
                self.sites[name] = Site(name, since_ns=now, healthy_since_ns=now)

    def record_attempt(
        self, number: int, is_alive: bool, now: int, latency_ratio: float | None = None
    ) -> None:
        """Record a finished attempt.

        Args:
            number: Number of the upstream.
            is_alive: The upstream gave any response.
            now: The current time.
            latency_ratio: Response time relative to the expected time, if known.
        """
        upstream = self.upstreams.get(number)
        if upstream is None:
            return
        self.now = now = max(self.now, now)
        site = self.sites[upstream.site]
        upstream.last_attempt_ns = now
        upstream.is_alive = is_alive
        upstream.failures = 0 if is_alive else upstream.failures + 1
        if is_alive:
            self._record_answer(site, number, latency_ratio)
        else:
            self._record_failure(site, number)
        if site.health in IN_SERVICE and site.score < LOSS_THRESHOLD / 2:
            self.baseline_failure_rate += BASELINE_GAIN * (
                (not is_alive) - self.baseline_failure_rate
            )
            self.baseline_failure_rate = min(
                MAX_BASELINE_FAILURE_RATE,
                max(MIN_BASELINE_FAILURE_RATE, self.baseline_failure_rate),
            )

    def _record_answer(self, site: Site, number: int, latency_ratio: float | None) -> None:
        site.last_answer_ns = self.now
        site.answered[number] = site.answered.get(number, 0) + 1
        if latency_ratio is not None:
            site.latency_ratio += LATENCY_GAIN * (
                min(MAX_LATENCY_RATIO, latency_ratio) - site.latency_ratio
            )
        # One response ends the run of failures. The score falls only by the weight of one response.
        likelihood = (1 - self.baseline_failure_rate) / (1 - LOST_FAILURE_RATE)
        site.score = max(0.0, site.score - math.log(likelihood))
        site.silent.clear()

    def _record_failure(self, site: Site, number: int) -> None:
        earlier_failures = site.silent.get(number, 0)
        if not site.silent:
            site.run_started_ns = self.now
        site.silent[number] = earlier_failures + 1
        if earlier_failures < MAX_COUNTED_FAILURES:
            site.score += math.log(LOST_FAILURE_RATE / self.baseline_failure_rate)

    def add_peer_report(self, balancer: str, report: PeerReport, age_ns: int, now: int) -> None:
        """Add a peer's report that was made `age_ns` ago."""
        self.now = max(self.now, now)
        self.peer_reports[balancer] = report, now - age_ns

    def set_hold(self, name: str, operator: str, now: int) -> None:
        """Hold a site out of service for an operator; an empty operator ends the hold."""
        self.now = max(self.now, now)
        if name in self.sites:
            self.sites[name].held_by = operator

    # Verdicts

    def _appears_lost(self, site: Site) -> bool:
        """Return whether this balancer's run of failures is too long to be chance."""
        silent_peers = self._peer_opinions(site.name).silent
        min_upstreams = (
            DISTINCT_UPSTREAMS // 2 if silent_peers >= MIN_AGREEING_PEERS else DISTINCT_UPSTREAMS
        )
        count = self._upstream_count(site.name)
        if not count:
            return False
        # At a small site, waiting until every upstream has failed would take too long.
        required_upstreams = min(min_upstreams, math.ceil(MAX_SITE_FRACTION * count))
        failures = sum(site.silent.values())
        return (
            len(site.silent) >= required_upstreams
            and failures >= MIN_FAILURES
            and site.score >= LOSS_THRESHOLD
            and (site.last_answer_ns is None or site.last_answer_ns < site.run_started_ns)
        )

    def _upstream_count(self, name: str) -> int:
        return sum(upstream.site == name for upstream in self.upstreams.values())

    def _peer_opinions(self, name: str) -> PeerOpinions:
        answering = silent = 0
        reported_inside = False
        for report, reported_at in self.peer_reports.values():
            if self.now - reported_at > PEER_REPORT_VALID_NS:
                continue
            reported_inside |= report.site == name
            answering += name in report.answering
            silent += name in report.silent
        return PeerOpinions(answering, silent, reported_inside)

    def alive_fraction(self, name: str) -> float:
        """Return the fraction of a site's recently tried upstreams whose last attempt succeeded."""
        recent = [
            upstream.is_alive
            for upstream in self.upstreams.values()
            if upstream.site == name and upstream.was_tried_recently(self.now)
        ]
        return sum(recent) / len(recent) if recent else 1.0

    def tick(self, now: int) -> list[tuple[str, Verdict]]:
        """Update the health of all sites and return the verdicts that changed."""
        self.now = now = max(self.now, now)
        self.changes = []
        apparently_lost = {site.name for site in self.sites.values() if self._appears_lost(site)}
        recently_tried = self._recently_tried_sites()
        other_sites = [
            site
            for site in self.sites.values()
            if site.name != self.local_site and site.name in recently_tried
        ]
        unreachable = [
            site
            for site in other_sites
            if site.name in apparently_lost or site.health in UNREACHABLE
        ]
        was_isolated = self.is_isolated
        # If several other sites were tried and none responds, this balancer or its site is the one
        # that is partitioned. With only one other site, the side that can still reach the store is
        # not partitioned.
        if len(other_sites) > 1:
            self.is_isolated = len(unreachable) == len(other_sites)
        else:
            self.is_isolated = bool(unreachable) and not self.is_store_reachable
        for site in self.sites.values():
            self._judge(site, site.name in apparently_lost, was_isolated)
        return self.changes

    def _recently_tried_sites(self) -> set[str]:
        return {
            upstream.site
            for upstream in self.upstreams.values()
            if upstream.was_tried_recently(self.now)
        }

    def _judge(self, site: Site, appears_lost: bool, was_isolated: bool) -> None:
        if site.held_by:
            self._set_health(site, SiteHealth.HELD, f"held by {site.held_by}")
            return
        if site.health is SiteHealth.HELD:
            self._start_recovery(site, "no longer held")
            return
        was_unreachable = site.health in UNREACHABLE
        if appears_lost or (was_unreachable and not self._is_answering_again(site)):
            if not was_unreachable:
                site.answered.clear()
                site.losses = min(MAX_LOSSES, site.losses + 1)
            self._set_unreachable(site)
            return
        if was_unreachable:
            if was_isolated:
                site.losses = max(0, site.losses - 1)  # only this balancer was partitioned
            self._start_recovery(
                site,
                f"{sum(site.answered.values())} responses from {len(site.answered)} upstreams",
            )
            return
        if site.health is SiteHealth.RECOVERING:
            if self.now - site.since_ns < self.required_stability_ns(site.name):
                return
            site.healthy_since_ns = self.now
        self._judge_in_service(site)

    def _set_unreachable(self, site: Site) -> None:
        opinions = self._peer_opinions(site.name)
        # Without the store there are no current peer reports, so this balancer itself may be the
        # partitioned one.
        if self.is_isolated:
            health = SiteHealth.PARTITIONED
            context = "no other site responds: this balancer is partitioned"
        elif opinions.reported_inside:
            health = SiteHealth.PARTITIONED
            context = "its own balancers still report"
        elif opinions.answering >= MIN_AGREEING_PEERS:
            health = SiteHealth.PARTITIONED
            context = f"{opinions.answering} peers get responses from it"
        elif not self.is_store_reachable:
            health = SiteHealth.PARTITIONED
            context = "the store is unreachable as well"
        else:
            health = SiteHealth.LOST
            context = f"{opinions.silent} peers report the same"
        last_answer = ""
        if site.last_answer_ns is not None:
            age_s = (self.now - site.last_answer_ns) / SECOND_NS
            last_answer = f", the last response {age_s:.1f} s ago"
        self._set_health(
            site,
            health,
            f"{sum(site.silent.values())} consecutive attempts at {len(site.silent)} upstreams"
            f" without a response{last_answer}; {context}",
        )

    def _judge_in_service(self, site: Site) -> None:
        if site.losses and self.now - site.healthy_since_ns > LOSS_DECAY_NS:
            site.losses -= 1
            site.healthy_since_ns = self.now
        alive = self.alive_fraction(site.name)
        slowdown = self._slowdown(site)
        if 1 - alive >= IMPAIRED_FRACTION:
            reason = f"{1 - alive:.0%} of its recently tried upstreams do not respond"
            self._set_health(site, SiteHealth.IMPAIRED, reason)
        elif slowdown is not None:
            reason = f"its latency is {slowdown:.1f} times that of the other sites"
            self._set_health(site, SiteHealth.IMPAIRED, reason)
        elif site.health is not SiteHealth.HEALTHY:
            reason = f"{alive:.0%} of its recently tried upstreams respond"
            self._set_health(site, SiteHealth.HEALTHY, reason)

    def is_suspected(self, name: str) -> bool:
        """Return whether there is a run of failures still too short to judge the site lost."""
        site = self.sites[name]
        return site.health in IN_SERVICE and site.score >= LOSS_THRESHOLD / 4

    def _is_answering_again(self, site: Site) -> bool:
        """Return whether enough upstreams responded since the loss, or a few responded often."""
        min_upstreams = min(MIN_RECOVERY_ANSWERS, self._upstream_count(site.name))
        return bool(site.answered) and (
            len(site.answered) >= min_upstreams
            or sum(site.answered.values()) >= 3 * MIN_RECOVERY_ANSWERS
        )

    def _slowdown(self, site: Site) -> float | None:
        """Return a site's latency relative to the other sites' median, or None if not slow."""
        other_latency_ratios = sorted(
            other.latency_ratio
            for other in self.sites.values()
            if other is not site and other.health is SiteHealth.HEALTHY
        )
        if not other_latency_ratios:
            return None
        ratio = site.latency_ratio / max(
            MIN_LATENCY_RATIO, other_latency_ratios[len(other_latency_ratios) // 2]
        )
        return ratio if ratio > SLOW_RATIO else None

    def required_stability_ns(self, name: str) -> int:
        """Return how long a recovering site must stay reachable; it doubles with each loss."""
        site = self.sites[name]
        return min(MAX_STABLE_NS, MIN_STABLE_NS << max(0, site.losses - 1))

    def _start_recovery(self, site: Site, reason: str) -> None:
        site.silent.clear()
        site.score = 0.0
        site.latency_ratio = 1.0
        self._set_health(site, SiteHealth.RECOVERING, reason)

    def _set_health(self, site: Site, health: SiteHealth, reason: str) -> None:
        if site.health is health:
            return
        site.health = health
        site.since_ns = self.now
        site.reason = reason
        self.changes.append((site.name, self.verdict(site.name)))

    def verdict(self, name: str) -> Verdict:
        """Return the current health of a site."""
        site = self.sites[name]
        return Verdict(site.health, site.since_ns, self.alive_fraction(name), site.reason)

    def own_report(self) -> PeerReport:
        """Return this balancer's report for its peers.

        It omits sites that were not tried recently, and lists no site as silent while this balancer
        is isolated.
        """
        recently_tried = self._recently_tried_sites()
        silent = {name for name in recently_tried if self.sites[name].health in UNREACHABLE}
        answering = {
            name for name in recently_tried - silent if self._is_answering(self.sites[name])
        }
        return PeerReport(
            self.local_site,
            frozenset(answering),
            frozenset() if self.is_isolated else frozenset(silent),
        )

    def _is_answering(self, site: Site) -> bool:
        return (
            site.last_answer_ns is not None
            and self.now - site.last_answer_ns < ATTEMPT_VALID_NS
            and not site.silent
        )
