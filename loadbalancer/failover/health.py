"""Site health, and the reports on it that balancers exchange."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SiteHealth(Enum):
    """Health of a site. The values are shown to operators and in metrics."""

    HEALTHY = "well"
    IMPAIRED = "impaired"
    LOST = "lost"
    PARTITIONED = "cut from us"
    RECOVERING = "returning"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The health of a site and the reason for it.

    Attributes:
        alive_fraction: Fraction of the recently tried upstreams that respond.
        reason: The evidence for and against, in one line.
    """

    health: SiteHealth
    since_ns: int
    alive_fraction: float
    reason: str


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Another balancer's report on the sites, based on its own attempts.

    Attributes:
        site: The site of that balancer.
        answering: Sites that respond to it.
        silent: Sites that do not respond to it.
    """

    site: str
    answering: frozenset[str]
    silent: frozenset[str]
