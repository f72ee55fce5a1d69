"""A body that passes through in pieces: a bounded queue from one connection to another.

Its sender is not read from while it is full. The pieces that all of them hold are counted together,
and where memory is short each may hold less, but never so little that it stands still.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_LENGTH = 32 * 1024 * 1024  # of any body; more than that is no body, but a flood
HIGH = 64 * 1024  # bytes that one may hold before its sender is paused
SCANTY = 8 * 1024  # the same where memory is short
PIECE = 64 * 1024  # bytes that are read from a socket at a time


class Store:
    """What the bodies of this process may hold together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0

    @property
    def high(self) -> int:
        return HIGH if self.held < self.limit else SCANTY


class Source(Protocol):
    """The connection that a body comes on."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def abort(self) -> None: ...


class Body:
    """Pieces in, pieces out. It ends whole, or fails; its reader is told of every change.

    A body that is kept can be read again from its start as long as it was never full:
    `whole_again`.
    """

    __slots__ = (
        "length",
        "store",
        "keep",
        "source",
        "changed",
        "pieces",
        "next",
        "taken",
        "held",
        "ended",
        "failed",
        "paused",
        "dropped",
    )

    def __init__(self, length: int | None, store: Store, keep: bool = False) -> None:
        self.length = length  # as its sender announced it
        self.store = store
        self.keep = keep
        self.source: Source | None = None
        self.changed: Callable[[], None] | None = None
        self.pieces: list[bytes] = []
        self.next = 0  # the first that was not taken
        self.taken = 0  # bytes
        self.held = 0
        self.ended = False
        self.failed = False
        self.paused = False
        self.dropped = False  # its first pieces are gone

    # ---- its sender's side -----------------------------------------------------------------------

    def put(self, data: bytes) -> None:
        if self.failed:
            return
        self.pieces.append(data)
        self._count(len(data))
        high = self.store.high
        if self.held >= high and not self.paused:
            self._let_go()
            if self.held >= high:
                self.paused = True
                if self.source is not None:
                    self.source.pause()
        self._tell()

    def end(self) -> None:
        self.ended = True
        self.source = None
        self._tell()

    def fail(self) -> None:
        """It will never be whole."""
        if not (self.ended or self.failed):
            self.failed = True
            self.source = None
            self._clear()
            self._tell()

    # ---- its reader's side -----------------------------------------------------------------------

    @property
    def drained(self) -> bool:
        """It is whole, and all of it was taken."""
        return self.ended and self.next == len(self.pieces)

    @property
    def ends_next(self) -> bool:
        """Is what is taken next its last piece, or the mark of its end?"""
        if self.length is None:
            return self.ended and len(self.pieces) - self.next <= 1
        return (
            self.next < len(self.pieces) and self.taken + len(self.pieces[self.next]) >= self.length
        )

    @property
    def whole_again(self) -> bool:
        return not (self.dropped or self.failed)

    def take(self) -> bytes | None:
        """The next piece, if there is one."""
        if self.next == len(self.pieces):
            return None
        piece = self.pieces[self.next]
        self.next += 1
        self.taken += len(piece)
        # What may be wanted again is let go only when it stands in the way.
        if not self.keep or self.paused:
            self._let_go()
        if self.paused and self.held <= self.store.high // 2:
            self.paused = False
            if self.source is not None:
                self.source.resume()
        return piece

    def rewind(self) -> None:
        """Read it from its start again."""
        assert self.whole_again
        self.next = self.taken = 0
        self.changed = None

    def drop(self) -> None:
        """Nobody reads it any more. What still comes is not wanted, so its sender's connection
        ends.
        """
        source, self.source = self.source, None
        self.changed = None
        if not self.ended:
            self.failed = True
            if source is not None:
                source.abort()
        self._clear()

    # ---- what is held ----------------------------------------------------------------------------

    def _let_go(self) -> None:
        """Of what was taken."""
        if self.next:
            self.dropped = True
            self._count(-sum(map(len, self.pieces[: self.next])))
            del self.pieces[: self.next]
            self.next = 0

    def _clear(self) -> None:
        self.dropped = True
        self.pieces.clear()
        self.next = 0
        self._count(-self.held)

    def _count(self, size: int) -> None:
        self.held += size
        self.store.held += size

    def _tell(self) -> None:
        if self.changed is not None:
            self.changed()

    def __del__(self) -> None:
        self.store.held -= self.held
