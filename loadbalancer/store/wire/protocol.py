"""Messages of the store's connections: handshake, client requests and replies.

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
MAX_REQUEST_BYTES: Final = 3 << 20  # more than twice a write with a value of the maximum size
MAX_MESSAGE_BYTES: Final = 8 << 20  # of a message between nodes
MAX_PAGE_BYTES: Final = 2 << 20  # total size of the values in one reply


class Greeting(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """The first frame of each side."""


class Hello(Greeting, frozen=True, tag=1):
    """The greeting of the connecting side.

    Attributes:
        format: The sender's `PROTOCOL_VERSION`.
        cluster: The cluster's name; empty if unknown.
        node: The node's number; 0 for a client.
        address: The address at which the node accepts connections.
        name: The sender's name for log lines.
    """

    format: int
    cluster: str
    node: int
    address: str = ""
    name: str = ""


class Welcome(Greeting, frozen=True, tag=2):
    """Accepts a connection.

    Attributes:
        format: The newest format of the state that this node's program supports
            (`commands.STATE_FORMAT`).
        cluster: The cluster's name.
        node: This node's number.
        nonce: The connection's nonce; all further frames are bound to it.
        role: The role that the peer's certificate grants.
    """

    format: int
    cluster: str
    node: int
    nonce: bytes
    role: str = ""


class Declined(Greeting, frozen=True, tag=3):
    """Rejects a connection, which is then closed; `text` is the reason in one line."""

    text: str


class FailureCode(IntEnum):
    """Why a request failed."""

    NOT_LEADER = 1  # retry at `RequestFailed.leader`
    BUSY = 2  # retry later
    OUTCOME_UNKNOWN = 3  # the request may have been executed; retry with the same number
    REJECTED = 4  # don't retry
    FORBIDDEN = 5  # the certificate's role doesn't permit the request
    COMPACTED = 6  # a watch's history is no longer retained
    DEADLINE_EXCEEDED = 7  # the request's time limit passed
    DISK_FULL = 8  # the disk is full


class Request(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """Base of all requests.

    Attributes:
        id: Chosen by the client; replies carry the same id.
        timeout_ms: The time that the client waits for the reply.
    """

    id: int
    timeout_ms: int


class Propose(Request, frozen=True, tag=1):
    """Proposes an encoded write, lease or session command."""

    command: bytes


class Get(Request, frozen=True, tag=2):
    """Reads keys.

    Attributes:
        keys: The keys.
        linear: Whether the read is linearizable, which a majority confirms. Otherwise it returns
            the state that this node has applied.
    """

    keys: tuple[str, ...]
    linear: bool = True


class Scan(Request, frozen=True, tag=3):
    """Reads a page of the keys with a prefix, starting after the key `after`."""

    prefix: str
    after: str = ""
    limit: int = 1000
    linear: bool = True


class History(Request, frozen=True, tag=4):
    """Reads the retained versions of a key, newest first."""

    key: str
    limit: int = 100


class Watch(Request, frozen=True, tag=5):
    """Subscribes to changes after a revision until `CancelWatch` or the end of the connection."""

    prefix: str
    after: int


class CancelWatch(Request, frozen=True, tag=6):
    """Cancels the watch with this request id."""

    watch: int


class Status(Request, frozen=True, tag=7):
    """Reads the node's status."""


class AdminAction(StrEnum):
    """The actions of `Administer`."""

    LEARN = "learn"  # add a member without a vote
    PROMOTE = "promote"  # make a learner a voter
    REMOVE = "remove"
    TRANSFER = "transfer"  # transfer the leadership
    SNAPSHOT = "snapshot"  # create a snapshot on the node that receives the request


class Administer(Request, frozen=True, tag=8):
    """Changes the membership or requests a snapshot.

    Attributes:
        action: An `AdminAction`; nodes reject unsupported actions.
        node: The affected member.
        address: The address of an added member.
    """

    action: str
    node: int = 0
    address: str = ""


class ReadBackup(Request, frozen=True, tag=9):
    """Reads a chunk of a backup of the state; a request with offset 0 creates the backup."""

    offset: int
    meta_id: tuple[int, int, int, int] = (0, 0, 0, 0)


class SendToChangefeed(Request, frozen=True, tag=10):
    """Carries a message to the node's change feed (`loadbalancer/changefeed/messages.py`).

    The first such request of a connection starts the connection's only subscription, whose messages
    carry this request's id until the connection is closed.
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
    """Base of all replies; `id` is the id of the request."""

    id: int


class Committed(Reply, frozen=True, tag=1):
    """Reports that the proposed command was applied, with its encoded result."""

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
    """The result of a read.

    Attributes:
        rows: The rows.
        revision: The log index of the state that was read.
        more: Whether there are further rows after a full page.
        behind_ms: The time since this node last had a known leader; 0 for a linearizable read.
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
    """Changes for a watch, which is then complete up to `revision`."""

    changes: tuple[Change, ...]
    revision: int


class RequestFailed(Reply, frozen=True, tag=4):
    """Reports a failed request.

    Attributes:
        code: A `FailureCode`.
        text: The reason in one line.
        leader: The leader's address; empty if unknown.
    """

    code: int
    text: str
    leader: str = ""


class JsonReply(Reply, frozen=True, tag=5):
    """A result as JSON."""

    json: bytes


class BackupChunk(Reply, frozen=True, tag=6):
    """A chunk of a backup; `meta_id` is the backup's index, term, size and checksum."""

    meta_id: tuple[int, int, int, int]
    offset: int
    data: bytes


class ChangefeedMessage(Reply, frozen=True, tag=7):
    """A message of the node's change feed.

    Attributes:
        generation: The generation of the subscription's scopes that the node last received.
        sequence: The number of the patch in the subscription, from 1 on; 0 if it is not a patch.
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
    """Decode the first frame of a connection.

    Raises:
        ValueError: The data is not a greeting.
    """
    greeting: AnyGreeting = _greeting_decoder.decode(data)
    return greeting


def unpack_request(data: bytes) -> AnyRequest:
    """Decode a client's request.

    Raises:
        ValueError: The data is not a request.
    """
    return _request_decoder.decode(data)


def unpack_reply(data: bytes) -> AnyReply:
    """Decode a node's reply.

    Raises:
        ValueError: The data is not a reply.
    """
    return _reply_decoder.decode(data)
