"""One attempt of a request at an upstream."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.policy import api
from loadbalancer.policy.upstream_stats import UpstreamStats


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, from its start on."""

    upstream: UpstreamStats
    sent_ns: int
    expected_ns: float
    load: float  # requests that the upstream was thought to hold then, this one included
    opens_connection: bool = False  # more attempts were there than ever before
    result: api.AttemptResult | None = None
    is_overdue: bool = False
    is_late: bool = False  # its answer comes after the latency objective
    awaits_body: bool = False  # its upstream can't start before the request body is complete

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have executed the request."""
        return self.result not in api.NEVER_RAN
