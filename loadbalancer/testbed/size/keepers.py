"""Balancers as the store sees them, many in one process: the daemon's own keeper, which is handed
in, beside a driver that has nothing to do. What they commit at rest is what the store bears before
anything happens.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any, Protocol, cast

from loadbalancer.policy import api
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.process import Parts
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.store import documents
from loadbalancer.store.client import Client
from loadbalancer.store.documents import DocumentChange
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.testbed.rig.world import unchecked
from loadbalancer.testbed.size.crowd import Crowd
from loadbalancer.testbed.size.series import Series
from loadbalancer.testbed.size.storecommits import real
from loadbalancer.testbed.size.storenode import Heard, used

NAMED_S = 60.0
SETTLE_S = 6.0  # after all names are held: works are owned by then, and first words said
POLL_S = 0.02
SITE = '[[site]]\nname = "a"\nbears = "1000/s"\n'
LEARNT = api.LearnedState(
    0,
    86.0,
    {f"tenant-{n}": 1.0 for n in range(20)},
    {"lookup": 2e7, "book": 4e7},
    1e6,
    0.5,
    1.0,
    {n: (1.0, 0) for n in range(16)},
)
TENANTS = {"t": api.Tenant("t", 1.0, 80.0)}


class StillDriver:
    """What a keeper needs of a driver, of a balancer that holds a list and serves nothing."""

    def __init__(self, balancers: int) -> None:
        self.list_received = asyncio.Event()
        self.settings = api.Settings(
            zone="a",
            classes={"q": api.RequestClass("q")},
            tenants=TENANTS,
            instance_count=balancers,
        )
        self.discovery = None
        self.event_listener: Callable[[int, Sequence[api.Event]], None] = lambda now, events: None
        self.requests: dict[str, Any] = {}
        boxes = [
            Endpoint(api.Upstream(n, api.UpstreamState.READY, "a"), "127.0.0.1", 9000 + n)
            for n in range(16)
        ]
        self.upstreams = SimpleNamespace(
            targets={e.entry.id: SimpleNamespace(endpoint=e) for e in boxes},
            check_health=self.check_health,
        )
        self.balancer = SimpleNamespace(
            learned_state=lambda: LEARNT,
            requests={},
            concurrency=SimpleNamespace(service_times=dict(LEARNT.service_times)),
            rate_controller=SimpleNamespace(finished_per_s=86.0, served_per_s=86.0),
        )

    def learn(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        self.upstreams.targets = {e.entry.id: SimpleNamespace(endpoint=e) for e in endpoints}

    def post(self, event: api.Event) -> None:
        pass

    def was_listed(self, name: str) -> bool:
        return True

    def set_disabled(self, name: str, is_disabled: bool) -> None:
        pass

    def check_health(self, number: int, done: Callable[[api.AttemptResult, Any], None]) -> bool:
        done(api.AttemptResult.OK, None)
        return True


class Keeper(Protocol):
    """The daemon's, with sites. `name_lease`: the lease of its name."""

    name_lease: LeaseClient

    def start(self) -> None: ...

    async def close(self) -> None: ...


Make = Callable[[Client, str, str, Parts], Keeper]  # of a service and a balancer's name


def still(name: str, balancers: int) -> Parts:
    """What a keeper is made beside."""
    driver = cast(Any, StillDriver(balancers))
    return Parts(
        cast(Any, None),
        driver,
        DisabledUpstreams(None, name, ProcessRegistry(None), driver),
        lambda: None,
    )


async def at_rest(
    folder: Path,
    make: Make,
    sizes: Sequence[int],
    apart: bool,
    seconds: float,
    heard: Heard,
    settle_s: float = SETTLE_S,
) -> list[Series]:
    """N balancers with sites and nothing to do. `apart`: each the only one of its service, else all
    of one. Commits, changes that watchers may hear (those of what is learnt and of sites besides),
    and CPU of the nodes, each a second. What is no change is a renewal.
    """
    name = "store.rest.apart" if apart else "store.rest.together"
    commits, changes, learnt, sited, size, leader_cpu, follower_cpu = (
        Series(f"{name}_{what}", unit, "balancers")
        for what, unit in (
            ("commits", "commits a second"),
            ("changes", "changes a second"),
            ("learnt", "changes a second"),
            ("site", "changes a second"),
            ("bytes", "bytes a second"),
            ("leader_cpu", "us a second"),
            ("follower_cpu", "us a second"),
        )
    )
    async with real(folder / name) as cluster:
        for count in sizes:
            client = cluster.client("look")
            services = [f"of-{count}-{n}" for n in range(count if apart else 1)]
            keepers: list[Keeper] = []
            crowd = Crowd(cluster.addresses[0], "")
            try:
                for service in services:
                    await documents.put(
                        client, f"sites/{service}", SITE, unchecked, DocumentChange(0, "lab")
                    )
                keepers = [
                    make(
                        cluster.client(f"b{n}"),
                        services[n % len(services)],
                        f"b{n}",
                        still(f"b{n}", 1 if apart else count),
                    )
                    for n in range(count)
                ]
                for one in keepers:
                    one.start()
                async with asyncio.timeout(NAMED_S):
                    while not all(k.name_lease.token() for k in keepers):
                        await asyncio.sleep(POLL_S)
                await asyncio.sleep(settle_s)
                leader = await cluster.leader()
                nodes = [leader, *(m for m in cluster.members if m is not leader)]
                first = (await client.status())["applied"]
                await crowd.grow(1, first)
                told, bytes_, kinds, before = crowd.heard, crowd.bytes, crowd.kinds, used(nodes)
                began = time.perf_counter()
                await asyncio.sleep(seconds)
                took = time.perf_counter() - began
                spent = [1e6 * (a - b) / took for a, b in zip(used(nodes), before, strict=True)]
                commits.add(count, ((await client.status())["applied"] - first) / took)
                changes.add(count, (crowd.heard - told) / took)
                kinds = crowd.kinds - kinds
                learnt.add(count, kinds["learnt"] / took)
                sited.add(count, kinds["site"] / took)
                size.add(count, (crowd.bytes - bytes_) / took)
                leader_cpu.add(count, spent[0])
                follower_cpu.add(count, sum(spent[1:]) / len(spent[1:]))
                owned = sum(bool(k.name_lease.token()) for k in keepers)
                heard(
                    f"{count} balancers, {'each its own service' if apart else 'one service'}: "
                    f"{owned}"
                    f" names held, {commits.points[-1][1]:.1f} commits/s,"
                    f" {changes.points[-1][1]:.1f} changes/s"
                )
            finally:
                await asyncio.gather(*(k.close() for k in keepers))
                await crowd.close()
                await client.close()
    return [commits, changes, learnt, sited, size, leader_cpu, follower_cpu]
