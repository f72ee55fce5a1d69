"""What a leader proposes by itself: that the state takes its next format, once all members know it,
and that the time of a claim is over. Pure: it is handed the clock and what was applied.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from loadbalancer.leases.expiry import ActiveClaim, LeaseExpiry
from loadbalancer.store.commands import STATE_FORMAT, AnyCommand, ExpireClaim, Upgrade
from loadbalancer.store.durable.state import State

AGAIN_NS = 1_000_000_000  # between two proposals of a format


def nodes_below_format(formats: Mapping[int, int], at: int) -> list[int]:
    """Members that are not known to take what a state of format `at` holds."""
    return [node for node, known in formats.items() if known < at]


class Housekeeper:
    def __init__(self) -> None:
        self.term = 0  # of the leadership that it counts for; 0: none
        self.expiry: LeaseExpiry | None = None
        self.asked = (0, 0)  # for which format, and when it may be asked for again

    def leads(self, term: int, state: State, now: int) -> None:
        """This node leads, in this term: a new leader lets every claim run its full time again."""
        if term != self.term:
            state.take_claimed()
            self.term, self.expiry, self.asked = term, LeaseExpiry(state.running(), now), (0, 0)

    def follows(self) -> None:
        self.term, self.expiry = 0, None

    def applied(self, claimed: Iterable[ActiveClaim], now: int) -> None:
        if self.expiry is not None:
            for one in claimed:
                self.expiry.record(one, now)

    def proposals(self, format_now: int, formats: Mapping[int, int], now: int) -> list[AnyCommand]:
        """`formats`: by member, this one included, the newest that its program knows; 0: not met
        yet.
        """
        found: list[AnyCommand] = []
        if self.expiry is None:
            return found
        due = format_now + 1  # one after the other: each begins with what the one before it left
        if (
            due <= STATE_FORMAT
            and not nodes_below_format(formats, due)
            and (self.asked[0] != due or now >= self.asked[1])
        ):
            self.asked = due, now + AGAIN_NS
            found.append(Upgrade(due))
        found += [
            ExpireClaim(one.lease, one.claim, one.round) for one in self.expiry.take_expired(now)
        ]
        return found

    @property
    def wake_ns(self) -> int | None:
        """When to call `proposals` next. None: only after an event."""
        return self.expiry.wake_ns if self.expiry is not None else None
