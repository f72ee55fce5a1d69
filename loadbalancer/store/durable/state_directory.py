"""Where the state and the snapshots of one node are stored: three SQLite files in its folder."""

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
WAL_SUFFIXES: Final = ("-wal", "-shm")  # of SQLite's files beside the state


class StateDirectory(Protocol):
    """What a replica needs of its state's files. A simulator has its own."""

    def open(self) -> State:
        """Open the state.

        Raises:
            DamagedError: It does not read.
        """

    def flush(self, state: State) -> int:
        """Sync the state; return the index up to which it is durable now.

        Raises:
            DiskFullError: It can't be synced now.
        """

    def export_snapshot(self) -> SnapshotMeta:
        """Make the snapshot that is sent to others; it replaces the one before it.

        Raises:
            DiskFullError: It can't be made now.
        """

    def read_chunk(self, snapshot: SnapshotMeta, offset: int, size: int) -> bytes | None:
        """Read a part of the outgoing snapshot. None: it is not there any more."""

    def write_chunk(self, offset: int, data: bytes) -> None:
        """Write a part of the incoming snapshot; the first part begins it anew.

        Raises:
            DiskFullError: It can't be written now.
        """

    def verify_incoming(self, snapshot: SnapshotMeta) -> bool:
        """Sync the incoming snapshot; return whether it is complete, and this one."""

    def install_incoming(self, state: State | None, snapshot: SnapshotMeta) -> State:
        """Replace the state by the incoming snapshot; doing it twice does the same.

        Raises:
            DamagedError: The snapshot is not there.
        """

    def close(self) -> None:
        """Close all files but the state."""


@dataclass(frozen=True, slots=True)
class OutgoingSnapshot:
    """The snapshot that is sent, and its open file."""

    meta: SnapshotMeta
    descriptor: int


class DiskStateDirectory:
    """The files of a state in a folder on a disk."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.files = Folder(folder)
        self.incoming: File | None = None
        self.outgoing: OutgoingSnapshot | None = None

    def open(self) -> State:
        """Open the state."""
        return state_files.open_state(self.folder / STATE)

    def flush(self, state: State) -> int:
        """Sync the state; return the index up to which it is durable now."""
        try:
            return state_files.flush(state)
        except sqlite3.Error as error:
            raise DiskFullError(f"the state can't be synced: {error}") from error

    # ---- outgoing --------------------------------------------------------------------------------

    def export_snapshot(self) -> SnapshotMeta:
        """Make the snapshot that is sent to others; it replaces the one before it."""
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
        """Read a part of the outgoing snapshot. None: it is not there any more."""
        if self.outgoing is None or self.outgoing.meta.id != snapshot.id:
            return None
        data = os.pread(self.outgoing.descriptor, size, offset)
        return data if len(data) == min(size, snapshot.size - offset) else None

    # ---- incoming --------------------------------------------------------------------------------

    def write_chunk(self, offset: int, data: bytes) -> None:
        """Write a part of the incoming snapshot; the first part begins it anew."""
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
        """Sync the incoming snapshot; return whether it is complete, and this one."""
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
        """Replace the state by the incoming snapshot; doing it twice does the same."""
        if state is not None:
            state.close()
        self._close_incoming()
        if (self.folder / INCOMING).exists():
            # Pages that belong to the old file must be gone before the new one has its name.
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
                f"the snapshot up to entry {snapshot.index} that the log speaks of is not there"
            )
        return installed

    def close(self) -> None:
        """Close all files but the state."""
        self._close_incoming()
        if self.outgoing is not None:
            os.close(self.outgoing.descriptor)
            self.outgoing = None
