"""Keep-alive connection to an upstream, which carries one exchange at a time."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.policy.api import AttemptResult
from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.policy.message_end import Clock, hold_ns
from loadbalancer.policy.rules import ALLOWED, Denied, Reason, Verdict
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.exchange import Exchange
from loadbalancer.proxy.http import LAST_CHUNK, BufferedReader, chunk
from loadbalancer.proxy.memory_account import UPSTREAM_CONNECTION_BYTES, Charge, MemoryAccount
from loadbalancer.proxy.message_end_log import Cause, Direction, MessageEnd, MessageEndLog
from loadbalancer.proxy.messages import Response
from loadbalancer.proxy.parse import ResponseReader
from loadbalancer.proxy.peer_transport import PeerTransport, ReadPause
from loadbalancer.proxy.response_watch import ResponseWatch
from loadbalancer.proxy.send_progress import CHECK_INTERVAL_S, SendState

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class UpstreamLog:
    """Where the messages are logged that end in transit on a connection.

    Attributes:
        upstream: The operators' id of the upstream.
        message_ends: The log.
    """

    upstream: str
    message_ends: MessageEndLog


class UpstreamConnection(BufferedReader):
    """A connection to one process of an upstream.

    Args:
        on_released: Called when the connection is free for the next exchange.
        on_closed: Called once when the connection is closed.
        memory: The account of this process.
        upstream_log: Where messages are logged that end in transit; None: nowhere.

    Attributes:
        request_name: The id of the latest request.
        response_watch: Closes the connection if the response that is being streamed has its limit.
        charge: What this process holds for the connection.
        streamed_response: The response whose body is being streamed.
        hold_timer: Forwards a response without a length as it comes.
        response_began_s: When the head of the current response was complete (event-loop time).
        send_timer: The next check of a request's body that is being sent.
        request_written: Whether the last request was written completely, which reuse requires.
        has_unrequested_bytes: Whether bytes were received that belong to no request.
        idle_since: When the connection became idle (event-loop time).
        response_end_s: When its last response was complete (event-loop time); -inf: none yet.
    """

    def __init__(
        self,
        on_released: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
        memory: MemoryAccount,
        upstream_log: UpstreamLog | None = None,
    ) -> None:
        self.upstream_log = upstream_log
        self.request_name = "-"
        self.response_watch = ResponseWatch(self._limit_reached)
        self.memory = memory
        self.charge = Charge(memory)
        self.on_released = on_released
        self.on_closed = on_closed
        self.reader = ResponseReader()
        self.transport = PeerTransport()
        self.exchange: Exchange | None = None
        self.streamed_response: Response | None = None
        self.request_written = False
        self.send_timer: asyncio.TimerHandle | None = None
        self.hold_timer: asyncio.TimerHandle | None = None
        self.response_began_s = 0.0
        self.idle_since = 0.0
        self.response_end_s = -math.inf
        self.writable = True
        self.closed = False
        self.has_unrequested_bytes = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the event loop."""
        self.transport.connect(transport)
        if self.closed:  # aborted while it was being established
            self.transport.abort()
            return
        # With a high-water mark of 0, the transport calls `pause_writing` as soon as it buffers a
        # byte, and `resume_writing` only when it has written all bytes to the socket.
        self.transport.set_write_buffer_limits(high=0)
        self._update_charge()

    def _update_charge(self) -> None:
        unsent_bytes = 0 if self.writable else self.transport.unsent_bytes
        self.charge.replace(UPSTREAM_CONNECTION_BYTES + self.reader.held_bytes + unsent_bytes)

    @property
    def reusable(self) -> bool:
        """Whether the connection is open and has no unread input.

        An unread byte would be taken for the next response. An unread FIN or reset would break the
        next request.
        """
        is_open = not self.closed and self.transport.is_open
        return is_open and not self.transport.has_unread_data

    @property
    def acknowledged_bytes(self) -> int:
        """Number of bytes that the upstream has acknowledged on this connection."""
        return self.transport.acknowledged_bytes

    def start(self, exchange: Exchange, upstream_verdict: Verdict = ALLOWED) -> None:
        """Write an exchange's request, if the exchange may still start.

        Otherwise the connection is released, and the exchange ends in the next event-loop
        iteration, as not sent or, if the upstream is unavailable, as a failed connect.

        Args:
            exchange: The exchange.
            upstream_verdict: Whether new requests may be sent to the upstream.
        """
        data = exchange.request.begin(upstream_verdict)
        if isinstance(data, Denied):
            self.on_released(self)
            result = (
                AttemptResult.CONNECT_FAILED
                if data.reason is Reason.UPSTREAM_UNAVAILABLE
                else AttemptResult.NOT_SENT
            )
            asyncio.get_running_loop().call_soon(exchange.give_up, result)
            return
        self.exchange = exchange
        self.request_name = exchange.request.name
        exchange.connection = self
        expected = exchange.expected
        self.reader.expect(expected.max_body, expected.memory, expected.head_only)
        self.writable = True
        # If the transport can't write all bytes at once, it calls `pause_writing` during `write`,
        # which resets this flag.
        exchange.written = exchange.body is None
        self.transport.write(data)
        if exchange.body is not None:
            exchange.body.changed = self._write_body
            self.transport.begin_sending(asyncio.get_running_loop().time())
            self._check_sending_later()
            self._write_body()

    def pause_writing(self) -> None:
        """Stop writing while the transport has buffered bytes; called by the event loop."""
        self.writable = False
        self._update_charge()
        if self.exchange is not None:
            self.exchange.written = False

    def resume_writing(self) -> None:
        """Continue when the transport has written all bytes; called by the event loop."""
        self.writable = True
        self._update_charge()
        if self.exchange is not None:
            if self.exchange.body is not None:
                self._write_body()
            else:
                self.exchange.written = True

    def _write_body(self) -> None:
        """Write the available part of the request's body while the transport accepts data."""
        exchange = self.exchange
        body = exchange.body if exchange is not None else None
        if exchange is None or body is None or exchange.written:
            return
        if body.failed:
            self.abort()  # without the body's last byte, the upstream can't run the request
            return
        while self.writable:
            if body.ends_next and not exchange.request.may_finish():
                self._record_request_end(Cause.NOT_ALLOWED)
                self.abort()  # without the body's last byte, the upstream can't run the request
                return
            piece = body.take()
            if piece is None:
                break
            self.transport.write(piece if body.length is not None else chunk(piece))
        if body.drained and self.writable and body.changed is not None:
            self._finish_body(exchange, body)

    def _finish_body(self, exchange: Exchange, body: Body) -> None:
        self._cancel_send_timer()
        body.changed = None
        exchange.body = None
        exchange.written = True
        if body.length is None:
            self.transport.write(LAST_CHUNK)

    # ---- limits ----------------------------------------------------------------------------------

    def _check_sending_later(self) -> None:
        self.send_timer = asyncio.get_running_loop().call_later(
            CHECK_INTERVAL_S, self._check_sending
        )

    def _check_sending(self) -> None:
        """Close the connection if the upstream no longer takes the body of its request."""
        if self.transport.check_sending(asyncio.get_running_loop().time()) is SendState.STALLED:
            log.info(
                "upstream does not read its request: request=%s %s",
                self.request_name,
                self.transport.send_report(),
            )
            self._record_request_end(Cause.UPSTREAM_STALLED)
            self.abort()
        else:
            self._check_sending_later()

    def _cancel_send_timer(self) -> None:
        if self.send_timer is not None:
            self.send_timer.cancel()
            self.send_timer = None

    def _limit_reached(self, clock: Clock) -> None:
        """Close the connection, because the response that is being streamed has its limit."""
        self._end_streaming(clock)
        self.abort()

    # ---- messages that end in transit ------------------------------------------------------------

    def _end_streaming(self, cause: Cause | Clock) -> None:
        """Forget the response that is being forwarded, and log that its end was not seen."""
        response = self.streamed_response
        transit = self.response_watch.end()
        self.streamed_response = None
        if self.upstream_log is None or transit is None or response is None:
            return
        assert response.stream is not None
        self.upstream_log.message_ends.record(
            MessageEnd(
                self.request_name,
                self.upstream_log.upstream,
                Direction.RESPONSE,
                transit.state.value,
                cause.value,
                transit.received_bytes,
                response.stream.taken_bytes,
                time.monotonic_ns() - transit.piece_ns,
            )
        )

    @property
    def _close_cause(self) -> Cause:
        """Why the connection closes under a response that is being forwarded."""
        response = self.streamed_response
        is_dropped = response is not None and response.stream is not None and response.stream.failed
        return Cause.CLIENT_GONE if is_dropped else Cause.UPSTREAM_CLOSED

    def _record_request_end(self, cause: Cause) -> None:
        """Log that the body which is being sent ends before all of it was sent."""
        exchange = self.exchange
        body = exchange.body if exchange is not None else None
        if self.upstream_log is None or body is None:
            return
        self.upstream_log.message_ends.record(
            MessageEnd(
                self.request_name,
                self.upstream_log.upstream,
                Direction.REQUEST,
                body.state.name.lower(),
                cause.value,
                body.received_bytes,
                self.transport.acknowledged_bytes,
                self.transport.receive_state.data_age_ns,
            )
        )

    # ---- the response ----------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a response; called by the event loop."""
        exchange = self.exchange
        reader = self.reader
        if self.streamed_response is not None:
            reader.feed(data)
            if reader.in_message:
                self.response_watch.piece_received(reader.payload_size)
            self._continue_body(self.streamed_response)
            return
        if exchange is None:
            self.has_unrequested_bytes = True
            self.abort()
            return
        reader.feed(data)
        self._update_charge()
        if reader.ready:
            self._complete(exchange, reader.ready.popleft())
        elif reader.fault is not None:
            # The upstream has answered, although the response can't be parsed. Its work on the
            # request is finished, and this is not a network failure: the result is an error, not a
            # reset. The connection can't be used any more.
            exchange.finish(AttemptResult.ERROR)
            self.abort()
        elif reader.is_receiving:
            self._note_response(exchange)

    def _note_response(self, exchange: Exchange) -> None:
        """Note that a part of the response has arrived; hold a response without a length."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        if exchange.response_s is None:
            self.response_began_s = now_s
        exchange.response_s = now_s
        if self.hold_timer is None and self.reader.may_be_long:
            left_s = exchange.timeout_at_s - now_s
            held_ns = hold_ns(None if math.isinf(left_s) else int(left_s * NS_PER_S))
            self.hold_timer = loop.call_later(held_ns / NS_PER_S, self._forward_now)

    def _forward_now(self) -> None:
        """Forward a response without a length as it comes, before the attempt could be late."""
        self.hold_timer = None
        exchange = self.exchange
        if exchange is None:
            return
        self.reader.stream_now()
        if self.reader.ready:
            held_s = asyncio.get_running_loop().time() - self.response_began_s
            self._complete(exchange, self.reader.ready.popleft(), int(held_s * NS_PER_S))

    def _cancel_hold_timer(self) -> None:
        if self.hold_timer is not None:
            self.hold_timer.cancel()
            self.hold_timer = None

    def eof_received(self) -> None:
        """Handle the upstream's FIN, and close the connection; called by the event loop.

        A response that is framed by the close of the connection is complete now. Any other response
        in progress is incomplete.
        """
        exchange = self.exchange
        reader = self.reader
        if reader.finish():
            if self.streamed_response is not None:
                self._continue_body(self.streamed_response)
            elif exchange is not None and reader.ready:
                self._complete(exchange, reader.ready.popleft())
        self.abort()

    def _complete(self, exchange: Exchange, response: Response, held_ns: int | None = None) -> None:
        if held_ns is None:
            held_ns = self.transport.receive_state.data_age_ns
        exchange.unread_ns = held_ns
        self._cancel_hold_timer()
        self.exchange = None
        self.request_written = exchange.written
        self._cancel_send_timer()
        if exchange.body is not None:
            exchange.body.changed = None  # answered before the body's end: stop sending it
        if response.stream is not None:
            self.streamed_response = response
            self.response_watch.begin(
                response.stream.length, exchange.deadline_s, self.reader.payload_size
            )
            response.stream.attach(self)
            self._continue_body(response)
        else:
            self._end_response(response)
        exchange.finish(AttemptResult.OK, response)

    def _continue_body(self, streamed_response: Response) -> None:
        """Check whether the body of a streamed response is complete or malformed."""
        assert streamed_response.stream is not None
        if self.reader.fault is not None:
            self._end_streaming(Cause.MALFORMED)
            self.abort()
        elif streamed_response.stream.ended:
            self.response_watch.end()
            self.streamed_response = None
            self._end_response(streamed_response)

    def _end_response(self, response: Response) -> None:
        """Release the connection after a complete response, or close it.

        It is closed if it received bytes after the response: they would be taken for the response
        to the next request.
        """
        reader = self.reader
        self.response_end_s = asyncio.get_running_loop().time()
        self.has_unrequested_bytes = bool(reader.ready or reader.in_message or reader.fault)
        if self.request_written and response.keep_alive and not self.has_unrequested_bytes:
            self.on_released(self)
        else:
            self.abort()

    def pause(self) -> None:
        """Pause reading because the receiver of the response's body is slow."""
        self.response_watch.hold()
        self.transport.pause_reading(ReadPause.BODY)

    def resume(self) -> None:
        """Resume reading, and count the silence of the upstream from now on."""
        self.read_on()
        self.response_watch.read_on()

    def read_on(self) -> None:
        """Resume reading without a time limit."""
        self.transport.resume_reading(ReadPause.BODY)

    def abort(self) -> None:
        """Close the connection at once; an exchange in progress ends as broken."""
        if not self.closed:
            self.transport.abort()
        self._clean_up()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 (signature of asyncio.Protocol)
        """Clean up after the close; called by the event loop."""
        self._clean_up()

    def _clean_up(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.charge.release()
        self._cancel_send_timer()
        self._cancel_hold_timer()
        self._end_streaming(self._close_cause)
        self.response_watch.close()
        self.reader.close()  # fails a body that is being received
        exchange = self.exchange
        self.exchange = None
        self.on_closed(self)
        if exchange is not None:
            exchange.connection_broken()
