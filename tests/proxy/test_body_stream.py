"""Bodies that pass through in pieces: both ways, held back, cut short, repeated, framed in any
way.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from loadbalancer.policy import api
from loadbalancer.proxy import connection_phase, frontend
from loadbalancer.proxy.body_stream import MAX_BUFFERED, Body, BodyMemory
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.parse import MAX_BODY, RequestReader, ResponseReader
from tests.fakes import (
    SETTINGS,
    Client,
    EventRecorder,
    free_port,
    read_message,
    run,
    running_balancer,
)

LONG = bytes(range(256)) * 1200  # 300 KiB
MUCH = 30 * 1024 * 1024  # more than the buffers of all sockets on the way hold between them
Handle = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def raw_world(handle: Handle, **more: Any) -> Any:
    """A balancer whose one upstream is this handler: it reads and writes as it likes."""
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    row = {"id": "raw", "addr": f"127.0.0.1:{port}", "state": "Ready"}
    async with running_balancer(
        0, known={"version": 9, "full": True, "servers": [row]}, **more
    ) as w:
        try:
            yield w
        finally:
            server.close()


async def read_head(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


def post(name: str, *headers: str) -> bytes:
    rows = [
        "POST /pay HTTP/1.1",
        "Host: h",
        f"X-Request-Id: {name}",
        "X-Class: pay",
        "X-Tenant: ash",
        "X-Deadline-Ms: 3000",
        *headers,
    ]
    return "\r\n".join([*rows, "", ""]).encode()


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_answer_passes_whole_and_the_connection_goes_on(
    recorder: EventRecorder, chunked: bool
) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError):
            while True:
                await read_head(reader)
                if chunked:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    for at in range(0, len(LONG), 10_000):
                        piece = LONG[at : at + 10_000]
                        writer.write(b"%x;note=1\r\n%b\r\n" % (len(piece), piece))
                    writer.write(b"0\r\nX-Sum: 9\r\n\r\n")
                else:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG), LONG)
                    )

    async def test() -> None:
        async with raw_world(handle) as w:
            client = await w.client()
            for name in ("r1", "r2"):
                client.send(name)
                head = await read_head(client.reader)
                if chunked:
                    assert "transfer-encoding: chunked" in head and "content-length" not in head
                    assert await read_chunks(client.reader) == LONG
                else:
                    assert f"content-length: {len(LONG)}" in head
                    assert await client.reader.readexactly(len(LONG)) == LONG
            assert [o.complete for o in recorder.of_type(api.AttemptFinished)] == [True, True]

    run(test())


def test_a_long_answer_begins_before_it_is_whole_and_is_held_back_by_its_reader(
    recorder: EventRecorder,
) -> None:
    sent = 0
    full = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal sent
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MUCH)
        while sent < MUCH:
            writer.write(b"x" * 65536)
            sent += 65536
            try:
                await asyncio.wait_for(writer.drain(), 0.5)
            except TimeoutError:
                full.set()
                await writer.drain()

    async def test() -> None:
        async with raw_world(handle) as w:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, w.address)
            client = Client(*await asyncio.open_connection(sock=sock, limit=8 * 1024))
            client.send("r1")
            await full.wait()  # its upstream can write no more, as nobody reads
            assert sent < MUCH
            await recorder.until(lambda: recorder.of_type(api.AttemptFinished))
            assert recorder.results() == [api.AttemptResult.OK]
            await read_head(client.reader)
            assert len(await client.reader.readexactly(MUCH)) == MUCH
            client.close()

    run(test())


@pytest.mark.parametrize("size", [3, 300_000])
@pytest.mark.parametrize("reset", [False, True])
def test_an_answer_may_end_with_its_connection_but_not_with_a_reset(size: int, reset: bool) -> None:
    passed = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: keep, Close\r\n\r\n" + b"x" * size)
        await writer.drain()
        if reset:
            if size > MAX_BODY:
                await passed.wait()
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        else:
            writer.close()

    async def test() -> None:
        async with raw_world(handle) as w:
            client = await w.client()
            client.send("r1", "pay", "POST", b"b")
            if size <= MAX_BODY:
                got = await read_message(client.reader)
                assert (got.status, got.body) == (
                    (502, b"failed\n") if reset else (200, b"x" * size)
                )
                return
            assert "chunked" in await read_head(client.reader)
            if reset:
                await client.reader.readexactly(1)
                passed.set()
                with pytest.raises(ConnectionResetError):
                    await client.reader.read(-1)
            else:
                assert await read_chunks(client.reader) == b"x" * size

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_an_answer_that_is_cut_short_ends_in_a_reset(chunked: bool) -> None:
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
        async with raw_world(handle) as w:
            client = await w.client()
            client.send("r1")
            await read_head(client.reader)
            with pytest.raises(ConnectionResetError):
                await client.reader.read(-1)

    run(test())


def test_an_upstream_is_let_go_when_its_client_leaves() -> None:
    gone = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 100_000)
        with suppress(ConnectionError):
            await reader.read()
        gone.set()

    async def test() -> None:
        async with raw_world(handle) as w:
            client = await w.client()
            client.send("r1")
            await read_head(client.reader)
            client.writer.transport.abort()
            await gone.wait()

    run(test())


@pytest.mark.parametrize("chunked", [False, True])
def test_a_long_request_begins_before_it_is_whole(recorder: EventRecorder, chunked: bool) -> None:
    begun = asyncio.Event()
    bodies: list[bytes] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        assert ("transfer-encoding" in head) is chunked and (
            "content-length" in head
        ) is not chunked
        begun.set()
        bodies.append(await (read_chunks(reader) if chunked else reader.readexactly(len(LONG))))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

    async def test() -> None:
        async with raw_world(handle) as w:
            client = await w.client()
            half = len(LONG) // 2
            if chunked:
                client.writer.write(
                    post("r1", "Transfer-Encoding: chunked", "Expect: 100-continue")
                )
                assert "100 continue" in await read_head(client.reader)
                client.writer.write(b"%x;a=b\r\n%b\r\n" % (half, LONG[:half]))
            else:
                client.writer.write(post("r1", f"Content-Length: {len(LONG)}") + LONG[:half])
            await begun.wait()  # it is under way, and half of it has not been sent yet
            (arrival,) = recorder.of_type(api.RequestArrived)
            assert not arrival.body_complete and not recorder.of_type(api.BodyCompleted)
            if chunked:
                client.writer.write(b"%x\r\n%b\r\n0\r\nX-Sum: 9\r\n\r\n" % (half, LONG[half:]))
            else:
                client.writer.write(LONG[half:])
            got = await read_message(client.reader)
            assert (got.status, got.body) == (200, b"done")
            assert bodies == [LONG]
            (whole,) = recorder.of_type(api.BodyCompleted)
            assert not whole.is_replayable and whole.deadline_ns < arrival.deadline_ns
            # The connection goes on.
            client.writer.write(post("r2", "Content-Length: 2") + b"ab")
            await recorder.until(lambda: len(recorder.of_type(api.RequestArrived)) == 2)

    run(test())


def test_a_long_request_is_held_back_by_its_upstream() -> None:
    go_on = asyncio.Event()

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        await go_on.wait()
        size = 0
        while size < MUCH:
            size += len(await reader.read(1 << 20))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        async with raw_world(handle) as w:
            client = await w.client()
            client.writer.write(post("r1", f"Content-Length: {MUCH}") + bytes(MUCH))
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(client.writer.drain(), 0.5)
            go_on.set()
            assert (await read_message(client.reader)).status == 200

    run(test())


@pytest.mark.parametrize("late", [False, True])
def test_a_long_request_goes_out_again_only_while_it_is_whole(late: bool) -> None:
    """Its first upstream is not there, or breaks off before the end: what has not run may run
    elsewhere, but only if it can still be sent from its start.
    """
    bodies: list[bytes] = []

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        if late and not bodies:
            bodies.append(await reader.readexactly(200_000))
            writer.transport.abort()
            return
        bodies.append(await reader.readexactly(len(LONG)))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        there = {"id": "there", "addr": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"}
        away = [{"id": f"gone-{i}", "addr": f"127.0.0.1:{free_port()}"} for i in range(3)]
        rows = [] if late else away
        limits = replace(SETTINGS.limits, max_attempts=9)
        known = {"version": 9, "full": True, "servers": [*rows, there]}
        async with running_balancer(0, replace(SETTINGS, limits=limits), known=known) as w:
            client = await w.client()
            client.writer.write(post("r1", f"Content-Length: {len(LONG)}") + LONG[:250_000])
            if late:
                got = await read_message(client.reader)
                assert got.status == 503 and got.headers["connection"] == "close"
                assert len(bodies) == 1
            else:
                client.writer.write(LONG[250_000:])
                assert (await read_message(client.reader)).status == 200
                assert bodies == [LONG]
        server.close()

    run(test())


def test_a_body_that_stops_coming_is_ended_and_a_slow_one_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError):
            await read_head(reader)
            await reader.readexactly(len(LONG))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        monkeypatch.setattr(
            frontend, "LIMIT_S", {**connection_phase.LIMIT_S, Phase.NEW: 0.4, Phase.BODY: 0.4}
        )
        async with raw_world(handle) as w:
            stops, slow = await w.client(), await w.client()
            for name, client in (("r1", stops), ("r2", slow)):
                client.writer.write(post(name, f"Content-Length: {len(LONG)}") + LONG[:100_000])
            for at in range(100_000, len(LONG), 20_000):  # longer in all than either limit
                await asyncio.sleep(0.1)
                slow.writer.write(LONG[at : at + 20_000])
            assert (await read_message(slow.reader)).status == 200
            assert (await read_message(stops.reader)).status == 408
            await stops.expect_eof()

    run(test())


def test_head_is_answered_without_a_body() -> None:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n")
                if head.startswith("get"):
                    writer.write(bytes(90_000))

    async def test() -> None:
        async with raw_world(handle) as w:
            client = await w.client()
            for method in ("HEAD", "GET", "HEAD"):
                client.send(method + "1", method=method)
                assert "content-length: 90000" in await read_head(client.reader)
                if method == "GET":
                    await client.reader.readexactly(90_000)

    run(test())


# ---- the queue itself ----------------------------------------------------------------------------


class Link:
    def __init__(self) -> None:
        self.told: list[str] = []

    def pause(self) -> None:
        self.told.append("pause")

    def resume(self) -> None:
        self.told.append("resume")

    def abort(self) -> None:
        self.told.append("abort")


def test_a_full_body_pauses_its_sender_and_is_counted_in_all() -> None:
    store, link = BodyMemory(1 << 20), Link()
    body = Body(None, store)
    body.source = link
    body.put(bytes(MAX_BUFFERED))
    assert link.told == ["pause"] and store.buffered == MAX_BUFFERED
    assert body.take() == bytes(MAX_BUFFERED)
    assert link.told == ["pause", "resume"] and store.buffered == 0
    body.put(b"a")
    body.drop()
    assert link.told[-1] == "abort" and store.buffered == 0
    # Where all of them hold much, each may hold little, but something.
    scarce = BodyMemory(0)
    small = Body(None, scarce)
    small.source = link = Link()
    small.put(bytes(MAX_BUFFERED // 4))
    assert link.told == ["pause"]
    small.take()
    assert link.told == ["pause", "resume"]


def test_a_body_that_is_kept_can_be_read_again_until_it_overflows() -> None:
    body = Body(None, BodyMemory(1 << 20), keep=True)
    body.put(b"ab")
    body.put(b"cd")
    assert [body.take(), body.take(), body.take()] == [b"ab", b"cd", None]
    assert body.is_replayable
    body.rewind()
    assert body.take() == b"ab"
    body.put(bytes(MAX_BUFFERED))
    assert not body.is_replayable


# ---- cut anywhere --------------------------------------------------------------------------------

BODIES = st.binary(min_size=0, max_size=400).map(lambda some: some * 300)


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    at = sorted({0, len(data), *(c % (len(data) + 1) for c in cuts)})
    return [data[a:b] for a, b in zip(at, at[1:], strict=False)]


def frame(body: bytes, sizes: list[int] | None) -> bytes:
    """The framing and the body: with a length, or in chunks of these sizes, with extensions and
    trailers.
    """
    if sizes is None:
        return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    out, at = b"Transfer-Encoding: chunked\r\n\r\n", 0
    for size in [*sizes, len(body)]:
        piece = body[at : at + size]
        if piece:
            out += b'%X;name="a value"\r\n%b\r\n' % (len(piece), piece)
        at += size
    return out + b"0;last\r\nX-Trailer: t\r\n\r\n"


def collect(reader: RequestReader | ResponseReader, parts: list[bytes]) -> list[bytes]:
    """The bodies of what comes out, wherever it was cut."""
    found: list[Any] = []
    taken: dict[int, bytes] = {}
    for part in parts:
        reader.feed(part)
        assert reader.fault is None, reader.fault
        while reader.ready:
            found.append(reader.ready.popleft())
        for i, message in enumerate(found):
            while message.stream is not None and (piece := message.stream.take()) is not None:
                taken[i] = taken.get(i, b"") + piece
    assert all(m.stream is None or m.stream.drained for m in found)
    return [m.body if m.stream is None else taken.get(i, b"") for i, m in enumerate(found)]


@seed(1)
@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(BODIES, min_size=1, max_size=3),
    st.none() | st.lists(st.integers(1, 90_000), max_size=4),
    st.lists(st.integers(0, 10**6), max_size=8),
)
def test_messages_cut_anywhere_come_out_the_same(
    bodies: list[bytes], sizes: list[int] | None, cuts: list[int]
) -> None:
    memory = BodyMemory(1 << 30)
    asked = b"".join(post(f"r{i}")[:-2] + frame(body, sizes) for i, body in enumerate(bodies))
    assert collect(RequestReader(memory=memory), cut(asked, cuts)) == bodies
    answered = b"".join(b"HTTP/1.1 200 OK\r\n" + frame(body, sizes) for body in bodies)
    reader = ResponseReader()
    reader.expect(MAX_BODY, memory)
    assert collect(reader, cut(answered, cuts)) == bodies
