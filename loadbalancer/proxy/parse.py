"""HTTP/1.1 parser that turns bytes into messages, without I/O.

It uses `httptools` (llhttp) in strict mode, which rejects bare line feeds, folded headers, two
lengths, a length together with a transfer coding, and malformed chunks. This module checks what
llhttp accepts but this proxy does not.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import httptools

from loadbalancer.proxy.body_stream import MAX_LENGTH, Body
from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.messages import (
    MAX_HEAD,
    MessageHead,
    Request,
    Response,
    UnacceptableMessageError,
)

MAX_BODY = 64 * 1024  # bytes; a longer body is streamed if possible
MAX_FIELDS = 256  # header fields of a head
MAX_LENGTH_DIGITS = 15
# The bytes read for a message are limited to this factor times the larger of the body read so far
# and the longest buffered body. The factor allows for small chunks, which are mostly framing.
MAX_OVERHEAD = 8
MAX_INTERIM = 8  # 1xx responses before the final response
READY_MESSAGE_BYTES = 2_000  # memory of a message with a usual head
SUCCESS = 200
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)

# A request that repeats one of these headers is rejected as ambiguous: this proxy and the upstream
# could use different values.
SINGLE_VALUE_HEADERS = frozenset(
    {
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"idempotency-key",
        b"x-request-id",
        b"x-class",
        b"x-tenant",
        b"x-deadline-ms",
        b"x-retry",
        b"x-cost-hint",
    }
)


Message = TypeVar("Message", Request, Response)


class MessageReader(Generic[Message]):
    """Builds messages from the parser's callbacks; base class for both directions.

    After a message that is not acceptable, `fault` holds the reason and no more bytes are read.

    Attributes:
        replayable_bodies: Whether streamed bodies are kept for a retry while the buffer allows it.
        memory: Counts the bytes of streamed bodies; None: a body longer than `max_body` is an
            error.
        stream: The body of the current message, if it is streamed.
        ready: Messages that are complete, or complete except for a streamed body.
    """

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None
    replayable_bodies = False

    def __init__(self, max_body: int, memory: MemoryAccount | None = None) -> None:
        self.max_body = max_body
        self.memory = memory
        self.stream: Body | None = None
        self.ready: deque[Message] = deque()
        self.fault: UnacceptableMessageError | None = None
        self.head: MessageHead | None = None

    @property
    def in_message(self) -> bool:
        """Whether a message has begun and is incomplete."""
        return self.head is not None

    @property
    def in_body(self) -> bool:
        """Whether the head of the current message is complete."""
        return self.head is not None and self.head.complete

    def feed(self, data: bytes) -> None:
        """Read bytes; what they complete is appended to `ready`."""
        if self.fault is not None or self.parser is None:
            return
        previous_head = self.head
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.ready:
                # The upgrade request may be ignored, but the parser stops after this message.
                self.ready[-1].keep_alive = False
            else:
                self._fail(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self._fail(400, str(error))
        head = self.head
        if head is not None and (head is previous_head or not self.ready):
            head.size += len(data)
            if not head.complete:
                head.pack_headers()
            if not head.complete and head.size > MAX_HEAD:
                self._fail(431, "the head is too large")
            elif head.size > MAX_OVERHEAD * max(self.max_body, head.payload_size):
                self._fail(413, "the message is too large")

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that the messages take which are being read or were not taken."""
        ready_bytes = len(self.ready) * READY_MESSAGE_BYTES
        return ready_bytes if self.head is None else ready_bytes + self.head.held_bytes

    @property
    def payload_size(self) -> int:
        """Bytes of the current body received so far."""
        return 0 if self.head is None else self.head.payload_size

    def close(self) -> None:
        """Stop reading, and fail a body that is being received.

        The parser and the reader refer to each other; clearing the reference frees their memory
        without the garbage collector.
        """
        self.parser = None
        self.head = None
        self.ready.clear()
        if self.stream is not None:
            self.stream.fail()

    def _fail(self, status: int, reason: str) -> None:
        self.fault = self.fault or UnacceptableMessageError(status, reason)
        if self.stream is not None:
            self.stream.fail()

    # ---- called by the parser --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.head = MessageHead()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped."""
        head = self.head
        assert head is not None
        if head.complete or self.fault is not None:
            return
        head.field_count += 1
        if head.field_count > MAX_FIELDS:
            self._fail(431, "the head has too many fields")
        else:
            head.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Check a complete head, and start a streamed body if its length exceeds `max_body`."""
        head = self.head
        assert head is not None
        assert self.parser is not None
        head.unpack_headers()
        head.complete = True
        size = len(head.target)
        length: bytes | None = None
        codings: list[bytes] = []
        for name, value in head.headers:
            size += len(name) + len(value)
            if name == b"content-length":
                length = value if length is None else length
            elif name == b"transfer-encoding":
                codings.append(value.lower())
        if size > MAX_HEAD:
            self._fail(431, "the head is too large")
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            self._fail(400, "not HTTP/1.1")
        if codings and codings != [b"chunked"]:
            self._fail(400, "no such transfer coding")
        self._check_length(head, b"0" if length is None else length)

    def _check_length(self, head: MessageHead, length: bytes) -> None:
        if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
            self._fail(400, "Content-Length is not a whole number")
            return
        self._check_head(head)
        if self.fault is None and int(length) > self.max_body:
            self._begin_stream(head, int(length))

    def _check_head(self, head: MessageHead) -> None:
        """Check a complete, well-formed head; subclasses add the checks of their direction."""

    def on_body(self, data: bytes) -> None:
        """Add received bytes to the body."""
        head = self.head
        if head is None or self.fault is not None:  # None: closed by what an earlier piece led to
            return
        head.payload_size += len(data)
        if head.payload_size > MAX_LENGTH:
            self._fail(413, "the body is too large")
        elif self.stream is not None:
            self.stream.put(data)
        else:
            head.body += data
            if head.payload_size > self.max_body:
                self._begin_stream(head, None)

    def _begin_stream(self, head: MessageHead, length: int | None) -> None:
        """Deliver a message whose body is too long to be buffered, with a streamed body."""
        if self.memory is None or (length or 0) > MAX_LENGTH or not self._may_stream():
            self._fail(413, "the body is too large")
            return
        self.stream = Body(length, self.memory, self.replayable_bodies)
        self._complete(head, self.stream)
        if head.body:
            self.stream.put(bytes(head.body))
            head.body.clear()

    def on_message_complete(self) -> None:
        """Finish the current message."""
        head = self.head
        self.head = None
        if head is None or self.fault is not None:
            return
        if self.stream is None:
            self._complete(head, None)
        else:
            stream = self.stream
            self.stream = None
            stream.end()

    def _may_stream(self) -> bool:
        return True

    def _complete(self, head: MessageHead, stream: Body | None) -> None:
        raise NotImplementedError


class RequestReader(MessageReader[Request]):
    """Reads the requests of one client's connection.

    Attributes:
        expects_continue: Whether the client waits for a 100 Continue before it sends the body.
    """

    parser: httptools.HttpRequestParser | None
    replayable_bodies = True

    def __init__(self, max_body: int = MAX_BODY, memory: MemoryAccount | None = None) -> None:
        super().__init__(max_body, memory)
        self.parser = httptools.HttpRequestParser(self)
        self.expects_continue = False

    def on_url(self, target: bytes) -> None:
        """Add received bytes to the request target."""
        assert self.head is not None
        self.head.target += target

    def _check_head(self, head: MessageHead) -> None:
        assert self.parser is not None
        single_headers: set[bytes] = set()
        expectations = []
        for name, value in head.headers:
            if name in SINGLE_VALUE_HEADERS:
                if name in single_headers:
                    self._fail(400, f"{name.decode()} stands there twice")
                single_headers.add(name)
            elif name == b"expect":
                expectations.append(value.lower())
        if b"host" not in single_headers and self.parser.get_http_version() == "1.1":
            self._fail(400, "no Host")
        if self.parser.get_method() in (b"CONNECT", b"TRACE"):
            self._fail(405, "no such method here")
        if expectations not in ([], [b"100-continue"]):
            self._fail(417, "no such expectation")
        self.expects_continue = bool(expectations) and self.fault is None

    def _complete(self, head: MessageHead, stream: Body | None) -> None:
        assert self.parser is not None
        self.expects_continue = (
            self.expects_continue and stream is not None and not head.payload_size
        )
        is_http_1_1 = self.parser.get_http_version() == "1.1"
        keep_alive = self.parser.should_keep_alive() and is_http_1_1
        method = self.parser.get_method()
        body = b"" if stream is not None else bytes(head.body)
        self.ready.append(
            Request(method, head.target, head.headers, body, keep_alive, is_http_1_1, stream)
        )


class ResponseReader(MessageReader[Response]):
    """Reads the responses on one connection to an upstream.

    `ready` holds at most the expected response and unrequested responses after it.

    Attributes:
        interim_count: Number of 1xx responses before the final response.
        head_only: Whether the request was HEAD: the response may have a Content-Length but has no
            body.
        head_response_complete: Whether the response to a HEAD request is complete.
        until_close: Whether the body of the current response ends when the connection is closed.
    """

    parser: httptools.HttpResponseParser | None

    def __init__(self) -> None:
        super().__init__(MAX_BODY)
        self.parser = httptools.HttpResponseParser(self)
        self.interim_count = 0
        self.head_only = False
        self.head_response_complete = False
        self.until_close = False

    def expect(
        self, max_body: int, memory: MemoryAccount | None = None, head_only: bool = False
    ) -> None:
        """Prepare for the next response; a body longer than `max_body` is streamed."""
        self.max_body = max_body
        self.memory = memory
        self.head_only = head_only
        self.interim_count = 0

    def feed(self, data: bytes) -> None:
        """Read bytes; what they complete is appended to `ready`."""
        super().feed(data)
        if self.head_response_complete and self.fault is None:
            # llhttp can't be told that the request was HEAD, and waits for a body. A new parser
            # reads the next response.
            self.head_response_complete = False
            self.head = None
            self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """Check a complete head; for a HEAD request, the head is the complete response."""
        if self.head_only and self.parser is not None:
            status = self.parser.get_status_code()
            if status >= FIRST_FINAL_STATUS:
                assert self.head is not None
                self.head.unpack_headers()
                self.head_response_complete = True
                self._complete(self.head, None)
                return
        super().on_headers_complete()

    def on_body(self, data: bytes) -> None:
        """Add received bytes to the body; fail if the request was HEAD."""
        if self.head_response_complete:
            self._fail(502, "the response to a HEAD request has a body")
            return
        super().on_body(data)

    def on_message_complete(self) -> None:
        """Finish the current response."""
        if not self.head_response_complete:
            super().on_message_complete()

    def _check_head(self, head: MessageHead) -> None:
        """Accept a response only if exactly one framing determines its end.

        The framing is a Content-Length, chunks, or `Connection: close`. Without a framing, a
        complete response can't be distinguished from a truncated one. A response whose announced
        length is too large is rejected without reading its body.
        """
        assert self.parser is not None
        status = self.parser.get_status_code()
        framings = sum(
            name in (b"content-length", b"transfer-encoding") for name, _ in head.headers
        )
        closes = any(
            name == b"connection" and b"close" in value.lower().replace(b",", b" ").split()
            for name, value in head.headers
        )
        may_have_body = status >= FIRST_FINAL_STATUS and status not in STATUSES_WITHOUT_BODY
        self.until_close = not framings and closes and may_have_body
        if framings != 1 and may_have_body and not self.until_close:
            self._fail(502, "the framing of the response is missing or ambiguous")

    @property
    def is_receiving(self) -> bool:
        """Whether the head of a final response is complete, and a part of its body is to come."""
        return (
            self.head is not None
            and self.head.complete
            and self.stream is None
            and self.fault is None
            and self.parser is not None
            and self.parser.get_status_code() >= FIRST_FINAL_STATUS
        )

    @property
    def may_be_long(self) -> bool:
        """Whether a response that is being received has no length, and may be streamed."""
        return (
            self.is_receiving
            and self.memory is not None
            and self._may_stream()
            and all(name != b"content-length" for name, _ in self._header_fields())
        )

    def _header_fields(self) -> list[tuple[bytes, bytes]]:
        return [] if self.head is None else self.head.headers

    def stream_now(self) -> None:
        """Deliver a response that `may_be_long` with a streamed body, before it is known to be."""
        if self.head is not None and self.may_be_long:
            self._begin_stream(self.head, None)

    def finish(self) -> bool:
        """Handle an orderly close (FIN) of the connection.

        Returns:
            Whether the close completes a response.
        """
        if (
            not self.until_close
            or self.head is None
            or not self.head.complete
            or self.fault is not None
        ):
            return False
        self.on_message_complete()
        return True

    def _may_stream(self) -> bool:
        """Return whether the body may be streamed: clients need only that of a 200 response."""
        return self.parser is not None and self.parser.get_status_code() == SUCCESS

    def _complete(self, head: MessageHead, stream: Body | None) -> None:
        assert self.parser is not None
        status = self.parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            keep_alive = self.parser.should_keep_alive() and not self.until_close
            body = b"" if stream is not None else bytes(head.body)
            self.ready.append(Response(status, head.headers, body, keep_alive, stream))
            return
        self.interim_count += 1
        if self.interim_count > MAX_INTERIM:
            self._fail(502, "too many 1xx responses")
