"""Real store nodes, relays of all links, and processes of hollow balancers, on one machine."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from loadbalancer.store.client import Client
from loadbalancer.store.errors import StoreError
from loadbalancer.testbed.cluster.real import Member, RealCluster
from loadbalancer.testbed.size.figures import Mark, Marks
from loadbalancer.testbed.size.hollow import Codec
from loadbalancer.testbed.size.parties import Party, Usage, usage
from loadbalancer.testbed.size.world import Balancer, Shape, World, draw
from loadbalancer.testbed.size.writer import DocumentWriter, RowWriter, Writer
from loadbalancer.testbed.topology import Unusable

LINKS = "loadbalancer.testbed.size.links"
POLL_S = 0.05
COUNTED = ("sent_words", "encoded", "resumes", "snapshots", "later")  # of a node's feed


@dataclass(frozen=True)
class Plan:
    """What is run. `rows`: over the feed; else a document for each service, as the program did
    before it. `nodes` go over the regions by turns, those with the most zones first; the first
    `voters` vote. `bookmark_s`: so often a node says that it has nothing to say, and after three
    times as long a balancer leaves one that is silent; 0: as the program has it. `deciding`: part
    of the balancers that have the decision module. `rate`: requests a second of each of these.
    `far_ms`: one way between regions.
    """

    shape: Shape = Shape()
    seed: int = 1
    rows: bool = True
    nodes: int = 9
    voters: int = 3
    each: int = 200  # balancers of a hollow process
    links: int = 3  # processes of relays
    bookmark_s: float = 0.0
    deciding: float = 0.0
    rate: float = 0.0
    far_ms: float = 20.0

    def check(self) -> None:
        """Raises Unusable."""
        self.shape.check()
        if not 1 <= self.voters <= self.nodes <= 9 or self.each < 1 or not 1 <= self.links <= 8:
            raise Unusable("a fleet has 1 to 9 nodes, no more votes, and 1 to 8 processes of links")
        if not 0 <= self.deciding <= 1 or min(self.rate, self.far_ms, self.bookmark_s) < 0:
            raise Unusable("deciding is a part, and rates, distances and times are not negative")


@dataclass(eq=False)
class Group:
    """A hollow process, and what it holds."""

    region: int
    balancers: list[Balancer]
    party: Party


def _kept(address: tuple[str, int]) -> socket.socket:
    """A node's port, bound and not listened at: no relay's listener and no connection of anybody is
    given it until the node binds it too, nor while the node is dead.
    """
    found = socket.socket()
    found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    found.bind(address)
    return found


@dataclass(eq=False)
class Fleet:
    plan: Plan
    folder: Path
    codec: Codec
    module: str  # that a hollow process runs
    world: World = field(init=False)
    groups: list[Group] = field(default_factory=list)
    links: list[Party] = field(default_factory=list)
    link_of: dict[str, Party] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    live: set[int] = field(default_factory=set)  # balancers that are started
    files: int = 0

    def __post_init__(self) -> None:
        self.plan.check()
        self.world = draw(self.plan.shape, self.plan.seed)
        self.cluster = RealCluster(self.folder, self.plan.nodes)
        self.kept = [_kept(m.settings.listen) for m in self.cluster.members]
        by_size = sorted(
            range(self.plan.shape.regions), key=lambda r: (-len(self.world.zones_of(r)), r)
        )
        self.region_of_node = [by_size[n % len(by_size)] for n in range(self.plan.nodes)]
        client = self.cluster.client("writer", 30.0)
        kind = RowWriter if self.plan.rows else DocumentWriter
        self.writer: Writer = kind(self.world, client, self.codec)

    # ---- beginning and end -----------------------------------------------------------------------

    async def start(self) -> None:
        """Nodes, links and hollow processes; no balancer yet."""
        self._group()
        await self._link()
        for member in self.cluster.members:
            reach = ", ".join(
                f'"{o.address}" = "127.0.0.1:{self.ports[f"node{member.place}>node{o.place}"]}"'
                for o in self.cluster.members
                if o is not member
            )
            bookmark = self.plan.bookmark_s * 1000
            feed = f'[feed]\nbookmark = "{bookmark:.0f}ms"\n' if bookmark else ""
            self.cluster.settle(
                member, f"reach = {{ {reach} }}\n[limits]\nconnections = 4096\n{feed}"
            )
        await self.cluster.start(self.plan.voters)
        await asyncio.gather(*(g.party.start() for g in self.groups))
        await asyncio.gather(*(self._be(g) for g in self.groups))

    def _group(self) -> None:
        for region in range(self.plan.shape.regions):
            zones = self.world.zones_of(region)
            some = [b for b in self.world.balancers if b.zone in zones]
            for first in range(0, len(some), self.plan.each):
                name = f"hollow{len(self.groups)}"
                self.groups.append(
                    Group(
                        region,
                        some[first : first + self.plan.each],
                        Party(name, self.module, self.folder / f"{name}.log"),
                    )
                )

    async def _link(self) -> None:
        """A relay from each hollow process to each node, and between nodes; far ones between
        regions.
        """
        self.links = [
            Party(f"links{n}", LINKS, self.folder / f"links{n}.log") for n in range(self.plan.links)
        ]
        await asyncio.gather(*(p.start() for p in self.links))
        region = {f"node{n}": r for n, r in enumerate(self.region_of_node)}
        region |= {g.party.name: g.region for g in self.groups}
        members = self.cluster.members
        for place, dialler in enumerate(region):
            party = self.links[place % len(self.links)]
            names = [f"{dialler}>node{m.place}" for m in members if dialler != f"node{m.place}"]
            found = await party.ask(
                "open",
                links=[
                    [name, *members[int(name.rpartition("node")[2])].settings.listen]
                    for name in names
                ],
            )
            self.ports |= zip(names, found, strict=True)
            self.link_of |= dict.fromkeys(names, party)
        self.region = region
        if self.plan.far_ms:
            await self.fault("far", self.plan.far_ms, "both", lambda a, b: region[a] != region[b])

    async def _be(self, group: Group) -> None:
        """Tell a hollow process what it will hold; nodes of the own region come first for each
        balancer.
        """
        members = self.cluster.members
        reach = {
            m.address: f"127.0.0.1:{self.ports[f'{group.party.name}>node{m.place}']}"
            for m in members
        }
        every = round(1 / self.plan.deciding) if self.plan.deciding else 0
        rows = []
        for b in group.balancers:
            order = Random(f"{self.plan.seed}/{b.number}").sample(members, len(members))
            order.sort(key=lambda m: self.region_of_node[m.place] != group.region)
            among = {s.name: len(s.balancers) for s in (self.world.services[n] for n in b.carries)}
            rows.append(
                {
                    "number": b.number,
                    "name": b.name,
                    "zone": f"z{b.zone:02d}",
                    "among": among,
                    "addresses": [m.address for m in order],
                    "near": self.region_of_node.count(group.region),
                    "deciding": bool(every) and b.number % every == 0,
                }
            )
        await group.party.ask(
            "be",
            balancers=rows,
            reach=reach,
            rate=self.plan.rate,
            rows=self.plan.rows,
            silent_s=3 * self.plan.bookmark_s,
        )

    async def end(self) -> None:
        """Whatever runs."""
        for group in self.groups:
            group.party.send(signal.SIGCONT)
        await asyncio.gather(*(p.end() for p in [*(g.party for g in self.groups), *self.links]))
        if self.writer.client.connection is not None:
            self.writer.client.connection.abort()
        await self.cluster.stop()
        self.cluster.end()
        for kept in self.kept:
            kept.close()

    # ---- balancers -------------------------------------------------------------------------------

    async def _each(self, numbers: Collection[int], do: str) -> None:
        chosen = set(numbers)
        parts = [(g, [b.number for b in g.balancers if b.number in chosen]) for g in self.groups]
        await asyncio.gather(*(g.party.ask(do, balancers=some) for g, some in parts if some))

    async def begin(self, numbers: Collection[int]) -> None:
        """Start them, all at once."""
        self.live |= set(numbers)
        await self._each(numbers, "start")

    async def stop(self, numbers: Collection[int]) -> None:
        self.live -= set(numbers)
        await self._each(numbers, "stop")

    async def ask(self, do: str, groups: Sequence[Group] = (), **what: Any) -> list[Any]:
        return list(await asyncio.gather(*(g.party.ask(do, **what) for g in groups or self.groups)))

    async def reached(
        self, wanted: dict[str, int], within_s: float, groups: Sequence[Group] = ()
    ) -> int:
        """Wait until all have what they carry of this, by scope; how many have not, in that
        time.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        while True:
            behind: int = sum(await self.ask("behind", groups, wanted=wanted))
            if not behind or loop.time() > until:
                return behind
            await asyncio.sleep(POLL_S)

    async def _files(self, party: Party, do: str) -> Any:
        """An answer that is too long for a line."""
        self.files += 1
        path = self.folder / f"{do}-{self.files}"
        await party.ask(do, path=str(path))
        found = msgspec.msgpack.decode(path.read_bytes(), strict=False)
        path.unlink()
        return found

    async def marks(self) -> Marks:
        """What came into force since this was asked last."""
        found: list[Mark] = []
        for rows in await asyncio.gather(*(self._files(g.party, "marks") for g in self.groups)):
            found += [tuple(row) for row in rows]
        return Marks(found)

    async def held(self) -> dict[int, tuple[dict[str, int], int, int]]:
        found: dict[int, tuple[dict[str, int], int, int]] = {}
        for rows in await asyncio.gather(*(self._files(g.party, "held") for g in self.groups)):
            found |= {int(number): tuple(row) for number, row in rows.items()}
        return found

    async def ready(self) -> dict[int, float]:
        """Seconds from the start of each balancer until it had all that it carries; 0: it has
        not.
        """
        found: dict[int, float] = {}
        for rows in await self.ask("ready"):
            found |= {int(n): max(0, ready - begun) / 1e9 for n, (begun, ready) in rows.items()}
        return found

    # ---- links -----------------------------------------------------------------------------------

    async def fault(
        self, kind: str, size: float, way: str, on: Callable[[str, str], bool]
    ) -> list[tuple[Party, int]]:
        """On the links between whom `on` says; `way` is `to` or `from` the second, or `both`."""
        found = []
        for party in self.links:
            names = [n for n, p in self.link_of.items() if p is party and on(*n.split(">"))]
            if names:
                found.append(
                    (party, await party.ask("fault", links=names, kind=kind, size=size, way=way))
                )
        return found

    @staticmethod
    async def over(faults: Sequence[tuple[Party, int]]) -> None:
        await asyncio.gather(*(party.ask("over", fault=number) for party, number in faults))

    async def at(self, place: int) -> list[int]:
        """Balancers whose connection leads to this node, or last did."""
        names = [n for n in self.link_of if n.endswith(f">node{place}")]
        found = await asyncio.gather(*(p.ask("at", links=names) for p in self.links))
        number = {b.name: b.number for b in self.world.balancers}
        return sorted(
            number[n] for some in found for n in some if n in number and number[n] in self.live
        )

    async def count_anew(self) -> None:
        await asyncio.gather(*(p.ask("count") for p in self.links))

    async def counted(self) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for rows in await asyncio.gather(*(self._files(p, "counted") for p in self.links)):
            found |= rows
        return found

    # ---- nodes -----------------------------------------------------------------------------------

    def usages(self) -> dict[str, Usage]:
        found = {p.name: usage(p.pid) for p in [*self.links, *(g.party for g in self.groups)]}
        for m in self.cluster.members:
            if m.up and m.process is not None:
                found[f"node{m.place}"] = usage(m.process.pid)
        return found

    async def leader(self) -> Member:
        return await self.cluster.leader()

    async def told(self) -> dict[int, Counter[str]]:
        """What the feed of each node that is up counts since its start."""
        found = {}
        for member in self.cluster.members:
            if member.up and self.plan.rows:
                client = Client([member.address], name="status", deadline_s=3.0)
                try:
                    feed = (await client.status())["feed"] or {}
                except StoreError:
                    continue
                finally:
                    await client.close()
                found[member.place] = Counter({what: feed.get(what, 0) for what in COUNTED})
        return found
