"""Where two events cross: at shutdown, at close, in retries, while a connection comes up. Each
crossing is forced. `docs/design/races.md` lists them by state and event, with the test of each.
"""

from __future__ import annotations

import asyncio
import fcntl
import os
import socket
import struct
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
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset
REQUEST = message(b"GET /quote HTTP/1.1", [(b"Host", b"h"), (b"X-Request-Id", b"r1")])


async def connect_raw_socket(harness: BalancerHarness) -> socket.socket:
    """A client's bare socket: what it does is done at once, not on a turn of the loop."""
    sock = socket.socket()
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, harness.address)
    return sock


async def read_until_eof(sock: socket.socket) -> bytes:
    """All that comes until the end; a reset raises."""
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(sock, 65536):
        received += data
    return received


async def connection_with_open_request(front: Frontend) -> ClientConnection:
    while not front.clients or not any(c.open_request for c in front.clients):
        await asyncio.sleep(0)
    return next(c for c in front.clients if c.open_request)


# ---- close ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("connection_state", ["behind the last answer", "at rest", "silent"])
def test_request_received_during_close_does_not_reset_connection(
    connection_state: str, frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Bytes that come between the last look and the close turned it into a reset, which can take
    along an answer that its client has not read yet. Nor is what comes then sent on.
    """

    async def test() -> None:
        async with running_balancer() as harness:
            with await connect_raw_socket(harness) as sock:
                late_request = REQUEST.replace(b"r1", b"crossing")
                if connection_state == "behind the last answer":
                    original_write = ClientConnection.write

                    def write_and_send_request(client: ClientConnection, data: bytes) -> None:
                        original_write(client, data)
                        if sock.fileno() >= 0:  # not for the last request
                            sock.send(late_request)

                    sock.send(REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
                    monkeypatch.setattr(ClientConnection, "write", write_and_send_request)
                else:
                    if connection_state == "at rest":
                        sock.send(REQUEST)
                        await asyncio.get_running_loop().sock_recv(sock, 4096)
                    while not frontends[0].clients:
                        await asyncio.sleep(0)
                    [client] = frontends[0].clients
                    phase = Phase.IDLE if connection_state == "at rest" else Phase.NEW
                    while client.phase is not phase:
                        await asyncio.sleep(0)
                    frontends[0].clients_by_phase[phase][client] -= 60.0
                    frontends[0]._sweep()
                    sock.send(late_request)
                received = await asyncio.wait_for(read_until_eof(sock), 5.0)
                assert received.startswith(b"HTTP/1.1 200 ") is (
                    connection_state == "behind the last answer"
                )
            assert (await harness.ask("last")).status == 200
            assert b"crossing" not in b" ".join(
                m.headers["x-request-id"].encode() for m in harness.upstreams[0].received_requests
            )

    run(test())


def test_lingering_connection_closes_although_client_keeps_sending(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
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
    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1")
            client.send("ahead")
            connection = await connection_with_open_request(frontends[0])
            while not connection.has_data:
                await asyncio.sleep(0)
            connection.eof_received()
            connection._parse()  # as behind an answer, or once its buffer has room
            assert (await harness.ask("last")).status == 200
            assert [e.request for e in recorder.of_type(api.RequestArrived)] == ["r1", "last"]

    run(test())


def test_tcp_nodelay_is_set_on_both_sides(frontends: list[Frontend]) -> None:
    """What the system holds back to fill a segment goes with a reset: so it holds back nothing."""

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1")
            connection = await connection_with_open_request(frontends[0])
            assert connection.transport is not None
            request = connection.open_request
            assert request is not None and request.attempts[0] is not None
            upstream = request.attempts[0].connection
            assert isinstance(upstream, UpstreamConnection) and upstream.transport is not None
            for transport in (connection.transport, upstream.transport):
                sock = transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            client.close()

    run(test())


# ---- a client that has gone ----------------------------------------------------------------------

RETRY_SETTINGS = replace(
    SETTINGS,
    limits=replace(
        SETTINGS.limits, max_attempts=3, may_cancel=False, connect_timeout_ns=20 * SECOND
    ),
)


@pytest.mark.parametrize("disconnect", ["closes", "resets"])
def test_no_retry_if_close_of_client_is_unread(disconnect: str, frontends: list[Frontend]) -> None:
    """It is not read from, as while a body waits for room or the loop is late: the end lies in the
    kernel.
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
                assert connection.transport is not None
                while not any(u.received_requests for u in harness.upstreams):
                    await asyncio.sleep(0)
                connection.transport.pause_reading()
                if disconnect == "resets":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
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
    """An upstream whose accept queue is full: connections to it come up only once it is emptied.
    Gives its entry of the list, and a call that empties the queue and takes the next connection.
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
            for sock in fillers:
                server.accept()[0].close()
                sock.close()
            server.settimeout(10.0)
            return server.accept()[0]

        yield {"id": "blocked", "addr": "{}:{}".format(*address), "state": "Ready"}, accept_next


@pytest.mark.parametrize(
    "obstacle",
    [
        "its client goes",
        "its client goes unread",
        "it drains",
        "it restarts",
        "it may not be repeated any more",
    ],
)
def test_connection_established_too_late_carries_no_attempt(
    obstacle: str,
    frontends: list[Frontend],
    recorder: EventRecorder,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    start_attempt = Dispatcher.start_attempt

    def start_attempt_with_limit(module: Dispatcher, *args: Any) -> None:
        start_attempt(module, *args)
        module.context.actions[-1] = cast(api.StartAttempt, module.context.actions[-1])._replace(
            start_by_ns=100 * MS
        )

    if obstacle == "it may not be repeated any more":
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
                    if obstacle == "its client goes unread":
                        assert connection.transport is not None
                        connection.transport.pause_reading()
                    if obstacle.startswith("its client"):
                        client.close()
                    elif obstacle == "it may not be repeated any more":
                        await recorder.until(
                            lambda: recorder.results()[:1] == [api.AttemptResult.NOT_SENT]
                        )
                    elif obstacle == "it drains":
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


# ---- an idle connection to an upstream -----------------------------------------------------------


@pytest.mark.parametrize("unread", ["a second answer", "the end", "a reset"])
def test_idle_connection_with_unread_data_carries_no_request(unread: str) -> None:
    """With the loop late, what came lies unread: a late second answer would be taken for the next
    one's, and the upstream's close would break a request that may not be repeated.
    """

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            upstreams = Upstreams(SETTINGS.limits, 4, (), BodyMemory(1024))
            row = {"id": "s-0", "addr": "{}:{}".format(*server.getsockname()), "state": "Ready"}
            upstreams.learn([read_endpoint(row)], full=True)
            results: asyncio.Queue[tuple[api.AttemptResult, bytes]] = asyncio.Queue()

            def on_done(result: api.AttemptResult, response: Any, report: Any) -> None:
                results.put_nowait((result, response.body if response is not None else b""))

            for body in (b"first", b"second"):  # each on a connection of its own
                upstreams.send(upstream_number("s-0"), REQUEST, on_done, Timing(5.0))
                upstream_socket, _ = await asyncio.wait_for(loop.sock_accept(server), 5.0)
                assert await loop.sock_recv(upstream_socket, 4096) == REQUEST
                await loop.sock_sendall(upstream_socket, http_response(200, body))
                assert await results.get() == (api.AttemptResult.OK, body)
                if unread == "a second answer":
                    upstream_socket.send(http_response(200, b"stray"))
                elif unread == "the end":
                    upstream_socket.shutdown(socket.SHUT_WR)
                else:
                    upstream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    upstream_socket.close()
            upstreams.close()
            upstream_socket.close()

    run(test())


def test_retry_must_start_within_window_of_key() -> None:
    """Chosen inside the window of its key, it began behind it where its connection came up late."""
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
    monkeypatch.setattr(frontend, "MAX_SHUTDOWN_DEADLINE_NS", SECOND // 10)
    monkeypatch.setattr(frontend, "SHUTDOWN_MARGIN_NS", SECOND // 10)


def test_final_responses_are_sent_if_event_loop_is_late_at_shutdown(
    frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end of the open requests and that of the process come due on one turn: the second must
    not drop the answers of the first.
    """
    shorten_shutdown(monkeypatch)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client_awaiting_response("r1", X_Deadline_Ms=3000)
            frontends[0].drain()
            await asyncio.sleep(0)
            time.sleep(
                0.2 + balancer_process.FINAL_ANSWERS_TIMEOUT_S + 0.2
            )  # the loop stands still over both times
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
    shorten_shutdown(monkeypatch)

    async def test() -> None:
        async with running_balancer() as harness:
            harness.upstreams[0].script = [
                b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 100_000
            ]
            # To HTTP/1.0, which knows no chunks, an answer whose length was not told ends by its
            # close.
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
    monkeypatch.setattr(frontend, "EVICT_IDLE_S", 1000.0)
    monkeypatch.setattr(client_connection, "CLOSE_REJECTED_FRACTION", 9.0)
    monkeypatch.setattr(client_connection, "CLOSE_FRACTION", 9.0)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as harness:  # places for two clients
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
    """All places were taken by open requests until the end, and closing the listener reset those
    that waited behind them.
    """
    shorten_shutdown(monkeypatch)
    monkeypatch.setattr(frontend, "DRAIN_S", 0.05)

    async def test() -> None:
        async with running_balancer(sockets=RESERVE + 2 * 2) as harness:  # places for two clients
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
    """The other one looked in between, removed the file, and each thought itself alone from then
    on.
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


# ---- lists ---------------------------------------------------------------------------------------

FLEET_SETTINGS = replace(SETTINGS, instance_count=200)  # each call waits for 20 s there


@pytest.mark.parametrize("push", [True, False])
@pytest.mark.parametrize("failure", ["turned away", "broken", "given up"])
def test_change_after_failed_poll_is_applied_whatever_the_next_hold(
    failure: str, push: bool, recorder: EventRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The call behind it waited for 20 s: fallen silent, it hid all changes meanwhile."""
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
            fake_discovery.busy, fake_discovery.down = failure == "turned away", failure == "broken"
            fake_discovery.silent = failure == "given up"
            poll_count = len(fake_discovery.received_requests)
            if failure == "turned away":
                fake_discovery.change(harness.upstreams[0].row())  # ends the call that waits
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
    """Told to go elsewhere (SIGHUP), discovery's word there counts 4 s later."""
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
    policy_harness = PolicyHarness(settings(discovery_push=False))
    for _ in range(12):
        policy_harness.deliver(api.EndpointsUpdated(api.EndpointListKind.FAILED, []))
        failed_at_ns = policy_harness.now
        while not of_type(api.SubscribeEndpoints, policy_harness.advance(10 * MS)):
            assert policy_harness.now - failed_at_ns <= subscription.MAX_BACKOFF_NS + 20 * MS


def test_fetched_list_does_not_wait_for_watch_poll(
    recorder: EventRecorder, frontends: list[Frontend]
) -> None:
    """It waited for the one connection, and with it for the hold of the call that was out there."""

    async def test() -> None:
        async with running_balancer(2, settings=FLEET_SETTINGS) as harness:
            await harness.wait_for_endpoint_list()
            discovery_client = frontends[0].driver.discovery
            assert discovery_client is not None
            harness.discovery.rows.pop()  # nobody is told
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
            )  # and it goes on being watched

    run(test())


def test_answer_of_old_address_after_address_change_is_ignored(
    frontends: list[Frontend], recorder: EventRecorder
) -> None:
    async def test() -> None:
        async with running_balancer(2) as harness:
            await harness.wait_for_endpoint_list()
            discovery_client = frontends[0].driver.discovery
            assert isinstance(discovery_client, discovery.Discovery)
            other_discovery = FakeDiscovery([harness.upstreams[1].row()])
            await other_discovery.start()
            # The old one's answer is written, and lies unread, when the move comes.
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
    invalid_rows = [{"id": f"s-{n}", "addr": "a.host:80"} for n in range(1000)]
    valid_row = {"id": "s-0", "addr": "127.0.0.1:80"}
    version, full, endpoints = endpoint_list.read_list(
        {"version": 1, "servers": [*invalid_rows, valid_row]}
    )
    assert (version, full, len(endpoints), len(caplog.records)) == (1, False, 1, 1)


# ---- a second answer -----------------------------------------------------------------------------


class StubAttempt:
    """A request that starts only where its upstream may be used."""

    def begin(self, upstream_verdict: Verdict) -> bytes | Denied:
        return upstream_verdict if isinstance(upstream_verdict, Denied) else REQUEST

    def may_finish(self) -> bool:
        return True


class SingleUpstream:
    """An upstream of bare sockets, and connections to it."""

    def __init__(self, server: socket.socket) -> None:
        server.setblocking(False)
        self.server = server
        self.upstreams = Upstreams(SETTINGS.limits, 8, (), BodyMemory(1024))
        self.learn("Ready")
        self.response_bodies: asyncio.Queue[bytes] = asyncio.Queue()

    def learn(self, state: str) -> None:
        row = {"id": "s-0", "addr": "{}:{}".format(*self.server.getsockname()), "state": state}
        self.upstreams.learn([read_endpoint(row)], full=True)

    def send(self, on_done: AttemptCallback) -> Exchange | None:
        return self.upstreams.send(upstream_number("s-0"), StubAttempt(), on_done, Timing(5.0))

    def ask(self) -> None:
        self.send(
            lambda result, response, report: self.response_bodies.put_nowait(
                response.body if response is not None else b""
            )
        )

    async def accept_request(self) -> socket.socket:
        """The next connection, with a request on it."""
        upstream_socket, _ = await asyncio.wait_for(
            asyncio.get_running_loop().sock_accept(self.server), 5.0
        )
        assert await asyncio.get_running_loop().sock_recv(upstream_socket, 4096) == REQUEST
        return upstream_socket


async def check_duplicate_response_is_not_reused(had_duplicate_before: bool) -> None:
    """The next request is asked for at once, and a second copy of the first answer is on its
    way.
    """
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as server:
        upstream = SingleUpstream(server)
        upstream.upstreams.pool.cautious_until_s = loop.time() + 60.0 * had_duplicate_before
        upstream.ask()
        with await upstream.accept_request() as upstream_socket:
            await loop.sock_sendall(upstream_socket, http_response(200, b"first"))
            assert await upstream.response_bodies.get() == b"first"
            upstream.ask()  # at once
            upstream_socket.send(http_response(200, b"first, once more"))
            with await upstream.accept_request() as other_socket:
                await loop.sock_sendall(other_socket, http_response(200, b"second"))
                assert await upstream.response_bodies.get() == b"second"
        upstream.upstreams.close()


def test_late_duplicate_response_is_not_used_for_next_request() -> None:
    """Seen in a soak: the next request was written 1 ms behind the first answer, and served with
    the second one, which no upstream had made for it.
    """
    run(check_duplicate_response_is_not_reused(had_duplicate_before=False))


def test_repeated_duplicate_response_is_not_used_for_next_request() -> None:
    run(check_duplicate_response_is_not_reused(had_duplicate_before=True))


def test_settle_time_is_longer_after_duplicate_response() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            upstream = SingleUpstream(server)
            upstream.ask()
            with await upstream.accept_request() as upstream_socket:
                await loop.sock_sendall(
                    upstream_socket,
                    http_response(200, b"first") + http_response(200, b"first, once more"),
                )
                assert await upstream.response_bodies.get() == b"first"
                assert (
                    await loop.sock_recv(upstream_socket, 10) == b""
                )  # that connection is not used any more
            upstream.ask()
            with await upstream.accept_request() as upstream_socket:
                await loop.sock_sendall(upstream_socket, http_response(200, b"second"))
                assert await upstream.response_bodies.get() == b"second"
                await asyncio.sleep(
                    2 * connection_pool.SETTLE_S
                )  # a connection that rests for so long is used else
                upstream.ask()
                with await upstream.accept_request() as other_socket:
                    await loop.sock_sendall(other_socket, http_response(200, b"third"))
                    assert await upstream.response_bodies.get() == b"third"
            upstream.upstreams.close()

    run(test())


def test_connection_without_response_is_reused_without_settling() -> None:
    async def test() -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            upstream = SingleUpstream(server)
            cancelled = upstream.send(lambda *_: None)
            assert cancelled is not None
            cancelled.finish(api.AttemptResult.NOT_SENT)
            await asyncio.gather(*upstream.upstreams.pool.connecting)  # its connection came up idle
            upstream.ask()
            assert upstream.upstreams.connections_open == 1
            (await upstream.accept_request()).close()
            upstream.upstreams.close()

    run(test())


@pytest.mark.parametrize("state", ["Ready", "Terminating"])
def test_attempt_waiting_for_settling_checks_upstream_state_again(
    state: str,
) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            upstream = SingleUpstream(server)
            upstream.ask()
            with await upstream.accept_request() as upstream_socket:
                await loop.sock_sendall(upstream_socket, http_response(200, b"first"))
                assert await upstream.response_bodies.get() == b"first"
                upstream.ask()  # at once: it waits
                upstream.learn(state)
                if state == "Ready":
                    assert await loop.sock_recv(upstream_socket, 4096) == REQUEST
                    await loop.sock_sendall(upstream_socket, http_response(200, b"second"))
                    assert await upstream.response_bodies.get() == b"second"
                else:
                    assert await upstream.response_bodies.get() == b""
                    assert await loop.sock_recv(upstream_socket, 4096) == b""
            upstream.upstreams.close()

    run(test())


def test_frequent_settle_waits_open_another_connection() -> None:
    """With many requests a second each would be late by up to the whole rest."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            upstream = SingleUpstream(server)
            upstream.ask()
            with await upstream.accept_request() as upstream_socket:
                await loop.sock_sendall(upstream_socket, http_response(200, b"first"))
                for _ in range(connection_pool.MAX_SETTLE_WAITS):
                    assert await upstream.response_bodies.get() == b"first"
                    upstream.ask()  # at once: it waits
                    assert await loop.sock_recv(upstream_socket, 4096) == REQUEST
                    await loop.sock_sendall(upstream_socket, http_response(200, b"first"))
                assert await upstream.response_bodies.get() == b"first"
                upstream.ask()
                with await upstream.accept_request() as other_socket:
                    await loop.sock_sendall(other_socket, http_response(200, b"other"))
                    assert await upstream.response_bodies.get() == b"other"
            upstream.upstreams.close()

    run(test())
