"""Streamed message body: a bounded queue of pieces between two connections.

While the queue is full, reading from the sender is paused (backpressure). The buffered bytes are
charged to the process's account, which says how much one body may buffer: less as the account fills
up, but always enough to make progress.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from loadbalancer.proxy.memory_account import MemoryAccount

MAX_LENGTH = 32 * 1024 * 1024  # bytes of the longest body that is accepted
READ_SIZE = 64 * 1024  # bytes that are read from a socket at a time
# Bytes that a body without a source may buffer: what is buffered before a body is streamed, and one
# read. Nobody can be paused for more.
MAX_UNOWNED_BYTES = 2 * READ_SIZE


class BodyState(Enum):
    """State of a body, as its sender's side sees it. `ENDED` and `FAILED` are final."""

    RECEIVING = "more may arrive"
    PAUSED = "more may arrive, but the buffer is full and the source does not read"
    ENDED = "everything has arrived"
    FAILED = "it will never be complete"


class Source(Protocol):
    """The connection from which a body is received."""

    def pause(self) -> None:
        """Pause reading because the body's buffer is full."""

    def resume(self) -> None:
        """Resume reading because the body's buffer has capacity again."""

    def read_on(self) -> None:
        """Resume reading, if paused, because the body no longer controls the connection."""

    def abort(self) -> None:
        """Close the connection because the rest of the body is not needed."""


class Body:
    """A queue of pieces that ends or fails, and notifies its reader of each change.

    Only a body that may still receive more controls its source. When it ends or fails, it
    detaches the source, which reads on even if it was paused, and never calls it again. A body
    without a source fails as soon as it holds more than `MAX_UNOWNED_BYTES`.

    With `keep`, the body can be read again from its start, until pieces that were already taken
    have to be dropped to free buffer space; see `is_replayable`. Such a body is read ahead as far
    as the account allows.

    Args:
        length: The length in the sender's Content-Length; None: the body is chunked.
        memory: Charged with the bytes that are buffered here.
        keep: Whether pieces that were taken are kept until the buffer is full.
    """

    __slots__ = (
        "buffered",
        "changed",
        "dropped",
        "keep",
        "length",
        "memory",
        "next_index",
        "pieces",
        "source",
        "state",
        "taken_bytes",
    )

    def __init__(self, length: int | None, memory: MemoryAccount, keep: bool = False) -> None:
        self.length = length
        self.memory = memory
        self.keep = keep
        self.state = BodyState.RECEIVING
        self.source: Source | None = None
        self.changed: Callable[[], None] | None = None
        self.pieces: list[bytes] = []
        self.next_index = 0  # index of the first piece that was not taken
        self.taken_bytes = 0  # bytes
        self.buffered = 0  # bytes
        self.dropped = False  # whether pieces were deleted from the start

    @property
    def paused(self) -> bool:
        """Whether the body waits for buffer space before it receives more."""
        return self.state is BodyState.PAUSED

    @property
    def ended(self) -> bool:
        """Whether everything has arrived; pieces may still have to be taken."""
        return self.state is BodyState.ENDED

    @property
    def failed(self) -> bool:
        """Whether the body will never be complete."""
        return self.state is BodyState.FAILED

    @property
    def _may_receive(self) -> bool:
        return self.state in (BodyState.RECEIVING, BodyState.PAUSED)

    @property
    def received_bytes(self) -> int:
        """Bytes that have arrived, whether or not they were taken."""
        waiting = self.pieces[self.next_index :]
        return self.taken_bytes + sum(map(len, waiting))

    # ---- the sender's side -----------------------------------------------------------------------

    def attach(self, source: Source) -> None:
        """Connect the source, and pause it if the buffer is already full.

        The body may have ended before its source was connected: then it needs none.
        """
        if not self._may_receive:
            return
        self.source = source
        if self.paused:
            source.pause()

    def detach(self) -> None:
        """Let the source read on, and never call it again."""
        source = self.source
        self.source = None
        if source is not None:
            source.read_on()

    def put(self, data: bytes) -> None:
        """Append a piece, and pause the source if the buffer is full."""
        if not self._may_receive:
            return
        self.pieces.append(data)
        self._adjust_buffered(len(data))
        if self.source is None and self.buffered > MAX_UNOWNED_BYTES:
            self.fail()
            return
        if self.buffered >= self.memory.buffer_bytes and not self.paused:
            self._drop_taken()
            if self.buffered >= self._max_buffered:
                self.state = BodyState.PAUSED
                if self.source is not None:
                    self.source.pause()
        self._notify()

    def end(self) -> None:
        """Mark the body as complete."""
        if self._may_receive:
            self.state = BodyState.ENDED
            self.detach()
            self._notify()

    def fail(self) -> None:
        """Mark the body as failed: it will never be complete."""
        if self._may_receive:
            self.state = BodyState.FAILED
            self.detach()
            self._clear()
            self._notify()

    # ---- the reader's side -----------------------------------------------------------------------

    @property
    def drained(self) -> bool:
        """Whether the body is complete and all its pieces were taken."""
        return self.ended and self.next_index == len(self.pieces)

    @property
    def ends_next(self) -> bool:
        """Whether the next item to write is the body's last piece or its last chunk."""
        if self.length is None:
            return self.ended and len(self.pieces) - self.next_index <= 1
        return (
            self.next_index < len(self.pieces)
            and self.taken_bytes + len(self.pieces[self.next_index]) >= self.length
        )

    @property
    def is_replayable(self) -> bool:
        """Whether the body can still be read from its start."""
        return not (self.dropped or self.failed)

    def take(self) -> bytes | None:
        """Take the next piece; None if none is available yet."""
        if self.next_index == len(self.pieces):
            return None
        piece = self.pieces[self.next_index]
        self.next_index += 1
        self.taken_bytes += len(piece)
        # Pieces that are kept for a retry are dropped only if the buffer has its full size, or if
        # the retry is no longer possible.
        if not self.keep or self.dropped or self._is_full_size:
            self._drop_taken()
        if self.paused and self.buffered <= self._max_buffered // 2:
            self.state = BodyState.RECEIVING
            if self.source is not None:
                self.source.resume()
        return piece

    def rewind(self) -> None:
        """Restart reading from the body's start."""
        assert self.is_replayable
        self.next_index = 0
        self.taken_bytes = 0
        self.changed = None

    def drop(self) -> None:
        """Discard the body; if it is incomplete, close its source."""
        source = self.source
        self.source = None
        self.changed = None
        if self._may_receive:
            self.state = BodyState.FAILED
            if source is not None:
                source.abort()
        self._clear()

    # ---- the buffer ------------------------------------------------------------------------------

    @property
    def _is_full_size(self) -> bool:
        """Whether a body that may receive more buffers as much as one usually may."""
        return self._may_receive and self.buffered >= self.memory.buffer_bytes

    @property
    def _max_buffered(self) -> int:
        """Bytes at which the source is paused."""
        if self.keep:
            return self.memory.read_ahead_bytes(self.buffered)
        return self.memory.buffer_bytes

    def _drop_taken(self) -> None:
        """Delete the pieces that were taken."""
        if self.next_index:
            self.dropped = True
            self._adjust_buffered(-sum(map(len, self.pieces[: self.next_index])))
            del self.pieces[: self.next_index]
            self.next_index = 0

    def _clear(self) -> None:
        self.dropped = True
        self.pieces.clear()
        self.next_index = 0
        self._adjust_buffered(-self.buffered)

    def _adjust_buffered(self, size: int) -> None:
        self.buffered += size
        self.memory.adjust(size)

    def _notify(self) -> None:
        if self.changed is not None:
            self.changed()

    def __del__(self) -> None:
        self.memory.adjust(-self.buffered)
