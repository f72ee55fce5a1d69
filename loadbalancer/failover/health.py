"""Health of a site, and what balancers report of it to each other."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SiteHealth(Enum):
    """What a site is taken to be. The values are shown to operators and in metrics."""

    HEALTHY = "well"
    IMPAIRED = "impaired"
    LOST = "lost"
    PARTITIONED = "cut from us"
    RECOVERING = "returning"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Verdict:
    """The health of a site.

    Attributes:
        alive_fraction: Of the upstreams tried lately, those that answer.
        reason: The evidence for and against, in a line.
    """

    health: SiteHealth
    since_ns: int
    alive_fraction: float
    reason: str


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What another balancer reports of the sites, by its own attempts.

    Attributes:
        site: Where that balancer stands.
        answering: Sites that answer it.
        silent: Sites that don't.
    """

    site: str
    answering: frozenset[str]
    silent: frozenset[str]
