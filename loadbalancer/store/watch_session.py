"""The server side of a client's watch."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final, Protocol, TypeVar

from loadbalancer.store.change_notifier import ChangeNotifier
from loadbalancer.store.durable.errors import CompactedError
from loadbalancer.store.durable.state import State
from loadbalancer.store.errors import DeadlineExceededError
from loadbalancer.store.wire.protocol import Change, Changes, FailureCode, Reply, Watch

T = TypeVar("T")

PROGRESS_INTERVAL_S: Final = 5.0  # for a watch without changes


class WatchedNode(Protocol):
    """The interface of the node that a watch uses."""

    @property
    def notifier(self) -> ChangeNotifier:
        """Notify of changed keys."""

    async def query(self, read: Callable[[State], T]) -> T:
        """Read from the state that this node has applied."""


class WatchOwner(Protocol):
    """The interface of the connection that a watch uses."""

    def send(self, reply: Reply) -> None:
        """Send a reply."""

    def watch_compacted(self, watch_id: int, code: FailureCode, reason: str) -> None:
        """End the watch, because its next changes are no longer retained."""


class WatchSession:
    """Sends every change after a revision, as fast as the client reads.

    If the next changes are no longer retained, the watch fails and the client has to read again.
    """

    def __init__(self, node: WatchedNode, owner: WatchOwner, request: Watch) -> None:
        self._node = node
        self._owner = owner
        self._id = request.id
        self._prefix = request.prefix
        self._after = request.after
        self._sent_s = time.monotonic()
        self._is_progress_due = False
        self._is_paused = False
        self._is_stopped = False
        self._must_check_again = False
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        node.notifier.add(self, self._prefix, self.check)
        self._timer = self._loop.call_later(PROGRESS_INTERVAL_S, self._progress)
        self.check()

    def check(self) -> None:
        """Start sending pending changes."""
        if self._is_stopped or self._is_paused:
            return
        if self._task is not None and not self._task.done():
            self._must_check_again = True
            return
        self._task = self._loop.create_task(self._send_changes())

    def pause(self) -> None:
        """Stop sending until `resume` is called, because the client does not read."""
        self._is_paused = True

    def resume(self) -> None:
        """Resume sending after `pause`."""
        self._is_paused = False
        self.check()

    def _progress(self) -> None:
        self._timer = self._loop.call_later(PROGRESS_INTERVAL_S, self._progress)
        idle_s = time.monotonic() - self._sent_s
        if (self._is_progress_due or idle_s > PROGRESS_INTERVAL_S / 2) and not self._is_paused:
            self._is_progress_due = True
            self.check()

    async def _send_changes(self) -> None:
        while not self._is_stopped and not self._is_paused:
            self._must_check_again = False
            try:
                events, applied = await self._node.query(
                    lambda state: (state.events(self._prefix, self._after), state.applied)
                )
            except DeadlineExceededError:
                return  # the node stops and closes the connection
            except CompactedError as error:
                self._owner.watch_compacted(self._id, FailureCode.COMPACTED, str(error))
                self.stop()
                return
            if events:
                # A page may not reach the last applied revision; the loop then reads the next page.
                changes = tuple(
                    Change(event.revision, event.key, event.version, event.value)
                    for event in events
                )
                self._send(Changes(self._id, changes, events[-1].revision))
                continue
            self._after = max(self._after, applied)
            if self._is_progress_due:
                self._send(Changes(self._id, (), self._after))
            if not self._must_check_again:
                return

    def _send(self, changes: Changes) -> None:
        self._after = changes.revision
        self._sent_s = time.monotonic()
        self._is_progress_due = False
        if not self._is_stopped:
            self._owner.send(changes)

    def stop(self) -> None:
        """End the watch."""
        self._is_stopped = True
        self._timer.cancel()
        self._node.notifier.remove(self)
