"""The store's listener: accepts connections of members and clients."""

from __future__ import annotations

import asyncio
import logging
import resource
import socket
import ssl
from typing import Final

from loadbalancer.errnos import Cause, Operation, cause
from loadbalancer.settings import MalformedError
from loadbalancer.store.connection import GREETING_TIMEOUT_S, Connection
from loadbalancer.store.node import Node

log = logging.getLogger(__name__)

BACKLOG: Final = 1024  # when another node stops, all its clients may connect at once
# Pause between two accepted connections: a TLS handshake takes 1 ms or more, and a series of them
# must not delay heartbeats.
ACCEPT_INTERVAL_S: Final = 0.0025
ACCEPT_RETRY_S: Final = 1.0  # after the process ran out of file descriptors or memory
RESERVED_FILES: Final = 128  # file descriptors reserved for disk and other members
CERTIFICATE_CHECK_INTERVAL_S: Final = 1.0


class Server:
    """Accepts and tracks the connections to one node.

    Attributes:
        node: The node.
        connections: The open connections.
        max_connections: The maximum number of open connections.
        stamp: The stamp of the certificate files as last loaded; see `TlsFiles.stamp`.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.settings = node.settings
        self.connections: set[Connection] = set()
        self.max_connections = node.settings.max_connections
        self.stamp: tuple[tuple[int, int], ...] = ()
        self._listener: socket.socket | None = None
        self._context: ssl.SSLContext | None = None
        self._accept_task: asyncio.Task[None] | None = None
        self._certificate_task: asyncio.Task[None] | None = None
        self._handshakes: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._listener is not None
        return int(self._listener.getsockname()[1])

    @property
    def uses_tls(self) -> bool:
        """Whether peers authenticate with certificates."""
        return self._context is not None

    async def start(self) -> None:
        """Start accepting connections.

        Raises:
            MalformedError: The address or the certificates can't be used.
            OSError: No socket could be created.
        """
        self._limit_connections()
        self._listener = self._bind()
        loop = asyncio.get_running_loop()
        if self.settings.tls is not None:
            self.stamp = self.settings.tls.stamp()
            self._context = self.settings.tls.context(True)
            self._certificate_task = loop.create_task(self._watch_certificates())
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self._accept_task = loop.create_task(self._accept(self._listener))

    def _limit_connections(self) -> None:
        available = resource.getrlimit(resource.RLIMIT_NOFILE)[0] - RESERVED_FILES
        if available < self.max_connections:
            log.warning(
                "limits.connections lowered to what the process may open: limit=%d configured=%d",
                available,
                self.max_connections,
            )
            self.max_connections = available

    def _bind(self) -> socket.socket:
        host, port = self.settings.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
        except OSError as error:
            listener.close()
            raise MalformedError(f"listen: {host}:{port}: {error.strerror}") from None
        return listener

    async def _accept(self, listener: socket.socket) -> None:
        """Accept connections at a limited rate, to keep the event loop responsive."""
        loop = asyncio.get_running_loop()
        is_exhausted = False
        while True:
            try:
                accepted, _ = await loop.sock_accept(listener)
                is_exhausted = False
            except OSError as error:
                if not is_exhausted and cause(Operation.ACCEPT, error) is Cause.LOCAL:
                    log.error("store connections can't be accepted: error=%s", error.strerror)
                    is_exhausted = True
                await asyncio.sleep(ACCEPT_RETRY_S if is_exhausted else ACCEPT_INTERVAL_S)
                continue
            task = loop.create_task(self._handshake(accepted))
            self._handshakes.add(task)
            task.add_done_callback(self._handshakes.discard)
            await asyncio.sleep(ACCEPT_INTERVAL_S)

    async def _handshake(self, accepted: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(
                lambda: Connection(self),
                accepted,
                ssl=self._context,
                ssl_handshake_timeout=GREETING_TIMEOUT_S if self._context else None,
            )
        except OSError as error:
            log.debug("store connection failed: error=%s", error)
            accepted.close()

    def connection_opened(self, connection: Connection) -> bool:
        """Register a connection; return whether there is capacity for it."""
        self.connections.add(connection)
        return len(self.connections) <= self.max_connections

    def connection_closed(self, connection: Connection) -> None:
        """Remove a connection."""
        self.connections.discard(connection)

    # ---- certificates ----------------------------------------------------------------------------

    async def _watch_certificates(self) -> None:
        """Periodically reloads replaced certificate files; new connections use the new ones."""
        while True:
            await asyncio.sleep(CERTIFICATE_CHECK_INTERVAL_S)
            await self.reload_certificates()

    async def reload_certificates(self) -> bool:
        """Reload the certificates if their files changed; return whether this succeeded.

        If the new certificates are not valid, the old ones stay in use.
        """
        tls = self.settings.tls
        assert tls is not None
        stamp = tls.stamp()
        if stamp == self.stamp:
            return False
        try:
            server_context = tls.context(True)
            client_context = tls.context(False)
        except MalformedError as error:
            log.error("new certificates are not valid, the old ones stay in use: error=%s", error)
            self.stamp = stamp
            return False
        self.stamp = stamp
        self._context = server_context
        self.node.tls = client_context
        log.info("certificates reloaded")
        return True

    async def close(self) -> None:
        """Close the listener and all connections."""
        if self._certificate_task is not None:
            self._certificate_task.cancel()
        for task in (self._accept_task, *self._handshakes):
            if task is not None:
                task.cancel()
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.connections):
            connection.abort()
