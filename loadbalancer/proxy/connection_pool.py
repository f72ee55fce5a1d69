"""Connections to upstreams: opened up to a cap, kept while idle, used again once they have settled.

A second response or noise that comes late behind a response would be taken for the next one's, as
nothing in the protocol marks it. So a connection rests behind each response before it is used
again. An exchange that finds none settled waits for the first that will be, which costs the
upstream less than a new one; where all are taken, or waits are frequent, one is opened. Once an
upstream has sent unrequested bytes, connections to all rest for longer, those to that upstream the
longest.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from functools import partial

from loadbalancer.errnos import Cause, Operation, cause
from loadbalancer.policy import api
from loadbalancer.policy.rules import Verdict, may_use
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.timers import call_after
from loadbalancer.proxy.upstream_connection import UpstreamConnection

log = logging.getLogger(__name__)

# Of the time after which upstreams close idle connections; then they are closed here.
IDLE_FRACTION = 0.6
# Longer than a second response lags behind the first one, with the delays of a busy host.
SETTLE_S = 0.02
SETTLE_CAUTIOUS_S = 0.03  # once any upstream has sent unrequested bytes
SETTLE_NOISY_S = 0.1  # the same, for connections to that upstream
NS_PER_S = 1e9
CAUTIOUS_S = 60.0  # how long that lasts
# A connection is opened where the rest takes longer, or so many waited within the window: a wait is
# short beside most deadlines, but not beside all.
MAX_SETTLE_WAIT_S = SETTLE_CAUTIOUS_S
MAX_WAITS = 1
WAIT_WINDOW_S = 1.0
LOCAL_RETRY_S = 0.02  # before a connect that failed by this machine's fault is tried again
SHORTAGE_LOG_S = 5.0  # between two log lines about one shortage


@dataclass(slots=True, eq=False)
class Target:
    """An upstream's address and its idle connections, the newest last.

    Attributes:
        keep: Whether connections that become free are kept.
        noisy_until_s: It has sent unrequested bytes; until then its connections rest for longer.
        waits: Exchanges that waited for a connection to rest, since `waits_from_s`.
    """

    endpoint: Endpoint
    idle: list[UpstreamConnection] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    keep: bool = True
    noisy_until_s: float = 0.0
    waits: int = 0
    waits_from_s: float = 0.0


class ConnectionPool:
    """The connections to all upstreams.

    Attributes:
        connections: Those that are open or being opened.
        trusted: Whether the endpoint list is recent enough for attempts to start.
        connecting: The tasks that open connections.
        cautious_until_s: An upstream has sent unrequested bytes; until then all rest for longer.
    """

    def __init__(self, limits: api.Limits, max_connections: int) -> None:
        self.connect_timeout_s = limits.connect_timeout_ns / 1e9
        self.idle_s = limits.conn_idle_ns * IDLE_FRACTION / 1e9
        self.max_connections = max_connections
        self.connections = 0
        self.trusted = True
        self.connecting: set[asyncio.Task[None]] = set()
        self.cautious_until_s = 0.0
        self._idle: dict[UpstreamConnection, None] = {}  # to any upstream, the oldest first
        self._next_shortage_log_s = 0.0

    def set_limit(self, connections: int) -> None:
        """Set the cap, connections in use included, and close idle ones beyond it."""
        self.max_connections = connections
        while self.connections > connections and self._close_oldest_idle():
            pass

    def start(self, target: Target, exchange: Exchange) -> None:
        """Run an exchange on an idle connection, or on a new one."""
        loop = asyncio.get_running_loop()
        connection = self._take_idle(target, loop.time())
        if connection is not None:
            connection.start(exchange, self._usable(target))
            return
        if self._wait_for_rest(target, exchange):
            return
        if self.connections >= self.max_connections and not self._close_oldest_idle():
            self._log_shortage("no connection to spare")
            loop.call_soon(exchange.give_up, api.AttemptResult.NOT_SENT)
            return
        self.connections += 1
        task = loop.create_task(self._connect(target, exchange))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    def drop_idle(self, target: Target) -> None:
        """Close a target's idle connections."""
        for connection in list(target.idle):
            connection.abort()
        if target.timer is not None:
            target.timer.cancel()
            target.timer = None

    def close(self) -> None:
        """Stop opening connections."""
        for task in self.connecting:
            task.cancel()

    def _usable(self, target: Target) -> Verdict:
        return may_use(target.keep, self.trusted)

    def _take_idle(self, target: Target, now_s: float) -> UpstreamConnection | None:
        """Take the newest connection that has settled: the others may rest on, and close."""
        while True:
            answered_before_s = now_s - self._settle_s(target, now_s)
            connection = next(
                (c for c in reversed(target.idle) if c.answered_s <= answered_before_s), None
            )
            if connection is None:
                return None
            self._take(target, connection)
            if connection.clear:
                return connection
            connection.abort()

    def _wait_for_rest(self, target: Target, exchange: Exchange) -> bool:
        """Start on the connection that settles first, once it has; False where there is none.

        It is the exchange's from now on, so that no other waits for the same one.
        """
        connection = min(target.idle, key=lambda c: c.answered_s, default=None)
        if connection is None:
            return False
        now_s = asyncio.get_running_loop().time()
        rest_s = connection.answered_s + self._settle_s(target, now_s) - now_s
        if rest_s > MAX_SETTLE_WAIT_S or self._are_waits_frequent(target, now_s):
            return False
        self._take(target, connection)
        call_after(rest_s, self._start_settled, target, connection, exchange, now_s)
        return True

    @staticmethod
    def _are_waits_frequent(target: Target, now_s: float) -> bool:
        """Count a wait. Where they are frequent there are too few connections, and it is none."""
        if now_s > target.waits_from_s + WAIT_WINDOW_S:
            target.waits_from_s = now_s
            target.waits = 0
        target.waits += 1
        if target.waits <= MAX_WAITS:
            return False
        target.waits = 0
        return True

    def _start_settled(
        self, target: Target, connection: UpstreamConnection, exchange: Exchange, since_s: float
    ) -> None:
        """Start on a connection that has rested, unless something came from there meanwhile."""
        now_s = asyncio.get_running_loop().time()
        exchange.rested_ns += int((now_s - since_s) * NS_PER_S)
        has_settled = connection.answered_s + self._settle_s(target, now_s) <= now_s
        if not connection.clear:
            connection.abort()
        elif exchange.done is not None and has_settled:
            self._start_on(connection, target, exchange)
            return
        else:
            self._release(target, connection)
        if exchange.done is not None:
            self.start(target, exchange)

    def _take(self, target: Target, connection: UpstreamConnection) -> None:
        """Take a connection from the idle ones."""
        target.idle.remove(connection)
        self._idle.pop(connection, None)

    def _settle_s(self, target: Target, now_s: float) -> float:
        """How long a connection to it has to rest behind a response before it is used again."""
        if now_s < target.noisy_until_s:
            return SETTLE_NOISY_S
        return SETTLE_CAUTIOUS_S if now_s < self.cautious_until_s else SETTLE_S

    def _log_shortage(self, what: str) -> None:
        """Log once in a while, not for each request: in a shortage all meet with it."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._next_shortage_log_s:
            self._next_shortage_log_s = now_s + SHORTAGE_LOG_S
            log.warning("%s: open=%d", what, self.connections)

    # ---- opening ---------------------------------------------------------------------------------

    async def _connect(self, target: Target, exchange: Exchange) -> None:
        connection = await self._dial(target, exchange)
        if connection is None:
            self.connections -= 1
        elif connection.closed:
            exchange.give_up(api.AttemptResult.CONNECT_FAILED)
        elif exchange.done is None:  # it is over by now: the connection serves the next one
            self._release(target, connection)
        else:
            self._start_on(connection, target, exchange)

    def _start_on(self, connection: UpstreamConnection, target: Target, exchange: Exchange) -> None:
        # The upstream may drain, have gone or restarted, or been disabled while the connection
        # came up: an attempt that started now would be a new one for it.
        try:
            connection.start(exchange, self._usable(target))
        except Exception:
            log.exception("attempt not started")
            connection.abort()
            exchange.give_up(
                api.AttemptResult.RESET if exchange.written else api.AttemptResult.NOT_SENT
            )

    async def _dial(self, target: Target, exchange: Exchange) -> UpstreamConnection | None:
        """Open a connection, and try again where this machine was at fault.

        Returns:
            The connection; None where none came up in time, and the exchange has ended.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self.connect_timeout_s
        while True:
            connection = UpstreamConnection(
                partial(self._release, target), partial(self._lost, target)
            )
            try:
                await self._open(target.endpoint, connection, until_s)
                return connection
            except Exception as error:  # noqa: BLE001 (OSError, or what a bad address may raise)
                self._connect_failed(connection, exchange, error, until_s)
            if exchange.done is None:
                return None
            await asyncio.sleep(LOCAL_RETRY_S)
            if exchange.done is None:
                return None

    def _connect_failed(
        self, connection: UpstreamConnection, exchange: Exchange, error: Exception, until_s: float
    ) -> None:
        """Clean up, and end the exchange unless the connect is to be tried again."""
        was_up = connection.transport is not None
        connection.abort()
        why = cause(Operation.CONNECT, error)
        now_s = asyncio.get_running_loop().time()
        if why is Cause.PEER:
            exchange.give_up(api.AttemptResult.CONNECT_FAILED)
        elif now_s + LOCAL_RETRY_S >= until_s:
            exchange.give_up(api.AttemptResult.NOT_SENT)
        if was_up:  # it was counted when it was lost
            self.connections += 1
        if why is Cause.HERE:
            self._log_shortage(f"connect failed on this machine: error={error}")
            self._close_oldest_idle()

    @staticmethod
    async def _open(endpoint: Endpoint, connection: UpstreamConnection, until_s: float) -> None:
        async with asyncio.timeout_at(until_s):
            await asyncio.get_running_loop().create_connection(
                lambda: connection, endpoint.host, endpoint.port
            )

    # ---- idle connections ------------------------------------------------------------------------

    def _release(self, target: Target, connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange is over."""
        if not target.keep:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        target.idle.append(connection)
        self._idle[connection] = None
        if target.timer is None:
            self._watch_idle(target)

    def _watch_idle(self, target: Target) -> None:
        """Set the target's one timer, for the oldest of its idle connections."""
        due_s = target.idle[0].idle_since + self.idle_s
        target.timer = call_after(
            due_s - asyncio.get_running_loop().time(), self._close_old_idle, target
        )

    def _close_old_idle(self, target: Target) -> None:
        # A request written to a connection that the upstream is just closing ends as a reset, and
        # may have run: none is used that comes near the upstream's own limit.
        target.timer = None
        now_s = asyncio.get_running_loop().time()
        for connection in [c for c in target.idle if c.idle_since + self.idle_s <= now_s]:
            connection.abort()
        if target.idle:
            self._watch_idle(target)

    def _lost(self, target: Target, connection: UpstreamConnection) -> None:
        if connection.noisy:
            self._note_noise(target)
        if connection.transport is not None:
            self.connections -= 1
        self._idle.pop(connection, None)
        if connection in target.idle:
            target.idle.remove(connection)

    def _note_noise(self, target: Target) -> None:
        """Have connections rest for longer from now on; logged once for each such time."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.cautious_until_s:
            endpoint = target.endpoint
            log.warning("unrequested bytes: upstream=%s:%d", endpoint.host, endpoint.port)
        target.noisy_until_s = now_s + CAUTIOUS_S
        self.cautious_until_s = now_s + CAUTIOUS_S

    def _close_oldest_idle(self) -> bool:
        oldest = next(iter(self._idle), None)
        if oldest is None:
            return False
        oldest.abort()
        return True
