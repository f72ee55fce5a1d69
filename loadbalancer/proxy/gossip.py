"""Gossip between balancers: UDP datagrams, which may be late or lost."""

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
    """Sends the policy's datagrams, and hands it those of its peers.

    Args:
        driver: The policy's driver.
        peers: The peers' addresses, by their numbers.
        broadcast: The address that reaches all peers, if there is one.
    """

    def __init__(self, driver: Driver, peers: Sequence[Address], broadcast: Address | None) -> None:
        self.driver = driver
        self.peers = peers
        self.broadcast = broadcast
        self.peer_numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the event loop."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Hand on a peer's datagram; called by the event loop."""
        sender = self.peer_numbers.get(address)
        if sender is not None and len(data) <= MAX_DATAGRAM:
            self.driver.post(api.GossipReceived(sender, data))

    def error_received(self, error: Exception) -> None:
        """Ignore it: a datagram may be lost; a peer that is down refuses it."""

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram to one peer; -1: to all."""
        address = self.broadcast
        if peer >= 0:
            address = self.peers[peer] if peer < len(self.peers) else None
        if address is None or len(data) > MAX_DATAGRAM or self.transport is None:
            log.error("gossip not sent: bytes=%d peer=%d", len(data), peer)
            return
        self.transport.sendto(data, address)
