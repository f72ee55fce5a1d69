"""A client connection: reads requests one at a time and writes the answer to each."""

from __future__ import annotations

import asyncio
import logging
import time

from loadbalancer.policy.message_end import Clock, UploadView
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.client_answer import AnswerWriter
from loadbalancer.proxy.client_upload import ClientUpload
from loadbalancer.proxy.connection_host import ConnectionHost
from loadbalancer.proxy.connection_phase import SENDING_PHASES, Phase
from loadbalancer.proxy.http import BufferedReader, end_to_end
from loadbalancer.proxy.input_buffer import InputBuffer
from loadbalancer.proxy.memory_account import CLIENT_CONNECTION_BYTES, Charge, Pressure
from loadbalancer.proxy.message_end_log import UNKNOWN, Cause, Direction, MessageEnd
from loadbalancer.proxy.messages import Headers, Request, Response, UnacceptableMessageError
from loadbalancer.proxy.parse import MAX_BODY, RequestReader
from loadbalancer.proxy.peer_transport import PeerTransport, ReadPause
from loadbalancer.proxy.readiness import is_readiness_check, readiness_answer
from loadbalancer.proxy.request_intake import RequestIntake
from loadbalancer.proxy.requests import OpenRequest
from loadbalancer.proxy.send_progress import SendState

log = logging.getLogger(__name__)

# Fractions of the connection limit above which a connection closes after its answer: the first if
# no request was open, as after invalid input, the second for all answers. Otherwise the idle
# connections of many clients, open for 2 s, use up the limit, and new ones wait for seconds.
CLOSE_REJECTED_FRACTION = 0.5
CLOSE_FRACTION = 0.6
# Requests and pieces of input that one connection handles in an event-loop iteration. The others
# have their turn before it continues.
TURN_REQUESTS = 8


class ClientConnection(BufferedReader):
    """One client connection, which carries one request at a time.

    Attributes:
        unparsed: Received bytes that are not parsed yet.
        open_request: The request that is not answered yet.
        upload: The streamed body of the open request while it arrives.
        charge: What this process holds for the client.
        writer: Writes the answers.
        close_after_answer: Whether the connection closes after the answer.
        intake: Builds open requests from message heads.
        received_ns: When the input that is being parsed arrived.
        phase: The current phase without an open request; None: a request is open.
        force_close_at: When an overdue connection closes even with unread input; 0: not overdue.
        lingering: Whether the last answer is written; further input is discarded.
        discards_input: Whether input is discarded and the connection closes after the answer.
        parse_scheduled: Whether the rest of the input is parsed in the next event-loop iteration.
    """

    def __init__(self, frontend: ConnectionHost) -> None:
        self.frontend = frontend
        self.driver = frontend.driver
        self.memory = frontend.memory
        self.reader = RequestReader(memory=frontend.memory)
        self.unparsed = InputBuffer()
        self.transport = PeerTransport()
        self.open_request: OpenRequest | None = None
        self.upload = ClientUpload(self)
        self.charge = Charge(self.memory)
        self.writer = AnswerWriter(self)
        self.close_after_answer = False
        self.intake = RequestIntake(frontend)
        self.received_ns = 0
        self.phase: Phase | None = None
        self.force_close_at = 0.0
        self.lingering = False
        self.parse_scheduled = False
        self.discards_input = False

    @property
    def has_unread_input(self) -> bool:
        """Whether an idle or new connection has input that is not read yet."""
        if self.has_data:
            return self.phase is Phase.IDLE  # pipelined input, about to be parsed
        return self.phase in (Phase.NEW, Phase.IDLE) and self.transport.has_unread_data

    @property
    def has_unsent_output(self) -> bool:
        """Whether the transport still buffers written data."""
        return self.transport.unsent_bytes > 0

    @property
    def gone(self) -> bool:
        """Whether the client has closed its connection, according to the kernel."""
        return self.transport.is_peer_gone

    @property
    def has_data(self) -> bool:
        """Whether part of a request has arrived."""
        return self.reader.in_message or bool(self.reader.ready or self.unparsed)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport.connect(transport)
        # The transport calls `pause_writing` as soon as it buffers a byte, which is charged.
        self.transport.set_write_buffer_limits(high=0)
        self._update_charge()
        self.frontend.wait(self, Phase.NEW)

    def data_received(self, data: bytes) -> None:
        """Buffer and parse received data; called by the event loop."""
        if self.lingering or self.discards_input:
            return
        # Deadlines count from the arrival of the data in the kernel, because it may have waited in
        # the backlog or for a late event loop. A request of a client that has closed is dropped:
        # serving it would delay the requests after it until their clients give up as well.
        gone, data_age_ns = self.transport.receive_state
        if gone:
            self.abort()
            return
        self.received_ns = time.monotonic_ns() - data_age_ns
        self.frontend.note_progress(self)
        self._count_progress(len(data))
        if not self.can_parse and len(self.unparsed) > MAX_BODY:
            # Requests are served one at a time; unlimited pipelined input would exhaust memory.
            self.driver.traffic_log.request_closed("-", "too much pipelined input")
            self.abort()
            return
        self.unparsed += data
        if self.memory.pressure is Pressure.FULL and not self.unparsed.is_small:
            self._update_charge()
            self.frontend.relief.stop_reading(self)
            return
        self._parse()
        is_scarce = self.memory.pressure > Pressure.NONE
        if is_scarce and not self.can_parse and len(self.unparsed) >= self.memory.buffer_bytes:
            self.transport.pause_reading(ReadPause.PIPELINED)

    def pause_writing(self) -> None:
        """Stop writing while the client does not read; called by the event loop."""
        self.writer.is_blocked = True
        self._update_charge()

    def resume_writing(self) -> None:
        """Resume writing and parsing; called by the event loop."""
        self.writer.is_blocked = False
        self.writer.pump()
        self._parse()

    @property
    def can_parse(self) -> bool:
        """Whether input is parsed now; otherwise it waits until the answer is complete."""
        if self.lingering or self.writer.is_blocked or self.writer.body is not None:
            return False
        return self.open_request is None or self.upload.is_active

    def _count_progress(self, size: int) -> None:
        """Restart the time limit of a slow upload for each part of it that has arrived."""
        if self.upload.is_active:
            arrived_bytes = self.reader.payload_size + len(self.unparsed) + size
            is_drained = size < self._offered_bytes or not self.transport.unread_bytes
            self.upload.piece_read(arrived_bytes, is_drained, self.received_ns)
            if not is_drained:
                self.upload.check_later()
        is_uploading = self.phase in (Phase.NEW, Phase.BODY) and self.reader.in_body
        if is_uploading and self.upload.count(size):
            self.frontend.wait(self, Phase.BODY)

    # ---- memory ----------------------------------------------------------------------------------

    @property
    def is_incomplete(self) -> bool:
        """Whether part of a request has arrived, and the rest is to come."""
        if self.open_request is not None:
            return self.upload.is_active
        is_answering = self.writer.body is not None or self.writer.is_blocked
        return self.has_data and not (self.lingering or is_answering)

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that this process holds for the client, an incomplete body included."""
        return self._charged_bytes + self.upload.buffered_bytes

    @property
    def _charged_bytes(self) -> int:
        """The same without the body, which charges the account itself."""
        held_bytes = CLIENT_CONNECTION_BYTES + len(self.unparsed)
        if self.reader.head is not None or self.reader.ready:
            held_bytes += self.reader.held_bytes
        if self.open_request is not None:
            held_bytes += self.open_request.held_bytes
        if self.writer.is_blocked:
            held_bytes += self.transport.unsent_bytes
        return held_bytes

    def _update_charge(self) -> None:
        self.charge.replace(self._charged_bytes)

    def give_way(self) -> None:
        """Free the memory of an incomplete request, or of pipelined input; close after the answer.

        A request that was read completely is not touched.
        """
        if not self.is_incomplete:
            self.unparsed.clear()
            self.discards_input = True  # what follows would begin within a request
            self.writer.keep_alive = False
            self.close_after_answer = True
            self._update_charge()
            return
        status, reason = 413, "the request is too large now"
        if not self.reader.in_body and not self.upload.is_active:
            status, reason = 431, "the head is too large now"
        self._drop_request(Cause.MEMORY)
        self._reject_input(status, reason)

    def stop_reading(self) -> None:
        """Stop reading, because memory is scarce; the time limit of the phase goes on."""
        self.transport.pause_reading(ReadPause.MEMORY)
        self.upload.check_later()

    def resume_after_relief(self) -> None:
        """Read again, and parse what has come."""
        self.transport.resume_reading(ReadPause.MEMORY)
        self.upload.reading_resumed()
        self._parse_later()

    # ---- called by the upload --------------------------------------------------------------------

    def upload_paused(self) -> None:
        """Stop reading until the upstream accepts more, or the client's time is over."""
        self.frontend.leave_phase(self)
        self.transport.pause_reading(ReadPause.BODY)
        # Not now: the body is paused while its input is parsed.
        self.upload.check_later()

    @property
    def unread_bytes(self) -> int:
        """Bytes that have arrived and were not parsed, in this process and the kernel."""
        return len(self.unparsed) + self.transport.unread_bytes

    @property
    def has_unread_body(self) -> bool:
        """Whether bytes of the body have arrived that were not parsed."""
        return self.unread_bytes > 0

    def check_upload(self) -> None:
        """Answer the request by its client's time, which may run before its end is seen."""
        request = self.open_request
        if request is None:
            return
        now_ns = time.monotonic_ns()
        view = UploadView(
            self.reader.payload_size,
            self.unread_bytes,
            request.acknowledged_bytes,
            now_ns - self.transport.receive_state.data_age_ns,
        )
        limit = self.upload.limit(view, now_ns)
        if limit is None:
            return
        if now_ns < limit.at_ns:
            self.upload.check_later()
        else:
            self._record_upload_end(limit.clock)
            self.driver.upload_overdue(request)

    def _record_upload_end(self, cause: Cause | Clock) -> None:
        """Log that the body which the client sends ends before its end was seen."""
        request = self.open_request
        if request is None or self.upload.body is None or self.upload.has_ended:
            return
        self.driver.message_ends.record(
            MessageEnd(
                request.arrival.request,
                UNKNOWN,
                Direction.REQUEST,
                self.upload.state,
                cause.value,
                self.reader.payload_size,
                request.acknowledged_bytes,
                time.monotonic_ns() - self.received_ns,
            )
        )

    def upload_resumed(self) -> None:
        """Resume reading, and restart the client's time limit."""
        self.frontend.wait(self, Phase.BODY)
        self.read_on()

    def read_on(self) -> None:
        """Resume reading without a time limit, and parse what has come."""
        self.transport.resume_reading(ReadPause.BODY)
        self._parse_later()

    def eof_received(self) -> bool:
        """Handle the client's end of input; called by the event loop."""
        self._client_left()
        return False

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 (a callback)
        """Handle the closed connection; called by the event loop."""
        self._client_left()
        self.reader.close()
        self.writer.close()
        self.upload.close()
        self.unparsed.clear()
        self.charge.release()
        self.frontend.connection_closed(self)

    def _client_left(self) -> None:
        """Discard pipelined input and the open request."""
        self.lingering = True
        self._drop_request(Cause.CLIENT_GONE)

    def _drop_request(self, cause: Cause) -> None:
        """Drop the open request, whose answer the client no longer awaits."""
        self._record_upload_end(cause)
        self.upload.finish()
        self.writer.drop()
        request = self.open_request
        self.open_request = None
        if request is not None:
            self.driver.client_gone(request)

    def on_phase_timeout(self) -> None:
        """Close the connection, which has exceeded its phase's time limit.

        While it still sends an answer, it stays open as long as its client takes the answer.
        """
        request = self.open_request
        if self.phase is not None and request is not None and not self.upload.is_active:
            log.error(
                "complete request closed by a time limit: request=%s phase=%s",
                request.arrival.request,
                self.phase.name,
            )
        if self.is_answering:
            self._check_sending()
        elif self.phase is Phase.ANSWER:
            self.frontend.wait(self, Phase.IDLE)
        elif self.phase in (Phase.NEW, Phase.BODY) and self.has_data:
            # A request whose streamed body is incomplete may already be open.
            self._drop_request(Cause.CLIENT_PAUSE)
            self._reject_input(408, "the request did not come in time")
        elif self.phase in (Phase.NEW, Phase.IDLE):
            self._linger()
        else:
            self.abort()

    @property
    def is_answering(self) -> bool:
        """Whether part of an answer is not sent, after the request is no longer open."""
        return self.phase in SENDING_PHASES and (
            self.writer.body is not None or self.has_unsent_output
        )

    def _check_sending(self) -> None:
        """Reset the connection if its client no longer takes its answer; else check again later."""
        if self.transport.check_sending(self.frontend.loop.time()) is SendState.STALLED:
            log.info("client does not read its answer: %s", self.transport.send_report())
            self.reset()
        else:
            self.frontend.wait(self, Phase.LINGERING if self.lingering else Phase.ANSWER)

    def fail_incomplete_request(self) -> None:
        """Reject an incomplete request at shutdown; the client may retry elsewhere."""
        if self.has_data and self.open_request is None:
            self._reject_input(503, "not taken")

    def close_for_shutdown(self) -> None:
        """Close the connection at shutdown; an incomplete answer must not seem complete."""
        if self.writer.body is not None:
            self.reset()
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection immediately."""
        self.frontend.leave_phase(self)
        self.transport.abort()

    def reset(self) -> None:
        """Reset the connection, so that the client can tell that the answer is incomplete.

        An orderly close would mark the end of an answer without a length; a reset does not.
        """
        self.frontend.leave_phase(self)
        self.transport.reset()

    # ---- input -----------------------------------------------------------------------------------

    def _parse(self) -> None:
        """Parse input until a request is open or the client does not read its answers."""
        if self.can_parse:
            self.transport.resume_reading(ReadPause.PIPELINED)
        left = TURN_REQUESTS
        while self.can_parse and self._parse_next():
            left -= 1
            if not left:
                self._parse_later()
                break
        self._update_charge()

    def _parse_later(self) -> None:
        """Continue in the next event-loop iteration, after the other connections' turn."""
        if self.unparsed.exceeds_a_part:
            self.transport.pause_reading(ReadPause.TURN)
        if not self.parse_scheduled:
            self.parse_scheduled = True
            self.frontend.loop.call_soon(self._parse_again)

    def _parse_again(self) -> None:
        self.parse_scheduled = False
        self.transport.resume_reading(ReadPause.TURN)
        self._parse()

    def _parse_next(self) -> bool:
        """Handle the next part of the input; return False if there is none."""
        reader = self.reader
        if self.upload.has_ended:
            self._body_completed()
        elif reader.ready:
            self._handle_request(reader.ready.popleft())
        elif reader.fault is not None:
            self._drop_request(Cause.MALFORMED)
            self._reject_input(reader.fault.status, str(reader.fault))
        elif self.upload.is_paused:
            return False
        elif self.unparsed:
            reader.feed(self.unparsed.take_part(reader.in_body))
        else:
            self._send_continue()
            if self.phase in (Phase.IDLE, Phase.ANSWER) and self.has_data:
                self.frontend.wait(self, Phase.NEW)
            return False
        return True

    def _send_continue(self) -> None:
        if self.reader.expects_continue:
            self.reader.expects_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _handle_request(self, head: Request) -> None:
        """Handle a request that is complete except for a streamed body."""
        self.writer.expect(head)
        if head.stream is not None:
            self.upload.take_over(head.stream)
        if is_readiness_check(head):
            status, text = readiness_answer(self.frontend.ready)
            self._answer(status, [], text)
            return
        try:
            request = self.intake.open_request(head, self, self.received_ns)
        except UnacceptableMessageError as error:
            self.driver.traffic_log.request_closed("-", f"not acceptable, {error.status}")
            # After a complete message the connection stays usable.
            self._answer(error.status, [], f"{error}\n".encode())
            return
        self.open_request = request
        if head.stream is None:
            self.frontend.leave_phase(self)
        else:
            self._send_continue()
            self.upload.begin(request.wait_ns, self.received_ns)
        if not self.driver.arrive(request):
            name = request.arrival.request
            self.driver.traffic_log.request_closed(name, "too many open requests")
            self.reject(0)

    def _body_completed(self) -> None:
        sent_ns = self.upload.sent_ns(self.received_ns)
        self.upload.finish()
        self.frontend.leave_phase(self)
        if self.open_request is not None:
            deadline_ns = self.intake.deadline_ns(sent_ns)
            self.driver.body_completed(self.open_request, deadline_ns, sent_ns)

    # ---- output ----------------------------------------------------------------------------------

    def serve(self, response: Response) -> None:
        """Forward an upstream's response."""
        header_fields = end_to_end(response.headers)
        if self.writer.is_head:
            # The Content-Length of the answer to a GET; 0 would be wrong.
            length = response.header(b"content-length")
            self._answer(200, header_fields, b"", length=length)
        elif response.stream is not None:
            self._begin_answer(header_fields, response.stream)
        else:
            self._answer(200, header_fields, response.body)

    def reject(self, retry_after_ns: int) -> None:
        """Answer 503, which guarantees that the request had no effect."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after_ns / 1e9))] if retry_after_ns > 0 else []
        self._answer(503, headers, b"refused\n")

    def fail(self, status: int) -> None:
        """Answer with an error status; the request may or may not have had an effect."""
        self._answer(status, [], b"failed\n")

    def _reject_input(self, status: int, reason: str) -> None:
        """Answer invalid input and stop reading."""
        self.driver.traffic_log.request_closed("-", f"input rejected with {status}")
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

    def _begin_answer(self, header_fields: Headers, body: Body) -> None:
        """Begin an answer with a streamed body."""
        self.frontend.wait(self, Phase.ANSWER)
        self.transport.begin_sending(self.frontend.loop.time())
        self._end_request(False)
        self.writer.begin_body(header_fields, body, self.close_after_answer)

    def _end_request(self, close_after_answer: bool) -> None:
        """Close the open request, and decide whether the connection closes after its answer."""
        was_open = self.open_request is not None
        self.open_request = None
        if self.upload.cut_off():
            close_after_answer = True  # the rest of the body would be parsed as a request
        self.close_after_answer = (
            close_after_answer
            or not self.writer.keep_alive
            or self.frontend.draining
            or self.frontend.is_usage_above(CLOSE_FRACTION if was_open else CLOSE_REJECTED_FRACTION)
        )

    def answer_completed(self) -> None:
        """Continue with the next request after a complete answer, or close."""
        if self.close_after_answer:
            self._linger()
            return
        self.frontend.wait(self, Phase.IDLE)
        self._update_charge()
        if self.has_data:
            self._parse_later()

    def _linger(self) -> None:
        """Half-close after the last answer, and discard input until the client closes too.

        A full close while input is unread or in flight would reset the connection, and the client
        could lose the answer. The phase's time limit bounds the wait.
        """
        self.lingering = True
        self.unparsed.clear()
        self.reader.close()
        self._update_charge()
        if self.transport.is_open:
            self.frontend.wait(self, Phase.LINGERING)
            self.transport.write_eof()

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection is closing."""
        self.transport.write(data)
