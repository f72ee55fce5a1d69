"""Tests of site failover and its operators' commands, with balancers on a real store."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest
from typer.testing import CliRunner

from loadbalancer.cli.main import application
from loadbalancer.daemon import documents as document_validation
from loadbalancer.daemon.site_documents import SiteKeys, SitePlanDocument
from loadbalancer.daemon.state_sync import StateSync, StateSyncOptions
from loadbalancer.failover.traffic_shares import TrafficShares
from loadbalancer.policy import api
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.process import Parts
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.store import documents
from loadbalancer.store.client import Client
from loadbalancer.store.documents import DocumentChange
from tests.daemon.test_state_sync import FakeDriver, until
from tests.fakes import run
from tests.store.test_node import Cluster, cluster

SITES = """[[site]]
name = "a"
bears = "40/s"
[[site]]
name = "b"
bears = "40/s"
prices = {a = 1.0}
"""
CLASSES = {"q": api.RequestClass("q", latency_objective_ns=200_000_000)}
UPSTREAMS = [
    Endpoint(api.Upstream(n, api.UpstreamState.READY, "ab"[n % 2]), "127.0.0.1", 9000 + n)
    for n in range(8)
]


class SiteDriver(FakeDriver):
    """A driver with a constant request rate. Upstreams in `unreachable` refuse connections."""

    def __init__(self, zone: str) -> None:
        super().__init__()
        self.settings = api.Settings(
            zone=zone, classes=CLASSES, instance_count=2, tenants={"t": api.Tenant("t", 1.0, 80.0)}
        )
        self.event_listener: Callable[[int, list[api.Event]], None] = lambda now, events: None
        self.requests: dict[str, Any] = {}
        self.unreachable: set[int] = set()
        self.upstreams = SimpleNamespace(
            targets={e.entry.id: SimpleNamespace(endpoint=e) for e in UPSTREAMS},
            check_health=self.check_health,
        )
        self.plans: list[api.TrafficPlan] = []

    def post(self, event: api.Event) -> None:
        if isinstance(event, api.TrafficPlan):
            self.plans.append(event)

    def check_health(
        self, number: int, on_finished: Callable[[api.AttemptResult, Any], None]
    ) -> bool:
        on_finished(
            api.AttemptResult.CONNECT_FAILED
            if number in self.unreachable
            else api.AttemptResult.OK,
            None,
        )
        return True

    async def send_requests(self, rate: float) -> None:
        count = 0
        while True:
            count += 1
            now = time.monotonic_ns()
            arrival = api.RequestArrived(f"r{count}", "q", "t", now + 10**9)
            self.requests = {arrival.request: SimpleNamespace(arrival=arrival)}
            number = count % len(UPSTREAMS)
            result = (
                api.AttemptResult.CONNECT_FAILED
                if number in self.unreachable
                else api.AttemptResult.OK
            )
            self.event_listener(
                now,
                [
                    arrival,
                    api.AttemptFinished(arrival.request, 0, number, result, 20_000_000, True),
                ],
            )
            await asyncio.sleep(1 / rate)


class SiteBalancer:
    """A balancer with site failover: a state sync and a driver that receives requests."""

    def __init__(self, store_cluster: Cluster, name: str, zone: str) -> None:
        self.driver = SiteDriver(zone)
        disabled = DisabledUpstreams(None, name, ProcessRegistry(None), self.driver)
        parts = Parts(cast(Any, None), cast(Any, self.driver), disabled, lambda: None)
        self.state_sync = StateSync(
            store_cluster.client(),
            parts,
            StateSyncOptions("orders", name, lease_s=0.6, has_site_failover=True),
        )
        self.state_sync.start()
        self.sending = asyncio.create_task(self.driver.send_requests(40.0))

    @property
    def is_site_leader(self) -> bool:
        controller = self.state_sync.site_controller
        return controller is not None and bool(controller.lease.active_token)

    async def close(self) -> None:
        self.sending.cancel()
        await self.state_sync.close()


async def command(store_cluster: Cluster, *arguments: str) -> tuple[int, str]:
    """Run a `site` command; return its exit status and its output or error."""
    addresses = ",".join(store_cluster.settings[place].advertise for place in store_cluster.nodes)
    result = await asyncio.to_thread(
        CliRunner().invoke,
        application(arguments),
        ["site", *arguments, "--service", "orders", "--at", addresses],
    )
    output = str(result.exception) if isinstance(result.exception, Exception) else result.output
    return result.exit_code, output


async def read_plan(client: Client) -> SitePlanDocument:
    """Return the stored plan."""
    row = (await client.get(SiteKeys("orders").plan)).rows[0]
    return (
        msgspec.json.decode(row.value, type=SitePlanDocument)
        if row.value is not None
        else SitePlanDocument()
    )


def test_a_site_is_drained_returned_lost_and_recovered(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as store_cluster:
            client = store_cluster.client()
            assert "no document" in (await command(store_cluster, "plan"))[1]
            balancer_a, balancer_b = (
                SiteBalancer(store_cluster, "one", "a"),
                SiteBalancer(store_cluster, "two", "b"),
            )
            await until(
                lambda: (
                    "site controller idle: reason=there is no document sites/orders" in caplog.text
                )
            )
            await documents.put(
                client,
                "sites/orders",
                SITES,
                document_validation.find_error,
                DocumentChange(0, "test"),
            )
            await until(
                lambda: (
                    bool(
                        balancer_a.state_sync.site_agent
                        and balancer_a.state_sync.site_agent.is_following_plan
                    )
                    and bool(
                        balancer_b.state_sync.site_agent
                        and balancer_b.state_sync.site_agent.is_following_plan
                    )
                )
            )
            async with asyncio.timeout(15):
                while (await command(store_cluster, "plan"))[
                    0
                ] != 1:  # 80 requests/s; one site can serve 40
                    pass
            status, output = await command(store_cluster, "hold", "b")
            assert status == 1 and "do not bear it" in output
            assert "no such site" in (await command(store_cluster, "hold", "nowhere"))[1]
            assert (await command(store_cluster, "hold", "b", "--force"))[0] == 0
            await until(
                lambda: (
                    bool(balancer_a.driver.plans)
                    and balancer_a.driver.plans[-1].zone_fractions.get("b") == 0.0
                )
            )
            assert (
                balancer_a.driver.plans[-1].excess_reject_fraction > 0
            )  # requests beyond the shares are rejected
            assert "out by" in (await command(store_cluster, "status"))[1]
            assert (
                'lanelift_site_part{site="b"} 0.0' in (await command(store_cluster, "metrics"))[1]
            )
            assert (
                "not in normal service"
                in (await command(store_cluster, "drill", "b", "--force"))[1]
            )
            assert (await command(store_cluster, "return", "b"))[0] == 0
            await until(lambda: balancer_a.driver.plans[-1] == api.TrafficPlan(), 30.0)
            for balancer in (balancer_a, balancer_b):
                balancer.driver.unreachable = {e.entry.id for e in UPSTREAMS if e.entry.zone == "b"}
            await until(lambda: balancer_a.driver.plans[-1].zone_fractions.get("b") == 0.0)
            async with asyncio.timeout(15):
                while all(x.fraction > 0 for x in (await read_plan(client)).site_states):
                    await asyncio.sleep(0.05)
            token = (await read_plan(client)).token
            for balancer in (balancer_a, balancer_b):
                balancer.driver.unreachable = set()
            leader, remaining = (
                (balancer_a, balancer_b) if balancer_a.is_site_leader else (balancer_b, balancer_a)
            )
            await leader.close()  # the next leader continues from the stored plan
            async with asyncio.timeout(40):
                while (now := await read_plan(client)).token == token or any(
                    not x.is_normal for x in now.site_states
                ):
                    await asyncio.sleep(0.05)
            await until(lambda: remaining.driver.plans[-1].zone_fractions.get("b") is None)
            no_traffic = TrafficShares({"a": {"b": 0.0}, "b": {"b": 0.0}})
            old = msgspec.structs.replace(now, token=token, traffic_shares=no_traffic)
            await client.put(
                SiteKeys("orders").plan, msgspec.json.encode(old)
            )  # a late write of the previous leader
            await until(lambda: "stale message ignored" in caplog.text)
            assert remaining.driver.plans[-1].zone_fractions.get("b") is None
            await remaining.close()

    with caplog.at_level(logging.INFO):
        run(test())


@pytest.mark.parametrize(
    ("text", "expected_error"),
    [
        ("[[site]]\nname = 'a'\nbears = '40'", "bears"),
        ("[[site]]\nname = 'a'\nbears = '0/s'", "bears over 0/s"),
        (
            "[[site]]\nname = 'a'\nbears = '4/s'\n[[site]]\nname = 'a'\nbears = '4/s'",
            "a stands there twice",
        ),
        ("[[site]]\nname = 'a'\nbears = '4/s'\nprices = {b = 1.0}", "b is no site"),
        ("", "site"),
    ],
)
def test_an_invalid_sites_document_is_a_one_line_error(text: str, expected_error: str) -> None:
    output = document_validation.find_error("sites/orders", text)
    assert expected_error in output and "\n" not in output
