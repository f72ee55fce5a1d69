"""The clients' side: the listener, the cap on connections, and the end of the process."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from contextlib import suppress
from typing import cast

from loadbalancer.errnos import Cause, Operation, cause
from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_host import HostedConnection
from loadbalancer.proxy.connection_phase import LIMIT_S, Phase
from loadbalancer.proxy.listener import listen, redirect_to_successor
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.tcp_state import received
from loadbalancer.proxy.timers import call_after

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the kernel queues while there is no capacity
# After SIGTERM a process has the longest deadline, or this if that is longer, and a little more.
MAX_SHUTDOWN_DEADLINE_NS = 3_000_000_000
SHUTDOWN_MARGIN_NS = 550_000_000
DRAIN_S = 0.5  # after SIGTERM new connections are still accepted for almost this long
ACCEPT_PAUSE_S = 0.05  # behind an accept that failed by this machine's fault
QUEUE_POLL_S = 0.01  # between two tries to empty the accept queue where there is no capacity
# At the cap connections are closed in this order: one that has lingered for so long, one that sent
# nothing for so long though its request is incomplete, one that has been idle for the 2 s that
# clients count on. At last it is the one that has been silent longest, but for the time in which an
# honest client begins.
EVICT_LINGERING_S = 0.1
EVICT_SILENT_S = 0.5
EVICT_IDLE_S = 2.0
EVICT_NEW_S = 0.05
# An idle connection is not closed over something unread for so long: a timer runs ahead of the
# sockets, and where the loop is late, as on a crowded core, what came meanwhile is read only behind
# it, on the same turn. Then the connection is checked again.
UNREAD_S = 0.3
RECHECK_S = 0.004


class Frontend:
    """The listening socket and the clients' connections, kept under a cap.

    Attributes:
        waiting: Connections without an open request, and since when, the longest first, so that
            one timer serves them all.
        unfinished: Of these, those whose request is incomplete, the longest silent first.
        timer_at: When the timer is due.
        opening: Tasks; they are kept here, or they might be collected.
        drained: Set at SIGTERM.
        leave_ns: How long after SIGTERM the last answer is given.
        left: Set when no connection is open any more.
    """

    def __init__(
        self, driver: Driver, listener: socket.socket, max_clients: int, memory: BodyMemory
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
        listener.setblocking(False)
        self.started = False
        self.listening = False

    def start(self) -> None:
        """Accept clients, unless the shutdown has begun already."""
        if not self.draining:
            listen(self.listener, BACKLOG)
            self.started = True
            self._listen()

    @property
    def connections_open(self) -> int:
        """Connections of clients."""
        return len(self.clients)

    def set_limit(self, connections: int) -> None:
        """Set the cap; where there are more connections, each ends with its next answer."""
        self.max_clients = connections
        if connections > len(self.clients):
            self._listen()

    @property
    def draining(self) -> bool:
        """Whether the shutdown has begun."""
        return self.shutdown_started.is_set()

    @property
    def answer_deadline_ns(self) -> int:
        """When, after SIGTERM, the last answer is given."""
        return self.shutdown_started_ns + self.shutdown_timeout_ns

    @property
    def ready(self) -> bool:
        """Whether clients are accepted and can be served."""
        return self.started and self.driver.ready and not self.draining

    def _listen(self) -> None:
        if self.started and not self.listening and not self.closed:
            self.listening = True
            self.loop.add_reader(self.listener, self._accept)

    def _pause(self, seconds: float | None = None) -> None:
        """Stop accepting: for so long, or until a connection becomes idle or ends."""
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.listener)
            if seconds is not None:
                self.loop.call_later(seconds, self._listen)

    def _accept(self) -> bool:
        """Accept the connections that wait.

        At the cap, one without an open request is closed; where none may be yet, the backlog holds
        the new ones: one that was accepted is owed an answer, so none is accepted to be dropped.

        Returns:
            Whether none is left in the queue.
        """
        if len(self.clients) >= self.max_clients:
            self._evict()
            return False
        # No further than to the cap: whether more wait beyond it shows next turn.
        for _ in range(self.max_clients - len(self.clients)):
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if cause(Operation.ACCEPT, error) is Cause.TRANSIENT:
                    continue
                # Out of descriptors, for example: a later connection's end frees one.
                log.error("accept failed: error=%s", error)
                self._pause(ACCEPT_PAUSE_S)
                return False
            if received(sock)[0]:
                sock.close()  # it gave up while it waited here: nobody would read an answer
                continue
            sock.setblocking(False)
            # It counts from here on, and once: counted again while its transport is made, it would
            # drive out another client for nothing.
            client = ClientConnection(self)
            self.clients.add(client)
            task = self.loop.create_task(self._open(client, sock))
            self.open_tasks.add(task)
            task.add_done_callback(self.open_tasks.discard)
        return False

    def _evict(self) -> None:
        """Close a connection that has no request open.

        Its capacity is free on the loop's next turn, which looks at the listener again. Where all
        are too fresh to be closed, wait until the first is not.
        """
        now_s = self.loop.time()
        dues_s = []
        # Clients of a process that shuts down open connections elsewhere.
        idle_s = 0.0 if self.draining else EVICT_IDLE_S
        for table, seconds in (
            (self.clients_by_phase[Phase.LINGERING], EVICT_LINGERING_S),
            (self.incomplete, EVICT_SILENT_S),
            (self.clients_by_phase[Phase.IDLE], idle_s),
            (self.incomplete, EVICT_NEW_S),
        ):
            client = next(iter(table), None)
            if client is not None:
                due_s = table[client] + seconds
                if due_s <= now_s and not (client.has_unread_input or client.has_unsent_output):
                    client.abort()
                    return
                dues_s.append(max(due_s, now_s + RECHECK_S))
        self._pause(min(dues_s) - now_s if dues_s else None)

    async def _open(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError as error:
            log.error("client connection failed: error=%s", error)
            sock.close()
            self.connection_closed(client)

    def is_usage_above(self, fraction: float) -> bool:
        """Whether so large a fraction of the cap is used."""
        return len(self.clients) >= fraction * self.max_clients

    def wait(self, client: HostedConnection, phase: Phase) -> None:
        """Note that it has no request open from now on, and may be closed at the cap."""
        self.leave_phase(client)
        client.phase = phase
        client.forced_close_at = 0.0
        self.clients_by_phase[phase][client] = self.loop.time()
        self.note_progress(client)
        self._sweep_at(self.loop.time() + self._limit_s(phase))
        if len(self.clients) >= self.max_clients:
            self._listen()

    def note_progress(self, client: HostedConnection) -> None:
        """Note that it goes on sending its request."""
        if client.phase in (Phase.NEW, Phase.BODY):
            self.incomplete.pop(client, None)
            self.incomplete[client] = self.loop.time()

    def leave_phase(self, client: HostedConnection) -> None:
        """Note that it is in no phase of waiting any more."""
        if client.phase is not None:
            del self.clients_by_phase[client.phase][client]
            self.incomplete.pop(client, None)
            client.phase = None

    def _sweep_at(self, when: float) -> None:
        # The handle itself knows no more than the loop's ticks.
        if self.timer is None or when < self.timer_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = call_after(when - self.loop.time(), self._sweep)
            self.timer_at = when

    def _sweep(self) -> None:
        """End connections that have waited too long, and set the timer for the next one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.loop.time()
        for phase, clients in self.clients_by_phase.items():
            limit = self._limit_s(phase)
            late = []
            for client, since in clients.items():
                if since + limit > now:
                    self._sweep_at(since + limit)
                    break
                late.append(client)
            for client in late:
                client.forced_close_at = client.forced_close_at or now + UNREAD_S
                if now < client.forced_close_at and client.has_unread_input:
                    self._sweep_at(now + RECHECK_S)
                else:
                    client.on_timeout()

    def _limit_s(self, phase: Phase) -> float:
        """How long a phase may last; no connection is kept for a request that is not accepted."""
        return 0.0 if phase is Phase.IDLE and self.closed else LIMIT_S[phase]

    def connection_closed(self, client: HostedConnection) -> None:
        """Forget a connection that has ended."""
        self.clients.discard(cast(ClientConnection, client))
        self.leave_phase(client)
        self._listen()
        self.check_all_closed()

    # ---- the end ---------------------------------------------------------------------------------

    def drain(self) -> None:
        """Begin the graceful shutdown, at SIGTERM.

        New connections are accepted for a while, and open ones are used. All requests are answered,
        then their connections closed.
        """
        if not self.draining:
            self.shutdown_started.set()
            self.shutdown_started_ns = time.monotonic_ns()
            if self.started:
                redirect_to_successor(self.listener)
            self.loop.call_later(DRAIN_S, self._stop)

    def _stop(self) -> None:
        """Close the listener, once its accept queue is empty: closing it resets the rest."""
        if self.closed:
            return
        self._listen()
        if self.started and not self._accept():
            self.loop.call_later(QUEUE_POLL_S, self._stop)
            return
        self._pause()
        self.closed = True
        self.listener.close()
        # A new connection is left its time all the same: its client has no reason yet to go
        # elsewhere.
        self._sweep()
        self.check_all_closed()

    def end_open(self) -> None:
        """Answer all open and all incomplete requests, as this process ends."""
        self.driver.end_open()
        for client in list(self.incomplete):
            client.reject_incomplete()

    def close(self) -> None:
        """Close the listener and all connections at once."""
        self._pause()
        self.closed = True
        self.listener.close()
        if self.timer is not None:
            self.timer.cancel()
        for client in list(self.clients):
            client.close_on_shutdown()

    async def wait_until_closed(self, until_ns: int) -> bool:
        """Wait for the last connection to end, until then (ns, monotonic) at the most."""
        with suppress(TimeoutError):
            async with asyncio.timeout((until_ns - time.monotonic_ns()) / 1e9):
                await self.all_closed.wait()
        return self.all_closed.is_set()

    def check_all_closed(self) -> None:
        """Note when the last connection has ended."""
        if self.closed and not self.clients:
            self.all_closed.set()
