"""One client's connection: requests in, one at a time, and each one's final answer out."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from loadbalancer.policy import api
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.http import LAST_CHUNK, BufferedReader, chunk, end_to_end
from loadbalancer.proxy.parse import (
    MAX_BODY,
    Headers,
    Request,
    RequestReader,
    Response,
    Unacceptable,
    message,
)
from loadbalancer.proxy.request_head import read_terms
from loadbalancer.proxy.requests import OpenRequest
from loadbalancer.proxy.tcp_state import Socket, readable, received

if TYPE_CHECKING:
    from loadbalancer.proxy.frontend import Frontend

ANSWER_NS = 3_000_000  # kept of each deadline for the answer's way to the client
# Parts of the cap above which an answer ends its connection: one that is no upstream's, and any.
# Idle ones are left their 2 s, so that with many clients they would fill all places, and newcomers
# wait for seconds.
CROWDED, FULL = 0.5, 0.6
UPLOAD_NS = 600_000_000_000  # longer than the longest body takes that comes as slowly as is allowed
QUANTUM = 16 * 1024  # bytes of a body that count as progress
SLICE = 16 * 1024  # bytes parsed at a time: what is sent ahead of answers waits unparsed, and small
NOT_OURS = frozenset({b"x-deadline-ms"})


class ClientConnection(BufferedReader):
    """One client's connection. It carries one request at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self.frontend = frontend
        self.driver = frontend.driver
        self.reader = RequestReader(memory=frontend.memory)
        self.ahead = bytearray()  # come, and not parsed yet
        self.transport: asyncio.Transport | None = None
        self.open: OpenRequest | None = None
        self.upload: Body | None = None  # the body of the open request, as long as it comes
        self.progress = 0  # bytes of a body that came since that was last counted
        self.answer: Body | None = None  # what goes out in pieces
        self.in_chunks = False  # these are chunks
        self.last = False  # the connection ends behind it
        self.wait_ns = 0  # how long its client waits once the body is whole
        self.received_ns = 0  # when what is being parsed came
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
        return (
            self.phase in (Phase.NEW, Phase.IDLE)
            and self._live is not None
            and readable(self._socket)
        )

    @property
    def unsent(self) -> bool:
        """Is part of what was written still held here?"""
        transport = self._live
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def gone(self) -> bool:
        """Has the client closed its connection, read or not? A loop that is late, or is not reading
        from it, has not heard of it yet; the kernel has.
        """
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
        # Deadlines count from the client's send. What waited in the backlog, or for a loop that was
        # late, is not fresh; and work for a client that has left makes those behind it late, until
        # they leave too.
        gone, ago_ns = received(self._socket)
        if gone:
            self.abort()
            return
        self.received_ns = time.monotonic_ns() - ago_ns
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

    # ---- a body in pieces: called by it ----------------------------------------------------------

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
        """This process ends. A request that is not whole yet was not begun, and may go
        elsewhere.
        """
        if self.has_data and self.open is None:
            self._reject(503, "not taken")

    def cut(self) -> None:
        """This process has ended. An answer that is not whole must not seem so, even one without a
        length.
        """
        if self.answer is not None:
            self._reset()
        else:
            self.abort()

    def abort(self) -> None:
        self.frontend.busy(self)
        if self.transport is not None:
            self.transport.abort()

    def _reset(self) -> None:
        """End it so that its client can tell that the answer is not whole, even one without a
        length.
        """
        if self._live is not None:
            linger = struct.pack("ii", 1, 0)
            cast(socket.socket, self._socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        self.abort()

    # ---- in --------------------------------------------------------------------------------------

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
        self.is_head, self.keep_alive, self.latest = (
            head.method == b"HEAD",
            head.keep_alive,
            head.latest,
        )
        stream = head.stream
        if head.target.partition(b"?")[0] == b"/ready":
            ready = self.frontend.ready
            self._answer(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
            return
        try:
            arrival = self._arrival(head)
        except Unacceptable as error:  # if the message is whole, the connection can go on
            self._answer(error.status, [], f"{error}\n".encode(), last=stream is not None)
            return
        headers = [row for row in end_to_end(head.headers) if row[0] not in NOT_OURS]
        request = OpenRequest(
            arrival,
            head.method,
            head.target,
            headers,
            head.body,
            self,
            max(0, self.wait_ns - ANSWER_NS),
            stream,
        )
        self.open = request
        if stream is None:
            self.frontend.busy(self)
        else:
            self._continue()
            self.upload, stream.source = stream, self
            if stream.paused:
                self.pause()
        if not self.driver.arrive(request):
            self.reject(0)

    def _body_whole(self) -> None:
        self.upload = None
        self.frontend.busy(self)
        self._read_on()  # its end may have come while it was full
        if self.open is not None:
            self.driver.body_completed(
                self.open, self._deadline(self.received_ns, self.wait_ns), self.received_ns
            )

    def _deadline(self, received_ns: int, wait_ns: int) -> int:
        """By then its answer must be given: so that it arrives in time, and before this process
        leaves.
        """
        deadline = received_ns + max(0, wait_ns - ANSWER_NS)
        if self.frontend.draining:
            deadline = min(deadline, self.frontend.last_answer_ns)
        return deadline

    def _arrival(self, head: Request) -> api.RequestArrived:
        terms = read_terms(head, self.driver.settings, self.driver.requests)
        self.wait_ns = terms.wait_ns
        deadline_ns = self._deadline(self.received_ns, terms.wait_ns)
        if head.stream is not None:
            deadline_ns = self.received_ns + UPLOAD_NS  # until it is whole
        return api.RequestArrived(
            terms.request,
            terms.class_name,
            terms.tenant,
            deadline_ns,
            terms.cost_hint_ns,
            terms.key,
            terms.retry,
            self.received_ns,
            head.stream is None,
        )

    # ---- out -------------------------------------------------------------------------------------

    def serve(self, response: Response) -> None:
        rows = end_to_end(response.headers)
        if response.stream is not None and not self.is_head:
            self._begin(rows, response.stream)
        elif self.is_head:
            # The length that a GET would be answered with; a 0 of this program's own would be
            # wrong.
            length = response.header(b"content-length")
            self._answer(200, rows, b"", length=length)
        else:
            self._answer(200, rows, response.body)

    def reject(self, retry_after_ns: int) -> None:
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / 1e9))] if retry_after_ns > 0 else []
        self._answer(503, headers, b"refused\n")

    def fail(self, status: int) -> None:
        self._answer(status, [], b"failed\n")

    def _reject(self, status: int, why: str) -> None:
        """Answer bad input, and read no more of it."""
        self._answer(status, [], f"{why}\n".encode(), last=True)

    def _answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        last: bool = False,
        length: bytes | None = None,
    ) -> None:
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
        self.last = (
            last
            or not self.keep_alive
            or self.frontend.draining
            or self.frontend.crowded(FULL if served else CROWDED)
        )
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
        """Lingering close: end the sending behind the last answer, and read and drop what comes
        until the client ends too, or its time is over. Closed at once, over bytes that lie unread
        here or in the kernel or that are still on their way, the connection would be reset, and the
        answer lost with it.
        """
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
