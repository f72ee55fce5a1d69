"""Administrative requests: membership changes, leadership transfers and snapshots."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Final

from loadbalancer.store.errors import DeadlineExceededError, OutcomeUnknownError
from loadbalancer.store.node_runtime import NodeRuntime
from loadbalancer.store.raft.errors import BusyError
from loadbalancer.store.raft.members import MembershipChange, parse_change_kind
from loadbalancer.store.raft.state import Role
from loadbalancer.store.state_worker import StateWorker
from loadbalancer.store.wire.protocol import AdminAction, Administer

POLL_S: Final = 0.005


class Administration:
    """Executes `Administer` requests.

    Args:
        runtime: The node's threads and tasks.
        state_worker: Syncs the state after a snapshot.
        members_changed: Called after a membership change was proposed.
    """

    def __init__(
        self,
        runtime: NodeRuntime,
        state_worker: StateWorker,
        members_changed: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._state_worker = state_worker
        self._members_changed = members_changed

    async def execute(self, request: Administer) -> str:
        """Execute a request and return a one-line description of the result.

        Raises:
            BusyError: Another membership change is in progress, or the target node did not become
                the leader.
            DeadlineExceededError: The request's deadline passed.
            DiskFullError: The disk is full.
            NotLeaderError: This node is not the leader.
            OutcomeUnknownError: This node lost leadership before the change was applied.
            MembershipError: The membership change is not valid.
        """
        if request.action == AdminAction.SNAPSHOT:
            return await self._export_snapshot()
        deadline_s = time.monotonic() + request.timeout_ms / 1000
        if request.action == AdminAction.TRANSFER:
            return await self._transfer_leadership(request.node, deadline_s)
        return await self._change_members(request, deadline_s)

    async def _export_snapshot(self) -> str:
        meta = await self._runtime.on_export_thread(
            self._runtime.replica.state_directory.export_snapshot
        )
        await self._state_worker.flush()
        return f"snapshot up to entry {meta.index}, {meta.size} bytes"

    async def _transfer_leadership(self, node: int, deadline_s: float) -> str:
        core = self._runtime.core
        core.transfer_leadership(node)
        self._runtime.wake()
        while core.leader_id != node:
            await _poll(deadline_s)
            if core.role is Role.LEADER and core.transfer_target is None:
                raise BusyError(f"node {node:x} did not take over")
        return f"node {node:x} leads"

    async def _change_members(self, request: Administer, deadline_s: float) -> str:
        core = self._runtime.core
        core.require_change_possible()
        kind = parse_change_kind(request.action)
        index = core.change_membership(MembershipChange(kind, request.node, request.address))
        term = core.term
        self._runtime.wake()
        self._members_changed()
        while core.applied_index < index:
            await _poll(deadline_s)
            if core.term != term and request.action != AdminAction.REMOVE:
                raise OutcomeUnknownError("leadership was lost over it")
        return f"{request.action} {request.node:x}: done"


async def _poll(deadline_s: float) -> None:
    if time.monotonic() > deadline_s:
        raise DeadlineExceededError("its time ran out")
    await asyncio.sleep(POLL_S)
