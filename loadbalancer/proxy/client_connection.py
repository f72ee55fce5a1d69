"""A client's connection: requests in, one at a time, and the final answer to each out."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from typing import cast

from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.client_answer import AnswerWriter
from loadbalancer.proxy.connection_host import ConnectionHost
from loadbalancer.proxy.connection_phase import Phase
from loadbalancer.proxy.http import BufferedReader, end_to_end
from loadbalancer.proxy.messages import Headers, Request, Response, UnacceptableMessageError
from loadbalancer.proxy.parse import MAX_BODY, RequestReader
from loadbalancer.proxy.request_intake import RequestIntake
from loadbalancer.proxy.requests import OpenRequest
from loadbalancer.proxy.tcp_state import Socket, readable, received

# Fractions of the cap on connections above which an answer ends its connection: one that came from
# no upstream, and any. Idle connections are left their 2 s, so that with many clients they would
# take all of the capacity, and new ones wait for seconds.
CLOSE_REJECTED_FRACTION = 0.5
CLOSE_FRACTION = 0.6
PROGRESS_BYTES = 16 * 1024  # bytes of a body that count as progress
PARSE_BYTES = 16 * 1024  # parsed at a time: what is sent ahead of answers waits unparsed, and small
READY_PATH = b"/ready"


class ClientConnection(BufferedReader):
    """One client's connection, which carries one request at a time.

    Attributes:
        ahead: Bytes that came and are not parsed yet.
        open: The request that is owed an answer.
        upload: The body of the open request, as long as it comes.
        progress: Bytes of a body that came since progress was last counted.
        writer: Writes the answers.
        last: The connection ends behind the answer.
        intake: Opens requests.
        received_ns: When what is being parsed came.
        phase: The frontend's table that it stands in; None: it is busy with a request.
        end_at: Overdue since it was first found so, it ends then, whatever lies unread.
        lingering: Its last answer is given: what it sends is dropped.
    """

    def __init__(self, frontend: ConnectionHost) -> None:
        self.frontend = frontend
        self.driver = frontend.driver
        self.reader = RequestReader(memory=frontend.memory)
        self.unparsed = bytearray()
        self.transport: asyncio.Transport | None = None
        self.open_request: OpenRequest | None = None
        self.upload: Body | None = None
        self.progress_bytes = 0
        self.writer = AnswerWriter(self)
        self.close_after_answer = False
        self.intake = RequestIntake(frontend)
        self.received_ns = 0
        self.phase: Phase | None = None
        self.forced_close_at = 0.0
        self.lingering = False

    @property
    def has_unread_input(self) -> bool:
        """Whether something came on an idle connection that was not read yet."""
        if self.has_data:
            return self.phase is Phase.IDLE  # sent ahead, and about to be parsed
        return (
            self.phase in (Phase.NEW, Phase.IDLE)
            and self._open_transport is not None
            and readable(self._socket)
        )

    @property
    def has_unsent_output(self) -> bool:
        """Whether part of what was written is still buffered here."""
        transport = self._open_transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def gone(self) -> bool:
        """Whether the client has closed its connection, as far as the kernel knows.

        A loop that is late, or does not read from it, has not been notified of that yet.
        """
        return self._open_transport is None or received(self._socket)[0]

    @property
    def _open_transport(self) -> asyncio.Transport | None:
        transport = self.transport
        return None if transport is None or transport.is_closing() else transport

    @property
    def _socket(self) -> Socket:
        assert self.transport is not None
        sock: Socket = self.transport.get_extra_info("socket")
        return sock

    @property
    def has_data(self) -> bool:
        """Whether part of a request has come."""
        return self.reader.begun or bool(self.reader.ready or self.unparsed)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)
        self.frontend.wait(self, Phase.NEW)

    def data_received(self, data: bytes) -> None:
        """Read requests; called by the event loop."""
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
        self.frontend.note_progress(self)
        self._count_progress(len(data))
        if not self.can_parse and len(self.unparsed) > MAX_BODY:
            # One request at a time: what floods in behind it would fill the memory.
            self.abort()
            return
        self.unparsed += data
        self._parse()

    def pause_writing(self) -> None:
        """Note that the client does not read; called by the event loop."""
        self.writer.is_blocked = True

    def resume_writing(self) -> None:
        """Write on, and read on; called by the event loop."""
        self.writer.is_blocked = False
        self.writer.pump()
        self._parse()

    @property
    def can_parse(self) -> bool:
        """Whether what comes is parsed; otherwise it waits for an answer to end."""
        if self.lingering or self.writer.is_blocked or self.writer.body is not None:
            return False
        return self.open_request is None or self.upload is not None

    def _count_progress(self, size: int) -> None:
        """Leave a client that sends slowly its time, as long as it goes on."""
        if self.phase not in (Phase.NEW, Phase.BODY) or not self.reader.in_body:
            return
        self.progress_bytes += size
        if self.progress_bytes >= PROGRESS_BYTES:
            self.progress_bytes = 0
            self.frontend.wait(self, Phase.BODY)

    # ---- a body in pieces: called by the body ---------------------------------------------

    def pause(self) -> None:
        """Stop reading: what was read waits for the upstream, which is not the client's time."""
        self.frontend.leave_phase(self)
        if (transport := self._open_transport) is not None:
            transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        self.progress_bytes = 0
        self.frontend.wait(self, Phase.BODY)
        self._resume_reading()
        self.frontend.loop.call_soon(self._parse)

    def _resume_reading(self) -> None:
        if (transport := self._open_transport) is not None:
            transport.resume_reading()

    def eof_received(self) -> bool:
        """Note that the client has ended its sending; called by the event loop."""
        self._client_left()
        return False

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 (a callback)
        """Note the connection's end; called by the event loop."""
        self._client_left()
        self.reader.close()
        self.frontend.connection_closed(self)

    def _client_left(self) -> None:
        """Drop what its client has sent ahead, and the open request."""
        self.lingering = True
        self._drop_request()

    def _drop_request(self) -> None:
        """Drop the open request: nobody waits for its answer any more."""
        self.upload = None
        self.writer.drop()
        request = self.open_request
        self.open_request = None
        if request is not None:
            self.driver.client_gone(request)

    def on_timeout(self) -> None:
        """End it, as it has been in its phase for as long as it may."""
        if self.phase in (Phase.NEW, Phase.BODY) and self.has_data:
            self._drop_request()  # of an open request only the end was still to come
            self._reject_input(408, "the request did not come in time")
        elif self.phase in (Phase.NEW, Phase.IDLE):
            self._linger()
        else:
            self.abort()

    def reject_incomplete(self) -> None:
        """Answer a request that is incomplete as this process ends: it may go elsewhere."""
        if self.has_data and self.open_request is None:
            self._reject_input(503, "not taken")

    def close_on_shutdown(self) -> None:
        """Close it as this process ends; an incomplete answer must not seem complete."""
        if self.writer.body is not None:
            self.reset()
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        self.frontend.leave_phase(self)
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """Close it so that its client can tell that the answer is incomplete.

        A reset is no orderly end, and so no end of an answer without a length.
        """
        if self._open_transport is not None:
            linger = struct.pack("ii", 1, 0)
            cast(socket.socket, self._socket).setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        self.abort()

    # ---- in --------------------------------------------------------------------------------------

    def _parse(self) -> None:
        """Parse on, unless a request is open, or answers pile up that are not read."""
        reader = self.reader
        while self.can_parse:
            if self.upload is not None and self.upload.ended:
                self._body_completed()
            elif reader.ready:
                self._handle_request(reader.ready.popleft())
            elif reader.fault is not None:
                self._drop_request()
                self._reject_input(reader.fault.status, str(reader.fault))
            elif self.upload is not None and self.upload.paused:
                return
            elif self.unparsed:
                data = bytes(self.unparsed[:PARSE_BYTES])
                del self.unparsed[:PARSE_BYTES]
                reader.feed(data)
            else:
                self._send_continue()
                if self.phase is Phase.IDLE and self.has_data:
                    self.frontend.wait(self, Phase.NEW)
                return

    def _send_continue(self) -> None:
        if self.reader.expects_continue:
            self.reader.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _handle_request(self, head: Request) -> None:
        """Take a request that is complete, but for the rest of a body in pieces."""
        self.writer.expect(head)
        stream = head.stream
        if head.target.partition(b"?")[0] == READY_PATH:
            ready = self.frontend.ready
            self._answer(200 if ready else 503, [], b"ready\n" if ready else b"not ready\n")
            return
        try:
            request = self.intake.open_request(head, self, self.received_ns)
        except UnacceptableMessageError as error:
            # Behind a complete message the connection can go on.
            self._answer(
                error.status, [], f"{error}\n".encode(), close_after_answer=stream is not None
            )
            return
        self.open_request = request
        if stream is None:
            self.frontend.leave_phase(self)
        else:
            self._send_continue()
            self.upload = stream
            stream.source = self
            if stream.paused:
                self.pause()
        if not self.driver.arrive(request):
            self.reject(0)

    def _body_completed(self) -> None:
        self.upload = None
        self.frontend.leave_phase(self)
        self._resume_reading()  # its end may have come while it was full
        if self.open_request is not None:
            deadline_ns = self.intake.deadline_ns(self.received_ns)
            self.driver.body_completed(self.open_request, deadline_ns, self.received_ns)

    # ---- out -------------------------------------------------------------------------------------

    def serve(self, response: Response) -> None:
        """Pass on an upstream's response."""
        rows = end_to_end(response.headers)
        is_head = self.writer.is_head
        if response.stream is not None and not is_head:
            self._begin_answer(rows, response.stream)
        elif is_head:
            # The length that a GET would be answered with: one of 0 would be wrong.
            length = response.header(b"content-length")
            self._answer(200, rows, b"", length=length)
        else:
            self._answer(200, rows, response.body)

    def reject(self, retry_after_ns: int) -> None:
        """Answer 503, which promises that the request had no effect."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / 1e9))] if retry_after_ns > 0 else []
        self._answer(503, headers, b"refused\n")

    def fail(self, status: int) -> None:
        """Answer with an error, which promises nothing about the request's effect."""
        self._answer(status, [], b"failed\n")

    def _reject_input(self, status: int, reason: str) -> None:
        """Answer bad input, and read no more of it."""
        self._answer(status, [], f"{reason}\n".encode(), close_after_answer=True)

    def _answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        close_after_answer: bool = False,
        length: bytes | None = None,
    ) -> None:
        self._end_request(close_after_answer)
        self.writer.write_complete(status, headers, body, self.close_after_answer, length)

    def _begin_answer(self, rows: Headers, body: Body) -> None:
        """Begin an answer whose body comes in pieces."""
        self.frontend.wait(self, Phase.ANSWER)
        self._end_request(False)
        self.writer.begin_body(rows, body, self.close_after_answer)

    def _end_request(self, close_after_answer: bool) -> None:
        """Note that the open request is answered, and whether the connection ends behind it."""
        was_open = self.open_request is not None
        self.open_request = None
        upload = self.upload
        self.upload = None
        if upload is not None and not upload.ended:
            close_after_answer = (
                True  # what still comes of its body would be read as the next request
            )
            upload.source = None
            self._resume_reading()
        self.close_after_answer = (
            close_after_answer
            or not self.writer.keep_alive
            or self.frontend.draining
            or self.frontend.is_usage_above(CLOSE_FRACTION if was_open else CLOSE_REJECTED_FRACTION)
        )

    def answer_completed(self) -> None:
        """Go on behind a complete answer, or end the connection."""
        if self.close_after_answer:
            self._linger()
            return
        self.frontend.wait(self, Phase.IDLE)
        if self.has_data:
            self.frontend.loop.call_soon(self._parse)

    def answer_progressed(self) -> None:
        """Count the phase's limit anew, as a part of an answer was written."""
        self.frontend.wait(self, Phase.ANSWER)

    def _linger(self) -> None:
        """End the sending behind the last answer, and drop what comes until the client ends too.

        Closed at once over bytes that are unread or on their way, the connection would be reset,
        and the answer lost with it. The phase's limit ends the wait.
        """
        self.lingering = True
        self.unparsed.clear()
        if (transport := self._open_transport) is not None:
            self.frontend.wait(self, Phase.LINGERING)
            transport.write_eof()

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection is closing."""
        if data and (transport := self._open_transport) is not None:
            transport.write(data)
