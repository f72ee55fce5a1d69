"""What balancers report of the sites, put together: the fleet's verdict on each site. Pure.

A balancer's report is about its own attempts. None is believed alone: a site is lost when most of
the sites that can tell report so, and nobody within it contradicts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final, NamedTuple

import msgspec

from loadbalancer.failover.evidence import IMPAIRED_FRACTION
from loadbalancer.failover.health import SiteHealth, Verdict

REPORT_VALID_S: Final = 8.0
MAJORITY: Final = 2 / 3  # of the sites that can tell
MIN_VOTERS: Final = 2  # one may be wrong for its own network
NOT_KNOWN: Final = -1.0  # in the store: a fraction of too few requests


class ClassLoad(NamedTuple):
    """What came in of one class and tenant, a second, and the fraction of clients' retries."""

    class_name: str
    tenant: str
    rate: float
    retry_fraction: float


class SiteAttempts(NamedTuple):
    """Attempts at a site that ended, the fraction that was good, and their latency ratio."""

    site: str
    attempts: int
    good_fraction: float
    latency_ratio: float


class SiteReport(msgspec.Struct, frozen=True):
    """One balancer's report, as it stands in the store. It is put a few times a minute.

    Attributes:
        answering: Sites that answer it.
        silent: Sites that don't.
        is_isolated: It is itself partitioned, and can't tell.
        loads: What came in since the report before.
        sites: Attempts since the report before.
        served_fraction: Of what came in, answered in time; NOT_KNOWN: too few.
        work: By class, the seconds that a request takes.
        sequence: Grows with each report.
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
    """A report, and for how long it has stood by the reader's clock.

    Attributes:
        is_live: Its balancer holds its name's lease.
    """

    report: SiteReport
    age_s: float
    is_live: bool = True

    @property
    def is_fresh(self) -> bool:
        """The report still tells something."""
        return self.is_live and self.age_s <= REPORT_VALID_S


@dataclass(frozen=True, slots=True)
class FleetOpinions:
    """Opinions of all reports: one voice for each site that can tell.

    Attributes:
        answering: By site, the sites whose balancers it answers.
        silent: By site, the sites whose balancers it does not answer.
        reporting: By site, how many of its own balancers report.
    """

    answering: Mapping[str, list[str]] = field(default_factory=dict)
    silent: Mapping[str, list[str]] = field(default_factory=dict)
    reporting: Mapping[str, int] = field(default_factory=dict)


def collect_opinions(reports: Mapping[str, ReceivedReport]) -> FleetOpinions:
    """Return the opinion of each site that can tell, by most of its balancers."""
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
    """Return the fleet's verdict on a site.

    Args:
        name: Of the site.
        opinions: Of all sites.
        ready: Of its upstreams, those that discovery lists as ready.
        usual: Those that it usually lists.
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
    # One voter is not enough where others could vote: it may be that site's own network.
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
