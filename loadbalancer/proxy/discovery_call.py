"""Polls of discovery in flight: each on a connection of its own, and answered at its own time."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from loadbalancer.policy import api
from loadbalancer.proxy.discovery_watch import (
    MAX_ANSWER_S,
    MAX_LATE_POLLS,
    MS_PER_S,
    Poll,
    PollOutcome,
)
from loadbalancer.proxy.endpoint_list import EndpointList, read_list
from loadbalancer.proxy.exchange import Exchange, ExpectedResponse
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.messages import Response
from loadbalancer.proxy.upstream_connection import UpstreamConnection
from loadbalancer.settings import MalformedError

MAX_LIST_BYTES: Final = 4 * 1024 * 1024


class PollError(Exception):
    """A poll failed.

    Raised itself if the poll was rejected, its connection broke, or none was established.
    """


class PollTimeoutError(PollError):
    """No answer arrived within the poll's timeout."""


class MalformedAnswerError(PollError):
    """The answer is malformed."""


def poll_outcome(error: Exception) -> PollOutcome:
    """Return the outcome of a poll that raised this error."""
    if isinstance(error, PollTimeoutError):
        return PollOutcome.TIMED_OUT
    if isinstance(error, MalformedAnswerError | MalformedError):
        return PollOutcome.MALFORMED
    return PollOutcome.REFUSED if isinstance(error, PollError) else PollOutcome.FAILED


async def open_connection(
    address: tuple[str, int], deadline_s: float, memory: MemoryAccount
) -> UpstreamConnection:
    """Return a new connection to discovery, by this time of the event loop.

    Raises:
        PollError: There is none.
    """
    connection = UpstreamConnection(_ignore_connection, _ignore_connection, memory)
    try:
        async with asyncio.timeout_at(deadline_s):
            await asyncio.get_running_loop().create_connection(lambda: connection, *address)
    except BaseException as error:
        connection.abort()  # the connect may have completed although it was cancelled
        if isinstance(error, OSError):
            raise PollError(f"no connection: {error or 'timed out'}") from None
        raise
    return connection


def parse_answer(response: Response) -> EndpointList:
    """Return the list, or the changes, in a response.

    Raises:
        PollError: The response is no valid answer.
        MalformedError: The list is malformed.
    """
    if response.status != HTTPStatus.OK:
        raise PollError(f"answered {response.status}")
    try:
        raw = json.loads(response.body)
    except (ValueError, RecursionError) as error:
        raise MalformedAnswerError(f"not JSON: {error}") from None
    return read_list(raw)


class DiscoveryCall:
    """One poll in flight.

    Args:
        poll: The poll.
        connection: The connection that carries it, and nothing else until it has ended.
        request: The bytes of the request.
        on_ended: Called once when the poll has an outcome.

    Attributes:
        connection: The connection.
        has_ended: Whether the poll has an outcome.
    """

    def __init__(
        self,
        poll: Poll,
        connection: UpstreamConnection,
        request: bytes,
        on_ended: Callable[[DiscoveryCall], None],
    ) -> None:
        self.poll = poll
        self.connection = connection
        self.has_ended = False
        self._on_ended = on_ended
        self._result = api.AttemptResult.CANCELLED
        self._response: Response | None = None
        self._exchange = Exchange(request, self._end, expected=ExpectedResponse(MAX_LIST_BYTES))
        self._exchange.expire_in(poll.hold_ms / MS_PER_S + MAX_ANSWER_S)

    def start(self) -> None:
        """Send the request."""
        self.connection.start(self._exchange)

    def give_up(self) -> None:
        """Close the connection, so that discovery can stop its work; nobody is called."""
        self._on_ended = _ignore_call
        self._exchange.give_up(api.AttemptResult.CANCELLED)

    def response(self) -> Response:
        """Return the response, once the poll has ended.

        Raises:
            PollError: There is none.
        """
        if self._response is not None:
            return self._response
        errors = {
            api.AttemptResult.TIMEOUT: PollTimeoutError,
            api.AttemptResult.ERROR: MalformedAnswerError,
        }
        raise errors.get(self._result, PollError)(f"no answer: {self._result.value}")

    def _end(self, result: api.AttemptResult, response: Response | None) -> None:
        self._result = result
        self._response = response
        self.has_ended = True
        self._on_ended(self)


def _ignore_connection(connection: UpstreamConnection) -> None:
    """Ignore a released or lost connection: connections to discovery belong to no pool."""


def _ignore_call(_call: DiscoveryCall) -> None:
    """Do nothing: the answer is not wanted."""


class LateCalls:
    """Polls that have timed out and stay in flight, oldest first; there are few at most."""

    def __init__(self) -> None:
        self._calls: list[DiscoveryCall] = []

    def add(self, call: DiscoveryCall) -> None:
        """Add a poll; if there are too many, give up the newest of the others.

        The oldest is kept: if discovery is slow, its answer arrives first.
        """
        if len(self._calls) >= MAX_LATE_POLLS:
            self._calls.pop().give_up()
        self._calls.append(call)

    def remove(self, call: DiscoveryCall) -> bool:
        """Remove a poll that has ended; return whether it was among them."""
        if call not in self._calls:
            return False
        self._calls.remove(call)
        return True

    def give_up_before(self, poll: Poll) -> None:
        """Give up the polls that were sent before one that is answered: it has all their news."""
        older = [call for call in self._calls if call.poll.started_s < poll.started_s]
        for call in older:
            self._calls.remove(call)
            call.give_up()

    def give_up(self) -> None:
        """Give up all."""
        calls, self._calls = self._calls, []
        for call in calls:
            call.give_up()
