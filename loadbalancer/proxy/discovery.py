"""Client of discovery: the first list, the watch for changes, and failed polls."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any, Final

from loadbalancer.policy import api
from loadbalancer.proxy.discovery_watch import (
    POLL_TIMEOUT_S,
    DiscoveryWatch,
    Poll,
    PollKind,
    PollOutcome,
)
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.endpoint_list import EndpointList, read_list
from loadbalancer.proxy.endpoint_staleness import EndpointStaleness
from loadbalancer.proxy.exchange import Exchange, ExpectedResponse
from loadbalancer.proxy.messages import Response, message
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream_connection import UpstreamConnection
from loadbalancer.settings import Json, MalformedError

log = logging.getLogger(__name__)

MAX_LIST_BYTES: Final = 4 * 1024 * 1024
PATH: Final = b"/v1/endpoints"
NO_VERSION: Final = -1  # older than any list's

ListListener = Callable[[api.EndpointListKind, list[Endpoint]], None]


class PollError(Exception):
    """A poll failed: rejected, broken, or never connected."""


class PollTimeoutError(PollError):
    """Nothing came in the time of the poll."""


class MalformedAnswerError(PollError):
    """What came can't be read."""


def poll_outcome(error: Exception) -> PollOutcome:
    """Return how a poll ended that raised this."""
    if isinstance(error, PollTimeoutError):
        return PollOutcome.TIMED_OUT
    if isinstance(error, MalformedAnswerError | MalformedError):
        return PollOutcome.MALFORMED
    return PollOutcome.REFUSED if isinstance(error, PollError) else PollOutcome.FAILED


def _ignore_connection(connection: UpstreamConnection) -> None:
    """Connections of discovery belong to no pool that would be notified."""


class Discovery:
    """Polls discovery, one poll at a time, and notifies a listener of lists and changes.

    Attributes:
        listener: Notified of lists, changes and failed polls; the policy's driver at first.
        version: Of the list that is known.
        answered_s: When discovery last answered, be it that nothing changed.
    """

    def __init__(self, driver: Driver, address: tuple[str, int], seed: int) -> None:
        settings = driver.settings
        self.driver = driver
        self.listener: ListListener = self._learn
        self.address = address
        self.is_pushed = settings.discovery_push
        self.watch = DiscoveryWatch(
            settings.instance_count, settings.instance_index, random.Random(seed)
        )
        self.staleness = EndpointStaleness(driver)
        self.version = NO_VERSION
        self.answered_s = 0.0
        self.connection: UpstreamConnection | None = None
        self.is_watching = False
        self.task: asyncio.Task[None] | None = None  # the one that polls

    def start(self, known: Json | None) -> None:
        """Begin from a cached list, if there is one, and watch at once where lists are pushed."""
        if known is not None:
            cached = read_list(known)
            self.version = cached.version
            self.watch.on_list_known()
            self.listener(api.EndpointListKind.CACHED, cached.endpoints)
        if self.is_pushed:
            self.subscribe(True)

    def _learn(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        self.driver.learn(kind, endpoints)

    def subscribe(self, on: bool) -> None:
        """Begin to watch, or end it."""
        self.is_watching = on
        self._run(self._watch() if on else None)

    def fetch(self) -> None:
        """Poll the full list; a watch begins anew with it."""
        self.watch.forget_list()
        self._run(self._watch() if self.is_watching else self._fetch())

    def change_address(self, address: tuple[str, int]) -> None:
        """Use discovery at another address from now on.

        What waits at the old address, or to retry it, must not hold up the new one. That one counts
        its versions for itself: its first full list is taken.
        """
        self.address = address
        self.version = NO_VERSION
        self.watch.forget_list()
        if self.connection is not None:
            self.connection.abort()
        if self.task is not None:  # also one that has failed, and waits to be polled again
            self.fetch()

    def close(self) -> None:
        """Stop polling."""
        self._run(None)
        if self.connection is not None:
            self.connection.abort()

    def _run(self, work: Coroutine[Any, Any, None] | None) -> None:
        """Replace the poll that is under way; its answer is dropped."""
        if self.task is not None:
            self.task.cancel()
        if work is None:
            self.staleness.close()
        self.task = asyncio.get_running_loop().create_task(work) if work is not None else None

    async def _watch(self) -> None:
        """Poll without a gap: each poll follows on the answer before it."""
        while True:
            try:
                await self._poll()
                pause_s = self.watch.on_outcome(PollOutcome.ANSWERED, time.monotonic())
            except Exception as error:  # noqa: BLE001 (an unexpected one must not end the watch)
                pause_s = self.watch.on_outcome(poll_outcome(error), time.monotonic())
                _log_failure(error)
                if self.watch.deadline_s is not None:
                    self.staleness.on_watch_silent(self.watch.deadline_s)
            if pause_s is None and not self.is_pushed:
                self.is_watching = False
                self.listener(api.EndpointListKind.FAILED, [])  # the policy polls again
                return
            await asyncio.sleep(self.watch.backoff_pause_s() if pause_s is None else pause_s)

    async def _fetch(self) -> None:
        try:
            await self._poll()
            self.watch.on_list_known()
        except Exception as error:  # noqa: BLE001 (the policy polls again, whatever it is)
            _log_failure(error)
            self.listener(api.EndpointListKind.FAILED, [])

    async def _poll(self) -> None:
        poll = self.watch.next_poll(time.monotonic())
        answer = _parse(await self._get(self._target(poll), poll.timeout_s))
        self.answered_s = time.monotonic()
        endpoints = answer.endpoints
        is_full = answer.is_full
        # A list that is older than what is known, or no newer and partial, tells nothing.
        if answer.version < self.version or (answer.version == self.version and not is_full):
            endpoints = []
            is_full = False
        self.version = max(self.version, answer.version)
        self.staleness.on_answer()
        if endpoints or is_full or not self.is_pushed:
            kind = api.EndpointListKind.FULL if is_full else api.EndpointListKind.DELTA
            self.listener(kind, endpoints)
        self.driver.starts.list_received(time.monotonic_ns())

    def _target(self, poll: Poll) -> bytes:
        if poll.kind is PollKind.FULL_LIST:
            return PATH
        return PATH + b"?from=%d&hold_ms=%d" % (self.version, poll.hold_ms)

    async def _get(self, target: bytes, timeout_s: float | None) -> Response:
        """Return one answer.

        Args:
            target: Of the request.
            timeout_s: Once there is a connection; None: what is left of `POLL_TIMEOUT_S`.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + POLL_TIMEOUT_S
        connection = await self._connect(deadline_s)
        answer: asyncio.Future[tuple[api.AttemptResult, Response | None]] = loop.create_future()

        def on_end(result: api.AttemptResult, response: Response | None) -> None:
            if not answer.done():
                answer.set_result((result, response))

        host = f"{self.address[0]}:{self.address[1]}".encode()
        request = message(b"GET %b HTTP/1.1" % target, [(b"Host", host)])
        exchange = Exchange(request, on_end, expected=ExpectedResponse(MAX_LIST_BYTES))
        exchange.expire_in(deadline_s - loop.time() if timeout_s is None else timeout_s)
        connection.start(exchange)
        try:
            result, response = await answer
        finally:
            exchange.give_up(api.AttemptResult.CANCELLED)
        if response is None:
            errors = {
                api.AttemptResult.TIMEOUT: PollTimeoutError,
                api.AttemptResult.ERROR: MalformedAnswerError,
            }
            raise errors.get(result, PollError)(f"no answer: {result.value}")
        return response

    async def _connect(self, deadline_s: float) -> UpstreamConnection:
        """Return a connection that is free for a request."""
        if self.connection is not None:
            if self.connection.clear:
                return self.connection
            self.connection.abort()
        connection = UpstreamConnection(_ignore_connection, _ignore_connection)
        try:
            async with asyncio.timeout_at(deadline_s):
                await asyncio.get_running_loop().create_connection(
                    lambda: connection, *self.address
                )
        except BaseException as error:
            connection.abort()  # it may still come up
            if isinstance(error, OSError):
                raise PollError(f"no connection: {error or 'timed out'}") from None
            raise
        self.connection = connection
        return connection


def _parse(response: Response) -> EndpointList:
    if response.status != HTTPStatus.OK:
        raise PollError(f"answered {response.status}")
    try:
        raw = json.loads(response.body)
    except (ValueError, RecursionError) as error:
        raise MalformedAnswerError(f"not JSON: {error}") from None
    return read_list(raw)


def _log_failure(error: Exception) -> None:
    """Log one line for an expected failure, and the traceback of any other."""
    is_expected = isinstance(error, PollError | MalformedError)
    log.warning(
        "discovery poll failed: error=%s",
        error or type(error).__name__,
        exc_info=None if is_expected else error,
    )
