"""Exponential backoff with jitter between two attempts of an operation."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

MIN_JITTER: Final = 0.5  # smallest random factor that a delay is multiplied by


class Backoff:
    """A series of delays that double up to a limit.

    Args:
        minimum_s: The first delay.
        maximum_s: The longest delay.
        uniform: Returns a random number between two bounds.
    """

    def __init__(
        self,
        minimum_s: float,
        maximum_s: float,
        uniform: Callable[[float, float], float] = random.uniform,
    ) -> None:
        self.minimum_s = minimum_s
        self.maximum_s = maximum_s
        self._uniform = uniform
        self._delay_s = minimum_s

    def reset(self) -> None:
        """Reset the delay to the minimum."""
        self._delay_s = self.minimum_s

    def next_delay_s(self) -> float:
        """Return the next delay, with jitter."""
        delay_s = self._delay_s * self._uniform(MIN_JITTER, 1.0)
        self._delay_s = min(2 * self._delay_s, self.maximum_s)
        return delay_s
