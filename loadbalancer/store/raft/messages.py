"""Messages between nodes, and the replicated structs: terms, entries and members.

Names and fields follow D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm (Extended Version)", figure 2 and section 7, and D. Ongaro's thesis, chapters 3, 4, 6 and
9. Every message is a msgpack array whose first element is its tag.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final, NamedTuple

import msgspec

NO_NODE: Final = 0  # no leader, or no vote was cast


class EntryKind(IntEnum):
    """The kind of an entry's data."""

    # A new leader's first entry; committing it commits all earlier entries (thesis 6.4, and the
    # correction of 4.1).
    NO_OP = 0
    COMMAND = 1  # for the state machine
    MEMBERS = 2  # the members from this entry on, as `Members` in MessagePack


class ArrayStruct(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A struct that is encoded by position, on the wire and on disk.

    Fields are only ever added at the end, with a default.
    """


class Entry(ArrayStruct, frozen=True, gc=False):
    """An entry of the log."""

    term: int
    index: int
    kind: int  # an EntryKind
    data: bytes = b""


class HardState(ArrayStruct, frozen=True, gc=False):
    """Figure 2's `currentTerm` and `votedFor`.

    They must be durable before a message that depends on them is sent.
    """

    term: int = 0
    voted_for: int = NO_NODE


class Members(ArrayStruct, frozen=True):
    """The members of the cluster."""

    voters: tuple[int, ...] = ()
    learners: tuple[int, ...] = ()
    addresses: dict[int, str] = {}
    removed: tuple[int, ...] = ()  # former members, newest last; they can't rejoin

    @property
    def all(self) -> tuple[int, ...]:
        """Voters and learners."""
        return self.voters + self.learners


class SnapshotId(NamedTuple):
    """Identifies a snapshot."""

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
    checksum: int  # CRC-32C of the content

    @property
    def id(self) -> SnapshotId:
        """The identifier of this snapshot."""
        return SnapshotId(self.index, self.term, self.size, self.checksum)


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """A message between nodes.

    `term` is the sender's term. In a pre-vote request it is the term of the prospective election.
    """

    term: int


class RequestVote(Message, frozen=True, tag=1):
    """Requests a vote for a candidate."""

    last_log_index: int
    last_log_term: int
    is_pre_vote: bool  # asks only whether a vote would be granted (thesis 9.6)
    is_transfer: bool = False  # the leader transferred its leadership (thesis 3.10)


class RequestVoteResponse(Message, frozen=True, tag=2):
    """Grants or refuses a vote."""

    is_granted: bool
    is_pre_vote: bool


class AppendEntries(Message, frozen=True, tag=3):
    """Entries from the leader; a heartbeat if there are none.

    `round` counts the leader's rounds of messages in its term. A response with this number proves
    that its sender still followed the leader when the round began (thesis 6.4).
    """

    prev_log_index: int
    prev_log_term: int
    leader_commit: int
    round: int
    entries: tuple[Entry, ...] = ()


class AppendEntriesResponse(Message, frozen=True, tag=4):
    """Reports how far a follower's log matches the leader's."""

    index: int  # the last matching index; if rejected, the mismatched `prev_log_index`
    round: int
    is_rejected: bool = False
    hint_index: int = 0  # the last entry that may match (paper, 5.3)
    hint_term: int = 0


class InstallSnapshotChunk(Message, frozen=True, tag=5):
    """A part of a snapshot, starting at byte `offset`."""

    snapshot: SnapshotMeta
    offset: int
    data: bytes
    round: int = 0


class InstallSnapshotChunkResponse(Message, frozen=True, tag=6):
    """Reports how much of a snapshot the follower has; sending continues at `offset`."""

    snapshot_id: SnapshotId
    offset: int
    round: int = 0


class TimeoutNow(Message, frozen=True, tag=7):
    """Tells the receiver to start an election immediately (thesis 3.10)."""


class ReadIndexRequest(Message, frozen=True, tag=8):
    """Requests the index from which a follower's read is linearizable."""

    ticket: int


class ReadIndexResponse(Message, frozen=True, tag=9):
    """Carries the index that must be applied before the read is served."""

    ticket: int
    index: int


class NodeRemoved(Message, frozen=True, tag=10):
    """Notifies a removed node, which must not start further elections."""

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
    """Encode a message or another struct."""
    return _encoder.encode(struct)


def unpack_message(data: bytes) -> AnyMessage:
    """Decode a message.

    Raises:
        ValueError: The data is not a valid message.
    """
    return _message_decoder.decode(data)


def unpack_members(data: bytes) -> Members:
    """Decode the data of an entry that changes the members.

    Raises:
        ValueError: The data is not a valid `Members` struct.
    """
    return _members_decoder.decode(data)
