"""A pair of counters: a total and its good part."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Tally:
    """A total and the good part of it: attempts answered in time, or value served."""

    total: float = 0
    good: float = 0

    @property
    def fraction(self) -> float:
        """The good fraction of the total; 1 if the total is 0."""
        return self.good / self.total if self.total else 1.0
