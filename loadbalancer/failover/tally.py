"""A total and the good part of it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Tally:
    """A total and the good part of it: attempts answered in time, or value served."""

    total: float = 0
    good: float = 0

    @property
    def fraction(self) -> float:
        """The good part; 1 where there is nothing."""
        return self.good / self.total if self.total else 1.0
