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

from loadbalancer.settings import Json
from loadbalancer.testbed.soak import shim
from loadbalancer.testbed.soak.balancers import READY_S, TAKE_OVER_S, Balancer, Running
from loadbalancer.testbed.soak.checker import Breach, Checker
from loadbalancer.testbed.soak.clients import Clients
from loadbalancer.testbed.soak.discovery import Discovery
from loadbalancer.testbed.soak.history import Change, Disabled, History
from loadbalancer.testbed.soak.troubles import Event, Trouble, schedule
from loadbalancer.testbed.soak.upstreams import Mood, Upstream
from loadbalancer.testbed.topology import Unusable

SECOND, MS = 1_000_000_000, 1_000_000
GRACE_NS, WINDOW_NS = 500 * MS, 2 * SECOND
LAG_NS = 20 * MS  # the soak is late by more: noted
UNSURE_NS = 40 * MS  # a breach near which it was later than this proves nothing
TICK_S = 0.01
STEPS_S = -3600, -5, 5, 3600
FAILING = 0.02  # part of the system calls
MOODS = {
    Trouble.HANG: Mood.HANGS,
    Trouble.RESETS: Mood.RESETS,
    Trouble.SHEDS: Mood.SHEDS,
    Trouble.NO_LENGTH: Mood.NO_LENGTH,
    Trouble.TWICE: Mood.TWICE,
}


@dataclass(frozen=True, slots=True)
class Plan:
    """`program`: the folder that holds the package, plain or compiled; `rate`: requests a second of
    each balancer; `only`: troubles by name, empty: all.
    """

    seed: int
    seconds: float
    balancers: int
    upstreams: int
    rate: float
    program: Path
    push: bool = True
    overlap: float = 2.5
    only: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Verdict:
    """`unsure`: breaches near which the soak itself was late; `shimmed`: system calls could be made
    to fail.
    """

    breaches: list[Breach]
    unsure: list[Breach]
    history: History
    shimmed: bool

    @property
    def counts(self) -> dict[str, int]:
        """Requests by how they ended."""
        found: dict[str, int] = {}
        for asked in self.history.asked:
            found[asked.end.name.lower()] = found.get(asked.end.name.lower(), 0) + 1
        return found


def settings(plan: Plan, number: int) -> Json:
    """A balancer's, in the platform's form. Nothing in them is of one deployment."""

    def row(name: str, repeat: str) -> Json:
        return {
            "name": name,
            "repeat": repeat,
            "aim_ns": SECOND,
            "hard_limit_ns": 2_500 * MS,
            "worth": 1.0,
            "window_ns": WINDOW_NS,
            "dedup_scope": "all",
        }

    profiles = [
        row("read", "read_like"),
        row("pay", "non_idempotent"),
        row("keyed", "idempotency_key"),
    ]
    return {
        "profiles": profiles,
        "realms": [{"name": "ash", "share": 1.0, "quota_per_s": 1000.0}],
        "limits": {
            "max_open": 2000,
            "send_cap": 3,
            "may_cancel": True,
            "second_copies": True,
            "connect_timeout_ns": 700 * MS,
            "conn_idle_ns": 8 * SECOND,
            "retry_after": True,
            "max_retry_after_ns": SECOND,
            "probes": False,
            "peers": False,
        },
        "rules": {
            "stop_sending_within_ns": GRACE_NS,
            "ask_within_ns": 10 * SECOND,
            "cold_from": 0.3,
            "cold_ns": 4 * SECOND,
            "fall_multiple": 3.0,
            "overload_for_ns": 1_500 * MS,
        },
        "registry_mode": "push" if plan.push else "ask",
        "me": number,
        "replicas_of_me": plan.balancers,
        "locality": "east",
        "zones": ["east"],
        "kinds": ["m"],
    }


class Soak:
    """Plays one plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.history = History()
        self.library = shim.build(folder)
        self.discovery = Discovery(self.history)
        self.upstreams = [
            Upstream(f"s-{n}", self.history, random.Random(self.rng.random()), (0.002, 0.04))
            for n in range(plan.upstreams)
        ]
        self.balancers = [
            Balancer(
                n,
                folder / f"n{n}",
                settings(plan, n),
                self.history,
                self.discovery,
                plan.program,
                self.library,
            )
            for n in range(plan.balancers)
        ]
        self.clients = [
            Clients(self.history, b.number, b.port, plan.rate, random.Random(self.rng.random()))
            for b in self.balancers
        ]
        self.draining: set[str] = set()
        self.began_s = 0.0
        self.does: dict[Trouble, Callable[[Event], Awaitable[None]]] = {
            Trouble.RESTART: self._restart,
            Trouble.REPLACE: self._replace,
            Trouble.KILL: self._kill,
            Trouble.MOVE: self._move,
            Trouble.HOLD_UP: self._hold_up,
            Trouble.CLOCK: self._clock,
            Trouble.CALLS_FAIL: self._calls_fail,
            Trouble.DISABLE: self._disable,
            Trouble.FULL_QUEUE: self._full_queue,
            Trouble.CRASH: self._crash,
            Trouble.DRAIN: self._drain,
            Trouble.LISTS_SILENT: self._silent,
            Trouble.LISTS_BUSY: self._busy,
            Trouble.LISTS_DOWN: self._down,
            Trouble.LISTS_SLOW: self._slow,
            **dict.fromkeys(MOODS, self._mood),
        }

    async def play(self) -> Verdict:
        """From the first process to the last one's end."""
        for upstream in self.upstreams:
            upstream.start()
            self.discovery.change(self._row(upstream, "Ready"))
        await asyncio.gather(*(self._begin(b) for b in self.balancers))
        self.began_s = time.monotonic()
        running = [asyncio.create_task(c.run()) for c in self.clients]
        running.append(asyncio.create_task(self._watch_lag()))
        events = [
            e
            for e in schedule(self.plan.seed, self.plan.seconds, self.plan.overlap)
            if not self.plan.only or e.trouble.name.lower() in self.plan.only
        ]
        troubles = [asyncio.create_task(self._at(event)) for event in events]
        await asyncio.sleep(self.plan.seconds)
        await asyncio.gather(*troubles)
        for task in running:
            task.cancel()
        await asyncio.gather(
            *(task for c in self.clients for task in list(c.tasks)), return_exceptions=True
        )
        await asyncio.gather(*(b.now.end() for b in self.balancers if b.now is not None))
        for upstream in self.upstreams:
            upstream.die()
        self.discovery.go_down()
        found = Checker(self.history, GRACE_NS, WINDOW_NS).breaches()
        unsure = [b for b in found if b.lag_ns > UNSURE_NS]
        return Verdict(
            [b for b in found if b not in unsure], unsure, self.history, self.library is not None
        )

    async def _begin(self, balancer: Balancer) -> None:
        balancer.now = await balancer.start()
        if not await balancer.now.ready(READY_S):
            raise Unusable(
                f"balancer {balancer.number} is not ready: {balancer.now.record.log[-500:]}"
            )
        self.clients[balancer.number].open = True

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
        await self.does[event.trouble](event)

    def _balancer(self, event: Event) -> Balancer:
        return self.balancers[int(event.draw * len(self.balancers))]

    def _upstream(self, event: Event) -> Upstream:
        return self.upstreams[int(event.draw * len(self.upstreams))]

    @staticmethod
    def _row(upstream: Upstream, state: str) -> Json:
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

    # ---- balancers -------------------------------------------------------------------------------

    async def _restart(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            await self._anew(balancer, Running.end)

    async def _kill(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            await self._anew(balancer, Running.kill)

    async def _anew(self, balancer: Balancer, end: Callable[[Running], Awaitable[None]]) -> None:
        """Its clients go on using what they have; new connections come for a while."""
        assert balancer.now is not None
        loop = asyncio.get_running_loop()
        clients = self.clients[balancer.number]
        loop.call_later(0.3, setattr, clients, "open", False)
        await end(balancer.now)
        await asyncio.sleep(0.35)
        await self._begin(balancer)

    async def _replace(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            old, new = balancer.now, await balancer.start()
            assert old is not None
            if not await new.ready(TAKE_OVER_S):
                new.record.log += f"\nERROR not ready within {TAKE_OVER_S} s\n"
                await new.kill()
                return
            balancer.now = new
            await old.end()

    async def _move(self, event: Event) -> None:
        balancer = self._balancer(event)
        async with balancer.turn:
            await balancer.move()

    async def _hold_up(self, event: Event) -> None:
        balancer = self._balancer(event)
        if balancer.now is not None:
            since = time.monotonic_ns()
            balancer.now.signal(19)  # SIGSTOP
            await asyncio.sleep(event.lasts_s)
            balancer.now.signal(18)  # SIGCONT
            self.history.stops.append((balancer.number, since, time.monotonic_ns()))

    async def _clock(self, event: Event) -> None:
        control = self._balancer(event).control
        control.set(offset_ns=random.Random(event.draw).choice(STEPS_S) * SECOND)
        await asyncio.sleep(event.lasts_s)
        control.set(offset_ns=0)

    async def _calls_fail(self, event: Event) -> None:
        control = self._balancer(event).control
        control.set(part=FAILING)
        await asyncio.sleep(event.lasts_s)
        control.set(part=0.0)

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
            record.until_ns = time.monotonic_ns()
            for _ in range(20):
                if await balancer.now.call("POST", f"/-/upstreams/{upstream.name}/enable") == 200:
                    return
                await asyncio.sleep(0.1)

    # ---- upstreams -------------------------------------------------------------------------------

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
        upstream.started_ms = time.time_ns() // MS
        upstream.start()
        self.discovery.change(self._row(upstream, "Ready"))

    async def _drain(self, event: Event) -> None:
        """It goes on answering: nothing but the list tells."""
        upstream = self._upstream(event)
        if upstream.name in self.draining or len(self.draining) > len(self.upstreams) // 2:
            return
        self.draining.add(upstream.name)
        state = "Gone" if event.draw * 1000 % 1 < 0.3 else "Terminating"
        change = Change(upstream.name, 0, time.monotonic_ns())
        change.version = self.discovery.change(self._row(upstream, state))
        self.history.changes.append(change)
        await asyncio.sleep(event.lasts_s)
        change.until_ns = time.monotonic_ns()
        self.discovery.change(self._row(upstream, "Ready"))
        self.draining.discard(upstream.name)

    # ---- discovery -------------------------------------------------------------------------------

    async def _silent(self, event: Event) -> None:
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
        self.discovery.delay_s = 0.7
        await self._outage(event)
        self.discovery.delay_s = 0.0


async def play(plan: Plan) -> Verdict:
    """Raises Unusable where balancers do not start."""
    folder = Path(tempfile.mkdtemp(prefix="loadbalancer-soak-"))
    try:
        return await Soak(plan, folder).play()
    finally:
        with suppress(OSError):
            shutil.rmtree(folder)
