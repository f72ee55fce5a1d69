"""How long a balancer with a store takes from its start to the first request that it routed, and a store's
node from its start to its first answer."""

from __future__ import annotations

import asyncio
import signal
import statistics
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from lanelift.lab.balancer import free_port
from lanelift.lab.cluster.bench import fill
from lanelift.lab.cluster.real import Member, RealCluster
from lanelift.lab.topology import Unusable
from lanelift.settings import Json
from lanelift.store import documents
from lanelift.store.client import Client, StoreError

DOCUMENT = "balancer/restart"
PATIENCE_S = 30.0


async def routed(port: int) -> None:
    """Ask until an answer came from an upstream."""
    until = time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(b"GET /lookup?obj=k1 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 1\r\n"
                             b"X-Class: lookup\r\nX-Deadline-Ms: 2000\r\n\r\n")
                if (await reader.readline()).startswith(b"HTTP/1.1 200"):
                    return
            finally:
                writer.close()
        await asyncio.sleep(0.002)
    raise Unusable(f"nothing was routed within {PATIENCE_S:.0f} s")


async def committed(client: Client) -> None:
    until = time.monotonic() + PATIENCE_S
    while time.monotonic() < until:
        with suppress(StoreError):
            await client.put("bench/restart", b"")
            return
    raise Unusable(f"nothing was committed within {PATIENCE_S:.0f} s")


def unchecked(name: str, text: str) -> str:
    """What the lab writes needs no checking, and the check belongs to the daemon."""
    return ""


def settings(port: int, boxes: int, ports: list[int]) -> str:
    servers = "".join(f'[[server]]\nid = "box-{i}"\naddress = "127.0.0.1:{ports[i % len(ports)]}"\n'
                      for i in range(boxes))
    return (f'listen = "127.0.0.1:{port}"\n[[class]]\nname = "lookup"\neffect = "safe"\naim = "1s"\n'
            f'deadline = "2s"\n{servers}')


async def restart(folder: Path, boxes: int, fill_mb: int, times: int,
                  heard: Callable[[str], None] = lambda line: None) -> Json:
    """Milliseconds, the median and the longest of so many restarts of each kind. Raises Unusable."""
    cluster = RealCluster(folder, 3)
    port = free_port()
    found: dict[str, list[float]] = {}
    process: asyncio.subprocess.Process | None = None
    upstreams = subprocess.Popen([sys.executable, "-m", "lanelift.lab.capacity.blast", "answer", "4"],
                                 stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    async def begin() -> None:
        nonlocal process
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lanelift.cli.main", "serve", "--settings", str(boot),
            stderr=asyncio.subprocess.DEVNULL)

    async def end() -> None:
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    async def timed(what: str, *work: Awaitable[object]) -> None:
        began = time.perf_counter()
        await asyncio.gather(*work)
        found.setdefault(what, []).append(1000 * (time.perf_counter() - began))
        heard(f"{what}: {found[what][-1]:.0f} ms")

    async def answered(member: Member) -> None:
        await cluster.begin(member)
        one = Client([member.address], deadline_s=PATIENCE_S)
        try:
            await one.get(documents.key(DOCUMENT), stale=True)
        finally:
            await one.close()

    try:
        assert upstreams.stdout is not None
        ports = [int(p) for p in upstreams.stdout.readline().split()]
        await cluster.start()
        client = cluster.client()
        if fill_mb:
            await fill(cluster, fill_mb)
        await documents.put(client, DOCUMENT, settings(port, boxes, ports), unchecked, -1, "lab")
        boot = folder / "boot.toml"
        names = ", ".join(f'"{a}"' for a in cluster.addresses)
        boot.write_text(f'[store]\naddresses = [{names}]\nservice = "lab"\ndocument = "{DOCUMENT}"\n'
                        'folder = "copy"\n')
        for _ in range(times):
            await begin()
            await timed("balancer to first routed", routed(port))
            await end()
            member = cluster.members[0]
            await cluster.kill(member)
            await timed("node to first answer", answered(member))
            for each in cluster.members:
                await cluster.kill(each)
            await begin()
            await timed("balancer without a store to first routed", routed(port))
            await end()
            await begin()
            await timed("all at once to first routed and first commit", routed(port), committed(client),
                        *(cluster.begin(m) for m in cluster.members))
            await end()
        await client.close()
    finally:
        await end()
        if upstreams.stdin is not None:
            upstreams.stdin.close()
        upstreams.send_signal(signal.SIGKILL)
        upstreams.wait()
        await cluster.stop()
        cluster.end()
    size = (cluster.members[0].settings.folder / "state.db").stat().st_size / 1e6
    return {"boxes": boxes, "state_mb": size, "times": {
        what: {"median_ms": statistics.median(ms), "most_ms": max(ms)} for what, ms in found.items()}}
