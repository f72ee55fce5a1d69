"""Clients of a simulated cluster: each does one thing at a time, tries again where no answer comes,
and writes down what it saw.
"""

from __future__ import annotations

import random
from typing import Any

from loadbalancer.store.commands import (
    ANY_VERSION,
    AnyCommand,
    Op,
    OpenSession,
    Result,
    ResultCode,
    Write,
)
from loadbalancer.store.replica import Replica
from loadbalancer.testbed.cluster.linear import Operation
from loadbalancer.testbed.cluster.sim import MS, SECOND, Cluster

GROUPS, KEYS = 3, 2  # groups of keys that one write may span
TRY = 300 * MS
PATIENCE = 4 * SECOND  # then the client gives up, and what it asked for may happen or not


def key(group: int, place: int) -> str:
    return f"config/g{group}/k{place}"


class Client:
    def __init__(self, cluster: Cluster, number: int, history: list[Operation]) -> None:
        self.cluster = cluster
        self.number = number
        self.history = history
        self.rng = random.Random(f"{cluster.seed}/client/{number}")
        self.session = 0
        self.writes = 0
        self.answered: set[int] = set()
        self.known: dict[tuple[int, int], int] = {}  # versions as last seen
        self.op: Operation | None = None
        self.command: AnyCommand | None = None
        self.tries = 0
        self.began = 0
        self.leader = 0
        self.done = 0
        self.stopped = False
        self.pause = (5 * MS, 60 * MS)
        cluster.at(self.rng.randint(0, 500 * MS), self.next)

    @property
    def idle(self) -> bool:
        return self.op is None and self.command is None

    def next(self) -> None:
        """Begin something."""
        if self.stopped:
            return
        self.began = self.cluster.now
        self.tries += 1
        if not self.session:
            self.op, self.command = (
                None,
                OpenSession(self.rng.getrandbits(48) | 1, f"client {self.number}"),
            )
        elif self.rng.random() < 0.4:
            self.command = None
            self.op = Operation(self.number, self.rng.randrange(GROUPS), (), self.cluster.now)
            self.history.append(self.op)
        else:
            self._begin_write()
        self._try()

    def _begin_write(self) -> None:
        self.writes += 1
        group = self.rng.randrange(GROUPS)
        places = range(KEYS) if self.rng.random() < 0.3 else [self.rng.randrange(KEYS)]
        writes, ops = [], []
        for place in places:
            value = None if self.rng.random() < 0.1 else f"{self.number}.{self.writes}.{place}"
            version = self.known.get((group, place), 0) if self.rng.random() < 0.4 else ANY_VERSION
            writes.append((place, value, version))
            ops.append(Op(key(group, place), None if value is None else value.encode(), version))
        answered = 0
        while answered + 1 in self.answered:
            answered += 1
        self.command = Write(self.session, self.writes, answered, tuple(ops))
        self.op = Operation(self.number, group, tuple(writes), self.cluster.now)
        self.history.append(self.op)

    def _try(self) -> None:
        if self.cluster.now - self.began > PATIENCE and not self.stopped:
            self._over()  # its answer is unknown for good
            return
        self.tries += 1
        attempt = self.tries
        nodes = sorted(self.cluster.nodes)
        known = self.leader in self.cluster.nodes and self.rng.random() < 0.9
        to = self.leader if known else self.rng.choice(nodes)
        self.leader = 0

        def answer(how: str, what: Any) -> None:
            # It comes back over a network that may lose it.
            if self.rng.random() >= self.cluster.network.loss:
                self.cluster.at(
                    self.rng.randint(MS // 2, 3 * MS), lambda: self._answer(attempt, to, how, what)
                )

        def arrive() -> None:
            if self.command is not None:
                self.cluster.propose(to, self.command, answer)
            elif self.op is not None:
                group = self.op.group
                self.cluster.read(to, lambda r: reading(r, group), answer)

        if self.rng.random() >= self.cluster.network.loss:
            self.cluster.at(self.rng.randint(MS // 2, 3 * MS), arrive)
        self.cluster.at(TRY + self.rng.randint(0, TRY), lambda: self._late(attempt))

    def _late(self, attempt: int) -> None:
        if attempt == self.tries and not self.idle:
            self._try()

    def _answer(self, attempt: int, node: int, how: str, what: Any) -> None:
        if attempt != self.tries or self.idle:
            return
        if how == "done":
            self.leader = node
            self._done(what)
        elif how == "elsewhere":
            self.leader = what
            self.tries += 1
            again = self.tries
            self.cluster.at(self.rng.randint(MS, 50 * MS), lambda: self._late(again))
        # Busy and unknown: the same again, after a while.

    def _done(self, what: Any) -> None:
        op = self.op
        if isinstance(self.command, OpenSession):
            self.session = self.command.session
        elif op is not None and not op.writes:
            op.returned, op.seen = self.cluster.now, what
            for place, (version, _) in enumerate(what):
                self.known[op.group, place] = version
        elif op is not None and isinstance(self.command, Write):
            result: Result = what
            self.answered.add(self.command.number)
            if result.code == ResultCode.DONE:
                op.returned, op.seen = self.cluster.now, result.versions
                for (place, _, _), version in zip(op.writes, result.versions, strict=True):
                    self.known[op.group, place] = version
            elif result.code == ResultCode.CONFLICT:
                op.returned, op.seen = self.cluster.now, "conflict"
            else:
                raise AssertionError(f"a write was answered {result}")
        self.done += 1
        self._over()

    def _over(self) -> None:
        self.op = self.command = None
        self.tries += 1
        self.cluster.at(self.rng.randint(*self.pause), self.next)


def reading(r: Replica, group: int) -> tuple[tuple[int, str | None], ...]:
    """Version and value of each key of a group, 0 and None where it is not there."""
    found = []
    for place in range(KEYS):
        item = r.state.get(key(group, place))
        found.append((item.version, (item.value or b"").decode()) if item else (0, None))
    return tuple(found)
