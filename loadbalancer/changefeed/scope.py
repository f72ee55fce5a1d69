"""The rows of one scope and the log of its recent changes (cf. Kubernetes' watch cache)."""

from __future__ import annotations

from collections import deque
from typing import Final, NamedTuple

from loadbalancer.changefeed import digest
from loadbalancer.changefeed.messages import Row

UNKNOWN: Final = -1  # cursor of a subscriber that needs a snapshot
ROW_OVERHEAD_BYTES: Final = (
    24  # of a row in addition to its key and value, in a message and in the log
)
NO_REVISIONS: Final = range(0)


class FeedChange(NamedTuple):
    """One change of a row in the store's log.

    Attributes:
        key: The full store key.
        value: None if the row was deleted.
    """

    revision: int
    key: str
    version: int
    value: bytes | None


class LogEntry(NamedTuple):
    """The rows of a scope that one revision changed."""

    revision: int
    rows: list[Row]


def size_of(row: Row) -> int:
    """Return the approximate size of an encoded row in bytes."""
    return len(row.key) + len(row.value or b"") + ROW_OVERHEAD_BYTES


class Scope:
    """Rows, digest and log of one scope.

    The log covers (base, revision]: a cursor at or past `base` continues from it. So does a cursor
    within `unchanged_revisions`, a range of earlier revisions after which nothing changed up to
    `base`, although the log does not show it.

    Attributes:
        size_bytes: Approximate encoded size of all rows.
        revision: Revision of the last change, or a later revision up to which nothing changed.
        log_length: Number of changes in the log.
    """

    __slots__ = (
        "base",
        "digest",
        "log",
        "log_length",
        "name",
        "revision",
        "rows",
        "size_bytes",
        "unchanged_revisions",
    )

    def __init__(self, name: str, base: int) -> None:
        self.name = name
        self.rows: dict[str, Row] = {}
        self.digest = 0
        self.size_bytes = 0
        self.revision = base
        self.base = base
        self.unchanged_revisions = NO_REVISIONS
        self.log: deque[LogEntry] = deque()
        self.log_length = 0

    def put(self, row: Row) -> None:
        """Store or delete a row without logging the change."""
        old = self.rows.get(row.key)
        self.digest = digest.replace_row(self.digest, old, row)
        if old is not None:
            self.size_bytes -= size_of(old)
        if row.value is None:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row
            self.size_bytes += size_of(row)

    def append(self, revision: int, row: Row) -> None:
        """Log a change without storing the row."""
        if self.log and self.log[-1].revision == revision:
            self.log[-1].rows.append(row)
        else:
            self.log.append(LogEntry(revision, [row]))
        self.log_length += 1
        self.revision = revision

    def drop_oldest(self) -> None:
        """Remove the oldest revision from the log."""
        entry = self.log.popleft()
        self.log_length -= len(entry.rows)
        self.base = entry.revision
        self.unchanged_revisions = NO_REVISIONS

    def covers(self, cursor: int) -> bool:
        """Return whether the log contains all changes after a cursor."""
        return cursor >= self.base or cursor in self.unchanged_revisions

    def log_position(self, cursor: int) -> int:
        """Return the last logged revision that is not after a covered cursor.

        Cursors between the same two changes have the same position, and so share a delta.
        """
        if cursor < self.base:
            return self.unchanged_revisions.start
        for entry in reversed(self.log):
            if entry.revision <= cursor:
                return entry.revision
        return self.base

    def last_revision_before_change(self, cursor: int) -> int:
        """Return the last revision before the next logged change after a cursor.

        If the log contains no change after the cursor, this is the cursor itself.
        """
        first = cursor + 1
        for entry in reversed(self.log):
            if entry.revision <= cursor:
                break
            first = entry.revision
        return first - 1

    def changes_since(self, cursor: int) -> list[Row]:
        """Return the last version of each row that changed after a covered cursor."""
        last: dict[str, Row] = {}
        for entry in reversed(self.log):
            if entry.revision <= cursor:
                break
            for row in reversed(entry.rows):
                last.setdefault(row.key, row)
        return list(last.values())[::-1]
