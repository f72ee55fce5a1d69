"""Discovery: the first list, the watch for changes, and what to do when it does not answer."""

from __future__ import annotations

import asyncio
import ipaddress
import json
import logging
import math
import random
import time
from collections.abc import Coroutine
from typing import Any

from loadbalancer.policy import api
from loadbalancer.proxy.discovery_watch import (
    POLL_TIMEOUT_S,
    DiscoveryWatch,
    PollKind,
    PollOutcome,
)
from loadbalancer.proxy.endpoint_staleness import EndpointStaleness
from loadbalancer.proxy.exchange import Exchange, ExpectedResponse
from loadbalancer.proxy.messages import Response, message
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream import Endpoint, number_of
from loadbalancer.proxy.upstream_connection import UpstreamConnection
from loadbalancer.settings import (
    Json,
    MalformedError,
    checked,
    choice,
    optional,
    required,
    split_address,
)

log = logging.getLogger(__name__)

MAX_LIST = 4 * 1024 * 1024
STATES = {
    "Ready": api.UpstreamState.READY,
    "Terminating": api.UpstreamState.DRAINING,
    "Gone": api.UpstreamState.REMOVED,
}
LATEST_MS = 1 << 53


class Unanswered(Exception):
    """A call failed: turned away, broken, or never connected."""


class Silent(Unanswered):
    """Nothing came in the time of the call."""


class Unread(Unanswered):
    """What came can't be read."""


def read_endpoint(row: Any) -> Endpoint:
    row = checked(row, "server", dict)
    state = choice(row, "state", STATES, "Ready")
    # What has gone needs no address.
    host, port = (
        split_address(required(row, "addr", str))
        if state is not api.UpstreamState.REMOVED
        else ("", 0)
    )
    try:
        ipaddress.ip_address(
            host or "::"
        )  # no name: looking one up takes a thread, and may take long
    except ValueError as error:
        raise MalformedError(f"addr: {error}") from None
    started_ms, weight = (
        optional(row, "started_ms", float, 0),
        float(optional(row, "weight", float, 1.0)),
    )
    if not (math.isfinite(weight) and 0 <= started_ms <= LATEST_MS):
        raise MalformedError("weight or started_ms is out of range")
    return Endpoint(
        api.Upstream(
            number_of(required(row, "id", str)),
            state,
            optional(row, "zone", str, ""),
            optional(row, "cell", int, 0),
            weight,
            kind=optional(row, "kind", str, ""),
        ),
        host,
        port,
        int(started_ms),
    )


def read_list(raw: Any) -> tuple[int, bool, list[Endpoint]]:
    """A list's version, whether it is whole, and its entries; those that can't be read are
    skipped.
    """
    raw = checked(raw, "list", dict)
    endpoints, skipped = [], []
    for row in required(raw, "servers", list):
        try:
            endpoints.append(read_endpoint(row))
        except MalformedError as error:
            skipped.append(error)
    if skipped:  # one line for a list, however long
        log.warning("discovery: %d entries skipped, the first for: %s", len(skipped), skipped[0])
    return required(raw, "version", int), optional(raw, "full", bool, False), endpoints


def end_of(error: Exception) -> PollOutcome:
    """How a call ended that raised this."""
    if isinstance(error, Silent):
        return PollOutcome.TIMED_OUT
    if isinstance(error, Unread | MalformedError):
        return PollOutcome.MALFORMED
    return PollOutcome.REFUSED if isinstance(error, Unanswered) else PollOutcome.FAILED


class Discovery:
    def __init__(self, driver: Driver, address: tuple[str, int], seed: int) -> None:
        self.driver = driver
        self.tell = self._tell  # who is told what comes
        self.address = address
        self.push = driver.settings.discovery_push
        self.watch = DiscoveryWatch(
            driver.settings.instance_count, driver.settings.instance_index, random.Random(seed)
        )
        self.staleness = EndpointStaleness(driver)
        self.version = -1
        self.answered_s = 0.0  # when it last said something, be it that nothing changed
        self.connection: UpstreamConnection | None = None
        self.watching = False
        self.task: asyncio.Task[None] | None = None  # the one that calls: a watch, or for one list

    def start(self, known: Json | None) -> None:
        """Begin from the list as last known, and watch at once where changes are pushed."""
        if known is not None:
            self.version, _, endpoints = read_list(known)
            self.watch.on_list_known()
            self.tell(api.EndpointListKind.CACHED, endpoints)
        if self.push:
            self.subscribe(True)

    def _tell(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        self.driver.learn(kind, endpoints)

    def subscribe(self, on: bool) -> None:
        self.watching = on
        self._run(self._watch() if on else None)

    def fetch(self) -> None:
        """Ask for the whole list; a watch begins anew with it."""
        self.watch.forget_list()
        self._run(self._watch() if self.watching else self._fetch())

    def move(self, address: tuple[str, int]) -> None:
        """Discovery is elsewhere from now on. What hangs at the old address, or waits to try it
        again, must not hold up the new one. That one counts its versions for itself: its first
        whole list stands.
        """
        self.address = address
        self.version = -1
        self.watch.forget_list()
        if self.connection is not None:
            self.connection.abort()
        if self.task is not None:  # also one that has failed, and waits to be told to ask again
            self.fetch()

    def close(self) -> None:
        self._run(None)
        if self.connection is not None:
            self.connection.abort()

    def _run(self, work: Coroutine[Any, Any, None] | None) -> None:
        """One call at a time: what was under way is dropped, its answer with it."""
        if self.task is not None:
            self.task.cancel()
        if work is None:
            self.staleness.close()
        self.task = asyncio.get_running_loop().create_task(work) if work is not None else None

    async def _watch(self) -> None:
        """Without a gap: each call follows on the answer before it."""
        while True:
            try:
                await self._call()
                pause_s = self.watch.on_outcome(PollOutcome.ANSWERED, time.monotonic())
            except Exception as error:
                pause_s = self.watch.on_outcome(end_of(error), time.monotonic())
                self._failed(error)  # the old list stands
                if self.watch.deadline_s is not None:
                    self.staleness.on_watch_silent(self.watch.deadline_s)
            if pause_s is None and not self.push:
                self.watching = False
                self.tell(api.EndpointListKind.FAILED, [])  # the module says when to ask again
                return
            await asyncio.sleep(self.watch.backoff_pause_s() if pause_s is None else pause_s)

    def _failed(self, error: Exception) -> None:
        """One line for what may happen. What nobody thought of must not end the watch for good,
        unseen.
        """
        expected = isinstance(error, Unanswered | MalformedError)
        log.warning(
            "discovery: %s", error or type(error).__name__, exc_info=None if expected else error
        )

    async def _fetch(self) -> None:
        try:
            await self._call()
            self.watch.on_list_known()
        except Exception as error:
            self._failed(error)
            self.tell(api.EndpointListKind.FAILED, [])

    async def _call(self) -> None:
        poll = self.watch.next_poll(time.monotonic())
        target = b"/v1/endpoints"
        if poll.kind is not PollKind.FULL_LIST:
            target += b"?from=%d&hold_ms=%d" % (self.version, poll.hold_ms)
        response = await self._get(target, poll.timeout_s)
        if response.status != 200:
            raise Unanswered(f"answered {response.status}")
        try:
            raw = json.loads(response.body)
        except (ValueError, RecursionError) as error:
            raise Unread(f"not JSON: {error}") from None
        version, full, endpoints = read_list(raw)
        self.answered_s = time.monotonic()
        # A list that is older than what is known, or no newer and partial, tells nothing.
        if version < self.version or (version == self.version and not full):
            endpoints, full = [], False
        self.version = max(self.version, version)
        self.staleness.on_answer()
        if endpoints or full or not self.push:
            self.tell(api.EndpointListKind.FULL if full else api.EndpointListKind.DELTA, endpoints)
        self.driver.starts.list_received(time.monotonic_ns())

    async def _get(self, target: bytes, wait_s: float | None) -> Response:
        """One answer; it may take so long, or what is left of `POLL_TIMEOUT_S` once there is a
        connection.
        """
        loop = asyncio.get_running_loop()
        by = loop.time() + POLL_TIMEOUT_S
        if self.connection is None or not self.connection.clear:
            if self.connection is not None:
                self.connection.abort()
            connection = UpstreamConnection(lambda c: None, lambda c: None)
            try:
                async with asyncio.timeout_at(by):
                    await loop.create_connection(lambda: connection, *self.address)
            except BaseException as error:
                connection.abort()  # it may still come up
                if isinstance(error, OSError):
                    raise Unanswered(f"no connection: {error or 'timed out'}") from None
                raise
            self.connection = connection
        answer: asyncio.Future[tuple[api.AttemptResult, Response | None]] = loop.create_future()

        def ended(result: api.AttemptResult, response: Response | None) -> None:
            if not answer.done():
                answer.set_result((result, response))

        host = f"{self.address[0]}:{self.address[1]}".encode()
        request = message(b"GET %b HTTP/1.1" % target, [(b"Host", host)])
        exchange = Exchange(request, ended, expected=ExpectedResponse(MAX_LIST))
        exchange.expire_in(by - loop.time() if wait_s is None else wait_s)
        self.connection.start(exchange)
        try:
            result, response = await answer
        finally:
            exchange.give_up(api.AttemptResult.CANCELLED)
        if response is None:
            kinds = {api.AttemptResult.TIMEOUT: Silent, api.AttemptResult.ERROR: Unread}
            raise kinds.get(result, Unanswered)(f"no answer: {result.value}")
        return response


class FixedList:
    """A list that the operators wrote down, where there is no discovery: it stands until they
    replace it.
    """

    def __init__(self, driver: Driver, servers: Json) -> None:
        self.driver = driver
        _, _, self.endpoints = read_list(servers)

    def start(self, known: Json | None) -> None:
        self.fetch()

    def replace(self, servers: Json) -> None:
        """What is not in the new list is gone at once."""
        _, _, self.endpoints = read_list(servers)
        self.fetch()

    def subscribe(self, on: bool) -> None:
        if on:
            self.fetch()

    def fetch(self) -> None:
        self.driver.learn(api.EndpointListKind.FULL, self.endpoints)

    def close(self) -> None:
        pass
