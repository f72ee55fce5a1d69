"""Client of an upstream's own admin API, which restarts it on request.

The request is `POST PATH` with an `Idempotency-Key` that identifies the restart. An upstream
restarts once per key.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.policy.api import AttemptResult
from loadbalancer.proxy.exchange import Exchange, ExpectedResponse
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.messages import Response, message
from loadbalancer.proxy.upstream_connection import UpstreamConnection

REQUEST_TIMEOUT_S = 2.0  # to connect, and again for the response
MAX_RESPONSE_BYTES = 64 << 10


async def request_restart(
    address: tuple[str, int], path: str, restart_name: str, may_send: Callable[[], bool]
) -> str:
    """Send a restart request to one upstream.

    Args:
        address: Address of the upstream's admin API to dial.
        path: Path of the restart endpoint.
        restart_name: Idempotency key.
        may_send: Checked after the connection is established, just before the first byte is
            written, so that a leader that was deposed in the meantime sends nothing.

    Returns:
        Why the request failed, in one line; an empty string if it was accepted.

    Raises:
        OSError: The upstream could not be connected to.
        TimeoutError: The connection took too long.
    """
    connection = UpstreamConnection(
        _ignore_connection, _ignore_connection, MemoryAccount(MAX_RESPONSE_BYTES)
    )
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(REQUEST_TIMEOUT_S):
        await loop.create_connection(lambda: connection, *address)
    try:
        if not may_send():
            return "lease lost: request not sent"
        return await _exchange(connection, _restart_request(address, path, restart_name))
    finally:
        connection.abort()


async def _exchange(connection: UpstreamConnection, request: bytes) -> str:
    """Send the request; return why it failed, or an empty string if it was accepted."""
    finished: asyncio.Future[tuple[AttemptResult, Response | None]] = (
        asyncio.get_running_loop().create_future()
    )

    def on_finished(result: AttemptResult, response: Response | None) -> None:
        if not finished.done():
            finished.set_result((result, response))

    exchange = Exchange(request, on_finished, expected=ExpectedResponse(MAX_RESPONSE_BYTES))
    exchange.expire_in(REQUEST_TIMEOUT_S)
    connection.start(exchange)
    try:
        result, response = await finished
    finally:
        exchange.give_up(AttemptResult.CANCELLED)
    if response is None:
        return f"no response: {result.value}"
    if HTTPStatus.OK <= response.status < HTTPStatus.MULTIPLE_CHOICES:
        return ""
    return f"response status {response.status}"


def _ignore_connection(_connection: UpstreamConnection) -> None:
    """Ignore a connection event.

    The connection serves one exchange, so it is neither pooled nor reported when it is lost.
    """


def _restart_request(address: tuple[str, int], path: str, restart_name: str) -> bytes:
    host = f"{address[0]}:{address[1]}".encode()
    return message(
        b"POST %b HTTP/1.1" % path.encode(),
        [
            (b"Host", host),
            (b"Idempotency-Key", b'"%b"' % restart_name.encode()),
            (b"Content-Length", b"0"),
        ],
    )
