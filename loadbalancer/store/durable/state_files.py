"""Creates, opens, syncs, copies and checks the files of the state."""

from __future__ import annotations

import os
import sqlite3
from pathlib import Path
from typing import Final

import google_crc32c

from loadbalancer.leases import table
from loadbalancer.store.commands import STATE_FORMAT
from loadbalancer.store.durable.errors import DamagedError
from loadbalancer.store.durable.schema import LEASES_FORMAT, connect, create_tables
from loadbalancer.store.durable.state import State
from loadbalancer.store.raft.messages import Members, SnapshotMeta, pack, unpack_members

CHECKSUM_READ_BYTES: Final = 1 << 20
EXPORT_LOCK_TIMEOUT_S: Final = 5


def _single_line(error: Exception) -> str:
    return " ".join(str(error).split())


# ---- opening -------------------------------------------------------------------------------------


def load_state(db: sqlite3.Connection, name: str) -> State:
    """Return the state in an open database.

    Raises:
        DamagedError: The state is damaged or has a newer format; the message is one line.
    """
    try:
        version = db.execute("SELECT value FROM meta WHERE name = 'format'").fetchone()
        if version is None or version[0] > STATE_FORMAT:
            raise DamagedError(
                f"{name}: format {version[0] if version else '?'} is newer than {STATE_FORMAT}, "
                "which this program knows"
            )
        return State(db)
    except (sqlite3.Error, ValueError) as error:
        raise DamagedError(f"{name}: {_single_line(error)}") from None


def create_state(path: Path, cluster: str, members: Members) -> State:
    """Create an empty state."""
    db = connect(str(path))
    create_tables(db, cluster, members)
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    return State(db)


def open_state(path: Path) -> State:
    """Open an existing state.

    Raises:
        DamagedError: The state is missing, is damaged, or has a newer format.
    """
    if not path.exists():
        raise DamagedError(f"{path.name} does not exist")
    try:
        db = connect(str(path))
    except sqlite3.Error as error:
        raise DamagedError(f"{path.name}: {error}") from None
    return load_state(db, path.name)


def adopt_copy(path: Path, cluster: str, members: Members, unix_s: int) -> State:
    """Turn a copy of a state into the state of another cluster.

    Args:
        path: The copy.
        cluster: The other cluster's name.
        members: The other cluster's members.
        unix_s: The operator's wall clock in s, which sets the epoch of the fencing tokens.

    Raises:
        DamagedError: The copy is damaged or has a newer format.
    """
    copied_state = open_state(path)
    db = copied_state.db
    db.execute("BEGIN IMMEDIATE")
    if copied_state.format >= LEASES_FORMAT:
        db.execute(
            "UPDATE meta SET value = ? WHERE name = 'tokens'",
            (table.next_epoch(copied_state.tokens, unix_s),),
        )
    db.executemany(
        "UPDATE meta SET value = ? WHERE name = ?",
        [(pack(members), "members"), (cluster, "cluster")],
    )
    db.execute("COMMIT")
    state = State(db)
    flush(state)
    return state


# ---- syncing and checking ------------------------------------------------------------------------


def flush(state: State) -> int:
    """Sync the applied entries; return the index up to which the state is durable.

    Raises:
        sqlite3.Error: The state can't be synced now.
    """
    applied = state.applied
    is_busy, _, _ = state.db.execute("PRAGMA wal_checkpoint(FULL)").fetchone()
    if is_busy:
        raise sqlite3.OperationalError("a reader holds the state: it can't be synced now")
    return applied


def verify(path: Path) -> str:
    """Check a complete state file; return its first error, empty if there is none."""
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        try:
            check_result = db.execute("PRAGMA integrity_check(1)").fetchone()[0]
            return "" if check_result == "ok" else str(check_result)
        finally:
            db.close()
    except sqlite3.Error as error:
        return str(error)


# ---- snapshots -----------------------------------------------------------------------------------


def export_snapshot(source: Path, target: Path) -> SnapshotMeta:
    """Make a durable, consistent copy of the state while it may change.

    The copy uses a separate database connection.

    Raises:
        sqlite3.Error: The copy can't be created.
        OSError: The copy can't be synced.
    """
    target.unlink(missing_ok=True)
    db = sqlite3.connect(f"file:{source}?mode=ro", uri=True, timeout=EXPORT_LOCK_TIMEOUT_S)
    try:
        db.execute("VACUUM INTO ?", (str(target),))
    finally:
        db.close()
    descriptor = os.open(target, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    return describe_snapshot(target)


def describe_snapshot(path: Path) -> SnapshotMeta:
    """Return the metadata of a snapshot file.

    Raises:
        DamagedError: The file is not a snapshot, or has a newer format.
    """
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro&immutable=1", uri=True)
        try:
            meta = dict(db.execute("SELECT name, value FROM meta"))
        finally:
            db.close()
        if meta["format"] > STATE_FORMAT:
            raise DamagedError(
                f"{path.name}: format {meta['format']} is newer than {STATE_FORMAT}, which this"
                " program knows"
            )
        return SnapshotMeta(
            int(meta["applied"]),
            int(meta["term"]),
            unpack_members(meta["members"]),
            path.stat().st_size,
            file_checksum(path),
        )
    except (sqlite3.Error, KeyError, ValueError) as error:
        raise DamagedError(f"{path.name}: no snapshot: {_single_line(error)}") from None


def checksum(data: bytes) -> int:
    """Return the CRC-32C of data."""
    return int(google_crc32c.value(data))


def file_checksum(path: Path) -> int:
    """Return the CRC-32C of a file."""
    total = 0
    with open(path, "rb") as file:
        while chunk := file.read(CHECKSUM_READ_BYTES):
            total = google_crc32c.extend(total, chunk)
    return int(total)
