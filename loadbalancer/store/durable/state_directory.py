"""Where the state and snapshots of one node live: three SQLite files in its folder."""

from __future__ import annotations

import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol

from loadbalancer.store.durable import state as states
from loadbalancer.store.durable.files import File, Folder, RealFile
from loadbalancer.store.durable.journal import Damaged, Full
from loadbalancer.store.durable.state import State
from loadbalancer.store.raft.messages import SnapshotMeta

STATE, INCOMING, OUTGOING = "state.db", "incoming.db", "outgoing.db"


class Vault(Protocol):
    """What a replica needs of its state's files. A simulator has its own."""

    def open(self) -> State:
        """Raises Damaged."""

    def flush(self, state: State) -> int:
        """Sync; the index up to which the state is durable now. Raises Full."""

    def export(self) -> SnapshotMeta:
        """Make the snapshot that is sent to others; the one before it is gone. Raises Full."""

    def read_piece(self, meta: SnapshotMeta, offset: int, size: int) -> bytes | None:
        """Of the outgoing snapshot; None: it is not there any more."""

    def write_piece(self, offset: int, data: bytes) -> None:
        """Of the incoming one; the first begins it anew. Raises Full."""

    def arrived(self, meta: SnapshotMeta) -> bool:
        """Sync the incoming snapshot: is it whole, and this one?"""

    def swap(self, state: State | None, meta: SnapshotMeta) -> State:
        """The incoming snapshot takes the place of the state; carried out twice it does the same.
        Raises Damaged.
        """

    def close(self) -> None: ...


class DiskVault:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.files = Folder(folder)
        self.incoming: File | None = None
        self.outgoing: tuple[SnapshotMeta, int] | None = None  # and its open file

    def open(self) -> State:
        return states.open_state(self.folder / STATE)

    def flush(self, state: State) -> int:
        try:
            return states.flush(state)
        except states.Failed as error:
            raise Full(f"the state can't be synced: {error}") from error

    def export(self) -> SnapshotMeta:
        path = self.folder / (OUTGOING + ".new")
        try:
            meta = states.export(self.folder / STATE, path)
            self.files.rename(path.name, OUTGOING)
        except (states.Failed, OSError) as error:
            path.unlink(missing_ok=True)
            raise Full(f"no snapshot can be made: {error}") from error
        if self.outgoing is not None:
            os.close(self.outgoing[1])
        self.outgoing = meta, os.open(self.folder / OUTGOING, os.O_RDONLY | os.O_CLOEXEC)
        return meta

    def read_piece(self, meta: SnapshotMeta, offset: int, size: int) -> bytes | None:
        if self.outgoing is None or self.outgoing[0].id != meta.id:
            return None
        data = os.pread(self.outgoing[1], size, offset)
        return data if len(data) == min(size, meta.size - offset) else None

    def write_piece(self, offset: int, data: bytes) -> None:
        try:
            if offset == 0 or self.incoming is None:
                self._close_incoming()
                path = self.folder / INCOMING
                self.incoming = RealFile(path, os.O_CREAT | (os.O_TRUNC if offset == 0 else 0))
            self.incoming.write(data, offset)
        except OSError as error:
            raise Full(
                f"the incoming snapshot can't be written: {error.strerror or error}"
            ) from error

    def arrived(self, meta: SnapshotMeta) -> bool:
        try:
            if self.incoming is not None:
                self.incoming.sync()
            self._close_incoming()
            self.files.sync_folder()
            path = self.folder / INCOMING
            return path.stat().st_size == meta.size and states.checksum(path) == meta.checksum
        except OSError:
            return False

    def _close_incoming(self) -> None:
        if self.incoming is not None:
            self.incoming.close()
            self.incoming = None

    def swap(self, state: State | None, meta: SnapshotMeta) -> State:
        if state is not None:
            state.close()
        self._close_incoming()
        if (self.folder / INCOMING).exists():
            # Pages that belong to the old file must be gone before the new one has its name.
            for name in (STATE + "-wal", STATE + "-shm"):
                with suppress(FileNotFoundError):
                    self.files.remove(name)
            self.files.sync_folder()
            self.files.rename(INCOMING, STATE)
            self.files.sync_folder()
        fresh = self.open()
        if fresh.applied < meta.index:
            fresh.close()
            raise Damaged(
                f"the snapshot up to entry {meta.index} that the log speaks of is not there"
            )
        return fresh

    def close(self) -> None:
        self._close_incoming()
        if self.outgoing is not None:
            os.close(self.outgoing[1])
            self.outgoing = None
