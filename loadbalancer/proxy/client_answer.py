"""Writes the answers on one client connection: heads, framing and streamed bodies."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, Protocol

from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.http import LAST_CHUNK, chunk
from loadbalancer.proxy.messages import Headers, Request, message


class AnswerSink(Protocol):
    """Connection that answers are written to."""

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection is closing."""

    def reset(self) -> None:
        """Reset the connection, so that the client can tell that the answer is incomplete."""

    def answer_completed(self) -> None:
        """Handle the completion of the answer."""


class _ClosedSink:
    """Sink of a connection that is closed."""

    def write(self, data: bytes) -> None:
        """Drop the bytes."""

    def reset(self) -> None:
        """Do nothing."""

    def answer_completed(self) -> None:
        """Do nothing."""


CLOSED_SINK: Final = _ClosedSink()


class AnswerWriter:
    """Writes the answers to successive requests.

    Attributes:
        body: The streamed body that is being written.
        in_chunks: Whether the body is sent with chunked transfer encoding.
        is_blocked: Whether writing is paused because the client does not read.
        is_head: Whether the request is a HEAD, whose answer has no body.
        keep_alive: Whether the client asks for the connection to stay open.
    """

    def __init__(self, sink: AnswerSink) -> None:
        self.sink: AnswerSink = sink
        self.body: Body | None = None
        self.in_chunks = False
        self.is_blocked = False
        self.is_head = False
        self.is_http_1_1 = True
        self.keep_alive = True

    def expect(self, request: Request) -> None:
        """Record how the answer to this request must be framed."""
        self.is_head = request.method == b"HEAD"
        self.keep_alive = request.keep_alive
        self.is_http_1_1 = request.is_http_1_1

    def write_complete(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        close_after_answer: bool,
        length: bytes | None = None,
    ) -> None:
        """Write an answer whose body is complete.

        Args:
            status: The HTTP status.
            headers: The headers without the framing headers.
            body: The body.
            close_after_answer: Whether the connection closes after the answer.
            length: The Content-Length, if it differs from the body's length.
        """
        header_fields = [*headers, (b"Content-Length", length or b"%d" % len(body))]
        self._write_head(status, header_fields, close_after_answer, b"" if self.is_head else body)
        self.sink.answer_completed()

    def begin_body(self, headers: Headers, body: Body, close_after_answer: bool) -> None:
        """Begin a successful answer with a streamed body."""
        header_fields = list(headers)
        self.in_chunks = body.length is None and self.is_http_1_1
        if body.length is not None:
            header_fields.append((b"Content-Length", b"%d" % body.length))
        elif self.in_chunks:
            header_fields.append((b"Transfer-Encoding", b"chunked"))
        self._write_head(HTTPStatus.OK, header_fields, close_after_answer)
        self.body = body
        body.changed = self.pump
        self.pump()

    def pump(self) -> None:
        """Write the available body data, unless the client does not read."""
        body = self.body
        if body is None:
            return
        if body.failed:
            self.sink.reset()
            return
        while not self.is_blocked:
            piece = body.take()
            if piece is None:
                break
            self.sink.write(chunk(piece) if self.in_chunks else piece)
        if body.drained:
            self.body = None
            if self.in_chunks:
                self.sink.write(LAST_CHUNK)
            self.sink.answer_completed()

    def drop(self) -> None:
        """Abandon the answer in progress, which the client no longer awaits."""
        body = self.body
        self.body = None
        if body is not None:
            body.drop()

    def close(self) -> None:
        """Abandon the answer, and forget the closed connection.

        They refer to each other; without this, both wait for the garbage collector.
        """
        self.drop()
        self.sink = CLOSED_SINK

    def _write_head(
        self, status: int, header_fields: Headers, close_after_answer: bool, body: bytes = b""
    ) -> None:
        if close_after_answer:
            header_fields = [*header_fields, (b"Connection", b"close")]
        self.sink.write(message(START_LINES.get(status) or start_line(status), header_fields, body))


def start_line(status: int) -> bytes:
    """Return the status line of an answer."""
    return b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode())


START_LINES = {status: start_line(status) for status in (200, 503, 502, 504)}
