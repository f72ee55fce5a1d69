"""A node's state of one subscriber, and scopes with the subscribers that watch them.

A scope in which the subscriber is up to date costs nothing but its entry among the scope's
watchers.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec
from msgspec import structs

from loadbalancer.changefeed.messages import Refusal
from loadbalancer.changefeed.patches import EncodedPatch
from loadbalancer.changefeed.scope import UNKNOWN, Scope

IGNORED_FLOOR: Final = 1 << 62  # past any revision


class WatchedScope(Scope):
    """A scope and its watchers, in the order in which they subscribed."""

    __slots__ = ("watchers",)

    def __init__(self, name: str, base: int) -> None:
        super().__init__(name, base)
        self.watchers: dict[Subscriber, None] = {}

    @property
    def is_unused(self) -> bool:
        """Nothing is known of the scope and nobody watches it."""
        return not (self.rows or self.log or self.watchers)


class Unacknowledged(msgspec.Struct, frozen=True, gc=False):
    """A patch in flight.

    Attributes:
        floor: The revision up to which the scope was in force before the patch.
    """

    sequence: int
    size: int
    floor: int
    sent_at_ns: int
    scope: str


class ScopeLag:
    """A scope in which a subscriber is not up to date.

    Attributes:
        cursor: The revision that the subscriber knows; UNKNOWN where only a snapshot helps.
        floor: The last revision up to which everything was sent.
        since_ns: When the subscriber stopped being up to date.
        min_revision: A snapshot is not to be older.
        snapshot_bytes: Size of the snapshot that is owed; 0 for a delta.
        patch: The patch that is being sent.
        next_chunk: Index of the next chunk to send.
    """

    __slots__ = (
        "cursor",
        "floor",
        "min_revision",
        "next_chunk",
        "patch",
        "since_ns",
        "snapshot_bytes",
    )

    def __init__(self, cursor: int, floor: int, since_ns: int) -> None:
        self.cursor = cursor
        self.floor = floor
        self.since_ns = since_ns
        self.min_revision = 0
        self.snapshot_bytes = 0
        self.patch: EncodedPatch | None = None
        self.next_chunk = 0

    def require_snapshot(self, min_revision: int, snapshot_bytes: int) -> None:
        """Only a snapshot helps any more."""
        self.cursor = UNKNOWN
        self.min_revision = min_revision
        self.snapshot_bytes = snapshot_bytes


class Subscriber:
    """One subscriber of a node.

    Attributes:
        number: Of its connection.
        dirty: Scopes that a delta brings up to date, in the order in which they are served.
        pending: Scopes that need a snapshot, in the order in which they are served.
        pending_bytes: Size of the snapshots that are owed.
        is_writable: Its connection accepts more.
        parked_cursors: Cursors of one that is ahead of the node, to which nothing is sent; else
            None.
        bookmark_due: A bookmark is sent as soon as everything else was.
        is_queued: It stands in the queue for snapshots.
        next_digest: Index of the scope whose digest is sent next.
    """

    __slots__ = (
        "acknowledged",
        "bookmark_due",
        "dirty",
        "generation",
        "is_queued",
        "is_writable",
        "name",
        "next_digest",
        "number",
        "parked_at_ns",
        "parked_cursors",
        "pending",
        "pending_bytes",
        "refusals",
        "scopes",
        "sequence",
        "unacknowledged",
        "unacknowledged_bytes",
    )

    def __init__(self, number: int, name: str) -> None:
        self.number = number
        self.name = name
        self.generation = 1
        self.sequence = 0
        self.acknowledged = 0
        self.scopes: dict[str, WatchedScope] = {}
        self.dirty: dict[str, ScopeLag] = {}
        self.pending: dict[str, ScopeLag] = {}
        self.pending_bytes = 0
        self.unacknowledged: deque[Unacknowledged] = deque()
        self.unacknowledged_bytes = 0
        self.is_writable = True
        self.parked_cursors: dict[str, int] | None = None
        self.parked_at_ns = 0
        self.refusals: tuple[Refusal, ...] = ()
        self.bookmark_due = True
        self.is_queued = False
        self.next_digest = 0

    def delivered_revision(self) -> int | None:
        """Return the revision up to which everything was sent; None: as far as the node knows."""
        floors = [lag.floor for lag in self.dirty.values()]
        floors += [lag.floor for lag in self.pending.values()]
        return min(floors) if floors else None

    def lag(self) -> tuple[int, int] | None:
        """Return the revision that is in force, and since when it is not the node's.

        None: everything that the node knows is in force.
        """
        if self.parked_cursors is not None:
            return min(self.parked_cursors.values(), default=0), self.parked_at_ns
        lags = [(lag.floor, lag.since_ns) for lag in self.dirty.values()]
        lags += [(lag.floor, lag.since_ns) for lag in self.pending.values()]
        lags += [(patch.floor, patch.sent_at_ns) for patch in self.unacknowledged]
        return min(lags) if lags else None

    def acknowledge(self, sequence: int) -> None:
        """Take patches up to a sequence number out of the window."""
        self.acknowledged = sequence
        in_flight = self.unacknowledged
        while in_flight and in_flight[0].sequence <= sequence:
            self.unacknowledged_bytes -= in_flight.popleft().size

    def ignore_in_flight(self, scope: str) -> None:
        """Patches in flight of a removed or restarted scope no longer count as lag."""
        if any(patch.scope == scope for patch in self.unacknowledged):
            self.unacknowledged = deque(
                structs.replace(patch, floor=IGNORED_FLOOR) if patch.scope == scope else patch
                for patch in self.unacknowledged
            )
