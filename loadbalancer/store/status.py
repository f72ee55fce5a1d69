"""Status of a store node, as `Status` requests return it in JSON.

The keys are part of the wire form.
"""

from __future__ import annotations

from typing import Any, TypedDict


class MemberStatus(TypedDict):
    """A member as the reporting node sees it.

    `match`, `lag` and `way` (the state of its replication) are known by the leader only; `trouble`
    is why it is not connected.
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
    feed: Any  # `changefeed.status.FeedStatus` with `failures`; None before the feed is used
