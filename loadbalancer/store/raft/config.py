"""Timeouts and limits of one Raft node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

NS_PER_MS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Timeouts and limits; the same on all nodes of a cluster."""

    heartbeat_interval_ns: int = 100 * NS_PER_MS
    # An election timeout is drawn between this and twice this.
    election_timeout_ns: int = 500 * NS_PER_MS
    max_append_bytes: int = 256 << 10  # of entries in one message
    max_in_flight_appends: int = 64  # to one follower
    max_uncommitted_bytes: int = 8 << 20  # of proposals
    max_uncommitted_entries: int = 10_000
    max_pending_reads: int = 10_000
    snapshot_chunk_bytes: int = 256 << 10
    max_in_flight_chunks: int = 4  # of a snapshot, to one follower
    commit_notice_ns: int = 5 * NS_PER_MS  # within which followers learn of a commit
    # A leader whose disk takes longer over one batch transfers its leadership.
    slow_disk_timeout_ns: int = 1_500 * NS_PER_MS
    max_promotion_lag: int = 1_000  # entries: a learner further behind is not promoted
