"""One HTTP/1.1 exchange: a request and its outcome.

The request of an exchange is sent once; this module does not retry. An exchange records whether the
last byte of its request was written: if the connection breaks earlier, the request can't have run.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from loadbalancer.policy.api import AttemptResult
from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.policy.message_end import MIN_CHECK_NS, RESPONSE_PAUSE_NS
from loadbalancer.policy.rules import Allowed, Denied, Verdict, may_give_up
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.messages import Response
from loadbalancer.proxy.parse import MAX_BODY


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    @property
    def acknowledged_bytes(self) -> int:
        """Number of bytes that the upstream has acknowledged on this connection."""

    def abort(self) -> None:
        """Close the connection at once."""


class Outgoing(Protocol):
    """A request whose bytes are built when its connection is ready to send them."""

    def begin(self, upstream_verdict: Verdict) -> bytes | Denied:
        """Build the bytes to write now: the request without a streamed body.

        Args:
            upstream_verdict: Whether new requests may be sent to the upstream.
        """

    def may_finish(self) -> bool:
        """Return whether the last byte of a streamed body may be written now."""

    @property
    def name(self) -> str:
        """The request's id, for log lines."""


@dataclass(frozen=True, slots=True)
class FixedRequest:
    """A request whose bytes don't depend on the time of sending."""

    data: bytes

    def begin(self, upstream_verdict: Verdict) -> bytes | Denied:  # noqa: ARG002 (a health check is always sent)
        """Return the bytes."""
        return self.data

    def may_finish(self) -> bool:
        """Return True, because the request has no streamed body."""
        return True

    @property
    def name(self) -> str:
        """A dash, as there is no id."""
        return "-"


@dataclass(frozen=True, slots=True)
class ExpectedResponse:
    """Options for reading the response.

    Attributes:
        max_body: Bytes of the longest body that is buffered; a longer body is streamed.
        memory: Counts the buffered bytes of streamed bodies; None: a longer body is an error.
        head_only: The response has no body because the request is a HEAD request.
    """

    max_body: int = MAX_BODY
    memory: MemoryAccount | None = None
    head_only: bool = False


class Exchange:
    """A request and its outcome, which is reported exactly once.

    The outcome is OK with a response, or the reason why there is no response. The body of a long
    response is streamed, and may still fail after the outcome was reported.

    Attributes:
        body: The streamed body of the request.
        done: Called with the outcome; None: the exchange has ended.
        written: Whether the request's last byte was written to the socket.
        settle_wait_ns: How long the exchange waited for a connection to settle.
        unread_ns: How long the response was held by this process, or its last bytes were in the
            kernel's receive buffer, before it was forwarded.
        deadline_s: The client's deadline (event-loop time); inf: its time does not run yet.
        timeout_at_s: When the attempt is late (event-loop time).
        response_s: When the latest part of the response arrived (event-loop time); None: none has.
    """

    __slots__ = (
        "body",
        "connection",
        "deadline_s",
        "done",
        "expected",
        "request",
        "response_s",
        "settle_wait_ns",
        "start_timer",
        "timeout_at_s",
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
        self.deadline_s = math.inf
        self.timeout_at_s = math.inf
        self.response_s: float | None = None

    def expire_in(self, seconds: float, deadline_seconds: float | None = None) -> None:
        """Set or replace the timeout, counted from now.

        Args:
            seconds: Time until the attempt is late.
            deadline_seconds: Time until the client's deadline, if it is later: until then an
                attempt whose response is arriving goes on.
        """
        loop = asyncio.get_running_loop()
        if self.timer is not None:
            self.timer.cancel()
        self.deadline_s = loop.time() + (seconds if deadline_seconds is None else deadline_seconds)
        self.timeout_at_s = loop.time() + seconds
        self.timer = loop.call_later(seconds, self._late)

    def give_up_verdict(self, request_finished: bool, repeatable: bool = True) -> Verdict:
        """Return whether the exchange may be given up because it is late.

        Args:
            request_finished: Whether nobody waits for the response.
            repeatable: Whether the request may have a further attempt.
        """
        if self.response_s is None:
            return may_give_up(request_finished, None, repeatable)
        since_response_s = asyncio.get_running_loop().time() - self.response_s
        return may_give_up(request_finished, int(since_response_s * NS_PER_S), repeatable)

    def _late(self) -> None:
        """Expire, unless the response is arriving and the client still waits."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        is_over = now_s >= self.deadline_s
        if is_over or self.response_s is None or isinstance(self.give_up_verdict(False), Allowed):
            self.expire()
            return
        check_s = min(self.deadline_s, self.response_s + RESPONSE_PAUSE_NS / NS_PER_S)
        self.timer = loop.call_later(max(MIN_CHECK_NS / NS_PER_S, check_s - now_s), self._late)

    def start_within(self, seconds: float) -> None:
        """End the exchange as not sent unless it starts on a connection within this time."""
        if self.connection is None and self.done is not None:
            self.start_timer = asyncio.get_running_loop().call_later(seconds, self._not_started)

    def _not_started(self) -> None:
        if self.connection is None:
            self.give_up(AttemptResult.NOT_SENT)

    def expire(self) -> None:
        """End the exchange because of its timeout.

        A request that was not written completely can't have run, and closing the connection ensures
        that it never will: the result is a failed connect, not a timeout.
        """
        self.give_up(AttemptResult.TIMEOUT if self.written else AttemptResult.CONNECT_FAILED)

    def give_up(self, result: AttemptResult) -> None:
        """End the exchange, and close its connection so that the upstream can stop its work."""
        connection = self.connection
        self.finish(result)
        if connection is not None:
            connection.abort()

    def connection_broken(self) -> None:
        """End the exchange because its connection broke."""
        self.finish(AttemptResult.RESET if self.written else AttemptResult.CONNECT_FAILED)

    def finish(self, result: AttemptResult, response: Response | None = None) -> None:
        """Report the outcome, unless it was reported before."""
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
