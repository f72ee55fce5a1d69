"""A crowd at one balancer: clients that connect, begin a request and never finish it."""

from __future__ import annotations

import asyncio
import random

CONNECTIONS = 150  # of one balancer, at once
CONNECT_TIMEOUT_S = 2.0
PAUSE_S = 0.05, 0.5  # before a client that was closed comes again
BEGUN = b"GET /read HTTP/1.1\r\nHost: soak\r\n"


class Crowd:
    """The clients of one balancer that stay in the middle of a request."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.rng = random.Random(port)

    async def run(self) -> None:
        """Connect, and again whenever a connection is closed, until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CONNECTIONS):
                group.create_task(self._stay())

    async def _stay(self) -> None:
        while True:
            await asyncio.sleep(self.rng.uniform(*PAUSE_S))
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except (OSError, TimeoutError):
                continue
            try:
                writer.write(BEGUN[: self.rng.randrange(len(BEGUN))])
                await reader.read()  # to the end that the balancer makes of it
            except OSError:
                pass
            finally:
                writer.close()
