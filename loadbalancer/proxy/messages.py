"""HTTP/1.1 messages while and after they are parsed, and their serialization."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.memory_account import HEADER_FIELD_BYTES

MAX_HEAD = 16 * 1024  # bytes before the body; llhttp has no limit
Headers = Sequence[tuple[bytes, bytes]]


class UnacceptableMessageError(Exception):
    """A message is not acceptable; `status` is the status of the answer to a request."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class MessageHead:
    """State of a message that is being parsed.

    This is not a dataclass because one is created for every message: the default factories of a
    dataclass cost more than the rest of its construction.

    Attributes:
        raw_headers: Headers of a head that came in several reads, in their form on the wire. They
            take far less memory than `headers`.
        field_count: Number of headers.
        payload_size: Bytes of the body received so far.
        size: Bytes read for the message, without reads that also contain the end of the previous
            message.
        complete: Whether the headers are complete; headers that follow are trailers.
    """

    __slots__ = (
        "body",
        "complete",
        "field_count",
        "headers",
        "payload_size",
        "raw_headers",
        "size",
        "target",
    )

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.raw_headers = bytearray()
        self.field_count = 0
        self.body = bytearray()
        self.payload_size = 0
        self.size = 0
        self.complete = False

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that the message takes so far."""
        if not self.complete:
            return min(self.size, MAX_HEAD)
        return self.field_count * HEADER_FIELD_BYTES + len(self.body)

    def pack_headers(self) -> None:
        """Keep the headers of an incomplete head as bytes."""
        for name, value in self.headers:
            self.raw_headers += b"%b:%b\r\n" % (name, value)
        self.headers.clear()

    def unpack_headers(self) -> None:
        """Restore the headers of a head that is complete now."""
        if self.raw_headers:
            rows = self.raw_headers.split(b"\r\n")[:-1]
            fields = (bytes(row).partition(b":") for row in rows)
            self.headers[:0] = [(name, value) for name, _, value in fields]
            self.raw_headers = bytearray()


@dataclass(slots=True)
class Request:
    """A parsed request.

    Attributes:
        keep_alive: Whether the connection stays open after this request.
        is_http_1_1: Whether the client uses HTTP/1.1, and so can read chunked responses.
        stream: The body, if it is streamed; `body` is empty then.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    is_http_1_1: bool = True
    stream: Body | None = None


@dataclass(slots=True)
class Response:
    """A parsed final response.

    Attributes:
        keep_alive: Whether the connection stays open after this response.
        stream: The body, if it is streamed; `body` is empty then.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool = True
    stream: Body | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; `name` is in lower case."""
        return next((value for key, value in self.headers if key == name), None)


def message(start_line: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """Serialize a message.

    The parts are not validated: they come from the parser or are built by this program.
    """
    rows = b"".join(b"%b: %b\r\n" % row for row in headers)
    return b"%b\r\n%b\r\n%b" % (start_line, rows, body)
