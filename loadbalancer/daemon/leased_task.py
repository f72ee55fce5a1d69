"""Base class of the controllers that run on one process of the fleet at a time, under a lease."""

from __future__ import annotations

import asyncio
import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Protocol

from loadbalancer.store.errors import ConflictError, NotLeaseHolderError, StoreError
from loadbalancer.store.lease_client import LeaseClient

log = logging.getLogger(__name__)

ERROR_RETRY_S = 0.5
CONFLICT_RETRY_S = 0.02  # after another process changed a row that the step had read
MIN_WAIT_S = 0.01


class LeaseFactory(Protocol):
    """Creates the client of one lease, with callbacks for its acquisition and its loss."""

    def __call__(
        self, on_acquired: Callable[[int], None], on_lost: Callable[[], None]
    ) -> LeaseClient:
        """Return a new lease client."""
        ...


class LeasedTask(ABC):
    """Runs `step` repeatedly while the lease is held."""

    def __init__(self, lease_factory: LeaseFactory, name: str) -> None:
        """Create the lease's client; the caller starts it.

        Args:
            lease_factory: Creates the lease with this task's callbacks.
            name: Name of the task in log lines.
        """
        self.lease = lease_factory(self.on_lease_acquired, self.on_lease_lost)
        self.name = name
        self.running: asyncio.Task[None] | None = None

    @abstractmethod
    def reset(self) -> None:
        """Drop all state of an earlier term, because it is out of date."""

    @abstractmethod
    async def step(self) -> float:
        """Read the state once and make at most one write.

        Returns:
            Seconds until the next step.

        Raises:
            StoreError: The store did not serve a read or a write.
        """

    def on_lease_acquired(self, _token: int) -> None:
        """Begin a term."""
        self.reset()
        self.running = asyncio.get_running_loop().create_task(self._run())

    def on_lease_lost(self) -> None:
        """End the term."""
        if self.running is not None:
            self.running.cancel()
            self.running = None

    async def _run(self) -> None:
        while True:
            wait_s = ERROR_RETRY_S
            try:
                wait_s = await self.step()
            except NotLeaseHolderError:
                return
            except ConflictError:
                wait_s = CONFLICT_RETRY_S
            except StoreError as error:
                log.warning("step failed: task=%s error=%s", self.name, error)
            except Exception:
                log.exception("step failed: task=%s", self.name)
            await asyncio.sleep(max(MIN_WAIT_S, wait_s))
