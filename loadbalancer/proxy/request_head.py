"""Validates the head of a client's request, and reads its class, tenant and deadline."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from urllib.parse import unquote_plus

from loadbalancer.policy import api
from loadbalancer.policy.clock import MILLISECOND
from loadbalancer.proxy.messages import Request, UnacceptableMessageError

MAX_ID = 128  # bytes of a request id, which is a table key and appears in the log
MAX_DIGITS = 15
MICROSECOND = 1_000
KEY_FIELD = "obj="


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """Parameters of a request, from its head.

    Attributes:
        timeout_ns: How long the client waits, counted from the last byte of the request.
    """

    request_id: str
    class_name: str
    tenant: str
    timeout_ns: int
    cost_hint_ns: int
    key: str
    retry: bool


def read_terms(
    head: Request, settings: api.Settings, open_requests: Container[str]
) -> RequestTerms:
    """Read the parameters of a request.

    Args:
        head: The request.
        settings: The settings, which define the request classes.
        open_requests: The ids of open requests.

    Raises:
        UnacceptableMessageError: The request can't be accepted.
    """
    headers = dict(head.headers)
    path, _, query = head.target.decode("latin-1").partition("?")
    class_name = _class_name(path, headers, settings)
    _check_method(head, settings.classes[class_name])
    request_id = headers.get(b"x-request-id", b"").decode("latin-1")
    if not request_id:
        raise UnacceptableMessageError(400, "no X-Request-Id")
    if len(request_id) > MAX_ID:
        raise UnacceptableMessageError(400, "X-Request-Id is too long")
    if request_id in open_requests:
        raise UnacceptableMessageError(409, "a request with this X-Request-Id is open")
    # The class's deadline caps the header's: the graceful shutdown relies on this bound.
    longest_ns = settings.classes[class_name].deadline_ns
    timeout_ns = min(
        longest_ns,
        _integer_header(headers, b"x-deadline-ms", longest_ns // MILLISECOND) * MILLISECOND,
    )
    return RequestTerms(
        request_id,
        class_name,
        headers.get(b"x-tenant", b"").decode("latin-1"),
        timeout_ns,
        _integer_header(headers, b"x-cost-hint", 0) * MICROSECOND,
        key_of(query) if KEY_FIELD in query else "",
        headers.get(b"x-retry") == b"1",
    )


def _class_name(path: str, headers: Mapping[bytes, bytes], settings: api.Settings) -> str:
    first_segment = path.strip("/").partition("/")[0]
    name = headers.get(b"x-class", first_segment.encode("latin-1")).decode("latin-1")
    if first_segment not in settings.classes or name not in settings.classes:
        raise UnacceptableMessageError(404, "no such class")
    if b"host" not in headers:
        raise UnacceptableMessageError(400, "no Host")
    return name


def _check_method(head: Request, cls: api.RequestClass) -> None:
    is_idempotent = cls.effect is api.Effect.IDEMPOTENT
    if head.method not in ((b"GET", b"HEAD") if is_idempotent else (b"POST",)):
        method = "GET" if is_idempotent else "POST"
        raise UnacceptableMessageError(405, f"{method} is the method of this class")
    if is_idempotent and (head.body or head.stream is not None):
        raise UnacceptableMessageError(400, "a GET has no body")


def key_of(query: str) -> str:
    """Return the first `obj` of a query that is not empty, decoded."""
    for field in query.split("&"):
        value = field.removeprefix(KEY_FIELD)
        if field.startswith(KEY_FIELD) and value:
            return unquote_plus(value) if "%" in value or "+" in value else value
    return ""


def _integer_header(headers: Mapping[bytes, bytes], name: bytes, default: int) -> int:
    text = headers.get(name)
    if text is None:
        return default
    if not text.isdigit() or len(text) > MAX_DIGITS:
        raise UnacceptableMessageError(400, f"{name.decode()} is not a whole number")
    return int(text)
