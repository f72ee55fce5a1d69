"""Decides whether a peer still takes what is sent to it, from the time and byte counts alone.

Progress is that the peer's kernel acknowledges bytes. That a write succeeds says less: Linux
reports a socket as writable only once a third of its send buffer is free, and the buffer may hold
megabytes.

A peer that reads steadily does not acknowledge steadily. Its kernel announces the space in a full
receive buffer only when a part of the buffer is free, and many applications read in bursts.
Acknowledged bytes therefore give the peer the time to read them at a slow rate, and the grace
period begins after that.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

GRACE_S: Final = 10.0  # a peer without bytes left to read may take nothing for this long
# A peer that reads at this rate is not closed. Half the rate that the specification names for slow
# clients, so that one at that rate may also read in bursts.
SLOW_READ_BYTES_PER_S: Final = 32_000
# The most time that acknowledged bytes give. It bounds how long a peer that stops reading stays.
MAX_READING_S: Final = 50.0
CHECK_INTERVAL_S: Final = 1.0  # how often the progress of a connection is checked


class SendState(Enum):
    """State of the sending to a peer."""

    PROGRESSING = "the peer takes what is sent, or may still be reading what it took"
    STALLED = "the peer has taken nothing for too long"


class SendProgress:
    """The progress of sending to one peer, checked about every `CHECK_INTERVAL_S`.

    Args:
        now_s: The time.
        acknowledged_bytes: Bytes that the peer has acknowledged since the connection opened.
    """

    __slots__ = ("_acknowledged_bytes", "_reading_until_s")

    def __init__(self, now_s: float, acknowledged_bytes: int) -> None:
        self._acknowledged_bytes = acknowledged_bytes
        self._reading_until_s = now_s

    def check(self, now_s: float, acknowledged_bytes: int, outstanding_bytes: int) -> SendState:
        """Return the state of the sending.

        Args:
            now_s: The time.
            acknowledged_bytes: Bytes that the peer has acknowledged since the connection opened.
            outstanding_bytes: Bytes that were written and are not acknowledged yet.
        """
        new_bytes = acknowledged_bytes - self._acknowledged_bytes
        self._acknowledged_bytes = acknowledged_bytes
        if new_bytes > 0 or outstanding_bytes <= 0:
            reading_s = max(0.0, self._reading_until_s - now_s)
            reading_s += max(0, new_bytes) / SLOW_READ_BYTES_PER_S
            self._reading_until_s = now_s + min(reading_s, MAX_READING_S)
        is_stalled = now_s >= self._reading_until_s + GRACE_S
        return SendState.STALLED if is_stalled else SendState.PROGRESSING
