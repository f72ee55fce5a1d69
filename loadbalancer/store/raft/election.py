"""Leader election with pre-vote (paper, 5.2 and 5.4.1; thesis 9.6)."""

from __future__ import annotations

from loadbalancer.store.raft.log import entry_bytes
from loadbalancer.store.raft.messages import (
    NO_NODE,
    EntryKind,
    NodeRemoved,
    RequestVote,
    RequestVoteResponse,
)
from loadbalancer.store.raft.progress import Progress
from loadbalancer.store.raft.replication import Replication
from loadbalancer.store.raft.state import Role


class Election(Replication):
    """Elections: requesting votes, granting votes and becoming the leader."""

    def _has_live_leader(self) -> bool:
        """Return whether a leader was in contact within the last election timeout.

        If so, this node refuses to vote (paper, 6: disruptive servers).
        """
        if self.role is Role.LEADER:
            return True
        silence_ns = self.now_ns - self.last_contact_ns
        return self.leader_id != NO_NODE and silence_ns < self.config.election_timeout_ns

    def _is_eligible_candidate(self) -> bool:
        return (
            self.node_id in self.members.voters
            and self.installing_snapshot is None
            and not self.is_removed
        )

    # ---- candidate -------------------------------------------------------------------------------

    def _election_timed_out(self) -> None:
        """Start a pre-vote, which checks whether an election could be won (thesis 9.6)."""
        self._reset_election_timer()
        if not self._is_eligible_candidate():
            if self.now_ns - self.last_contact_ns > self.config.election_timeout_ns:
                self.leader_id = NO_NODE
            return
        self._become_follower(self.term, NO_NODE)
        self._start_pre_vote()

    def _start_pre_vote(self) -> None:
        self.role = Role.PRE_CANDIDATE
        self.votes = {self.node_id: True}
        log = self.log
        request = RequestVote(self.term + 1, log.last_index, log.last_term, is_pre_vote=True)
        for node in self.members.voters:
            if node != self.node_id:
                self._send(node, request)
        self._count_votes()

    def _start_election(self, is_transfer: bool = False) -> None:
        self._become_follower(self.term + 1, NO_NODE)
        self.election_count += 1
        self.role = Role.CANDIDATE
        self._set_hard_state(self.term, self.node_id)
        # This node's vote for itself counts only once the vote is durable.
        self._send_when_durable(self.node_id, RequestVoteResponse(self.term, True, False))
        request = RequestVote(
            self.term,
            self.log.last_index,
            self.log.last_term,
            is_pre_vote=False,
            is_transfer=is_transfer,
        )
        for node in self.members.voters:
            if node != self.node_id:
                self._send_when_durable(node, request)

    def _on_vote_response(self, sender: int, message: RequestVoteResponse) -> None:
        if message.is_pre_vote:
            is_counted = self.role is Role.PRE_CANDIDATE and (
                not message.is_granted or message.term == self.term + 1
            )
        else:
            is_counted = self.role is Role.CANDIDATE
        if is_counted:
            self.votes[sender] = message.is_granted
            self._count_votes()

    def _count_votes(self) -> None:
        voters = self.members.voters
        granted_count = sum(self.votes.get(n, False) for n in voters)
        refused_count = sum(not self.votes.get(n, True) for n in voters)
        if granted_count >= self.quorum(voters):
            if self.role is Role.PRE_CANDIDATE:
                self._start_election()
            else:
                self._become_leader()
        elif refused_count >= self.quorum(voters):
            self._become_follower(self.term, NO_NODE)

    def _become_leader(self) -> None:
        self.role = Role.LEADER
        self.leader_id = self.node_id
        self.round = 0
        self.votes.clear()
        self.progress = {
            node: Progress(self.log.last_index + 1, last_contact_ns=self.now_ns)
            for node in self.members.all
        }
        uncommitted = self.log.entries[self.commit_index - self.log.base_index :]
        self.uncommitted_bytes = sum(map(entry_bytes, uncommitted))
        self.heartbeat_due_ns = self.now_ns + self.config.heartbeat_interval_ns
        self._append_entry(EntryKind.NO_OP, b"")

    # ---- voter -----------------------------------------------------------------------------------

    def _on_request_vote(self, sender: int, message: RequestVote) -> None:
        if message.is_pre_vote:
            self._reply_to_pre_vote(sender, message)
            return
        is_granted = (
            self.hard_state.voted_for in (NO_NODE, sender)
            and self.role is Role.FOLLOWER
            and self.leader_id in (NO_NODE, sender)
            and self.log.is_up_to_date(message.last_log_index, message.last_log_term)
        )
        if is_granted:
            self._set_hard_state(self.term, sender)
            self._reset_election_timer()
        self._send_when_durable(sender, RequestVoteResponse(self.term, is_granted, False))

    def _reply_to_pre_vote(self, sender: int, message: RequestVote) -> None:
        is_granted = (
            message.term > self.term
            and not self._has_live_leader()
            and self.log.is_up_to_date(message.last_log_index, message.last_log_term)
        )
        term = message.term if is_granted else self.term
        self._send_when_durable(sender, RequestVoteResponse(term, is_granted, True))

    def _notify_if_removed(self, sender: int) -> None:
        """Notify a former member, which may have missed that its removal was committed."""
        if sender in self.members.removed and self.members_index <= self.commit_index:
            self._send(sender, NodeRemoved(self.term, self.members_index))
