"""What goes wrong at the soak's balancers: signals, replacements, kills, the machine, operators."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from enum import Enum

from loadbalancer.testbed.soak.balancers import READY_S, TAKE_OVER_S, Balancer, Running
from loadbalancer.testbed.soak.clients import Clients
from loadbalancer.testbed.soak.history import Disabled, History
from loadbalancer.testbed.soak.plan import SECOND
from loadbalancer.testbed.soak.troubles import Event, Trouble
from loadbalancer.testbed.soak.upstreams import Upstream
from loadbalancer.testbed.topology import Unusable

CLOCK_STEPS_S = -3600, -5, 5, 3600
FAILING_CALLS = 0.02  # the share of the system calls
# For so long behind SIGTERM new connections keep coming, and so long behind the end they come anew.
NEW_CONNECTIONS_S = 0.2, 0.4
DOWN_S = 0.05
RELOADS = 3  # of a series
SERIES_GAP_S = 0.001, 0.01
REPEATED_TERM_GAP_S = 0.05
NEW_DIES_SHARE = 0.5  # of the deaths at a hand-over: the new process, else the old one
EARLY_TERM_S = 0.0, 0.5  # behind the start of a process: before it listens, mostly


class Series(Enum):
    """What is sent around a SIGTERM, within milliseconds."""

    RELOADS_BEFORE = "several reloads, then SIGTERM"
    REPEATED = "SIGTERM again and again"
    RELOAD_BEHIND = "SIGTERM, then a reload"


SERIES = {
    Trouble.RELOADS_THEN_TERM: Series.RELOADS_BEFORE,
    Trouble.TERM_REPEATED: Series.REPEATED,
    Trouble.RELOAD_AFTER_TERM: Series.RELOAD_BEHIND,
}


class BalancerFaults:
    """Carries out the troubles of balancers. `Balancer.turn` keeps those of one balancer apart."""

    def __init__(
        self,
        balancers: Sequence[Balancer],
        clients: Sequence[Clients],
        upstreams: Sequence[Upstream],
        history: History,
    ) -> None:
        self.balancers = balancers
        self.clients = clients
        self.upstreams = upstreams
        self.history = history
        self.actions: dict[Trouble, Callable[[Event], Awaitable[None]]] = {
            Trouble.RESTART: self._restart,
            Trouble.REPLACE: self._replace,
            Trouble.KILL: self._kill,
            Trouble.MOVE: self._move,
            Trouble.TERM_AT_START: self._term_at_start,
            Trouble.REPLACE_IN_RELOAD: self._replace_in_reload,
            Trouble.BOTH_TOLD: self._both_told,
            Trouble.DEATH_AT_HANDOVER: self._death_at_handover,
            Trouble.HOLD_UP: self._hold_up,
            Trouble.CLOCK: self._clock,
            Trouble.CALLS_FAIL: self._calls_fail,
            Trouble.DISABLE: self._disable,
            **dict.fromkeys(SERIES, self._series),
        }

    def _balancer(self, event: Event) -> Balancer:
        return self.balancers[int(event.draw * len(self.balancers))]

    async def begin(self, balancer: Balancer) -> None:
        """Start a balancer's process, and send clients there once it is ready.

        Raises:
            Unusable: It is not ready in its time.
        """
        balancer.now = await balancer.start()
        if not await balancer.now.ready(READY_S):
            raise Unusable(
                f"balancer {balancer.number} is not ready: {balancer.now.record.log[-500:]}"
            )
        self.clients[balancer.number].open = True

    # ---- the end of a process --------------------------------------------------------------------

    async def _restart(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            await self._anew(event, balancer, Running.end)

    async def _kill(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            await self._anew(event, balancer, Running.kill)

    async def _series(self, event: Event) -> None:
        balancer = self._balancer(event)
        series = SERIES[event.trouble]
        async with balancer.turn:
            await self._anew(event, balancer, lambda running: self._end(balancer, running, series))

    async def _end(self, balancer: Balancer, running: Running, series: Series) -> None:
        """Tell a process to end, with other signals around."""
        rng = random.Random(running.record.number)
        if series is Series.RELOADS_BEFORE:
            for _ in range(RELOADS):
                await balancer.move()
                await asyncio.sleep(rng.uniform(*SERIES_GAP_S))
        ended = asyncio.create_task(running.end())
        while series is Series.REPEATED and not ended.done():
            await asyncio.sleep(REPEATED_TERM_GAP_S)
            running.signal(signal.SIGTERM)
        if series is Series.RELOAD_BEHIND:
            await asyncio.sleep(rng.uniform(*SERIES_GAP_S))
            await balancer.move()
        await ended

    async def _anew(
        self, event: Event, balancer: Balancer, end: Callable[[Running], Awaitable[None]]
    ) -> None:
        """End a balancer's process and start another.

        Its clients go on using the connections that they have; new ones come for a while.
        """
        assert balancer.now is not None
        clients = self.clients[balancer.number]
        closes_s = random.Random(event.draw).uniform(*NEW_CONNECTIONS_S)
        closing = asyncio.get_running_loop().call_later(closes_s, clients.stop_connecting)
        await end(balancer.now)
        closing.cancel()
        clients.stop_connecting()
        await asyncio.sleep(DOWN_S)
        await self.begin(balancer)

    # ---- two processes ---------------------------------------------------------------------------

    async def _replace(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            await self._take_over(balancer)

    async def _replace_in_reload(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            await balancer.move()
            await self._take_over(balancer)

    async def second(self, balancer: Balancer) -> Running | None:
        """Start a second process; None where it was not ready in its time, which is a breach."""
        second = await balancer.start()
        if await second.ready(TAKE_OVER_S):
            return second
        second.record.log += f"\nERROR not ready within {TAKE_OVER_S} s\n"
        await second.kill()
        return None

    async def _take_over(self, balancer: Balancer) -> None:
        """Start a second process, and tell the first one to end."""
        old = balancer.now
        new = await self.second(balancer)
        if new is not None and old is not None:
            balancer.now = new
            await old.end()

    async def _both_told(self, event: Event) -> None:
        """Both processes of a replacement are told to end, the new one a little later."""
        balancer = self._balancer(event)
        async with balancer.turn:
            old = balancer.now
            new = await self.second(balancer)
            if new is None or old is None:
                return
            balancer.now = new
            first_end = asyncio.create_task(old.end())
            await asyncio.sleep(random.Random(event.draw).uniform(*SERIES_GAP_S))
            await self._anew(event, balancer, Running.end)
            await first_end

    async def _death_at_handover(self, event: Event) -> None:
        """One of the two processes is killed in the moment in which the new one is ready."""
        balancer = self._balancer(event)
        rng = random.Random(event.draw)
        async with balancer.turn:
            old = balancer.now
            new = await self.second(balancer)
            if new is None or old is None:
                return
            await asyncio.sleep(rng.uniform(*SERIES_GAP_S))
            if rng.random() < NEW_DIES_SHARE:
                await new.kill()
                return
            balancer.now = new
            old_end = asyncio.create_task(old.end())
            await asyncio.sleep(rng.uniform(*SERIES_GAP_S))
            await old.kill()
            await old_end

    async def _term_at_start(self, event: Event) -> None:
        """A second process is told to end before it listens; the first one goes on."""
        balancer = self._balancer(event)
        async with balancer.turn:
            new = await balancer.start()
            await asyncio.sleep(random.Random(event.draw).uniform(*EARLY_TERM_S))
            await new.end()

    async def _move(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            await balancer.move()

    # ---- the machine, operators ------------------------------------------------------------------

    async def _hold_up(self, event: Event) -> None:
        balancer = self._balancer(event)
        running = balancer.now
        if running is not None:
            since = time.monotonic_ns()
            running.signal(signal.SIGSTOP)
            await asyncio.sleep(event.lasts_s)
            running.signal(signal.SIGCONT)
            self.history.stops.append((balancer.number, since, time.monotonic_ns()))

    async def _clock(self, event: Event) -> None:
        control = self._balancer(event).control
        control.set(offset_ns=random.Random(event.draw).choice(CLOCK_STEPS_S) * SECOND)
        await asyncio.sleep(event.lasts_s)
        control.set(offset_ns=0)

    async def _calls_fail(self, event: Event) -> None:
        control = self._balancer(event).control
        control.set(part=FAILING_CALLS)
        await asyncio.sleep(event.lasts_s)
        control.set(part=0.0)

    def _end_bans(self, enabled: Disabled) -> None:
        """Note that an upstream is enabled: one call does that, however often it was disabled."""
        now_ns = time.monotonic_ns()
        for record in self.history.disabled:
            is_same = (record.balancer, record.upstream) == (enabled.balancer, enabled.upstream)
            if is_same and not record.until_ns:
                record.until_ns = now_ns

    async def _disable(self, event: Event) -> None:
        balancer = self._balancer(event)
        upstream = self.upstreams[int(event.draw * 7919) % len(self.upstreams)]
        async with balancer.turn:
            assert balancer.now is not None
            if await balancer.now.call("POST", f"/-/upstreams/{upstream.name}/disable") != 200:
                return
            record = Disabled(balancer.number, upstream.name, time.monotonic_ns())
            self.history.disabled.append(record)
        await asyncio.sleep(event.lasts_s)
        async with balancer.turn:
            assert balancer.now is not None
            self._end_bans(record)
            for _ in range(20):
                if await balancer.now.call("POST", f"/-/upstreams/{upstream.name}/enable") == 200:
                    return
                await asyncio.sleep(0.1)
