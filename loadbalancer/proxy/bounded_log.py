"""Log lines that may come in bursts, limited to a number of each kind in a second."""

from __future__ import annotations

import logging
import time
from collections import Counter
from typing import Final

SECOND_NS: Final = 1_000_000_000
MAX_LINES_PER_SECOND: Final = 10  # of one kind
MAX_KINDS: Final = 100  # further kinds share one limit
OTHER_KINDS: Final = "other"


class _Interval:
    """The lines of one kind in the current second."""

    __slots__ = ("began_ns", "lines", "suppressed")

    def __init__(self, began_ns: int) -> None:
        self.began_ns = began_ns
        self.lines = 0
        self.suppressed = 0


class BoundedLog:
    """Writes lines at the level of information, at most `MAX_LINES_PER_SECOND` of each kind.

    How many were suppressed is reported with the next line that comes a second later.

    Attributes:
        suppressed: Number of suppressed lines by kind, since the process started.
    """

    def __init__(self, logger: logging.Logger) -> None:
        self.logger = logger
        self.suppressed: Counter[str] = Counter()
        self._intervals: dict[str, _Interval] = {}
        self._flushed_ns = 0

    def write(self, kind: str, message: str, *values: object) -> None:
        """Write a line, unless there were too many of its kind in this second.

        Args:
            kind: What is limited together, a stable name.
            message: The format of the line.
            values: The values for the format; they are formatted only if the line is written.
        """
        if not self.logger.isEnabledFor(logging.INFO):
            return
        interval = self._interval(kind, time.monotonic_ns())
        if interval.lines >= MAX_LINES_PER_SECOND:
            interval.suppressed += 1
            self.suppressed[kind] += 1
            return
        interval.lines += 1
        self.logger.info(message, *values)

    def flush(self) -> None:
        """Report the suppressed lines of all kinds whose second is over."""
        self._flush(time.monotonic_ns())

    def _flush(self, now_ns: int) -> None:
        for kind in list(self._intervals):
            if now_ns - self._intervals[kind].began_ns >= SECOND_NS:
                self._close(kind)

    def _interval(self, kind: str, now_ns: int) -> _Interval:
        if now_ns - self._flushed_ns >= SECOND_NS:
            self._flushed_ns = now_ns
            self._flush(now_ns)
        if kind not in self._intervals and len(self._intervals) >= MAX_KINDS:
            kind = OTHER_KINDS
        interval = self._intervals.get(kind)
        if interval is not None and now_ns - interval.began_ns >= SECOND_NS:
            self._close(kind)
            interval = None
        if interval is None:
            interval = self._intervals[kind] = _Interval(now_ns)
        return interval

    def _close(self, kind: str) -> None:
        interval = self._intervals.pop(kind)
        if interval.suppressed:
            self.logger.info("lines suppressed: kind=%s count=%d", kind, interval.suppressed)
