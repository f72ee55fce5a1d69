"""What the program talks to in a run: boxes that write down what they execute, discovery, and clients. They
live in the rig's own process and are met through relays.

Shapes are those of the platform's protocol: `GET /v1/endpoints[?from=V&hold_ms=N]`, `POST /CLASS?obj=KEY`
with X-Request-Id, X-Class and X-Deadline-Ms.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from lanelift.lab.sockets.fleet import Incoming

WORK_S = 0.01  # that a box takes for a request
CLASSES = (("lookup", "GET", 0.6), ("book-delivery", "POST", 0.4))
DEADLINE_MS = 2000
DOOR = "/restart"  # of a box, for the roll's owner
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


class Box:
    """`draining`: it turns away; what it has goes on."""

    def __init__(self, name: str, tries: dict[str, Try]) -> None:
        self.name = name
        self.tries = tries
        self.server: asyncio.Server | None = None
        self.port = 0
        self.started_ms = 0
        self.restarts = 0
        self.inside = 0
        self.closed = False  # it was said to be quiet, and is not restarted yet
        self.late: list[str] = []
        self.asked: list[str] = []  # names of restarts that came at its door, as often as they came
        self.door: Callable[[], None] = lambda: None  # what the first of each name does

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: ToBox(self), "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]


class ToBox(Incoming):
    def __init__(self, box: Box) -> None:
        super().__init__()
        self.box = box

    def request(self, url: bytes, headers: dict[bytes, bytes], first_ns: int) -> None:
        if url == DOOR.encode():
            self._asked(headers.get(b"idempotency-key", b"").decode("latin-1"))
            return
        name = headers.get(b"x-request-id", b"").decode("latin-1")
        known = self.box.tries.get(name)
        if known is None:
            self.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            return
        known.ran.append(self.box.name)
        if self.box.closed:
            self.box.late.append(name)
        self.box.inside += 1
        asyncio.get_running_loop().call_later(WORK_S, self._done, name)

    def _asked(self, name: str) -> None:
        """Restarts once for each name (Idempotency-Key), however often it comes."""
        new = name not in self.box.asked
        self.box.asked.append(name)
        if new:
            self.box.door()
        self.write(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")

    def _done(self, name: str) -> None:
        self.box.inside -= 1
        body = f"{name} by {self.box.name}".encode()
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
            lambda: ToDiscovery(self, balancer), "127.0.0.1", 0)
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
            self.hold = asyncio.get_running_loop().call_later(min(hold_ms, 60_000) / 1000, self.answer, True)
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

    def __init__(self, doors: dict[str, Callable[[], tuple[str, int]]], rate: float,
                 rng: random.Random) -> None:
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
            one = self._new(f"{number:08x}", names[number % len(names)])
            task = asyncio.get_running_loop().create_task(self._ask(one, number))
            self.open.add(task)
            task.add_done_callback(self.open.discard)
        while self.open:
            await asyncio.wait(self.open)

    def _new(self, name: str, balancer: str, unsafe: bool | None = None) -> Try:
        if unsafe is None:
            unsafe = self.rng.random() > CLASSES[0][2]
        one = self.tries[name] = Try(name, unsafe, time.monotonic(), balancer)
        return one

    async def routed(self, balancer: str) -> bool:
        """Ask once, beside the others; was it served?"""
        self.extra += 1
        one = self._new(f"extra-{self.extra}", balancer, False)
        await self._ask(one, self.extra)
        if not one.answers:
            del self.tries[one.id]  # nobody was there yet: no request that is owed an answer
        return one.status == 200

    async def _ask(self, one: Try, number: int) -> None:
        kind, method, _ = CLASSES[one.unsafe]
        head = (f"{method} /{kind}?obj=k{number % 40} HTTP/1.1\r\nHost: origin.svc\r\n"
                f"X-Request-Id: {one.id}\r\nX-Class: {kind}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                f"Content-Length: 0\r\n\r\n")
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(*self.doors[one.balancer]())
                try:
                    writer.write(head.encode())
                    text = await reader.readuntil(b"\r\n\r\n")
                    one.status = int(text.split(b" ", 2)[1])
                    one.answers += 1
                    length = next((int(line.split(b":")[1]) for line in text.split(b"\r\n")
                                   if line.lower().startswith(b"content-length:")), 0)
                    body = await reader.readexactly(length)
                    if one.status == 200 and not body.startswith(one.id.encode()):
                        one.status = -2  # another request's answer
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            one.status = one.status or -1
        one.took = time.monotonic() - one.at
