"""The operators' door: the `mgmt` listener and its calls, one on each connection.

    GET /-/ready                      does this process take clients?
    POST /-/upstreams/ID/disable      nothing more to this upstream
    POST /-/upstreams/ID/enable       put it back

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

CONNECTIONS = (
    12  # calls open at a time; their descriptors are kept for them. Each takes milliseconds
)
TURN = 4  # connections that asyncio takes on one turn of the loop: it may hold so many over the cap
BACKLOG = 128  # newcomers that the kernel holds meanwhile
# A call must be whole this long after it connected. At the cap the oldest makes room sooner.
WHOLE_S = 2.0
LINGER_S = 1.0  # an answer is left so long to be read
MAX_CALL = 16 * 1024  # bytes: calls have no body worth reading


class No(Exception):
    """The call is declined."""

    def __init__(self, status: HTTPStatus, why: str, headers: Headers = ()) -> None:
        super().__init__(why)
        self.status = status
        self.headers = headers


class Switch(Protocol):
    """What takes upstreams out and puts them back. Raises `No`."""

    async def disable(self, name: str) -> None: ...

    async def enable(self, name: str) -> None: ...


class Management:
    def __init__(self, ready: Callable[[], bool], switch: Switch) -> None:
        self.ready = ready
        self.switch = switch
        self.calls: dict[Call, None] = {}  # the oldest first
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self, listener: socket.socket) -> None:
        # Few are taken at a time, and many may wait.
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Call(self), sock=listener, backlog=TURN
        )
        listener.listen(BACKLOG)

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for call in list(self.calls):
            call.abort()

    def opened(self, call: Call) -> None:
        """The oldest without a whole call makes room: silent callers hold up nobody."""
        self.calls[call] = None
        if len(self.calls) > CONNECTIONS:
            oldest = next((c for c in self.calls if not c.whole), None) or next(iter(self.calls))
            oldest.abort()

    def run(self, call: Call, request: Request) -> None:
        task = asyncio.get_running_loop().create_task(self._run(call, request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, call: Call, request: Request) -> None:
        try:
            call.answer(HTTPStatus.OK, await self._carry_out(request))
        except No as no:
            call.answer(no.status, str(no), no.headers)
        except Exception:
            log.exception("management call %s failed", request.target.decode("latin-1"))
            call.answer(HTTPStatus.INTERNAL_SERVER_ERROR, "the call failed; see the log")

    async def _carry_out(self, request: Request) -> str:
        path = request.target.decode("latin-1").partition("?")[0]
        match path.split("/"):
            case ["", "-", "ready"]:
                need_method(request, b"GET")
                if not self.ready():
                    raise No(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")
                return "ready"
            case ["", "-", "upstreams", name, "disable" | "enable" as what] if name:
                need_method(request, b"POST")
                name = unquote(name)
                act: Callable[[str], Awaitable[None]] = (
                    self.switch.disable if what == "disable" else self.switch.enable
                )
                await act(name)
                log.info("management: %s upstream %r", what, name)
                return f"{what}d {name}"
        raise No(HTTPStatus.NOT_FOUND, "no such call")


def need_method(request: Request, method: bytes) -> None:
    if request.method != method:
        raise No(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f"{method.decode()} is the method of this call",
            [(b"Allow", method)],
        )


class Call(asyncio.Protocol):
    """One connection, and the one call on it."""

    def __init__(self, door: Management) -> None:
        self.door = door
        self.reader = RequestReader(MAX_CALL)
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.whole = False  # nothing more is read
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = asyncio.get_running_loop().call_later(WHOLE_S, self._too_late)
        self.door.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.whole:
            return
        reader = self.reader
        reader.feed(data)
        if reader.ready:
            self.whole = True
            self.door.run(self, reader.ready.popleft())
        elif reader.fault is not None:
            self.answer(HTTPStatus(reader.fault.status), str(reader.fault))
        elif reader.expects_continue and self.transport is not None:
            reader.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def eof_received(self) -> bool:
        if not self.whole:
            self.answer(HTTPStatus.BAD_REQUEST, "the call is not whole")
            return False
        return not self.answered  # a caller may end its sending and still wait for the answer

    def _too_late(self) -> None:
        if self.reader.begun:
            self.answer(HTTPStatus.REQUEST_TIMEOUT, "the call did not come in time")
        else:
            self.abort()

    def answer(self, status: HTTPStatus, text: str, headers: Headers = ()) -> None:
        self.whole = self.answered = True
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
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.whole = True
        self.door.calls.pop(self, None)
        self.reader.close()
        if self.timer is not None:
            self.timer.cancel()
