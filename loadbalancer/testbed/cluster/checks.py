"""What must hold at every step of a cluster, whatever fails: the properties of figure 3 of the Raft
paper, and that no promise is forgotten. It keeps its own books and believes no node.
"""

from __future__ import annotations

from loadbalancer.store.raft.messages import (
    AnyMessage,
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshotChunk,
    InstallSnapshotChunkResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from loadbalancer.store.raft.node import RaftNode
from loadbalancer.store.raft.state import Role


class Broken(Exception):
    """A property does not hold."""

    def __init__(self, name: str, what: str) -> None:
        super().__init__(f"{name}: {what}")
        self.name = name


class Checks:
    def __init__(self) -> None:
        self.leaders: dict[int, int] = {}  # term: node
        # By index and term: kind, data, and the term of the entry before it.
        self.entries: dict[tuple[int, int], tuple[int, bytes, int]] = {}
        self.committed: dict[int, Entry] = {}
        self.committed_in: dict[int, int] = {}  # the term in which that was first seen
        self.highest = 0
        self.results: dict[int, bytes] = {}  # index: what applying it answered
        self.votes: dict[tuple[int, int], int] = {}  # node, term: for whom
        self.terms: dict[int, int] = {}  # node: the latest in which it bound itself to something
        self.looked: dict[int, tuple[int, int]] = {}  # node: log's end that was looked at

    def said(self, node: int, to: int, m: AnyMessage) -> None:
        """A message left a node."""
        if isinstance(m, RequestVoteResponse) and m.is_granted and not m.is_pre_vote:
            self.voted(node, m.term, to)
        # Who declines, or asks to read, binds itself to nothing.
        binds = (
            isinstance(
                m, AppendEntries | InstallSnapshotChunk | TimeoutNow | InstallSnapshotChunkResponse
            )
            or (isinstance(m, RequestVote) and not m.is_pre_vote)
            or (isinstance(m, RequestVoteResponse) and m.is_granted and not m.is_pre_vote)
            or (isinstance(m, AppendEntriesResponse) and not m.is_rejected)
        )
        if binds:
            self.terms[node] = max(self.terms.get(node, 0), m.term)

    def voted(self, node: int, term: int, whom: int) -> None:
        before = self.votes.setdefault((node, term), whom)
        if before != whom:
            raise Broken(
                "one vote a term", f"node {node} voted for {before} and {whom} in term {term}"
            )

    def restarted(self, node: int, core: RaftNode) -> None:
        if core.term < self.terms.get(node, 0):
            raise Broken(
                "hard state goes forward",
                f"node {node} came back in term {core.term}, "
                f"and had bound itself in {self.terms[node]}",
            )
        vote = self.votes.get((node, core.term))
        if vote and core.hard_state.voted_for != vote:
            raise Broken(
                "hard state goes forward",
                f"node {node} forgot that it voted for {vote} in term {core.term}",
            )
        self.looked.pop(node, None)

    def look(self, node: int, core: RaftNode) -> None:
        """After every step of a node."""
        if core.role is Role.LEADER and self.leaders.get(core.term) != node:
            if core.term in self.leaders:
                raise Broken(
                    "election safety",
                    f"{self.leaders[core.term]} and {node} both lead in term {core.term}",
                )
            self.leaders[core.term] = node
            self._complete(node, core)
        log = core.log
        end = (log.last_index, log.last_term)
        if self.looked.get(node) != end:
            self._matches(node, core)
            self.looked[node] = end
        for index in range(max(log.base_index, self.highest) + 1, core.commit_index + 1):
            self.committed[index] = log.entries[index - log.base_index - 1]
            self.committed_in[index] = core.term
            self.highest = index
        if core.commit_index > log.base_index:
            last = log.entries[core.commit_index - log.base_index - 1]
            if last != self.committed[last.index]:
                raise Broken(
                    "state machine safety", f"node {node} committed another entry {last.index}"
                )

    def _matches(self, node: int, core: RaftNode) -> None:
        """Log matching: index and term decide an entry and the one before it, and so all before
        it.
        """
        log = core.log
        for i in range(len(log.entries) - 1, -1, -1):
            entry = log.entries[i]
            before = log.entries[i - 1].term if i else log.base_term
            known = self.entries.get((entry.index, entry.term))
            if known is None:
                self.entries[entry.index, entry.term] = (entry.kind, entry.data, before)
            elif known != (entry.kind, entry.data, before):
                raise Broken(
                    "log matching",
                    f"entry {entry.index} of term {entry.term} is another one on node {node}",
                )
            else:
                break  # what comes before it was looked at when it was first seen

    def _complete(self, node: int, core: RaftNode) -> None:
        """Leader completeness: whoever wins holds all that was committed in its term or before. One
        whose votes were long on the way may win a term that is over, and miss what was committed
        since: it commits nothing.
        """
        log = core.log
        for index, entry in self.committed.items():
            if (
                self.committed_in[index] <= core.term
                and index > log.base_index
                and log.term_at(index) != entry.term
            ):
                raise Broken(
                    "leader completeness",
                    f"node {node} leads in term {core.term} without the committed entry {index}",
                )

    def applied(self, node: int, index: int, result: bytes) -> None:
        """State machine safety: an entry does the same everywhere."""
        if self.results.setdefault(index, result) != result:
            raise Broken(
                "state machine safety", f"entry {index} came out differently on node {node}"
            )
