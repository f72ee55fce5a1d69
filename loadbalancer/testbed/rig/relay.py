"""A relay for one directed pair of processes: who dials, and who listens. It can do to the bytes
between them what networks do, in one direction or in both.

Bytes are never lost out of the middle of a connection, as TCP would not: they come later, or the
connection ends. A cut is silent: what is open stays open, what is new never comes up (the kernel's
queue for new connections is filled), and at its end what was open is reset, as after a failure
longer than TCP waits; a hold lets all go in a burst. A delay is drawn anew for each piece, and the
pieces behind it wait; on a link that is far, all that comes is so long on its way, however much of
it is.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import cast

from loadbalancer.proxy.tcp_state import reset_on_close
from loadbalancer.testbed.rig.taps import Tap
from loadbalancer.testbed.silence import silence

QUEUE_MOST = 4 << 20  # bytes that one direction holds; beyond it the sender is not read
CHUNK = 64 << 10
RTO_S = 0.2  # a lost segment is sent again after this, and after twice as long
TO, FROM = 0, 1
Heard = Callable[["Relay", int, str], None]  # which direction, and the kind of message


@dataclass(eq=False)
class Fault:
    """What is done to one direction for now."""

    kind: str
    size: float = 0.0


@dataclass(eq=False)
class Way:
    """One direction of a relay's connections."""

    faults: list[Fault] = field(default_factory=list)

    def on(self, *kinds: str) -> Fault | None:
        return next((f for f in self.faults if f.kind in kinds), None)


class Half(asyncio.Protocol):
    """One of the two connections that make one through a relay."""

    def __init__(self, pair: Pair, way: int) -> None:
        self.pair = pair
        self.way = way  # of what comes in here
        self.transport: asyncio.Transport | None = None
        self.paused = False  # its peer does not read what is written to it

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.pair.over:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        self.pair.came(self.way, data)

    def eof_received(self) -> bool:
        self.pair.came(self.way, b"")
        return True

    def connection_lost(self, error: Exception | None) -> None:
        self.pair.lost(self.way, error is not None)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        self.pair.pump(1 - self.way)


class Pair:
    """A connection through a relay."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.halves = Half(self, TO), Half(self, FROM)
        # With the moment before which each may not pass, on a link that is far.
        self.queues: tuple[deque[tuple[float, bytes]], deque[tuple[float, bytes]]] = (
            deque(),
            deque(),
        )
        self.sizes = [0, 0]
        self.busy = [False, False]  # a timer will go on
        self.taps = relay.taps()
        self.over = False
        relay.pairs.add(self)

    def came(self, way: int, data: bytes) -> None:
        far = self.relay.ways[way].on("far")
        self.queues[way].append(
            (asyncio.get_running_loop().time() + far.size / 1000 if far else 0.0, data)
        )
        self.sizes[way] += len(data)
        source = self.halves[way].transport
        if self.sizes[way] > QUEUE_MOST and source is not None and not source.is_closing():
            source.pause_reading()
        if not self.busy[way]:
            wait = self.relay.wait_s(way)
            if wait:
                self._later(way, wait)
            else:
                self.pump(way)

    def _later(self, way: int, wait: float) -> None:
        self.busy[way] = True
        asyncio.get_running_loop().call_later(wait, self._go_on, way)

    def _go_on(self, way: int) -> None:
        self.busy[way] = False
        self.pump(way)

    def pump(self, way: int) -> None:
        """Pass on what may pass now."""
        queue, target = self.queues[way], self.halves[1 - way]
        ways = self.relay.ways[way]
        while queue and not self.busy[way] and not self.over:
            if ways.on("cut", "hold") or target.transport is None or target.paused:
                return
            due, data = queue[0]
            if due and (wait := due - asyncio.get_running_loop().time()) > 0:
                return self._later(way, wait)
            queue.popleft()
            trickle = ways.on("trickle")
            if trickle is not None and data:
                most = max(1, int(trickle.size / 20))
                if len(data) > most:
                    queue.appendleft((due, data[most:]))
                    data = data[:most]
                self._later(way, len(data) / trickle.size)
            self.sizes[way] -= len(data)
            source = self.halves[way].transport
            if self.sizes[way] < QUEUE_MOST // 2 and source is not None and not source.is_closing():
                source.resume_reading()
            self._pass(way, data, target)
            if queue and not self.busy[way] and (wait := self.relay.wait_s(way)):
                self._later(way, wait)

    def _pass(self, way: int, data: bytes, target: Half) -> None:
        assert target.transport is not None
        if not data:
            with suppress(OSError, NotImplementedError):
                target.transport.write_eof()
            return
        if not target.transport.is_closing():
            target.transport.write(data)
        # Only now: the message has passed, and nothing behind it.
        for kind in self.taps[way].heard(data):
            self.relay.heard(self.relay, way, kind)

    def lost(self, way: int, hard: bool) -> None:
        """One of the two is gone: so is the other, once what came before it has passed."""
        if self.relay.ways[way].on("cut", "hold"):
            return  # the other end does not hear of it
        self.end()

    def end(self) -> None:
        if self.over:
            return
        self.over = True
        self.relay.pairs.discard(self)
        for half in self.halves:
            if half.transport is not None:
                half.transport.abort()


class Relay:
    def __init__(
        self,
        dialler: str,
        listener: str,
        target: Callable[[], tuple[str, int]],
        rng: random.Random,
        taps: Callable[[], tuple[Tap, Tap]] = lambda: (Tap(), Tap()),
        heard: Heard = lambda relay, way, kind: None,
    ) -> None:
        """`target`: where the listener is now."""
        self.dialler = dialler
        self.listener = listener
        self.target = target
        self.rng = rng
        self.taps = taps
        self.heard = heard
        self.ways = Way(), Way()
        self.pairs: set[Pair] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.stuffing: list[socket.socket] = []
        self.port = 0
        self.socket: socket.socket | None = None
        self.closed = False
        self._listen()

    @property
    def name(self) -> str:
        return f"{self.dialler}>{self.listener}"

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    # ---- the listener ----------------------------------------------------------------------------

    def _listen(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(256)
        self.port = listener.getsockname()[1]
        self.socket = listener
        asyncio.get_running_loop().add_reader(listener, self._accept)

    def _accept(self) -> None:
        while self.socket is not None:
            try:
                link, _ = self.socket.accept()
            except OSError:
                return
            link.setblocking(False)
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = asyncio.get_running_loop().create_task(self._connect(link))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _connect(self, link: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        pair = Pair(self)
        try:
            # Both ends are there before a byte passes: who listens not at all refuses the dialler
            # too.
            host, port = self.target()
            await loop.create_connection(lambda: pair.halves[1], host, port)
            await loop.connect_accepted_socket(lambda: pair.halves[0], link)
            pair.pump(TO)
            pair.pump(FROM)
        except OSError:
            # Reset, as a port without a listener would.
            with suppress(OSError):
                reset_on_close(link)
            link.close()
            pair.end()

    def _silence(self) -> None:
        if self.socket is None or self.stuffing:
            return
        asyncio.get_running_loop().remove_reader(self.socket)
        self.stuffing = silence(self.socket)

    def _unsilence(self) -> None:
        if self.socket is not None and self.stuffing:
            for stuffing in self.stuffing:
                stuffing.close()
            self.stuffing.clear()
            self.socket.listen(256)
            asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _close_listener(self) -> None:
        if self.socket is not None:
            for stuffing in self.stuffing:
                stuffing.close()
            self.stuffing.clear()
            asyncio.get_running_loop().remove_reader(self.socket)
            self.socket.close()
            self.socket = None

    # ---- faults ----------------------------------------------------------------------------------

    def set(self, kind: str, size: float, way: str) -> Callable[[], None]:
        """Begin a fault; what ends it is given back."""
        if kind == "reset":
            for pair in list(self.pairs):
                pair.end()
            return lambda: None
        fault = Fault(kind, size)
        hit = [self.ways[i] for i in (TO, FROM) if way in ("both", ("to", "from")[i])]
        for one in hit:
            one.faults.append(fault)
        if kind == "cut":
            self._silence()  # a new connection needs both directions
        elif kind == "refuse":
            self._close_listener()
            for pair in list(self.pairs):
                pair.end()

        def end() -> None:
            if self.closed:
                return
            for one in hit:
                one.faults.remove(fault)
            if kind == "cut" and not any(w.on("cut") for w in self.ways):
                self._unsilence()
                for pair in list(self.pairs):
                    pair.end()
            elif (
                kind == "refuse"
                and self.socket is None
                and not any(w.on("refuse") for w in self.ways)
            ):
                self._listen()
                if any(w.on("cut") for w in self.ways):
                    self._silence()
            for pair in list(self.pairs):
                for number in (TO, FROM):
                    if not pair.busy[number]:
                        pair.pump(number)

        return end

    def wait_s(self, way: int) -> float:
        """How long what comes now is on its way."""
        ways, wait = self.ways[way], 0.0
        delay, lossy = ways.on("delay"), ways.on("lossy")
        if delay is not None:
            wait += delay.size / 1000 * self.rng.uniform(0.5, 1.5)
        if lossy is not None:
            again = RTO_S
            while self.rng.random() < lossy.size and again < 4.0:
                wait, again = wait + again, 2 * again
        return wait

    def close(self) -> None:
        self.closed = True
        self._close_listener()
        for task in self.tasks:
            task.cancel()
        for pair in list(self.pairs):
            pair.end()
