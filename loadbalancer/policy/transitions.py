"""Records of what the policy decided and why, for logs and metrics.

They carry no decision: the caller of the policy may log and count them, or ignore them. Those of
one `Balancer.handle` call are valid until the next call.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from loadbalancer.policy import api


class GiveUpReason(Enum):
    """Why a request was rejected or failed without a response of an upstream."""

    SHED_BY_PLAN = "shed by the traffic plan"
    READ_TOO_LATE = "read too late"
    NO_TOKEN = "no token"
    QUEUE_TOO_LONG = "queue too long"
    WAITED_TOO_LONG = "waited too long"
    UPSTREAMS_BUSY = "eligible upstreams busy"
    NOT_ALLOWED = "attempt not allowed"
    ATTEMPTS_FAILED = "attempts failed"


class SlowStartEnd(Enum):
    """Why an upstream is no longer in slow start."""

    WARMED_UP = "warmed up"
    RESTARTED = "restarted"
    REMOVED = "removed"


class SlowStartBegan(NamedTuple):
    """An upstream is in slow start, or its attempts are spaced anew.

    Attributes:
        upstream: The upstream.
        age_ns: Time since its start.
        capacity_per_s: Estimate in force of what it serves once warm, in requests a second.
        proxies: Number of proxies that share it.
        gap_ns: Minimum time between this proxy's attempts now.
        is_planned: The traffic plan sets the gap, not the estimate.
    """

    upstream: int
    age_ns: int
    capacity_per_s: float
    proxies: float
    gap_ns: int
    is_planned: bool


class SlowStartEnded(NamedTuple):
    """An upstream is no longer in slow start; `attempts` counts those of this proxy during it."""

    upstream: int
    attempts: int
    reason: SlowStartEnd


class RequestGivenUp(NamedTuple):
    """A request was rejected or failed after this number of attempts.

    Attributes:
        result: The result of its last attempt; None: it has none.
        upstream: The upstream of that attempt.
    """

    request: str
    reason: GiveUpReason
    attempts: int
    result: api.AttemptResult | None = None
    upstream: int = 0


class RequestRetried(NamedTuple):
    """A request was queued again after an attempt with this outcome."""

    request: str
    upstream: int
    result: api.AttemptResult


Transition = SlowStartBegan | SlowStartEnded | RequestGivenUp | RequestRetried
