"""A disk that loses power: what was synced stays; of the rest any part may be there, torn or not at
all.

Files hold what a running process sees and, apart from it, what is durable and the writes since.
Names are the same: made, changed or removed, they are durable with the folder's sync, and before
that in some prefix of their order. Power can go before or after any single operation.
"""

from __future__ import annotations

import errno
import random
import sqlite3
from collections.abc import Callable
from dataclasses import dataclass, field

from loadbalancer.store.durable import schema, state_files
from loadbalancer.store.durable.errors import DamagedError, DiskFullError
from loadbalancer.store.durable.files import File
from loadbalancer.store.durable.state import State
from loadbalancer.store.raft.messages import Members, SnapshotMeta

SECTOR = 512
INCOMING = "incoming.db"


class PowerLost(Exception):
    """The node stops here."""


@dataclass(slots=True, eq=False)
class Blob:
    """A file's content, whatever its name."""

    seen: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    since: list[tuple[int, bytes]] = field(
        default_factory=list
    )  # writes not synced; (size, b"") with
    cuts: list[int] = field(default_factory=list)  # truncations, by their place in `since`

    def write(self, data: bytes, at: int) -> None:
        if at > len(self.seen):
            self.seen.extend(bytes(at - len(self.seen)))
        self.seen[at : at + len(data)] = data
        self.since.append((at, data))

    def truncate(self, size: int) -> None:
        del self.seen[size:]
        self.cuts.append(len(self.since))
        self.since.append((size, b""))

    def sync(self) -> None:
        self.durable = bytes(self.seen)
        self.since.clear()
        self.cuts.clear()

    def lose(self, rng: random.Random) -> None:
        """Some of the sectors that were written since reached the disk, in any order."""
        now = bytearray(self.durable)
        for place, (at, data) in enumerate(self.since):
            if place in self.cuts:
                if rng.random() < 0.5:
                    del now[at:]
                continue
            how = rng.random()
            if how < 0.25:
                continue
            if how < 0.5:
                parts = [(at, data)]
            elif how < 0.75:
                parts = [(at, data[: rng.randint(0, len(data))])]
            else:
                first = SECTOR - at % SECTOR
                edges = [0, *range(first, len(data), SECTOR), len(data)]
                parts = [
                    (at + a, data[a:b])
                    for a, b in zip(edges, edges[1:], strict=False)
                    if rng.random() < 0.5
                ]
            for where, part in parts:
                if not part:
                    continue
                if where > len(now):
                    now.extend(bytes(where - len(now)))
                now[where : where + len(part)] = part
        self.seen, self.durable = now, bytes(now)
        self.since.clear()
        self.cuts.clear()


class Disk:
    """A folder for `Journal` and the identity. `trip` is called at every boundary and may raise
    PowerLost.
    """

    def __init__(self) -> None:
        self.files: dict[str, Blob] = {}
        self.synced: dict[str, Blob] = {}
        # Names changed since the folder was synced: gone, made, and what bears the new one.
        self.steps: list[tuple[str, str, Blob | None]] = []
        self.trip: Callable[[], None] = lambda: None
        self.full = False
        self.lying: Callable[[], bool] = lambda: False  # a planted fault: a sync that is none
        self.writes = self.syncs = 0

    # ---- Files -----------------------------------------------------------------------------------

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", name)
        return bytes(self.files[name].seen)

    def create(self, name: str) -> File:
        self.trip()
        if self.full:
            raise OSError(errno.ENOSPC, "no space left on device")
        blob = self.files[name] = Blob()
        self.steps.append(("", name, blob))
        return Handle(self, blob)

    def open(self, name: str) -> File:
        return Handle(self, self.files[name])

    def rename(self, old: str, new: str) -> None:
        self.trip()
        blob = self.files[new] = self.files.pop(old)
        self.steps.append((old, new, blob))
        self.trip()

    def remove(self, name: str) -> None:
        self.trip()
        del self.files[name]
        self.steps.append((name, "", None))

    def sync_folder(self) -> None:
        self.trip()
        self.synced = dict(self.files)
        self.steps.clear()
        self.trip()

    # ---- power -----------------------------------------------------------------------------------

    def lose_power(self, rng: random.Random) -> None:
        names = dict(self.synced)
        for old, new, blob in self.steps[: rng.randint(0, len(self.steps))]:
            names.pop(old, None)
            if blob is not None:
                names[new] = blob
        for blob in names.values():
            blob.lose(rng)
        self.files, self.synced, self.steps = names, dict(names), []

    def flip(self, name: str, at: int, rng: random.Random) -> None:
        """A bit goes bad in what was durable."""
        blob = self.files[name]
        blob.seen[at] ^= 1 << rng.randrange(8)
        blob.durable = bytes(blob.seen)


class Handle:
    def __init__(self, disk: Disk, blob: Blob) -> None:
        self.disk = disk
        self.blob = blob

    def write(self, data: bytes, at: int) -> None:
        self.disk.trip()
        if self.disk.full:
            half = len(data) // 2  # what fits
            self.blob.write(data[:half], at)
            raise OSError(errno.ENOSPC, "no space left on device")
        self.blob.write(data, at)
        self.disk.writes += 1
        self.disk.trip()

    def sync(self) -> None:
        self.disk.trip()
        if not self.disk.lying():
            self.blob.sync()
        self.disk.syncs += 1
        self.disk.trip()

    def truncate(self, size: int) -> None:
        self.disk.trip()
        self.blob.truncate(size)

    def close(self) -> None:
        pass


class MemoryStateDirectory:
    """The state as an SQLite database in memory whose commits since the last flush may be lost,
    newest first; snapshots as bytes, the incoming one on the disk.
    """

    def __init__(self, disk: Disk, cluster: str, members: Members) -> None:
        self.disk = disk
        db = sqlite3.connect(":memory:", isolation_level=None)
        schema.create_tables(db, cluster, members)
        self.durable = db.serialize()
        self.since: list[bytes] = []
        self.state = State(db)
        self.outgoing: tuple[SnapshotMeta, bytes] | None = None

    def open(self) -> State:
        return self.state

    def committed(self) -> None:
        """Entries were applied: the file may hold them from now on."""
        self.since.append(self.state.db.serialize())

    def restart(self, rng: random.Random | None = None) -> None:
        """The process ended; where power went, with `rng`, some of its last commits too."""
        kept = [self.durable, *self.since]
        self.durable = rng.choice(kept) if rng is not None else kept[-1]
        self.since.clear()
        self._load(self.durable)
        self.outgoing = None

    def _load(self, data: bytes) -> None:
        self.state.close()
        db = sqlite3.connect(":memory:", isolation_level=None)
        db.deserialize(data)
        self.state = state_files.load_state(db, "state.db")

    def flush(self, state: State) -> int:
        self.disk.trip()
        if self.disk.full:
            raise DiskFullError("no space left on device")
        if self.since:
            self.durable = self.since[-1]
            self.since.clear()
        self.disk.trip()
        return state.applied

    def export_snapshot(self) -> SnapshotMeta:
        self.disk.trip()
        if self.disk.full:
            raise DiskFullError("no space left on device")
        data = self.state.db.serialize()
        meta = SnapshotMeta(
            self.state.applied,
            self.state.term,
            self.state.members,
            len(data),
            state_files.checksum(data),
        )
        self.outgoing = meta, data
        return meta

    def read_chunk(self, snapshot: SnapshotMeta, offset: int, size: int) -> bytes | None:
        if self.outgoing is None or self.outgoing[0].id != snapshot.id:
            return None
        return self.outgoing[1][offset : offset + size]

    def write_chunk(self, offset: int, data: bytes) -> None:
        try:
            file = self.disk.create(INCOMING) if offset == 0 else self.disk.open(INCOMING)
            file.write(data, offset)
        except OSError as error:
            raise DiskFullError(str(error)) from error

    def verify_incoming(self, snapshot: SnapshotMeta) -> bool:
        self.disk.open(INCOMING).sync()
        self.disk.sync_folder()
        data = self.disk.read(INCOMING)
        return len(data) == snapshot.size and state_files.checksum(data) == snapshot.checksum

    def close(self) -> None:
        pass

    def install_incoming(self, state: State | None, snapshot: SnapshotMeta) -> State:
        if INCOMING in self.disk.files:
            data = self.disk.read(INCOMING)
            self.disk.trip()
            # One rename: the state is the old one or the new one.
            self.durable = data
            self.since.clear()
            self._load(data)
            self.disk.trip()
            self.disk.remove(INCOMING)
            self.disk.sync_folder()
        if self.state.applied < snapshot.index:
            raise DamagedError(
                f"the snapshot up to entry {snapshot.index} that the log speaks of is not there"
            )
        return self.state
