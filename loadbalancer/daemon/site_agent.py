"""A balancer's part in site failover: it reports evidence and follows the leader's plan.

`loadbalancer.failover.observer` makes the decisions; this module connects it to the driver and to
the store (`site_documents`).
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Sequence
from functools import partial

import msgspec
from msgspec.structs import replace

from loadbalancer.daemon.endpoint_follower import log_stale_message
from loadbalancer.daemon.identity import BalancerIdentity
from loadbalancer.daemon.leased_row import LeasedRow
from loadbalancer.daemon.persisted import LeaderConfirmation, decode_row
from loadbalancer.daemon.site_documents import LossTablesDocument, SiteKeys, SitePlanDocument
from loadbalancer.failover.health import PeerReport
from loadbalancer.failover.observer import SiteObserver
from loadbalancer.failover.site_reports import SiteReport
from loadbalancer.failover.site_state import DesiredState
from loadbalancer.leases.fence import FencedReceiver, FencingPosition
from loadbalancer.policy import api
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream_response import LoadReport
from loadbalancer.store.client import Client
from loadbalancer.store.lease_client import LeaseClient, boot_clock_ns
from loadbalancer.store.wire.protocol import Row

log = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.25
REPORT_JITTER = (0.5, 1.0)
MAX_RENEWAL_FAILURES = 2  # after this many failures in a row, the store counts as unavailable


class SiteAgent:
    """Runs concurrently with a driver and never blocks it."""

    def __init__(
        self,
        driver: Driver,
        client: Client,
        name_lease: LeaseClient,
        identity: BalancerIdentity,
        rng: random.Random,
    ) -> None:
        settings = driver.settings
        self.driver = driver
        self.client = client
        self.name_lease = name_lease
        self.balancer = identity.balancer
        self.keys = SiteKeys(identity.service)
        self.row = LeasedRow(name_lease, self.keys.rows + identity.balancer)
        self.observer = SiteObserver(
            settings.zone, identity.balancer, settings.instance_count, rng, boot_clock_ns()
        )
        self.receiver = FencedReceiver(FencingPosition())
        self.plan = SitePlanDocument()
        self.heartbeat = 0
        self.is_following_plan = False
        driver.event_listener = self._on_events

    # ---- observation -----------------------------------------------------------------------------

    def _on_events(self, now: int, events: Sequence[api.Event]) -> None:  # noqa: ARG002 (Driver.event_listener)
        """Pass the policy's events to the observer.

        It never raises an exception, so that the balancer continues to run without the agent.
        """
        try:
            for event in events:
                if type(event) is api.RequestArrived:
                    self.observer.on_request(event)
                elif type(event) is api.AttemptFinished:
                    self._on_attempt_finished(event)
        except Exception:
            log.exception("site agent failed")

    def _on_attempt_finished(self, event: api.AttemptFinished) -> None:
        request = self.driver.requests.get(event.request)
        if request is None:
            return
        request_class = self.driver.settings.classes[request.arrival.class_name]
        usual_ns = self.driver.balancer.concurrency.service_times.get(request_class.name, 0.0)
        self.observer.on_attempt(
            event, request_class.latency_objective_ns, usual_ns, boot_clock_ns()
        )

    async def observe(self) -> None:
        """Evaluate the evidence, health-check unused sites and post a traffic plan."""
        while True:
            self._step()
            await asyncio.sleep(STEP_INTERVAL_S)

    def _step(self) -> None:
        now = boot_clock_ns()
        self._update_upstreams(now)
        is_store_available = self.name_lease.holder.failures < MAX_RENEWAL_FAILURES
        step = self.observer.update(now, is_store_available)
        for site, verdict in step.changes:
            log.info(
                "site verdict changed: site=%s state=%s reason=%s",
                site,
                verdict.health.value,
                verdict.reason,
            )
        for number in step.health_checks:
            self.driver.upstreams.check_health(number, partial(self._on_probe_finished, number))
        if step.plan is not None:
            self.driver.post(step.plan)
        is_following_plan = self.observer.follows_shares(now)
        if (
            is_following_plan is not self.is_following_plan
            and self.observer.confirmed_ns is not None
        ):
            log.info(
                "site plan of the leader followed"
                if is_following_plan
                else "site plan of the leader old or for other sites, using local evidence"
            )
        self.is_following_plan = is_following_plan

    def _update_upstreams(self, now: int) -> None:
        sites = {
            number: target.endpoint.entry.zone
            for number, target in self.driver.upstreams.targets.items()
            if target.endpoint.entry.state is api.UpstreamState.READY and target.endpoint.entry.zone
        }
        if sites.keys() != self.observer.evidence.upstreams.keys():
            self.observer.evidence.update_upstreams(sites, now)

    def _on_probe_finished(
        self, number: int, result: api.AttemptResult, _report: LoadReport
    ) -> None:
        self.observer.on_health_check(number, result, boot_clock_ns())

    async def report(self) -> None:
        """Write each report that is due.

        Raises:
            StoreError: The store did not serve a write.
        """
        while True:
            if self.observer.is_report_due(boot_clock_ns()) and self.row.is_writable:
                report = self.observer.take_report(
                    self.driver.balancer.concurrency.service_times, boot_clock_ns()
                )
                await self.row.write(msgspec.json.encode(report))
            await asyncio.sleep(STEP_INTERVAL_S * self.observer.rng.uniform(*REPORT_JITTER))

    # ---- the leader's plan -----------------------------------------------------------------------

    async def follow(self) -> None:
        """Receive the committed plan first, then each later change.

        Raises:
            StoreError: The store did not serve a read or the watch.
        """
        response = await self.client.get(self.keys.plan, self.keys.confirmation, self.keys.tables)
        plan_row, _, tables_row = response.rows
        plan = decode_row(plan_row, SitePlanDocument)
        self.receiver.learn(
            FencingPosition(plan.token, plan.sequence) if plan else FencingPosition()
        )
        self._receive_plan(plan_row)
        self._receive_tables(tables_row)
        async for event in self.client.watch(self.keys.prefix, response.revision):
            for change in event.changes:
                self._receive(Row(change.key, change.value, change.version, change.revision))

    def _receive(self, row: Row) -> None:
        if row.key == self.keys.plan:
            self._receive_plan(row)
        elif row.key == self.keys.confirmation:
            self._receive_confirmation(row)
        elif row.key == self.keys.tables:
            self._receive_tables(row)
        elif row.key.startswith(self.keys.rows):
            self._receive_report(row)

    def _receive_plan(self, row: Row) -> None:
        plan = decode_row(row, SitePlanDocument)
        if plan is None:
            return
        position = FencingPosition(plan.token, plan.sequence)
        if not self.receiver.accept(position):
            log_stale_message(row.key, position, self.receiver)
            return
        for state in plan.site_states:
            if self.plan.state_of(state.site).version != state.version:
                log.info(
                    "site state changed: site=%s stage=%s share=%.0f%% reason=%s",
                    state.site,
                    state.stage.value,
                    100 * state.fraction,
                    state.reason,
                )
        self.plan = plan
        drained = {
            state.site: state.operator
            for state in plan.site_states
            if state.desired is not DesiredState.ACTIVE and state.fraction <= 0
        }
        self.observer.set_shares(
            plan.traffic_shares, frozenset(plan.sites), drained, boot_clock_ns()
        )

    def _receive_confirmation(self, row: Row) -> None:
        confirmation = decode_row(row, LeaderConfirmation)
        if confirmation is None:
            return
        position = FencingPosition(confirmation.token, confirmation.sequence)
        if position == self.receiver.highest and confirmation.heartbeat != self.heartbeat:
            self.observer.confirm_shares(boot_clock_ns())
        self.heartbeat = confirmation.heartbeat

    def _receive_tables(self, row: Row) -> None:
        document = decode_row(row, LossTablesDocument)
        if document is None or FencingPosition(document.token).is_before(
            FencingPosition(self.receiver.highest.token)
        ):
            return
        self.observer.loss_shares = {
            frozenset(table.lost): replace(table.traffic_shares, quotas=document.quotas)
            for table in document.tables
        }
        self.observer.loss_shares_sites = frozenset(document.sites)

    def _receive_report(self, row: Row) -> None:
        balancer = row.key.removeprefix(self.keys.rows)
        report = decode_row(row, SiteReport)
        evidence = self.observer.evidence
        if report is None or balancer == self.balancer or report.is_isolated:
            evidence.peer_reports.pop(balancer, None)
            return
        peer_report = PeerReport(report.site, frozenset(report.answering), frozenset(report.silent))
        evidence.add_peer_report(balancer, peer_report, 0, boot_clock_ns())
