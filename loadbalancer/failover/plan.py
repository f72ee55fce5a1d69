"""Where a lost site's load goes, and what is refused first, worked out before it happens. Pure.

For each site, and each two, that may be lost there is a table: which part of what comes in at a
site goes to the boxes of which other, and how far up the ladder of admission the fleet then stands.
It is a transport problem (Hitchcock 1941): what is admitted at each site, to what each other bears
beside its own, at the least distance. It is solved by the rule of the largest regret (Vogel's
approximation), which needs no library in a balancer; how far that is from the optimum is in
docs/measurements.md.

The ladder, in the settings' own terms. Each rung is refused wholly before the next is touched, and
within a rung evenly over the tenants:
    1. what is beyond a tenant's share, which earns a fifth
    2. clients' repeats
    3. second copies and late looks
    4. and so on: the classes, the least worth for its work first
What may not be repeated and has begun is never cut; that is the module's rule, and no rung touches
it.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property

FILL = 0.9  # of what a site bears warm; above it a queue forms by chance alone
STRANGE = 1.15  # times the work of a request whose key the boxes there never met
EXCESS, RETRIES, COPIES, CLASSES = 1, 2, 3, 4  # rungs; the classes take one each from CLASSES on
OVER_SHARE_WORTH = 0.2  # of its class's worth that a request beyond its tenant's share earns
ALIKE = 1.3  # times the worth for the work, below which two classes are refused alike
EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class Kind:
    """A class: worth of a request answered in time, and its work in seconds of a warm core."""

    name: str
    worth: float
    work: float


@dataclass(frozen=True, slots=True)
class Load:
    """What comes in at a site of one class and tenant, requests a second. `excess`: the part of it
    beyond the tenant's share; `retries`: the part that are clients' repeats; `copies`: attempts on
    top, as a part.
    """

    site: str
    kind: str
    tenant: str
    rate: float
    excess: float = 0.0
    retries: float = 0.0
    copies: float = 0.0


@dataclass(frozen=True, slots=True)
class Place:
    """A site: work a second that its boxes bear warm, how much more than usual may come at a time,
    the price of a request sent there from each other site, and the work that its free connections
    allow (0: not told).
    """

    name: str
    bears: float
    burst: float = 0.0
    prices: Mapping[str, float] = field(default_factory=dict)
    connections: float = 0.0


@dataclass(frozen=True)
class Fleet:
    places: Mapping[str, Place]
    kinds: Mapping[str, Kind]
    loads: tuple[Load, ...]
    quotas: Mapping[str, float] = field(
        default_factory=dict
    )  # tenant: requests a second within its share

    @cached_property
    def rungs(self) -> list[list[str]]:
        """The classes in the order in which they are refused. Those that are worth about the same
        for their work stand on one rung: else a small change of what they seem to take would turn
        all of it over.
        """
        found: list[list[str]] = []
        first = 0.0
        for kind in sorted(
            self.kinds.values(), key=lambda k: (k.worth / max(EPSILON, k.work), k.name)
        ):
            dense = kind.worth / max(EPSILON, kind.work)
            if found and dense < ALIKE * first:
                found[-1].append(kind.name)
            else:
                found.append([kind.name])
                first = dense
        return found

    @cached_property
    def rung_of(self) -> dict[str, int]:
        """By class."""
        return {kind: CLASSES + i for i, names in enumerate(self.rungs) for kind in names}

    @property
    def top(self) -> int:
        """The last rung."""
        return CLASSES + len(self.rungs) - 1


@dataclass(frozen=True, slots=True)
class Admission:
    """All rungs below `rung` are refused wholly, and this part of it; rung 0: nothing is."""

    rung: int = 0
    part: float = 0.0

    @property
    def height(self) -> float:
        return self.rung + self.part if self.rung else 0.0

    def refused(self, rung: int) -> float:
        """The part of a rung that is refused."""
        return 1.0 if rung < self.rung else self.part if rung == self.rung else 0.0

    @staticmethod
    def at(height: float) -> Admission:
        """The opposite of `height`: 2.25 is rung 2, a quarter of it; a whole number is the rung
        below, whole.
        """
        if height <= 1.0:
            return Admission()
        rung = int(height)
        part = height - rung
        return Admission(rung, part) if part > EPSILON else Admission(rung - 1, 1.0)


@dataclass(frozen=True, slots=True)
class Table:
    """What holds while `lost` is lost. `shares`: of what is admitted at a site, the part that goes
    to each; `missing`: of the work admitted that finds no room; `worth`: a second, and what it was
    with all sites.
    """

    lost: frozenset[str]
    shares: Mapping[str, Mapping[str, float]]
    admission: Admission
    fill: Mapping[str, float]  # of what each site bears, with its own burst
    worth: float
    usual: float
    by_tenant: Mapping[str, float]  # part of each tenant's worth within its share that is served
    by_class: Mapping[str, float]


def admitted(fleet: Fleet, load: Load, a: Admission) -> float:
    """Requests a second of a load that are let in."""
    rung = fleet.rung_of[load.kind]
    within = 1.0 - load.excess * a.refused(EXCESS)
    return load.rate * within * (1.0 - load.retries * a.refused(RETRIES)) * (1.0 - a.refused(rung))


def work(fleet: Fleet, load: Load, a: Admission) -> float:
    """Work a second of what is let in, copies included."""
    copies = 1.0 + load.copies * (1.0 - a.refused(COPIES))
    return admitted(fleet, load, a) * copies * fleet.kinds[load.kind].work


def ladder(fleet: Fleet, loads: Iterable[Load], bears: float) -> Admission:
    """How far up the ladder what is let in is no more than what is borne."""
    loads = list(loads)

    def asks(a: Admission) -> float:
        return sum(work(fleet, load, a) for load in loads)

    rung, last = 0, fleet.top
    if asks(Admission()) <= bears:
        return Admission()
    while rung < last:
        rung += 1
        if asks(Admission(rung, 1.0)) <= bears:
            break
    whole, none = asks(Admission(rung, 1.0)), asks(Admission(rung, 0.0))
    part = 1.0 if none - whole <= EPSILON else min(1.0, max(0.0, (none - bears) / (none - whole)))
    return Admission(rung, part)


def assign(
    need: Mapping[str, float], room: Mapping[str, float], price: Mapping[tuple[str, str], float]
) -> dict[str, dict[str, float]]:
    """Work from each origin to each target, no target over its room, at a low price in all: next is
    whoever would lose most by not getting its best (Vogel); then two that gain by it change places,
    as long as any do. What finds no room is left out.
    """
    need = {o: w for o, w in need.items() if w > EPSILON}
    room = {t: w for t, w in room.items() if w > EPSILON}
    flow: dict[tuple[str, str], float] = {}
    while need and room:
        choices = []
        for o in sorted(need):
            ranked = sorted((price.get((o, t), 0.0), t) for t in room)
            regret = ranked[1][0] - ranked[0][0] if len(ranked) > 1 else 0.0
            choices.append((-regret, ranked[0][0], o, ranked[0][1]))
        o, t = min(choices)[2:]
        moved = min(need[o], room[t])
        flow[o, t] = flow.get((o, t), 0.0) + moved
        for left, name in ((need, o), (room, t)):
            left[name] -= moved
            if left[name] <= EPSILON:
                del left[name]
    while _better(flow, room, price):
        pass
    found: dict[str, dict[str, float]] = {}
    for (o, t), w in sorted(flow.items()):
        if w > EPSILON:
            found.setdefault(o, {})[t] = w
    return found


def _better(
    flow: dict[tuple[str, str], float],
    room: dict[str, float],
    price: Mapping[tuple[str, str], float],
) -> bool:
    """One change that makes it cheaper: into room that is left, or two that change targets."""
    used = [pair for pair, w in sorted(flow.items()) if w > EPSILON]

    def move(o: str, t: str, w: float) -> None:
        flow[o, t] = flow.get((o, t), 0.0) + w

    for o, t in used:
        for other, left in sorted(room.items()):
            if left > EPSILON and price.get((o, other), 0.0) < price.get((o, t), 0.0) - EPSILON:
                moved = min(left, flow[o, t])
                move(o, t, -moved)
                move(o, other, moved)
                room[other] -= moved
                room[t] = room.get(t, 0.0) + moved
                return True
    for i, (o, t) in enumerate(used):
        for p, u in used[i + 1 :]:
            gain = (
                price.get((o, t), 0.0)
                + price.get((p, u), 0.0)
                - price.get((o, u), 0.0)
                - price.get((p, t), 0.0)
            )
            if o != p and t != u and gain > EPSILON:
                moved = min(flow[o, t], flow[p, u])
                for who, was, now in ((o, t, u), (p, u, t)):
                    move(who, was, -moved)
                    move(who, now, moved)
                return True
    return False


def rooms(fleet: Fleet, lost: frozenset[str]) -> dict[str, float]:
    """Work a second that each site that is left may be given, its own burst thought of."""
    own: dict[str, float] = {}
    for load in fleet.loads:
        own[load.site] = own.get(load.site, 0.0) + work(fleet, load, Admission())
    found = {}
    for name, place in fleet.places.items():
        if name not in lost:
            room = place.bears * FILL - own.get(name, 0.0) * place.burst
            found[name] = max(0.0, min(room, place.connections) if place.connections else room)
    return found


def table(fleet: Fleet, lost: Iterable[str]) -> Table:
    """Where all goes and what is refused while these are lost. What came in at a lost site comes in
    at the others, by what its clients' front does: evenly over them.
    """
    gone = frozenset(lost)
    left = [n for n in sorted(fleet.places) if n not in gone]
    room = rooms(fleet, gone)
    loads: list[Load] = []
    for load in fleet.loads:
        if load.site in gone:
            loads += [
                Load(
                    n,
                    load.kind,
                    load.tenant,
                    load.rate / len(left),
                    load.excess,
                    load.retries,
                    load.copies,
                )
                for n in left
            ]
        else:
            loads.append(load)
    strange = sum(work(fleet, x, Admission()) for x in fleet.loads if x.site in gone)
    asked = sum(work(fleet, x, Admission()) for x in fleet.loads)
    dearer = 1.0 + (STRANGE - 1.0) * strange / asked if asked else 1.0
    admission = (
        ladder(fleet, loads, sum(room.values()) / dearer) if left else Admission(fleet.top, 1.0)
    )
    need: dict[str, float] = {}
    for load in loads:
        need[load.site] = need.get(load.site, 0.0) + dearer * work(fleet, load, admission)
    flow = assign(
        need, room, {(o, t): fleet.places[t].prices.get(o, 0.0) for o in left for t in left}
    )
    shares = {
        o: {t: w / max(EPSILON, sum(to.values())) for t, w in sorted(to.items())}
        for o, to in sorted(flow.items())
    }
    taken = {t: sum(to.get(t, 0.0) for to in flow.values()) for t in left}
    return Table(
        gone,
        shares,
        admission,
        {t: taken[t] / max(EPSILON, fleet.places[t].bears) for t in left},
        *_worth(fleet, loads, admission),
    )


def _worth(
    fleet: Fleet, loads: Iterable[Load], a: Admission
) -> tuple[float, float, dict[str, float], dict[str, float]]:
    """Of what is let in, beside what is asked; by tenant and class only what is within shares
    counts.
    """
    served = usual = 0.0
    tenants: dict[str, list[float]] = {}
    kinds: dict[str, list[float]] = {}
    for load in loads:
        worth = fleet.kinds[load.kind].worth
        within = load.rate * (1.0 - load.excess)
        rung = fleet.rung_of[load.kind]
        part = (1.0 - load.retries * a.refused(RETRIES)) * (1.0 - a.refused(rung))
        excess = load.rate * load.excess * (1.0 - a.refused(EXCESS)) * OVER_SHARE_WORTH
        served += worth * part * (within + excess)
        usual += worth * (within + load.rate * load.excess * OVER_SHARE_WORTH)
        for found, name in ((tenants, load.tenant), (kinds, load.kind)):
            row = found.setdefault(name, [0.0, 0.0])
            row[0] += worth * part * within
            row[1] += worth * within

    def parts(found: dict[str, list[float]]) -> dict[str, float]:
        return {n: got / asked if asked else 1.0 for n, (got, asked) in sorted(found.items())}

    return served, usual, parts(tenants), parts(kinds)


def tables(fleet: Fleet) -> dict[frozenset[str], Table]:
    """For each site, and each two, beforehand."""
    names = sorted(fleet.places)
    lost = [
        frozenset(c) for n in (0, 1, 2) for c in itertools.combinations(names, n) if n < len(names)
    ]
    return {gone: table(fleet, gone) for gone in lost}


def bearable(found: Mapping[frozenset[str], Table]) -> list[frozenset[str]]:
    """Losses of one site that the others do not bear: N-1 does not hold for these."""
    return sorted(
        (gone for gone, t in found.items() if len(gone) == 1 and t.admission.rung > EXCESS),
        key=sorted,
    )


class Ladder:
    """Where admission stands, from moment to moment: up as far as needed at once, as load or
    capacity say; down a step at a time, and only after it was too high for a while, or the refused
    all come back together.
    """

    UP_MARGIN, DOWN_MARGIN = 1.0, 0.92  # of what is borne
    STAY_NS = 3_000_000_000
    STEP = 0.5  # of a rung
    UP_PART = 0.3

    def __init__(self, now: int) -> None:
        self.at = Admission()
        self.high_ns = now  # when it was last needed as high as it is

    def update(self, fleet: Fleet, loads: Iterable[Load], bears: float, now: int) -> Admission:
        loads = list(loads)
        needed = ladder(fleet, loads, bears * self.UP_MARGIN)
        if needed.height >= self.at.height:
            # To the next rung at once; within one by part of the way, or the highest of many looks
            # would stand.
            part = 1.0 if needed.rung > self.at.rung else self.UP_PART
            height = self.at.height + part * (needed.height - self.at.height)
            self.at, self.high_ns = Admission.at(height) if part < 1.0 else needed, now
            return self.at
        calm = ladder(fleet, loads, bears * self.DOWN_MARGIN)
        if calm.height >= self.at.height:
            self.high_ns = now
        elif now - self.high_ns >= self.STAY_NS:
            self.at, self.high_ns = Admission.at(max(calm.height, self.at.height - self.STEP)), now
        return self.at


def back_window(
    refused: float, spare: float, room_ns: int, least_ns: int, most_ns: int
) -> tuple[int, int]:
    """From when to when refused clients shall try again, nanoseconds from now. `refused`, `spare`:
    a second; `room_ns`: when the plan says that there is room. What comes back is spread over as
    long as it takes to serve beside the rest, so that it does not come together.
    """
    first = min(most_ns, max(least_ns, room_ns))
    spread = int(1e9 * refused / max(EPSILON, spare)) if refused > 0 else 0
    return first, min(2 * most_ns, first + max(least_ns, spread))
