"""The greeting of a connection, and what clients ask and are answered. Msgpack arrays with a tag;
fields are only ever added at the end, with a default.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from loadbalancer.store.raft.messages import pack as pack

FORMAT = 1
MOST_REQUEST = 3 << 20  # bytes: a write with a value of the largest size, twice over
MOST_MESSAGE = 8 << 20  # between nodes
PAGE_BYTES = 2 << 20  # of values in one answer


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """The first frame of each side."""


class Hello(Greeting, frozen=True, tag=1):
    """The side that connected. `node`: its number, 0 for a client; `cluster`: empty where it does
    not know.
    """

    format: int
    cluster: str
    node: int
    address: str = ""
    name: str = ""


class Welcome(Greeting, frozen=True, tag=2):
    """`format`: the newest of the state that this node's program knows (`commands.FORMAT`). A hello
    says only what the other side must know to understand it.
    """

    format: int
    cluster: str
    node: int
    nonce: bytes
    role: str = ""


class Declined(Greeting, frozen=True, tag=3):
    """In one line; the connection is closed."""

    text: str


class Trouble(IntEnum):
    """Why a request was not done."""

    NOT_LEADER = 1  # try `leader`
    BUSY = 2  # later
    UNKNOWN = 3  # it may have been done: ask again with the same number
    REFUSED = 4  # never
    FORBIDDEN = 5  # this certificate's role may not
    COMPACTED = 6  # a watch's history is gone
    LATE = 7  # its time ran out here
    FULL = 8  # the disk


class Request(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """`id` is the client's; `within_ms`: no answer is needed later."""

    id: int
    within_ms: int


class Put(Request, frozen=True, tag=1):
    """A packed command: a write, or a session's begin or end."""

    command: bytes


class Get(Request, frozen=True, tag=2):
    """`linear`: as of now, proved by a majority; else as this node knows it."""

    keys: tuple[str, ...]
    linear: bool = True


class Scan(Request, frozen=True, tag=3):
    prefix: str
    after: str = ""
    most: int = 1000
    linear: bool = True


class Past(Request, frozen=True, tag=4):
    key: str
    most: int = 100


class Watch(Request, frozen=True, tag=5):
    """Changes after revision `after`, until the connection ends or `Unwatch`."""

    prefix: str
    after: int


class Unwatch(Request, frozen=True, tag=6):
    watch: int


class Status(Request, frozen=True, tag=7):
    pass


class Manage(Request, frozen=True, tag=8):
    """`what`: learn, promote, remove, transfer, snapshot."""

    what: str
    node: int = 0
    address: str = ""


class Copy(Request, frozen=True, tag=9):
    """A part of a copy of the state; offset 0 makes it."""

    offset: int
    meta_id: tuple[int, int, int, int] = (0, 0, 0, 0)


class Feed(Request, frozen=True, tag=10):
    """A word to the node's feed (`loadbalancer/changefeed/messages.py`). The first one of a
    connection begins its one subscription; what it hears bears the id of that one, until the
    connection ends.
    """

    word: bytes


AnyRequest = Put | Get | Scan | Past | Watch | Unwatch | Status | Manage | Copy | Feed


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """`id`: of the request."""

    id: int


class Done(Reply, frozen=True, tag=1):
    """A packed result."""

    result: bytes


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A key as it stands, or as it stood: `value` is None where it is not there."""

    key: str
    value: bytes | None
    version: int
    revision: int
    time_ms: int = 0
    author: str = ""
    note: str = ""


class Rows(Reply, frozen=True, tag=2):
    """As of entry `revision`; `more`: the page was full. `behind_ms`: how long ago this node last
    heard of a leader; 0 where the read was linearizable.
    """

    rows: tuple[Row, ...]
    revision: int
    more: bool = False
    behind_ms: int = 0


class Change(msgspec.Struct, frozen=True, array_like=True):
    revision: int
    key: str
    version: int
    value: bytes | None


class Changes(Reply, frozen=True, tag=3):
    """All changes up to `revision` are told with this."""

    changes: tuple[Change, ...]
    revision: int


class Failed(Reply, frozen=True, tag=4):
    trouble: int
    text: str
    leader: str = ""  # its address


class Info(Reply, frozen=True, tag=5):
    """Status, as JSON."""

    json: bytes


class Part(Reply, frozen=True, tag=6):
    """Of a copy."""

    meta_id: tuple[int, int, int, int]
    offset: int
    data: bytes


class Fed(Reply, frozen=True, tag=7):
    """A word of the node's feed. `generation`: of the subscription's scopes, as the node knows
    them; `sequence`: of the patch within the subscription, from 1 on; 0 where it is none.
    """

    generation: int
    sequence: int
    word: bytes


AnyReply = Done | Rows | Changes | Failed | Info | Part | Fed

AnyGreeting = Hello | Welcome | Declined
_greetings = msgspec.msgpack.Decoder(AnyGreeting)
_requests = msgspec.msgpack.Decoder(AnyRequest)
_replies = msgspec.msgpack.Decoder(AnyReply)


def unpack_greeting(data: bytes) -> AnyGreeting:
    """Raises ValueError."""
    found: AnyGreeting = _greetings.decode(data)
    return found


def unpack_request(data: bytes) -> AnyRequest:
    """Raises ValueError."""
    return _requests.decode(data)


def unpack_reply(data: bytes) -> AnyReply:
    """Raises ValueError."""
    return _replies.decode(data)
