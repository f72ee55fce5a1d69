"""HTTP/1.1 messages: requests and responses as the parser gives them, and how one is written."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from loadbalancer.proxy.body_stream import Body

Headers = Sequence[tuple[bytes, bytes]]


class UnacceptableMessageError(Exception):
    """A message can't be accepted; a request is answered with `status`."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Request:
    """A request.

    Attributes:
        keep_alive: Its connection stays open behind it.
        is_http_1_1: Its client speaks HTTP/1.1, and so reads chunks.
        stream: The body, where it comes in pieces.
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
    """A final response.

    Attributes:
        keep_alive: Its connection stays open behind it.
        stream: The body, where it comes in pieces.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool = True
    stream: Body | None = None

    def header(self, name: bytes) -> bytes | None:
        """The first value of a header, given its lower-case name."""
        return next((value for key, value in self.headers if key == name), None)


def message(start: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """Serialize a message, whose parts a parser has read or this program has made."""
    rows = b"".join(b"%b: %b\r\n" % row for row in headers)
    return b"%b\r\n%b\r\n%b" % (start, rows, body)
