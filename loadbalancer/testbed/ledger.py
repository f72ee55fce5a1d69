"""The ledger: every execution counted where it runs, every answer where it arrives. It judges the
four rules and the worth, and shares nothing with the balancer.

It keeps a request's root: the first try of a client and all the tries that follow on it are one
booking, so a refusal of what had run shows as two executions of one root. Pure; all times in
nanoseconds on one clock.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from loadbalancer.testbed.topology import Class, Topology, effects

SECOND = 1_000_000_000
MOST_NAMED = 50  # breaches that are named; all are counted
LONGEST_US = 60_000_000
TOLD = 2 / 3  # part of the work on a cold box that senders who were told must have sent


class Answer(Enum):
    """What the client got for one try."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    UNREACHED = "unreached"  # nobody took the try: no balancer was there
    NONE = "none"  # no answer when its time was up


class Rule(Enum):
    ANSWER = "one final answer"
    EFFECT = "no duplicate effect"
    DRAIN = "careful drain"
    COLD = "cold upstreams"


class Breach(NamedTuple):
    rule: Rule
    at_ns: int
    what: str


@dataclass(slots=True, eq=False)
class Try:
    """One try of a client: one request id."""

    ticket: str
    root: Root
    received_ns: int
    deadline_ns: int
    balancer: int
    taken: bool = False
    answer: Answer | None = None
    excused: bool = False  # its client left, or its balancer was killed
    runs: int = 0  # executions at boxes
    done: int = 0  # executions that came to a good end


@dataclass(slots=True, eq=False)
class Root:
    """What a client wants: the first try and those that follow on it."""

    number: int
    cls: Class
    tenant: str
    key: str
    received_ns: int
    worth: float
    within: bool  # within its tenant's share
    unsafe: bool
    tries: int = 0
    runs: int = 0
    served_ns: int = -1
    closed: bool = False


@dataclass(slots=True)
class Sums:
    """Worth asked for and earned, of one class, tenant or window."""

    asked: float = 0.0
    earned: float = 0.0
    late: float = 0.0
    roots: int = 0
    good: int = 0

    @property
    def part(self) -> float:
        return self.earned / self.asked if self.asked else 1.0


@dataclass(slots=True)
class Judgement:
    """What a run came to. `parts` holds worth earned of worth asked for, by what it is broken down
    by.
    """

    breaches: list[Breach]
    broken: Counter[str]
    whole: float
    worst_window: float
    by_class: dict[str, float]
    by_tenant: dict[str, float]
    service: float  # the goal's mix of these
    penalty: float
    score: float  # service less penalty; 0 where a rule broke
    counts: dict[str, float] = field(default_factory=dict)


class Ledger:
    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.effects = effects(topology)
        self.grace_ns = int(topology.rules.answer_grace)
        self.drain_ns = int(topology.rules.drain_grace)
        self.window_ns = int(topology.goal.window)
        self.tries: dict[str, Try] = {}
        self.recent: deque[Try] = deque()
        self.breaches: list[Breach] = []
        self.broken: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.classes: dict[str, Sums] = {}
        self.tenants: dict[str, Sums] = {}
        self.windows: dict[int, Sums] = {}
        self.whole = Sums()
        self.told: dict[
            tuple[int, int], int
        ] = {}  # (balancer, box): told that it drains or is gone since
        self.started: dict[
            tuple[int, int], int
        ] = {}  # (balancer, box): the last start it was told of
        self.box_work: Counter[int] = Counter()
        self.latency = HdrHistogram(
            1, LONGEST_US, 3
        )  # served, from when the client first wanted it
        self.latency_of = {c.name: HdrHistogram(1, LONGEST_US, 3) for c in topology.classes}
        self.on_window: Callable[[int], None] | None = None
        self.keep_ns = 3 * max(int(c.deadline) for c in topology.classes) + 2 * SECOND

    def breach(self, rule: Rule, now: int, what: str) -> None:
        self.broken[rule.value] += 1
        if len(self.breaches) < MOST_NAMED:
            self.breaches.append(Breach(rule, now, what))

    # ---- clients ---------------------------------------------------------------------------------

    def root(self, number: int, cls: Class, tenant: str, key: str, now: int, within: bool) -> Root:
        """A client wants something, now; what it is worth counts from here."""
        worth = cls.worth * (1.0 if within else self.topology.clients.over_share_worth)
        root = Root(number, cls, tenant, key, now, worth, within, cls.effect == "unsafe")
        for sums in self._sums(root):
            sums.asked += worth
            sums.roots += 1
        self.counts["first tries"] += 1
        return root

    def _sums(self, root: Root) -> list[Sums]:
        found = [
            self.whole,
            self.classes.setdefault(root.cls.name, Sums()),
            self.windows.setdefault(root.received_ns // self.window_ns, Sums()),
        ]
        if root.tenant and root.within:
            found.append(self.tenants.setdefault(root.tenant, Sums()))
        return found

    def asked(self, ticket: str, root: Root, now: int, deadline_ns: int, balancer: int) -> Try:
        self._forget(now)
        asked = Try(ticket, root, now, deadline_ns, balancer)
        if ticket in self.tries:
            raise ValueError(f"ticket {ticket} was used before")
        self.tries[ticket] = asked
        self.recent.append(asked)
        root.tries += 1
        self.counts["tries"] += 1
        return asked

    def taken(self, ticket: str) -> None:
        """A live balancer took the try: it owes an answer."""
        self.tries[ticket].taken = True

    def excuse(self, ticket: str) -> None:
        """Its client left first, or its balancer was killed: no answer is owed."""
        found = self.tries.get(ticket)
        if found is not None:
            found.excused = True

    def answered(self, ticket: str, answer: Answer, now: int) -> None:
        found = self.tries.get(ticket)
        if found is None:
            self.breach(
                Rule.ANSWER, now, f"an answer for {ticket}, which was not asked or long over"
            )
            return
        if found.answer is not None:
            self.breach(
                Rule.ANSWER,
                now,
                f"{ticket} was answered twice: {found.answer.value}, {answer.value}",
            )
            return
        found.answer = answer
        self.counts[answer.value] += 1
        root = found.root
        if answer is Answer.SERVED:
            if not found.done:
                self.breach(
                    Rule.ANSWER, now, f"{ticket} was served with an answer that no box made"
                )
            if root.served_ns < 0:
                root.served_ns = now
                self._earn(root, now)
        late = now > found.deadline_ns + self.grace_ns
        if found.taken and not found.excused and late and answer is not Answer.NONE:
            self.breach(
                Rule.ANSWER,
                now,
                f"{ticket} was answered {(now - found.deadline_ns) / 1e6:.0f} ms late",
            )

    def _earn(self, root: Root, now: int) -> None:
        took = now - root.received_ns
        us = max(1, min(LONGEST_US, took // 1000))
        self.latency.record_value(us)
        self.latency_of[root.cls.name].record_value(us)
        for sums in self._sums(root):
            if took <= root.cls.aim:
                sums.earned += root.worth
                sums.good += 1
            else:
                sums.late += root.worth

    def silent(self, ticket: str, now: int) -> None:
        """The client gave up waiting. Called no earlier than its deadline and the rule's grace."""
        found = self.tries[ticket]
        if found.answer is not None:
            return
        found.answer = Answer.NONE
        self.counts[Answer.NONE.value] += 1
        if found.taken and not found.excused:
            self.breach(Rule.ANSWER, now, f"balancer {found.balancer} never answered {ticket}")

    # ---- boxes -----------------------------------------------------------------------------------

    def sent(self, balancer: int, box: int, first_byte_ns: int) -> None:
        """An attempt left for a box: rule 3 goes by the time of its first byte."""
        self.counts["attempts"] += 1
        told = self.told.get((balancer, box))
        if told is not None and first_byte_ns > told + self.drain_ns:
            self.breach(
                Rule.DRAIN,
                first_byte_ns,
                f"balancer {balancer} sent to box {box} "
                f"{(first_byte_ns - told) / 1e6:.0f} ms after it was told to stop",
            )

    def executed(self, ticket: str, box: int, now: int) -> None:
        """A box began to work on a request: that is its effect."""
        self.counts["executions"] += 1
        self.box_work[box] += 1
        found = self.tries.get(ticket)
        if found is None:
            return
        found.runs += 1
        found.root.runs += 1
        if found.root.unsafe and found.root.runs > 1:
            self.breach(
                Rule.EFFECT,
                now,
                f"{found.root.cls.name} {ticket} ran {found.root.runs} times, "
                f"the last at box {box}",
            )

    def finished(self, ticket: str) -> None:
        """A box came to a good end with it."""
        found = self.tries.get(ticket)
        if found is not None:
            found.done += 1

    def fell(self, box: int, now: int, work: dict[int, float], started_ns: int) -> None:
        """A cold box was pushed over. It breaks the rule where two thirds of the work came from
        balancers that were told of its start.
        """
        self.counts["boxes pushed over"] += 1
        told = sum(
            part for owner, part in work.items() if self.started.get((owner, box), -1) >= started_ns
        )
        if told >= TOLD * sum(work.values()):
            self.breach(
                Rule.COLD,
                now,
                f"box {box}, cold, was pushed over by balancers "
                f"{', '.join(map(str, sorted(work)))}",
            )

    # ---- what balancers were told ----------------------------------------------------------------

    def tell(self, balancer: int, box: int, ready: bool, started_ns: int, now: int) -> None:
        """A balancer was told of a box: that it is ready, or that it drains or is gone."""
        pair = balancer, box
        if ready:
            self.told.pop(pair, None)
            self.started[pair] = started_ns
        else:
            self.told.setdefault(pair, now)

    def restarted(self, balancer: int) -> None:
        """It comes back with nothing: what its predecessor was told binds it no more."""
        for books in (self.told, self.started):
            for pair in [pair for pair in books if pair[0] == balancer]:
                del books[pair]

    # ---- the end ---------------------------------------------------------------------------------

    def _forget(self, now: int) -> None:
        """Drop what is long over: a run of hours must not grow."""
        while self.recent and now - self.recent[0].received_ns > self.keep_ns:
            old = self.recent.popleft()
            if old.answer is None:
                self.silent(old.ticket, now)
            del self.tries[old.ticket]

    def judge(self, now: int, wasted: float = 0.0, crossed: int = 0, probes: int = 0) -> Judgement:
        """Close the books. `wasted`: work without an answer as a part of the work asked for."""
        for late in self.recent:
            if late.answer is None and late.deadline_ns + self.grace_ns < now:
                self.silent(late.ticket, now)
        goal = self.topology.goal
        by_class = {name: s.part for name, s in sorted(self.classes.items())}
        by_tenant = {name: s.part for name, s in sorted(self.tenants.items())}
        first = max(1, self.counts["first tries"])
        windows = [s.part for s in self.windows.values() if s.roots >= 20] or [self.whole.part]
        worst_class, worst_tenant = (
            min(parts.values(), default=self.whole.part) for parts in (by_class, by_tenant)
        )
        service = (
            goal.whole * self.whole.part
            + goal.worst_window * min(windows)
            + goal.worst_class * worst_class
            + goal.worst_tenant * worst_tenant
        )
        unearned = (self.whole.late / self.whole.asked) if self.whole.asked else 0.0
        penalty = (
            goal.waste * wasted
            + goal.cross_zone * crossed / first
            + goal.probe * probes / first
            + goal.late_fail * unearned
        )
        self.counts["crossings"], self.counts["probes"] = crossed, probes
        return Judgement(
            list(self.breaches),
            Counter(self.broken),
            self.whole.part,
            min(windows),
            by_class,
            by_tenant,
            service,
            penalty,
            0.0 if self.broken else service - penalty,
            {k: v for k, v in sorted(self.counts.items())},
        )
