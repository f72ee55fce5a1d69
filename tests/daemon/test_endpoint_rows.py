"""The list of upstreams as rows of the feed: what a row is, which are written, who goes by them."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from loadbalancer.changefeed.messages import MAX_ROW_BYTES, Row, split_key
from loadbalancer.changefeed.subscription import Apply
from loadbalancer.daemon import endpoint_publisher, row_codec
from loadbalancer.daemon.address_map import AddressMap
from loadbalancer.daemon.bootstrap import read_bootstrap
from loadbalancer.daemon.endpoint_follower import EndpointListContext
from loadbalancer.daemon.endpoint_publisher import EndpointPublisher, Publication
from loadbalancer.daemon.endpoint_rows import RowWriter
from loadbalancer.daemon.rolling_restart_reader import RollingRestartReader
from loadbalancer.daemon.row_codec import (
    ListRow,
    RowKeys,
    ServiceRow,
    UpstreamRow,
    encode,
    find_row_error,
    plan_writes,
)
from loadbalancer.daemon.state_sync import StateSync, StateSyncOptions
from loadbalancer.leases.fence import FencingPosition
from loadbalancer.policy import api
from loadbalancer.proxy import discovery_watch
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.endpoint import Endpoint, upstream_number
from loadbalancer.proxy.endpoint_list import read_endpoint
from loadbalancer.proxy.process import Parts
from loadbalancer.proxy.process_handover import ProcessRegistry
from loadbalancer.settings import Json, MalformedError
from loadbalancer.store import run as running
from loadbalancer.store.client import Client
from loadbalancer.store.commands import MAX_OPERATIONS, Op, Release, Result
from loadbalancer.store.errors import RejectedError
from loadbalancer.store.lease_client import boot_clock_ns
from loadbalancer.store.settings import read_store
from loadbalancer.testbed.cluster.real import RealCluster
from tests.daemon.test_state_sync import FakeDriver, answered, until
from tests.fakes import FakeDiscovery, FakeUpstream, Observable, free_port, run
from tests.store.test_node import Cluster, cluster

KEYS = RowKeys("orders")
SCOPE = "service:orders"
SERVER = {
    "id": "box-7",
    "addr": "10.1.2.3:8080",
    "zone": "accra-a",
    "kind": "m",
    "cell": 3,
    "state": "Ready",
    "weight": 1.0,
    "started_ms": int(time.time() * 1000) - 5_000,
}


def upstream(**change: object) -> Endpoint:
    return read_endpoint({**SERVER, **change})


# ---- what a row is -------------------------------------------------------------------------------


def test_a_row_holds_what_discovery_reported_and_encodes_deterministically() -> None:
    endpoint = upstream(state="Terminating", weight=0.35)
    value = row_codec.encode_upstream(endpoint)
    assert row_codec.to_endpoint(row_codec.decode_upstream(value)) == endpoint
    assert {
        row_codec.encode_upstream(upstream(state="Terminating", weight=0.35)) for _ in range(100)
    } == {value}
    assert row_codec.decode_upstream(value).started_ms == SERVER["started_ms"]
    assert (
        row_codec.to_endpoint(
            row_codec.decode_upstream(row_codec.encode_upstream(upstream(started_ms=0)))
        ).entry.started_ns
        == 0
    )
    key = KEYS.upstream(endpoint.entry.id)
    assert (
        split_key(key) == (SCOPE, f"upstream/{upstream_number('box-7'):016x}")
        and split_key(KEYS.list)[0] == SCOPE
    )
    assert len(key) + len(value) < 134 < len(key) + MAX_ROW_BYTES


@pytest.mark.parametrize(
    "value, why",
    [
        (b"\xc1", "MessagePack"),
        (encode(("x",)), "length"),
        (encode(UpstreamRow(7, "name.svc", 80, "", "", 0, 1, 0, False)), "host: 'name.svc'"),
        (encode(UpstreamRow(7, "::1", 0, "", "", 0, 1, 0, False)), "port"),
        (encode(UpstreamRow(7, "::1", 80, "", "", 0, float("inf"), 0, False)), "weight"),
        (encode(UpstreamRow(8, "::1", 80, "", "", 0, 1, 0, False)), "its id is 0000000000000008"),
    ],
)
def test_a_row_that_can_not_be_decoded_is_rejected_in_one_line(value: bytes, why: str) -> None:
    error = find_row_error(SCOPE, Row(f"upstream/{7:016x}", 1, value))
    assert why in error and "\n" not in error


def test_a_row_of_a_later_version_is_accepted_where_its_known_fields_decode() -> None:
    value = encode((*msgspec.msgpack.decode(row_codec.encode_upstream(upstream())), "rack-9"))
    key = f"upstream/{upstream_number('box-7'):016x}"
    assert find_row_error(SCOPE, Row(key, 1, value)) == ""
    assert row_codec.to_endpoint(row_codec.decode_upstream(value)) == upstream()
    assert find_row_error(SCOPE, Row("service/orders", 1, encode(ServiceRow("orders")))) == ""
    assert find_row_error(SCOPE, Row("list/orders", 1, encode(ListRow(1, 2, 3, "a", 4)))) == ""
    assert find_row_error(SCOPE, Row(key, 2, None)) == ""
    # Of another kind it can't say that it is in force here.
    assert "knows no route" in find_row_error(SCOPE, Row("route/a", 1, b"\x90"))
    assert "knows no upstream" in find_row_error("global", Row(key, 1, value))
    assert "'carts'" in find_row_error(SCOPE, Row("service/orders", 1, encode(ServiceRow("carts"))))


@pytest.mark.parametrize(
    "bad",
    [
        upstream(zone="z" * MAX_ROW_BYTES),
        upstream(cell=1 << 70),
        replace(upstream(), host="name.svc"),
    ],
)
def test_an_upstream_that_can_not_be_a_row_is_a_one_line_error(bad: Endpoint) -> None:
    with pytest.raises(MalformedError, match=r"upstream [0-9a-f]{16}: [^\n]+\Z"):
        row_codec.encode_upstream(bad)


# ---- which are written ---------------------------------------------------------------------------


def test_only_differences_are_written_in_key_order_with_deletions_last() -> None:
    stored = {"a": (3, b"1"), "b": (9, b"2"), "c": (1, b"3")}
    (batch,) = plan_writes(stored, {"d": b"4", "c": b"3", "b": b"5"})
    assert batch == (Op("b", b"5", 9), Op("d", b"4", 0), Op("a", None, 3))
    assert plan_writes(stored, {k: v for k, (_, v) in stored.items()}) == []


def test_removal_of_a_zone_takes_few_writes() -> None:
    stored = {f"{n:05}": (1, b"x") for n in range(5000)}
    desired = {key: value for key, (_, value) in stored.items() if int(key) >= 2200}
    batches = plan_writes(stored, desired)
    assert len(batches) == 9 and all(len(b) <= MAX_OPERATIONS for b in batches)


@pytest.mark.parametrize("seed", range(20))
def test_a_writer_that_continues_from_any_state_reaches_the_desired_one(seed: int) -> None:
    """Owners die between any two of their writes, and the desired list changes from one to the
    next.
    """
    rng = random.Random(seed)
    stored: dict[str, tuple[int, bytes]] = {}
    desired: dict[str, bytes] = {}
    versions = 0
    for _ in range(30):
        desired = {f"{n:02}": rng.randbytes(1) for n in rng.sample(range(40), rng.randrange(1, 40))}
        batches = plan_writes(stored, desired, max_operations=rng.randrange(1, 9))
        unchanged = {key for key in desired if key in stored}
        for batch in batches[: rng.randrange(len(batches) + 1)]:
            for op in batch:
                assert op.version == stored.get(op.key, (0, b""))[0]
                versions += 1
                if op.value is None:
                    del stored[op.key]
                else:
                    stored[op.key] = versions, op.value
            assert unchanged <= stored.keys()  # none is missing on the way
    for batch in plan_writes(stored, desired, max_operations=5):
        for op in batch:
            stored.pop(op.key, None)
            if op.value is not None:
                stored[op.key] = 1, op.value
    assert {key: value for key, (_, value) in stored.items()} == desired
    assert api.UpstreamState.REMOVED is row_codec.removed_endpoint(7).entry.state


# ---- balancers over a store ----------------------------------------------------------------------

LEASE_S = 0.6


def server(name: str, state: str = "Ready", port: int = 9001, **more: object) -> Json:
    return {**SERVER, "id": name, "addr": f"127.0.0.1:{port}", "state": state, **more}


class RowDriver(FakeDriver):
    """Knows what a driver knows after each list."""

    def __init__(self, notify: Callable[[], None]) -> None:
        super().__init__()
        self.notify = notify

    def learn(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        self.lists.append((kind, endpoints))
        if kind is not api.EndpointListKind.FAILED:
            targets = {} if kind is not api.EndpointListKind.DELTA else self.upstreams.targets
            targets |= {e.entry.id: SimpleNamespace(endpoint=e) for e in endpoints}
            self.upstreams.targets = {
                n: t
                for n, t in targets.items()
                if t.endpoint.entry.state is not api.UpstreamState.REMOVED
            }
            self.list_received.set()
        self.notify()


class RowBalancer(Observable):
    """A balancer's state_sync and list. Without a discovery it knows only what the store says."""

    def __init__(
        self,
        c: Cluster,
        name: str,
        discovery: FakeDiscovery | None,
        rows: bool = True,
        documents: bool = False,
    ) -> None:
        super().__init__()
        self.driver = RowDriver(self.notify)
        address = discovery.address if discovery is not None else ("127.0.0.1", free_port())
        self.discovery = Discovery(cast(Any, self.driver), address, 1)
        self.driver.discovery = cast(Any, self.discovery)
        disabled = DisabledUpstreams(None, name, ProcessRegistry(None), cast(Any, self.driver))
        parts = Parts(cast(Any, None), cast(Any, self.driver), disabled, lambda: None)
        options = StateSyncOptions(
            "orders",
            name,
            lease_s=LEASE_S,
            publishes_rows=rows,
            publishes_documents=documents,
        )
        self.state_sync = StateSync(c.client(), parts, options)
        assert self.state_sync.publisher is not None
        self.publisher = self.state_sync.publisher
        list_lease = self.state_sync.list_lease
        list_lease.on_ownership_change(self.began, self.ended)
        if discovery is None:  # it does not ask for the list's lease
            list_lease.start = lambda: None  # type: ignore[method-assign]
        self.state_sync.start()

    def began(self, token: int) -> None:
        self.publisher.on_lease_acquired(token)
        self.notify()

    def ended(self) -> None:
        self.publisher.on_lease_lost()
        self.notify()

    @property
    def known(self) -> dict[int, api.UpstreamState]:
        return {n: t.endpoint.entry.state for n, t in self.driver.upstreams.targets.items()}

    async def leads(self) -> RowBalancer:
        await self.until(lambda: self.state_sync.list_lease.active_token)
        return self

    async def knows(self, *rows: Json) -> None:
        desired = {e.entry.id: e.entry.state for e in map(read_endpoint, rows)}
        await self.until(lambda: self.known == desired)

    async def close(self) -> None:
        self.discovery.close()
        await self.state_sync.close()

    async def die(self) -> None:
        """As a process that is killed: nothing is given back."""
        self.discovery.close()
        self.publisher.close()
        owners = (
            self.state_sync.name_lease,
            self.state_sync.list_lease,
            self.state_sync.rolling_restart.lease,
        )
        for task in (*self.state_sync.tasks, *(t for owner in owners for t in owner.tasks)):
            task.cancel()
        if self.state_sync.feed is not None:
            await self.state_sync.feed.close()
        if self.state_sync.client.connection is not None:
            self.state_sync.client.connection.abort()


def feed_update(position: ListRow, *upstreams: Json, is_snapshot: bool = False) -> Apply:
    """Rows as the feed hands them over."""
    endpoints = [read_endpoint(b) for b in upstreams]
    put = [
        Row(
            split_key(KEYS.upstream(e.entry.id))[1],
            1,
            row_codec.encode_upstream(e)
            if e.entry.state is not api.UpstreamState.REMOVED
            else None,
        )
        for e in endpoints
    ]
    return Apply(SCOPE, is_snapshot, (*put, Row("list/orders", 1, encode(position))), 1)


def test_a_follower_turns_rows_into_lists_and_deltas() -> None:
    async def test() -> None:
        driver, owner = RowDriver(lambda: None), SimpleNamespace(active_token=0)
        discovery = Discovery(cast(Any, driver), ("127.0.0.1", 1), 1)
        writer = RowWriter(cast(Any, None), cast(Any, owner), "orders")
        context = EndpointListContext(
            cast(Any, driver),
            discovery,
            cast(Any, None),
            cast(Any, owner),
            "orders",
            AddressMap({"127.0.0.1:9001": "127.0.0.2:19001"}),
        )
        publisher = EndpointPublisher(context, writer)
        follower = publisher.follower

        def kinds() -> list[tuple[api.EndpointListKind, int]]:
            found = [(kind, len(endpoints)) for kind, endpoints in driver.lists]
            driver.lists.clear()
            return found

        def position(token: int, number: int) -> ListRow:
            return ListRow(token, number, 1, "a", int(time.time()))

        # Before the committed position is known rows are a cached list, and after it a list.
        follower.apply_rows(feed_update(position(3, 7), server("s-1"), is_snapshot=True))
        follower.apply_rows(feed_update(position(3, 8), server("s-2")))
        assert kinds() == [(api.EndpointListKind.CACHED, 1)]
        follower.source.learn_committed(FencingPosition(3, 7), boot_clock_ns())
        follower.apply_rows(feed_update(position(3, 9), server("s-3")))
        follower.apply_rows(
            feed_update(position(3, 10), server("s-3", "Gone"), server("never there", "Gone"))
        )
        assert kinds() == [(api.EndpointListKind.FULL, 3), (api.EndpointListKind.DELTA, 1)]
        dialled = driver.upstreams.targets[upstream_number("s-1")].endpoint
        assert (dialled.host, dialled.port) == ("127.0.0.2", 19001)
        # Of an owner of before, as from a node that lags, nothing is taken; nor is a list without
        # any.
        follower.apply_rows(feed_update(position(2, 99), server("s-4"), is_snapshot=True))
        follower.apply_rows(feed_update(position(3, 11), is_snapshot=True))
        assert kinds() == []
        follower.apply_rows(feed_update(position(3, 12), server("s-1"), is_snapshot=True))
        assert kinds() == [(api.EndpointListKind.FULL, 1)]
        # What comes while it leads the list itself, and is the next owner's, counts once it does
        # not.
        owner.active_token, publisher.published = 4, Publication(4, 1, [])
        follower.apply_rows(feed_update(position(4, 1), server("s-5")))
        follower.apply_rows(feed_update(position(5, 1), server("s-6")))
        assert kinds() == []
        owner.active_token = 0
        publisher.on_lease_lost()
        assert kinds() == [(api.EndpointListKind.FULL, 3)] and follower.mirrors_table
        publisher.published = Publication(6, 1, [])
        publisher.on_lease_lost()  # its own rows are no news
        assert kinds() == [] and not follower.mirrors_table

    run(test())


class StoredRows:
    """The upstreams' rows in the store, and which writes made them, as a watch of all changes tells
    it.
    """

    def __init__(self, client: Client) -> None:
        self.client = client
        self.rows: dict[int, UpstreamRow] = {}
        self.token = 0  # of the last owner's position
        self.writes: dict[int, int] = {}  # revision -> rows that it changed
        self.revision = 0

    async def until(self, holds: Callable[[], object]) -> None:
        if holds():
            return
        async for event in self.client.watch(KEYS.prefix, self.revision):
            self.revision = event.revision
            for change in event.changes:
                if change.key == KEYS.list and change.value is not None:
                    self.token = row_codec.decode_list(change.value).token
                if change.key.startswith(KEYS.upstreams):
                    self.writes[change.revision] = self.writes.get(change.revision, 0) + 1
                    number = int(change.key.removeprefix(KEYS.upstreams), 16)
                    if change.value is None:
                        del self.rows[number]
                    else:
                        self.rows[number] = row_codec.decode_upstream(change.value)
            if holds():
                return

    async def are(self, *desired: Json) -> None:
        """Wait until just these stand."""
        now = {e.entry.id: row_codec.upstream_row(e) for e in map(read_endpoint, desired)}
        await self.until(lambda: self.rows == now)


@asynccontextmanager
async def fleet(
    folder: Path, *upstreams: Json
) -> AsyncIterator[tuple[Cluster, FakeDiscovery, StoredRows]]:
    discovery = FakeDiscovery(upstreams)
    await discovery.start()
    try:
        async with cluster(folder, 1) as c:
            yield c, discovery, StoredRows(c.client())
    finally:
        discovery.stop()


def test_a_change_arrives_at_followers_as_one_row_and_one_delta(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, *(server(f"s-{n}") for n in range(40))) as (
            c,
            discovery,
            stored,
        ):
            one = await RowBalancer(c, "one", discovery).leads()
            two = RowBalancer(c, "two", None)
            await two.knows(*discovery.rows)
            assert two.driver.lists[-1][0] is api.EndpointListKind.FULL
            await stored.are(*discovery.rows)
            lists, writes = len(two.driver.lists), len(stored.writes)
            client, reader = c.client(), RollingRestartReader(c.client(), "orders")
            assert len((await reader.read()).view.upstreams) == 40
            discovery.change(server("s-7", "Terminating"))
            await two.knows(*discovery.rows)
            discovery.change(server("s-8", "Gone"), server("s-new"))
            await two.knows(*discovery.rows)
            await stored.are(*discovery.rows)
            assert list(stored.writes.values())[writes:] == [1, 2]
            drained, went = two.driver.lists[lists:]
            assert drained == (
                api.EndpointListKind.DELTA,
                [read_endpoint(server("s-7", "Terminating"))],
            )
            assert went[0] is api.EndpointListKind.DELTA and {
                e.entry.id: e.entry.state for e in went[1]
            } == {
                upstream_number("s-8"): api.UpstreamState.REMOVED,
                upstream_number("s-new"): api.UpstreamState.READY,
            }
            # Whoever only looks sees the same; there is no document.
            view = (await reader.read()).view
            assert {n: b.is_ready for n, b in view.upstreams.items()} == {
                n: state is api.UpstreamState.READY for n, state in two.known.items()
            }
            assert (await client.get("list/orders")).rows[0].value is None
            with pytest.raises(RejectedError, match="names"):
                await client.write_rows([Op(KEYS.service, None)])
            for balancer in (one, two):
                await balancer.close()

    run(test())


def test_the_leader_confirms_unchanged_rows(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with fleet(tmp_path, server("s-1")) as (c, discovery, stored):
            one = await RowBalancer(c, "one", discovery).leads()
            two = RowBalancer(c, "two", None)
            await two.knows(*discovery.rows)
            for _ in range(2):
                last_message_ns = two.publisher.follower.source.last_message_ns
                await until(lambda: two.publisher.follower.source.last_message_ns > last_message_ns)  # noqa: B023
            assert len(stored.writes) <= 1 and not two.publisher.follower.source.is_polling
            for balancer in (one, two):
                await balancer.close()

    monkeypatch.setattr(endpoint_publisher, "HEARTBEAT_INTERVAL_S", 0.05)
    monkeypatch.setattr(discovery_watch, "MIN_MEAN_HOLD_MS", 50)
    monkeypatch.setattr(discovery_watch, "MIN_HOLD_MS", 50)
    monkeypatch.setattr(discovery_watch, "SPREAD_PER_BALANCER_MS", 0)
    run(test())


def test_removal_of_a_zone_is_a_few_writes_and_leaves_the_other_rows(tmp_path: Path) -> None:
    async def test() -> None:
        upstreams = [server(f"s-{n}", zone="gone" if n < 600 else "stays") for n in range(700)]
        async with fleet(tmp_path, *upstreams) as (c, discovery, stored):
            one = await RowBalancer(c, "one", discovery).leads()
            await stored.are(*upstreams)
            assert len(stored.writes) == 3  # of at most 256 operations
            discovery.change(*({**b, "state": "Gone"} for b in upstreams[:600]))
            await stored.are(*upstreams[600:])
            assert len(stored.writes) == 6 and sum(stored.writes.values()) == 1300
            await one.close()

    run(test())


def stop_before_write(balancer: RowBalancer, write: int) -> tuple[asyncio.Event, asyncio.Event]:
    """Stop the balancer's client just before its rows' write of this number.

    The first event is set when it does; the second is to be set for it to go on.
    """
    stopped, on, count = asyncio.Event(), asyncio.Event(), 0
    client = balancer.state_sync.client
    write_rows = client.write_rows

    async def stop(*args: Any, **more: Any) -> Result:
        nonlocal count
        count += 1
        if count == write:
            stopped.set()
            await on.wait()
        return await write_rows(*args, **more)

    client.write_rows = stop  # type: ignore[method-assign]
    return stopped, on


def test_the_next_leader_completes_an_interrupted_publication(tmp_path: Path) -> None:
    async def test() -> None:
        upstreams = [server(f"s-{n}") for n in range(600)]
        async with fleet(tmp_path, *upstreams) as (c, discovery, stored):
            one = await RowBalancer(c, "one", discovery).leads()
            stopped, _ = stop_before_write(one, 2)
            await stopped.wait()
            two = RowBalancer(c, "two", discovery)
            await stored.until(lambda: len(stored.rows) == 254)
            await one.die()
            await two.leads()
            await stored.are(*upstreams)
            assert list(stored.writes.values()) == [254, 254, 92]  # what stood is not written again
            three = RowBalancer(c, "three", discovery)
            await two.close()
            await three.leads()
            await stored.until(lambda: stored.token == three.state_sync.list_lease.active_token)
            assert len(stored.writes) == 3  # nothing but its own position
            await three.close()

    run(test())


def test_the_next_leader_does_not_publish_an_older_list(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, server("s-1")) as (c, discovery, stored):
            one = await RowBalancer(c, "one", discovery).leads()
            discovery.change(server("s-2"))
            await stored.are(*discovery.rows)
            await one.close()
            discovery.version, discovery.rows = 1, [server("s-1")]  # as a replica of it that lags
            two = await RowBalancer(c, "two", discovery).leads()
            await until(lambda: two.discovery.version == 1 and two.publisher.min_version == 2)
            discovery.change(server("s-2"), server("s-3"))
            await stored.are(*discovery.rows)
            assert sum(stored.writes.values()) == 3  # s-2 did not go meanwhile
            await two.close()

    run(test())


def test_a_deposed_leaders_write_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with fleet(tmp_path, server("s-1"), server("s-2")) as (c, discovery, stored):
            one = await RowBalancer(c, "one", discovery).leads()
            await stored.are(*discovery.rows)
            stopped, on = stop_before_write(one, 1)
            discovery.change(server("s-1", "Terminating"))
            await stopped.wait()  # it looked at its clock, and its write is still to leave
            owned = one.publisher.running
            assert owned is not None
            one.publisher.running = None  # nobody stops it, as where the whole process stands still
            two = RowBalancer(c, "two", discovery)
            await c.client().release(
                Release("work/list/orders", one.state_sync.list_lease.holder.claim), 5.0
            )
            await two.leads()
            discovery.change(server("s-1"), server("s-2", "Gone"))
            await stored.are(server("s-1"))
            writes = len(stored.writes)
            on.set()
            await asyncio.wait((owned,))
            assert one.state_sync.list_lease.fenced_writes == 1
            await stored.are(server("s-1"))
            assert len(stored.writes) == writes
            await one.close()
            await two.close()

    run(test())
    assert "fenced write rejected" in caplog.text


def test_a_former_leader_follows_the_rows_of_the_next(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, server("s-1"), server("s-2")) as (c, first, stored):
            second = FakeDiscovery([server("s-1"), server("s-3")])
            await second.start()
            one = await RowBalancer(c, "one", first).leads()
            await stored.are(*first.rows)
            two = RowBalancer(c, "two", second)
            await two.knows(*first.rows)
            first.silent = True
            await c.client().release(
                Release("work/list/orders", one.state_sync.list_lease.holder.claim), 5.0
            )
            await two.leads()
            await one.knows(*second.rows)
            lists = len(one.driver.lists)
            second.change(server("s-3", "Terminating"))
            await one.knows(*second.rows)
            assert one.driver.lists[lists:] == [
                (api.EndpointListKind.DELTA, [read_endpoint(server("s-3", "Terminating"))])
            ]
            first.silent = False
            one.discovery.fetch()  # as where the owner is silent
            await one.knows(*first.rows)
            second.change(server("s-4"))
            await one.knows(*second.rows)
            for balancer in (one, two):
                await balancer.close()
            second.stop()

    run(test())


def test_a_rejected_row_keeps_its_previous_value(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with fleet(tmp_path, server("s-1"), server("s-2")) as (c, discovery, stored):
            one = await RowBalancer(c, "one", discovery).leads()
            two = RowBalancer(c, "two", None)
            await two.knows(*discovery.rows)
            client = c.client()
            key = KEYS.upstream(upstream_number("s-1"))
            await client.write_rows([Op(key, encode(("of", "another", "program")))], [()])
            discovery.change(server("s-2", "Terminating"))
            await two.knows(server("s-1"), server("s-2", "Terminating"))
            async with asyncio.timeout(10):
                while (feed := (await client.status())["feed"])["refusals"] < 2:
                    await asyncio.sleep(0.01)  # the acknowledgement is on its way
            refusals = [(r["name"], *r["refusal"][:2]) for r in feed["refused"]]
            assert sorted(refusals) == [(name, SCOPE, split_key(key)[1]) for name in ("one", "two")]
            for balancer in (one, two):
                await balancer.close()

    run(test())
    assert "keeping its previous value" in caplog.text


def test_a_restart_loads_rows_from_the_node_and_an_invalid_upstream_stops_publication(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with fleet(tmp_path, server("s-1")) as (c, discovery, stored):
            one = await RowBalancer(c, "one", discovery).leads()
            await stored.are(*discovery.rows)
            discovery.change(server("s-2"), server("s-3", zone="z" * MAX_ROW_BYTES))
            await until(lambda: bool(one.publisher.last_error))
            two = RowBalancer(c, "two", None)
            await two.knows(server("s-1"))
            discovery.change(server("s-3"))
            await two.knows(*discovery.rows)
            module = two.driver.module
            module.handle(
                time.monotonic_ns(),
                [
                    api.EndpointsUpdated(
                        api.EndpointListKind.FULL,
                        [t.endpoint.entry for t in two.driver.upstreams.targets.values()],
                    )
                ],
            )
            (
                module.concurrency.service_times["q"],
                module.upstream_set.upstreams[upstream_number("s-2")].relative_service_time,
            ) = 5e6, 3.0
            await until(lambda: bool(two.state_sync.name_lease.token()))
            await one.close()
            await two.close()
            again = RowBalancer(c, "two", None)
            await again.knows(*discovery.rows)
            # What was learnt comes behind the list, and is of the same start of each upstream.
            await until(lambda: bool(again.driver.posted))
            (learnt,) = again.driver.posted
            assert isinstance(learnt, api.LearnedState) and learnt.relative_service_times[
                upstream_number("s-2")
            ] == (
                3.0,
                again.driver.upstreams.targets[upstream_number("s-2")].endpoint.entry.started_ns,
            )
            await again.close()

    run(test())
    assert caplog.text.count("endpoint list not published: key=list/orders error=upstream") == 1


def test_a_restored_store_is_followed_from_its_new_leaders_first_write(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, server("s-1"), server("s-2")) as (c, discovery, stored):
            one = await RowBalancer(c, "one", discovery).leads()
            two = RowBalancer(c, "two", None)
            await two.knows(*discovery.rows)
            copy = tmp_path / "copy.db"
            with open(copy, "wb") as file:
                await c.client().read_backup(file.write)
            discovery.change(server("s-2", "Gone"), server("s-3"))
            await two.knows(*discovery.rows)
            lists = len(two.driver.lists)
            await c.stop(0)
            path = tmp_path / "restored.toml"
            path.write_text((tmp_path / "0.toml").read_text().replace('"n0"', '"restored"'))
            c.settings[0] = read_store(path)
            running.restore(c.settings[0], copy)
            await c.begin(0)
            discovery.change(server("s-4"))
            await two.knows(*discovery.rows)
            # The copy's rows are older than what was received: s-2 does not come back for a moment.
            assert all(
                upstream_number("s-2") != e.entry.id or e.entry.state is api.UpstreamState.REMOVED
                for _, endpoints in two.driver.lists[lists:]
                for e in endpoints
            )
            for balancer in (one, two):
                await balancer.close()

    run(test())


def test_a_process_without_discovery_serves_from_the_rows(tmp_path: Path) -> None:
    async def begin(
        store: RealCluster, name: str, discovery: int, port: int
    ) -> asyncio.subprocess.Process:
        path = tmp_path / f"{name}.toml"
        path.write_text(
            f"listen = '127.0.0.1:{port}'\ndiscovery = '127.0.0.1:{discovery}'\n"
            "[[class]]\nname = 'quote'\neffect = 'safe'\naim = '2s'\ndeadline = '3s'\n"
            f"[store]\naddresses = ['{store.addresses[0]}']\nservice = 'orders'\n"
            f"balancer = '{name}'\nrank = {0 if name == 'one' else 9}\nrows = true\n"
        )
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "loadbalancer.cli.main",
            "serve",
            "--settings",
            str(path),
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def test() -> None:
        first, second = FakeUpstream("s-0"), FakeUpstream("s-1")
        discovery = FakeDiscovery([])
        store = RealCluster(tmp_path, 1)
        processes = []
        for server in (first, second, discovery):
            await server.start()
        discovery.rows = [first.row()]
        try:
            await store.start()
            processes.append(await begin(store, "one", discovery.port, free_port()))
            client = store.client()
            stored = StoredRows(client)
            await stored.are(first.row())
            port = free_port()
            processes.append(await begin(store, "two", free_port(), port))
            connection = await answered(port)
            async with asyncio.timeout(10):
                for number in itertools.count():  # it refuses until it knows of an upstream
                    if (await connection.ask(f"r{number}")).body == b"s-0":
                        break
                    await asyncio.sleep(0.01)
            discovery.change(first.row("Gone"), second.row())
            await stored.are(second.row())
            revision = max(stored.writes)
            async with asyncio.timeout(10):
                while any(at < revision for at, _ in (await client.status())["feed"]["reached"]):
                    await asyncio.sleep(0.01)
            assert (await connection.ask("last")).body == b"s-1"
            await client.close()
        finally:
            for process in processes:
                process.kill()
                await process.wait()
            await store.stop()
            for server in (first, second, discovery):
                server.stop()

    run(test())


# ---- beside balancers that know no rows ----------------------------------------------------------


async def document_is_deleted(c: Cluster) -> None:
    async for event in c.client().watch("list/orders", 0):
        if any(change.value is None for change in event.changes):
            return


def test_of_rows_and_documents_those_of_the_later_leader_are_followed(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, server("s-1")) as (c, discovery, stored):
            old = await RowBalancer(c, "old", discovery, rows=False).leads()
            new, plain = RowBalancer(c, "new", None), RowBalancer(c, "plain", None, rows=False)
            await new.knows(server("s-1"))  # of the document
            assert not stored.rows
            await old.close()
            await new.close()
            both = await RowBalancer(c, "both", discovery, documents=True).leads()
            new = RowBalancer(c, "new", None)
            discovery.change(server("s-2"))
            await new.knows(*discovery.rows)
            await plain.knows(*discovery.rows)
            await both.close()
            alone = await RowBalancer(c, "alone", discovery).leads()
            discovery.change(server("s-3"))
            await new.knows(*discovery.rows)
            # A document that nobody keeps up would be the list of whoever starts and knows no rows.
            await document_is_deleted(c)
            await alone.close()
            old = await RowBalancer(c, "old", discovery, rows=False).leads()
            discovery.change(server("s-1", "Gone"))
            await new.knows(*discovery.rows)
            for balancer in (old, new, plain):
                await balancer.close()

    run(test())


@pytest.mark.parametrize(
    "text, why",
    [
        ("documents = true", "store.documents: goes with rows alone"),
        (
            "rows = true\n[[server]]\nid = 'a'\naddress = '::1'",
            "store.rows: the list of upstreams is",
        ),
        ("rows = 1", "rows"),
    ],
)
def test_contradicting_settings_are_a_one_line_error(tmp_path: Path, text: str, why: str) -> None:
    path = tmp_path / "b.toml"
    path.write_text(f"[store]\naddresses = ['127.0.0.1:1']\nservice = 'orders'\n{text}\n")
    with pytest.raises(MalformedError, match=rf"{why}[^\n]*\Z"):
        read_bootstrap(path)
