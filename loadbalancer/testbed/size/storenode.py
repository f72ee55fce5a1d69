"""What one node of the store needs: by watchers that it tells, and by rows that it holds. Real
processes, CPU time of the node's own.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from loadbalancer.store.client import Client
from loadbalancer.store.commands import MAX_OPERATIONS, Op
from loadbalancer.store.durable.state_directory import OUTGOING, STATE
from loadbalancer.testbed.cluster.real import Member, RealCluster
from loadbalancer.testbed.size.crowd import Crowd
from loadbalancer.testbed.size.process import Meter, cpu_s, memory_mb
from loadbalancer.testbed.size.series import Series

ROW = b"r" * 100  # bytes of a value, of the size of an upstream's row
PREFIX = "rows/orders/"
ELSEWHERE = "elsewhere/"
SETTLE_S = 1.0  # after a crowd was opened
Heard = Callable[[str], None]


def pid(member: Member) -> int:
    assert member.process is not None
    return member.process.pid


async def one_node(folder: Path, extra: str = "") -> RealCluster:
    """A cluster of one, which takes any number of connections."""
    folder.mkdir(parents=True, exist_ok=True)
    cluster = RealCluster(folder, 1, f"[limits]\nconnections = 16384\n{extra}")
    try:
        await cluster.start()
    except BaseException:
        cluster.end()
        raise
    return cluster


async def put_each(client: Client, crowd: Crowd | None, changes: int) -> list[float]:
    """One change after the other, each heard by all of the crowd before the next; seconds from the
    write's start to the last one's hearing.
    """
    delays = []
    for number in range(changes):
        if crowd is not None:
            crowd.expect()
        began = time.perf_counter()
        await client.put(f"{PREFIX}u{number % 16}", ROW)
        delays.append(await crowd.last(began) if crowd is not None else time.perf_counter() - began)
    return delays


# ---- watchers ------------------------------------------------------------------------------------


class Watched:
    """Today's watch at one node: each of N watchers is told each change of a row of 100 bytes."""

    def __init__(self, cluster: RealCluster) -> None:
        self.cluster = cluster
        self.client = cluster.client("writer")
        self.crowd = Crowd(cluster.addresses[0], PREFIX)
        self.cpu = Series("store.watch.change_cpu", "us", "watchers")
        self.delay = Series("store.watch.last_delay", "ms", "watchers")
        self.rest = Series("store.watch.rest_cpu", "us a second", "watchers")
        self.told = Series("store.watch.change_bytes", "bytes", "watchers")
        self.quiet = Series("store.watch.rest_bytes", "bytes a second", "watchers")
        self.memory = Series("store.watch.memory", "MB", "watchers")

    @classmethod
    async def begin(cls, folder: Path) -> Watched:
        """Its node has told a change or two before any is measured."""
        found = cls(await one_node(folder))
        try:
            await put_each(found.client, None, 16)
        except BaseException:
            await found.end()
            raise
        return found

    async def at(self, size: int, changes: int, rest_s: float, heard: Heard) -> None:
        """With so many watchers, of which those before stay."""
        node = pid(self.cluster.members[0])
        await self.crowd.grow(size, (await self.client.get(PREFIX + "u0")).revision)
        await asyncio.sleep(SETTLE_S)
        meter, before = Meter(node), self.crowd.bytes
        await asyncio.sleep(rest_s)
        resting = meter.cpu_s / meter.took_s
        self.rest.add(size, 1e6 * resting)
        self.quiet.add(size, (self.crowd.bytes - before) / meter.took_s)
        meter, before = Meter(node), self.crowd.bytes
        delays = await put_each(self.client, self.crowd, changes)
        self.cpu.add(size, 1e6 * (meter.cpu_s - resting * meter.took_s) / changes)
        self.told.add(size, (self.crowd.bytes - before) / changes)
        self.delay.add(size, 1e3 * statistics.median(delays))
        self.memory.add(size, memory_mb(node))
        heard(
            f"{size} watchers: {self.cpu.points[-1][1]:.0f} us a change, the last after"
            f" {self.delay.points[-1][1]:.0f} ms, {self.rest.points[-1][1]:.0f} us a second at rest"
        )

    @property
    def series(self) -> list[Series]:
        return [self.cpu, self.delay, self.rest, self.told, self.quiet, self.memory]

    async def end(self) -> None:
        await self.crowd.close()
        await self.client.close()
        await self.cluster.stop()
        self.cluster.end()


async def watch(
    folder: Path, sizes: Sequence[int], changes: int, rest_s: float, heard: Heard
) -> list[Series]:
    watched = await Watched.begin(folder)
    try:
        for size in sizes:
            await watched.at(size, changes, rest_s, heard)
    finally:
        await watched.end()
    return watched.series


async def elsewhere(folder: Path, sizes: Sequence[int], changes: int, heard: Heard) -> list[Series]:
    """A change that none of N watchers watches: each is looked at all the same."""
    cpu = Series("store.watch.elsewhere_cpu", "us", "watchers")
    cluster = await one_node(folder)
    client = cluster.client("writer")
    node = pid(cluster.members[0])
    crowd = Crowd(cluster.addresses[0], ELSEWHERE)
    try:
        await put_each(client, None, 16)
        for size in sizes:
            await crowd.grow(size, (await client.get(ELSEWHERE + "x")).revision)
            await asyncio.sleep(SETTLE_S)
            meter = Meter(node)
            await asyncio.sleep(SETTLE_S)
            resting = meter.cpu_s / meter.took_s
            meter = Meter(node)
            await put_each(client, None, changes)
            cpu.add(size, 1e6 * (meter.cpu_s - resting * meter.took_s) / changes)
            heard(f"{size} watchers elsewhere: {cpu.points[-1][1]:.0f} us a change")
    finally:
        await crowd.close()
        await client.close()
        await cluster.stop()
        cluster.end()
    return [cpu]


# ---- rows ----------------------------------------------------------------------------------------


async def fill_rows(client: Client, first: int, upto: int) -> None:
    """Rows of 100 bytes with numbers from `first` on, as many a write as it takes."""
    for number in range(first, upto, MAX_OPERATIONS):
        ops = [
            Op(f"rows/s{n % 2900}/upstream/u{n:06d}", ROW)
            for n in range(number, min(number + MAX_OPERATIONS, upto))
        ]
        await client.write(ops)


async def rows(folder: Path, sizes: Sequence[int], heard: Heard) -> list[Series]:
    """Rows of 100 bytes in one node: its memory and disk, a whole scan, a copy of the state. The
    log is kept short, so that what grows is the state.
    """
    disk, memory, scan, scan_cpu, copied, copy_cpu, copy_mb, put = (
        Series(*head)
        for head in (
            ("store.rows.disk", "MB", "rows"),
            ("store.rows.memory", "MB", "rows"),
            ("store.rows.scan", "ms", "rows"),
            ("store.rows.scan_cpu", "ms", "rows"),
            ("store.rows.export", "ms", "rows"),
            ("store.rows.export_cpu", "ms", "rows"),
            ("store.rows.export_size", "MB", "rows"),
            ("store.rows.put_cpu", "ms", "rows"),
        )
    )
    cluster = await one_node(folder, 'log = "1MiB"\nkeep = 10\n')
    client = cluster.client("writer", 30.0)
    member = cluster.members[0]
    node = pid(member)
    filled, spent = 0, 0.0
    try:
        for size in sizes:
            meter = Meter(node)
            await fill_rows(client, filled, size)
            spent, filled = spent + meter.cpu_s, size
            put.add(size, 1e3 * spent)
            began, meter = time.perf_counter(), Meter(node)
            found = await client.scan("rows/")
            if len(found.rows) != size:
                raise AssertionError(f"{len(found.rows)} rows were read of {size}")
            scan.add(size, 1e3 * (time.perf_counter() - began))
            scan_cpu.add(size, 1e3 * meter.cpu_s)
            began, meter = time.perf_counter(), Meter(node)
            await client.administer("snapshot", timeout_s=60.0)
            copied.add(size, 1e3 * (time.perf_counter() - began))
            copy_cpu.add(size, 1e3 * meter.cpu_s)
            copy_mb.add(size, (member.settings.folder / OUTGOING).stat().st_size / 1e6)
            disk.add(size, (member.settings.folder / STATE).stat().st_size / 1e6)
            memory.add(size, memory_mb(node))
            heard(
                f"{size} rows: {disk.points[-1][1]:.1f} MB of state, {memory.points[-1][1]:.0f} MB"
                f" resident, a scan {scan.points[-1][1]:.0f} ms, a copy "
                f"{copied.points[-1][1]:.0f} ms"
            )
    finally:
        await client.close()
        await cluster.stop()
        cluster.end()
    return [disk, memory, scan, scan_cpu, copied, copy_cpu, copy_mb, put]


def used(members: Sequence[Member]) -> list[float]:
    """CPU seconds of each so far."""
    return [cpu_s(pid(m)) for m in members]
