"""Clusters with one bug each, planted to see that the checks catch it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, NamedTuple

from loadbalancer.store.raft.messages import Entry, VoteAsk
from loadbalancer.store.raft.node import Batch, Config, Core
from loadbalancer.testbed.cluster.plans import (
    Outcome,
    disturbed,
    early_read,
    figure_8,
    play,
    two_majorities,
)
from loadbalancer.testbed.cluster.sim import CONFIG, Cluster, Node


class NoSyncBeforeVote(Core):
    """A vote leaves before it is on disk."""

    def _vote_ask(self, sender: int, m: VoteAsk) -> None:
        super()._vote_ask(sender, m)
        if not m.pre:
            self.out.append(self.pending.after.pop())


class AckBeforeSync(Core):
    """Entries count as stored before they are."""

    def take_batch(self) -> Batch | None:
        batch = super().take_batch()
        if batch is not None and batch.entries:
            self.out += [(to, m) for to, m in batch.after if to != self.me]
            batch.after = [(to, m) for to, m in batch.after if to == self.me]
        return batch


class OldTermByCount(Core):
    """An entry of an earlier term is committed because a majority has it (paper, figure 8)."""

    def _may_commit(self, index: int) -> bool:
        return True


class ReadWithoutQuorum(Core):
    """Who once became leader reads from its own state, unasked."""

    def _prove(self) -> None:
        while self.reads:
            read = self.reads.popleft()
            if not read.node:
                self.proved.append((read.ticket, read.index))


class ReadTooEarly(Core):
    """A new leader reads before it knows what its predecessors committed."""

    def _read(self, ticket: int, node: int) -> None:
        if not node:
            self.round_asked = True
            self.proved.append((ticket, self.applied))


class NoPreVote(Core):
    """Who hears no leader raises its term at once, and its shouts are heeded."""

    def _pre_campaign(self) -> None:
        self._campaign()

    def _leader_is_well(self) -> bool:
        return False


class TwoVotes(Core):
    """It votes for whoever asks."""

    def _vote_ask(self, sender: int, m: VoteAsk) -> None:
        if not m.pre and m.term == self.term:
            self.hard = self.hard.__class__(self.term, 0)
        super()._vote_ask(sender, m)


class SmallQuorum(Core):
    """Half is enough."""

    def quorum(self, voters: Any) -> int:
        return max(1, len(voters) // 2)


class HastyMembers(Core):
    """Members change before an entry of the leader's own term is committed (the bug of the first
    publication)."""

    def _settled(self) -> bool:
        return self.members_index <= self.commit


class ManyMembers(Core):
    """A change of members does not wait for the one before it."""

    def _settled(self) -> bool:
        return True


class ForgetsLog(Core):
    """What differs from the leader's log stays."""

    def _keep(self, entries: Sequence[Entry]) -> None:
        if entries[0].index > self.log.last:
            super()._keep(entries)


def lying_disks(cluster: Cluster) -> None:
    """Syncs that return before anything is durable, now and then."""

    def lie(node: Node) -> Callable[[], bool]:
        return lambda: node.rng.random() < 0.3

    for node in cluster.nodes.values():
        node.disk.lying = lie(node)


class Plant(NamedTuple):
    make: type[Core]
    run: str = "storm"  # or "disturbed", or one of STEERED
    kinds: tuple[str, ...] = ()  # of faults that it is looked for with
    prepare: Callable[[Cluster], None] = lambda cluster: None
    size: int = 0
    config: Config = CONFIG


# One entry a message, so that old ones arrive long before the first of a new term.
ONE_BY_ONE = replace(CONFIG, append_bytes=1, window=2)

STEERED = {"figure 8": figure_8, "two majorities": two_majorities, "early read": early_read}
PLANTS: dict[str, Plant] = {
    "vote-without-sync": Plant(
        NoSyncBeforeVote, kinds=("power", "fuse", "all", "part", "slowdisk"), size=3
    ),
    "ack-without-sync": Plant(AckBeforeSync, kinds=("power", "all", "fuse", "slowdisk")),
    "lying-disk": Plant(Core, kinds=("power", "all", "kill"), prepare=lying_disks),
    "old-term-by-count": Plant(OldTermByCount, "figure 8", config=ONE_BY_ONE),
    "read-without-quorum": Plant(ReadWithoutQuorum, kinds=("lonely", "silence")),
    "read-too-early": Plant(ReadTooEarly, "early read"),
    "no-pre-vote": Plant(NoPreVote, "disturbed"),
    "two-votes": Plant(TwoVotes, kinds=("kill", "part", "all")),
    "small-quorum": Plant(SmallQuorum, kinds=("part", "kill", "alone")),
    "hasty-members": Plant(HastyMembers, "two majorities"),
    "many-members": Plant(ManyMembers, "two majorities"),
    "forgets-log": Plant(ForgetsLog, kinds=("part", "alone", "kill")),
}


def played(name: str, seed: int) -> Outcome:
    """A run with this bug planted."""
    plant = PLANTS[name]
    if plant.run == "disturbed":
        return disturbed(seed, plant.make)
    if plant.run in STEERED:
        return STEERED[plant.run](seed, plant.make, plant.config)
    return play(seed, plant.size, plant.make, plant.kinds, plant.prepare, plant.config)
