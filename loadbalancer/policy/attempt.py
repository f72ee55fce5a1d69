"""One attempt of a request at an upstream."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.policy import api
from loadbalancer.policy.upstream_stats import UpstreamStats


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that has been started, and its outcome."""

    upstream: UpstreamStats
    sent_ns: int
    expected_ns: float
    load: float  # upstream's estimated load at the start, including this attempt
    opens_connection: bool = False  # more attempts in flight at the upstream than ever before
    result: api.AttemptResult | None = None
    is_overdue: bool = False
    is_late: bool = False  # missed the latency objective
    awaits_body: bool = False  # the request body is not complete yet

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have executed the request."""
        return self.result not in api.NEVER_RAN
