"""What leases cost: so many holders of so many leases at a real cluster; and how long a work is
without an owner, by how the owner went.
"""

from __future__ import annotations

import asyncio
import resource
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from loadbalancer.settings import Json
from loadbalancer.store.client import Client
from loadbalancer.store.errors import StoreError
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.testbed.cluster.bench import cpu_s, written
from loadbalancer.testbed.cluster.real import RealCluster
from loadbalancer.testbed.results import spread
from loadbalancer.testbed.rig.run import play
from loadbalancer.testbed.rig.scenario import SECOND, Fault, Moment, Scenario
from loadbalancer.units import Duration

SETTLE_S = 3.0
ALL = 10  # up to so many leases each holder is a candidate for all of them, beyond it for one


async def lease_cost(folder: Path, leases: int, holders: int, seconds: float, ttl_s: float) -> Json:
    """So many holders, each a candidate for its share of the leases; a minute's worth of commits,
    bytes and CPU of the nodes, and of this process with all holders in it.
    """
    cluster = RealCluster(folder, 3)
    clients: list[Client] = []
    owners: list[LeaseClient] = []
    try:
        await cluster.start()
        for number in range(holders):
            client = cluster.client(f"holder-{number}")
            clients.append(client)
            for lease in range(leases) if leases <= ALL else [number % leases]:
                owners.append(LeaseClient(client, f"work/{lease}", f"h{number}", ttl_s))
        for owner in owners:
            owner.start()
        until = time.monotonic() + 30.0
        while time.monotonic() < until and sum(bool(o.active_token) for o in owners) < leases:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLE_S)
        before = await _figures(cluster)
        began, here = time.monotonic(), _cpu_here()
        await asyncio.sleep(seconds)
        after = await _figures(cluster)
        took = time.monotonic() - began
        minute = 60 / took
        return {
            "leases": leases,
            "holders": holders,
            "ttl_s": ttl_s,
            "owned": sum(bool(o.active_token) for o in owners),
            "commits": round((after[0] - before[0]) * minute),
            "bytes": round((after[1] - before[1]) * minute),
            "node_cpu_s": round((after[2] - before[2]) * minute, 2),
            "holder_cpu_ms": round((_cpu_here() - here) * minute * 1000 / holders, 1),
        }
    finally:
        for owner in owners:
            for task in list(owner.tasks):
                task.cancel()
        for client in clients:
            with suppress(StoreError, OSError):
                await client.close()
        await cluster.stop()
        cluster.end()


def _cpu_here() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def _figures(cluster: RealCluster) -> tuple[int, int, float]:
    """Entries of the log, bytes that all nodes wrote, and CPU seconds of all nodes."""
    client = cluster.client("figures")
    try:
        status = await client.status()
    finally:
        await client.close()
    return int(status["last"]), written(cluster), cpu_s(cluster)


GONE = {
    "hand-over": Fault("leave", at=Duration(SECOND), on="@list", lasts=Duration(SECOND)),
    "kill": Fault("kill", at=Duration(SECOND), on="@list", lasts=Duration(SECOND)),
    "kill after a renewal": Fault(
        "kill", when=Moment("@list", "claim"), on="@list", lasts=Duration(SECOND)
    ),
    "stop": Fault("stop", at=Duration(SECOND), on="@list", lasts=Duration(5 * SECOND)),
    "cut off": Fault("hold", at=Duration(SECOND), link="@list>node-*", lasts=Duration(5 * SECOND)),
}


def without_owner(times: int, lease_s: float, heard: Callable[[str], None]) -> Json:
    """Seconds from the moment an owner went until the next one held, by how it went: median, 99%,
    most.
    """
    found: Json = {}
    for how, fault in GONE.items():
        gaps: list[float] = []
        s = Scenario(
            how,
            lasts=Duration(int((lease_s * 2 + 2.5) * SECOND)),
            lease=Duration(int(lease_s * SECOND)),
            balancers=3,
            boxes=2,
            rate=20.0,
            faults=(fault,),
        )
        for seed in range(1, times + 1):
            result = play(s, seed)
            if result.wrong:
                heard(f"{how}, seed {seed}: {result.wrong[0]}")
                continue
            at = next(
                t
                for t, what in result.events
                if what.startswith(fault.do) and not what.endswith("over")
            )
            if fault.do == "leave":  # it goes once what it has taken is answered
                at = next(
                    (
                        t
                        for t, what in result.events
                        if t > at
                        and "lease lost: lease=work/list" in what
                        and "reason=shutdown" in what
                    ),
                    at,
                )
            later = [o[3] for o in result.owners if o[0].startswith("work/list") and o[3] >= at]
            if later:
                gaps.append(later[0] - at)
        found[how] = [round(value, 3) for value in spread(gaps)]
        heard(f"{how}: {found[how]}")
    return found
