"""Change feed rows in the state, from format 3 on: references and initial loading."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from typing import NamedTuple

from loadbalancer.changefeed.messages import PREFIX
from loadbalancer.store.commands import RowsWrite, operations_with_references
from loadbalancer.store.durable.schema import prefix_end


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of a key."""

    revision: int
    key: str
    version: int
    value: bytes | None  # None if the key was deleted


class StoredRow(NamedTuple):
    """The current version of a row."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class LoadedRows:
    """All rows as of `revision`, and the changes after `base` up to `revision`."""

    revision: int
    rows: list[StoredRow]
    base: int
    events: list[WatchEvent]


def dangling_reference(db: sqlite3.Connection, command: RowsWrite) -> str:
    """Return a description of a reference without a target after a write; empty if there is none.

    Call this before anything is written.
    """
    written_keys = {op.key for op in command.ops if op.value is not None}
    deleted_keys = {op.key for op in command.ops if op.value is None}
    return _missing_target(db, command, written_keys, deleted_keys) or _remaining_reference(
        db, command, written_keys | deleted_keys
    )


def _missing_target(
    db: sqlite3.Connection, command: RowsWrite, written_keys: set[str], deleted_keys: set[str]
) -> str:
    for op, refs in operations_with_references(command):
        for ref in refs:
            if ref in written_keys:
                continue
            if ref in deleted_keys or not _exists(db, ref):
                return f"{op.key} names {ref}, which is not there"
    return ""


def _exists(db: sqlite3.Connection, key: str) -> bool:
    return db.execute("SELECT 1 FROM items WHERE key = ?", (key,)).fetchone() is not None


def _remaining_reference(db: sqlite3.Connection, command: RowsWrite, changed_keys: set[str]) -> str:
    """Return a description of an unchanged row that refers to a deleted row.

    Rows that this write changes are skipped: `_missing_target` checks their new references.
    """
    for op in command.ops:
        if op.value is not None:
            continue
        for (referring_key,) in db.execute(
            "SELECT key FROM refs WHERE ref = ? ORDER BY key", (op.key,)
        ):
            if referring_key not in changed_keys:
                return f"{referring_key} still names {op.key}"
    return ""


def record_references(db: sqlite3.Connection, command: RowsWrite) -> None:
    """Replace the references of the rows that a write changes."""
    db.executemany("DELETE FROM refs WHERE key = ?", [(op.key,) for op in command.ops])
    db.executemany(
        "INSERT INTO refs VALUES (?, ?)",
        [(op.key, ref) for op, refs in operations_with_references(command) for ref in refs],
    )


def load_rows(db: sqlite3.Connection, revision: int, base: int) -> LoadedRows:
    """Return all rows as of a revision, and the changes after `base`."""
    end = prefix_end(PREFIX)
    rows = db.execute(
        "SELECT key, version, value FROM items WHERE key >= ? AND key < ?", (PREFIX, end)
    )
    events = db.execute(
        "SELECT revision, key, version, value FROM events WHERE revision > ? AND key >= ?"
        " AND key < ? ORDER BY revision, place",
        (base, PREFIX, end),
    )
    return LoadedRows(
        revision, [StoredRow(*row) for row in rows], base, [WatchEvent(*row) for row in events]
    )
