"""One HTTP/1.1 exchange: a request, and how it ended.

An exchange is sent once: nothing here sends a request again. The moment at which its last byte left
is known, because before it a broken connection proves that the request never ran.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.policy.api import AttemptResult
from loadbalancer.policy.rules import Denied, Verdict
from loadbalancer.proxy.body_stream import Body, BodyMemory
from loadbalancer.proxy.messages import Response
from loadbalancer.proxy.parse import MAX_BODY


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    def abort(self) -> None:
        """Close it at once."""


class Outgoing(Protocol):
    """A request on its way out, which makes its bytes at the last moment."""

    def begin(self, upstream_verdict: Verdict) -> bytes | Denied:
        """Build all of it but a body in pieces, to be written now.

        Args:
            upstream_verdict: Whether the upstream may be sent something new.
        """

    def may_finish(self) -> bool:
        """Whether the last byte of a body in pieces may be written now."""


@dataclass(frozen=True, slots=True)
class FixedRequest:
    """A request that is the same whenever it is written."""

    data: bytes

    def begin(self, upstream_verdict: Verdict) -> bytes | Denied:  # noqa: ARG002 (a health check is always sent)
        """Return the bytes."""
        return self.data

    def may_finish(self) -> bool:
        """Allow it: there is no body in pieces."""
        return True


@dataclass(frozen=True, slots=True)
class ExpectedResponse:
    """What response is expected.

    Attributes:
        max_body: A longer body comes in pieces.
        memory: Counts the bytes of a body in pieces; None: a longer one can't be taken.
        head_only: The response has no body, as to a HEAD request.
    """

    max_body: int = MAX_BODY
    memory: BodyMemory | None = None
    head_only: bool = False


class Exchange:
    """A request and its end, which is reported exactly once.

    It ends as OK with a response, or with the reason why there is none. The body of a long response
    comes in pieces, and may still fail.

    Attributes:
        body: Follows on the request, in pieces.
        done: Called with the end; None: it is over.
        written: The request's last byte has left.
        settle_wait_ns: How long it waited here for a connection to rest.
        unread_ns: How long the end of a complete response lay unread in the kernel.
    """

    __slots__ = (
        "body",
        "connection",
        "done",
        "expected",
        "request",
        "settle_wait_ns",
        "start_timer",
        "timer",
        "unread_ns",
        "written",
    )

    def __init__(
        self,
        request: bytes | Outgoing,
        done: Callable[[AttemptResult, Response | None], None],
        body: Body | None = None,
        expected: ExpectedResponse = ExpectedResponse(),
    ) -> None:
        self.request: Outgoing = FixedRequest(request) if isinstance(request, bytes) else request
        self.body = body
        self.expected = expected
        self.done: Callable[[AttemptResult, Response | None], None] | None = done
        self.written = False
        self.connection: ExchangeConnection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.start_timer: asyncio.TimerHandle | None = None
        self.settle_wait_ns = 0
        self.unread_ns = 0

    def expire_in(self, seconds: float) -> None:
        """Set the time-out anew, from now on."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.expire)

    def start_within(self, seconds: float) -> None:
        """End it as not sent, unless a connection is up by then."""
        if self.connection is None and self.done is not None:
            self.start_timer = asyncio.get_running_loop().call_later(seconds, self._not_started)

    def _not_started(self) -> None:
        if self.connection is None:
            self.give_up(AttemptResult.NOT_SENT)

    def expire(self) -> None:
        """End it by its time-out.

        A request that was not written completely can't have run, and the close makes sure of that.
        """
        self.give_up(AttemptResult.TIMEOUT if self.written else AttemptResult.CONNECT_FAILED)

    def give_up(self, result: AttemptResult) -> None:
        """Stop waiting, and close the connection, so that the upstream notices."""
        connection = self.connection
        self.finish(result)
        if connection is not None:
            connection.abort()

    def connection_broken(self) -> None:
        """End it, as its connection broke."""
        self.finish(AttemptResult.RESET if self.written else AttemptResult.CONNECT_FAILED)

    def finish(self, result: AttemptResult, response: Response | None = None) -> None:
        """Report the end, unless that was done before."""
        for timer in (self.timer, self.start_timer):
            if timer is not None:
                timer.cancel()
        self.timer = None
        self.start_timer = None
        self.connection = None
        done = self.done
        self.done = None
        if done is not None:
            done(result, response)
