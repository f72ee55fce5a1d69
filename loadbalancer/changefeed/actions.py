"""What a subscription asks its owner to do."""

from __future__ import annotations

import msgspec

from loadbalancer.changefeed.messages import Row


class SendMessage(msgspec.Struct, frozen=True):
    """Send a message on the current connection."""

    payload: bytes


class Dial(msgspec.Struct, frozen=True):
    """Open a new connection, to the address of this index modulo their number."""

    address_index: int


class Disconnect(msgspec.Struct, frozen=True):
    """Give up the connection or the dial; nothing of it is to be handed in any more."""

    reason: str


class Apply(msgspec.Struct, frozen=True):
    """Rows that came into force.

    Refused rows are not among them; in a snapshot their last accepted version is.

    Attributes:
        is_snapshot: They are all rows of the scope; else the last of each that changed, with None
            as the value of a deleted one.
    """

    scope: str
    is_snapshot: bool
    rows: tuple[Row, ...]
    revision: int


Action = SendMessage | Dial | Disconnect | Apply
