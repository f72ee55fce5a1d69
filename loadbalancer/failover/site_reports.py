"""Balancers' reports, and the verdict on each site that follows from all of them.

A balancer reports on its own attempts. No single report decides: a site is judged lost when a
majority of the sites with an opinion get no response from it and its own balancers do not
contradict them.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple

import msgspec

from loadbalancer.failover.evidence import IMPAIRED_FRACTION
from loadbalancer.failover.health import SiteHealth, Verdict

REPORT_VALID_S: Final = 8.0
MAJORITY: Final = 2 / 3  # of the other sites with an opinion
MIN_VOTERS: Final = 2  # a single site may have a network fault of its own
NOT_KNOWN: Final = -1.0  # stored value: too few requests to compute the fraction


class ClassLoad(NamedTuple):
    """Incoming requests/s of one class and tenant, and the fraction that are client retries."""

    class_name: str
    tenant: str
    rate: float
    retry_fraction: float


class SiteAttempts(NamedTuple):
    """Finished attempts at a site, the fraction answered in time, and their latency ratio."""

    site: str
    attempts: int
    good_fraction: float
    latency_ratio: float


class SiteReport(msgspec.Struct, frozen=True):
    """One balancer's report as stored. Balancers write one every few seconds.

    Attributes:
        answering: Sites that respond to the balancer.
        silent: Sites that do not respond to it.
        is_isolated: The balancer appears to be partitioned, so it has no opinion.
        loads: Incoming load since the previous report.
        sites: Attempts since the previous report.
        served_fraction: Fraction of requests answered in time; NOT_KNOWN if there were too few.
        work: By class, the duration of a request in seconds.
        sequence: Sequence number, which grows with each report.
    """

    site: str
    answering: tuple[str, ...] = msgspec.field(name="answers")
    silent: tuple[str, ...]
    is_isolated: bool = msgspec.field(name="alone")
    loads: tuple[ClassLoad, ...] = ()
    sites: tuple[SiteAttempts, ...] = ()
    served_fraction: float = msgspec.field(default=NOT_KNOWN, name="served")
    work: tuple[tuple[str, float], ...] = ()
    sequence: int = msgspec.field(default=0, name="count")


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report and its age by the reader's clock.

    Attributes:
        is_live: The balancer holds the lease of its name.
    """

    report: SiteReport
    age_s: float
    is_live: bool = True

    @property
    def is_fresh(self) -> bool:
        """Whether the report is recent enough and its balancer is live."""
        return self.is_live and self.age_s <= REPORT_VALID_S


@dataclass(frozen=True, slots=True)
class FleetOpinions:
    """Opinions on all sites, with one vote per reporting site.

    Attributes:
        answering: By site, the voting sites that get responses from it.
        silent: By site, the voting sites that get none.
        reporting: By site, how many of its own balancers report.
    """

    answering: Mapping[str, list[str]] = field(default_factory=dict)
    silent: Mapping[str, list[str]] = field(default_factory=dict)
    reporting: Mapping[str, int] = field(default_factory=dict)


def collect_opinions(reports: Mapping[str, ReceivedReport]) -> FleetOpinions:
    """Return each site's opinion on each site, by the majority of its balancers."""
    votes: dict[tuple[str, str], list[int]] = {}
    reporting: dict[str, int] = {}
    for received in reports.values():
        if not received.is_fresh:
            continue
        report = received.report
        reporting[report.site] = reporting.get(report.site, 0) + 1
        if report.is_isolated:
            continue
        for name in report.answering:
            votes.setdefault((name, report.site), [0, 0])[0] += 1
        for name in report.silent:
            votes.setdefault((name, report.site), [0, 0])[1] += 1
    answering: dict[str, list[str]] = {}
    silent: dict[str, list[str]] = {}
    for (name, voter), (answering_votes, silent_votes) in sorted(votes.items()):
        (answering if answering_votes >= silent_votes else silent).setdefault(name, []).append(
            voter
        )
    return FleetOpinions(answering, silent, reporting)


def judge_site(name: str, opinions: FleetOpinions, ready: int, usual: int) -> Verdict:
    """Return the verdict on a site by the opinions of all sites.

    Args:
        name: Name of the site.
        opinions: Opinions of all sites.
        ready: Number of the site's upstreams that discovery lists as ready.
        usual: Number of the site's upstreams that discovery usually lists.
    """
    silent_to = opinions.silent.get(name, [])
    answers_to = opinions.answering.get(name, [])
    others_silent = [site for site in silent_to if site != name]
    others_answered = [site for site in answers_to if site != name]
    reason = (
        f"{len(others_silent)} other sites get no answer there"
        f" ({', '.join(others_silent) or 'none'}),"
        f" {len(others_answered)} do; {opinions.reporting.get(name, 0)} of its own balancers"
        f" report; {ready} of {usual} upstreams are ready"
    )
    alive = ready / usual if usual else 1.0
    if usual and not ready:
        reason = "discovery lists none of its upstreams; " + reason
        return Verdict(SiteHealth.LOST, 0, 0.0, reason)
    # A single vote is not enough if more sites report: that site may have a network fault.
    voters = min(MIN_VOTERS, sum(1 for site in opinions.reporting if site != name))
    majority = MAJORITY * (len(others_silent) + len(others_answered))
    if others_silent and len(others_silent) >= max(voters, majority):
        if name in answers_to:
            reason = "its own balancers are answered; " + reason
            return Verdict(SiteHealth.PARTITIONED, 0, alive, reason)
        return Verdict(SiteHealth.LOST, 0, 0.0, reason)
    if others_silent and len(others_silent) >= voters:
        reason = "some sites get no answer there; " + reason
        return Verdict(SiteHealth.PARTITIONED, 0, alive, reason)
    if name in silent_to and not others_answered:
        reason = "its own balancers get no answer there; " + reason
        return Verdict(SiteHealth.LOST, 0, 0.0, reason)
    is_impaired = usual and alive < 1 - IMPAIRED_FRACTION
    health = SiteHealth.IMPAIRED if is_impaired else SiteHealth.HEALTHY
    return Verdict(health, 0, alive, reason)
