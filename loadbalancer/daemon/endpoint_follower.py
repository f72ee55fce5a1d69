"""Follows the endpoint list that the list's leader publishes in the store.

    list/SERVICE      the list as a document, with the leader's token and its list sequence number
    listed/SERVICE    the leader's confirmations that the list still matches discovery

The list may also be published as rows of the changefeed, instead of the document or in addition to
it. A balancer with row support uses the form that the later leader wrote.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.changefeed.messages import Row as FeedRow
from loadbalancer.changefeed.subscription import Apply
from loadbalancer.daemon import row_codec
from loadbalancer.daemon.address_map import AddressMap
from loadbalancer.daemon.endpoint_rows import RowTable, position_of
from loadbalancer.daemon.endpoint_source import EndpointSource
from loadbalancer.daemon.persisted import (
    LeaderConfirmation,
    SavedEndpointList,
    decode_row,
    load_endpoints,
)
from loadbalancer.leases.fence import FencedReceiver, FencingPosition
from loadbalancer.leases.table import format_token
from loadbalancer.policy import api
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.store.client import Client
from loadbalancer.store.lease_client import LeaseClient, boot_clock_ns
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import age_s, format_age

log = logging.getLogger(__name__)

REJECTION_LOG_INTERVAL_S = 10.0
MAX_CACHED_LIST_AGE_S = 24 * 3600.0  # startup does not use an older list
MIN_POLL_CHECK_S = 0.05
MAX_POLL_CHECK_S = 1.0
NS_PER_S = 1e9


class ListKeys:
    """Store keys of one service's endpoint list in document form."""

    def __init__(self, service: str) -> None:
        self.list = f"list/{service}"
        self.confirmation = f"listed/{service}"


@dataclass(frozen=True, slots=True)
class EndpointListContext:
    """Collaborators shared by the publisher and the follower of the endpoint list."""

    driver: Driver
    discovery: Discovery
    client: Client
    lease: LeaseClient  # its holder is the list's leader
    service: str
    address_map: AddressMap


class EndpointFollower:
    """Applies the leader's lists, and polls discovery while the leader is silent."""

    def __init__(
        self,
        context: EndpointListContext,
        has_rows: bool,
        on_document_while_leading: Callable[[Row, SavedEndpointList | None], None],
    ) -> None:
        """Create the follower.

        Args:
            context: The driver, discovery, store client, lease and address map to use.
            has_rows: Whether to follow the list's rows in addition to its document.
            on_document_while_leading: Called with each list document that is received while this
                process is the leader.
        """
        self.driver = context.driver
        self.discovery = context.discovery
        self.client = context.client
        self.lease = context.lease
        self.address_map = context.address_map
        self.keys = ListKeys(context.service)
        self.table = RowTable(context.service) if has_rows else None
        self.on_document_while_leading = on_document_while_leading
        self.source = EndpointSource(
            self.driver.settings.instance_count, random.Random(os.urandom(8)), boot_clock_ns()
        )
        # Whether the driver's list equals the table, so that a delta of the rows updates it.
        self.mirrors_table = False
        self.rejection_logged_s = -REJECTION_LOG_INTERVAL_S

    # ---- the store -------------------------------------------------------------------------------

    async def follow_list(self) -> None:
        """Receive the committed list first, then each later change.

        Raises:
            StoreError: The store did not serve a read or the watch.
        """
        keys = [self.keys.list, self.keys.confirmation]
        if self.table is not None:
            keys.append(self.table.keys.list)
        response = await self.client.get(*keys)
        now = boot_clock_ns()
        document = decode_row(response.rows[0], SavedEndpointList)
        position = (
            FencingPosition(document.token, document.sequence) if document else FencingPosition()
        )
        self.source.learn_committed(position, now)
        if self.table is not None:
            self.source.learn_committed(position_of(response.rows[2]), now)
        self._receive_document(response.rows[0])
        if self.table is not None:
            self.apply_table(None)
        # With rows, only this service's key is watched: the lists of all services are too much
        # traffic for each balancer.
        await self._watch("list" if self.table is None else self.keys.list, response.revision)

    async def follow_confirmations(self) -> None:
        """Watch the confirmations; `follow_list` does not watch them if the list has rows.

        Raises:
            StoreError: The store did not serve a read or the watch.
        """
        response = await self.client.get(self.keys.confirmation, stale=True)
        self._receive_confirmation(response.rows[0])
        await self._watch(self.keys.confirmation, response.revision)

    async def _watch(self, prefix: str, revision: int) -> None:
        async for event in self.client.watch(prefix, revision):
            for change in event.changes:
                row = Row(change.key, change.value, change.version, change.revision)
                if change.key == self.keys.list:
                    self._receive_document(row)
                elif change.key == self.keys.confirmation:
                    self._receive_confirmation(row)

    def _receive_document(self, row: Row) -> None:
        saved = decode_row(row, SavedEndpointList)
        if self.lease.active_token:
            self.on_document_while_leading(row, saved)
            return
        if saved is None or not saved.token:
            return  # written by a version of the program without leases
        if self.table is not None and self.table.position.token >= saved.token:
            return  # this leader or a later one wrote the rows
        if self._accepts(row.key, FencingPosition(saved.token, saved.sequence)):
            self.mirrors_table = False
            self._learn(api.EndpointListKind.FULL, load_endpoints(saved))

    def _receive_confirmation(self, row: Row) -> None:
        confirmation = decode_row(row, LeaderConfirmation)
        if confirmation is not None:
            position = FencingPosition(confirmation.token, confirmation.sequence)
            self.source.confirm(position, confirmation.heartbeat, boot_clock_ns())

    def _accepts(self, key: str, position: FencingPosition) -> bool:
        if self.source.accept_list(position, boot_clock_ns()):
            return True
        log_stale_message(key, position, self.source.receiver)
        return False

    # ---- the changefeed --------------------------------------------------------------------------

    def check_row(self, scope: str, row: FeedRow) -> str:
        """Return why this program can't use a row, or an empty string if it can.

        The changefeed client reports the result to the store node.
        """
        error = row_codec.find_row_error(scope, row)
        now_s = time.monotonic()
        if error and now_s - self.rejection_logged_s >= REJECTION_LOG_INTERVAL_S:
            self.rejection_logged_s = now_s
            log.warning(
                "row rejected, keeping its previous value: key=%s scope=%s version=%d error=%s",
                row.key,
                scope,
                row.version,
                error,
            )
        return error

    def apply_rows(self, update: Apply) -> None:
        """Update the table with rows from the changefeed, and apply it."""
        if self.table is None or update.scope != self.table.keys.scope:
            return
        delta = self.table.update(update.is_snapshot, update.rows)
        self.apply_table(None if update.is_snapshot else delta)

    def apply_table(self, delta: list[Endpoint] | None) -> None:
        """Apply the table to the driver's list.

        Args:
            delta: The endpoints that changed in the table; None: any of them may have changed.
        """
        table = self.table
        if table is None or self.lease.active_token:
            return
        if table.list_row is None or not table.endpoints:
            # An empty list is ignored: the leader never publishes one.
            self.mirrors_table = False
            return
        if not self.source.receiver.is_initialized:
            self._start_from(table)
        elif not self._accepts(table.keys.list, table.position):
            self.mirrors_table = False
        elif delta is None or not self.mirrors_table:
            self.mirrors_table = True
            self._learn(api.EndpointListKind.FULL, table.all())
        elif delta:
            self._learn(api.EndpointListKind.DELTA, delta)

    def _start_from(self, table: RowTable) -> None:
        """Use the table as a cached list at startup, although it may not be committed."""
        if table.list_row is None:
            return
        endpoints = table.all()
        if start_from_cache(self.driver, table.list_row.written_at_s, self._dialed(endpoints)):
            log.info(
                "endpoint list loaded from rows: upstreams=%d age=%s",
                len(endpoints),
                format_age(age_s(table.list_row.written_at_s)),
            )

    def _learn(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        self.driver.learn(kind, self._dialed(endpoints))

    def _dialed(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        return self.address_map.to_dialed(endpoints)

    # ---- discovery -------------------------------------------------------------------------------

    async def poll_while_leader_is_silent(self) -> None:
        """Poll discovery while the leader's messages are too old or missing."""
        was_polling = False
        while True:
            if self.source.take_due_poll(boot_clock_ns()):
                self.discovery.fetch()
            if self.source.is_polling is not was_polling:
                was_polling = self.source.is_polling
                log.info(
                    "endpoint list leader silent, polling discovery"
                    if was_polling
                    else "endpoint list leader active again"
                )
            wait_s = (self.source.wake_ns - boot_clock_ns()) / NS_PER_S
            await asyncio.sleep(min(MAX_POLL_CHECK_S, max(MIN_POLL_CHECK_S, wait_s)))


def log_stale_message(key: str, position: FencingPosition, receiver: FencedReceiver) -> None:
    """Log that a message from an earlier leader was ignored."""
    log.info(
        "stale message ignored: key=%s token=%s highest_token=%s",
        key,
        format_token(position.token),
        format_token(receiver.highest.token),
    )


def start_from_cache(driver: Driver, saved_at_s: float, endpoints: list[Endpoint]) -> bool:
    """Start the driver with a cached list, unless the driver has a list or this one is too old.

    Args:
        driver: The driver.
        saved_at_s: Unix time at which the list was saved.
        endpoints: The list, with the addresses to dial.

    Returns:
        Whether the driver uses the list.
    """
    age = age_s(saved_at_s)
    is_recent = age is None or age < MAX_CACHED_LIST_AGE_S
    if not is_recent or driver.list_received.is_set() or driver.upstreams.targets:
        return False
    driver.learn(api.EndpointListKind.CACHED, endpoints)
    return True
