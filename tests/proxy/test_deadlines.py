"""The time that an attempt tells its upstream: at most what is left to the client when it is
written.
"""

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
from loadbalancer.proxy.body_stream import Body, BodyMemory
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.frontend import Frontend
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
from tests.proxy.test_races import blocked, held_connection, plain

SLACK_MS = 150  # a process may be held up for so long between reading its clock and writing
PATIENT = replace(SETTINGS, limits=replace(SETTINGS.limits, connect_timeout_ns=5 * SECOND))
LONG = 200_000  # bytes of a body that passes through in pieces


@pytest.fixture
def begun(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """When the first byte of each attempt was written, ns."""
    times: list[int] = []
    start = UpstreamConnection.start

    def noted(
        connection: UpstreamConnection, exchange: Exchange, *upstream_verdict: Verdict
    ) -> None:
        times.append(time.monotonic_ns())
        start(connection, exchange, *upstream_verdict)

    monkeypatch.setattr(UpstreamConnection, "start", noted)
    yield times


def told_ms(message: Message) -> int:
    return int(message.headers["x-deadline-ms"])


def test_a_connection_that_comes_up_late_tells_what_is_left_then(
    begun: list[int], frontends: list[Frontend]
) -> None:
    """Its upstream's accept queue is full: the SYN is sent again after a second."""

    async def test() -> None:
        with blocked() as (row, admit):
            async with running_balancer(
                0, settings=PATIENT, known={"version": 1, "full": True, "servers": [row]}
            ) as w:
                with closing(await plain(w)) as client:
                    received_ns = time.monotonic_ns()
                    client.send(
                        b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Class: quote\r\n"
                        b"X-Deadline-Ms: 2800\r\n\r\n"
                    )
                    await held_connection(frontends[0])
                    while not frontends[0].driver.upstreams.pool.connecting:
                        await asyncio.sleep(0)
                    await asyncio.sleep(0.2)  # its SYN finds the queue full meanwhile
                    link = await asyncio.to_thread(admit)
                    link.setblocking(False)
                    reader, writer = await asyncio.open_connection(sock=link)
                    with closing(writer):
                        message = await read_message(reader)
                        left_ms = 2800 - (begun[-1] - received_ns) / 1e6
                        assert told_ms(message) <= left_ms + SLACK_MS
                        writer.write(http_response(200, b"done"))
                        assert (await asyncio.get_running_loop().sock_recv(client, 99)).startswith(
                            b"HTTP/1.1 200 "
                        )

    run(test())


def test_the_head_of_a_body_in_pieces_tells_no_more_than_its_client_waits() -> None:
    deadline_ms = 400

    async def test() -> None:
        async with running_balancer(settings=PATIENT) as w:
            client = await w.client()
            client.send("r1", "pay", "POST", X_Deadline_Ms=deadline_ms, Content_Length=LONG)
            client.writer.write(b"x" * (LONG - 1))
            await until_connected(w)
            client.writer.write(b"x")
            assert (await read_message(client.reader)).status == 200
            assert told_ms(w.upstreams[0].received_requests[0]) <= deadline_ms
            client.close()

    run(test())


def test_the_last_byte_of_a_body_is_not_written_when_its_head_tells_too_much_by_then(
    recorder: EventRecorder, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its upstream reads slowly: the client's time runs on from its last byte, while that waits
    here.
    """
    started: list[tuple[UpstreamConnection, Body]] = []
    start = UpstreamConnection.start

    def keep(
        connection: UpstreamConnection, exchange: Exchange, *upstream_verdict: Verdict
    ) -> None:
        if exchange.body is not None:
            started.append((connection, exchange.body))
        start(connection, exchange, *upstream_verdict)

    monkeypatch.setattr(UpstreamConnection, "start", keep)
    go_on = UpstreamConnection.resume_writing

    async def test() -> None:
        async with running_balancer(settings=PATIENT) as w:
            client = await w.client()
            client.send("r1", "pay", "POST", X_Deadline_Ms=500, Content_Length=LONG)
            client.writer.write(b"x" * (LONG - 1))
            while not started or started[0][1].taken_bytes < LONG - 1:
                await asyncio.sleep(0)
            started[0][0].pause_writing()
            client.writer.write(b"x")
            monkeypatch.setattr(UpstreamConnection, "resume_writing", lambda connection: None)
            await recorder.until(lambda: recorder.of_type(api.BodyCompleted))
            await asyncio.sleep(0.3)  # time that goes by is what is tested
            go_on(started[0][0])
            assert (await read_message(client.reader)).status in (502, 503, 504)
            await w.upstreams[0].until(lambda: w.upstreams[0].peer_closed_count)
            assert not w.upstreams[0].received_requests  # none whole
            client.close()

    run(test())


async def until_connected(w: BalancerHarness) -> None:
    while not w.upstreams[0].connections:
        await asyncio.sleep(0)


def test_a_retry_tells_what_is_left_then(begun: list[int]) -> None:
    async def test() -> None:
        limits = replace(PATIENT.limits, max_attempts=2)
        async with running_balancer(2, settings=replace(PATIENT, limits=limits)) as w:
            turned_away = asyncio.Event()

            async def late() -> bytes:
                await turned_away.wait()
                return http_response(503, b"", "X-Not-Run: 1")

            for upstream in w.upstreams:
                upstream.script = [late]
            client = await w.client()
            received_ns = time.monotonic_ns()
            client.send("r1", X_Deadline_Ms=2000)
            while not begun:
                await asyncio.sleep(0)
            await asyncio.sleep(0.2)  # time that goes by is what is tested
            turned_away.set()
            while len(begun) < 2:
                await asyncio.sleep(0)
            for upstream in w.upstreams:
                upstream.script = []
            await read_message(client.reader)
            seen = [m for u in w.upstreams for m in u.received_requests]
            assert min(map(told_ms, seen)) <= 2000 - (begun[1] - received_ns) / 1e6 + SLACK_MS
            client.close()

    run(test())


class StillThere:
    """A client that waits."""

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
    in_pieces=st.booleans(),
    decided_ms=milliseconds,
    connect_ms=milliseconds,
    body_ms=milliseconds,
    write_ms=milliseconds,
    held_up_ms=st.integers(0, SLACK_MS),
    late_ms=st.integers(0, 50),
    number=st.integers(0, 1),
)
def test_whatever_delays_an_attempt_it_tells_no_more_than_its_client_has_left(
    wait_ms: int,
    timeout_ms: int,
    in_pieces: bool,
    decided_ms: int,
    connect_ms: int,
    body_ms: int,
    write_ms: int,
    held_up_ms: int,
    late_ms: int,
    number: int,
) -> None:
    """First tries, retries and second copies. `body_ms`: from the head to the last byte of a body
    that comes in pieces, `write_ms`: from there to its write, `held_up_ms`: from the look at the
    clock to the write.
    """
    start_ns = 10 * SECOND
    wait_ns, whole = wait_ms * MS, not in_pieces
    deadline_ns = start_ns + wait_ns if whole else start_ns + 600 * SECOND
    arrival = api.RequestArrived(
        "r1", "pay", "ash", deadline_ns, received_ns=start_ns, body_complete=whole
    )
    body = Body(10, BodyMemory(1024), True) if in_pieces else None
    request = OpenRequest(
        arrival,
        b"POST",
        b"/pay",
        [],
        b"",
        StillThere(),
        wait_ns,
        body,
        attempts=[None] * (number + 1),
        attempts_in_flight=number + 1,
    )
    limits = api.Limits(max_attempts=2, may_hedge=not in_pieces)
    now_ns = start_ns + decided_ms * MS
    timeout_ns = (timeout_ms or 4000) * MS
    attempt_limits = AttemptLimits(limits, timeout_ns, now_ns + timeout_ns, 0)
    attempt = OutgoingAttempt(request, number, attempt_limits, PolicyViolations(), lambda r: None)
    clock = now_ns + connect_ms * MS
    with mock.patch("loadbalancer.proxy.attempt.time.monotonic_ns", lambda: clock):
        data = attempt.begin(ALLOWED)
        if isinstance(data, Denied):
            return
        [told] = [
            int(row.partition(b":")[2])
            for row in data.split(b"\r\n")
            if row.startswith(b"X-Deadline")
        ]
        if whole:
            assert told <= (deadline_ns - clock) / MS - held_up_ms + SLACK_MS
            return
        received_ns = clock + body_ms * MS  # its last byte: the client's time runs from there
        clock = received_ns + (late_ms + write_ms) * MS
        request.arrival = arrival._replace(
            deadline_ns=received_ns + wait_ns, received_ns=received_ns, body_complete=True
        )
        if attempt.may_finish():
            assert told <= (received_ns + wait_ns - clock) / MS + SLACK_MS - 50
