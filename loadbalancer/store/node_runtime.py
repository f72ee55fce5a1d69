"""The event loop, threads and tasks of a node, and its failure handling."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final, TypeVar

from loadbalancer.store.durable.errors import DamagedError, SyncFailedError
from loadbalancer.store.durable.state import State
from loadbalancer.store.errors import DeadlineExceededError
from loadbalancer.store.replica import Replica
from loadbalancer.store.statistics import NodeStatistics

log = logging.getLogger(__name__)

T = TypeVar("T")

CLOSE_TIMEOUT_S: Final = 5


class NodeRuntime:
    """The runtime that the components of a node share.

    The event loop's thread owns the consensus core. One thread writes to the log, one accesses the
    state, and one exports snapshots. The state is locked while a snapshot is installed.

    Args:
        replica: The replica that the node drives.
        run: Called once after each event-loop iteration in which `wake` was called.
        failed: Called once when the node fails.

    Attributes:
        failed: Completes with the reason when the node fails, or empty after a graceful shutdown.
    """

    def __init__(
        self, replica: Replica, run: Callable[[], None], failed: Callable[[], None]
    ) -> None:
        self.replica = replica
        self.core = replica.core
        self.loop = asyncio.get_running_loop()
        self.log_thread = ThreadPoolExecutor(1, "store-disk")
        self.state_thread = ThreadPoolExecutor(1, "store-state")
        self.export_thread = ThreadPoolExecutor(1, "store-copy")
        self.state_lock = asyncio.Lock()
        self.statistics = NodeStatistics()
        self.failed: asyncio.Future[str] = self.loop.create_future()
        self._run = run
        self._on_failed = failed
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_woken = False

    @property
    def has_failed(self) -> bool:
        """Whether the node has stopped."""
        return self.failed.done()

    def wake(self) -> None:
        """Schedule a run of the node for the next iteration of the event loop."""
        if not self._is_woken:
            self._is_woken = True
            self.loop.call_soon(self._run_once)

    def _run_once(self) -> None:
        self._is_woken = False
        if self.has_failed:
            return
        try:
            self._run()
        except Exception as error:  # noqa: BLE001 (an unexpected error stops the node)
            self._fail_unexpectedly(error)

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task; an unhandled error in it stops the node."""
        task = self.loop.create_task(self._guarded(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guarded(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except (SyncFailedError, DamagedError) as error:
            self.fail(str(error))
        except Exception as error:  # noqa: BLE001 (an unexpected error stops the node)
            self._fail_unexpectedly(error)
        self.wake()

    def _fail_unexpectedly(self, error: Exception) -> None:
        log.error("store node failed", exc_info=error)
        self.fail(f"{type(error).__name__}: {error}")

    def fail(self, reason: str) -> None:
        """Stop the node and record the reason; later calls have no effect."""
        if not self.has_failed:
            log.error("store node stops: reason=%s", reason)
            self.failed.set_result(reason)
            self._on_failed()

    async def on_log_thread(self, function: Callable[..., T], *args: object) -> T:
        """Call a function in the log thread."""
        return await self.loop.run_in_executor(self.log_thread, function, *args)

    async def on_state_thread(self, function: Callable[..., T], *args: object) -> T:
        """Call a function in the state thread."""
        return await self.loop.run_in_executor(self.state_thread, function, *args)

    async def on_export_thread(self, function: Callable[..., T], *args: object) -> T:
        """Call a function in the snapshot export thread."""
        return await self.loop.run_in_executor(self.export_thread, function, *args)

    async def query(self, read: Callable[[State], T]) -> T:
        """Read from the state that this node has applied.

        Raises:
            DeadlineExceededError: The node is shutting down.
        """
        async with self.state_lock:
            if self.has_failed:
                raise DeadlineExceededError("the node stops")
            return await self.on_state_thread(read, self.replica.state)

    async def close(self) -> None:
        """Wait until tasks and threads have finished."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CLOSE_TIMEOUT_S)
        for thread in (self.log_thread, self.state_thread, self.export_thread):
            await self.loop.run_in_executor(None, thread.shutdown)
