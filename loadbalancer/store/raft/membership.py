"""Appending entries to the log, and the membership that they define.

Members change one server at a time (thesis 4.1 to 4.3). A new membership takes effect as soon as
its entry is in the log, before the entry is committed.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.store.raft.errors import BusyError, MembershipError, NotLeaderError
from loadbalancer.store.raft.log import entry_bytes
from loadbalancer.store.raft.members import ChangeKind, MembershipChange
from loadbalancer.store.raft.messages import Entry, EntryKind, pack, unpack_members
from loadbalancer.store.raft.state import RaftState, Role


class Membership(RaftState):
    """Appends entries to this node's log and applies the membership changes among them."""

    def require_change_possible(self) -> None:
        """Check that this node may start a membership change now.

        Raises:
            NotLeaderError: This node is not the leader.
            BusyError: A leadership transfer or another membership change is in progress.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader_id)
        if self.transfer_target is not None:
            raise BusyError("leadership is being handed over")
        if not self._is_membership_settled():
            raise BusyError("another change of members is under way, or this leader is too new")

    def change_membership(self, change: MembershipChange) -> int:
        """Propose a membership change; return the index of its entry.

        Raises:
            NotLeaderError: This node is not the leader.
            BusyError: A leadership transfer or another membership change is in progress.
            MembershipError: The change is not possible.
        """
        self.require_change_possible()
        members = change.applied_to(self.members)
        if members == self.members:
            return self.members_index
        if change.kind is ChangeKind.PROMOTE:
            self._require_caught_up(change.node)
        return self._append_entry(EntryKind.MEMBERS, pack(members))

    def _require_caught_up(self, node: int) -> None:
        progress = self.progress.get(node)
        match_index = progress.match_index if progress is not None else 0
        lag = self.log.last_index - match_index
        if progress is None or lag > self.config.max_promotion_lag:
            raise MembershipError(
                f"node {node:x} is {lag} entries behind: wait until it has caught up"
            )

    def _is_membership_settled(self) -> bool:
        """Return whether a leader may start a membership change.

        A leader may start one only after an entry of its own term is committed, and only one at a
        time. This is the correction of single-server changes (Ongaro, raft-dev, July 2015).
        """
        return (
            self.members_index <= self.commit_index
            and self.log.term_at(self.commit_index) == self.term
        )

    def _append_entry(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry as the leader; return its index."""
        entry = Entry(self.term, self.log.last_index + 1, kind, data)
        self._store_entries([entry])
        self.uncommitted_bytes += entry_bytes(entry)
        return entry.index

    def _store_entries(self, entries: Sequence[Entry]) -> None:
        """Store entries in log and next batch, replacing those from the first index on."""
        first_index = entries[0].index
        if first_index <= self.log.last_index:
            self._drop_entries_from(first_index)
        self.log.append(entries)
        self.pending_batch.entries.extend(entries)
        for entry in entries:
            self._record_members(entry)

    def _drop_entries_from(self, first_index: int) -> None:
        assert first_index > self.commit_index, "dropping a committed entry"
        self.durable_index = min(self.durable_index, first_index - 1)
        self.memberships = [(i, members) for i, members in self.memberships if i < first_index]
        pending_entries = self.pending_batch.entries
        del pending_entries[
            max(0, first_index - pending_entries[0].index) if pending_entries else 0 :
        ]

    def _record_members(self, entry: Entry) -> None:
        if entry.kind != EntryKind.MEMBERS:
            return
        self.memberships.append((entry.index, unpack_members(entry.data)))
        if self.role is Role.LEADER:
            self._members_changed()

    def _members_changed(self) -> None:
        """Update the leader's followers after a membership change was recorded."""
        raise NotImplementedError
