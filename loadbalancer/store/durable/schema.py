"""The tables of the state by format, and the settings of its database."""

from __future__ import annotations

import sqlite3
from typing import Final

from loadbalancer.store.raft.messages import Members, pack

LEASES_FORMAT: Final = 2  # the first format with leases
ROWS_FORMAT: Final = 3  # the first format with change feed rows

TABLES: Final = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE items (key TEXT PRIMARY KEY, value BLOB NOT NULL, version INTEGER NOT NULL,
    revision INTEGER NOT NULL, time_ms INTEGER NOT NULL, author TEXT NOT NULL, note TEXT NOT NULL)
    WITHOUT ROWID;
CREATE TABLE versions (key TEXT PRIMARY KEY, version INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE history (key TEXT, version INTEGER, value BLOB, revision INTEGER NOT NULL,
    time_ms INTEGER NOT NULL, author TEXT NOT NULL, note TEXT NOT NULL,
    PRIMARY KEY (key, version)) WITHOUT ROWID;
CREATE TABLE events (revision INTEGER, place INTEGER, key TEXT NOT NULL, version INTEGER NOT NULL,
    value BLOB, PRIMARY KEY (revision, place)) WITHOUT ROWID;
CREATE TABLE sessions (id INTEGER PRIMARY KEY, name TEXT NOT NULL, answered INTEGER NOT NULL,
    used INTEGER NOT NULL);
CREATE INDEX sessions_used ON sessions (used);
CREATE TABLE answers (session INTEGER, number INTEGER, result BLOB NOT NULL,
    PRIMARY KEY (session, number)) WITHOUT ROWID;
"""
# `rounds` holds the number of renewals of each claim. It is separate from the lease's item, so a
# renewal leaves the item unchanged and does not notify its watchers.
LEASE_TABLES: Final = """
CREATE TABLE rounds (lease TEXT, claim INTEGER, round INTEGER NOT NULL, PRIMARY KEY (lease, claim))
    WITHOUT ROWID;
"""
ROW_TABLES: Final = """
CREATE TABLE refs (key TEXT, ref TEXT, PRIMARY KEY (key, ref)) WITHOUT ROWID;
CREATE INDEX refs_ref ON refs (ref, key);
"""
# The tables in the order of the digest: name, order of the rows, and the first format with it.
DIGEST_ORDER: Final = (
    ("items", "key", 1),
    ("versions", "key", 1),
    ("history", "key, version", 1),
    ("events", "revision, place", 1),
    ("sessions", "id", 1),
    ("answers", "session, number", 1),
    ("meta", "name", 1),
    ("rounds", "lease, claim", LEASES_FORMAT),
    ("refs", "key, ref", ROWS_FORMAT),
)


def prefix_end(prefix: str) -> str:
    """Return a string that sorts after all keys with a prefix."""
    return prefix + "\U0010ffff"


def connect(path: str) -> sqlite3.Connection:
    """Open a state's database for writing."""
    db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, cached_statements=64)
    # Takes effect on new files only. Small pages, as a write changes one page in each of a few
    # tables.
    db.execute("PRAGMA page_size = 1024")
    db.execute("PRAGMA journal_mode = WAL")
    db.execute("PRAGMA synchronous = NORMAL")  # `flush` makes commits durable
    db.execute("PRAGMA wal_autocheckpoint = 0")  # checkpoints, and so syncs, only in `flush`
    db.execute("PRAGMA cache_size = -8192")
    return db


def create_tables(db: sqlite3.Connection, cluster: str, members: Members) -> None:
    """Create the tables of an empty state of format 1."""
    db.executescript("BEGIN;" + TABLES + "COMMIT;")
    db.executemany(
        "INSERT INTO meta VALUES (?, ?)",
        [
            ("format", 1),
            ("cluster", cluster),
            ("applied", 0),
            ("term", 0),
            ("members", pack(members)),
            ("forgotten", 0),
            ("events", 0),
            ("events_bytes", 0),
        ],
    )
