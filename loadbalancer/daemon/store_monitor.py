"""Background work on the store that never blocks the balancer.

While the store is unavailable or has no leader, the balancer continues with its last known state.
The log has the start and the duration of the outage.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from loadbalancer.store.client import Client
from loadbalancer.store.errors import StoreError, WatchCompactedError

log = logging.getLogger(__name__)

RETRY_S = 0.5

OnValue = Callable[[bytes | None, int], Awaitable[None]]


class StoreMonitor:
    """Runs work on the store, retries it, and logs when the store is unavailable."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.unavailable_since_s: float | None = None

    def mark_unavailable(self, error: str) -> None:
        """Mark the store as unavailable after a failed request; log the first failure."""
        if self.unavailable_since_s is None:
            self.unavailable_since_s = time.monotonic()
            log.warning("store unavailable, using last known state: error=%s", error)

    def mark_available(self) -> None:
        """Mark the store as available after a successful request; log the end of an outage."""
        if self.unavailable_since_s is not None:
            unavailable_s = time.monotonic() - self.unavailable_since_s
            log.info("store available again: unavailable_s=%.1f", unavailable_s)
            self.unavailable_since_s = None

    async def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run work until it returns; after an error, log the error and restart the work."""
        while True:
            try:
                await work()
                return
            except StoreError as error:
                self.mark_unavailable(str(error))
            except Exception:
                log.exception("state sync failed")
            await asyncio.sleep(RETRY_S)

    async def follow(self, key: str, on_value: OnValue) -> None:
        """Pass a key's value from a stale read of the nearest node, and each later value.

        Args:
            key: The key.
            on_value: Called with value and version; the value is None if the key does not exist,
                and the version is 0 if the key was never written.

        Raises:
            StoreError: The store did not serve a read or the watch.
        """
        while True:
            response = await self.client.get(key, stale=True)
            self.mark_available()
            row = response.rows[0]
            await on_value(row.value, row.version)
            with suppress(WatchCompactedError):
                async for event in self.client.watch(key, response.revision):
                    self.mark_available()
                    for change in event.changes:
                        if change.key == key:
                            await on_value(change.value, change.version)
