"""A request with its attempts, the queue it waits in, and the ordering of requests by key."""

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
    """The condition that a request waits for."""

    NOT_WAITING = 0
    KEY_ORDER = 1  # completion of an earlier request with the same key
    TOKEN = 2  # a token, in the tenant's job buffer
    UPSTREAM = 3  # upstream capacity, in the queue of its pool


class RequestQueue:
    """The requests that wait for an upstream of a pool, in order."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.waiting: deque[Request] = deque()
        self.blocked_since_ns = 0  # since when requests wait for an upstream; 0: not blocked
        # True if the first request waits for capacity rather than for load reports.
        self.capacity_exhausted = False


class RequestHandle:
    """Reference to a request, which its timers hold; it is cleared when the request is over.

    Timers stay in their queue until they are due. With the handle they keep no finished request in
    memory.
    """

    __slots__ = ("request",)

    def __init__(self, request: Request) -> None:
        self.request: Request | None = request


@dataclass(slots=True, eq=False)
class Request:
    """A request, whose attempts and rejection are checked against the rules."""

    id: str
    request_class: api.RequestClass
    bucket: TokenBucket[Request]
    queue: RequestQueue
    deadline_ns: int
    latency_objective_ns: int  # responses until this time meet the latency objective
    cost_hint_ns: int
    is_retry: bool = False  # the client's own retry
    body_complete: bool = True
    is_replayable: bool = True  # the complete body is buffered and can be sent in a retry
    key_queue: KeyQueue | None = None  # set if its class is ordered by key
    attempts: list[Attempt] = field(default_factory=list)
    # Attempts of an earlier request with this id that may have been executed.
    earlier_executions: list[Attempt] = field(default_factory=list)
    is_finished: bool = False
    response_started: bool = False
    wait_state: WaitState = WaitState.NOT_WAITING
    key_ready_ns: int = 0  # earliest start, after the previous request of its key
    queue_deadline_ns: int = 0  # the request is given up if it still waits then
    key: str = ""
    queried: list[UpstreamStats] = field(default_factory=list)  # upstreams with a load query
    queried_ns: int = 0
    handle: RequestHandle = field(init=False)
    is_streamed: bool = field(init=False)  # its body can be sent to one upstream at a time

    def __post_init__(self) -> None:
        """Create the handle for the timers, and note whether the body is streamed."""
        self.handle = RequestHandle(self)
        self.is_streamed = not self.body_complete

    @property
    def in_flight(self) -> int:
        """The number of attempts without a result."""
        return sum(attempt.result is None for attempt in self.attempts)

    def may_send(self, upstream: UpstreamStats, now: int, limits: api.Limits) -> bool:
        """Return whether an attempt at this upstream may start now."""
        return not isinstance(self.verdict(upstream, now, limits), Denied)

    def verdict(self, upstream: UpstreamStats, now: int, limits: api.Limits) -> rules.Verdict:
        """Return the verdict of the rules on starting an attempt at this upstream now."""
        attempt = rules.Attempt(
            now,
            self.deadline_ns,
            len(self.attempts),
            self.in_flight,
            self.is_finished,
            response_started=self.response_started,
            body_available=self.is_replayable or not self.attempts,
        )
        verdict = rules.may_attempt(attempt, limits, rules.max_in_flight(limits, self.is_streamed))
        if isinstance(verdict, Denied):
            return verdict
        if not upstream.is_usable:
            return rules.DENIED[Reason.UPSTREAM_UNAVAILABLE]
        if not rules.is_eligible(upstream.entry, self.request_class):
            return rules.DENIED[Reason.UPSTREAM_NOT_ELIGIBLE]
        if not self.is_first_of_key(now):
            return rules.DENIED[Reason.KEY_ORDER]
        return self._repeat_verdict(upstream, now)

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts under the request's id that may have been executed."""
        own = [attempt for attempt in self.attempts if attempt.may_have_run]
        return self.earlier_executions + own if self.earlier_executions else own

    def _repeat_verdict(self, upstream: UpstreamStats, now: int) -> rules.Verdict:
        possibly_executed = self.possibly_executed()
        if not possibly_executed:
            return rules.ALLOWED
        same_scope = all(
            self.shares_scope(attempt.upstream, upstream) for attempt in possibly_executed
        )
        return rules.may_repeat(self.request_class, now - possibly_executed[0].sent_ns, same_scope)

    def is_repeatable(self, now: int) -> bool:
        """Return whether a further attempt is possible after one that may have been executed."""
        first = next(iter(self.possibly_executed()), None)
        since_first_ns = 0 if first is None else now - first.sent_ns
        return rules.is_repeatable(self.request_class, self.is_replayable, since_first_ns)

    def start_by_ns(self, now: int) -> int:
        """Return the time from now until which a repeated execution may start; 0: no limit."""
        possibly_executed = (
            self.possibly_executed()
            if self.request_class.effect is api.Effect.IDEMPOTENT_WITH_KEY
            else []
        )
        return (
            max(1, possibly_executed[0].sent_ns + self.request_class.window_ns - now)
            if possibly_executed
            else 0
        )

    def is_first_of_key(self, now: int) -> bool:
        """Return whether the request is the next of its key and the gap before it is over."""
        return self.key_queue is None or (
            self.key_queue.waiting[0] is self and now >= self.key_ready_ns
        )

    def may_reject(self) -> bool:
        """Return whether the request may be rejected, which guarantees that a retry is safe."""
        may_have_run = bool(self.possibly_executed())
        return not isinstance(rules.may_reject(self.request_class, may_have_run), Denied)

    def shares_scope(self, one: UpstreamStats, other: UpstreamStats) -> bool:
        """Return whether two upstreams are in one deduplication scope for this request."""
        scope = self.request_class.scope
        if scope is api.DeduplicationScope.ALL:
            return True
        return one.entry.zone == other.entry.zone and (
            scope is api.DeduplicationScope.ZONE or one.entry.cell == other.entry.cell
        )

    def repeat_candidates(self) -> list[UpstreamStats] | None:
        """Return the upstreams for a retry of a request that may have been executed.

        Returns:
            None: any upstream is allowed.
        """
        first = next(iter(self.possibly_executed()), None)
        if (
            first is None
            or self.request_class.effect is api.Effect.IDEMPOTENT
            or self.request_class.scope is api.DeduplicationScope.ALL
        ):
            return None
        return [u for u in self.queue.pool.all_upstreams() if self.shares_scope(u, first.upstream)]


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key in arrival order, of which only the first may be sent."""

    key: str
    waiting: deque[Request] = field(default_factory=deque)
    ready_ns: int = 0  # an attempt of an earlier request may be executing until then
