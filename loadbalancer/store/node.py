"""A running member: the replica's threads, timers and connections to the others.

The loop's thread owns the core. One thread writes to the log, one uses the state; while a snapshot
is installed neither does anything else. All that comes in one turn of the loop is carried out
together at its end.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import random
import ssl
import time
from collections import deque
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, TypeVar

from loadbalancer.settings import Malformed
from loadbalancer.store.changefeed_server import Feeding
from loadbalancer.store.commands import FORMAT, Result, pack
from loadbalancer.store.durable import state as states
from loadbalancer.store.durable.files import Folder
from loadbalancer.store.durable.journal import Broken, Damaged, Full, Journal
from loadbalancer.store.durable.state import State
from loadbalancer.store.durable.state_directory import DiskVault
from loadbalancer.store.housekeeping import Steward, behind
from loadbalancer.store.link import Link
from loadbalancer.store.raft.errors import BusyError, NotLeaderError
from loadbalancer.store.raft.members import MembershipChange, parse_change_kind
from loadbalancer.store.raft.messages import AnyMessage, Entry, InstallSnapshotChunk
from loadbalancer.store.raft.ready import Batch
from loadbalancer.store.raft.state import Role
from loadbalancer.store.replica import Identity, Replica, read_identity
from loadbalancer.store.settings import StoreSettings
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import Hello

log = logging.getLogger(__name__)
T = TypeVar("T")

LOCK = "lock"
APPLY, INLINE = 1000, 16  # entries in one transaction; so few are applied on the loop's own thread
FULL_S = 0.5  # between two tries to write to a full disk
READ_S = 3.0  # a read that is not proved by then is answered so
FLUSH_S, FLUSH_ENTRIES = 5.0, 2_000  # the state is synced so often, where something was applied
SLOW_TURN_S = 0.25  # a turn of the loop that came so late is told


class Unknown(Exception):
    """The write may be made or not: leadership was lost over it."""


class Late(Exception):
    """Its time ran out."""


@dataclass(slots=True, eq=False)
class Waiting:
    """A write on its way."""

    term: int
    future: asyncio.Future[Result]


@dataclass(slots=True, eq=False)
class Reading:
    term: int
    until: float
    future: asyncio.Future[None]


class Figures:
    """What metrics and status tell of the disk."""

    def __init__(self) -> None:
        self.batches = 0
        self.entries = 0
        self.sync_s: deque[float] = deque(maxlen=1000)  # of the last batches, seconds each
        self.full: dict[str, float] = {}  # since when `log` or `state` finds no room
        self.late_turns = 0
        self.exports = 0

    def quantile(self, part: float) -> float:
        times = sorted(self.sync_s)
        return times[min(len(times) - 1, int(part * len(times)))] if times else 0.0


class Node:
    def __init__(
        self, settings: StoreSettings, identity: Identity, replica: Replica, lock: int
    ) -> None:
        self.settings = settings
        self.identity = identity
        self.replica = replica
        self.core = replica.core
        self.lock = lock
        self.loop = asyncio.get_running_loop()
        self.disk = ThreadPoolExecutor(1, "store-disk")
        self.state = ThreadPoolExecutor(1, "store-state")
        self.copies = ThreadPoolExecutor(1, "store-copy")
        self.state_turn = asyncio.Lock()  # an installed snapshot and all else that uses the state
        self.links: dict[int, Link] = {}
        self.told: dict[int, str] = {}  # addresses that members told of themselves
        self.waiting: dict[int, Waiting] = {}
        self.reading: dict[int, Reading] = {}
        self.tickets = 0
        self.applying = self.exporting = self.flushing = False
        self.turning = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_ns = 0
        self.flushed_s = time.monotonic()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.watchers: dict[object, tuple[str, Callable[[], None]]] = {}  # by prefix
        self.failed: asyncio.Future[str] = self.loop.create_future()  # why the node can't go on
        self.figures = Figures()
        self.steward = Steward()
        self.feeding = Feeding(self, settings.feed)
        self.tls: ssl.SSLContext | None = settings.tls.context(False) if settings.tls else None
        self.heard_leader_s = time.monotonic()
        self.was = (0, 0)  # term and leader, as last told

    @classmethod
    def open(cls, settings: StoreSettings) -> Node:
        """Raises Damaged, Malformed."""
        lock = locked(settings)
        try:
            files = Folder(settings.folder)
            identity = read_identity(files)
            journal = Journal(files, identity.cluster, identity.node)
            replica = Replica.open(
                identity,
                journal,
                DiskVault(settings.folder),
                settings.config,
                time.monotonic_ns(),
                random.Random(os.urandom(8)),
                settings.boundaries,
            )
        except BaseException:
            os.close(lock)
            raise
        return cls(settings, identity, replica, lock)

    def start(self) -> None:
        self.feeding.start()
        self.wake()

    # ---- the loop's turn -------------------------------------------------------------------------

    def wake(self) -> None:
        """Something happened: carry out what follows at the end of this turn of the loop."""
        if not self.turning:
            self.turning = True
            self.loop.call_soon(self._turn)

    def step(self, sender: int, message: AnyMessage) -> None:
        """A member's message. Time passes first, so that a late loop does not blame the leader."""
        self.core.step(sender, message)
        self.wake()

    def _turn(self) -> None:
        self.turning = False
        if self.failed.done():
            return
        try:
            self._carry_out()
        except Exception as error:
            log.exception("the store's node fails")
            self.fail(f"{type(error).__name__}: {error}")

    def _carry_out(self) -> None:
        core = self.core
        core.tick(time.monotonic_ns())
        while True:
            self._send(core.take_messages())
            self._send_pieces()
            batch = core.take_batch()
            if batch is None:
                break
            if batch.needs_disk:
                self.task(self._write(batch))
                break
            core.batch_persisted(batch)
        if not self.applying and core.commit_index > core.delivered_index:
            entries = core.take_committed(APPLY)
            if entries and len(entries) <= INLINE and not self.state_turn.locked():
                self._apply_here(entries)
            elif entries:
                self.applying = True
                self.task(self._apply(entries))
        self._answer_reads()
        self._note_leader()
        self._lead()
        self.feeding.led(self.behind_ms())
        if core.needs_snapshot and not self.exporting:
            self.exporting = True
            self.task(self._export())
        unsynced = core.applied_index - self.replica.flushed
        if (
            not self.flushing
            and unsynced
            and (
                self.replica.wants_cut
                or unsynced > FLUSH_ENTRIES
                or time.monotonic() - self.flushed_s > FLUSH_S
            )
        ):
            self.flushing = True
            self.task(self._flush())
        wake_ns = min(core.wake_ns, self.steward.wake_ns or core.wake_ns)
        if self.timer is None or wake_ns < self.timer_ns:
            if self.timer is not None:
                self.timer.cancel()
            self.timer_ns = wake_ns
            self.timer = self.loop.call_later(
                max(0, wake_ns - time.monotonic_ns()) / 1e9, self._timed
            )

    def _timed(self) -> None:
        late = (time.monotonic_ns() - self.timer_ns) / 1e9
        if late > SLOW_TURN_S:
            self.figures.late_turns += 1
            log.warning("the store's loop was %.0f ms late", late * 1000)
        self.timer = None
        self.wake()

    def task(self, work: Any) -> None:
        task = self.loop.create_task(self._kept(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _kept(self, work: Any) -> None:
        """What nobody thought of ends the node, not silently one of its tasks."""
        try:
            await work
        except (Broken, Damaged) as error:
            self.fail(str(error))
        except Exception as error:
            log.exception("the store's node fails")
            self.fail(f"{type(error).__name__}: {error}")
        self.wake()

    def fail(self, why: str) -> None:
        if not self.failed.done():
            log.error("the store's node stops: %s", why)
            self.failed.set_result(why)
            self._drop_waiting(1 << 62)

    def _note_leader(self) -> None:
        core = self.core
        if core.leader_id:
            self.heard_leader_s = time.monotonic()
        if (core.term, core.leader_id) != self.was:
            if core.leader_id:
                log.info("term %d: node %x leads", core.term, core.leader_id)
            self.was = core.term, core.leader_id
            self._drop_waiting(core.term if core.role is not Role.LEADER else core.term - 1)
            self._keep_links()

    def _lead(self) -> None:
        """Propose what a leader proposes by itself."""
        core, state, now = self.core, self.replica.state, time.monotonic_ns()
        if core.role is not Role.LEADER:
            self.steward.follows()
            return
        if self.steward.term != core.term:
            if self.state_turn.locked():
                return  # its user wakes this again
            self.steward.leads(core.term, state, now)
        due = self.steward.proposals(state.format, self.formats(), now)
        if due:
            try:
                core.propose([pack(command) for command in due])
            except (BusyError, NotLeaderError):
                return  # they come again
            self.wake()

    def formats(self) -> dict[int, int]:
        """The newest format of the state that each member's program knows; 0: not met yet."""
        return {
            n: FORMAT if n == self.identity.node else self.links[n].format if n in self.links else 0
            for n in self.core.members.all
        }

    def not_yet(self, needs: int) -> str:
        """Why there can't be a command yet that needs this format of the state."""
        old = ", ".join(f"{n:x}" for n in behind(self.formats(), needs))
        what = "rows" if needs >= 3 else "leases"
        return f"not all nodes know {what} yet: {old}" if old else "the state is being upgraded"

    def _drop_waiting(self, term: int) -> None:
        """Writes and reads of a leadership that is over, up to this term."""
        for index, waiting in list(self.waiting.items()):
            if waiting.term < term or (waiting.term == term and self.core.role is not Role.LEADER):
                del self.waiting[index]
                if not waiting.future.done():
                    waiting.future.set_exception(Unknown("leadership was lost over it"))
        for ticket, reading in list(self.reading.items()):
            if reading.term < self.core.term or term > self.core.term:
                del self.reading[ticket]
                if not reading.future.done():
                    reading.future.set_exception(Late("leadership changed"))

    # ---- members ---------------------------------------------------------------------------------

    def hello(self) -> Hello:
        return Hello(
            protocol.FORMAT,
            self.identity.cluster,
            self.identity.node,
            self.settings.advertise,
            self.identity.name,
        )

    def address_of(self, node: int) -> str:
        return self.core.members.addresses.get(node, "") or self.told.get(node, "")

    def note_address(self, node: int, address: str) -> None:
        """A member said where it is; the members' own list counts for more."""
        if address and self.told.get(node) != address:
            if len(self.told) > 64:
                self.told.clear()
            self.told[node] = address
            self._keep_links()

    def _keep_links(self) -> None:
        me = self.identity.node
        wanted = {
            n: self.address_of(n)
            for n in {*self.core.members.all, *self.told}
            if n != me and n not in self.core.members.removed
        }
        for node, link in list(self.links.items()):
            if wanted.get(node) != link.address:
                link.close()
                del self.links[node]
        for node, address in wanted.items():
            if address and node not in self.links:
                reach = self.settings.reach.get(address, address)
                self.links[node] = Link(
                    node,
                    address,
                    reach,
                    self.hello,
                    lambda: self.tls,
                    lambda: self.replica.state.format,
                )

    def _send(self, messages: Sequence[tuple[int, AnyMessage]]) -> None:
        if not messages:
            return
        by: dict[int, list[AnyMessage]] = {}
        for to, message in messages:
            by.setdefault(to, []).append(message)
        if any(to not in self.links for to in by):
            self._keep_links()
        for to, some in by.items():
            link = self.links.get(to)
            if link is not None:
                link.send(some)

    def _send_pieces(self) -> None:
        for to, meta, offset, round_ in self.core.take_chunk_requests():
            data = self.replica.vault.read_piece(
                meta, offset, self.settings.config.snapshot_chunk_bytes
            )
            if data is None:
                self.core.snapshot_lost()
                return
            self._send([(to, InstallSnapshotChunk(self.core.term, meta, offset, data, round_))])

    # ---- disk and state --------------------------------------------------------------------------

    async def _write(self, batch: Batch) -> None:
        if batch.install is not None:
            async with self.state_turn:
                installed = await self._written(batch)
        else:
            installed = await self._written(batch)
        if batch.install is not None:
            log.info(
                "snapshot up to entry %d: %s",
                batch.install.index,
                "installed" if installed else "not whole, asked for anew",
            )
        self.figures.batches += 1
        self.figures.entries += len(batch.entries)
        self.core.batch_persisted(batch, installed)
        if installed and batch.install is not None:
            self.feeding.installed()
            self.poke()

    async def _written(self, batch: Batch) -> bool:
        while True:
            try:
                installed, seconds = await self.loop.run_in_executor(
                    self.disk, self._timed_write, batch
                )
            except Full as error:
                self._note_full("log", error)
                await asyncio.sleep(FULL_S)
                continue
            self._note_room("log")
            self.figures.sync_s.append(seconds)
            return installed

    def _note_full(self, what: str, error: Exception) -> None:
        if what not in self.figures.full:
            self.figures.full[what] = time.monotonic()
            log.error("%s: writes wait, reads go on", error)

    def _note_room(self, what: str) -> None:
        since = self.figures.full.pop(what, 0.0)
        if since:
            log.info("the disk takes writes again after %.1f s", time.monotonic() - since)

    def _timed_write(self, batch: Batch) -> tuple[bool, float]:
        began = time.perf_counter()
        installed = self.replica.write(batch)
        return installed, time.perf_counter() - began

    async def _apply(self, entries: list[Entry]) -> None:
        """Until there is room: what is committed has to be applied, and a run that failed left
        nothing.
        """
        try:
            while True:
                async with self.state_turn:  # not over the wait: reads go on
                    if self.replica.state.applied >= entries[-1].index:
                        return  # a snapshot came in between
                    try:
                        results = await self.loop.run_in_executor(
                            self.state, self.replica.apply, entries
                        )
                        break
                    except states.Failed as error:
                        if "full" not in str(error):
                            raise
                        self._note_full("state", error)
                await asyncio.sleep(FULL_S)
            self._note_room("state")
            self._applied(entries, results)
        finally:
            self.applying = False

    def _apply_here(self, entries: list[Entry]) -> None:
        """A few are sooner done than handed to a thread."""
        try:
            results = self.replica.apply(entries)
        except states.Failed:  # the thread tries again, and can wait
            self.applying = True
            self.task(self._apply(entries))
        else:
            self._applied(entries, results)

    def _applied(self, entries: Sequence[Entry], results: Sequence[Result]) -> None:
        for entry, result in zip(entries, results, strict=True):
            waiting = self.waiting.pop(entry.index, None)
            if waiting is not None and not waiting.future.done():
                if waiting.term == entry.term:
                    waiting.future.set_result(result)
                else:
                    waiting.future.set_exception(Unknown("another entry took its place"))
        self.core.mark_applied(entries[-1].index)
        self.steward.applied(self.replica.state.take_claimed(), time.monotonic_ns())
        self.feeding.applied(entries[-1].index, self.replica.state.take_fed())
        self.poke(self.replica.state.take_touched())

    def poke(self, keys: Collection[str] | None = None) -> None:
        """These keys changed, or nobody knows which: whoever watches one of them looks. A renewal
        of a lease changes none.
        """
        if keys is not None and not keys:
            return
        for prefix, look in list(self.watchers.values()):
            if keys is None or any(key.startswith(prefix) for key in keys):
                look()

    async def _export(self) -> None:
        try:
            meta = await self.loop.run_in_executor(self.copies, self.replica.vault.export)
            self.figures.exports += 1
            self.core.snapshot_exported(meta)
        except Full as error:
            log.error("%s", error)
            await asyncio.sleep(FULL_S)
        finally:
            self.exporting = False

    async def _flush(self) -> None:
        try:
            async with self.state_turn:
                await self.loop.run_in_executor(self.state, self.replica.flush)
            if self.replica.wants_cut:
                # The journal belongs to the disk's thread; the core, to this one.
                index = self.replica.cut_index()
                self.core.compact(index)
                await self.loop.run_in_executor(self.disk, self.replica.journal.cut, index)
            await self.loop.run_in_executor(self.disk, self.replica.journal.mark)
        except Full as error:
            log.error("%s", error)
            await asyncio.sleep(FULL_S)
        finally:
            self.flushed_s = time.monotonic()
            self.flushing = False

    async def query(self, look: Callable[[State], T]) -> T:
        """Read from the state as applied here. Raises Late where the node stops."""
        async with self.state_turn:
            if self.failed.done():
                raise Late("the node stops")
            return await self.loop.run_in_executor(self.state, look, self.replica.state)

    # ---- what is asked of it ---------------------------------------------------------------------

    def put(self, command: bytes) -> asyncio.Future[Result]:
        """Propose a packed command. Raises NotLeaderError, BusyError; the future, Unknown."""
        if self.failed.done():
            raise NotLeaderError(0)
        index = self.core.propose([command])[0]
        future: asyncio.Future[Result] = self.loop.create_future()
        self.waiting[index] = Waiting(self.core.term, future)
        self.wake()
        return future

    def current(self) -> asyncio.Future[None]:
        """Done when what is applied here holds all that was answered to anyone before. Raises
        NotLeaderError, BusyError; the future, Late.
        """
        if self.failed.done():
            raise NotLeaderError(0)
        self.tickets += 1
        ticket = self.tickets
        self.core.request_read(ticket)
        future: asyncio.Future[None] = self.loop.create_future()
        self.reading[ticket] = Reading(self.core.term, time.monotonic() + READ_S, future)
        self.wake()
        return future

    def _answer_reads(self) -> None:
        for ticket in self.core.take_confirmed_reads():
            reading = self.reading.pop(ticket, None)
            if reading is not None and not reading.future.done():
                reading.future.set_result(None)
        now = time.monotonic()
        while self.reading:
            ticket, reading = next(iter(self.reading.items()))
            if reading.until > now:
                break
            del self.reading[ticket]
            if not reading.future.done():
                reading.future.set_exception(Late("no majority proved the read in time"))

    async def manage(self, what: str, node: int, address: str, within_s: float) -> str:
        """Learn, promote, remove, transfer, snapshot; says what was done. Raises NotLeaderError,
        BusyError, MembershipError, Late, Full.
        """
        if what == "snapshot":
            meta = await self.loop.run_in_executor(self.copies, self.replica.vault.export)
            await self._flush_now()
            return f"snapshot up to entry {meta.index}, {meta.size} bytes"
        until = time.monotonic() + within_s
        if what == "transfer":
            self.core.transfer_leadership(node)
            self.wake()
            while self.core.leader_id != node:
                await self._pause(until)
                if self.core.role is Role.LEADER and self.core.transfer_target is None:
                    raise BusyError(f"node {node:x} did not take over")
            return f"node {node:x} leads"
        self.core.require_change_possible()
        change = MembershipChange(parse_change_kind(what), node, address)
        index = self.core.change_membership(change)
        term = self.core.term
        self.wake()
        self._keep_links()
        while self.core.applied_index < index:
            await self._pause(until)
            if self.core.term != term and what != "remove":
                raise Unknown("leadership was lost over it")
        return f"{what} {node:x}: done"

    async def _flush_now(self) -> None:
        async with self.state_turn:
            await self.loop.run_in_executor(self.state, self.replica.flush)

    async def _pause(self, until: float) -> None:
        if time.monotonic() > until:
            raise Late("its time ran out")
        await asyncio.sleep(0.005)

    def behind_ms(self) -> int:
        """How long ago this node last knew a leader; 0: it knows one."""
        return (
            0
            if self.core.leader_id
            else max(1, int((time.monotonic() - self.heard_leader_s) * 1000))
        )

    def status(self) -> dict[str, Any]:
        core, f = self.core, self.figures
        me = self.identity.node
        members = []
        for n in core.members.all:
            p = core.progress.get(n) if core.role is Role.LEADER else None
            link = self.links.get(n)
            members.append(
                {
                    "node": f"{n:x}",
                    "address": self.address_of(n),
                    "voter": n in core.members.voters,
                    "leads": n == core.leader_id,
                    "here": n == me,
                    "match": (core.durable_index if n == me else p.match_index) if p else None,
                    "lag": core.log.last_index - (core.durable_index if n == me else p.match_index)
                    if p
                    else None,
                    "way": p.state.value if p and n != me else "",
                    "connected": n == me or bool(link and link.now),
                    "trouble": "" if n == me or not link or link.now else link.why,
                }
            )
        return {
            "cluster": self.identity.cluster,
            "node": f"{me:x}",
            "name": self.identity.name,
            "role": core.role.value,
            "term": core.term,
            "leader": f"{core.leader_id:x}" if core.leader_id else "",
            "leaderless_ms": self.behind_ms(),
            "members": members,
            "last": core.log.last_index,
            "commit": core.commit_index,
            "applied": core.applied_index,
            "log_from": core.log.base_index,
            "log_bytes": core.log.size_bytes,
            "stable": core.durable_index,
            "flushed": self.replica.flushed,
            "writes_waiting": len(self.waiting),
            "reads_waiting": len(self.reading),
            "uncommitted_bytes": core.uncommitted_bytes,
            "elections": core.election_count,
            "batches": f.batches,
            "entries": f.entries,
            "sync_p50_ms": round(f.quantile(0.5) * 1000, 3),
            "sync_p99_ms": round(f.quantile(0.99) * 1000, 3),
            "disk_full_s": round(time.monotonic() - min(f.full.values()), 1) if f.full else 0,
            "late_turns": f.late_turns,
            "removed": core.is_removed,
            "failed": self.failed.done(),
            "format": self.replica.state.format,
            "feed": self.feeding.status(),
        }

    async def close(self) -> None:
        """Stop: what was promised is on disk."""
        if self.timer is not None:
            self.timer.cancel()
        self.feeding.close()
        if not self.failed.done():
            self.failed.set_result("")
        self._drop_waiting(1 << 62)
        for link in self.links.values():
            link.close()
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=5)
        for pool in (self.disk, self.state, self.copies):
            await self.loop.run_in_executor(None, pool.shutdown)
        self.replica.close()
        os.close(self.lock)


def locked(settings: StoreSettings) -> int:
    """Keep any other process out of the folder. Raises Malformed."""
    try:
        number = os.open(settings.folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    except OSError as error:
        raise Malformed(f"{settings.folder}: {error.strerror}") from None
    try:
        fcntl.flock(number, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(number)
        raise Malformed(f"{settings.folder}: another process uses it") from None
    return number
