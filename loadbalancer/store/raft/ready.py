"""What the state machine hands to its caller: work for the disk, chunks to send, reads."""

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
    """What must be durable, all of it in this order, before `messages` may leave."""

    hard_state: HardState | None = None
    entries: list[Entry] = field(default_factory=list)  # the first drops those from its index on
    chunks: list[InstallSnapshotChunk] = field(default_factory=list)
    install: SnapshotMeta | None = None  # all its chunks are there: it replaces state and log
    messages: list[tuple[int, AnyMessage]] = field(default_factory=list)  # receiver, message

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        return not (self.needs_disk or self.messages)

    @property
    def needs_disk(self) -> bool:
        """Whether there is something to make durable."""
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
    requester: int | None  # a follower; None: this node


class PendingRead(NamedTuple):
    """A read that waits until its round is acknowledged by a quorum."""

    ticket: int
    requester: int | None
    read_index: int
    round: int


class ConfirmedRead(NamedTuple):
    """A read that may be answered once `read_index` is applied."""

    ticket: int
    read_index: int
