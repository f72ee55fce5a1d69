"""The admin API: the `mgmt` listener and its calls, one on each connection.

    GET /-/ready                      whether this process accepts clients
    POST /-/upstreams/ID/disable      send no new request to this upstream
    POST /-/upstreams/ID/enable       use it again

It keeps nothing but its connections. Yes is 2xx; no is 4xx or 5xx, with the reason as text.
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

# Calls that are open at a time; descriptors are kept for them. Each takes milliseconds.
MAX_CALLS = 12
# Connections that asyncio accepts on one turn of the loop: it may hold so many over the cap.
ACCEPT_BATCH = 4
BACKLOG = 128  # connections that the kernel queues meanwhile
# A call must be complete this long after it connected. At the cap the oldest is closed sooner.
CALL_TIMEOUT_S = 2.0
LINGER_S = 1.0  # an answer is left so long to be read
MAX_CALL_BYTES = 16 * 1024  # calls have no body worth reading


class CallDeclinedError(Exception):
    """A call is declined, with this status and reason."""

    def __init__(self, status: HTTPStatus, reason: str, headers: Headers = ()) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = headers


class UpstreamSwitch(Protocol):
    """Disables upstreams and enables them; both raise `CallDeclinedError`."""

    async def disable(self, name: str) -> None:
        """Send no new request to an upstream."""

    async def enable(self, name: str) -> None:
        """Use an upstream again."""


class AdminApi:
    """The listener and its calls.

    Args:
        ready: Whether this process accepts clients.
        switch: Disables and enables upstreams.

    Attributes:
        calls: Open calls, the oldest first.
    """

    def __init__(self, ready: Callable[[], bool], switch: UpstreamSwitch) -> None:
        self.ready = ready
        self.switch = switch
        self.calls: dict[Call, None] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self, listener: socket.socket) -> None:
        """Accept calls: few at a time, and many may wait."""
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
        """Note a call; at the cap the oldest incomplete one is closed."""
        self.calls[call] = None
        if len(self.calls) > MAX_CALLS:
            incomplete = next((c for c in self.calls if not c.is_complete), None)
            oldest = incomplete or next(iter(self.calls))
            oldest.abort()

    def run(self, call: Call, request: Request) -> None:
        """Carry out a call and answer it."""
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
    """Decline a call of another method.

    Raises:
        CallDeclinedError: It is another.
    """
    if request.method != method:
        raise CallDeclinedError(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f"{method.decode()} is the method of this call",
            [(b"Allow", method)],
        )


class Call(asyncio.Protocol):
    """One connection, and the one call on it.

    Attributes:
        is_complete: Nothing more is read.
    """

    def __init__(self, api: AdminApi) -> None:
        self.api = api
        self.reader = RequestReader(MAX_CALL_BYTES)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_complete = False
        self.is_answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; called by the event loop."""
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
        """Note the end of the caller's sending; called by the event loop."""
        if not self.is_complete:
            self.answer(HTTPStatus.BAD_REQUEST, "the call is not whole")
            return False
        # A caller may end its sending and still wait for the answer.
        return not self.is_answered

    def _too_late(self) -> None:
        if self.reader.in_message:
            self.answer(HTTPStatus.REQUEST_TIMEOUT, "the call did not come in time")
        else:
            self.abort()

    def answer(self, status: HTTPStatus, text: str, headers: Headers = ()) -> None:
        """Answer the call, and end the sending."""
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
        # Closing with unread bytes in hand would reset the connection and take the answer along:
        # only the sending ends, and the caller closes, or its time runs out.
        self.transport.write_eof()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 (a callback)
        """Note the connection's end; called by the event loop."""
        self.is_complete = True
        self.api.calls.pop(self, None)
        self.reader.close()
        if self.timer is not None:
            self.timer.cancel()
