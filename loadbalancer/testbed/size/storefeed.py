"""What one node's feed costs: by those who hear a change, by scopes and rows that it holds, and by
those who come at once, with something known or with nothing. Today's watch stands beside it, by
turns.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from loadbalancer.changefeed.messages import (
    Acknowledge,
    Bookmark,
    Patch,
    RetryLater,
    Subscribe,
    pack,
    unpack_server_message,
)
from loadbalancer.store.client import Client
from loadbalancer.store.commands import MAX_OPERATIONS, Op
from loadbalancer.store.errors import StoreError
from loadbalancer.store.wire import protocol
from loadbalancer.store.wire.protocol import AnyReply, ChangefeedMessage, SendToChangefeed, Welcome
from loadbalancer.testbed.cluster.real import RealCluster
from loadbalancer.testbed.size.crowd import PATIENCE_S, Hearer, Hearers
from loadbalancer.testbed.size.process import Meter, memory_mb
from loadbalancer.testbed.size.series import Series
from loadbalancer.testbed.size.storenode import ROW, SETTLE_S, Heard, Watched, one_node, pid
from loadbalancer.testbed.topology import Unusable

SERVICES = 2_900  # over which rows are spread
SCOPES = 100  # that each subscriber has, where nothing else is said
SHARED = "global"  # that all have
FORMAT_S = 15.0  # within which a new cluster takes rows
TIMES = 3  # that all come back, for each size


class Subscriber(Hearer):
    """Hears the feed, acknowledges each patch, and keeps nothing."""

    def __init__(
        self,
        name: str,
        scopes: Sequence[str],
        cursor: int,
        told: Callable[[int], None],
        ready: Callable[[Subscriber], None],
    ) -> None:
        super().__init__(name)
        self.name, self.scopes, self.cursor = name, scopes, cursor
        self.told, self.ready = told, ready
        self.epoch = ""
        self.later = 0

    def subscribe(self) -> None:
        self._say(
            pack(Subscribe(self.name, self.epoch, tuple((s, self.cursor) for s in self.scopes)))
        )

    def _say(self, word: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.encoder.frame(protocol.pack(SendToChangefeed(1, 0, word))))

    def replied(self, reply: AnyReply) -> None:
        if not isinstance(reply, ChangefeedMessage):
            return
        word = unpack_server_message(reply.message)
        match word:
            case Patch():
                self._say(pack(Acknowledge(reply.sequence)))
                self.told(word.is_last_chunk)
            case Bookmark() if word.digests:  # all was told, up to where the node is
                self.ready(self)
            case RetryLater():
                self.later += 1
                asyncio.get_running_loop().call_later(word.after_ms / 1000, self.subscribe)


class Audience(Hearers[Subscriber]):
    """Subscribers at one node. A patch counts at its last part; who has heard a bookmark has all
    that there is.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.settled: set[Subscriber] = set()
        self.all_settled = asyncio.Event()

    def _ready(self, subscriber: Subscriber) -> None:
        self.settled.add(subscriber)
        if len(self.settled) >= len(self.all):
            self.all_settled.set()

    async def grow(
        self,
        size: int,
        cursor: int,
        scopes: Callable[[int], Sequence[str]],
        within_s: float = PATIENCE_S,
    ) -> float:
        """To so many in all. `cursor`: what the new ones know of all their scopes, `scopes` by
        number. Seconds until each has all that there is. Raises OSError, TimeoutError.
        """
        new = [
            Subscriber(f"balancer-{n}", scopes(n), cursor, self.hears, self._ready)
            for n in range(len(self.all), size)
        ]
        self.all_settled.clear()

        def begin(subscriber: Subscriber, welcome: Welcome) -> None:
            subscriber.epoch = welcome.cluster
            subscriber.subscribe()

        began = time.perf_counter()
        async with asyncio.timeout(within_s):
            await self.connect(new, begin)
            await self.all_settled.wait()
        return time.perf_counter() - began

    @property
    def later(self) -> int:
        return sum(s.later for s in self.all)

    async def close(self) -> None:
        await super().close()
        self.settled.clear()


def carried(number: int, scopes: int = SCOPES) -> list[str]:
    """Scopes of one balancer: what all have, and services spread over all."""
    return [SHARED, *(f"service:s{(7 * number + at) % SERVICES}" for at in range(scopes - 1))]


async def takes_rows(client: Client) -> None:
    """Wait until the state has the format of rows. Raises Unusable."""
    until = time.monotonic() + FORMAT_S
    while time.monotonic() < until:
        try:
            await client.write_rows([Op(f"feed/{SHARED}/setting/first", ROW)])
            return
        except StoreError:
            await asyncio.sleep(0.05)
    raise Unusable("the store takes no rows")


async def fill_rows(client: Client, first: int, upto: int) -> int:
    """Rows of 100 bytes, spread over all services; the revision after them."""
    revision = 0
    for number in range(first, upto, MAX_OPERATIONS):
        revision = (
            await client.write_rows(
                [
                    Op(f"feed/service:s{n % SERVICES}/upstream/u{n:06d}", ROW)
                    for n in range(number, min(number + MAX_OPERATIONS, upto))
                ]
            )
        ).revision
    return revision


async def _change(client: Client, audience: Audience, count: int) -> list[float]:
    delays = []
    for number in range(count):
        audience.expect()
        began = time.perf_counter()
        await client.write_rows([Op(f"feed/{SHARED}/setting/x{number % 16}", ROW)])
        delays.append(await audience.last(began))
    return delays


async def hearing(
    folder: Path,
    sizes: Sequence[int],
    changes: int,
    rest_s: float,
    watch_rest_s: float,
    rows: int,
    heard: Heard,
) -> list[Series]:
    """A change of one row that all of N subscribers hear, each with 100 scopes of 2,900; one that
    none of them hears; and rest. By turns with today's watch.
    """
    cpu, delay, rest, told, quiet, memory, unheard = (
        Series(*head)
        for head in (
            ("feed.change_cpu", "us", "subscribers"),
            ("feed.last_delay", "ms", "subscribers"),
            ("feed.rest_cpu", "us a second", "subscribers"),
            ("feed.change_bytes", "bytes", "subscribers"),
            ("feed.rest_bytes", "bytes a second", "subscribers"),
            ("feed.memory", "MB", "subscribers"),
            ("feed.unheard_cpu", "us", "subscribers"),
        )
    )
    cluster = await one_node(folder / "feed")
    client = cluster.client("writer", 15.0)
    node = pid(cluster.members[0])
    audience = Audience(cluster.addresses[0])
    try:
        beside = await Watched.begin(folder / "watch")
    except BaseException:
        await _end(cluster, client, audience)
        raise
    try:
        await takes_rows(client)
        revision = await fill_rows(client, 0, rows)
        for size in sizes:
            await audience.grow(size, revision, carried)
            await asyncio.sleep(SETTLE_S)
            meter, before = Meter(node), audience.bytes
            await asyncio.sleep(rest_s)
            resting = meter.cpu_s / meter.took_s
            rest.add(size, 1e6 * resting)
            quiet.add(size, (audience.bytes - before) / meter.took_s)
            meter, before = Meter(node), audience.bytes
            delays = await _change(client, audience, changes)
            cpu.add(size, 1e6 * (meter.cpu_s - resting * meter.took_s) / changes)
            told.add(size, (audience.bytes - before) / changes)
            delay.add(size, 1e3 * statistics.median(delays))
            meter = Meter(node)
            for number in range(changes):
                await client.write_rows([Op(f"feed/service:nobody/upstream/x{number % 16}", ROW)])
            unheard.add(size, 1e6 * (meter.cpu_s - resting * meter.took_s) / changes)
            memory.add(size, memory_mb(node))
            heard(
                f"{size} subscribers: {cpu.points[-1][1]:.0f} us a change, the last after"
                f" {delay.points[-1][1]:.0f} ms, {rest.points[-1][1]:.0f} us a second at rest,"
                f" {unheard.points[-1][1]:.0f} us a change that none hears"
            )
            await beside.at(size, changes, watch_rest_s, heard)
    finally:
        await beside.end()
        await _end(cluster, client, audience)
    return [cpu, delay, rest, told, quiet, memory, unheard, *beside.series]


async def _end(cluster: RealCluster, client: Client, audience: Audience) -> None:
    await audience.close()
    await client.close()
    await cluster.stop()
    cluster.end()


async def held_rows(folder: Path, sizes: Sequence[int], heard: Heard) -> list[Series]:
    """A node that holds rows of 100 bytes for its feed: memory, CPU of the writes, disk."""
    memory, put, disk = (
        Series(*head)
        for head in (
            ("feed.row_memory", "MB", "rows"),
            ("feed.row_put_cpu", "ms", "rows"),
            ("feed.row_disk", "MB", "rows"),
        )
    )
    cluster = await one_node(folder, 'log = "1MiB"\nkeep = 10\n')
    client = cluster.client("writer", 30.0)
    member = cluster.members[0]
    filled, spent = 0, 0.0
    try:
        await takes_rows(client)
        for size in sizes:
            meter = Meter(pid(member))
            await fill_rows(client, filled, size)
            spent, filled = spent + meter.cpu_s, size
            put.add(size, 1e3 * spent)
            memory.add(size, memory_mb(pid(member)))
            disk.add(size, sum(p.stat().st_size for p in member.settings.folder.iterdir()) / 1e6)
            heard(
                f"{size} rows: {memory.points[-1][1]:.0f} MB resident, {disk.points[-1][1]:.1f} "
                f"MB on disk"
            )
    finally:
        await client.close()
        await cluster.stop()
        cluster.end()
    return [memory, put, disk]


class Return:
    """Subscribers that come at once to a node with rows, and go again; what they know is all or
    nothing.
    """

    def __init__(self, node: int, audience: Audience, revision: int) -> None:
        self.node, self.audience, self.revision = node, audience, revision

    async def of(self, count: int, scopes: int, knowing: bool) -> tuple[float, float, float, float]:
        """ms until the last has all, ms of the node's CPU, bytes, times put off; the middle of some
        tries.
        """
        found: list[tuple[float, float, float, float]] = []
        for _ in range(TIMES):
            meter = Meter(self.node)
            took = await self.audience.grow(
                count,
                self.revision if knowing else 0,
                lambda number: carried(number, scopes),
                10 * PATIENCE_S,
            )
            found.append((1e3 * took, 1e3 * meter.cpu_s, self.audience.bytes, self.audience.later))
            await self.audience.close()
        return sorted(found)[len(found) // 2]


async def returning(
    folder: Path, sizes: Sequence[int], scopes: Sequence[int], rows: int, heard: Heard
) -> list[Series]:
    """N subscribers that come at once, each with 100 of 2,900 scopes: knowing all of it, and
    knowing nothing; and the smallest number of them, by scopes.
    """
    found: list[Series] = []
    cluster = await one_node(folder)
    client = cluster.client("writer", 15.0)
    audience = Audience(cluster.addresses[0])
    try:
        await takes_rows(client)
        back = Return(pid(cluster.members[0]), audience, await fill_rows(client, 0, rows))
        turns = [
            ("", "subscribers", [(size, size, SCOPES) for size in sizes]),
            ("scopes_", "scopes", [(many, sizes[0], many) for many in scopes]),
        ]
        for prefix, per, steps in turns:
            for how in ("resume", "snapshot"):
                series = [
                    Series(f"feed.{prefix}{how}_{what}", unit, per)
                    for what, unit in (("delay", "ms"), ("cpu", "ms"), ("bytes", "bytes"))
                ]
                series.append(Series(f"feed.{prefix}{how}_later", "times put off", per, line=False))
                for x, count, many in steps:
                    figures = await back.of(count, many, how == "resume")
                    for one, y in zip(series, figures, strict=True):
                        one.add(x, y)
                    heard(
                        f"{count} with {many} scopes, {how}: the last after {figures[0]:.0f} ms,"
                        f" {figures[1]:.0f} ms of CPU, {figures[2] / 1e6:.1f} MB, put off"
                        f" {figures[3]:.0f} times"
                    )
                found += series
    finally:
        await _end(cluster, client, audience)
    return found
