"""A row of the store whose only writer is the holder of a lease."""

from __future__ import annotations

from loadbalancer.store.commands import Op
from loadbalancer.store.errors import NotLeaseHolderError
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.write_session import WriteOptions

REMOVE_TIMEOUT_S = 0.3


class LeasedRow:
    """Writes and deletes one row under a lease."""

    def __init__(self, lease: LeaseClient, key: str) -> None:
        self.lease = lease
        self.key = key
        self.exists = False  # whether the store has a value that this process wrote

    @property
    def is_writable(self) -> bool:
        """Whether this process holds the lease now."""
        return bool(self.lease.token())

    async def write(self, value: bytes) -> bool:
        """Write a value.

        Returns:
            Whether the value was written; False: the lease was lost.

        Raises:
            StoreError: The store did not serve the write.
        """
        try:
            await self.lease.write([Op(self.key, value)])
        except NotLeaseHolderError:
            return False
        self.exists = True
        return True

    async def remove(self) -> None:
        """Delete this process's value, if the lease is still held.

        Raises:
            StoreError: The store did not serve the write.
        """
        if not self.exists or not self.is_writable:
            return
        try:
            await self.lease.write([Op(self.key, None)], WriteOptions(timeout_s=REMOVE_TIMEOUT_S))
        except NotLeaseHolderError:
            return  # the next holder overwrites the value
