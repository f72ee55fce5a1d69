"""Writes the answers of one client's connection: heads, framing, and bodies in pieces."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.http import LAST_CHUNK, chunk
from loadbalancer.proxy.messages import Headers, Request, message


class AnswerSink(Protocol):
    """The connection that answers are written to."""

    def write(self, data: bytes) -> None:
        """Write bytes, unless the connection is closing."""

    def reset(self) -> None:
        """Close the connection so that the client can tell that the answer is incomplete."""

    def answer_progressed(self) -> None:
        """Note that a part of a body was written."""

    def answer_completed(self) -> None:
        """Note that the answer is complete."""


class AnswerWriter:
    """Answers one request after another.

    Attributes:
        body: The body that goes out in pieces.
        in_chunks: These pieces are chunks.
        is_blocked: The client does not read its answers.
        is_head: The request is a HEAD: its answer has no body.
        keep_alive: The client wants the connection to stay open.
    """

    def __init__(self, sink: AnswerSink) -> None:
        self.sink = sink
        self.body: Body | None = None
        self.in_chunks = False
        self.is_blocked = False
        self.is_head = False
        self.is_http_1_1 = True
        self.keep_alive = True

    def expect(self, request: Request) -> None:
        """Note what the next answer has to be like."""
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
        """Write an answer whose body is at hand.

        Args:
            status: Its status.
            headers: Its headers, without those of its framing.
            body: Its body.
            close_after_answer: The connection ends behind it.
            length: The length to name, where that is not the body's.
        """
        rows = [*headers, (b"Content-Length", length or b"%d" % len(body))]
        self._write_head(status, rows, close_after_answer, b"" if self.is_head else body)
        self.sink.answer_completed()

    def begin_body(self, headers: Headers, body: Body, close_after_answer: bool) -> None:
        """Begin a successful answer whose body comes in pieces."""
        rows = list(headers)
        self.in_chunks = body.length is None and self.is_http_1_1
        if body.length is not None:
            rows.append((b"Content-Length", b"%d" % body.length))
        elif self.in_chunks:
            rows.append((b"Transfer-Encoding", b"chunked"))
        self._write_head(HTTPStatus.OK, rows, close_after_answer)
        self.body = body
        body.changed = self.pump
        self.pump()

    def pump(self) -> None:
        """Write the body on, as long as the client reads."""
        body = self.body
        if body is None:
            return
        if body.failed:
            self.sink.reset()
            return
        has_written = False
        while not self.is_blocked:
            piece = body.take()
            if piece is None:
                break
            self.sink.write(chunk(piece) if self.in_chunks else piece)
            has_written = True
        if body.drained:
            self.body = None
            if self.in_chunks:
                self.sink.write(LAST_CHUNK)
            self.sink.answer_completed()
        elif has_written:
            self.sink.answer_progressed()

    def drop(self) -> None:
        """Stop an answer under way: nobody waits for it any more."""
        body = self.body
        self.body = None
        if body is not None:
            body.drop()

    def _write_head(
        self, status: int, rows: Headers, close_after_answer: bool, body: bytes = b""
    ) -> None:
        if close_after_answer:
            rows = [*rows, (b"Connection", b"close")]
        self.sink.write(message(START_LINES.get(status) or start_line(status), rows, body))


def start_line(status: int) -> bytes:
    """The first line of an answer."""
    return b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode())


START_LINES = {status: start_line(status) for status in (200, 503, 502, 504)}
