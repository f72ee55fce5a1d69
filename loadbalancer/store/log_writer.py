"""Writes batches of the consensus core durably to the log."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Final

from loadbalancer.store.durable.errors import DiskFullError
from loadbalancer.store.node_runtime import NodeRuntime
from loadbalancer.store.raft.ready import Batch
from loadbalancer.store.statistics import Storage

log = logging.getLogger(__name__)

FULL_RETRY_S: Final = 0.5


class LogWriter:
    """Writes batches one at a time.

    Args:
        runtime: The node's threads and tasks.
        snapshot_installed: Called when a snapshot replaced the state.
    """

    def __init__(self, runtime: NodeRuntime, snapshot_installed: Callable[[], None]) -> None:
        self._runtime = runtime
        self._snapshot_installed = snapshot_installed

    def start(self, batch: Batch) -> None:
        """Start writing a batch."""
        self._runtime.start_task(self._write(batch))

    async def _write(self, batch: Batch) -> None:
        if batch.install is None:
            await self._persist(batch)
            self._persisted(batch, is_installed=True)
            return
        async with self._runtime.state_lock:
            is_installed = await self._persist(batch)
        outcome = "installed" if is_installed else "incomplete"
        log.info("snapshot received: index=%d outcome=%s", batch.install.index, outcome)
        self._persisted(batch, is_installed=is_installed)
        if is_installed:
            self._snapshot_installed()

    def _persisted(self, batch: Batch, *, is_installed: bool) -> None:
        statistics = self._runtime.statistics
        statistics.batches += 1
        statistics.entries += len(batch.entries)
        self._runtime.core.batch_persisted(batch, is_installed)

    async def _persist(self, batch: Batch) -> bool:
        """Write a batch, with retries while the disk is full.

        Returns:
            Whether the batch's snapshot is complete.
        """
        statistics = self._runtime.statistics
        while True:
            try:
                is_installed, sync_s = await self._runtime.on_log_thread(self._timed_write, batch)
            except DiskFullError as error:
                statistics.record_disk_full(Storage.LOG, error)
                await asyncio.sleep(FULL_RETRY_S)
                continue
            statistics.record_disk_available(Storage.LOG)
            statistics.sync_s.append(sync_s)
            return is_installed

    def _timed_write(self, batch: Batch) -> tuple[bool, float]:
        start_s = time.perf_counter()
        is_installed = self._runtime.replica.write(batch)
        return is_installed, time.perf_counter() - start_s
