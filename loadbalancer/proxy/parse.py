"""HTTP/1.1 parser: bytes in, complete messages out, without a socket.

`httptools` (llhttp) reads them, and is strict: bare line feeds, folded headers, two lengths or a
length and a coding, and bad chunks are errors. What it accepts beyond that is checked here.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

import httptools

from loadbalancer.proxy.body_stream import MAX_LENGTH, Body, BodyMemory
from loadbalancer.proxy.messages import Request, Response, UnacceptableMessageError

MAX_BODY = 64 * 1024  # a longer body is passed on in pieces where that is possible
MAX_HEAD = 16 * 1024  # bytes ahead of a body; the parser sets no bound of its own
MAX_LENGTH_DIGITS = 15
# A message may have so many times the bytes of the longest body: small chunks are mostly framing.
MAX_OVERHEAD = 8
MAX_INTERIM = 8  # 1xx responses ahead of the final one
SUCCESS = 200
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (204, 304)

# A request that repeats one of these is ambiguous: here one would count, further on the other.
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


class MessageHead:
    """A message under way.

    One is made for every message there is: no dataclass, whose factories cost more than all the
    rest of it.

    Attributes:
        payload_size: Bytes of its body.
        size: Bytes read for it; those that also held another message's end are not counted.
        complete: Its headers are complete: what comes as a header now is a trailer.
    """

    __slots__ = ("body", "complete", "headers", "payload_size", "size", "target")

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.payload_size = 0
        self.size = 0
        self.complete = False


class MessageReader(Generic[Message]):
    """Collects what the parser calls out, in either direction.

    A message that can't be accepted is the last: `fault` says why, and nothing is read behind it.

    Attributes:
        replayable_bodies: A body in pieces is kept, to be sent again as long as that is possible.
        memory: Counts the bytes of bodies in pieces; None: a longer body can't be accepted.
        stream: The body of the message under way, where it comes in pieces.
        ready: Complete messages.
    """

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None
    replayable_bodies = False

    def __init__(self, max_body: int, memory: BodyMemory | None = None) -> None:
        self.max_body = max_body
        self.memory = memory
        self.stream: Body | None = None
        self.ready: deque[Message] = deque()
        self.fault: UnacceptableMessageError | None = None
        self.head: MessageHead | None = None

    @property
    def in_message(self) -> bool:
        """Whether part of a message has come."""
        return self.head is not None

    @property
    def in_body(self) -> bool:
        """Whether the head of the message under way is complete."""
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
                # The upgrade may be ignored, but the parser reads no further.
                self.ready[-1].keep_alive = False
            else:
                self._fail(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self._fail(400, str(error))
        head = self.head
        if head is not None and (head is previous_head or not self.ready):
            head.size += len(data)
            if not head.complete and head.size > MAX_HEAD:
                self._fail(431, "the head is too large")
            elif head.size > MAX_OVERHEAD * max(self.max_body, head.payload_size):
                self._fail(413, "the message is too large")

    def close(self) -> None:
        """Stop reading.

        Parser and reader refer to each other: without this, memory waits for the collector.
        """
        self.parser = None
        if self.stream is not None:
            self.stream.fail()

    def _fail(self, status: int, reason: str) -> None:
        self.fault = self.fault or UnacceptableMessageError(status, reason)
        if self.stream is not None:
            self.stream.fail()

    # ---- called by the parser --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.head = MessageHead()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        assert self.head is not None
        if not self.head.complete:
            self.head.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Check a complete head, and begin a body in pieces where it is a long one."""
        head = self.head
        assert head is not None
        assert self.parser is not None
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
        self._check(head)
        if self.fault is None and int(length) > self.max_body:
            self._begin_stream(head, int(length))

    def _check(self, head: MessageHead) -> None:
        """Check a head that is complete and can be read."""

    def on_body(self, data: bytes) -> None:
        """Take part of a body."""
        head = self.head
        assert head is not None
        if self.fault is not None:
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
        """Hand on a message whose body is too long to be buffered; the body follows in pieces."""
        if self.memory is None or (length or 0) > MAX_LENGTH or not self._may_stream():
            self._fail(413, "the body is too large")
            return
        self.stream = Body(length, self.memory, self.replayable_bodies)
        self._complete(head, self.stream)
        if head.body:
            self.stream.put(bytes(head.body))
            head.body.clear()

    def on_message_complete(self) -> None:
        """End a message."""
        head = self.head
        self.head = None
        assert head is not None
        if self.fault is not None:
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
        expects_continue: The client waits for 100 Continue.
    """

    parser: httptools.HttpRequestParser | None
    replayable_bodies = True

    def __init__(self, max_body: int = MAX_BODY, memory: BodyMemory | None = None) -> None:
        super().__init__(max_body, memory)
        self.parser = httptools.HttpRequestParser(self)
        self.expects_continue = False

    def on_url(self, target: bytes) -> None:
        """Take part of the request's target."""
        assert self.head is not None
        self.head.target += target

    def _check(self, head: MessageHead) -> None:
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
    """Reads the responses of one upstream's connection.

    `ready` holds at most the response and what should not have come behind it.

    Attributes:
        interim_count: 1xx responses ahead of the final one.
        head_only: The response is to a HEAD request: it names a length, and has no body.
        head_response_complete: Such a response is complete.
        until_close: The response under way ends with its connection.
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
        self, max_body: int, memory: BodyMemory | None = None, head_only: bool = False
    ) -> None:
        """Prepare for the next response, which comes in pieces where it is longer than this."""
        self.max_body = max_body
        self.memory = memory
        self.head_only = head_only
        self.interim_count = 0

    def feed(self, data: bytes) -> None:
        """Read bytes; what they complete is appended to `ready`."""
        super().feed(data)
        if self.head_response_complete and self.fault is None:
            # The parser does not know of HEAD and waits for a body: another one reads the next
            # response.
            self.head_response_complete = False
            self.head = None
            self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """Check a complete head; to a HEAD request it is the complete response."""
        if self.head_only and self.parser is not None:
            status = self.parser.get_status_code()
            if status >= FIRST_FINAL_STATUS:
                assert self.head is not None
                self.head_response_complete = True
                self._complete(self.head, None)
                return
        super().on_headers_complete()

    def on_body(self, data: bytes) -> None:
        """Take part of a body, which the response to a HEAD request may not have."""
        if self.head_response_complete:
            self._fail(502, "a body where there is none")
            return
        super().on_body(data)

    def on_message_complete(self) -> None:
        """End a response."""
        if not self.head_response_complete:
            super().on_message_complete()

    def _check(self, head: MessageHead) -> None:
        """Accept only a response that frames its own end, in one way.

        By a length, by chunks, or by saying that its connection closes behind it: any other can't
        be told from one that was cut off. One that is said to be too large is not read to find out.
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
            self._fail(502, "no length, or two")

    def finish(self) -> bool:
        """Note that the connection was closed in order.

        Returns:
            Whether that completes a response.
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
        """Whether its body may come in pieces: only that of a success is of use to a client."""
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
            self._fail(502, "1xx answers without end")
