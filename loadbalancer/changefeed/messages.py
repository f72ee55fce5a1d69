"""Messages between a node's changefeed and its subscribers.

Each message is a msgpack array with a tag. New fields are added only at
the end, with a default value. Fields are encoded by position, so they can be renamed in the code.

A row is a key of the store, `feed/SCOPE/KIND/NAME`, where SCOPE is `global` or `service:NAME`.
Within its scope a row is identified by `KIND/NAME`. A revision is the index of the store's log
entry that made the change.
"""

from __future__ import annotations

import re
from typing import Final

import msgspec

PREFIX: Final = "feed/"
GLOBAL: Final = "global"
SERVICE: Final = "service:"
MAX_ROW_BYTES: Final = 4096
MAX_SCOPES: Final = 4096  # per subscription
MAX_REFUSALS: Final = 16  # per acknowledgement
MAX_NAME_LENGTH: Final = 200  # characters, of a subscriber's name
MAX_REASON_LENGTH: Final = 200  # characters
MAX_REFUSAL_LENGTH: Final = 2_000  # characters, of scope, key and reason together
_KEY = re.compile(
    r"feed/(global|service:[A-Za-z0-9][A-Za-z0-9._:@-]*)/"
    r"([A-Za-z0-9][A-Za-z0-9._:@-]*/[A-Za-z0-9][A-Za-z0-9._:@-]*)\Z"
)
_SCOPE = re.compile(r"(global|service:[A-Za-z0-9][A-Za-z0-9._:@-]*)\Z")


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """Base class of the messages in both directions."""


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One row of a scope.

    Attributes:
        key: KIND/NAME within the scope.
        version: Number of writes to the key, including deletions.
        value: None if the row was deleted.
    """

    key: str
    version: int
    value: bytes | None


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A row that a subscriber can't apply; its last accepted version stays in force."""

    scope: str
    key: str
    version: int
    reason: str


class Subscribe(Message, frozen=True, tag=1):
    """The first message of a subscriber. It starts generation 1 of the subscription.

    Attributes:
        name: Name of the balancer, shown in the status.
        epoch: Epoch of the store that the cursors belong to.
        cursors: Scopes, each with the revision that the subscriber has; 0 if it has none.
    """

    name: str
    epoch: str
    cursors: tuple[tuple[str, int], ...]


class UpdateScopes(Message, frozen=True, tag=2):
    """Changes the scopes of a subscription.

    Attributes:
        generation: The previous generation plus one.
        add: Scopes with their cursors. Adding a subscribed scope restarts it from that cursor.
        remove: Scopes to unsubscribe from.
    """

    generation: int
    add: tuple[tuple[str, int], ...]
    remove: tuple[str, ...]


class Acknowledge(Message, frozen=True, tag=3):
    """Acknowledges that all patches up to a sequence number are in force.

    Patches whose last chunk has not arrived are only buffered: acknowledging their chunks opens the
    node's send window and has no other effect.

    Attributes:
        sequence: Sequence number of the last patch received.
        refused: The rows that are currently refused, and therefore not in force.
    """

    sequence: int
    refused: tuple[Refusal, ...] = ()


class Patch(Message, frozen=True, tag=4):
    """Rows of one scope: a delta or a snapshot, possibly one chunk of several.

    A delta holds the last value of each key that changed in (after, revision]. A snapshot replaces
    all rows, and its `after` is 0. A large patch is sent in chunks with the same `after` and
    `revision`, which are applied together when the last chunk arrives.

    Attributes:
        digest: Digest of the scope's rows as of `revision`.
    """

    scope: str
    after: int
    revision: int
    is_snapshot: bool
    is_last_chunk: bool
    digest: int
    rows: tuple[Row, ...]


class Bookmark(Message, frozen=True, tag=5):
    """Reports that everything up to `revision` was sent, with digests of some subscribed scopes."""

    revision: int
    digests: tuple[tuple[str, int], ...]


class RetryLater(Message, frozen=True, tag=6):
    """Rejects a subscription because the node is overloaded; retry after `after_ms`."""

    after_ms: int


class ReplicaBehind(Message, frozen=True, tag=7):
    """Reports that the node has applied the store only up to `revision`, less than a cursor.

    The subscription stays parked and resumes once the node has caught up.
    """

    revision: int


ClientMessage = Subscribe | UpdateScopes | Acknowledge
ServerMessage = Patch | Bookmark | RetryLater | ReplicaBehind
_client_decoder = msgspec.msgpack.Decoder(ClientMessage)
_server_decoder = msgspec.msgpack.Decoder(ServerMessage)
pack = msgspec.msgpack.Encoder().encode


def unpack_client_message(data: bytes) -> ClientMessage:
    """Decode a message from a subscriber.

    Raises:
        ValueError: The bytes are not a valid message.
    """
    message: ClientMessage = _client_decoder.decode(data)
    return message


def unpack_server_message(data: bytes) -> ServerMessage:
    """Decode a message from a node.

    Raises:
        ValueError: The bytes are not a valid message.
    """
    message: ServerMessage = _server_decoder.decode(data)
    return message


def split_key(key: str) -> tuple[str, str]:
    """Return the scope of a store key, and its KIND/NAME within the scope.

    Raises:
        ValueError: The key does not have the form of a row's key.
    """
    key_match = _KEY.match(key)
    if key_match is None:
        raise ValueError(
            f"{key[:80]!r} is no row: feed/SCOPE/KIND/NAME, SCOPE global or service:NAME"
        )
    return key_match[1], key_match[2]


def is_scope_name(name: str) -> bool:
    """Return whether `name` is a well-formed scope name."""
    return _SCOPE.match(name) is not None
