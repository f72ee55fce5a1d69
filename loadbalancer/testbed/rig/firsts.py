"""How long a process takes from its start to the first thing that it is there for: a balancer to
the first request that a box answered through it, a node to its first answer.
"""

from __future__ import annotations

import asyncio
import time

from loadbalancer.store.client import Client
from loadbalancer.testbed.results import spread
from loadbalancer.testbed.rig.world import World

PATIENCE_S = 30.0
AGAIN_S = 0.002
TOGETHER_S = 1.0  # nodes that began so close to when a balancer did: all began at once


class Firsts:
    """`ms`: by what was started, and beside what, each time that it took."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.ms: dict[str, list[float]] = {}

    def kind(self, name: str, began: float) -> str:
        if name.startswith("node"):
            return "node to first answer"
        nodes = [p for n, p in self.world.processes.items() if n.startswith("node")]
        if not any(p.up for p in nodes):
            return "balancer to first routed, no store"
        if all(abs(p.began - began) < TOGETHER_S for p in nodes):
            return "balancer to first routed, all at once"
        return "balancer to first routed"

    async def watch(self, name: str) -> None:
        """Until the process that was started just now has answered, or another took its place."""
        process = self.world.processes[name]
        began = process.began
        until = began + PATIENCE_S
        while time.monotonic() < until and process.began == began:
            if await (
                self._answered(name) if name.startswith("node") else self.world.clients.routed(name)
            ):
                self.ms.setdefault(self.kind(name, began), []).append(
                    1000 * (time.monotonic() - began)
                )
                return
            await asyncio.sleep(AGAIN_S)

    async def _answered(self, name: str) -> bool:
        one = Client([f"127.0.0.1:{self.world.ports[name]}"], deadline_s=PATIENCE_S)
        try:
            await one.get("list/first", stale=True)
            return True
        finally:
            await one.close()

    def figures(self) -> dict[str, float]:
        found: dict[str, float] = {}
        for kind, ms in sorted(self.ms.items()):
            middle, _, most = spread(ms)
            found |= {f"{kind} ms": round(middle), f"{kind}, at most ms": round(most)}
        return found
