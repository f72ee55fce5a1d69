"""Crowds at one balancer: clients that hold connections, and what a process holds for them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Final

CONNECT_TIMEOUT_S: Final = 2.0
PAUSE_S: Final = 0.05, 0.5  # before a client that was closed comes again
HEAVY_PAUSE_S: Final = 0.2, 2.0  # the same where a client sends much at once
STEP_S: Final = 0.05  # between two pieces that are written or read slowly
SLOW_WRITE_BYTES: Final = 600  # in a step: 12 kB/s
SLOW_READ_BYTES: Final = 100  # in a step: 2 kB/s
BODY_BYTES: Final = 64_000
STALLED_BODY_BYTES: Final = 63_000
LONG_BODY_BYTES: Final = 4_000_000
CHUNK_BYTES: Final = 50_000
REFUSED: Final = ("POST /ready", "GET /ready", "HEAD /ready", "POST /nowhere", "GET /read")
MANY_FIELDS: Final = 1_900
TINY_FIELDS: Final = 3_900
PIPELINED: Final = 300
PIPELINE_STAY_S: Final = 3.0  # then its client leaves, with everything unread
READ_BUFFER_BYTES: Final = 4_096
BEGUN: Final = b"GET /read HTTP/1.1\r\nHost: soak\r\n"


class Behavior(Enum):
    """What each client of a crowd does with its connection."""

    HALF_HEAD = "begins a head and stops"
    SLOW_BODY = "writes a short body slowly"
    STALLED_BODY = "stops shortly before the end of a short body"
    STALLED_LONG_BODY = "stops in the middle of a long body"
    REFUSED_LONG_BODY = "sends a long body in chunks with a request that is answered early"
    MANY_FIELDS = "sends a head of many short fields without an end"
    TINY_FIELDS = "sends a head of the shortest fields without an end"
    PIPELINE = "sends many requests behind one whose answer it does not read, and leaves"
    SLOW_READER = "reads a long answer slowly"


HEAVY: Final = frozenset(
    {
        Behavior.STALLED_BODY,
        Behavior.STALLED_LONG_BODY,
        Behavior.REFUSED_LONG_BODY,
        Behavior.MANY_FIELDS,
        Behavior.TINY_FIELDS,
        Behavior.PIPELINE,
        Behavior.SLOW_READER,
    }
)


def head(request: str, *fields: str, effect: str = "read", query: str = "") -> bytes:
    """Return the head of a sound request, with additional header lines."""
    method = "GET" if effect == "read" else "POST"
    rows = [
        f"{method} /{effect}{query} HTTP/1.1",
        "Host: soak",
        f"X-Request-Id: {request}",
        f"X-Class: {effect}",
        "X-Tenant: elm",
        "X-Deadline-Ms: 2500",
        *fields,
    ]
    return "\r\n".join([*rows, "", ""]).encode()


class Crowd:
    """The clients of one balancer that hold connections.

    Args:
        port: The balancer's.
        connections: How many clients there are at once.
        behaviors: What they do, in turn.
    """

    def __init__(self, port: int, connections: int, behaviors: tuple[Behavior, ...]) -> None:
        self.port = port
        self.connections = connections
        self.behaviors = behaviors
        self.rng = random.Random(port)
        self.requests = 0
        self._acts: dict[
            Behavior, Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
        ] = {
            Behavior.HALF_HEAD: self._half_head,
            Behavior.SLOW_BODY: self._slow_body,
            Behavior.STALLED_BODY: self._stalled_body,
            Behavior.STALLED_LONG_BODY: self._stalled_long_body,
            Behavior.REFUSED_LONG_BODY: self._refused_long_body,
            Behavior.MANY_FIELDS: self._many_fields,
            Behavior.TINY_FIELDS: self._tiny_fields,
            Behavior.PIPELINE: self._pipeline,
            Behavior.SLOW_READER: self._slow_reader,
        }

    async def run(self) -> None:
        """Connect, and again whenever a connection is closed, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number in range(self.connections):
                group.create_task(self._stay(self.behaviors[number % len(self.behaviors)]))

    async def _stay(self, behavior: Behavior) -> None:
        pause_s = HEAVY_PAUSE_S if behavior in HEAVY else PAUSE_S
        while True:
            await asyncio.sleep(self.rng.uniform(*pause_s))
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", self.port, limit=READ_BUFFER_BYTES
                    )
            except (OSError, TimeoutError):
                continue
            try:
                await self._acts[behavior](reader, writer)
                await reader.read()  # to the end that the balancer makes of it
            except OSError:
                pass
            finally:
                writer.transport.abort()

    def _name(self) -> str:
        self.requests += 1
        return f"crowd-{self.port}-{self.requests}"

    async def _half_head(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(BEGUN[: self.rng.randrange(len(BEGUN))])

    async def _slow_body(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(self._name(), f"Content-Length: {BODY_BYTES}", effect="pay"))
        for _ in range(0, BODY_BYTES, SLOW_WRITE_BYTES):
            writer.write(bytes(SLOW_WRITE_BYTES))
            await asyncio.sleep(STEP_S)
            await writer.drain()

    async def _stalled_body(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head(self._name(), f"Content-Length: {BODY_BYTES}", effect="pay"))
        writer.write(bytes(STALLED_BODY_BYTES))

    async def _stalled_long_body(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head(self._name(), f"Content-Length: {LONG_BODY_BYTES}", effect="pay"))
        writer.write(bytes(LONG_BODY_BYTES // 2))

    async def _refused_long_body(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        start = self.rng.choice(REFUSED)
        fields = "Host: soak\r\nTransfer-Encoding: chunked"
        name = self._name()
        writer.write(f"{start} HTTP/1.1\r\nX-Request-Id: {name}\r\n{fields}\r\n\r\n".encode())
        chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, bytes(CHUNK_BYTES))
        for _ in range(0, LONG_BODY_BYTES, CHUNK_BYTES):
            writer.write(chunk)
            await writer.drain()

    async def _many_fields(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(BEGUN + b"".join(b"f%d:%d\r\n" % (n, n % 7) for n in range(MANY_FIELDS)))

    async def _tiny_fields(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(BEGUN + b"a:\r\n" * TINY_FIELDS)

    async def _pipeline(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(head(self._name(), query=f"?size={LONG_BODY_BYTES}"))
        writer.write(b"".join(head(self._name()) for _ in range(PIPELINED)))
        await asyncio.sleep(PIPELINE_STAY_S)
        writer.transport.abort()

    async def _slow_reader(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(head(self._name(), query=f"?size={LONG_BODY_BYTES}"))
        while await reader.read(SLOW_READ_BYTES):
            await asyncio.sleep(STEP_S)
