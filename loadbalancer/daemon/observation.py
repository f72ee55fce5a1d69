"""Helpers of controllers that read the store repeatedly: ages of rows and live balancers."""

from __future__ import annotations

import time

from loadbalancer.leases import table
from loadbalancer.store.client import Client
from loadbalancer.store.wire.protocol import Row

NEVER_AGE_S = 1e9  # age of an endpoint list that does not exist


class RowAges:
    """Time since each row last changed, by this process's clock.

    The clocks of other processes are not trusted.
    """

    def __init__(self) -> None:
        self.first_read: dict[str, tuple[int, float]] = {}

    def age_s(self, key: str, version: int) -> float:
        """Return the time since the key was first read at this version."""
        now_s = time.monotonic()
        if self.first_read.get(key, (-1, 0.0))[0] != version:
            self.first_read[key] = version, now_s
        return now_s - self.first_read[key][1]

    def retain(self, keys: set[str]) -> None:
        """Drop all other keys."""
        for removed in self.first_read.keys() - keys:
            del self.first_read[removed]


async def read_live_balancers(client: Client, prefix: str, stale: bool = False) -> set[str]:
    """Return the names of the balancers whose name lease is held.

    Args:
        client: Client of the store.
        prefix: Key prefix of the name leases.
        stale: Whether a stale read from any node is sufficient.

    Raises:
        StoreError: The store did not serve the read.
    """
    names = await client.scan(prefix, stale=stale)
    return {row.key.removeprefix(prefix) for row in names.rows if _is_held(row)}


def _is_held(row: Row) -> bool:
    return row.value is not None and table.unpack(row.value).is_held
