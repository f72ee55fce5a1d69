"""The clients' side: the listener, `/ready`, requests in, and each request's one final answer out."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import time
from collections.abc import Mapping
from contextlib import suppress
from enum import Enum
from http import HTTPStatus
from typing import cast
from urllib.parse import unquote_plus

from lanelift import interface as api
from lanelift.errnos import Cause, Operation, cause
from lanelift.net.body import Body, Store
from lanelift.net.driver import Driver
from lanelift.net.http import LAST_CHUNK, Reading, chunk, end_to_end
from lanelift.net.kernel import Socket, readable, received
from lanelift.net.listener import leave_to_successor, listen
from lanelift.net.parse import MAX_BODY, Headers, Request, RequestReader, Response, Unacceptable, message
from lanelift.net.requests import OpenRequest
from lanelift.net.timers import call_after

log = logging.getLogger(__name__)

BACKLOG = 1024  # newcomers that the kernel holds while there is no room: dropped, they wait for 1 s
ANSWER_NS = 3_000_000  # kept of each deadline for the answer's way to the client
# Parts of the cap above which an answer ends its connection: one that is no upstream's, and any. Idle ones
# are left their 2 s, so that with many clients they would fill all places, and newcomers wait for seconds.
CROWDED, FULL = 0.5, 0.6
UPLOAD_NS = 600_000_000_000  # longer than the longest body takes that comes as slowly as is allowed
QUANTUM = 16 * 1024  # bytes of a body that count as progress
SLICE = 16 * 1024  # bytes parsed at a time: what is sent ahead of answers waits unparsed, and small
MAX_ID = 128  # bytes of a request's id: it is a key of tables and stands in the log
# After SIGTERM a process has the longest deadline, or this if that is longer, and a little more.
LONGEST_NS, LEAVE_NS = 3_000_000_000, 550_000_000
DRAIN_S = 0.5  # after SIGTERM new connections are still dealt out for almost this long
ACCEPT_PAUSE_S = 0.05  # behind an accept that failed for want of something on this machine
QUEUE_S = 0.01  # between two looks at an accept queue that could not be emptied for want of places
MS, US = 1_000_000, 1_000
NOT_OURS = frozenset({b"x-deadline-ms"})


class Phase(Enum):
    """What a connection without an open request is doing."""

    NEW = "its request is not whole yet"
    BODY = "the body of its request goes on coming"
    ANSWER = "a long answer goes out, or waits for its client to read"
    IDLE = "between two requests"
    LINGERING = "its sending has ended; what still comes is dropped until its client ends too"


# How long it may: a request must be whole this long after its client connected, or after its first byte on a
# connection that was used before (whoever is silent or slow is owed an end within 3 s of connecting, and may
# take 2 s over a head), or go on coming, by a QUANTUM in each such time; so long a long answer may stand
# still; a kept connection is closed after so long, and clients open another; its client is left so long to
# read the last answer and to end in its turn (lingering close).
LIMIT_S = {Phase.NEW: 2.6, Phase.BODY: 1.5, Phase.ANSWER: 10.0, Phase.IDLE: 10.0, Phase.LINGERING: 1.0}
# At the cap these make room, in this order: one that has lingered for so long, one that sent
# nothing for so long though its request is not whole, one that has been idle for the 2 s that clients count
# on. At last it is whoever has been silent longest, but for the time in which an honest client begins.
LEFT_S, SILENT_S, KEPT_S, BEGIN_S = 0.1, 0.5, 2.0, 0.05
# A connection at rest is not ended over something that lies unread, but no longer than the first: a timer
# runs ahead of the sockets, and where the loop is late, as on a crowded core, what came meanwhile is read
# only behind it, on the same turn. Then the connection is looked at again.
UNREAD_S, LOOK_AGAIN_S = 0.3, 0.004


class Frontend:
    """The listening socket and its connections, kept under a cap."""

    def __init__(self, driver: Driver, listener: socket.socket, max_clients: int, store: Store) -> None:
        self.driver = driver
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.listener = listener
        self.max_clients = max_clients
        self.clients: set[ClientConnection] = set()
        # Those without an open request, and since when: the longest first, so that one timer serves them all.
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
        """Take what waits; True if nothing is left. At the cap, connections without a request make room; if
        none can yet, the backlog holds the newcomers: one that was accepted is owed an answer, so none is
        taken to be dropped."""
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
                log.error("accept: %s", error)  # out of descriptors: a later connection's end makes room
                self._pause(ACCEPT_PAUSE_S)
                return False
            if received(sock)[0]:
                sock.close()  # it gave up while it waited here: nobody would read an answer
                continue
            sock.setblocking(False)
            # It counts from here on, and once: counted again while its transport is made, it would drive out
            # another client for nothing.
            client = ClientConnection(self)
            self.clients.add(client)
            task = self.loop.create_task(self._open(client, sock))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)
        return False

    def _room(self) -> None:
        """At the cap: end one that has no request open. Its place is free on the loop's next turn, which
        looks at the listener again. Where all are too fresh for that, wait until the first is not."""
        now = self.loop.time()
        heads = []
        kept_s = 0.0 if self.draining else KEPT_S  # clients of one that leaves open connections elsewhere
        for table, seconds in ((self.waiting[Phase.LINGERING], LEFT_S), (self.unfinished, SILENT_S),
                               (self.waiting[Phase.IDLE], kept_s), (self.unfinished, BEGIN_S)):
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
        """It has no request open from now on, and can make room: listen again, should that have stopped."""
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

    # ---- the end -----------------------------------------------------------------------------------------

    def drain(self) -> None:
        """SIGTERM: new connections come for a while, and old ones are used. All are answered, then closed."""
        if not self.draining:
            self.drained.set()
            self.drained_ns = time.monotonic_ns()
            if self.started:
                leave_to_successor(self.listener)
            self.loop.call_later(DRAIN_S, self._stop)

    def _stop(self) -> None:
        """What is in the accept queue was taken, and closing the listener would reset it: first it is
        emptied, as far as places allow, and what is at rest makes room for it."""
        if self.closed:
            return
        self._listen()
        if self.started and not self._accept():
            self.loop.call_later(QUEUE_S, self._stop)
            return
        self._pause()
        self.closed = True
        self.listener.close()
        # A new connection is left its time all the same: its client has no reason yet to send elsewhere.
        self._sweep()
        self.check_left()

    def end_open(self) -> None:
        """This process ends: who still waits is told so, and so is who has sent part of a request."""
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


class ClientConnection(Reading):
    """One client's connection. It carries one request at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.driver = frontend.driver
        self.reader = RequestReader(store=frontend.store)
        self.ahead = bytearray()  # come, and not parsed yet
        self.transport: asyncio.Transport | None = None
        self.open: OpenRequest | None = None
        self.upload: Body | None = None  # the body of the open request, as long as it comes
        self.progress = 0  # bytes of a body that came since that was last counted
        self.answer: Body | None = None  # what goes out in pieces
        self.in_chunks = False  # these are chunks
        self.last = False  # the connection ends behind it
        self.wait_ns = 0  # how long its client waits once the body is whole
        self.asked_ns = 0  # when what is being parsed came
        self.phase: Phase | None = None  # the table of the frontend that it stands in
        self.end_at = 0.0  # overdue since it was first seen so, it ends then, whatever lies unread
        self.lingering = False  # its last answer is given: what it sends is not read any more
        self.blocked = False  # it does not read its answers
        self.keep_alive = True
        self.is_head = False
        self.latest = True  # the client speaks HTTP/1.1

    @property
    def unread(self) -> bool:
        """Did something come, at rest, that nobody has looked at yet?"""
        if self.has_data:
            return self.phase is Phase.IDLE  # sent ahead, and about to be parsed
        return self.phase in (Phase.NEW, Phase.IDLE) and self._live is not None and readable(self._socket)

    @property
    def unsent(self) -> bool:
        """Is part of what was written still held here?"""
        transport = self._live
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def gone(self) -> bool:
        """Has the client closed its connection, read or not? A loop that is late, or is not reading from it,
        has not heard of it yet; the kernel has."""
        return self._live is None or received(self._socket)[0]

    @property
    def _live(self) -> asyncio.Transport | None:
        transport = self.transport
        return None if transport is None or transport.is_closing() else transport

    @property
    def _socket(self) -> Socket:
        assert self.transport is not None
        sock: Socket = self.transport.get_extra_info("socket")
        return sock

    @property
    def has_data(self) -> bool:
        """Part of a request has come."""
        return self.reader.begun or bool(self.reader.ready or self.ahead)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.frontend.wait(self, Phase.NEW)

    def data_received(self, data: bytes) -> None:
        if self.lingering:
            return
        # Deadlines count from the client's send. What waited in the backlog, or for a loop that was late, is
        # not fresh; and work for a client that has left makes those behind it late, until they leave too.
        gone, ago_ns = received(self._socket)
        if gone:
            self.abort()
            return
        self.asked_ns = time.monotonic_ns() - ago_ns
        self.frontend.heard(self)
        self._count(len(data))
        if not self.reading and len(self.ahead) > MAX_BODY:
            self.abort()  # one request at a time: what floods in behind it would fill the memory
            return
        self.ahead += data
        self._parse()

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False
        self._pass_on()
        self._parse()

    @property
    def reading(self) -> bool:
        """Is what comes looked at, or does it wait for an answer to end?"""
        if self.lingering or self.blocked or self.answer is not None:
            return False
        return self.open is None or self.upload is not None

    def _count(self, size: int) -> None:
        """Who sends slowly is left the time that it takes, as long as it goes on."""
        if self.phase not in (Phase.NEW, Phase.BODY) or not self.reader.in_body:
            return
        self.progress += size
        if self.progress >= QUANTUM:
            self.progress = 0
            self.frontend.wait(self, Phase.BODY)

    # ---- a body in pieces: called by it --------------------------------------------------------------------

    def pause(self) -> None:
        """What was read of it waits for its upstream: that is not its client's time."""
        self.frontend.busy(self)
        if (transport := self._live) is not None:
            transport.pause_reading()

    def resume(self) -> None:
        self.progress = 0
        self.frontend.wait(self, Phase.BODY)
        self._read_on()
        self.frontend.loop.call_soon(self._parse)

    def _read_on(self) -> None:
        if (transport := self._live) is not None:
            transport.resume_reading()

    def eof_received(self) -> bool:
        self._ended()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._ended()
        self.reader.close()
        self.frontend.lost(self)

    def _ended(self) -> None:
        """Its client has ended it: what it sent ahead is not looked at any more."""
        self.lingering = True
        self._drop()

    def _drop(self) -> None:
        """Nobody waits any more for the answer of the open request."""
        self.upload = None
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.drop()
        request, self.open = self.open, None
        if request is not None:
            self.driver.client_gone(request)

    def too_late(self) -> None:
        """It has been in its phase for as long as it may."""
        if self.phase in (Phase.NEW, Phase.BODY) and self.has_data:
            self._drop()  # of an open request only the end was still to come
            self._reject(408, "the request did not come in time")
        elif self.phase in (Phase.NEW, Phase.IDLE):
            self._linger()
        else:
            self.abort()

    def leave(self) -> None:
        """This process ends. A request that is not whole yet was not begun, and may go elsewhere."""
        if self.has_data and self.open is None:
            self._reject(503, "not taken")

    def cut(self) -> None:
        """This process has ended. An answer that is not whole must not seem so, even one without a length."""
        if self.answer is not None:
            self._reset()
        else:
            self.abort()

    def abort(self) -> None:
        self.frontend.busy(self)
        if self.transport is not None:
            self.transport.abort()

    def _reset(self) -> None:
        """End it so that its client can tell that the answer is not whole, even one without a length."""
        if self._live is not None:
            linger = struct.pack("ii", 1, 0)
            cast(socket.socket, self._socket).setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.abort()

    # ---- in ----------------------------------------------------------------------------------------------

    def _parse(self) -> None:
        """Read on, unless a request is open, or answers pile up that are not read."""
        reader = self.reader
        while self.reading:
            if self.upload is not None and self.upload.ended:
                self._body_whole()
            elif reader.ready:
                self._whole(reader.ready.popleft())
            elif reader.fault is not None:
                self._drop()
                self._reject(reader.fault.status, str(reader.fault))
            elif self.upload is not None and self.upload.paused:
                return
            elif self.ahead:
                data = bytes(self.ahead[:SLICE])
                del self.ahead[:SLICE]
                reader.feed(data)
            else:
                self._continue()
                if self.phase is Phase.IDLE and self.has_data:
                    self.frontend.wait(self, Phase.NEW)
                return

    def _continue(self) -> None:
        if self.reader.continues:
            self.reader.continues = False
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _whole(self, head: Request) -> None:
        """A request has come, but for a body in pieces: of that only the beginning has."""
        self.is_head, self.keep_alive, self.latest = head.method == b"HEAD", head.keep_alive, head.latest
        stream = head.stream
        path, _, query = head.target.decode("latin-1").partition("?")
        if path == "/ready":
            ready = self.frontend.ready
            self._answer(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
            return
        try:
            arrival = self._arrival(head, dict(head.headers), path, query)
        except Unacceptable as error:  # if the message is whole, the connection can go on
            self._answer(error.status, [], f"{error}\n".encode(), last=stream is not None)
            return
        headers = [row for row in end_to_end(head.headers) if row[0] not in NOT_OURS]
        request = OpenRequest(arrival, head.method, head.target, headers, head.body, self,
                              max(0, self.wait_ns - ANSWER_NS), stream)
        self.open = request
        if stream is None:
            self.frontend.busy(self)
        else:
            self._continue()
            self.upload, stream.source = stream, self
            if stream.paused:
                self.pause()
        if not self.driver.arrive(request):
            self.refused(0)

    def _body_whole(self) -> None:
        self.upload = None
        self.frontend.busy(self)
        self._read_on()  # its end may have come while it was full
        if self.open is not None:
            self.driver.body_whole(self.open, self._deadline(self.asked_ns, self.wait_ns), self.asked_ns)

    def _deadline(self, asked_ns: int, wait_ns: int) -> int:
        """By then its answer must be given: so that it arrives in time, and before this process leaves."""
        deadline = asked_ns + max(0, wait_ns - ANSWER_NS)
        if self.frontend.draining:
            deadline = min(deadline, self.frontend.last_answer_ns)
        return deadline

    def _arrival(self, head: Request, headers: Mapping[bytes, bytes], path: str, query: str) -> api.Arrival:
        settings = self.driver.settings
        first = path.strip("/").partition("/")[0]
        name = headers.get(b"x-class", first.encode("latin-1")).decode("latin-1")
        if first not in settings.classes or name not in settings.classes:
            raise Unacceptable(404, "no such class")
        if b"host" not in headers:
            raise Unacceptable(400, "no Host")
        safe = settings.classes[name].effect is api.Effect.SAFE
        if head.method not in ((b"GET", b"HEAD") if safe else (b"POST",)):
            raise Unacceptable(405, f"{'GET' if safe else 'POST'} is the method of this class")
        if safe and (head.body or head.stream is not None):
            raise Unacceptable(400, "a GET has no body")
        request = headers.get(b"x-request-id", b"").decode("latin-1")
        if not request:
            raise Unacceptable(400, "no X-Request-Id")
        if len(request) > MAX_ID:
            raise Unacceptable(400, "X-Request-Id is too long")
        if request in self.driver.requests:
            raise Unacceptable(409, "a request with this X-Request-Id is open")
        # Nobody waits longer than the class allows, whatever the header says: SIGTERM counts on it.
        longest = settings.classes[name].deadline_ns
        wait = min(longest, _whole_number(headers, b"x-deadline-ms", longest // MS) * MS)
        self.wait_ns = wait
        deadline = self._deadline(self.asked_ns, wait)
        if head.stream is not None:
            deadline = self.asked_ns + UPLOAD_NS  # until it is whole
        key = key_of(query) if "obj=" in query else ""
        return api.Arrival(
            request, name, headers.get(b"x-tenant", b"").decode("latin-1"),
            deadline, _whole_number(headers, b"x-cost-hint", 0) * US, key,
            headers.get(b"x-retry") == b"1", self.asked_ns, head.stream is None)

    # ---- out ---------------------------------------------------------------------------------------------

    def served(self, response: Response) -> None:
        rows = end_to_end(response.headers)
        if response.stream is not None and not self.is_head:
            self._begin(rows, response.stream)
        elif self.is_head:
            # The length that a GET would be answered with; a 0 of this program's own would be wrong.
            length = response.header(b"content-length")
            self._answer(200, rows, b"", length=length)
        else:
            self._answer(200, rows, response.body)

    def refused(self, retry_after_ns: int) -> None:
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / 1e9))] if retry_after_ns > 0 else []
        self._answer(503, headers, b"refused\n")

    def failed(self, status: int) -> None:
        self._answer(status, [], b"failed\n")

    def _reject(self, status: int, why: str) -> None:
        """Answer bad input, and read no more of it."""
        self._answer(status, [], f"{why}\n".encode(), last=True)

    def _answer(self, status: int, headers: Headers, body: bytes, last: bool = False,
                length: bytes | None = None) -> None:
        framing = [(b"Content-Length", length or b"%d" % len(body))]
        self._head(status, [*headers, *framing], last, b"" if self.is_head else body)
        self._answered()

    def _head(self, status: int, rows: Headers, last: bool, body: bytes = b"") -> None:
        """Give the answer's head, and all of its body where that is at hand."""
        served, self.open = self.open is not None, None
        upload, self.upload = self.upload, None
        if upload is not None and not upload.ended:
            last = True  # what still comes of its body would be read as the next request
            upload.source = None
            self._read_on()
        self.last = (last or not self.keep_alive or self.frontend.draining
                     or self.frontend.crowded(FULL if served else CROWDED))
        if self.last:
            rows = [*rows, (b"Connection", b"close")]
        self._write(message(STARTS.get(status) or start_line(status), rows, body))

    def _answered(self) -> None:
        """The answer is given as a whole."""
        if self.last:
            self._linger()
            return
        self.frontend.wait(self, Phase.IDLE)
        if self.has_data:
            self.frontend.loop.call_soon(self._parse)

    def _begin(self, rows: Headers, body: Body) -> None:
        """Give an answer whose body comes in pieces."""
        self.in_chunks = body.length is None and self.latest
        if body.length is not None:
            rows = [*rows, (b"Content-Length", b"%d" % body.length)]
        elif self.in_chunks:
            rows = [*rows, (b"Transfer-Encoding", b"chunked")]
        self.frontend.wait(self, Phase.ANSWER)
        self._head(200, rows, False)
        self.answer = body
        body.changed = self._pass_on
        self._pass_on()

    def _pass_on(self) -> None:
        """Write on, as long as the client reads."""
        body = self.answer
        if body is None:
            return
        if body.failed:
            self._reset()
            return
        wrote = False
        while not self.blocked:
            piece = body.take()
            if piece is None:
                break
            self._write(chunk(piece) if self.in_chunks else piece)
            wrote = True
        if body.drained:
            self.answer = None
            if self.in_chunks:
                self._write(LAST_CHUNK)
            self._answered()
        elif wrote:
            self.frontend.wait(self, Phase.ANSWER)

    def _linger(self) -> None:
        """Lingering close: end the sending behind the last answer, and read and drop what comes until the
        client ends too, or its time is over. Closed at once, over bytes that lie unread here or in the kernel
        or that are still on their way, the connection would be reset, and the answer lost with it."""
        self.lingering = True
        self.ahead.clear()
        if (transport := self._live) is not None:
            self.frontend.wait(self, Phase.LINGERING)
            transport.write_eof()

    def _write(self, data: bytes | None) -> None:
        if data and (transport := self._live) is not None:
            transport.write(data)


def start_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode())


STARTS = {status: start_line(status) for status in (200, 503, 502, 504)}


def key_of(query: str) -> str:
    """The first `obj` of a query that is not empty, decoded."""
    for part in query.split("&"):
        if part.startswith("obj=") and len(part) > 4:
            value = part[4:]
            return unquote_plus(value) if "%" in value or "+" in value else value
    return ""


def _whole_number(headers: Mapping[bytes, bytes], name: bytes, default: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isdigit() or len(text) > 15:
        raise Unacceptable(400, f"{name.decode()} is not a whole number")
    return int(text)
