"""System calls fail in the ways that Linux documents: whose trouble each is, and what follows."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import pytest

from loadbalancer.policy import api
from tests.fakes import SECOND, SETTINGS, BalancerHarness, EventRecorder, run, running_balancer

LOCAL = ["EADDRNOTAVAIL", "ENOBUFS", "ENOMEM", "EMFILE", "ENFILE", "ENETUNREACH", "EAGAIN"]
PEER = ["ECONNREFUSED", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"]
ONCE = replace(SETTINGS, limits=replace(SETTINGS.limits, connect_timeout_ns=SECOND))


class Dials:
    """Connections to one port fail, so many times."""

    def __init__(self, port: int, name: str, times: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.port, self.number, self.times = port, getattr(errno, name), times
        self.failed = 0
        self.plain = self.loop.create_connection

    async def dial(self, factory: Any, host: str, port: int) -> Any:
        if port == self.port and self.failed < self.times:
            self.failed += 1
            raise OSError(self.number, os.strerror(self.number))
        return await self.plain(factory, host, port)


@asynccontextmanager
async def failing_world(name: str, times: int) -> AsyncIterator[tuple[BalancerHarness, Dials]]:
    async with running_balancer(settings=ONCE) as w:
        dials = Dials(w.upstreams[0].port, name, times)
        dials.loop.create_connection = dials.dial  # type: ignore[method-assign, assignment]
        yield w, dials


@pytest.mark.parametrize("name", LOCAL)
def test_trouble_of_this_machine_is_waited_out_and_laid_to_nobody_s_charge(
    name: str, recorder: EventRecorder
) -> None:
    async def test() -> None:
        async with failing_world(name, 2) as (w, dials):
            assert (await w.ask("r1")).status == 200
            assert dials.failed == 2 and recorder.results() == [api.AttemptResult.OK]

    run(test())


@pytest.mark.parametrize("name", LOCAL)
def test_trouble_of_this_machine_that_lasts_is_no_word_on_the_upstream(
    name: str, recorder: EventRecorder, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with failing_world(name, 1 << 30) as (w, _):
            assert (await w.ask("r1")).status == 503
            assert recorder.results() == [api.AttemptResult.NOT_SENT]
            assert (
                len([r for r in caplog.records if os.strerror(getattr(errno, name)) in r.message])
                == 1
            )

    run(test())


@pytest.mark.parametrize("name", PEER)
def test_trouble_of_the_upstream_is_known_at_once(name: str, recorder: EventRecorder) -> None:
    async def test() -> None:
        async with failing_world(name, 1) as (w, dials):
            assert (await w.ask("r1")).status == 503
            assert dials.failed == 1 and recorder.results() == [api.AttemptResult.CONNECT_FAILED]

    run(test())


@pytest.mark.parametrize(
    "name",
    ["ECONNABORTED", "EPROTO", "EHOSTUNREACH", "ENETDOWN", "EINTR", "ENFILE", "ENOBUFS", "ENOMEM"],
)
def test_whatever_accept_says_the_next_client_is_taken(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with running_balancer() as w:
            assert (await w.ask("r1")).status == 200
            plain, left = socket.socket.accept, [2]

            def accept(listener: socket.socket) -> Any:
                if left[0] and listener.getsockname()[1] == w.address[1]:
                    left[0] -= 1
                    number = getattr(errno, name)
                    raise OSError(number, os.strerror(number))
                return plain(listener)

            monkeypatch.setattr(socket.socket, "accept", accept)
            assert (await w.ask("r2")).status == 200
            assert left == [0]

    run(test())
