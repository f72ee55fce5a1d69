"""Tests of the change feed between running nodes and the clients of balancers.

They cover restarts, slow readers, node failures and restored stores.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import pytest

from loadbalancer.changefeed.fanout import Send
from loadbalancer.changefeed.messages import Row
from loadbalancer.changefeed.subscription import Apply, SubscriptionLimits
from loadbalancer.settings import MalformedError
from loadbalancer.store import changefeed_server, connection
from loadbalancer.store import run as running
from loadbalancer.store.changefeed_client import ChangefeedClient, ChangefeedTarget
from loadbalancer.store.client import Client
from loadbalancer.store.commands import Op
from loadbalancer.store.connection import Connection
from loadbalancer.store.durable import watch_events
from loadbalancer.store.errors import RejectedError, UnavailableError, UndecidedError
from loadbalancer.store.security import TlsFiles
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import Hello, SendToChangefeed
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.testbed.cluster.real import RealCluster
from tests.certificates import Authority
from tests.fakes import Observable
from tests.store.test_node import Cluster, cluster, connect_and_greet, run

ORDERS, CARTS = "service:orders", "service:carts"
FAST_LIMITS = SubscriptionLimits(
    backoff_ns=20_000_000, backoff_most_ns=200_000_000, ack_ns=5_000_000, silent_ns=60_000_000_000
)


class Balancer(Observable):
    """A change feed client that records the applied rows."""

    def __init__(
        self,
        addresses: Sequence[str],
        scopes: Sequence[str],
        name: str = "b",
        seed: int = 1,
        tls: TlsFiles | None = None,
        check: Callable[[str, Row], str] = lambda scope, row: "",
        nearby_count: int = 0,
    ) -> None:
        super().__init__()
        self.rows: dict[str, dict[str, bytes]] = {}
        self.applied: list[Apply] = []
        self.client = ChangefeedClient(
            ChangefeedTarget(
                addresses,
                lambda: tls.context(False) if tls else None,
                name,
                nearby_count,
                rng=random.Random(seed),
            ),
            scopes,
            check,
            self.apply,
            limits=FAST_LIMITS,
        )
        self.client.start()

    def apply(self, action: Apply) -> None:
        rows = self.rows.setdefault(action.scope, {})
        if action.is_snapshot:
            rows.clear()
        for row in action.rows:
            if row.value is None:
                rows.pop(row.key, None)
            else:
                rows[row.key] = row.value
        self.applied.append(action)
        self.notify()

    def value(self, scope: str, key: str) -> bytes | None:
        return self.rows.get(scope, {}).get(key)

    async def wait_for_value(self, scope: str, key: str, value: bytes | None) -> None:
        async with asyncio.timeout(20):
            await self.until(lambda: scope in self.rows and self.value(scope, key) == value)

    def snapshot_count(self, scope: str) -> int:
        return sum(action.is_snapshot for action in self.applied if action.scope == scope)

    def revisions_never_decrease(self) -> bool:
        revisions_by_scope: dict[str, list[int]] = {}
        for action in self.applied:
            revisions_by_scope.setdefault(action.scope, []).append(action.revision)
        return all(revisions == sorted(revisions) for revisions in revisions_by_scope.values())


def key(scope: str, name: str) -> str:
    return f"feed/{scope}/upstream/{name}"


async def put(client: Client, scope: str, value: bytes | None, *names: str) -> int:
    """Write rows, with retries; return the revision of the write."""
    async with asyncio.timeout(20):  # a new cluster first upgrades its state format
        while True:
            try:
                return (
                    await client.write_rows([Op(key(scope, name), value) for name in names])
                ).revision
            except UndecidedError:  # on a leader change; a repeated write is harmless
                pass


async def close_balancers(*balancers: Balancer) -> None:
    for balancer in balancers:
        await balancer.client.close()


def feed_status(local_cluster: Cluster, node_index: int) -> dict[str, Any]:
    status: dict[str, Any] | None = local_cluster.nodes[node_index].node.status()["feed"]
    assert status is not None
    return status


def test_balancer_receives_its_scopes_from_any_member_including_a_learner(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as local_cluster:
            client = local_cluster.client()
            identity = running.prepare(local_cluster.read(3), "c")
            await local_cluster.insist(
                client, "learn", identity.node, local_cluster.settings[3].advertise
            )
            await local_cluster.begin(3)
            await put(client, ORDERS, b"1", "a", "b")
            balancers = [
                Balancer([local_cluster.settings[p].advertise], [ORDERS, "global"], f"b{p}")
                for p in local_cluster.settings
            ]
            other = Balancer([local_cluster.settings[0].advertise], [CARTS], "other")
            for balancer in balancers:
                await balancer.wait_for_value(ORDERS, "upstream/b", b"1")
            result = await client.write_rows(
                [
                    Op(key(ORDERS, "a"), b"2"),
                    Op("feed/global/tenant/acme", b"t"),
                    Op(key(CARTS, "x"), b"9"),
                    Op(key(ORDERS, "b"), None),
                ],
                [("feed/global/tenant/acme",), (), (), ()],
            )
            for balancer in balancers:
                await balancer.wait_for_value(ORDERS, "upstream/a", b"2")
                await balancer.wait_for_value("global", "tenant/acme", b"t")
                assert (
                    balancer.rows[ORDERS] == {"upstream/a": b"2"}
                    and balancer.snapshot_count(ORDERS) == 1
                )
                assert sorted(
                    w.scope for w in balancer.applied if w.revision == result.revision
                ) == [
                    "global",
                    ORDERS,
                ]
            await other.wait_for_value(CARTS, "upstream/x", b"9")
            assert set(other.rows) == {CARTS}, "only subscribed scopes are received"
            other.client.change_scopes([ORDERS], [CARTS])
            await other.wait_for_value(ORDERS, "upstream/a", b"2")
            with pytest.raises(RejectedError, match="which is not there"):
                await client.write_rows(
                    [Op(key(ORDERS, "c"), b"1")], [("feed/global/tenant/none",)]
                )
            with pytest.raises(RejectedError, match="changed by writes of rows alone"):
                await client.put(key(ORDERS, "c"), b"1")
            assert all(
                feed_status(local_cluster, p)["subscribers"] == 1 + (p == 0)
                for p in local_cluster.nodes
            )
            await close_balancers(*balancers, other)

    run(test)


def test_node_without_rows_and_subscribers_has_no_feed(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            await local_cluster.client().put("config/a", b"1")
            assert (
                local_cluster.nodes[0].node.changefeed.fanout is None
                and local_cluster.nodes[0].node.status()["feed"] is None
            )

    run(test)


def test_restarted_node_resumes_subscriptions_from_its_log(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"1", "a")
            balancer = Balancer([local_cluster.settings[0].advertise], [ORDERS])
            await balancer.wait_for_value(ORDERS, "upstream/a", b"1")
            for number in range(2, 6):
                await put(client, ORDERS, b"%d" % number, "a")
            await balancer.wait_for_value(ORDERS, "upstream/a", b"5")
            await local_cluster.stop(0)
            await local_cluster.begin(0)
            await put(client, ORDERS, b"6", "a")
            await balancer.wait_for_value(ORDERS, "upstream/a", b"6")
            assert balancer.snapshot_count(ORDERS) == 1 and balancer.revisions_never_decrease()
            status = feed_status(local_cluster, 0)
            assert (status["snapshots"], status["resumes"]) == (0, 1)
            await close_balancers(balancer)

    run(test)


# `installs_snapshot`: the last change arrives in a store snapshot during the load.
@pytest.mark.parametrize("installs_snapshot", [False, True])
def test_changes_while_rows_are_loaded_are_sent_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, installs_snapshot: bool
) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client, node = local_cluster.client(), local_cluster.nodes[0].node
            await put(client, ORDERS, b"0", "a")
            balancer = Balancer([local_cluster.settings[0].advertise], [ORDERS])
            await balancer.wait_for_value(ORDERS, "upstream/a", b"0")
            may_query, has_queried, may_continue = asyncio.Event(), asyncio.Event(), asyncio.Event()
            query = node.runtime.query

            async def delayed_query(read: Any) -> Any:
                await may_query.wait()
                result = await query(read)
                has_queried.set()
                await may_continue.wait()
                return result

            monkeypatch.setattr(node.runtime, "query", delayed_query)
            node.changefeed.snapshot_installed()
            before = await put(client, ORDERS, b"1", "a", "before")
            may_query.set()
            await has_queried.wait()
            with monkeypatch.context() as patch:
                if installs_snapshot:
                    patch.setattr(node.changefeed, "entries_applied", lambda *args: None)
                after = await put(client, ORDERS, b"2", "a", "after")
            if installs_snapshot:
                node.changefeed.snapshot_installed()
            assert node.changefeed.is_loading and list(
                feed_status(local_cluster, 0)["reached"][0]
            ) == [0, 1]
            may_continue.set()
            await balancer.wait_for_value(ORDERS, "upstream/a", b"2")
            assert set(balancer.rows[ORDERS]) == {"upstream/a", "upstream/before", "upstream/after"}
            assert (
                balancer.applied[-1].revision == after > before
                and balancer.revisions_never_decrease()
            )
            assert feed_status(local_cluster, 0)["failures"] == 0
            await close_balancers(balancer)

    run(test)


def test_resume_from_a_compacted_log_sends_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"1", "a", "b")
            balancer = Balancer([local_cluster.settings[0].advertise], [ORDERS, CARTS])
            await balancer.wait_for_value(ORDERS, "upstream/a", b"1")
            await local_cluster.stop(0)
            monkeypatch.setattr(watch_events, "MAX_EVENTS", 2)
            await local_cluster.begin(0)
            for number in range(2, 9):
                await put(client, ORDERS, b"%d" % number, "a")
            await local_cluster.stop(0)
            await local_cluster.begin(0)
            await balancer.wait_for_value(ORDERS, "upstream/a", b"8")
            assert (
                balancer.rows[ORDERS] == {"upstream/a": b"8", "upstream/b": b"1"}
                and balancer.revisions_never_decrease()
            )
            await close_balancers(balancer)

    run(test)


def test_store_snapshot_is_installed_under_a_live_subscriber(tmp_path: Path) -> None:
    async def test() -> None:
        small_log = '[limits]\nkeep = 5\nlog = "64KiB"'
        async with cluster(tmp_path, 3, extra=small_log) as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"1", "a", "gone")
            follower = next(p for p in local_cluster.nodes if p != local_cluster.leader())
            balancer = Balancer([local_cluster.settings[follower].advertise], [ORDERS, CARTS])
            await balancer.wait_for_value(ORDERS, "upstream/a", b"1")
            node = local_cluster.nodes[follower].node
            message_received = node.message_received
            node.message_received = lambda sender, message: None  # type: ignore[method-assign]  # isolates the node and keeps its subscriber
            await put(client, ORDERS, None, "gone")
            for number in range(60):
                await client.put(f"k/{number}", bytes(3000))
            await put(client, ORDERS, b"2", "a")
            leader = local_cluster.nodes[local_cluster.leader()].node
            async with asyncio.timeout(20):
                while leader.core.log.base_index <= node.core.log.last_index:
                    await asyncio.sleep(0.01)
            node.message_received = message_received  # type: ignore[method-assign]
            await balancer.wait_for_value(ORDERS, "upstream/a", b"2")
            assert (
                balancer.rows[ORDERS] == {"upstream/a": b"2"}
                and balancer.revisions_never_decrease()
            )
            assert node.changefeed.fanout is not None and len(node.changefeed.subscribers) == 1
            await put(client, CARTS, b"3", "x")
            await balancer.wait_for_value(CARTS, "upstream/x", b"3")
            await close_balancers(balancer)

    run(test)


# The feed's window limits the unread bytes with 64KiB, the connection's send buffer with 64MiB.
@pytest.mark.parametrize("window", ["64KiB", "64MiB"])
def test_subscriber_that_stops_reading_delays_no_other_and_receives_the_last_value(
    tmp_path: Path, window: str
) -> None:
    """The feed skips intermediate values instead of buffering 10 MB for the slow subscriber."""

    async def test() -> None:
        async with cluster(tmp_path, 1, extra=f'[feed]\nwindow = "{window}"') as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"0", "a")
            slow = Balancer([local_cluster.settings[0].advertise], [ORDERS], "slow")
            quick = Balancer([local_cluster.settings[0].advertise], [ORDERS], "quick", 2)
            for one in (slow, quick):
                await one.wait_for_value(ORDERS, "upstream/a", b"0")
            assert (
                slow.client.connection is not None and slow.client.connection.transport is not None
            )
            for transport in (
                slow.client.connection.transport,
                *(
                    one.transport
                    for one in local_cluster.nodes[0].server.connections
                    if one.transport is not None
                ),
            ):
                for what in (socket.SO_SNDBUF, socket.SO_RCVBUF):
                    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, what, 16 << 10)
            slow.client.connection.transport.pause_reading()
            big, names = bytes(4000), [f"n{i}" for i in range(50)]
            for number in range(1, 51):
                await put(client, ORDERS, big, *names)
                revision = await put(client, ORDERS, b"%d" % number, "a")
                await quick.wait_for_value(ORDERS, "upstream/a", b"%d" % number)
            unread = [
                one.transport.get_write_buffer_size()
                for one in local_cluster.nodes[0].server.connections
                if one.transport is not None
            ]
            assert (
                max(unread) < 512 << 10
                and feed_status(local_cluster, 0)["laggards"][0]["name"] == "slow"
            )
            applied_before = len(slow.applied)
            slow.client.connection.transport.resume_reading()
            await slow.wait_for_value(ORDERS, "upstream/a", b"50")
            assert len(slow.applied) - applied_before < 10 and slow.applied[-1].revision == revision
            assert slow.revisions_never_decrease() and slow.rows == quick.rows
            await close_balancers(slow, quick)

    run(test)


def test_vanished_host_is_removed_from_the_subscribers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The subscriber's connection is not closed; the subscriber only stops reading."""
    monkeypatch.setattr(connection, "ACK_TIMEOUT_MS", 300)

    async def test() -> None:
        async with cluster(tmp_path, 1, extra='[feed]\nwindow = "64MiB"') as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"0", "a")
            balancer = Balancer([local_cluster.settings[0].advertise], [ORDERS])
            await balancer.wait_for_value(ORDERS, "upstream/a", b"0")
            feed_connection = balancer.client.connection
            assert feed_connection is not None and feed_connection.transport is not None
            feed_connection.transport.pause_reading()
            async with asyncio.timeout(20):
                while feed_status(local_cluster, 0)["subscribers"]:
                    await put(client, ORDERS, bytes(4000), *(f"n{i}" for i in range(50)))
            feed_connection.transport.resume_reading()  # the host was only suspended
            revision = await put(client, ORDERS, b"1", "a")
            await balancer.wait_for_value(ORDERS, "upstream/a", b"1")
            assert balancer.applied[-1].revision == revision and balancer.revisions_never_decrease()
            await close_balancers(balancer)

    run(test)


def test_balancers_of_a_killed_node_never_go_back_in_revision(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"0", "a")
            addresses = [local_cluster.settings[p].advertise for p in local_cluster.settings]
            balancers = [Balancer(addresses, [ORDERS], f"b{i}", i) for i in range(12)]
            for balancer in balancers:
                await balancer.wait_for_value(ORDERS, "upstream/a", b"0")
            assert len({balancer.client.address for balancer in balancers}) == 3, (
                "the balancers are spread over all nodes"
            )
            for number in range(1, 21):
                if number in (5, 12):  # reading needs no majority, writing does
                    node_index = (
                        local_cluster.leader()
                        if number == 5
                        else next(p for p in local_cluster.nodes if p != local_cluster.leader())
                    )
                    await local_cluster.stop(node_index)
                if number == 10:
                    await local_cluster.begin(
                        next(p for p in local_cluster.settings if p not in local_cluster.nodes)
                    )
                await put(client, ORDERS, b"%d" % number, "a")
            for balancer in balancers:
                await balancer.wait_for_value(ORDERS, "upstream/a", b"20")
                assert balancer.revisions_never_decrease() and balancer.snapshot_count(ORDERS) == 1
            await close_balancers(*balancers)

    run(test)


def test_isolated_node_ends_subscriptions_and_sends_no_bookmarks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(changefeed_server, "MAX_LEADERLESS_MS", 300)

    async def test() -> None:
        async with cluster(tmp_path, extra='[feed]\nbookmark = "100ms"') as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"1", "a")
            follower = next(p for p in local_cluster.nodes if p != local_cluster.leader())
            isolated_address, other_addresses = (
                local_cluster.settings[follower].advertise,
                [local_cluster.settings[p].advertise for p in local_cluster.nodes if p != follower],
            )
            free = Balancer([isolated_address, *other_addresses], [ORDERS], "free", nearby_count=1)
            bound = Balancer([isolated_address], [ORDERS], "bound")  # connects to no other node
            for one in (free, bound):
                await one.wait_for_value(ORDERS, "upstream/a", b"1")
            node = local_cluster.nodes[follower].node
            message_received = node.message_received
            node.message_received = lambda sender, message: None  # type: ignore[method-assign]
            await put(client, ORDERS, b"2", "a")
            await free.wait_for_value(ORDERS, "upstream/a", b"2")
            assert free.client.address != isolated_address and free.revisions_never_decrease()
            assert (
                free.client.subscription.disconnect_reason
                == f"{isolated_address}: this node knows of no leader"
            )
            sequences, send_messages = list[int](), Connection.send_messages

            def record_sends(self: Connection, sends: Sequence[Send]) -> None:
                if self.node is node:
                    sequences.extend(one.sequence for one in sends)
                send_messages(self, sends)

            monkeypatch.setattr(Connection, "send_messages", record_sends)
            fanout = node.changefeed.fanout
            assert fanout is not None
            async with asyncio.timeout(20):
                while not fanout.subscribers:
                    await asyncio.sleep(0.005)
                (resubscribed,) = fanout.subscribers.values()
                sent_before = fanout.status().sent_messages
                while (
                    fanout.status().sent_messages < sent_before + 3
                ):  # bookmarks, which the server suppresses
                    await asyncio.sleep(0.02)
            assert (
                sequences == []
                and resubscribed.name == "bound"
                and bound.value(ORDERS, "upstream/a") == b"1"
            )
            node.message_received = message_received  # type: ignore[method-assign]
            await bound.wait_for_value(ORDERS, "upstream/a", b"2")
            assert bound.snapshot_count(ORDERS) == 1
            await close_balancers(free, bound)

    run(test)


def test_restored_store_is_read_from_the_start(tmp_path: Path) -> None:
    """A restored store has an earlier revision and a new cluster name.

    A balancer must discard its cursor of the old cluster and read all rows again.
    """

    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"old", "a")
            copy = tmp_path / "copy.db"
            with open(copy, "wb") as file:
                await client.read_backup(file.write)
            for number in range(30):
                await put(client, ORDERS, b"%d" % number, "a", "b")
            running.restore(local_cluster.read(1), copy, "d")
            balancer = Balancer(
                [local_cluster.settings[0].advertise, local_cluster.settings[1].advertise],
                [ORDERS],
                seed=4,
            )
            await balancer.wait_for_value(ORDERS, "upstream/a", b"29")
            await local_cluster.begin(1)
            await local_cluster.stop(0)
            await balancer.wait_for_value(ORDERS, "upstream/a", b"old")
            assert (
                balancer.rows[ORDERS] == {"upstream/a": b"old"}
                and balancer.snapshot_count(ORDERS) == 2
            )
            assert balancer.client.subscription.epoch == "d"
            await put(local_cluster.client(only_node=1), ORDERS, b"new", "a")
            await balancer.wait_for_value(ORDERS, "upstream/a", b"new")
            await close_balancers(balancer)

    run(test)


def test_member_of_an_older_program_prevents_rows(tmp_path: Path) -> None:
    async def test() -> None:
        old_cluster = RealCluster(tmp_path, 2, '[timing]\nheartbeat = "40ms"\nelection = "200ms"\n')
        client = old_cluster.client(deadline_s=1.0)
        balancer = Balancer(
            [old_cluster.members[1].address, old_cluster.members[0].address], [ORDERS], seed=3
        )
        try:
            first = old_cluster.members[0]
            first.number = running.init(first.settings, name="0").node
            await old_cluster.begin(first, 2)
            await old_cluster.join(old_cluster.members[1], old=2)
            await old_cluster.kill(first)
            await old_cluster.begin(first)  # with the current program
            await old_cluster.insist(client, "transfer", first.number, "", 20.0)
            await client.put("config/a", b"1", options=WriteOptions(timeout_s=20.0))
            with pytest.raises(
                UnavailableError,
                match=f"not all nodes know rows yet: {old_cluster.members[1].number:x}",
            ):
                await client.write_rows([Op(key(ORDERS, "a"), b"1")])
            assert (await client.status())["format"] == 2
            await old_cluster.kill(old_cluster.members[1])
            await old_cluster.begin(old_cluster.members[1])
            await put(old_cluster.client(deadline_s=20.0), ORDERS, b"1", "a")
            await balancer.wait_for_value(ORDERS, "upstream/a", b"1")
        finally:
            await close_balancers(balancer)
            await client.close()
            await old_cluster.stop()

    run(test)


def test_row_that_a_balancer_rejects_is_reported_and_the_last_good_one_stays(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            balancer = Balancer(
                [local_cluster.settings[0].advertise],
                [ORDERS],
                "picky",
                check=lambda scope, row: "it is too new" if row.value == b"new" else "",
            )
            await put(client, ORDERS, b"1", "a")
            await balancer.wait_for_value(ORDERS, "upstream/a", b"1")
            await client.write_rows([Op(key(ORDERS, "a"), b"new"), Op(key(ORDERS, "b"), b"2")])
            await balancer.wait_for_value(ORDERS, "upstream/b", b"2")
            assert balancer.value(ORDERS, "upstream/a") == b"1"
            async with asyncio.timeout(20):
                while not feed_status(local_cluster, 0)["refusals"]:
                    await asyncio.sleep(0.005)
            (refused,) = feed_status(local_cluster, 0)["refused"]
            assert refused["name"] == "picky" and refused["refusal"][3] == "it is too new"
            await close_balancers(balancer)

    run(test)


def test_feed_requires_a_certificate_with_the_read_role(tmp_path: Path) -> None:
    authority = Authority(tmp_path)
    node, read = authority.issue("node"), authority.issue("read")
    authority.issue("admin")
    foreign = Authority(tmp_path, "foreign").issue("read", name="stranger")

    async def test() -> None:
        async with cluster(tmp_path, 1, node) as local_cluster:
            await put(local_cluster.client(), ORDERS, b"1", "a")
            balancer = Balancer([local_cluster.settings[0].advertise], [ORDERS], tls=read)
            other = Balancer([local_cluster.settings[0].advertise], [ORDERS], tls=foreign)
            await balancer.wait_for_value(ORDERS, "upstream/a", b"1")
            async with asyncio.timeout(20):
                while not other.client.subscription.disconnect_reason:
                    await asyncio.sleep(0.005)
            assert not other.applied
            await close_balancers(balancer, other)

    run(test)


def test_invalid_message_ends_its_connection_in_one_line(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client_connection, decline_reason = await connect_and_greet(
                local_cluster, Hello(1, "", 0)
            )
            assert not decline_reason
            reply = await asyncio.wait_for(
                client_connection.request(SendToChangefeed(3, 0, b"\xc1")), 5
            )
            assert isinstance(reply, protocol.RequestFailed) and "invalid message" in reply.text
            await asyncio.wait_for(client_connection.ended, 5)
            assert local_cluster.nodes[0].node.changefeed.subscribers == {}
            await put(local_cluster.client(), ORDERS, b"1", "a")

    run(test)
    with pytest.raises(MalformedError):
        ChangefeedClient(
            ChangefeedTarget(["nowhere"], lambda: None, "b"),
            [],
            lambda scope, row: "",
            lambda what: None,
        )


def test_feed_that_fails_starts_over_and_the_store_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            await put(client, ORDERS, b"1", "a")
            balancer = Balancer([local_cluster.settings[0].advertise], [ORDERS])
            await balancer.wait_for_value(ORDERS, "upstream/a", b"1")
            fanout = local_cluster.nodes[0].node.changefeed.fanout
            assert fanout is not None
            monkeypatch.setattr(fanout, "apply", lambda *args: 1 / 0)
            await put(client, ORDERS, b"2", "a")
            await balancer.wait_for_value(ORDERS, "upstream/a", b"2")
            assert (
                feed_status(local_cluster, 0)["failures"] == 1
                and balancer.revisions_never_decrease()
            )
            await close_balancers(balancer)

    run(test)


def test_simultaneous_connections_of_another_node_delay_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The node accepts at most one connection per event-loop iteration."""
    iterations, accepted_in = 0, list[int]()
    connection_made = Connection.connection_made

    def record_iteration(self: Connection, transport: asyncio.BaseTransport) -> None:
        accepted_in.append(iterations)
        connection_made(self, transport)

    async def test() -> None:
        nonlocal iterations
        async with cluster(tmp_path, 1) as local_cluster:
            monkeypatch.setattr(Connection, "connection_made", record_iteration)
            clients = [socket.socket() for _ in range(320)]
            for client in clients:  # blocks the event loop, as other work would
                client.settimeout(0.5)
                client.connect(local_cluster.settings[0].listen)
            while len(accepted_in) < 320:
                await asyncio.sleep(0)
                iterations += 1
            assert len(set(accepted_in)) == 320
            for client in clients:
                client.close()

    run(test)
