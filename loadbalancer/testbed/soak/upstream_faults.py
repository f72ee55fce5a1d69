"""What goes wrong at the soak's upstreams."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Collection, Sequence

from loadbalancer.settings import Json
from loadbalancer.testbed.soak.discovery import Discovery
from loadbalancer.testbed.soak.history import Change, History
from loadbalancer.testbed.soak.plan import MS
from loadbalancer.testbed.soak.troubles import Event, Trouble
from loadbalancer.testbed.soak.upstreams import Mood, Upstream

MOODS = {
    Trouble.HANG: Mood.HANGS,
    Trouble.RESETS: Mood.RESETS,
    Trouble.SHEDS: Mood.SHEDS,
    Trouble.NO_LENGTH: Mood.NO_LENGTH,
    Trouble.TWICE: Mood.TWICE,
}
GONE_SHARE = 0.3  # of the drains: these go from the list at once


def row_of(upstream: Upstream, state: str) -> Json:
    """Return an upstream's entry in the list."""
    return {
        "id": upstream.name,
        "addr": upstream.address,
        "zone": "east",
        "kind": "m",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": upstream.started_ms,
    }


class UpstreamFaults:
    """Carries out the troubles of upstreams.

    Args:
        upstreams: All of them.
        discovery: Lists them.
        history: Notes their changes.
        lost: Those that are gone until another trouble starts them: nothing lists them before.
    """

    def __init__(
        self,
        upstreams: Sequence[Upstream],
        discovery: Discovery,
        history: History,
        lost: Collection[str] = (),
    ) -> None:
        self.upstreams = upstreams
        self.discovery = discovery
        self.history = history
        self.draining: set[str] = set()
        self.lost = lost
        self.actions: dict[Trouble, Callable[[Event], Awaitable[None]]] = {
            Trouble.FULL_QUEUE: self._full_queue,
            Trouble.CRASH: self._crash,
            Trouble.DRAIN: self._drain,
            **dict.fromkeys(MOODS, self._mood),
        }

    def start(self) -> None:
        """Start all upstreams, and list them."""
        for upstream in self.upstreams:
            upstream.start()
            self.discovery.change(row_of(upstream, "Ready"))

    def _upstream(self, event: Event) -> Upstream:
        return self.upstreams[int(event.draw * len(self.upstreams))]

    async def _mood(self, event: Event) -> None:
        upstream = self._upstream(event)
        upstream.mood = MOODS[event.trouble]
        await asyncio.sleep(event.lasts_s)
        upstream.mood = Mood.WELL

    async def _full_queue(self, event: Event) -> None:
        upstream = self._upstream(event)
        upstream.accept(False)
        await asyncio.sleep(event.lasts_s)
        upstream.accept(True)

    async def _crash(self, event: Event) -> None:
        upstream = self._upstream(event)
        if upstream.listener is None or upstream.name in self.draining:
            return
        upstream.die()
        await asyncio.sleep(event.lasts_s)
        if upstream.listener is not None or upstream.name in self.lost:
            return  # another trouble has started it, or will
        upstream.started_ms = time.time_ns() // MS
        upstream.start()
        if upstream.name not in self.draining:  # else it comes back as it was: the list says so
            self.discovery.change(row_of(upstream, "Ready"))

    async def _drain(self, event: Event) -> None:
        """It goes on answering: nothing but the list tells."""
        state = "Gone" if event.draw * 1000 % 1 < GONE_SHARE else "Terminating"
        await self.drain(self._upstream(event), state, event.lasts_s)

    async def drain(self, upstream: Upstream, state: str, lasts_s: float) -> None:
        """List an upstream in this state for a time, unless too many are, or it is lost."""
        if upstream.name in self.draining or len(self.draining) > len(self.upstreams) // 2:
            return
        if upstream.name in self.lost:
            return
        self.draining.add(upstream.name)
        change = Change(upstream.name, 0, time.monotonic_ns())
        change.version = self.discovery.change(row_of(upstream, state))
        self.history.changes.append(change)
        await asyncio.sleep(lasts_s)
        self.draining.discard(upstream.name)
        if not change.until_ns and upstream.name not in self.lost:
            change.until_ns = time.monotonic_ns()
            self.discovery.change(row_of(upstream, "Ready"))
