"""Counters of a node for its metrics and status."""

from __future__ import annotations

import logging
import time
from collections import deque
from enum import StrEnum
from typing import Final

log = logging.getLogger(__name__)

RETAINED_SYNC_TIMES: Final = 1000


class Storage(StrEnum):
    """What a node writes to its disk."""

    LOG = "log"
    STATE = "state"


class NodeStatistics:
    """Counters and sync times since the process started.

    Attributes:
        batches: Batches that were synced to the log.
        entries: Entries in them.
        sync_s: Duration of the last batches.
        full_since_s: Since when the disk has no room for each kind of storage.
        late_timers: Timers that fired late because the event loop was busy.
        exports: Snapshots that were exported.
    """

    def __init__(self) -> None:
        self.batches = 0
        self.entries = 0
        self.sync_s: deque[float] = deque(maxlen=RETAINED_SYNC_TIMES)
        self.full_since_s: dict[Storage, float] = {}
        self.late_timers = 0
        self.exports = 0

    def sync_quantile_s(self, quantile: float) -> float:
        """Returns a quantile of the sync times."""
        times_s = sorted(self.sync_s)
        if not times_s:
            return 0.0
        return times_s[min(len(times_s) - 1, int(quantile * len(times_s)))]

    def note_full(self, storage: Storage, error: Exception) -> None:
        """The disk has no room for this storage."""
        if storage not in self.full_since_s:
            self.full_since_s[storage] = time.monotonic()
            log.error("disk full, writes wait and reads go on: storage=%s error=%s", storage, error)

    def note_room(self, storage: Storage) -> None:
        """The disk has room for this storage."""
        since_s = self.full_since_s.pop(storage, None)
        if since_s is not None:
            full_s = time.monotonic() - since_s
            log.info("disk has room again: storage=%s full_s=%.1f", storage, full_s)

    def disk_full_s(self) -> float:
        """Returns for how long the disk has been full; 0 if it is not."""
        if not self.full_since_s:
            return 0
        return round(time.monotonic() - min(self.full_since_s.values()), 1)
