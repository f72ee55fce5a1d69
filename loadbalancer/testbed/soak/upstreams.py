"""An emulated upstream: what it was asked, when, and how it misbehaves."""

from __future__ import annotations

import asyncio
import math
import random
import socket
import time
from enum import Enum
from typing import cast

from loadbalancer.proxy.tcp_state import Socket, receive_state, reset_on_close
from loadbalancer.testbed.soak.capacity import Capacity, Workers
from loadbalancer.testbed.soak.history import Attempt, History
from loadbalancer.testbed.soak.long_answers import AnswerForm, Framing
from loadbalancer.testbed.soak.long_requests import Reading
from loadbalancer.testbed.soak.plan import SECOND
from loadbalancer.testbed.soak.ports import free_port
from loadbalancer.testbed.soak.request_reader import RequestHead, RequestReader

MS_PER_S = 1_000
CLOSE_CHECK_S = 0.02  # between two looks of an upstream that does not read
NOT_RUN = b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


TWICE_SHARE = 0.3  # of the responses of an upstream that answers twice
LATEST_REPEAT_S = 0.012  # behind the first one


def response(body: bytes, headers: bytes = b"") -> bytes:
    """Return a response with this body; each header ends in CRLF."""
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (headers, len(body), body)


UNLIKE = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"  # a second response of another status


class Mood(Enum):
    """How it takes requests."""

    WELL = "answers"
    HANGS = "says nothing"
    RESETS = "resets the connection under a request"
    SHEDS = "turns requests away"
    NO_LENGTH = "answers without a length"
    TWICE = "answers twice"


class Upstream:
    """One of them. It may die and be started again: then it is another process.

    Attributes:
        work_s: How long a request takes, from and to.
        repeated: The share of its responses behind which a second one follows.
        capacity: What it can serve; None: any number of requests at once, `work_s` each.
        workers: The cores of its process now; None without a capacity.
        receive_buffer: Bytes of its connections' receive buffers; None: the kernel adapts them.
    """

    def __init__(
        self,
        name: str,
        history: History,
        rng: random.Random,
        work_s: tuple[float, float],
        repeated: float = 0.0,
        capacity: Capacity | None = None,
    ) -> None:
        self.name = name
        self.history = history
        self.rng = rng
        self.work_s = work_s
        self.repeated = repeated
        self.capacity = capacity
        self.workers: Workers | None = None
        self.receive_buffer: int | None = None
        self.is_cold = False
        self.started_ns = 0
        self.mood = Mood.WELL
        self.process = 0
        self.started_ms = 0
        self.listener: socket.socket | None = None
        self.port = free_port()
        self.accepting = True
        self.links: set[Link] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Listen, each time at the same port."""
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer is not None:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(1 if not self.accepting else 128)
        self.listener.setblocking(False)
        self.is_cold = self.process > 0
        self.process += 1
        self.started_ns = time.monotonic_ns()
        if self.capacity is not None:
            self.workers = Workers(self.capacity, self.rng)
        self.accept(True)

    async def work(self) -> bool:
        """Work on a request; False: it was not taken, as the queue is full."""
        if self.workers is None:
            await asyncio.sleep(self.rng.uniform(*self.work_s))
            return True
        age_s = (time.monotonic_ns() - self.started_ns) / SECOND
        return await self.workers.work(age_s if self.is_cold else math.inf)

    def accept(self, on: bool) -> None:
        """Take new connections, or leave them in the queue, which is then short."""
        loop = asyncio.get_running_loop()
        if self.listener is None:
            return
        loop.remove_reader(self.listener)
        self.accepting = on
        self.listener.listen(128 if on else 0)
        if on:
            loop.add_reader(self.listener, self._accept)

    def die(self) -> None:
        """All connections are reset, and new ones refused."""
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for link in list(self.links):
            link.abort()

    def _accept(self) -> None:
        assert self.listener is not None
        try:
            while True:
                sock, _ = self.listener.accept()
                sock.setblocking(False)
                asyncio.get_running_loop().create_task(self._serve(sock))
        except OSError:
            return

    async def _serve(self, sock: socket.socket) -> None:
        try:
            await asyncio.get_running_loop().connect_accepted_socket(lambda: Link(self), sock)
        except OSError:
            sock.close()


class Link(asyncio.Protocol):
    """A balancer's connection to it."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.process = upstream.process
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(self._head, self._request_completed)
        self.reading = Reading()
        self.read_timer: asyncio.TimerHandle | None = None
        self.read_ns = 0  # when the latest input arrived
        self.attempt: Attempt | None = None
        self.task: asyncio.Task[None] | None = None  # works on the latest request
        self.form = AnswerForm()
        self.writes: Attempt | None = None  # whose long answer is being written
        self.works: Attempt | None = None  # whose answer has not begun
        self.resumed = asyncio.Event()
        self.resumed.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.upstream.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.upstream.links.discard(self)
        self.resumed.set()
        if self.writes is not None:
            self.writes.cut_ns = time.monotonic_ns()
        for attempt in (self.attempt, self.works):
            if attempt is not None:
                attempt.given_up_ns = time.monotonic_ns()
        if self.read_timer is not None:
            self.read_timer.cancel()
        if self.upstream.workers is not None and self.task is not None:
            self.task.cancel()  # work stops when its request is given up

    def abort(self) -> None:
        self.writes = self.attempt = self.works = None
        if self.transport is not None and not self.transport.is_closing():
            # As the pages have it for a process that dies; an orderly end would complete an answer
            # that is framed by the close.
            reset_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()

    def pause_writing(self) -> None:
        self.resumed.clear()

    def resume_writing(self) -> None:
        self.resumed.set()

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        sock: Socket = self.transport.get_extra_info("socket")
        self.read_ns = time.monotonic_ns() - receive_state(sock)[1]
        if self.attempt is None:
            self.attempt = Attempt("", self.upstream.name, self.process, self.read_ns, 0)
        if not self.reader.feed(data):
            self.abort()
            return
        pause_s = self.reading.pause_s(len(data)) if self.attempt is not None else 0.0
        if pause_s:
            self.transport.pause_reading()
            self._read_on_at(asyncio.get_running_loop().time() + pause_s)

    def _read_on_at(self, at_s: float) -> None:
        """Read on at this time; until then look whether the balancer has closed the connection."""
        if self.transport is None or self.transport.is_closing():
            return
        loop = asyncio.get_running_loop()
        sock: Socket = self.transport.get_extra_info("socket")
        if receive_state(sock).peer_closed:
            if self.attempt is not None:
                self.attempt.given_up_ns = time.monotonic_ns()
            self.abort()
        elif loop.time() >= at_s:
            self.transport.resume_reading()
        else:
            pause_s = min(CLOSE_CHECK_S, at_s - loop.time())
            self.read_timer = loop.call_later(pause_s, self._read_on_at, at_s)

    def _head(self, head: RequestHead) -> None:
        assert self.attempt is not None
        self.form = AnswerForm.of_target(head.target)
        self.reading = Reading.of_target(head.target)
        self.attempt.id = head.headers.get("x-request-id", "")
        self.attempt.told_ms = int(head.headers.get("x-deadline-ms", "0"))
        self.upstream.history.attempts.append(self.attempt)

    def _request_completed(self) -> None:
        attempt, self.attempt = self.attempt, None
        assert attempt is not None
        attempt.whole_ns = self.read_ns
        self.works = attempt
        self.task = asyncio.get_running_loop().create_task(self._work(attempt))

    async def _work(self, attempt: Attempt) -> None:
        upstream, rng = self.upstream, self.upstream.rng
        mood = upstream.mood
        if mood is Mood.SHEDS and rng.random() < 0.7:
            self._write(NOT_RUN)
            return
        attempt.ran = True
        if self.form.hold_ms is not None:
            await asyncio.sleep(self.form.hold_ms / MS_PER_S)
        elif not await upstream.work():
            attempt.ran = False
            self._write(NOT_RUN)
            return
        if mood is Mood.HANGS:
            return
        if mood is Mood.RESETS and rng.random() < 0.5:
            self.abort()
            return
        body = f"{attempt.id} by {upstream.name}".encode()
        if self.form.size:
            await self._write_slowly(attempt, self.form, body)
            return
        if mood is Mood.NO_LENGTH:
            self._write(b"HTTP/1.1 200 OK\r\n\r\n" + body[:4])
            if rng.random() < 0.3:
                self.abort()
                return
            self._write(body[4:])
            if self.transport is not None:
                self.transport.close()
            return
        self._write(response(body))
        if rng.random() < (TWICE_SHARE if mood is Mood.TWICE else upstream.repeated):
            await self._repeat(body)

    async def _write_slowly(self, attempt: Attempt, form: AnswerForm, body: bytes) -> None:
        self._write(form.head())
        self.writes = None if form.stop else attempt
        for pause_s, piece in form.pieces(body):
            await asyncio.sleep(pause_s)
            await self.resumed.wait()
            if self.writes is not attempt and not form.stop:
                return
            self._write(piece)
        self.writes = None
        if form.stop:
            return
        if form.framing is Framing.CLOSE and self.transport is not None:
            self.transport.close()

    async def _repeat(self, body: bytes) -> None:
        """Answer once more, a little later, and not always with the same."""
        rng = self.upstream.rng
        await asyncio.sleep(rng.choice((0.0, rng.uniform(0.0, LATEST_REPEAT_S))))
        self._write(rng.choice((response(body), UNLIKE, response(body, b"X-Copy: 1\r\n"))))

    def _write(self, data: bytes) -> None:
        self.works = None
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
