"""One request and its attempts: what it may still do, and the order of the requests of one key."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from loadbalancer.policy import api, rules
from loadbalancer.policy.pool import Pool
from loadbalancer.policy.rules import Denied, Reason
from loadbalancer.policy.token_bucket import Throttle
from loadbalancer.policy.upstream_stats import Server


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    server: Server
    sent_ns: int
    expected: float
    load: float  # what the upstream was thought to hold then, this one included
    opens: bool = False  # more were out there than ever: it had to open a connection
    result: api.AttemptResult | None = None
    overdue: bool = False
    late: bool = False  # its answer comes too late to be worth anything
    waits: bool = False  # for the end of its request's body: its upstream has nothing to do yet

    @property
    def may_have_run(self) -> bool:
        return self.result not in api.NEVER_RAN


@dataclass(slots=True, eq=False)
class Request:
    """What one request may still do: each send and refusal is proved legal here (rules 1 to 3, 5
    and 6).
    """

    id: str
    cls: api.RequestClass
    tenant: Throttle
    pool: Pool
    deadline_ns: int
    latency_objective_ns: int  # an answer by then earns the full worth
    hint: int
    retry: bool = False  # the client's own repeat
    whole: bool = True  # the end of its body has come
    again: bool = True  # and all of it is there to be sent once more
    turn: Turn | None = None  # the order of its key, where its class keeps one
    attempts: list[Attempt] = field(default_factory=list)
    over: bool = False
    begun: bool = False  # its stream has begun
    place: str = ""  # waiting for its "turn", "held" by its throttle, in the "line", or ""
    turn_ns: int = 0  # its key rests until then
    give_up_ns: int = 0  # waiting longer than this is of no use
    key: str = ""
    asked: list[Server] = field(default_factory=list)  # asked for their load on its behalf
    received_ns: int = 0

    @property
    def out(self) -> int:
        return sum(a.result is None for a in self.attempts)

    def may_send(self, server: Server, now: int, limits: api.Limits) -> bool:
        return not isinstance(self.verdict(server, now, limits), Denied)

    def verdict(self, server: Server, now: int, limits: api.Limits) -> rules.Verdict:
        """May it be sent to this upstream now?"""
        attempt = rules.Attempt(
            now,
            self.deadline_ns,
            len(self.attempts),
            self.out,
            self.over,
            stream_begun=self.begun,
            body_at_hand=self.again or not self.attempts,
        )
        verdict = rules.may_attempt(attempt, limits, rules.most_out(limits))
        if isinstance(verdict, Denied):
            return verdict
        if not server.usable:
            return rules.DENIED[Reason.UPSTREAM]
        if not rules.open_to(server.entry, self.cls):
            return rules.DENIED[Reason.PLACE]
        if not self.has_turn(now):
            return rules.DENIED[Reason.TURN]
        risky = [a for a in self.attempts if a.may_have_run]
        if not risky:
            return rules.ALLOWED
        same_group = all(self._same_group(a.server, server) for a in risky)
        return rules.may_repeat(self.cls, now - risky[0].sent_ns, same_group)

    def repeat_ns(self, now: int) -> int:
        """Rule 2: how long a repeat may yet begin, where that has an end; else 0."""
        risky = (
            [a for a in self.attempts if a.may_have_run]
            if self.cls.effect is api.Effect.IDEMPOTENT_WITH_KEY
            else []
        )
        return max(1, risky[0].sent_ns + self.cls.window_ns - now) if risky else 0

    def has_turn(self, now: int) -> bool:
        """Is it the first of its key, and has the key rested since the one before it?"""
        return self.turn is None or (self.turn.waiting[0] is self and now >= self.turn_ns)

    def may_refuse(self) -> bool:
        may_have_run = any(a.may_have_run for a in self.attempts)
        return not isinstance(rules.may_refuse(self.cls, may_have_run), Denied)

    def _same_group(self, x: Server, y: Server) -> bool:
        if self.cls.scope is api.DeduplicationScope.ALL:
            return True
        a, b = x.entry, y.entry
        return a.zone == b.zone and (
            self.cls.scope is api.DeduplicationScope.ZONE or a.cell == b.cell
        )


@dataclass(slots=True, eq=False)
class Turn:
    """Rule 5: the requests of one key, in the order taken; the first is the one whose turn it
    is.
    """

    key: str
    waiting: deque[Request] = field(default_factory=deque)
    rest_ns: int = 0  # an attempt of an earlier one may run until then
