"""Connection pool for upstreams, with a cap on open connections and a settle time before reuse.

HTTP/1.1 does not mark which request a response belongs to. If an upstream sends a second response
or stray bytes shortly after a complete response, and the connection has been reused by then, those
bytes are read as the response to the next request. A connection is therefore not reused until a
settle time has passed since its last response. If all idle connections are still settling, an
exchange waits for the one that settles first, because a new connection costs the upstream more than
the wait. A new connection is opened if there is no idle connection, if the wait would be too long,
or if exchanges had to wait often. After an upstream has sent unrequested bytes, the settle time of
all connections is longer for some time, and that of connections to this upstream the longest.
"""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from functools import partial

from loadbalancer.errnos import Cause, Operation, cause
from loadbalancer.policy import api
from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.policy.rules import Verdict, may_use
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.message_end_log import MessageEndLog
from loadbalancer.proxy.timers import call_after
from loadbalancer.proxy.upstream_connection import UpstreamConnection, UpstreamLog

log = logging.getLogger(__name__)

# Idle connections are closed after this fraction of the time after which upstreams close them.
IDLE_FRACTION = 0.6
# Longer than the time between a response and a second, unrequested one, on a busy host too.
SETTLE_S = 0.02
SETTLE_CAUTIOUS_S = 0.03  # after any upstream has sent unrequested bytes
SETTLE_NOISY_S = 0.1  # for connections to the upstream that has sent unrequested bytes
CAUTIOUS_PERIOD_S = 60.0  # how long the longer settle times apply
# A new connection is opened if the settle time takes longer than MAX_SETTLE_WAIT_S, or if more than
# MAX_SETTLE_WAITS exchanges had to wait within WAIT_WINDOW_S. A wait is short compared with most
# deadlines, but not with all of them.
MAX_SETTLE_WAIT_S = SETTLE_CAUTIOUS_S
MAX_SETTLE_WAITS = 1
WAIT_WINDOW_S = 1.0
LOCAL_RETRY_S = 0.02  # pause before the retry of a connect that failed on this machine
SHORTAGE_LOG_S = 5.0  # minimum time between two log lines about a shortage


@dataclass(slots=True, eq=False)
class Target:
    """An upstream's address and its idle connections, the newest last.

    Attributes:
        keep: Whether connections are kept for reuse after an exchange.
        noisy_until_s: Until when its settle time is longer because it has sent unrequested bytes.
        settle_waits: Exchanges that waited for a connection to settle since `wait_window_start_s`.
    """

    endpoint: Endpoint
    idle: list[UpstreamConnection] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    keep: bool = True
    noisy_until_s: float = 0.0
    settle_waits: int = 0
    wait_window_start_s: float = 0.0


class ConnectionPool:
    """The connections to all upstreams.

    Attributes:
        connections: Number of connections that are open or being opened.
        trusted: Whether the endpoint list is recent enough for attempts to start.
        connecting: The tasks that open connections.
        message_ends: Logs the messages that ended in transit.
        cautious_until_s: Until when the settle time of all connections is longer because an
            upstream has sent unrequested bytes.
    """

    def __init__(self, limits: api.Limits, max_connections: int, memory: MemoryAccount) -> None:
        self.memory = memory
        self.connect_timeout_s = limits.connect_timeout_ns / 1e9
        self.idle_s = limits.conn_idle_ns * IDLE_FRACTION / 1e9
        self.max_connections = max_connections
        self.connections = 0
        self.trusted = True
        self.connecting: set[asyncio.Task[None]] = set()
        self.cautious_until_s = 0.0
        self._idle: dict[UpstreamConnection, None] = {}  # to all upstreams, longest idle first
        self._next_shortage_log_s = 0.0
        self.message_ends = MessageEndLog()

    def set_max_connections(self, connections: int) -> None:
        """Set the cap on all connections, and close idle connections that exceed it."""
        self.max_connections = connections
        while self.connections > connections and self._close_oldest_idle():
            pass

    def start(self, target: Target, exchange: Exchange) -> None:
        """Run an exchange on an idle connection, or on a new connection."""
        loop = asyncio.get_running_loop()
        connection = self._take_idle(target, loop.time())
        if connection is not None:
            connection.start(exchange, self._upstream_verdict(target))
            return
        if self._wait_until_settled(target, exchange):
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

    def _upstream_verdict(self, target: Target) -> Verdict:
        return may_use(target.keep, self.trusted)

    def _take_idle(self, target: Target, now_s: float) -> UpstreamConnection | None:
        """Take the most recently used connection that has settled.

        The others stay idle, and may reach the idle timeout and be closed.
        """
        while True:
            settled_before_s = now_s - self._settle_s(target, now_s)
            connection = next(
                (c for c in reversed(target.idle) if c.response_end_s <= settled_before_s), None
            )
            if connection is None:
                return None
            self._remove_idle(target, connection)
            if connection.reusable:
                return connection
            connection.abort()

    def _wait_until_settled(self, target: Target, exchange: Exchange) -> bool:
        """Start an exchange on the connection that settles first, as soon as it has settled.

        The connection is reserved for the exchange, so that no other exchange waits for it too.

        Returns:
            False if no connection is idle, the wait would be too long, or waits are frequent.
        """
        connection = min(target.idle, key=lambda c: c.response_end_s, default=None)
        if connection is None:
            return False
        now_s = asyncio.get_running_loop().time()
        settle_wait_s = connection.response_end_s + self._settle_s(target, now_s) - now_s
        if settle_wait_s > MAX_SETTLE_WAIT_S or self._are_waits_frequent(target, now_s):
            return False
        self._remove_idle(target, connection)
        call_after(settle_wait_s, self._start_settled, target, connection, exchange, now_s)
        return True

    @staticmethod
    def _are_waits_frequent(target: Target, now_s: float) -> bool:
        """Count a wait, and return whether waits are frequent.

        Frequent waits mean that there are too few connections: the caller opens a new one instead.
        """
        if now_s > target.wait_window_start_s + WAIT_WINDOW_S:
            target.wait_window_start_s = now_s
            target.settle_waits = 0
        target.settle_waits += 1
        if target.settle_waits <= MAX_SETTLE_WAITS:
            return False
        target.settle_waits = 0
        return True

    def _start_settled(
        self,
        target: Target,
        connection: UpstreamConnection,
        exchange: Exchange,
        wait_start_s: float,
    ) -> None:
        """Start an exchange on a reserved connection, unless it received something meanwhile.

        If the connection can't be reused, or the settle time has become longer, the pool starts the
        exchange again.
        """
        now_s = asyncio.get_running_loop().time()
        exchange.settle_wait_ns += int((now_s - wait_start_s) * NS_PER_S)
        has_settled = connection.response_end_s + self._settle_s(target, now_s) <= now_s
        if not connection.reusable:
            connection.abort()
        elif exchange.done is not None and has_settled:
            self._start_on(connection, target, exchange)
            return
        else:
            self._release(target, connection)
        if exchange.done is not None:
            self.start(target, exchange)

    def _remove_idle(self, target: Target, connection: UpstreamConnection) -> None:
        """Remove a connection from the idle connections."""
        target.idle.remove(connection)
        self._idle.pop(connection, None)

    def _settle_s(self, target: Target, now_s: float) -> float:
        """Return how long a connection must stay idle after a response before it is reused."""
        if now_s < target.noisy_until_s:
            return SETTLE_NOISY_S
        return SETTLE_CAUTIOUS_S if now_s < self.cautious_until_s else SETTLE_S

    def _log_shortage(self, problem: str) -> None:
        """Log a shortage, at a limited rate because it affects every request."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._next_shortage_log_s:
            self._next_shortage_log_s = now_s + SHORTAGE_LOG_S
            log.warning("%s: open=%d", problem, self.connections)

    # ---- opening ---------------------------------------------------------------------------------

    async def _connect(self, target: Target, exchange: Exchange) -> None:
        connection = await self._dial(target, exchange)
        if connection is None:
            self.connections -= 1
        elif connection.closed:
            exchange.give_up(api.AttemptResult.CONNECT_FAILED)
        elif exchange.done is None:  # it ended during the connect: keep the connection for others
            self._release(target, connection)
        else:
            self._start_on(connection, target, exchange)

    def _start_on(self, connection: UpstreamConnection, target: Target, exchange: Exchange) -> None:
        # While the connection was being established or was settling, the upstream may have started
        # to drain, been removed, been restarted or been disabled. The verdict is therefore
        # determined again: such an upstream must not receive a new attempt.
        try:
            connection.start(exchange, self._upstream_verdict(target))
        except Exception:
            log.exception("attempt not started")
            connection.abort()
            exchange.give_up(
                api.AttemptResult.RESET if exchange.written else api.AttemptResult.NOT_SENT
            )

    async def _dial(self, target: Target, exchange: Exchange) -> UpstreamConnection | None:
        """Open a connection, and retry connects that failed because of this machine.

        Returns:
            The connection; None if none was established in time, or the exchange has ended.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self.connect_timeout_s
        while True:
            connection = UpstreamConnection(
                partial(self._release, target),
                partial(self._on_connection_lost, target),
                self.memory,
                UpstreamLog(target.endpoint.name, self.message_ends),
            )
            try:
                await self._open(target.endpoint, connection, deadline_s)
                return connection
            except Exception as error:  # noqa: BLE001 (OSError, or any error for a malformed address)
                self._connect_failed(connection, exchange, error, deadline_s)
            if exchange.done is None:
                return None
            await asyncio.sleep(LOCAL_RETRY_S)
            if exchange.done is None:
                return None

    def _connect_failed(
        self,
        connection: UpstreamConnection,
        exchange: Exchange,
        error: Exception,
        deadline_s: float,
    ) -> None:
        """Clean up after a failed connect, and end the exchange unless the connect is retried."""
        was_established = connection.transport.is_connected
        connection.abort()
        failure_cause = cause(Operation.CONNECT, error)
        now_s = asyncio.get_running_loop().time()
        if failure_cause is Cause.PEER:
            exchange.give_up(api.AttemptResult.CONNECT_FAILED)
        elif now_s + LOCAL_RETRY_S >= deadline_s:
            exchange.give_up(api.AttemptResult.NOT_SENT)
        if was_established:  # its close has already decremented the count
            self.connections += 1
        if failure_cause is Cause.LOCAL:
            self._log_shortage(f"connect failed on this machine: error={error}")
            self._close_oldest_idle()

    @staticmethod
    async def _open(endpoint: Endpoint, connection: UpstreamConnection, deadline_s: float) -> None:
        async with asyncio.timeout_at(deadline_s):
            await asyncio.get_running_loop().create_connection(
                lambda: connection, endpoint.host, endpoint.port
            )

    # ---- idle connections ------------------------------------------------------------------------

    def _release(self, target: Target, connection: UpstreamConnection) -> None:
        """Keep a connection as idle after its exchange, or close it."""
        if not target.keep:
            connection.abort()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        target.idle.append(connection)
        self._idle[connection] = None
        if target.timer is None:
            self._schedule_idle_timer(target)

    def _schedule_idle_timer(self, target: Target) -> None:
        """Set the target's timer for its connection that has been idle longest."""
        expires_s = target.idle[0].idle_since + self.idle_s
        target.timer = call_after(
            expires_s - asyncio.get_running_loop().time(), self._close_expired_idle, target
        )

    def _close_expired_idle(self, target: Target) -> None:
        # If a request crosses the upstream's close of an idle connection, the upstream answers with
        # a reset, and this side can't tell whether the request ran. Connections are therefore
        # closed here before they reach the upstream's own idle timeout.
        target.timer = None
        now_s = asyncio.get_running_loop().time()
        for connection in [c for c in target.idle if c.idle_since + self.idle_s <= now_s]:
            connection.abort()
        if target.idle:
            self._schedule_idle_timer(target)

    def _on_connection_lost(self, target: Target, connection: UpstreamConnection) -> None:
        if connection.has_unrequested_bytes:
            self._on_unrequested_bytes(target)
        if connection.transport.is_connected:
            self.connections -= 1
        self._idle.pop(connection, None)
        if connection in target.idle:
            target.idle.remove(connection)

    def _on_unrequested_bytes(self, target: Target) -> None:
        """Increase the settle times for a period; log this at the start of the period only."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.cautious_until_s:
            endpoint = target.endpoint
            log.warning("unrequested bytes: upstream=%s:%d", endpoint.host, endpoint.port)
        target.noisy_until_s = now_s + CAUTIOUS_PERIOD_S
        self.cautious_until_s = now_s + CAUTIOUS_PERIOD_S

    def _close_oldest_idle(self) -> bool:
        oldest = next(iter(self._idle), None)
        if oldest is None:
            return False
        oldest.abort()
        return True
