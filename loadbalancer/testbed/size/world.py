"""A fleet drawn from a seed: where its balancers and upstreams stand, and which balancer carries
what. Pure.

A balancer knows only what it carries. A service of u upstreams is on ceil(u / spread) balancers,
and on `LEAST` where that is fewer; `spread` is the fleet's upstreams for each balancer. As requests
come with upstreams, no service alone gives any balancer more than the mean of them all: 86 a second
at the planned size. Services are dealt from the largest to the smallest. Each stands in as many
regions as it has balancers three times over, those with the least load for their zones; its
balancers go over the zones of these regions by turns, so that there are two zones at least, and in
each zone to the one with the least load.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from loadbalancer.testbed.topology import Unusable

LEAST = 3  # balancers of a service: one is lost, one is being replaced, one is left
LEAST_UPSTREAMS = 2  # of a service
GLOBALS = 8  # rows that every balancer hears


@dataclass(frozen=True)
class Shape:
    """Of the whole fleet; the defaults are the users' plan."""

    balancers: int = 2900
    upstreams: int = 44_000
    services: int = 2900
    routes: int = 9900
    tenants: int = 73_000
    regions: int = 8
    zones: int = 20
    racks: int = 10  # a zone
    requests_s: float = 250_000.0
    skew: float = 1.0  # of services' sizes: the n-th is so large as the first by n to this power

    def check(self) -> None:
        """Raises Unusable."""
        if self.zones < 2 * self.regions or self.regions < 1:
            raise Unusable("a world needs regions, and two zones in each")
        if self.balancers < LEAST * self.zones // 2 or self.services < 1 or self.racks < 1:
            raise Unusable(f"a world needs services, racks, and {LEAST} balancers for two zones")
        if self.upstreams < LEAST_UPSTREAMS * self.services:
            raise Unusable(f"a world needs {LEAST_UPSTREAMS} upstreams for each service")
        if min(self.routes, self.tenants) < 0 or not 0 <= self.skew <= 2 or self.requests_s <= 0:
            raise Unusable(
                "a world needs counts that are not negative, requests, and a skew of 0 to 2"
            )

    def scaled(self, balancers: int) -> Shape:
        """All in proportion; regions and zones as many as still have some balancers each."""
        part = balancers / self.balancers
        zones = min(self.zones, max(4, balancers // 6))
        services = max(1, round(self.services * part))
        return replace(
            self,
            balancers=balancers,
            services=services,
            zones=zones,
            upstreams=max(LEAST_UPSTREAMS * services, round(self.upstreams * part)),
            routes=round(self.routes * part),
            tenants=round(self.tenants * part),
            regions=min(self.regions, zones // 2),
            requests_s=self.requests_s * part,
        )


@dataclass(slots=True)
class Balancer:
    number: int
    zone: int
    rack: int
    load: float = 0.0  # requests a second
    carries: list[int] = field(default_factory=list)  # services

    @property
    def name(self) -> str:
        return f"b{self.number:04d}"


@dataclass(frozen=True, slots=True)
class Upstream:
    number: int
    service: int
    zone: int
    rack: int

    @property
    def name(self) -> str:
        return f"u{self.number:05d}"


@dataclass(slots=True)
class Service:
    number: int
    size: int  # upstreams
    regions: list[int]
    upstreams: list[int] = field(default_factory=list)
    balancers: list[int] = field(default_factory=list)
    routes: int = 0
    tenants: int = 0

    @property
    def name(self) -> str:
        return f"s{self.number:04d}"


@dataclass
class World:
    shape: Shape
    seed: int
    region_of: list[int]  # by zone
    balancers: list[Balancer]
    upstreams: list[Upstream]
    services: list[Service]

    def zones_of(self, region: int) -> list[int]:
        return [zone for zone, r in enumerate(self.region_of) if r == region]

    def rows(self, balancer: Balancer) -> int:
        """That it holds."""
        return GLOBALS + sum(
            s.size + s.routes + s.tenants for s in (self.services[n] for n in balancer.carries)
        )

    @property
    def connections(self) -> int:
        """Of a balancer and an upstream, over the whole fleet."""
        return sum(s.size * len(s.balancers) for s in self.services)


def sizes(total: int, count: int, skew: float) -> list[int]:
    """Of services, the largest first: `LEAST_UPSTREAMS` each, the rest by a power law; `total` in
    sum.
    """
    weights = [1 / (n + 1) ** skew for n in range(count)]
    left = total - LEAST_UPSTREAMS * count
    whole = sum(weights)
    parts = [left * w / whole for w in weights]
    found = [int(p) for p in parts]
    rest = left - sum(found)
    for n in sorted(range(count), key=lambda n: (found[n] - parts[n], n))[:rest]:
        found[n] += 1
    return [LEAST_UPSTREAMS + n for n in found]


def carriers(size: int, shape: Shape) -> int:
    """How many balancers a service of so many upstreams is on."""
    spread = shape.upstreams / shape.balancers
    return min(shape.balancers, max(LEAST, math.ceil(size / spread)))


def draw(shape: Shape, seed: int) -> World:
    """Raises Unusable."""
    shape.check()
    rng = random.Random(seed)
    region_of = sorted(zone % shape.regions for zone in range(shape.zones))
    balancers = [
        Balancer(n, n % shape.zones, rng.randrange(shape.racks)) for n in range(shape.balancers)
    ]
    world = World(shape, seed, region_of, balancers, [], [])
    _deal(world)
    _place(world, rng)
    _share(world, rng)
    return world


def _deal(world: World) -> None:
    """Services to regions, and in them to balancers."""
    shape = world.shape
    zones = [world.zones_of(r) for r in range(shape.regions)]
    of_region = [0.0] * shape.regions
    idle = [[(0.0, b.number) for b in world.balancers if b.zone == z] for z in range(shape.zones)]
    of_zone = [0.0] * shape.zones
    each = shape.requests_s / shape.upstreams
    for number, size in enumerate(sizes(shape.upstreams, shape.services, shape.skew)):
        count = carriers(size, shape)
        order = sorted(range(shape.regions), key=lambda r: (of_region[r] / len(zones[r]), r))
        service = Service(number, size, sorted(order[: max(1, min(shape.regions, count // LEAST))]))
        load = size * each / count
        for region in service.regions:
            of_region[region] += size / len(service.regions)
        _carry(
            world,
            service,
            count,
            load,
            [z for r in service.regions for z in zones[r]],
            idle,
            of_zone,
        )
        world.services.append(service)


def _carry(
    world: World,
    service: Service,
    count: int,
    load: float,
    zones: Sequence[int],
    idle: list[list[tuple[float, int]]],
    of_zone: list[float],
) -> None:
    """So many balancers of these zones. `idle`: by zone, a heap of its balancers by their load."""
    taken: dict[int, list[tuple[float, int]]] = {zone: [] for zone in zones}
    for _ in range(count):
        open_zones = [z for z in zones if idle[z]]
        if not open_zones:
            break
        # By turns, and among those whose turn it is the one with the least load.
        zone = min(open_zones, key=lambda z: (len(taken[z]), of_zone[z], z))
        has, number = heapq.heappop(idle[zone])
        taken[zone].append((has + load, number))
        of_zone[zone] += load
        balancer = world.balancers[number]
        balancer.load += load
        balancer.carries.append(service.number)
        service.balancers.append(number)
    for zone, rows in taken.items():
        for row in rows:
            heapq.heappush(idle[zone], row)


def _place(world: World, rng: random.Random) -> None:
    """Upstreams into the zones of their service, those with the fewest first."""
    shape = world.shape
    held = [0] * shape.zones
    for service in world.services:
        heap = [(held[z], z) for r in service.regions for z in world.zones_of(r)]
        heapq.heapify(heap)
        for _ in range(service.size):
            count, zone = heap[0]
            heapq.heapreplace(heap, (count + 1, zone))
            held[zone] += 1
            number = len(world.upstreams)
            world.upstreams.append(
                Upstream(number, service.number, zone, rng.randrange(shape.racks))
            )
            service.upstreams.append(number)


def _share(world: World, rng: random.Random) -> None:
    """Routes: one each, the rest by size. Tenants: half evenly, half by size; each has one
    service.
    """
    shape, services = world.shape, world.services
    weights = [s.size for s in services]
    first = min(shape.routes, shape.services)
    routes = Counter(rng.choices(range(shape.services), weights, k=shape.routes - first))
    tenants = Counter(rng.choices(range(shape.services), k=shape.tenants // 2))
    tenants.update(
        rng.choices(range(shape.services), weights, k=shape.tenants - shape.tenants // 2)
    )
    for service in services:
        service.routes = routes[service.number] + (service.number < first)
        service.tenants = tenants[service.number]
