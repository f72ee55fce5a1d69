"""A client's requests over one connection at a time, with deadlines and retries at other nodes."""

from __future__ import annotations

import asyncio
import random
import ssl
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from loadbalancer.settings import split_address
from loadbalancer.store.backoff import Backoff
from loadbalancer.store.client_connection import ClientConnection
from loadbalancer.store.errors import RejectedError, UnavailableError, UndecidedError
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import (
    Administer,
    AnyReply,
    AnyRequest,
    FailureCode,
    Hello,
    Propose,
    ReadBackup,
    RequestFailed,
)

ATTEMPT_TIMEOUT_S: Final = 1.5  # after which the request is retried at another node
CONNECT_TIMEOUT_S: Final = 1.0
MIN_CONNECT_TIMEOUT_S: Final = 0.01
MIN_BACKOFF_S: Final = 0.02
MAX_BACKOFF_S: Final = 1.0


class RequestFactory(Protocol):
    """Creates the request for each attempt."""

    def __call__(self, request_id: int, timeout_ms: int, /) -> AnyRequest:
        """Return the request."""


@dataclass(frozen=True, slots=True)
class ChannelOptions:
    """The nodes that a channel connects to, and the client's identity.

    Attributes:
        addresses: Addresses of members, HOST:PORT.
        tls: Returns the TLS context for a new connection.
        hello: The greeting.
        address_map: The address to connect to for an advertised address, where they differ.
        rng: Random numbers for the jitter of the backoff.
    """

    addresses: Sequence[str]
    tls: Callable[[], ssl.SSLContext | None]
    hello: Hello
    address_map: Mapping[str, str]
    rng: random.Random


@dataclass(slots=True)
class _Call:
    """The state of one request across its attempts."""

    needs_leader: bool
    deadline_s: float
    failure_reason: str = "no node answers"
    # An attempt was sent, and no reply rules out that it took effect.
    may_have_executed: bool = False
    is_redirected: bool = False  # retry at the leader without a delay


class RequestChannel:
    """Sends requests and retries them until a reply arrives or the deadline passes."""

    def __init__(self, options: ChannelOptions) -> None:
        self.options = options
        self.connection: ClientConnection | None = None
        self._connected_address = ""
        self._leader_address = ""  # reported by the last failure; empty once it was tried
        self._next_address = 0
        self._last_request_id = 0
        self._connecting = asyncio.Lock()

    def next_request_id(self) -> int:
        """Return a new request id."""
        self._last_request_id += 1
        return self._last_request_id

    def new_backoff(self) -> Backoff:
        """Return a new backoff for a series of attempts."""
        return Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S, self.options.rng.uniform)

    async def call(
        self, make_request: RequestFactory, deadline_s: float, *, needs_leader: bool
    ) -> AnyReply:
        """Send a request, with retries, until a reply arrives.

        Args:
            make_request: Creates the request for an attempt.
            deadline_s: The deadline on the monotonic clock.
            needs_leader: Whether to retry at the leader if a failure reports its address.

        Raises:
            RejectedError: The store rejects the request.
            UndecidedError: The deadline passed; the change may have been applied.
            UnavailableError: The deadline passed; no change was applied.
        """
        call = _Call(needs_leader, deadline_s)
        backoff = self.new_backoff()
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            reply = await self._attempt(call, make_request, remaining_s)
            if reply is not None:
                return reply
            if call.is_redirected:
                call.is_redirected = False
                backoff.reset()
                continue
            delay_s = backoff.next_delay_s()
            await asyncio.sleep(min(delay_s, max(0.0, deadline_s - time.monotonic())))
        if call.may_have_executed:
            raise UndecidedError(call.failure_reason)
        raise UnavailableError(call.failure_reason)

    async def _attempt(
        self, call: _Call, make_request: RequestFactory, remaining_s: float
    ) -> AnyReply | None:
        try:
            connection = await self.connect(call.deadline_s)
        except (OSError, TimeoutError) as error:
            call.failure_reason = str(error) or "no connection in time"
            return None
        request = make_request(self.next_request_id(), int(remaining_s * 1000))
        try:
            async with asyncio.timeout(min(ATTEMPT_TIMEOUT_S, remaining_s)):
                reply = await connection.request(request)
        except (OSError, TimeoutError) as error:
            call.failure_reason = str(error) or f"{self._connected_address} did not answer in time"
            call.may_have_executed |= _is_change(request)
            self.abandon(connection)
            return None
        if not isinstance(reply, RequestFailed):
            return reply
        self._request_failed(call, connection, request, reply)
        return None

    def _request_failed(
        self,
        call: _Call,
        connection: ClientConnection,
        request: AnyRequest,
        failure: RequestFailed,
    ) -> None:
        call.failure_reason = failure.text
        if failure.code in (FailureCode.REJECTED, FailureCode.FORBIDDEN):
            raise RejectedError(failure.text)
        if failure.code not in (FailureCode.NOT_LEADER, FailureCode.BUSY):
            call.may_have_executed |= _is_change(request)
        if failure.code == FailureCode.OUTCOME_UNKNOWN and isinstance(
            request, Administer | ReadBackup
        ):
            raise UndecidedError(failure.text)
        if failure.leader and call.needs_leader and failure.leader != self._connected_address:
            self._leader_address = failure.leader
            call.is_redirected = True
            self.abandon(connection)
        elif failure.code in (FailureCode.NOT_LEADER, FailureCode.DEADLINE_EXCEEDED):
            self.abandon(connection)

    def abandon(self, connection: ClientConnection) -> None:
        """Stop using a connection; the next request connects to another node."""
        if self.connection is connection:
            self.connection = None
        if not connection.watches and not connection.pending:
            connection.abort()
        elif connection.pending:
            # Other requests are still in flight on the connection, with separate timeouts.
            asyncio.get_running_loop().call_later(ATTEMPT_TIMEOUT_S, connection.abort)

    async def connect(self, deadline_s: float) -> ClientConnection:
        """Return the open connection, or open a new one.

        Raises:
            OSError: No connection could be established.
        """
        async with self._connecting:
            if self.connection is not None and not self.connection.closed:
                return self.connection
            address = self._take_address()
            self.connection = await self._dial(address, deadline_s)
            self._connected_address = address
            return self.connection

    def _take_address(self) -> str:
        if self._leader_address:
            address = self._leader_address
            self._leader_address = ""
            return address
        addresses = self.options.addresses
        address = addresses[self._next_address % len(addresses)]
        self._next_address += 1
        return address

    async def _dial(self, address: str, deadline_s: float) -> ClientConnection:
        options = self.options
        host, port = split_address(options.address_map.get(address, address))
        connection = ClientConnection(options.hello)
        loop = asyncio.get_running_loop()
        timeout_s = min(CONNECT_TIMEOUT_S, deadline_s - time.monotonic())
        try:
            async with asyncio.timeout(max(MIN_CONNECT_TIMEOUT_S, timeout_s)):
                await loop.create_connection(lambda: connection, host, port, ssl=options.tls())
                await connection.welcomed
        except (TimeoutError, OSError) as error:
            connection.abort()
            raise OSError(f"{address}: {error or 'no connection in time'}") from None
        return connection

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None


def _is_change(request: AnyRequest) -> bool:
    return isinstance(request, Propose | Administer)


def new_hello(cluster: str, name: str) -> Hello:
    """Return the greeting of a client."""
    return Hello(protocol.PROTOCOL_VERSION, cluster, 0, "", name)
