"""Account of the memory that this process holds for its peers, against one limit.

Whoever keeps something for a peer charges it here: connections, heads, bodies, input that is not
parsed, output that is not sent. The account says how large buffers may be and which relief is due;
`memory_relief.py` carries that out.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Final

KIB: Final = 1024
METRIC_PREFIX: Final = "loadbalancer_"
# Bytes of a connection with nothing buffered, of an open request without its body, and of a header
# field beyond its text; `loadbalancer lab connection-memory` measures them.
CLIENT_CONNECTION_BYTES: Final = 4_500
UPSTREAM_CONNECTION_BYTES: Final = 4_500
OPEN_REQUEST_BYTES: Final = 3_000
HEADER_FIELD_BYTES: Final = 160


class Pressure(IntEnum):
    """How much of the limit is in use, and so what gives way; each level includes those below.

    The order is a rule: a request that was read completely never gives way.
    """

    NONE = 0  # buffers have their full size
    SMALLER_BUFFERS = 1  # bodies and reads are smaller
    SMALLEST_BUFFERS = 2  # they are as small as they can be without being very slow
    RELIEF = 3  # connections without a request, then incomplete requests are closed
    FULL = 4  # new connections wait, and reading stops


# The fraction of the limit at which each level begins.
PRESSURE_FRACTIONS: Final = (
    (Pressure.FULL, 0.9),
    (Pressure.RELIEF, 0.75),
    (Pressure.SMALLEST_BUFFERS, 0.35),
    (Pressure.SMALLER_BUFFERS, 0.15),
)
RELIEVED_FRACTION: Final = 0.7  # relief goes on until no more than this is in use
FULL_BUFFER_BYTES: Final = 64 * KIB
# Bodies of requests are read ahead while less than this fraction of the limit is in use.
READ_AHEAD_FRACTION: Final = 0.12
MAX_READ_AHEAD_BYTES: Final = 8 * KIB * KIB  # of one body
BUFFER_BYTES: Final = {
    Pressure.NONE: FULL_BUFFER_BYTES,
    Pressure.SMALLER_BUFFERS: 16 * KIB,
    Pressure.SMALLEST_BUFFERS: 4 * KIB,
    Pressure.RELIEF: 4 * KIB,
    Pressure.FULL: KIB,
}


class MemoryAccount:
    """What this process holds for its peers.

    Args:
        limit_bytes: What it may hold.

    Attributes:
        limit_bytes: The same; `set_limit` changes it.
        held_bytes: What it holds now.
        high_water_bytes: The most that it has held.
        on_relief_due: Called when a charge reaches the level at which relief is due.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.set_limit(limit_bytes)
        self.held_bytes = 0
        self.high_water_bytes = 0
        self.on_relief_due: Callable[[], None] | None = None

    def set_limit(self, limit_bytes: int) -> None:
        """Set what this process may hold."""
        self.limit_bytes = limit_bytes
        self._levels = [(level, int(part * limit_bytes)) for level, part in PRESSURE_FRACTIONS]
        self._read_ahead_until_bytes = int(READ_AHEAD_FRACTION * limit_bytes)
        self._pressure_from_bytes = min(from_bytes for _, from_bytes in self._levels)
        self._relief_from_bytes = dict(self._levels)[Pressure.RELIEF]

    def adjust(self, change_bytes: int) -> None:
        """Charge bytes, or discharge them if the change is negative."""
        self.held_bytes += change_bytes
        if change_bytes <= 0:
            return
        self.high_water_bytes = max(self.high_water_bytes, self.held_bytes)
        if self.held_bytes >= self._relief_from_bytes and self.on_relief_due is not None:
            self.on_relief_due()

    @property
    def pressure(self) -> Pressure:
        """The level that is in force."""
        if self.held_bytes < self._pressure_from_bytes:
            return Pressure.NONE
        return next(level for level, from_bytes in self._levels if self.held_bytes >= from_bytes)

    @property
    def is_relieved(self) -> bool:
        """Whether enough is free for relief to end."""
        return self.held_bytes <= RELIEVED_FRACTION * self.limit_bytes

    @property
    def buffer_bytes(self) -> int:
        """Number of bytes that one body may buffer, and that one read may take."""
        if self.held_bytes < self._pressure_from_bytes:
            return FULL_BUFFER_BYTES
        return BUFFER_BYTES[self.pressure]

    def read_ahead_bytes(self, buffered_bytes: int) -> int:
        """Return how many bytes the body of a request may buffer.

        It is read ahead of its upstream, as its client's time counts from its end.

        Args:
            buffered_bytes: Bytes that it buffers now.
        """
        free_bytes = self._read_ahead_until_bytes - self.held_bytes
        read_ahead_bytes = min(MAX_READ_AHEAD_BYTES, buffered_bytes + free_bytes)
        return max(self.buffer_bytes, read_ahead_bytes)

    def metrics_text(self) -> str:
        """Return the account in the Prometheus text format."""
        rows = [
            ("memory_held_bytes", "Memory held for peers", self.held_bytes),
            ("memory_high_water_bytes", "The most memory held for peers", self.high_water_bytes),
            ("memory_limit_bytes", "The most memory that may be held", self.limit_bytes),
        ]
        return "\n".join(
            f"# HELP {METRIC_PREFIX}{name} {text}.\n"
            f"# TYPE {METRIC_PREFIX}{name} gauge\n"
            f"{METRIC_PREFIX}{name} {value}"
            for name, text, value in rows
        )


class Charge:
    """What is held for one connection or call; it is replaced whenever that changes."""

    __slots__ = ("account", "held_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        self.account = account
        self.held_bytes = 0

    def replace(self, held_bytes: int) -> None:
        """Charge this number of bytes instead of what was charged before."""
        change_bytes = held_bytes - self.held_bytes
        if change_bytes:
            self.held_bytes = held_bytes
            self.account.adjust(change_bytes)

    def release(self) -> None:
        """Discharge everything."""
        self.replace(0)
