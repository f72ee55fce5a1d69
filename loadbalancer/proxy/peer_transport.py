"""The transport of one connection, and what the kernel knows of its peer."""

from __future__ import annotations

import asyncio
from enum import IntFlag
from typing import Final, cast

from loadbalancer.proxy.send_progress import SendProgress, SendState
from loadbalancer.proxy.tcp_state import (
    ReceiveState,
    Socket,
    has_unread_data,
    receive_state,
    reset_on_close,
    unacknowledged_bytes,
    unread_bytes,
)


class ReadPause(IntFlag):
    """Why a connection is not read."""

    BODY = 1  # the body that it sends has a full buffer
    TURN = 2  # the other connections have their turn first
    MEMORY = 4  # memory is scarce
    PIPELINED = 8  # memory is scarce, and its input waits for an answer before it


NOT_PAUSED: Final = ReadPause(0)


class PeerTransport:
    """A connection's transport; calls do nothing before it is connected and once it is closing.

    Attributes:
        is_connected: Whether the event loop has established the connection, even if it is closing.
        written_bytes: Number of bytes that were written.
    """

    __slots__ = ("_pauses", "_progress", "_transport", "is_connected", "written_bytes")

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._progress: SendProgress | None = None
        self._pauses = NOT_PAUSED
        self.is_connected = False
        self.written_bytes = 0

    def connect(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of the established connection."""
        self._transport = cast(asyncio.Transport, transport)
        self.is_connected = True

    @property
    def _open_transport(self) -> asyncio.Transport | None:
        transport = self._transport
        return None if transport is None or transport.is_closing() else transport

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._open_transport is not None

    @property
    def socket(self) -> Socket:
        """The socket of the established connection."""
        assert self._transport is not None
        sock: Socket = self._transport.get_extra_info("socket")
        return sock

    # ---- receiving -------------------------------------------------------------------------------

    @property
    def receive_state(self) -> ReceiveState:
        """The receive state of the established connection, according to the kernel."""
        return receive_state(self.socket)

    @property
    def has_unread_data(self) -> bool:
        """Whether the kernel has input that the event loop has not read yet."""
        return self.is_open and has_unread_data(self.socket)

    @property
    def is_peer_gone(self) -> bool:
        """Whether the connection is closed, by this process or by its peer.

        The kernel is queried because the event loop may be late, or may have paused reading, and
        has then not reported the close yet.
        """
        return not self.is_open or self.receive_state.peer_closed

    @property
    def unread_bytes(self) -> int:
        """The number of bytes in the kernel that the event loop has not read yet."""
        return unread_bytes(self.socket) if self.is_open else 0

    def pause_reading(self, reason: ReadPause) -> None:
        """Stop reading from the socket, until no reason is left."""
        was_reading = not self._pauses
        self._pauses |= reason
        if was_reading and (transport := self._open_transport) is not None:
            transport.pause_reading()

    def resume_reading(self, reason: ReadPause) -> None:
        """Withdraw a reason; read from the socket again if none is left."""
        if not self._pauses & reason:
            return
        self._pauses &= ~reason
        if not self._pauses and (transport := self._open_transport) is not None:
            transport.resume_reading()

    # ---- sending ---------------------------------------------------------------------------------

    @property
    def unsent_bytes(self) -> int:
        """The number of written bytes that the transport still buffers."""
        transport = self._open_transport
        return 0 if transport is None else transport.get_write_buffer_size()

    @property
    def unacknowledged_bytes(self) -> int:
        """The number of bytes in the kernel that the peer's kernel has not acknowledged."""
        return unacknowledged_bytes(self.socket) if self.is_open else 0

    def begin_sending(self, now_s: float) -> None:
        """Begin to check the progress of what is written from now on.

        Args:
            now_s: The event loop's time.
        """
        self._progress = SendProgress(now_s, self.acknowledged_bytes)

    def check_sending(self, now_s: float) -> SendState:
        """Return whether the peer still takes what is sent; the first check only begins.

        Args:
            now_s: The event loop's time.
        """
        if self._progress is None:
            self.begin_sending(now_s)
            return SendState.PROGRESSING
        acknowledged = self.acknowledged_bytes
        return self._progress.check(now_s, acknowledged, self.written_bytes - acknowledged)

    @property
    def acknowledged_bytes(self) -> int:
        """The number of written bytes that the peer's kernel has acknowledged."""
        return self.written_bytes - self.unsent_bytes - self.unacknowledged_bytes

    def send_report(self) -> str:
        """Return for a log line how far the sending has come."""
        return (
            f"written={self.written_bytes} unsent={self.unsent_bytes}"
            f" unacknowledged={self.unacknowledged_bytes}"
        )

    def set_write_buffer_limits(self, high: int) -> None:
        """Set how many bytes the transport buffers before it pauses the writing."""
        if (transport := self._open_transport) is not None:
            transport.set_write_buffer_limits(high=high)

    def write(self, data: bytes) -> None:
        """Write bytes, unless there are none."""
        if data and (transport := self._open_transport) is not None:
            self.written_bytes += len(data)
            transport.write(data)

    def write_eof(self) -> None:
        """End the sending once all written bytes are sent."""
        if (transport := self._open_transport) is not None:
            transport.write_eof()

    # ---- closing ---------------------------------------------------------------------------------

    def abort(self) -> None:
        """Close the connection at once, without sending what the transport still buffers."""
        if self._transport is not None:
            self._transport.abort()

    def reset(self) -> None:
        """Close the connection at once by a reset."""
        if self.is_open:
            reset_on_close(self.socket)
        self.abort()
