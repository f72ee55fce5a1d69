"""Tables of keys with their values, versions and history."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from loadbalancer.changefeed.messages import PREFIX
from loadbalancer.store.commands import LEASE_PREFIX, Op, Write
from loadbalancer.store.durable.rows import WatchEvent
from loadbalancer.store.durable.schema import LEASES_FORMAT, ROWS_FORMAT, prefix_end
from loadbalancer.store.durable.watch_events import WatchEvents

MAX_HISTORY: Final = 100  # versions per key
CONFIG_PREFIX: Final = "config/"  # keys with a history; from format 2 on, leases have one too
ITEMS_PER_SCAN: Final = 1000


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value at one version, current or earlier."""

    key: str
    value: bytes | None  # None if the key was deleted
    version: int
    revision: int
    time_ms: int = 0
    author: str = ""
    note: str = ""


class Items(WatchEvents):
    """The tables of keys, versions and history."""

    # ---- reading ---------------------------------------------------------------------------------

    def get(self, key: str) -> Item | None:
        """Return a key's item, or None if the key does not exist."""
        row = self.db.execute(
            "SELECT key, value, version, revision, time_ms, author, note FROM items WHERE key = ?",
            (key,),
        ).fetchone()
        return Item(*row) if row else None

    def scan(self, prefix: str, after: str = "", limit: int = ITEMS_PER_SCAN) -> list[Item]:
        """Return items whose key has a prefix, ordered by key, starting after the key `after`."""
        return [
            Item(*row)
            for row in self.db.execute(
                "SELECT key, value, version, revision, time_ms, author, note FROM items"
                " WHERE key >= ? AND key < ? AND key > ? ORDER BY key LIMIT ?",
                (prefix, prefix_end(prefix), after, limit),
            )
        ]

    def history(self, key: str, limit: int = MAX_HISTORY) -> list[Item]:
        """Return the retained versions of a key, newest first."""
        return [
            Item(*row)
            for row in self.db.execute(
                "SELECT key, value, version, revision, time_ms, author, note FROM history WHERE "
                "key = ?"
                " ORDER BY version DESC LIMIT ?",
                (key, limit),
            )
        ]

    def _current_version(self, key: str) -> int:
        """Return the version of a key; 0 if it does not exist."""
        row = self.db.execute("SELECT version FROM items WHERE key = ?", (key,)).fetchone()
        return int(row[0]) if row else 0

    # ---- writing ---------------------------------------------------------------------------------

    def _apply_op(self, op: Op, command: Write, index: int, position: int) -> int:
        """Apply one operation of a write; return the key's new version, or 0 if it is deleted."""
        version = self._next_version(op.key)
        if op.value is None:
            if self.db.execute("DELETE FROM items WHERE key = ?", (op.key,)).rowcount == 0:
                return 0
        else:
            self.db.execute(
                "INSERT OR REPLACE INTO items VALUES (?, ?, ?, ?, ?, ?, ?)",
                (op.key, op.value, version, index, command.time_ms, command.author, command.note),
            )
        self.db.execute("INSERT OR REPLACE INTO versions VALUES (?, ?)", (op.key, version))
        if self._has_history(op.key):
            self._record_history(op, version, command, index)
        self.changed_keys.add(op.key)
        event = WatchEvent(index, op.key, version, op.value)
        if self.format >= ROWS_FORMAT and op.key.startswith(PREFIX):
            self.row_events.append(event)
        self._record_event(event, position)
        return 0 if op.value is None else version

    def _next_version(self, key: str) -> int:
        """Return the next version of a key.

        Versions continue after a deletion, so that no version is used for two values.
        """
        row = self.db.execute("SELECT version FROM versions WHERE key = ?", (key,)).fetchone()
        return (int(row[0]) if row else 0) + 1

    def _has_history(self, key: str) -> bool:
        if key.startswith(CONFIG_PREFIX):
            return True
        return self.format >= LEASES_FORMAT and key.startswith(LEASE_PREFIX)

    def _record_history(self, op: Op, version: int, command: Write, index: int) -> None:
        self.db.execute(
            "INSERT INTO history VALUES (?, ?, ?, ?, ?, ?, ?)",
            (op.key, version, op.value, index, command.time_ms, command.author, command.note),
        )
        self.db.execute(
            "DELETE FROM history WHERE key = ? AND version <= ?", (op.key, version - MAX_HISTORY)
        )
