"""Saves state that outlives a balancer's process, and restores it at startup.

list/SERVICE               the last endpoint list; this module writes it only if it is a fixed list
learnt/SERVICE/BALANCER    the policy's learned state; written by the one process of that name
"""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress

import msgspec

from loadbalancer.daemon.address_map import AddressMap
from loadbalancer.daemon.endpoint_follower import start_from_cache
from loadbalancer.daemon.endpoint_rows import RowTable
from loadbalancer.daemon.identity import BalancerIdentity
from loadbalancer.daemon.persisted import (
    SavedEndpoint,
    SavedEndpointList,
    SavedLearnedState,
    decode_row,
    load_endpoints,
    load_learned_state,
    save_endpoints,
    save_learned_state,
)
from loadbalancer.daemon.store_monitor import StoreMonitor
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.store.commands import Op
from loadbalancer.store.errors import NotLeaseHolderError
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.wire.protocol import Row
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.wallclock import age_s, format_age, unix_s

log = logging.getLogger(__name__)

START_TIMEOUT_S = 1.0  # for each wait for the store at startup


class SnapshotSync:
    """Saves and restores the endpoint list and the learned state."""

    def __init__(
        self,
        monitor: StoreMonitor,
        driver: Driver,
        identity: BalancerIdentity,
        name_lease: LeaseClient,
        address_map: AddressMap,
    ) -> None:
        self.monitor = monitor
        self.driver = driver
        self.name_lease = name_lease
        self.address_map = address_map
        self.list_key = f"list/{identity.service}"
        self.learned_key = f"learnt/{identity.service}/{identity.balancer}"
        self.saved_endpoints: list[SavedEndpoint] = []  # the fixed list this process last wrote

    # ---- restoring at startup --------------------------------------------------------------------

    async def restore(self, table: RowTable | None) -> None:
        """Restore the last list, if discovery has not responded yet, and the learned state.

        A stale read from any node is sufficient.

        Args:
            table: The rows of the list; None: the list is a document.

        Raises:
            StoreError: The store did not serve the read.
        """
        if table is not None:
            # The list is restored first, because the learned state refers to its upstreams.
            with suppress(TimeoutError):
                async with asyncio.timeout(START_TIMEOUT_S):
                    await table.received.wait()
        response = await self.monitor.client.get(
            self.list_key, self.learned_key, stale=True, timeout_s=START_TIMEOUT_S
        )
        self.monitor.mark_available()
        list_row, learned_row = response.rows
        self._restore_list(list_row)
        self._restore_learned_state(learned_row)

    def _restore_list(self, row: Row) -> None:
        saved = decode_row(row, SavedEndpointList)
        if saved is None:
            return
        endpoints = self.address_map.to_dialed(load_endpoints(saved))
        if start_from_cache(self.driver, saved.saved_at_s, endpoints):
            log.info(
                "endpoint list loaded from document: upstreams=%d age=%s",
                len(endpoints),
                format_age(age_s(saved.saved_at_s)),
            )

    def _restore_learned_state(self, row: Row) -> None:
        saved = decode_row(row, SavedLearnedState)
        if saved is None:
            return
        learned = load_learned_state(saved, endpoints_of(self.driver))
        if learned is not None:
            self.driver.post(learned)
        log.info(
            "learned state loaded: age=%s used=%s",
            format_age(age_s(saved.saved_at_s)),
            "yes" if learned is not None else "no",
        )

    # ---- saving ----------------------------------------------------------------------------------

    async def save_fixed_list(self, list_lease: LeaseClient, within_s: float = 0.0) -> None:
        """Write a fixed endpoint list if it changed and this process leads.

        Raises:
            StoreError: The store did not serve the write.
        """
        if not list_lease.token():
            return
        targets = self.driver.upstreams.targets
        endpoints = save_endpoints(
            self.address_map.to_canonical(target.endpoint for target in targets.values())
        )
        if not endpoints or endpoints == self.saved_endpoints:
            return
        saved = SavedEndpointList(unix_s(), endpoints, list_lease.token())
        with suppress(NotLeaseHolderError):
            await list_lease.write(
                [Op(self.list_key, msgspec.json.encode(saved))],
                WriteOptions(timeout_s=within_s or None),
            )
            self.saved_endpoints = endpoints

    async def save_learned_state(self, within_s: float = 0.0) -> None:
        """Write the learned state if this process holds its name lease.

        Raises:
            StoreError: The store did not serve the write.
        """
        learned = self.driver.balancer.learned_state()
        if not learned.service_times or not self.name_lease.token():
            return
        with suppress(NotLeaseHolderError):
            saved = save_learned_state(learned, endpoints_of(self.driver))
            await self.name_lease.write(
                [Op(self.learned_key, msgspec.json.encode(saved))],
                WriteOptions(timeout_s=within_s or None),
            )


def endpoints_of(driver: Driver) -> dict[int, Endpoint]:
    """Return the endpoints of the current list by number."""
    return {number: target.endpoint for number, target in driver.upstreams.targets.items()}
