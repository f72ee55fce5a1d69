"""Loops that could turn without a wait in between: `docs/design/races.md` lists what bounds
them.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import Any

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy import connection_phase, frontend, policy_driver
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.connection_pool import IDLE_FRACTION, ConnectionPool
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.resource_limits import RESERVE
from tests.fakes import SECOND, SETTINGS, never_respond, run, running_balancer

# Parts of the loop's ticks, of which it makes nothing or one too few.
PARTS_S = (0.0004, 0.0014, 0.0123)
# calls for one timer: on time, and early by a tick of the loop's clock and one of the kernel's
EARLY = 4


@pytest.mark.parametrize("part_s", PARTS_S)
def test_a_wake_that_comes_early_does_not_turn_without_a_wait(
    part_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The module set what was left anew, and was asked hundreds of times until the clock had moved
    on.
    """
    done = asyncio.Event()
    calls: list[int] = []

    class Timed:
        """Has one timer after another, each until its time has come."""

        def __init__(self, config: api.Settings, seed: int, now: int) -> None:
            self.due, self.left = 0, 20

        def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
            if (
                not any(isinstance(e, api.TimerFired | api.EndpointsUpdated) for e in events)
                or not self.left
            ):
                return []
            if now >= self.due:
                self.left -= 1
                self.due = now + int(part_s * SECOND)
                calls.append(0)
            if not self.left:
                done.set()
            calls[-1] += 1
            return [api.SetTimer(self.due - now, "rest")]

    monkeypatch.setattr(policy_driver, "Balancer", Timed)

    async def test() -> None:
        async with running_balancer():
            await done.wait()

    run(test())
    assert max(calls[:-1]) <= EARLY, calls


@pytest.mark.parametrize("part_s", PARTS_S)
@pytest.mark.parametrize("what", ["a client's", "an upstream's"])
def test_a_sweep_that_comes_early_does_not_turn_without_a_wait(
    what: str, part_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same at the two timers that serve whole tables of connections."""
    sweeps: list[float] = []
    kind: Any = Frontend if what == "a client's" else ConnectionPool
    method = "_sweep" if what == "a client's" else "_close_expired_idle"
    sweep = getattr(kind, method)

    def counted(*args: Any) -> None:
        sweeps.append(time.monotonic())
        sweep(*args)

    monkeypatch.setattr(kind, method, counted)
    limits = SETTINGS.limits
    if what == "a client's":
        monkeypatch.setitem(connection_phase.LIMIT_S, Phase.IDLE, part_s)
    else:
        limits = replace(limits, conn_idle_ns=int(part_s / IDLE_FRACTION * SECOND))

    async def test() -> None:
        async with running_balancer(settings=replace(SETTINGS, limits=limits)) as w:
            upstream = w.upstreams[0]
            for number in range(10):
                client = await w.client()
                assert (await client.ask(f"r{number}")).status == 200
                if what == "a client's":
                    await client.expect_eof()
                else:
                    await upstream.until(
                        lambda: upstream.peer_closed_count == len(upstream.connections)
                    )
                client.close()

    run(test())
    assert len(sweeps) <= 10 * EARLY, len(sweeps)


@pytest.mark.parametrize("places", ["have open requests", "are too fresh to make room"])
def test_newcomers_that_find_no_place_do_not_turn_the_loop_without_a_wait(
    places: str, monkeypatch: pytest.MonkeyPatch, frontends: list[Frontend]
) -> None:
    """They lie in the queue, and the listener would be readable on every turn."""
    looks: list[int] = []
    accept = Frontend._accept

    def counted(front: Frontend) -> bool:
        looks.append(len(front.clients))
        return accept(front)

    monkeypatch.setattr(Frontend, "_accept", counted)
    monkeypatch.setattr(frontend, "EVICT_NEW_S", 60.0)
    monkeypatch.setattr(frontend, "EVICT_SILENT_S", 60.0)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as w:  # two clients
            upstream = w.upstreams[0]
            upstream.script = [never_respond, never_respond]
            taken = [await w.client() for _ in range(2)]
            for number, client in enumerate(taken):
                if places == "have open requests":
                    client.send(f"r{number}")
                else:
                    client.writer.write(b"GET /quote HTT")
            if places == "have open requests":
                await upstream.until(lambda: len(upstream.received_requests) == 2)
            [front] = frontends
            while len(front.clients) < 2:
                await asyncio.sleep(0)
            looks.clear()
            late = [await w.client() for _ in range(20)]
            for _ in range(1000):
                await asyncio.sleep(0)
            assert 1 <= len(looks) <= 3, len(looks)
            for client in taken + late:
                client.close()

    run(test())
