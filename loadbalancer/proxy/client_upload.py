"""The streamed body of a client's request while it arrives."""

from __future__ import annotations

import asyncio
import time
from typing import Final, Protocol

from loadbalancer.policy.clock import NS_PER_S
from loadbalancer.policy.message_end import UPLOAD_CHECK_NS, Limit, RequestTransit, UploadView
from loadbalancer.proxy.body_stream import Body
from loadbalancer.proxy.connection_phase import PROGRESS_BYTES


class UploadHost(Protocol):
    """The client's connection, as its upload uses it."""

    def upload_paused(self) -> None:
        """Stop reading until the upstream accepts more, or the client's time is over."""

    def upload_resumed(self) -> None:
        """Read again, and restart the time limit."""

    def check_upload(self) -> None:
        """Answer the request if its client's time is over."""

    def read_on(self) -> None:
        """Read again, without a time limit."""

    @property
    def has_unread_body(self) -> bool:
        """Whether bytes of the body have arrived that were not parsed."""

    def abort(self) -> None:
        """Close the connection at once."""


class _ClosedHost:
    """Host of an upload whose connection is closed."""

    has_unread_body = False

    def upload_paused(self) -> None:
        """Do nothing."""

    def upload_resumed(self) -> None:
        """Do nothing."""

    def check_upload(self) -> None:
        """Do nothing."""

    def read_on(self) -> None:
        """Do nothing."""

    def abort(self) -> None:
        """Do nothing."""


CLOSED_HOST: Final = _ClosedHost()


class ClientUpload:
    """The body of the request that a client's connection reads; the connection is its source.

    A streamed body is taken over before its request is looked at, so that any answer finds it here
    and ends it.

    Attributes:
        body: The body; None: the request has none that is streamed.
        transit: Decides when the client is answered while the body is not read as it comes; None:
            the request is not open yet.
        progress_bytes: Bytes received since the time limit was last restarted.
    """

    __slots__ = (
        "_timer",
        "body",
        "host",
        "progress_bytes",
        "transit",
    )

    def __init__(self, host: UploadHost) -> None:
        self.host: UploadHost = host
        self.body: Body | None = None
        self.progress_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.transit: RequestTransit | None = None

    @property
    def is_active(self) -> bool:
        """Whether the request has a streamed body."""
        return self.body is not None

    @property
    def has_ended(self) -> bool:
        """Whether the body has arrived completely."""
        return self.body is not None and self.body.ended

    @property
    def is_paused(self) -> bool:
        """Whether the body's buffer is full, because its upstream does not accept more."""
        return self.body is not None and self.body.paused

    @property
    def state(self) -> str:
        """The state of the body, for log lines."""
        return "-" if self.transit is None else self.transit.state.value

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that wait for its upstream, or are kept for a retry."""
        return 0 if self.body is None else self.body.buffered

    def take_over(self, body: Body) -> None:
        """Become the source of a body, whatever its request is answered."""
        self.body = body
        body.attach(self)

    def begin(self, wait_ns: int, received_ns: int) -> None:
        """Watch the body of a request that is open now.

        Args:
            wait_ns: How long the client waits from its last byte.
            received_ns: When the latest bytes arrived in the kernel.
        """
        body = self.body
        if body is None:
            return
        now_ns = time.monotonic_ns()
        self.transit = RequestTransit(body.length, wait_ns, received_ns, now_ns)
        if body.paused:
            self.transit.pause(now_ns)

    def finish(self) -> None:
        """Forget the body, which has arrived or is no longer wanted."""
        self.body = None
        self.transit = None
        self._cancel_check()

    def cut_off(self) -> bool:
        """Forget the body; return whether a part of it has not arrived, and is not wanted."""
        body = self.body
        self.finish()
        if body is None or body.ended:
            return False
        body.detach()
        return True

    def close(self) -> None:
        """Forget the body and the closed connection, which refers to the upload."""
        self.finish()
        self.host = CLOSED_HOST

    def count(self, size: int) -> bool:
        """Count received bytes; return whether they complete another `PROGRESS_BYTES`."""
        self.progress_bytes += size
        if self.progress_bytes < PROGRESS_BYTES:
            return False
        self.progress_bytes = 0
        return True

    def piece_read(self, arrived_bytes: int, is_drained: bool, received_ns: int) -> None:
        """Note that more of the body was read.

        Args:
            arrived_bytes: Bytes of it that have arrived so far.
            is_drained: Whether nothing is left to read.
            received_ns: When the latest of them arrived in the kernel.
        """
        if self.transit is not None:
            self.transit.piece_read(arrived_bytes, is_drained, received_ns)

    def limit(self, view: UploadView, now_ns: int) -> Limit | None:
        """Return when the client is answered, from what is seen; None: it is read as it comes."""
        if self.transit is None or self.has_ended:
            return None
        self.transit.view(view, now_ns)
        return self.transit.limit

    def sent_ns(self, received_ns: int) -> int:
        """Return from when the client's time counts, now that the body has ended.

        Args:
            received_ns: When the last byte arrived.
        """
        return received_ns if self.transit is None else self.transit.sent_ns(received_ns)

    def reading_resumed(self) -> None:
        """Note that the connection is read again after a pause that the body did not cause."""
        if self.transit is not None:
            is_drained = not self.host.has_unread_body
            self.transit.reading_resumed(is_drained, time.monotonic_ns())

    def check_later(self) -> None:
        """Let the host check the upload after a while, unless a check is due already."""
        if self.is_active and self._timer is None:
            check_s = UPLOAD_CHECK_NS / NS_PER_S
            self._timer = asyncio.get_running_loop().call_later(check_s, self._check)

    def _check(self) -> None:
        self._timer = None
        self.host.check_upload()

    def _cancel_check(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # ---- called by the body ----------------------------------------------------------------------

    def pause(self) -> None:
        """Stop reading: the buffer is full."""
        if self.transit is not None:
            self.transit.pause(time.monotonic_ns())
        self.host.upload_paused()

    def resume(self) -> None:
        """Read again: the buffer has capacity."""
        self.progress_bytes = 0
        if self.transit is not None:
            self.transit.resume(not self.host.has_unread_body, time.monotonic_ns())
        self.host.upload_resumed()

    def read_on(self) -> None:
        """Read again: the body no longer controls the connection."""
        self.host.read_on()

    def abort(self) -> None:
        """Close the connection, because the rest of the body is not needed."""
        self.host.abort()
