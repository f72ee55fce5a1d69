"""Upstreams of the current endpoint list, and the attempts and health checks sent to them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from loadbalancer.policy import api
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.connection_pool import ConnectionPool, Target
from loadbalancer.proxy.endpoint import Endpoint, UpstreamChange
from loadbalancer.proxy.exchange import Exchange, ExpectedResponse, Outgoing
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.messages import Response, message
from loadbalancer.proxy.parse import MAX_BODY
from loadbalancer.proxy.upstream_response import (
    LOAD_HEADER,
    LoadReport,
    attempt_result,
    health_check_result,
    read_load_report,
)

MAX_SEEN_NUMBERS = 10_000  # remembered ids: bounded, as new ids keep appearing
LOAD_PATH = b"/status/load"
HEALTH_PATH = b"/health"
AttemptCallback = Callable[[api.AttemptResult, Response | None, LoadReport], None]


@dataclass(frozen=True, slots=True)
class Timing:
    """The timers of an attempt.

    Attributes:
        timeout_s: Time from now until the attempt times out; None: no timeout.
        start_by_s: Time from now within which the attempt must start; 0: no limit.
        deadline_s: Time from now until the client's deadline; None: that is the timeout.
    """

    timeout_s: float | None
    start_by_s: float = 0.0
    deadline_s: float | None = None


@dataclass(frozen=True, slots=True)
class ExpectedBodies:
    """The bodies of an attempt.

    Attributes:
        request: The request's body, if it is streamed.
        head_only: The response has no body because the request is a HEAD request.
    """

    request: Body | None = None
    head_only: bool = False


class Upstreams:
    """Holds the listed upstreams, and sends attempts and health checks to them.

    Attributes:
        targets: The listed upstreams by number.
        disabled: Upstreams that an operator has disabled: no attempt or health check starts there.
        seen_numbers: Numbers of all upstreams that any list has contained, most recent last.
    """

    def __init__(
        self,
        limits: api.Limits,
        max_connections: int,
        columns: Collection[str],
        memory: MemoryAccount,
    ) -> None:
        self.pool = ConnectionPool(limits, max_connections, memory)
        self.columns = frozenset(columns)
        self.health_path = LOAD_PATH if columns else HEALTH_PATH
        self.targets: dict[int, Target] = {}
        self.disabled: set[int] = set()
        self.seen_numbers: dict[int, None] = {}
        self._expected = ExpectedResponse(MAX_BODY, memory)
        self._expected_head = ExpectedResponse(MAX_BODY, memory, head_only=True)

    # ---- the list --------------------------------------------------------------------------------

    def learn(self, endpoints: Iterable[Endpoint], full: bool) -> list[UpstreamChange]:
        """Apply an endpoint list.

        Idle connections to upstreams that are draining, were restarted, changed their address or
        were removed are closed at once.

        Args:
            endpoints: All entries, or the changed entries of a delta.
            full: Whether the list is complete, so that upstreams missing from it are removed.

        Returns:
            The upstreams whose state changed, or which were restarted.
        """
        named = set()
        changes: list[UpstreamChange] = []
        for new in endpoints:
            named.add(new.entry.id)
            self._record_number(new.entry.id)
            target = self.targets.get(new.entry.id)
            if new.entry.state is api.UpstreamState.REMOVED:
                changes += self._remove(new.entry.id)
                continue
            is_restarted = target is None or target.endpoint.process != new.process
            if target is None or is_restarted:
                # With a new target, connections of the old process that are still in use are closed
                # after their exchange.
                self._remove(new.entry.id)
                target = Target(new)
                self.targets[new.entry.id] = target
            if is_restarted or target.endpoint.entry.state is not new.entry.state:
                changes.append(new.change(new.entry.state))
            target.endpoint = new
            self._update_keep(target)
        if full:
            for removed in self.targets.keys() - named:
                changes += self._remove(removed)
        return changes

    def name(self, number: int) -> str:
        """Return the operators' id of an upstream, or its number if that is not known."""
        target = self.targets.get(number)
        return (target.endpoint.name if target is not None else "") or str(number)

    def set_trusted(self, trusted: bool) -> None:
        """Set whether the endpoint list is recent enough for attempts to start."""
        self.pool.trusted = trusted

    def set_disabled(self, number: int, is_disabled: bool) -> None:
        """Disable or enable an upstream."""
        if is_disabled:
            self.disabled.add(number)
        else:
            self.disabled.discard(number)
        target = self.targets.get(number)
        if target is not None:
            self._update_keep(target)

    def _record_number(self, number: int) -> None:
        if number not in self.seen_numbers:
            self.seen_numbers[number] = None
            if len(self.seen_numbers) > MAX_SEEN_NUMBERS:
                del self.seen_numbers[next(iter(self.seen_numbers))]

    def _update_keep(self, target: Target) -> None:
        """Update whether connections to a target are kept, and close idle ones if not."""
        entry = target.endpoint.entry
        target.keep = entry.state is api.UpstreamState.READY and entry.id not in self.disabled
        if not target.keep:
            self.pool.drop_idle(target)

    def _remove(self, number: int) -> list[UpstreamChange]:
        """Remove an upstream, and return the change, if it was listed."""
        target = self.targets.pop(number, None)
        if target is None:
            return []
        target.keep = False
        self.pool.drop_idle(target)
        return [target.endpoint.change(api.UpstreamState.REMOVED)]

    # ---- the cap on connections ------------------------------------------------------------------

    @property
    def connections_open(self) -> int:
        """Number of connections that are open or being opened."""
        return self.pool.connections

    def set_max_connections(self, connections: int) -> None:
        """Set the cap on all connections, and close idle connections that exceed it."""
        self.pool.set_max_connections(connections)

    # ---- attempts and health checks --------------------------------------------------------------

    def send(
        self,
        number: int,
        request: bytes | Outgoing,
        done: AttemptCallback,
        timing: Timing,
        bodies: ExpectedBodies = ExpectedBodies(),
    ) -> Exchange | None:
        """Start one attempt.

        `done` is never called before this method returns. If `timing` limits the start, the attempt
        ends as not sent unless a connection is established in time.

        Returns:
            The exchange; None if the upstream is not listed or is disabled.
        """
        target = self.targets.get(number)
        if target is None or number in self.disabled:
            return None

        def report_outcome(result: api.AttemptResult, response: Response | None) -> None:
            load = response.header(LOAD_HEADER) if response is not None else None
            done(attempt_result(result, response), response, read_load_report(load, self.columns))

        expected = self._expected_head if bodies.head_only else self._expected
        exchange = Exchange(request, report_outcome, bodies.request, expected)
        self.pool.start(target, exchange)
        if timing.start_by_s:
            exchange.start_within(timing.start_by_s)
        if timing.timeout_s is not None:
            # Set last, so that an exception above leaves no timer that reports a second outcome.
            exchange.expire_in(timing.timeout_s, timing.deadline_s)
        return exchange

    def check_health(
        self, number: int, done: Callable[[api.AttemptResult, LoadReport], None]
    ) -> bool:
        """Start a health check.

        Returns:
            False if the upstream is not listed or is disabled.
        """
        target = self.targets.get(number)
        if target is None or number in self.disabled:
            return False
        host = f"{target.endpoint.host}:{target.endpoint.port}".encode()

        def report_outcome(result: api.AttemptResult, response: Response | None) -> None:
            if response is None:
                done(result, None)
                return
            report = read_load_report(response.header(LOAD_HEADER) or response.body, self.columns)
            done(health_check_result(result, response), report)

        request = message(b"GET %b HTTP/1.1" % self.health_path, [(b"Host", host)])
        exchange = Exchange(request, report_outcome)
        self.pool.start(target, exchange)
        exchange.expire_in(self.pool.connect_timeout_s)
        return True

    def close(self) -> None:
        """Close all idle connections, and stop opening connections."""
        self.pool.close()
        for number in list(self.targets):
            self._remove(number)
