"""A cluster of replicas in virtual time: clocks, a network and disks that fail, clients that judge.
The consensus, log and state are the real ones; one seed decides all else.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from loadbalancer.store import commands, replica
from loadbalancer.store.commands import AnyCommand, Result
from loadbalancer.store.durable.errors import DamagedError, DiskFullError, SyncFailedError
from loadbalancer.store.durable.journal import Journal
from loadbalancer.store.durable.rows import WatchEvent
from loadbalancer.store.durable.state import State
from loadbalancer.store.housekeeping import Housekeeper
from loadbalancer.store.raft.config import RaftConfig
from loadbalancer.store.raft.errors import BusyError, MembershipError, NotLeaderError
from loadbalancer.store.raft.members import MembershipChange
from loadbalancer.store.raft.messages import (
    AnyMessage,
    EntryKind,
    InstallSnapshotChunk,
    Members,
    pack,
    unpack_message,
)
from loadbalancer.store.raft.node import RaftNode
from loadbalancer.store.raft.ready import Batch
from loadbalancer.store.raft.state import Role
from loadbalancer.store.replica import CoreOptions, Identity, LogLimits, Replica, Storage
from loadbalancer.testbed.cluster.checks import Broken, Checks
from loadbalancer.testbed.cluster.disk import Disk, MemoryStateDirectory, PowerLost

MS = 1_000_000
SECOND = 1000 * MS
CONFIG = RaftConfig(
    heartbeat_interval_ns=50 * MS,
    election_timeout_ns=200 * MS,
    max_append_bytes=2_000,
    max_in_flight_appends=8,
    snapshot_chunk_bytes=16 << 10,
    max_uncommitted_bytes=64 << 10,
    slow_disk_timeout_ns=600 * MS,
    max_promotion_lag=50,
)
BOUNDARIES = LogLimits(retained_entries=20, max_entries=60, max_bytes=1 << 20)
SEGMENT = 6_000
Answer = Callable[[str, Any], None]  # how it ended, and a Result, a reading or the leader


@dataclass(slots=True)
class Network:
    """Delays in ns; parts of messages that are lost and doubled; pairs that can't speak."""

    delay: tuple[int, int] = (MS // 2, 3 * MS)
    slow: tuple[int, int] = (20 * MS, 400 * MS)  # a part of messages takes so long
    slow_part: float = 0.01
    loss: float = 0.0
    doubled: float = 0.0
    cut: set[tuple[int, int]] = field(default_factory=set)  # from, to


@dataclass(eq=False)
class Node:
    id: int
    disk: Disk
    state_directory: MemoryStateDirectory
    rng: random.Random
    replica: Replica | None = None  # None: it is down
    epoch: int = 0  # of its life: what was meant for an earlier one is dropped
    skew: int = 0
    rate: float = 1.0
    disk_ns: tuple[int, int] = (MS // 2, 4 * MS)
    applying: bool = False
    exporting: bool = False
    due: int = 0  # its next tick, as scheduled
    waiting: dict[int, tuple[int, Answer]] = field(
        default_factory=dict
    )  # index: term, whom to answer
    reads: dict[int, tuple[int, Callable[[], Any], Answer]] = field(default_factory=dict)
    tickets: int = 0
    housekeeper: Housekeeper = field(default_factory=Housekeeper)
    format: int = commands.STATE_FORMAT  # the newest that its program knows
    dead: str = ""  # why it will not come back
    fuse: int = -1  # boundaries until its power goes


class Cluster:
    def __init__(
        self, seed: int, size: int, make: type[RaftNode] = RaftNode, config: RaftConfig = CONFIG
    ) -> None:
        self.seed = seed
        self.config = config
        self.rng = random.Random(f"{seed}/cluster")
        self.now = 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.network = Network()
        self.leases = (
            False  # a leader proposes what it does by itself: the state's next format, and lapses
        )
        # What a node applied, and which rows it said were changed by it.
        self.fed: Callable[[Node, State, list[WatchEvent]], None] = lambda node, state, events: None
        self.checks = Checks()
        self.nodes: dict[int, Node] = {}
        self.make = make
        self.counts: Counter[str] = Counter()
        self.log: list[str] = []
        ids = list(range(1, size + 1))
        self.founders = Members(tuple(ids), (), {i: str(i) for i in ids})
        self.last_id = size
        for i in ids:
            self.add_node(i, self.founders)

    # ---- time ------------------------------------------------------------------------------------

    def at(self, delay: int, act: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.heap, (self.now + max(0, delay), self.order, act))

    def run(self, until: int, stop: Callable[[], bool] = lambda: False) -> None:
        while self.heap and self.heap[0][0] <= until and not stop():
            self.now, _, act = heapq.heappop(self.heap)
            act()
        if not stop():
            self.now = until

    def between(self, span: tuple[int, int]) -> int:
        return self.rng.randint(*span)

    # ---- nodes -----------------------------------------------------------------------------------

    def add_node(self, number: int, members: Members) -> Node:
        """A fresh folder; a newcomer's `members` are empty until it hears of them."""
        rng = random.Random(f"{self.seed}/node/{number}")
        disk = Disk()
        state_directory = MemoryStateDirectory(disk, "sim", members)
        node = self.nodes[number] = Node(number, disk, state_directory, rng)
        identity = Identity(replica.IDENTITY_FORMAT, "sim", number)
        fresh = self._journal(node)
        fresh.create()
        replica.write_identity(disk, identity)
        self.start(node)
        return node

    def _journal(self, node: Node) -> Journal:
        return Journal(node.disk, "sim", node.id, SEGMENT, lambda: node.rng.randbytes(8))

    def clock(self, node: Node) -> int:
        return int(self.now * node.rate) + node.skew

    def start(self, node: Node) -> None:
        if node.replica is not None or node.dead:
            return
        node.epoch += 1
        node.due = 0  # a tick that was due is of the life before
        node.housekeeper = Housekeeper()
        node.disk.trip = lambda: None
        node.fuse = -1
        try:
            identity = replica.read_identity(node.disk)
            node.replica = Replica.open(
                identity,
                Storage(self._journal(node), node.state_directory),
                CoreOptions(self.config, self.clock(node), node.rng, self.make),
                BOUNDARIES,
            )
        except DamagedError as error:
            node.dead = str(error)
            self.counts["damaged"] += 1
            return
        self.counts["starts"] += 1
        self.checks.restarted(node.id, node.replica.core)
        node.disk.trip = lambda: self._trip(node)
        self.turn(node)

    def _trip(self, node: Node) -> None:
        if node.fuse > 0:
            node.fuse -= 1
            if node.fuse == 0:
                raise PowerLost

    def stop(self, node: Node, power: bool) -> None:
        """Killed; with `power`, what was not synced is lost in part."""
        if node.replica is None:
            return
        node.replica = None
        node.epoch += 1
        node.applying = node.exporting = False
        node.disk.trip = lambda: None
        self.counts["power lost" if power else "kills"] += 1
        if power:
            node.disk.lose_power(node.rng)
        node.state_directory.restart(node.rng if power else None)
        for _, answer in node.waiting.values():
            answer("unknown", None)
        for _, _, answer in node.reads.values():
            answer("unknown", None)
        node.waiting.clear()
        node.reads.clear()

    def guarded(self, node: Node, act: Callable[[Replica], None]) -> Callable[[], None]:
        """For this life of the node alone; power may go in the middle."""
        epoch = node.epoch

        def go() -> None:
            if node.epoch != epoch or node.replica is None:
                return
            try:
                act(node.replica)
            except PowerLost:
                self.stop(node, True)
                self.at(self.between((50 * MS, 2 * SECOND)), lambda: self.start(node))
            except SyncFailedError:
                self.stop(node, False)

        return go

    def turn(self, node: Node) -> None:
        """Carry out what the core wants done."""
        r = node.replica
        assert r is not None
        core = r.core
        self.checks.look(node.id, core)
        while True:
            for to, message in core.take_messages():
                self.send(node, to, message)
            for to, meta, offset, round_ in core.take_chunk_requests():
                data = r.state_directory.read_chunk(meta, offset, self.config.snapshot_chunk_bytes)
                if data is None:
                    core.snapshot_lost()
                    break
                self.send(node, to, InstallSnapshotChunk(core.term, meta, offset, data, round_))
            batch = core.take_batch()
            if batch is None:
                break
            if batch.needs_disk:
                self._later_write(node, batch)
                break
            core.batch_persisted(batch)
            self.checks.look(node.id, core)
        if not node.applying and core.commit_index > core.delivered_index:
            entries = core.take_committed(50)
            if entries:
                node.applying = True
                self.at(
                    self.between((MS // 10, MS)),
                    self.guarded(node, lambda r: self._apply(node, r, entries)),
                )
        self._reads(node, core)
        self._lead(node, r)
        if core.needs_snapshot and not node.exporting:
            node.exporting = True
            self.at(
                self.between((MS, 30 * MS)), self.guarded(node, lambda r: self._export(node, r))
            )
        wake_ns = min(core.wake_ns, node.housekeeper.wake_ns or core.wake_ns)
        wake = self.now + max(MS, wake_ns - self.clock(node))
        if not self.now < node.due <= wake:
            node.due = wake
            self.at(wake - self.now, self.guarded(node, lambda r: self._tick(node, r, wake)))

    def _lead(self, node: Node, r: Replica) -> None:
        if not self.leases or r.core.role is not Role.LEADER or node.applying:
            if r.core.role is not Role.LEADER:
                node.housekeeper.leadership_lost()
            return
        node.housekeeper.leadership_gained(r.core.term, r.state, self.clock(node))
        formats = {n: self.nodes[n].format if n in self.nodes else 0 for n in r.core.members.all}
        due = node.housekeeper.proposals(r.state.format, formats, self.clock(node))
        if due:
            with suppress(BusyError, NotLeaderError):
                r.core.propose([commands.pack(command) for command in due])
                self.counts["lapses"] += sum(isinstance(c, commands.ExpireClaim) for c in due)
                self.turn(node)

    def _tick(self, node: Node, r: Replica, due: int) -> None:
        if due != node.due:
            return  # an earlier one took its place
        node.due = 0
        r.core.tick(self.clock(node))
        self.turn(node)

    def _later_write(self, node: Node, batch: Batch, delay: int = 0) -> None:
        self.at(
            delay or self.between(node.disk_ns),
            self.guarded(node, lambda r: self._write(node, r, batch)),
        )

    def _write(self, node: Node, r: Replica, batch: Batch) -> None:
        if batch.install is not None and node.applying:
            self._later_write(node, batch, MS)
            return
        try:
            installed = r.write(batch)
        except DiskFullError:
            self.counts["full disk"] += 1
            self._later_write(node, batch, 100 * MS)
            return
        if batch.install is not None:
            self.counts["snapshots taken"] += installed
            self.fed(node, r.state, [])
        r.core.batch_persisted(batch, installed)
        self.turn(node)

    def _apply(self, node: Node, r: Replica, entries: list[Any]) -> None:
        results = r.apply(entries)
        node.state_directory.committed()
        for entry, result in zip(entries, results, strict=True):
            self.checks.applied(node.id, entry.index, commands.pack(result))
            term, answer = node.waiting.pop(entry.index, (0, None))
            if answer is not None:
                if term == entry.term:
                    answer("done", result)
                else:
                    answer("unknown", None)
        r.core.mark_applied(entries[-1].index)
        node.housekeeper.claims_applied(r.state.take_changed_claims(), self.clock(node))
        self.fed(node, r.state, r.state.take_row_events())
        node.applying = False
        if r.needs_compaction:
            try:
                r.flush()
                r.compact()
                self.counts["cuts"] += 1
            except DiskFullError:
                pass
        self.turn(node)

    def _export(self, node: Node, r: Replica) -> None:
        if node.applying:
            self.at(MS, self.guarded(node, lambda r: self._export(node, r)))
            return
        node.exporting = False
        try:
            r.core.snapshot_exported(r.state_directory.export_snapshot())
        except DiskFullError:
            return
        self.turn(node)

    def _reads(self, node: Node, core: RaftNode) -> None:
        for ticket in core.take_confirmed_reads():
            if ticket in node.reads:
                _, look, answer = node.reads.pop(ticket)
                answer("done", look())
        if core.role is not Role.LEADER:
            for index, (term, answer) in list(node.waiting.items()):
                if term < core.term:
                    del node.waiting[index]
                    answer("unknown", None)
            for ticket, (term, _, answer) in list(node.reads.items()):
                if term < core.term:
                    del node.reads[ticket]
                    answer("unknown", None)

    # ---- network ---------------------------------------------------------------------------------

    def send(self, node: Node, to: int, message: AnyMessage) -> None:
        self.checks.said(node.id, to, message)
        self.counts["messages"] += 1
        data = pack(message)
        net = self.network
        copies = 1 + (self.rng.random() < net.doubled)
        for _ in range(copies):
            if (node.id, to) in net.cut or self.rng.random() < net.loss:
                continue
            slow = self.rng.random() < net.slow_part
            self.at(
                self.between(net.slow if slow else net.delay),
                lambda: self._arrive(node.id, to, data),
            )

    def _arrive(self, sender: int, to: int, data: bytes) -> None:
        node = self.nodes.get(to)
        if node is None or node.replica is None or (sender, to) in self.network.cut:
            return
        # Nodes refuse one that they know to be removed, as they do at a connection's beginning.
        core = node.replica.core
        core.tick(self.clock(node))
        core.step(sender, unpack_message(data))
        self.turn(node)

    # ---- clients and operators -------------------------------------------------------------------

    def propose(self, number: int, command: AnyCommand, answer: Answer) -> None:
        """A client's command at a node; it is answered once, or the client's own time runs out."""
        node = self.nodes[number]
        if node.replica is None:
            return
        core = node.replica.core
        try:
            index = core.propose([commands.pack(command)])[0]
        except NotLeaderError as error:
            answer("elsewhere", error.leader)
            return
        except BusyError:
            answer("busy", None)
            return
        node.waiting[index] = (core.term, answer)
        self.turn(node)

    def read(self, number: int, look: Callable[[Replica], Any], answer: Answer) -> None:
        node = self.nodes[number]
        if node.replica is None:
            return
        core = node.replica.core
        node.tickets += 1
        r = node.replica
        node.reads[node.tickets] = (core.term, lambda: look(r), answer)
        try:
            core.request_read(node.tickets)
        except NotLeaderError:
            del node.reads[node.tickets]
            answer("elsewhere", 0)
            return
        except BusyError:
            del node.reads[node.tickets]
            answer("busy", None)
            return
        self.turn(node)

    def change(self, change: MembershipChange, anywhere: bool = False) -> bool:
        """At the leader; `anywhere`, at any node that thinks it leads."""
        leading = [n for n in self.up() if n.replica and n.replica.core.role is Role.LEADER]
        leader = self.rng.choice(leading) if anywhere and leading else self.leader()
        if leader is None or leader.replica is None:
            return False
        try:
            leader.replica.core.change_membership(change)
        except (NotLeaderError, BusyError, MembershipError):
            return False
        self.turn(leader)
        return True

    def leader(self) -> Node | None:
        """The one of the latest term among those that think they lead."""
        return max(
            (n for n in self.nodes.values() if n.replica and n.replica.core.role is Role.LEADER),
            key=lambda n: n.replica.core.term if n.replica else 0,
            default=None,
        )

    def up(self) -> list[Node]:
        return [n for n in self.nodes.values() if n.replica is not None]


def committed(cluster: Cluster) -> Iterator[tuple[int, AnyCommand, Result]]:
    """Every command of the committed log, its index, and how it was answered where it was
    applied.
    """
    for index in range(1, cluster.checks.highest + 1):
        entry, packed = cluster.checks.committed.get(index), cluster.checks.results.get(index)
        if entry is not None and packed is not None and entry.kind == EntryKind.COMMAND:
            yield index, commands.unpack_command(entry.data), commands.unpack_result(packed)


def agreed(cluster: Cluster) -> None:
    """At the end: all members hold the same state. Raises Broken."""
    digests: dict[tuple[int, int], list[int]] = {}
    for node in cluster.up():
        assert node.replica is not None
        state = node.replica.state
        if not state.members.all:
            continue  # a newcomer, before the first entry that tells of any; a founder knows some
        digests.setdefault((state.applied, state.digest()), []).append(node.id)
    if len({applied for applied, _ in digests}) < len(digests):
        raise Broken("state machine safety", f"states differ after the same entries: {digests}")
