"""Tests of streamed bodies: backpressure, truncation, retries and framing."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from dataclasses import replace

import pytest

from loadbalancer.policy import api
from loadbalancer.proxy import connection_phase, frontend
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.parse import MAX_BODY
from loadbalancer.proxy.tcp_state import reset_on_close
from tests.fakes import (
    SETTINGS,
    Client,
    EventRecorder,
    free_port,
    read_message,
    run,
    running_balancer,
)
from tests.raw_http import (
    HUGE_BODY_SIZE,
    balancer_with_raw_upstream,
    post_head,
    read_chunks,
    read_head,
)

LARGE_BODY = bytes(range(256)) * 1200  # 300 KiB


@pytest.mark.parametrize("chunked", [False, True])
def test_large_response_is_forwarded_whole_and_connection_is_kept(
    recorder: EventRecorder, chunked: bool
) -> None:
    """Responses above the buffer limit are streamed completely, and the connection is reused.

    Chunk extensions and trailers of the upstream must not corrupt the body.
    """

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError):
            while True:
                await read_head(reader)
                if chunked:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    for offset in range(0, len(LARGE_BODY), 10_000):
                        piece = LARGE_BODY[offset : offset + 10_000]
                        writer.write(b"%x;note=1\r\n%b\r\n" % (len(piece), piece))
                    writer.write(b"0\r\nX-Sum: 9\r\n\r\n")
                else:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
                        % (len(LARGE_BODY), LARGE_BODY)
                    )

    async def test() -> None:
        async with balancer_with_raw_upstream(handle) as harness:
            client = await harness.client()
            for name in ("r1", "r2"):
                client.send(name)
                head = await read_head(client.reader)
                if chunked:
                    assert "transfer-encoding: chunked" in head and "content-length" not in head
                    assert await read_chunks(client.reader) == LARGE_BODY
                else:
                    assert f"content-length: {len(LARGE_BODY)}" in head
                    assert await client.reader.readexactly(len(LARGE_BODY)) == LARGE_BODY
            assert [o.complete for o in recorder.of_type(api.AttemptFinished)] == [True, True]

    run(test())


def test_large_response_is_streamed_with_backpressure_from_client(
    recorder: EventRecorder,
) -> None:
    """A client that does not read stops the upstream from writing.

    Guards against buffering a whole response in the balancer, and against failing an attempt
    because its client reads slowly.
    """
    sent = 0
    send_blocked = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % HUGE_BODY_SIZE)
        while sent < HUGE_BODY_SIZE:
            writer.write(b"x" * 65536)
            sent += 65536
            try:
                await asyncio.wait_for(writer.drain(), 0.5)
            except TimeoutError:
                send_blocked.set()
                await writer.drain()

    async def test() -> None:
        async with balancer_with_raw_upstream(handle) as harness:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, harness.address)
            client = Client(*await asyncio.open_connection(sock=sock, limit=8 * 1024))
            client.send("r1")
            await send_blocked.wait()  # no more can be written: the client does not read
            assert sent < HUGE_BODY_SIZE
            await recorder.until(lambda: recorder.of_type(api.AttemptFinished))
            assert recorder.results() == [api.AttemptResult.OK]
            await read_head(client.reader)
            assert len(await client.reader.readexactly(HUGE_BODY_SIZE)) == HUGE_BODY_SIZE
            client.close()

    run(test())


@pytest.mark.parametrize("size", [3, 300_000])
@pytest.mark.parametrize("reset", [False, True])
def test_response_delimited_by_close_succeeds_on_eof_and_fails_on_reset(
    size: int, reset: bool
) -> None:
    """A response without length ends with EOF; a reset means that it is truncated.

    Guards against presenting a truncated response as complete. A reset before the response is
    forwarded results in a 502, and a later reset in a reset of the client's connection.
    """
    client_received_data = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: keep, Close\r\n\r\n" + b"x" * size)
        await writer.drain()
        if reset:
            if size > MAX_BODY:
                await client_received_data.wait()
            sock = writer.get_extra_info("socket")
            reset_on_close(sock)
            writer.transport.abort()
        else:
            writer.close()

    async def test() -> None:
        async with balancer_with_raw_upstream(handle) as harness:
            client = await harness.client()
            client.send("r1", "pay", "POST", b"b")
            if size <= MAX_BODY:
                response = await read_message(client.reader)
                assert (response.status, response.body) == (
                    (502, b"failed\n") if reset else (200, b"x" * size)
                )
                return
            assert "chunked" in await read_head(client.reader)
            if reset:
                await client.reader.readexactly(1)
                client_received_data.set()
                with pytest.raises(ConnectionResetError):
                    await client.reader.read(-1)
            else:
                assert await read_chunks(client.reader) == b"x" * size

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_truncated_response_resets_client_connection(chunked: bool) -> None:
    """Guards against a truncated response that looks complete to the client."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        framing = (
            b"Transfer-Encoding: chunked\r\n\r\n20000" if chunked else b"Content-Length: 300000\r\n"
        )
        framing += b"\r\n"
        writer.write(b"HTTP/1.1 200 OK\r\n" + framing + b"x" * 100_000)
        await writer.drain()
        writer.close()

    async def test() -> None:
        async with balancer_with_raw_upstream(handle) as harness:
            client = await harness.client()
            client.send("r1")
            await read_head(client.reader)
            with pytest.raises(ConnectionResetError):
                await client.reader.read(-1)

    run(test())


def test_client_disconnect_closes_upstream_connection() -> None:
    """Guards against an upstream that keeps sending a response that no client reads."""
    connection_closed = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 100_000)
        with suppress(ConnectionError):
            await reader.read()
        connection_closed.set()

    async def test() -> None:
        async with balancer_with_raw_upstream(handle) as harness:
            client = await harness.client()
            client.send("r1")
            await read_head(client.reader)
            client.writer.transport.abort()
            await connection_closed.wait()

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_large_request_is_forwarded_before_its_body_is_complete(
    recorder: EventRecorder, chunked: bool
) -> None:
    """Guards against buffering a whole request body before the first attempt.

    The policy gets the request while its body is incomplete, and a `BodyCompleted` event later.
    """
    request_started = asyncio.Event()
    bodies: list[bytes] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        assert ("transfer-encoding" in head) is chunked and (
            "content-length" in head
        ) is not chunked
        request_started.set()
        bodies.append(
            await (read_chunks(reader) if chunked else reader.readexactly(len(LARGE_BODY)))
        )
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

    async def test() -> None:
        async with balancer_with_raw_upstream(handle) as harness:
            client = await harness.client()
            half = len(LARGE_BODY) // 2
            if chunked:
                client.writer.write(
                    post_head("r1", "Transfer-Encoding: chunked", "Expect: 100-continue")
                )
                assert "100 continue" in await read_head(client.reader)
                client.writer.write(b"%x;a=b\r\n%b\r\n" % (half, LARGE_BODY[:half]))
            else:
                client.writer.write(
                    post_head("r1", f"Content-Length: {len(LARGE_BODY)}") + LARGE_BODY[:half]
                )
            await request_started.wait()  # the client still has half of the body to send
            (arrival,) = recorder.of_type(api.RequestArrived)
            assert not arrival.body_complete and not recorder.of_type(api.BodyCompleted)
            if chunked:
                client.writer.write(
                    b"%x\r\n%b\r\n0\r\nX-Sum: 9\r\n\r\n" % (half, LARGE_BODY[half:])
                )
            else:
                client.writer.write(LARGE_BODY[half:])
            response = await read_message(client.reader)
            assert (response.status, response.body) == (200, b"done")
            assert bodies == [LARGE_BODY]
            (body_completed,) = recorder.of_type(api.BodyCompleted)
            assert (
                not body_completed.is_replayable
                and body_completed.deadline_ns < arrival.deadline_ns
            )
            # The connection is kept alive.
            client.writer.write(post_head("r2", "Content-Length: 2") + b"ab")
            await recorder.until(lambda: len(recorder.of_type(api.RequestArrived)) == 2)

    run(test())


def test_large_request_gets_backpressure_from_upstream() -> None:
    """Guards against buffering a request body that the upstream does not read."""
    start_reading = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        await start_reading.wait()
        size = 0
        while size < HUGE_BODY_SIZE:
            size += len(await reader.read(1 << 20))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        async with balancer_with_raw_upstream(handle) as harness:
            client = await harness.client()
            client.writer.write(
                post_head("r1", f"Content-Length: {HUGE_BODY_SIZE}") + bytes(HUGE_BODY_SIZE)
            )
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(client.writer.drain(), 0.5)
            start_reading.set()
            assert (await read_message(client.reader)).status == 200

    run(test())


@pytest.mark.parametrize("breaks_mid_body", [False, True])
def test_large_request_is_retried_only_while_its_body_is_replayable(breaks_mid_body: bool) -> None:
    """A request that no upstream has executed is retried only if its body can be resent.

    The first attempts find no listener, so the body is still complete; or the upstream resets the
    connection mid-body, after the balancer has discarded the start of the body.
    """
    bodies: list[bytes] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        if breaks_mid_body and not bodies:
            bodies.append(await reader.readexactly(200_000))
            writer.transport.abort()
            return
        bodies.append(await reader.readexactly(len(LARGE_BODY)))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        live_row = {"id": "there", "addr": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}
        unreachable_rows = [
            {"id": f"gone-{i}", "addr": f"127.0.0.1:{free_port()}"} for i in range(3)
        ]
        rows = [] if breaks_mid_body else unreachable_rows
        limits = replace(SETTINGS.limits, max_attempts=9)
        known = {"version": 9, "full": True, "servers": [*rows, live_row]}
        async with running_balancer(0, replace(SETTINGS, limits=limits), known=known) as harness:
            client = await harness.client()
            client.writer.write(
                post_head("r1", f"Content-Length: {len(LARGE_BODY)}") + LARGE_BODY[:250_000]
            )
            if breaks_mid_body:
                response = await read_message(client.reader)
                assert response.status == 503 and response.headers["connection"] == "close"
                assert len(bodies) == 1
            else:
                client.writer.write(LARGE_BODY[250_000:])
                assert (await read_message(client.reader)).status == 200
                assert bodies == [LARGE_BODY]
        server.close()

    run(test())


def test_stalled_body_times_out_and_slow_body_does_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The body timeout applies to a lack of progress, not to the whole body.

    Guards against failing slow clients, and against clients that stall and hold their connection.
    """

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError):
            await read_head(reader)
            await reader.readexactly(len(LARGE_BODY))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        monkeypatch.setattr(
            frontend, "LIMIT_S", {**connection_phase.LIMIT_S, Phase.NEW: 0.4, Phase.BODY: 0.4}
        )
        async with balancer_with_raw_upstream(handle) as harness:
            stalled_client, slow_client = await harness.client(), await harness.client()
            for name, client in (("r1", stalled_client), ("r2", slow_client)):
                client.writer.write(
                    post_head(name, f"Content-Length: {len(LARGE_BODY)}") + LARGE_BODY[:100_000]
                )
            # Takes longer in total than either limit.
            for offset in range(100_000, len(LARGE_BODY), 20_000):
                await asyncio.sleep(0.1)
                slow_client.writer.write(LARGE_BODY[offset : offset + 20_000])
            assert (await read_message(slow_client.reader)).status == 200
            assert (await read_message(stalled_client.reader)).status == 408
            await stalled_client.expect_eof()

    run(test())
