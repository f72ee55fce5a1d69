"""The wall clock: for people, and for what other machines wrote. No span is measured by it.

It may be stepped, by seconds or by an hour, forward or back, while the monotonic clock runs on.
This is the only module outside the lab that reads it.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

SECOND, MS = 1_000_000_000, 1_000_000
# The two clocks are read one after the other. A reading in between which this process was held up
# for longer is taken again, so often.
APART_NS, READINGS = 200_000, 5
# The offset of the two moves by so much without a step: clocks are slewed by half a millisecond a
# second.
SLEWED_NS = 50 * MS
SKEW_S = 2.0  # clocks of two machines differ by so much
SAME_START_MS = (
    100  # starts that are listed so close are one: an older program saved them rounded to this
)
MOST_STARTS = 50_000  # starts that are remembered; in time they are ever new


def unix_ms() -> int:
    """Now, for people to read."""
    return time.time_ns() // MS


def unix_s() -> float:
    """Now, in seconds, for people to read."""
    return time.time()


def age_s(written_s: float) -> float | None:
    """How long ago something was written at that Unix time; None: unknown, as it lies in the
    future, so that one of the two clocks was stepped.
    """
    age = time.time() - written_s
    return None if age < -SKEW_S else max(0.0, age)


def shown_age(age: float | None) -> str:
    """An age for people; one that is not known, as a clock was stepped, is called so."""
    return "an unknown time" if age is None else f"{age:.0f} s"


def offset_ns() -> int:
    """What the wall clock shows beyond the monotonic one now."""
    best_ns, offset = 0, 0
    for _ in range(READINGS):
        before = time.monotonic_ns()
        wall = time.time_ns()
        after = time.monotonic_ns()
        if not best_ns or after - before < best_ns:
            best_ns, offset = max(1, after - before), wall - (before + after) // 2
        if best_ns <= APART_NS:
            break
    return offset


@dataclass(frozen=True, slots=True)
class Start:
    """A start as listed, and the monotonic time that it was reckoned to be."""

    unix_ms: int
    started_ns: int


class StartTimes:
    """From starts as they are listed, in Unix time, to the monotonic clock. One that was reckoned
    once stays where it is, whatever the clocks do then.

    None is in the future. Once a step of the wall clock was seen, a start that is first heard of is
    not taken to be older than the last list without it, nor older than it could be by all steps.
    (Without a step the first of these would be wrong: lists come late, so a list may lack what has
    started.)
    """

    def __init__(self) -> None:
        self.starts: dict[int, Start] = {}  # by upstream, the last listed last
        self.listed_ns: int | None = None  # when the last list came
        self.offset_ns = offset_ns()
        self.stepped_ns = 0  # by how much in all the wall clock was stepped

    def started_ns(self, upstream: int, unix_ms: int, now_ns: int) -> int:
        """The monotonic time of this start; 0: long ago."""
        if not unix_ms:
            return 0
        known = self.starts.get(upstream)
        if known is None or abs(known.unix_ms - unix_ms) >= SAME_START_MS:
            known = Start(unix_ms, self._reckon(unix_ms, now_ns))
        self.starts.pop(upstream, None)
        self.starts[upstream] = known  # the one that was listed longest ago is forgotten first
        if len(self.starts) > MOST_STARTS:
            del self.starts[next(iter(self.starts))]
        return known.started_ns

    def listed(self, now_ns: int) -> None:
        """Discovery has told all that it knows by now."""
        self.listed_ns = now_ns

    def _reckon(self, unix_ms: int, now_ns: int) -> int:
        offset = offset_ns()
        step = abs(offset - self.offset_ns)
        self.offset_ns = offset
        if step > SLEWED_NS:
            self.stepped_ns += step
        started = unix_ms * MS - offset + self.stepped_ns
        if self.stepped_ns and self.listed_ns is not None:
            started = max(started, self.listed_ns)
        return min(started, now_ns)
