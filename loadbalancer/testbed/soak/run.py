"""One soak: a world of real balancers, its troubles, and what the checker says of it."""

from __future__ import annotations

import asyncio
import random
import shutil
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.testbed.soak import shim
from loadbalancer.testbed.soak.balancer_faults import BalancerFaults
from loadbalancer.testbed.soak.balancers import Balancer
from loadbalancer.testbed.soak.checker import Breach, Checker
from loadbalancer.testbed.soak.clients import Clients
from loadbalancer.testbed.soak.cold_returns import ColdReturns
from loadbalancer.testbed.soak.crowd import Crowd
from loadbalancer.testbed.soak.discovery import Discovery
from loadbalancer.testbed.soak.discovery_faults import DiscoveryFaults
from loadbalancer.testbed.soak.flood import Flooder
from loadbalancer.testbed.soak.history import History
from loadbalancer.testbed.soak.long_requests import SMALL_RECEIVE_BUFFER
from loadbalancer.testbed.soak.plan import (
    COLD_SHARE,
    DRAIN_GRACE_NS,
    FALL_MULTIPLE,
    FALL_WINDOW_NS,
    MS,
    REPEAT_WINDOW_NS,
    SECOND,
    Plan,
)
from loadbalancer.testbed.soak.replacements import Replacements
from loadbalancer.testbed.soak.slow_start_check import SlowStartRules
from loadbalancer.testbed.soak.troubles import Event, Trouble, schedule
from loadbalancer.testbed.soak.upstream_faults import UpstreamFaults
from loadbalancer.testbed.soak.upstreams import Upstream

LAG_NS = 20 * MS  # the soak is late by more: noted
UNSURE_NS = 40 * MS  # a breach near which it was later than this proves nothing
TICK_S = 0.01
WORK_S = 0.002, 0.04  # an upstream's, for one request


@dataclass(frozen=True, slots=True)
class Verdict:
    """`unsure`: breaches near which the soak itself was late; `shimmed`: system calls could be made
    to fail; `fullest_window`: the most of its limit that a cold upstream got in a window.
    """

    breaches: list[Breach]
    unsure: list[Breach]
    history: History
    shimmed: bool
    fullest_window: float = 0.0

    @property
    def counts(self) -> dict[str, int]:
        """Requests by how they ended."""
        found: dict[str, int] = {}
        for asked in self.history.asked:
            found[asked.end.name.lower()] = found.get(asked.end.name.lower(), 0) + 1
        return found


class Soak:
    """Plays one plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        rng = random.Random(plan.seed)
        self.history = History()
        self.library = shim.build(folder)
        self.discovery = Discovery(self.history, plan.discovery_delay_s, plan.first_call_s)
        self.upstreams = [
            Upstream(
                f"s-{n}",
                self.history,
                random.Random(rng.random()),
                WORK_S,
                plan.repeated,
                plan.capacity,
            )
            for n in range(plan.upstreams)
        ]
        if plan.long_messages:
            for upstream in self.upstreams:
                upstream.receive_buffer = SMALL_RECEIVE_BUFFER
        self.balancers = [
            Balancer(n, folder / f"n{n}", plan, self.history, self.discovery, self.library)
            for n in range(plan.balancers)
        ]
        self.clients = [
            Clients(self.history, b.number, b.port, plan, random.Random(rng.random()))
            for b in self.balancers
        ]
        self.crowds = [
            Crowd(b.port, plan.crowd_connections, plan.crowd) for b in self.balancers if plan.crowd
        ]
        self.flooders = [Flooder(b.port, plan.flood) for b in self.balancers if plan.flood]
        self.balancer_faults = BalancerFaults(
            self.balancers, self.clients, self.upstreams, self.history
        )
        self.cold_returns = ColdReturns(
            plan.seed, self.upstreams, self.clients, self.discovery, self.history
        )
        self.upstream_faults = UpstreamFaults(
            self.upstreams, self.discovery, self.history, self.cold_returns.lost_names
        )
        self.replacements = Replacements(
            plan.seed, self.balancers, self.balancer_faults, self.upstream_faults
        )
        self.began_s = 0.0
        self.actions: dict[Trouble, Callable[[Event], Awaitable[None]]] = {
            **self.balancer_faults.actions,
            **self.upstream_faults.actions,
            **DiscoveryFaults(self.discovery, self.history).actions,
        }

    async def play(self) -> Verdict:
        """Run from the first process's start to the last one's end."""
        self.upstream_faults.start()
        await asyncio.gather(*(self.balancer_faults.begin(b) for b in self.balancers))
        self.began_s = time.monotonic()
        running = [
            asyncio.create_task(self._watch_lag()),
            *(asyncio.create_task(clients.run()) for clients in self.clients),
            *(asyncio.create_task(crowd.run()) for crowd in self.crowds),
        ]
        for flooder in self.flooders:
            flooder.start()
        troubles = [asyncio.create_task(self._at(event)) for event in self._events()]
        if self.plan.cold_returns:
            troubles.append(asyncio.create_task(self.cold_returns.run()))
        if self.plan.replacements:
            troubles.append(asyncio.create_task(self.replacements.run(self.plan.seconds)))
        await asyncio.sleep(self.plan.seconds)
        await asyncio.gather(*troubles)
        await asyncio.gather(*(asyncio.to_thread(flooder.stop) for flooder in self.flooders))
        for task in running:
            task.cancel()
        requests = [task for c in self.clients for task in list(c.tasks)]
        await asyncio.gather(*running, *requests, return_exceptions=True)
        await asyncio.gather(*(b.now.end() for b in self.balancers if b.now is not None))
        for upstream in self.upstreams:
            upstream.die()
        self.discovery.go_down()
        return self._verdict()

    def _events(self) -> list[Event]:
        plan = self.plan
        events = schedule(plan.seed, plan.seconds, plan.overlap)
        return [e for e in events if not plan.only or e.trouble.name.lower() in plan.only]

    def _verdict(self) -> Verdict:
        checker = Checker(self.history, DRAIN_GRACE_NS, REPEAT_WINDOW_NS, self._slow_start_rules())
        found = checker.breaches()
        unsure = [b for b in found if b.lag_ns > UNSURE_NS]
        sure = [b for b in found if b not in unsure]
        return Verdict(
            sure, unsure, self.history, self.library is not None, checker.fullest_window()
        )

    def _slow_start_rules(self) -> SlowStartRules:
        return SlowStartRules(COLD_SHARE, self.plan.cold_ns, FALL_MULTIPLE, FALL_WINDOW_NS)

    async def _watch_lag(self) -> None:
        while True:
            before_ns = time.monotonic_ns()
            await asyncio.sleep(TICK_S)
            lag_ns = time.monotonic_ns() - before_ns - int(TICK_S * SECOND)
            if lag_ns > LAG_NS:
                self.history.lags.append((time.monotonic_ns(), lag_ns))

    async def _at(self, event: Event) -> None:
        await asyncio.sleep(max(0.0, self.began_s + event.at_s - time.monotonic()))
        self.history.troubles.append(
            f"{event.at_s:.2f} s: {event.trouble.value[0]}, {event.lasts_s:.2f} s"
        )
        await self.actions[event.trouble](event)


async def play(plan: Plan) -> Verdict:
    """Raises Unusable where balancers do not start."""
    folder = Path(tempfile.mkdtemp(prefix="loadbalancer-soak-"))
    try:
        return await Soak(plan, folder).play()
    finally:
        with suppress(OSError):
            shutil.rmtree(folder)
