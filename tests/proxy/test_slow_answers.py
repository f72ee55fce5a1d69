"""Answers that are written slowly, in every framing, and requests that are read slowly or not."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Final

import pytest

from tests.fakes import (
    MS,
    BalancerHarness,
    Message,
    http_response,
    read_message,
    run,
    settings_by_cancel,
)
from tests.proxy.test_slow_readers import body_pieces
from tests.raw_http import ConnectionHandler, balancer_with_raw_upstream, post_head, read_head

SHORT_OBJECTIVE: Final = settings_by_cancel(200 * MS, 500 * MS)
LONG_BYTES: Final = 70_000
PIECE_BYTES: Final = 2_000
LONG_S: Final = 1.2  # more than the deadline
SHORT_BYTES: Final = 20_000
SHORT_S: Final = 0.35  # between the objective and the deadline
LATE_BODY_S: Final = 0.6
LUMPS: Final = 4
FIRST_BYTE_S: Final = 0.2  # the objective
ANSWER_S: Final = 1.0  # the deadline, and the half second within which an answer earns nothing
STOPPED_ANSWER_S: Final = 3.0  # the silence behind which it has stopped, and that half second
SLOW_REQUEST_BYTES: Final = 24_000_000  # more than all kernels' buffers hold
SLOW_READING_S: Final = 2.0  # several times the deadline
SLOW_READING_BYTES_PER_S: Final = 200_000
VERY_SLOW_BYTES: Final = 500
VERY_SLOW_PAUSE_S: Final = 0.02
HEADS: Final = {
    "length": b"Content-Length: %d\r\n\r\n",
    "chunked": b"Transfer-Encoding: chunked\r\n\r\n",
    "close": b"Connection: close\r\n\r\n",
}


def slow_upstream(framing: str, shape: str, size: int, seconds: float) -> ConnectionHandler:
    """Return an upstream that writes an answer of this size in this time."""
    pieces = LUMPS if shape == "lumps" else size // PIECE_BYTES
    piece = bytes(size // pieces)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        head = HEADS[framing]
        writer.write(b"HTTP/1.1 200 OK\r\n" + (head % size if b"%d" in head else head))
        if shape == "late body":
            await asyncio.sleep(LATE_BODY_S)
        for _ in range(pieces):
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if framing == "chunked" else piece)
            await asyncio.sleep(seconds / pieces)
        if framing == "chunked":
            writer.write(b"0\r\n\r\n")
        if framing == "close":
            writer.close()

    return answer


@dataclass
class Exchange:
    """A client's connection with one request on it, and the head of its answer in lower case."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    head: str

    async def read_body(self) -> int:
        """Read the body of the answer, and return its size."""
        return sum([len(piece) async for piece in body_pieces(self.reader, self.head)])


async def ask(harness: BalancerHarness) -> Exchange:
    """Send a request, and read the head of its answer."""
    reader, writer = await asyncio.open_connection(*harness.address)
    writer.write(post_head("r1", "Content-Length: 0"))
    return Exchange(reader, writer, await read_head(reader))


# Issue 68, picture (b): a long answer that its upstream was still writing was cut off.
@pytest.mark.parametrize("may_cancel", [False, True])
@pytest.mark.parametrize("shape", ["steady", "late body", "lumps"])
@pytest.mark.parametrize("framing", ["chunked", "close", "length"])
def test_a_long_answer_is_forwarded_at_once_and_comes_whole(
    framing: str, shape: str, may_cancel: bool
) -> None:
    async def main() -> None:
        handle = slow_upstream(framing, shape, LONG_BYTES, LONG_S)
        settings = SHORT_OBJECTIVE[may_cancel]
        async with balancer_with_raw_upstream(handle, settings=settings) as harness:
            async with asyncio.timeout(FIRST_BYTE_S):
                exchange = await ask(harness)
            assert exchange.head.startswith("http/1.1 200")
            assert await exchange.read_body() == LONG_BYTES

    run(main())


# Issue 68, picture (b): an attempt was given up while it gave its answer.
@pytest.mark.parametrize("shape", ["steady", "lumps"])
@pytest.mark.parametrize("framing", ["chunked", "close", "length"])
def test_a_short_answer_that_is_coming_is_not_given_up_at_the_objective(
    framing: str, shape: str
) -> None:
    async def main() -> None:
        handle = slow_upstream(framing, shape, SHORT_BYTES, SHORT_S)
        settings = SHORT_OBJECTIVE[False]
        async with balancer_with_raw_upstream(handle, settings=settings) as harness:
            exchange = await ask(harness)
            assert exchange.head.startswith("http/1.1 200")
            assert await exchange.read_body() == SHORT_BYTES

    run(main())


# An answer that begins and never ends must not hold its client: beyond its time where it is known
# to be short, beyond the longest pause of a sound upstream where it may be long.
@pytest.mark.parametrize("framing", ["chunked", "close", "length"])
def test_an_answer_that_never_ends_is_ended_and_does_not_seem_whole(framing: str) -> None:
    async def main() -> None:
        async def stall(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            head = HEADS[framing]
            writer.write(b"HTTP/1.1 200 OK\r\n" + (head % SHORT_BYTES if b"%d" in head else head))
            writer.write(b"4\r\nabcd\r\n")
            await reader.read()

        settings = SHORT_OBJECTIVE[False]
        async with balancer_with_raw_upstream(stall, settings=settings) as harness:
            async with asyncio.timeout(ANSWER_S if framing == "length" else STOPPED_ANSWER_S):
                exchange = await ask(harness)
                assert exchange.head.startswith("http/1.1 200") == (framing != "length")
                if framing != "length":
                    with pytest.raises(ConnectionResetError):
                        while await exchange.reader.read(PIECE_BYTES):
                            pass

    run(main())


# Issue 68, picture (b): the final answer came seconds after its time, or never.
@pytest.mark.parametrize("size", [2_000, 200_000, 4_000_000, 12_000_000])
def test_a_request_that_its_upstream_does_not_read_is_answered_by_the_clients_time(
    size: int,
) -> None:
    async def main() -> None:
        async def read_only_the_head(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_head(reader)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            await asyncio.Event().wait()

        settings = SHORT_OBJECTIVE[False]
        async with balancer_with_raw_upstream(
            read_only_the_head, receive_buffer=8 * 1024, settings=settings
        ) as harness:
            reader, writer = await asyncio.open_connection(*harness.address)
            writer.write(post_head("r1", f"Content-Length: {size}") + bytes(size))
            async with asyncio.timeout(ANSWER_S):
                answer: Message = await read_message(reader)
            assert answer.status in (502, 503, 504)

    run(main())


# An upstream that reads slowly, but does read, keeps its request beyond the client's time for as
# long as the client has not sent everything.
def test_a_request_that_its_upstream_reads_slowly_is_not_given_up() -> None:
    async def main() -> None:
        async def read_slowly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            left = SLOW_REQUEST_BYTES
            slow_until_s = asyncio.get_running_loop().time() + SLOW_READING_S
            while left:
                left -= len(await reader.read(PIECE_BYTES))
                if asyncio.get_running_loop().time() < slow_until_s:
                    await asyncio.sleep(PIECE_BYTES / SLOW_READING_BYTES_PER_S)
            writer.write(http_response(200))

        settings = SHORT_OBJECTIVE[True]
        async with balancer_with_raw_upstream(
            read_slowly, receive_buffer=8 * 1024, settings=settings
        ) as harness:
            reader, writer = await asyncio.open_connection(*harness.address)
            writer.write(post_head("r1", f"Content-Length: {SLOW_REQUEST_BYTES}"))
            writer.write(bytes(SLOW_REQUEST_BYTES))
            answer: Message = await read_message(reader)
            assert answer.status == 200

    run(main())


# A body whose rest has arrived keeps its client's time, however its upstream goes on reading.
@pytest.mark.parametrize("size", [100_000, 120_000, 200_000])
def test_a_request_that_arrived_whole_is_answered_by_the_clients_time(size: int) -> None:
    async def main() -> None:
        async def read_very_slowly(
            reader: asyncio.StreamReader, _writer: asyncio.StreamWriter
        ) -> None:
            await read_head(reader)
            while await reader.read(VERY_SLOW_BYTES):
                await asyncio.sleep(VERY_SLOW_PAUSE_S)

        settings = SHORT_OBJECTIVE[True]
        async with balancer_with_raw_upstream(
            read_very_slowly, receive_buffer=4 * 1024, settings=settings
        ) as harness:
            reader, writer = await asyncio.open_connection(*harness.address)
            writer.write(post_head("r1", f"Content-Length: {size}") + bytes(size))
            async with asyncio.timeout(ANSWER_S):
                answer: Message = await read_message(reader)
            assert answer.status in (502, 503, 504)

    run(main())
