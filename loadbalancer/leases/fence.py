"""Fencing on the receiving side: orders of a superseded leader are rejected."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FencingPosition:
    """Position of an order: its fencing token, then the leader's sequence number."""

    token: int = 0
    number: int = 0

    def is_before(self, other: FencingPosition) -> bool:
        """Return whether this position is older than the other."""
        return (self.token, self.number) < (other.token, other.number)


@dataclass(slots=True)
class FencedReceiver:
    """Accepts orders that are no older than the newest one accepted so far.

    After a restart, no order is accepted until `learn` is called with a position that a majority of
    the store's nodes confirmed or that this process persisted. A lagging node or a stale copy could
    otherwise replay superseded orders.
    """

    highest: FencingPosition
    is_initialized: bool = False
    rejected: int = 0  # orders rejected as too old or before initialization

    def learn(self, position: FencingPosition) -> None:
        """Set the minimum position from an authoritative source and start accepting orders."""
        if self.highest.is_before(position):
            self.highest = position
        self.is_initialized = True

    def accept(self, position: FencingPosition) -> bool:
        """Return whether the order may be executed.

        A repeated order is accepted because repeating it has no effect.
        """
        if not self.is_initialized or position.is_before(self.highest):
            self.rejected += 1
            return False
        self.highest = position
        return True
