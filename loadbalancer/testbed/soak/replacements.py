"""Replacements of all balancers together, in series, while an upstream begins to drain."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from contextlib import AsyncExitStack
from typing import Final

from loadbalancer.testbed.soak.balancer_faults import BalancerFaults
from loadbalancer.testbed.soak.balancers import Balancer, Running
from loadbalancer.testbed.soak.upstream_faults import UpstreamFaults

FIRST_AT_S: Final = 1.5
GAP_S: Final = 0.05, 5.0  # from the end of the old processes to the next replacement
DRAIN_AFTER_S: Final = 0.0, 0.2  # after the last new process is ready
TERM_AFTER_S: Final = 0.0, 0.25  # after the drain
DRAIN_LASTS_S: Final = 3.0, 6.0


class Replacements:
    """Replaces the processes of all balancers at the same time, again and again."""

    def __init__(
        self,
        seed: int,
        balancers: Sequence[Balancer],
        balancer_faults: BalancerFaults,
        upstream_faults: UpstreamFaults,
    ) -> None:
        self.rng = random.Random(f"{seed}/replacements")
        self.balancers = balancers
        self.balancer_faults = balancer_faults
        self.upstream_faults = upstream_faults
        self.drains: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Replace processes for this time, and end what has begun."""
        end_s = asyncio.get_running_loop().time() + seconds
        await asyncio.sleep(FIRST_AT_S)
        while asyncio.get_running_loop().time() < end_s - DRAIN_LASTS_S[0]:
            await self._replace_all()
            await asyncio.sleep(self.rng.uniform(*GAP_S))
        await asyncio.gather(*self.drains)

    async def _replace_all(self) -> None:
        async with AsyncExitStack() as turns:
            for balancer in self.balancers:
                await turns.enter_async_context(balancer.turn)
            new = await asyncio.gather(*(self.balancer_faults.second(b) for b in self.balancers))
            await asyncio.sleep(self.rng.uniform(*DRAIN_AFTER_S))
            self._drain()
            await asyncio.sleep(self.rng.uniform(*TERM_AFTER_S))
            pairs = zip(self.balancers, new, strict=True)
            await asyncio.gather(*(self._end_old(balancer, second) for balancer, second in pairs))

    @staticmethod
    async def _end_old(balancer: Balancer, new: Running | None) -> None:
        old = balancer.now
        if new is not None and old is not None:
            balancer.now = new
            await old.end()

    def _drain(self) -> None:
        upstream = self.rng.choice(self.upstream_faults.upstreams)
        lasts_s = self.rng.uniform(*DRAIN_LASTS_S)
        task = asyncio.create_task(self.upstream_faults.drain(upstream, "Terminating", lasts_s))
        self.drains.add(task)
        task.add_done_callback(self.drains.discard)
