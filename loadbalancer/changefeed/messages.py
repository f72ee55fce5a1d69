"""Messages between a node's changefeed and its subscribers.

Each message is a msgpack array with a tag. Fields are only ever added at the end, with a default;
they are encoded by position, so their names in code are free.

A row is a key of the store, `feed/SCOPE/KIND/NAME`, where SCOPE is `global` or `service:NAME`.
Within its scope a row goes by `KIND/NAME`. Revisions are the store's: the index of the log entry
that made the change.
"""

from __future__ import annotations

import re
from typing import Final

import msgspec

PREFIX: Final = "feed/"
GLOBAL: Final = "global"
SERVICE: Final = "service:"
MAX_ROW_BYTES: Final = 4096
MAX_SCOPES: Final = 4096  # of one subscription
MAX_REFUSALS: Final = 16  # in one acknowledgement
MAX_NAME_LENGTH: Final = 200  # characters of a subscriber's name
MAX_REASON_LENGTH: Final = 200  # characters
MAX_REFUSAL_LENGTH: Final = 2_000  # characters of reason, scope and key together
_KEY = re.compile(
    r"feed/(global|service:[A-Za-z0-9][A-Za-z0-9._:@-]*)/"
    r"([A-Za-z0-9][A-Za-z0-9._:@-]*/[A-Za-z0-9][A-Za-z0-9._:@-]*)\Z"
)
_SCOPE = re.compile(r"(global|service:[A-Za-z0-9][A-Za-z0-9._:@-]*)\Z")


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """One message in either direction."""


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One row of a scope.

    Attributes:
        key: KIND/NAME within the scope.
        version: Counts the writes of the key; it continues after a deletion.
        value: None where the row was deleted.
    """

    key: str
    version: int
    value: bytes | None


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A row that a subscriber can't apply; the last version that it could stays in force."""

    scope: str
    key: str
    version: int
    reason: str


class Subscribe(Message, frozen=True, tag=1):
    """The first message of a subscriber. Its generation is 1.

    Attributes:
        name: The balancer's name, for the status.
        epoch: The store's epoch that the cursors belong to.
        cursors: Scopes, each with the revision up to which it is known; 0 where nothing is.
    """

    name: str
    epoch: str
    cursors: tuple[tuple[str, int], ...]


class UpdateScopes(Message, frozen=True, tag=2):
    """Changes the subscription's scopes.

    Attributes:
        generation: One more than before.
        add: Scopes with their cursors. Adding a subscribed scope restarts it from that cursor.
        remove: Scopes that are no longer subscribed.
    """

    generation: int
    add: tuple[tuple[str, int], ...]
    remove: tuple[str, ...]


class Acknowledge(Message, frozen=True, tag=3):
    """All patches up to a sequence number are in force.

    Patches whose last chunk has not arrived are only buffered: acknowledging their chunks opens the
    node's window and nothing else.

    Attributes:
        sequence: Of the last patch received.
        refused: The rows that are not in force, as they stand now.
    """

    sequence: int
    refused: tuple[Refusal, ...] = ()


class Patch(Message, frozen=True, tag=4):
    """Rows of one scope: a delta or a snapshot, possibly one chunk of several.

    A delta holds the last value of each key that changed in (after, revision]. A snapshot replaces
    all rows, and its `after` is 0. A large patch is sent in chunks of the same `after` and
    `revision`, which come into force together with the last one.

    Attributes:
        digest: Of the scope's rows as of `revision`.
    """

    scope: str
    after: int
    revision: int
    is_snapshot: bool
    is_last_chunk: bool
    digest: int
    rows: tuple[Row, ...]


class Bookmark(Message, frozen=True, tag=5):
    """Nothing else is to be sent up to `revision`; `digests` of some of the subscribed scopes."""

    revision: int
    digests: tuple[tuple[str, int], ...]


class RetryLater(Message, frozen=True, tag=6):
    """The node is overloaded: the subscription is not accepted and may be retried after a while."""

    after_ms: int


class ReplicaBehind(Message, frozen=True, tag=7):
    """The node has applied the store only up to `revision`, which is less than a cursor.

    The subscription is kept, and continues once the node has caught up.
    """

    revision: int


ClientMessage = Subscribe | UpdateScopes | Acknowledge
ServerMessage = Patch | Bookmark | RetryLater | ReplicaBehind
_client_decoder = msgspec.msgpack.Decoder(ClientMessage)
_server_decoder = msgspec.msgpack.Decoder(ServerMessage)
pack = msgspec.msgpack.Encoder().encode


def unpack_client_message(data: bytes) -> ClientMessage:
    """Decode a message of a subscriber.

    Raises:
        ValueError: The bytes are not such a message.
    """
    message: ClientMessage = _client_decoder.decode(data)
    return message


def unpack_server_message(data: bytes) -> ServerMessage:
    """Decode a message of a node.

    Raises:
        ValueError: The bytes are not such a message.
    """
    message: ServerMessage = _server_decoder.decode(data)
    return message


def split_key(key: str) -> tuple[str, str]:
    """Return the scope of a store key, and KIND/NAME within it.

    Raises:
        ValueError: The key is not that of a row.
    """
    key_match = _KEY.match(key)
    if key_match is None:
        raise ValueError(
            f"{key[:80]!r} is no row: feed/SCOPE/KIND/NAME, SCOPE global or service:NAME"
        )
    return key_match[1], key_match[2]


def is_scope_name(name: str) -> bool:
    """Return whether `name` is a well-formed scope."""
    return _SCOPE.match(name) is not None
