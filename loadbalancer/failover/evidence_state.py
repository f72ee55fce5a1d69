"""Per-upstream and per-site records of one balancer's evidence."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from loadbalancer.failover.health import SiteHealth

ATTEMPT_VALID_NS: Final = 10_000_000_000  # how long the result of an attempt counts as recent


@dataclass(slots=True)
class Upstream:
    """Outcomes of recent attempts at one upstream."""

    site: str
    failures: int = 0  # consecutive
    last_attempt_ns: int | None = None
    is_alive: bool = True

    def was_tried_recently(self, now: int) -> bool:
        """Return whether the last attempt is recent enough to count."""
        return self.last_attempt_ns is not None and now - self.last_attempt_ns < ATTEMPT_VALID_NS


@dataclass(slots=True, eq=False)
class Site:
    """Health of one site and the evidence for it.

    Attributes:
        score: Log likelihood ratio of a loss against the baseline failure rate.
        silent: Failures by upstream in the current run of failures.
        answered: Responses by upstream since the last loss.
        latency_ratio: Average response time relative to the expected time.
        losses: Recent losses, which decay with time.
        held_by: The operator who holds the site out of service; empty if none.
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
