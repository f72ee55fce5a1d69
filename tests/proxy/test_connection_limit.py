"""Tests of the connection limit: who is evicted for a new client, and who is kept."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy import connection_phase, frontend
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.resource_limits import RESERVE
from tests.fakes import (
    EventRecorder,
    FakeUpstream,
    read_message,
    run,
    running_balancer,
)


def test_at_connection_limit_idle_clients_are_evicted_and_busy_ones_kept(
    monkeypatch: pytest.MonkeyPatch, recorder: EventRecorder
) -> None:
    """An idle connection is closed to accept another; one with an open request is not.

    A client above the limit waits in the accept queue until a connection slot is free.
    """
    monkeypatch.setattr(frontend, "EVICT_IDLE_S", 0.0)

    async def test() -> None:
        # Room for two clients and two connections to upstreams.
        async with running_balancer(sockets=RESERVE + 2 * 2) as harness:
            may_respond = asyncio.Event()
            upstream: FakeUpstream = harness.upstreams[0]

            async def slow() -> bytes:
                await may_respond.wait()
                return b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"

            idle = await harness.client()
            assert (await idle.ask("r0")).status == 200
            upstream.script = [slow, slow]
            busy = [await harness.client(), await harness.client()]
            for number, client in enumerate(busy):
                client.send(f"b{number}")
            await recorder.until(lambda: len(recorder.of_type(api.RequestArrived)) == 3)
            await idle.expect_eof()
            # Waits in the accept queue until a connection slot is free.
            late_client = await harness.client()
            late_client.send("r1")
            may_respond.set()
            for client in busy:
                assert (await read_message(client.reader)).body == b"slow"
            assert (await read_message(late_client.reader)).status == 200

    run(test())


def test_at_connection_limit_silent_clients_are_evicted_for_active_client() -> None:
    """Guards against clients that connect without a request and so block all others."""

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as harness:
            silent = [await harness.client() for _ in range(20)]
            active_client = await harness.client()
            assert (await active_client.ask("r1")).status == 200
            for client in silent:
                client.close()

    run(test())


def test_at_connection_limit_silent_clients_are_evicted_before_slow_writer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Eviction depends on the time since the last data, not on the age of the connection.

    Guards against evicting a client that sends its request slowly.
    """
    monkeypatch.setattr(frontend, "EVICT_SILENT_S", 0.2)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 4 * 2) as harness:
            slow = await harness.client()
            slow.writer.write(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n")
            silent = []
            # The slow client has the oldest connection, and is kept while it makes progress.
            for letter in b"X-Class: quote\r\n\r\n":
                await asyncio.sleep(0.03)
                slow.writer.write(bytes([letter]))
                silent.append(await harness.client())
            assert (await read_message(slow.reader)).status == 200
            for client in silent:
                client.close()

    run(test())


def test_at_connection_limit_recently_idle_client_is_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against evicting a client that is idle for less than `EVICT_IDLE_S`."""
    monkeypatch.setattr(frontend, "EVICT_IDLE_S", 1000.0)
    monkeypatch.setattr(frontend, "EVICT_SILENT_S", 0.0)
    # No later connection evicts the last newcomer, so it has to time out.
    monkeypatch.setitem(connection_phase.LIMIT_S, Phase.NEW, 0.1)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as harness:
            idle = await harness.client()
            assert (await idle.ask("r0")).status == 200
            newcomers = [await harness.client() for _ in range(9)]
            for client in newcomers:
                await client.expect_eof()
            assert (await idle.ask("r1")).status == 200

    run(test())


def test_at_connection_limit_connection_is_closed_after_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a newcomer that waits for an idle connection's eviction."""
    # By default an idle connection is evicted after 2 s. With more clients than connection slots,
    # each newcomer had to wait for that.
    for limit in ("EVICT_IDLE_S", "EVICT_SILENT_S", "EVICT_NEW_S"):
        monkeypatch.setattr(frontend, limit, 1000.0)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as harness:
            clients = [await harness.client() for _ in range(20)]
            for number, client in enumerate(clients):
                client.send(f"r{number}")
            for client in clients:
                assert (await read_message(client.reader)).status == 200

    run(test())
