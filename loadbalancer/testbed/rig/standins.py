"""What the program talks to in a run: boxes that write down what they execute, discovery, and
clients. They live in the rig's own process and are met through relays.

Shapes are those of the platform's protocol: `GET /v1/endpoints[?from=V&hold_ms=N]`, `POST
/CLASS?obj=KEY` with X-Request-Id, X-Class and X-Deadline-Ms.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import socket
import time
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from loadbalancer.testbed.rig.scenario import Scenario, Tenant
from loadbalancer.testbed.sockets.fleet import Incoming

CLASSES = (("lookup", "GET", 0.6), ("book-delivery", "POST", 0.4))
DEADLINE_MS = 2000
# rule 4: a cold box's first part of its speed, and what it bears
COLD_FROM, MULTIPLE, WINDOW_S = 0.3, 3.0, 1.5
AWAY_S = 2.0  # that clients leave alone a balancer which did not take a connection
CONNECT_S, DOORS = 0.3, 3  # for a connection to come up; balancers that a client tries
DOOR = "/restart"  # of a box, for the roll's owner
RETRY = re.compile(rb"\r\nRetry-After: ([0-9.]+)", re.IGNORECASE)
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True, eq=False)
class Try:
    """A client's request: what became of it, and where it ran."""

    id: str
    unsafe: bool
    at: float
    balancer: str
    status: int = 0  # 0: no answer yet; -1: the connection broke or never came up
    took: float = 0.0
    ran: list[str] = field(default_factory=list)  # boxes that began it
    answers: int = 0
    tenant: str = ""
    site: str = ""  # whose clients' it is
    retry_ms: int = 0  # when it was told to come back


def kept_port() -> socket.socket:
    """A port of loopback, drawn by the kernel. It stays bound here, without a listener, so that
    nobody else is given it while its process is down; that one's own listener shares it.
    """
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    held.bind(("127.0.0.1", 0))
    return held


@dataclass(frozen=True, slots=True, eq=False)
class Work:
    """A request at a box, and what is done when it is over."""

    known: Try
    done: Callable[[Try], None]


class Box:
    """Some cores with a short queue in front, cold for a while after its start."""

    def __init__(self, name: str, tries: dict[str, Try], s: Scenario) -> None:
        self.name = name
        self.tries = tries
        self.s = s
        self.busy = 0  # cores
        self.waiting: deque[tuple[float, Work]] = deque()
        self.sent: deque[float] = deque()  # when requests came while it was cold
        self.lives = 0  # of its process, as far as it was killed
        self.falls = 0  # it was given more than a cold one bears
        self.turned = 0
        self.started_s = 0.0  # by this clock; 0: long ago
        self.open: set[ToBox] = set()
        self.server: asyncio.Server | None = None
        self.held: socket.socket | None = None
        self.port = 0
        self.started_ms = 0
        self.restarts = 0
        self.inside = 0
        self.closed = False  # it was said to be quiet, and is not restarted yet
        self.late: list[str] = []
        self.asked: list[str] = []  # names of restarts that came at its door, as often as they came
        self.door: Callable[[], None] = lambda: None  # what the first of each name does

    async def listen(self) -> None:
        if self.held is None:  # the port stays this box's own while it is down
            self.held = kept_port()
            self.port = self.held.getsockname()[1]
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: ToBox(self), "127.0.0.1", self.port, reuse_port=True
        )

    def down(self) -> None:
        """Its process is killed: what it had is gone, and nobody listens."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.lives += 1
        self.busy = self.inside = 0
        self.waiting.clear()
        for link in list(self.open):
            link.abort()

    async def up(self) -> None:
        """It is started again, cold."""
        if self.server is None:
            self.restarted()
            await self.listen()

    def restarted(self) -> None:
        self.restarts += 1
        self.started_s = time.monotonic()
        self.started_ms = int(time.time() * 1000)
        self.sent.clear()

    def part(self) -> float:
        """Of its speed that it has now."""
        cold = self.s.cold / 1e9
        age = time.monotonic() - self.started_s
        return (
            1.0
            if not cold or not self.started_s or age >= cold
            else (COLD_FROM + (1 - COLD_FROM) * age / cold)
        )

    def take(self, work: Work, away: Callable[[], None]) -> None:
        """Begin a request, have it wait, or turn it away."""
        now, part = time.monotonic(), self.part()
        if part < 1.0 and self.s.cores:
            self.sent.append(now)
            while self.sent[0] <= now - WINDOW_S:
                self.sent.popleft()
            bears = MULTIPLE * part * self.s.cores / (self.s.work / 1e9) * WINDOW_S
            self.falls += len(self.sent) > bears + 3 * bears**0.5 + 3
        if not self.s.cores or self.busy < self.s.cores:
            self._run(work)
        elif len(self.waiting) < self.s.queue:
            self.waiting.append((now, work))
        else:
            self.turned += 1
            away()

    def _run(self, work: Work) -> None:
        self.busy += 1
        work.known.ran.append(self.name)
        asyncio.get_running_loop().call_later(
            self.s.work / 1e9 / self.part(), self._ran, work, self.lives
        )

    def _ran(self, work: Work, life: int) -> None:
        if life != self.lives:
            return  # of a process that was killed
        self.busy -= 1
        work.done(work.known)
        while self.waiting and (not self.s.cores or self.busy < self.s.cores):
            since, following = self.waiting.popleft()
            if time.monotonic() - since < DEADLINE_MS / 1000:
                self._run(following)
            else:
                self.inside -= 1


class ToBox(Incoming):
    def __init__(self, box: Box) -> None:
        super().__init__()
        self.box = box

    def request(self, url: bytes, headers: dict[bytes, bytes], first_ns: int) -> None:
        if url == b"/health":
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        if url == DOOR.encode():
            self._asked(headers.get(b"idempotency-key", b"").decode("latin-1"))
            return
        name = headers.get(b"x-request-id", b"").decode("latin-1")
        known = self.box.tries.get(name)
        if known is None:
            self.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            return
        if self.box.closed:
            self.box.late.append(name)
        self.box.inside += 1
        self.box.take(Work(known, self._done), self._away)

    def _asked(self, name: str) -> None:
        """Restarts once for each name (Idempotency-Key), however often it comes."""
        new = name not in self.box.asked
        self.box.asked.append(name)
        if new:
            self.box.door()
        self.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.box.open.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.box.open.discard(self)

    def _away(self) -> None:
        self.box.inside -= 1
        self.write(NOT_RUN)

    def _done(self, known: Try) -> None:
        self.box.inside -= 1
        body = f"{known.id} by {self.box.name}".encode()
        self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Discovery:
    """One list, and each caller hears addresses of its own. `calls`: when, and by whom."""

    def __init__(self, row: Callable[[str, str], dict[str, object]]) -> None:
        """`row`: a box as a balancer is told of it."""
        self.row = row
        self.version = 1
        self.boxes: list[str] = []
        self.down = False
        self.calls: list[tuple[float, str]] = []
        self.asking: set[ToDiscovery] = set()
        self.servers: list[asyncio.Server] = []

    async def listen(self, balancer: str) -> int:
        """The port at which this balancer's calls come in."""
        server = await asyncio.get_running_loop().create_server(
            lambda: ToDiscovery(self, balancer), "127.0.0.1", 0
        )
        self.servers.append(server)
        port: int = server.sockets[0].getsockname()[1]
        return port

    def change(self, boxes: list[str]) -> None:
        self.boxes = boxes
        self.version += 1
        for caller in list(self.asking):
            caller.answer()

    def fail(self, on: bool) -> None:
        self.down = on
        if on:
            for caller in list(self.asking):
                caller.abort()


class ToDiscovery(Incoming):
    def __init__(self, discovery: Discovery, balancer: str) -> None:
        super().__init__()
        self.discovery = discovery
        self.balancer = balancer
        self.hold: asyncio.TimerHandle | None = None

    def connection_lost(self, error: Exception | None) -> None:
        self.discovery.asking.discard(self)
        if self.hold is not None:
            self.hold.cancel()

    def request(self, url: bytes, headers: dict[bytes, bytes], first_ns: int) -> None:
        d = self.discovery
        d.calls.append((time.monotonic(), self.balancer))
        if d.down:
            self.abort()
            return
        query = parse_qs(url.partition(b"?")[2].decode("latin-1"))
        since, hold_ms = int(query.get("from", ["-1"])[0]), int(query.get("hold_ms", ["0"])[0])
        if since == d.version and hold_ms:
            d.asking.add(self)
            self.hold = asyncio.get_running_loop().call_later(
                min(hold_ms, 60_000) / 1000, self.answer, True
            )
            return
        self.answer()

    def answer(self, nothing: bool = False) -> None:
        d = self.discovery
        d.asking.discard(self)
        if self.hold is not None:
            self.hold.cancel()
            self.hold = None
        rows = [] if nothing else [d.row(self.balancer, box) for box in d.boxes]
        body = json.dumps({"version": d.version, "full": not nothing, "servers": rows}).encode()
        self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


class Clients:
    """Ask at a steady pace, spread over the balancers, each request on a connection of its own."""

    def __init__(
        self,
        doors: dict[str, Callable[[], tuple[str, int]]],
        rate: float,
        rng: random.Random,
        tenants: Sequence[Tenant] = (),
        site_of: Callable[[str], str] = lambda name: "",
    ) -> None:
        """Each balancer's clients stand at its site; where it does not answer, they ask others for
        a while.
        """
        self.tenants = tenants
        self.site_of = site_of
        self.away: dict[str, float] = {}  # until when a balancer is left alone
        self.doors = doors
        self.rate = rate
        self.rng = rng
        self.tries: dict[str, Try] = {}
        self.open: set[asyncio.Task[None]] = set()
        self.extra = 0
        self.over = asyncio.Event()

    async def run(self) -> None:
        """Until `over`: one request each 1/rate, whatever became of those before."""
        names, number = sorted(self.doors), 0
        due = time.monotonic()
        while not self.over.is_set():
            due += 1 / self.rate
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, due - time.monotonic())):
                    await self.over.wait()
            number += 1
            one = self._new(f"{number:08x}", self._door(names, number))
            task = asyncio.get_running_loop().create_task(self._ask(one, number))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
        while self.open:
            await asyncio.wait(self.open)

    def _door(self, names: Sequence[str], number: int) -> str:
        now, mine = time.monotonic(), names[number % len(names)]
        there = [n for n in names if self.away.get(n, 0.0) <= now]
        return mine if mine in there or not there else self.rng.choice(there)

    def _new(self, name: str, balancer: str, unsafe: bool | None = None) -> Try:
        if unsafe is None:
            unsafe = self.rng.random() > CLASSES[0][2]
        tenant = ""
        if self.tenants:
            tenant = self.rng.choices(
                [t.name for t in self.tenants], [t.part for t in self.tenants]
            )[0]
        one = self.tries[name] = Try(
            name, unsafe, time.monotonic(), balancer, tenant=tenant, site=self.site_of(balancer)
        )
        return one

    async def routed(self, balancer: str) -> bool:
        """Ask once, beside the others; was it served?"""
        self.extra += 1
        one = self._new(f"extra-{self.extra}", balancer, False)
        await self._ask(one, self.extra)
        if not one.answers:
            del self.tries[one.id]  # nobody was there yet: no request that is owed an answer
        return one.status == 200

    async def _connected(self, one: Try) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Where there are sites, a client whose own balancer does not take its connection asks
        another.
        """
        if not self.tenants:
            return await asyncio.open_connection(*self.doors[one.balancer]())
        for _ in range(DOORS):
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(CONNECT_S):
                    return await asyncio.open_connection(*self.doors[one.balancer]())
            self.away[one.balancer] = time.monotonic() + AWAY_S
            one.balancer = self._door(sorted(self.doors), 0)
        raise OSError("no balancer takes a connection")

    async def _ask(self, one: Try, number: int) -> None:
        kind, method, _ = CLASSES[one.unsafe]
        head = (
            f"{method} /{kind}?obj=k{number % 40} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Request-Id: {one.id}\r\nX-Class: {kind}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"X-Tenant: {one.tenant}\r\nContent-Length: 0\r\n\r\n"
        )
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1.0):
                reader, writer = await self._connected(one)
                try:
                    writer.write(head.encode())
                    text = await reader.readuntil(b"\r\n\r\n")
                    one.status = int(text.split(b" ", 2)[1])
                    one.answers += 1
                    told = RETRY.search(text)
                    one.retry_ms = int(1000 * float(told[1])) if told else 0
                    length = next(
                        (
                            int(line.split(b":")[1])
                            for line in text.split(b"\r\n")
                            if line.lower().startswith(b"content-length:")
                        ),
                        0,
                    )
                    body = await reader.readexactly(length)
                    if one.status == 200 and not body.startswith(one.id.encode()):
                        one.status = -2  # another request's answer
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            one.status = one.status or -1
        one.took = time.monotonic() - one.at
