"""Readiness checks on the clients' listener: which requests they are, and their answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final

from loadbalancer.proxy.messages import Request

READY_PATH: Final = b"/ready"
READINESS_METHODS: Final = (b"GET", b"HEAD")


def is_readiness_check(request: Request) -> bool:
    """Return whether a request asks if this process is ready.

    With another method or with a body it is a request like any other, of the class that its path
    names.
    """
    return (
        request.target.partition(b"?")[0] == READY_PATH
        and request.method in READINESS_METHODS
        and not request.body
        and request.stream is None
    )


def readiness_answer(is_ready: bool) -> tuple[HTTPStatus, bytes]:
    """Return the status and the body of the answer to a readiness check."""
    if is_ready:
        return HTTPStatus.OK, b"ready\n"
    return HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n"
