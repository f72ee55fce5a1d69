"""The messages between nodes, and what nodes agree on: terms, entries, members.

Names and fields follow D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm (Extended Version)", figure 2 and section 7, and D. Ongaro's thesis, chapters 3, 4, 6 and
9. Every message is a msgpack array whose first element is its tag.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

import msgspec

NO_NODE: Final = 0  # the number of no node: nobody leads, or nobody was voted for


class EntryKind(IntEnum):
    """What an entry holds."""

    # A new leader's first: it commits what came before (thesis 6.4, and the correction of 4.1).
    NO_OP = 0
    COMMAND = 1  # for the state machine
    MEMBERS = 2  # the members from here on, `Members` as msgpack


class ArrayStruct(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Encoded by position, on the wire and on disk.

    Fields are only ever added at the end, with a default.
    """


class Entry(ArrayStruct, frozen=True, gc=False):
    """An entry of the log."""

    term: int
    index: int
    kind: int  # an EntryKind
    data: bytes = b""


class HardState(ArrayStruct, frozen=True, gc=False):
    """What must be durable before a promise leaves: figure 2's `currentTerm` and `votedFor`."""

    term: int = 0
    voted_for: int = NO_NODE


class Members(ArrayStruct, frozen=True):
    """Who belongs to the cluster."""

    voters: tuple[int, ...] = ()
    learners: tuple[int, ...] = ()
    addresses: dict[int, str] = {}
    removed: tuple[int, ...] = ()  # numbers of former members, newest last: none returns

    @property
    def all(self) -> tuple[int, ...]:
        """Voters and learners."""
        return self.voters + self.learners


class SnapshotId(NamedTuple):
    """What tells two snapshots apart."""

    last_index: int
    last_term: int
    size: int
    checksum: int


class SnapshotMeta(ArrayStruct, frozen=True):
    """A snapshot of the state after entry `index`."""

    index: int
    term: int
    members: Members
    size: int  # bytes
    checksum: int  # CRC-32C of them

    @property
    def id(self) -> SnapshotId:
        """What tells it from another snapshot."""
        return SnapshotId(self.index, self.term, self.size, self.checksum)


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """A message between nodes. `term` is the sender's; in a pre-vote the one that it would have."""

    term: int


class RequestVote(Message, frozen=True, tag=1):
    """A candidate asks for a vote."""

    last_log_index: int
    last_log_term: int
    is_pre_vote: bool  # would it be granted? (thesis 9.6)
    is_transfer: bool = False  # the leader transferred its leadership (thesis 3.10)


class RequestVoteResponse(Message, frozen=True, tag=2):
    """A vote, or its refusal."""

    is_granted: bool
    is_pre_vote: bool


class AppendEntries(Message, frozen=True, tag=3):
    """Entries from the leader; without any, a heartbeat.

    `round` counts the leader's rounds in its term; a response that bears it proves that the sender
    still followed when the round began (thesis 6.4).
    """

    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    round: int
    entries: tuple[Entry, ...] = ()


class AppendEntriesResponse(Message, frozen=True, tag=4):
    """How far a follower's log matches the leader's."""

    index: int  # the last that matches; if rejected, the `prev_log_index` that did not
    round: int
    is_rejected: bool = False
    hint_index: int = 0  # the last entry that may match (paper, 5.3)
    hint_term: int = 0


class InstallSnapshotChunk(Message, frozen=True, tag=5):
    """Part of a snapshot, from byte `offset` on."""

    snapshot: SnapshotMeta
    offset: int
    data: bytes
    round: int = 0


class InstallSnapshotChunkResponse(Message, frozen=True, tag=6):
    """How much of a snapshot the follower has; the sender goes on from `offset`."""

    snapshot_id: SnapshotId
    offset: int
    round: int = 0


class TimeoutNow(Message, frozen=True, tag=7):
    """Start an election at once (thesis 3.10)."""


class ReadIndexRequest(Message, frozen=True, tag=8):
    """A follower asks from which index on a read is linearizable."""

    ticket: int


class ReadIndexResponse(Message, frozen=True, tag=9):
    """The index that must be applied before the read is answered."""

    ticket: int
    index: int


class NodeRemoved(Message, frozen=True, tag=10):
    """The receiver was removed from the cluster and should start no more elections."""

    index: int


RequestMessage = RequestVote | AppendEntries | InstallSnapshotChunk | TimeoutNow | ReadIndexRequest
ResponseMessage = (
    RequestVoteResponse | AppendEntriesResponse | InstallSnapshotChunkResponse | ReadIndexResponse
)
AnyMessage = RequestMessage | ResponseMessage | NodeRemoved

_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(AnyMessage)
_members_decoder = msgspec.msgpack.Decoder(Members)


def pack(struct: msgspec.Struct) -> bytes:
    """Encode a message, or a struct of the log."""
    return _encoder.encode(struct)


def unpack_message(data: bytes) -> AnyMessage:
    """Decode a message.

    Raises:
        ValueError: It is none.
    """
    return _message_decoder.decode(data)


def unpack_members(data: bytes) -> Members:
    """Decode the data of an entry that changes the members.

    Raises:
        ValueError: It is none.
    """
    return _members_decoder.decode(data)
