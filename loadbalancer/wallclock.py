"""The wall clock: for people, and for what other machines wrote. No duration is measured by it.

It may be stepped, by seconds or by an hour, forward or back, while the monotonic clock runs on.
This is the only module outside the testbed that reads it.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Final

MILLISECOND: Final = 1_000_000
# The two clocks are read one after the other. Where this process was held up for longer than this
# in between, they are read again, at most so often.
MAX_READING_GAP_NS: Final = 200_000
MAX_READINGS: Final = 5
# The offset of the two moves by so much without a step: clocks are slewed by half a millisecond a
# second.
MAX_SLEW_NS: Final = 50 * MILLISECOND
MAX_SKEW_S: Final = 2.0  # between the clocks of two machines
# Starts that are listed closer together are one: an older program saved them rounded to this.
SAME_START_MS: Final = 100
MAX_STARTS: Final = 50_000  # that are remembered; in time they are ever new


def unix_ms() -> int:
    """Return the time in milliseconds, for people to read."""
    return time.time_ns() // MILLISECOND


def unix_s() -> float:
    """Return the time in seconds, for people to read."""
    return time.time()


def age_s(written_at_s: float) -> float | None:
    """Return how long ago something was written at that Unix time.

    Returns:
        None where that lies in the future, as one of the two clocks was stepped.
    """
    age = time.time() - written_at_s
    return None if age < -MAX_SKEW_S else max(0.0, age)


def format_age(age: float | None) -> str:
    """Format an age for people; None is unknown, as a clock was stepped."""
    return "an unknown time" if age is None else f"{age:.0f} s"


def offset_ns() -> int:
    """Return by how much the wall clock is ahead of the monotonic clock now."""
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
    """A start as listed, and the monotonic time that it was converted to."""

    unix_ms: int
    started_ns: int


class StartTimes:
    """Converts starts as they are listed, in Unix time, to the monotonic clock.

    A start that was converted once stays where it is, whatever the clocks do then. None is in the
    future. Once a step of the wall clock was found, a new start is not taken to be older than the
    last list without it, nor older than it could be by all steps. (Without a step the first of
    these would be wrong: lists come late, so a list may lack what has started.)
    """

    def __init__(self) -> None:
        self.starts: dict[int, Start] = {}  # by upstream, the one listed last at the end
        self.last_list_ns: int | None = None
        self.offset_ns = offset_ns()
        self.stepped_ns = 0  # by how much in all the wall clock was stepped

    def started_ns(self, upstream: int, unix_ms: int, now_ns: int) -> int:
        """Return the monotonic time of this start; 0: long ago."""
        if not unix_ms:
            return 0
        start = self.starts.get(upstream)
        if start is None or abs(start.unix_ms - unix_ms) >= SAME_START_MS:
            start = Start(unix_ms, self._convert(unix_ms, now_ns))
        self.starts.pop(upstream, None)
        self.starts[upstream] = start  # the one that was listed longest ago is forgotten first
        if len(self.starts) > MAX_STARTS:
            del self.starts[next(iter(self.starts))]
        return start.started_ns

    def list_received(self, now_ns: int) -> None:
        """Note that discovery has listed all that it knows by now."""
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
