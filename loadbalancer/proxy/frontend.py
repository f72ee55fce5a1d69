"""Client-facing side: listener, connection limit and graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from contextlib import suppress
from typing import cast

from loadbalancer.errnos import Cause, Operation, cause
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_host import HostedConnection
from loadbalancer.proxy.connection_phase import LIMIT_S, Phase
from loadbalancer.proxy.listener import listen, redirect_to_successor
from loadbalancer.proxy.memory_account import MemoryAccount, Pressure
from loadbalancer.proxy.memory_relief import MemoryRelief
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.tcp_state import receive_state
from loadbalancer.proxy.timers import call_after

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the kernel queues while the connection limit is reached
# Requests are answered within this time after SIGTERM: the longest deadline of any class, capped at
# `MAX_SHUTDOWN_DEADLINE_NS`, plus `SHUTDOWN_MARGIN_NS`.
MAX_SHUTDOWN_DEADLINE_NS = 3_000_000_000
SHUTDOWN_MARGIN_NS = 550_000_000
DRAIN_S = 0.5  # new connections are accepted for about this long after SIGTERM
ACCEPT_PAUSE_S = 0.05  # pause after an accept that failed for a local reason
QUEUE_POLL_S = 0.01  # interval between attempts to empty the accept queue at the limit
# At the connection limit, one connection is closed to accept another. The first rule that applies
# decides: the connection lingers for EVICT_LINGERING_S; its request is incomplete and no data has
# arrived for EVICT_SILENT_S; it is idle for EVICT_IDLE_S, the 2 s of keep-alive that clients rely
# on; its request is incomplete and no data has arrived for EVICT_NEW_S, which is the time that a
# well-behaved client needs to begin.
EVICT_LINGERING_S = 0.1
EVICT_SILENT_S = 0.5
EVICT_IDLE_S = 2.0
EVICT_NEW_S = 0.05
# An overdue connection with unread input stays open for up to UNREAD_S and is checked again every
# RECHECK_S. Timers run before socket callbacks in an event-loop iteration, so if the loop is late,
# as on a busy core, data that arrived in time is read only after the timer.
UNREAD_S = 0.3
RECHECK_S = 0.004


class Frontend:
    """Listening socket and client connections, up to a connection limit.

    Attributes:
        clients_by_phase: Connections without an open request by phase, with the time at which they
        entered
            it, oldest first. The order lets a single timer serve all of them.
        incomplete: The connections among these whose request is incomplete, with the time at which
            data last arrived, oldest first.
        timer_at: When the timer fires.
        open_tasks: Tasks that set up accepted connections; the references keep them from being
            garbage-collected.
        shutdown_started: Set when the graceful shutdown begins, at SIGTERM.
        shutdown_timeout_ns: Time after SIGTERM within which all requests are answered.
        all_closed: Set once the listener and all connections are closed.
    """

    def __init__(
        self, driver: Driver, listener: socket.socket, max_clients: int, memory: MemoryAccount
    ) -> None:
        self.driver = driver
        self.memory = memory
        self.loop = asyncio.get_running_loop()
        self.listener = listener
        self.max_clients = max_clients
        self.clients: set[ClientConnection] = set()
        self.clients_by_phase: dict[Phase, dict[HostedConnection, float]] = {
            phase: {} for phase in Phase
        }
        self.incomplete: dict[HostedConnection, float] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0
        self.open_tasks: set[asyncio.Task[None]] = set()
        self.shutdown_started = asyncio.Event()
        self.shutdown_started_ns = 0
        longest_ns = max((c.deadline_ns for c in driver.settings.classes.values()), default=0)
        self.shutdown_timeout_ns = min(MAX_SHUTDOWN_DEADLINE_NS, longest_ns) + SHUTDOWN_MARGIN_NS
        self.closed = False
        self.all_closed = asyncio.Event()
        self.relief = MemoryRelief(memory, lambda: self.clients, self, driver.traffic_log.relieved)
        listener.setblocking(False)
        self.started = False
        self.listening = False

    def start(self) -> None:
        """Accept clients, unless the shutdown has already begun."""
        if not self.draining:
            listen(self.listener, BACKLOG)
            self.started = True
            self._listen()

    @property
    def connections_open(self) -> int:
        """The number of client connections."""
        return len(self.clients)

    def set_max_connections(self, connections: int) -> None:
        """Set the connection limit; above it, connections close after their next answer."""
        self.max_clients = connections
        if connections > len(self.clients):
            self._listen()

    @property
    def draining(self) -> bool:
        """Whether the shutdown has begun."""
        return self.shutdown_started.is_set()

    @property
    def answer_deadline_ns(self) -> int:
        """The time by which all requests are answered once the shutdown has begun."""
        return self.shutdown_started_ns + self.shutdown_timeout_ns

    @property
    def ready(self) -> bool:
        """Whether this process accepts clients and can serve them."""
        return self.started and self.driver.ready and not self.draining

    def _listen(self) -> None:
        if self.started and not self.listening and not self.closed:
            self.listening = True
            self.loop.add_reader(self.listener, self._accept)

    def _pause(self, seconds: float | None = None) -> None:
        """Stop accepting for a time, or until a connection becomes idle or closes."""
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.listener)
            if seconds is not None:
                self.loop.call_later(seconds, self._listen)

    def _accept(self) -> bool:
        """Accept the connections in the accept queue.

        At the connection limit, a connection without an open request is closed. If no connection
        may be closed yet, new ones stay in the backlog: every accepted connection must get an
        answer, so none is accepted only to be dropped.

        Returns:
            Whether the accept queue is empty.
        """
        if self.memory.pressure is Pressure.FULL:
            self._pause(QUEUE_POLL_S)
            return False
        if len(self.clients) >= self.max_clients:
            self._evict()
            return False
        # Accepts up to the limit only; the next event-loop iteration handles the remainder.
        for _ in range(self.max_clients - len(self.clients)):
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if cause(Operation.ACCEPT, error) is Cause.TRANSIENT:
                    continue
                # For example, no descriptor is free until another connection closes.
                log.error("accept failed: error=%s", error)
                self._pause(ACCEPT_PAUSE_S)
                return False
            if receive_state(sock)[0]:
                sock.close()  # the client closed it while it was queued
                continue
            sock.setblocking(False)
            # The connection counts against the limit from here on, and only once: counting it again
            # while its transport is set up would evict another client needlessly.
            client = ClientConnection(self)
            self.clients.add(client)
            task = self.loop.create_task(self._open(client, sock))
            self.open_tasks.add(task)
            task.add_done_callback(self.open_tasks.discard)
        return False

    def _evict(self) -> None:
        """Close a connection that has no open request.

        The next event-loop iteration frees its place and checks the listener again. If no
        connection may be closed yet, accepting pauses until the first one may be.
        """
        now_s = self.loop.time()
        evictable_times_s = []
        # During shutdown, clients can open a connection to another balancer.
        idle_s = 0.0 if self.draining else EVICT_IDLE_S
        for table, seconds in (
            (self.clients_by_phase[Phase.LINGERING], EVICT_LINGERING_S),
            (self.incomplete, EVICT_SILENT_S),
            (self.clients_by_phase[Phase.IDLE], idle_s),
            (self.incomplete, EVICT_NEW_S),
        ):
            client = next(iter(table), None)
            if client is not None:
                evictable_at_s = table[client] + seconds
                if evictable_at_s <= now_s and not (
                    client.has_unread_input or client.has_unsent_output
                ):
                    client.abort()
                    return
                evictable_times_s.append(max(evictable_at_s, now_s + RECHECK_S))
        self._pause(min(evictable_times_s) - now_s if evictable_times_s else None)

    def close_idle(self) -> bool:
        """Close one connection without a request, because memory is scarce."""
        now_s = self.loop.time()
        for phase, seconds in ((Phase.LINGERING, EVICT_LINGERING_S), (Phase.IDLE, EVICT_IDLE_S)):
            client = next(iter(self.clients_by_phase[phase]), None)
            if client is None or self.clients_by_phase[phase][client] + seconds > now_s:
                continue
            if not (client.has_unread_input or client.has_unsent_output):
                client.abort()
                return True
        return False

    async def _open(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError as error:
            log.error("client connection failed: error=%s", error)
            sock.close()
            self.connection_closed(client)

    def is_usage_above(self, fraction: float) -> bool:
        """Whether at least this fraction of the connection limit is in use."""
        return len(self.clients) >= fraction * self.max_clients

    def wait(self, client: HostedConnection, phase: Phase) -> None:
        """Enter a phase without an open request, in which the connection may be evicted."""
        self.leave_phase(client)
        client.phase = phase
        client.force_close_at = 0.0
        self.clients_by_phase[phase][client] = self.loop.time()
        self.note_progress(client)
        self._sweep_at(self.loop.time() + self._limit_s(phase))
        if len(self.clients) >= self.max_clients:
            self._listen()

    def note_progress(self, client: HostedConnection) -> None:
        """Record that more of an incomplete request has arrived."""
        if client.phase in (Phase.NEW, Phase.BODY):
            self.incomplete.pop(client, None)
            self.incomplete[client] = self.loop.time()

    def leave_phase(self, client: HostedConnection) -> None:
        """Take the connection out of its phase; it is not evicted until it enters another."""
        if client.phase is not None:
            del self.clients_by_phase[client.phase][client]
            self.incomplete.pop(client, None)
            client.phase = None

    def _sweep_at(self, when: float) -> None:
        # `timer_at` is stored separately: the timer handle's time is rounded to the loop's ticks.
        if self.timer is None or when < self.timer_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = call_after(when - self.loop.time(), self._sweep)
            self.timer_at = when

    def _sweep(self) -> None:
        """Time out connections that exceed their phase's limit, and set the next timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.loop.time()
        for phase, clients in self.clients_by_phase.items():
            limit = self._limit_s(phase)
            overdue = []
            for client, since in clients.items():
                if since + limit > now:
                    self._sweep_at(since + limit)
                    break
                overdue.append(client)
            for client in overdue:
                client.force_close_at = client.force_close_at or now + UNREAD_S
                if now < client.force_close_at and client.has_unread_input:
                    self._sweep_at(now + RECHECK_S)
                else:
                    client.on_phase_timeout()

    def _limit_s(self, phase: Phase) -> float:
        """Return a phase's time limit; 0 for idle connections once the listener is closed."""
        return 0.0 if phase is Phase.IDLE and self.closed else LIMIT_S[phase]

    def connection_closed(self, client: HostedConnection) -> None:
        """Remove a connection that has closed."""
        self.clients.discard(cast(ClientConnection, client))
        self.relief.connection_closed(cast(ClientConnection, client))
        self.leave_phase(client)
        self._listen()
        self.check_all_closed()

    # ---- shutdown --------------------------------------------------------------------------------

    def drain(self) -> None:
        """Begin the graceful shutdown, at SIGTERM.

        New connections are accepted for `DRAIN_S`, and open connections stay usable. Each
        connection closes after its next answer.
        """
        if not self.draining:
            self.shutdown_started.set()
            self.shutdown_started_ns = time.monotonic_ns()
            if self.started:
                redirect_to_successor(self.listener)
            self.loop.call_later(DRAIN_S, self._stop)

    def _stop(self) -> None:
        """Close the listener once its accept queue is empty; closing resets queued ones."""
        if self.closed:
            return
        self._listen()
        if self.started and not self._accept():
            self.loop.call_later(QUEUE_POLL_S, self._stop)
            return
        self._pause()
        self.closed = True
        self.listener.close()
        # Idle connections close now. A new connection keeps its full time limit, because its client
        # has no reason yet to use another balancer.
        self._sweep()
        self.check_all_closed()

    def end_open(self) -> None:
        """Answer all open and all incomplete requests before the process exits."""
        self.driver.end_open()
        for client in list(self.incomplete):
            client.fail_incomplete_request()

    def close(self) -> None:
        """Close the listener and all connections immediately."""
        self._pause()
        self.closed = True
        self.listener.close()
        if self.timer is not None:
            self.timer.cancel()
        for client in list(self.clients):
            client.close_for_shutdown()

    def close_unless_answering(self) -> bool:
        """Close all connections but those with a long answer under way; return whether any is."""
        self._pause()
        answering = [client for client in self.clients if client.is_answering]
        for client in self.clients.difference(answering):
            client.close_for_shutdown()
        return bool(answering)

    async def wait_until_closed(self, until_ns: int) -> bool:
        """Wait until all connections are closed, at most until a monotonic time in ns."""
        with suppress(TimeoutError):
            async with asyncio.timeout((until_ns - time.monotonic_ns()) / 1e9):
                await self.all_closed.wait()
        return self.all_closed.is_set()

    def check_all_closed(self) -> None:
        """Set `all_closed` if the listener and all connections are closed."""
        if self.closed and not self.clients:
            self.all_closed.set()
