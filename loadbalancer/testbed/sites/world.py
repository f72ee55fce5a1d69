"""A world whose sites are hit as a whole, played with the fleet's plan, without it, or with a
simpler rule.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from loadbalancer.policy import api
from loadbalancer.settings import read_settings
from loadbalancer.testbed.hosts import Host
from loadbalancer.testbed.ledger import Root
from loadbalancer.testbed.model.workload import Want, mean_work
from loadbalancer.testbed.sites.ceiling import Asked, ceiling
from loadbalancer.testbed.sites.fleet import COMMIT_NS, OWNER_NS, TICK_NS, SiteFleet
from loadbalancer.testbed.sites.incidents import AT_S, INCIDENTS, Hit, ends_s
from loadbalancer.testbed.topology import Topology, settings
from loadbalancer.testbed.virtual import START_NS, Life, World
from loadbalancer.units import Duration, PerSecond

SECOND = 1_000_000_000
AFTER_S = 16.0  # that a run goes on after the last hit
KNOWN_NS = SECOND  # after which the simpler rules know of a loss, as if told
RULES = ("none", "plan", "nearest", "equal")
SITES = "abcdefgh"
BACK_PART = 0.95


@dataclass(frozen=True, slots=True)
class Shape:
    """So many sites, each with so many balancers and boxes; `load`: of what is left while the
    incident lasts.
    """

    sites: int
    balancers: int
    boxes: int
    load: float


@dataclass(slots=True)
class Found:
    """What a run came to; parts of the worth asked within shares, by when it was asked. `top`: what
    a policy that sees the true state could have served; `back_s`: until service was back after the
    loss, -1: not before its end; `dip`: points lost at worst in two seconds after the return.
    """

    rule: str
    incident: str
    load: float
    seed: int
    before: float = 0.0
    first: float = 0.0
    during: float = 0.0
    after: float = 0.0
    top: dict[str, float] = field(default_factory=dict)
    tenant: float = 1.0
    tries: float = 1.0
    back_s: float = 0.0
    dip: float = 0.0
    broken: dict[str, int] = field(default_factory=dict)
    series: list[tuple[int, int]] = field(default_factory=list)
    log: list[tuple[float, str]] = field(default_factory=list)


def sized(t: Topology, shape: Shape, incident: str) -> Topology:
    """The same kind of fleet with these sites; the load is of what the incident leaves."""
    hits = INCIDENTS[incident]
    gone = {h.site for h in hits if h.boxes or h.to or h.back}
    part = sum(
        max(h.boxes, 1.0 if h.to >= 1 or h.back >= 1 else 0.0)
        for h in {h.site: h for h in hits}.values()
    )
    left = (shape.sites - (part if gone else 0)) / shape.sites
    boxes, balancers = shape.sites * shape.boxes, shape.sites * shape.balancers
    return msgspec.structs.replace(
        t,
        name=f"{shape.sites}x{shape.balancers}x{shape.boxes} {incident}",
        length=Duration(int((ends_s(hits) + AFTER_S) * SECOND)),
        faults=[],
        chance=0,
        network=msgspec.structs.replace(t.network, zones=list(SITES[: shape.sites])),
        fleet=msgspec.structs.replace(t.fleet, boxes=boxes, cell=1),
        clients=msgspec.structs.replace(
            t.clients, load=shape.load * left, rate=PerSecond(0), swing=0.0
        ),
        balancers=msgspec.structs.replace(t.balancers, count=balancers, unequal=1.0),
    )


class SiteWorld(World):
    def __init__(self, t: Topology, seed: int, hits: list[Hit], rule: str, host: Host) -> None:
        super().__init__(t, seed, host)
        self.hits = hits
        self.rule = rule
        self.site_names = list(t.network.zones)
        self.on: list[Hit] = []  # that last now
        self.asked: list[tuple[Want, Root]] = []
        parsed = read_settings(settings(t, 0, self.quotas))
        mean = mean_work(t) / 1e9
        bears = {
            z: sum(b.nature.capacity for i, b in enumerate(self.boxes) if self.zones[i] == z) / mean
            for z in self.site_names
        }
        taken = {c.name: (c.work.low + c.work.high) / 2 for c in t.classes}
        self.sites = SiteFleet(
            {life.number: life.zone for life in self.lives},
            {self.ids[i]: z for i, z in enumerate(self.zones)},
            parsed,
            bears,
            taken,
            seed,
            START_NS,
        )
        self.classes = parsed.classes
        self.able: list[
            tuple[int, dict[str, float]]
        ] = []  # each 100 ms, what each site's boxes can do
        for hit in hits:
            self.at(START_NS + int(hit.at_s * SECOND), self._begin, hit)
            self.at(START_NS + int((hit.at_s + hit.lasts_s) * SECOND), self._end_hit, hit)
        self.at(START_NS, self._measure)
        self.at(START_NS + 6 * SECOND, self._told_bears)
        if rule == "plan":
            for life in self.lives:
                self.at(START_NS + int(self.rng.random() * TICK_NS), self._tick, life)
            self.at(START_NS + OWNER_NS, self._own)

    def _try(self, want: Want, root: Root) -> None:
        if not root.tries:
            self.asked.append((want, root))
        super()._try(want, root)

    # ---- incidents -------------------------------------------------------------------------------

    def _boxes_of(self, hit: Hit) -> list[int]:
        mine = [i for i, z in enumerate(self.zones) if z == self.site_names[hit.site]]
        return mine[: round(hit.boxes * len(mine))]

    def _begin(self, hit: Hit) -> None:
        self.on.append(hit)
        site = self.site_names[hit.site]
        for number in self._boxes_of(hit):
            box = self.boxes[number]
            box.advance(self.now)
            box.step("box down", 0.0)
            if box.up:
                self._lose_connections(number)
                box.die(self.now)
        if hit.balancers:
            for life in self.lives:
                if life.zone == site:
                    self._kill(life)
        self.at(self.now + KNOWN_NS, self._simple)

    def _end_hit(self, hit: Hit) -> None:
        self.on.remove(hit)
        for number in self._boxes_of(hit):
            box = self.boxes[number]
            if not box.up:
                box.start(self.now)
                self.sites.cold[self.ids[number]] = self.now
                self._note(number, api.UpstreamState.READY)
        if hit.balancers:
            for life in self.lives:
                if life.zone == self.site_names[hit.site]:
                    self._revive(life)
        self.at(self.now + KNOWN_NS, self._simple)

    def _silent(self, life: Life, box: int, back: bool = False) -> bool:
        here, there = life.zone, self.zones[box]
        if here != there:
            for hit in self.on:
                # Towards the hit site, or out of it.
                site = self.site_names[hit.site]
                lost = (
                    (hit.back if back else hit.to)
                    if there == site
                    else ((hit.to if back else hit.back) if here == site else 0.0)
                )
                if lost >= 1.0 or lost and self.rng.random() < lost:
                    return True
        return super()._silent(life, box, back)

    def _speaks(self) -> set[str]:
        """Sites that have the store: all but those that are cut off."""
        return {
            z
            for z in self.site_names
            if not any(self.site_names[h.site] == z and (h.to >= 1 or h.back >= 1) for h in self.on)
        }

    # ---- the plan --------------------------------------------------------------------------------

    def _post(self, number: int, event: api.Event) -> None:
        if self.rule == "plan":
            m = self.sites.members[number]
            if type(event) is api.RequestArrived:
                m.on_request(event)
            elif type(event) is api.AttemptFinished:
                request = self.lives[number].requests.get(event.request)
                if request is not None:
                    cls = request.want.cls
                    m.on_attempt(event, int(cls.aim), self.sites.taken[cls.name], self.now)
        super()._post(number, event)

    def _tick(self, life: Life) -> None:
        if life.up:
            turn = self.sites.tick(life.number, self.now, life.zone in self._speaks())
            if turn.plan is not None:
                self._post(life.number, turn.plan)
            for upstream in turn.health_checks:
                self._sound(life, upstream)
        if self.now < self.end_ns:
            self.at(self.now + TICK_NS, self._tick, life)

    def _sound(self, life: Life, upstream: int) -> None:
        number = self.by_id[upstream]
        self.probes += 1
        alive = (
            self.boxes[number].up
            and not self._silent(life, number)
            and not self._silent(life, number, True)
        )
        wait = 2 * self.cross_ns if alive else int(self.t.fleet.connect_timeout)
        result = api.AttemptResult.OK if alive else api.AttemptResult.CONNECT_FAILED
        self.at(self.now + wait, self._sounded, (life.number, upstream, result))

    def _sounded(self, what: tuple[int, int, api.AttemptResult]) -> None:
        number, upstream, result = what
        self.sites.members[number].on_health_check(upstream, result, self.now)

    def _own(self, _: Any) -> None:
        speaks = self._speaks()
        made = self.sites.owner(self.now, speaks)
        if made is not None:
            self.at(self.now + COMMIT_NS, self._heard, made)
        if self.now < self.end_ns:
            self.at(self.now + OWNER_NS, self._own)

    def _heard(self, made: Any) -> None:
        speaks = self._speaks()
        for life in self.lives:
            if life.up and life.zone in speaks:
                self.sites.hears(life.number, made, self.now)

    def _simple(self, _: Any) -> None:
        """Rules that know of a loss a second later, and no more: all spill to the nearest site that
        is left, or evenly over all.
        """
        if self.rule not in ("nearest", "equal"):
            return
        gone = {
            self.site_names[h.site] for h in self.on if h.boxes >= 1 or h.to >= 1 or h.back >= 1
        }
        left = [z for z in self.site_names if z not in gone]
        for life in self.lives:
            zones = dict.fromkeys(gone, 0.0)
            if self.rule == "nearest" and gone and left:
                # What comes in goes to its own site, and what came in at the lost one to its
                # neighbour.
                near = life.zone if life.zone in left else left[0]
                neighbour = left[(self.site_names.index(min(gone)) + 1) % len(left)]
                zones |= dict.fromkeys([z for z in left if z not in (near, neighbour)], 0.0)
            if life.up:
                self._post(life.number, api.TrafficPlan(zones))

    def _told_bears(self, _: Any) -> None:
        """What operators know of their sites by then: the work that a request takes as it is, keys
        that are remembered included.
        """
        done = sum(b.counts.work_done for b in self.boxes)
        mean = done / max(1, sum(b.counts.served for b in self.boxes)) / SECOND
        for name, place in self.sites.places.items():
            able = sum(b.nature.capacity for i, b in enumerate(self.boxes) if self.zones[i] == name)
            self.sites.places[name] = dataclasses.replace(place, capacity=able / mean)

    def _measure(self, _: Any) -> None:
        able: dict[str, float] = dict.fromkeys(self.site_names, 0.0)
        for i, box in enumerate(self.boxes):
            if box.up:
                able[self.zones[i]] += box.nature.capacity * box.coldness()
        self.able.append((self.now, able))
        if self.now < self.end_ns:
            self.at(self.now + SECOND // 10, self._measure)


def play(
    t: Topology,
    shape: Shape,
    incident: str,
    rule: str,
    seed: int,
    maker: Callable[..., Any] | None = None,
) -> Found:
    """One run. Raises Crashed where the module did."""
    hits = INCIDENTS[incident]
    world = SiteWorld(sized(t, shape, incident), seed, hits, rule, Host(maker) if maker else Host())
    outcome = world.run()
    begin, end = START_NS + int(AT_S * SECOND), START_NS + int(ends_s(hits) * SECOND)
    found = Found(
        rule,
        incident,
        shape.load,
        seed,
        broken=dict(outcome.judgement.broken),
        log=[((at - START_NS) / 1e9, what) for at, what in world.sites.log],
    )
    windows = {
        "before": (START_NS + 3 * SECOND, begin),
        "first": (begin, begin + 5 * SECOND),
        "during": (begin, end),
        "after": (end, end + 10 * SECOND),
    }
    wants = [(w, r) for w, r in world.asked if r.within]
    roots = [r for _, r in wants]
    tops = ceiling(
        [Asked(r.number, r.cls, r.received_ns, w.zone, w.work) for w, r in wants],
        world.able,
        hits,
        world.site_names,
        START_NS,
    )
    good = {
        r.number for r in roots if r.served_ns >= 0 and r.served_ns - r.received_ns <= r.cls.aim
    }
    for name, (a, b) in windows.items():
        asked = [r for r in roots if a <= r.received_ns < b]
        worth = sum(r.cls.worth for r in asked) or 1.0
        setattr(found, name, sum(r.cls.worth for r in asked if r.number in good) / worth)
        found.top[name] = sum(r.cls.worth for r in asked if r.number in tops) / worth
    tenants: dict[str, list[int]] = {}
    for r in roots:
        if begin <= r.received_ns < end:
            row = tenants.setdefault(r.tenant, [0, 0])
            row[0] += r.number in good
            row[1] += 1
    found.tenant = min((g / n for g, n in tenants.values() if n), default=1.0)
    half = SECOND // 2
    bins = int((world.end_ns - START_NS) // half)
    series = [[0, 0] for _ in range(bins + 1)]
    for r in roots:
        at = min(bins, int((r.received_ns - START_NS) // half))
        series[at][0] += 1
        series[at][1] += r.number in good
    found.series = [(a, g) for a, g in series]
    asked_first = max(1, sum(m.asked for m in outcome.series))
    found.tries = 1 + sum(m.retries for m in outcome.series) / asked_first
    share = [g / a if a else 1.0 for a, g in found.series]
    first, last = int(AT_S * 2), int(ends_s(hits) * 2)
    usual = sum(share[6:first]) / max(1, first - 6)
    bad = [i for i in range(first, last) if sum(share[i : i + 2]) / 2 < BACK_PART * usual]
    found.back_s = (
        -1.0 if bad and bad[-1] >= last - 2 else ((bad[-1] + 1 - first) / 2 if bad else 0.0)
    )
    tail = share[last : min(bins, last + 20)]
    dips = [usual - sum(tail[i : i + 4]) / 4 for i in range(max(0, len(tail) - 3))]
    found.dip = max(0.0, max(dips, default=0.0))
    return found
