"""Access to the wall clock, for display and for timestamps of other machines.

The wall clock may be stepped forward or back, by seconds or by an hour, while the monotonic clock
advances steadily. Therefore durations are never measured with it. This is the only module outside
the testbed that reads the wall clock.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Final

MILLISECOND: Final = 1_000_000
# The two clocks are read one after the other. If the process was delayed for longer than this in
# between, both are read again, up to MAX_READINGS times.
MAX_READING_GAP_NS: Final = 200_000
MAX_READINGS: Final = 5
# A larger change of the offset between the clocks is a step. Slewing changes the offset by half a
# millisecond per second.
MAX_SLEW_NS: Final = 50 * MILLISECOND
MAX_SKEW_S: Final = 2.0  # between the wall clocks of two machines
# Listed starts that differ by less are the same start: older versions saved them rounded to this.
SAME_START_MS: Final = 100
MAX_STARTS: Final = 50_000  # maximum number kept, because new upstreams get new ids


def unix_ms() -> int:
    """Return the Unix time in milliseconds, for display."""
    return time.time_ns() // MILLISECOND


def unix_s() -> float:
    """Return the Unix time in seconds, for display."""
    return time.time()


def age_s(written_at_s: float) -> float | None:
    """Return the age of data that was written at the given Unix time.

    Returns:
        None if the time is in the future, which shows that a clock was stepped.
    """
    age = time.time() - written_at_s
    return None if age < -MAX_SKEW_S else max(0.0, age)


def format_age(age: float | None) -> str:
    """Format an age for display; None means unknown because a clock was stepped."""
    return "an unknown time" if age is None else f"{age:.0f} s"


def offset_ns() -> int:
    """Return the current offset of the wall clock from the monotonic clock."""
    shortest_gap_ns: int | None = None
    offset = 0
    for _ in range(MAX_READINGS):
        before = time.monotonic_ns()
        wall = time.time_ns()
        after = time.monotonic_ns()
        gap_ns = after - before
        if shortest_gap_ns is None or gap_ns < shortest_gap_ns:
            shortest_gap_ns = max(1, gap_ns)
            offset = wall - (before + after) // 2
        if shortest_gap_ns <= MAX_READING_GAP_NS:
            break
    return offset


@dataclass(frozen=True, slots=True)
class Start:
    """The listed start time of an upstream, and the monotonic time it was converted to."""

    unix_ms: int
    started_ns: int


class StartTimes:
    """Converts listed start times of upstreams from Unix time to the monotonic clock.

    A start is converted once, and later clock changes don't alter the result. The result is never
    in the future. After a step of the wall clock has been detected, the size of all steps is added
    to a new start, and the result is not before the last list without that start. The second rule
    would be wrong without a step: lists arrive late, so a list may not include an upstream that has
    already started.
    """

    def __init__(self) -> None:
        self.starts: dict[int, Start] = {}  # by upstream id, the most recently listed last
        self.last_list_ns: int | None = None
        self.offset_ns = offset_ns()
        self.stepped_ns = 0  # sum of the absolute steps of the wall clock

    def started_ns(self, upstream: int, unix_ms: int, now_ns: int) -> int:
        """Return the monotonic time of this start; 0: long ago."""
        if not unix_ms:
            return 0
        start = self.starts.get(upstream)
        if start is None or abs(start.unix_ms - unix_ms) >= SAME_START_MS:
            start = Start(unix_ms, self._convert(unix_ms, now_ns))
        self.starts.pop(upstream, None)
        self.starts[upstream] = start  # evicts the least recently listed first
        if len(self.starts) > MAX_STARTS:
            del self.starts[next(iter(self.starts))]
        return start.started_ns

    def list_received(self, now_ns: int) -> None:
        """Record the time of a complete list from discovery."""
        self.last_list_ns = now_ns

    def _convert(self, unix_ms: int, now_ns: int) -> int:
        offset = offset_ns()
        step = abs(offset - self.offset_ns)
        self.offset_ns = offset
        if step > MAX_SLEW_NS:
            self.stepped_ns += step
        started = unix_ms * MILLISECOND - offset + self.stepped_ns
        if self.stepped_ns and self.last_list_ns is not None:
            started = max(started, self.last_list_ns)
        return min(started, now_ns)
