"""A box's own door: `POST PATH` with an `Idempotency-Key`, the name of a restart, which a box does
once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loadbalancer.policy.api import AttemptResult
from loadbalancer.proxy.exchange import Exchange, ExpectedResponse
from loadbalancer.proxy.parse import Response, message
from loadbalancer.proxy.upstream_connection import UpstreamConnection

ASK_S = 2.0  # to connect, and to be answered
MOST = 64 << 10  # of an answer


async def ask(address: tuple[str, int], path: str, name: str, may: Callable[[], bool]) -> str:
    """What was wrong, in one line; empty: it was taken. `may` is asked after all waiting, just
    before the first byte leaves: an owner that was stopped meanwhile asks nothing. Raises OSError,
    TimeoutError.
    """
    connection = UpstreamConnection(lambda c: None, lambda c: None)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(ASK_S):
        await loop.create_connection(lambda: connection, *address)
    ended: asyncio.Future[tuple[AttemptResult, Response | None]] = loop.create_future()

    def done(result: AttemptResult, response: Response | None) -> None:
        if not ended.done():
            ended.set_result((result, response))

    host = f"{address[0]}:{address[1]}".encode()
    request = message(
        b"POST %b HTTP/1.1" % path.encode(),
        [(b"Host", host), (b"Idempotency-Key", b'"%b"' % name.encode()), (b"Content-Length", b"0")],
    )
    exchange = Exchange(request, done, expected=ExpectedResponse(MOST))
    exchange.expire_in(ASK_S)
    if not may():
        connection.abort()
        return "not owned any more: nothing was sent"
    connection.start(exchange)
    try:
        result, response = await ended
    finally:
        exchange.give_up(AttemptResult.CANCELLED)
        connection.abort()
    if response is None:
        return f"no answer: {result.value}"
    return "" if 200 <= response.status < 300 else f"it answered {response.status}"
