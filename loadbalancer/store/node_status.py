"""Builds the status report of a node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from loadbalancer.store.link import MemberLinks
from loadbalancer.store.node_runtime import NodeRuntime
from loadbalancer.store.pending_requests import PendingRequests
from loadbalancer.store.raft.state import Role
from loadbalancer.store.replica import Identity
from loadbalancer.store.status import MemberStatus, NodeStatus

MS_DIGITS = 3  # decimals of sync times


@dataclass(frozen=True, slots=True)
class StatusSource:
    """The components of a node that its status covers."""

    identity: Identity
    runtime: NodeRuntime
    links: MemberLinks
    pending: PendingRequests

    def node_status(self, leaderless_ms: int, changefeed: dict[str, Any] | None) -> NodeStatus:
        """Return the node's status.

        Args:
            leaderless_ms: The time since a leader was last known.
            changefeed: Status of the change feed; None if it is not in use.
        """
        core = self.runtime.core
        statistics = self.runtime.statistics
        return {
            "cluster": self.identity.cluster,
            "node": f"{self.identity.node:x}",
            "name": self.identity.name,
            "role": core.role.value,
            "term": core.term,
            "leader": f"{core.leader_id:x}" if core.leader_id else "",
            "leaderless_ms": leaderless_ms,
            "members": [self._member_status(node) for node in core.members.all],
            "last": core.log.last_index,
            "commit": core.commit_index,
            "applied": core.applied_index,
            "log_from": core.log.base_index,
            "log_bytes": core.log.size_bytes,
            "stable": core.durable_index,
            "flushed": self.runtime.replica.flushed,
            "writes_waiting": len(self.pending.writes),
            "reads_waiting": len(self.pending.reads),
            "uncommitted_bytes": core.uncommitted_bytes,
            "elections": core.election_count,
            "batches": statistics.batches,
            "entries": statistics.entries,
            "sync_p50_ms": round(statistics.sync_quantile_s(0.5) * 1000, MS_DIGITS),
            "sync_p99_ms": round(statistics.sync_quantile_s(0.99) * 1000, MS_DIGITS),
            "disk_full_s": statistics.disk_full_s(),
            "late_turns": statistics.late_timers,
            "removed": core.is_removed,
            "failed": self.runtime.has_failed,
            "format": self.runtime.replica.state.format,
            "feed": changefeed,
        }

    def _member_status(self, node: int) -> MemberStatus:
        core = self.runtime.core
        is_this_node = node == self.identity.node
        link = self.links.links.get(node)
        match = self._match_index(node)
        return {
            "node": f"{node:x}",
            "address": self.links.address_of(node),
            "voter": node in core.members.voters,
            "leads": node == core.leader_id,
            "here": is_this_node,
            "match": match,
            "lag": None if match is None else core.log.last_index - match,
            "way": "" if match is None or is_this_node else core.progress[node].state.value,
            "connected": is_this_node or bool(link and link.connection),
            "trouble": "" if is_this_node or not link or link.connection else link.close_reason,
        }

    def _match_index(self, node: int) -> int | None:
        """Return the last index known to be durable on a member; None if this node can't tell."""
        core = self.runtime.core
        progress = core.progress.get(node) if core.role is Role.LEADER else None
        if progress is None:
            return None
        return core.durable_index if node == self.identity.node else progress.match_index
