"""Reload of the configuration in a running balancer, at SIGHUP or by the store."""

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
    """Reads the configuration again, off the loop, and applies what may change while running.

    A configuration that can't be used leaves everything as it was.
    """

    APPLIED = frozenset({"discovery", "fixed"})
    # These matter to a start only, and may differ at each reading.
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
        """Reload once more, also where the file is being read: it may have been replaced."""
        self._is_pending = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        while self._is_pending:
            self._is_pending = False
            try:
                self._apply(await asyncio.to_thread(self.read))
            except Exception as error:  # noqa: BLE001 (the balancer goes on as it was configured)
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
