"""Upstreams that are lost and come back cold under a burst, once at a time of the soak's own."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from enum import Enum
from typing import Final

from loadbalancer.testbed.soak.capacity import Capacity
from loadbalancer.testbed.soak.clients import Clients
from loadbalancer.testbed.soak.discovery import Discovery
from loadbalancer.testbed.soak.history import Change, ColdStart, History
from loadbalancer.testbed.soak.plan import MS
from loadbalancer.testbed.soak.upstream_faults import row_of
from loadbalancer.testbed.soak.upstreams import Upstream

LOST_AT_S: Final = 4.0
LOST_S: Final = 3.6
LISTED_AFTER_S: Final = 0.6  # after the start
LOST_SHARE: Final = 0.25, 0.5  # of the upstreams
BURST: Final = 4.0, 9.0  # times the rate of before
BURST_BEFORE_RETURN_S: Final = 0.0, 3.0
STAGGER_S: Final = 0.4
SECOND_LOSS_AFTER_S: Final = 1.5
SECOND_LOST_S: Final = 0.5


class Pattern(Enum):
    """How the lost upstreams come back."""

    AT_ONCE = "all at once"
    ONE_AFTER_ANOTHER = "one after another"
    TWICE = "all at once, and again within the warm-up"


class ColdReturns:
    """Loses upstreams and starts them again, while the clients' rate rises.

    Attributes:
        lost_names: The upstreams that are lost now.
    """

    def __init__(
        self,
        seed: int,
        upstreams: Sequence[Upstream],
        clients: Sequence[Clients],
        discovery: Discovery,
        history: History,
    ) -> None:
        self.rng = random.Random(f"{seed}/cold returns")
        self.clients = clients
        self.discovery = discovery
        self.history = history
        self.pattern = self.rng.choice(list(Pattern))
        count = max(1, round(self.rng.uniform(*LOST_SHARE) * len(upstreams)))
        self.lost = self.rng.sample(list(upstreams), count)
        self.burst = self.rng.uniform(*BURST)
        self.lost_names: set[str] = set()

    async def run(self) -> None:
        """Lose them, begin the burst, and start them again."""
        await asyncio.sleep(LOST_AT_S)
        self._lose(self.lost)
        before_s = self.rng.uniform(*BURST_BEFORE_RETURN_S)
        await asyncio.sleep(LOST_S - before_s)
        for clients in self.clients:
            clients.rate *= self.burst
        self.history.troubles.append(
            f"{len(self.lost)} upstreams come back cold {self.pattern.value}, under a burst of "
            f"{self.burst:.1f}"
        )
        await asyncio.sleep(before_s)
        await self._return()

    async def _return(self) -> None:
        if self.pattern is Pattern.ONE_AFTER_ANOTHER:
            for upstream in self.lost:
                await self._start([upstream])
                await asyncio.sleep(STAGGER_S)
            return
        await self._start(self.lost)
        if self.pattern is Pattern.TWICE:
            await asyncio.sleep(SECOND_LOSS_AFTER_S)
            self._lose(self.lost)
            await asyncio.sleep(SECOND_LOST_S)
            await self._start(self.lost)

    def _lose(self, upstreams: Sequence[Upstream]) -> None:
        for upstream in upstreams:
            upstream.die()
            self.lost_names.add(upstream.name)
        version = self.discovery.change_all([row_of(u, "Gone") for u in upstreams])
        now_ns = time.monotonic_ns()
        self.history.changes += [Change(u.name, version, now_ns) for u in upstreams]

    async def _start(self, upstreams: Sequence[Upstream]) -> None:
        """Start upstreams, and list them a little later, in one change."""
        started_ns = time.monotonic_ns()
        for upstream in upstreams:
            upstream.die()  # another trouble may have started it
            upstream.started_ms = time.time_ns() // MS
            upstream.start()
        await asyncio.sleep(LISTED_AFTER_S)
        listed_ns = time.monotonic_ns()  # the first balancer may send before the last is told
        version = self.discovery.change_all([row_of(u, "Ready") for u in upstreams])
        names = {upstream.name for upstream in upstreams}
        self.lost_names -= names
        for change in self.history.changes:
            if change.upstream in names and not change.until_ns:
                change.until_ns = listed_ns
        for upstream in upstreams:
            assert isinstance(upstream.capacity, Capacity)
            self.history.cold_starts.append(
                ColdStart(
                    upstream.process,
                    started_ns,
                    upstream.capacity.warm_per_s,
                    Change(upstream.name, version, listed_ns),
                )
            )
