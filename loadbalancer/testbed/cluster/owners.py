"""Owners of one lease over a simulated cluster: they stand still, restart, hear late, and their
clocks are wrong.

What is judged, by books of its own:
- by the committed log: of all writes that were taken under the lease, none bears a lower token than
one
  before it, no token belongs to two claims, and none returns;
  Nobody gets it before its owner gave it back or its time was called over;
- by a box that remembers the highest token it met: none lower is heeded, whatever restarts;
- by a box that can't check tokens: no two owners work on it at once, as long as clocks are no
further apart
  than the owner allows for, and nobody was stopped between its look at the clock and the effect;
- with a majority and links that hold again, somebody owns it within a bound.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.leases import table
from loadbalancer.leases.fence import FencedReceiver, FencingPosition
from loadbalancer.leases.holder import LeaseHolder, LeaseRequest, Phase, RequestKind
from loadbalancer.store import commands
from loadbalancer.store.commands import (
    LEASE_PREFIX,
    Claim,
    ExpireClaim,
    FencedWrite,
    Op,
    OpenSession,
    Release,
    Result,
    ResultCode,
    Upgrade,
)
from loadbalancer.testbed.cluster.checks import Broken
from loadbalancer.testbed.cluster.plans import CALM, Outcome, Storm, describe, level, mend
from loadbalancer.testbed.cluster.sim import MS, SECOND, Cluster, agreed, committed

LEASE = "work/list"
KEY = "list/orders"
TTL_MS = 1_200
TRY = 400 * MS  # an owner's call is given up after this
STORM = 8 * SECOND
# From the end of all faults: an election or two, a dead owner's or offer's time, its successor's
# claim.
BOUND = 6 * SECOND + 6 * TTL_MS * MS
WITHOUT_CLOCKS = (
    "kill",
    "power",
    "part",
    "alone",
    "oneway",
    "bridge",
    "lossy",
    "slow",
    "doubled",
    "transfer",
    "silence",
    "behead",
    "lonely",
    "slowdisk",
    "all",
)


class Box:
    """A receiver of orders outside the store. `durable`: what it keeps over a restart."""

    def __init__(self) -> None:
        self.receiver = FencedReceiver(FencingPosition(), True)
        self.durable = FencingPosition()
        self.heeded: list[FencingPosition] = []
        self.refused = 0

    def order(self, word: FencingPosition) -> None:
        if self.receiver.accept(word):
            self.heeded.append(word)
            self.durable = self.receiver.highest
        else:
            self.refused += 1

    def restart(self) -> None:
        self.receiver = FencedReceiver(FencingPosition())
        self.learn()

    def learn(self) -> None:
        """Before it heeds anybody."""
        self.receiver.learn(self.durable)


@dataclass(slots=True)
class Stretch:
    """A time in which an owner worked on the box that can't check tokens, in real time."""

    token: int
    first: int
    last: int


@dataclass(eq=False)
class Books:
    """What happened, as nobody who is judged wrote it."""

    box: Box
    stretches: list[Stretch] = field(default_factory=list)
    strict: bool = True  # clocks keep within what the owner allows for
    counts: Counter[str] = field(default_factory=Counter)

    def touched(self, token: int, now: int) -> None:
        """The box that can't check tokens was worked on."""
        last = self.stretches[-1] if self.stretches else None
        if last is not None and last.token == token:
            last.last = now
            return
        if self.strict and last is not None and token < last.token:
            raise Broken("one owner at a time", f"token {token} works after token {last.token} did")
        self.stretches.append(Stretch(token, now, now))


class Owner:
    """A process that wants the lease, with a clock of its own."""

    def __init__(self, fleet: Owners, number: int) -> None:
        self.fleet = fleet
        self.cluster = fleet.cluster
        self.number = number
        self.rng = random.Random(f"{fleet.cluster.seed}/owner/{number}")
        self.rate, self.skew = 1.0, 0
        self.stopped_until = 0
        self.life = 0
        self.leader = 0
        self.seen: table.Lease | None = None
        self.count = 0
        self.session = 0
        self.writes = 0
        self.due = 0
        self.cut = False  # nothing of it arrives anywhere
        self.deaf = False  # nothing arrives at it
        self.late = False  # answers to it come just in time
        self.begin()

    def begin(self) -> None:
        self.life += 1
        now = self.clock()
        claim = self.rng.getrandbits(40) | 1
        self.holder = self.fleet.make(f"p{self.number}", claim, TTL_MS * MS, self.rng, now)
        self.session = self.rng.getrandbits(48) | 1
        self.writes = 0
        self.seen = None
        self.alive(0, self.open)
        self.alive(self.rng.randint(0, 200 * MS), self.look)
        self.alive(self.rng.randint(0, 100 * MS), self.work)
        self.turn()

    def clock(self) -> int:
        return int(self.cluster.now * self.rate) + self.skew + SECOND

    def alive(self, delay: int, act: Callable[[], None]) -> None:
        """Later, in this life, and not while it is stopped: what waited is done when it wakes."""
        life = self.life

        def go() -> None:
            if life != self.life:
                return
            if self.cluster.now < self.stopped_until:
                self.cluster.at(self.stopped_until - self.cluster.now + 1, go)
                return
            act()

        self.cluster.at(delay, go)

    # ---- talking to the store --------------------------------------------------------------------

    def ask(
        self,
        command: commands.AnyCommand,
        tell: Callable[[Result | None], None],
        patience: int = TRY,
    ) -> None:
        """One call with its time-out; None: nobody knows."""
        over = [False]

        def end(result: Result | None) -> None:
            if not over[0]:
                over[0] = True
                tell(result)

        def answer(how: str, what: Any) -> None:
            if how == "elsewhere":
                self.leader = what
            if self.deaf or self.cluster.rng.random() < self.cluster.network.loss:
                return
            told = what if how == "done" else None
            way = self.rng.randint(*((patience // 2, patience) if self.late else (MS // 2, 3 * MS)))
            self.alive(way, lambda: end(told))

        nodes = sorted(self.cluster.nodes)
        to = (
            self.leader
            if self.leader in self.cluster.nodes and self.rng.random() < 0.8
            else (self.rng.choice(nodes))
        )
        self.leader = 0 if to != self.leader else to
        if not self.cut and self.cluster.rng.random() >= self.cluster.network.loss:
            # What was written to a socket arrives, whether its sender stands still or not.
            self.cluster.at(
                self.rng.randint(MS // 2, 3 * MS), lambda: self.cluster.propose(to, command, answer)
            )
        self.alive(patience, lambda: end(None))

    def open(self) -> None:
        session = self.session

        def told(result: Result | None) -> None:
            if result is None and session == self.session:
                self.alive(50 * MS, self.open)

        self.ask(OpenSession(session, f"owner {self.number}"), told)

    def look(self) -> None:
        """What a watch would tell, from any node, as late as it is."""
        node = self.cluster.nodes[self.rng.choice(sorted(self.cluster.nodes))]
        if node.replica is not None and not node.applying and not self.deaf and not self.cut:
            item = node.replica.state.get(LEASE_PREFIX + LEASE)
            self.seen = (
                table.unpack(item.value) if item is not None and item.value is not None else None
            )
            self.holder.lease_observed(self.seen, self.clock())
            self.turn()
        self.alive(self.rng.randint(20 * MS, 150 * MS), self.look)

    def turn(self) -> None:
        asked = self.holder.next_request(self.clock(), self.seen)
        if asked is not None:
            self._carry_out(asked)
        wake = self.holder.wake_ns
        if wake:
            delay = max(MS, int((wake - self.clock()) / self.rate))
            if not self.cluster.now < self.due <= self.cluster.now + delay:
                self.due = self.cluster.now + delay
                self.alive(delay, self._woken)

    def _woken(self) -> None:
        self.due = 0
        self.turn()

    def _carry_out(self, asked: LeaseRequest) -> None:
        holder, life = self.holder, self.life
        self.fleet.books.counts[asked.kind.value] += 1

        def told(result: Result | None) -> None:
            if life != self.life:
                return
            now = self.clock()
            if result is None:
                holder.request_failed(asked.number, "no answer", now)
            elif result.code != ResultCode.DONE:  # the store is not upgraded yet
                holder.request_failed(asked.number, result.text, now)
            elif asked.kind is RequestKind.RELEASE:
                holder.response_received(asked.number, 0, 0, result.text, now)
            else:
                token, place = result.versions
                holder.response_received(asked.number, token, place, result.text, now)
            self.turn()

        if asked.kind is RequestKind.RELEASE:
            self.ask(Release(LEASE, holder.claim, asked.token, self.clock() // MS), told)
        else:
            self.ask(
                Claim(LEASE, f"p{self.number}", holder.claim, TTL_MS, time_ms=self.clock() // MS),
                told,
            )

    # ---- the work --------------------------------------------------------------------------------

    def work(self) -> None:
        """An effect now and then, each after a look at the clock; sometimes the process is stopped
        just between the two, and what it had begun goes out when it wakes.
        """
        token = self.holder.token(self.clock())
        if token:
            self.count += 1
            word = FencingPosition(token, self.count)
            late = self.fleet.stormy and self.rng.random() < 0.03
            if late:
                self.stop(int(TTL_MS * MS * self.rng.uniform(0.5, 3.0)))
                self.fleet.books.counts["stopped before an effect"] += 1
                self.alive(1, lambda: self._effect(word, False))
            else:
                self._effect(word, True)
        self.alive(self.rng.randint(20 * MS, 120 * MS), self.work)

    def _effect(self, word: FencingPosition, looked: bool) -> None:
        if looked or self.fleet.careless:
            self.fleet.books.touched(word.token, self.cluster.now)
        self.cluster.at(self.rng.randint(MS // 2, 3 * MS), lambda: self.fleet.books.box.order(word))
        self.writes += 1
        write = FencedWrite(
            self.session,
            self.writes,
            max(0, self.writes - 20),
            (Op(KEY, f"{word.token}.{self.number}.{word.number}".encode()),),
            fences=((LEASE, word.token),),
        )
        self.ask(write, lambda result: None)

    # ---- what happens to it ----------------------------------------------------------------------

    def stop(self, lasts: int) -> None:
        self.stopped_until = max(self.stopped_until, self.cluster.now + lasts)

    def restart(self, lasts: int) -> None:
        self.life += 1
        self.cluster.at(lasts, self.begin)

    def leave(self) -> None:
        self.holder.leave(self.clock())
        self.turn()


class Owners:
    """All of a run."""

    def __init__(self, cluster: Cluster, count: int, make: type[LeaseHolder] = LeaseHolder) -> None:
        self.cluster = cluster
        self.make = make
        self.books = Books(Box())
        self.stormy = True
        self.careless = False  # a planted bug: effects without a look at the clock
        self.rng = random.Random(f"{cluster.seed}/owners")
        self.owners = [Owner(self, i) for i in range(count)]

    def _cut(self, one: Owner) -> None:
        one.late, one.cut = False, self.stormy
        self.cluster.at(2 * TTL_MS * MS, lambda: setattr(one, "cut", False))

    def strike(self) -> None:
        """Something happens to an owner, most often to the one that is."""
        if not self.stormy:
            return
        now = [o for o in self.owners if o.holder.phase is Phase.HELD]
        one = (
            self.rng.choice(now)
            if now and self.rng.random() < 0.7
            else self.rng.choice(self.owners)
        )
        what = self.rng.choice(
            ["stop", "stop", "restart", "leave", "cut", "deaf", "box", "jump", "late"]
        )
        self.books.counts[what] += 1
        lasts = int(TTL_MS * MS * self.rng.uniform(0.1, 3.0))
        match what:
            case "stop":
                one.stop(lasts)
            case "restart":
                one.restart(lasts)
            case "leave":
                one.leave()
                one.alive(lasts, one.begin)
            case "cut":
                one.cut = True
                self.cluster.at(lasts, lambda: setattr(one, "cut", False))
            case "late":  # and at its end nothing of it arrives
                one.late = True
                self.cluster.at(lasts, lambda: self._cut(one))
            case "deaf":
                one.deaf = True
                self.cluster.at(lasts, lambda: setattr(one, "deaf", False))
            case "box":
                self.books.box.restart()
            case _:
                one.skew += self.rng.choice([0, 3600 * SECOND])  # it jumps on by an hour
        self.cluster.at(self.rng.randint(100 * MS, 900 * MS), self.strike)


def play(
    seed: int,
    make: type[LeaseHolder] = LeaseHolder,
    clocks: bool | None = None,
    prepare: Callable[[Owners], None] = lambda owners: None,
    newest: int = 2,
) -> Outcome:
    """A storm, a calm, and the books. `clocks`: owners' and nodes' clocks run at half or twice the
    rate. `newest`: the format of the state that the nodes' programs know. Each further one is an
    entry of the log, and so another course of the same seed.
    """
    rng = random.Random(f"{seed}/owners/world")
    size = rng.choice([3, 3, 5])
    wild = rng.random() < 0.3 if clocks is None else clocks
    cluster = Cluster(seed, size)
    cluster.leases = True
    for node in cluster.nodes.values():
        node.format = newest
    if rng.random() < 0.3:  # an old program among new ones, for a while
        old = cluster.nodes[rng.randint(1, size)]
        old.format = 1
        cluster.at(rng.randint(SECOND, 4 * SECOND), lambda: setattr(old, "format", newest))
    owners = Owners(cluster, rng.randint(2, 5), make)
    owners.books.strict = not wild
    if wild:
        for owner in owners.owners:
            owner.rate = rng.choice([0.5, 1.0, 2.0])
        for node in cluster.nodes.values():
            node.rate = rng.choice([0.5, 1.0, 2.0])
    prepare(owners)
    outcome = Outcome(seed, size)
    try:
        storm = Storm(cluster, WITHOUT_CLOCKS)
        cluster.at(SECOND, owners.strike)
        cluster.run(STORM)
        storm.over, owners.stormy = True, False
        _calm(cluster, owners)
        judge(cluster, owners.books)
    except Broken as error:
        outcome.broken = str(error)
    outcome.counts = {**cluster.counts, **owners.books.counts}
    return outcome


def _calm(cluster: Cluster, owners: Owners) -> None:
    """All is mended; then somebody must own it, and the nodes must come to one state."""
    mend(cluster)
    for owner in owners.owners:
        owner.cut = owner.deaf = owner.late = False
        owner.stopped_until = min(owner.stopped_until, cluster.now)
    slowest = min([o.rate for o in owners.owners] + [n.rate for n in cluster.nodes.values()])
    began, until = cluster.now, cluster.now + int(BOUND / slowest)
    cluster.run(until, lambda: any(o.holder.token(o.clock()) for o in owners.owners))
    if cluster.now >= until:
        who = [(o.holder.phase.value, o.holder.reason) for o in owners.owners]
        raise Broken(
            "an owner in time",
            f"nobody owns it {BOUND / SECOND:.0f} s after the last fault: {who};"
            f" {describe(cluster)}",
        )
    owners.books.counts["ms to an owner"] = (cluster.now - began) // MS
    cluster.run(cluster.now + 2 * SECOND)
    for owner in owners.owners:
        owner.life += 1  # nothing more is asked
    cluster.run(cluster.now + CALM, lambda: level(cluster))
    agreed(cluster)


def judge(cluster: Cluster, books: Books) -> None:
    """The committed log, entry by entry."""
    highest, upgraded = 0, False
    by_token: dict[int, int] = {}
    taken = refused = owner = 0
    told: dict[int, int] = {}  # claim: the last token that it was told
    for _, command, result in committed(cluster):
        if isinstance(command, Upgrade):
            upgraded = True
        if isinstance(command, Claim) and result.code == ResultCode.DONE and result.versions[0]:
            token = result.versions[0]
            if by_token.setdefault(token, command.claim) != command.claim:
                raise Broken("a token has one owner", f"token {token} was told to two claims")
            if token < told.get(command.claim, 0):
                raise Broken(
                    "tokens grow",
                    f"claim {command.claim} had token {told[command.claim]}, and then {token}",
                )
            told[command.claim] = token
            if owner not in (0, command.claim):
                raise Broken(
                    "a lease ends by its owner or its time",
                    f"claim {command.claim} was told token"
                    f" {token} while claim {owner} had not given it back",
                )
            owner = command.claim
        if (
            isinstance(command, Release | ExpireClaim)
            and command.claim == owner
            and not result.text
        ):
            owner = 0
        if isinstance(command, FencedWrite):
            if result.code == ResultCode.FENCED:
                refused += 1
            elif result.code == ResultCode.DONE and result.versions != ():
                taken += 1
                token = command.fences[0][1]
                if not upgraded:
                    raise Broken("formats", "a token was heeded before all nodes knew of any")
                if token < highest:
                    raise Broken(
                        "one owner at a time",
                        f"a write under token {token} was taken after one under {highest}",
                    )
                highest = token
    words = books.box.heeded
    for before, after in zip(words, words[1:], strict=False):
        if after.is_before(before):
            raise Broken("nothing older is heeded", f"the box heeded {after} after {before}")
    books.counts.update(
        taken=taken,
        refused=refused,
        heeded=len(words),
        ignored=books.box.refused,
        owners=len(by_token),
    )
    if not taken:
        raise Broken("an owner works", "no write was ever taken")
