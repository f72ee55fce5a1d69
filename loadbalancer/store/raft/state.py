"""The state of a Raft node, and steps shared by all parts of the protocol."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final

from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.raft.log import Log
from loadbalancer.store.raft.messages import (
    NO_NODE,
    AnyMessage,
    HardState,
    Members,
    SnapshotMeta,
)
from loadbalancer.store.raft.progress import Progress
from loadbalancer.store.raft.ready import (
    Batch,
    ChunkRequest,
    ConfirmedRead,
    PendingRead,
    ReadRequest,
)

NO_CONTACT_TIMEOUTS: Final = 2  # assumed election timeouts without contact when a node starts


class Role(Enum):
    """The role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class StoredState:
    """The state that a node loads from disk; all of it is durable."""

    hard_state: HardState
    log: Log
    members: Members  # as of `applied_index`
    applied_index: int = 0  # the last applied entry, if it is after the log's base


class RaftState:
    """The state of one node, with steps that all parts of the protocol use."""

    def __init__(
        self, node_id: int, config: RaftConfig, stored: StoredState, now: int, rng: random.Random
    ) -> None:
        """Start as a follower with the state stored on disk."""
        self.node_id = node_id
        self.config = config
        self.rng = rng
        self._init_log(stored)
        self._init_clock(now)
        self._init_role()
        self._init_output()

    def _init_log(self, stored: StoredState) -> None:
        self.hard_state = stored.hard_state
        self.log = stored.log
        self.applied_index = max(stored.log.base_index, stored.applied_index)
        self.commit_index = self.applied_index
        self.delivered_index = self.applied_index  # passed to the caller for applying
        self.durable_index = stored.log.last_index  # on this node's disk
        # Each membership with the index of the entry from which it is in effect.
        self.memberships: list[tuple[int, Members]] = [(stored.log.base_index, stored.members)]
        self.uncommitted_bytes = 0
        self.incoming_snapshot: SnapshotMeta | None = None
        self.incoming_bytes = 0
        self.installing_snapshot: SnapshotMeta | None = None
        self.available_snapshot: SnapshotMeta | None = None  # the newest one that can be sent
        self.needs_snapshot = False  # a follower needs one, and none is available

    def _init_clock(self, now: int) -> None:
        self.now_ns = now  # advances in bounded steps, see `RaftNode.tick`
        self.caller_clock_ns = now
        self.last_contact_ns = now - NO_CONTACT_TIMEOUTS * self.config.election_timeout_ns
        self.election_deadline_ns = now
        self.heartbeat_due_ns = 0

    def _init_role(self) -> None:
        self.role = Role.FOLLOWER
        self.leader_id = NO_NODE
        self.is_removed = False  # notified of its removal, or its removal was committed
        self.election_count = 0
        self.votes: dict[int, bool] = {}
        self.progress: dict[int, Progress] = {}
        self.round = 0
        self.is_round_due = False  # a new round starts with the next messages
        self.pending_reads: deque[PendingRead] = deque()
        self.deferred_reads: list[ReadRequest] = []  # received before the term's first commit
        self.confirmed_reads: deque[ConfirmedRead] = deque()
        self.transfer_target: int | None = None
        self.transfer_deadline_ns = 0  # after this time the transfer is abandoned

    def _init_output(self) -> None:
        self.outbox: list[tuple[int, AnyMessage]] = []
        self.chunk_requests: list[ChunkRequest] = []
        self.pending_batch = Batch()
        self.batch_in_flight: Batch | None = None
        self.batch_started_ns = 0

    # ---- queries ---------------------------------------------------------------------------------

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def members(self) -> Members:
        """The membership in effect."""
        return self.memberships[-1][1]

    @property
    def members_index(self) -> int:
        """The index of the entry that defines the membership in effect."""
        return self.memberships[-1][0]

    def members_at(self, index: int) -> Members:
        """Return the membership in effect at this entry."""
        return next(
            members for first_index, members in reversed(self.memberships) if first_index <= index
        )

    def quorum(self, voters: Sequence[int]) -> int:
        """Return the size of a majority of these voters."""
        return len(voters) // 2 + 1

    # ---- shared steps ----------------------------------------------------------------------------

    def _send(self, receiver: int, message: AnyMessage) -> None:
        """Send a message that doesn't depend on unsynced state."""
        self.outbox.append((receiver, message))

    def _send_when_durable(self, receiver: int, message: AnyMessage) -> None:
        """Send a message once all earlier state changes are durable."""
        self.pending_batch.messages.append((receiver, message))

    def _reset_election_timer(self) -> None:
        self.election_deadline_ns = self.now_ns + self.rng.randint(
            self.config.election_timeout_ns, 2 * self.config.election_timeout_ns
        )

    def _set_hard_state(self, term: int, voted_for: int) -> None:
        current = self.hard_state
        assert term > current.term or (
            term == current.term and current.voted_for in (NO_NODE, voted_for)
        )
        if (term, voted_for) != (current.term, current.voted_for):
            self.hard_state = HardState(term, voted_for)
            self.pending_batch.hard_state = self.hard_state

    def _become_follower(self, term: int, leader_id: int) -> None:
        if term > self.term:
            self._set_hard_state(term, NO_NODE)
        if self.role is not Role.FOLLOWER or leader_id != self.leader_id:
            self._reset_election_timer()
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        self.progress.clear()
        self.votes.clear()
        self.pending_reads.clear()
        self.deferred_reads.clear()
        self.transfer_target = None
        self.uncommitted_bytes = 0

    def _record_leader_contact(self, sender: int) -> None:
        """Record a message that only the leader of this term sends."""
        if self.leader_id != sender or self.role is not Role.FOLLOWER:
            assert self.role is not Role.LEADER, "two leaders in one term"
            self._become_follower(self.term, sender)
        self.last_contact_ns = self.now_ns
        self._reset_election_timer()
