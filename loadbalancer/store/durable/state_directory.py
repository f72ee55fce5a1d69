"""Directory of a node's SQLite files: the state, the incoming and the outgoing snapshot."""

from __future__ import annotations

import os
import sqlite3
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Protocol

from loadbalancer.store.durable import state_files
from loadbalancer.store.durable.errors import DamagedError, DiskFullError
from loadbalancer.store.durable.files import NEW_SUFFIX, DiskFile, File, Folder
from loadbalancer.store.durable.state import State
from loadbalancer.store.raft.messages import SnapshotMeta

STATE: Final = "state.db"
INCOMING: Final = "incoming.db"
OUTGOING: Final = "outgoing.db"
WAL_SUFFIXES: Final = ("-wal", "-shm")  # of SQLite's additional files


class StateDirectory(Protocol):
    """The operations on state files that a replica uses; a simulator implements them too."""

    def open(self) -> State:
        """Open the state.

        Raises:
            DamagedError: The state is damaged.
        """

    def flush(self, state: State) -> int:
        """Sync the state; return the index up to which it is durable.

        Raises:
            DiskFullError: SQLite can't sync the state now, for any reason.
        """

    def export_snapshot(self) -> SnapshotMeta:
        """Create the outgoing snapshot, which replaces the previous one.

        Raises:
            DiskFullError: SQLite or the file system can't create the snapshot, for any reason.
        """

    def read_chunk(self, snapshot: SnapshotMeta, offset: int, size: int) -> bytes | None:
        """Read a chunk of the outgoing snapshot.

        Return None if `snapshot` is not the current outgoing snapshot, or if the chunk can't be
        read completely.
        """

    def write_chunk(self, offset: int, data: bytes) -> None:
        """Write a chunk of the incoming snapshot; a chunk at offset 0 starts a new one.

        Raises:
            DiskFullError: The file system can't write the chunk, for any reason.
        """

    def verify_incoming(self, snapshot: SnapshotMeta) -> bool:
        """Sync the incoming snapshot; return whether it is complete and matches `snapshot`."""

    def install_incoming(self, state: State | None, snapshot: SnapshotMeta) -> State:
        """Replace the state with the incoming snapshot. Idempotent.

        Raises:
            DamagedError: The installed state is damaged, or it is older than the snapshot because
                the incoming file is missing.
        """

    def close(self) -> None:
        """Close all files except the state."""


@dataclass(frozen=True, slots=True)
class OutgoingSnapshot:
    """The outgoing snapshot and its open file descriptor."""

    meta: SnapshotMeta
    descriptor: int


class DiskStateDirectory:
    """The state files in a directory on a disk."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.files = Folder(folder)
        self.incoming: File | None = None
        self.outgoing: OutgoingSnapshot | None = None

    def open(self) -> State:
        """Open the state."""
        return state_files.open_state(self.folder / STATE)

    def flush(self, state: State) -> int:
        """Sync the state; return the index up to which it is durable."""
        try:
            return state_files.flush(state)
        except sqlite3.Error as error:
            raise DiskFullError(f"the state can't be synced: {error}") from error

    # ---- outgoing --------------------------------------------------------------------------------

    def export_snapshot(self) -> SnapshotMeta:
        """Create the outgoing snapshot, which replaces the previous one."""
        path = self.folder / (OUTGOING + NEW_SUFFIX)
        try:
            meta = state_files.export_snapshot(self.folder / STATE, path)
            self.files.rename(path.name, OUTGOING)
        except (sqlite3.Error, OSError) as error:
            path.unlink(missing_ok=True)
            raise DiskFullError(f"no snapshot can be made: {error}") from error
        if self.outgoing is not None:
            os.close(self.outgoing.descriptor)
        descriptor = os.open(self.folder / OUTGOING, os.O_RDONLY | os.O_CLOEXEC)
        self.outgoing = OutgoingSnapshot(meta, descriptor)
        return meta

    def read_chunk(self, snapshot: SnapshotMeta, offset: int, size: int) -> bytes | None:
        """Read a chunk of the outgoing snapshot.

        Return None if `snapshot` is not the current outgoing snapshot, or if the chunk can't be
        read completely.
        """
        if self.outgoing is None or self.outgoing.meta.id != snapshot.id:
            return None
        data = os.pread(self.outgoing.descriptor, size, offset)
        return data if len(data) == min(size, snapshot.size - offset) else None

    # ---- incoming --------------------------------------------------------------------------------

    def write_chunk(self, offset: int, data: bytes) -> None:
        """Write a chunk of the incoming snapshot; a chunk at offset 0 starts a new one."""
        try:
            if offset == 0 or self.incoming is None:
                self._close_incoming()
                path = self.folder / INCOMING
                self.incoming = DiskFile(path, os.O_CREAT | (os.O_TRUNC if offset == 0 else 0))
            self.incoming.write(data, offset)
        except OSError as error:
            raise DiskFullError(
                f"the incoming snapshot can't be written: {error.strerror or error}"
            ) from error

    def verify_incoming(self, snapshot: SnapshotMeta) -> bool:
        """Sync the incoming snapshot; return whether it is complete and matches `snapshot`."""
        try:
            if self.incoming is not None:
                self.incoming.sync()
            self._close_incoming()
            self.files.sync_folder()
            path = self.folder / INCOMING
            return (
                path.stat().st_size == snapshot.size
                and state_files.file_checksum(path) == snapshot.checksum
            )
        except OSError:
            return False  # the leader sends it again

    def _close_incoming(self) -> None:
        if self.incoming is not None:
            self.incoming.close()
            self.incoming = None

    def install_incoming(self, state: State | None, snapshot: SnapshotMeta) -> State:
        """Replace the state with the incoming snapshot. Idempotent."""
        if state is not None:
            state.close()
        self._close_incoming()
        if (self.folder / INCOMING).exists():
            # Remove the old file's WAL first, or SQLite would apply it to the new file.
            for suffix in WAL_SUFFIXES:
                with suppress(FileNotFoundError):
                    self.files.remove(STATE + suffix)
            self.files.sync_folder()
            self.files.rename(INCOMING, STATE)
            self.files.sync_folder()
        installed = self.open()
        if installed.applied < snapshot.index:
            installed.close()
            raise DamagedError(
                f"the snapshot up to entry {snapshot.index} that the log refers to is missing"
            )
        return installed

    def close(self) -> None:
        """Close all files except the state."""
        self._close_incoming()
        if self.outgoing is not None:
            os.close(self.outgoing.descriptor)
            self.outgoing = None
