"""What a node keeps of one subscriber. Nothing for a scope in which it stands where the node does
but its place among the scope's watchers.
"""

from __future__ import annotations

from collections import deque

import msgspec
from msgspec import structs

from loadbalancer.changefeed.messages import Refusal
from loadbalancer.changefeed.scope import Encoded, Scope


class Unacknowledged(msgspec.Struct, frozen=True, gc=False):
    """A patch under way. `floor`: up to this revision the scope was in force before it."""

    sequence: int
    size: int
    floor: int
    at: int
    scope: str


class Late:
    """A scope in which a subscriber does not stand where the node does. `cursor`: what it knows;
    UNKNOWN where only a snapshot helps. `floor`: the last revision up to which it was told all,
    since `since`. `asked`: a snapshot is not to be older. `stream`: the patch whose first `index`
    parts were sent.
    """

    __slots__ = ("cursor", "floor", "since", "asked", "size", "stream", "index")

    def __init__(self, cursor: int, floor: int, since: int, asked: int = 0, size: int = 0) -> None:
        self.cursor, self.floor, self.since, self.asked, self.size = (
            cursor,
            floor,
            since,
            asked,
            size,
        )
        self.stream: Encoded | None = None
        self.index = 0


class Subscriber:
    """`dirty`: scopes that a delta brings up; `pending`: those that want a snapshot; both in the
    order in which they are served. `parked`: cursors of one that knows more than the node; it hears
    nothing.
    """

    __slots__ = (
        "number",
        "name",
        "generation",
        "sequence",
        "acknowledged",
        "scopes",
        "dirty",
        "pending",
        "pending_bytes",
        "unacknowledged",
        "unacknowledged_bytes",
        "writable",
        "parked",
        "refused",
        "announce",
        "queued",
        "turn",
        "parked_at",
    )

    def __init__(self, number: int, name: str) -> None:
        self.number, self.name = number, name
        self.generation = 1
        self.sequence = self.acknowledged = 0
        self.scopes: dict[str, Scope] = {}
        self.dirty: dict[str, Late] = {}
        self.pending: dict[str, Late] = {}
        self.pending_bytes = 0
        self.unacknowledged: deque[Unacknowledged] = deque()
        self.unacknowledged_bytes = 0
        self.writable = True
        self.parked: dict[str, int] | None = None
        self.parked_at = 0
        self.refused: tuple[Refusal, ...] = ()
        self.announce = True  # a bookmark is owed as soon as all was told
        self.queued = False
        self.turn = 0  # whose digest is told next

    def told(self) -> int | None:
        """Up to where all was told; None: as far as the node knows."""
        floors = [late.floor for late in self.dirty.values()]
        floors += [late.floor for late in self.pending.values()]
        return min(floors) if floors else None

    def lag(self) -> tuple[int, int] | None:
        """Up to where all is in force, and since when it is not where the node is; None: it is
        there.
        """
        if self.parked is not None:
            return min(self.parked.values(), default=0), self.parked_at
        behind = [(late.floor, late.since) for late in self.dirty.values()]
        behind += [(late.floor, late.since) for late in self.pending.values()]
        behind += [(one.floor, one.at) for one in self.unacknowledged]
        return min(behind) if behind else None

    def disregard(self, scope: str) -> None:
        """What is under way of a scope that was dropped, or is taken anew, holds back nothing any
        more.
        """
        if any(one.scope == scope for one in self.unacknowledged):
            self.unacknowledged = deque(
                structs.replace(one, floor=FAR) if one.scope == scope else one
                for one in self.unacknowledged
            )


FAR = 1 << 62  # past any revision
