"""Entries into the log, and the members that they define.

Members change one server at a time (thesis 4.1 to 4.3), and count from the moment that their entry
stands in the log.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.store.raft.errors import BusyError, MembershipError, NotLeaderError
from loadbalancer.store.raft.log import entry_bytes
from loadbalancer.store.raft.members import ChangeKind, MembershipChange
from loadbalancer.store.raft.messages import Entry, EntryKind, pack, unpack_members
from loadbalancer.store.raft.state import RaftState, Role


class Membership(RaftState):
    """Writes entries into this node's log, and changes the members by them."""

    def require_change_possible(self) -> None:
        """Check that this node may begin a change of the members now.

        Raises:
            NotLeaderError: Another node leads, or none.
            BusyError: A transfer of leadership or another change is under way.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader_id)
        if self.transfer_target is not None:
            raise BusyError("leadership is being handed over")
        if not self._is_membership_settled():
            raise BusyError("another change of members is under way, or this leader is too new")

    def change_membership(self, change: MembershipChange) -> int:
        """Propose a change of the members; return the index of its entry.

        Raises:
            NotLeaderError: Another node leads, or none.
            BusyError: A transfer of leadership or another change is under way.
            MembershipError: The change can't be made.
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
        """The correction of single-server changes (Ongaro, raft-dev, July 2015).

        A leader makes none before an entry of its own term is committed, and never two at a time.
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
        """Put entries into the log, in place of those from the first index on, and to disk."""
        first_index = entries[0].index
        if first_index <= self.log.last_index:
            self._drop_entries_from(first_index)
        self.log.append(entries)
        self.pending_batch.entries.extend(entries)
        for entry in entries:
            self._record_members(entry)

    def _drop_entries_from(self, first_index: int) -> None:
        assert first_index > self.commit_index, "a committed entry would be dropped"
        self.durable_index = min(self.durable_index, first_index - 1)
        self.memberships = [(i, members) for i, members in self.memberships if i < first_index]
        pending = self.pending_batch.entries
        del pending[max(0, first_index - pending[0].index) if pending else 0 :]

    def _record_members(self, entry: Entry) -> None:
        if entry.kind != EntryKind.MEMBERS:
            return
        self.memberships.append((entry.index, unpack_members(entry.data)))
        if self.role is Role.LEADER:
            self._members_changed()

    def _members_changed(self) -> None:
        """As a leader, follow the members that were just recorded."""
        raise NotImplementedError
