"""Reads the inputs of site failover from the store."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from loadbalancer.daemon import documents, site_config
from loadbalancer.daemon.endpoint_rows import EndpointListReader
from loadbalancer.daemon.observation import RowAges, read_live_balancers
from loadbalancer.daemon.persisted import SavedEndpointList, decode_row
from loadbalancer.daemon.site_documents import SiteKeys, SitePlanDocument
from loadbalancer.failover.controller import FleetSnapshot, StartingUpstream
from loadbalancer.failover.fleet_model import Fleet, SiteCapacity
from loadbalancer.failover.site_reports import ReceivedReport, SiteReport
from loadbalancer.failover.traffic_shares import build_fleet
from loadbalancer.policy import api
from loadbalancer.store.client import Client
from loadbalancer.store.documents import key as document_key
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import StartTimes

MAX_LIST_AGE_S = 12.0
LIST_AGE_KEY = "list"
NS_PER_S = 1e9
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class SiteObservation:
    """The state decoded from one read."""

    plan_row: Row
    plan: SitePlanDocument
    snapshot: FleetSnapshot
    sites: tuple[str, ...]

    @property
    def fleet(self) -> Fleet:
        """The fleet according to the current reports, without smoothing."""
        snapshot = self.snapshot
        fresh = {name: report for name, report in snapshot.reports.items() if report.is_fresh}
        return build_fleet(snapshot.sites.values(), snapshot.class_values, snapshot.quotas, fresh)


class SiteReader:
    """Reads the store repeatedly, and keeps the state that results from a series of reads.

    Args:
        client: Client of the store.
        service: The service's name.
        settings: A balancer's settings; None: the reader is an observer without settings.
        usual_counts: Highest number of ready upstreams so far by site; updated in place.
    """

    def __init__(
        self,
        client: Client,
        service: str,
        settings: api.Settings | None = None,
        usual_counts: dict[str, int] | None = None,
    ) -> None:
        self.client = client
        self.service = service
        self.settings = settings
        self.usual_counts: dict[str, int] = {} if usual_counts is None else usual_counts
        self.keys = SiteKeys(service)
        self.document = f"{site_config.DOCUMENT}/{service}"
        self.ages = RowAges()
        self.list_reader = EndpointListReader(client, service)
        self.starts = StartTimes()

    async def read(self) -> SiteObservation:
        """Read all rows.

        Raises:
            StoreError: The store did not serve a read.
            MalformedError: The operators' description of the sites is not valid.
        """
        response = await self.client.get(
            self.keys.plan,
            document_key(self.document),
            f"list/{self.service}",
            f"listed/{self.service}",
            self.list_reader.keys.list,
        )
        plan_row, sites_row, list_row, confirmation_row, position_row = response.rows
        reports, report_keys = await self._read_reports()
        sites: dict[str, SiteCapacity] = {}
        if sites_row.value is not None:
            sites = documents.read_sites(self.document, sites_row.value.decode())
        saved = await self.list_reader.read(list_row, position_row)
        list_version = confirmation_row.version + list_row.version + position_row.version
        list_age_s = self._list_age_s(saved, list_version)
        self.ages.retain({LIST_AGE_KEY, *report_keys})
        ready_counts, starting = self._count_upstreams(saved, list_age_s)
        for site, count in ready_counts.items():
            self.usual_counts[site] = max(self.usual_counts.get(site, 0), count)
        snapshot = FleetSnapshot(
            sites,
            reports,
            self._class_values(reports),
            self._tenant_quotas(sites),
            ready_counts,
            dict(self.usual_counts),
            tuple(starting),
            _success_ratio(reports.values()),
            self._find_missing_evidence(sites, reports, list_age_s),
        )
        plan = decode_row(plan_row, SitePlanDocument) or SitePlanDocument()
        return SiteObservation(plan_row, plan, snapshot, tuple(sorted(sites)))

    async def _read_reports(self) -> tuple[dict[str, ReceivedReport], set[str]]:
        """Return the reports by balancer, and the keys of all report rows."""
        scanned = await self.client.scan(self.keys.rows)
        live = await read_live_balancers(self.client, self.keys.names)
        reports: dict[str, ReceivedReport] = {}
        for row in scanned.rows:
            report = decode_row(row, SiteReport)
            if report is not None:
                balancer = row.key.removeprefix(self.keys.rows)
                age_s = self.ages.age_s(row.key, row.version)
                reports[balancer] = ReceivedReport(report, age_s, balancer in live)
        return reports, {row.key for row in scanned.rows}

    def _list_age_s(self, saved: SavedEndpointList | None, version: int) -> float:
        """Return the time since the last write or confirmation of the list; 0 for a fixed list."""
        if saved is not None and not saved.source:
            return 0.0
        return self.ages.age_s(LIST_AGE_KEY, version)

    def _count_upstreams(
        self, saved: SavedEndpointList | None, list_age_s: float
    ) -> tuple[dict[str, int], list[StartingUpstream]]:
        """Return the number of ready upstreams by site, and those with a known start time."""
        ready_counts: dict[str, int] = {}
        starting: list[StartingUpstream] = []
        now_ns = time.monotonic_ns()
        for endpoint in saved.endpoints if saved else ():
            is_ready = not endpoint.is_draining
            ready_counts[endpoint.zone] = ready_counts.get(endpoint.zone, 0) + is_ready
            if endpoint.started_s and is_ready:
                started_ns = self.starts.started_ns(
                    endpoint.id, round(endpoint.started_s * MS_PER_S), now_ns
                )
                age_s = (now_ns - started_ns) / NS_PER_S
                starting.append(StartingUpstream(endpoint.id, endpoint.zone, age_s))
        if saved is not None and list_age_s < MAX_LIST_AGE_S:
            self.starts.list_received(now_ns)
        return ready_counts, starting

    def _find_missing_evidence(
        self,
        sites: Mapping[str, SiteCapacity],
        reports: Mapping[str, ReceivedReport],
        list_age_s: float,
    ) -> str:
        if not sites:
            return f"there is no document {self.document}"
        if not any(report.is_fresh for report in reports.values()):
            return "no balancer reports"
        if list_age_s > MAX_LIST_AGE_S:
            return f"the endpoint list is {list_age_s:.0f} s old"
        return ""

    def _class_values(self, reports: Mapping[str, ReceivedReport]) -> dict[str, float]:
        if self.settings is not None:
            return {name: entry.priority_weight for name, entry in self.settings.classes.items()}
        return {load.class_name: 1.0 for report in reports.values() for load in report.report.loads}

    def _tenant_quotas(self, sites: Mapping[str, SiteCapacity]) -> dict[str, float]:
        """Return each tenant's total requests per second.

        It is the tenant's quota, or its share of the capacity if it has no quota.
        """
        if self.settings is None or not self.settings.tenants:
            return {}
        tenants = self.settings.tenants
        total_share = sum(tenant.share for tenant in tenants.values()) or 1.0
        capacity = sum(site.capacity for site in sites.values())
        return {
            name: tenant.quota_per_s or capacity * tenant.share / total_share
            for name, tenant in tenants.items()
        }


def _success_ratio(reports: Iterable[ReceivedReport]) -> float | None:
    """Return the load-weighted success ratio of the fresh reports, or None if it is unknown."""
    ratios = [
        (report.report.served_fraction, sum(load.rate for load in report.report.loads))
        for report in reports
        if report.is_fresh and report.report.served_fraction >= 0
    ]
    weight = sum(load for _, load in ratios)
    if weight <= 0:
        return None
    return sum(ratio * load for ratio, load in ratios) / weight
