"""Real store nodes killed in turn under load, and a ledger that shares nothing with them: no write that was
answered may be lost, none may be made twice, none by half, and a watch must see every change once, in order.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from lanelift.lab import results
from lanelift.lab.cluster.real import Member, RealCluster
from lanelift.store.client import Client, Conflict, StoreError, Undecided
from lanelift.store.commands import Op
from lanelift.store.durable import state as states
from lanelift.store.durable.vault import STATE
from lanelift.store.wire.protocol import Changes

PREFIX = "churn/"
COUNTER = "churn/counter"
CALM_S = 20.0  # after the last fault, all must be level within this


@dataclass(eq=False)
class Ledger:
    """What clients were told."""

    acknowledged: Counter[str] = field(default_factory=Counter)  # writes of a key that were answered
    undecided: Counter[str] = field(default_factory=Counter)
    last: dict[str, tuple[int, str]] = field(default_factory=dict)  # version and value as last answered
    maybe: dict[str, set[str]] = field(default_factory=dict)  # values that may stand since
    wrong: list[str] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    seen: dict[str, int] = field(default_factory=dict)  # by the watch: the last version of each key
    changes: int = 0
    pairs: int = 0  # looked at, and found whole

    def say(self, what: str) -> None:
        if len(self.wrong) < 20:
            self.wrong.append(what)


@dataclass
class Report:
    seconds: float
    kills: int
    lost: int
    acknowledged: int
    undecided: int
    changes: int
    pairs: int
    slowest_s: float
    p50_ms: float
    p99_ms: float
    wrong: list[str]


class Writer:
    """Writes a pair of keys of its own, always alike, and adds to a counter that all share."""

    def __init__(self, client: Client, number: int, ledger: Ledger, stop: asyncio.Event) -> None:
        self.client = client
        self.number = number
        self.ledger = ledger
        self.stop = stop
        self.count = 0

    async def run(self) -> None:
        while not self.stop.is_set():
            self.count += 1
            began = time.monotonic()
            if self.count % 3 == 0:
                await self._add()
            else:
                await self._pair()
            self.ledger.latencies.append(time.monotonic() - began)
            await asyncio.sleep(0)

    async def _pair(self) -> None:
        keys = [f"{PREFIX}w{self.number}/{side}" for side in "ab"]
        value = f"{self.number}.{self.count}"
        for key in keys:
            self.ledger.maybe.setdefault(key, set()).add(value)
        try:
            result = await self.client.write([Op(key, value.encode()) for key in keys], within_s=3.0)
        except Undecided:
            for key in keys:
                self.ledger.undecided[key] += 1
            return
        except StoreError:
            for key in keys:
                self.ledger.maybe[key].discard(value)
            return
        for key, version in zip(keys, result.versions, strict=True):
            self.ledger.acknowledged[key] += 1
            before = self.ledger.last.get(key, (0, ""))[0]
            if version <= before:
                self.ledger.say(f"{key}: version {version} was answered after {before}")
            self.ledger.last[key] = version, value
            self.ledger.maybe[key] = {value}

    async def _add(self) -> None:
        try:
            row = (await self.client.get(COUNTER, within_s=3.0)).rows[0]
            now = int(row.value or b"0")
            await self.client.put(COUNTER, str(now + 1).encode(), row.version, within_s=3.0)
            self.ledger.acknowledged[COUNTER] += 1
        except Conflict:
            pass
        except Undecided:
            self.ledger.undecided[COUNTER] += 1
        except StoreError:
            pass


async def look(client: Client, writers: int, ledger: Ledger, stop: asyncio.Event) -> None:
    """Reads pairs: both keys bear one value, whenever they are read."""
    rng = random.Random(1)
    while not stop.is_set():
        number = rng.randrange(writers)
        with suppress(StoreError):
            a, b = (await client.get(f"{PREFIX}w{number}/a", f"{PREFIX}w{number}/b", within_s=3.0)).rows
            if a.value != b.value:
                ledger.say(f"writer {number}: half of a write was seen: {a.value!r} and {b.value!r}")
            ledger.pairs += 1
        await asyncio.sleep(0.002)


async def watch(client: Client, ledger: Ledger, upto: asyncio.Future[int]) -> None:
    """Every version of every key once, in order, until what the future says was seen."""
    async for told in client.watch(PREFIX, 0):
        _note(told, ledger)
        if upto.done() and told.revision >= upto.result():
            return


def _note(told: Changes, ledger: Ledger) -> None:
    for change in told.changes:
        ledger.changes += 1
        before = ledger.seen.get(change.key, 0)
        if change.version != before + 1:
            ledger.say(f"the watch saw version {change.version} of {change.key} after {before}")
        ledger.seen[change.key] = change.version


async def trouble(cluster: RealCluster, seconds: float, rng: random.Random, counts: Counter[str],
                  heard: Callable[[str], None]) -> None:
    """Kills, pauses and losses in turn; all are up again when it returns."""
    until = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        turn += 1
        member = cluster.members[turn % len(cluster.members)]
        if rng.random() < 0.3:
            member = await cluster.leader()
        how = "lose" if turn % 7 == 3 else rng.choice(["kill", "kill", "kill", "pause", "two"])
        heard(f"{how} node {member.place}")
        if how == "lose":
            await cluster.lose(member)
            counts["lost"] += 1
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            await cluster.replace(member)
        elif how == "pause":
            cluster.pause(member, True)
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            cluster.pause(member, False)
        else:
            hit = [member] if how == "kill" else [member, cluster.members[(member.place + 1) % len(
                cluster.members)]]
            for one in hit:
                await cluster.kill(one)
                counts["kills"] += 1
            await asyncio.sleep(rng.uniform(0.0, 1.2))
            for one in hit:
                await cluster.begin(one)


async def churn(folder: Path, seconds: float, size: int = 3, writers: int = 8, seed: int = 1,
                heard: Callable[[str], None] = lambda line: None) -> Report:
    """Raises Unusable where the cluster does not start at all."""
    cluster = RealCluster(folder, size)
    ledger, counts, stop = Ledger(), Counter[str](), asyncio.Event()
    clients: list[Client] = []
    tasks: list[asyncio.Task[None]] = []

    def client(name: str) -> Client:
        clients.append(cluster.client(name))
        return clients[-1]

    try:
        await cluster.start()
        upto: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        loop = asyncio.get_running_loop()
        watching = loop.create_task(watch(client("watch"), ledger, upto))
        tasks += [loop.create_task(Writer(client(f"writer {i}"), i, ledger, stop).run())
                  for i in range(writers)]
        tasks.append(loop.create_task(look(client("look"), writers, ledger, stop)))
        began = time.monotonic()
        await trouble(cluster, seconds, random.Random(seed), counts, heard)
        stop.set()
        await asyncio.wait_for(asyncio.gather(*tasks), CALM_S)
        took = time.monotonic() - began
        await judge(cluster, client("judge"), ledger, upto, watching)
    finally:
        for task in tasks:
            task.cancel()
        for one in clients:
            await one.close()
        await cluster.stop()
        cluster.end()
    middle, late, most = results.spread(ledger.latencies)
    return Report(took, counts["kills"], counts["lost"], ledger.acknowledged.total(),
                  ledger.undecided.total(), ledger.changes, ledger.pairs, most, 1000 * middle, 1000 * late,
                  ledger.wrong)


async def judge(cluster: RealCluster, client: Client, ledger: Ledger, upto: asyncio.Future[int],
                watching: asyncio.Task[None]) -> None:
    """What stands against what was answered, on every node."""
    client.deadline_s = CALM_S
    found = await client.scan(PREFIX)
    rows = {row.key: row for row in found.rows}
    for key, (version, value) in ledger.last.items():
        row = rows.get(key)
        if row is None:
            ledger.say(f"{key}: lost, though {value} was answered")
        elif row.version < version or (row.value or b"").decode() not in ledger.maybe[key]:
            ledger.say(f"{key}: {row.value!r} at version {row.version}, and {value} was answered"
                       f" at {version}")
    for key, row in rows.items():
        least, most = ledger.acknowledged[key], ledger.acknowledged[key] + ledger.undecided[key]
        if not least <= row.version <= most:
            ledger.say(f"{key}: at version {row.version}, and {least} writes were answered, {most} at most"
                       " made")
    counter = rows.get(COUNTER)
    if counter is not None and int(counter.value or b"0") != counter.version:
        ledger.say(f"the counter is {counter.value!r} after {counter.version} additions")
    upto.set_result(found.revision)
    await client.put(PREFIX + "end", b"", within_s=CALM_S)
    ledger.acknowledged[PREFIX + "end"] += 1
    try:
        await asyncio.wait_for(watching, CALM_S)
    except TimeoutError:
        ledger.say(f"the watch has not seen revision {found.revision} after {CALM_S:.0f} s")
    for key, row in rows.items():
        if ledger.seen.get(key, 0) != row.version:
            ledger.say(f"the watch saw {ledger.seen.get(key, 0)} versions of {key}, there were {row.version}")
    await level(cluster, ledger)


async def level(cluster: RealCluster, ledger: Ledger) -> None:
    """All nodes hold the same, entry for entry, once they are stopped."""
    await cluster.level(CALM_S)
    await cluster.stop()
    digests = {member.place: digest(member) for member in cluster.members}
    if len(set(digests.values())) > 1:
        ledger.say(f"nodes differ: {digests}")


def digest(member: Member) -> tuple[int, int]:
    state = states.open_state(member.settings.folder / STATE)
    try:
        return state.applied, state.digest()
    finally:
        state.close()
