"""A node's state for one subscriber, and scopes with their watchers.

A scope in which a subscriber is up to date costs only the subscriber's entry among the scope's
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

IGNORED_FLOOR: Final = 1 << 62  # higher than any revision


class WatchedScope(Scope):
    """A scope and its watchers, in the order in which they subscribed."""

    __slots__ = ("watchers",)

    def __init__(self, name: str, base: int) -> None:
        super().__init__(name, base)
        self.watchers: dict[Subscriber, None] = {}

    @property
    def is_unused(self) -> bool:
        """Whether the scope has no rows, no logged changes and no watchers."""
        return not (self.rows or self.log or self.watchers)


class Unacknowledged(msgspec.Struct, frozen=True, gc=False):
    """A patch that was sent and not yet acknowledged.

    Attributes:
        floor: Revision up to which the scope is in force at the subscriber before the patch.
    """

    sequence: int
    size: int
    floor: int
    sent_at_ns: int
    scope: str


class ScopeLag:
    """A scope in which a subscriber is not up to date.

    Attributes:
        cursor: The revision that the subscriber has; UNKNOWN if it needs a snapshot.
        floor: The last revision up to which everything was sent.
        since_ns: When the subscriber fell behind.
        min_revision: Oldest acceptable revision of a snapshot.
        snapshot_bytes: Size of the pending snapshot; 0 for a delta.
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
        """Discard the cursor, so that the scope is sent as a snapshot."""
        self.cursor = UNKNOWN
        self.min_revision = min_revision
        self.snapshot_bytes = snapshot_bytes


class Subscriber:
    """One subscriber of a node.

    Attributes:
        number: Number of the connection.
        dirty: Scopes that need a delta, in the order in which they are served.
        pending: Scopes that need a snapshot, in the order in which they are served.
        pending_bytes: Total size of the pending snapshots.
        is_writable: Whether the connection accepts more data.
        parked_cursors: Cursors of a subscriber that is ahead of the node, which is sent no patches
            or bookmarks; None if it is not parked.
        bookmark_due: Whether to send a bookmark once all deltas and snapshots are sent.
        is_queued: Whether it is in the snapshot queue.
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
        """Return the revision up to which everything was sent; None for the node's revision."""
        floors = [lag.floor for lag in self.dirty.values()]
        floors += [lag.floor for lag in self.pending.values()]
        return min(floors) if floors else None

    def lag(self) -> tuple[int, int] | None:
        """Return the revision in force at the subscriber, and since when it has been behind.

        Returns None if the subscriber is not behind the node.
        """
        if self.parked_cursors is not None:
            return min(self.parked_cursors.values(), default=0), self.parked_at_ns
        lags = [(lag.floor, lag.since_ns) for lag in self.dirty.values()]
        lags += [(lag.floor, lag.since_ns) for lag in self.pending.values()]
        lags += [(patch.floor, patch.sent_at_ns) for patch in self.unacknowledged]
        return min(lags) if lags else None

    def acknowledge(self, sequence: int) -> None:
        """Remove the patches up to a sequence number from the window."""
        self.acknowledged = sequence
        in_flight = self.unacknowledged
        while in_flight and in_flight[0].sequence <= sequence:
            self.unacknowledged_bytes -= in_flight.popleft().size

    def ignore_in_flight(self, scope: str) -> None:
        """Stop counting the in-flight patches of a removed or restarted scope as lag."""
        if any(patch.scope == scope for patch in self.unacknowledged):
            self.unacknowledged = deque(
                structs.replace(patch, floor=IGNORED_FLOOR) if patch.scope == scope else patch
                for patch in self.unacknowledged
            )
