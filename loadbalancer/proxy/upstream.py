"""The upstreams: where they are, the connections kept to them, attempts and probes."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import math
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from loadbalancer.errnos import Cause, Operation, cause
from loadbalancer.policy import api
from loadbalancer.policy.rules import Verdict, may_use
from loadbalancer.proxy.body_stream import Body, Store
from loadbalancer.proxy.http import Connection, Exchange, Outgoing
from loadbalancer.proxy.parse import MAX_BODY, Response, message
from loadbalancer.proxy.timers import call_after

log = logging.getLogger(__name__)

IDLE_PART = (
    0.6  # of the time after which upstreams close idle connections; then they are dropped here
)
# What comes late behind an answer, a second copy or noise, would be taken for the next one's, and
# nothing in the protocol marks it. So a connection is used again at once only if there is no other;
# once any upstream did so, none is for a while before it has rested for longer, those of that
# upstream the longest.
SETTLE_S, SETTLE_WARY_S, SETTLE_NOISY_S, NOISY_S = 0.002, 0.012, 0.05, 60.0
HERE_PAUSE_S = 0.02  # before what failed for want of something on this machine is tried again
QUIET_S = 5.0  # between two lines about one and the same shortage
NEVER_RAN = (503, 504)
MAX_LISTED = 10_000  # ids of upstreams that are remembered; in time they are ever new
Report = Mapping[str, float] | None
Done = Callable[[api.AttemptResult, Response | None, Report], None]


def number_of(name: str) -> int:
    """An upstream's id as the number that the module knows it by: the same on every balancer."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An upstream as discovery lists it: what the module is told, but for its start, which the
    driver reckons from the Unix time listed (0: long ago); and the address that the module is not
    told.
    """

    entry: api.Upstream
    host: str
    port: int
    started_ms: int = 0

    @property
    def process(self) -> tuple[str, int, int]:
        """Connections lead to one process: not to the one that takes its place."""
        return self.host, self.port, self.started_ms


@dataclass(frozen=True, slots=True)
class Timing:
    """How long an attempt may take, in seconds from now on, None: without a limit; and within how
    long it has to begin, 0: at any time.
    """

    timeout_s: float | None
    begin_s: float = 0.0


@dataclass(slots=True, eq=False)
class Target:
    """An upstream's address and its idle connections, the newest last."""

    endpoint: Endpoint
    idle: list[Connection] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    keep: bool = True  # connections that come free are kept
    noisy_until_s: float = 0.0  # it sent what nobody asked for


class Upstreams:
    def __init__(
        self, limits: api.Limits, max_connections: int, columns: Collection[str], store: Store
    ) -> None:
        self.store = store
        self.connect_timeout = limits.connect_timeout_ns / 1e9
        self.idle_s = limits.conn_idle_ns * IDLE_PART / 1e9
        self.max_connections = max_connections
        self.columns = frozenset(columns)
        self.probe_path = b"/status/load" if columns else b"/health"
        self.targets: dict[int, Target] = {}
        self.trusted = True  # the list is not older than a change may go unknown
        self.banned: set[int] = set()  # by operators: not probed, and no connection to one is kept
        self.listed: dict[int, None] = {}  # every upstream that a list named, the newest last
        self.connections = 0  # those open and those being opened
        self.resting: dict[
            Connection, None
        ] = {}  # idle connections to any upstream, the oldest first
        self.wary_until_s = 0.0  # an upstream sent what nobody asked for
        self.quiet_until = 0.0  # the shortage of connections is not logged again before
        self.connecting: set[asyncio.Task[None]] = set()

    # ---- the list --------------------------------------------------------------------------------

    def learn(self, endpoints: Iterable[Endpoint], full: bool) -> None:
        """Take in a list. Idle connections to what drains, restarted, moved or went are dropped at
        once.
        """
        seen = set()
        for new in endpoints:
            seen.add(new.entry.id)
            self._note(new.entry.id)
            old = self.targets.get(new.entry.id)
            if new.entry.state is api.UpstreamState.REMOVED:
                self._remove(new.entry.id)
                continue
            if old is None or old.endpoint.process != new.process:
                # A new target: connections in use that belong to the old one are not kept either.
                self._remove(new.entry.id)
                old = self.targets[new.entry.id] = Target(new)
            old.endpoint = new
            self._keep(old)
        if full:
            for gone in self.targets.keys() - seen:
                self._remove(gone)

    def _note(self, number: int) -> None:
        if number not in self.listed:
            self.listed[number] = None
            if len(self.listed) > MAX_LISTED:
                del self.listed[next(iter(self.listed))]

    def _keep(self, target: Target) -> None:
        """Are connections to it kept from now on?"""
        entry = target.endpoint.entry
        target.keep = entry.state is api.UpstreamState.READY and entry.id not in self.banned
        if not target.keep:
            self._drop_idle(target)

    def ban(self, number: int, on: bool) -> None:
        if on:
            self.banned.add(number)
        else:
            self.banned.discard(number)
        target = self.targets.get(number)
        if target is not None:
            self._keep(target)

    def _remove(self, number: int) -> None:
        target = self.targets.pop(number, None)
        if target is not None:
            target.keep = False
            self._drop_idle(target)

    # ---- the cap ---------------------------------------------------------------------------------

    @property
    def held(self) -> int:
        return self.connections

    def allow(self, connections: int) -> None:
        """From now on so many, those in use included."""
        self.max_connections = connections
        while self.connections > connections and self._make_room():
            pass

    # ---- attempts and probes ---------------------------------------------------------------------

    def send(
        self,
        number: int,
        request: bytes | Outgoing,
        done: Done,
        timing: Timing,
        body: Body | None = None,
        head_only: bool = False,
    ) -> Exchange | None:
        """Start one attempt; None if there is no such upstream, or operators took it out. The
        outcome never comes within this call. With a time to begin it is moot if no connection is up
        by then.
        """
        target = self.targets.get(number)
        if target is None or number in self.banned:
            return None

        def ended(result: api.AttemptResult, response: Response | None) -> None:
            report = self._report(response.header(b"x-load")) if response is not None else None
            done(outcome(result, response), response, report)

        exchange = Exchange(request, ended, MAX_BODY, body, self.store, head_only)
        self._start(target, exchange)
        if timing.begin_s:
            exchange.begin_in(timing.begin_s)
        if timing.timeout_s is not None:
            exchange.expire_in(
                timing.timeout_s
            )  # last: what could not start must not come to a second end
        return exchange

    def probe(self, number: int, done: Callable[[api.AttemptResult, Report], None]) -> bool:
        target = self.targets.get(number)
        if target is None or number in self.banned:
            return False
        host = f"{target.endpoint.host}:{target.endpoint.port}".encode()

        def ended(result: api.AttemptResult, response: Response | None) -> None:
            report = None
            if response is not None:
                if result is api.AttemptResult.OK and response.status == 503:
                    result = api.AttemptResult.REJECTED
                else:
                    result = outcome(result, response)
                report = self._report(response.header(b"x-load") or response.body)
            done(result, report)

        request = message(b"GET %b HTTP/1.1" % self.probe_path, [(b"Host", host)])
        exchange = Exchange(request, ended)
        self._start(target, exchange)
        exchange.expire_in(self.connect_timeout)
        return True

    def _report(self, text: bytes | None) -> Report:
        return read_report(text, self.columns)

    # ---- connections -----------------------------------------------------------------------------

    def _start(self, target: Target, exchange: Exchange) -> None:
        loop = asyncio.get_running_loop()
        connection = self._idle(target, loop.time())
        if connection is not None:
            connection.start(exchange, self._usable(target))
            return
        if self.connections >= self.max_connections and not self._make_room():
            self._short("no connection to spare")
            loop.call_soon(exchange.give_up, api.AttemptResult.NOT_SENT)
            return
        self.connections += 1
        task = loop.create_task(self._connect(target, exchange))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    def _usable(self, target: Target) -> Verdict:
        return may_use(target.keep, self.trusted)

    def _idle(self, target: Target, now: float) -> Connection | None:
        """The newest that has settled: the others may come to rest and close. Failing that the
        oldest, where no upstream was noisy.
        """
        while True:
            before_s = now - self._settle_s(target, now)
            connection = next((c for c in reversed(target.idle) if c.idle_since <= before_s), None)
            if connection is None and target.idle and now >= self.wary_until_s:
                connection = target.idle[0]
            if connection is None:
                return None
            target.idle.remove(connection)
            self.resting.pop(connection, None)
            if connection.clear:
                return connection
            connection.abort()

    def _settle_s(self, target: Target, now: float) -> float:
        """How long a connection to it has to rest before it is used again."""
        if now < target.noisy_until_s:
            return SETTLE_NOISY_S
        return SETTLE_WARY_S if now < self.wary_until_s else SETTLE_S

    def _short(self, what: str) -> None:
        """Said once in a while, not for each request: where it is short, all meet with it."""
        now = asyncio.get_running_loop().time()
        if now >= self.quiet_until:
            self.quiet_until = now + QUIET_S
            log.warning("%s; %d open", what, self.connections)

    async def _connect(self, target: Target, exchange: Exchange) -> None:
        connection = await self._dial(target, exchange)
        if connection is None:
            self.connections -= 1
        elif connection.closed:
            exchange.give_up(api.AttemptResult.CONNECT_FAILED)
        elif exchange.done is None:  # it is over by now: the connection serves the next one
            self._released(target, connection)
        else:
            # The upstream may drain, have gone or restarted, or been disabled while the connection
            # came up: an attempt that began now would be a new one for it.
            try:
                connection.start(exchange, self._usable(target))
            except Exception:  # its request is owed an end all the same
                log.exception("an attempt could not start")
                connection.abort()
                exchange.give_up(
                    api.AttemptResult.RESET if exchange.written else api.AttemptResult.NOT_SENT
                )

    async def _dial(self, target: Target, exchange: Exchange) -> Connection | None:
        """A connection that is up; None: there is none in its time, and the exchange has its end.
        What fails for want of something on this machine is tried again, and no word on the
        upstream.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self.connect_timeout
        while True:
            connection = Connection(
                lambda c: self._released(target, c), lambda c: self._lost(target, c)
            )
            try:
                await self._open(target.endpoint, connection, until_s)
                return connection
            except Exception as error:  # OSError, and whatever an address that is none may raise
                up = connection.transport is not None
                connection.abort()
                why = cause(Operation.CONNECT, error)
                if why is Cause.PEER or loop.time() + HERE_PAUSE_S >= until_s:
                    exchange.give_up(
                        api.AttemptResult.CONNECT_FAILED
                        if why is Cause.PEER
                        else api.AttemptResult.NOT_SENT
                    )
                if up:  # it was counted when it was lost
                    self.connections += 1
                if why is Cause.HERE:
                    self._short(f"no connection can be opened here: {error}")
                    self._make_room()
            if exchange.done is None:
                return None
            await asyncio.sleep(HERE_PAUSE_S)
            if exchange.done is None:
                return None

    @staticmethod
    async def _open(endpoint: Endpoint, connection: Connection, until_s: float) -> None:
        async with asyncio.timeout_at(until_s):
            await asyncio.get_running_loop().create_connection(
                lambda: connection, endpoint.host, endpoint.port
            )

    def _released(self, target: Target, connection: Connection) -> None:
        if not target.keep:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        target.idle.append(connection)
        self.resting[connection] = None
        if target.timer is None:
            self._watch_idle(target)

    def _watch_idle(self, target: Target) -> None:
        """One timer for each upstream that has idle connections, set for the oldest of them."""
        due = target.idle[0].idle_since + self.idle_s
        target.timer = call_after(due - asyncio.get_running_loop().time(), self._sweep, target)

    def _sweep(self, target: Target) -> None:
        # A request written to a connection that the upstream is just closing ends as a reset, and
        # may have run: none is used that comes near the upstream's own limit.
        target.timer = None
        now = asyncio.get_running_loop().time()
        for connection in [c for c in target.idle if c.idle_since + self.idle_s <= now]:
            connection.abort()
        if target.idle:
            self._watch_idle(target)

    def _lost(self, target: Target, connection: Connection) -> None:
        if connection.noisy:
            target.noisy_until_s = self.wary_until_s = asyncio.get_running_loop().time() + NOISY_S
        if connection.transport is not None:
            self.connections -= 1
        self.resting.pop(connection, None)
        if connection in target.idle:
            target.idle.remove(connection)

    def _drop_idle(self, target: Target) -> None:
        for connection in list(target.idle):
            connection.abort()
        if target.timer is not None:
            target.timer.cancel()
            target.timer = None

    def _make_room(self) -> bool:
        """At the cap: close the connection that has been idle longest."""
        oldest = next(iter(self.resting), None)
        if oldest is None:
            return False
        oldest.abort()
        return True

    def close(self) -> None:
        for task in self.connecting:
            task.cancel()
        for number in list(self.targets):
            self._remove(number)


def outcome(result: api.AttemptResult, response: Response | None) -> api.AttemptResult:
    """What an upstream's answer means."""
    if result is not api.AttemptResult.OK or response is None:
        return result
    if response.status == 200:
        return api.AttemptResult.OK
    if response.status in NEVER_RAN and response.header(b"x-not-run") == b"1":
        return api.AttemptResult.REJECTED
    return api.AttemptResult.ERROR


def read_report(text: bytes | None, columns: Collection[str]) -> Report:
    """`inflight=7,queue=2`: what can be read of it, and was agreed on. A figure that is no amount
    of anything must not reach the decisions: comparisons with not-a-number hold for nobody.
    """
    if text is None:
        return None
    report = {}
    for part in text.decode("latin-1").split(","):
        name, _, value = part.strip().partition("=")
        try:
            figure = float(value)
        except ValueError:
            continue
        if name in columns and math.isfinite(figure) and figure >= 0:
            report[name] = figure
    return report or None
