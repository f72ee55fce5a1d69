"""The status of a store node, returned as JSON in reply to a `Status` request.

The keys are part of the wire format.
"""

from __future__ import annotations

from typing import Any, TypedDict


class MemberStatus(TypedDict):
    """The status of a member, reported by one node.

    Only the leader reports `match`, `lag` and `way` (the replication state). `trouble` is the
    reason why the member is not connected.
    """

    node: str
    address: str
    voter: bool
    leads: bool
    here: bool
    match: int | None
    lag: int | None
    way: str
    connected: bool
    trouble: str


class NodeStatus(TypedDict):
    """A node's status."""

    cluster: str
    node: str
    name: str
    role: str
    term: int
    leader: str
    leaderless_ms: int
    members: list[MemberStatus]
    last: int
    commit: int
    applied: int
    log_from: int
    log_bytes: int
    stable: int
    flushed: int
    writes_waiting: int
    reads_waiting: int
    uncommitted_bytes: int
    elections: int
    batches: int
    entries: int
    sync_p50_ms: float
    sync_p99_ms: float
    disk_full_s: float
    late_turns: int
    removed: bool
    failed: bool
    format: int
    feed: Any  # `changefeed.status.FeedStatus` plus `failures`; None until the feed is in use
