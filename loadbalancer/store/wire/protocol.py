"""Messages of the store's connections: handshake, requests of clients and their replies.

Encoded as MessagePack arrays with a tag. Fields are only added at the end, with a default.
"""

from __future__ import annotations

from enum import IntEnum, StrEnum
from typing import Final

import msgspec

from loadbalancer.store.raft.messages import pack

__all__ = [
    "MAX_MESSAGE_BYTES",
    "MAX_PAGE_BYTES",
    "MAX_REQUEST_BYTES",
    "PROTOCOL_VERSION",
    "AdminAction",
    "Administer",
    "AnyGreeting",
    "AnyReply",
    "AnyRequest",
    "BackupChunk",
    "CancelWatch",
    "Change",
    "ChangefeedMessage",
    "Changes",
    "Committed",
    "Declined",
    "FailureCode",
    "Get",
    "Greeting",
    "Hello",
    "History",
    "JsonReply",
    "Propose",
    "ReadBackup",
    "Reply",
    "Request",
    "RequestFailed",
    "Row",
    "Rows",
    "Scan",
    "SendToChangefeed",
    "Status",
    "Watch",
    "Welcome",
    "pack",
    "unpack_greeting",
    "unpack_reply",
    "unpack_request",
]

PROTOCOL_VERSION: Final = 1
MAX_REQUEST_BYTES: Final = 3 << 20  # twice a write with a value of the largest size, and more
MAX_MESSAGE_BYTES: Final = 8 << 20  # between nodes
MAX_PAGE_BYTES: Final = 2 << 20  # values of one reply


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """First frame of each side."""


class Hello(Greeting, frozen=True, tag=1):
    """Greeting of the side that connected.

    Attributes:
        format: Its `PROTOCOL_VERSION`.
        cluster: The cluster's name; empty if it is not known.
        node: The node's number; 0 for a client.
        address: Where the node accepts connections.
        name: A name for the logs.
    """

    format: int
    cluster: str
    node: int
    address: str = ""
    name: str = ""


class Welcome(Greeting, frozen=True, tag=2):
    """Accepts a connection.

    Attributes:
        format: The newest format of the state that this node's program knows
            (`commands.STATE_FORMAT`).
        cluster: The cluster's name.
        node: This node's number.
        nonce: The connection's nonce; all further frames are bound to it.
        role: The role that the peer's certificate gives it.
    """

    format: int
    cluster: str
    node: int
    nonce: bytes
    role: str = ""


class Declined(Greeting, frozen=True, tag=3):
    """Rejects a connection, with the reason in one line; the connection is closed."""

    text: str


class FailureCode(IntEnum):
    """Why a request failed."""

    NOT_LEADER = 1  # retry at `RequestFailed.leader`
    BUSY = 2  # retry later
    OUTCOME_UNKNOWN = 3  # it may have been executed: retry with the same number
    REJECTED = 4  # don't retry
    FORBIDDEN = 5  # the certificate's role doesn't permit it
    COMPACTED = 6  # a watch's history is no longer retained
    DEADLINE_EXCEEDED = 7  # its time limit passed
    DISK_FULL = 8  # the disk is full


class Request(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """Base of all requests.

    Attributes:
        id: Drawn by the client; replies carry it.
        timeout_ms: The client waits no longer for the reply.
    """

    id: int
    timeout_ms: int


class Propose(Request, frozen=True, tag=1):
    """Proposes an encoded command: a write, a lease's or a session's."""

    command: bytes


class Get(Request, frozen=True, tag=2):
    """Reads keys.

    Attributes:
        keys: The keys.
        linear: Linearizable, confirmed by a majority; otherwise as this node has them applied.
    """

    keys: tuple[str, ...]
    linear: bool = True


class Scan(Request, frozen=True, tag=3):
    """Reads a page of the keys with a prefix, from the first one after `after` on."""

    prefix: str
    after: str = ""
    limit: int = 1000
    linear: bool = True


class History(Request, frozen=True, tag=4):
    """Reads the retained versions of a key, newest first."""

    key: str
    limit: int = 100


class Watch(Request, frozen=True, tag=5):
    """Subscribes to changes after a revision, until the connection ends or `CancelWatch`."""

    prefix: str
    after: int


class CancelWatch(Request, frozen=True, tag=6):
    """Ends the watch with this request id."""

    watch: int


class Status(Request, frozen=True, tag=7):
    """Reads the node's status."""


class AdminAction(StrEnum):
    """Actions of `Administer`."""

    LEARN = "learn"  # add a member without a vote
    PROMOTE = "promote"  # give it a vote
    REMOVE = "remove"
    TRANSFER = "transfer"  # hand leadership over
    SNAPSHOT = "snapshot"  # on the node that receives the request


class Administer(Request, frozen=True, tag=8):
    """Changes the membership or requests a snapshot.

    Attributes:
        action: An `AdminAction`; nodes reject what they don't know.
        node: The member that it is about.
        address: The address of a member that is added.
    """

    action: str
    node: int = 0
    address: str = ""


class ReadBackup(Request, frozen=True, tag=9):
    """Reads a chunk of a backup of the state; offset 0 creates the backup."""

    offset: int
    meta_id: tuple[int, int, int, int] = (0, 0, 0, 0)


class SendToChangefeed(Request, frozen=True, tag=10):
    """Carries a message to the node's change feed (`loadbalancer/changefeed/messages.py`).

    The first one of a connection begins its only subscription, whose messages carry this request's
    id until the connection ends.
    """

    message: bytes


AnyRequest = (
    Propose
    | Get
    | Scan
    | History
    | Watch
    | CancelWatch
    | Status
    | Administer
    | ReadBackup
    | SendToChangefeed
)


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """Base of all replies; `id` is the request's."""

    id: int


class Committed(Reply, frozen=True, tag=1):
    """The proposed command was applied; carries its encoded result."""

    result: bytes


class Row(msgspec.Struct, frozen=True, array_like=True):
    """A key at one version; `value` is None if it does not exist."""

    key: str
    value: bytes | None
    version: int
    revision: int
    time_ms: int = 0
    author: str = ""
    note: str = ""


class Rows(Reply, frozen=True, tag=2):
    """Rows that were read.

    Attributes:
        rows: The rows.
        revision: The log index as of which they are.
        more: The page is full and there are more.
        behind_ms: How long ago this node last knew a leader; 0 for a linearizable read.
    """

    rows: tuple[Row, ...]
    revision: int
    more: bool = False
    behind_ms: int = 0


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A change of one key; `value` is None if it was deleted."""

    revision: int
    key: str
    version: int
    value: bytes | None


class Changes(Reply, frozen=True, tag=3):
    """Completes a watch's changes up to `revision`."""

    changes: tuple[Change, ...]
    revision: int


class RequestFailed(Reply, frozen=True, tag=4):
    """A request failed.

    Attributes:
        code: A `FailureCode`.
        text: The reason in one line.
        leader: The leader's address, if it is known.
    """

    code: int
    text: str
    leader: str = ""


class JsonReply(Reply, frozen=True, tag=5):
    """A result as JSON."""

    json: bytes


class BackupChunk(Reply, frozen=True, tag=6):
    """A chunk of a backup; `meta_id` is its index, term, size and checksum."""

    meta_id: tuple[int, int, int, int]
    offset: int
    data: bytes


class ChangefeedMessage(Reply, frozen=True, tag=7):
    """A message of the node's change feed.

    Attributes:
        generation: Of the subscription's scopes, as the node knows them.
        sequence: Of the patch within the subscription, from 1 on; 0 if it is not a patch.
        message: The encoded message.
    """

    generation: int
    sequence: int
    message: bytes


AnyReply = Committed | Rows | Changes | RequestFailed | JsonReply | BackupChunk | ChangefeedMessage

AnyGreeting = Hello | Welcome | Declined
_greeting_decoder = msgspec.msgpack.Decoder(AnyGreeting)
_request_decoder = msgspec.msgpack.Decoder(AnyRequest)
_reply_decoder = msgspec.msgpack.Decoder(AnyReply)


def unpack_greeting(data: bytes) -> AnyGreeting:
    """Decodes the first frame of a connection.

    Raises:
        ValueError: It is not a greeting.
    """
    greeting: AnyGreeting = _greeting_decoder.decode(data)
    return greeting


def unpack_request(data: bytes) -> AnyRequest:
    """Decodes a client's request.

    Raises:
        ValueError: It is not a request.
    """
    return _request_decoder.decode(data)


def unpack_reply(data: bytes) -> AnyReply:
    """Decodes a node's reply.

    Raises:
        ValueError: It is not a reply.
    """
    return _reply_decoder.decode(data)
