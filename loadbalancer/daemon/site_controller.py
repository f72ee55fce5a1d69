"""Runs site failover for the fleet under a lease.

The leader reads the state, gets a plan from `loadbalancer.failover.controller` and writes one step
at a time under its fencing token.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping

import msgspec
from msgspec.structs import replace

from loadbalancer.daemon.leased_task import LeasedTask, LeaseFactory
from loadbalancer.daemon.persisted import LeaderConfirmation
from loadbalancer.daemon.site_documents import (
    LossTable,
    LossTablesDocument,
    SiteKeys,
    SitePlanDocument,
)
from loadbalancer.daemon.site_reader import SiteObservation, SiteReader
from loadbalancer.failover.controller import FailoverController
from loadbalancer.failover.fleet_model import Fleet
from loadbalancer.failover.plan import FailoverPlan, losses_over_capacity, plans_for_losses
from loadbalancer.failover.recovery import SlowStartRules, Stage
from loadbalancer.failover.shedding import SheddingController
from loadbalancer.failover.site_reports import ReceivedReport
from loadbalancer.failover.site_state import SiteState
from loadbalancer.failover.traffic_shares import (
    BalancerInputs,
    TrafficShares,
    compute_shares,
    quotas_by_balancer,
)
from loadbalancer.policy import api
from loadbalancer.settings import MalformedError
from loadbalancer.store.client import Client
from loadbalancer.store.commands import Op
from loadbalancer.store.errors import NotLeaseHolderError
from loadbalancer.wallclock import unix_s

log = logging.getLogger(__name__)

ACTIVE_INTERVAL_S = 0.3  # between two steps while a site is not in normal service
IDLE_INTERVAL_S = 0.6  # between two steps while all sites are in normal service
HEARTBEAT_INTERVAL_S = 3.5  # between two confirmations of the plan
SHARES_INTERVAL_S = 1.5  # minimum interval between writes that change traffic shares only
# Loss tables are written again after the load has changed by this fraction, and at most this often.
TABLES_LOAD_CHANGE = 0.1
TABLES_INTERVAL_S = 5.0
NS_PER_S = 1e9
NORMAL_SHARES = TrafficShares()


class SiteController(LeasedTask):
    """Plans site failover for the fleet while this process holds the lease."""

    def __init__(
        self, client: Client, lease_factory: LeaseFactory, service: str, settings: api.Settings
    ) -> None:
        super().__init__(lease_factory, "sites")
        self.client = client
        self.service = service
        self.settings = settings
        self.keys = SiteKeys(service)
        self.usual_counts: dict[str, int] = {}
        self.reset()

    def reset(self) -> None:
        """Drop all state of an earlier term, except for the usual size of each site."""
        rules = self.settings.rules
        self.reader = SiteReader(self.client, self.service, self.settings, self.usual_counts)
        self.failover = FailoverController(
            SlowStartRules(
                rules.slow_start_ns / NS_PER_S, rules.slow_start_capacity, rules.overload_multiple
            ),
            time.monotonic_ns(),
        )
        self.sequence = 0  # number of this leader's last plan
        self.heartbeat = 0  # number of this leader's last confirmation
        self.written_s = 0.0  # time of the plan's last write or confirmation
        self.idle_reason = ""  # the last logged reason
        self.is_shedding = False
        self.tables_written_s = 0.0
        self.tables_load: float | None = None
        self.logged_losses: set[frozenset[str]] = set()

    def _set_idle_reason(self, reason: str) -> None:
        """Set the reason why no plan is made, and log it if it changed."""
        if reason and reason != self.idle_reason:
            log.warning("site controller idle: reason=%s", reason)
        self.idle_reason = reason

    # ---- steps -----------------------------------------------------------------------------------

    async def step(self) -> float:
        """Read the state once and write at most one plan.

        Returns:
            Seconds until the next step.

        Raises:
            StoreError: The store did not serve a read or a write.
        """
        try:
            observation = await self.reader.read()
        except MalformedError as error:
            self._set_idle_reason(str(error))
            return IDLE_INTERVAL_S
        self._set_idle_reason(observation.snapshot.blocked_reason)
        if observation.snapshot.blocked_reason:
            return IDLE_INTERVAL_S
        if not self.sequence and observation.plan.token == self.lease.token():
            # This process may have written plans under the same token before this task started.
            self.sequence = observation.plan.sequence
        current = tuple(map(observation.plan.state_of, observation.sites))
        decision = self.failover.decide(current, observation.snapshot, time.monotonic_ns())
        _log_transitions(current, decision.states)
        await self._write_plan(observation, decision.states, decision.shares)
        await self._write_tables(observation, decision.fleet)
        all_sites_normal = all(state.is_normal for state in decision.states)
        return IDLE_INTERVAL_S if all_sites_normal else ACTIVE_INTERVAL_S

    async def _write_plan(
        self,
        observation: SiteObservation,
        states: tuple[SiteState, ...],
        planned_shares: TrafficShares,
    ) -> None:
        """Write the plan if its row still has the version that was read, or confirm the plan."""
        token = self.lease.token()
        now_s = time.monotonic()
        if not token:
            raise NotLeaseHolderError("sites")
        plan = observation.plan
        states = tuple(state for state in states if not state.is_normal or state.version)
        has_new_states = (
            states != plan.site_states or observation.sites != plan.sites or token != plan.token
        )
        is_shares_write_due = (
            now_s - self.written_s >= SHARES_INTERVAL_S or planned_shares == NORMAL_SHARES
        )
        if has_new_states or (planned_shares != plan.traffic_shares and is_shares_write_due):
            self.sequence += 1
            document = SitePlanDocument(
                token, self.sequence, observation.sites, states, planned_shares, unix_s()
            )
            version = observation.plan_row.version
            await self.lease.write([Op(self.keys.plan, msgspec.json.encode(document), version)])
            self.written_s = now_s
            self._log_load_shedding(planned_shares)
        elif now_s - self.written_s >= HEARTBEAT_INTERVAL_S:
            self.heartbeat += 1
            confirmation = LeaderConfirmation(token, self.sequence, self.heartbeat)
            await self.lease.write([Op(self.keys.confirmation, msgspec.json.encode(confirmation))])
            self.written_s = now_s

    def _log_load_shedding(self, planned_shares: TrafficShares) -> None:
        if planned_shares.excess:
            log.info(
                "site load shedding: over_quota=%.0f%% retries=%.0f%% hedging=%s classes=%s",
                100 * planned_shares.excess,
                100 * planned_shares.retries,
                "on" if planned_shares.allows_hedging else "off",
                ",".join(
                    f"{name}:{fraction:.0%}" for name, fraction in planned_shares.classes.items()
                )
                or "none",
            )
        elif self.is_shedding:
            log.info("site load shedding ended")
        self.is_shedding = bool(planned_shares.excess)

    # ---- precomputed losses ----------------------------------------------------------------------

    async def _write_tables(self, observation: SiteObservation, fleet: Fleet) -> None:
        """Compute and write the plan for each loss, while all sites are in normal service."""
        now_s = time.monotonic()
        load = sum(entry.rate for entry in fleet.loads)
        all_sites_normal = all(state.is_normal for state in observation.plan.site_states)
        is_due = self._has_load_changed(load) and now_s - self.tables_written_s >= TABLES_INTERVAL_S
        if not load or not is_due or not all_sites_normal:
            return
        # The computation runs in a thread, because it would block the event loop for too long.
        loss_plans = await asyncio.to_thread(plans_for_losses, fleet)
        self._warn_of_losses_over_capacity(loss_plans)
        reports = observation.snapshot.reports
        rows = await asyncio.to_thread(
            lambda: tuple(
                loss_table(fleet, plan, reports) for plan in loss_plans.values() if plan.lost
            )
        )
        document = LossTablesDocument(
            self.lease.token(),
            self.sequence,
            unix_s(),
            observation.sites,
            rows,
            quotas_by_balancer(reports, fleet),
        )
        await self.lease.write([Op(self.keys.tables, msgspec.json.encode(document))])
        self.tables_written_s = now_s
        self.tables_load = load

    def _has_load_changed(self, load: float) -> bool:
        previous = self.tables_load if self.tables_load is not None else -1.0
        return abs(load - previous) > TABLES_LOAD_CHANGE * max(1.0, previous)

    def _warn_of_losses_over_capacity(
        self, loss_plans: Mapping[frozenset[str], FailoverPlan]
    ) -> None:
        """Log each loss that newly exceeds the capacity of the remaining sites."""
        over_capacity = set(losses_over_capacity(loss_plans))
        for lost in sorted(over_capacity - self.logged_losses, key=sorted):
            log.warning(
                "site loss exceeds capacity: lost=%s value_left=%.0f%%",
                ",".join(sorted(lost)),
                100 * loss_plans[lost].served.fraction,
            )
        self.logged_losses = over_capacity


def _log_transitions(before: tuple[SiteState, ...], after: tuple[SiteState, ...]) -> None:
    for old, new in zip(before, after, strict=True):
        if old != new:
            log.info(
                "site transition: site=%s from=%s share=%.0f%% to=%s share=%.0f%% reason=%s",
                new.site,
                old.stage.value,
                100 * old.fraction,
                new.stage.value,
                100 * new.fraction,
                new.reason,
            )


def loss_table(
    fleet: Fleet, plan: FailoverPlan, reports: Mapping[str, ReceivedReport]
) -> LossTable:
    """Return the stored form of a plan, with the traffic shares that result from it."""
    states = [
        SiteState(site, stage=Stage.OUT, fraction=0.0) if site in plan.lost else SiteState(site)
        for site in sorted(fleet.sites)
    ]
    shares = compute_shares(fleet, states, SheddingController(0), BalancerInputs(reports, {}), 0)
    return LossTable(
        tuple(sorted(plan.lost)),
        {origin: dict(targets) for origin, targets in plan.shares.items()},
        plan.shedding.level,
        round(plan.shedding.fraction, 4),
        {site: round(ratio, 4) for site, ratio in plan.utilisation.items()},
        round(plan.served.value, 3),
        round(plan.served.normal_value, 3),
        replace(shares, quotas={}),
    )
