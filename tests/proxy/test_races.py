"""Races between two events at shutdown, at close, in retries and during connects.

Each test forces the order of the two events. `docs/design/races.md` lists the races by state and
event, with the test of each.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import pytest

from loadbalancer.policy import api, subscription
from loadbalancer.policy.dispatch import Dispatcher
from loadbalancer.policy.rules import Denied, Verdict
from loadbalancer.proxy import (
    client_connection,
    connection_phase,
    connection_pool,
    discovery,
    discovery_watch,
    endpoint_list,
    frontend,
)
from loadbalancer.proxy import process as balancer_process
from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.endpoint import upstream_number
from loadbalancer.proxy.endpoint_list import read_endpoint
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.messages import message
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.proxy.resource_limits import RESERVE
from loadbalancer.proxy.tcp_state import reset_on_close
from loadbalancer.proxy.upstream import AttemptCallback, Timing, Upstreams
from loadbalancer.proxy.upstream_connection import UpstreamConnection
from loadbalancer.settings import Json
from tests.bench import CELL_SCOPED, MS, PolicyHarness, arrival, of_type, settings
from tests.fakes import (
    SECOND,
    SETTINGS,
    BalancerHarness,
    EventRecorder,
    FakeDiscovery,
    http_response,
    never_respond,
    read_message,
    run,
    running_balancer,
)

POST = b"POST /pay HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n"
REQUEST = message(b"GET /quote HTTP/1.1", [(b"Host", b"h"), (b"X-Request-Id", b"r1")])


async def connect_raw_socket(harness: BalancerHarness) -> socket.socket:
    """Connect a non-blocking socket whose calls take effect at once, without the event loop."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, harness.address)
    return sock


async def read_until_eof(sock: socket.socket) -> bytes:
    """Return everything received until EOF; a reset raises ConnectionResetError."""
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
        received += data
    return received


async def connection_with_open_request(front: Frontend) -> ClientConnection:
    """Wait until a client connection has an open request, and return that connection."""
    while not front.clients or not any(c.open_request for c in front.clients):
        await asyncio.sleep(0)
    return next(c for c in front.clients if c.open_request)


# ---- close ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("connection_state", ["after final response", "idle", "silent"])
def test_request_received_during_close_does_not_reset_connection(
    connection_state: str, frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that arrives while the connection is being closed causes no reset.

    Bytes that arrived between the last check for input and the close turned the close into a reset,
    which can discard a response that the client has not read yet. The late request must also not be
    forwarded.
    """

    async def test() -> None:
        async with running_balancer() as harness:
            with await connect_raw_socket(harness) as sock:
                late_request = REQUEST.replace(b"r1", b"crossing")
                if connection_state == "after final response":
                    original_write = ClientConnection.write

                    def write_and_send_request(client: ClientConnection, data: bytes) -> None:
                        """Send the late request directly after the response is written."""
                        original_write(client, data)
                        if sock.fileno() >= 0:  # the socket is closed before the last request
                            sock.send(late_request)

                    sock.send(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
                    monkeypatch.setattr(ClientConnection, "write", write_and_send_request)
                else:
                    if connection_state == "idle":
                        sock.send(REQUEST)
                        await asyncio.get_running_loop().sock_recv(sock, 4096)
                    while not frontends[0].clients:
                        await asyncio.sleep(0)
                    [client] = frontends[0].clients
                    phase = Phase.IDLE if connection_state == "idle" else Phase.NEW
                    while client.phase is not phase:
                        await asyncio.sleep(0)
                    frontends[0].clients_by_phase[phase][client] -= 60.0
                    frontends[0]._sweep()
                    sock.send(late_request)
                received = await asyncio.wait_for(read_until_eof(sock), 5.0)
                assert received.startswith(b"HTTP/1.1 200 ") is (
                    connection_state == "after final response"
                )
            assert (await harness.ask("last")).status == 200
            assert b"crossing" not in b" ".join(
                m.headers["x-request-id"].encode() for m in harness.upstreams[0].received_requests
            )

    run(test())


def test_lingering_connection_closes_although_client_keeps_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A client that keeps sending after the final response can't keep its connection open."""
    monkeypatch.setitem(connection_phase.LIMIT_S, Phase.LINGERING, 0.1)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            assert (await client.ask("r1", Connection="close")).status == 200
            with suppress(ConnectionError):
                while True:
                    client.writer.write(b"x" * 1000)
                    await client.writer.drain()
                    await asyncio.sleep(0.005)

    run(test())


def test_pipelined_request_does_not_start_after_client_disconnects(
    recorder: EventRecorder, frontends: list[Frontend]
) -> None:
    """A pipelined request does not start once the client has closed its connection.

    The request is still unparsed when the EOF arrives.
    """

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1")
            client.send("ahead")
            connection = await connection_with_open_request(frontends[0])
            while not connection.has_data:
                await asyncio.sleep(0)
            connection.eof_received()
            connection._parse()  # as after a response, or when the buffer has space again
            assert (await harness.ask("last")).status == 200
            assert [e.request for e in recorder.of_type(api.RequestArrived)] == ["r1", "last"]

    run(test())


def test_tcp_nodelay_is_set_on_both_sides(frontends: list[Frontend]) -> None:
    """Client and upstream connections set TCP_NODELAY.

    Data that the kernel delays in order to fill a segment is lost if the connection is reset.
    """

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1")
            connection = await connection_with_open_request(frontends[0])
            request = connection.open_request
            assert request is not None and request.attempts[0] is not None
            upstream = request.attempts[0].connection
            assert isinstance(upstream, UpstreamConnection)
            for transport in (connection.transport, upstream.transport):
                assert transport.socket.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 4
                ) != bytes(4)
            client.close()

    run(test())


# ---- disconnected clients ------------------------------------------------------------------------

RETRY_SETTINGS = replace(
    SETTINGS,
    limits=replace(
        SETTINGS.limits, max_attempts=3, may_cancel=False, connect_timeout_ns=20 * SECOND
    ),
)


@pytest.mark.parametrize("disconnect", ["closes", "resets"])
def test_no_retry_if_close_of_client_is_unread(disconnect: str, frontends: list[Frontend]) -> None:
    """A rejected attempt is not retried if the client's FIN or reset is still unread.

    The balancer does not read from the client, as happens while a body waits for buffer space or
    the event loop is late. So the FIN or reset is visible in the kernel only.
    """

    async def test() -> None:
        async with running_balancer(2, settings=RETRY_SETTINGS) as harness:
            rejection_released = asyncio.Event()

            async def reject_when_released() -> bytes:
                await rejection_released.wait()
                return http_response(503, b"", "X-Not-Run: 1")

            for upstream in harness.upstreams:
                upstream.script = [reject_when_released]
            with await connect_raw_socket(harness) as sock:
                sock.send(REQUEST)
                connection = await connection_with_open_request(frontends[0])
                while not any(u.received_requests for u in harness.upstreams):
                    await asyncio.sleep(0)
                connection.transport.pause_reading()
                if disconnect == "resets":
                    reset_on_close(sock)
            rejection_released.set()
            while frontends[0].driver.open:
                await asyncio.sleep(0)
            connection.transport.resume_reading()
            for upstream in harness.upstreams:
                upstream.script = []
            assert (await harness.ask("last")).status == 200
            assert [
                m.headers["x-request-id"] for u in harness.upstreams for m in u.received_requests
            ].count("r1") == 1

    run(test())


@contextmanager
def upstream_with_full_accept_queue() -> Iterator[tuple[Json, Callable[[], socket.socket]]]:
    """Provide an upstream whose accept queue is full, so that connects wait until it is emptied.

    Yields the upstream's entry in the endpoint list, and a function that empties the accept queue
    and accepts the next connection.
    """
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        address = server.getsockname()
        fillers = [socket.create_connection(address)]
        with suppress(TimeoutError):
            while True:
                fillers.append(socket.create_connection(address, 0.2))

        def accept_next() -> socket.socket:
            """Empty the accept queue, and return the next connection."""
            for sock in fillers:
                server.accept()[0].close()
                sock.close()
            server.settimeout(10.0)
            return server.accept()[0]

        yield {"id": "blocked", "addr": "{}:{}".format(*address), "state": "Ready"}, accept_next


@pytest.mark.parametrize(
    "obstacle",
    [
        "client closes",
        "client closes, unread",
        "upstream drains",
        "upstream restarts",
        "start limit passes",
    ],
)
def test_connection_established_too_late_carries_no_attempt(
    obstacle: str,
    frontends: list[Frontend],
    recorder: EventRecorder,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection carries no attempt if the attempt became invalid during the connect.

    The connect waits in a full accept queue. Meanwhile the client disconnects, the upstream drains
    or restarts, or the time within which the attempt must start runs out.
    """
    start_attempt = Dispatcher.start_attempt

    def start_attempt_with_limit(dispatcher: Dispatcher, *args: Any) -> None:
        """Start the attempt, but allow it to be written within 100 ms only."""
        start_attempt(dispatcher, *args)
        dispatcher.context.actions[-1] = cast(
            api.StartAttempt, dispatcher.context.actions[-1]
        )._replace(start_by_ns=100 * MS)

    if obstacle == "start limit passes":
        monkeypatch.setattr(Dispatcher, "start_attempt", start_attempt_with_limit)

    async def test() -> None:
        with upstream_with_full_accept_queue() as (row, accept_next):
            single_attempt_settings = replace(
                RETRY_SETTINGS, limits=replace(RETRY_SETTINGS.limits, max_attempts=1)
            )
            async with running_balancer(
                0,
                settings=single_attempt_settings,
                known={"version": 1, "full": True, "servers": [row]},
            ) as harness:
                client = await connect_raw_socket(harness)
                with closing(client):
                    client.send(REQUEST)
                    connection = await connection_with_open_request(frontends[0])
                    upstreams = frontends[0].driver.upstreams
                    while not upstreams.pool.connecting:
                        await asyncio.sleep(0)
                    if obstacle == "client closes, unread":
                        connection.transport.pause_reading()
                    if obstacle.startswith("client closes"):
                        client.close()
                    elif obstacle == "start limit passes":
                        await recorder.until(
                            lambda: recorder.results()[:1] == [api.AttemptResult.NOT_SENT]
                        )
                    elif obstacle == "upstream drains":
                        upstreams.learn(
                            [read_endpoint({**row, "state": "Terminating"})], full=False
                        )
                    else:
                        upstreams.learn([read_endpoint({**row, "started_ms": 7})], full=False)
                    accepted = await asyncio.to_thread(accept_next)
                    with accepted:
                        while upstreams.pool.connecting:
                            await asyncio.sleep(0)
                        accepted.settimeout(0.2)
                        with suppress(TimeoutError):
                            assert accepted.recv(4096) == b""

    run(test())


# ---- idle upstream connections -------------------------------------------------------------------


@pytest.mark.parametrize("unread", ["duplicate response", "FIN", "reset"])
def test_idle_connection_with_unread_data_carries_no_request(unread: str) -> None:
    """An idle connection with unread input is not reused.

    When the event loop is late, input may have arrived that was not read yet. An unread duplicate
    response would be taken for the response to the next request, and an unread FIN or reset would
    break a request that may not be retried.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            upstreams = Upstreams(SETTINGS.limits, 4, (), BodyMemory(1024))
            row = {"id": "s-0", "addr": "{}:{}".format(*server.getsockname()), "state": "Ready"}
            upstreams.learn([read_endpoint(row)], full=True)
            attempt_results: asyncio.Queue[tuple[api.AttemptResult, bytes]] = asyncio.Queue()

            def on_done(result: api.AttemptResult, response: Any, report: Any) -> None:
                attempt_results.put_nowait((result, response.body if response is not None else b""))

            for body in (b"first", b"second"):  # each must use a new connection
                upstreams.send(upstream_number("s-0"), REQUEST, on_done, Timing(5.0))
                upstream_socket, _ = await asyncio.wait_for(loop.sock_accept(server), 5.0)
                assert await loop.sock_recv(upstream_socket, 4096) == REQUEST
                await loop.sock_sendall(upstream_socket, http_response(200, body))
                assert await attempt_results.get() == (api.AttemptResult.OK, body)
                if unread == "duplicate response":
                    upstream_socket.send(http_response(200, b"stray"))
                elif unread == "FIN":
                    upstream_socket.shutdown(socket.SHUT_WR)
                else:
                    reset_on_close(upstream_socket)
                    upstream_socket.close()
            upstreams.close()
            upstream_socket.close()

    run(test())


def test_retry_must_start_within_window_of_key() -> None:
    """A retry must start before the retry window of its key ends.

    The policy started a retry within the window, but the retry was written after the window if its
    connection was established late.
    """
    policy_harness = PolicyHarness(settings(), servers=3)
    policy_harness.deliver(arrival(1, policy_harness.now, CELL_SCOPED, wait_ns=900 * MS))
    policy_harness.now += 150 * MS
    retries = of_type(
        api.StartAttempt, policy_harness.finish("r1", api.AttemptResult.RESET)
    ) or of_type(api.StartAttempt, policy_harness.advance(100 * MS))
    [retry] = retries
    assert isinstance(retry, api.StartAttempt)
    first_sent_ns, second_sent_ns = (sent for _, sent in policy_harness.sends["r1"])
    assert retry.start_by_ns == first_sent_ns + CELL_SCOPED.window_ns - second_sent_ns
    [first_attempt] = of_type(
        api.StartAttempt, policy_harness.deliver(arrival(2, policy_harness.now))
    )
    assert isinstance(first_attempt, api.StartAttempt) and first_attempt.start_by_ns == 0


# ---- shutdown ------------------------------------------------------------------------------------


def shorten_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the deadline of open requests at shutdown and its margin to 0.1 s."""
    monkeypatch.setattr(frontend, "MAX_SHUTDOWN_DEADLINE_NS", SECOND // 10)
    monkeypatch.setattr(frontend, "SHUTDOWN_MARGIN_NS", SECOND // 10)


def test_final_responses_are_sent_if_event_loop_is_late_at_shutdown(
    frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Final responses are sent even if the event loop is late at shutdown.

    The timers that end the open requests and the process then fire in the same event-loop
    iteration. The second timer must not discard the responses that the first one wrote.
    """
    shorten_shutdown(monkeypatch)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1", X_Deadline_Ms=3000)
            frontends[0].drain()
            await asyncio.sleep(0)
            time.sleep(
                0.2 + balancer_process.FINAL_ANSWERS_TIMEOUT_S + 0.2
            )  # blocks the event loop past both timers
            assert (await asyncio.wait_for(read_message(client.reader), 2.0)).status == 504
            await client.expect_eof()

    run(test())


@pytest.mark.parametrize(
    ("partial_request", "status"),
    [(REQUEST[:-2], 503), (POST % 9 + b"half", 503), (POST % 900_000 + b"x" * 99_000, 504)],
)
def test_partial_request_at_shutdown_receives_error_response(
    partial_request: bytes, status: int, frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client that has sent part of a request at shutdown receives an error response."""
    shorten_shutdown(monkeypatch)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            client.writer.write(partial_request)
            while not any(c.has_data for c in frontends[0].clients):
                await asyncio.sleep(0)
            frontends[0].drain()
            assert (await asyncio.wait_for(read_message(client.reader), 2.0)).status == status
            await client.expect_eof()

    run(test())


def test_request_after_shutdown_deadline_is_rejected_immediately(
    frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that arrives after the open requests were ended is rejected immediately."""
    shorten_shutdown(monkeypatch)
    monkeypatch.setattr(balancer_process, "FINAL_ANSWERS_TIMEOUT_S", 5.0)
    open_requests_ended = asyncio.Event()
    original_end_open = Frontend.end_open

    def end_open_and_notify(front: Frontend) -> None:
        original_end_open(front)
        open_requests_ended.set()

    monkeypatch.setattr(Frontend, "end_open", end_open_and_notify)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            while not frontends[0].clients:
                await asyncio.sleep(0)
            frontends[0].drain()
            await open_requests_ended.wait()
            assert (await asyncio.wait_for(client.ask("r1"), 2.0)).status == 503
            assert not harness.upstreams[0].received_requests

    run(test())


def test_response_and_client_close_in_same_iteration_leave_no_open_request(
    frontends: list[Frontend], recorder: EventRecorder
) -> None:
    """A response and its client's close in one event-loop iteration leave no request open."""

    async def test() -> None:
        async with running_balancer() as harness:
            harness.upstreams[0].script = [never_respond]
            with await connect_raw_socket(harness) as sock:
                sock.send(REQUEST)
                await harness.upstreams[0].until(lambda: harness.upstreams[0].received_requests)
                os.write(
                    harness.upstreams[0].connections[0].get_extra_info("socket").fileno(),
                    http_response(200, b"late"),
                )
            await recorder.until(lambda: recorder.of_type(api.AttemptFinished))
            driver = frontends[0].driver
            assert (await harness.ask("last")).status == 200
            assert not driver.requests and not driver.open and not driver.balancer.requests

    run(test())


def test_response_without_length_truncated_by_shutdown_is_reset(
    frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A response without a length that shutdown truncates ends in a reset.

    With a normal close, the client would take the truncated response for a complete one.
    """
    shorten_shutdown(monkeypatch)

    async def test() -> None:
        async with running_balancer() as harness:
            harness.upstreams[0].script = [
                b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 100_000
            ]
            # HTTP/1.0 has no chunked encoding, so a response without a length ends with the close
            # of the connection.
            monkeypatch.setattr(
                ClientConnection, "_begin_answer", without_length(ClientConnection._begin_answer)
            )
            with await connect_raw_socket(harness) as sock:
                sock.send(REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
                while not any(c.writer.body for c in frontends[0].clients):
                    await asyncio.sleep(0)
                frontends[0].drain()
                with pytest.raises(ConnectionResetError):
                    await asyncio.wait_for(read_until_eof(sock), 5.0)

    def without_length(original_begin_answer: Any) -> Any:
        def begin_without_length(client: ClientConnection, rows: Any, body: Any) -> None:
            body.length = None
            original_begin_answer(client, rows, body)

        return begin_without_length

    run(test())


def test_drain_before_start_prevents_listening(
    frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process that drains before it starts does not listen for clients."""
    listen_calls: list[object] = []
    monkeypatch.setattr(frontend, "listen", lambda *args: listen_calls.append(args))
    monkeypatch.setattr(frontend, "DRAIN_S", 0.0)
    start = Frontend.start

    def drain_then_start(front: Frontend) -> None:
        front.drain()
        start(front)

    monkeypatch.setattr(Frontend, "start", drain_then_start)

    async def test() -> None:
        async with running_balancer():
            while not frontends:
                await asyncio.sleep(0)
            await asyncio.wait_for(frontends[0].all_closed.wait(), 5.0)
            assert not listen_calls

    run(test())


def test_idle_clients_are_evicted_for_queued_clients_while_draining(
    frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """During a drain, idle clients are evicted so that clients in the accept queue are served."""
    monkeypatch.setattr(frontend, "EVICT_IDLE_S", 1000.0)
    monkeypatch.setattr(client_connection, "CLOSE_REJECTED_FRACTION", 9.0)
    monkeypatch.setattr(client_connection, "CLOSE_FRACTION", 9.0)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as harness:  # at most two clients
            idle_clients = [await harness.client(), await harness.client()]
            for number, client in enumerate(idle_clients):
                assert (await client.ask(f"r{number}")).status == 200
            queued_clients = [await harness.client(), await harness.client()]
            for number, client in enumerate(queued_clients):
                client.send(f"w{number}")
            frontends[0].drain()
            for client in queued_clients:
                assert (await asyncio.wait_for(read_message(client.reader), 5.0)).status == 200
            await asyncio.wait_for(frontends[0].all_closed.wait(), 5.0)

    run(test())


def test_queued_clients_at_shutdown_are_rejected_and_not_reset(
    frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients in the accept queue at shutdown are rejected with 503, not reset.

    Open requests used up the connection limit until shutdown. Closing the listener then reset the
    clients that were still in the accept queue.
    """
    shorten_shutdown(monkeypatch)
    monkeypatch.setattr(frontend, "DRAIN_S", 0.05)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as harness:  # at most two clients
            harness.upstreams[0].script = [never_respond] * 20
            accepted_clients = [await harness.client(), await harness.client()]
            for number, client in enumerate(accepted_clients):
                client.send(f"r{number}", X_Deadline_Ms=3000)
            await harness.upstreams[0].until(
                lambda: len(harness.upstreams[0].received_requests) >= len(accepted_clients)
            )
            queued_clients = [await harness.client(), await harness.client()]
            for number, client in enumerate(queued_clients):
                client.send(f"w{number}", X_Deadline_Ms=3000)
            frontends[0].drain()
            for client, status in [(c, 504) for c in accepted_clients] + [
                (c, 503) for c in queued_clients
            ]:
                assert (await asyncio.wait_for(read_message(client.reader), 5.0)).status == status

    run(test())


def test_process_with_file_not_locked_yet_is_not_considered_dead(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process that has created its file but not locked it yet is not considered dead.

    Another process checked between the two steps and removed the file. From then on, each process
    found no others.
    """
    first_registry = ProcessRegistry(tmp_path)
    original_flock = fcntl.flock
    pending_checks = [first_registry.check]

    def check_and_lock(file: Any, operation: int) -> None:
        if operation == fcntl.LOCK_EX and pending_checks:
            pending_checks.pop()()
        original_flock(file, operation)

    monkeypatch.setattr(fcntl, "flock", check_and_lock)
    second_registry = ProcessRegistry(tmp_path)
    first_registry.check()
    assert not pending_checks and len(first_registry.others) == len(second_registry.others) == 1
    second_registry.close()
    first_registry.check()
    assert first_registry.is_alone
    first_registry.close()


# ---- endpoint lists ------------------------------------------------------------------------------

FLEET_SETTINGS = replace(SETTINGS, instance_count=200)  # polls have a hold of 20 s


@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("failure", ["rejected", "reset", "timed out"])
def test_change_after_failed_poll_is_applied_whatever_the_next_hold(
    failure: str, push: bool, recorder: EventRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change after a failed poll is delivered within 6 s, whatever the hold of the next poll.

    The poll after a failed one had a hold of 20 s. If discovery stopped answering during that poll,
    all changes meanwhile were missed.
    """
    backoff_s = max(discovery_watch.MAX_BACKOFF_S, subscription.MAX_BACKOFF_NS / SECOND)
    assert (
        backoff_s
        + max(
            2 * discovery_watch.POLL_TIMEOUT_S,
            discovery_watch.CATCH_UP_HOLD_MS / 1000 + discovery_watch.ANSWER_GRACE_S,
        )
        <= discovery_watch.CHANGE_DEADLINE_S
    )
    monkeypatch.setattr(discovery, "POLL_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with running_balancer(
            2, settings=replace(FLEET_SETTINGS, discovery_push=push)
        ) as harness:
            fake_discovery = harness.discovery
            await harness.wait_for_endpoint_list()
            fake_discovery.busy, fake_discovery.down = failure == "rejected", failure == "reset"
            fake_discovery.silent = failure == "timed out"
            poll_count = len(fake_discovery.received_requests)
            if failure == "rejected":
                fake_discovery.change(harness.upstreams[0].row())  # ends the poll in flight
            else:
                fake_discovery.abort_connections()
            await fake_discovery.until(
                lambda: len(fake_discovery.received_requests) > poll_count + 1
            )
            (
                fake_discovery.max_answered_wait_ms,
                fake_discovery.busy,
                fake_discovery.down,
                fake_discovery.silent,
            ) = (
                discovery_watch.CATCH_UP_HOLD_MS,
                False,
                False,
                False,
            )
            fake_discovery.change(harness.upstreams[1].row("Gone"))
            removed_upstream = upstream_number(harness.upstreams[1].name)

            def is_removal_delivered() -> bool:
                [last_update] = recorder.of_type(api.EndpointsUpdated)[-1:]
                return (
                    last_update.kind is api.EndpointListKind.FULL
                    and removed_upstream not in [u.id for u in last_update.upstreams]
                    or last_update.kind is api.EndpointListKind.DELTA
                    and removed_upstream in [u.id for u in last_update.upstreams]
                )

            await asyncio.wait_for(recorder.until(is_removal_delivered), 6.0)

    run(test())


def test_address_change_does_not_wait_for_backoff(
    frontends: list[Frontend], recorder: EventRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A change of discovery's address does not wait for the backoff after a failed poll.

    After a switch to another address (SIGHUP), the list from the new address must be in force
    within 4 s.
    """
    monkeypatch.setattr(subscription, "MAX_BACKOFF_NS", 1000 * SECOND)

    async def test() -> None:
        rules = replace(FLEET_SETTINGS.rules, list_expiry_ns=1000 * SECOND)
        async with running_balancer(
            2, settings=replace(FLEET_SETTINGS, discovery_push=False, rules=rules)
        ) as harness:
            harness.discovery.down = True
            monkeypatch.setattr(subscription, "SPREAD_NS", 0)
            monkeypatch.setattr(subscription, "SPREAD_WITHOUT_UPSTREAMS_NS", 0)
            await recorder.until(
                lambda: (
                    api.EndpointListKind.FAILED
                    in [e.kind for e in recorder.of_type(api.EndpointsUpdated)]
                )
            )
            discovery_client = frontends[0].driver.discovery
            assert isinstance(discovery_client, discovery.Discovery)
            other_discovery = FakeDiscovery([harness.upstreams[1].row()])
            await other_discovery.start()
            discovery_client.change_address(other_discovery.address)
            await asyncio.wait_for(
                recorder.until(
                    lambda: [
                        e
                        for e in recorder.of_type(api.EndpointsUpdated)
                        if e.kind is api.EndpointListKind.FULL
                    ]
                ),
                4.0,
            )
            other_discovery.stop()

    run(test())


def test_policy_subscribes_again_within_max_backoff() -> None:
    """Without push, the policy subscribes again within its maximum backoff after each failure."""
    policy_harness = PolicyHarness(settings(discovery_push=False))
    for _ in range(12):
        policy_harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FAILED, []))
        failed_at_ns = policy_harness.now
        while not of_type(api.SubscribeEndpoints, policy_harness.advance(10 * MS)):
            assert policy_harness.now - failed_at_ns <= subscription.MAX_BACKOFF_NS + 20 * MS


def test_fetched_list_does_not_wait_for_watch_poll(
    recorder: EventRecorder, frontends: list[Frontend]
) -> None:
    """A list fetched in addition to the watch does not wait for the watch's poll.

    The fetch waited for the only connection, and so for the hold of the poll in flight.
    """

    async def test() -> None:
        async with running_balancer(2, settings=FLEET_SETTINGS) as harness:
            await harness.wait_for_endpoint_list()
            discovery_client = frontends[0].driver.discovery
            assert discovery_client is not None
            harness.discovery.rows.pop()  # without a new version, so the watch reports nothing
            discovery_client.fetch()
            await asyncio.wait_for(
                recorder.until(
                    lambda: [
                        e.kind
                        for e in recorder.of_type(api.EndpointsUpdated)
                        if len(e.upstreams) == 1
                    ]
                ),
                6.0,
            )
            await harness.update_endpoints(
                harness.upstreams[0].row("Terminating")
            )  # the watch is still in force

    run(test())


def test_answer_of_old_address_after_address_change_is_ignored(
    frontends: list[Frontend], recorder: EventRecorder
) -> None:
    """An answer from the old discovery address that is read after an address change is ignored."""

    async def test() -> None:
        async with running_balancer(2) as harness:
            await harness.wait_for_endpoint_list()
            discovery_client = frontends[0].driver.discovery
            assert isinstance(discovery_client, discovery.Discovery)
            other_discovery = FakeDiscovery([harness.upstreams[1].row()])
            await other_discovery.start()
            # The old address's answer has been written but not read when the address changes.
            harness.discovery.change(harness.upstreams[0].row("Terminating"))
            while not discovery_client.connection or discovery_client.connection.reusable:
                await asyncio.sleep(0)
            discovery_client.change_address(other_discovery.address)
            await other_discovery.until(
                lambda: any("from=1&" in m.start_line[1] for m in other_discovery.received_requests)
            )
            assert [e.kind for e in recorder.of_type(api.EndpointsUpdated)] == [
                api.EndpointListKind.CACHED,
                api.EndpointListKind.FULL,
            ]
            other_discovery.stop()

    run(test())


def test_invalid_entries_are_logged_in_one_line(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Invalid entries of a list are skipped and logged in one line, however many they are."""
    invalid_rows = [{"id": f"s-{n}", "addr": "a.host:80"} for n in range(1000)]
    valid_row = {"id": "s-0", "addr": "127.0.0.1:80"}
    version, full, endpoints = endpoint_list.read_list(
        {"version": 1, "servers": [*invalid_rows, valid_row]}
    )
    assert (version, full, len(endpoints), len(caplog.records)) == (1, False, 1, 1)


# ---- duplicate responses -------------------------------------------------------------------------


class StubAttempt:
    """An attempt that starts unless the upstream may not be used."""

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
        self.upstreams = Upstreams(SETTINGS.limits, 8, (), BodyMemory(1024))
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
