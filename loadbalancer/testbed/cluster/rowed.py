"""Writers of rows over a simulated cluster, and what must hold of rows whatever fails.

By books of its own, from the committed log: a write is made where after it no row names what is not
there, and else refused whole; versions count on over deletions; a write that was sent again is made
once; none is made before the state has its format. Of each node: rows in its state are those of the
books, and so are rows that were loaded once and kept up by what it said was fed, over restarts and
snapshots.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.store import commands
from loadbalancer.store.commands import (
    AnyCommand,
    Op,
    OpenSession,
    Result,
    ResultCode,
    RowsWrite,
    Upgrade,
)
from loadbalancer.store.durable.rows import WatchEvent
from loadbalancer.store.durable.state import State
from loadbalancer.testbed.cluster.checks import Broken
from loadbalancer.testbed.cluster.plans import CALM, STORM, Outcome, Storm, describe, level, mend
from loadbalancer.testbed.cluster.sim import MS, SECOND, Cluster, Node, agreed, committed

WRITERS = 3
TRY = 300 * MS
TENANTS = [f"feed/global/tenant/t{i}" for i in range(3)]
ROUTES = [f"feed/service:s{i % 2}/route/r{i}" for i in range(4)]
Rows = dict[str, tuple[int, bytes]]  # key: version, value


class Writer:
    """One write after the other, each sent until it is answered."""

    def __init__(self, cluster: Cluster, number: int) -> None:
        self.cluster = cluster
        self.rng = random.Random(f"{cluster.seed}/writer/{number}")
        self.session = self.rng.getrandbits(48) | 1
        self.number = 0
        self.tries = 0
        self.leader = 0
        self.done = 0  # writes that were made
        self.command: AnyCommand | None = OpenSession(self.session, f"writer {number}")
        self.stopped = False
        cluster.at(self.rng.randint(0, 500 * MS), self._try)

    def _next(self) -> None:
        self.command = None
        if self.stopped:
            return
        self.number += 1
        ops, refs = [], []
        for key in self.rng.sample(TENANTS + ROUTES, self.rng.randint(1, 4)):
            gone = self.rng.random() < 0.3
            ops.append(Op(key, None if gone else f"{self.session}.{self.number}".encode()))
            named = (
                [] if gone or key in TENANTS else self.rng.sample(TENANTS, self.rng.randint(0, 2))
            )
            refs.append(tuple(named))
        self.command = RowsWrite(
            self.session, self.number, self.number - 1, tuple(ops), refs=tuple(refs)
        )
        self.cluster.at(self.rng.randint(5 * MS, 60 * MS), self._try)

    def _try(self) -> None:
        if self.command is None:
            return
        self.tries += 1
        attempt, command, rng = self.tries, self.command, self.rng
        nodes = sorted(self.cluster.nodes)
        to = self.leader if self.leader in nodes and rng.random() < 0.9 else rng.choice(nodes)
        self.leader = 0

        def answer(how: str, what: Any) -> None:
            if rng.random() >= self.cluster.network.loss:
                self.cluster.at(
                    rng.randint(MS // 2, 3 * MS), lambda: self._answer(attempt, to, how, what)
                )

        if rng.random() >= self.cluster.network.loss:
            self.cluster.at(
                rng.randint(MS // 2, 3 * MS), lambda: self.cluster.propose(to, command, answer)
            )
        self.cluster.at(TRY + rng.randint(0, TRY), lambda: self._late(attempt))

    def _late(self, attempt: int) -> None:
        if attempt == self.tries:
            self._try()

    def _answer(self, attempt: int, node: int, how: str, what: Any) -> None:
        if attempt != self.tries:
            return
        if how == "elsewhere":
            self.leader = what
            self.cluster.at(self.rng.randint(MS, 50 * MS), lambda: self._late(attempt))
        elif how == "done":
            result: Result = what
            self.leader = node
            self.tries += 1
            self.done += result.code == ResultCode.DONE and isinstance(self.command, RowsWrite)
            self._next()


@dataclass(eq=False)
class Follower:
    """What a node's feed would know."""

    state: State | None = None  # that its rows were loaded from
    rows: Rows = field(default_factory=dict)


class Followers:
    def __init__(self) -> None:
        self.of: dict[int, Follower] = {}
        self.loads = 0

    def applied(self, node: Node, state: State, events: list[WatchEvent]) -> None:
        """`events`: what the node fed since it last said so."""
        mine = self.of.setdefault(node.id, Follower())
        if mine.state is not state:  # begun anew, or a snapshot came
            self.loads += 1
            mine.state, mine.rows = state, loaded(state)
            return
        for event in events:
            if event.value is None:
                mine.rows.pop(event.key, None)
            else:
                mine.rows[event.key] = event.version, event.value


def loaded(state: State) -> Rows:
    return {key: (version, value) for key, version, value in state.rows().rows}


def play(seed: int, kinds: tuple[str, ...] = ()) -> Outcome:
    """A storm, a calm, and the books."""
    rng = random.Random(f"{seed}/rowed/world")
    cluster = Cluster(seed, rng.choice([3, 3, 5]))
    cluster.leases = True
    followers = Followers()
    cluster.fed = followers.applied
    if rng.random() < 0.5:  # an old program among new ones, for a while
        old = cluster.nodes[rng.randint(1, len(cluster.nodes))]
        old.format = rng.choice([1, 2])
        cluster.at(
            rng.randint(SECOND, 4 * SECOND), lambda: setattr(old, "format", commands.STATE_FORMAT)
        )
    writers = [Writer(cluster, i) for i in range(WRITERS)]
    outcome = Outcome(seed, len(cluster.nodes))
    try:
        storm = Storm(cluster, kinds)
        cluster.run(STORM)
        storm.over = True
        _calm(cluster, writers)
        rows = judge(cluster)
        for node in cluster.up():
            assert node.replica is not None
            if node.replica.core.applied_index < cluster.checks.highest:
                continue  # it was removed
            for what, found in (
                ("state", loaded(node.replica.state)),
                ("feed", followers.of[node.id].rows),
            ):
                if found != rows:
                    raise Broken(
                        "rows are those of the log",
                        f"the {what} of node {node.id} has {found}, and the log gives {rows}",
                    )
    except Broken as error:
        outcome.broken = str(error)
    cluster.counts["loads"] = followers.loads
    outcome.counts = dict(cluster.counts)
    return outcome


def _calm(cluster: Cluster, writers: list[Writer]) -> None:
    mend(cluster)
    began = [w.done for w in writers]
    cluster.run(
        cluster.now + CALM,
        lambda: all(w.done >= b + 3 for w, b in zip(writers, began, strict=True)),
    )
    if any(w.done < b + 3 for w, b in zip(writers, began, strict=True)):
        raise Broken(
            "progress",
            f"no rows are written {CALM // SECOND} s after all was mended: {describe(cluster)}",
        )
    for w in writers:
        w.stopped = True
    cluster.run(
        cluster.now + CALM, lambda: all(w.command is None for w in writers) and level(cluster)
    )
    if not level(cluster):
        raise Broken("progress", f"members did not catch up: {describe(cluster)}")
    agreed(cluster)


def judge(cluster: Cluster) -> Rows:
    """The committed log, entry by entry; the rows that it gives. Raises Broken."""
    rows: Rows = {}
    refs: dict[str, tuple[str, ...]] = {}
    versions: dict[str, int] = {}
    answers: dict[tuple[int, int], Result] = {}
    format_ = 1
    for index, command, result in committed(cluster):
        if isinstance(command, Upgrade):
            format_ = max(format_, command.format if command.format == format_ + 1 else 0)
        if not isinstance(command, RowsWrite) or result.code == ResultCode.EXPIRED:
            continue
        if answers.setdefault((command.session, command.number), result) != result:
            raise Broken("a write is made once", f"entry {index} answers again, and otherwise")
        if result.revision != index:
            continue  # it was made before
        after, named = dict(rows), dict(refs)
        for op, names in zip(command.ops, command.refs, strict=True):
            after.pop(op.key, None)
            named.pop(op.key, None)
            if op.value is not None:
                after[op.key], named[op.key] = (versions.get(op.key, 0) + 1, op.value), names
        whole = format_ >= 3 and all(one in after for names in named.values() for one in names)
        if result.code != (ResultCode.DONE if whole else ResultCode.REFUSED):
            raise Broken(
                "rows name what is there",
                f"entry {index} at format {format_} is answered {result},"
                f" after {rows} that name {refs}: {command}",
            )
        cluster.counts["rows refused" if not whole else "rows written"] += 1
        if whole:
            told = tuple(after[op.key][0] if op.value is not None else 0 for op in command.ops)
            if result.versions != told:
                raise Broken(
                    "versions count on", f"entry {index}: {result.versions}, and not {told}"
                )
            for op in command.ops:
                if op.value is not None or op.key in rows:
                    versions[op.key] = versions.get(op.key, 0) + 1
            rows, refs = after, named
    return rows
