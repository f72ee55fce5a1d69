"""A message body that passes through in pieces: a bounded queue between two connections.

While a body is full its sender is not read from. The bytes that all bodies buffer are counted
together; where memory is short each may buffer less, but never so little that it stands still.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_LENGTH = 32 * 1024 * 1024  # of any body
MAX_BUFFERED = 64 * 1024  # bytes that one body may buffer before its sender is paused
MAX_BUFFERED_IN_SHORTAGE = 8 * 1024  # the same where memory is short
READ_SIZE = 64 * 1024  # bytes that are read from a socket at a time


class BodyMemory:
    """Counts what the bodies of this process buffer together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.buffered = 0

    @property
    def max_buffered(self) -> int:
        """Bytes that one body may buffer now."""
        return MAX_BUFFERED if self.buffered < self.limit else MAX_BUFFERED_IN_SHORTAGE


class Source(Protocol):
    """The connection that a body comes on."""

    def pause(self) -> None:
        """Stop reading: the body is full."""

    def resume(self) -> None:
        """Read on: the body has capacity again."""

    def abort(self) -> None:
        """Close the connection: the rest of the body is not wanted."""


class Body:
    """A queue of pieces that ends complete or fails, and notifies its reader of each change.

    A body that is kept can be read again from its start as long as it was never full; see
    `is_replayable`.

    Args:
        length: The length that its sender announced; None: it comes in chunks.
        memory: Counts the bytes that are buffered here.
        keep: Keep pieces that were taken, as long as they don't stand in the way.
    """

    __slots__ = (
        "buffered",
        "changed",
        "dropped",
        "ended",
        "failed",
        "keep",
        "length",
        "memory",
        "next_index",
        "paused",
        "pieces",
        "source",
        "taken_bytes",
    )

    def __init__(self, length: int | None, memory: BodyMemory, keep: bool = False) -> None:
        self.length = length
        self.memory = memory
        self.keep = keep
        self.source: Source | None = None
        self.changed: Callable[[], None] | None = None
        self.pieces: list[bytes] = []
        self.next_index = 0  # the first piece that was not taken
        self.taken_bytes = 0  # bytes
        self.buffered = 0  # bytes
        self.ended = False
        self.failed = False
        self.paused = False
        self.dropped = False  # its first pieces are gone

    # ---- the sender's side -----------------------------------------------------------------------

    def put(self, data: bytes) -> None:
        """Append a piece, and pause the source where the body is full."""
        if self.failed:
            return
        self.pieces.append(data)
        self._adjust_buffered(len(data))
        max_buffered = self.memory.max_buffered
        if self.buffered >= max_buffered and not self.paused:
            self._drop_taken()
            if self.buffered >= max_buffered:
                self.paused = True
                if self.source is not None:
                    self.source.pause()
        self._notify()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self.source = None
        self._notify()

    def fail(self) -> None:
        """Mark the body as one that will never be complete."""
        if not (self.ended or self.failed):
            self.failed = True
            self.source = None
            self._clear()
            self._notify()

    # ---- the reader's side -----------------------------------------------------------------------

    @property
    def drained(self) -> bool:
        """Whether it is complete, and all of it was taken."""
        return self.ended and self.next_index == len(self.pieces)

    @property
    def ends_next(self) -> bool:
        """Whether what is taken next is its last piece, or the mark of its end."""
        if self.length is None:
            return self.ended and len(self.pieces) - self.next_index <= 1
        return (
            self.next_index < len(self.pieces)
            and self.taken_bytes + len(self.pieces[self.next_index]) >= self.length
        )

    @property
    def is_replayable(self) -> bool:
        """Whether it can still be read from its start."""
        return not (self.dropped or self.failed)

    def take(self) -> bytes | None:
        """Take the next piece; None where there is none yet."""
        if self.next_index == len(self.pieces):
            return None
        piece = self.pieces[self.next_index]
        self.next_index += 1
        self.taken_bytes += len(piece)
        # What may be read again is dropped only when it stands in the way.
        if not self.keep or self.paused:
            self._drop_taken()
        if self.paused and self.buffered <= self.memory.max_buffered // 2:
            self.paused = False
            if self.source is not None:
                self.source.resume()
        return piece

    def rewind(self) -> None:
        """Read it from its start again."""
        assert self.is_replayable
        self.next_index = 0
        self.taken_bytes = 0
        self.changed = None

    def drop(self) -> None:
        """Stop reading it for good; where more is still to come, its source is closed."""
        source = self.source
        self.source = None
        self.changed = None
        if not self.ended:
            self.failed = True
            if source is not None:
                source.abort()
        self._clear()

    # ---- what is buffered ------------------------------------------------------------------------

    def _drop_taken(self) -> None:
        """Forget the pieces that were taken."""
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
        self.memory.buffered += size

    def _notify(self) -> None:
        if self.changed is not None:
            self.changed()

    def __del__(self) -> None:
        self.memory.buffered -= self.buffered
