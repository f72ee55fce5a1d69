"""One member's consensus, log and state put together, still without sockets, threads or a clock of
its own.

Whoever drives it, a node or a simulator, may carry out `write` in one thread and `apply`, `flush`
in another: they share nothing but the state, which `write` takes only to install a snapshot while
nothing is being applied.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

import msgspec

from loadbalancer.store.commands import Result
from loadbalancer.store.durable.files import Files, write_whole
from loadbalancer.store.durable.journal import Damaged, Journal
from loadbalancer.store.durable.state import State
from loadbalancer.store.durable.state_directory import Vault
from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.raft.log import Log
from loadbalancer.store.raft.messages import ArrayStruct, Entry, Members
from loadbalancer.store.raft.node import RaftNode
from loadbalancer.store.raft.ready import Batch
from loadbalancer.store.raft.state import StoredState

IDENTITY = "identity.json"
FORMAT = 1
KEEP = 2_000  # entries that stay in the log behind the state, for members that are a little behind
CUT_BYTES, CUT_ENTRIES = 16 << 20, 10_000  # the log is cut when it holds more
PATIENCE = 4  # times that, where a member that takes a snapshot will need the entries after it


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whose folder this is; written once."""

    format: int
    cluster: str
    node: int
    name: str = ""


class Boundaries(ArrayStruct, frozen=True):
    """When the log is cut, and what of it is kept."""

    keep: int = KEEP
    entries: int = CUT_ENTRIES
    bytes: int = CUT_BYTES


def write_identity(files: Files, identity: Identity) -> None:
    write_whole(files, IDENTITY, msgspec.json.encode(identity))


def read_identity(files: Files) -> Identity:
    """Raises Damaged."""
    try:
        raw = files.read(IDENTITY)
    except FileNotFoundError:
        raise Damaged(f"there is no {IDENTITY}: this folder belongs to no cluster yet") from None
    try:
        version = msgspec.json.decode(raw)["format"]
        if version > FORMAT:
            raise Damaged(
                f"{IDENTITY}: format {version} is newer than {FORMAT}, which this program knows"
            )
        return msgspec.json.decode(raw, type=Identity)
    except (ValueError, KeyError, TypeError) as error:
        raise Damaged(f"{IDENTITY}: {error}") from None


class Replica:
    def __init__(
        self,
        identity: Identity,
        journal: Journal,
        vault: Vault,
        state: State,
        core: RaftNode,
        boundaries: Boundaries,
    ) -> None:
        self.identity = identity
        self.journal = journal
        self.vault = vault
        self.state = state
        self.core = core
        self.boundaries = boundaries
        self.flushed = 0  # the state holds so much durably

    @classmethod
    def open(
        cls,
        identity: Identity,
        journal: Journal,
        vault: Vault,
        config: RaftConfig,
        now: int,
        rng: random.Random,
        boundaries: Boundaries = Boundaries(),  # noqa: B008 (it can't be changed)
        make: type[RaftNode] = RaftNode,
    ) -> Replica:
        """From what is on disk. Raises Damaged."""
        found = journal.open()
        state = vault.open()
        if found.install is not None and found.install.index > state.applied:
            # Power went between the word in the log and the deed.
            state = vault.swap(state, found.install)
        if state.cluster != identity.cluster:
            raise Damaged(f"the state belongs to cluster {state.cluster}")
        if state.applied < found.base:
            raise Damaged(
                f"the state ends at entry {state.applied}, the log begins after {found.base}"
            )
        log = Log(found.base, found.base_term, found.entries)
        if state.applied > log.last_index:
            raise Damaged(
                f"the log ends at entry {log.last_index}, the state holds {state.applied}"
            )
        stored = StoredState(found.hard, log, state.members, state.applied)
        core = make(identity.node, config, stored, now, rng)
        core.compact(state.applied - boundaries.keep)
        return cls(identity, journal, vault, state, core, boundaries)

    def write(self, batch: Batch) -> bool:
        """Make a batch durable; False where the snapshot in it is not whole. Raises Full, and may
        be called again with the same batch; raises Broken.
        """
        for piece in batch.chunks:
            self.vault.write_piece(piece.offset, piece.data)
        if batch.hard_state is not None or batch.entries:
            self.journal.write(batch.hard_state, batch.entries)
        if batch.install is None:
            return True
        if not self.vault.arrived(batch.install):
            return False
        self.journal.write(None, (), batch.install)
        self.state = self.vault.swap(self.state, batch.install)
        return True

    def apply(self, entries: Sequence[Entry]) -> list[Result]:
        return self.state.apply(entries)

    @property
    def wants_cut(self) -> bool:
        """Is there so much log that the state should be synced and the log cut?"""
        log, b = self.core.log, self.boundaries
        behind = self.core.applied_index - log.base_index
        return behind > b.keep and (behind > b.entries or log.size_bytes > b.bytes)

    def flush(self) -> int:
        """Sync the state. Raises Full."""
        self.flushed = self.vault.flush(self.state)
        return self.flushed

    def cut_index(self) -> int:
        """Up to which entry the log may be dropped: what is durable in the state, but for the last
        entries."""
        log = self.core.log
        index = min(self.flushed, self.core.applied_index - self.boundaries.keep)
        if log.size_bytes > self.boundaries.bytes:
            index = self.flushed  # what is kept must not outgrow memory
        if log.size_bytes < PATIENCE * self.boundaries.bytes:
            index = min(index, self.core.first_needed_index)
        return max(index, log.base_index)

    def cut(self) -> None:
        index = self.cut_index()
        self.core.compact(index)
        self.journal.cut(index)

    def close(self) -> None:
        self.journal.close()
        self.state.close()
        self.vault.close()


def members_of(node: int, address: str) -> Members:
    """A cluster of one."""
    return Members((node,), (), {node: address})
