"""Linearizable reads, confirmed by a round of messages, never by a leader lease (thesis 6.4)."""

from __future__ import annotations

from loadbalancer.store.raft.errors import BusyError, NotLeaderError
from loadbalancer.store.raft.messages import NO_NODE, ReadIndexRequest, ReadIndexResponse
from loadbalancer.store.raft.progress import Progress
from loadbalancer.store.raft.ready import ConfirmedRead, PendingRead, ReadRequest
from loadbalancer.store.raft.state import RaftState, Role


class Reads(RaftState):
    """Read-index requests of this node and, on the leader, of its followers."""

    def request_read(self, ticket: int) -> None:
        """Request a linearizable read; `take_confirmed_reads` returns its ticket once confirmed.

        Raises:
            NotLeaderError: No leader is known.
            BusyError: Too many reads are pending.
        """
        if self.role is Role.LEADER:
            self._begin_read(ticket, None)
        elif self.leader_id:
            self._send(self.leader_id, ReadIndexRequest(self.term, ticket))
        else:
            raise NotLeaderError(NO_NODE)

    def take_confirmed_reads(self) -> list[int]:
        """Return tickets of reads that may be served from the applied state now."""
        ready = []
        while self.confirmed_reads and self.confirmed_reads[0].read_index <= self.applied_index:
            ready.append(self.confirmed_reads.popleft().ticket)
        return ready

    def _begin_read(self, ticket: int, requester: int | None) -> None:
        waiting_count = len(self.pending_reads) + len(self.deferred_reads)
        if waiting_count >= self.config.max_pending_reads:
            if requester is not None:
                return  # the follower retries
            raise BusyError("too many reads wait")
        if self.log.term_at(self.commit_index) != self.term:
            self.deferred_reads.append(ReadRequest(ticket, requester))
            return
        self.pending_reads.append(PendingRead(ticket, requester, self.commit_index, self.round + 1))
        self.is_round_due = True

    def _begin_deferred_reads(self) -> None:
        deferred = self.deferred_reads
        self.deferred_reads = []
        for ticket, requester in deferred:
            self._begin_read(ticket, requester)

    def _record_follower_contact(self, progress: Progress, acked_round: int) -> None:
        progress.last_contact_ns = self.now_ns
        if acked_round > progress.acked_round:
            progress.acked_round = acked_round
            self._confirm_reads()

    def _confirm_reads(self) -> None:
        """Confirm reads whose round was acknowledged by a quorum."""
        if not self.pending_reads:
            return
        voters = self.members.voters
        rounds = sorted(
            (self.round if n == self.node_id else self.progress[n].acked_round for n in voters),
            reverse=True,
        )
        confirmed_round = rounds[self.quorum(voters) - 1]
        while self.pending_reads and self.pending_reads[0].round <= confirmed_round:
            read = self.pending_reads.popleft()
            if read.requester is not None:
                response = ReadIndexResponse(self.term, read.ticket, read.read_index)
                self._send(read.requester, response)
            else:
                self.confirmed_reads.append(ConfirmedRead(read.ticket, read.read_index))
