"""Tests of a balancer with a store.

They cover settings from the store, the shared set of disabled upstreams, and the state that is
restored after a restart.
"""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from loadbalancer.daemon.documents import find_error
from loadbalancer.daemon.persisted import SavedLearnedState, load_learned_state, save_learned_state
from loadbalancer.daemon.state_sync import StateSync, StateSyncOptions
from loadbalancer.policy import Balancer, api
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.proxy.process import Parts
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.store import documents
from loadbalancer.store.documents import DocumentChange
from loadbalancer.store.errors import ConflictError, RejectedError
from loadbalancer.testbed.cluster.real import RealCluster
from tests.fakes import Client, FakeUpstream, free_port, run
from tests.store.test_node import Cluster, cluster


def settings(port: int, upstream: FakeUpstream) -> str:
    """Return a settings document with one upstream."""
    return (
        f"listen = '127.0.0.1:{port}'\n[[server]]\nid = '{upstream.name}'\n"
        f"address = '127.0.0.1:{upstream.port}'\n[[class]]\nname = 'quote'\neffect = 'safe'\n"
        "aim = '2s'\ndeadline = '3s'\n"
    )


async def until(condition: Callable[[], bool], seconds: float = 15.0) -> None:
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


async def connect_when_ready(port: int) -> Client:
    """Return a connection to the balancer, once it accepts connections."""
    async with asyncio.timeout(20):
        while True:
            try:
                return await Client.connect(("127.0.0.1", port))
            except OSError:
                await asyncio.sleep(0.005)


def test_settings_are_read_from_the_store_and_then_from_the_local_copy(tmp_path: Path) -> None:
    async def begin(path: Path) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loadbalancer.cli.main",
            "serve",
            "--settings",
            str(path),
            stderr=asyncio.subprocess.PIPE,
        )

    async def wait_for_log(process: asyncio.subprocess.Process, text: str) -> None:
        assert process.stderr is not None
        async with asyncio.timeout(20):
            while text.encode() not in (line := await process.stderr.readline()):
                assert line, text

    async def test() -> None:
        first, second = FakeUpstream("s-0"), FakeUpstream("s-1")
        await first.start()
        await second.start()
        port = free_port()
        store = RealCluster(tmp_path, 1)
        process = None
        try:
            await store.start()
            client = store.client()
            bootstrap_path = tmp_path / "boot.toml"
            bootstrap_path.write_text(
                f"[store]\naddresses = ['{store.addresses[0]}']\nservice = 'orders'\n"
                "document = 'balancer/orders'\nfolder = 'copy'\n"
            )
            process = await begin(bootstrap_path)
            await wait_for_log(process, "not available from the store, and no local copy exists")
            assert await process.wait() == 2
            await documents.put(
                client,
                "balancer/orders",
                settings(port, first),
                find_error,
                DocumentChange(0, "me"),
            )
            process = await begin(bootstrap_path)
            connection = await connect_when_ready(port)
            assert (await connection.ask("r1")).body == b"s-0"
            with pytest.raises(RejectedError, match="missing required field"):
                await documents.put(
                    client,
                    "balancer/orders",
                    "listen = 'x'\n[[class]]\n",
                    find_error,
                    DocumentChange(1, "me"),
                )
            with pytest.raises(ConflictError):
                await documents.put(
                    client,
                    "balancer/orders",
                    settings(port, second),
                    find_error,
                    DocumentChange(9, "me"),
                )
            await documents.put(
                client,
                "balancer/orders",
                settings(port, second),
                find_error,
                DocumentChange(1, "me"),
            )
            await wait_for_log(process, "configuration reloaded: upstreams=1")
            assert (await connection.ask("r2")).body == b"s-1"
            # Without the store, the balancer logs the outage, continues and can be restarted.
            await client.close()
            await store.kill(store.members[0], signal.SIGKILL)
            await wait_for_log(process, "store unavailable, using last known state")
            assert (await connection.ask("r3")).body == b"s-1"
            process.terminate()
            assert await process.wait() == 0
            process = await begin(bootstrap_path)
            again = await connect_when_ready(port)
            assert (await again.ask("r4")).body == b"s-1"
        finally:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            await store.stop()
            first.stop()
            second.stop()

    run(test())


class FakeDriver:
    """The part of a driver that a state sync uses."""

    def __init__(self) -> None:
        self.list_received = asyncio.Event()
        self.settings = api.Settings()
        self.discovery = None
        self.upstreams = SimpleNamespace(targets={})
        self.lists: list[tuple[api.EndpointListKind, list[Endpoint]]] = []
        self.posted: list[api.Event] = []
        self.disabled_calls: dict[str, bool] = {}
        self.module = Balancer(
            api.Settings(classes={"q": api.RequestClass("q")}), 1, time.monotonic_ns()
        )

    @property
    def balancer(self) -> Balancer:
        return self.module

    def learn(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        self.lists.append((kind, endpoints))
        self.upstreams.targets = {e.entry.id: SimpleNamespace(endpoint=e) for e in endpoints}

    def post(self, event: api.Event) -> None:
        self.posted.append(event)

    def was_listed(self, name: str) -> bool:
        return True

    def set_disabled(self, name: str, is_disabled: bool) -> None:
        self.disabled_calls[name] = is_disabled


class SyncedBalancer:
    """A state sync with its own driver."""

    def __init__(self, store_cluster: Cluster, name: str) -> None:
        self.driver = FakeDriver()
        self.disabled = DisabledUpstreams(None, name, ProcessRegistry(None), self.driver)
        parts = Parts(cast(Any, None), cast(Any, self.driver), self.disabled, lambda: None)
        self.state_sync = StateSync(store_cluster.client(), parts, StateSyncOptions("orders", name))
        self.state_sync.start()


def test_an_upstream_disabled_on_one_balancer_is_disabled_on_all(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as store_cluster:
            balancer_a, balancer_b = (
                SyncedBalancer(store_cluster, "one"),
                SyncedBalancer(store_cluster, "two"),
            )
            await asyncio.gather(
                balancer_a.disabled.disable("box-1"), balancer_b.disabled.disable("box-2")
            )
            both = frozenset({"box-1", "box-2"})
            await until(lambda: balancer_a.disabled.names == balancer_b.disabled.names == both)
            await store_cluster.stop(store_cluster.leader())
            await balancer_a.disabled.enable("box-2")
            await until(lambda: balancer_b.disabled.names == {"box-1"})
            assert balancer_b.driver.disabled_calls == {"box-1": True, "box-2": False}
            late_balancer = SyncedBalancer(store_cluster, "late")
            await until(lambda: late_balancer.driver.disabled_calls == {"box-1": True})
            for synced_balancer in (balancer_a, balancer_b, late_balancer):
                await synced_balancer.state_sync.close()

    run(test())


def test_a_change_made_without_the_store_is_published_later(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as store_cluster:
            balancer_a = SyncedBalancer(store_cluster, "one")
            await store_cluster.stop(0)
            await balancer_a.disabled.disable("box-1")
            assert balancer_a.driver.disabled_calls == {"box-1": True}
            await until(lambda: "store unavailable, using last known state" in caplog.text)
            await store_cluster.begin(0)
            balancer_b = SyncedBalancer(store_cluster, "two")
            await until(lambda: balancer_b.driver.disabled_calls == {"box-1": True})
            await until(lambda: "store available again" in caplog.text)
            await balancer_a.state_sync.close()
            await balancer_b.state_sync.close()

    with caplog.at_level(logging.INFO):
        run(test())


def test_the_last_list_and_the_learned_state_are_restored(tmp_path: Path) -> None:
    now = time.monotonic_ns()
    started_ms = time.time_ns() // 1_000_000 - 9_000
    old = [
        Endpoint(
            api.Upstream(i, api.UpstreamState.READY, "z", 1, 1.0, now - i * 10**9, "k"),
            "127.0.0.1",
            9000 + i,
            started_ms + i * 1000,
        )
        for i in (1, 2)
    ]

    async def test() -> None:
        async with cluster(tmp_path, 1) as store_cluster:
            balancer_a = SyncedBalancer(store_cluster, "one")
            balancer_a.driver.learn(api.EndpointListKind.FULL, old)
            balancer_a.driver.module.handle(
                now, [api.EndpointsUpdated(api.EndpointListKind.FULL, [e.entry for e in old])]
            )
            balancer_a.driver.module.concurrency.service_times["q"] = 5e6
            balancer_a.driver.module.upstream_set.upstreams[2].relative_service_time = 3.0
            await until(
                lambda: bool(
                    balancer_a.state_sync.list_lease.token()
                    and balancer_a.state_sync.name_lease.token()
                )
            )
            await balancer_a.state_sync.save()
            await balancer_a.state_sync.close()
            balancer_b = SyncedBalancer(store_cluster, "one")
            await until(lambda: bool(balancer_b.driver.posted))
            ((kind, listed),) = balancer_b.driver.lists
            assert kind is api.EndpointListKind.CACHED and [e.port for e in listed] == [9001, 9002]
            assert [e.started_ms for e in listed] == [e.started_ms for e in old]
            (learned,) = balancer_b.driver.posted
            assert (
                isinstance(learned, api.LearnedState)
                and learned.service_times == {"q": 5e6}
                and learned.age_ns < 5 * 10**9
            )
            update = api.EndpointsUpdated(api.EndpointListKind.CACHED, [e.entry for e in listed])
            balancer_b.driver.module.handle(now, [update, learned])
            assert (
                2.5
                < balancer_b.driver.module.upstream_set.upstreams[2].relative_service_time
                <= 3.0
            )
            await balancer_b.state_sync.close()

    run(test())


def test_learned_state_loses_weight_with_age_and_is_dropped_after_a_restart() -> None:
    def loaded_service_time(age_s: float, started: int) -> float:
        now = 10**12
        module = Balancer(api.Settings(classes={"q": api.RequestClass("q")}), 1, now)
        module.handle(
            now,
            [
                api.LearnedState(
                    int(age_s * 1e9), 50.0, {"": 40.0}, {"q": 5e6}, 1e6, 0.2, 3.0, {1: (3.0, 7)}
                )
            ],
        )
        module.handle(
            now,
            [
                api.EndpointsUpdated(
                    api.EndpointListKind.FULL, [api.Upstream(1, started_ns=started)]
                )
            ],
        )
        return module.upstream_set.upstreams[1].relative_service_time

    fresh, aged, stale = (loaded_service_time(age, 7) for age in (0, 60, 3600))
    assert fresh == 3.0 and aged == pytest.approx(2.0) and stale == 1.0
    assert loaded_service_time(0, 8) == 1.0
    old = {1: Endpoint(api.Upstream(1), "", 0), 2: Endpoint(api.Upstream(2), "", 0, 7_000)}
    learned = api.LearnedState(
        0, 9.0, {"a": 1.0}, {"q": 2.0}, 3.0, 0.1, 2.0, {1: (2.0, 0), 2: (2.0, 10**9)}
    )
    saved = save_learned_state(learned, old)
    again = {1: old[1], 2: Endpoint(api.Upstream(2), "", 0)}
    loaded = load_learned_state(
        SavedLearnedState(**{f: getattr(saved, f) for f in saved.__struct_fields__}), again
    )
    assert (
        loaded is not None and loaded.relative_service_times == {1: (2.0, 0)} and loaded.rate == 9.0
    )


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_state_learned_before_a_clock_step_has_an_unknown_age(
    step_s: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The state is dropped after a step back, and counts as an hour old after a step forward."""
    saved = save_learned_state(api.LearnedState(0, 9.0, {}, {"q": 2.0}, 3.0, 0.1, 2.0, {}), {})
    now_s = time.time()
    monkeypatch.setattr(time, "time", lambda: now_s + step_s)
    loaded = load_learned_state(saved, {})
    assert loaded is None if step_s < 0 else loaded is not None and loaded.age_ns > 3000 * 10**9
