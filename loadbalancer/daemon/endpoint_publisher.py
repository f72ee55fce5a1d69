"""Publication of the endpoint list by its leader, which watches discovery for the fleet.

The leader writes the list to the store under its fencing token; the other balancers follow the
list (`endpoint_follower`). The list is a document, rows of the changefeed, or both, so that rows
can be enabled on one balancer after another.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from loadbalancer.daemon.endpoint_follower import EndpointFollower, EndpointListContext
from loadbalancer.daemon.endpoint_rows import DiscoveryVersion, RowWriter
from loadbalancer.daemon.persisted import (
    LeaderConfirmation,
    SavedEndpoint,
    SavedEndpointList,
    decode_row,
    save_endpoints,
)
from loadbalancer.policy import api
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.settings import MalformedError
from loadbalancer.store.commands import Op
from loadbalancer.store.errors import NotLeaseHolderError, StoreError
from loadbalancer.store.lease_client import boot_clock_ns
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import unix_s

log = logging.getLogger(__name__)

BATCHING_S = 0.1  # changes within this time are published together
HEARTBEAT_INTERVAL_S = 3.5  # between confirmations that the list is still current
# While the stored list has a later version than discovery, it is kept for this long. After that,
# discovery is assumed to have restarted its version numbers.
VERSION_RESET_S = 30.0
RETRY_S = 0.5
NO_VERSION = -1  # equals `Discovery.version` before the first list


class ListOrigin(NamedTuple):
    """Origin of a stored list; origins are ordered by the token of the leader that wrote it."""

    token: int = 0
    source: str = ""
    discovery_version: int = NO_VERSION


@dataclass(frozen=True, slots=True)
class Publication:
    """The list that this process published last."""

    token: int = 0
    discovery_version: int = NO_VERSION
    endpoints: list[SavedEndpoint] = field(default_factory=list)  # only for a document


class EndpointPublisher:
    """Replaces a driver's discovery, and publishes the list while this process leads."""

    def __init__(
        self,
        context: EndpointListContext,
        writer: RowWriter | None = None,
        publishes_documents: bool = True,
    ) -> None:
        """Create the publisher, and the follower for the time in which another process leads.

        Args:
            context: The driver, discovery, store client, lease and address map to use.
            writer: Writer of rows; None: the list is published as a document only.
            publishes_documents: Whether to publish the list as a document, with or without rows.
        """
        self.driver = context.driver
        self.discovery = context.discovery
        self.client = context.client
        self.lease = context.lease
        self.address_map = context.address_map
        self.writer = writer
        self.publishes_documents = publishes_documents
        self.follower = EndpointFollower(
            context, writer is not None, self._on_document_while_leading
        )
        self.keys = self.follower.keys
        self.is_document_due = False  # with rows: the document must be written or deleted
        self.last_error = ""  # the last logged reason why the list can't be published
        self.changed = asyncio.Event()
        self.sequence = 0  # number of this leader's last list
        self.heartbeat = 0  # number of this leader's last confirmation
        self.published = Publication()
        self.published_s = 0.0  # time of the last published or confirmed discovery response
        self.is_overwritten = False  # whether a program without leases replaced the document
        self.last_response_s = 0.0  # time of the last discovery response with a list or a delta
        self.min_version = NO_VERSION  # lowest discovery version that may be published
        self.min_version_read_s = 0.0
        self.running: asyncio.Task[None] | None = None
        self.discovery.listener = self._on_discovery

    @property
    def source(self) -> str:
        """Address of the discovery server."""
        host, port = self.discovery.address
        return f"{host}:{port}"

    # ---- the driver's discovery interface --------------------------------------------------------

    def subscribe(self, on: bool) -> None:
        """Subscribe to discovery if this process leads; a follower receives the leader's lists."""
        if self.lease.active_token:
            self.discovery.subscribe(on)

    def fetch(self) -> None:
        """Poll discovery once."""
        self.discovery.fetch()

    def _on_discovery(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        has_failed = kind is api.EndpointListKind.FAILED
        if has_failed and not self.lease.active_token:
            return  # a follower's own poll failed; it polls again without the policy's retry
        if not has_failed:
            self.last_response_s = time.monotonic()
            if kind is api.EndpointListKind.FULL or endpoints:
                self.follower.source.is_empty = False
        if self._is_outdated():
            return
        if not has_failed:
            self.follower.mirrors_table = False
            self._mark_changed_rows(kind, endpoints)
        self.driver.learn(kind, self.address_map.to_dialed(endpoints))
        self.changed.set()

    def _mark_changed_rows(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        if self.writer is None:
            return
        is_delta = kind is api.EndpointListKind.DELTA
        self.writer.mark_changed(
            [endpoint.entry.id for endpoint in endpoints] if is_delta else None
        )

    # ---- leadership terms ------------------------------------------------------------------------

    def on_lease_acquired(self, token: int) -> None:
        """Begin a term."""
        self.follower.source.set_leader(True, boot_clock_ns())
        self.discovery.watch.set_sole_poller(True)
        if token != self.published.token:  # a lease regained under the same token keeps counting
            self.sequence = 0
            self.heartbeat = 0
        if self.writer is not None:
            self.writer.begin_term()
        # The previous leader's list is not a discovery response: the watch polls for a full list.
        self.discovery.watch.forget_list()
        self.running = asyncio.get_running_loop().create_task(self._run())
        self.discovery.subscribe(True)

    def on_lease_lost(self) -> None:
        """End the term."""
        follower = self.follower
        follower.source.set_leader(False, boot_clock_ns())
        follower.mirrors_table = False  # rows that arrived during the term were not applied
        if follower.table is not None and follower.table.position.token > self.published.token:
            follower.apply_table(None)  # the next leader's rows have already arrived
        self.discovery.watch.set_sole_poller(False)
        self.discovery.subscribe(False)
        self._stop()

    def _stop(self) -> None:
        if self.running is not None:
            self.running.cancel()
            self.running = None

    async def _run(self) -> None:
        """Publish each list, and periodically confirm that it is still current."""
        await self._retry_until_done(self._read_min_version)
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                    await self.changed.wait()
            await asyncio.sleep(BATCHING_S)
            self.changed.clear()
            try:
                await self._publish_or_confirm()
            except NotLeaseHolderError:
                return
            except MalformedError as error:
                if str(error) != self.last_error:  # the error recurs until discovery's list changes
                    log.error("endpoint list not published: key=%s error=%s", self.keys.list, error)
                self.last_error = str(error)
            except StoreError as error:
                log.warning(
                    "endpoint list not published, retrying: key=%s error=%s", self.keys.list, error
                )
                self.changed.set()
                await asyncio.sleep(RETRY_S)

    async def _retry_until_done(self, work: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await work()
                return
            except StoreError:
                await asyncio.sleep(RETRY_S)

    async def _read_min_version(self) -> None:
        """Read the discovery version of the previous leader's last list.

        The read follows the grant of this leader's token, so that the store rejects any later
        write of the previous leader.
        """
        row = (await self.client.get(self.keys.list)).rows[0]
        saved = decode_row(row, SavedEndpointList)
        origin = ListOrigin()
        if saved is not None:
            origin = ListOrigin(saved.token, saved.source, saved.discovery_version)
        if self.writer is not None:
            position = await self.writer.read()
            if position is not None:
                rows_origin = ListOrigin(
                    position.token, position.source, position.discovery_version
                )
                origin = max(origin, rows_origin)
            self.is_document_due = self.publishes_documents or row.value is not None
        if origin.source == self.source:
            self.min_version = origin.discovery_version
            self.min_version_read_s = time.monotonic()

    def _is_outdated(self) -> bool:
        """Return whether discovery lags behind the previous leader's list within the grace period.

        After `VERSION_RESET_S`, the lower version is taken for a restart of the version numbers.
        """
        return (
            bool(self.lease.active_token)
            and self.discovery.version < self.min_version
            and time.monotonic() - self.min_version_read_s < VERSION_RESET_S
        )

    # ---- publication -----------------------------------------------------------------------------

    async def _publish_or_confirm(self) -> None:
        response_s = self.last_response_s
        if self.writer is not None:
            # A discovery response without a change counts, too. Without a confirmation, the
            # followers treat the leader as silent after 12 s without changes, and each of them
            # polls discovery for a complete list. (Documents are confirmed only on changes.)
            response_s = max(response_s, self.discovery.answered_s)
        is_current = response_s <= self.published_s and not self.is_overwritten
        if self.discovery.version < 0 or is_current or self._is_outdated():
            return
        if self.discovery.version < self.min_version:
            log.warning(
                "discovery restarted its versions: version=%d stored_version=%d",
                self.discovery.version,
                self.min_version,
            )
            self.min_version = NO_VERSION
        token = self.lease.token()
        if not self.driver.upstreams.targets or not token:
            return
        publish = self._publish_document if self.writer is None else self._publish_rows
        if await publish(token):
            self.published_s = response_s
        elif time.monotonic() - self.published_s >= HEARTBEAT_INTERVAL_S:
            await self._confirm(token)
            self.published_s = response_s

    async def _confirm(self, token: int) -> None:
        self.heartbeat += 1
        confirmation = LeaderConfirmation(token, self.sequence, self.heartbeat)
        await self.lease.write([Op(self.keys.confirmation, msgspec.json.encode(confirmation))])

    def _canonical_endpoints(self, numbers: Iterable[int] | None = None) -> list[Endpoint]:
        """Return the listed endpoints with these numbers, or all, with canonical addresses."""
        targets = self.driver.upstreams.targets
        if numbers is None:
            selected = list(targets.values())
        else:
            selected = [targets[number] for number in numbers if number in targets]
        return self.address_map.to_canonical(target.endpoint for target in selected)

    async def _publish_document(self, token: int) -> bool:
        """Write the document if it differs from the last one; return whether it was written."""
        endpoints = save_endpoints(self._canonical_endpoints())
        publication = Publication(token, self.discovery.version, endpoints)
        if not self.is_overwritten and self.published == publication:
            return False
        self.is_overwritten = False
        await self._write_document(token, self.sequence + 1, endpoints)
        return True

    async def _write_document(
        self, token: int, sequence: int, endpoints: list[SavedEndpoint]
    ) -> None:
        version = self.discovery.version
        saved = SavedEndpointList(unix_s(), endpoints, token, sequence, version, self.source)
        await self.lease.write([Op(self.keys.list, msgspec.json.encode(saved))])
        self.sequence = sequence
        self.published = Publication(token, version, list(endpoints))

    async def _publish_rows(self, token: int) -> bool:
        """Write the rows that differ, and write or delete the document if that is due.

        Returns:
            Whether anything was written.
        """
        if self.writer is None:
            return False
        discovery = DiscoveryVersion(self.discovery.version, self.source)
        is_written = await self.writer.write(self._canonical_endpoints, token, discovery)
        self.sequence = self.writer.sequence
        self.published = Publication(token, self.discovery.version)
        self.last_error = ""
        if self.is_overwritten or (is_written and self.publishes_documents):
            self.is_document_due = True
        if not self.is_document_due:
            return is_written
        if self.publishes_documents:
            await self._write_document(
                token, self.sequence, save_endpoints(self._canonical_endpoints())
            )
        else:  # a balancer without row support would use the document, however old it is
            await self.lease.write([Op(self.keys.list, None)])
        self.is_document_due = False
        self.is_overwritten = False
        return True

    def _on_document_while_leading(self, row: Row, saved: SavedEndpointList | None) -> None:
        """Publish the list again after a program without leases replaced the document.

        Otherwise, a balancer that starts now would not find a leader's list.
        """
        is_foreign = saved is None or not saved.token
        if is_foreign and row.version and (self.publishes_documents or row.value is not None):
            self.is_overwritten = True
            self.changed.set()

    def close(self) -> None:
        """Stop publishing."""
        if self.running is not None:
            self.running.cancel()
