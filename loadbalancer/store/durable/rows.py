"""Rows of the feed within the state, from its format 3 on: which of them names which, and all that
a node begins to tell them with.
"""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass

from loadbalancer.changefeed.messages import PREFIX
from loadbalancer.store.commands import RowsWrite, operations_with_references

BEHIND = PREFIX + "\U0010ffff"  # after all of their keys
TABLES_3 = """
CREATE TABLE refs (key TEXT, ref TEXT, PRIMARY KEY (key, ref)) WITHOUT ROWID;
CREATE INDEX refs_ref ON refs (ref, key);
"""


@dataclass(frozen=True, slots=True)
class Event:
    """A change that a watcher is told; `value` is None where the key was deleted."""

    revision: int
    key: str
    version: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Loaded:
    """All rows as of `revision`, and each change in (base, revision]."""

    revision: int
    rows: list[tuple[str, int, bytes]]  # key, version, value
    base: int
    events: list[Event]


def dangling(db: sqlite3.Connection, command: RowsWrite) -> str:
    """What would name nothing after this write; empty: all is well. It looks before anything is
    written.
    """
    there = {op.key for op in command.ops if op.value is not None}
    gone = {op.key for op in command.ops if op.value is None}
    for op, refs in operations_with_references(command):
        for ref in refs:
            if ref not in there and (
                ref in gone
                or db.execute("SELECT 1 FROM items WHERE key = ?", (ref,)).fetchone() is None
            ):
                return f"{op.key} names {ref}, which is not there"
    for op in command.ops:
        if op.value is not None:
            continue
        for (name,) in db.execute("SELECT key FROM refs WHERE ref = ? ORDER BY key", (op.key,)):
            if name not in there and name not in gone:  # those were looked at above, or go as well
                return f"{name} still names {op.key}"
    return ""


def note_refs(db: sqlite3.Connection, command: RowsWrite) -> None:
    db.executemany("DELETE FROM refs WHERE key = ?", [(op.key,) for op in command.ops])
    db.executemany(
        "INSERT INTO refs VALUES (?, ?)",
        [(op.key, ref) for op, refs in operations_with_references(command) for ref in refs],
    )


def load(db: sqlite3.Connection, revision: int, base: int) -> Loaded:
    """`base`: changes up to there are gone."""
    rows = db.execute(
        "SELECT key, version, value FROM items WHERE key >= ? AND key < ?", (PREFIX, BEHIND)
    )
    events = db.execute(
        "SELECT revision, key, version, value FROM events WHERE revision > ? AND key >= ?"
        " AND key < ? ORDER BY revision, place",
        (base, PREFIX, BEHIND),
    )
    return Loaded(revision, rows.fetchall(), base, [Event(*row) for row in events])
