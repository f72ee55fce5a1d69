"""Log replication and commitment (paper, 5.3 and 5.4; thesis 10.2.1: parallel disk writes)."""

from __future__ import annotations

from typing import Final

from loadbalancer.store.raft.errors import BusyError, MembershipError, NotLeaderError
from loadbalancer.store.raft.log import entry_bytes
from loadbalancer.store.raft.membership import Membership
from loadbalancer.store.raft.messages import (
    NO_NODE,
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    TimeoutNow,
)
from loadbalancer.store.raft.progress import Progress, ProgressState
from loadbalancer.store.raft.snapshots import Snapshots
from loadbalancer.store.raft.state import Role

# A follower without contact for this number of election timeouts does not count as following.
FOLLOWING_TIMEOUTS: Final = 2
# Snapshot chunks are sent again after this number of heartbeat intervals without progress.
CHUNK_RETRY_HEARTBEATS: Final = 2


class Replication(Membership, Snapshots):
    """AppendEntries on leader and follower, commitment, and leadership transfer."""

    # ---- leader: timers --------------------------------------------------------------------------

    def _tick_leader(self) -> None:
        """Start a heartbeat when it is due; step down without contact to a quorum (thesis 6.2)."""
        if self.transfer_target is not None and self.now_ns >= self.transfer_deadline_ns:
            self.transfer_target = None  # the target did not take over in time
        if self.now_ns < self.heartbeat_due_ns:
            return
        self.heartbeat_due_ns = self.now_ns + self.config.heartbeat_interval_ns
        if not self._has_quorum_contact():
            self._become_follower(self.term, NO_NODE)
            return
        self.is_round_due = True
        if self._is_disk_slow():
            self._transfer_because_disk_is_slow()
        self._retry_lost_messages()

    def _retry_lost_messages(self) -> None:
        chunk_timeout_ns = CHUNK_RETRY_HEARTBEATS * self.config.heartbeat_interval_ns
        for progress in self.progress.values():
            progress.is_probe_in_flight = False
            if (
                progress.state is ProgressState.SNAPSHOT
                and self.now_ns - progress.snapshot_progress_ns > chunk_timeout_ns
            ):
                progress.sent_bytes = progress.acked_bytes
                progress.snapshot_progress_ns = self.now_ns

    def _is_following(self, node: int) -> bool:
        silence_ns = self.now_ns - self.progress[node].last_contact_ns
        return silence_ns < FOLLOWING_TIMEOUTS * self.config.election_timeout_ns

    def _has_quorum_contact(self) -> bool:
        voters = self.members.voters
        following_count = sum(n == self.node_id or self._is_following(n) for n in voters)
        return following_count >= self.quorum(voters)

    # ---- leader: transfer of leadership (thesis 3.10) --------------------------------------------

    def transfer_leadership(self, target: int) -> None:
        """Start to transfer the leadership to a voter.

        Raises:
            NotLeaderError: This node is not the leader.
            BusyError: Another transfer is in progress.
            MembershipError: The target is not a voter.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader_id)
        if target == self.node_id:
            return
        if target not in self.members.voters:
            raise MembershipError(f"node {target:x} is no voter")
        if self.transfer_target is not None and self.transfer_target != target:
            raise BusyError("leadership is being handed over to another")
        self._begin_transfer(target)

    def _begin_transfer(self, target: int) -> None:
        self.transfer_target = target
        self.transfer_deadline_ns = self.now_ns + self.config.election_timeout_ns
        self._try_transfer(target)

    def _try_transfer(self, target: int) -> None:
        """Tell the target to start an election if it has all entries."""
        progress = self.progress.get(target)
        if progress is not None and progress.match_index == self.log.last_index:
            self._send(target, TimeoutNow(self.term))

    def _is_disk_slow(self) -> bool:
        return (
            self.batch_in_flight is not None
            and self.now_ns - self.batch_started_ns > self.config.slow_disk_timeout_ns
        )

    def _transfer_because_disk_is_slow(self) -> None:
        """Transfer leadership to the most up-to-date follower, as the local disk is slow."""
        voters = self.members.voters
        candidates = [n for n in voters if n != self.node_id and self._is_following(n)]
        if candidates and self.transfer_target is None:
            self._begin_transfer(
                max(candidates, key=lambda node: (self.progress[node].match_index, -node))
            )

    # ---- leader: sending -------------------------------------------------------------------------

    def _members_changed(self) -> None:
        all_members = self.members.all
        for node in all_members:
            self.progress.setdefault(
                node, Progress(self.log.last_index, last_contact_ns=self.now_ns)
            )
        for node in [n for n in self.progress if n not in all_members and n != self.node_id]:
            # Send one last append, which may inform the node of its removal.
            self._send_append(node, self.progress[node])
            del self.progress[node]

    def _flush(self) -> None:
        """Send to each follower what flow control permits, and start a new round if one is due."""
        if self.is_round_due:
            self.round += 1
        for node, progress in list(self.progress.items()):
            if node != self.node_id:
                self._flush_follower(node, progress)
        if self.is_round_due:
            self.is_round_due = False
            self._confirm_reads()

    def _flush_follower(self, node: int, progress: Progress) -> None:
        is_sent = False
        while (
            progress.state is not ProgressState.SNAPSHOT
            and progress.can_send_append(self.config.max_in_flight_appends)
            and (progress.next_index <= self.log.last_index or (self.is_round_due and not is_sent))
        ):
            if not self._send_append(node, progress):
                break
            is_sent = True
        if progress.state is ProgressState.SNAPSHOT:
            self._request_chunks(node, progress)
        if self.is_round_due and not is_sent:
            self._send_heartbeat(node, progress)

    def _send_heartbeat(self, node: int, progress: Progress) -> None:
        """Send an append without entries, which is not subject to flow control.

        In the REPLICATE state its previous index is the last index sent. If an append was lost,
        the follower rejects the heartbeat, and so the leader detects the loss.
        """
        is_replicating = progress.state is ProgressState.REPLICATE
        index = progress.next_index - 1 if is_replicating else progress.match_index
        term = self.log.term_at(index)
        if term is None:
            index = self.log.base_index
            term = self.log.base_term
        self._send(node, AppendEntries(self.term, index, term, self.commit_index, self.round))

    def _send_append(self, node: int, progress: Progress) -> bool:
        """Send the next entries; return False if they were compacted and a snapshot is needed."""
        prev_index = progress.next_index - 1
        prev_term = self.log.term_at(prev_index)
        if prev_term is None:
            self._fall_back_to_snapshot(progress)
            return False
        entries = self.log.slice(
            progress.next_index, self.log.last_index, self.config.max_append_bytes
        )
        message = AppendEntries(
            self.term, prev_index, prev_term, self.commit_index, self.round, tuple(entries)
        )
        self._send(node, message)
        if progress.state is ProgressState.PROBE:
            progress.is_probe_in_flight = True
        elif entries:
            progress.next_index = entries[-1].index + 1
            progress.in_flight.append(entries[-1].index)
        return True

    def _fall_back_to_snapshot(self, progress: Progress) -> None:
        snapshot = self.available_snapshot
        if snapshot is not None and snapshot.index < self.log.base_index:
            snapshot = None  # the entries after the snapshot were compacted, too
        progress.become_snapshot(snapshot, self.now_ns)
        self.needs_snapshot = self.needs_snapshot or snapshot is None

    # ---- leader: responses and commitment --------------------------------------------------------

    def _on_append_response(self, sender: int, message: AppendEntriesResponse) -> None:
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return
        self._record_follower_contact(progress, message.round)
        if message.is_rejected:
            self._append_rejected(progress, message)
            return
        self._append_acknowledged(progress, message.index)
        self._update_match(sender, message.index)
        if sender == self.transfer_target:
            self._try_transfer(sender)

    def _append_rejected(self, progress: Progress, message: AppendEntriesResponse) -> None:
        """Probe again from the last entry that may match; ignore a stale rejection."""
        is_probing = progress.state is ProgressState.PROBE
        is_stale = message.index <= progress.match_index or (
            is_probing and message.index != progress.next_index - 1
        )
        if progress.state is ProgressState.SNAPSHOT or is_stale:
            return
        match_index, _ = self.log.last_possible_match(message.hint_index, message.hint_term)
        if message.hint_index < self.log.base_index:
            match_index = message.hint_index
        progress.become_probe(min(match_index + 1, message.index))

    def _append_acknowledged(self, progress: Progress, index: int) -> None:
        progress.append_acknowledged(index)
        if index >= progress.next_index and progress.state is not ProgressState.SNAPSHOT:
            progress.next_index = index + 1
        if progress.state is ProgressState.PROBE and index >= progress.next_index - 1:
            progress.match_index = max(progress.match_index, index)
            progress.become_replicate()
        elif progress.state is ProgressState.SNAPSHOT and index >= self.log.base_index:
            progress.match_index = max(progress.match_index, index)
            progress.become_probe(index + 1)

    def _update_match(self, node: int, index: int) -> None:
        """Record that a node's log matches up to `index`; commit entries that a quorum holds."""
        progress = self.progress.get(node)
        if progress is None:
            return
        progress.match_index = max(progress.match_index, index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        voters = self.members.voters
        matches = sorted((self.progress[n].match_index for n in voters), reverse=True)
        quorum_index = matches[self.quorum(voters) - 1]
        if quorum_index > self.commit_index and self._can_commit(quorum_index):
            self._commit(quorum_index)

    def _can_commit(self, index: int) -> bool:
        """Return whether counting replicas may commit this entry.

        A leader commits only entries of its own term in this way (paper, 5.4.2).
        """
        return self.log.term_at(index) == self.term

    def _commit(self, index: int) -> None:
        for entry in self.log.slice(self.commit_index + 1, index):
            self.uncommitted_bytes -= entry_bytes(entry)
        self.commit_index = index
        self._begin_deferred_reads()
        if self.members_index <= index and self.node_id not in self.members.all:
            self._resign_after_removal()
        elif self.role is Role.LEADER:
            # Followers are notified by the next append, or by an early heartbeat.
            notice_ns = self.now_ns + self.config.commit_notice_ns
            self.heartbeat_due_ns = min(self.heartbeat_due_ns, notice_ns)

    def _resign_after_removal(self) -> None:
        """Step down after this leader's removal was committed.

        Until then it leads without counting itself in the quorum (thesis 4.2.2).
        """
        for node, progress in self.progress.items():
            if node != self.node_id:
                self._send_append(node, progress)
        self.is_removed = True
        self._become_follower(self.term, NO_NODE)

    # ---- follower --------------------------------------------------------------------------------

    def _on_append(self, sender: int, message: AppendEntries) -> None:
        self._record_leader_contact(sender)
        if self.installing_snapshot is not None:
            self._reject_while_installing(sender, message)
            return
        entries = message.entries
        last_index = message.prev_log_index + len(entries)
        if message.prev_log_index < self.commit_index:
            # Committed entries match every leader's log, so only later entries are compared.
            if last_index <= self.commit_index:
                response = AppendEntriesResponse(self.term, self.commit_index, message.round)
                self._send_when_durable(sender, response)
                return
            entries = entries[self.commit_index - message.prev_log_index :]
        elif self.log.term_at(message.prev_log_index) != message.prev_log_term:
            self._reject_append(sender, message)
            return
        self._store_missing(entries)
        self._advance_commit_index(min(message.leader_commit, last_index))
        self._acknowledge_append(sender, message, last_index)

    def _store_missing(self, entries: tuple[Entry, ...]) -> None:
        matching_count = self.log.count_matching(entries)
        if matching_count < len(entries):
            self._store_entries(entries[matching_count:])

    def _reject_while_installing(self, sender: int, message: AppendEntries) -> None:
        """Reject an append while a snapshot is being installed.

        The response proves that this node still follows the leader. It needs no disk write.
        """
        commit_term = self.log.term_at(self.commit_index) or 0
        response = AppendEntriesResponse(
            self.term, message.prev_log_index, message.round, True, self.commit_index, commit_term
        )
        self._send(sender, response)

    def _reject_append(self, sender: int, message: AppendEntries) -> None:
        hint_index, hint_term = self.log.last_possible_match(
            message.prev_log_index, message.prev_log_term
        )
        response = AppendEntriesResponse(
            self.term, message.prev_log_index, message.round, True, hint_index, hint_term
        )
        self._send_when_durable(sender, response)

    def _advance_commit_index(self, index: int) -> None:
        if index <= self.commit_index:
            return
        self.commit_index = index
        if self.node_id not in self.members.all and self.members_index <= index:
            self.is_removed = self.node_id in self.members.removed

    def _acknowledge_append(self, sender: int, message: AppendEntries, last_index: int) -> None:
        if not message.entries and self._is_term_durable():
            # A heartbeat is acknowledged without waiting for the disk, up to the durable index.
            # So a slow or full disk blocks writes but not reads.
            index = min(last_index, self.durable_index)
            self._send(sender, AppendEntriesResponse(self.term, index, message.round))
        else:
            response = AppendEntriesResponse(self.term, last_index, message.round)
            self._send_when_durable(sender, response)

    def _is_term_durable(self) -> bool:
        return self.pending_batch.hard_state is None and (
            self.batch_in_flight is None or self.batch_in_flight.hard_state is None
        )
