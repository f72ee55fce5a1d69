"""Tests of clients' connections: bad input, limits, keep-alive and the balancer's own responses."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from contextlib import suppress
from dataclasses import replace

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy import connection_phase, frontend
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.frontend import Frontend
from tests.fakes import (
    CLASSES,
    SECOND,
    SETTINGS,
    Client,
    EventRecorder,
    http_response,
    read_message,
    run,
    running_balancer,
)
from tests.proxy.test_request_validation import raw_request
from tests.raw_http import (
    balancer_with_raw_upstream,
    read_head,
)


def test_ready_follows_availability_of_upstreams() -> None:
    """Ready only while the endpoint list has an upstream that accepts requests."""

    async def test() -> None:
        async with running_balancer(known=None) as harness:
            await harness.wait_for_endpoint_list()
            assert (await harness.ask("r", path="/ready")).status == 200
            await harness.update_endpoints(harness.upstreams[0].row("Terminating"))
            assert (await harness.ask("r", path="/ready")).status == 503

    run(test())


def test_duplicate_id_of_open_request_is_rejected_with_409() -> None:
    """Guards against two open requests with one id, which the policy could not distinguish."""

    async def test() -> None:
        async with running_balancer() as harness:
            first = await harness.client_awaiting_response("r1")
            assert (await harness.ask("r1")).status == 409
            first.close()

    run(test())


def test_pipelined_requests_are_answered_in_order() -> None:
    """Guards against losing or reordering requests that arrive before the previous response."""

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            client.send("r1")
            client.send("r2")
            for _ in range(2):
                assert (await read_message(client.reader)).body == b"s-0"
            assert [m.headers["x-request-id"] for m in harness.upstreams[0].received_requests] == [
                "r1",
                "r2",
            ]

    run(test())


def test_excess_input_during_open_request_closes_connection() -> None:
    """Guards against buffering unlimited pipelined input while a request is open."""

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1")
            client.writer.write(b"x" * 1_000_000)
            await client.expect_eof()
            assert (await harness.ask("r2")).status == 200

    run(test())


def test_requests_beyond_open_request_limit_are_rejected() -> None:
    """Requests above `max_open` get a 503 immediately."""

    async def test() -> None:
        settings = replace(SETTINGS, limits=replace(SETTINGS.limits, max_open=1))
        async with running_balancer(settings=settings) as harness:
            client = await harness.client_awaiting_response("r1")
            assert (await harness.ask("r2")).status == 503
            client.close()

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not report the receive state")
def test_request_of_disconnected_client_is_not_served(recorder: EventRecorder) -> None:
    """Guards against attempts for a client that disconnected before its request was read."""

    async def test() -> None:
        async with running_balancer() as harness:

            def quote_request(name: str) -> bytes:
                return f"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: {name}\r\n\r\n".encode()

            # No event-loop iteration runs between a client's request and its disconnect. The
            # balancer finds both at once, on a reused connection and on one in the accept queue.
            # The clients are plain sockets because asyncio may delay a write to the next iteration.
            loop = asyncio.get_running_loop()
            reused = socket.socket()
            reused.setblocking(False)
            await loop.sock_connect(reused, harness.address)
            reused.send(quote_request("r0"))
            assert (await loop.sock_recv(reused, 4096)).startswith(b"HTTP/1.1 200 ")
            with reused:
                reused.send(quote_request("gone"))
            with socket.create_connection(harness.address) as unaccepted:
                unaccepted.sendall(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: early\r\n\r\n")
            assert (await harness.ask("r1")).status == 200
            assert [e.request for e in recorder.of_type(api.RequestArrived)] == ["r0", "r1"]
            assert [m.headers["x-request-id"] for m in harness.upstreams[0].received_requests] == [
                "r0",
                "r1",
            ]

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not report the receive state")
def test_deadline_counts_from_receipt_by_kernel_not_from_read(
    recorder: EventRecorder,
) -> None:
    """Guards against deadlines that are extended by a blocked event loop.

    The loop then reads a request long after the kernel received it.
    """

    async def test() -> None:
        async with running_balancer() as harness:
            read_delay_s = 0.2
            reused = await harness.client()
            assert (await reused.ask("r0")).status == 200
            reused.send("r1")
            with socket.create_connection(harness.address) as new_connection:
                new_connection.sendall(
                    b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r2\r\n\r\n"
                )
                sent_ns = time.monotonic_ns()
                time.sleep(read_delay_s)  # blocks the event loop
                await recorder.until(lambda: len(recorder.of_type(api.RequestArrived)) == 3)
            for arrival in recorder.of_type(api.RequestArrived)[1:]:
                assert arrival.received_ns < sent_ns + read_delay_s / 2 * SECOND
                assert (
                    arrival.deadline_ns
                    < sent_ns + CLASSES["quote"].deadline_ns + read_delay_s / 2 * SECOND
                )

    run(test())


@pytest.mark.parametrize(
    ("partial_request", "status"),
    [
        (b"", None),
        (b"GET /quote HTT", 408),
        (b"GET /quote HTTP/1.1\r\nHost: h\r\n", 408),
        (b"POST /pay HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf", 408),
    ],
)
@pytest.mark.parametrize("reused", [False, True])
def test_incomplete_request_times_out_and_closes_connection(
    monkeypatch: pytest.MonkeyPatch, partial_request: bytes, status: int | None, reused: bool
) -> None:
    """Guards against incomplete requests that hold a connection open.

    A connection without any data is closed without a response, and others get a 408.
    """
    monkeypatch.setitem(connection_phase.LIMIT_S, Phase.NEW, 0.2)
    monkeypatch.setitem(connection_phase.LIMIT_S, Phase.IDLE, 0.3)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            if reused:
                assert (await client.ask("r1")).status == 200
            client.writer.write(partial_request)
            if status is not None:
                assert (await read_message(client.reader)).status == status
            await client.expect_eof()

    run(test())


def test_client_that_does_not_read_stops_its_pipelined_requests(
    monkeypatch: pytest.MonkeyPatch, recorder: EventRecorder
) -> None:
    """Guards against buffering responses without limit for a client that does not read."""
    monkeypatch.setitem(connection_phase.LIMIT_S, Phase.IDLE, 0.5)

    async def test() -> None:
        async with running_balancer() as harness:
            body = b"x" * 60_000
            harness.upstreams[0].script = [http_response(200, body) for _ in range(1000)]
            reader, writer = await asyncio.open_connection(*harness.address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            client = Client(reader, writer)
            for number in range(1000):
                client.send(f"r{number}")
            # The balancer stops sending responses and reading the pipelined requests. Then it
            # closes the connection.
            with suppress(ConnectionError):
                while True:
                    writer.write(b"\r\n")
                    await asyncio.sleep(0.01)
                    if writer.transport.is_closing():
                        break
            assert len(recorder.of_type(api.RequestArrived)) < 900
            assert (await harness.ask("last")).status == 200

    run(test())


def test_sweep_can_be_rescheduled_after_one_without_delay() -> None:
    """Guards against a timer handle without a scheduled time.

    uvloop returns such a handle if the delay rounds to zero.
    """

    async def test() -> None:
        client_frontend = frontend.Frontend.__new__(frontend.Frontend)
        client_frontend.loop, client_frontend.timer, client_frontend.timer_at = (
            asyncio.get_running_loop(),
            None,
            0.0,
        )
        now = client_frontend.loop.time()
        client_frontend._sweep_at(now)
        client_frontend._sweep_at(now - 1.0)
        assert client_frontend.timer is not None
        client_frontend.timer.cancel()

    run(test())


@pytest.mark.skipif(sys.platform != "linux", reason="other kernels do not report the receive state")
@pytest.mark.parametrize("close_cause", ["drain", "sweep", "eviction"])
def test_idle_connection_with_unread_request_is_not_closed(
    close_cause: str, frontends: list[frontend.Frontend]
) -> None:
    """Guards against closing an idle connection over a request that is received but not yet read.

    If a timer and a socket are ready in the same event-loop iteration, the timer runs first: the
    connection was closed, and the request got no response.
    """

    async def test() -> None:
        async with running_balancer() as harness:
            loop = asyncio.get_running_loop()
            reused, silent = socket.socket(), socket.socket()
            for sock in (reused, silent):
                sock.setblocking(False)
                await loop.sock_connect(sock, harness.address)
            with reused, silent:
                reused.send(raw_request(start="GET /quote HTTP/1.1").replace(b"pay", b"quote"))
                assert (await loop.sock_recv(reused, 4096)).startswith(b"HTTP/1.1 200 ")
                [client_frontend] = frontends
                idle_since = client_frontend.clients_by_phase[Phase.IDLE]
                [idle_connection] = idle_since
                assert isinstance(idle_connection, ClientConnection)
                transport = idle_connection.transport
                # The resolution of the age is one kernel tick.
                while transport.receive_state.data_age_ns < 30_000_000:
                    await asyncio.sleep(0)
                for client in idle_since:
                    idle_since[client] -= (
                        2.0 if close_cause == "eviction" else connection_phase.LIMIT_S[Phase.IDLE]
                    )
                reused.send(raw_request(start="GET /quote HTTP/1.1").replace(b"pay", b"quote"))
                if close_cause == "drain":
                    client_frontend._stop()
                elif close_cause == "sweep":
                    client_frontend._sweep()
                else:
                    client_frontend._evict()
                assert (await loop.sock_recv(reused, 4096)).startswith(b"HTTP/1.1 200 ")
                for client in idle_since:
                    idle_since[client] -= 60.0
                client_frontend._sweep()
                # No request is unread, so the connection is closed.
                assert await loop.sock_recv(reused, 4096) == b""

    run(test())


def test_drain_fails_requests_whose_deadline_exceeds_shutdown(
    frontends: list[frontend.Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an exit with an open request, which then gets no response.

    A request received before SIGTERM can have a deadline after the end of the process.
    """
    monkeypatch.setattr(frontend, "MAX_SHUTDOWN_DEADLINE_NS", 100_000_000)
    monkeypatch.setattr(frontend, "SHUTDOWN_MARGIN_NS", 100_000_000)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1", X_Deadline_Ms=3000)
            frontends[0].drain()
            assert (await asyncio.wait_for(read_message(client.reader), 2.0)).status == 504
            await client.expect_eof()

    run(test())


def test_complete_request_closed_by_a_time_limit_is_logged(
    frontends: list[Frontend], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a request that loses its connection without an answer and without a trace."""

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1")
            (connection,) = frontends[0].clients
            frontends[0].wait(connection, Phase.BODY)  # as if its body were incomplete
            connection.on_phase_timeout()
            await client.expect_eof()
            (record,) = [r for r in caplog.records if r.levelname == "ERROR"]
            assert record.getMessage() == (
                "complete request closed by a time limit: request=r1 phase=BODY"
            )

    run(test())


def test_head_response_has_no_body() -> None:
    """Guards against waiting for the body that a HEAD response announces in Content-Length."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n")
                if head.startswith("get"):
                    writer.write(bytes(90_000))

    async def test() -> None:
        async with balancer_with_raw_upstream(handle) as harness:
            client = await harness.client()
            for method in ("HEAD", "GET", "HEAD"):
                client.send(method + "1", method=method)
                assert "content-length: 90000" in await read_head(client.reader)
                if method == "GET":
                    await client.reader.readexactly(90_000)

    run(test())
