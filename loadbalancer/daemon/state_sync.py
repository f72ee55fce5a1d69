"""Connects a balancer to the store: assembles all synchronization and all leased controllers.

Nothing here blocks the balancer. These modules document their store keys: `settings_sync`,
`disabled_sync`, `snapshot_sync`, `endpoint_follower`, `row_codec`, `rolling_restart_controller`
and `site_documents`.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from loadbalancer.changefeed.messages import GLOBAL
from loadbalancer.daemon.address_map import AddressMap
from loadbalancer.daemon.balancer_reporter import BalancerReporter
from loadbalancer.daemon.disabled_sync import DisabledSync
from loadbalancer.daemon.endpoint_follower import EndpointListContext
from loadbalancer.daemon.endpoint_publisher import EndpointPublisher
from loadbalancer.daemon.endpoint_rows import RowTable, RowWriter
from loadbalancer.daemon.identity import BalancerIdentity
from loadbalancer.daemon.leased_task import LeaseFactory
from loadbalancer.daemon.rolling_restart_controller import RollingRestartController
from loadbalancer.daemon.settings_sync import SettingsSync
from loadbalancer.daemon.site_agent import SiteAgent
from loadbalancer.daemon.site_controller import SiteController
from loadbalancer.daemon.snapshot_sync import SnapshotSync
from loadbalancer.daemon.store_monitor import StoreMonitor
from loadbalancer.leases.table import Lease
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.process import Parts
from loadbalancer.store.changefeed_client import ChangefeedClient, ChangefeedTarget
from loadbalancer.store.client import Client
from loadbalancer.store.errors import StoreError
from loadbalancer.store.lease_client import LeaseClient

log = logging.getLogger(__name__)

LEASE_S = 10.0
SAVE_INTERVAL_S = 5.0
CLOSE_SAVE_TIMEOUT_S = 0.5
MAX_RENEWAL_FAILURES = 2  # after this many failures in a row, the store counts as unavailable

Work = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class StateSyncOptions:
    """Options of a balancer's synchronization with the store.

    Attributes:
        service: The service's name.
        balancer: This balancer's name.
        document: Name of the settings document; empty: the settings are a local file.
        settings_copy: Local copy of that document.
        lease_s: Duration of the leases.
        rank: Among the candidates for a lease, the lowest rank acquires it first.
        address_map: Canonical address -> the address dialed from this host.
        has_site_failover: Whether this balancer takes part in site failover.
        publishes_rows: Whether to publish the endpoint list as rows of the changefeed.
        publishes_documents: Whether to publish it as a document in addition to the rows.
    """

    service: str
    balancer: str
    document: str = ""
    settings_copy: Path | None = None
    lease_s: float = LEASE_S
    rank: int = 0
    address_map: Mapping[str, str] = field(default_factory=dict)
    has_site_failover: bool = False
    publishes_rows: bool = False
    publishes_documents: bool = False

    @property
    def identity(self) -> BalancerIdentity:
        """Identity of this balancer."""
        return BalancerIdentity(self.service, self.balancer)


class StateSync:
    """All background work of a balancer that uses the store."""

    def __init__(self, client: Client, parts: Parts, options: StateSyncOptions) -> None:
        service = options.service
        self.client = client
        self.parts = parts
        self.options = options
        self.address_map = AddressMap(options.address_map)
        self.monitor = StoreMonitor(client)
        self.tasks: list[asyncio.Task[None]] = []
        # Only one process per balancer name saves learned state; a name conflict is logged once.
        self.has_logged_name_conflict = False
        self.name_lease = LeaseClient(
            client,
            f"name/{service}/{options.balancer}",
            options.balancer,
            options.lease_s,
        )
        self.name_lease.on_change(self._on_name_lease_changed)
        self.list_lease = self._lease_factory("list")(
            self._on_list_lease_acquired, self._on_list_lease_lost
        )
        self.reporter = BalancerReporter(
            parts.driver, parts.disabled, self.name_lease, options.identity
        )
        self.disabled_sync = DisabledSync(
            self.monitor, parts.disabled, service, self.reporter.set_disabled_version
        )
        self.settings_sync = self._create_settings_sync()
        self.snapshot_sync = SnapshotSync(
            self.monitor, parts.driver, options.identity, self.name_lease, self.address_map
        )
        self.rolling_restart = RollingRestartController(
            client, self._lease_factory("roll"), service, self.address_map
        )
        self.site_agent: SiteAgent | None = None
        self.site_controller: SiteController | None = None
        if options.has_site_failover:
            self._create_site_failover()
        self.publisher = self._create_publisher()
        self.feed = self._create_feed()

    # ---- assembly --------------------------------------------------------------------------------

    def _lease_factory(self, work: str) -> LeaseFactory:
        """Return a factory for the lease client of a controller with this name."""

        def create(on_acquired: Callable[[int], None], on_lost: Callable[[], None]) -> LeaseClient:
            options = self.options
            lease = LeaseClient(
                self.client,
                f"work/{work}/{options.service}",
                options.balancer,
                options.lease_s,
                options.rank,
            )
            lease.on_ownership_change(on_acquired, on_lost)
            return lease

        return create

    def _create_settings_sync(self) -> SettingsSync | None:
        options = self.options
        if not options.document or options.settings_copy is None:
            return None
        return SettingsSync(
            self.monitor, options.document, options.settings_copy, self.parts.reload
        )

    def _create_site_failover(self) -> None:
        driver = self.parts.driver
        rng = random.Random(os.urandom(8))
        identity = self.options.identity
        self.site_agent = SiteAgent(driver, self.client, self.name_lease, identity, rng)
        self.site_controller = SiteController(
            self.client, self._lease_factory("site"), identity.service, driver.settings
        )

    def _create_publisher(self) -> EndpointPublisher | None:
        """Replace the driver's discovery by a publisher, if there is discovery."""
        options = self.options
        driver = self.parts.driver
        discovery = driver.discovery
        if not isinstance(discovery, Discovery):
            if options.publishes_rows:
                log.warning("store.rows has no effect: the upstreams are listed in the settings")
            return None
        context = EndpointListContext(
            driver, discovery, self.client, self.list_lease, options.service, self.address_map
        )
        writer = None
        if options.publishes_rows:
            writer = RowWriter(self.client, self.list_lease, options.service)
        publishes_documents = options.publishes_documents or not options.publishes_rows
        publisher = EndpointPublisher(context, writer, publishes_documents)
        discovery.subscribe(False)
        driver.discovery = publisher
        return publisher

    @property
    def _table(self) -> RowTable | None:
        return self.publisher.follower.table if self.publisher is not None else None

    def _create_feed(self) -> ChangefeedClient | None:
        if self.publisher is None or self._table is None:
            return None
        follower = self.publisher.follower
        return ChangefeedClient(
            ChangefeedTarget(
                self.client.addresses,
                self.client.tls,
                self.options.balancer,
                address_map=self.client.address_map,
            ),
            [self._table.keys.scope, GLOBAL],
            follower.check_row,
            follower.apply_rows,
        )

    # ---- leases ----------------------------------------------------------------------------------

    @property
    def _leases(self) -> list[LeaseClient]:
        leases = [self.name_lease, self.list_lease, self.rolling_restart.lease]
        if self.site_controller is not None:
            leases.append(self.site_controller.lease)
        return leases

    def _on_list_lease_acquired(self, token: int) -> None:
        if self.publisher is not None:
            self.publisher.on_lease_acquired(token)

    def _on_list_lease_lost(self) -> None:
        if self.publisher is not None:
            self.publisher.on_lease_lost()

    def _on_name_lease_changed(self, lease: Lease) -> None:
        """Log a name conflict with another process, except during a process handover."""
        is_own = lease.claim == self.name_lease.holder.claim
        if not lease.is_held or is_own or self.has_logged_name_conflict:
            return
        if self.parts.disabled.registry.is_alone:
            self.has_logged_name_conflict = True
            log.warning(
                "balancer name belongs to another process, learned state is not saved: "
                "name=%s holder=%s",
                self.options.balancer,
                lease.note,
            )

    # ---- running ---------------------------------------------------------------------------------

    def start(self) -> None:
        """Start all background work."""
        loop = asyncio.get_running_loop()
        if self.feed is not None:
            self.feed.start()
        self.tasks = [loop.create_task(self.monitor.run(work)) for work in self._work_items()]
        for lease in self._leases:
            lease.start()

    def _work_items(self) -> list[Work]:
        work_items: list[Work] = [
            self._restore,
            self.disabled_sync.follow,
            self.disabled_sync.publish,
            self._save_periodically,
            self.reporter.run,
            self._follow_rolling_restart,
        ]
        if self.publisher is not None:
            follower = self.publisher.follower
            work_items += [follower.follow_list, follower.poll_while_leader_is_silent]
            if self.feed is not None:
                work_items.append(follower.follow_confirmations)
        if self.settings_sync is not None:
            work_items.append(self.settings_sync.follow)
        if self.site_agent is not None:
            work_items += [self.site_agent.observe, self.site_agent.report, self.site_agent.follow]
        return work_items

    async def _restore(self) -> None:
        await self.snapshot_sync.restore(self._table)

    async def _follow_rolling_restart(self) -> None:
        await self.monitor.follow(self.reporter.keys.restart, self.reporter.on_restart_changed)

    async def _save_periodically(self) -> None:
        while True:
            await asyncio.sleep(SAVE_INTERVAL_S)
            await self.save()

    async def save(self, within_s: float = 0.0) -> None:
        """Save the fixed list and the learned state if this process is their writer.

        Raises:
            StoreError: The store did not serve a write.
        """
        if self.publisher is None:
            await self.snapshot_sync.save_fixed_list(self.list_lease, within_s)
        await self.snapshot_sync.save_learned_state(within_s)
        holder = self.name_lease.holder
        if holder.failures >= MAX_RENEWAL_FAILURES:
            self.monitor.mark_unavailable(holder.reason)
        else:
            self.monitor.mark_available()

    async def close(self) -> None:
        """Stop all work, save once more and release the leases."""
        for task in self.tasks:
            task.cancel()
        if self.publisher is not None:
            self.publisher.close()
        if self.feed is not None:
            await self.feed.close()
        with suppress(StoreError):
            await self.save(CLOSE_SAVE_TIMEOUT_S)
            await self.reporter.row.remove()
            if self.site_agent is not None:
                await self.site_agent.row.remove()
        await asyncio.gather(*(lease.close() for lease in self._leases))
        await self.client.close()
