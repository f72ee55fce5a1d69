"""A run by half seconds, for plots and for judging whether service came back. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from loadbalancer.testbed.ledger import Answer, Try

SECOND = 1_000_000_000
SERIES_NS = SECOND // 2
TAIL_NS = 4 * SECOND  # a run goes on so long after the last first try


@dataclass(slots=True)
class Moment:
    """Half a second of a run: first tries and answers by kind, attempts, clients' retries."""

    asked: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    retries: int = 0
    slowest_us: int = 0


class Series:
    """The moments of a run that began at `begin_ns`. With a length, what is beyond an end counts to
    the last; without one, they go on for as long as something happens.
    """

    def __init__(self, start_by_ns: int, length_ns: int = 0) -> None:
        self.start_by_ns = start_by_ns
        self.moments = [Moment() for _ in range(-(-length_ns // SERIES_NS))]
        self.grows = not length_ns

    def at(self, when_ns: int) -> Moment:
        index = max(0, when_ns - self.start_by_ns) // SERIES_NS
        if self.grows:
            while len(self.moments) <= index:
                self.moments.append(Moment())
        return self.moments[min(index, len(self.moments) - 1)]

    def answered(self, asked: Try, answer: Answer, now: int) -> None:
        """The first answer to a try, or that there is none. What is good counts to when it was
        wanted.
        """
        moment = self.at(now)
        if answer is Answer.REFUSED:
            moment.refused += 1
        elif answer is not Answer.SERVED:
            moment.failed += 1
        else:
            took = now - asked.root.received_ns
            moment.slowest_us = max(moment.slowest_us, took // 1000)
            if took <= asked.root.cls.aim:
                self.at(asked.root.received_ns).good += 1
            else:
                moment.late += 1


def share(part: Sequence[Moment]) -> float:
    """Of the first tries in this stretch, those that were served in time."""
    return sum(m.good for m in part) / max(1, sum(m.asked for m in part))
