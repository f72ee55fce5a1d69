"""Output of the state machine for its caller: disk batches, snapshot chunks and reads."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from loadbalancer.store.raft.messages import (
    AnyMessage,
    Entry,
    HardState,
    InstallSnapshotChunk,
    SnapshotMeta,
)


@dataclass(slots=True)
class Batch:
    """Work for the disk, in the order of the fields; `messages` are sent once it is durable."""

    hard_state: HardState | None = None
    entries: list[Entry] = field(
        default_factory=list
    )  # stored entries from the first index on are dropped
    chunks: list[InstallSnapshotChunk] = field(default_factory=list)
    install: SnapshotMeta | None = None  # all chunks are stored: it replaces state and log
    messages: list[tuple[int, AnyMessage]] = field(default_factory=list)  # receiver, message

    @property
    def is_empty(self) -> bool:
        """Whether the batch has neither work for the disk nor messages."""
        return not (self.needs_disk or self.messages)

    @property
    def needs_disk(self) -> bool:
        """Whether the batch has data to make durable."""
        return bool(self.hard_state or self.entries or self.chunks or self.install)


class ChunkRequest(NamedTuple):
    """A chunk of a snapshot to read and send."""

    receiver: int
    snapshot: SnapshotMeta
    offset: int
    round: int


class ReadRequest(NamedTuple):
    """A read that waits for the first commit of the leader's term."""

    ticket: int
    requester: int | None  # a follower; None for this node


class PendingRead(NamedTuple):
    """A read that waits until a quorum acknowledges its round."""

    ticket: int
    requester: int | None
    read_index: int
    round: int


class ConfirmedRead(NamedTuple):
    """A read that may be served once `read_index` is applied."""

    ticket: int
    read_index: int
