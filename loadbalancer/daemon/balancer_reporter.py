"""Reports that a balancer writes to the store during a rolling restart."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

import msgspec

from loadbalancer.daemon.identity import BalancerIdentity
from loadbalancer.daemon.leased_row import LeasedRow
from loadbalancer.daemon.persisted import decode_row
from loadbalancer.daemon.rolling_restart_reader import RollingRestartKeys
from loadbalancer.daemon.rolling_restart_state import BalancerReport, RollingRestart, State
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.endpoint import upstream_number
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.wire.protocol import Row

CHECK_INTERVAL_S = 0.5  # between checks whether the report has changed
IDLE_INTERVAL_S = 2.0  # while there is no rolling restart
# An unchanged report is repeated after an interval that grows with the number of balancers. The
# maximum is half of the age at which a report is too old to base a step on.
MIN_REPORT_INTERVAL_S = 2.0
REPORT_INTERVAL_PER_BALANCER_S = 0.025
MAX_REPORT_INTERVAL_S = 5.0


class BalancerReporter:
    """Writes a balancer's reports during a rolling restart."""

    def __init__(
        self,
        driver: Driver,
        disabled: DisabledUpstreams,
        name_lease: LeaseClient,
        identity: BalancerIdentity,
    ) -> None:
        self.driver = driver
        self.disabled = disabled
        self.keys = RollingRestartKeys(identity.service)
        self.row = LeasedRow(name_lease, self.keys.reports + identity.balancer)
        self.disabled_version = 0  # of the disabled set that this balancer applies
        self.is_active = False
        self.sequence = 0
        self.changed = asyncio.Event()
        balancer_count = driver.settings.instance_count
        self.interval_s = min(
            MAX_REPORT_INTERVAL_S,
            max(MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_PER_BALANCER_S * balancer_count),
        )

    def set_disabled_version(self, version: int) -> None:
        """Set the version of the disabled set that this balancer applies."""
        self.disabled_version = version
        self.changed.set()

    async def on_restart_changed(self, value: bytes | None, version: int) -> None:
        """Handle a change of the rolling restart's document."""
        restart = decode_row(Row(self.keys.restart, value, version, 0), RollingRestart)
        self.is_active = restart is not None and restart.state is not State.ENDED
        self.changed.set()

    def busy_upstreams(self) -> tuple[str, ...]:
        """Return the disabled upstreams where this balancer still has attempts in flight."""
        names = {upstream_number(name): name for name in self.disabled.names}
        busy = {
            names[attempt.upstream.id]
            for request in self.driver.balancer.requests.values()
            for attempt in request.attempts
            if attempt.result is None and attempt.upstream.id in names
        }
        return tuple(sorted(busy))

    async def run(self) -> None:
        """Report each change, and repeat the report after each interval.

        Raises:
            StoreError: The store did not serve a write.
        """
        reported: tuple[int, tuple[str, ...]] | None = None
        reported_s = 0.0
        while True:
            current = self.disabled_version, self.busy_upstreams()
            is_due = current != reported or time.monotonic() - reported_s >= self.interval_s
            if self.is_active and is_due and self.row.is_writable:
                report = self._next_report(*current)
                if await self.row.write(msgspec.json.encode(report)):
                    reported = current
                    reported_s = time.monotonic()
            self.changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S if self.is_active else IDLE_INTERVAL_S):
                    await self.changed.wait()

    def _next_report(self, disabled_version: int, busy: tuple[str, ...]) -> BalancerReport:
        self.sequence += 1
        rate = self.driver.balancer.rate_controller
        served = min(rate.served_per_s, rate.finished_per_s)
        return BalancerReport(
            disabled_version, busy, round(rate.finished_per_s, 2), round(served, 2), self.sequence
        )
