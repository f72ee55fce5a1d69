"""The clients' side: the listener, whom it takes and who makes room, and the end of the process."""

from __future__ import annotations

import asyncio
import logging
import socket
import time
from contextlib import suppress

from loadbalancer.errnos import Cause, Operation, cause
from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.client_connection import ClientConnection
from loadbalancer.proxy.connection_phase import LIMIT_S, Phase
from loadbalancer.proxy.listener import leave_to_successor, listen
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.tcp_state import received
from loadbalancer.proxy.timers import call_after

log = logging.getLogger(__name__)

BACKLOG = 1024  # newcomers that the kernel holds while there is no room: dropped, they wait for 1 s
# After SIGTERM a process has the longest deadline, or this if that is longer, and a little more.
LONGEST_NS, LEAVE_NS = 3_000_000_000, 550_000_000
DRAIN_S = 0.5  # after SIGTERM new connections are still dealt out for almost this long
ACCEPT_PAUSE_S = 0.05  # behind an accept that failed for want of something on this machine
QUEUE_S = 0.01  # between two looks at an accept queue that could not be emptied for want of places


# At the cap these make room, in this order: one that has lingered for so long, one that sent
# nothing for so long though its request is not whole, one that has been idle for the 2 s that
# clients count on. At last it is whoever has been silent longest, but for the time in which an
# honest client begins.
LEFT_S, SILENT_S, KEPT_S, BEGIN_S = 0.1, 0.5, 2.0, 0.05
# A connection at rest is not ended over something that lies unread, but no longer than the first: a
# timer runs ahead of the sockets, and where the loop is late, as on a crowded core, what came
# meanwhile is read only behind it, on the same turn. Then the connection is looked at again.
UNREAD_S, LOOK_AGAIN_S = 0.3, 0.004


class Frontend:
    """The listening socket and its connections, kept under a cap."""

    def __init__(
        self, driver: Driver, listener: socket.socket, max_clients: int, memory: BodyMemory
    ) -> None:
        self.driver = driver
        self.memory = memory
        self.loop = asyncio.get_running_loop()
        self.listener = listener
        self.max_clients = max_clients
        self.clients: set[ClientConnection] = set()
        # Those without an open request, and since when: the longest first, so that one timer serves
        # them all.
        self.waiting: dict[Phase, dict[ClientConnection, float]] = {phase: {} for phase in Phase}
        # Of these, whose request is not whole: who has been silent longest comes first.
        self.unfinished: dict[ClientConnection, float] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0.0  # when it is due
        self.opening: set[asyncio.Task[None]] = set()  # kept, or they may be collected
        self.drained = asyncio.Event()  # SIGTERM has come
        self.drained_ns = 0  # and when
        longest = max((c.deadline_ns for c in driver.settings.classes.values()), default=0)
        self.leave_ns = min(LONGEST_NS, longest) + LEAVE_NS  # so long after it, the last answer
        self.closed = False
        self.left = asyncio.Event()  # nothing is open any more
        listener.setblocking(False)
        self.started = False
        self.listening = False

    def start(self) -> None:
        """Take clients, unless the end has been told already."""
        if not self.draining:
            listen(self.listener, BACKLOG)
            self.started = True
            self._listen()

    @property
    def held(self) -> int:
        return len(self.clients)

    def allow(self, connections: int) -> None:
        """From now on so many. Where there are more, each ends with its next answer."""
        self.max_clients = connections
        if connections > len(self.clients):
            self._listen()

    @property
    def draining(self) -> bool:
        return self.drained.is_set()

    @property
    def last_answer_ns(self) -> int:
        """After SIGTERM, an answer that is not given by then is not given."""
        return self.drained_ns + self.leave_ns

    @property
    def ready(self) -> bool:
        """Are clients taken, and can they be served?"""
        return self.started and self.driver.ready and not self.draining

    def _listen(self) -> None:
        if self.started and not self.listening and not self.closed:
            self.listening = True
            self.loop.add_reader(self.listener, self._accept)

    def _pause(self, seconds: float | None = None) -> None:
        """Stop accepting: for so long, or until a connection comes to rest or ends."""
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.listener)
            if seconds is not None:
                self.loop.call_later(seconds, self._listen)

    def _accept(self) -> bool:
        """Take what waits; True if nothing is left. At the cap, connections without a request make
        room; if none can yet, the backlog holds the newcomers: one that was accepted is owed an
        answer, so none is taken to be dropped.
        """
        if len(self.clients) >= self.max_clients:
            self._room()
            return False
        # No further than to the cap: whether anybody waits beyond it is seen next turn.
        for _ in range(self.max_clients - len(self.clients)):
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                if cause(Operation.ACCEPT, error) is Cause.TRANSIENT:
                    continue
                log.error(
                    "accept: %s", error
                )  # out of descriptors: a later connection's end makes room
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
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        return False

    def _room(self) -> None:
        """At the cap: end one that has no request open. Its place is free on the loop's next turn,
        which looks at the listener again. Where all are too fresh for that, wait until the first is
        not.
        """
        now = self.loop.time()
        heads = []
        kept_s = (
            0.0 if self.draining else KEPT_S
        )  # clients of one that leaves open connections elsewhere
        for table, seconds in (
            (self.waiting[Phase.LINGERING], LEFT_S),
            (self.unfinished, SILENT_S),
            (self.waiting[Phase.IDLE], kept_s),
            (self.unfinished, BEGIN_S),
        ):
            client = next(iter(table), None)
            if client is not None:
                due = table[client] + seconds
                if due <= now and not (client.unread or client.unsent):
                    client.abort()
                    return
                heads.append(max(due, now + LOOK_AGAIN_S))
        self._pause(min(heads) - now if heads else None)

    async def _open(self, client: ClientConnection, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: client, sock)
        except OSError as error:
            log.error("a client's connection failed: %s", error)
            sock.close()
            self.lost(client)

    def crowded(self, part: float) -> bool:
        return len(self.clients) >= part * self.max_clients

    def wait(self, client: ClientConnection, phase: Phase) -> None:
        """It has no request open from now on, and can make room: listen again, should that have
        stopped.
        """
        self.busy(client)
        client.phase, client.end_at = phase, 0.0
        self.waiting[phase][client] = self.loop.time()
        self.heard(client)
        self._sweep_at(self.loop.time() + self._limit_s(phase))
        if len(self.clients) >= self.max_clients:
            self._listen()

    def heard(self, client: ClientConnection) -> None:
        """It is there, and goes on sending its request."""
        if client.phase in (Phase.NEW, Phase.BODY):
            self.unfinished.pop(client, None)
            self.unfinished[client] = self.loop.time()

    def busy(self, client: ClientConnection) -> None:
        if client.phase is not None:
            del self.waiting[client.phase][client]
            self.unfinished.pop(client, None)
            client.phase = None

    def _sweep_at(self, when: float) -> None:
        # The handle itself knows no more than the loop's ticks.
        if self.timer is None or when < self.timer_at:
            if self.timer is not None:
                self.timer.cancel()
            self.timer, self.timer_at = call_after(when - self.loop.time(), self._sweep), when

    def _sweep(self) -> None:
        """End what has waited too long, and look again when the next one will have."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = self.loop.time()
        for phase, clients in self.waiting.items():
            limit = self._limit_s(phase)
            late = []
            for client, since in clients.items():
                if since + limit > now:
                    self._sweep_at(since + limit)
                    break
                late.append(client)
            for client in late:
                client.end_at = client.end_at or now + UNREAD_S
                if now < client.end_at and client.unread:
                    self._sweep_at(now + LOOK_AGAIN_S)
                else:
                    client.too_late()

    def _limit_s(self, phase: Phase) -> float:
        """Once nothing new is taken, no connection is kept for a further request."""
        return 0.0 if phase is Phase.IDLE and self.closed else LIMIT_S[phase]

    def lost(self, client: ClientConnection) -> None:
        self.clients.discard(client)
        self.busy(client)
        self._listen()
        self.check_left()

    # ---- the end ---------------------------------------------------------------------------------

    def drain(self) -> None:
        """SIGTERM: new connections come for a while, and old ones are used. All are answered, then
        closed.
        """
        if not self.draining:
            self.drained.set()
            self.drained_ns = time.monotonic_ns()
            if self.started:
                leave_to_successor(self.listener)
            self.loop.call_later(DRAIN_S, self._stop)

    def _stop(self) -> None:
        """What is in the accept queue was taken, and closing the listener would reset it: first it
        is emptied, as far as places allow, and what is at rest makes room for it.
        """
        if self.closed:
            return
        self._listen()
        if self.started and not self._accept():
            self.loop.call_later(QUEUE_S, self._stop)
            return
        self._pause()
        self.closed = True
        self.listener.close()
        # A new connection is left its time all the same: its client has no reason yet to send
        # elsewhere.
        self._sweep()
        self.check_left()

    def end_open(self) -> None:
        """This process ends: who still waits is told so, and so is who has sent part of a
        request.
        """
        self.driver.end_open()
        for client in list(self.unfinished):
            client.leave()

    def close(self) -> None:
        self._pause()
        self.closed = True
        self.listener.close()
        if self.timer is not None:
            self.timer.cancel()
        for client in list(self.clients):
            client.cut()

    async def has_left(self, until_ns: int) -> bool:
        """Wait for the last client to go, until then (ns, monotonic) at the most."""
        with suppress(TimeoutError):
            async with asyncio.timeout((until_ns - time.monotonic_ns()) / 1e9):
                await self.left.wait()
        return self.left.is_set()

    def check_left(self) -> None:
        if self.closed and not self.clients:
            self.left.set()
