"""One member's consensus core, log and state, without sockets, threads or a clock of its own.

Its driver, a node or a simulator, may call `write` in one thread and `apply` and `flush` in
another: they share nothing but the state, which `write` uses only to install a snapshot while
nothing is being applied.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import msgspec

from loadbalancer.store.commands import Result
from loadbalancer.store.durable.errors import DamagedError
from loadbalancer.store.durable.files import Files, replace_file
from loadbalancer.store.durable.journal import Journal
from loadbalancer.store.durable.journal_reader import JournalContents
from loadbalancer.store.durable.state import State
from loadbalancer.store.durable.state_directory import StateDirectory
from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.raft.log import Log
from loadbalancer.store.raft.messages import Entry, Members
from loadbalancer.store.raft.node import RaftNode
from loadbalancer.store.raft.ready import Batch
from loadbalancer.store.raft.state import StoredState

IDENTITY_FILE: Final = "identity.json"
IDENTITY_FORMAT: Final = 1
RETAINED_ENTRIES: Final = 2_000
MAX_LOG_BYTES: Final = 16 << 20
MAX_LOG_ENTRIES: Final = 10_000
FOLLOWER_LOG_FACTOR: Final = 4  # of the limit, while a follower will need the entries


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Whose folder this is; written once."""

    format: int
    cluster: str
    node: int
    name: str = ""


@dataclass(frozen=True, slots=True)
class LogLimits:
    """When the log is compacted, and what of it is retained.

    Attributes:
        retained_entries: Entries that stay, for followers that are a little behind.
        max_entries: It is compacted when it holds more.
        max_bytes: It is compacted when it holds more.
    """

    retained_entries: int = RETAINED_ENTRIES
    max_entries: int = MAX_LOG_ENTRIES
    max_bytes: int = MAX_LOG_BYTES


DEFAULT_LOG_LIMITS: Final = LogLimits()


@dataclass(frozen=True, slots=True)
class Storage:
    """Where a replica stores its log and state."""

    journal: Journal
    state_directory: StateDirectory


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """How a replica's consensus core is made.

    Attributes:
        config: Timing and limits.
        now_ns: The clock.
        rng: For election timeouts.
        core_type: The core's class.
    """

    config: RaftConfig
    now_ns: int
    rng: random.Random
    core_type: type[RaftNode] = RaftNode


def write_identity(files: Files, identity: Identity) -> None:
    """Writes the identity of a folder."""
    replace_file(files, IDENTITY_FILE, msgspec.json.encode(identity))


def read_identity(files: Files) -> Identity:
    """Reads the identity of a folder.

    Raises:
        DamagedError: There is none, or it is not valid.
    """
    try:
        raw = files.read(IDENTITY_FILE)
    except FileNotFoundError:
        raise DamagedError(
            f"there is no {IDENTITY_FILE}: this folder belongs to no cluster yet"
        ) from None
    try:
        version = msgspec.json.decode(raw)["format"]
        if version > IDENTITY_FORMAT:
            raise DamagedError(
                f"{IDENTITY_FILE}: format {version} is newer than {IDENTITY_FORMAT}, "
                "which this program knows"
            )
        return msgspec.json.decode(raw, type=Identity)
    except (ValueError, KeyError, TypeError) as error:
        raise DamagedError(f"{IDENTITY_FILE}: {error}") from None


class Replica:
    """Consensus core, log and state of one member; `open` makes it from what is on disk.

    Attributes:
        flushed: The index up to which the state is durable.
    """

    def __init__(
        self,
        identity: Identity,
        storage: Storage,
        state: State,
        core: RaftNode,
        log_limits: LogLimits,
    ) -> None:
        self.identity = identity
        self.journal = storage.journal
        self.state_directory = storage.state_directory
        self.state = state
        self.core = core
        self.log_limits = log_limits
        self.flushed = 0

    @classmethod
    def open(
        cls,
        identity: Identity,
        storage: Storage,
        options: CoreOptions,
        log_limits: LogLimits = DEFAULT_LOG_LIMITS,
    ) -> Replica:
        """Makes a replica from what is on disk.

        Raises:
            DamagedError: Log and state are not valid, or don't belong together.
        """
        found = storage.journal.open()
        state = storage.state_directory.open()
        if found.install is not None and found.install.index > state.applied:
            # The process ended between the record in the log and the installation.
            state = storage.state_directory.install_incoming(state, found.install)
        log = Log(found.base_index, found.base_term, found.entries)
        _check(identity, found, state, log)
        stored = StoredState(found.hard_state, log, state.members, state.applied)
        core = options.core_type(identity.node, options.config, stored, options.now_ns, options.rng)
        core.compact(state.applied - log_limits.retained_entries)
        return cls(identity, storage, state, core, log_limits)

    def write(self, batch: Batch) -> bool:
        """Makes a batch durable; may be called again with the same one after `Full`.

        Returns:
            False if the batch's snapshot is incomplete.

        Raises:
            Broken: The log can't be written any more.
            Full: The disk is full.
        """
        for chunk in batch.chunks:
            self.state_directory.write_chunk(chunk.offset, chunk.data)
        if batch.hard_state is not None or batch.entries:
            self.journal.write(batch.hard_state, batch.entries)
        if batch.install is None:
            return True
        if not self.state_directory.verify_incoming(batch.install):
            return False
        self.journal.write(None, (), batch.install)
        self.state = self.state_directory.install_incoming(self.state, batch.install)
        return True

    def apply(self, entries: Sequence[Entry]) -> list[Result]:
        """Applies committed entries to the state."""
        return self.state.apply(entries)

    @property
    def needs_compaction(self) -> bool:
        """Whether the state should be synced and the log compacted."""
        log = self.core.log
        limits = self.log_limits
        length = self.core.applied_index - log.base_index
        return length > limits.retained_entries and (
            length > limits.max_entries or log.size_bytes > limits.max_bytes
        )

    def flush(self) -> int:
        """Syncs the state; returns the index up to which it is durable.

        Raises:
            Full: The disk is full.
        """
        self.flushed = self.state_directory.flush(self.state)
        return self.flushed

    def compaction_index(self) -> int:
        """Returns the index up to which the log may be dropped."""
        log = self.core.log
        limits = self.log_limits
        index = min(self.flushed, self.core.applied_index - limits.retained_entries)
        if log.size_bytes > limits.max_bytes:
            index = self.flushed  # what is retained must not outgrow memory
        if log.size_bytes < FOLLOWER_LOG_FACTOR * limits.max_bytes:
            index = min(index, self.core.first_needed_index)
        return max(index, log.base_index)

    def compact(self) -> None:
        """Drops the entries of the log that are not needed."""
        index = self.compaction_index()
        self.core.compact(index)
        self.journal.compact(index)

    def close(self) -> None:
        """Closes log and state."""
        self.journal.close()
        self.state.close()
        self.state_directory.close()


def _check(identity: Identity, found: JournalContents, state: State, log: Log) -> None:
    if state.cluster != identity.cluster:
        raise DamagedError(f"the state belongs to cluster {state.cluster}")
    if state.applied < found.base_index:
        raise DamagedError(
            f"the state ends at entry {state.applied}, the log begins after {found.base_index}"
        )
    if state.applied > log.last_index:
        raise DamagedError(
            f"the log ends at entry {log.last_index}, the state holds {state.applied}"
        )


def single_member(node: int, address: str) -> Members:
    """Returns the members of a cluster of one."""
    return Members((node,), (), {node: address})
