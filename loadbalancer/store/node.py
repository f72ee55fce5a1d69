"""A running member of the cluster: drives the replica with threads, timers and connections.

Events of one event-loop iteration are batched: a single callback processes them together.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import ssl
import time
from collections.abc import Callable, Sequence
from typing import Final, TypeVar

from loadbalancer.store.administration import Administration
from loadbalancer.store.change_notifier import ChangeNotifier
from loadbalancer.store.changefeed_server import ChangefeedServer
from loadbalancer.store.commands import ROWS_FORMAT, Result, pack
from loadbalancer.store.directory_lock import lock_directory
from loadbalancer.store.durable.files import Folder
from loadbalancer.store.durable.journal import Journal
from loadbalancer.store.durable.state import State
from loadbalancer.store.durable.state_directory import DiskStateDirectory
from loadbalancer.store.housekeeping import Housekeeper, nodes_below_format
from loadbalancer.store.link import LinkOptions, MemberLinks
from loadbalancer.store.log_writer import LogWriter
from loadbalancer.store.node_runtime import NodeRuntime
from loadbalancer.store.node_status import StatusSource
from loadbalancer.store.pending_requests import PendingRequests
from loadbalancer.store.raft.errors import BusyError, NotLeaderError
from loadbalancer.store.raft.messages import AnyMessage, Entry, InstallSnapshotChunk
from loadbalancer.store.raft.state import Role
from loadbalancer.store.replica import CoreOptions, Identity, Replica, Storage, read_identity
from loadbalancer.store.settings import StoreSettings
from loadbalancer.store.state_worker import StateWorker
from loadbalancer.store.status import NodeStatus
from loadbalancer.store.timer import WakeTimer
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import Administer, Hello

log = logging.getLogger(__name__)

T = TypeVar("T")

MAX_TIMER_LATENESS_S: Final = 0.25  # a timer that fires later is counted and logged
RNG_SEED_BYTES: Final = 8


class Node:
    """A member of the cluster; `open` creates it from its folder.

    Attributes:
        settings: The node's settings.
        identity: The node's number, name and cluster.
        runtime: The node's threads and tasks, and the reason if it failed.
        core: The consensus core.
        links: Connections to the other members.
        pending: Writes and reads in flight.
        notifier: Notifies watches of changed keys.
        changefeed: The change feed.
        tls: The TLS context for connections to other members.
    """

    def __init__(
        self, settings: StoreSettings, identity: Identity, replica: Replica, lock: int
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.core = replica.core
        self.pending = PendingRequests(replica.core)
        self.runtime = NodeRuntime(replica, self._run, self.pending.fail_all)
        self.tls: ssl.SSLContext | None = settings.tls.context(False) if settings.tls else None
        self.links = MemberLinks(identity.node, lambda: self.core.members, self._link_options())
        self.notifier = ChangeNotifier()
        self.changefeed = ChangefeedServer(identity.cluster, self.runtime, settings.changefeed)
        self._lock = lock
        self._log_writer = LogWriter(self.runtime, self._snapshot_installed)
        self._state_worker = StateWorker(self.runtime, self._entries_applied)
        self._administration = Administration(self.runtime, self._state_worker, self.links.update)
        self._status = StatusSource(identity, self.runtime, self.links, self.pending)
        self._housekeeper = Housekeeper()
        self._timer = WakeTimer(self._timer_fired)
        self._leader_known_s = time.monotonic()
        self._logged_leadership = (0, 0)  # term and leader

    def _link_options(self) -> LinkOptions:
        hello = Hello(
            protocol.PROTOCOL_VERSION,
            self.identity.cluster,
            self.identity.node,
            self.settings.advertise,
            self.identity.name,
        )
        return LinkOptions(
            hello,
            lambda: self.tls,
            lambda: self.runtime.replica.state.format,
            self.settings.address_map,
        )

    @classmethod
    def open(cls, settings: StoreSettings) -> Node:
        """Open the node that is stored in a folder.

        Raises:
            DamagedError: The folder's content is not valid.
            MalformedError: The folder can't be used.
        """
        lock = lock_directory(settings.folder)
        try:
            files = Folder(settings.folder)
            identity = read_identity(files)
            journal = Journal(files, identity.cluster, identity.node)
            rng = random.Random(os.urandom(RNG_SEED_BYTES))
            replica = Replica.open(
                identity,
                Storage(journal, DiskStateDirectory(settings.folder)),
                CoreOptions(settings.config, time.monotonic_ns(), rng),
                settings.log_limits,
            )
        except BaseException:
            os.close(lock)
            raise
        return cls(settings, identity, replica, lock)

    @property
    def replica(self) -> Replica:
        """The replica that this node drives."""
        return self.runtime.replica

    @property
    def failed(self) -> asyncio.Future[str]:
        """Complete with the reason when the node fails, or empty after a graceful shutdown."""
        return self.runtime.failed

    def start(self) -> None:
        """Start to participate in the cluster."""
        self.changefeed.start()
        self.runtime.wake()

    # ---- one iteration ---------------------------------------------------------------------------

    def message_received(self, sender: int, message: AnyMessage) -> None:
        """Handle a member's message."""
        self.core.step(sender, message)
        self.runtime.wake()

    def _run(self) -> None:
        # Advance the core's clock first. If this event loop was late, the core limits the jump, so
        # that the delay does not count as missed heartbeats of the leader.
        self.core.tick(time.monotonic_ns())
        self._send_and_persist()
        self._state_worker.apply_committed()
        self.pending.reads_confirmed(self.core.take_confirmed_reads())
        self.pending.expire_reads()
        self._check_leadership()
        self._propose_housekeeping()
        self.changefeed.leader_checked(self.leaderless_ms())
        self._state_worker.export_if_needed()
        self._state_worker.flush_if_due()
        self._schedule_timer()

    def _send_and_persist(self) -> None:
        while True:
            self.links.send(self.core.take_messages())
            self._send_snapshot_chunks()
            batch = self.core.take_batch()
            if batch is None:
                return
            if batch.needs_disk:
                self._log_writer.start(batch)
                return
            self.core.batch_persisted(batch)

    def _send_snapshot_chunks(self) -> None:
        chunk_bytes = self.settings.config.snapshot_chunk_bytes
        for node, meta, offset, round_number in self.core.take_chunk_requests():
            data = self.replica.state_directory.read_chunk(meta, offset, chunk_bytes)
            if data is None:
                self.core.snapshot_lost()
                return
            self.links.send(
                [(node, InstallSnapshotChunk(self.core.term, meta, offset, data, round_number))]
            )

    def _schedule_timer(self) -> None:
        wake_ns = min(self.core.wake_ns, self._housekeeper.wake_ns or self.core.wake_ns)
        self._timer.schedule(wake_ns, time.monotonic_ns())

    def _timer_fired(self) -> None:
        late_s = self._timer.lateness_s()
        if late_s > MAX_TIMER_LATENESS_S:
            self.runtime.statistics.late_timers += 1
            log.warning("store event loop is late: late_ms=%.0f", late_s * 1000)
        self.runtime.wake()

    # ---- leadership ------------------------------------------------------------------------------

    def _check_leadership(self) -> None:
        core = self.core
        if core.leader_id:
            self._leader_known_s = time.monotonic()
        if (core.term, core.leader_id) == self._logged_leadership:
            return
        if core.leader_id:
            log.info("leader elected: term=%d node=%x", core.term, core.leader_id)
        self._logged_leadership = (core.term, core.leader_id)
        ended_term = core.term if core.role is not Role.LEADER else core.term - 1
        self.pending.leadership_ended(ended_term)
        self.links.update()

    def _propose_housekeeping(self) -> None:
        core = self.core
        if core.role is not Role.LEADER:
            self._housekeeper.leadership_lost()
            return
        state = self.replica.state
        now_ns = time.monotonic_ns()
        if self._housekeeper.term != core.term:
            if self.runtime.state_lock.locked():
                return  # the task that holds the lock wakes this node when it ends
            self._housekeeper.leadership_gained(core.term, state, now_ns)
        commands = self._housekeeper.proposals(state.format, self.links.formats(), now_ns)
        if not commands:
            return
        try:
            core.propose([pack(command) for command in commands])
        except (BusyError, NotLeaderError):
            return  # the commands are proposed again later
        self.runtime.wake()

    def leaderless_ms(self) -> int:
        """Return the time since a leader was last known; 0 if a leader is known."""
        if self.core.leader_id:
            return 0
        return max(1, int((time.monotonic() - self._leader_known_s) * 1000))

    def format_pending_reason(self, required_format: int) -> str:
        """Return why commands that need this state format can't be applied yet."""
        nodes = nodes_below_format(self.links.formats(), required_format)
        if not nodes:
            return "the state is being upgraded"
        feature = "rows" if required_format >= ROWS_FORMAT else "leases"
        names = ", ".join(f"{node:x}" for node in nodes)
        return f"not all nodes know {feature} yet: {names}"

    # ---- the state -------------------------------------------------------------------------------

    def _entries_applied(self, entries: Sequence[Entry], results: Sequence[Result]) -> None:
        state = self.replica.state
        self.pending.entries_applied(entries, results)
        self.core.mark_applied(entries[-1].index)
        self._housekeeper.claims_applied(state.take_changed_claims(), time.monotonic_ns())
        self.changefeed.entries_applied(entries[-1].index, state.take_row_events())
        self.notifier.notify(state.take_changed_keys())

    def _snapshot_installed(self) -> None:
        self.changefeed.snapshot_installed()
        self.notifier.notify_all()

    # ---- requests of clients ---------------------------------------------------------------------

    async def query(self, read: Callable[[State], T]) -> T:
        """Read from the state that this node has applied.

        Raises:
            DeadlineExceededError: The node is shutting down.
        """
        return await self.runtime.query(read)

    def propose(self, command: bytes) -> asyncio.Future[Result]:
        """Propose an encoded command; the future may raise OutcomeUnknownError.

        Raises:
            BusyError: Too many requests are in flight.
            NotLeaderError: This node is not the leader.
        """
        self._require_running()
        future = self.pending.propose(command)
        self.runtime.wake()
        return future

    def confirm_read(self) -> asyncio.Future[None]:
        """Request a linearizable read.

        The future completes when the state of this node includes every write that was acknowledged
        before the call. It may raise DeadlineExceededError.

        Raises:
            BusyError: Too many requests are in flight.
            NotLeaderError: No leader is known.
        """
        self._require_running()
        future = self.pending.read()
        self.runtime.wake()
        return future

    def _require_running(self) -> None:
        if self.runtime.has_failed:
            raise NotLeaderError(0)

    async def administer(self, request: Administer) -> str:
        """Execute an administrative request; see `Administration.execute`."""
        return await self._administration.execute(request)

    def status(self) -> NodeStatus:
        """Return the node's status."""
        return self._status.node_status(self.leaderless_ms(), self.changefeed.status())

    async def close(self) -> None:
        """Stop the node; acknowledged writes are already on disk."""
        self._timer.cancel()
        self.changefeed.close()
        if not self.failed.done():
            self.failed.set_result("")
        self.pending.fail_all()
        self.links.close()
        await self.runtime.close()
        self.replica.close()
        os.close(self._lock)
