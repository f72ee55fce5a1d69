"""Tests of running nodes on loopback: members, clients, watches, certificates and rejections."""

from __future__ import annotations

import asyncio
import logging
import sqlite3
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from loadbalancer.store import run as running
from loadbalancer.store.client import Client
from loadbalancer.store.client_connection import ClientConnection
from loadbalancer.store.commands import Op, OpenSession, Result, Write, pack
from loadbalancer.store.durable import state_files, watch_events
from loadbalancer.store.durable.errors import DamagedError
from loadbalancer.store.durable.files import DiskFile
from loadbalancer.store.durable.state import State
from loadbalancer.store.errors import (
    ConflictError,
    DeadlineExceededError,
    RejectedError,
    StoreError,
    UnavailableError,
    WatchCompactedError,
)
from loadbalancer.store.raft.messages import Entry, RequestVote
from loadbalancer.store.raft.messages import pack as pack_message
from loadbalancer.store.run import StoreServer
from loadbalancer.store.security import TlsFiles
from loadbalancer.store.settings import StoreSettings, read_store
from loadbalancer.store.wire import frames, protocol
from loadbalancer.store.wire.protocol import Hello, Propose
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.testbed.cluster.real import RealCluster
from loadbalancer.testbed.rig.run import play
from loadbalancer.testbed.rig.scenario import builtin, read
from tests.certificates import Authority
from tests.fakes import free_port


class Cluster:
    """A cluster of nodes in this process."""

    def __init__(self, folder: Path, tls: TlsFiles | None = None) -> None:
        self.folder = folder
        self.tls = tls
        self.nodes: dict[int, StoreServer] = {}
        self.settings: dict[int, StoreSettings] = {}
        self.clients: list[Client] = []

    def read(self, node_index: int, extra: str = "") -> StoreSettings:
        path = self.folder / f"{node_index}.toml"
        tls_table = (
            (
                f'[tls]\ncertificate = "{self.tls.certificate}"\nkey = "{self.tls.key}"\n'
                f'authority = "{self.tls.authority}"\n'
            )
            if self.tls
            else ""
        )
        path.write_text(
            f'folder = "n{node_index}"\nlisten = "127.0.0.1:{free_port()}"\n{extra}\n{tls_table}'
            '[timing]\nheartbeat = "40ms"\nelection = "200ms"\n'
        )
        self.settings[node_index] = read_store(path)
        return self.settings[node_index]

    async def begin(self, node_index: int) -> StoreServer:
        self.nodes[node_index] = StoreServer(self.settings[node_index])
        await self.nodes[node_index].start()
        return self.nodes[node_index]

    async def start(self, size: int, extra: str = "") -> None:
        running.init(self.read(0, extra), "c")
        await self.begin(0)
        client = self.client()
        for node_index in range(1, size):
            identity = running.prepare(self.read(node_index, extra), "c")
            await self.insist(client, "learn", identity.node, self.settings[node_index].advertise)
            await self.begin(node_index)
            await self.insist(client, "promote", identity.node)

    @staticmethod
    async def insist(client: Client, action: str, node: int, address: str = "") -> None:
        async with asyncio.timeout(20):
            while True:
                try:
                    await client.administer(action, node, address)
                    return
                except StoreError:
                    await asyncio.sleep(0.01)

    def client(
        self, tls: TlsFiles | None = None, deadline_s: float = 5.0, only_node: int = -1
    ) -> Client:
        tls_files = tls or self.admin_tls_files()
        context = tls_files.context(False) if tls_files else None
        node_indexes = [only_node] if only_node >= 0 else sorted(self.settings)
        self.clients.append(
            Client(
                [self.settings[p].advertise for p in node_indexes],
                lambda: context,
                deadline_s=deadline_s,
            )
        )
        return self.clients[-1]

    def admin_tls_files(self) -> TlsFiles | None:
        if self.tls is None:
            return None
        folder = self.tls.certificate.parent
        return TlsFiles(folder / "admin.pem", folder / "admin.key", self.tls.authority)

    def leader(self) -> int:
        return next(p for p, r in self.nodes.items() if r.node.core.role.value == "leader")

    async def stop(self, node_index: int) -> None:
        await self.nodes.pop(node_index).close()

    async def close(self) -> None:
        for client in self.clients:
            await client.close()
        for node_index in list(self.nodes):
            await self.stop(node_index)


@asynccontextmanager
async def cluster(
    folder: Path, size: int = 3, tls: TlsFiles | None = None, extra: str = ""
) -> AsyncIterator[Cluster]:
    new_cluster = Cluster(folder, tls)
    try:
        await new_cluster.start(size, extra)
        yield new_cluster
    finally:
        await new_cluster.close()


def run(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(work(), 60))


def test_acknowledged_write_is_read_from_any_node_and_after_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as local_cluster:
            client = local_cluster.client()
            assert await client.put("config/a", b"1", 0) == 1
            with pytest.raises(ConflictError, match="config/a is at version 1"):
                await client.put("config/a", b"2", 0)
            for node_index in local_cluster.nodes:
                row = (await local_cluster.client(only_node=node_index).get("config/a")).rows[0]
                assert (row.value, row.version) == (b"1", 1)
            result = await client.write(
                [Op("b", b"x", 0), Op("config/a", b"2", 1)], WriteOptions(note="both")
            )
            assert result.versions == (1, 2)
            for node_index in list(local_cluster.nodes):
                await local_cluster.stop(node_index)
            for node_index in list(local_cluster.settings):
                await local_cluster.begin(node_index)
            page = await local_cluster.client().scan("")
            assert [(r.key, r.version) for r in page.rows] == [("b", 1), ("config/a", 2)]
            history = await local_cluster.client().history("config/a")
            assert [(r.version, r.note) for r in history.rows] == [(2, "both"), (1, "")]
            status = await local_cluster.client().status()
            assert status["applied"] == status["commit"] > 5

    run(test)


def test_cluster_survives_loss_of_leader_and_lone_node_reports_since_when(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as local_cluster:
            client = local_cluster.client()
            await client.put("a", b"1")
            await local_cluster.stop(local_cluster.leader())
            assert await client.put("a", b"2", 1) == 2
            async with asyncio.timeout(10):
                while not any(
                    r.node.core.role.value == "leader" for r in local_cluster.nodes.values()
                ):
                    await asyncio.sleep(0.005)
            await local_cluster.stop(local_cluster.leader())
            lone_node = next(iter(local_cluster.nodes))
            lone_client = local_cluster.client(only_node=lone_node, deadline_s=1.5)
            async with asyncio.timeout(10):
                while not local_cluster.nodes[lone_node].node.leaderless_ms():
                    await asyncio.sleep(0.01)
            stale = await lone_client.get("a", stale=True)
            # The node has the last write, but it may not have learned yet that it was committed.
            assert stale.rows[0].value in (b"1", b"2") and stale.behind_ms > 0
            with pytest.raises(UnavailableError):
                await lone_client.get("a")
            with pytest.raises(UnavailableError):
                await lone_client.put("a", b"3")

    run(test)


def test_retried_write_is_applied_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            await client.put("n", b"0")
            connection = client.connection
            assert connection is not None
            session = 4242
            write = pack(Write(session, 1, 0, (Op("n", b"1"),)))
            await connection.request(Propose(9001, 1000, pack(OpenSession(session))))
            first, second = await asyncio.gather(
                *(connection.request(Propose(n, 1000, write)) for n in (9002, 9003))
            )
            assert isinstance(first, protocol.Committed) and isinstance(second, protocol.Committed)
            assert first.result == second.result
            assert (await client.get("n")).rows[0].version == 2

    run(test)


def test_watch_receives_every_change_over_a_change_of_leader(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as local_cluster:
            client, watcher = local_cluster.client(), local_cluster.client()
            start = (await client.get("w/x")).revision
            versions: list[int] = []

            async def watch() -> None:
                async for received in watcher.watch("w/", start):
                    versions.extend(change.version for change in received.changes)
                    if versions and versions[-1] == 60:
                        return

            task = asyncio.create_task(watch())
            for i in range(60):
                if i == 30:
                    await local_cluster.stop(local_cluster.leader())
                await client.put("w/x", b"%d" % i)
                await client.put("other", b"")
            await task
            assert versions == list(range(1, 61))

    run(test)


def test_watch_of_compacted_history_raises(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_events, "MAX_EVENTS", 3)

    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            for i in range(9):
                await client.put("w", b"%d" % i)
            with pytest.raises(WatchCompactedError, match="read anew"):
                async for _ in client.watch("w", 0):
                    pass

    run(test)


def test_new_member_far_behind_installs_a_snapshot(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1, extra='[limits]\nkeep = 5\nlog = "64KiB"') as local_cluster:
            client = local_cluster.client()
            for i in range(120):
                await client.put(f"k/{i}", bytes(3000))
            first_node = local_cluster.nodes[0].node
            async with asyncio.timeout(10):
                while first_node.core.log.base_index < 60:
                    await asyncio.sleep(0.01)
            identity = running.prepare(local_cluster.read(1), "c")
            await local_cluster.insist(
                client, "learn", identity.node, local_cluster.settings[1].advertise
            )
            await local_cluster.begin(1)
            await local_cluster.insist(client, "promote", identity.node)
            assert first_node.runtime.statistics.exports >= 1
            rows = (await local_cluster.client(only_node=1).scan("k/")).rows
            assert len(rows) == 120 and local_cluster.nodes[1].node.core.log.base_index > 60
            assert len(list((tmp_path / "n0").glob("log-*"))) < 8

    run(test)


def test_removed_member_is_declined_and_disturbs_no_term(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with cluster(tmp_path) as local_cluster:
            client = local_cluster.client()
            removed_index = next(p for p in local_cluster.nodes if p != local_cluster.leader())
            removed_node = local_cluster.nodes[removed_index].node.identity.node
            await client.administer("remove", removed_node)
            term = local_cluster.nodes[local_cluster.leader()].node.core.term
            async with asyncio.timeout(10):
                while f"node {removed_node:x} was removed" not in caplog.text:
                    await asyncio.sleep(0.01)
            await client.put("a", b"1")
            assert local_cluster.nodes[local_cluster.leader()].node.core.term == term
            with pytest.raises(RejectedError, match="comes back only with a new data folder"):
                await client.administer("learn", removed_node, "127.0.0.1:1")

    with caplog.at_level(logging.WARNING):
        run(test)


async def connect_and_greet(
    local_cluster: Cluster, hello: Hello, tls: TlsFiles | None = None
) -> tuple[ClientConnection, str]:
    """Open a connection with a greeting; return it and why it was declined, empty if accepted."""
    connection = ClientConnection(hello)
    host, port = local_cluster.settings[0].listen
    await asyncio.get_running_loop().create_connection(
        lambda: connection, host, port, ssl=tls.context(False) if tls else None
    )
    try:
        await asyncio.wait_for(connection.welcomed, 5)
    except ConnectionError as error:
        return connection, str(error)
    return connection, ""


def test_foreign_connection_is_declined_in_one_line(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def closed(connection: ClientConnection) -> None:
        async with asyncio.timeout(5):
            while not connection.closed:
                await asyncio.sleep(0.005)

    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            term = local_cluster.nodes[0].node.core.term
            assert (
                "this is cluster c, not d"
                in (await connect_and_greet(local_cluster, Hello(1, "d", 5)))[1]
            )
            assert (
                "protocol 9 is newer"
                in (await connect_and_greet(local_cluster, Hello(9, "c", 0)))[1]
            )
            assert (
                "own number"
                in (
                    await connect_and_greet(
                        local_cluster, Hello(1, "c", local_cluster.nodes[0].node.identity.node)
                    )
                )[1]
            )
            # A frame recorded on one connection is replayed on another connection.
            vote = pack_message(RequestVote(term + 50, 10**9, 10**9, False, True))
            recorded, decline_reason = await connect_and_greet(local_cluster, Hello(1, "c", 77))
            assert not decline_reason
            replayed = recorded.encoder.frame(vote)
            other, _ = await connect_and_greet(local_cluster, Hello(1, "c", 78))
            assert other.transport is not None
            other.transport.write(replayed)
            await closed(other)
            assert (
                "belongs to another connection" in caplog.text
                and local_cluster.nodes[0].node.core.term == term
            )
            # A frame is sent twice on its own connection.
            repeating, _ = await connect_and_greet(local_cluster, Hello(1, "c", 79))
            assert repeating.transport is not None
            frame = repeating.encoder.frame(pack_message(RequestVote(term, 0, 0, True)))
            repeating.transport.write(frame + frame)
            await closed(repeating)
            assert "frame 1 where 2 was due" in caplog.text
            oversized, _ = await connect_and_greet(local_cluster, Hello(1, "c", 80))
            assert oversized.transport is not None
            oversized.transport.write(frames.FRAME_HEADER.pack(1 << 30, 1, 0))
            await closed(oversized)
            assert "a frame of 1073741824 bytes" in caplog.text
            assert await local_cluster.client().put("a", b"1") == 1

    with caplog.at_level(logging.WARNING):
        run(test)


def test_certificates_give_roles_and_are_reloaded_while_the_node_runs(tmp_path: Path) -> None:
    authority = Authority(tmp_path)
    node = authority.issue("node")
    admin, write, read = (authority.issue(role) for role in ("admin", "write", "read"))
    other_cluster = authority.issue("admin", "another", "elsewhere")
    foreign = Authority(tmp_path, "foreign").issue("admin", name="stranger")

    async def test() -> None:
        async with cluster(tmp_path, 2, node) as local_cluster:
            assert await local_cluster.client(write).put("a", b"1") == 1
            assert (await local_cluster.client(read).get("a")).rows[0].value == b"1"
            with pytest.raises(RejectedError, match="the role read may not"):
                await local_cluster.client(read).put("a", b"2")
            with pytest.raises(RejectedError, match="the role write may not"):
                await local_cluster.client(write).administer("transfer", 5)
            for tls_files in (other_cluster, foreign, node):
                with pytest.raises(UnavailableError):
                    await local_cluster.client(tls_files, deadline_s=0.7).get("a")
            assert (
                "role is admin"
                in (await connect_and_greet(local_cluster, Hello(1, "c", 99), admin))[1]
            )
            # All certificates are replaced by those of another authority, without a restart.
            new_authority = Authority(tmp_path, "fresh")
            for role in ("node", "admin"):
                new_authority.issue(role)
            authority.path.write_bytes(new_authority.path.read_bytes())
            for server in local_cluster.nodes.values():
                await server.server.reload_certificates()
                assert server.server.stamp == local_cluster.settings[0].tls.stamp()  # type: ignore[union-attr]
            assert await local_cluster.client(admin).put("a", b"3") == 2
            with pytest.raises(UnavailableError):
                await local_cluster.client(write, deadline_s=0.7).put("a", b"4")
            # Invalid certificates leave the current ones in use.
            node.certificate.write_text("nonsense")
            for server in local_cluster.nodes.values():
                assert not await server.server.reload_certificates()
            assert await local_cluster.client(admin).put("a", b"5") == 3

    run(test)


def test_backup_becomes_a_new_cluster_that_the_old_one_does_not_accept(tmp_path: Path) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            await client.put("config/a", b"kept")
            copy = tmp_path / "copy.db"
            with open(copy, "wb") as file:
                index, _, size, checksum = await client.read_backup(file.write)
            assert copy.stat().st_size == size and state_files.file_checksum(copy) == checksum
            identity = running.restore(local_cluster.read(1), copy, "d")
            await local_cluster.begin(1)
            new_client = local_cluster.client(only_node=1)
            assert (await new_client.get("config/a")).rows[0].value == b"kept"
            assert await new_client.put("config/a", b"on", 1) == 2 and identity.cluster == "d"
            assert (await new_client.status())["last"] > index
            assert (await client.get("config/a")).rows[0].version == 1

    run(test)


def test_folder_of_a_killed_node_becomes_a_new_cluster(tmp_path: Path) -> None:
    async def test() -> None:
        old = RealCluster(tmp_path, 1)
        try:
            await old.start()
            client = old.client()
            for i in range(1, 31):
                await client.put("a", b"%d" % i)
            await client.close()
            await old.kill(old.members[0])
        finally:
            old.end()
        state_file = old.members[0].settings.folder / "state.db"
        assert Path(f"{state_file}-wal").stat().st_size > 0  # holds the last applied entries
        local_cluster = Cluster(tmp_path)
        running.restore(local_cluster.read(1), state_file, "d")
        await local_cluster.begin(1)
        row = (await local_cluster.client(only_node=1).get("a")).rows[0]
        assert (row.value, row.version) == (b"30", 30)
        await local_cluster.close()

    run(test)


def test_full_disk_stops_writes_but_not_reads(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    full = {"log": False, "state": False}
    write, apply = DiskFile.write, State.apply

    def write_unless_full(self: DiskFile, data: bytes, at: int) -> None:
        if full["log"]:
            raise OSError(28, "No space left on device")
        write(self, data, at)

    def apply_unless_full(self: State, entries: Sequence[Entry]) -> list[Result]:
        if full["state"]:
            raise sqlite3.OperationalError("database or disk is full")
        return apply(self, entries)

    monkeypatch.setattr(DiskFile, "write", write_unless_full)
    monkeypatch.setattr(State, "apply", apply_unless_full)

    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client = local_cluster.client()
            await client.put("a", b"1")
            for storage in full:
                full[storage] = True
                pending_write = asyncio.create_task(
                    client.put("b", b"1", options=WriteOptions(timeout_s=20.0))
                )
                async with asyncio.timeout(10):
                    while (
                        storage not in local_cluster.nodes[0].node.runtime.statistics.full_since_s
                    ):
                        await asyncio.sleep(0.005)
                if storage == "log":
                    assert (await local_cluster.client().get("a")).rows[0].value == b"1"
                assert (await local_cluster.client().get("a", stale=True)).rows[0].value == b"1"
                full[storage] = False
                await pending_write
            assert (await client.get("b")).rows[0].version == 2
            assert caplog.text.count("disk full, writes wait and reads go on") == 2
            assert caplog.text.count("disk has room again") == 2

    with caplog.at_level(logging.INFO):
        run(test)


def test_unusable_folder_is_reported_in_one_line(tmp_path: Path) -> None:
    local_cluster = Cluster(tmp_path)
    settings = local_cluster.read(0)
    running.init(settings, "c")
    assert running.verify(settings) == []
    with pytest.raises(Exception, match="begins in an empty folder"):
        running.init(settings, "c")

    async def open_() -> None:
        await StoreServer(settings).close()

    (tmp_path / "n0" / "identity.json").rename(tmp_path / "kept")
    with pytest.raises(DamagedError, match="belongs to no cluster yet"):
        run(open_)
    (tmp_path / "kept").rename(tmp_path / "n0" / "identity.json")
    log = next((tmp_path / "n0").glob("log-*"))
    data = bytearray(log.read_bytes())
    data[40] ^= 1
    log.write_bytes(data)
    with pytest.raises(DamagedError, match="head does not read"):
        run(open_)
    assert len(running.verify(settings)) == 1


def test_no_write_is_lost_repeated_or_partial_while_nodes_are_killed() -> None:
    result = play(read(builtin("churn")), 3)
    assert result.wrong == [], (
        "loadbalancer lab rig run churn --seed 3",
        result.wrong,
        result.events,
    )
    fault_counts = Counter(
        description.split()[0]
        for _, description in result.events
        if not description.endswith("over")
    )
    assert (
        fault_counts["kill"] >= 3 and fault_counts["lose"] >= 1 and result.figures["writes"] > 300
    )
    assert result.figures["pairs read whole"] > 50
    assert result.figures["store changes"] >= result.figures["writes"]


@pytest.mark.parametrize("iterations", [0, 1, 2])
def test_watch_is_cancelled_as_its_connection_closes(tmp_path: Path, iterations: int) -> None:
    """A swallowed cancellation would keep a process that closes its connections from exiting."""

    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            client, received = local_cluster.client(), asyncio.Event()
            await client.put("k", b"1")

            async def watch() -> None:
                async for _ in client.watch("k", 0):
                    received.set()

            task = asyncio.ensure_future(watch())
            await received.wait()
            assert client.connection is not None
            for queue in client.connection.watches.values():
                queue.put_nowait(None)
            for _ in range(iterations):
                await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait({task}, timeout=5)
            assert task.cancelled()

    run(test)


def test_watch_that_reads_while_its_node_stops_logs_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with cluster(tmp_path, 1) as local_cluster:
            node = local_cluster.nodes[0].node
            await local_cluster.stop(0)
            with pytest.raises(DeadlineExceededError):
                await node.query(lambda state: state.applied)

    run(test)
    assert "never retrieved" not in caplog.text
