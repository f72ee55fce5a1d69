"""The Raft state machine of one node, without I/O.

The caller passes in the time, received messages and reports of completed disk writes. The state
machine returns messages to send, batches to persist and committed entries to apply.

Sources: the extended Raft paper (figure 2, sections 5 to 8) and Ongaro's thesis (3.10 leadership
transfer, 4 membership, 6.4 reads, 9.6 pre-vote, 10.2 pipelining and writing in parallel). A caller

1. calls `tick`, `step`, `propose`, `change_membership`, `request_read` and `transfer_leadership`
   when the corresponding event occurs;
2. sends the messages from `take_messages` immediately;
3. takes one `Batch` at a time with `take_batch`, makes all of it durable, and calls
   `batch_persisted`, which releases the batch's messages for sending;
4. applies the entries from `take_committed` in order and calls `mark_applied`.

The only assumption about the clock is that it advances: reads are confirmed by a round of messages,
never by a leader lease.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.raft.election import Election
from loadbalancer.store.raft.errors import BusyError, NotLeaderError
from loadbalancer.store.raft.messages import (
    NO_NODE,
    AnyMessage,
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshotChunk,
    InstallSnapshotChunkResponse,
    NodeRemoved,
    ReadIndexRequest,
    ReadIndexResponse,
    RequestMessage,
    RequestVote,
    RequestVoteResponse,
    ResponseMessage,
    TimeoutNow,
)
from loadbalancer.store.raft.ready import Batch, ConfirmedRead
from loadbalancer.store.raft.state import Role, StoredState

MAX_ENTRIES_TO_APPLY: Final = 1000


class RaftNode(Election):
    """The entry points for the caller: time, messages, proposals, disk and applied entries."""

    def __init__(
        self, node_id: int, config: RaftConfig, stored: StoredState, now: int, rng: random.Random
    ) -> None:
        """Start as a follower with the state stored on disk.

        Args:
            node_id: This node's number.
            config: Timeouts and limits.
            stored: The state stored on disk.
            now: The current time of the caller's clock, in ns.
            rng: The source of random election timeouts.
        """
        super().__init__(node_id, config, stored, now, rng)
        for entry in self.log.entries[self.applied_index - self.log.base_index :]:
            self._record_members(entry)
        self._reset_election_timer()

    # ---- time ------------------------------------------------------------------------------------

    def tick(self, caller_clock_ns: int) -> None:
        """Advance the node's clock and run timers that are due.

        The node's clock does not go back if the caller's clock does. It advances by at most half an
        election timeout per call, so that after a long pause the messages that arrived in the
        meantime are processed before an election starts.
        """
        step_ns = min(caller_clock_ns - self.caller_clock_ns, self.config.election_timeout_ns // 2)
        self.now_ns += max(0, step_ns)
        self.caller_clock_ns = caller_clock_ns
        if self.role is Role.LEADER:
            self._tick_leader()
        elif self.now_ns >= self.election_deadline_ns:
            self._election_timed_out()

    @property
    def wake_ns(self) -> int:
        """The time of the next `tick`, on the caller's clock."""
        is_leader = self.role is Role.LEADER
        deadline_ns = self.heartbeat_due_ns if is_leader else self.election_deadline_ns
        return self.caller_clock_ns + max(0, deadline_ns - self.now_ns)

    # ---- proposals -------------------------------------------------------------------------------

    def propose(self, commands: Sequence[bytes]) -> list[int]:
        """Append commands; return their indices, which are final only once they are committed.

        Raises:
            NotLeaderError: This node is not the leader.
            BusyError: A leadership transfer is in progress, or too many proposals are uncommitted.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader_id)
        if self.transfer_target is not None:
            raise BusyError("leadership is being handed over")
        size = sum(len(command) for command in commands)
        uncommitted = self.uncommitted_bytes
        if uncommitted and uncommitted + size > self.config.max_uncommitted_bytes:
            raise BusyError("too many bytes are not yet committed")
        uncommitted_entries = self.log.last_index - self.commit_index + len(commands)
        if uncommitted_entries > self.config.max_uncommitted_entries:
            raise BusyError("too many entries are not yet committed")
        return [self._append_entry(EntryKind.COMMAND, command) for command in commands]

    # ---- messages --------------------------------------------------------------------------------

    def take_messages(self) -> list[tuple[int, AnyMessage]]:
        """Return messages to send now, each with its receiver."""
        if self.role is Role.LEADER:
            self._flush()
        messages = self.outbox
        self.outbox = []
        return messages

    def step(self, sender: int, message: AnyMessage) -> None:
        """Process a message.

        Messages from nodes that are not members are processed too: this node's membership may be
        out of date (thesis 4.1).
        """
        if isinstance(message, NodeRemoved):
            self._on_node_removed(message)
            return
        if message.term > self.term and not self._accept_newer_term(sender, message):
            return
        if message.term < self.term:
            self._reply_to_older_term(sender, message)
            return
        if isinstance(message, ResponseMessage):
            self._on_response(sender, message)
        else:
            self._on_request(sender, message)

    def _on_request(self, sender: int, message: RequestMessage) -> None:
        match message:
            case RequestVote():
                self._on_request_vote(sender, message)
            case AppendEntries():
                self._on_append(sender, message)
            case InstallSnapshotChunk():
                self._on_chunk(sender, message)
            case TimeoutNow():
                self._on_timeout_now()
            case ReadIndexRequest():
                self._on_read_index_request(sender, message)

    def _on_response(self, sender: int, message: ResponseMessage) -> None:
        match message:
            case RequestVoteResponse():
                self._on_vote_response(sender, message)
            case AppendEntriesResponse():
                self._on_append_response(sender, message)
            case InstallSnapshotChunkResponse():
                self._on_chunk_response(sender, message)
            case ReadIndexResponse():
                self.confirmed_reads.append(ConfirmedRead(message.ticket, message.index))

    def _on_node_removed(self, message: NodeRemoved) -> None:
        """Stop taking part in elections after a removal.

        A node sends this message only to a removed node, after the removal was committed.
        """
        if message.index > self.members_index or self.node_id not in self.members.all:
            self.is_removed = True
            self._become_follower(self.term, NO_NODE)

    def _on_timeout_now(self) -> None:
        if self.role is not Role.LEADER and self._is_eligible_candidate():
            self._start_election(is_transfer=True)

    def _on_read_index_request(self, sender: int, message: ReadIndexRequest) -> None:
        if self.role is Role.LEADER:
            self._begin_read(message.ticket, sender)

    def _accept_newer_term(self, sender: int, message: AnyMessage) -> bool:
        """Adopt a newer term; return whether to process the message.

        The term is not adopted from a pre-vote, nor from a candidate while there is a live leader.
        """
        if isinstance(message, RequestVote):
            if not message.is_transfer and self._has_live_leader():
                self._notify_if_removed(sender)
                return False
            if message.is_pre_vote:
                return True
        elif isinstance(message, RequestVoteResponse):
            if message.is_pre_vote and message.is_granted:
                return True  # a granted pre-vote has the term of the prospective election
        elif isinstance(message, TimeoutNow | ReadIndexRequest | ReadIndexResponse):
            return False
        is_from_leader = isinstance(message, AppendEntries | InstallSnapshotChunk)
        self._become_follower(message.term, sender if is_from_leader else NO_NODE)
        return True

    def _reply_to_older_term(self, sender: int, message: AnyMessage) -> None:
        """Reply to a message of an older term with the current term; the message is ignored."""
        match message:
            case RequestVote():
                response = RequestVoteResponse(self.term, False, message.is_pre_vote)
                self._send_when_durable(sender, response)
            case AppendEntries() | InstallSnapshotChunk():
                self._send_when_durable(sender, AppendEntriesResponse(self.term, 0, 0, True))

    # ---- disk ------------------------------------------------------------------------------------

    def take_batch(self) -> Batch | None:
        """Return the next batch to persist; None if one is in flight or nothing is pending."""
        if self.batch_in_flight is not None or self.pending_batch.is_empty:
            return None
        self.batch_in_flight = self.pending_batch
        self.pending_batch = Batch()
        self.batch_started_ns = self.now_ns
        return self.batch_in_flight

    def batch_persisted(self, batch: Batch, is_installed: bool = True) -> None:
        """Record that a batch is durable and release its messages for sending.

        Args:
            batch: The batch in flight.
            is_installed: Whether the snapshot in the batch was complete and is installed.
        """
        assert batch is self.batch_in_flight
        self.batch_in_flight = None
        if batch.entries and batch.install is None:
            last = batch.entries[-1]
            if self.log.term_at(last.index) == last.term:
                self.durable_index = max(self.durable_index, last.index)
        if batch.install is not None:
            self._snapshot_installed(batch.install, is_installed)
        for receiver, message in batch.messages:
            if receiver == self.node_id:
                self.step(self.node_id, message)
            else:
                self.outbox.append((receiver, message))
        if self.role is Role.LEADER:
            self._update_match(self.node_id, self.durable_index)

    # ---- the replicated state machine ------------------------------------------------------------

    def take_committed(self, limit: int = MAX_ENTRIES_TO_APPLY) -> list[Entry]:
        """Return the next entries to apply, which are committed and durable on this node."""
        last = min(self.commit_index, self.durable_index, self.delivered_index + limit)
        if last <= self.delivered_index or self.installing_snapshot is not None:
            return []
        entries = self.log.slice(self.delivered_index + 1, last)
        self.delivered_index = last
        return entries

    def mark_applied(self, index: int) -> None:
        """Record that entries up to `index` are applied."""
        self.applied_index = max(self.applied_index, index)
