"""What goes wrong at the soak's discovery."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from loadbalancer.testbed.soak.discovery import Discovery
from loadbalancer.testbed.soak.history import History
from loadbalancer.testbed.soak.plan import SECOND
from loadbalancer.testbed.soak.troubles import Event, Trouble

SLOW_ANSWER_S = 0.7
LATE_ANSWER_S = 1.3, 1.8  # later than what a poll may take in most programs, and no outage


class DiscoveryFaults:
    """Carries out the troubles of discovery."""

    def __init__(self, discovery: Discovery, history: History) -> None:
        self.discovery = discovery
        self.history = history
        self.actions: dict[Trouble, Callable[[Event], Awaitable[None]]] = {
            Trouble.LISTS_SILENT: self._silent,
            Trouble.LISTS_BUSY: self._busy,
            Trouble.LISTS_DOWN: self._down,
            Trouble.LISTS_SLOW: self._slow,
            Trouble.LISTS_LATE: self._late,
        }

    async def _silent(self, event: Event) -> None:  # noqa: ARG002 (all watches at once)
        self.discovery.fall_silent()

    async def _outage(self, event: Event) -> None:
        begun = time.monotonic_ns()
        record = (begun, begun + int(event.lasts_s * SECOND) + SECOND // 2)
        self.history.outages.append(record)
        await asyncio.sleep(event.lasts_s)

    async def _busy(self, event: Event) -> None:
        self.discovery.busy = True
        await self._outage(event)
        self.discovery.busy = False

    async def _down(self, event: Event) -> None:
        if not self.discovery.down:
            self.discovery.go_down()
            await self._outage(event)
            await self.discovery.come_back()

    async def _slow(self, event: Event) -> None:
        self._answer_later_by(SLOW_ANSWER_S)
        await self._outage(event)
        self._answer_later_by(0.0)

    async def _late(self, event: Event) -> None:
        """Answer everything late: a change is known all the same within its term."""
        self._answer_later_by(random.Random(event.draw).uniform(*LATE_ANSWER_S))
        await asyncio.sleep(event.lasts_s)
        self._answer_later_by(0.0)

    def _answer_later_by(self, seconds: float) -> None:
        discovery = self.discovery
        discovery.delay_s = max(discovery.usual_delay_s, seconds)
