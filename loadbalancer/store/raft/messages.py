"""What nodes tell each other, and what they agree on: terms, entries, members.

Names and fields follow D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
Algorithm (Extended Version)", figure 2 and section 7, and D. Ongaro's thesis, chapters 3, 4, 6 and
9. Every message is a msgpack array whose first element is its tag.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class Kind(IntEnum):
    """What an entry holds."""

    NOTHING = (
        0  # a new leader's first: it commits what came before (thesis 6.4, and the mend of 4.1)
    )
    COMMAND = 1  # for the state
    MEMBERS = 2  # the members from here on, `Members` as msgpack


class Array(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """On the wire and on disk without field names; fields are only ever added at the end, with a
    default.
    """


class Entry(Array, frozen=True, gc=False):
    term: int
    index: int
    kind: int
    data: bytes = b""


class HardState(Array, frozen=True, gc=False):
    """What must be on disk before a promise leaves: figure 2's `currentTerm` and `votedFor` (0:
    nobody).
    """

    term: int = 0
    vote: int = 0


class Members(Array, frozen=True):
    """Who belongs to the cluster. `gone` keeps the numbers of those removed, newest last: no number
    returns."""

    voters: tuple[int, ...] = ()
    learners: tuple[int, ...] = ()
    addresses: dict[int, str] = {}
    gone: tuple[int, ...] = ()

    @property
    def all(self) -> tuple[int, ...]:
        return self.voters + self.learners


class SnapshotMeta(Array, frozen=True):
    """A snapshot of the state after entry `index`; `checksum` is CRC-32C of its `size` bytes."""

    index: int
    term: int
    members: Members
    size: int
    checksum: int

    @property
    def id(self) -> tuple[int, int, int, int]:
        return self.index, self.term, self.size, self.checksum


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """`term` is the sender's, but in a pre-vote: there it is the one that it would have."""

    term: int


class VoteAsk(Message, frozen=True, tag=1):
    last_index: int
    last_term: int
    pre: bool  # only asked whether (thesis 9.6)
    handed: bool = False  # the leader handed over: its lease does not count (thesis 3.10)


class Vote(Message, frozen=True, tag=2):
    granted: bool
    pre: bool


class Append(Message, frozen=True, tag=3):
    """Also the heartbeat. `round` counts the leader's rounds in its term; an answer that bears it
    proves that the sender still followed when the round began (thesis 6.4).
    """

    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...] = ()


class Appended(Message, frozen=True, tag=4):
    """`index`: the last that matches; where rejected, the `prev_index` that did not. The hint is
    the last entry that may match (paper, 5.3).
    """

    index: int
    round: int
    rejected: bool = False
    hint_index: int = 0
    hint_term: int = 0


class Piece(Message, frozen=True, tag=5):
    """Part of a snapshot, from byte `offset`."""

    meta: SnapshotMeta
    offset: int
    data: bytes
    round: int = 0


class PieceTaken(Message, frozen=True, tag=6):
    """How much of the snapshot is there; a sender that is elsewhere goes on from `offset`."""

    meta_id: tuple[int, int, int, int]
    offset: int
    round: int = 0


class TakeOver(Message, frozen=True, tag=7):
    """Stand for election at once (thesis 3.10)."""


class ReadAsk(Message, frozen=True, tag=8):
    """A follower asks from which index on a read is linearizable."""

    ticket: int


class ReadFrom(Message, frozen=True, tag=9):
    ticket: int
    index: int


class Gone(Message, frozen=True, tag=10):
    """You were removed: be quiet."""

    index: int


AnyMessage = (
    VoteAsk | Vote | Append | Appended | Piece | PieceTaken | TakeOver | ReadAsk | ReadFrom | Gone
)

_encoder = msgspec.msgpack.Encoder()
_messages = msgspec.msgpack.Decoder(AnyMessage)
_members = msgspec.msgpack.Decoder(Members)


def pack(what: msgspec.Struct) -> bytes:
    return _encoder.encode(what)


def unpack_message(data: bytes) -> AnyMessage:
    """Raises ValueError where it is no message."""
    return _messages.decode(data)


def unpack_members(data: bytes) -> Members:
    """Raises ValueError where it is no `Members`."""
    return _members.decode(data)
