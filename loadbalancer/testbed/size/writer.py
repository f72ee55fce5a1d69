"""The writing side of a fleet: what stands in the store, as rows or as a document for each service,
and what changes there. In the place of the list's owner, without its lease.
"""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import TypeVar

from loadbalancer.changefeed import messages as feed
from loadbalancer.policy import api
from loadbalancer.proxy.endpoint import Endpoint, upstream_number
from loadbalancer.store.client import Client
from loadbalancer.store.commands import Op, Result
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.testbed.size.hollow import MASK, PROBE, Codec, seal
from loadbalancer.testbed.size.world import GLOBALS, Service, Upstream, World
from loadbalancer.wallclock import unix_ms

T = TypeVar("T")
OPS = 256  # of a write
BYTES = 512 << 10  # of a write's values
AHEAD = 16  # writes, or reads, on their way
WITHIN_S = 60.0
# Of the values of rows that have no types yet: settings of all, a route, a tenant.
SETTINGS_BYTES, ROUTE_BYTES, TENANT_BYTES = 200, 75, 40


@dataclass(frozen=True)
class Change:
    """A write. `at_ns`: just before it was sent; `done_ns`: when it was known to be made; by scope,
    the revision that has it.
    """

    label: str
    at_ns: int
    done_ns: int
    scopes: Mapping[str, int]


def endpoint(u: Upstream) -> Endpoint:
    entry = api.Upstream(
        upstream_number(u.name), api.UpstreamState.READY, f"z{u.zone:02d}", u.rack, 1.0, 0, "m1"
    )
    return Endpoint(
        entry, f"10.{u.zone}.{u.number >> 8 & 255}.{u.number & 255}", 8000 + u.number % 1000
    )


def stepped(e: Endpoint, step: int) -> Endpoint:
    """A restart is three changes: it drains, it is there anew, and it takes its full part."""
    entry = e.entry
    match step:
        case 0:
            entry = entry._replace(state=api.UpstreamState.DRAINING)
        case 1:
            e = replace(e, started_ms=unix_ms())
            entry = entry._replace(state=api.UpstreamState.READY, weight=0.5)
        case _:
            entry = entry._replace(weight=1.0)
    return replace(e, entry=entry)


@dataclass
class Writer(ABC):
    """`now`: each upstream as it stands; None: it is gone."""

    world: World
    client: Client
    codec: Codec
    now: list[Endpoint | None] = field(default_factory=list)
    probes: int = 0

    probe_scope = PROBE

    def __post_init__(self) -> None:
        self.now = [endpoint(u) for u in self.world.upstreams]

    @abstractmethod
    async def load(self) -> int:
        """Write everything; how many keys."""

    @abstractmethod
    async def put(self, label: str, numbers: Sequence[int]) -> list[Change]:
        """These upstreams as they stand now, in as few writes as they fit in."""

    @abstractmethod
    async def probe(self, label: str) -> Change:
        """What every balancer hears."""

    @abstractmethod
    async def truth(self) -> dict[str, int]:
        """The sum of each scope's rows as the store has them."""

    async def change(
        self, label: str, numbers: Sequence[int], how: Callable[[Endpoint], Endpoint | None]
    ) -> list[Change]:
        for number in numbers:
            e = self.now[number]
            self.now[number] = how(endpoint(self.world.upstreams[number]) if e is None else e)
        return await self.put(label, numbers)

    async def _made(self, label: str, scopes: Sequence[str], write: Awaitable[Result]) -> Change:
        at = time.monotonic_ns()
        result = await write
        return Change(label, at, time.monotonic_ns(), dict.fromkeys(scopes, result.revision))

    @staticmethod
    async def _all(works: Sequence[Callable[[], Awaitable[T]]]) -> list[T]:
        """Some at a time."""
        ahead = asyncio.Semaphore(AHEAD)

        async def one(work: Callable[[], Awaitable[T]]) -> T:
            async with ahead:
                return await work()

        return list(await asyncio.gather(*(one(w) for w in works)))


def packs(ops: Sequence[tuple[str, Op]]) -> list[list[tuple[str, Op]]]:
    """Writes that they fit in, in order."""
    found: list[list[tuple[str, Op]]] = []
    size = 0
    for scope, op in ops:
        size += len(op.value or b"")
        if not found or len(found[-1]) == OPS or size > BYTES:
            found.append([])
            size = len(op.value or b"")
        found[-1].append((scope, op))
    return found


class DocumentWriter(Writer):
    """The program as it stood: `list/SERVICE`, whole at each change."""

    async def load(self) -> int:
        await self.probe("load")
        await self._put("load", self.world.services)
        return len(self.world.services) + 1

    def _document(self, service: Service) -> bytes:
        return self.codec.document(
            [e for e in (self.now[n] for n in service.upstreams) if e is not None]
        )

    async def _put(self, label: str, services: Sequence[Service]) -> list[Change]:
        writes = packs([(s.name, Op(f"list/{s.name}", self._document(s))) for s in services])
        return await self._all(
            [
                lambda w=w: self._made(
                    label,
                    [s for s, _ in w],
                    self.client.write(  # type: ignore[misc]
                        [op for _, op in w], WriteOptions(timeout_s=WITHIN_S)
                    ),
                )
                for w in writes
            ]
        )

    async def put(self, label: str, numbers: Sequence[int]) -> list[Change]:
        hit = sorted({self.world.upstreams[n].service for n in numbers})
        return await self._put(label, [self.world.services[n] for n in hit])

    async def probe(self, label: str) -> Change:
        self.probes += 1
        return await self._made(
            label,
            [PROBE],
            self.client.write(
                [Op(PROBE, str(self.probes).encode())], WriteOptions(timeout_s=WITHIN_S)
            ),
        )

    async def truth(self) -> dict[str, int]:
        keys = {PROBE: PROBE} | {s.name: f"list/{s.name}" for s in self.world.services}

        async def stands(key: str) -> int:
            row = (await self.client.get(key, timeout_s=WITHIN_S)).rows[0]
            return seal(key, row.version, row.value or b"")

        seals = await self._all([lambda k=key: stands(k) for key in keys.values()])  # type: ignore[misc]
        return dict(zip(keys, seals, strict=True))


class RowWriter(Writer):
    """A row for each upstream, route, tenant and service, in the scope of its service."""

    probe_scope = feed.GLOBAL

    @staticmethod
    def _key(service: str, kind: str, name: str) -> str:
        return f"{feed.PREFIX}{feed.SERVICE}{service}/{kind}/{name}"

    def _upstream(self, number: int) -> tuple[str, Op]:
        u = self.world.upstreams[number]
        e = self.now[number]
        service = self.world.services[u.service].name
        key = self._key(service, "upstream", f"{upstream_number(u.name):016x}")
        return service, Op(key, None if e is None else self.codec.row(e))

    async def load(self) -> int:
        first = [
            ("", Op(f"{feed.PREFIX}{feed.GLOBAL}/settings/g{n}", b"x" * SETTINGS_BYTES))
            for n in range(GLOBALS - 1)
        ]
        rest: list[tuple[str, Op]] = []
        for s in self.world.services:
            first.append(
                (s.name, Op(self._key(s.name, "service", s.name), self.codec.service(s.name)))
            )
            rest += [self._upstream(n) for n in s.upstreams]
            for kind, count, size in (
                ("route", s.routes, ROUTE_BYTES),
                ("tenant", s.tenants, TENANT_BYTES),
            ):
                rest += [
                    (s.name, Op(self._key(s.name, kind, f"{s.name}-{n:05d}"), b"x" * size))
                    for n in range(count)
                ]
        await self.probe("load")
        for part in (first, rest):  # what is named has to be there
            await self._write("load", part)
        return 1 + len(first) + len(rest)

    async def _write(self, label: str, rows: Sequence[tuple[str, Op]]) -> list[Change]:
        return await self._all([lambda w=w: self._one(label, w) for w in packs(rows)])  # type: ignore[misc]

    async def _one(self, label: str, rows: Sequence[tuple[str, Op]]) -> Change:
        # As in the daemon's rows, all that is in a service's scope names the service.
        refs = tuple(
            (self._key(s, "service", s),)
            if s and "/service/" not in op.key and op.value is not None
            else ()
            for s, op in rows
        )
        scopes = sorted({f"{feed.SERVICE}{s}" if s else feed.GLOBAL for s, _ in rows})
        return await self._made(
            label,
            scopes,
            self.client.write_rows([op for _, op in rows], refs, WriteOptions(timeout_s=WITHIN_S)),
        )

    async def put(self, label: str, numbers: Sequence[int]) -> list[Change]:
        return await self._write(label, [self._upstream(n) for n in numbers])

    async def probe(self, label: str) -> Change:
        self.probes += 1
        return await self._one(
            label,
            [("", Op(f"{feed.PREFIX}{feed.GLOBAL}/settings/probe", str(self.probes).encode()))],
        )

    async def truth(self) -> dict[str, int]:
        found: dict[str, int] = {}
        for row in (await self.client.scan(feed.PREFIX, timeout_s=WITHIN_S)).rows:
            scope, name = feed.split_key(row.key)
            found[scope] = (found.get(scope, 0) + seal(name, row.version, row.value or b"")) & MASK
        return found
