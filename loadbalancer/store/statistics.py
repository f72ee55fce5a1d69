"""Counters of a node, for its metrics and status."""

from __future__ import annotations

import logging
import time
from collections import deque
from enum import StrEnum
from typing import Final

log = logging.getLogger(__name__)

RETAINED_SYNC_TIMES: Final = 1000


class Storage(StrEnum):
    """The kinds of data that a node writes to disk."""

    LOG = "log"
    STATE = "state"


class NodeStatistics:
    """Counters and sync times since the process started.

    Attributes:
        batches: The number of batches written to the log.
        entries: The number of entries in these batches.
        sync_s: Write and sync durations of the last batches.
        full_since_s: The time since which the disk has been full, by kind of storage.
        late_timers: The number of timers that fired late because the event loop was busy.
        exports: The number of exported snapshots.
    """

    def __init__(self) -> None:
        self.batches = 0
        self.entries = 0
        self.sync_s: deque[float] = deque(maxlen=RETAINED_SYNC_TIMES)
        self.full_since_s: dict[Storage, float] = {}
        self.late_timers = 0
        self.exports = 0

    def sync_quantile_s(self, quantile: float) -> float:
        """Return a quantile of the sync durations; 0 if there are none."""
        times_s = sorted(self.sync_s)
        if not times_s:
            return 0.0
        return times_s[min(len(times_s) - 1, int(quantile * len(times_s)))]

    def record_disk_full(self, storage: Storage, error: Exception) -> None:
        """Record that a write failed because the disk is full."""
        if storage not in self.full_since_s:
            self.full_since_s[storage] = time.monotonic()
            log.error("disk full, writes wait and reads go on: storage=%s error=%s", storage, error)

    def record_disk_available(self, storage: Storage) -> None:
        """Record that a write succeeded, so that the disk is not full."""
        since_s = self.full_since_s.pop(storage, None)
        if since_s is not None:
            full_s = time.monotonic() - since_s
            log.info("disk has room again: storage=%s full_s=%.1f", storage, full_s)

    def disk_full_s(self) -> float:
        """Return how long the disk has been full; 0 if it is not full."""
        if not self.full_since_s:
            return 0
        return round(time.monotonic() - min(self.full_since_s.values()), 1)
