"""Reloads the configuration of a running balancer, on SIGHUP or for the store."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Callable

from loadbalancer.proxy.configuration import Config
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.fixed_list import FixedList

log = logging.getLogger(__name__)


class Reloader:
    """Reads the configuration in a thread, and applies the keys that may change at run time.

    A configuration that is not valid changes nothing.
    """

    APPLIED = frozenset({"discovery", "fixed"})
    # Used at startup only; their values may differ each time the file is read.
    AT_START = frozenset({"seed", "known"})

    def __init__(
        self, config: Config, discovery: Discovery | FixedList, read: Callable[[], Config]
    ) -> None:
        self.config = config
        self.discovery = discovery
        self.read = read
        self._is_pending = False
        self._task: asyncio.Task[None] | None = None

    def reload(self) -> None:
        """Reload; if a read is in progress, read again, as the file may have changed."""
        self._is_pending = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        while self._is_pending:
            self._is_pending = False
            try:
                self._apply(await asyncio.to_thread(self.read))
            except Exception as error:  # noqa: BLE001 (keeps the current configuration)
                log.error("configuration not reloaded: error=%s", error)

    def _apply(self, new: Config) -> None:
        changed = {
            field.name
            for field in dataclasses.fields(Config)
            if getattr(new, field.name) != getattr(self.config, field.name)
        } - self.AT_START
        not_applied = sorted(changed - self.APPLIED)
        if not_applied:
            log.warning(
                "reload: a change of these needs a restart: keys=%s", ", ".join(not_applied)
            )
        if (new.fixed is None) is not (self.config.fixed is None):
            log.warning("reload: a change between a fixed list and discovery needs a restart")
            return
        if isinstance(self.discovery, FixedList):
            assert new.fixed is not None
            self.discovery.replace(new.fixed)
            self.config = dataclasses.replace(self.config, fixed=new.fixed)
            log.info("configuration reloaded: upstreams=%d", len(new.fixed["servers"]))
            return
        if "discovery" in changed:
            self.discovery.change_address(new.discovery)
            self.config = dataclasses.replace(self.config, discovery=new.discovery)
        log.info("configuration reloaded: discovery=%s:%d", *new.discovery)
