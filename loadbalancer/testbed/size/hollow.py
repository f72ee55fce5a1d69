"""A process of hollow balancers, under a fleet. Each is the real client and its feed, and where it
is wanted the real decision module, without sockets to clients and upstreams.

What each has in force is written down beside: the version and checksum of every row that it was
given, to be held against the store, whatever the feed's own books say.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import time
import zlib
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol

import msgspec

from loadbalancer.changefeed.messages import GLOBAL, SERVICE, Row
from loadbalancer.changefeed.subscription import Apply, SubscriptionLimits
from loadbalancer.policy import api
from loadbalancer.proxy.endpoint import Endpoint
from loadbalancer.settings import Json
from loadbalancer.store.changefeed_client import ChangefeedClient, ChangefeedTarget
from loadbalancer.store.client import Client
from loadbalancer.store.errors import StoreError
from loadbalancer.store.wire.protocol import Row as StoreRow
from loadbalancer.testbed.size.deciding import Deciding

AGAIN_S = 0.2
MASK = (1 << 64) - 1  # sums of seals are taken modulo this
PROBE = "probe"  # what every balancer hears


class Codec(Protocol):
    """How the daemon writes down what stands in the store: as rows, and as the list of a
    service.
    """

    def service(self, name: str) -> bytes: ...

    def row(self, endpoint: Endpoint) -> bytes: ...

    def check(self, scope: str, row: Row) -> str: ...  # why it can't be gone by; empty: it can

    def endpoint(self, value: bytes) -> Endpoint: ...

    def document(self, endpoints: Sequence[Endpoint]) -> bytes: ...

    def endpoints(self, row: StoreRow) -> list[Endpoint]: ...


def seal(key: str, version: int, value: bytes) -> int:
    """Of a row: rows of a scope are the same where their sums are."""
    return zlib.crc32(value, zlib.crc32(f"{key} {version} ".encode())) << 32 | zlib.crc32(
        key.encode()
    )


class Told(msgspec.Struct, frozen=True):
    """What a hollow balancer is to be. `among`: by service that it carries, how many do. `near`: so
    many of the addresses, the first, are in its region.
    """

    number: int
    name: str
    zone: str
    among: dict[str, int]
    addresses: list[str]
    near: int
    deciding: bool


class Hollow(ABC):
    """One balancer. `marks`: of the process, what came into force: balancer, scope, revision,
    moment (ns).
    """

    def __init__(
        self,
        told: Told,
        codec: Codec,
        reach: Mapping[str, str],
        rate: float,
        silent_s: float,
        marks: list[tuple[int, str, int, int]],
    ) -> None:
        self.told = told
        self.codec = codec
        self.reach = reach
        self.silent_s = silent_s
        self.marks = marks
        self.rng = random.Random(told.name)
        self.begun_ns = time.monotonic_ns()
        self.ready_ns = 0  # when all that it carries was in force
        self.cursors: dict[str, int] = {}
        self.held: dict[
            str, dict[str, tuple[int, int]]
        ] = {}  # by scope and key: version, seal; 0: deleted
        self.back = 0  # how often something older came after something newer
        self.refused = 0
        self.modules = (
            {name: Deciding(told.zone, count, told.number) for name, count in told.among.items()}
            if told.deciding
            else {}
        )
        if rate:
            for module in self.modules.values():
                module.come(rate / len(self.modules))

    @abstractmethod
    def start(self) -> None: ...

    async def close(self) -> None:
        for module in self.modules.values():
            module.close()

    def inforce(
        self,
        scope: str,
        whole: bool,
        rows: Iterable[tuple[str, int, bytes | None]],
        revision: int,
        entries: Sequence[api.Upstream],
    ) -> None:
        """Called once the module has it."""
        module = self.modules.get(scope.removeprefix(SERVICE))
        if module is not None:
            module.learn(
                api.EndpointListKind.FULL if whole else api.EndpointListKind.DELTA, entries
            )
        now = time.monotonic_ns()
        self.marks.append((self.told.number, scope, revision, now))
        self._note(scope, whole, rows, revision)
        if (
            not self.ready_ns and len(self.cursors) == len(self.told.among) + 1
        ):  # what all hear, too
            self.ready_ns = now

    def _note(
        self, scope: str, whole: bool, rows: Iterable[tuple[str, int, bytes | None]], revision: int
    ) -> None:
        before = self.held.get(scope, {})
        held = {} if whole else before
        if revision < self.cursors.get(scope, 0):
            self.back += 1
        for key, version, value in rows:
            if version < before.get(key, (0, 0))[0]:
                self.back += 1
            held[key] = version, 0 if value is None else seal(key, version, value)
        self.held[scope] = held
        self.cursors[scope] = revision

    def sums(self) -> dict[str, int]:
        """Of each scope's rows."""
        return {scope: sum(s for _, s in held.values()) & MASK for scope, held in self.held.items()}


class FeedHollow(Hollow):
    """Its rows come over the feed."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        scopes = [GLOBAL, *(SERVICE + name for name in self.told.among)]
        limits = SubscriptionLimits()
        if self.silent_s:
            limits = msgspec.structs.replace(limits, silent_ns=int(self.silent_s * 1e9))
        self.client = ChangefeedClient(
            ChangefeedTarget(
                self.told.addresses,
                lambda: None,
                self.told.name,
                self.told.near,
                self.reach,
                self.rng,
            ),
            scopes,
            self._check,
            self._apply,
            limits,
        )

    def start(self) -> None:
        self.client.start()

    def _check(self, scope: str, row: Row) -> str:
        why = self.codec.check(scope, row)
        self.refused += bool(why)
        return why

    def _apply(self, told: Apply) -> None:
        entries = (
            [self._entry(row) for row in told.rows if row.key.startswith("upstream/")]
            if self.told.deciding
            else []
        )
        self.inforce(
            told.scope,
            told.is_snapshot,
            ((r.key, r.version, r.value) for r in told.rows),
            told.revision,
            entries,
        )

    def _entry(self, row: Row) -> api.Upstream:
        if row.value is None:
            return api.Upstream(
                int(row.key.removeprefix("upstream/"), 16), api.UpstreamState.REMOVED
            )
        return self.codec.endpoint(row.value).entry

    async def close(self) -> None:
        await super().close()
        await self.client.close()


class ListHollow(Hollow):
    """The program as it stood: a document for each service, read and then watched."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.client = Client(
            self.told.addresses, name=self.told.name, address_map=self.reach, rng=self.rng
        )
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._follow(f"list/{name}", name)) for name in self.told.among
        ]
        self.tasks.append(loop.create_task(self._follow(PROBE, PROBE)))

    async def _follow(self, key: str, scope: str) -> None:
        while True:
            try:
                found = await self.client.get(key)
                self._heard(scope, found.rows[0], found.revision)
                async for told in self.client.watch(key, found.revision):
                    for change in told.changes:
                        if change.key == key:
                            self._heard(
                                scope,
                                StoreRow(key, change.value, change.version, change.revision),
                                change.revision,
                            )
            except StoreError:
                await asyncio.sleep(AGAIN_S * self.rng.uniform(0.5, 1.0))

    def _heard(self, scope: str, row: StoreRow, revision: int) -> None:
        entries = [e.entry for e in self.codec.endpoints(row)] if scope != PROBE else []
        self.inforce(scope, True, [(row.key, row.version, row.value)], revision, entries)

    async def close(self) -> None:
        await super().close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.client.connection is not None:
            self.client.connection.abort()


class Hollows:
    """All of a process."""

    def __init__(self, codec: Codec) -> None:
        self.codec = codec
        self.told: dict[int, Told] = {}
        self.reach: dict[str, str] = {}
        self.make: type[Hollow] = ListHollow
        self.rate = self.silent_s = 0.0
        self.live: dict[int, Hollow] = {}
        self.marks: list[tuple[int, str, int, int]] = []

    async def do(self, word: Json) -> Any:
        match word["do"]:
            case "be":
                self.told = {t.number: t for t in msgspec.convert(word["balancers"], list[Told])}
                self.reach, self.rate, self.silent_s = word["reach"], word["rate"], word["silent_s"]
                self.make = FeedHollow if word["rows"] else ListHollow
            case "start":
                for number in word["balancers"]:
                    self.live[number] = hollow = self.make(
                        self.told[number],
                        self.codec,
                        self.reach,
                        self.rate,
                        self.silent_s,
                        self.marks,
                    )
                    hollow.start()
            case "stop":
                gone = [self.live.pop(number) for number in word["balancers"]]
                await asyncio.gather(*(hollow.close() for hollow in gone))
            case "behind":
                return self._behind(word["wanted"])
            case "settled":  # what is there now is not looked through again for what can be freed
                gc.collect()
                gc.freeze()
            case "marks":
                Path(word["path"]).write_bytes(msgspec.msgpack.encode(self.marks))
                self.marks.clear()
            case "ready":
                return {n: [h.begun_ns, h.ready_ns] for n, h in self.live.items()}
            case "held":
                rows = {n: (h.sums(), h.back, h.refused) for n, h in self.live.items()}
                Path(word["path"]).write_bytes(msgspec.msgpack.encode(rows))
            case "cpu":
                return time.process_time()
            case "pid":
                return os.getpid()
            case other:
                raise ValueError(f"{other} is no order")
        return None

    def _behind(self, wanted: Mapping[str, int]) -> int:
        """How many balancers do not have all that they carry yet, or something of it not at this
        revision.
        """
        return sum(
            not h.ready_ns
            or any(revision < wanted.get(scope, 0) for scope, revision in h.cursors.items())
            for h in self.live.values()
        )
