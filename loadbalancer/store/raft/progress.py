"""A leader's view of one follower, with flow control of appends and snapshots."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from loadbalancer.store.raft.messages import SnapshotMeta


class ProgressState(Enum):
    """How entries are sent to a follower."""

    PROBE = "probe"  # one message at a time, until the matching index is found
    REPLICATE = "replicate"  # many messages in flight
    SNAPSHOT = "snapshot"  # the log no longer holds the entries that the follower needs


@dataclass(slots=True, eq=False)
class Progress:
    """Replication progress of one follower."""

    next_index: int
    match_index: int = 0
    state: ProgressState = ProgressState.PROBE
    is_probe_in_flight: bool = False
    in_flight: deque[int] = field(default_factory=deque)  # REPLICATE: the last index of each append
    acked_round: int = 0  # the leader's last round that the follower responded to
    last_contact_ns: int = 0
    snapshot: SnapshotMeta | None = None  # SNAPSHOT: the snapshot being sent
    acked_bytes: int = 0  # of the snapshot: acknowledged
    sent_bytes: int = 0  # of the snapshot: acknowledged or in flight
    snapshot_progress_ns: int = 0  # when `acked_bytes` last grew, or chunks were sent again

    def become_probe(self, next_index: int) -> None:
        """Probe for the matching index, starting just before `next_index`."""
        self._set_state(ProgressState.PROBE)
        self.next_index = max(next_index, self.match_index + 1)

    def become_replicate(self) -> None:
        """Pipeline appends, as the logs match up to `match_index`."""
        self._set_state(ProgressState.REPLICATE)
        self.next_index = self.match_index + 1

    def _set_state(self, state: ProgressState) -> None:
        self.state = state
        self.is_probe_in_flight = False
        self.snapshot = None
        self.in_flight.clear()

    def become_snapshot(self, snapshot: SnapshotMeta | None, now: int) -> None:
        """Send a snapshot, or wait for one to become available if it is None."""
        self.state = ProgressState.SNAPSHOT
        self.snapshot = snapshot
        self.acked_bytes = 0
        self.sent_bytes = 0
        self.snapshot_progress_ns = now
        self.in_flight.clear()

    def append_acknowledged(self, index: int) -> None:
        """Remove appends up to this index from those in flight."""
        while self.in_flight and self.in_flight[0] <= index:
            self.in_flight.popleft()

    def can_send_append(self, max_in_flight: int) -> bool:
        """Return whether flow control permits another append."""
        match self.state:
            case ProgressState.PROBE:
                return not self.is_probe_in_flight
            case ProgressState.REPLICATE:
                return len(self.in_flight) < max_in_flight
            case ProgressState.SNAPSHOT:
                return False
