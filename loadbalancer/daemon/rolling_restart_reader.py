"""Reads the state of a rolling restart and of the fleet from the store."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from loadbalancer.daemon.endpoint_rows import EndpointListReader
from loadbalancer.daemon.observation import NEVER_AGE_S, RowAges, read_live_balancers
from loadbalancer.daemon.persisted import SavedEndpointList, decode_row
from loadbalancer.daemon.rolling_restart_state import (
    NO_REPORT,
    BalancerReport,
    FleetView,
    ObservedReport,
    Phase,
    RollingRestart,
    UpstreamRestart,
    UpstreamStatus,
)
from loadbalancer.store.client import Client
from loadbalancer.store.commands import LEASE_PREFIX
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import unix_ms

PHASES = list(Phase)


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
    """The rows of one read, and the state decoded from them."""

    restart_row: Row
    disabled_row: Row
    restart: RollingRestart | None
    view: FleetView


class RollingRestartReader:
    """Reads the state of a rolling restart and of the fleet.

    Args:
        client: Client of the store.
        service: The service's name.
        linearizable: Whether reads must be linearizable; an observer that writes nothing can use
            stale reads.
    """

    def __init__(self, client: Client, service: str, linearizable: bool = True) -> None:
        self.client = client
        self.keys = RollingRestartKeys(service)
        self.stale = not linearizable
        self.ages = RowAges()
        self.list_reader = EndpointListReader(client, service)

    async def read(self) -> Observation:
        """Read all rows.

        Raises:
            StoreError: The store did not serve a read.
        """
        keys = self.keys
        response = await self.client.get(
            keys.restart,
            keys.disabled,
            keys.list,
            keys.confirmation,
            self.list_reader.keys.list,
            stale=self.stale,
        )
        restart_row, disabled_row, list_row, confirmation_row, position_row = response.rows
        restart = decode_row(restart_row, RollingRestart)
        reports = await self._read_reports()
        saved = await self.list_reader.read(list_row, position_row, self.stale)
        list_version = confirmation_row.version + list_row.version + position_row.version
        view = FleetView(
            now_ms=unix_ms(),
            disabled=_disabled_names(disabled_row),
            disabled_version=disabled_row.version,
            balancers=reports,
            upstreams=_upstream_statuses(saved),
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
        for name in live - observed.keys():  # holds its name lease, but has not reported yet
            age_s = self.ages.age_s(self.keys.reports + name, 0)
            observed[name] = ObservedReport(NO_REPORT, age_s, True)
        return observed

    def _list_age_s(self, saved: SavedEndpointList | None, version: int) -> float:
        """Return the time since the last write or confirmation of the list; 0 for a fixed list."""
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


def _upstream_statuses(saved: SavedEndpointList | None) -> dict[int, UpstreamStatus]:
    if saved is None:
        return {}
    return {
        endpoint.id: UpstreamStatus(
            endpoint.zone,
            endpoint.started_s,
            not endpoint.is_draining,
            (endpoint.host, endpoint.port),
        )
        for endpoint in saved.endpoints
    }
