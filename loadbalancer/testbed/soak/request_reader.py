"""Reads the requests on one connection of an emulated upstream."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import httptools


@dataclass(slots=True)
class RequestHead:
    """The head of a request; names of headers are in lower case."""

    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)


class RequestReader:
    """Parses requests with a length or in chunks; the body itself is not kept.

    Args:
        on_head: Called with each complete head.
        on_complete: Called when a request has arrived completely.
    """

    def __init__(
        self, on_head: Callable[[RequestHead], None], on_complete: Callable[[], None]
    ) -> None:
        self._on_head = on_head
        self._on_complete = on_complete
        self._head = RequestHead()
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> bool:
        """Read bytes; return False if they are no HTTP."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            return False
        return True

    # ---- called by the parser --------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._head = RequestHead()

    def on_url(self, target: bytes) -> None:
        """Add received bytes to the target."""
        self._head.target += target.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._head.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Report the head."""
        self._on_head(self._head)

    def on_message_complete(self) -> None:
        """Report the end of the request."""
        self._on_complete()
