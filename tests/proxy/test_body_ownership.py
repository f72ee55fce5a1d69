"""Tests that the body of a request has an owner, whatever the request is answered."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Final

import pytest

from loadbalancer.proxy.body_stream import READ_SIZE, Body, BodyState
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.memory_account import MemoryAccount
from tests.fakes import read_message, run, running_balancer
from tests.proxy.test_memory_account import until_closed

CLIENTS: Final = 4
BODY_BYTES: Final = 3_000_000
CHUNK_BYTES: Final = 100_000
# A connection with its input buffer, and what a body may hold before its request is answered.
MAX_HELD_BYTES: Final = 16 * READ_SIZE
MAX_UNOWNED_BYTES: Final = 2 * READ_SIZE  # a body of which 64 KiB were buffered, and one read
EARLY_ANSWERS: Final = {
    "POST /ready": 404,
    "GET /ready": 404,
    "HEAD /ready": 404,
    "POST /nowhere": 404,
    "GET /quote": 400,
    "PUT /pay": 405,
}


async def send_body(writer: asyncio.StreamWriter) -> None:
    """Send a long body in chunks, until the connection breaks."""
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
    with suppress(ConnectionError):
        for _ in range(BODY_BYTES // CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def head(start: str, name: str, *rows: str) -> bytes:
    """Return the head of a request, with these additional header lines."""
    rows = (f"{start} HTTP/1.1", "Host: h", f"X-Request-Id: {name}", *rows)
    return "\r\n".join([*rows, "", ""]).encode()


async def read_status(reader: asyncio.StreamReader) -> int:
    """Return the status of the next answer, whose body is not read."""
    line = await reader.readline()
    await reader.readuntil(b"\r\n\r\n")
    return int(line.split(b" ")[1])


@pytest.mark.parametrize("start", EARLY_ANSWERS)
def test_long_body_of_a_request_that_is_answered_early_is_not_buffered(
    start: str, frontends: list[Frontend]
) -> None:
    """Guards against bodies that nobody reads and nobody bounds, up to the limit on memory."""

    async def test() -> None:
        async with running_balancer() as harness:
            assert (await harness.ask("before")).status == 200
            memory = frontends[0].memory
            await until_closed(frontends[0])
            at_rest_bytes = memory.held_bytes
            clients = [await harness.client() for _ in range(CLIENTS)]
            for number, client in enumerate(clients):
                client.writer.write(head(start, f"r{number}", "Transfer-Encoding: chunked"))
            sending = [asyncio.create_task(send_body(client.writer)) for client in clients]
            for client in clients:
                assert await read_status(client.reader) == EARLY_ANSWERS[start]
                with suppress(ConnectionError):
                    await client.reader.read()  # it is closed
            for client in clients:
                client.close()
            await asyncio.gather(*sending)
            assert memory.high_water_bytes - at_rest_bytes < CLIENTS * MAX_HELD_BYTES
            while memory.held_bytes > at_rest_bytes:
                await asyncio.sleep(0)
            assert (await harness.ask("after")).status == 200

    run(test())


def test_long_body_of_a_repeated_id_is_not_buffered(frontends: list[Frontend]) -> None:
    """Guards against the same for a request whose id is that of an open request."""

    async def test() -> None:
        async with running_balancer() as harness:
            await harness.client_awaiting_response("same", kind="pay", method="POST")
            memory = frontends[0].memory
            second = await harness.client()
            second.writer.write(head("POST /pay", "same", "Transfer-Encoding: chunked"))
            sending = asyncio.create_task(send_body(second.writer))
            assert await read_status(second.reader) == 409
            with suppress(ConnectionError):
                await second.reader.read()
            second.close()
            await sending
            assert memory.high_water_bytes < 2 * MAX_HELD_BYTES

    run(test())


@pytest.mark.parametrize(
    ("start", "body", "status"),
    [
        ("GET /ready", b"", 200),
        ("GET /ready?from=front", b"", 200),
        ("POST /ready", b"", 404),
        ("POST /ready", b"body", 404),
        ("PUT /ready", b"body", 404),
        ("GET /ready", b"body", 404),
    ],
)
def test_only_a_readiness_check_is_answered_as_one(start: str, body: bytes, status: int) -> None:
    """Guards against a request of a class that doesn't exist that is answered as if it had run.

    The connection stays usable: the next request on it, sent at once, has its own answer.
    """

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            client.writer.write(head(start, "r1", f"Content-Length: {len(body)}") + body)
            client.send("r2")
            assert (await read_message(client.reader)).status == status
            assert (await read_message(client.reader)).status == 200
            assert [m.headers["x-request-id"] for m in harness.upstreams[0].received_requests] == [
                "r2"
            ]

    run(test())


def test_head_readiness_check_has_no_body() -> None:
    """Guards against a body behind the answer to HEAD, which would be read as the next answer."""

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            client.writer.write(head("HEAD /ready", "r1"))
            assert await read_status(client.reader) == 200
            assert (await client.ask("r2")).status == 200

    run(test())


def test_early_answer_needs_no_100_continue(frontends: list[Frontend]) -> None:
    """Guards against an invitation to send a body that is not read."""

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            rows = ("Content-Length: 3000000", "Expect: 100-continue")
            client.writer.write(head("POST /ready", "r1", *rows))
            assert await read_status(client.reader) == 404
            client.close()
            assert frontends[0].memory.high_water_bytes < MAX_HELD_BYTES

    run(test())


@pytest.mark.parametrize("piece_bytes", [1, 1000, READ_SIZE])
def test_body_without_a_source_fails_at_its_bound(piece_bytes: int) -> None:
    """Guards against a body that grows because the code that answers forgot about it."""
    memory = MemoryAccount(1000 * READ_SIZE)
    body = Body(None, memory, keep=True)
    for _ in range(3 * MAX_UNOWNED_BYTES // piece_bytes):
        body.put(bytes(piece_bytes))
        assert memory.held_bytes <= MAX_UNOWNED_BYTES
    assert body.state is BodyState.FAILED
    assert memory.held_bytes == 0
    assert memory.high_water_bytes <= MAX_UNOWNED_BYTES + piece_bytes
