"""Snapshots, sent in chunks to followers that need compacted entries and installed there."""

from __future__ import annotations

from loadbalancer.store.raft.messages import (
    AppendEntriesResponse,
    InstallSnapshotChunk,
    InstallSnapshotChunkResponse,
    SnapshotMeta,
)
from loadbalancer.store.raft.progress import Progress, ProgressState
from loadbalancer.store.raft.reads import Reads
from loadbalancer.store.raft.ready import ChunkRequest
from loadbalancer.store.raft.state import Role


class Snapshots(Reads):
    """Snapshot transfer on leader and follower, and log compaction."""

    # ---- this node's own snapshots and log -------------------------------------------------------

    def snapshot_exported(self, snapshot: SnapshotMeta) -> None:
        """Record that a snapshot is available for sending."""
        self.available_snapshot = snapshot
        self.needs_snapshot = False
        if self.role is not Role.LEADER:
            return
        for node, progress in self.progress.items():
            if progress.state is ProgressState.SNAPSHOT and progress.snapshot is None:
                progress.become_snapshot(snapshot, self.now_ns)
                self._request_chunks(node, progress)

    def snapshot_lost(self) -> None:
        """Record that the available snapshot can no longer be read."""
        self.available_snapshot = None
        for progress in self.progress.values():
            if progress.state is ProgressState.SNAPSHOT:
                progress.become_snapshot(None, self.now_ns)
                self.needs_snapshot = True

    def compact(self, index: int) -> None:
        """Drop entries up to `index` from the log; the durable state contains them."""
        index = min(index, self.applied_index, self.durable_index)
        if index > self.log.base_index:
            members = self.members_at(index)
            self.log.compact(index)
            later_memberships = [
                (first_index, m) for first_index, m in self.memberships if first_index > index
            ]
            self.memberships = [(index, members), *later_memberships]

    @property
    def first_needed_index(self) -> int:
        """The index after which members that are receiving a snapshot need all entries."""
        indices = [p.snapshot.index for p in self.progress.values() if p.snapshot is not None]
        return min(indices, default=self.log.last_index)

    def take_chunk_requests(self) -> list[ChunkRequest]:
        """Return requests for snapshot chunks to read and send."""
        requests = self.chunk_requests
        self.chunk_requests = []
        return requests

    # ---- leader ----------------------------------------------------------------------------------

    def _request_chunks(self, node: int, progress: Progress) -> None:
        """Request as many chunks from the caller as flow control permits."""
        snapshot = progress.snapshot
        if snapshot is None:
            return
        window_bytes = self.config.max_in_flight_chunks * self.config.snapshot_chunk_bytes
        while progress.sent_bytes - progress.acked_bytes < window_bytes and (
            progress.sent_bytes < snapshot.size or (progress.sent_bytes == 0 == snapshot.size)
        ):
            self.chunk_requests.append(
                ChunkRequest(node, snapshot, progress.sent_bytes, self.round)
            )
            progress.sent_bytes = min(
                snapshot.size, progress.sent_bytes + self.config.snapshot_chunk_bytes
            )
            if not snapshot.size:
                break

    def _on_chunk_response(self, sender: int, message: InstallSnapshotChunkResponse) -> None:
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return
        self._record_follower_contact(progress, message.round)
        if (
            progress.state is not ProgressState.SNAPSHOT
            or progress.snapshot is None
            or progress.snapshot.id != message.snapshot_id
        ):
            return
        offset = message.offset
        if offset > progress.acked_bytes or offset == 0:
            progress.acked_bytes = offset
            progress.snapshot_progress_ns = self.now_ns
            if offset > progress.sent_bytes or offset == 0:
                progress.sent_bytes = offset
        self._request_chunks(sender, progress)

    # ---- follower --------------------------------------------------------------------------------

    def _on_chunk(self, sender: int, message: InstallSnapshotChunk) -> None:
        self._record_leader_contact(sender)
        if self.installing_snapshot is not None:
            return
        snapshot = message.snapshot
        if snapshot.index <= self.commit_index or self.log.term_at(snapshot.index) == snapshot.term:
            # This node has all entries of the snapshot, so later entries may be retained (paper,
            # figure 13, step 6).
            self.commit_index = max(self.commit_index, snapshot.index)
            self._send_when_durable(
                sender, AppendEntriesResponse(self.term, self.commit_index, message.round)
            )
            return
        if self.incoming_snapshot is None or self.incoming_snapshot.id != snapshot.id:
            self.incoming_snapshot = snapshot
            self.incoming_bytes = 0
        if self._accept_chunk(message):
            return
        response = InstallSnapshotChunkResponse(
            self.term, snapshot.id, self.incoming_bytes, message.round
        )
        self._send_when_durable(sender, response)

    def _accept_chunk(self, message: InstallSnapshotChunk) -> bool:
        """Store a chunk if it is the next in order; return whether it completes the snapshot."""
        snapshot = message.snapshot
        is_next_chunk = message.offset == self.incoming_bytes
        if not is_next_chunk or len(message.data) > snapshot.size - message.offset:
            return False
        self.pending_batch.chunks.append(message)
        self.incoming_bytes += len(message.data)
        if self.incoming_bytes != snapshot.size:
            return False
        self.installing_snapshot = snapshot
        self.pending_batch.install = snapshot
        return True

    def _snapshot_installed(self, snapshot: SnapshotMeta, is_complete: bool) -> None:
        """Restart from an installed snapshot; request an incomplete one again from the start."""
        self.installing_snapshot = None
        self.incoming_snapshot = None
        self.incoming_bytes = 0
        if not is_complete:
            if self.leader_id:
                self._send_when_durable(
                    self.leader_id, InstallSnapshotChunkResponse(self.term, snapshot.id, 0)
                )
            return
        self.log.reset(snapshot.index, snapshot.term)
        self.pending_batch.entries.clear()
        self.memberships = [(snapshot.index, snapshot.members)]
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self.delivered_index = snapshot.index
        self.durable_index = snapshot.index
        self.available_snapshot = None
        if self.leader_id:
            self._send_when_durable(
                self.leader_id, AppendEntriesResponse(self.term, snapshot.index, 0)
            )
