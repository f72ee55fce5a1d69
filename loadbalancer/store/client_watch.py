"""A client's watch: a gapless stream of changes across reconnects and leader changes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Final

from loadbalancer.store.backoff import Backoff
from loadbalancer.store.client_connection import ClientConnection, WatchReply
from loadbalancer.store.errors import RejectedError, WatchCompactedError
from loadbalancer.store.request_channel import RequestChannel
from loadbalancer.store.wire.protocol import (
    CancelWatch,
    Changes,
    FailureCode,
    RequestFailed,
    Watch,
)

# Nodes report progress more often, so a longer silence means a dead connection.
IDLE_TIMEOUT_S: Final = 15.0


class WatchStream:
    """The stream of changes to the keys with a prefix after a revision."""

    def __init__(self, channel: RequestChannel, prefix: str, after: int) -> None:
        self._channel = channel
        self._prefix = prefix
        self._after = after

    async def changes(self, connect_timeout_s: float) -> AsyncIterator[Changes]:
        """Yield every change in order; an empty `Changes` reports progress. Never ends.

        Raises:
            RejectedError: The store rejects the watch.
            WatchCompactedError: Changes after the revision are no longer retained.
        """
        backoff = self._channel.new_backoff()
        while True:
            try:
                connection = await self._channel.connect(time.monotonic() + connect_timeout_s)
            except (OSError, TimeoutError):
                await asyncio.sleep(backoff.next_delay_s())
                continue
            watch_id = self._channel.next_request_id()
            queue: asyncio.Queue[WatchReply] = asyncio.Queue()
            connection.watches[watch_id] = queue
            connection.send(Watch(watch_id, 0, self._prefix, self._after))
            try:
                while (changes := await self._next(connection, queue, backoff)) is not None:
                    yield changes
            finally:
                if connection.watches.pop(watch_id, None) is not None:
                    connection.send(CancelWatch(self._channel.next_request_id(), 0, watch_id))
            await asyncio.sleep(backoff.next_delay_s())

    async def _next(
        self, connection: ClientConnection, queue: asyncio.Queue[WatchReply], backoff: Backoff
    ) -> Changes | None:
        """Return the next changes; None if the watch must be re-created."""
        try:
            # Not `asyncio.wait_for`: if its future completes in the same event-loop iteration in
            # which its task is cancelled, as when a connection is closed at shutdown, it swallows
            # the cancellation (Python 3.11, gh-86296).
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                reply = await queue.get()
        except TimeoutError:
            self._channel.abandon(connection)
            return None
        if isinstance(reply, RequestFailed):
            _raise_if_permanent(reply)
            return None
        if reply is not None:
            backoff.reset()
            self._after = reply.revision
        return reply


def _raise_if_permanent(failure: RequestFailed) -> None:
    if failure.code == FailureCode.COMPACTED:
        raise WatchCompactedError(failure.text)
    if failure.code in (FailureCode.FORBIDDEN, FailureCode.REJECTED):
        raise RejectedError(failure.text)
