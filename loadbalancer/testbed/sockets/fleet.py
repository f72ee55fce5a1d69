"""The boxes and the box list of a socket run: real listeners in front of the model's boxes.

Each balancer meets each box, and the list, at an address of its own, so it is known who sends what.
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from typing import Any, cast
from urllib.parse import parse_qs

import httptools

from loadbalancer.policy.api import UpstreamState
from loadbalancer.settings import Json
from loadbalancer.testbed.model.box import Box, Draw, Job, Verdict
from loadbalancer.testbed.model.fleet import build_fleet, entry_of, zones_of
from loadbalancer.testbed.model.registry import STOP_TAKING_NS, Entry, Registry
from loadbalancer.testbed.model.series import TAIL_NS
from loadbalancer.testbed.silence import silence
from loadbalancer.testbed.sockets.party import Party, main, say
from loadbalancer.testbed.topology import zone_of

MS = 1_000_000
STATES = {
    UpstreamState.READY: "Ready",
    UpstreamState.DRAINING: "Terminating",
    UpstreamState.REMOVED: "Gone",
}
# One clock for all: what an upstream's start is on the wall clock.
MONOTONIC_TO_UNIX_NS = time.time_ns() - time.monotonic_ns()
BODY = b"x" * 168
ANSWERS = {
    Verdict.ERROR: b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    Verdict.TURNED_AWAY: (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    ),
    Verdict.EXPIRED: b"HTTP/1.1 504 Gateway Timeout\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
}


class Incoming(asyncio.Protocol):
    """A connection that brings requests, one at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.first_ns = 0  # when the request's first byte came
        self.requests = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if not self.first_ns:
            self.first_ns = time.monotonic_ns()
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        url, headers, first = self.url, self.headers, self.first_ns
        self.url, self.headers, self.first_ns = b"", {}, 0
        self.requests += 1
        self.request(url, headers, first)

    def request(self, url: bytes, headers: dict[bytes, bytes], first_ns: int) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ToBox(Incoming):
    """A balancer's connection to a box."""

    def __init__(self, at: Door) -> None:
        super().__init__()
        self.at = at
        self.job: Job | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.at.open.add(self)
        if self.at.cut:
            self.transport.pause_reading()  # type: ignore[union-attr]

    def connection_lost(self, error: Exception | None) -> None:
        self.at.open.discard(self)
        if self.job is not None and not self.job.over:
            self.at.fleet.stop(self.at.box, self.job)

    def request(self, url: bytes, headers: dict[bytes, bytes], first_ns: int) -> None:
        fleet, box = self.at.fleet, self.at.box
        now = time.monotonic_ns()
        path, _, query = url.partition(b"?")
        if path in (b"/status/load", b"/health"):
            seen = box.probe(now)
            text = b"util=%.4f,latency_ms=%.3f" % (seen.util, seen.latency_ms)
            self._later(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
            fleet.probes += 1
            return
        ticket = headers.get(b"x-request-id", b"").decode("latin-1")
        try:
            work = int(ticket[8:16], 16) * 1000.0
            wait_ns = int(headers.get(b"x-deadline-ms", b"0")) * MS
        except ValueError:
            self.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
            return
        key = parse_qs(query.decode("latin-1")).get("obj", [""])[0]
        fleet.facts.note(first_ns, "sent", self.at.balancer, box.number, self.at.crosses)
        self.job = Job(ticket, self.at.balancer, work, key, now + wait_ns, self._ended)
        box.offer(self.job, now, self.requests == 1)
        fleet.plan(box)

    def _ended(self, job: Job, verdict: Verdict, now: int) -> None:
        fleet = self.at.fleet
        if verdict is Verdict.SERVED:
            fleet.facts.note(now, "finished", job.ticket)
            if self.at.box.spoilt and fleet.rng.random() < self.at.box.spoilt:
                self.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\ncut off")
                self.abort()
                return
            body = job.ticket.encode() + BODY
            self._later(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        elif verdict is Verdict.LOST:
            self.abort()
        else:
            self._later(ANSWERS[verdict])

    def _later(self, data: bytes) -> None:
        """After the network's time for the way there and back."""
        self.at.fleet.loop.call_later(self.at.round_trip_s, self._if_reached, data)

    def _if_reached(self, data: bytes) -> None:
        if not self.at.cut:
            self.write(data)


class Door:
    """One box's listener for one balancer. It can be closed, opened again at its address, and cut
    off without a word: what is open stays silent, and what is new never comes up.
    """

    def __init__(
        self, fleet: Fleet, balancer: int, box: Box, crosses: bool, round_trip_s: float
    ) -> None:
        self.fleet = fleet
        self.balancer = balancer
        self.box = box
        self.crosses = crosses
        self.round_trip_s = round_trip_s
        self.open: set[ToBox] = set()
        self.port = 0
        self.socket: socket.socket | None = None
        self.stuffing: list[socket.socket] = []
        self.cut = False
        self.tasks: set[asyncio.Task[Any]] = set()
        self.listen()

    def listen(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(512)
        self.port = listener.getsockname()[1]
        self.socket = listener
        self.fleet.loop.add_reader(listener, self._accept)

    def _accept(self) -> None:
        while self.socket is not None:
            try:
                link, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return
            link.setblocking(False)
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            made = self.fleet.loop.connect_accepted_socket(lambda: ToBox(self), link)
            task = self.fleet.loop.create_task(made)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        if self.socket is not None:
            self.fleet.loop.remove_reader(self.socket)
            self.socket.close()
            self.socket = None
        for link in list(self.open):
            link.abort()
        self._unstuff()

    def silence(self) -> None:
        """A partition: the kernel's queue for new connections is filled, so that theirs never come
        up.
        """
        self.cut = True
        for link in self.open:
            if link.transport is not None:
                link.transport.pause_reading()
        if self.socket is None:
            return
        self.fleet.loop.remove_reader(self.socket)
        self.stuffing = silence(self.socket)

    def hear(self) -> None:
        """The partition is over: what was open is reset."""
        self.cut = False
        for link in list(self.open):
            link.abort()
        if self.socket is not None:
            self._unstuff()
            self.socket.listen(512)
            self.fleet.loop.add_reader(self.socket, self._accept)

    def _unstuff(self) -> None:
        for stuffing in self.stuffing:
            stuffing.close()
        self.stuffing.clear()


class ToList(Incoming):
    """A balancer's connection to the box list."""

    def __init__(self, fleet: Fleet, balancer: int) -> None:
        super().__init__()
        self.fleet = fleet
        self.balancer = balancer
        self.since = -1
        self.hold: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.fleet.list_links.add(self)
        if self.fleet.registry.down:
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.fleet.list_links.discard(self)
        self.fleet.watches.discard(self)
        if self.hold is not None:
            self.hold.cancel()

    def request(self, url: bytes, headers: dict[bytes, bytes], first_ns: int) -> None:
        now = time.monotonic_ns()
        at, well = self.fleet.registry.call(now)
        if self.fleet.registry.down:
            self.abort()
            return
        query = parse_qs(url.partition(b"?")[2].decode("latin-1"))
        since = int(query.get("from", ["-1"])[0])
        hold_ms = int(query.get("hold_ms", ["0"])[0])
        self.fleet.loop.call_later(max(0, at - now) / 1e9, self._turn, well, since, hold_ms)

    def _turn(self, well: bool, since: int, hold_ms: int) -> None:
        if not well:
            self.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return
        self.since = since
        if since < 0 or self.fleet.registry.version > since:
            self.answer()
            return
        self.fleet.watches.add(self)
        self.hold = self.fleet.loop.call_later(min(60_000, hold_ms) / 1000, self.answer)

    def answer(self) -> None:
        """What is new since the version asked for, or the whole list."""
        registry = self.fleet.registry
        self.fleet.watches.discard(self)
        if self.hold is not None:
            self.hold.cancel()
            self.hold = None
        news = registry.since(self.since) if self.since >= 0 else None
        full = news is None
        entries = list(registry.entries.values()) if news is None else news
        body = json.dumps(
            {
                "version": registry.version,
                "full": full,
                "servers": [self.fleet.row(self.balancer, e) for e in entries],
            }
        ).encode()
        now = time.monotonic_ns()
        self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.fleet.told(self.balancer, entries, full, now)


class Fleet(Party):
    def __init__(self, told: Json) -> None:
        super().__init__(told)
        t, now = self.t, time.monotonic_ns()
        self.rng = random.Random(f"{self.seed}/fleet/sockets")
        self.boxes = build_fleet(t, self.seed, now)
        self.zones = zones_of(t)
        for box in self.boxes:
            box.began = lambda job, at, box=box: self.facts.note(  # type: ignore[misc]
                at, "executed", job.ticket, box.number
            )
            box.fell = lambda at, work, box=box: self._fell(box, at, work)  # type: ignore[misc]
        self.registry = Registry(
            t.discovery, [self.entry(i) for i in range(len(self.boxes))], self.rng
        )
        self.probes = 0
        self.due: dict[int, asyncio.TimerHandle] = {}
        self.list_links: set[ToList] = set()
        self.watches: set[ToList] = set()
        self.list_servers: list[asyncio.Server] = []
        draw = Draw(random.Random(f"{self.seed}/net"))
        same, cross = draw.ns(t.network.same) / 1e9, draw.ns(t.network.cross) / 1e9
        self.doors: dict[tuple[int, int], Door] = {}
        for n in range(t.balancers.count):
            for box in self.boxes:
                crosses = zone_of(t, n) != self.zones[box.number]
                self.doors[n, box.number] = Door(
                    self, n, box, crosses, 2 * (cross if crosses else same)
                )

    async def listen(self) -> None:
        ports = []
        for n in range(self.t.balancers.count):
            server = await self.loop.create_server(
                lambda n=n: ToList(self, n),  # type: ignore[misc]
                "127.0.0.1",
                0,
            )
            self.list_servers.append(server)
            ports.append(server.sockets[0].getsockname()[1])
        capacity = sum(box.nature.capacity for box in self.boxes)
        say(
            ready={
                "lists": ports,
                "capacity": capacity,
                "known": [
                    {
                        "version": 1,
                        "full": True,
                        "servers": [self.row(n, e) for e in self.registry.entries.values()],
                    }
                    for n in range(self.t.balancers.count)
                ],
            }
        )
        await super().listen()

    def entry(self, i: int, state: UpstreamState = UpstreamState.READY) -> Entry:
        return entry_of(self.t, self.boxes[i], i, state)

    def row(self, balancer: int, e: Entry) -> Json:
        """An entry in discovery's form, with the address that this balancer has for it."""
        started = (e.started_ns + MONOTONIC_TO_UNIX_NS) // MS if e.started_ns else 0
        return {
            "id": f"box-{e.number}",
            "addr": f"127.0.0.1:{self.doors[balancer, e.number].port}",
            "zone": e.zone,
            "kind": e.kind,
            "cell": e.cell,
            "state": STATES[e.state],
            "weight": 1.0,
            "started_ms": started,
        }

    def told(self, balancer: int, entries: list[Entry], full: bool, now: int) -> None:
        listed = set()
        for e in entries:
            listed.add(e.number)
            self.facts.note(
                now, "told", balancer, e.number, e.state is UpstreamState.READY, e.started_ns
            )
        if full:
            for i in range(len(self.boxes)):
                if i not in listed:
                    self.facts.note(now, "told", balancer, i, False, 0)

    # ---- boxes -----------------------------------------------------------------------------------

    def plan(self, box: Box) -> None:
        when = box.due()
        standing = self.due.pop(box.number, None)
        if standing is not None:
            standing.cancel()
        if when is not None:
            wait = max(0.0, (when - time.monotonic_ns()) / 1e9)
            self.due[box.number] = self.loop.call_later(wait, self._advance, box)

    def _advance(self, box: Box) -> None:
        box.advance(time.monotonic_ns())
        self.plan(box)

    def stop(self, box: Box, job: Job) -> None:
        if box.up:
            box.stop(job, time.monotonic_ns())
            self.plan(box)

    def _fell(self, box: Box, now: int, work: dict[int, float]) -> None:
        self.facts.note(now, "fell", box.number, list(work.items()), box.started_ns)
        self.loop.call_soon(self._doors, box.number, "close")
        self._note(box.number, UpstreamState.REMOVED)

    def _doors(self, box: int, what: str) -> None:
        for (_, number), door in self.doors.items():
            if number == box:
                getattr(door, what)()

    def _note(self, box: int, state: UpstreamState) -> None:
        now = time.monotonic_ns()
        at = self.registry.note(self.entry(box, state), now)
        self.loop.call_later((at - now) / 1e9, self._show)

    def _show(self) -> None:
        if self.registry.down:
            self.loop.call_later(0.1, self._show)
            return
        news = self.registry.advance(time.monotonic_ns())
        for entry in news:
            if entry.state is UpstreamState.DRAINING:
                self.loop.call_later(STOP_TAKING_NS / 1e9, self._turn_away, entry)
        if news:
            for watch in list(self.watches):
                self.loop.call_later(self.rng.random() * 0.05, self._tell_watch, watch)

    def _tell_watch(self, watch: ToList) -> None:
        if watch in self.watches:
            watch.answer()

    def _turn_away(self, entry: Entry) -> None:
        box = self.boxes[entry.number]
        if box.up and box.started_ns == entry.started_ns:
            box.draining = True

    # ---- orders ----------------------------------------------------------------------------------

    def status(self) -> Json:
        return {
            "held": [box.held for box in self.boxes],
            "state": [in_a_word(box) for box in self.boxes],
        }

    def final(self) -> Json:
        span_ns = self.t.length + TAIL_NS
        return {
            "probes": self.probes,
            "wasted": sum(b.counts.wasted for b in self.boxes),
            "boxes": [b.row(self.zones[b.number], span_ns) for b in self.boxes],
        }

    def order(self, what: Json) -> None:
        if "go" in what:
            now = time.monotonic_ns()
            for n in range(self.t.balancers.count):
                self.told(n, list(self.registry.entries.values()), False, now)
            self.begin()
        elif "born" in what:
            self.facts.note(time.monotonic_ns(), "born", what["born"])
        elif "step" in what:
            self._step(what["step"], what["whom"], what["size"])

    def _step(self, what: str, whom: int, size: float) -> None:
        match what:
            case "list down":
                self.registry.down = True
                for link in list(self.list_links):
                    link.abort()
                return
            case "list up":
                self.registry.down = False
                return
            case "late reports" | "late reports over":
                for each in self.boxes:
                    each.step(what, size)
                return
        if whom < 0:
            return
        box = self.boxes[whom]
        box.advance(time.monotonic_ns())
        box.step(what, size)
        match what:
            case "partition":
                self._doors(whom, "silence")
            case "partition over":
                self._doors(whom, "hear")
            case "drain":
                self._note(whom, UpstreamState.DRAINING)
            case "box down" if box.up:
                box.die(time.monotonic_ns())
                self._doors(whom, "close")
                self._note(whom, UpstreamState.REMOVED)
            case "box up" if not box.up:
                box.start(time.monotonic_ns())
                self._doors(whom, "listen")
                self._note(whom, UpstreamState.READY)
            case "unlist":
                self._note(whom, UpstreamState.REMOVED)
            case "list" if box.up:
                self._note(whom, UpstreamState.READY)
        self.plan(box)


def in_a_word(box: Box) -> str:
    if not box.up:
        return "down"
    if box.draining:
        return "drains"
    if box.choked_since >= 0:
        return "choked"
    if box.coldness() < 1.0:
        return "cold"
    return "slow" if box.slow > 1 else ""


if __name__ == "__main__":
    main(Fleet)
