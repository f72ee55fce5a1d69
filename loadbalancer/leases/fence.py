"""Fencing on the receiver's side: an order of a superseded leader is rejected."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FencingPosition:
    """Where an order stands: by fencing token, then by the leader's own sequence number."""

    token: int = 0
    number: int = 0

    def is_before(self, other: FencingPosition) -> bool:
        """Return whether this order is older than the other."""
        return (self.token, self.number) < (other.token, other.number)


@dataclass(slots=True)
class FencedReceiver:
    """Accepts orders that are no older than the newest one accepted so far.

    After a restart nothing is accepted before `learn` was called with what a majority of the store
    holds, or with what this process persisted: a lagging node, or a stale copy, may repeat orders
    that were superseded long ago.
    """

    highest: FencingPosition
    is_initialized: bool = False
    rejected: int = 0  # orders that were too old

    def learn(self, position: FencingPosition) -> None:
        """Take over a position from an authoritative source, and begin to accept orders."""
        if self.highest.is_before(position):
            self.highest = position
        self.is_initialized = True

    def accept(self, position: FencingPosition) -> bool:
        """Return whether the order may be carried out.

        A repeated order is accepted: it changes nothing.
        """
        if not self.is_initialized or position.is_before(self.highest):
            self.rejected += 1
            return False
        self.highest = position
        return True
