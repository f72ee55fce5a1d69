"""Applies committed entries to the state, exports snapshots and syncs the state to disk."""

from __future__ import annotations

import asyncio
import logging
import sqlite3
import time
from collections.abc import Callable, Sequence
from typing import Final

from loadbalancer.store.commands import Result
from loadbalancer.store.durable.errors import DiskFullError
from loadbalancer.store.log_writer import FULL_RETRY_S
from loadbalancer.store.node_runtime import NodeRuntime
from loadbalancer.store.raft.messages import Entry
from loadbalancer.store.statistics import Storage

log = logging.getLogger(__name__)

MAX_ENTRIES_PER_TRANSACTION: Final = 1000
# Up to this number, applying entries in the event loop's thread is faster than in another thread.
MAX_INLINE_ENTRIES: Final = 16
FLUSH_INTERVAL_S: Final = 5.0  # between two syncs of the state if entries were applied
FLUSH_ENTRIES: Final = 2_000  # number of unsynced entries above which the state is synced

EntriesApplied = Callable[[Sequence[Entry], Sequence[Result]], None]


class StateWorker:
    """Runs at most one apply task, one export and one flush at a time.

    Args:
        runtime: The node's threads and tasks.
        entries_applied: Called in the event loop after entries were applied.
    """

    def __init__(self, runtime: NodeRuntime, entries_applied: EntriesApplied) -> None:
        self._runtime = runtime
        self._entries_applied = entries_applied
        self._is_applying = False
        self._is_exporting = False
        self._is_flushing = False
        self._flushed_s = time.monotonic()

    # ---- committed entries -----------------------------------------------------------------------

    def apply_committed(self) -> None:
        """Start applying committed entries, unless an apply task is running."""
        core = self._runtime.core
        if self._is_applying or core.commit_index <= core.delivered_index:
            return
        entries = core.take_committed(MAX_ENTRIES_PER_TRANSACTION)
        if not entries:
            return
        if len(entries) <= MAX_INLINE_ENTRIES and not self._runtime.state_lock.locked():
            self._apply_inline(entries)
        else:
            self._start_apply(entries)

    def _apply_inline(self, entries: list[Entry]) -> None:
        try:
            results = self._runtime.replica.apply(entries)
        except sqlite3.Error:  # the apply task retries, and can wait until the disk has room
            self._start_apply(entries)
        else:
            self._entries_applied(entries, results)

    def _start_apply(self, entries: list[Entry]) -> None:
        self._is_applying = True
        self._runtime.start_task(self._apply(entries))

    async def _apply(self, entries: list[Entry]) -> None:
        """Apply entries; retry while the disk is full, as committed entries must be applied."""
        try:
            while True:
                # Released between retries, so that reads continue.
                async with self._runtime.state_lock:
                    if self._runtime.replica.state.applied >= entries[-1].index:
                        return  # a snapshot that includes these entries was installed
                    results = await self._try_apply(entries)
                if results is not None:
                    break
                await asyncio.sleep(FULL_RETRY_S)
            self._runtime.statistics.record_disk_available(Storage.STATE)
            self._entries_applied(entries, results)
        finally:
            self._is_applying = False

    async def _try_apply(self, entries: list[Entry]) -> list[Result] | None:
        """Apply entries; return None, with the state unchanged, if the disk is full."""
        try:
            return await self._runtime.on_state_thread(self._runtime.replica.apply, entries)
        except sqlite3.Error as error:
            if "full" not in str(error):
                raise
            self._runtime.statistics.record_disk_full(Storage.STATE, error)
            return None

    # ---- snapshots and syncs ---------------------------------------------------------------------

    def export_if_needed(self) -> None:
        """Start exporting a snapshot if a follower needs one."""
        if self._runtime.core.needs_snapshot and not self._is_exporting:
            self._is_exporting = True
            self._runtime.start_task(self._export())

    async def _export(self) -> None:
        try:
            meta = await self._runtime.on_export_thread(
                self._runtime.replica.state_directory.export_snapshot
            )
            self._runtime.statistics.exports += 1
            self._runtime.core.snapshot_exported(meta)
        except DiskFullError as error:
            log.error("snapshot can't be exported: error=%s", error)
            await asyncio.sleep(FULL_RETRY_S)
        finally:
            self._is_exporting = False

    def flush_if_due(self) -> None:
        """Start syncing the state if a sync is due or the log needs compaction."""
        if self._is_flushing or not self._is_flush_due():
            return
        self._is_flushing = True
        self._runtime.start_task(self._flush_and_compact())

    def _is_flush_due(self) -> bool:
        replica = self._runtime.replica
        unsynced = self._runtime.core.applied_index - replica.flushed
        if not unsynced:
            return False
        return (
            replica.needs_compaction
            or unsynced > FLUSH_ENTRIES
            or time.monotonic() - self._flushed_s > FLUSH_INTERVAL_S
        )

    async def _flush_and_compact(self) -> None:
        replica = self._runtime.replica
        try:
            await self.flush()
            if replica.needs_compaction:
                # Only the log thread may access the journal; only this thread may access the core.
                index = replica.compaction_index()
                self._runtime.core.compact(index)
                await self._runtime.on_log_thread(replica.journal.compact, index)
            await self._runtime.on_log_thread(replica.journal.write_end_mark)
        except DiskFullError as error:
            log.error("state can't be synced: error=%s", error)
            await asyncio.sleep(FULL_RETRY_S)
        finally:
            self._flushed_s = time.monotonic()
            self._is_flushing = False

    async def flush(self) -> None:
        """Sync the state to disk.

        Raises:
            DiskFullError: The disk is full.
        """
        async with self._runtime.state_lock:
            await self._runtime.on_state_thread(self._runtime.replica.flush)
