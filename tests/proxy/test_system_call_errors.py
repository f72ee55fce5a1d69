"""Errors of connect() and accept() that Linux documents: their cause and their consequence."""

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

LOCAL_ERRORS = ["EADDRNOTAVAIL", "ENOBUFS", "ENOMEM", "EMFILE", "ENFILE", "ENETUNREACH", "EAGAIN"]
UPSTREAM_ERRORS = ["ECONNREFUSED", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"]
SHORT_CONNECT_SETTINGS = replace(
    SETTINGS, limits=replace(SETTINGS.limits, connect_timeout_ns=SECOND)
)


class FailingConnects:
    """Makes connects to one port fail, up to `max_failures` times.

    Attributes:
        failure_count: Number of connects that have failed.
        original: The event loop's own `create_connection`.
    """

    def __init__(self, port: int, error_name: str, max_failures: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.port, self.error_number, self.max_failures = (
            port,
            getattr(errno, error_name),
            max_failures,
        )
        self.failure_count = 0
        self.original = self.loop.create_connection

    async def create_connection_or_fail(self, factory: Any, host: str, port: int) -> Any:
        """Raise the error, or connect like the event loop."""
        if port == self.port and self.failure_count < self.max_failures:
            self.failure_count += 1
            raise OSError(self.error_number, os.strerror(self.error_number))
        return await self.original(factory, host, port)


@asynccontextmanager
async def balancer_with_failing_connects(
    error_name: str, max_failures: int
) -> AsyncIterator[tuple[BalancerHarness, FailingConnects]]:
    """Run a balancer whose connects to its only upstream fail `max_failures` times."""
    async with running_balancer(settings=SHORT_CONNECT_SETTINGS) as harness:
        failing_connects = FailingConnects(harness.upstreams[0].port, error_name, max_failures)
        failing_connects.loop.create_connection = failing_connects.create_connection_or_fail  # type: ignore[method-assign, assignment]
        yield harness, failing_connects


@pytest.mark.parametrize("error_name", LOCAL_ERRORS)
def test_local_connect_error_is_retried_and_not_reported(
    error_name: str, recorder: EventRecorder
) -> None:
    """A connect that fails because of a local error is retried and not reported to the policy."""

    async def test() -> None:
        async with balancer_with_failing_connects(error_name, 2) as (harness, failing_connects):
            assert (await harness.ask("r1")).status == 200
            assert failing_connects.failure_count == 2 and recorder.results() == [
                api.AttemptResult.OK
            ]

    run(test())


@pytest.mark.parametrize("error_name", LOCAL_ERRORS)
def test_lasting_local_connect_error_is_not_attributed_to_upstream(
    error_name: str, recorder: EventRecorder, caplog: pytest.LogCaptureFixture
) -> None:
    """A local connect error that persists is reported as NOT_SENT, not as CONNECT_FAILED.

    It says nothing about the upstream. It is logged once, not for each retry.
    """

    async def test() -> None:
        async with balancer_with_failing_connects(error_name, 1 << 30) as (harness, _):
            assert (await harness.ask("r1")).status == 503
            assert recorder.results() == [api.AttemptResult.NOT_SENT]
            assert (
                len(
                    [
                        r
                        for r in caplog.records
                        if os.strerror(getattr(errno, error_name)) in r.message
                    ]
                )
                == 1
            )

    run(test())


@pytest.mark.parametrize("error_name", UPSTREAM_ERRORS)
def test_upstream_connect_error_is_reported_without_retry(
    error_name: str, recorder: EventRecorder
) -> None:
    """A connect error caused by the upstream is reported after the first connect."""

    async def test() -> None:
        async with balancer_with_failing_connects(error_name, 1) as (harness, failing_connects):
            assert (await harness.ask("r1")).status == 503
            assert failing_connects.failure_count == 1 and recorder.results() == [
                api.AttemptResult.CONNECT_FAILED
            ]

    run(test())


@pytest.mark.parametrize(
    "error_name",
    ["ECONNABORTED", "EPROTO", "EHOSTUNREACH", "ENETDOWN", "EINTR", "ENFILE", "ENOBUFS", "ENOMEM"],
)
def test_next_client_is_accepted_after_accept_error(
    error_name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The listener accepts the next client after any error of accept()."""

    async def test() -> None:
        async with running_balancer() as harness:
            assert (await harness.ask("r1")).status == 200
            original, remaining_failures = socket.socket.accept, [2]

            def accept(listener: socket.socket) -> Any:
                if remaining_failures[0] and listener.getsockname()[1] == harness.address[1]:
                    remaining_failures[0] -= 1
                    error_number = getattr(errno, error_name)
                    raise OSError(error_number, os.strerror(error_number))
                return original(listener)

            monkeypatch.setattr(socket.socket, "accept", accept)
            assert (await harness.ask("r2")).status == 200
            assert remaining_failures == [0]

    run(test())
