"""Follows the settings document in the store, and reloads the balancer after each change.

config/DOCUMENT            the operators' settings in TOML
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from loadbalancer.daemon.store_monitor import StoreMonitor
from loadbalancer.proxy.atomic_files import replace_file
from loadbalancer.store.documents import PREFIX

log = logging.getLogger(__name__)

WRITE_RETRY_S = 0.5
MAX_WRITE_RETRY_S = 5.0


class SettingsSync:
    """Keeps the local copy of a document up to date."""

    def __init__(
        self, monitor: StoreMonitor, document: str, copy_path: Path, reload: Callable[[], None]
    ) -> None:
        """Create the sync.

        Args:
            monitor: Client of the store.
            document: The document's name.
            copy_path: Path of the local copy.
            reload: Called after the local copy changed; reads the local copy.
        """
        self.monitor = monitor
        self.document = document
        self.copy_path = copy_path
        self.reload = reload

    async def follow(self) -> None:
        """Copy each version of the document to the local copy.

        Raises:
            StoreError: The store did not serve a read or the watch.
        """
        await self.monitor.follow(PREFIX + self.document, self._receive)

    async def _receive(self, value: bytes | None, version: int) -> None:
        if value is None or (self.copy_path.exists() and self.copy_path.read_bytes() == value):
            return
        await write_copy(self.copy_path, value)
        log.info("settings document changed: document=%s version=%d", self.document, version)
        self.reload()


async def write_copy(path: Path, value: bytes) -> None:
    """Write the local copy, and retry until that succeeds, because the reload reads it."""
    retry_s = WRITE_RETRY_S
    while True:
        try:
            replace_file(path, value)
            return
        except OSError as error:
            log.error("settings copy not written, retrying: path=%s error=%s", path, error)
        await asyncio.sleep(retry_s)
        retry_s = min(2 * retry_s, MAX_WRITE_RETRY_S)
