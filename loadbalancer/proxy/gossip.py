"""Gossip between balancers by UDP datagrams, which may be delayed or lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from typing import cast

from loadbalancer.policy import api
from loadbalancer.proxy.policy_driver import Driver

log = logging.getLogger(__name__)

MAX_DATAGRAM = 256
Address = tuple[str, int]


class GossipProtocol(asyncio.DatagramProtocol):
    """Sends the policy's datagrams, and passes received ones to the policy.

    Args:
        driver: The policy's driver.
        peers: The peers' addresses, indexed by peer number.
        broadcast: The address that reaches all peers; None: not configured.
    """

    def __init__(self, driver: Driver, peers: Sequence[Address], broadcast: Address | None) -> None:
        self.driver = driver
        self.peers = peers
        self.broadcast = broadcast
        self.peer_numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Pass a peer's datagram to the policy; called by the event loop."""
        sender = self.peer_numbers.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM:
            self.driver.post(api.GossipReceived(sender, data))

    def error_received(self, error: Exception) -> None:
        """Ignore errors: datagrams may be lost, and a peer that is down refuses them."""

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram to a peer; -1 means all peers."""
        address = self.broadcast
        if peer >= 0:
            address = self.peers[peer] if peer < len(self.peers) else None
        if address is None or len(data) > MAX_DATAGRAM or self.transport is None:
            log.error("gossip not sent: bytes=%d peer=%d", len(data), peer)
            return
        self.transport.sendto(data, address)
