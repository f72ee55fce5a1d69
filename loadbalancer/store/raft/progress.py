"""What a leader knows of one follower, and how much it may send it: flow control of appends and
snapshots.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from loadbalancer.store.raft.messages import SnapshotMeta


class Way(Enum):
    """How entries go to a follower."""

    PROBE = "probe"  # one message at a time, until it is known where the logs agree
    STREAM = "stream"  # many on the way at once
    SNAPSHOT = "snapshot"  # what it needs is no longer in the log


@dataclass(slots=True, eq=False)
class Progress:
    next: int
    match: int = 0
    way: Way = Way.PROBE
    asked: bool = False  # PROBE: a message is on its way
    flights: deque[int] = field(
        default_factory=deque
    )  # STREAM: last index of each append on its way
    round: int = 0  # the last of the leader's rounds that it answered
    heard_ns: int = 0
    meta: SnapshotMeta | None = None  # SNAPSHOT: what is being sent
    taken: int = 0  # bytes of it that are there
    sent: int = 0  # bytes of it that are there or on their way
    moved_ns: int = 0  # when `taken` last grew, or pieces were sent anew

    def probe(self, following: int) -> None:
        """Ask anew, beginning with this entry."""
        self.way, self.next, self.asked, self.meta = (
            Way.PROBE,
            max(following, self.match + 1),
            False,
            None,
        )
        self.flights.clear()

    def stream(self) -> None:
        self.way, self.next, self.asked, self.meta = Way.STREAM, self.match + 1, False, None
        self.flights.clear()

    def snapshot(self, meta: SnapshotMeta | None, now: int) -> None:
        self.way, self.meta, self.taken, self.sent, self.moved_ns = Way.SNAPSHOT, meta, 0, 0, now
        self.flights.clear()

    def landed(self, index: int) -> None:
        while self.flights and self.flights[0] <= index:
            self.flights.popleft()

    def may_send(self, window: int) -> bool:
        match self.way:
            case Way.PROBE:
                return not self.asked
            case Way.STREAM:
                return len(self.flights) < window
        return False
