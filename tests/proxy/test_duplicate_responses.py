"""Tests of responses that come twice, and of the settle time that guards against them."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loadbalancer.policy import api
from loadbalancer.policy.rules import Denied, Verdict
from loadbalancer.proxy import (
    connection_pool,
)
from loadbalancer.proxy.endpoint import upstream_number
from loadbalancer.proxy.endpoint_list import read_endpoint
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.upstream import AttemptCallback, Timing, Upstreams
from tests.fakes import (
    SETTINGS,
    http_response,
    run,
)
from tests.raw_sockets import REQUEST


class StubAttempt:
    """An attempt that starts unless the upstream may not be used."""

    @property
    def name(self) -> str:
        return "stub"

    def begin(self, upstream_verdict: Verdict) -> bytes | Denied:
        return upstream_verdict if isinstance(upstream_verdict, Denied) else REQUEST

    def may_finish(self) -> bool:
        return True


class SingleUpstream:
    """An upstream of raw sockets, and the connection pool to it.

    Attributes:
        response_bodies: The response bodies of finished attempts; empty if an attempt failed.
    """

    def __init__(self, server: socket.socket) -> None:
        server.setblocking(False)
        self.server = server
        self.upstreams = Upstreams(SETTINGS.limits, 8, (), MemoryAccount(1024))
        self.learn("Ready")
        self.response_bodies: asyncio.Queue[bytes] = asyncio.Queue()

    def learn(self, state: str) -> None:
        """Replace the endpoint list by this upstream in the given state."""
        row = {"id": "s-0", "addr": "{}:{}".format(*self.server.getsockname()), "state": state}
        self.upstreams.learn([read_endpoint(row)], full=True)

    def send(self, on_done: AttemptCallback) -> Exchange | None:
        return self.upstreams.send(upstream_number("s-0"), StubAttempt(), on_done, Timing(5.0))

    def ask(self) -> None:
        """Start an attempt whose response body is put into `response_bodies`."""
        self.send(
            lambda result, response, report: self.response_bodies.put_nowait(
                response.body if response is not None else b""
            )
        )

    async def accept_request(self) -> socket.socket:
        """Accept the next connection, and read a request from it."""
        upstream_socket, _ = await asyncio.wait_for(
            asyncio.get_running_loop().sock_accept(self.server), 5.0
        )
        assert await asyncio.get_running_loop().sock_recv(upstream_socket, 4096) == REQUEST
        return upstream_socket


async def check_duplicate_response_is_not_reused(had_duplicate_before: bool) -> None:
    """Check that a duplicate of the first response is not used for the next request.

    The next request is started immediately after the first response, while the duplicate is in
    flight.

    Args:
        had_duplicate_before: Whether any upstream has sent a duplicate response recently.
    """
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        single_upstream = SingleUpstream(server)
        single_upstream.upstreams.pool.cautious_until_s = loop.time() + 60.0 * had_duplicate_before
        single_upstream.ask()
        with await single_upstream.accept_request() as upstream_socket:
            await loop.sock_sendall(upstream_socket, http_response(200, b"first"))
            assert await single_upstream.response_bodies.get() == b"first"
            single_upstream.ask()  # before the connection has settled
            upstream_socket.send(http_response(200, b"first, once more"))
            with await single_upstream.accept_request() as other_socket:
                await loop.sock_sendall(other_socket, http_response(200, b"second"))
                assert await single_upstream.response_bodies.get() == b"second"
        single_upstream.upstreams.close()


def test_late_duplicate_response_is_not_used_for_next_request() -> None:
    """A duplicate response that arrives milliseconds late is not used for the next request.

    In a soak test, the next request was written 1 ms after the first response and was answered with
    the duplicate, which no upstream had produced for that request.
    """
    run(check_duplicate_response_is_not_reused(had_duplicate_before=False))


def test_repeated_duplicate_response_is_not_used_for_next_request() -> None:
    """The same holds while settle times are longer because of an earlier duplicate response."""
    run(check_duplicate_response_is_not_reused(had_duplicate_before=True))


def test_settle_time_is_longer_after_duplicate_response() -> None:
    """A connection to an upstream that has sent a duplicate response settles for longer."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            single_upstream = SingleUpstream(server)
            single_upstream.ask()
            with await single_upstream.accept_request() as upstream_socket:
                await loop.sock_sendall(
                    upstream_socket,
                    http_response(200, b"first") + http_response(200, b"first, once more"),
                )
                assert await single_upstream.response_bodies.get() == b"first"
                assert await loop.sock_recv(upstream_socket, 10) == b""  # the connection is closed
            single_upstream.ask()
            with await single_upstream.accept_request() as upstream_socket:
                await loop.sock_sendall(upstream_socket, http_response(200, b"second"))
                assert await single_upstream.response_bodies.get() == b"second"
                # Without the duplicate, the connection would be reusable after this time.
                await asyncio.sleep(2 * connection_pool.SETTLE_S)
                single_upstream.ask()
                with await single_upstream.accept_request() as other_socket:
                    await loop.sock_sendall(other_socket, http_response(200, b"third"))
                    assert await single_upstream.response_bodies.get() == b"third"
            single_upstream.upstreams.close()

    run(test())


def test_connection_without_response_is_reused_without_settling() -> None:
    """A connection that has carried no response is reused without a settle time."""

    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            single_upstream = SingleUpstream(server)
            cancelled = single_upstream.send(lambda *_: None)
            assert cancelled is not None
            cancelled.finish(api.AttemptResult.NOT_SENT)
            # The connection becomes idle.
            await asyncio.gather(*single_upstream.upstreams.pool.connecting)
            single_upstream.ask()
            assert single_upstream.upstreams.connections_open == 1
            (await single_upstream.accept_request()).close()
            single_upstream.upstreams.close()

    run(test())


@pytest.mark.parametrize("state", ["Ready", "Terminating"])
def test_attempt_waiting_for_settling_checks_upstream_state_again(
    state: str,
) -> None:
    """An attempt that waited for a connection to settle checks the upstream's state again.

    The upstream may have begun to drain during the wait.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            single_upstream = SingleUpstream(server)
            single_upstream.ask()
            with await single_upstream.accept_request() as upstream_socket:
                await loop.sock_sendall(upstream_socket, http_response(200, b"first"))
                assert await single_upstream.response_bodies.get() == b"first"
                single_upstream.ask()  # waits for the connection to settle
                single_upstream.learn(state)
                if state == "Ready":
                    assert await loop.sock_recv(upstream_socket, 4096) == REQUEST
                    await loop.sock_sendall(upstream_socket, http_response(200, b"second"))
                    assert await single_upstream.response_bodies.get() == b"second"
                else:
                    assert await single_upstream.response_bodies.get() == b""
                    assert await loop.sock_recv(upstream_socket, 4096) == b""
            single_upstream.upstreams.close()

    run(test())


def test_frequent_settle_waits_open_another_connection() -> None:
    """If settle waits are frequent, another connection is opened.

    With many requests per second, each request would otherwise be delayed by up to the whole settle
    time.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            single_upstream = SingleUpstream(server)
            single_upstream.ask()
            with await single_upstream.accept_request() as upstream_socket:
                await loop.sock_sendall(upstream_socket, http_response(200, b"first"))
                for _ in range(connection_pool.MAX_SETTLE_WAITS):
                    assert await single_upstream.response_bodies.get() == b"first"
                    single_upstream.ask()  # waits for the connection to settle
                    assert await loop.sock_recv(upstream_socket, 4096) == REQUEST
                    await loop.sock_sendall(upstream_socket, http_response(200, b"first"))
                assert await single_upstream.response_bodies.get() == b"first"
                single_upstream.ask()
                with await single_upstream.accept_request() as other_socket:
                    await loop.sock_sendall(other_socket, http_response(200, b"other"))
                    assert await single_upstream.response_bodies.get() == b"other"
            single_upstream.upstreams.close()

    run(test())
