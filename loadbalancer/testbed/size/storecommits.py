"""What commits cost the nodes of a real cluster of three: by operations and bytes of a write, by
writers, by names that are renewed; what balancers commit at rest; how a node catches up.
"""

from __future__ import annotations

import asyncio
import random
import resource
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from loadbalancer.store.client import Client
from loadbalancer.store.commands import Claim, Op
from loadbalancer.store.errors import StoreError
from loadbalancer.testbed.cluster.real import Member, RealCluster
from loadbalancer.testbed.size.process import written_bytes
from loadbalancer.testbed.size.series import Series
from loadbalancer.testbed.size.storenode import ROW, Heard, fill_rows, pid, used
from loadbalancer.testbed.topology import Unusable

NODES = 3
CLIENTS = 16  # connections that writers share
TTL_MS = 600_000  # of names that are claimed here: none lapses meanwhile
POLL_S = 0.01
CUT_S = 1.0  # until the log is cut, where it will be


@dataclass(frozen=True, slots=True)
class Driven:
    """`leader_us`, `follower_us`: CPU of a node for one commit; `here`: cores that the writers'
    process needed, which shares the machine.
    """

    count: int
    per_s: float
    leader_us: float
    follower_us: float
    bytes: float
    here: float


@asynccontextmanager
async def real(folder: Path, extra: str = "") -> AsyncIterator[RealCluster]:
    """Three nodes, gone at the end whatever happened."""
    folder.mkdir(parents=True, exist_ok=True)
    cluster = RealCluster(folder, NODES, f"[limits]\nconnections = 16384\n{extra}")
    try:
        await cluster.start()
        yield cluster
    finally:
        await cluster.stop()
        cluster.end()


def own_cpu_s() -> float:
    found = resource.getrusage(resource.RUSAGE_SELF)
    return found.ru_utime + found.ru_stime


async def driven(
    cluster: RealCluster,
    writers: int,
    seconds: float,
    work: Callable[[Client, int], Awaitable[object]],
) -> Driven:
    """`work(client, writer)` again and again by so many writers."""
    clients = [cluster.client(f"writer-{i}", 15.0) for i in range(min(CLIENTS, writers))]
    stop = False
    count = 0

    async def write(number: int) -> None:
        nonlocal count
        while not stop:
            await work(clients[number % len(clients)], number)
            count += 1

    try:
        await asyncio.gather(*(work(client, n) for n, client in enumerate(clients)))
        leader = await cluster.leader()
        others = [m for m in cluster.members if m is not leader]
        before, sizes = used([leader, *others]), [written_bytes(pid(m)) for m in cluster.members]
        here, began = own_cpu_s(), time.perf_counter()
        tasks = [asyncio.create_task(write(n)) for n in range(writers)]
        await asyncio.sleep(seconds)
        stop = True
        await asyncio.gather(*tasks)
        took, here = time.perf_counter() - began, own_cpu_s() - here
        spent = [
            1e6 * (a - b) / count for a, b in zip(used([leader, *others]), before, strict=True)
        ]
        size = sum(written_bytes(pid(m)) for m in cluster.members) - sum(sizes)
        if await cluster.leader() is not leader:
            raise Unusable("leadership changed during the measurement: the machine is too busy")
        return Driven(
            count, count / took, spent[0], sum(spent[1:]) / len(others), size / count, here / took
        )
    finally:
        for client in clients:
            await client.close()


def _four(name: str, per: str, line: bool = True) -> tuple[Series, Series, Series, Series]:
    return (
        Series(f"{name}_leader_cpu", "us", per, line),
        Series(f"{name}_follower_cpu", "us", per, line),
        Series(f"{name}_per_s", "commits a second", per, line),
        Series(f"{name}_bytes", "bytes", per, line),
    )


def _add(series: Sequence[Series], x: float, found: Driven, heard: Heard) -> None:
    for one, y in zip(
        series, (found.leader_us, found.follower_us, found.per_s, found.bytes), strict=True
    ):
        one.add(x, y)
    name = series[0].name.removesuffix("_leader_cpu")
    heard(
        f"{name} {x:g}: {found.per_s:,.0f} commits/s, {found.leader_us:.0f} us the leader,"
        f" {found.follower_us:.0f} us a follower, {found.here:.2f} cores the writers"
    )


async def commits(
    folder: Path,
    ops: Sequence[int],
    sizes: Sequence[int],
    writers: Sequence[int],
    seconds: float,
    heard: Heard,
) -> list[Series]:
    """Rows of 100 bytes by how many a write holds (16 writers); one value by its bytes (16
    writers); one row by how many write at once.
    """
    by_ops = _four("store.commit.ops", "operations")
    by_size = _four("store.commit.value", "bytes")
    by_writers = _four("store.commit.writers", "writers", line=False)
    async with real(folder) as cluster:
        for count in ops:
            found = await driven(
                cluster,
                CLIENTS,
                seconds,
                lambda c, n, k=count: c.write(  # type: ignore[misc]
                    [Op(f"rows/s{n}/upstream/u{i}", ROW) for i in range(k)]
                ),
            )
            _add(by_ops, count, found, heard)
        for size in sizes:
            value = b"v" * size
            found = await driven(
                cluster,
                CLIENTS,
                seconds,
                lambda c, n, v=value: c.put(  # type: ignore[misc]
                    f"value/w{n}", v
                ),
            )
            _add(by_size, size, found, heard)
        for many in writers:
            found = await driven(cluster, many, seconds, lambda c, n: c.put(f"one/w{n}", ROW))
            _add(by_writers, many, found, heard)
    return [*by_ops, *by_size, *by_writers]


async def claims(folder: Path, sizes: Sequence[int], seconds: float, heard: Heard) -> list[Series]:
    """Names that are renewed, by how many there are; and the first claim of one more."""
    renewals = _four("store.claim.names", "names")
    first = Series("store.claim.first_leader_cpu", "us", "names")
    rng = random.Random(1)
    async with real(folder) as cluster:
        known = 0

        def claim(number: int) -> Claim:
            return Claim(
                f"name/s{number}/b{number}", f"b{number}@{number:06x}", number + 1, TTL_MS, 0, "", 0
            )

        for size in sizes:
            client = cluster.client("first", 30.0)
            leader = await cluster.leader()
            before, fresh = used([leader])[0], size - known
            places = asyncio.Semaphore(CLIENTS)

            async def begin(
                number: int, client: Client = client, places: asyncio.Semaphore = places
            ) -> None:
                async with places:
                    await client.claim(claim(number), 15.0)

            try:
                await asyncio.gather(*(begin(n) for n in range(known, size)))
            finally:
                await client.close()
            first.add(size, 1e6 * (used([leader])[0] - before) / fresh)
            known = size
            found = await driven(
                cluster,
                CLIENTS,
                seconds,
                lambda c, n, of=size: c.claim(  # type: ignore[misc]
                    claim(rng.randrange(of)), 15.0
                ),
            )
            _add(renewals, size, found, heard)
    return [*renewals, first]


# ---- catching up ---------------------------------------------------------------------------------


async def applied(member: Member) -> int:
    """-1: it does not answer."""
    client = Client([member.address], deadline_s=1.0)
    try:
        return int((await client.status())["applied"])
    except StoreError:
        return -1
    finally:
        await client.close()


async def level_s(member: Member, index: int, within_s: float = 120.0) -> float:
    """Seconds until it has applied so much."""
    began = time.perf_counter()
    while time.perf_counter() - began < within_s:
        if await applied(member) >= index:
            return time.perf_counter() - began
        await asyncio.sleep(POLL_S)
    raise Unusable(f"node {member.place} did not catch up in {within_s:.0f} s")


async def write_rows(cluster: RealCluster, count: int) -> None:
    """So many commits of one row each."""
    clients = [cluster.client(f"missed-{i}", 15.0) for i in range(CLIENTS)]
    left = iter(range(count))

    async def write(client: Client) -> None:
        for number in left:
            await client.put(f"rows/s{number % 2900}/upstream/u{number % 44000:06d}", ROW)

    try:
        await asyncio.gather(*(write(clients[n % CLIENTS]) for n in range(4 * CLIENTS)))
    finally:
        for client in clients:
            await client.close()


def installed(cluster: RealCluster, member: Member) -> int:
    """Snapshots that it has taken, by its log."""
    text = (cluster.folder / f"{member.place}.log").read_text(errors="replace")
    return text.count("outcome=installed")


async def catch_up(
    folder: Path, rows: Sequence[int], missed: Sequence[int], heard: Heard, extra: str = ""
) -> list[Series]:
    """A follower that was killed and begins anew, by the rows that it holds; one that stood still,
    by the commits that it missed, with the last number of rows: from the log, or by a snapshot
    where that is cut.
    """
    snapshots = Series("store.catchup.cut_snapshots", "snapshots", "commits missed", line=False)
    restart, cut, leader_cpu, own_cpu = (
        Series(*head)
        for head in (
            ("store.catchup.restart", "ms", "rows"),
            ("store.catchup.cut", "ms", "commits missed"),
            ("store.catchup.cut_leader_cpu", "ms", "commits missed"),
            ("store.catchup.cut_own_cpu", "ms", "commits missed"),
        )
    )
    filled = 0
    async with real(folder, extra) as cluster:
        for size in rows:
            client = cluster.client("fill", 30.0)
            try:
                await fill_rows(client, filled, size)
            finally:
                await client.close()
            filled = size
            if not await cluster.level():
                raise Unusable("the nodes did not level")
            leader = await cluster.leader()
            other = next(m for m in cluster.members if m is not leader)
            index = await applied(leader)
            await cluster.kill(other)
            began = time.perf_counter()
            await cluster.begin(other)
            await level_s(other, index)
            restart.add(size, 1e3 * (time.perf_counter() - began))
            heard(f"{size} rows: restarted and level after {restart.points[-1][1]:.0f} ms")
        for count in missed:
            leader = await cluster.leader()
            other = next(m for m in cluster.members if m is not leader)
            known = installed(cluster, other)
            cluster.pause(other, True)
            try:
                await write_rows(cluster, count)
                await asyncio.sleep(CUT_S)
                leader = await cluster.leader()
                index = await applied(leader)
                before = used([leader, other])
            finally:
                cluster.pause(other, False)
            took = await level_s(other, index)
            after = used([leader, other])
            cut.add(count, 1e3 * took)
            leader_cpu.add(count, 1e3 * (after[0] - before[0]))
            own_cpu.add(count, 1e3 * (after[1] - before[1]))
            snapshots.add(count, installed(cluster, other) - known)
            heard(
                f"{count} commits missed: level after {1e3 * took:.0f} ms,"
                f" {snapshots.points[-1][1]:.0f} snapshots"
            )
            if not await cluster.level():
                raise Unusable("the nodes did not level")
    return [restart, cut, leader_cpu, own_cpu, snapshots]
