"""The upstreams: the endpoint list as it stands, attempts and health checks."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from loadbalancer.policy import api
from loadbalancer.proxy.body_stream import Body, BodyMemory
from loadbalancer.proxy.connection_pool import ConnectionPool, Target
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.exchange import Exchange, ExpectedResponse, Outgoing
from loadbalancer.proxy.messages import Response, message
from loadbalancer.proxy.parse import MAX_BODY
from loadbalancer.proxy.upstream_response import (
    LOAD_HEADER,
    Report,
    attempt_result,
    health_check_result,
    read_report,
)

MAX_KNOWN_NUMBERS = 10_000  # ids of upstreams that are remembered; in time they are ever new
LOAD_PATH = b"/status/load"
HEALTH_PATH = b"/health"
Done = Callable[[api.AttemptResult, Response | None, Report], None]


@dataclass(frozen=True, slots=True)
class Timing:
    """The timers of an attempt.

    Attributes:
        timeout_s: How long it may take from now on; None: without a limit.
        start_by_s: Within how long it has to start; 0: at any time.
    """

    timeout_s: float | None
    start_by_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ExpectedBodies:
    """The bodies of an attempt.

    Attributes:
        request: The request's body, where it comes in pieces.
        head_only: The response has no body, as to a HEAD request.
    """

    request: Body | None = None
    head_only: bool = False


class Upstreams:
    """Knows the listed upstreams, and starts attempts and health checks at them.

    Attributes:
        targets: The listed upstreams by number.
        disabled: Upstreams that operators disabled: nothing starts there.
        known_numbers: Every upstream that a list has named, the newest last.
    """

    def __init__(
        self,
        limits: api.Limits,
        max_connections: int,
        columns: Collection[str],
        memory: BodyMemory,
    ) -> None:
        self.pool = ConnectionPool(limits, max_connections)
        self.columns = frozenset(columns)
        self.health_path = LOAD_PATH if columns else HEALTH_PATH
        self.targets: dict[int, Target] = {}
        self.disabled: set[int] = set()
        self.known_numbers: dict[int, None] = {}
        self._expected = ExpectedResponse(MAX_BODY, memory)
        self._expected_head = ExpectedResponse(MAX_BODY, memory, head_only=True)

    # ---- the list --------------------------------------------------------------------------------

    def learn(self, endpoints: Iterable[Endpoint], full: bool) -> None:
        """Take in a list.

        Idle connections to upstreams that drain, restarted, moved or went are closed at once.

        Args:
            endpoints: The entries; of a delta, those that changed.
            full: Whether upstreams that it does not name are gone.
        """
        named = set()
        for new in endpoints:
            named.add(new.entry.id)
            self._remember(new.entry.id)
            target = self.targets.get(new.entry.id)
            if new.entry.state is api.UpstreamState.REMOVED:
                self._remove(new.entry.id)
                continue
            if target is None or target.endpoint.process != new.process:
                # A new target: connections in use that belong to the old one are not kept either.
                self._remove(new.entry.id)
                target = Target(new)
                self.targets[new.entry.id] = target
            target.endpoint = new
            self._update_keep(target)
        if full:
            for gone in self.targets.keys() - named:
                self._remove(gone)

    def trust(self, trusted: bool) -> None:
        """Note whether the list is recent enough for attempts to start."""
        self.pool.trusted = trusted

    def set_disabled(self, number: int, is_disabled: bool) -> None:
        """Disable an upstream, or enable it again."""
        if is_disabled:
            self.disabled.add(number)
        else:
            self.disabled.discard(number)
        target = self.targets.get(number)
        if target is not None:
            self._update_keep(target)

    def _remember(self, number: int) -> None:
        if number not in self.known_numbers:
            self.known_numbers[number] = None
            if len(self.known_numbers) > MAX_KNOWN_NUMBERS:
                del self.known_numbers[next(iter(self.known_numbers))]

    def _update_keep(self, target: Target) -> None:
        """Decide whether connections to it are kept from now on."""
        entry = target.endpoint.entry
        target.keep = entry.state is api.UpstreamState.READY and entry.id not in self.disabled
        if not target.keep:
            self.pool.drop_idle(target)

    def _remove(self, number: int) -> None:
        target = self.targets.pop(number, None)
        if target is not None:
            target.keep = False
            self.pool.drop_idle(target)

    # ---- the cap on connections ------------------------------------------------------------------

    @property
    def connections_open(self) -> int:
        """Connections that are open or being opened."""
        return self.pool.connections

    def set_limit(self, connections: int) -> None:
        """Set the cap on connections, those in use included."""
        self.pool.set_limit(connections)

    # ---- attempts and health checks --------------------------------------------------------------

    def send(
        self,
        number: int,
        request: bytes | Outgoing,
        done: Done,
        timing: Timing,
        bodies: ExpectedBodies = ExpectedBodies(),
    ) -> Exchange | None:
        """Start one attempt.

        Its outcome never comes within this call. With a time to start by, it ends as not sent if
        no connection is up by then.

        Returns:
            The exchange; None where there is no such upstream, or operators disabled it.
        """
        target = self.targets.get(number)
        if target is None or number in self.disabled:
            return None

        def ended(result: api.AttemptResult, response: Response | None) -> None:
            load = response.header(LOAD_HEADER) if response is not None else None
            done(attempt_result(result, response), response, read_report(load, self.columns))

        expected = self._expected_head if bodies.head_only else self._expected
        exchange = Exchange(request, ended, bodies.request, expected)
        self.pool.start(target, exchange)
        if timing.start_by_s:
            exchange.start_within(timing.start_by_s)
        if timing.timeout_s is not None:
            # Last: what could not start must not come to a second end.
            exchange.expire_in(timing.timeout_s)
        return exchange

    def probe(self, number: int, done: Callable[[api.AttemptResult, Report], None]) -> bool:
        """Start a health check; False where there is no such upstream, or it is disabled."""
        target = self.targets.get(number)
        if target is None or number in self.disabled:
            return False
        host = f"{target.endpoint.host}:{target.endpoint.port}".encode()

        def ended(result: api.AttemptResult, response: Response | None) -> None:
            if response is None:
                done(result, None)
                return
            report = read_report(response.header(LOAD_HEADER) or response.body, self.columns)
            done(health_check_result(result, response), report)

        request = message(b"GET %b HTTP/1.1" % self.health_path, [(b"Host", host)])
        exchange = Exchange(request, ended)
        self.pool.start(target, exchange)
        exchange.expire_in(self.pool.connect_timeout_s)
        return True

    def close(self) -> None:
        """Close all connections that are not in use, and open no more."""
        self.pool.close()
        for number in list(self.targets):
            self._remove(number)
