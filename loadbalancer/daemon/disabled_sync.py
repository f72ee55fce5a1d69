"""Synchronization of the set of disabled upstreams across all balancers of a service.

disabled/SERVICE           the upstreams' names, a JSON array
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from loadbalancer.daemon.store_monitor import RETRY_S, StoreMonitor
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.store.errors import ConflictError, StoreError

log = logging.getLogger(__name__)

EMPTY_SET = b"[]"


@dataclass(frozen=True, slots=True)
class Change:
    """An operator's change of one upstream, made on this balancer."""

    name: str
    is_disabled: bool


class DisabledSync:
    """Merges this balancer's changes into the stored set, and applies the stored set locally."""

    def __init__(
        self,
        monitor: StoreMonitor,
        disabled: DisabledUpstreams,
        service: str,
        on_version: Callable[[int], None],
    ) -> None:
        """Subscribe to the operators' changes.

        Args:
            monitor: Client of the store.
            disabled: This balancer's set.
            service: The service's name.
            on_version: Called with the version of each stored set after it is applied.
        """
        self.monitor = monitor
        self.disabled = disabled
        self.key = f"disabled/{service}"
        self.on_version = on_version
        self.pending: list[Change] = []  # local changes that are not yet stored
        self.has_pending = asyncio.Event()
        disabled.on_change(self._on_local_change)

    def _on_local_change(self, name: str, on: bool) -> None:
        self.pending.append(Change(name, on))
        self.has_pending.set()

    def _with_pending(self, names: frozenset[str]) -> frozenset[str]:
        for change in self.pending:
            names = names | {change.name} if change.is_disabled else names - {change.name}
        return names

    async def follow(self) -> None:
        """Apply each stored set.

        Raises:
            StoreError: The store did not serve a read or the watch.
        """
        await self.monitor.follow(self.key, self._receive)

    async def _receive(self, value: bytes | None, version: int) -> None:
        if value is not None or version:
            await self.disabled.adopt(self._with_pending(_decode_names(value)))
            self.on_version(version)
        elif self.disabled.names and not self.pending:
            # The store never had a set: this balancer's set becomes the first one.
            self.pending = [Change(name, True) for name in sorted(self.disabled.names)]
            self.has_pending.set()

    async def publish(self) -> None:
        """Merge each local change into the stored set."""
        while True:
            await self.has_pending.wait()
            self.has_pending.clear()
            while self.pending:
                try:
                    await self._publish_pending()
                except ConflictError:
                    continue
                except StoreError as error:
                    self.monitor.mark_unavailable(str(error))
                    await asyncio.sleep(RETRY_S)

    async def _publish_pending(self) -> None:
        count = len(self.pending)
        client = self.monitor.client
        row = (await client.get(self.key)).rows[0]
        names = self._with_pending(_decode_names(row.value))
        await client.put(self.key, msgspec.json.encode(sorted(names)), row.version)
        del self.pending[:count]


def _decode_names(value: bytes | None) -> frozenset[str]:
    try:
        return frozenset(msgspec.json.decode(value or EMPTY_SET, type=list[str]))
    except ValueError as error:
        log.error("stored set of disabled upstreams not readable: error=%s", error)
        return frozenset()
