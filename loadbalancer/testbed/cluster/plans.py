"""What goes wrong in a simulated cluster, drawn from a seed, and a whole run of it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from loadbalancer.store.commands import Op, OpenSession, Write
from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.raft.members import ChangeKind, MembershipChange
from loadbalancer.store.raft.messages import Members
from loadbalancer.store.raft.node import RaftNode
from loadbalancer.store.raft.state import Role
from loadbalancer.testbed.cluster import linear
from loadbalancer.testbed.cluster.checks import Broken
from loadbalancer.testbed.cluster.clients import GROUPS, KEYS, Client
from loadbalancer.testbed.cluster.linear import Operation
from loadbalancer.testbed.cluster.sim import CONFIG, MS, SECOND, Cluster, Node, agreed

STORM = 8 * SECOND  # faults for so long
CALM = 30 * SECOND  # and then all must come right within this
CLIENTS = 4


@dataclass(slots=True)
class Outcome:
    seed: int
    size: int
    broken: str = ""  # the property, and what happened; empty: all held
    counts: dict[str, int] = field(default_factory=dict)


class Storm:
    """Draws faults, one after another, while the clients work."""

    def __init__(self, cluster: Cluster, kinds: tuple[str, ...] = ()) -> None:
        self.cluster = cluster
        self.rng = random.Random(f"{cluster.seed}/storm")
        everything: dict[str, Callable[[], None]] = {
            "kill": self.kill,
            "power": self.power,
            "fuse": self.fuse,
            "part": self.part,
            "alone": self.alone,
            "oneway": self.oneway,
            "bridge": self.bridge,
            "lossy": self.lossy,
            "slow": self.slow,
            "doubled": self.doubled,
            "clock": self.clock,
            "rate": self.rate,
            "full": self.full,
            "slowdisk": self.slowdisk,
            "learn": self.learn,
            "promote": self.promote,
            "remove": self.remove,
            "transfer": self.transfer,
            "all": self.all,
            "wipe": self.wipe,
            "flip": self.flip,
            "silence": self.silence,
            "burst": self.burst,
            "lonely": self.lonely,
            "eager": self.eager,
            "behead": self.behead,
        }
        names = kinds or tuple(everything)
        # A few kinds a run, drawn anew for each: what only comes together in twos and threes is
        # found so.
        self.kinds = [
            everything[n] for n in self.rng.sample(names, min(len(names), self.rng.randint(2, 8)))
        ]
        self.over = False
        self._next()

    def _next(self) -> None:
        self.cluster.at(self.rng.randint(50 * MS, 900 * MS), self._strike)

    def _strike(self) -> None:
        if self.over:
            return
        self.rng.choice(self.kinds)()
        self._next()

    def _some(self) -> Node:
        """A running node, the leader more often than the others."""
        leader = self.cluster.leader()
        if leader is not None and self.rng.random() < 0.4:
            return leader
        return self.rng.choice(self.cluster.up() or list(self.cluster.nodes.values()))

    def _lasting(self, undo: Callable[[], None], most: int = 2 * SECOND) -> None:
        self.cluster.at(self.rng.randint(50 * MS, most), undo)

    # ---- crashes ---------------------------------------------------------------------------------

    def kill(self) -> None:
        node = self._some()
        self.cluster.stop(node, False)
        self._lasting(lambda: self.cluster.start(node))

    def power(self) -> None:
        node = self._some()
        self.cluster.stop(node, True)
        self._lasting(lambda: self.cluster.start(node))

    def fuse(self) -> None:
        """Power goes at one of the next boundaries of the disk."""
        self._some().fuse = self.rng.randint(1, 12)

    def all(self) -> None:
        """The whole room loses power."""
        for node in self.cluster.up():
            self.cluster.stop(node, True)
            self._lasting(lambda n=node: self.cluster.start(n), SECOND)  # type: ignore[misc]

    def wipe(self) -> None:
        """A member is lost for good, while the others are a majority."""
        node, leader = self._some(), self.cluster.leader()
        if leader is None or leader.replica is None or leader is node:
            return
        voters = leader.replica.core.members.voters
        alive = [n.id for n in self.cluster.up() if n.id in voters and n is not node]
        if len(alive) > len(voters) // 2 + 1:
            self.cluster.stop(node, True)
            node.dead = "lost"
            self.cluster.counts["lost"] += 1

    def flip(self) -> None:
        """A bit goes bad in a log at rest, before the last batch: the node must notice and stay
        away.
        """
        node, leader = self._some(), self.cluster.leader()
        if node.replica is None or leader is None or leader.replica is None or leader is node:
            return
        voters = leader.replica.core.members.voters
        alive = [n.id for n in self.cluster.up() if n.id in voters and n is not node]
        journal = node.replica.journal
        name, end = journal.segments[-1].name, journal.last_frame_offset
        if len(alive) <= len(voters) // 2 + 1 or end <= 0:
            return
        self.cluster.stop(node, False)
        node.disk.flip(name, self.rng.randrange(end), self.rng)
        self.cluster.counts["flips"] += 1

        def back() -> None:
            self.cluster.start(node)
            if not node.dead:
                raise Broken(
                    "damage is noticed", f"node {node.id} started from a log with a flipped bit"
                )

        self._lasting(back)

    # ---- network ---------------------------------------------------------------------------------

    def _cut(self, pairs: set[tuple[int, int]]) -> None:
        net = self.cluster.network
        net.cut |= pairs
        self.cluster.counts["partitions"] += 1

        def heal() -> None:
            net.cut -= pairs

        self._lasting(heal)

    def part(self) -> None:
        ids = list(self.cluster.nodes)
        self.rng.shuffle(ids)
        at = self.rng.randint(1, len(ids) - 1)
        self._cut({pair for a in ids[:at] for b in ids[at:] for pair in ((a, b), (b, a))})

    def alone(self) -> None:
        one = self._some().id
        self._cut({pair for n in self.cluster.nodes if n != one for pair in ((one, n), (n, one))})

    def lonely(self) -> None:
        """A leader that no member hears, and whose clock is slow: it believes for long that it
        leads.
        """
        leader = self.cluster.leader()
        if leader is None:
            return
        before, leader.rate = leader.rate, 0.3
        one = leader.id
        self._cut({pair for n in self.cluster.nodes if n != one for pair in ((one, n), (n, one))})

        def back() -> None:
            leader.rate = before

        self._lasting(back)

    def _often(self, times: int, every: int, act: Callable[[], None]) -> None:
        act()
        if times > 1 and not self.over:
            self.cluster.at(every, lambda: self._often(times - 1, every, act))

    def behead(self) -> None:
        """Whoever has just won dies at once, again and again (paper, figure 8)."""
        seen: set[int] = set()

        def look() -> None:
            leader = self.cluster.leader()
            if leader is None or leader.replica is None or leader.replica.core.term in seen:
                return
            seen.add(leader.replica.core.term)
            self.cluster.at(self.rng.randint(0, 40 * MS), lambda: self.cluster.stop(leader, False))
            self.cluster.at(
                self.rng.randint(100 * MS, 900 * MS), lambda: self.cluster.start(leader)
            )

        self._often(500, 5 * MS, look)

    def silence(self) -> None:
        """Clients still reach a leader that the others don't hear, and hears them."""
        one = self._some().id
        self._cut({(one, n) for n in self.cluster.nodes if n != one})

    def oneway(self) -> None:
        a, b = self.rng.sample(list(self.cluster.nodes), 2)
        self._cut({(a, b)})

    def bridge(self) -> None:
        """Two halves that only one node reaches."""
        ids = list(self.cluster.nodes)
        self.rng.shuffle(ids)
        _, *rest = ids
        half = len(rest) // 2
        self._cut({pair for a in rest[:half] for b in rest[half:] for pair in ((a, b), (b, a))})

    def lossy(self) -> None:
        net = self.cluster.network
        net.loss = self.rng.choice([0.02, 0.1, 0.3])

        def heal() -> None:
            net.loss = 0.0

        self._lasting(heal)

    def slow(self) -> None:
        net = self.cluster.network
        net.slow_part = self.rng.choice([0.1, 0.4])

        def heal() -> None:
            net.slow_part = 0.01

        self._lasting(heal)

    def doubled(self) -> None:
        net = self.cluster.network
        net.doubled = 0.3

        def heal() -> None:
            net.doubled = 0.0

        self._lasting(heal)

    # ---- clocks and disks ------------------------------------------------------------------------

    def clock(self) -> None:
        node = self._some()
        node.skew += self.rng.choice([-5 * SECOND, -300 * MS, 300 * MS, 5 * SECOND, 600 * SECOND])

    def rate(self) -> None:
        self._some().rate = self.rng.choice([0.5, 0.9, 1.0, 1.1, 2.0])

    def full(self) -> None:
        node = self._some()
        node.disk.full = True

        def heal() -> None:
            node.disk.full = False

        self._lasting(heal)

    def slowdisk(self) -> None:
        node = self._some()
        before, node.disk_ns = node.disk_ns, (100 * MS, 1500 * MS)

        def heal() -> None:
            node.disk_ns = before

        self._lasting(heal)

    # ---- members ---------------------------------------------------------------------------------

    def learn(self) -> None:
        if len(self.cluster.up()) > 8 or self.cluster.leader() is None:
            return
        self.cluster.last_id += 1
        number = self.cluster.last_id
        self.cluster.add_node(number, Members())
        self.cluster.change(MembershipChange(ChangeKind.LEARN, number, str(number)))

    def _members(self) -> Members | None:
        leader = self.cluster.leader()
        return (
            leader.replica.core.members
            if leader is not None and leader.replica is not None
            else None
        )

    def promote(self) -> None:
        members = self._members()
        if members is None:
            return
        if not members.learners:
            self.learn()
            return
        self.cluster.change(MembershipChange(ChangeKind.PROMOTE, self.rng.choice(members.learners)))

    def remove(self) -> None:
        """One goes, the leader too; never so many that what is left could not bear a loss."""
        members = self._members()
        if members is None:
            return
        dead = [n for n in members.all if self.cluster.nodes[n].dead]
        up = {n.id for n in self.cluster.up()}
        voters_up = [n for n in members.voters if n in up]
        candidates = dead or [
            n
            for n in members.all
            if n in members.learners
            or (len(members.voters) > 3 and len(voters_up) - 1 > (len(members.voters) - 1) // 2)
        ]
        if candidates:
            self.cluster.change(MembershipChange(ChangeKind.REMOVE, self.rng.choice(candidates)))

    def burst(self) -> None:
        """Several changes at once, at whoever thinks that it leads."""
        members = self._members()
        if members is None or len(members.voters) < 4:
            self.learn()
            self.promote()
            return
        for number in self.rng.sample(members.voters, min(2, len(members.voters) - 2)):
            self.cluster.change(MembershipChange(ChangeKind.REMOVE, number), True)

    def eager(self) -> None:
        """Operators that ask for a change of members the moment there is a leader, over and
        over.
        """

        def ask() -> None:
            members = self._members()
            if members is None:
                return
            if members.learners and self.rng.random() < 0.6:
                self.cluster.change(
                    MembershipChange(ChangeKind.PROMOTE, self.rng.choice(members.learners)), True
                )
            elif len(members.voters) > 3 and self.rng.random() < 0.5:
                self.cluster.change(
                    MembershipChange(ChangeKind.REMOVE, self.rng.choice(members.voters)), True
                )
            elif len(members.voters) < 5:
                self.learn()

        self._often(60, 20 * MS, ask)

    def transfer(self) -> None:
        leader = self.cluster.leader()
        if leader is None or leader.replica is None:
            return
        to = self.rng.choice(leader.replica.core.members.voters)
        try:
            leader.replica.core.transfer_leadership(to)
        except Exception as error:  # it may be busy or gone; what else it were would be a defect
            if type(error).__name__ not in ("BusyError", "NotLeaderError", "MembershipError"):
                raise
            return
        self.cluster.turn(leader)


def play(
    seed: int,
    size: int = 0,
    make: type[RaftNode] = RaftNode,
    kinds: tuple[str, ...] = (),
    prepare: Callable[[Cluster], None] = lambda cluster: None,
    config: RaftConfig = CONFIG,
) -> Outcome:
    """A storm, then calm, in which all must come right. What is broken is in the outcome, with the
    first property that did not hold.
    """
    size = size or random.Random(f"{seed}/size").choice([3, 3, 5, 5, 7])
    cluster = Cluster(seed, size, make, config)
    prepare(cluster)
    history: list[Operation] = []
    clients = [Client(cluster, i, history) for i in range(CLIENTS)]
    outcome = Outcome(seed, size)
    try:
        storm = Storm(cluster, kinds)
        cluster.run(STORM)
        storm.over = True
        _calm(cluster, clients)
        _judge(history)
        agreed(cluster)
    except Broken as error:
        outcome.broken = str(error)
    except AssertionError as error:
        outcome.broken = f"assertion: {error}"
    cluster.counts["operations"] = sum(op.complete for op in history)
    cluster.counts["unknown"] = sum(not op.complete and bool(op.writes) for op in history)
    cluster.counts["entries"] = max(cluster.checks.committed, default=0)
    cluster.counts["terms"] = len(cluster.checks.leaders)
    outcome.counts = dict(cluster.counts)
    return outcome


def mend(cluster: Cluster) -> None:
    """All that broke, but for what is lost for good."""
    net = cluster.network
    cluster.run(cluster.now + 2 * SECOND)  # what was to be undone is undone
    net.cut.clear()
    net.loss = net.doubled = 0.0
    net.slow_part = 0.01
    for node in cluster.nodes.values():
        node.disk.full, node.disk_ns, node.rate, node.fuse = False, (MS // 2, 4 * MS), 1.0, -1
        cluster.start(node)


def _calm(cluster: Cluster, clients: list[Client]) -> None:
    """All that broke is mended; then every client is served again."""
    mend(cluster)
    began = [c.done for c in clients]
    cluster.run(
        cluster.now + CALM,
        lambda: all(c.done >= b + 3 for c, b in zip(clients, began, strict=True)),
    )
    if any(c.done < b + 3 for c, b in zip(clients, began, strict=True)):
        raise Broken(
            "progress", f"no service {CALM // SECOND} s after all was mended: {describe(cluster)}"
        )
    for c in clients:
        c.stopped = True
    cluster.run(cluster.now + CALM, lambda: all(c.idle for c in clients) and level(cluster))
    if not level(cluster):
        raise Broken(
            "progress", f"members did not catch up in {CALM // SECOND} s: {describe(cluster)}"
        )


def level(cluster: Cluster) -> bool:
    """Every member that runs has applied all."""
    leader = cluster.leader()
    if leader is None or leader.replica is None:
        return False
    core = leader.replica.core
    if core.applied_index < core.log.last_index:
        return False
    return all(
        n.replica is None
        or n.id not in core.members.all
        or n.replica.core.applied_index == core.applied_index
        for n in cluster.nodes.values()
    )


def describe(cluster: Cluster) -> str:
    words = []
    for node in cluster.nodes.values():
        if node.replica is None:
            words.append(f"{node.id} down{f' ({node.dead})' if node.dead else ''}")
        else:
            c = node.replica.core
            words.append(
                f"{node.id} {c.role.value} term {c.term} log {c.log.base_index}-{c.log.last_index} "
                f"commit {c.commit_index} applied {c.applied_index} leader {c.leader_id}"
                f" voters {c.members.voters}{' installing' if c.installing_snapshot else ''}"
                f"{' removed' if c.is_removed else ''}"
            )
    return "; ".join(words)


def _judge(history: list[Operation]) -> None:
    for group in range(GROUPS):
        verdict = linear.check([op for op in history if op.group == group], KEYS)
        if not verdict.linearizable:
            raise Broken("linearizability", f"group {group}: none of {verdict.stuck} can come next")


def disturbed(seed: int, make: type[RaftNode] = RaftNode) -> Outcome:
    """One follower is cut off for long and comes back to a healthy cluster: the leader must stay
    (thesis 9.6).
    """
    cluster = Cluster(seed, 3, make)
    history: list[Operation] = []
    clients = [Client(cluster, i, history) for i in range(2)]
    outcome = Outcome(seed, 3)
    cluster.run(2 * SECOND)
    leader = cluster.leader()
    try:
        if leader is None or leader.replica is None:
            raise Broken("progress", f"no leader after 2 s: {describe(cluster)}")
        term = leader.replica.core.term
        one = next(n for n in cluster.nodes.values() if n is not leader)
        pairs = {pair for n in cluster.nodes if n != one.id for pair in ((one.id, n), (n, one.id))}
        cluster.network.cut |= pairs
        cluster.run(cluster.now + 10 * CONFIG.election_timeout_ns)
        cluster.network.cut -= pairs
        cluster.run(cluster.now + 10 * CONFIG.election_timeout_ns)
        core = leader.replica.core
        if core.role is not Role.LEADER or core.term != term:
            raise Broken("a returning node disturbs nobody", f"term {term} became {core.term}")
        _calm(cluster, clients)
        _judge(history)
    except Broken as error:
        outcome.broken = str(error)
    outcome.counts = dict(cluster.counts)
    return outcome


class Steered:
    """A cluster whose every meeting is arranged."""

    def __init__(self, seed: int, size: int, make: type[RaftNode], config: RaftConfig) -> None:
        self.cluster = Cluster(seed, size, make, config)
        self.nodes = self.cluster.nodes

    def only(self, *groups: tuple[int, ...]) -> None:
        """Who may speak to whom."""
        self.cluster.network.cut = {
            (a, b)
            for a in self.nodes
            for b in self.nodes
            if a != b and not any(a in g and b in g for g in groups)
        }

    def core(self, number: int) -> RaftNode:
        replica = self.nodes[number].replica
        if replica is None:
            raise Broken("progress", f"node {number} is down")
        return replica.core

    def wait(self, what: Callable[[], bool], seconds: int = 5) -> bool:
        until = self.cluster.now + seconds * SECOND
        while self.cluster.now < until and not what():
            self.cluster.run(self.cluster.now + MS // 10)
        return what()

    def leads(self, among: tuple[int, ...]) -> int:
        """Who of these leads; 0: none."""
        return next(
            (n for n in among if self.nodes[n].replica and self.core(n).role is Role.LEADER), 0
        )

    def settle(self, among: tuple[int, ...]) -> int:
        """Wait until one of these leads and all hold the same; who it is."""
        self.wait(
            lambda: (
                bool(self.leads(among))
                and len({(self.core(n).commit_index, self.core(n).log.last_index) for n in among})
                == 1
            )
        )
        return self.leads(among)

    def outcome(self, seed: int, play: Callable[[Steered], None]) -> Outcome:
        outcome = Outcome(seed, len(self.nodes))
        try:
            play(self)
        except Broken as error:
            outcome.broken = str(error)
        outcome.counts = dict(self.cluster.counts)
        return outcome


def figure_8(seed: int, make: type[RaftNode] = RaftNode, config: RaftConfig = CONFIG) -> Outcome:
    """The paper's figure 8, steered: an entry of an old term reaches a majority, its leader dies
    before one of its own term does, and a node with a later entry in its place stands for
    election.
    """
    return Steered(seed, 5, make, config).outcome(seed, _figure_8)


def _figure_8(s: Steered) -> None:
    everyone = tuple(s.nodes)
    a = s.settle(everyone)
    b, *others = (n for n in everyone if n != a)
    rest = tuple(others)
    s.only((a, b), rest)  # (a): the entry stands on two of five
    s.cluster.propose(a, OpenSession(7), lambda how, what: None)
    entry = s.core(a).log.last_index
    s.wait(lambda: s.core(b).durable_index == entry)
    s.wait(lambda: bool(s.leads(rest)))  # (b): another leads, and its entry stands on itself alone
    e = s.leads(rest)
    if not e:
        return
    s.only((a, b))
    s.wait(lambda: s.core(e).durable_index >= entry)
    s.cluster.stop(s.nodes[e], False)
    c, d = (n for n in rest if n != e)
    s.only((a, b, c), (b, c, d))
    s.wait(lambda: bool(s.leads((a, b))))  # (c): the first leads again, and spreads the old entry
    f = s.leads((a, b))
    if not f:
        return
    s.wait(lambda: s.core(f).commit_index >= entry, 2)
    s.cluster.network.cut |= {(f, n) for n in everyone}
    s.cluster.stop(s.nodes[f], False)
    s.cluster.start(s.nodes[e])  # (d): may the other still win?
    s.only((c, d, e))
    s.wait(lambda: bool(s.leads((c, d, e))), 3)
    _reunite(s)


def _reunite(s: Steered) -> None:
    for node in s.nodes.values():
        s.cluster.start(node)
    s.only(tuple(s.nodes))
    s.wait(lambda: level(s.cluster), 20)
    agreed(s.cluster)


def two_majorities(
    seed: int, make: type[RaftNode] = RaftNode, config: RaftConfig = CONFIG
) -> Outcome:
    """What was wrong with the first publication of single-server changes (Ongaro, raft-dev, July
    2015), steered: a leader's change stands on two nodes, the next leader makes another before it
    committed anything, and the first comes back with a majority of its own.
    """
    return Steered(seed, 4, make, config).outcome(seed, _two_majorities)


def _two_majorities(s: Steered) -> None:
    old = tuple(s.nodes)
    a = s.settle(old)
    s.cluster.add_node(5, Members())
    s.cluster.change(MembershipChange(ChangeKind.LEARN, 5, "5"))
    s.settle((*old, 5))
    if s.leads(old) != a or 5 not in s.core(a).members.learners:
        return
    rest = tuple(n for n in old if n != a)
    s.only((a, 5), rest)
    s.cluster.change(
        MembershipChange(ChangeKind.PROMOTE, 5)
    )  # it stands on the first leader and the newcomer
    s.wait(
        lambda: (
            5 in s.core(5).members.voters and s.core(5).durable_index == s.core(a).log.last_index
        )
    )
    s.cluster.stop(s.nodes[a], False)
    s.wait(lambda: bool(s.leads(rest)))
    b = s.leads(rest)
    if not b:
        return
    c, d = (n for n in rest if n != b)
    s.only((b, c))
    s.cluster.change(MembershipChange(ChangeKind.REMOVE, a))
    s.wait(
        lambda: (
            a not in s.core(b).members.voters and s.core(b).commit_index == s.core(b).log.last_index
        ),
        1,
    )
    s.cluster.start(s.nodes[a])
    s.only((a, d, 5))
    s.wait(lambda: bool(s.leads((a, d, 5))), 3)
    _reunite(s)


def early_read(seed: int, make: type[RaftNode] = RaftNode, config: RaftConfig = CONFIG) -> Outcome:
    """A leader answers a write and dies; who takes its place is asked at once, before it can know
    what was committed (thesis 6.4, step 1).
    """
    return Steered(seed, 3, make, config).outcome(seed, _early_read)


def _early_read(s: Steered) -> None:
    a = s.settle(tuple(s.nodes))
    rest = tuple(n for n in s.nodes if n != a)
    answers: list[object] = []

    def answered(how: str, what: object) -> None:
        s.only(rest)
        s.cluster.at(0, lambda: s.cluster.stop(s.nodes[a], False))

    s.cluster.propose(a, OpenSession(7), lambda how, what: None)
    s.settle(tuple(s.nodes))
    s.cluster.propose(a, Write(7, 1, 0, (Op("k", b"1"),)), answered)
    s.wait(lambda: bool(s.leads(rest)))
    leader = s.leads(rest)
    if not leader or not s.cluster.checks.results:
        return
    s.cluster.read(
        leader, lambda r: r.state.get("k"), lambda how, what: answers.append((how, what))
    )
    s.wait(lambda: bool(answers))
    if answers and answers[0] == ("done", None):
        raise Broken(
            "linearizability", "a write that was answered is not read from the next leader"
        )
    _reunite(s)
