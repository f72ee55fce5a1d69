"""One HTTP/1.1 exchange at a time on a connection to a server, and what both sides of a proxy
share.

An `Exchange` is one request and how it ended. It is sent once: nothing here sends a request again,
and the moment at which its last byte left is known, because before it a broken connection proves
that it never ran.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol, cast

from loadbalancer.policy.api import AttemptResult
from loadbalancer.policy.rules import ALLOWED, Denied, Reason, Verdict
from loadbalancer.proxy.body_stream import PIECE, Body, Store
from loadbalancer.proxy.parse import MAX_BODY, Response, ResponseReader
from loadbalancer.proxy.tcp_state import readable, received

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def end_to_end(headers: Sequence[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """The headers that a proxy passes on: not those of the connection, nor of the body's
    framing.
    """
    passed = [row for row in headers if row[0] not in HOP_BY_HOP]
    if len(passed) == len(headers):
        return passed  # `connection` itself is not among them
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [row for row in passed if row[0] not in named] if named else passed


# A connection on which a body stands still for so long, though there is room for more of it, is
# given up.
STALL_S = 10.0
LAST_CHUNK = b"0\r\n\r\n"


def chunk(piece: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(piece), piece)


class Reading(asyncio.BufferedProtocol):
    """What comes is read in pieces of a bounded size, into one buffer that all connections share:
    what stands in it is taken out before the next one reads.
    """

    _buffer = bytearray(PIECE)

    def get_buffer(self, size: int) -> bytearray:
        return self._buffer

    def buffer_updated(self, count: int) -> None:
        self.data_received(bytes(memoryview(self._buffer)[:count]))

    def data_received(self, data: bytes) -> None:
        raise NotImplementedError


class Outgoing(Protocol):
    """A request on its way out. It is asked at the last moment, and makes its bytes then."""

    def begin(self, usable: Verdict) -> bytes | Denied:
        """All of it but a body in pieces, to be written now. `usable`: may the other side be sent
        something new?
        """

    def may_finish(self) -> bool:
        """May the last byte of a body in pieces be written now?"""


@dataclass(frozen=True, slots=True)
class Ready:
    """A request that is the same whenever it is written."""

    data: bytes

    def begin(self, usable: Verdict) -> bytes | Denied:
        return self.data

    def may_finish(self) -> bool:
        return True


class Exchange:
    """A request and its end, told exactly once: OK with a response, or why there is none. The body
    of a long response comes in pieces, and may still fail.
    """

    __slots__ = (
        "request",
        "body",
        "max_body",
        "store",
        "head_only",
        "done",
        "written",
        "connection",
        "timer",
        "begin_timer",
        "unread_ns",
    )

    def __init__(
        self,
        request: bytes | Outgoing,
        done: Callable[[AttemptResult, Response | None], None],
        max_body: int = MAX_BODY,
        body: Body | None = None,
        store: Store | None = None,
        head_only: bool = False,
    ) -> None:
        self.request: Outgoing = Ready(request) if isinstance(request, bytes) else request
        self.body = body  # follows on the request, in pieces
        self.max_body = max_body
        self.store = store  # a longer answer comes in pieces
        self.head_only = head_only
        self.done: Callable[[AttemptResult, Response | None], None] | None = done
        self.written = False  # its last byte has left
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.begin_timer: asyncio.TimerHandle | None = None
        self.unread_ns = 0  # how long the end of a whole answer lay here before it was read

    def expire_in(self, seconds: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = asyncio.get_running_loop().call_later(seconds, self.expire)

    def begin_in(self, seconds: float) -> None:
        """It must not begin later than this: where no connection is up by then, it was never
        sent.
        """
        if self.connection is None and self.done is not None:
            self.begin_timer = asyncio.get_running_loop().call_later(seconds, self._not_begun)

    def _not_begun(self) -> None:
        if self.connection is None:
            self.give_up(AttemptResult.NOT_SENT)

    def expire(self) -> None:
        """The wait is over. What was not wholly written can't have run, and the close makes sure of
        it.
        """
        self.give_up(AttemptResult.TIMEOUT if self.written else AttemptResult.CONNECT_FAILED)

    def give_up(self, result: AttemptResult) -> None:
        """Stop waiting; the connection is closed, so that the server knows."""
        connection = self.connection
        self.finish(result)
        if connection is not None:
            connection.abort()

    def broken(self) -> None:
        self.finish(AttemptResult.RESET if self.written else AttemptResult.CONNECT_FAILED)

    def finish(self, result: AttemptResult, response: Response | None = None) -> None:
        for timer in (self.timer, self.begin_timer):
            if timer is not None:
                timer.cancel()
        self.timer = self.begin_timer = None
        self.connection = None
        done, self.done = self.done, None
        if done is not None:
            done(result, response)


class Connection(Reading):
    """A kept connection to a server; `released` hears when it is free again, `lost` of its end."""

    def __init__(
        self, released: Callable[[Connection], None], lost: Callable[[Connection], None]
    ) -> None:
        self.released = released
        self.lost = lost
        self.reader = ResponseReader()
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.answer: Response | None = None  # its body comes in pieces
        self.clean = False  # its request was written, so that the connection can be used again
        self.stall: asyncio.TimerHandle | None = None
        self.idle_since = 0.0
        self.writable = True
        self.closed = False
        self.noisy = False  # something came that nobody had asked for

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.closed:  # given up while it came up
            transport.abort()  # type: ignore[attr-defined]
            return
        # The buffer counts as full from its first byte on: `resume_writing` then means that all was
        # written.
        self.transport.set_write_buffer_limits(high=0)

    @property
    def clear(self) -> bool:
        """Is it at rest, with nothing unread: no late byte, which would be read as the next answer,
        and no end of the server's, which would break the next request?
        """
        transport = self.transport
        return (
            transport is not None
            and not self.closed
            and not transport.is_closing()
            and not readable(transport.get_extra_info("socket"))
        )

    def start(self, exchange: Exchange, usable: Verdict = ALLOWED) -> None:
        """Write it, if it may still begin. Else it ends as never sent, on the loop's next turn, and
        the connection is free for the next one.
        """
        assert self.transport is not None
        data = exchange.request.begin(usable)
        if isinstance(data, Denied):
            self.released(self)
            result = (
                AttemptResult.CONNECT_FAILED
                if data.reason is Reason.UPSTREAM_UNAVAILABLE
                else AttemptResult.NOT_SENT
            )
            asyncio.get_running_loop().call_soon(exchange.give_up, result)
            return
        self.exchange, exchange.connection = exchange, self
        self.reader.expect(exchange.max_body, exchange.store, exchange.head_only)
        self.writable = True
        exchange.written = (
            exchange.body is None
        )  # unless the transport says that it could not take all
        self.transport.write(data)
        if exchange.body is not None:
            exchange.body.changed = self._pump
            self._pump()

    def pause_writing(self) -> None:
        self.writable = False
        if self.exchange is not None:
            self.exchange.written = False
            if self.exchange.body is not None:
                self._watch()

    def resume_writing(self) -> None:
        self.writable = True
        self._unwatch()
        if self.exchange is not None:
            if self.exchange.body is not None:
                self._pump()
            else:
                self.exchange.written = True

    def _pump(self) -> None:
        """Pass on what has come of the request's body, as long as the upstream takes it."""
        exchange = self.exchange
        body = exchange.body if exchange is not None else None
        if exchange is None or body is None or self.transport is None or exchange.written:
            return
        if body.failed:
            self.abort()  # its last byte will never be written
            return
        while self.writable:
            if body.ends_next and not exchange.request.may_finish():
                self.abort()  # its last byte will never be written
                return
            piece = body.take()
            if piece is None:
                break
            self.transport.write(piece if body.length is not None else chunk(piece))
        if body.drained and self.writable and body.changed is not None:
            body.changed = None
            exchange.body = None
            exchange.written = True
            if body.length is None:
                self.transport.write(LAST_CHUNK)

    # ---- a stall ---------------------------------------------------------------------------------

    def _watch(self) -> None:
        self._unwatch()
        self.stall = asyncio.get_running_loop().call_later(STALL_S, self.abort)

    def _unwatch(self) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None

    # ---- the answer ------------------------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        exchange, reader = self.exchange, self.reader
        if self.answer is not None:
            self._watch()
            reader.feed(data)
            self._go_on(self.answer)
            return
        if exchange is None:
            self.noisy = True
            self.abort()
            return
        reader.feed(data)
        if reader.ready:
            self._complete(exchange, reader.ready.popleft())
        elif reader.fault is not None:
            # The server has answered, if with what can't be read: its work is done and it is no
            # break of the network. Nothing on this connection can be believed any more.
            exchange.finish(AttemptResult.ERROR)
            self.abort()

    def eof_received(self) -> None:
        """An answer that was under way is not whole, unless it said that this would be its end."""
        exchange, reader = self.exchange, self.reader
        if reader.finish():
            if self.answer is not None:
                self._go_on(self.answer)
            elif exchange is not None and reader.ready:
                self._complete(exchange, reader.ready.popleft())
        self.abort()

    def _complete(self, exchange: Exchange, response: Response) -> None:
        assert self.transport is not None
        exchange.unread_ns = received(self.transport.get_extra_info("socket"))[1]
        self.exchange = None
        self.clean = exchange.written
        if exchange.body is not None:
            exchange.body.changed = None  # answered ahead of its end: no more of it is wanted
        if response.stream is not None:
            self.answer = response
            response.stream.source = self
            self._watch()
            if response.stream.paused:
                self.pause()
            self._go_on(response)
        else:
            self._over(response)
        exchange.finish(AttemptResult.OK, response)

    def _go_on(self, answer: Response) -> None:
        """More of the body has come."""
        assert answer.stream is not None
        if self.reader.fault is not None:
            self.abort()
        elif answer.stream.ended:
            self._unwatch()
            self.answer = None
            self._over(answer)

    def _over(self, response: Response) -> None:
        """The answer is whole. What stands behind it, a second copy or noise, would be read as the
        next request's.
        """
        reader = self.reader
        self.noisy = bool(reader.ready or reader.begun or reader.fault)
        if self.clean and response.keep_alive and not self.noisy:
            self.released(self)
        else:
            self.abort()

    def pause(self) -> None:
        """The answer's reader is behind: that is no stall of the upstream."""
        self._unwatch()
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()
            self._watch()

    def abort(self) -> None:
        """Close at once. The exchange on it, if any, ends as broken."""
        if not self.closed and self.transport is not None:
            self.transport.abort()
        self._ended()

    def connection_lost(self, error: Exception | None) -> None:
        self._ended()

    def _ended(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._unwatch()
        self.reader.close()  # a body under way fails
        self.answer = None
        exchange, self.exchange = self.exchange, None
        self.lost(self)
        if exchange is not None:
            exchange.broken()
