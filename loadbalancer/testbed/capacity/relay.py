"""A bare relay in asyncio: bytes from a client to an upstream connection and back, and nothing
else.

It is the yardstick: what the event loop and the sockets cost by themselves.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Sequence
from typing import cast


class Pipe(asyncio.Protocol):
    """One end; what comes goes to the other."""

    def __init__(self, other: Pipe | None = None) -> None:
        self.other = other
        self.transport: asyncio.Transport | None = None
        self.early = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        other = self.other
        if other is None or other.transport is None:
            self.early += data
        else:
            other.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Front(Pipe):
    """A client's connection: it opens the one behind it."""

    def __init__(self, port: int) -> None:
        super().__init__()
        self.port = port
        self.opening: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.opening = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        back = Pipe(self)
        await asyncio.get_running_loop().create_connection(lambda: back, "127.0.0.1", self.port)
        self.other = back
        if self.early and back.transport is not None:
            back.transport.write(self.early)


async def serve(ports: Sequence[int]) -> None:
    turns = itertools.cycle(ports)
    server = await asyncio.get_running_loop().create_server(
        lambda: Front(next(turns)), "127.0.0.1", 0
    )
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(
        None, sys.stdin.read
    )  # until whoever started it goes


if __name__ == "__main__":
    asyncio.run(serve([int(port) for port in sys.argv[1:]]))
