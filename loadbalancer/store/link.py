"""A node's outgoing connections to the other members, with automatic reconnects.

Messages that can't be sent are dropped, because the consensus protocol retransmits them if needed.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, cast

from loadbalancer.settings import MalformedError, split_address
from loadbalancer.store.backoff import Backoff
from loadbalancer.store.commands import STATE_FORMAT
from loadbalancer.store.handshake import DialedConnection
from loadbalancer.store.raft.messages import AnyMessage, Members, pack
from loadbalancer.store.wire.protocol import Hello, Welcome

log = logging.getLogger(__name__)

MAX_UNREAD_BYTES: Final = 16 << 20  # size of the send buffer above which messages are dropped
CONNECT_TIMEOUT_S: Final = 2.0
MIN_BACKOFF_S: Final = 0.05
MAX_BACKOFF_S: Final = 2.0
STALL_TIMEOUT_S: Final = 5.0  # without progress of a non-empty send buffer
MAX_REPORTED_ADDRESSES: Final = 64


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """Options that all links of a node share.

    Attributes:
        hello: This node's greeting.
        tls: Returns the TLS context for a new connection.
        state_format: Returns the format of the state, which the member must support.
        address_map: The address to connect to for an advertised address, where they differ.
    """

    hello: Hello
    tls: Callable[[], ssl.SSLContext | None]
    state_format: Callable[[], int]
    address_map: Mapping[str, str]


class MemberConnection(DialedConnection):
    """An outgoing connection to a member; the member sends nothing after its greeting."""

    def __init__(self, hello: Hello, expected_node: int, required_format: int) -> None:
        super().__init__(hello)
        self.expected_node = expected_node
        self.required_format = required_format
        self.format = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting."""
        cast(asyncio.Transport, transport).set_write_buffer_limits(MAX_UNREAD_BYTES)
        super().connection_made(transport)

    def mismatch(self, welcome: Welcome) -> str | None:
        """Return why the peer is the wrong member or incompatible; None if it is accepted."""
        if welcome.node != self.expected_node or welcome.cluster != self.hello.cluster:
            return f"node {welcome.node:x} of cluster {welcome.cluster} answers there"
        if welcome.format < self.required_format:
            # The member would skip entries that it can't decode, and its state would diverge.
            return (
                f"its program knows format {welcome.format}, "
                f"and the state is at {self.required_format}"
            )
        self.format = welcome.format
        return None


class MemberLink:
    """Sends messages to one member and keeps the connection to it open.

    Attributes:
        connection: The open connection.
        format: The newest state format that the member supports, as of its last greeting.
        dropped: The number of messages that were not sent.
        close_reason: Why the last connection was closed or the last attempt failed.
    """

    def __init__(self, node: int, address: str, options: LinkOptions) -> None:
        self.node = node
        self.address = address
        self.options = options
        self.format = 0
        self.connection: MemberConnection | None = None
        self.dropped = 0
        self.close_reason = "not tried yet"
        self._unread_bytes = 0  # size of the send buffer after the last write
        self._progress_s = 0.0  # time of the last decrease of the send buffer
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, messages: Sequence[AnyMessage]) -> None:
        """Send messages, or drop them if the member is not connected or reads too slowly."""
        connection = self.connection
        if connection is None or connection.transport is None or connection.closed:
            self.dropped += len(messages)
            return
        unread_bytes = connection.transport.get_write_buffer_size()
        if unread_bytes > MAX_UNREAD_BYTES:
            self.dropped += len(messages)
            return
        now_s = time.monotonic()
        if unread_bytes == 0 or unread_bytes < self._unread_bytes:
            self._progress_s = now_s
        elif now_s - self._progress_s > STALL_TIMEOUT_S:
            self.close_reason = f"nothing was read for {STALL_TIMEOUT_S:.0f} s"
            connection.transport.abort()
            return
        frames = [connection.encoder.frame(pack(message)) for message in messages]
        connection.transport.write(b"".join(frames))
        self._unread_bytes = connection.transport.get_write_buffer_size()

    async def _run(self) -> None:
        backoff = Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        logged_reason = ""
        while True:
            try:
                self.close_reason = await self._run_connection()
                backoff.reset()
            except (OSError, TimeoutError, MalformedError, ssl.SSLError) as error:
                self.close_reason = str(error) or "no connection in time"
            finally:
                self.connection = None
            if self.close_reason != logged_reason:
                log.warning(
                    "member not connected: node=%x address=%s reason=%s",
                    self.node,
                    self.address,
                    self.close_reason,
                )
                logged_reason = self.close_reason
            await asyncio.sleep(backoff.next_delay_s())

    async def _run_connection(self) -> str:
        """Open a connection and wait until it closes; return the reason."""
        options = self.options
        connection = MemberConnection(options.hello, self.node, options.state_format())
        loop = asyncio.get_running_loop()
        host, port = split_address(options.address_map.get(self.address, self.address))
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, host, port, ssl=options.tls())
                await connection.welcomed
            self.connection = connection
            self.format = connection.format
            self._progress_s = time.monotonic()
            self._unread_bytes = 0
            log.info("member connected: node=%x address=%s", self.node, self.address)
            await connection.ended
        finally:
            connection.abort()
        return "the connection was closed"

    def close(self) -> None:
        """Close the connection and stop reconnecting."""
        self._task.cancel()
        if self.connection is not None:
            self.connection.abort()


class MemberLinks:
    """Links to all members of the cluster except this node.

    Args:
        node: This node's number.
        members: Returns the cluster's members.
        options: Options that all links share.
    """

    def __init__(self, node: int, members: Callable[[], Members], options: LinkOptions) -> None:
        self.node = node
        self.options = options
        self.links: dict[int, MemberLink] = {}
        self._members = members
        self._reported_addresses: dict[int, str] = {}

    def address_of(self, node: int) -> str:
        """Return a member's address; empty if it is not known."""
        return self._members().addresses.get(node, "") or self._reported_addresses.get(node, "")

    def address_reported(self, node: int, address: str) -> None:
        """Record a member's reported address; the cluster configuration takes precedence."""
        if address and self._reported_addresses.get(node) != address:
            if len(self._reported_addresses) > MAX_REPORTED_ADDRESSES:
                self._reported_addresses.clear()
            self._reported_addresses[node] = address
            self.update()

    def update(self) -> None:
        """Open and close links to match the current members and addresses."""
        members = self._members()
        desired = {
            node: self.address_of(node)
            for node in {*members.all, *self._reported_addresses}
            if node != self.node and node not in members.removed
        }
        for node, link in list(self.links.items()):
            if desired.get(node) != link.address:
                link.close()
                del self.links[node]
        for node, address in desired.items():
            if address and node not in self.links:
                self.links[node] = MemberLink(node, address, self.options)

    def send(self, messages: Sequence[tuple[int, AnyMessage]]) -> None:
        """Send each message to its destination member."""
        by_member: dict[int, list[AnyMessage]] = {}
        for node, message in messages:
            by_member.setdefault(node, []).append(message)
        if any(node not in self.links for node in by_member):
            self.update()
        for node, member_messages in by_member.items():
            link = self.links.get(node)
            if link is not None:
                link.send(member_messages)

    def formats(self) -> dict[int, int]:
        """Return the newest state format that each member supports; 0 if not connected yet."""
        return {node: self._format_of(node) for node in self._members().all}

    def _format_of(self, node: int) -> int:
        if node == self.node:
            return STATE_FORMAT
        link = self.links.get(node)
        return link.format if link is not None else 0

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()
