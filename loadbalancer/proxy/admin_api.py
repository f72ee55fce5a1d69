"""Admin API: the `mgmt` listener, which serves one call per connection.

    GET /-/ready                      whether this process accepts clients
    GET /-/metrics                    counters of this process, in the Prometheus text format
    POST /-/upstreams/ID/disable      send no new request to this upstream
    POST /-/upstreams/ID/enable       use it again

The API has no state except its connections. A call that succeeds gets 2xx; one that fails gets 4xx
or 5xx, with the reason as text.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Protocol, cast
from urllib.parse import unquote

from loadbalancer.proxy.messages import Headers, Request, message
from loadbalancer.proxy.parse import RequestReader

log = logging.getLogger(__name__)

# Limit on concurrent calls, for which descriptors are reserved. A call takes milliseconds.
MAX_CALLS = 12
# Connections that asyncio accepts in one event-loop iteration, possibly in excess of MAX_CALLS.
ACCEPT_BATCH = 4
BACKLOG = 128  # connections that the kernel queues
# A call must be complete within this time after the connect. At MAX_CALLS the oldest incomplete
# call is closed sooner.
CALL_TIMEOUT_S = 2.0
LINGER_S = 1.0  # time for the caller to read the answer and close
MAX_CALL_BYTES = 16 * 1024  # calls need no body


class CallDeclinedError(Exception):
    """Raised to reject a call with a status and a reason."""

    def __init__(self, status: HTTPStatus, reason: str, headers: Headers = ()) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = headers


class UpstreamSwitch(Protocol):
    """Disables and enables upstreams; both methods raise `CallDeclinedError`."""

    async def disable(self, name: str) -> None:
        """Stop sending new requests to an upstream."""

    async def enable(self, name: str) -> None:
        """Resume sending requests to an upstream."""


class AdminApi:
    """Admin listener and its open calls.

    Args:
        ready: Whether this process accepts clients.
        switch: Disables and enables upstreams.
        metrics_text: Returns the counters of this process.

    Attributes:
        calls: Open calls, oldest first.
    """

    def __init__(
        self,
        ready: Callable[[], bool],
        switch: UpstreamSwitch,
        metrics_text: Callable[[], str],
    ) -> None:
        self.ready = ready
        self.switch = switch
        self.metrics_text = metrics_text
        self.calls: dict[Call, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self, listener: socket.socket) -> None:
        """Accept calls in small batches; the kernel queues up to `BACKLOG` more."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Call(self), sock=listener, backlog=ACCEPT_BATCH
        )
        listener.listen(BACKLOG)

    def close(self) -> None:
        """Close the listener and all calls."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for call in list(self.calls):
            call.abort()

    def opened(self, call: Call) -> None:
        """Register a call; above `MAX_CALLS`, close the oldest, preferably incomplete one."""
        self.calls[call] = None
        if len(self.calls) > MAX_CALLS:
            incomplete = next((c for c in self.calls if not c.is_complete), None)
            oldest = incomplete or next(iter(self.calls))
            oldest.abort()

    def run(self, call: Call, request: Request) -> None:
        """Execute a call and answer it."""
        task = asyncio.get_running_loop().create_task(self._run(call, request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, call: Call, request: Request) -> None:
        try:
            call.answer(HTTPStatus.OK, await self._carry_out(request))
        except CallDeclinedError as declined:
            call.answer(declined.status, str(declined), declined.headers)
        except Exception:
            log.exception("admin call failed: target=%s", request.target.decode("latin-1"))
            call.answer(HTTPStatus.INTERNAL_SERVER_ERROR, "the call failed; see the log")

    async def _carry_out(self, request: Request) -> str:
        path = request.target.decode("latin-1").partition("?")[0]
        match path.split("/"):
            case ["", "-", "ready"]:
                require_method(request, b"GET")
                if not self.ready():
                    raise CallDeclinedError(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")
                return "ready"
            case ["", "-", "metrics"]:
                require_method(request, b"GET")
                return self.metrics_text()
            case ["", "-", "upstreams", name, "disable" | "enable" as what] if name:
                require_method(request, b"POST")
                name = unquote(name)
                act: Callable[[str], Awaitable[None]] = (
                    self.switch.disable if what == "disable" else self.switch.enable
                )
                await act(name)
                log.info("admin call: action=%s upstream=%r", what, name)
                return f"{what}d {name}"
        raise CallDeclinedError(HTTPStatus.NOT_FOUND, "no such call")


def require_method(request: Request, method: bytes) -> None:
    """Reject a call with another method.

    Raises:
        CallDeclinedError: The method differs.
    """
    if request.method != method:
        raise CallDeclinedError(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f"{method.decode()} is the method of this call",
            [(b"Allow", method)],
        )


class Call(asyncio.Protocol):
    """Connection that carries a single call.

    Attributes:
        is_complete: Whether the call is read or rejected; further input is ignored.
    """

    def __init__(self, api: AdminApi) -> None:
        self.api = api
        self.reader = RequestReader(MAX_CALL_BYTES)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_complete = False
        self.is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self.transport = cast(asyncio.Transport, transport)
        self.timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self._too_late)
        self.api.opened(self)

    def data_received(self, data: bytes) -> None:
        """Read the call; called by the event loop."""
        if self.is_complete:
            return
        reader = self.reader
        reader.feed(data)
        if reader.ready:
            self.is_complete = True
            self.api.run(self, reader.ready.popleft())
        elif reader.fault is not None:
            self.answer(HTTPStatus(reader.fault.status), str(reader.fault))
        elif reader.expects_continue and self.transport is not None:
            reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def eof_received(self) -> bool:
        """Handle the caller's end of input; called by the event loop."""
        if not self.is_complete:
            self.answer(HTTPStatus.BAD_REQUEST, "the call is not whole")
            return False
        # A caller may half-close and still wait for the answer.
        return not self.is_answered

    def _too_late(self) -> None:
        if self.reader.in_message:
            self.answer(HTTPStatus.REQUEST_TIMEOUT, "the call did not come in time")
        else:
            self.abort()

    def answer(self, status: HTTPStatus, text: str, headers: Headers = ()) -> None:
        """Answer the call, and half-close the connection."""
        self.is_complete = True
        self.is_answered = True
        if self.transport is None or self.transport.is_closing():
            return
        body = text.encode() + b"\n"
        self.transport.write(
            message(
                b"HTTP/1.1 %d %b" % (status, status.phrase.encode()),
                [
                    *headers,
                    (b"Content-Type", b"text/plain; charset=utf-8"),
                    (b"Content-Length", b"%d" % len(body)),
                    (b"Connection", b"close"),
                ],
                body,
            )
        )
        # A full close with unread input would reset the connection, and the caller could lose the
        # answer. So only the sending side closes, until the caller closes or LINGER_S has passed.
        self.transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close the connection immediately."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 (a callback)
        """Handle the closed connection; called by the event loop."""
        self.is_complete = True
        self.api.calls.pop(self, None)
        self.reader.close()
        if self.timer is not None:
            self.timer.cancel()
