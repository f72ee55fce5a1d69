"""Runs a rolling restart under a lease.

The leader reads the state, gets the next step from `rolling_restart` and writes it, one step at a
time.

    roll/SERVICE               the document; operators start, pause and abort it, and the leader
                               writes the steps
    report/SERVICE/BALANCER    a balancer's attempts in flight during a rolling restart; deleted
                               at a graceful shutdown
"""

from __future__ import annotations

import logging
import time

import msgspec

from loadbalancer.daemon import upstream_admin
from loadbalancer.daemon.address_map import AddressMap
from loadbalancer.daemon.leased_task import LeasedTask, LeaseFactory
from loadbalancer.daemon.rolling_restart import (
    announce_requests,
    find_missing_evidence,
    next_step,
    pending_requests,
    restart_name,
)
from loadbalancer.daemon.rolling_restart_reader import (
    Observation,
    RollingRestartKeys,
    RollingRestartReader,
)
from loadbalancer.daemon.rolling_restart_state import (
    FleetView,
    RollingRestart,
    State,
    Step,
    UpstreamRestart,
)
from loadbalancer.store.client import Client
from loadbalancer.store.commands import Op
from loadbalancer.store.write_session import WriteOptions

log = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.5
IDLE_INTERVAL_S = 2.0  # while there is no rolling restart
RESTART_REQUEST_INTERVAL_S = 5.0  # between requests, until the upstream's restart is observed
MAX_NOTE_LENGTH = 200


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
        """Drop all state of an earlier term."""
        self.reader = RollingRestartReader(self.client, self.service)
        self.without_evidence_since_s: float | None = None
        self.acquired_s = time.monotonic()
        self.requested_s: dict[str, float] = {}  # idempotency key -> time of the last request

    async def step(self) -> float:
        """Read the state once and write at most one step.

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
        token = self.lease.token()
        if step is None:
            lease_held_s = time.monotonic() - self.acquired_s
            step = announce_requests(restart, token, lease_held_s, self.lease.ttl_s)
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
        """Send a restart request to an upstream's admin API.

        The admin API checks no fencing token. So the lease is checked just before the request is
        sent, and its idempotency key makes a second request have no effect.
        """
        name = restart_name(restart, upstream)
        status = view.upstreams.get(upstream.number)
        now_s = time.monotonic()
        requested_s = self.requested_s.get(name, -RESTART_REQUEST_INTERVAL_S)
        if status is None or now_s - requested_s < RESTART_REQUEST_INTERVAL_S:
            return
        self.requested_s[name] = now_s
        try:
            error = await upstream_admin.request_restart(
                self.address_map.dialed_address(status.address),
                restart.restart_path,
                name,
                lambda: self.lease.token() == upstream.request_token,
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
        await self.lease.write(
            operations, WriteOptions(checks=checks, note=step.summary[:MAX_NOTE_LENGTH])
        )
