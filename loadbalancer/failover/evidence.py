"""Site health as one balancer sees it: from its attempts, the endpoint list and its peers' reports.

An attempt is a sign of life if there was any answer, even a bad one; a connection that does not
come up or breaks, or an attempt that nothing answers, is none. One dead upstream is not a dead
site, so distinct upstreams are counted: a site is lost when so many of them in a row gave no sign
of life, and none did meanwhile. Such a run is a sequential test (Wald 1945; Page 1954): its length
follows from how often attempts fail anyhow, which is learned, so that a lossy network makes the
detection slower and not wrong.

What must not be mistaken for a lost site: a few dead upstreams, slow ones, a link that loses
packets, a wrong list, and above all a partition of this balancer itself, to which all other sites
seem lost.

All times are those of a monotonic clock, in nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

from loadbalancer.failover.evidence_state import ATTEMPT_VALID_NS, Site, Upstream
from loadbalancer.failover.health import PeerReport, SiteHealth, Verdict

SECOND_NS: Final = 1_000_000_000
LOST_FAILURE_RATE: Final = 0.98  # of attempts at a lost site
MIN_BASELINE_FAILURE_RATE: Final = 0.01  # of attempts that fail anyhow: at least assumed
MAX_BASELINE_FAILURE_RATE: Final = 0.3  # at most believed
BASELINE_GAIN: Final = 0.005  # weight of each outcome
# Log likelihood ratio of a loss against the baseline, from which it is believed: one in a million.
LOSS_THRESHOLD: Final = 13.8
# Upstreams in a row, where there are so many: half a site that died shows so in 1 of 256 cases.
DISTINCT_UPSTREAMS: Final = 8
MAX_SITE_FRACTION: Final = 0.75  # of a site's upstreams, where there are fewer than that
MIN_FAILURES: Final = 3
SLOW_RATIO: Final = 3.0  # times the other sites' latency
LATENCY_GAIN: Final = 0.1  # weight of each answer
MAX_LATENCY_RATIO: Final = 10.0
MIN_LATENCY_RATIO: Final = 0.1
IMPAIRED_FRACTION: Final = 0.3  # of a site's upstreams that are silent
MIN_RECOVERY_ANSWERS: Final = (
    3  # answers, from distinct upstreams where there are some, that end a loss
)
MIN_AGREEING_PEERS: Final = (
    2  # peers whose report makes a loss a partition, or makes it known sooner
)
PEER_REPORT_VALID_NS: Final = 6 * SECOND_NS
MIN_STABLE_NS: Final = 2 * SECOND_NS  # how long a site must stay after a loss, at first
MAX_STABLE_NS: Final = 120 * SECOND_NS
LOSS_DECAY_NS: Final = 300 * SECOND_NS  # without a further loss, after which one is forgiven
MAX_LOSSES: Final = 16
MAX_COUNTED_FAILURES: Final = 2  # of one upstream: one dead by itself tells no more
IN_SERVICE: Final = (SiteHealth.HEALTHY, SiteHealth.IMPAIRED)
UNREACHABLE: Final = (SiteHealth.LOST, SiteHealth.PARTITIONED)


class PeerOpinions(NamedTuple):
    """Peers that a site answers, those that it does not, and whether one within it reports."""

    answering: int
    silent: int
    reported_inside: bool


class Evidence:
    """What one balancer knows of the sites.

    Attributes:
        baseline_failure_rate: Of attempts that fail although nothing is lost.
        peer_reports: By balancer, with the time at which each was made.
        is_store_reachable: As far as is known.
        is_isolated: This balancer itself is partitioned.
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
        """Take discovery's list: upstreams in use, and the site of each."""
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
        """Count an attempt that ended.

        Args:
            number: Of the upstream.
            is_alive: It gave a sign of life.
            now: The clock.
            latency_ratio: The answer's time against what was expected, where it is known.
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
        # One sign of life ends the run, however likely a loss seemed by it.
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
        """Take a peer's report that was made `age_ns` ago."""
        self.now = max(self.now, now)
        self.peer_reports[balancer] = report, now - age_ns

    def set_hold(self, name: str, operator: str, now: int) -> None:
        """Keep a site out for an operator, or release it (empty)."""
        self.now = max(self.now, now)
        if name in self.sites:
            self.sites[name].held_by = operator

    # Judgement

    def _appears_lost(self, site: Site) -> bool:
        """Return whether own attempts alone show a loss: too many failures in a row for chance."""
        silent_peers = self._peer_opinions(site.name).silent
        needed = (
            DISTINCT_UPSTREAMS // 2 if silent_peers >= MIN_AGREEING_PEERS else DISTINCT_UPSTREAMS
        )
        count = self._upstream_count(site.name)
        if not count:
            return False
        # To wait for each last upstream would take long.
        required_upstreams = min(needed, math.ceil(MAX_SITE_FRACTION * count))
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
        """Return the fraction of a site's upstreams tried lately that answered last."""
        recent = [
            upstream.is_alive
            for upstream in self.upstreams.values()
            if upstream.site == name and upstream.was_tried_recently(self.now)
        ]
        return sum(recent) / len(recent) if recent else 1.0

    def tick(self, now: int) -> list[tuple[str, Verdict]]:
        """Judge all sites; return the verdicts that changed since the last tick."""
        self.now = now = max(self.now, now)
        self.changes = []
        apparently_lost = {site.name for site in self.sites.values() if self._appears_lost(site)}
        recently_tried = self._recently_tried_sites()
        others = [
            site
            for site in self.sites.values()
            if site.name != self.local_site and site.name in recently_tried
        ]
        unreachable = [
            site for site in others if site.name in apparently_lost or site.health in UNREACHABLE
        ]
        was_isolated = self.is_isolated
        # If several other sites are tried and none answers, this balancer or its site is the one
        # that is partitioned. With a single other one, whoever still has the store is not.
        if len(others) > 1:
            self.is_isolated = len(unreachable) == len(others)
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
                site.losses = max(0, site.losses - 1)  # it never went away
            self._start_recovery(
                site,
                f"{sum(site.answered.values())} answers from {len(site.answered)} upstreams",
            )
            return
        if site.health is SiteHealth.RECOVERING:
            if self.now - site.since_ns < self.required_stability_ns(site.name):
                return
            site.healthy_since_ns = self.now
        self._judge_in_service(site)

    def _set_unreachable(self, site: Site) -> None:
        opinions = self._peer_opinions(site.name)
        # Without the store no peer can be consulted: it may as well be this balancer that is
        # partitioned.
        if self.is_isolated:
            health = SiteHealth.PARTITIONED
            context = "no other site answers: this balancer is cut off"
        elif opinions.reported_inside:
            health = SiteHealth.PARTITIONED
            context = "its own balancers still report"
        elif opinions.answering >= MIN_AGREEING_PEERS:
            health = SiteHealth.PARTITIONED
            context = f"{opinions.answering} peers are answered"
        elif not self.is_store_reachable:
            health = SiteHealth.PARTITIONED
            context = "the store does not answer either"
        else:
            health = SiteHealth.LOST
            context = f"{opinions.silent} peers report the same"
        last_answer = ""
        if site.last_answer_ns is not None:
            age_s = (self.now - site.last_answer_ns) / SECOND_NS
            last_answer = f", the last answer {age_s:.1f} s ago"
        self._set_health(
            site,
            health,
            f"{sum(site.silent.values())} attempts in a row at {len(site.silent)} upstreams"
            f" without an answer{last_answer}; {context}",
        )

    def _judge_in_service(self, site: Site) -> None:
        if site.losses and self.now - site.healthy_since_ns > LOSS_DECAY_NS:
            site.losses -= 1
            site.healthy_since_ns = self.now
        alive = self.alive_fraction(site.name)
        slowdown = self._slowdown(site)
        if 1 - alive >= IMPAIRED_FRACTION:
            reason = f"{1 - alive:.0%} of its upstreams tried lately are silent"
            self._set_health(site, SiteHealth.IMPAIRED, reason)
        elif slowdown is not None:
            reason = f"its answers take {slowdown:.1f} times what the others' do"
            self._set_health(site, SiteHealth.IMPAIRED, reason)
        elif site.health is not SiteHealth.HEALTHY:
            reason = f"{alive:.0%} of its upstreams tried lately answer"
            self._set_health(site, SiteHealth.HEALTHY, reason)

    def is_suspected(self, name: str) -> bool:
        """Return whether there is a run of failures that is too short yet to judge."""
        site = self.sites[name]
        return site.health in IN_SERVICE and site.score >= LOSS_THRESHOLD / 4

    def _is_answering_again(self, site: Site) -> bool:
        """Return whether enough upstreams answered since the loss, or few of them often enough."""
        needed = min(MIN_RECOVERY_ANSWERS, self._upstream_count(site.name))
        return bool(site.answered) and (
            len(site.answered) >= needed or sum(site.answered.values()) >= 3 * MIN_RECOVERY_ANSWERS
        )

    def _slowdown(self, site: Site) -> float | None:
        """Return how many times slower than the others a site is; None: not by much."""
        others = sorted(
            other.latency_ratio
            for other in self.sites.values()
            if other is not site and other.health is SiteHealth.HEALTHY
        )
        if not others:
            return None
        ratio = site.latency_ratio / max(MIN_LATENCY_RATIO, others[len(others) // 2])
        return ratio if ratio > SLOW_RATIO else None

    def required_stability_ns(self, name: str) -> int:
        """Return how long a recovering site must stay: the longer, the more often it was lost."""
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
        """Return what this balancer reports to its peers.

        It reports nothing of a site that it has not tried lately, and no site as silent while it is
        itself isolated.
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
