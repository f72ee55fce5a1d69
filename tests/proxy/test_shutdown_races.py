"""Races between two events while a process shuts down; see `docs/design/races.md`."""

from __future__ import annotations

import asyncio
import fcntl
import os
import time
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy import (
    client_connection,
    frontend,
)
from loadbalancer.proxy import process as balancer_process
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.proxy.resource_limits import RESERVE
from tests.fakes import (
    SECOND,
    EventRecorder,
    http_response,
    never_respond,
    read_message,
    run,
    running_balancer,
)
from tests.raw_sockets import POST, REQUEST, connect_raw_socket, read_until_eof


def shorten_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the deadline of open requests, its margin and that of long answers to 0.1 s."""
    monkeypatch.setattr(balancer_process, "LONG_ANSWERS_TIMEOUT_S", 0.1)
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
