"""What a balancer asks of a node's feed, and what it is told. Msgpack arrays with a tag; fields are
only ever added at the end, with a default.

A row is a key of the store, `feed/SCOPE/KIND/NAME`; SCOPE is `global` or `service:NAME`. Within its
scope it goes by `KIND/NAME`. Revisions are the store's: the entry of its log that made the change.
"""

from __future__ import annotations

import re

import msgspec

PREFIX = "feed/"
GLOBAL = "global"
SERVICE = "service:"
MOST_ROW = 4096  # bytes of a row's value
MOST_SCOPES = 4096  # of one subscription
MOST_REFUSALS = 16  # that one word holds
MOST_NAME = 200  # characters of a subscriber's name
MOST_WHY = 200  # characters
MOST_REFUSAL = 2_000  # with its scope and key
_KEY = re.compile(
    r"feed/(global|service:[A-Za-z0-9][A-Za-z0-9._:@-]*)/"
    r"([A-Za-z0-9][A-Za-z0-9._:@-]*/[A-Za-z0-9][A-Za-z0-9._:@-]*)\Z"
)
_SCOPE = re.compile(r"(global|service:[A-Za-z0-9][A-Za-z0-9._:@-]*)\Z")


class Word(msgspec.Struct, frozen=True, array_like=True, tag=True, forbid_unknown_fields=True):
    """One message of either side."""


class Row(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """`key`: KIND/NAME within its scope; `value` is None where it was deleted. Versions of a key go
    on counting over a deletion.
    """

    key: str
    version: int
    value: bytes | None


class Refusal(msgspec.Struct, frozen=True, array_like=True):
    """A row that a balancer can't take; what it took before stands."""

    scope: str
    key: str
    version: int
    why: str


class Subscribe(Word, frozen=True, tag=1):
    """The first word. `cursors`: scopes, and the revision up to which each is known within `epoch`;
    0: not at all. `name`: of the balancer, for the status. Its generation is 1.
    """

    name: str
    epoch: str
    cursors: tuple[tuple[str, int], ...]


class Rescope(Word, frozen=True, tag=2):
    """Other scopes. `generation` is one more than before. To add one that stands there already is
    to take it anew from that cursor.
    """

    generation: int
    add: tuple[tuple[str, int], ...]
    drop: tuple[str, ...]


class Reached(Word, frozen=True, tag=3):
    """All patches up to this sequence number are in force, but for the rows refused, as they now
    stand. Parts whose last is not among them are only kept: with them the node's window moves on,
    and nothing else.
    """

    sequence: int
    refused: tuple[Refusal, ...] = ()


class Patch(Word, frozen=True, tag=4):
    """Rows of one scope. A delta holds the last value of each key that changed in (after,
    revision]; where it is `whole`, after is 0 and it replaces all rows. One of many bytes comes in
    parts of the same after and revision, in force together at the `last`. `digest`: of the scope's
    rows as of `revision`.
    """

    scope: str
    after: int
    revision: int
    whole: bool
    last: bool
    digest: int
    rows: tuple[Row, ...]


class Bookmark(Word, frozen=True, tag=5):
    """There is nothing else to tell up to `revision`; `digests` of the subscription's scopes."""

    revision: int
    digests: tuple[tuple[str, int], ...]


class Later(Word, frozen=True, tag=6):
    """Too many come at once: the subscription is not taken, and may be asked for again then."""

    after_ms: int


class Behind(Word, frozen=True, tag=7):
    """This node knows the store only up to `revision`, less than a cursor says. The subscription is
    kept, and hears more once the node has caught up.
    """

    revision: int


AnyAsk = Subscribe | Rescope | Reached
AnyTold = Patch | Bookmark | Later | Behind
_asks = msgspec.msgpack.Decoder(AnyAsk)
_tolds = msgspec.msgpack.Decoder(AnyTold)
pack = msgspec.msgpack.Encoder().encode


def unpack_ask(data: bytes) -> AnyAsk:
    """Raises ValueError."""
    found: AnyAsk = _asks.decode(data)
    return found


def unpack_told(data: bytes) -> AnyTold:
    """Raises ValueError."""
    found: AnyTold = _tolds.decode(data)
    return found


def split(key: str) -> tuple[str, str]:
    """Scope, and KIND/NAME within it. Raises ValueError where the key is no row's."""
    found = _KEY.match(key)
    if found is None:
        raise ValueError(
            f"{key[:80]!r} is no row: feed/SCOPE/KIND/NAME, SCOPE global or service:NAME"
        )
    return found[1], found[2]


def is_scope(name: str) -> bool:
    return _SCOPE.match(name) is not None
