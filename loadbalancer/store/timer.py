"""A timer for a component that computes its next wake-up time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

NS_PER_S: Final = 1_000_000_000


class WakeTimer:
    """Calls a callback at the earliest time scheduled since the last call."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._handle: asyncio.TimerHandle | None = None
        self._due_ns = 0

    def schedule(self, due_ns: int, now_ns: int) -> None:
        """Schedule the callback, unless it is already scheduled for the same or an earlier time.

        Both times are on the monotonic clock.
        """
        if self._handle is not None and due_ns >= self._due_ns:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._due_ns = due_ns
        delay_s = max(0, due_ns - now_ns) / NS_PER_S
        self._handle = asyncio.get_running_loop().call_later(delay_s, self._expired)

    def _expired(self) -> None:
        self._handle = None
        self._callback()

    def lateness_s(self) -> float:
        """Return the time since the last scheduled time."""
        return (time.monotonic_ns() - self._due_ns) / NS_PER_S

    def cancel(self) -> None:
        """Cancel the callback."""
        if self._handle is not None:
            self._handle.cancel()
