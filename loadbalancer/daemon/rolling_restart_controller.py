"""Runs a rolling restart under a lease, and reports of the balancers while there is one.

The leader reads, asks `rolling_restart` for the next step and writes it, one step at a time.

    roll/SERVICE               the document; operators start, pause and abort, the leader proceeds
    report/SERVICE/BALANCER    a balancer's attempts in flight; deleted at a graceful shutdown
"""

from __future__ import annotations

import asyncio
import logging
import time
from contextlib import suppress
from dataclasses import dataclass

import msgspec

from loadbalancer.daemon import upstream_admin
from loadbalancer.daemon.address_map import AddressMap
from loadbalancer.daemon.endpoint_rows import EndpointListReader
from loadbalancer.daemon.identity import BalancerIdentity
from loadbalancer.daemon.leased_task import LeasedTask, LeaseFactory
from loadbalancer.daemon.observation import NEVER_AGE_S, RowAges, read_live_balancers
from loadbalancer.daemon.persisted import SavedEndpointList, decode_row
from loadbalancer.daemon.rolling_restart import (
    announce_requests,
    find_missing_evidence,
    next_step,
    pending_requests,
    restart_name,
)
from loadbalancer.daemon.rolling_restart_state import (
    NO_REPORT,
    BalancerReport,
    FleetView,
    ListedUpstream,
    ObservedReport,
    Phase,
    RollingRestart,
    State,
    Step,
    UpstreamRestart,
)
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream import number_of
from loadbalancer.store.client import Client
from loadbalancer.store.commands import LEASE_PREFIX, Op
from loadbalancer.store.errors import NotLeaseHolderError
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.wire.protocol import Row
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.wallclock import unix_ms

log = logging.getLogger(__name__)

PHASES = list(Phase)
STEP_INTERVAL_S = 0.5  # of the leader, and between checks of a balancer for a changed report
IDLE_INTERVAL_S = 2.0  # while there is no rolling restart
RESTART_REQUEST_INTERVAL_S = 5.0  # until an upstream that was asked is seen to restart
# A balancer's report is repeated after this, the longer the more balancers there are; at most
# after half of the age at which it is no longer evidence.
MIN_REPORT_INTERVAL_S = 2.0
REPORT_INTERVAL_PER_BALANCER_S = 0.025
MAX_REPORT_INTERVAL_S = 5.0
REMOVE_TIMEOUT_S = 0.3
MAX_NOTE_LENGTH = 200


class RollingRestartKeys:
    """Store keys of one service's rolling restarts."""

    def __init__(self, service: str) -> None:
        self.restart = f"roll/{service}"
        self.disabled = f"disabled/{service}"
        self.list = f"list/{service}"
        self.confirmation = f"listed/{service}"
        self.reports = f"report/{service}/"
        self.names = f"{LEASE_PREFIX}name/{service}/"


@dataclass(frozen=True, slots=True)
class Observation:
    """The rows read at one time, and what they say."""

    restart_row: Row
    disabled_row: Row
    restart: RollingRestart | None
    view: FleetView


class RollingRestartReader:
    """Reads the state of a rolling restart and of the fleet.

    Args:
        client: Client of the store.
        service: The service's name.
        linearizable: Whether reads must be; an observer that writes nothing needs none.
    """

    def __init__(self, client: Client, service: str, linearizable: bool = True) -> None:
        self.client = client
        self.keys = RollingRestartKeys(service)
        self.stale = not linearizable
        self.ages = RowAges()
        self.list_reader = EndpointListReader(client, service)

    async def read(self) -> Observation:
        """Reads all rows.

        Raises:
            StoreError: The store did not serve a read.
        """
        keys = self.keys
        found = await self.client.get(
            keys.restart,
            keys.disabled,
            keys.list,
            keys.confirmation,
            self.list_reader.keys.list,
            stale=self.stale,
        )
        restart_row, disabled_row, list_row, confirmation_row, position_row = found.rows
        restart = decode_row(restart_row, RollingRestart)
        reports = await self._read_reports()
        saved = await self.list_reader.read(list_row, position_row, self.stale)
        list_version = confirmation_row.version + list_row.version + position_row.version
        view = FleetView(
            now_ms=unix_ms(),
            disabled=_disabled_names(disabled_row),
            disabled_version=disabled_row.version,
            balancers=reports,
            upstreams=_listed_upstreams(saved),
            list_age_s=self._list_age_s(saved, list_version),
            phase_ages_s=self._phase_ages_s(restart),
        )
        self._forget_removed(restart, reports)
        return Observation(restart_row, disabled_row, restart, view)

    async def _read_reports(self) -> dict[str, ObservedReport]:
        reports = await self.client.scan(self.keys.reports, stale=self.stale)
        live = await read_live_balancers(self.client, self.keys.names, self.stale)
        observed: dict[str, ObservedReport] = {}
        for row in reports.rows:
            report = decode_row(row, BalancerReport)
            name = row.key.removeprefix(self.keys.reports)
            if report is not None:
                age_s = self.ages.age_s(row.key, row.version)
                observed[name] = ObservedReport(report, age_s, name in live)
        for name in live - observed.keys():  # it holds its name and has not reported yet
            age_s = self.ages.age_s(self.keys.reports + name, 0)
            observed[name] = ObservedReport(NO_REPORT, age_s, True)
        return observed

    def _list_age_s(self, saved: SavedEndpointList | None, version: int) -> float:
        """A list is as old as its last confirmation; a fixed one needs none."""
        if saved is None:
            return NEVER_AGE_S
        age_s = self.ages.age_s(self.keys.confirmation, version)
        return age_s if saved.source else 0.0

    def _phase_ages_s(self, restart: RollingRestart | None) -> dict[str, float]:
        if restart is None:
            return {}
        return {
            upstream.name: self.ages.age_s(
                _phase_key(restart, upstream), PHASES.index(upstream.phase)
            )
            for upstream in restart.upstreams
        }

    def _forget_removed(
        self, restart: RollingRestart | None, reports: dict[str, ObservedReport]
    ) -> None:
        upstreams = restart.upstreams if restart is not None else ()
        self.ages.retain(
            {
                self.keys.confirmation,
                *(self.keys.reports + name for name in reports),
                *(_phase_key(restart, upstream) for upstream in upstreams if restart is not None),
            }
        )


def _phase_key(restart: RollingRestart, upstream: UpstreamRestart) -> str:
    return f"phase/{restart.id}/{upstream.name}"


def _disabled_names(row: Row) -> frozenset[str]:
    if row.value is None:
        return frozenset()
    return frozenset(msgspec.json.decode(row.value, type=list[str]))


def _listed_upstreams(saved: SavedEndpointList | None) -> dict[int, ListedUpstream]:
    if saved is None:
        return {}
    return {
        endpoint.id: ListedUpstream(
            endpoint.zone,
            endpoint.started_s,
            not endpoint.is_draining,
            (endpoint.host, endpoint.port),
        )
        for endpoint in saved.endpoints
    }


class RollingRestartController(LeasedTask):
    """Takes the steps of a rolling restart while this process holds the lease."""

    def __init__(
        self, client: Client, lease_factory: LeaseFactory, service: str, address_map: AddressMap
    ) -> None:
        super().__init__(lease_factory, "rolling restart")
        self.client = client
        self.address_map = address_map
        self.service = service
        self.keys = RollingRestartKeys(service)
        self.reset()

    def reset(self) -> None:
        """Drops all state of an earlier term."""
        self.reader = RollingRestartReader(self.client, self.service)
        self.without_evidence_since_s: float | None = None
        self.acquired_s = time.monotonic()
        self.requested_s: dict[str, float] = {}  # restart name -> when it was last requested

    async def step(self) -> float:
        """Observes once and writes at most one step.

        Returns:
            Seconds until the next step.

        Raises:
            StoreError: The store did not serve a read or a write.
        """
        observation = await self.reader.read()
        restart = observation.restart
        if restart is None or restart.state is State.ENDED:
            return IDLE_INTERVAL_S
        step = next_step(restart, observation.view, self._without_evidence_s(observation.view))
        token = self.owner.token()
        if step is None:
            held_s = time.monotonic() - self.acquired_s
            step = announce_requests(restart, token, held_s, self.owner.ttl_s)
        if step is None:
            for upstream in pending_requests(restart, token):
                await self._request_restart(restart, upstream, observation.view)
            return STEP_INTERVAL_S
        await self._write(step, observation)
        log.info("rolling restart step: id=%s step=%s", restart.id, step.summary)
        return 0.0

    def _without_evidence_s(self, view: FleetView) -> float:
        if not find_missing_evidence(view):
            self.without_evidence_since_s = None
            return 0.0
        now_s = time.monotonic()
        if self.without_evidence_since_s is None:
            self.without_evidence_since_s = now_s
        return now_s - self.without_evidence_since_s

    async def _request_restart(
        self, restart: RollingRestart, upstream: UpstreamRestart, view: FleetView
    ) -> None:
        """Asks an upstream's admin API to restart it.

        That API checks no token: so the lease is checked just before the request is sent, and the
        request's name makes a second one have no effect.
        """
        name = restart_name(restart, upstream)
        listed = view.upstreams.get(upstream.number)
        now_s = time.monotonic()
        requested_s = self.requested_s.get(name, -RESTART_REQUEST_INTERVAL_S)
        if listed is None or now_s - requested_s < RESTART_REQUEST_INTERVAL_S:
            return
        self.requested_s[name] = now_s
        try:
            error = await upstream_admin.request_restart(
                self.address_map.dialed_address(listed.address),
                restart.restart_path,
                name,
                lambda: self.owner.token() == upstream.request_token,
            )
        except (OSError, TimeoutError) as failure:
            error = f"not reached: {str(failure) or 'timed out'}"
        if error:
            log.warning(
                "restart request failed: id=%s upstream=%s error=%s",
                restart.id,
                upstream.name,
                error,
            )

    async def _write(self, step: Step, observation: Observation) -> None:
        restart_row, disabled_row = observation.restart_row, observation.disabled_row
        operations = [Op(self.keys.restart, msgspec.json.encode(step.restart), restart_row.version)]
        checks = []
        if step.disabled is not None:
            names = msgspec.json.encode(sorted(step.disabled))
            operations.append(Op(self.keys.disabled, names, disabled_row.version))
        else:
            checks.append((self.keys.disabled, disabled_row.version))
        await self.owner.write(
            operations, WriteOptions(checks=checks, note=step.summary[:MAX_NOTE_LENGTH])
        )


class BalancerReporter:
    """Writes a balancer's reports while a rolling restart is under way."""

    def __init__(
        self,
        driver: Driver,
        disabled: DisabledUpstreams,
        name_lease: LeaseClient,
        identity: BalancerIdentity,
    ) -> None:
        self.driver = driver
        self.disabled = disabled
        self.name_lease = name_lease
        self.keys = RollingRestartKeys(identity.service)
        self.key = self.keys.reports + identity.balancer
        self.disabled_version = 0  # of the set in force on this balancer
        self.is_active = False
        self.sequence = 0
        self.changed = asyncio.Event()
        self.has_report = False  # a report of this process stands in the store
        balancer_count = driver.settings.instance_count
        self.interval_s = min(
            MAX_REPORT_INTERVAL_S,
            max(MIN_REPORT_INTERVAL_S, REPORT_INTERVAL_PER_BALANCER_S * balancer_count),
        )

    def set_disabled_version(self, version: int) -> None:
        """Notes which version of the disabled set is in force here."""
        self.disabled_version = version
        self.changed.set()

    async def on_restart_changed(self, value: bytes | None, version: int) -> None:
        """Handles a change of the rolling restart's document."""
        restart = decode_row(Row(self.keys.restart, value, version, 0), RollingRestart)
        self.is_active = restart is not None and restart.state is not State.ENDED
        self.changed.set()

    def busy_upstreams(self) -> tuple[str, ...]:
        """Returns the disabled upstreams that still have attempts of this balancer."""
        names = {number_of(name): name for name in self.disabled.names}
        busy = {
            names[attempt.upstream.id]
            for request in self.driver.balancer.requests.values()
            for attempt in request.attempts
            if attempt.result is None and attempt.upstream.id in names
        }
        return tuple(sorted(busy))

    async def run(self) -> None:
        """Reports each change, and again after each interval.

        Raises:
            StoreError: The store did not serve a write.
        """
        reported: tuple[int, tuple[str, ...]] | None = None
        reported_s = 0.0
        while True:
            current = self.disabled_version, self.busy_upstreams()
            is_due = current != reported or time.monotonic() - reported_s >= self.interval_s
            if self.is_active and is_due and self.name_lease.token():
                report = self._next_report(*current)
                with suppress(NotLeaseHolderError):
                    await self.name_lease.write([Op(self.key, msgspec.json.encode(report))])
                    reported = current
                    reported_s = time.monotonic()
                    self.has_report = True
            self.changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(STEP_INTERVAL_S if self.is_active else IDLE_INTERVAL_S):
                    await self.changed.wait()

    def _next_report(self, disabled_version: int, busy: tuple[str, ...]) -> BalancerReport:
        self.sequence += 1
        rate = self.driver.balancer.rate_controller
        served = min(rate.served_per_s, rate.finished_per_s)
        return BalancerReport(
            disabled_version, busy, round(rate.finished_per_s, 2), round(served, 2), self.sequence
        )

    async def remove(self) -> None:
        """Deletes the report: no attempt of this balancer is in flight any more.

        Raises:
            StoreError: The store did not serve the write.
        """
        if self.has_report and self.name_lease.token():
            with suppress(NotLeaseHolderError):
                await self.name_lease.write(
                    [Op(self.key, None)], WriteOptions(timeout_s=REMOVE_TIMEOUT_S)
                )
