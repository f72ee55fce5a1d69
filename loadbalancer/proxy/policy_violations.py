"""Counts and logs attempts that the rules denied immediately before sending."""

from __future__ import annotations

import logging
from collections import Counter
from typing import Final

from loadbalancer.policy.rules import Denied, Reason

log = logging.getLogger(__name__)

# Reasons that can arise between the policy's decision and the moment at which the connection is
# established. Any other reason means that the decision itself was wrong.
RACE_REASONS: Final = frozenset(
    {
        Reason.REQUEST_FINISHED,
        Reason.CLIENT_GONE,
        Reason.DEADLINE_EXCEEDED,
        # A body that is being received drops its start when its buffer is full; the policy is
        # notified only when the body is complete.
        Reason.BODY_UNAVAILABLE,
        Reason.UPSTREAM_UNAVAILABLE,
        Reason.ENDPOINTS_STALE,
        Reason.DEDUPLICATION_EXPIRED,
        Reason.TIMEOUT_TOO_LONG,
    }
)


class PolicyViolations:
    """Counts denials since the process started."""

    def __init__(self) -> None:
        self.counts: Counter[Reason] = Counter()

    def record(self, denied: Denied, request: str, state: str) -> None:
        """Count and log a denial.

        Args:
            denied: The denial.
            request: The request's id.
            state: State of the attempt, such as `attempt 1, connection established`.
        """
        reason = denied.reason
        self.counts[reason] += 1
        level = logging.INFO if reason in RACE_REASONS else logging.ERROR
        log.log(level, "policy denied: request=%s state=%s reason=%s", request, state, reason.value)

    def __str__(self) -> str:
        return ", ".join(
            f"{reason.name.lower()} {count}" for reason, count in self.counts.most_common()
        )
