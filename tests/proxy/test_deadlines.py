"""An attempt announces at most the time that its client has left when the attempt is written."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import closing
from dataclasses import replace
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.policy import api
from loadbalancer.policy.rules import ALLOWED, Denied, Verdict
from loadbalancer.proxy.attempt import AttemptLimits, OutgoingAttempt
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.messages import Response
from loadbalancer.proxy.policy_violations import PolicyViolations
from loadbalancer.proxy.requests import OpenRequest
from loadbalancer.proxy.upstream_connection import UpstreamConnection
from tests.fakes import (
    MS,
    SECOND,
    SETTINGS,
    BalancerHarness,
    EventRecorder,
    Message,
    http_response,
    read_message,
    run,
    running_balancer,
)
from tests.raw_sockets import (
    connect_raw_socket,
    connection_with_open_request,
    upstream_with_full_accept_queue,
)

MAX_STALL_MS = 150  # longest stall between reading the clock and writing
LONG_CONNECT_SETTINGS = replace(
    SETTINGS, limits=replace(SETTINGS.limits, connect_timeout_ns=5 * SECOND)
)
STREAMED_BODY_BYTES = 200_000  # large enough to be streamed


@pytest.fixture
def attempt_start_times_ns(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """Return the list of times at which the first byte of each attempt was written, in ns."""
    times: list[int] = []
    start = UpstreamConnection.start

    def start_and_record_time(
        connection: UpstreamConnection, exchange: Exchange, *upstream_verdict: Verdict
    ) -> None:
        times.append(time.monotonic_ns())
        start(connection, exchange, *upstream_verdict)

    monkeypatch.setattr(UpstreamConnection, "start", start_and_record_time)
    yield times


def announced_deadline_ms(message: Message) -> int:
    """Return the time that a request announces to its upstream, in ms."""
    return int(message.headers["x-deadline-ms"])


def test_late_connection_announces_time_remaining_at_write(
    attempt_start_times_ns: list[int], frontends: list[Frontend]
) -> None:
    """A late connection announces the time that remains when the request is written.

    The upstream's accept queue is full, so the kernel sends the SYN again after 1 s.
    """

    async def test() -> None:
        with upstream_with_full_accept_queue() as (row, accept_next):
            async with running_balancer(
                0,
                settings=LONG_CONNECT_SETTINGS,
                known={"version": 1, "full": True, "servers": [row]},
            ) as harness:
                with closing(await connect_raw_socket(harness)) as client:
                    received_ns = time.monotonic_ns()
                    client.send(
                        b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Class: quote\r\n"
                        b"X-Deadline-Ms: 2800\r\n\r\n"
                    )
                    await connection_with_open_request(frontends[0])
                    while not frontends[0].driver.upstreams.pool.connecting:
                        await asyncio.sleep(0)
                    await asyncio.sleep(0.2)  # the SYN is dropped because the queue is full
                    upstream_socket = await asyncio.to_thread(accept_next)
                    upstream_socket.setblocking(False)
                    reader, writer = await asyncio.open_connection(sock=upstream_socket)
                    with closing(writer):
                        message = await read_message(reader)
                        remaining_ms = 2800 - (attempt_start_times_ns[-1] - received_ns) / 1e6
                        assert announced_deadline_ms(message) <= remaining_ms + MAX_STALL_MS
                        writer.write(http_response(200, b"done"))
                        assert (await asyncio.get_running_loop().sock_recv(client, 99)).startswith(
                            b"HTTP/1.1 200 "
                        )

    run(test())


def test_streamed_body_announces_at_most_deadline_of_client() -> None:
    """The head of a streamed body announces at most the client's deadline."""
    deadline_ms = 400

    async def test() -> None:
        async with running_balancer(settings=LONG_CONNECT_SETTINGS) as harness:
            client = await harness.client()
            client.send(
                "r1", "pay", "POST", X_Deadline_Ms=deadline_ms, Content_Length=STREAMED_BODY_BYTES
            )
            client.writer.write(b"x" * (STREAMED_BODY_BYTES - 1))
            await wait_until_connected(harness)
            client.writer.write(b"x")
            assert (await read_message(client.reader)).status == 200
            assert announced_deadline_ms(harness.upstreams[0].received_requests[0]) <= deadline_ms
            client.close()

    run(test())


def test_last_body_byte_is_not_written_if_announced_deadline_is_too_late(
    recorder: EventRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The last byte of a body is not written if the announced time is too long by then.

    The upstream reads slowly. The client's deadline counts from the last byte that the balancer has
    received, and the upstream's from the last byte written, while that byte waits in the balancer.
    """
    started: list[tuple[UpstreamConnection, Body]] = []
    start = UpstreamConnection.start

    def start_and_record_body(
        connection: UpstreamConnection, exchange: Exchange, *upstream_verdict: Verdict
    ) -> None:
        if exchange.body is not None:
            started.append((connection, exchange.body))
        start(connection, exchange, *upstream_verdict)

    monkeypatch.setattr(UpstreamConnection, "start", start_and_record_body)
    original_resume_writing = UpstreamConnection.resume_writing

    async def test() -> None:
        async with running_balancer(settings=LONG_CONNECT_SETTINGS) as harness:
            client = await harness.client()
            client.send("r1", "pay", "POST", X_Deadline_Ms=500, Content_Length=STREAMED_BODY_BYTES)
            client.writer.write(b"x" * (STREAMED_BODY_BYTES - 1))
            while not started or started[0][1].taken_bytes < STREAMED_BODY_BYTES - 1:
                await asyncio.sleep(0)
            started[0][0].pause_writing()
            client.writer.write(b"x")
            monkeypatch.setattr(UpstreamConnection, "resume_writing", lambda connection: None)
            await recorder.until(lambda: recorder.of_type(api.BodyCompleted))
            await asyncio.sleep(0.42)  # more than the half of the time that is left for the body
            original_resume_writing(started[0][0])
            assert (await read_message(client.reader)).status in (502, 503, 504)
            await harness.upstreams[0].until(lambda: harness.upstreams[0].peer_closed_count)
            assert not harness.upstreams[0].received_requests  # the request never became complete
            client.close()

    run(test())


async def wait_until_connected(harness: BalancerHarness) -> None:
    """Wait until the first upstream has accepted a connection."""
    while not harness.upstreams[0].connections:
        await asyncio.sleep(0)


def test_retry_announces_remaining_time(attempt_start_times_ns: list[int]) -> None:
    """A retry announces the time that remains when the retry is written."""

    async def test() -> None:
        limits = replace(LONG_CONNECT_SETTINGS.limits, max_attempts=2)
        async with running_balancer(
            2, settings=replace(LONG_CONNECT_SETTINGS, limits=limits)
        ) as harness:
            rejection_released = asyncio.Event()

            async def reject_when_released() -> bytes:
                await rejection_released.wait()
                return http_response(503, b"", "X-Not-Run: 1")

            for upstream in harness.upstreams:
                upstream.script = [reject_when_released]
            client = await harness.client()
            received_ns = time.monotonic_ns()
            client.send("r1", X_Deadline_Ms=2000)
            while not attempt_start_times_ns:
                await asyncio.sleep(0)
            await asyncio.sleep(0.2)  # the test needs real time to pass
            rejection_released.set()
            while len(attempt_start_times_ns) < 2:
                await asyncio.sleep(0)
            for upstream in harness.upstreams:
                upstream.script = []
            await read_message(client.reader)
            forwarded = [m for u in harness.upstreams for m in u.received_requests]
            assert (
                min(map(announced_deadline_ms, forwarded))
                <= 2000 - (attempt_start_times_ns[1] - received_ns) / 1e6 + MAX_STALL_MS
            )
            client.close()

    run(test())


class ConnectedClient:
    """A client that waits for its response."""

    gone = False

    def serve(self, response: Response) -> None: ...

    def reject(self, retry_after_ns: int) -> None: ...

    def fail(self, status: int) -> None: ...

    def abort(self) -> None: ...


milliseconds = st.integers(0, 4000)


@settings(deadline=None, max_examples=300)
@given(
    wait_ms=st.integers(1, 4000),
    timeout_ms=st.integers(0, 4000),
    is_streamed=st.booleans(),
    decision_delay_ms=milliseconds,
    connect_delay_ms=milliseconds,
    body_duration_ms=milliseconds,
    write_delay_ms=milliseconds,
    stall_ms=st.integers(0, MAX_STALL_MS),
    event_loop_delay_ms=st.integers(0, 50),
    attempt_number=st.integers(0, 1),
)
def test_announced_deadline_never_exceeds_remaining_time_of_client(
    wait_ms: int,
    timeout_ms: int,
    is_streamed: bool,
    decision_delay_ms: int,
    connect_delay_ms: int,
    body_duration_ms: int,
    write_delay_ms: int,
    stall_ms: int,
    event_loop_delay_ms: int,
    attempt_number: int,
) -> None:
    """No delay of an attempt makes it announce more time than its client has left.

    Covers first attempts, retries and hedged requests.

    Args:
        wait_ms: The client's deadline.
        timeout_ms: Timeout of the attempt; 0: 4000 ms.
        is_streamed: Whether the body is streamed.
        decision_delay_ms: Time from the request's arrival to the decision to start the attempt.
        connect_delay_ms: Time from the decision to the write of the head.
        body_duration_ms: Time from the head to the last byte of a streamed body.
        write_delay_ms: Time from the arrival of that byte to its write.
        stall_ms: Time from reading the clock to the write.
        event_loop_delay_ms: Additional delay of that byte's write by the event loop.
        attempt_number: Index of the attempt within its request.
    """
    start_ns = 10 * SECOND
    wait_ns, is_complete = wait_ms * MS, not is_streamed
    deadline_ns = start_ns + wait_ns if is_complete else start_ns + 600 * SECOND
    arrival = api.RequestArrived(
        "r1", "pay", "ash", deadline_ns, received_ns=start_ns, body_complete=is_complete
    )
    body = Body(10, MemoryAccount(1024), True) if is_streamed else None
    request = OpenRequest(
        arrival,
        b"POST",
        b"/pay",
        [],
        b"",
        ConnectedClient(),
        wait_ns,
        body,
        attempts=[None] * (attempt_number + 1),
        attempts_in_flight=attempt_number + 1,
    )
    limits = api.Limits(max_attempts=2, may_hedge=not is_streamed)
    now_ns = start_ns + decision_delay_ms * MS
    timeout_ns = (timeout_ms or 4000) * MS
    attempt_limits = AttemptLimits(limits, timeout_ns, now_ns + timeout_ns, 0)
    attempt = OutgoingAttempt(
        request, attempt_number, attempt_limits, PolicyViolations(), lambda r: None
    )
    clock_ns = now_ns + connect_delay_ms * MS
    with mock.patch("loadbalancer.proxy.attempt.time.monotonic_ns", lambda: clock_ns):
        data = attempt.begin(ALLOWED)
        if isinstance(data, Denied):
            return
        [announced_ms] = [
            int(row.partition(b":")[2])
            for row in data.split(b"\r\n")
            if row.startswith(b"X-Deadline")
        ]
        if is_complete:
            assert announced_ms <= (deadline_ns - clock_ns) / MS - stall_ms + MAX_STALL_MS
            return
        received_ns = (
            clock_ns + body_duration_ms * MS
        )  # arrival of the last byte, from which the deadline counts
        clock_ns = received_ns + (event_loop_delay_ms + write_delay_ms) * MS
        request.arrival = arrival._replace(
            deadline_ns=received_ns + wait_ns, received_ns=received_ns, body_complete=True
        )
        if attempt.may_finish():
            assert announced_ms <= (received_ns + wait_ns - clock_ns) / MS + MAX_STALL_MS - 50
