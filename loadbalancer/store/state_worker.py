"""Applies committed entries to the state, exports snapshots of it and syncs it."""

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
MAX_INLINE_ENTRIES: Final = 16  # so few are applied faster in the loop's thread than in another
FLUSH_INTERVAL_S: Final = 5.0  # the state is synced so often if entries were applied
FLUSH_ENTRIES: Final = 2_000  # and after so many entries

EntriesApplied = Callable[[Sequence[Entry], Sequence[Result]], None]


class StateWorker:
    """Runs at most one apply, one export and one flush at a time.

    Args:
        runtime: The node's threads and tasks.
        entries_applied: Called in the loop after entries were applied.
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
        """Begins to apply what is committed, unless that is under way."""
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
        except sqlite3.Error:  # the thread retries it, and can wait for room
            self._start_apply(entries)
        else:
            self._entries_applied(entries, results)

    def _start_apply(self, entries: list[Entry]) -> None:
        self._is_applying = True
        self._runtime.start_task(self._apply(entries))

    async def _apply(self, entries: list[Entry]) -> None:
        """Applies entries; waits for room on the disk, as committed entries have to be applied."""
        try:
            while True:
                async with self._runtime.state_lock:  # not while it waits: reads go on
                    if self._runtime.replica.state.applied >= entries[-1].index:
                        return  # a snapshot was installed meanwhile
                    results = await self._try_apply(entries)
                if results is not None:
                    break
                await asyncio.sleep(FULL_RETRY_S)
            self._runtime.statistics.note_room(Storage.STATE)
            self._entries_applied(entries, results)
        finally:
            self._is_applying = False

    async def _try_apply(self, entries: list[Entry]) -> list[Result] | None:
        """Applies entries; None if the disk is full, which leaves no trace in the state."""
        try:
            return await self._runtime.on_state_thread(self._runtime.replica.apply, entries)
        except sqlite3.Error as error:
            if "full" not in str(error):
                raise
            self._runtime.statistics.note_full(Storage.STATE, error)
            return None

    # ---- snapshots and syncs ---------------------------------------------------------------------

    def export_if_needed(self) -> None:
        """Begins to export a snapshot if a follower needs one."""
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
        """Begins to sync the state if it is due or the log is long."""
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
                # The journal belongs to the log's thread; the core, to this one.
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
        """Syncs the state.

        Raises:
            DiskFullError: The disk is full.
        """
        async with self._runtime.state_lock:
            await self._runtime.on_state_thread(self._runtime.replica.flush)
