"""Site observation of one balancer: evidence, reports, health checks and its traffic plan.

The module performs no I/O: its caller passes in finished attempts and data from the store, and
applies the result.

A balancer follows the lease holder's shares while they are fresh and cover all sites that it has
upstreams in. Otherwise it uses the precomputed shares for exactly the loss that it observes, if
there are any, and lets sites recover through the same stages based on its own attempts alone. In
either case it sends no requests to a site that does not respond to it.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from loadbalancer.failover import recovery
from loadbalancer.failover.evidence import MAX_COUNTED_FAILURES, UNREACHABLE, Evidence
from loadbalancer.failover.evidence_state import Site
from loadbalancer.failover.health import SiteHealth, Verdict
from loadbalancer.failover.recovery import Observation, Recovery, Stage
from loadbalancer.failover.report_counter import ReportCounter
from loadbalancer.failover.site_reports import SiteReport
from loadbalancer.failover.tally import Tally
from loadbalancer.failover.traffic_shares import TrafficShares
from loadbalancer.policy import api

SECOND_NS: Final = 1_000_000_000
SHARES_VALID_NS: Final = 12 * SECOND_NS  # since the lease holder last confirmed them
SUSPECTED_CHECKS: Final = 2  # health checks of a suspected site per update
CHECK_INTERVAL_NS: Final = SECOND_NS // 2  # in which an unused site gets CHECKS_PER_INTERVAL
CHECKS_PER_INTERVAL: Final = 8  # from all balancers together
UNUSED_FRACTION: Final = 0.05  # fraction of draws below which a site gets too few attempts
# Report interval. It is shorter while the traffic plan is not the normal one, because each step of
# a recovery waits for new observations. A change of a site's health is reported sooner still.
MIN_REPORT_NS: Final = 2 * SECOND_NS
REPORT_NS_PER_BALANCER: Final = 15_000_000
MAX_REPORT_NS: Final = 3 * SECOND_NS
ACTIVE_REPORT_FACTOR: Final = 0.5
URGENT_REPORT_NS: Final = SECOND_NS // 4
# A cancelled attempt counts as a failure if it had waited this fraction of the latency objective
# without a response.
CANCELLED_DEAD_FRACTION: Final = 0.8
ALIVE: Final = frozenset(
    {api.AttemptResult.OK, api.AttemptResult.ERROR, api.AttemptResult.REJECTED}
)
DEAD: Final = frozenset(
    {api.AttemptResult.CONNECT_FAILED, api.AttemptResult.RESET, api.AttemptResult.TIMEOUT}
)
NORMAL_PLAN: Final = api.TrafficPlan()


@dataclass(frozen=True, slots=True)
class Update:
    """Result of an update.

    Attributes:
        changes: Sites whose health changed, with their verdicts.
        health_checks: Numbers of the upstreams to check.
        plan: The new traffic plan for the policy; None if it is unchanged.
    """

    changes: list[tuple[str, Verdict]]
    health_checks: list[int]
    plan: api.TrafficPlan | None


class SiteObserver:
    """Observes the sites from one balancer.

    Args:
        local_site: The site of the balancer.
        name: Name of the balancer.
        balancers: Number of balancers of the service.
        rng: Draws upstreams to check and the jitter of intervals.
        now: The current time.

    Attributes:
        shares: The lease holder's shares, as last received.
        loss_shares: Precomputed shares by the set of lost sites.
        loss_shares_sites: All sites of the fleet that `loss_shares` were computed for.
        is_report_urgent: The health of a site changed since the last report.
    """

    def __init__(
        self, local_site: str, name: str, balancers: int, rng: random.Random, now: int
    ) -> None:
        self.local_site = local_site
        self.name = name
        self.balancers = max(1, balancers)
        self.rng = rng
        self.evidence = Evidence(local_site, now)
        self.shares = TrafficShares()
        self.confirmed_ns: int | None = None  # when the lease holder last confirmed its shares
        self.loss_shares: Mapping[frozenset[str], TrafficShares] = {}
        self.loss_shares_sites: frozenset[str] = frozenset()
        self.plan = NORMAL_PLAN
        self.is_report_urgent = False
        self._shares_sites: frozenset[str] = frozenset()
        self._counter = ReportCounter(local_site, now)
        self._report_due_ns = now + int(rng.random() * self.report_interval_ns)
        # Recoveries by this balancer's own observations, for use without a lease holder.
        self._recoveries: dict[str, Recovery] = {}
        self._stage_started_ns: dict[str, int] = {}
        self._stage_attempts: dict[str, Tally] = {}
        self._next_check_ns: dict[str, int] = {}

    # Observations

    def on_request(self, event: api.RequestArrived) -> None:
        """Count an incoming request."""
        self._counter.add_request(event)

    def on_attempt(
        self, event: api.AttemptFinished, latency_objective_ns: int, usual_ns: float, now: int
    ) -> None:
        """Count a finished attempt.

        Args:
            event: The attempt.
            latency_objective_ns: Latency objective of its request class.
            usual_ns: Usual duration of such a request; 0 if unknown.
            now: The current time.
        """
        is_ok = event.result is api.AttemptResult.OK
        is_dead = event.result in DEAD or (
            event.result is api.AttemptResult.CANCELLED
            and event.duration_ns >= CANCELLED_DEAD_FRACTION * latency_objective_ns
        )
        if not is_dead and event.result not in ALIVE:
            return
        is_good = is_ok and event.duration_ns <= latency_objective_ns
        ratio = event.duration_ns / usual_ns if is_ok and usual_ns > 0 else 0.0
        if is_good and event.complete:
            self._counter.add_served()
        self._record(event.upstream, not is_dead, is_good, ratio or None, now)

    def on_health_check(self, number: int, result: api.AttemptResult, now: int) -> None:
        """Count a finished health check."""
        if result in ALIVE or result in DEAD:
            self._record(number, result in ALIVE, result in ALIVE, None, now)

    def _record(
        self, number: int, is_alive: bool, is_good: bool, latency_ratio: float | None, now: int
    ) -> None:
        upstream = self.evidence.upstreams.get(number)
        if upstream is None:
            return
        site = upstream.site
        self._counter.add_attempt(site, is_good, latency_ratio)
        stage_attempts = self._stage_attempts.setdefault(site, Tally())
        stage_attempts.total += 1
        stage_attempts.good += is_good
        self.evidence.record_attempt(number, is_alive, now, latency_ratio)

    # The lease holder's shares

    def set_shares(
        self, shares: TrafficShares, sites: frozenset[str], held: Mapping[str, str], now: int
    ) -> None:
        """Set the lease holder's shares.

        Args:
            shares: The shares.
            sites: The sites that the shares cover; empty for any.
            held: By site held out of service, the operator who holds it.
            now: The current time.
        """
        self.shares = shares
        self._shares_sites = sites
        self.confirmed_ns = now
        for name in self.evidence.sites:
            self.evidence.set_hold(name, held.get(name, ""), now)

    def confirm_shares(self, now: int) -> None:
        """Record that the lease holder confirmed its shares."""
        self.confirmed_ns = now

    def follows_shares(self, now: int) -> bool:
        """Return whether this balancer follows the lease holder's shares now."""
        if self.confirmed_ns is None or now - self.confirmed_ns >= SHARES_VALID_NS:
            return False
        return not self._shares_sites or self._named_sites() <= self._shares_sites

    def _named_sites(self) -> frozenset[str]:
        return frozenset(name for name in self.evidence.sites if name)

    # Updates

    def update(self, now: int, is_store_reachable: bool) -> Update:
        """Judge the sites and return the health checks to send and the traffic plan."""
        self.evidence.is_store_reachable = is_store_reachable
        changes = self.evidence.tick(now)
        self.is_report_urgent = self.is_report_urgent or bool(changes)
        health_checks = self._choose_health_checks(now)
        plan = self._make_plan(now)
        if plan == self.plan:
            return Update(changes, health_checks, None)
        self.plan = plan
        return Update(changes, health_checks, plan)

    def _choose_health_checks(self, now: int) -> list[int]:
        """Choose upstreams of unused and suspected sites to check.

        Only health checks can show that an unused site is back. After a first response the site is
        checked at each update. A suspected site would get too few attempts, because the policy
        avoids failing upstreams.
        """
        chosen: list[int] = []
        for name, site in self.evidence.sites.items():
            is_suspected = self.evidence.is_suspected(name)
            if not (is_suspected or self._is_unused(site)):
                continue
            upstreams = [
                number
                for number, upstream in self.evidence.upstreams.items()
                if upstream.site == name
            ]
            if is_suspected:
                countable = [
                    number
                    for number in upstreams
                    if site.silent.get(number, 0) < MAX_COUNTED_FAILURES
                ]
                chosen += self.rng.sample(countable, min(SUSPECTED_CHECKS, len(countable)))
            elif upstreams and self._is_check_due(site, now):
                interval_ns = CHECK_INTERVAL_NS * max(1.0, self.balancers / CHECKS_PER_INTERVAL)
                self._next_check_ns[name] = now + int(interval_ns * self.rng.uniform(0.7, 1.0))
                chosen.append(self.rng.choice(upstreams))
        return chosen

    def _is_unused(self, site: Site) -> bool:
        return (
            site.health in UNREACHABLE
            or site.health is SiteHealth.RECOVERING
            or self.plan.zone_fractions.get(site.name, 1.0) < UNUSED_FRACTION
        )

    def _is_check_due(self, site: Site, now: int) -> bool:
        if now >= self._next_check_ns.get(site.name, 0):
            return True
        return site.health in UNREACHABLE and bool(site.answered)

    def _make_plan(self, now: int) -> api.TrafficPlan:
        follows_shares = self.follows_shares(now)
        base = self._plan_of(self.shares) if follows_shares else self._plan_by_loss()
        zones = dict(base.zone_fractions)
        for name, site in self.evidence.sites.items():
            if site.health in UNREACHABLE:
                self._set_recovery(Recovery(name), now)
                if not (self.evidence.is_isolated and name == self.local_site):
                    zones[name] = 0.0
            elif follows_shares:
                self._recoveries.pop(name, None)
            elif name in self._recoveries:
                zones[name] = min(zones.get(name, 1.0), self._step_recovery(name, now))
                if self._recoveries[name].stage is Stage.NORMAL:
                    del self._recoveries[name]
        names = self._named_sites()
        if names and all(zones.get(name, 1.0) <= 0.0 for name in names):
            zones = {}  # no site is usable: attempt all sites rather than reject every request
        return base._replace(zone_fractions=zones)

    def _plan_of(self, shares: TrafficShares) -> api.TrafficPlan:
        slow_start = shares.slow_start.get(self.name, {})
        return api.TrafficPlan(
            zone_fractions=dict(shares.zones.get(self.local_site, {})),
            excess_reject_fraction=shares.excess,
            tenant_rates=dict(shares.quotas.get(self.name, {})),
            retry_reject_fraction=shares.retries,
            hedging_allowed=shares.allows_hedging,
            class_reject_fractions=dict(shares.classes),
            retry_window_ns=(shares.retry_window_ns[0], shares.retry_window_ns[1]),
            slow_start_rates_per_s={
                upstream: slow_start.get(upstream, 0.0) for upstream in shares.slow_start_upstreams
            },
        )

    def _plan_by_loss(self) -> api.TrafficPlan:
        """Return the precomputed plan for the observed loss, or the normal plan if none fits."""
        lost = frozenset(
            name for name, site in self.evidence.sites.items() if site.health is SiteHealth.LOST
        )
        is_prepared = self._named_sites() == self.loss_shares_sites and lost in self.loss_shares
        if not lost or self.evidence.is_isolated or not is_prepared:
            return NORMAL_PLAN
        return self._plan_of(self.loss_shares[lost])

    def _set_recovery(self, next_recovery: Recovery, now: int) -> None:
        if self._recoveries.get(next_recovery.site) != next_recovery:
            self._recoveries[next_recovery.site] = next_recovery
            self._stage_started_ns[next_recovery.site] = now
            self._stage_attempts[next_recovery.site] = Tally()

    def _step_recovery(self, name: str, now: int) -> float:
        """Advance a recovery by this balancer's observations and return the site's fraction."""
        attempts = self._stage_attempts.get(name, Tally())
        observed = Observation(
            False, int(attempts.total), attempts.fraction, self._counter.latency_ratio(name)
        )
        age_s = (now - self._stage_started_ns[name]) / SECOND_NS
        next_recovery = recovery.step(self._recoveries[name], observed, age_s)
        self._set_recovery(next_recovery, now)
        return next_recovery.fraction

    # Reports

    @property
    def report_started_ns(self) -> int:
        """When counting for the current report started."""
        return self._counter.started_ns

    @property
    def report_interval_ns(self) -> int:
        """Report interval while the normal traffic plan is in use."""
        return min(MAX_REPORT_NS, max(MIN_REPORT_NS, REPORT_NS_PER_BALANCER * self.balancers))

    def is_report_due(self, now: int) -> bool:
        """Return whether a report is due to be written to the store."""
        due_ns = self._report_due_ns
        if self.is_report_urgent:
            due_ns = min(due_ns, self._counter.started_ns + URGENT_REPORT_NS)
        return now >= due_ns

    def take_report(self, usual_ns: Mapping[str, float], now: int) -> SiteReport:
        """Return the report and start counting for the next one.

        Args:
            usual_ns: By class, the usual duration of a request.
            now: The current time.
        """
        peer_report = self.evidence.own_report()
        report = self._counter.take(peer_report, self.evidence.is_isolated, usual_ns, now)
        self.is_report_urgent = False
        factor = 1.0 if self.plan == NORMAL_PLAN else ACTIVE_REPORT_FACTOR
        interval_ns = self.report_interval_ns * factor * self.rng.uniform(0.8, 1.0)
        self._report_due_ns = now + int(interval_ns)
        return report
