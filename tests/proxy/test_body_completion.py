"""Tests of long bodies that end: what their connections do afterwards, whatever the order.

A body may begin, fill its buffer and end in one read or in several. The tests cover requests and
responses, with a length, in chunks and ended by a close.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, replace

import pytest

from loadbalancer.policy import api, message_end
from loadbalancer.proxy import connection_phase, frontend
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.frontend import Frontend
from loadbalancer.proxy.input_buffer import PARSE_BYTES
from loadbalancer.proxy.parse import MAX_BODY
from tests.fakes import (
    SECOND,
    SETTINGS,
    BalancerHarness,
    Client,
    EventRecorder,
    http_response,
    read_message,
    run,
    running_balancer,
)
from tests.raw_http import (
    HUGE_BODY_SIZE,
    balancer_with_raw_upstream,
    framed_body,
    post_head,
    read_chunks,
    read_head,
)
from tests.raw_sockets import (
    RETRY_SETTINGS,
    connection_with_open_request,
    upstream_with_full_accept_queue,
)

SHORT_BODY_LIMIT_S = 0.1
SHORT_STALL_S = 0.5
CHUNK_SIZE = 8_000
SIZES = [
    MAX_BODY + 1,
    70_000,
    MAX_BODY + PARSE_BYTES - 1_000,  # the most that begins and ends in one parsing step
    MAX_BODY + PARSE_BYTES,
    300_000,
]
SPLITS = [0, 5, CHUNK_SIZE]  # bytes at the end that are sent later than the others


def framed(size: int, framing: str) -> bytes:
    """Return the framing headers and the encoded body of this size."""
    if framing == "close":
        return b"Connection: close\r\n\r\n" + bytes(size)
    chunk_sizes = [CHUNK_SIZE] * (size // CHUNK_SIZE) if framing == "chunks" else None
    return framed_body(bytes(size), chunk_sizes)


async def read_body(reader: asyncio.StreamReader, head: str) -> bytes:
    """Read the body that a head in lower case announces."""
    if "transfer-encoding: chunked" in head:
        return await read_chunks(reader)
    length = head.partition("content-length: ")[2].partition("\r\n")[0]
    return await reader.readexactly(int(length))


class ScriptedUpstream:
    """An upstream that reads whole requests, and passes the id of each to `respond`.

    Attributes:
        requests: The ids of the requests that were read whole.
        connections: The connections on which requests were read.
        request_read: Set once a request was read whole.
    """

    def __init__(self, respond: Callable[[str, asyncio.StreamWriter], Awaitable[None]]) -> None:
        self.respond = respond
        self.requests: list[str] = []
        self.connections: set[asyncio.StreamWriter] = set()
        self.request_read = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                head = await read_head(reader)
                if head.startswith("post"):
                    await read_body(reader, head)
                name = head.partition("x-request-id: ")[2].partition("\r\n")[0]
                self.requests.append(name)
                self.connections.add(writer)
                self.request_read.set()
                await self.respond(name, writer)


def respond_after(
    may_respond: asyncio.Event,
) -> Callable[[str, asyncio.StreamWriter], Awaitable[None]]:
    """Return a function that gives each response only after the event."""

    async def respond(_: str, writer: asyncio.StreamWriter) -> None:
        await may_respond.wait()
        writer.write(http_response(200, b"done"))

    return respond


async def write_in_two_parts(
    writer: asyncio.StreamWriter, data: bytes, late_bytes: int, harness: BalancerHarness
) -> None:
    """Write the last bytes only after the balancer has had time to read the others."""
    writer.write(data[: len(data) - late_bytes])
    if late_bytes:
        await writer.drain()
        await harness.ask("ready", path="/ready")
        writer.write(data[len(data) - late_bytes :])


# ---- requests ------------------------------------------------------------------------------------


async def exceed_body_limit(harness: BalancerHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the time limit of uploads, and wait until a stalled one has exceeded it.

    Every connection that was taken for an upload before has exceeded it then, too.
    """
    limits = {**connection_phase.LIMIT_S, Phase.BODY: SHORT_BODY_LIMIT_S}
    monkeypatch.setattr(frontend, "LIMIT_S", limits)
    client = await harness.client()
    client.writer.write(post_head("stalled", "Content-Length: 300000") + bytes(100_000))
    assert (await read_message(client.reader)).status == 408


@pytest.mark.parametrize("late_bytes", SPLITS)
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("size", SIZES)
def test_complete_request_waits_for_its_response_without_a_time_limit(
    size: int, framing: str, late_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against closing a client's connection while a slow upstream runs its whole request."""
    may_respond = asyncio.Event()

    async def test() -> None:
        upstream = ScriptedUpstream(respond_after(may_respond))
        async with balancer_with_raw_upstream(upstream.handle) as harness:
            client = await harness.client()
            message = post_head("r1")[:-2] + framed(size, framing)
            await write_in_two_parts(client.writer, message, late_bytes, harness)
            await upstream.request_read.wait()
            await exceed_body_limit(harness, monkeypatch)
            may_respond.set()
            response = await read_message(client.reader)
            assert (response.status, response.body) == (200, b"done")
            assert (await client.ask("r2")).status == 200

    run(test())


def test_complete_request_is_not_evicted_at_the_connection_limit(
    frontends: list[Frontend], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against taking a request that waits for its response for an incomplete one."""
    for name in ("EVICT_SILENT_S", "EVICT_NEW_S"):
        monkeypatch.setattr(frontend, name, 0.0)
    may_respond = asyncio.Event()

    async def test() -> None:
        upstream = ScriptedUpstream(respond_after(may_respond))
        async with balancer_with_raw_upstream(upstream.handle) as harness:
            client = await harness.client()
            client.writer.write(post_head("r1")[:-2] + framed(70_000, "chunks"))
            await upstream.request_read.wait()
            frontends[0].set_max_connections(2)
            silent_client = await harness.client()
            assert (await harness.ask("ready", path="/ready")).status == 200
            await silent_client.expect_eof()
            may_respond.set()
            assert (await read_message(client.reader)).status == 200

    run(test())


def test_complete_request_that_was_rejected_is_retried(recorder: EventRecorder) -> None:
    """Guards against dropping the start of a body that the policy was told it can send again."""

    async def respond(name: str, writer: asyncio.StreamWriter) -> None:
        is_first = upstream.requests == [name]
        writer.write(http_response(503, b"", "X-Not-Run: 1") if is_first else http_response(200))

    upstream = ScriptedUpstream(respond)

    async def test() -> None:
        servers = [await asyncio.start_server(upstream.handle, "127.0.0.1", 0) for _ in range(2)]
        rows = [
            {"id": f"s-{i}", "addr": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}
            for i, server in enumerate(servers)
        ]
        retrying = replace(SETTINGS, limits=replace(SETTINGS.limits, max_attempts=3))
        known = {"version": 9, "full": True, "servers": rows}
        async with running_balancer(0, retrying, known=known) as harness:
            client = await harness.client()
            client.writer.write(post_head("r1")[:-2] + framed(70_000, "chunks"))
            response = await read_message(client.reader)
            assert [event.is_replayable for event in recorder.of_type(api.BodyCompleted)] == [True]
            assert (response.status, upstream.requests) == (200, ["r1", "r1"])
        for server in servers:
            server.close()

    run(test())


# ---- responses -----------------------------------------------------------------------------------


@dataclass(slots=True)
class LongResponse:
    """A response whose body has this size and framing, and whose last bytes come later."""

    size: int
    framing: str
    late_bytes: int

    async def write(self, writer: asyncio.StreamWriter, harness: BalancerHarness) -> None:
        """Write the response, and close the connection if that ends the body."""
        data = b"HTTP/1.1 200 OK\r\n" + framed(self.size, self.framing)
        await write_in_two_parts(writer, data, self.late_bytes, harness)
        if self.framing == "close":
            writer.close()

    async def read(self, client: Client) -> None:
        """Read the response and check the size of its body."""
        body = await read_body(client.reader, await read_head(client.reader))
        assert len(body) == self.size


LONG_RESPONSES = [
    pytest.param(LongResponse(size, framing, late_bytes), id=f"{size}-{framing}-{late_bytes}")
    for size in SIZES
    for framing in ("length", "chunks", "close")
    for late_bytes in SPLITS
]


async def wait_for_stall_limit(harness: BalancerHarness) -> None:
    """Wait until a response that begins now, and stalls, is given up."""
    client = await harness.client()
    client.send("stalls")
    await read_head(client.reader)
    with pytest.raises(ConnectionResetError):
        await client.reader.read(-1)


@pytest.mark.parametrize("long_response", LONG_RESPONSES)
def test_complete_response_leaves_no_stall_timer_on_its_connection(
    long_response: LongResponse, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against closing a reused connection, with a request on it, for an earlier response.

    The upstream responds to the next request when the stall timer of a later response has expired.
    """
    monkeypatch.setattr(message_end, "SILENCE_NS", int(SHORT_STALL_S * SECOND))
    may_respond = asyncio.Event()
    harnesses: list[BalancerHarness] = []

    async def respond(name: str, writer: asyncio.StreamWriter) -> None:
        if name == "long":
            await long_response.write(writer, harnesses[0])
        elif name == "stalls":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + bytes(100_000))
        else:
            await may_respond.wait()
            writer.write(http_response(200, b"done"))

    async def test() -> None:
        upstream = ScriptedUpstream(respond)
        async with balancer_with_raw_upstream(upstream.handle) as harness:
            harnesses.append(harness)
            client = await harness.client()
            client.send("long")
            await long_response.read(client)
            upstream.request_read.clear()
            client.send("next", "pay", "POST", b"b")
            await upstream.request_read.wait()
            assert len(upstream.connections) == (2 if long_response.framing == "close" else 1)
            await wait_for_stall_limit(harness)
            may_respond.set()
            response = await read_message(client.reader)
            assert (response.status, response.body) == (200, b"done")

    run(test())


@pytest.mark.parametrize("long_response", LONG_RESPONSES)
def test_connection_is_read_after_a_response_whose_client_reads_slowly(
    long_response: LongResponse, frontends: list[Frontend], recorder: EventRecorder
) -> None:
    """Guards against reusing a connection whose reading was paused when its last response ended.

    The client takes nothing while the response arrives, so that the response's buffer fills.
    """

    async def respond(name: str, writer: asyncio.StreamWriter) -> None:
        if name != "long":
            writer.write(http_response(200, b"done"))
            return
        (connection,) = [c for c in frontends[0].clients if c.open_request is not None]
        connection.pause_writing()  # as the event loop does when its client does not read
        blocked.append(connection)
        await long_response.write(writer, harnesses[0])

    harnesses: list[BalancerHarness] = []
    blocked: list[ClientConnection] = []

    async def test() -> None:
        upstream = ScriptedUpstream(respond)
        async with balancer_with_raw_upstream(upstream.handle) as harness:
            harnesses.append(harness)
            client = await harness.client()
            client.send("long")
            await recorder.until(lambda: recorder.of_type(api.AttemptFinished))
            for name in ("during", "during, too"):
                assert (await harness.ask(name, "pay", "POST", b"b")).status == 200
            blocked[0].resume_writing()
            await long_response.read(client)
            for name in ("after", "after, too"):
                assert (await harness.ask(name, "pay", "POST", b"b")).status == 200

    run(test())


# ---- bodies that fail ----------------------------------------------------------------------------


def test_rest_of_a_malformed_request_is_read_after_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset that takes the error answer from a client that still sends."""
    limits = {**connection_phase.LIMIT_S, Phase.LINGERING: 20.0}
    monkeypatch.setattr(frontend, "LIMIT_S", limits)

    async def test() -> None:
        async with running_balancer() as harness:
            client = await harness.client()
            chunk = b"%x\r\n%b\r\n" % (70_000, bytes(70_000))
            head = post_head("r1", "Transfer-Encoding: chunked")
            client.writer.write(head + chunk + b"no chunk\r\n")
            assert (await read_message(client.reader)).status == 400
            client.writer.write(bytes(HUGE_BODY_SIZE))
            async with asyncio.timeout(10.0):
                await client.writer.drain()

    run(test())


def test_client_that_leaves_a_paused_upload_frees_its_connection(
    frontends: list[Frontend],
) -> None:
    """Guards against a connection that stays open because its client's close is never read."""

    async def test() -> None:
        with upstream_with_full_accept_queue() as (row, accept_next):
            known = {"version": 1, "full": True, "servers": [row]}
            async with running_balancer(0, settings=RETRY_SETTINGS, known=known) as harness:
                client = await harness.client()
                client.writer.write(post_head("r1", "Content-Length: 30000000") + bytes(20_000_000))
                connection = await connection_with_open_request(frontends[0])
                while not connection.upload.is_paused:
                    await asyncio.sleep(0)
                while not frontends[0].driver.upstreams.pool.connecting:
                    await asyncio.sleep(0)
                assert (await harness.ask("ready", path="/ready")).status == 200
                client.writer.transport.abort()
                accepted = await asyncio.to_thread(accept_next)
                with accepted:
                    while frontends[0].clients:
                        await asyncio.sleep(0)

    run(test())
