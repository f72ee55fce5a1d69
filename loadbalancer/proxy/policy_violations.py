"""What the rules denied at the last moment before it was done: counted by reason, and logged."""

from __future__ import annotations

import logging
from collections import Counter

from loadbalancer.policy.rules import Denied, Reason

log = logging.getLogger(__name__)

# Reasons that arise between a decision and the moment at which its connection is up. All others
# mean that the decision itself was wrong.
CROSSED = frozenset(
    {
        Reason.REQUEST_FINISHED,
        Reason.CLIENT_GONE,
        Reason.DEADLINE_EXCEEDED,
        Reason.UPSTREAM_UNAVAILABLE,
        Reason.ENDPOINTS_STALE,
        Reason.DEDUPLICATION_EXPIRED,
        Reason.TIMEOUT_TOO_LONG,
    }
)


class Denials:
    """Counts for the life of a process."""

    def __init__(self) -> None:
        self.counts: Counter[Reason] = Counter()

    def note(self, denied: Denied, request: str, state: str) -> None:
        """`state`: what the attempt was doing, such as `attempt 1 of 2, connection up`."""
        reason = denied.reason
        self.counts[reason] += 1
        level = logging.INFO if reason in CROSSED else logging.ERROR
        log.log(level, "denied: request %s, %s: %s", request, state, reason.value)

    def __str__(self) -> str:
        return ", ".join(
            f"{reason.name.lower()} {count}" for reason, count in self.counts.most_common()
        )
