"""What the driver of the policy needs of discovery and of the other balancers."""

from __future__ import annotations

from typing import Protocol


class Discovery(Protocol):
    """Interface to the service that provides the endpoint list."""

    def subscribe(self, on: bool) -> None:
        """Open or close a watch on the endpoint list."""

    def fetch(self) -> None:
        """Fetch the complete list once."""


class Gossip(Protocol):
    """Sender of datagrams to the other balancers."""

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer, or to all peers if `peer` is -1."""
