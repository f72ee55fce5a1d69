"""One member's consensus core, log and state, without sockets, threads or a clock.

The driver, a node or a simulator, may call `write` in one thread and `apply` and `flush` in another
thread. The two threads share only the state. `write` accesses the state only to install a snapshot;
the driver must not apply entries at that time.
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
# The log may exceed its limit by this factor while a follower needs entries.
FOLLOWER_LOG_FACTOR: Final = 4


class Identity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The node and cluster that a folder belongs to; written once."""

    format: int
    cluster: str
    node: int
    name: str = ""


@dataclass(frozen=True, slots=True)
class LogLimits:
    """The limits at which the log is compacted, and the entries that compaction retains.

    Attributes:
        retained_entries: Applied entries that are retained for followers that are slightly behind.
        max_entries: The number of entries above which the log is compacted.
        max_bytes: The size above which the log is compacted.
    """

    retained_entries: int = RETAINED_ENTRIES
    max_entries: int = MAX_LOG_ENTRIES
    max_bytes: int = MAX_LOG_BYTES


DEFAULT_LOG_LIMITS: Final = LogLimits()


@dataclass(frozen=True, slots=True)
class Storage:
    """The storage of a replica's log and state."""

    journal: Journal
    state_directory: StateDirectory


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """Options for creating a replica's consensus core.

    Attributes:
        config: Timing and limits.
        now_ns: The current time.
        rng: Random numbers for election timeouts.
        core_type: The class of the core.
    """

    config: RaftConfig
    now_ns: int
    rng: random.Random
    core_type: type[RaftNode] = RaftNode


def write_identity(files: Files, identity: Identity) -> None:
    """Write the identity file of a folder."""
    replace_file(files, IDENTITY_FILE, msgspec.json.encode(identity))


def read_identity(files: Files) -> Identity:
    """Read the identity file of a folder.

    Raises:
        DamagedError: The file does not exist or is not valid.
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
    """The consensus core, log and state of one member; `open` loads them from disk.

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
        """Load a replica from disk.

        Raises:
            DamagedError: The log or state is not valid, or they do not match.
        """
        journal_contents = storage.journal.open()
        state = storage.state_directory.open()
        if journal_contents.install is not None and journal_contents.install.index > state.applied:
            # The process ended after the snapshot was recorded in the log and before it was
            # installed.
            state = storage.state_directory.install_incoming(state, journal_contents.install)
        log = Log(journal_contents.base_index, journal_contents.base_term, journal_contents.entries)
        _check_consistency(identity, journal_contents, state, log)
        stored = StoredState(journal_contents.hard_state, log, state.members, state.applied)
        core = options.core_type(identity.node, options.config, stored, options.now_ns, options.rng)
        core.compact(state.applied - log_limits.retained_entries)
        return cls(identity, storage, state, core, log_limits)

    def write(self, batch: Batch) -> bool:
        """Write a batch durably; may be retried with the same batch after a `DiskFullError`.

        Returns:
            False if the batch's snapshot is incomplete.

        Raises:
            SyncFailedError: The log can no longer be written.
            DiskFullError: The disk is full.
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
        """Apply committed entries to the state."""
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
        """Sync the state to disk and return the index up to which the state is durable.

        Raises:
            DiskFullError: The disk is full.
        """
        self.flushed = self.state_directory.flush(self.state)
        return self.flushed

    def compaction_index(self) -> int:
        """Return the index up to which entries of the log may be dropped."""
        log = self.core.log
        limits = self.log_limits
        index = min(self.flushed, self.core.applied_index - limits.retained_entries)
        if log.size_bytes > limits.max_bytes:
            index = self.flushed  # retained entries must not exceed the memory limit
        if log.size_bytes < FOLLOWER_LOG_FACTOR * limits.max_bytes:
            index = min(index, self.core.first_needed_index)
        return max(index, log.base_index)

    def compact(self) -> None:
        """Drop entries of the log that are no longer needed."""
        index = self.compaction_index()
        self.core.compact(index)
        self.journal.compact(index)

    def close(self) -> None:
        """Close the log and the state."""
        self.journal.close()
        self.state.close()
        self.state_directory.close()


def _check_consistency(
    identity: Identity, journal_contents: JournalContents, state: State, log: Log
) -> None:
    if state.cluster != identity.cluster:
        raise DamagedError(f"the state belongs to cluster {state.cluster}")
    if state.applied < journal_contents.base_index:
        raise DamagedError(
            f"the state ends at entry {state.applied},"
            f" the log begins after {journal_contents.base_index}"
        )
    if state.applied > log.last_index:
        raise DamagedError(
            f"the log ends at entry {log.last_index}, the state holds {state.applied}"
        )


def single_member(node: int, address: str) -> Members:
    """Return the membership of a cluster with a single node."""
    return Members((node,), (), {node: address})
