"""Bytes in, whole HTTP/1.1 messages out; no socket.

`httptools` (llhttp) reads them, and is strict: bare line feeds, folded headers, two lengths or a
length and a coding, and bad chunks are errors. What it lets pass is seen to here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

import httptools

from loadbalancer.proxy.body_stream import MAX_LENGTH, Body, BodyMemory

MAX_BODY = (
    64 * 1024
)  # a longer one is not held whole, but passed on in pieces where that is possible
MAX_HEAD = 16 * 1024  # bytes ahead of a body; the parser sets no bound of its own
OVERHEAD = 8  # times the longest body, a message may have in all: small chunks are mostly framing
MAX_INTERIM = 8  # 1xx answers ahead of the one that counts: more are no answer that will ever end
Headers = Sequence[tuple[bytes, bytes]]

# Of these one decides and the other might be believed further on: a request that repeats one is
# ambiguous.
SINGLE = frozenset(
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


class Unacceptable(Exception):
    """What came can't be taken; of a request, with what status it is answered."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Request:
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool  # its connection goes on behind it
    latest: bool = True  # its client speaks HTTP/1.1, and so reads chunks
    stream: Body | None = None  # the body, where it comes in pieces


@dataclass(slots=True)
class Response:
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool = True
    stream: Body | None = None  # the body, where it comes in pieces

    def header(self, name: bytes) -> bytes | None:
        return next((value for key, value in self.headers if key == name), None)


Message = TypeVar("Message", Request, Response)


class Head:
    """A message under way. One is made for every message there is: no dataclass, whose factories
    cost more than all the rest of it.
    """

    __slots__ = ("body", "complete", "headers", "passed", "size", "target")

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.passed = 0  # bytes of its body
        self.size = (
            0  # bytes read for it; those that also held another message's end are not counted
        )
        self.complete = False  # its headers are: what comes as a header now is a trailer


class Reader(Generic[Message]):
    """What both directions share: it collects what the parser calls out. A message that can't be
    taken is the last: `fault` says why, and nothing is read behind it.
    """

    parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None
    keeps = False  # a body in pieces is kept, to be sent again, as long as that is possible

    def __init__(self, max_body: int, memory: BodyMemory | None = None) -> None:
        self.max_body = max_body
        self.memory = memory  # none: what is longer than that can't be taken
        self.stream: Body | None = (
            None  # the body of the message under way, where it comes in pieces
        )
        self.ready: deque[Message] = deque()
        self.fault: Unacceptable | None = None
        self.head: Head | None = None

    @property
    def begun(self) -> bool:
        """Part of a message has come."""
        return self.head is not None

    @property
    def in_body(self) -> bool:
        """The head of the message under way is complete."""
        return self.head is not None and self.head.complete

    def feed(self, data: bytes) -> None:
        if self.fault is not None or self.parser is None:
            return
        before = self.head
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.ready:
                self.ready[
                    -1
                ].keep_alive = False  # the wish may be ignored, but the parser reads no further
            else:
                self._fail(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self._fail(400, str(error))
        head = self.head
        if head is not None and (head is before or not self.ready):
            head.size += len(data)
            if not head.complete and head.size > MAX_HEAD:
                self._fail(431, "the head is too large")
            elif head.size > OVERHEAD * max(self.max_body, head.passed):
                self._fail(413, "the message is too large")

    def close(self) -> None:
        """Parser and reader hold each other: without this, memory waits for the collector."""
        self.parser = None
        if self.stream is not None:
            self.stream.fail()

    def _fail(self, status: int, why: str) -> None:
        self.fault = self.fault or Unacceptable(status, why)
        if self.stream is not None:
            self.stream.fail()

    # ---- called by the parser --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        self.head = Head()

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.head is not None
        if not self.head.complete:
            self.head.headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        assert self.head is not None and self.parser is not None
        self.head.complete = True
        size, length, coding = len(self.head.target), None, []
        for name, value in self.head.headers:
            size += len(name) + len(value)
            if name == b"content-length":
                length = value if length is None else length
            elif name == b"transfer-encoding":
                coding.append(value.lower())
        if size > MAX_HEAD:
            self._fail(431, "the head is too large")
        if self.parser.get_http_version() not in ("1.0", "1.1"):
            self._fail(400, "not HTTP/1.1")
        if coding and coding != [b"chunked"]:
            self._fail(400, "no such transfer coding")
        length = b"0" if length is None else length
        if not length.isdigit() or len(length) > 15:
            self._fail(400, "Content-Length is not a whole number")
            return
        self._check(self.head)
        if self.fault is None and int(length) > self.max_body:
            self._in_pieces(self.head, int(length))

    def _check(self, head: Head) -> None:
        """Of a head that is complete, and can be read."""

    def on_body(self, data: bytes) -> None:
        head = self.head
        assert head is not None
        if self.fault is not None:
            return
        head.passed += len(data)
        if head.passed > MAX_LENGTH:
            self._fail(413, "the body is too large")
        elif self.stream is not None:
            self.stream.put(data)
        else:
            head.body += data
            if head.passed > self.max_body:
                self._in_pieces(head, None)

    def _in_pieces(self, head: Head, length: int | None) -> None:
        """It is too long to be held: it is handed on now, and what comes follows."""
        if self.memory is None or (length or 0) > MAX_LENGTH or not self._may_stream():
            self._fail(413, "the body is too large")
            return
        self.stream = Body(length, self.memory, self.keeps)
        self._complete(head, self.stream)
        if head.body:
            self.stream.put(bytes(head.body))
            head.body.clear()

    def on_message_complete(self) -> None:
        head, self.head = self.head, None
        assert head is not None
        if self.fault is not None:
            return
        if self.stream is None:
            self._complete(head, None)
        else:
            stream, self.stream = self.stream, None
            stream.end()

    def _may_stream(self) -> bool:
        return True

    def _complete(self, head: Head, stream: Body | None) -> None:
        raise NotImplementedError


class RequestReader(Reader[Request]):
    parser: httptools.HttpRequestParser | None
    keeps = True

    def __init__(self, max_body: int = MAX_BODY, memory: BodyMemory | None = None) -> None:
        super().__init__(max_body, memory)
        self.parser = httptools.HttpRequestParser(self)
        self.continues = False  # the client waits to be told to go on

    def on_url(self, target: bytes) -> None:
        assert self.head is not None
        self.head.target += target

    def _check(self, head: Head) -> None:
        assert self.parser is not None
        seen: set[bytes] = set()
        expected = []
        for name, value in head.headers:
            if name in SINGLE:
                if name in seen:
                    self._fail(400, f"{name.decode()} stands there twice")
                seen.add(name)
            elif name == b"expect":
                expected.append(value.lower())
        if b"host" not in seen and self.parser.get_http_version() == "1.1":
            self._fail(400, "no Host")
        if self.parser.get_method() in (b"CONNECT", b"TRACE"):
            self._fail(405, "no such method here")
        if expected not in ([], [b"100-continue"]):
            self._fail(417, "no such expectation")
        self.continues = bool(expected) and self.fault is None

    def _complete(self, head: Head, stream: Body | None) -> None:
        assert self.parser is not None
        self.continues = self.continues and stream is not None and not head.passed
        latest = self.parser.get_http_version() == "1.1"
        keep = self.parser.should_keep_alive() and latest
        method = self.parser.get_method()
        body = b"" if stream is not None else bytes(head.body)
        self.ready.append(Request(method, head.target, head.headers, body, keep, latest, stream))


class ResponseReader(Reader[Response]):
    """`ready` holds at most the answer and what should not have come behind it."""

    parser: httptools.HttpResponseParser | None

    def __init__(self) -> None:
        super().__init__(MAX_BODY)
        self.parser = httptools.HttpResponseParser(self)
        self.interim = 0
        self.head_only = False  # the answer to a HEAD: it tells a length, and has no body
        self.headed = False  # such a one is complete
        self.until_close = False  # the one under way ends with its connection

    def expect(
        self, max_body: int, memory: BodyMemory | None = None, head_only: bool = False
    ) -> None:
        """The next answer may be so long, or come in pieces if it is longer."""
        self.max_body = max_body
        self.memory = memory
        self.head_only = head_only
        self.interim = 0

    def feed(self, data: bytes) -> None:
        super().feed(data)
        if self.headed and self.fault is None:
            # The parser does not know of HEAD and waits for a body: another one reads the next
            # answer.
            self.headed = False
            self.head = None
            self.parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        if self.head_only and self.parser is not None and self.parser.get_status_code() >= 200:
            assert self.head is not None
            self.headed = True
            self._complete(self.head, None)
            return
        super().on_headers_complete()

    def on_body(self, data: bytes) -> None:
        if self.headed:
            self._fail(502, "a body where there is none")
            return
        super().on_body(data)

    def on_message_complete(self) -> None:
        if not self.headed:
            super().on_message_complete()

    def _check(self, head: Head) -> None:
        """Only an answer that tells its own end, and in one way, can be told from one that was cut
        off: by a length, by chunks, or by saying that its connection closes behind it. One that is
        said to be too large is not read to find out.
        """
        assert self.parser is not None
        status = self.parser.get_status_code()
        framed = sum(name in (b"content-length", b"transfer-encoding") for name, _ in head.headers)
        closes = any(
            name == b"connection" and b"close" in value.lower().replace(b",", b" ").split()
            for name, value in head.headers
        )
        self.until_close = not framed and closes and status >= 200 and status not in (204, 304)
        if framed != 1 and status >= 200 and status not in (204, 304) and not self.until_close:
            self._fail(502, "no length, or two")

    def finish(self) -> bool:
        """The connection was closed in order. Does that end an answer?"""
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
        """Nobody wants the long body of an error."""
        return self.parser is not None and self.parser.get_status_code() == 200

    def _complete(self, head: Head, stream: Body | None) -> None:
        assert self.parser is not None
        status = self.parser.get_status_code()
        if status >= 200:
            keep = self.parser.should_keep_alive() and not self.until_close
            body = b"" if stream is not None else bytes(head.body)
            self.ready.append(Response(status, head.headers, body, keep, stream))
            return
        self.interim += 1
        if self.interim > MAX_INTERIM:
            self._fail(502, "1xx answers without end")


def message(start: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """A message as it is written. What stands in it has been read by a parser, or is this program's
    own.
    """
    rows = b"".join(b"%b: %b\r\n" % row for row in headers)
    return b"%b\r\n%b\r\n%b" % (start, rows, body)
