"""Upstreams and sites as one balancer's evidence counts them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from loadbalancer.failover.health import SiteHealth

ATTEMPT_VALID_NS: Final = 10_000_000_000  # an upstream's last outcome tells nothing beyond


@dataclass(slots=True)
class Upstream:
    """One upstream of a site."""

    site: str
    failures: int = 0  # in a row
    last_attempt_ns: int | None = None
    is_alive: bool = True

    def was_tried_recently(self, now: int) -> bool:
        """Return whether its last outcome still tells anything."""
        return self.last_attempt_ns is not None and now - self.last_attempt_ns < ATTEMPT_VALID_NS


@dataclass(slots=True, eq=False)
class Site:
    """One site.

    Attributes:
        score: Log likelihood ratio of a loss, over the current run of failures.
        silent: Upstreams of the run, and the failures of each.
        answered: Upstreams that answered since the loss, and the answers of each.
        latency_ratio: Of its answers, against what was expected.
        losses: Those that are not forgiven yet.
        held_by: The operator who keeps it out; empty: nobody.
    """

    name: str
    health: SiteHealth = SiteHealth.HEALTHY
    since_ns: int = 0
    score: float = 0.0
    silent: dict[int, int] = field(default_factory=dict)
    run_started_ns: int = 0
    last_answer_ns: int | None = None
    answered: dict[int, int] = field(default_factory=dict)
    latency_ratio: float = 1.0
    losses: int = 0
    healthy_since_ns: int = 0
    held_by: str = ""
    reason: str = ""
