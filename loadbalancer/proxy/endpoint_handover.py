"""Hands the endpoint list over between the processes of one balancer, in both directions.

What discovery notified one process of binds the other too. So each process shares its list while
two run, and uses the other's if it is newer. A process that is told to end goes on watching
discovery until the other one has been answered itself.
"""

from __future__ import annotations

import asyncio
import time

from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.process_handover import POLL_S, ProcessRegistry
from loadbalancer.proxy.shared_endpoints import SharedEndpoints


class EndpointHandover:
    """Shares the list of a process's discovery.

    Args:
        registry: The processes of this balancer.
        discovery: Provides the list, and uses that of another process.
    """

    def __init__(self, registry: ProcessRegistry, discovery: Discovery) -> None:
        self.registry = registry
        self.discovery = discovery
        self.files = SharedEndpoints(registry)

    def start(self) -> None:
        """Use the other process's list, and share this one's from now on."""
        self.files.remove_leftovers()
        self.discovery.on_change = self.publish
        self.check()
        self.registry.on_check(self.check)

    def publish(self) -> None:
        """Share the current list, if another process runs."""
        if not self.registry.is_alone:
            self.files.publish(self.discovery.shared_list())

    def check(self) -> None:
        """Share the current list, and use the others' if they have changed."""
        self.publish()
        self.files.read()
        self.discovery.use_shared_lists(self.files.all)

    async def wait_until_others_are_answered(self, deadline_ns: int) -> None:
        """Wait until discovery has answered the other process, at most until this time.

        A process that shares no list is not waited for.
        """
        deadline_s = deadline_ns / NS_PER_S
        while self._is_awaited() and time.monotonic() < deadline_s:  # noqa: ASYNC110 (a file has no event)
            await asyncio.sleep(POLL_S)

    def _is_awaited(self) -> bool:
        own = self.discovery.shared_list()
        others = self.files.running
        return own.is_answered and any(
            other.source == own.source and not other.is_answered for other in others
        )

    def close(self) -> None:
        """Close discovery, and share the last list that it provided."""
        last = self.discovery.shared_list()
        self.discovery.on_change = _do_nothing
        self.discovery.close()
        self.registry.check()
        self.files.publish(last.ended(time.monotonic()))
        self.files.close()


def _do_nothing() -> None:
    """Ignore a change of the list."""
