"""One request and its attempts: what it may still do, the queue it waits in, and key ordering."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from loadbalancer.policy import api, rules
from loadbalancer.policy.attempt import Attempt
from loadbalancer.policy.pool import Pool
from loadbalancer.policy.rules import Denied, Reason
from loadbalancer.policy.token_bucket import TokenBucket
from loadbalancer.policy.upstream_stats import UpstreamStats


class WaitState(Enum):
    """What a request waits for."""

    NOT_WAITING = 0
    KEY_ORDER = 1  # an earlier request with its key
    TOKEN = 2  # in its tenant's job buffer
    UPSTREAM = 3  # in the queue of its pool


class RequestQueue:
    """The requests that wait for an upstream of one pool, in order."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.waiting: deque[Request] = deque()
        self.blocked_since_ns = 0  # no upstream was found since then; 0: not blocked
        # No capacity is left: the first request waits for that, not for a load report.
        self.capacity_exhausted = False


@dataclass(slots=True, eq=False)
class Request:
    """What one request may still do: each attempt and rejection is checked against the rules."""

    id: str
    request_class: api.RequestClass
    bucket: TokenBucket[Request]
    queue: RequestQueue
    deadline_ns: int
    latency_objective_ns: int  # an answer by then is in time
    cost_hint_ns: int
    is_retry: bool = False  # the client's own retry
    body_complete: bool = True
    is_replayable: bool = True  # its body is held completely, for a further attempt
    key_queue: KeyQueue | None = None  # where its class is ordered by key
    attempts: list[Attempt] = field(default_factory=list)
    is_finished: bool = False
    response_started: bool = False
    wait_state: WaitState = WaitState.NOT_WAITING
    key_ready_ns: int = 0  # requests with its key may not start before
    queue_deadline_ns: int = 0  # waiting longer is of no use
    key: str = ""
    queried: list[UpstreamStats] = field(default_factory=list)  # load queries on its behalf
    queried_ns: int = 0

    @property
    def in_flight(self) -> int:
        """Attempts without a result."""
        return sum(attempt.result is None for attempt in self.attempts)

    def may_send(self, upstream: UpstreamStats, now: int, limits: api.Limits) -> bool:
        """Whether an attempt at this upstream may start now."""
        return not isinstance(self.verdict(upstream, now, limits), Denied)

    def verdict(self, upstream: UpstreamStats, now: int, limits: api.Limits) -> rules.Verdict:
        """Ask the rules whether an attempt at this upstream may start now."""
        attempt = rules.Attempt(
            now,
            self.deadline_ns,
            len(self.attempts),
            self.in_flight,
            self.is_finished,
            response_started=self.response_started,
            body_available=self.is_replayable or not self.attempts,
        )
        verdict = rules.may_attempt(attempt, limits, rules.max_in_flight(limits))
        if isinstance(verdict, Denied):
            return verdict
        if not upstream.is_usable:
            return rules.DENIED[Reason.UPSTREAM_UNAVAILABLE]
        if not rules.is_eligible(upstream.entry, self.request_class):
            return rules.DENIED[Reason.UPSTREAM_NOT_ELIGIBLE]
        if not self.is_first_of_key(now):
            return rules.DENIED[Reason.KEY_ORDER]
        return self._repeat_verdict(upstream, now)

    def _repeat_verdict(self, upstream: UpstreamStats, now: int) -> rules.Verdict:
        possibly_executed = [attempt for attempt in self.attempts if attempt.may_have_run]
        if not possibly_executed:
            return rules.ALLOWED
        same_scope = all(
            self.shares_scope(attempt.upstream, upstream) for attempt in possibly_executed
        )
        return rules.may_repeat(self.request_class, now - possibly_executed[0].sent_ns, same_scope)

    def start_by_ns(self, now: int) -> int:
        """How long from now a repeated execution may still start; 0: without end."""
        possibly_executed = (
            [attempt for attempt in self.attempts if attempt.may_have_run]
            if self.request_class.effect is api.Effect.IDEMPOTENT_WITH_KEY
            else []
        )
        return (
            max(1, possibly_executed[0].sent_ns + self.request_class.window_ns - now)
            if possibly_executed
            else 0
        )

    def is_first_of_key(self, now: int) -> bool:
        """Whether it is the next one of its key, and the gap since the one before is over."""
        return self.key_queue is None or (
            self.key_queue.waiting[0] is self and now >= self.key_ready_ns
        )

    def may_reject(self) -> bool:
        """Whether it may be rejected, which promises that a retry is harmless."""
        may_have_run = any(attempt.may_have_run for attempt in self.attempts)
        return not isinstance(rules.may_reject(self.request_class, may_have_run), Denied)

    def shares_scope(self, one: UpstreamStats, other: UpstreamStats) -> bool:
        """Whether two upstreams drop each other's repeats of it."""
        scope = self.request_class.scope
        if scope is api.DeduplicationScope.ALL:
            return True
        return one.entry.zone == other.entry.zone and (
            scope is api.DeduplicationScope.ZONE or one.entry.cell == other.entry.cell
        )

    def repeat_candidates(self) -> list[UpstreamStats] | None:
        """Where it may be sent once it may have run; None: anywhere."""
        first = next((attempt for attempt in self.attempts if attempt.may_have_run), None)
        if (
            first is None
            or self.request_class.effect is api.Effect.IDEMPOTENT
            or self.request_class.scope is api.DeduplicationScope.ALL
        ):
            return None
        return [u for u in self.queue.pool.all_upstreams() if self.shares_scope(u, first.upstream)]


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests with one key, in the order of their arrival; only the first may be sent."""

    key: str
    waiting: deque[Request] = field(default_factory=deque)
    ready_ns: int = 0  # an attempt of an earlier one may run until then
