"""One balancer's part: what it sees, what it tells the others, which boxes it sounds, and the plan
that its module is to follow. Pure: a shell hands in what was tried and what the store told, and
carries out what a turn gives.

The owner's orders are followed while they are fresh and for the sites that are listed here. Without
them a balancer goes by the table for just the loss that it sees, if one was worked out, and lets a
site come back by the same stages, judged by its own tries alone. In any case nothing is sent to a
site that does not answer here.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from loadbalancer.failover import recovery
from loadbalancer.failover.evidence import Evidence, State, Verdict
from loadbalancer.failover.recovery import Return, Seen, Stage
from loadbalancer.failover.site_reports import Row
from loadbalancer.failover.traffic_shares import Orders
from loadbalancer.policy import api

SECOND = 1_000_000_000
OLD_NS = 12 * SECOND  # of the owner's last word
SUSPECTED = 2  # calls of its own at each turn to a site that is suspected
SOUND_NS, SOUND_EACH = (
    SECOND // 2,
    8,
)  # a site that is not used gets so many calls in that time, from all
UNUSED = 0.05  # part of its draws, below which a site is hardly met
# Between two rows of one among many; while something is under way, part of that: each step of a
# return waits for what is seen. A change of what a site is takes no longer than the last to be
# told.
ROW_NS, ROW_EACH_NS, ROW_MOST_NS = 2 * SECOND, 15_000_000, 3 * SECOND
BUSY, NEWS_NS = 0.5, SECOND // 4
CALLED_OFF = 0.8  # of its aim that an attempt had when it was called off: nothing had answered
FEW = 5  # requests, below which a part tells nothing
ALIVE = frozenset({api.AttemptResult.OK, api.AttemptResult.ERROR, api.AttemptResult.REJECTED})
DEAD = frozenset(
    {api.AttemptResult.CONNECT_FAILED, api.AttemptResult.RESET, api.AttemptResult.TIMEOUT}
)
CALM = api.TrafficPlan()


@dataclass(frozen=True, slots=True)
class Turn:
    """`changes`: of what sites are; `sounds`: boxes to call; `plan`: for the module, None: as it
    was.
    """

    changes: list[tuple[str, Verdict]]
    sounds: list[int]
    plan: api.TrafficPlan | None


class Member:
    def __init__(self, here: str, name: str, balancers: int, rng: random.Random, now: int) -> None:
        """`balancers`: how many there are of the service."""
        self.here = here
        self.name = name
        self.balancers = max(1, balancers)
        self.rng = rng
        self.evidence = Evidence(here, now)
        self.came: Counter[tuple[str, str]] = Counter()  # by class and tenant, since the last row
        self.repeats: Counter[tuple[str, str]] = Counter()
        self.asked = self.served = 0
        self.ended: Counter[str] = Counter()  # by site
        self.good: Counter[str] = Counter()
        self.paces: dict[str, float] = {}
        self.since_ns = now
        self.count = 0
        self.row_ns = now + int(rng.random() * self.row_every_ns)
        self.news = False
        self.orders = Orders()  # the owner's, as last heard
        self.sites: frozenset[str] = frozenset()  # that they are for
        self.heard_ns = 0  # the owner's last word; 0: none yet
        self.tables: Mapping[frozenset[str], Orders] = {}  # worked out beforehand, by what is lost
        self.tabled: frozenset[str] = frozenset()  # all sites that the tables are for
        self.plan = CALM
        self.returns: dict[str, Return] = {}  # by what is seen here, where no owner speaks
        self.stage_ns: dict[str, int] = {}
        self.judged: dict[str, list[int]] = {}  # tries of a site in its stage, and good ones
        self.sounded_ns: dict[str, int] = {}

    # ---- what is seen ----------------------------------------------------------------------------

    def arrived(self, e: api.RequestArrived) -> None:
        self.asked += 1
        self.came[e.class_name, e.tenant] += 1
        self.repeats[e.class_name, e.tenant] += e.is_retry

    def tried(
        self, e: api.AttemptFinished, latency_objective_ns: int, usual_ns: float, now: int
    ) -> None:
        """An attempt ended. `usual_ns`: what such a request takes; 0: not known."""
        dead = e.result in DEAD or (
            e.result is api.AttemptResult.CANCELLED
            and e.duration_ns >= CALLED_OFF * latency_objective_ns
        )
        if not dead and e.result not in ALIVE:
            return
        good = e.result is api.AttemptResult.OK and e.duration_ns <= latency_objective_ns
        pace = (
            e.duration_ns / usual_ns if e.result is api.AttemptResult.OK and usual_ns > 0 else 0.0
        )
        self.served += good and e.complete
        self._note(e.upstream, not dead, good, pace, now)

    def sounded(self, number: int, result: api.AttemptResult, now: int) -> None:
        """A call of its own ended."""
        if result in ALIVE or result in DEAD:
            self._note(number, result in ALIVE, result in ALIVE, 0.0, now)

    def _note(self, number: int, alive: bool, good: bool, pace: float, now: int) -> None:
        box = self.evidence.boxes.get(number)
        if box is None:
            return
        site = box.site
        self.ended[site] += 1
        self.good[site] += good
        row = self.judged.setdefault(site, [0, 0])
        row[0] += 1
        row[1] += good
        if pace > 0:
            self.paces[site] = self.paces.get(site, 1.0) + 0.1 * (
                min(10.0, pace) - self.paces.get(site, 1.0)
            )
        self.evidence.outcome(number, alive, now, pace)

    # ---- the owner's word ------------------------------------------------------------------------

    def ordered(
        self, orders: Orders, sites: frozenset[str], held: Mapping[str, str], now: int
    ) -> None:
        """`held`: sites that operators keep out, and who."""
        self.orders, self.sites, self.heard_ns = orders, sites, now
        for name in self.evidence.sites:
            self.evidence.hold(name, held.get(name, ""), now)

    def stands(self, now: int) -> None:
        """The owner said that its orders still hold."""
        self.heard_ns = now

    def owned(self, now: int) -> bool:
        """Do the owner's orders hold here?"""
        there = {s for s in self.evidence.sites if s}
        fresh = bool(self.heard_ns) and now - self.heard_ns < OLD_NS
        return fresh and (not self.sites or there <= self.sites)

    # ---- a turn ----------------------------------------------------------------------------------

    def turn(self, now: int, store: bool) -> Turn:
        """`store`: it answers, as far as is known."""
        self.evidence.store = store
        changes = self.evidence.tick(now)
        self.news = self.news or bool(changes)
        sounds = self._sounds(now)
        plan = self._planned(now)
        if plan == self.plan:
            return Turn(changes, sounds, None)
        self.plan = plan
        return Turn(changes, sounds, plan)

    def _sounds(self, now: int) -> list[int]:
        """Boxes of sites that are not used: nothing else would tell that they are back, at once
        again where one gave a sign. And some of a site that is suspected: the module leaves alone
        what fails, and too few would be tried.
        """
        found: list[int] = []
        for name, site in self.evidence.sites.items():
            suspected = self.evidence.suspected(name)
            gone = site.state in (State.LOST, State.CUT)
            unused = (
                gone
                or site.state is State.RETURNING
                or self.plan.zone_fractions.get(name, 1.0) < UNUSED
            )
            if not (suspected or unused):
                continue
            boxes = [n for n, b in self.evidence.boxes.items() if b.site == name]
            if suspected:
                fresh = [n for n in boxes if site.silent.get(n, 0) < 2]
                found += self.rng.sample(fresh, min(SUSPECTED, len(fresh)))
            elif boxes and (now >= self.sounded_ns.get(name, 0) or (gone and site.signs)):
                every = SOUND_NS * max(1.0, self.balancers / SOUND_EACH)
                self.sounded_ns[name] = now + int(every * self.rng.uniform(0.7, 1.0))
                found.append(self.rng.choice(boxes))
        return found

    def _planned(self, now: int) -> api.TrafficPlan:
        owned = self.owned(now)
        base = self._of(self.orders) if owned else self._by_table()
        zones = dict(base.zone_fractions)
        for name, site in self.evidence.sites.items():
            if site.state in (State.LOST, State.CUT):
                self._stage(name, Return(name), now)
                if not (self.evidence.alone and name == self.here):
                    zones[name] = 0.0
            elif owned:
                self.returns.pop(name, None)
            elif name in self.returns:
                zones[name] = min(zones.get(name, 1.0), self._own_return(name, now))
                if self.returns[name].stage is Stage.NORMAL:
                    del self.returns[name]
        reached = {s for s in self.evidence.sites if s}
        if reached and all(zones.get(n, 1.0) <= 0.0 for n in reached):
            zones = {}  # nothing is left: rather a try than none
        return base._replace(zone_fractions=zones)

    def _of(self, o: Orders) -> api.TrafficPlan:
        return api.TrafficPlan(
            dict(o.zones.get(self.here, {})),
            o.excess,
            dict(o.shares.get(self.name, {})),
            o.repeats,
            o.copies,
            dict(o.classes),
            (o.back_ns[0], o.back_ns[1]),
            {box: o.cold.get(self.name, {}).get(box, 0.0) for box in o.cooling},
        )

    def _by_table(self) -> api.TrafficPlan:
        lost = frozenset(n for n, s in self.evidence.sites.items() if s.state is State.LOST)
        there = frozenset(s for s in self.evidence.sites if s)
        if not lost or self.evidence.alone or there != self.tabled or lost not in self.tables:
            return CALM
        return self._of(self.tables[lost])

    def _stage(self, name: str, then: Return, now: int) -> Return:
        if self.returns.get(name) != then:
            self.returns[name], self.stage_ns[name] = then, now
            self.judged[name] = [0, 0]
        return then

    def _own_return(self, name: str, now: int) -> float:
        tries, good = self.judged.get(name, [0, 0])
        seen = Seen(False, tries, good / tries if tries else 1.0, self.paces.get(name, 1.0))
        age_s = (now - self.stage_ns[name]) / SECOND
        return self._stage(name, recovery.step(self.returns[name], seen, age_s), now).share

    # ---- what it tells ---------------------------------------------------------------------------

    @property
    def row_every_ns(self) -> int:
        return min(ROW_MOST_NS, max(ROW_NS, ROW_EACH_NS * self.balancers))

    def row_due(self, now: int) -> bool:
        return now >= (min(self.row_ns, self.since_ns + NEWS_NS) if self.news else self.row_ns)

    def row(self, taken: Mapping[str, float], now: int) -> Row:
        """What it tells now; counting begins anew. `taken`: by class, ns that a request takes."""
        seconds = max(0.05, (now - self.since_ns) / SECOND)
        said = self.evidence.says()
        self.count += 1
        row = Row(
            self.here,
            tuple(sorted(said.answers)),
            tuple(sorted(said.silent)),
            self.evidence.alone,
            tuple(
                (kind, tenant, round(n / seconds, 3), round(self.repeats[kind, tenant] / n, 3))
                for (kind, tenant), n in sorted(self.came.items())
            ),
            tuple(
                (site, n, round(self.good[site] / n, 3), round(self.paces.get(site, 1.0), 2))
                for site, n in sorted(self.ended.items())
            ),
            round(self.served / self.asked, 4) if self.asked >= FEW else -1.0,
            tuple((k, round(ns / SECOND, 5)) for k, ns in sorted(taken.items()) if k),
            self.count,
        )
        for counts in (self.came, self.repeats, self.ended, self.good):
            counts.clear()
        self.asked = self.served = 0
        self.since_ns, self.news = now, False
        busy = 1.0 if self.plan == CALM else BUSY
        self.row_ns = now + int(self.row_every_ns * busy * self.rng.uniform(0.8, 1.0))
        return row
