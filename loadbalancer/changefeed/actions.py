"""Actions that a subscription requests from its owner."""

from __future__ import annotations

import msgspec

from loadbalancer.changefeed.messages import Row


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message on the current connection."""

    payload: bytes


class Dial(msgspec.Struct, frozen=True):
    """Open a new connection, to the address at this index modulo the number of addresses."""

    address_index: int


class Disconnect(msgspec.Struct, frozen=True):
    """Close the connection or cancel the dial; its later events must not be passed in."""

    reason: str


class Apply(msgspec.Struct, frozen=True):
    """Apply the accepted rows of a scope.

    Refused rows are left out. In a snapshot their last accepted version takes their place.

    Attributes:
        is_snapshot: Whether `rows` holds all rows of the scope. Otherwise it holds the last version
            of each changed row, with None as the value of a deleted row.
    """

    scope: str
    is_snapshot: bool
    rows: tuple[Row, ...]
    revision: int


Action = SendMessage | Dial | Disconnect | Apply
