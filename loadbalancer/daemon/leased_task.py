"""A work of the fleet as its owner does it: one turn after the other for as long as the lease is
held.
"""

from __future__ import annotations

import asyncio
import logging

from loadbalancer.store.errors import ConflictError, NotLeaseHolderError, StoreError
from loadbalancer.store.lease_client import LeaseClient

log = logging.getLogger(__name__)

AGAIN_S = 0.5  # after what went wrong
CHANGED_S = 0.02  # after somebody changed meanwhile what a turn had read


class OwnedWork:
    def __init__(self, owner: LeaseClient, what: str) -> None:
        """`what` it is called in logs."""
        self.owner = owner
        self.what = what
        self.working: asyncio.Task[None] | None = None
        owner.on_tenure(self.began, self.ended)

    def anew(self) -> None:
        """Forget what this process saw as an owner of before: it is old."""
        raise NotImplementedError

    async def turn(self) -> float:
        """One look and at most one step; seconds until the next. Raises StoreError."""
        raise NotImplementedError

    def began(self, token: int) -> None:
        self.anew()
        self.working = asyncio.get_running_loop().create_task(self._work())

    def ended(self) -> None:
        if self.working is not None:
            self.working.cancel()
            self.working = None

    async def _work(self) -> None:
        while True:
            wait = AGAIN_S
            try:
                wait = await self.turn()
            except NotLeaseHolderError:
                return
            except ConflictError:
                wait = CHANGED_S
            except StoreError as error:
                log.warning("%s: %s", self.what, error)
            except Exception:
                log.exception("%s", self.what)
            await asyncio.sleep(max(0.01, wait))
