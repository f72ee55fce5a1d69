"""Clients of a socket run: an open loop of requests to real balancers, and what they get.

A request is due when it is due, however late its victim or this process runs; times count from
there.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import cast

import httptools

from loadbalancer.settings import Json
from loadbalancer.testbed.ledger import Answer
from loadbalancer.testbed.model.workload import Want, Workload
from loadbalancer.testbed.sockets.party import Party, main, say
from loadbalancer.testbed.topology import zone_of

MS = 1_000_000
CONNECT_S = 1.0
GRACE_S = 0.25  # a client waits this much longer before it counts an answer as missing
LONGEST_WORK_US = 0xFFFFFFFF
UNFINISHED_S = 0.02  # between two clients that never finish, where the fault has no size


class Wish:
    """What a client wants, through all of its tries."""

    __slots__ = ("received_ns", "tries", "want")

    def __init__(self, want: Want) -> None:
        self.want = want
        self.received_ns = want.at_ns
        self.tries = 0


class Asked:
    """One try, out to a balancer."""

    __slots__ = ("again", "balancer", "deadline_ns", "over", "taken", "ticket", "timer", "wish")

    def __init__(self, ticket: str, wish: Wish, balancer: int, deadline_ns: int) -> None:
        self.ticket = ticket
        self.wish = wish
        self.balancer = balancer
        self.deadline_ns = deadline_ns
        self.over = False
        self.taken = False
        self.again = False  # it was sent once more, on a new connection
        self.timer: asyncio.TimerHandle | None = None


class Link(asyncio.Protocol):
    """A client's connection to a balancer, with one request at a time."""

    def __init__(self, load: Load, balancer: int) -> None:
        self.load = load
        self.balancer = balancer
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.asked: Asked | None = None
        self.used = 0
        self.closing = False
        self.heard = False  # part of an answer came
        self.body = b""
        self.told_ns = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, asked: Asked, data: bytes) -> None:
        assert self.transport is not None
        self.asked = asked
        self.heard, self.body, self.told_ns, self.closing = False, b"", 0, False
        self.parser = httptools.HttpResponseParser(self)
        self.used += 1
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.asked is None or self.parser is None:
            self.drop()
            return
        self.heard = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.load.ended(self, Answer.FAILED)
            self.drop()

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"retry-after":
            self.told_ns = int(float(value) * 1e9)
        elif lower == b"connection" and value.lower() == b"close":
            self.closing = True

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code() if self.parser is not None else 0
        answer = {200: Answer.SERVED, 429: Answer.REFUSED, 503: Answer.REFUSED}.get(
            status, Answer.FAILED
        )
        self.load.ended(self, answer)

    def connection_lost(self, error: Exception | None) -> None:
        self.load.lost(self)

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Load(Party):
    def __init__(self, told: Json) -> None:
        super().__init__(told)
        self.number: int = told["number"]
        self.addresses: list[tuple[str, int]] = [tuple(a) for a in told["addresses"]]
        self.capacity: float = told["capacity"]
        self.zones: list[int] = told["zones"]
        self.front = [True] * len(self.addresses)
        self.rng = random.Random(f"{self.seed}/front/{self.number}")
        self.idle: dict[int, list[Link]] = {n: [] for n in range(len(self.addresses))}
        self.counts: Counter[str] = Counter()
        self.slowest_us = 0
        self.tickets = 0
        self.workload: Workload | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.unfinished: asyncio.Task[None] | None = None
        self.bodies = {c.name: b"" if c.effect == "safe" else b"b" * 120 for c in self.t.classes}

    async def listen(self) -> None:
        say(ready={})
        await super().listen()

    def status(self) -> Json:
        found = dict(self.counts) | {"slowest_us": self.slowest_us}
        self.slowest_us = 0
        return found

    def order(self, what: Json) -> None:
        if "go" in what:
            self.workload = Workload(
                self.t,
                f"{self.seed}/clients/{self.number}",
                self.capacity,
                what["go"],
                len(self.zones) / len(self.t.network.zones),
                self.zones,
                self.number << 24,
            )
            self.begin()
            self._spawn(self._arrivals(self.workload, what["go"]))
        elif "front" in what:
            self.front[what["front"]] = what["up"]
            if not what["up"]:
                for link in self.idle[what["front"]]:
                    link.drop()
                self.idle[what["front"]].clear()
        elif "step" in what and self.workload is not None:
            if self.workload.step(what["step"], what["name"], what["size"], what["part"]):
                return
            match what["step"]:
                case "unfinished":
                    self.unfinished = self._spawn(self._never_finish(max(1.0, what["size"])))
                case "unfinished over" if self.unfinished is not None:
                    self.unfinished.cancel()

    def _spawn(self, work: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = self.loop.create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _arrivals(self, workload: Workload, start_by_ns: int) -> None:
        for want in workload.wants(start_by_ns + self.t.length):
            wait = (want.at_ns - time.monotonic_ns()) / 1e9
            if wait > 0:
                await asyncio.sleep(wait)
            wish = Wish(want)
            self.facts.note(
                want.at_ns, "root", want.number, want.cls.name, want.tenant, want.key, want.within
            )
            self.counts["asked"] += 1
            self._try(wish, want.at_ns)

    def _pick(self, zone: int) -> int | None:
        name = self.t.network.zones[zone]
        near = [
            n for n in range(len(self.addresses)) if self.front[n] and zone_of(self.t, n) == name
        ]
        near = near or [n for n, up in enumerate(self.front) if up]
        return near[int(self.rng.random() * len(near))] if near else None

    def _try(self, wish: Wish, now: int) -> None:
        assert self.workload is not None
        want = wish.want
        self.tickets += 1
        wish.tries += 1
        work_us = min(LONGEST_WORK_US, max(1, int(want.work / 1000)))
        ticket = f"{(self.number << 26) | self.tickets:08x}{work_us:08x}"
        deadline = self.workload.try_ns(want.cls, wish.received_ns, now)
        balancer = self._pick(want.zone)
        asked = Asked(ticket, wish, -1 if balancer is None else balancer, deadline)
        self.facts.note(now, "asked", ticket, want.number, deadline, asked.balancer)
        if wish.tries > 1:
            self.counts["retries"] += 1
        if balancer is None:
            self._over(asked, Answer.UNREACHED, 0)
            return
        wait = (deadline - time.monotonic_ns()) / 1e9 + GRACE_S
        asked.timer = self.loop.call_later(max(0.0, wait), self._waited, asked)
        self._place(asked)

    def _place(self, asked: Asked) -> None:
        idle = self.idle[asked.balancer]
        fresh = asked.again or self.rng.random() < self.t.clients.new_connections
        while idle and not fresh:
            link = idle.pop()
            if link.transport is not None and not link.transport.is_closing():
                self._write(link, asked)
                return
        self._spawn(self._connect(asked))

    async def _connect(self, asked: Asked) -> None:
        link = Link(self, asked.balancer)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.loop.create_connection(lambda: link, *self.addresses[asked.balancer])
        except OSError:
            if not asked.over:
                self._over(asked, Answer.UNREACHED, 0)
            return
        if asked.over:
            link.drop()
            return
        self._write(link, asked)

    def _write(self, link: Link, asked: Asked) -> None:
        want = asked.wish.want
        now = time.monotonic_ns()
        left_ms = max(1, (asked.deadline_ns - now) // MS)
        body = self.bodies[want.cls.name]
        method = "GET" if not body else "POST"
        head = (
            f"{method} /{want.cls.name}?obj={want.key} HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Request-Id: {asked.ticket}\r\nX-Class: {want.cls.name}\r\nX-Tenant: "
            f"{want.tenant}\r\n"
            f"X-Deadline-Ms: {left_ms}\r\n"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        link.send(asked, head.encode() + b"\r\n" + body)
        if not asked.taken:
            asked.taken = True
            self.facts.note(now, "taken", asked.ticket)

    # ---- answers ---------------------------------------------------------------------------------

    def ended(self, link: Link, answer: Answer) -> None:
        """A whole answer came on this connection."""
        asked, link.asked = link.asked, None
        if asked is None:
            return
        if answer is Answer.SERVED and not link.body.startswith(asked.ticket.encode()):
            self.facts.note(
                time.monotonic_ns(), "foreign", asked.ticket, link.body[:16].decode("latin-1")
            )
        if not asked.over:
            self._over(asked, answer, link.told_ns)
        if link.closing:
            link.drop()
        elif len(self.idle[link.balancer]) < 256:
            self.idle[link.balancer].append(link)
        else:
            link.drop()

    def lost(self, link: Link) -> None:
        """The connection ended. If that crossed a request that its balancer has not read, the
        client sends it once more on a new one.
        """
        idle = self.idle[link.balancer]
        if link in idle:
            idle.remove(link)
        asked, link.asked = link.asked, None
        if asked is None or asked.over:
            return
        if link.used > 1 and not link.heard and not asked.again:
            asked.again = True
            self._place(asked)
            return
        self.facts.note(time.monotonic_ns(), "cut", asked.ticket)
        self.counts["failed"] += 1
        self._close(asked)
        self._again(asked, Answer.FAILED, 0)

    def _waited(self, asked: Asked) -> None:
        if not asked.over:
            self._over(asked, Answer.NONE, 0)

    def _close(self, asked: Asked) -> None:
        asked.over = True
        if asked.timer is not None:
            asked.timer.cancel()

    def _over(self, asked: Asked, answer: Answer, told_ns: int) -> None:
        now = time.monotonic_ns()
        self._close(asked)
        self.facts.note(now, "answered", asked.ticket, answer.value)
        self.counts[answer.value] += 1
        if answer is Answer.SERVED:
            took = now - asked.wish.received_ns
            self.slowest_us = max(self.slowest_us, took // 1000)
            self.counts["good" if took <= asked.wish.want.cls.aim else "late"] += 1
        self._again(asked, answer, told_ns)

    def _again(self, asked: Asked, answer: Answer, told_ns: int) -> None:
        assert self.workload is not None
        wish, now = asked.wish, time.monotonic_ns()
        at = self.workload.again_at(
            wish.want.cls, wish.received_ns, wish.tries, answer, told_ns, now
        )
        if at is not None:
            self.loop.call_later((at - now) / 1e9, lambda: self._try(wish, time.monotonic_ns()))

    # ---- clients that never finish ---------------------------------------------------------------

    async def _never_finish(self, per_s: float) -> None:
        """Clients that connect, write half a head, and say no more."""
        links: list[asyncio.StreamWriter] = []
        try:
            while True:
                host, port = self.addresses[int(self.rng.random() * len(self.addresses))]
                try:
                    _, writer = await asyncio.open_connection(host, port)
                    writer.write(b"GET /lookup HTTP/1.1\r\nHost: or")
                    links.append(writer)
                except OSError:
                    pass
                if len(links) > 4000:
                    links.pop(0).transport.abort()
                await asyncio.sleep(max(0.001, UNFINISHED_S / per_s))
        finally:
            for writer in links:
                writer.transport.abort()


if __name__ == "__main__":
    main(Load)
