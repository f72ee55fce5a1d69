"""Timeouts and limits of one Raft node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

NS_PER_MS: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class RaftConfig:
    """Timeouts and limits, which must be the same on all nodes of a cluster."""

    heartbeat_interval_ns: int = 100 * NS_PER_MS
    # Each election timeout is drawn at random between this value and twice this value.
    election_timeout_ns: int = 500 * NS_PER_MS
    max_append_bytes: int = 256 << 10  # size of the entries in one message
    max_in_flight_appends: int = 64  # per follower
    max_uncommitted_bytes: int = 8 << 20  # total size of uncommitted proposals
    max_uncommitted_entries: int = 10_000
    max_pending_reads: int = 10_000
    snapshot_chunk_bytes: int = 256 << 10
    max_in_flight_chunks: int = 4  # snapshot chunks, per follower
    commit_notice_ns: int = 5 * NS_PER_MS  # maximum delay until followers are notified of a commit
    # A leader whose disk takes longer to persist one batch transfers its leadership.
    slow_disk_timeout_ns: int = 1_500 * NS_PER_MS
    max_promotion_lag: int = 1_000  # entries; a learner with a larger lag is not promoted
