"""The most recent changes of keys, stored for watchers."""

from __future__ import annotations

from typing import Final

from loadbalancer.store.durable.errors import CompactedError
from loadbalancer.store.durable.rows import WatchEvent
from loadbalancer.store.durable.schema import prefix_end
from loadbalancer.store.durable.state_tables import StateTables

MAX_EVENTS = 10_000
MAX_EVENTS_BYTES: Final = 16 << 20
EVENTS_PER_READ: Final = 256


class WatchEvents(StateTables):
    """The table of events."""

    def _record_event(self, event: WatchEvent, position: int) -> None:
        """Store an event; `position` is its index within its revision."""
        self.db.execute(
            "INSERT INTO events VALUES (?, ?, ?, ?, ?)",
            (event.revision, position, event.key, event.version, event.value),
        )
        self.counters.event_count += 1
        self.counters.event_bytes += len(event.value or b"") + len(event.key.encode())

    def _trim_events(self) -> None:
        """Drop complete revisions, oldest first, until the events are within the limits."""
        counters = self.counters
        while counters.event_count > MAX_EVENTS or counters.event_bytes > MAX_EVENTS_BYTES:
            oldest = self.db.execute("SELECT min(revision) FROM events").fetchone()[0]
            count, size = self.db.execute(
                "SELECT count(*), sum(length(CAST(key AS BLOB)) + coalesce(length(value), 0)) "
                "FROM events"
                " WHERE revision = ?",
                (oldest,),
            ).fetchone()
            self.db.execute("DELETE FROM events WHERE revision = ?", (oldest,))
            counters.event_count -= count
            counters.event_bytes -= size
            counters.forgotten = oldest

    def events(self, prefix: str, after: int, limit: int = EVENTS_PER_READ) -> list[WatchEvent]:
        """Return changes after a revision in order, in complete revisions only.

        Args:
            prefix: The prefix of the keys.
            after: The revision after which changes are returned.
            limit: The maximum number of events; a single revision may exceed it.

        Raises:
            CompactedError: Some of the changes are no longer stored.
        """
        if after < self.forgotten:
            raise CompactedError(self.forgotten)
        end = prefix_end(prefix)
        selected = self.db.execute(
            "SELECT revision, key, version, value FROM events WHERE revision > ? AND key >= ? "
            "AND key < ?"
            " ORDER BY revision, place LIMIT ?",
            (after, prefix, end, limit),
        ).fetchall()
        if len(selected) == limit:
            last_revision = selected[-1][0]
            complete_revisions = [row for row in selected if row[0] < last_revision]
            selected = complete_revisions or self._events_of(last_revision, prefix)
        return [WatchEvent(*row) for row in selected]

    def _events_of(self, revision: int, prefix: str) -> list[tuple[int, str, int, bytes | None]]:
        return self.db.execute(
            "SELECT revision, key, version, value FROM events WHERE revision = ? AND "
            "key >= ? AND key < ?"
            " ORDER BY place",
            (revision, prefix, prefix_end(prefix)),
        ).fetchall()
