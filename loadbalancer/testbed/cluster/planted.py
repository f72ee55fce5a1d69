"""Clusters with one bug each, planted to see that the checks catch it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, NamedTuple

from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.raft.messages import NO_NODE, Entry, HardState, RequestVote
from loadbalancer.store.raft.node import RaftNode
from loadbalancer.store.raft.ready import Batch, ConfirmedRead
from loadbalancer.testbed.cluster.plans import (
    Outcome,
    disturbed,
    early_read,
    figure_8,
    play,
    two_majorities,
)
from loadbalancer.testbed.cluster.sim import CONFIG, Cluster, Node


class NoSyncBeforeVote(RaftNode):
    """A vote leaves before it is on disk."""

    def _on_request_vote(self, sender: int, message: RequestVote) -> None:
        super()._on_request_vote(sender, message)
        if not message.is_pre_vote:
            self.outbox.append(self.pending_batch.messages.pop())


class AckBeforeSync(RaftNode):
    """Entries count as stored before they are."""

    def take_batch(self) -> Batch | None:
        batch = super().take_batch()
        if batch is not None and batch.entries:
            self.outbox += [(to, m) for to, m in batch.messages if to != self.node_id]
            batch.messages = [(to, m) for to, m in batch.messages if to == self.node_id]
        return batch


class OldTermByCount(RaftNode):
    """An entry of an earlier term is committed because a majority has it (paper, figure 8)."""

    def _can_commit(self, index: int) -> bool:
        return True


class ReadWithoutQuorum(RaftNode):
    """Who once became leader reads from its own state, unasked."""

    def _confirm_reads(self) -> None:
        while self.pending_reads:
            read = self.pending_reads.popleft()
            if read.requester is None:
                self.confirmed_reads.append(ConfirmedRead(read.ticket, read.read_index))


class ReadTooEarly(RaftNode):
    """A new leader reads before it knows what its predecessors committed."""

    def _begin_read(self, ticket: int, requester: int | None) -> None:
        if requester is None:
            self.is_round_due = True
            self.confirmed_reads.append(ConfirmedRead(ticket, self.applied_index))


class NoPreVote(RaftNode):
    """Who hears no leader raises its term at once, and its shouts are heeded."""

    def _start_pre_vote(self) -> None:
        self._start_election()

    def _has_live_leader(self) -> bool:
        return False


class TwoVotes(RaftNode):
    """It votes for whoever asks."""

    def _on_request_vote(self, sender: int, message: RequestVote) -> None:
        if not message.is_pre_vote and message.term == self.term:
            self.hard_state = HardState(self.term, NO_NODE)
        super()._on_request_vote(sender, message)


class SmallQuorum(RaftNode):
    """Half is enough."""

    def quorum(self, voters: Any) -> int:
        return max(1, len(voters) // 2)


class HastyMembers(RaftNode):
    """Members change before an entry of the leader's own term is committed (the bug of the first
    publication)."""

    def _is_membership_settled(self) -> bool:
        return self.members_index <= self.commit_index


class ManyMembers(RaftNode):
    """A change of members does not wait for the one before it."""

    def _is_membership_settled(self) -> bool:
        return True


class ForgetsLog(RaftNode):
    """What differs from the leader's log stays."""

    def _store_entries(self, entries: Sequence[Entry]) -> None:
        if entries[0].index > self.log.last_index:
            super()._store_entries(entries)


def lying_disks(cluster: Cluster) -> None:
    """Syncs that return before anything is durable, now and then."""

    def lie(node: Node) -> Callable[[], bool]:
        return lambda: node.rng.random() < 0.3

    for node in cluster.nodes.values():
        node.disk.lying = lie(node)


class Plant(NamedTuple):
    make: type[RaftNode]
    run: str = "storm"  # or "disturbed", or one of STEERED
    kinds: tuple[str, ...] = ()  # of faults that it is looked for with
    prepare: Callable[[Cluster], None] = lambda cluster: None
    size: int = 0
    config: RaftConfig = CONFIG


# One entry a message, so that old ones arrive long before the first of a new term.
ONE_BY_ONE = replace(CONFIG, max_append_bytes=1, max_in_flight_appends=2)

STEERED = {"figure 8": figure_8, "two majorities": two_majorities, "early read": early_read}
PLANTS: dict[str, Plant] = {
    "vote-without-sync": Plant(
        NoSyncBeforeVote, kinds=("power", "fuse", "all", "part", "slowdisk"), size=3
    ),
    "ack-without-sync": Plant(AckBeforeSync, kinds=("power", "all", "fuse", "slowdisk")),
    "lying-disk": Plant(RaftNode, kinds=("power", "all", "kill"), prepare=lying_disks),
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
