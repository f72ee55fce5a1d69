"""What a leader proposes by itself: that the state takes its next format, once all members know it, and that
the time of a claim is over. Pure: it is handed the clock and what was applied."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from lanelift.leases.expiry import Expiry, Running
from lanelift.store.commands import FORMAT, AnyCommand, Lapse, Upgrade
from lanelift.store.durable.state import State

AGAIN_NS = 1_000_000_000  # between two proposals of a format


def behind(formats: Mapping[int, int], at: int) -> list[int]:
    """Members that are not known to take what a state of format `at` holds."""
    return [node for node, known in formats.items() if known < at]


class Steward:
    def __init__(self) -> None:
        self.term = 0  # of the leadership that it counts for; 0: none
        self.expiry: Expiry | None = None
        self.asked_ns = 0

    def leads(self, term: int, state: State, now: int) -> None:
        """This node leads, in this term: a new leader lets every claim run its full time again."""
        if term != self.term:
            state.take_claimed()
            self.term, self.expiry, self.asked_ns = term, Expiry(state.running(), now), 0

    def follows(self) -> None:
        self.term, self.expiry = 0, None

    def applied(self, claimed: Iterable[Running], now: int) -> None:
        if self.expiry is not None:
            for one in claimed:
                self.expiry.note(one, now)

    def proposals(self, format_now: int, formats: Mapping[int, int], now: int) -> list[AnyCommand]:
        """`formats`: by member, this one included, the newest that its program knows; 0: not met yet."""
        found: list[AnyCommand] = []
        if self.expiry is None:
            return found
        if format_now < FORMAT and not behind(formats, FORMAT) and now >= self.asked_ns:
            self.asked_ns = now + AGAIN_NS
            found.append(Upgrade(FORMAT))
        found += [Lapse(one.lease, one.claim, one.round) for one in self.expiry.lapsed(now)]
        return found

    @property
    def wake_ns(self) -> int:
        """When to look again; 0: when something comes."""
        return self.expiry.wake_ns if self.expiry is not None else 0
