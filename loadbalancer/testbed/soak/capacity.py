"""What an emulated upstream can serve: cores, a short queue, and a slower start when cold."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass

WORK_SPREAD = 0.5, 1.5  # of the mean work of a request


@dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity of one upstream, and of its start.

    Attributes:
        cores: Requests that are worked on at once.
        mean_work_s: Time that a request takes in the mean when the upstream is warm.
        queue: Requests that wait for a core; further ones are rejected at once.
        cold_share: The share of its speed that an upstream starts with.
        cold_s: The time until it has its full speed.
    """

    cores: int
    mean_work_s: float
    queue: int
    cold_share: float
    cold_s: float

    @property
    def warm_per_s(self) -> float:
        """Requests a second of a warm upstream."""
        return self.cores / self.mean_work_s

    def speed(self, age_s: float) -> float:
        """The share of its full speed that an upstream of this age has."""
        share = self.cold_share + (1.0 - self.cold_share) * age_s / self.cold_s
        return min(1.0, share)


class Workers:
    """The cores and the queue of one upstream process."""

    def __init__(self, capacity: Capacity, rng: random.Random) -> None:
        self.capacity = capacity
        self.rng = rng
        self.busy = 0
        self.waiting: deque[asyncio.Future[None]] = deque()

    async def work(self, age_s: float) -> bool:
        """Work on a request, behind those that wait.

        Cancelling it frees its core.

        Returns:
            Whether it was taken; False: the queue is full, nothing was done.
        """
        if self.busy >= self.capacity.cores:
            if len(self.waiting) >= self.capacity.queue:
                return False
            await self._wait()
        else:
            self.busy += 1
        try:
            spread = self.rng.uniform(*WORK_SPREAD)
            await asyncio.sleep(spread * self.capacity.mean_work_s / self.capacity.speed(age_s))
        finally:
            self._free()
        return True

    async def _wait(self) -> None:
        """Wait for a core, which is handed over as busy."""
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if not turn.cancelled():
                self._free()
            elif turn in self.waiting:
                self.waiting.remove(turn)
            raise

    def _free(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.busy -= 1
