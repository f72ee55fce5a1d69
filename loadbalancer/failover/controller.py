"""Failover decisions of the lease holder: the next site states and traffic shares.

They follow from the balancers' reports and the stored states. The module performs no I/O: its
caller reads and writes the store and holds the lease. Estimates that the controller keeps between
two decisions are local to its process, so each new lease holder starts with fresh ones.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from loadbalancer.failover.fleet_model import Fleet, Load, SiteCapacity
from loadbalancer.failover.health import SiteHealth, Verdict
from loadbalancer.failover.recovery import Observation, SlowStartRules
from loadbalancer.failover.shedding import SheddingController
from loadbalancer.failover.site_reports import ReceivedReport, collect_opinions, judge_site
from loadbalancer.failover.site_state import FleetView, SiteState, advance
from loadbalancer.failover.tally import Tally
from loadbalancer.failover.traffic_shares import (
    BalancerInputs,
    TrafficShares,
    build_fleet,
    compute_shares,
    scaled_capacities,
)

SECOND_NS: Final = 1_000_000_000
# Smoothing gain of loads per decision: without smoothing, shedding would rise with each random
# fluctuation of the reports.
LOAD_GAIN: Final = 0.15
MIN_RATE: Final = 0.01  # requests/s; loads below are dropped
MIN_ATTEMPTS: Final = 10  # fewer are not enough to estimate the good fraction
GOOD_GAIN: Final = 0.3
USUAL_GAIN: Final = 0.02
INITIAL_GOOD_FRACTION: Final = 0.97
# By how much the good fraction is below the usual one:
SPARE_DIFFERENCE: Final = 0.03  # below this, capacity is larger than assumed
OVERLOAD_DIFFERENCE: Final = 0.12  # above this, capacity is smaller than assumed
STRAIN_DIFFERENCE: Final = 0.02  # above this, requests suffer and the recovery of sites is urgent
MIN_CAPACITY_FACTOR: Final = 0.6
MAX_CAPACITY_FACTOR: Final = 2.0
CAPACITY_GROWTH: Final = 1.08
CAPACITY_SHRINKAGE: Final = 0.97
LATENCY_GAIN: Final = 0.2
MIN_LATENCY_RATIO: Final = 0.1
MIN_GOOD_FRACTION: Final = 0.5  # lower bound of the fleet's fraction that a site is compared with


@dataclass(frozen=True, slots=True)
class StartingUpstream:
    """An upstream that started recently."""

    number: int
    site: str
    age_s: float


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """The inputs of one decision, read at one time.

    Attributes:
        class_values: By class, the value of a request answered in time.
        quotas: By tenant, the requests/s over all balancers.
        ready: By site, the number of upstreams that discovery lists as ready now.
        usual: By site, the number of upstreams that discovery usually lists.
        served: Fraction of the fleet's requests served in time; None if there were too few.
        blocked_reason: Why no decision can be made on these inputs; empty if one can.
    """

    sites: Mapping[str, SiteCapacity]
    reports: Mapping[str, ReceivedReport]
    class_values: Mapping[str, float]
    quotas: Mapping[str, float]
    ready: Mapping[str, int]
    usual: Mapping[str, int]
    starting_upstreams: tuple[StartingUpstream, ...] = ()
    served: float | None = None
    blocked_reason: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """The result of one decision.

    Attributes:
        fleet: The fleet with the smoothed loads that the shares were computed from.
    """

    states: tuple[SiteState, ...]
    shares: TrafficShares
    fleet: Fleet
    verdicts: Mapping[str, Verdict]


@dataclass(frozen=True, slots=True)
class _VersionSince:
    """A version of a site state and when this process first observed it."""

    version: int
    since_ns: int


class FailoverController:
    """Decides the next site states and the traffic shares of all balancers.

    Attributes:
        good_fraction: Fraction of attempts at healthy sites that were answered in time.
        usual_good_fraction: The slowly averaged good fraction while nothing is shed.
        capacity_factor: Observed capacity relative to the configured capacity.
    """

    def __init__(self, rules: SlowStartRules, now: int) -> None:
        self.rules = rules
        self.shedding = SheddingController(now)
        self.good_fraction = INITIAL_GOOD_FRACTION
        self.usual_good_fraction = INITIAL_GOOD_FRACTION
        self.capacity_factor = 1.0
        self._attempts: dict[str, Tally] = {}  # by site, since the last change of its state
        self._latency_ratios: dict[str, float] = {}
        # By balancer, the sequence number of its last report that was counted.
        self._counted_sequences: dict[str, int] = {}
        self._capacity_sequences: dict[str, int] = {}  # the same, for the capacity factor
        self._rates: dict[tuple[str, str, str], float] = {}
        self._versions: dict[str, _VersionSince] = {}

    def decide(self, states: tuple[SiteState, ...], snapshot: FleetSnapshot, now: int) -> Decision:
        """Return the next states and shares."""
        opinions = collect_opinions(snapshot.reports)
        verdicts = {
            name: judge_site(
                name, opinions, snapshot.ready.get(name, 0), snapshot.usual.get(name, 0)
            )
            for name in snapshot.sites
        }
        self._count_attempts(snapshot)
        ages_s = {state.site: self._age_s(state, now) for state in states}
        self._estimate_capacity(snapshot, verdicts)
        is_strained = self.good_fraction < self.usual_good_fraction - STRAIN_DIFFERENCE
        view = FleetView(
            verdicts=verdicts,
            observations=self._observations(verdicts),
            ages_s=ages_s,
            capacities={name: site.capacity for name, site in snapshot.sites.items()},
            served=snapshot.served,
            blocked_reason=snapshot.blocked_reason,
            is_capacity_short=self.shedding.current.level > 0 or is_strained,
        )
        next_states = advance(states, view)
        for previous, state in zip(states, next_states, strict=True):
            if previous != state:
                self._attempts.pop(state.site, None)
                self._versions[state.site] = _VersionSince(state.version, now)
        reports = {
            name: received_report
            for name, received_report in snapshot.reports.items()
            if received_report.is_fresh
        }
        fleet = self._smoothed(
            build_fleet(snapshot.sites.values(), snapshot.class_values, snapshot.quotas, reports)
        )
        inputs = BalancerInputs(reports, self._slow_start_rates(snapshot, next_states))
        estimated = scaled_capacities(fleet, dict.fromkeys(fleet.sites, self.capacity_factor))
        shares = compute_shares(estimated, next_states, self.shedding, inputs, now)
        return Decision(next_states, shares, fleet, verdicts)

    def _estimate_capacity(self, snapshot: FleetSnapshot, verdicts: Mapping[str, Verdict]) -> None:
        """Adjust the capacity factor by the observed good fraction.

        While load is shed, the factor grows if admitted requests are answered in time and shrinks
        if they are not. Each report counts once.
        """
        attempts = self._new_attempts(snapshot, verdicts)
        if attempts.total < MIN_ATTEMPTS:
            return
        self.good_fraction += GOOD_GAIN * (attempts.good / attempts.total - self.good_fraction)
        if not self.shedding.current.level:
            self.usual_good_fraction += USUAL_GAIN * (self.good_fraction - self.usual_good_fraction)
            self.capacity_factor += USUAL_GAIN * (1.0 - self.capacity_factor)
        elif self.good_fraction > self.usual_good_fraction - SPARE_DIFFERENCE:
            self.capacity_factor = min(MAX_CAPACITY_FACTOR, self.capacity_factor * CAPACITY_GROWTH)
        elif self.good_fraction < self.usual_good_fraction - OVERLOAD_DIFFERENCE:
            self.capacity_factor = max(
                MIN_CAPACITY_FACTOR, self.capacity_factor * CAPACITY_SHRINKAGE
            )

    def _new_attempts(self, snapshot: FleetSnapshot, verdicts: Mapping[str, Verdict]) -> Tally:
        """Return the attempts at healthy sites from reports not counted yet."""
        total = Tally()
        for name, received in snapshot.reports.items():
            report = received.report
            if not received.is_fresh or self._capacity_sequences.get(name) == report.sequence:
                continue
            self._capacity_sequences[name] = report.sequence
            for site in report.sites:
                verdict = verdicts.get(site.site)
                if verdict is not None and verdict.health is SiteHealth.HEALTHY:
                    total.total += site.attempts
                    total.good += site.attempts * site.good_fraction
        return total

    def _age_s(self, state: SiteState, now: int) -> float:
        version_since = self._versions.get(state.site)
        if version_since is None or version_since.version != state.version:
            version_since = self._versions[state.site] = _VersionSince(state.version, now)
        return (now - version_since.since_ns) / SECOND_NS

    def _count_attempts(self, snapshot: FleetSnapshot) -> None:
        """Add the attempts and latency ratios of the reports, each report once."""
        for name, received in snapshot.reports.items():
            report = received.report
            if not received.is_fresh or self._counted_sequences.get(name) == report.sequence:
                continue
            self._counted_sequences[name] = report.sequence
            for site in report.sites:
                attempts = self._attempts.setdefault(site.site, Tally())
                attempts.total += site.attempts
                attempts.good += site.attempts * site.good_fraction
                ratio = self._latency_ratios.get(site.site, 1.0)
                self._latency_ratios[site.site] = ratio + LATENCY_GAIN * (
                    site.latency_ratio - ratio
                )

    def _observations(self, verdicts: Mapping[str, Verdict]) -> dict[str, Observation]:
        ratios = sorted(self._latency_ratios.values())
        median_ratio = ratios[len(ratios) // 2] if ratios else 1.0
        observations = {}
        for name, verdict in verdicts.items():
            attempts = self._attempts.get(name, Tally())
            good_fraction = 1.0
            if attempts.total:
                # Relative to the fleet's current good fraction: a recovering site is not held back
                # when all sites are overloaded.
                fleet_fraction = max(MIN_GOOD_FRACTION, self.good_fraction)
                good_fraction = min(1.0, attempts.good / attempts.total / fleet_fraction)
            observations[name] = Observation(
                verdict.health is SiteHealth.LOST,
                int(attempts.total),
                good_fraction,
                self._latency_ratios.get(name, 1.0) / max(MIN_LATENCY_RATIO, median_ratio),
            )
        return observations

    def _smoothed(self, fleet: Fleet) -> Fleet:
        """Return the fleet with loads smoothed exponentially over the last decisions.

        When a balancer stops reporting, its load decays with the same gain at which the load grows
        at the balancers that clients move to.
        """
        current = {(load.site, load.class_name, load.tenant): load for load in fleet.loads}
        for key in current.keys() | self._rates.keys():
            rate = current[key].rate if key in current else 0.0
            before = self._rates.get(key, rate)
            self._rates[key] = before + LOAD_GAIN * (rate - before)
        self._rates = {key: rate for key, rate in self._rates.items() if rate > MIN_RATE}
        loads = [
            replace(current.get(key, Load(*key, 0.0)), rate=rate)
            for key, rate in sorted(self._rates.items())
            if key[1] in fleet.classes and key[0] in fleet.sites
        ]
        tenant_rates: dict[str, float] = {}
        for load in loads:
            tenant_rates[load.tenant] = tenant_rates.get(load.tenant, 0.0) + load.rate
        return replace(
            fleet, loads=tuple(_with_excess(load, fleet, tenant_rates) for load in loads)
        )

    def _slow_start_rates(
        self, snapshot: FleetSnapshot, states: tuple[SiteState, ...]
    ) -> dict[int, float]:
        """Return the requests/s that each cold upstream of recovering sites can serve in total."""
        recovering = {state.site for state in states if not state.is_normal and state.fraction > 0}
        rates = {}
        for upstream in snapshot.starting_upstreams:
            site = snapshot.sites.get(upstream.site)
            if site is None or upstream.site not in recovering:
                continue
            if upstream.age_s < self.rules.duration_s:
                full_rate = site.capacity / max(1, snapshot.usual.get(upstream.site, 1))
                rates[upstream.number] = self.rules.rate(full_rate, upstream.age_s)
        return rates


def _with_excess(load: Load, fleet: Fleet, tenant_rates: Mapping[str, float]) -> Load:
    """Return a load with its excess fraction computed from the tenant's smoothed rate."""
    quota = fleet.quotas.get(load.tenant)
    if not quota:
        return load
    return replace(load, excess=max(0.0, 1.0 - quota / tenant_rates[load.tenant]))
