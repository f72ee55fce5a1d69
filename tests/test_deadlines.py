"""The time that an attempt tells its upstream: at most what is left to the client when it is written."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import closing
from dataclasses import replace

import pytest

from lanelift import interface as api
from lanelift.net.frontend import Frontend
from lanelift.net.http import Connection, Exchange
from tests.fakes import SECOND, SETTINGS, Heard, Message, World, answer, read_message, run, world
from tests.test_races import blocked, held_connection, plain

SLACK_MS = 150  # a process may be held up for so long between reading its clock and writing
PATIENT = replace(SETTINGS, limits=replace(SETTINGS.limits, connect_timeout_ns=5 * SECOND))
LONG = 200_000  # bytes of a body that passes through in pieces


@pytest.fixture
def begun(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[int]]:
    """When the first byte of each attempt was written, ns."""
    times: list[int] = []
    start = Connection.start

    def noted(connection: Connection, exchange: Exchange) -> None:
        times.append(time.monotonic_ns())
        start(connection, exchange)

    monkeypatch.setattr(Connection, "start", noted)
    yield times


def told_ms(message: Message) -> int:
    return int(message.headers["x-deadline-ms"])


def test_a_connection_that_comes_up_late_tells_what_is_left_then(
        begun: list[int], made: list[Frontend]) -> None:
    """Its upstream's accept queue is full: the SYN is sent again after a second."""
    async def test() -> None:
        with blocked() as (row, admit):
            async with world(0, settings=PATIENT, known={"version": 1, "full": True, "servers": [row]}) as w:
                with closing(await plain(w)) as client:
                    asked_ns = time.monotonic_ns()
                    client.send(b"GET /quote HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Class: quote\r\n"
                                b"X-Deadline-Ms: 2800\r\n\r\n")
                    await held_connection(made[0])
                    while not made[0].driver.upstreams.connecting:
                        await asyncio.sleep(0)
                    await asyncio.sleep(0.2)  # its SYN finds the queue full meanwhile
                    link = await asyncio.to_thread(admit)
                    link.setblocking(False)
                    reader, writer = await asyncio.open_connection(sock=link)
                    with closing(writer):
                        message = await read_message(reader)
                        left_ms = 2800 - (begun[-1] - asked_ns) / 1e6
                        assert told_ms(message) <= left_ms + SLACK_MS
                        writer.write(answer(200, b"done"))
                        assert (await asyncio.get_running_loop().sock_recv(client, 99)).startswith(
                            b"HTTP/1.1 200 ")

    run(test())


def test_the_head_of_a_body_in_pieces_tells_no_more_than_its_client_waits() -> None:
    deadline_ms = 400

    async def test() -> None:
        async with world(settings=PATIENT) as w:
            client = await w.client()
            client.send("r1", "pay", "POST", X_Deadline_Ms=deadline_ms, Content_Length=LONG)
            client.writer.write(b"x" * (LONG - 1))
            await until_connected(w)
            client.writer.write(b"x")
            assert (await read_message(client.reader)).status == 200
            assert told_ms(w.upstreams[0].seen[0]) <= deadline_ms
            client.close()

    run(test())


def test_the_last_byte_of_a_body_is_not_written_when_its_head_tells_too_much_by_then(
        heard: Heard, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its upstream reads slowly: the client's time runs on from its last byte, while that waits here."""
    started: list[Connection] = []
    start = Connection.start

    def keep(connection: Connection, exchange: Exchange) -> None:
        start(connection, exchange)
        started.append(connection)

    monkeypatch.setattr(Connection, "start", keep)

    async def test() -> None:
        async with world(settings=PATIENT) as w:
            client = await w.client()
            client.send("r1", "pay", "POST", X_Deadline_Ms=500, Content_Length=LONG)
            client.writer.write(b"x" * (LONG - 1))
            while not started:
                await asyncio.sleep(0)
            started[0].pause_writing()
            client.writer.write(b"x")
            await heard.until(lambda: heard.of(api.BodyWhole))
            await asyncio.sleep(0.3)  # time that goes by is what is tested
            started[0].resume_writing()
            assert (await read_message(client.reader)).status in (502, 503, 504)
            await w.upstreams[0].until(lambda: w.upstreams[0].ended)
            assert not w.upstreams[0].seen  # none whole
            client.close()

    run(test())


async def until_connected(w: World) -> None:
    while not w.upstreams[0].links:
        await asyncio.sleep(0)


def test_a_retry_tells_what_is_left_then(begun: list[int]) -> None:
    async def test() -> None:
        limits = replace(PATIENT.limits, max_attempts=2)
        async with world(2, settings=replace(PATIENT, limits=limits)) as w:
            turned_away = asyncio.Event()

            async def late() -> bytes:
                await turned_away.wait()
                return answer(503, b"", "X-Not-Run: 1")

            for upstream in w.upstreams:
                upstream.script = [late]
            client = await w.client()
            asked_ns = time.monotonic_ns()
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
            seen = [m for u in w.upstreams for m in u.seen]
            assert min(map(told_ms, seen)) <= 2000 - (begun[1] - asked_ns) / 1e6 + SLACK_MS
            client.close()

    run(test())


