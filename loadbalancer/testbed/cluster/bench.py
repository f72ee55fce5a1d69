"""How fast a cluster of real processes commits, beside the bare syncs of the same disk in the same
run; and how long it is without a leader when the one it has is killed.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from pathlib import Path

from loadbalancer.settings import Json
from loadbalancer.store.client import Client
from loadbalancer.store.errors import StoreError
from loadbalancer.testbed import results
from loadbalancer.testbed.cluster.real import RealCluster
from loadbalancer.testbed.topology import Unusable

VALUE = b"v" * 200
TICK_S = 1 / os.sysconf("SC_CLK_TCK")
FILL_BYTES = 256 << 10  # bytes of a value when the state is filled
CLIENTS = 16  # connections that writers share


def bare_syncs(folder: Path, seconds: float, size: int) -> float:
    """Appends of so many bytes, each with fdatasync, a second: what one sync for each batch could
    allow.
    """
    path = folder / "bare"
    number = os.open(path, os.O_WRONLY | os.O_CREAT, 0o600)
    data = os.urandom(size)
    try:
        count, at = 0, 0
        until = time.perf_counter() + seconds
        began = time.perf_counter()
        while time.perf_counter() < until:
            at += os.pwrite(number, data, at)
            os.fdatasync(number)
            count += 1
        return count / (time.perf_counter() - began)
    finally:
        os.close(number)
        path.unlink()


def cpu_s(cluster: RealCluster) -> float:
    total = 0.0
    for member in cluster.members:
        assert member.process is not None
        words = Path(f"/proc/{member.process.pid}/stat").read_text().rpartition(")")[2].split()
        total += (int(words[11]) + int(words[12])) * TICK_S
    return total


def written(cluster: RealCluster) -> int:
    """Bytes that the nodes have written, to disk and network."""
    total = 0
    for member in cluster.members:
        assert member.process is not None
        for line in Path(f"/proc/{member.process.pid}/io").read_text().splitlines():
            if line.startswith("wchar:"):
                total += int(line.split()[1])
    return total


async def _turn(cluster: RealCluster, writers: int, seconds: float, folder: Path) -> Json:
    clients = [cluster.client(f"bench {i}") for i in range(min(CLIENTS, writers))]
    times: list[float] = []
    stop = asyncio.Event()

    async def write(client: Client, number: int) -> None:
        while not stop.is_set():
            began = time.perf_counter()
            await client.put(f"bench/w{number}", VALUE)
            times.append(time.perf_counter() - began)

    try:
        for client in clients:
            await client.put("bench/warm", VALUE)
        leader = await cluster.leader()
        own = Client([leader.address])
        before = await own.status()
        cpu, size, began = cpu_s(cluster), written(cluster), time.perf_counter()
        tasks = [asyncio.create_task(write(clients[i % len(clients)], i)) for i in range(writers)]
        await asyncio.sleep(seconds)
        stop.set()
        await asyncio.gather(*tasks)
        took = time.perf_counter() - began
        cpu, size = cpu_s(cluster) - cpu, written(cluster) - size
        after = await own.status()
        await own.close()
    finally:
        for client in clients:
            await client.close()
    batches = max(1, after["batches"] - before["batches"])
    entries = after["entries"] - before["entries"]
    batch = entries / batches
    syncs = await asyncio.to_thread(
        bare_syncs, folder, min(2.0, seconds), max(64, int(batch * 300))
    )
    middle, late, _ = results.spread(times)
    per_s = len(times) / took
    # With one sync for each batch, and the next filling meanwhile, so many would be committed.
    return {
        "writers": writers,
        "per_s": per_s,
        "p50_ms": 1000 * middle,
        "p99_ms": 1000 * late,
        "batch": batch,
        "syncs_per_s": syncs,
        "part": per_s / (syncs * batch),
        "batches_per_s": batches / took,
        "bytes": size / len(times),
        "cpu_us": 1e6 * cpu / len(times),
    }


async def fill(client: Client, megabytes: int) -> None:
    for i in range(megabytes * (1 << 20) // FILL_BYTES):
        await client.put(f"bench/fill/{i:06d}", os.urandom(FILL_BYTES))


async def _levelled(cluster: RealCluster) -> None:
    if not await cluster.level():
        raise Unusable("the nodes did not catch up with each other")


async def _elections(cluster: RealCluster, count: int, heard: Callable[[str], None]) -> list[float]:
    found = []
    for _ in range(count):
        leader = await cluster.leader()
        others = [m.address for m in cluster.members if m is not leader]
        client = Client(others, deadline_s=10.0)
        try:
            await client.put("bench/warm", VALUE)
            began = time.perf_counter()
            await cluster.kill(leader)
            while True:
                try:
                    await client.put("bench/warm", VALUE)
                    break
                except StoreError:
                    continue
            found.append(1000 * (time.perf_counter() - began))
        finally:
            await client.close()
        await cluster.begin(leader)
        heard(f"leader killed to first commit: {found[-1]:.0f} ms")
        await _levelled(cluster)
    return found


async def bench(
    folder: Path,
    nodes: int,
    writers: list[int],
    seconds: float,
    fill_mb: int,
    elections: int,
    heard: Callable[[str], None],
) -> Json:
    cluster = RealCluster(folder, nodes)
    try:
        await cluster.start()
        if fill_mb:
            filling = cluster.client("fill", 30.0)
            try:
                await fill(filling, fill_mb)
            finally:
                await filling.close()
            await _levelled(cluster)
        turns = []
        for count in writers:
            turns.append(await _turn(cluster, count, seconds, folder))
            heard(f"{count} writers: {turns[-1]['per_s']:,.0f} commits/s")
        times = await _elections(cluster, elections, heard)
        size = (cluster.members[0].settings.folder / "state.db").stat().st_size / 1e6
        config = cluster.members[0].settings.config
        return {
            "nodes": nodes,
            "turns": turns,
            "elections_ms": times,
            "state_mb": size,
            "election_ms": config.election_timeout_ns / 1e6,
        }
    finally:
        await cluster.stop()
        cluster.end()
