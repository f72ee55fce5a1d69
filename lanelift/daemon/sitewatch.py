"""A balancer's part in what the fleet does about its sites: it keeps its own evidence, tells it in a row of
the store, and follows the owner's plan; where that is old or missing, it goes by what it sees itself.

    site/SERVICE/row/BALANCER    what this balancer sees, some times a minute
    site/SERVICE/plan            courses and orders; their one owner puts them, and operators change courses
    site/SERVICE/stands          that the plan still stands
    site/SERVICE/tables          for each loss of a site, and of two, where the load goes: worked out
    beforehand
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from functools import partial

import msgspec

from lanelift import interface as api
from lanelift.daemon.saved import decoded
from lanelift.leases.fence import Receiver, Word
from lanelift.leases.table import written
from lanelift.net.driver import Driver
from lanelift.net.upstream import Report
from lanelift.sites import recovery
from lanelift.sites.course import Course
from lanelift.sites.evidence import Evidence, Said, State, Verdict
from lanelift.sites.orders import Orders
from lanelift.sites.recovery import Return, Seen, Stage
from lanelift.sites.words import Row as Own
from lanelift.store.client import Client
from lanelift.store.commands import LEASES, Op
from lanelift.store.owner import NotOwner, Owner, clock_ns
from lanelift.store.wire.protocol import Row

log = logging.getLogger(__name__)

SECOND = 1_000_000_000
TICK_S = 0.25
ROW_S, ROW_EACH_S, ROW_MOST_S = 2.0, 0.015, 3.0  # between two rows of one among many
CALM, BUSY = api.Plan(), 0.5
NEWS_S = 0.5  # a change of what a site is takes no longer to be told
SUSPECTED = 2  # calls of its own at each tick to a site that is suspected
SOUND_S, SOUND_EACH = 1.0, 8  # a site that is not used gets so many calls of its own in that time, from all
OLD_NS = 12 * SECOND  # of the plan's last word
ALIVE = frozenset({api.Result.OK, api.Result.ERROR, api.Result.FULL})
DEAD = frozenset({api.Result.CONNECT_FAILED, api.Result.RESET, api.Result.TIMEOUT})
CALLED_OFF = 0.8  # of its aim that an attempt had when it was called off: nothing had answered


class PlanDoc(msgspec.Struct, frozen=True):
    """As it stands in the store. `number` counts the owner's words under its token; `sites`: those that it is
    for; what operators change of `courses` leaves both as they are."""

    token: int = 0
    number: int = 0
    sites: tuple[str, ...] = ()
    courses: tuple[Course, ...] = ()
    orders: Orders = Orders()
    at: float = 0.0


class Stands(msgspec.Struct, frozen=True):
    token: int
    number: int
    beat: int


class TableRow(msgspec.Struct, frozen=True):
    """One loss beforehand. `fill` is by site, worth a second."""

    lost: tuple[str, ...]
    shares: dict[str, dict[str, float]]
    rung: int
    part: float
    fill: dict[str, float]
    worth: float
    usual: float
    orders: Orders


class TablesDoc(msgspec.Struct, frozen=True):
    token: int
    number: int
    at: float
    sites: tuple[str, ...]
    tables: tuple[TableRow, ...]


class SiteKeys:
    def __init__(self, service: str) -> None:
        self.rows = f"site/{service}/row/"
        self.plan = f"site/{service}/plan"
        self.stands = f"site/{service}/stands"
        self.tables = f"site/{service}/tables"
        self.prefix = f"site/{service}"
        self.names = f"{LEASES}name/{service}/"


class Tries:
    """What came in and how it ended, since the last row."""

    def __init__(self) -> None:
        self.since_ns = clock_ns()
        self.came: Counter[tuple[str, str]] = Counter()
        self.repeats: Counter[tuple[str, str]] = Counter()
        self.served = self.asked = 0
        self.ended: Counter[str] = Counter()  # by site
        self.good: Counter[str] = Counter()


class SiteWatch:
    """`taken`: where each balancer reads its plan; nothing of it holds the balancer up."""

    def __init__(self, driver: Driver, client: Client, name: Owner, service: str, balancer: str,
                 rng: random.Random) -> None:
        self.driver = driver
        self.client = client
        self.name = name
        self.balancer = balancer
        self.here = driver.settings.zone
        self.keys = SiteKeys(service)
        self.key = self.keys.rows + balancer
        self.rng = rng
        self.evidence = Evidence(self.here, clock_ns())
        self.tries = Tries()
        self.paces: dict[str, float] = {}
        self.count = 0
        self.news = asyncio.Event()
        self.receiver = Receiver(Word())
        self.doc = PlanDoc()
        self.tables: TablesDoc | None = None
        self.heard_ns = 0  # the owner's last word; 0: none yet
        self.beat = 0
        self.plan = api.Plan()  # as the module has it
        self.returns: dict[str, Return] = {}  # by what is seen here, where no owner speaks
        self.since: dict[str, int] = {}
        self.counted: dict[str, list[int]] = {}  # answers, and good ones, of a site on its way back
        self.sounded_ns: dict[str, int] = {}
        self.fresh = False
        self.there = False  # a row of this process stands in the store
        self.wanted: Callable[[], None] = lambda: None
        balancers = driver.settings.replicas_of_me
        self.row_s = min(ROW_MOST_S, max(ROW_S, ROW_EACH_S * balancers))
        self.balancers = max(1, balancers)
        driver.tap = self._tap

    # ---- what is seen ------------------------------------------------------------------------------------

    def _tap(self, now: int, events: Sequence[api.Event]) -> None:
        """Beside the module, after each turn. Never raises: the balancer goes on without it."""
        try:
            for e in events:
                if type(e) is api.Arrival:
                    self.tries.asked += 1
                    self.tries.came[e.class_name, e.tenant] += 1
                    self.tries.repeats[e.class_name, e.tenant] += e.retry
                elif type(e) is api.Outcome:
                    self._ended(e)
        except Exception:
            log.exception("sites")

    def _ended(self, e: api.Outcome) -> None:
        target = self.driver.upstreams.targets.get(e.upstream)
        if target is None:
            return
        request = self.driver.requests.get(e.request)
        cls = self.driver.settings.classes.get(request.arrival.class_name) if request is not None else None
        aim = cls.aim_ns if cls is not None else SECOND
        dead = e.result in DEAD or e.result is api.Result.CANCELLED and e.took_ns >= CALLED_OFF * aim
        if not dead and e.result not in ALIVE:
            return
        pace = 0.0
        in_time = e.result is api.Result.OK and e.took_ns <= aim
        if e.result is api.Result.OK and cls is not None:
            usual = self.driver.balancer.crowding.taken.get(cls.name, 0.0)
            pace = e.took_ns / usual if usual > 0 else 0.0
        self.tries.served += in_time and e.complete
        self._try(e.upstream, target.endpoint.entry.zone, not dead, in_time, pace)

    def _try(self, number: int, site: str, alive: bool, good: bool, pace: float = 0.0) -> None:
        self.tries.ended[site] += 1
        self.tries.good[site] += good
        if pace > 0:
            self.paces[site] = self.paces.get(site, 1.0) + 0.1 * (min(10.0, pace) - self.paces.get(site, 1.0))
        row = self.counted.setdefault(site, [0, 0])
        row[0] += 1
        row[1] += good
        self.evidence.outcome(number, alive, clock_ns(), pace)

    async def look(self) -> None:
        """Judge what was seen, sound what is not used, and have the module follow."""
        while True:
            self._turn()
            await asyncio.sleep(TICK_S)

    def _turn(self) -> None:
        now = clock_ns()
        boxes = {n: t.endpoint.entry.zone for n, t in self.driver.upstreams.targets.items()
                 if t.endpoint.entry.state is api.State.READY and t.endpoint.entry.zone}
        if boxes.keys() != self.evidence.boxes.keys():
            self.evidence.listed(boxes, now)
        self.evidence.store = self.name.holder.failures < 2
        for name, verdict in self.evidence.tick(now):
            log.info("site %s: %s: %s", name, verdict.state.value, verdict.why)
            self.news.set()
        self._sound(now)
        self._apply(now)

    def _unused(self) -> set[str]:
        """Sites that get nothing, or too little to be judged by."""
        found = {n for n, s in self.evidence.sites.items()
                 if s.state in (State.LOST, State.CUT, State.RETURNING)}
        return found | {n for n, part in self.plan.zones.items() if part < 0.05}

    def _stirs(self, name: str) -> bool:
        """Did a site that is taken to be gone give a sign? Then it is asked again at once."""
        site = self.evidence.sites[name]
        return site.state in (State.LOST, State.CUT) and bool(site.signs)

    def _sound(self, now: int) -> None:
        """A call of its own to a box of each site that is not used: nothing else would tell that it is back.
        And to some of one that is suspected: the module leaves alone what fails, and too few would be
        tried."""
        for name, site in self.evidence.sites.items():
            if self.evidence.suspected(name):
                boxes = [n for n, b in self.evidence.boxes.items()
                         if b.site == name and site.silent.get(n, 0) < 2]
                for number in self.rng.sample(boxes, min(SUSPECTED, len(boxes))):
                    self.driver.upstreams.probe(number, partial(self._sounded, number, name))
        for name in self._unused():
            every = SOUND_S * SECOND * max(1.0, self.balancers / SOUND_EACH)
            if now < self.sounded_ns.get(name, 0) and not self._stirs(name):
                continue
            self.sounded_ns[name] = now + int(every * self.rng.uniform(0.7, 1.0))
            boxes = [n for n, b in self.evidence.boxes.items() if b.site == name]
            if boxes:
                number = self.rng.choice(boxes)
                self.driver.upstreams.probe(number, partial(self._sounded, number, name))

    def _sounded(self, number: int, site: str, result: api.Result, report: Report) -> None:
        if result in ALIVE or result in DEAD:
            self._try(number, site, result in ALIVE, result in ALIVE)

    # ---- the row -----------------------------------------------------------------------------------------

    def row(self) -> Own:
        """What this balancer tells, and begin to count anew."""
        tries, self.tries = self.tries, Tries()
        seconds = max(0.05, (self.tries.since_ns - tries.since_ns) / 1e9)
        said = self.evidence.says()
        loads = tuple((kind, tenant, round(n / seconds, 3), round(tries.repeats[kind, tenant] / n, 3))
                      for (kind, tenant), n in sorted(tries.came.items()))
        sites = tuple((name, n, round(tries.good[name] / n, 3), round(self.paces.get(name, 1.0), 2))
                      for name, n in sorted(tries.ended.items()))
        taken = self.driver.balancer.crowding.taken
        self.count += 1
        return Own(self.here, tuple(sorted(said.answers)), tuple(sorted(said.silent)), self.evidence.alone,
                   loads, sites, round(tries.served / tries.asked, 4) if tries.asked >= 5 else -1.0,
                   tuple((k, round(ns / 1e9, 5)) for k, ns in sorted(taken.items()) if k), self.count)

    async def tell(self) -> None:
        """Raises StoreError."""
        while True:
            # More often while something is under way: each step of a return waits for what is seen.
            wait = self.row_s * self.rng.uniform(0.8, 1.0) * (1.0 if self.plan == CALM else BUSY)
            with suppress(TimeoutError):
                async with asyncio.timeout(wait):
                    await self.news.wait()
                    await asyncio.sleep(NEWS_S * self.rng.random())
            self.news.clear()
            if self.name.token():
                with suppress(NotOwner):
                    await self.name.write([Op(self.key, msgspec.json.encode(self.row()))])
                    self.there = True

    async def leave(self) -> None:
        """Raises StoreError."""
        if self.there and self.name.token():
            with suppress(NotOwner):
                await self.name.write([Op(self.key, None)], within_s=0.3)

    # ---- the plan ----------------------------------------------------------------------------------------

    async def follow(self) -> None:
        """First what a majority has, then each change behind it. Raises StoreError."""
        found = await self.client.get(self.keys.plan, self.keys.stands, self.keys.tables)
        doc = decoded(found.rows[0], PlanDoc)
        self.receiver.learn(Word(doc.token, doc.number) if doc else Word())
        self._planned(found.rows[0])
        self._tabled(found.rows[2])
        async for told in self.client.watch(self.keys.prefix, found.revision):
            for change in told.changes:
                row = Row(change.key, change.value, change.version, change.revision)
                if change.key == self.keys.plan:
                    self._planned(row)
                elif change.key == self.keys.stands:
                    self._stands(row)
                elif change.key == self.keys.tables:
                    self._tabled(row)
                elif change.key.startswith(self.keys.rows):
                    self._others(row)

    def _planned(self, row: Row) -> None:
        doc = decoded(row, PlanDoc)
        if doc is None:
            return
        if not self.receiver.heed(Word(doc.token, doc.number)):
            log.info("%s: the word of token %s is not heeded: token %s was heard", row.key,
                     written(doc.token), written(self.receiver.highest.token))
            return
        for course in doc.courses:
            was = next((c for c in self.doc.courses if c.site == course.site), None)
            if was is None and not course.well or was is not None and was.count != course.count:
                log.info("site %s: %s at %.0f%%: %s", course.site, course.stage.value, 100 * course.part,
                         course.why)
        self.doc = doc
        self.heard_ns = clock_ns()
        for course in doc.courses:
            held = course.by if course.aim.value != "in" and course.part <= 0 else ""
            self.evidence.hold(course.site, held, self.heard_ns)
        self._apply(self.heard_ns)

    def _stands(self, row: Row) -> None:
        stands = decoded(row, Stands)
        if stands is not None:
            word = Word(stands.token, stands.number)
            if word == self.receiver.highest and stands.beat != self.beat:
                self.heard_ns = clock_ns()
            self.beat = stands.beat

    def _tabled(self, row: Row) -> None:
        tables = decoded(row, TablesDoc)
        if tables is not None and not Word(tables.token).before(Word(self.receiver.highest.token)):
            self.tables = tables

    def _others(self, row: Row) -> None:
        name = row.key.removeprefix(self.keys.rows)
        own = decoded(row, Own)
        if own is None or name == self.balancer or own.alone:
            self.evidence.said.pop(name, None)
            return
        self.evidence.heard(name, Said(own.site, frozenset(own.answers), frozenset(own.silent)), 0,
        clock_ns())

    @property
    def owned(self) -> bool:
        """Does the owner's plan hold here?"""
        there = {s for s in self.evidence.sites if s}
        return (bool(self.heard_ns) and clock_ns() - self.heard_ns < OLD_NS
                and (not self.doc.sites or there <= set(self.doc.sites)))

    def _apply(self, now: int) -> None:
        """The plan that the module is to follow: the owner's where it is fresh, and in any case nothing for a
        site that does not answer here."""
        owned = self.owned
        if owned is not self.fresh and self.heard_ns:
            log.info("sites: the owner's plan is %s", "followed" if owned else
                     "old, or for other sites: going by what is seen here")
        self.fresh = owned
        base = self._ordered(self.doc.orders) if owned else self._by_table()
        zones = dict(base.zones)
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
        reached = {s.name for s in self.evidence.sites.values() if s.name}
        if reached and all(zones.get(n, 1.0) <= 0.0 for n in reached):
            zones = {}  # nothing is left: rather a try than none
        plan = base._replace(zones=zones)
        if plan != self.plan:
            self.plan = plan
            self.driver.post(plan)

    def _ordered(self, orders: Orders) -> api.Plan:
        cold = orders.cold.get(self.balancer, {})
        return api.Plan(dict(orders.zones.get(self.here, {})), orders.excess,
                        dict(orders.shares.get(self.balancer, {})), orders.repeats, orders.copies,
                        dict(orders.classes), tuple(orders.back_ns), dict(cold))  # type: ignore[arg-type]

    def _by_table(self) -> api.Plan:
        """What was worked out beforehand for just this loss, with no owner to say more."""
        lost = tuple(sorted(n for n, s in self.evidence.sites.items() if s.state is State.LOST))
        if not lost or self.tables is None or self.evidence.alone or {
                s for s in self.evidence.sites if s} != set(self.tables.sites):
            return api.Plan()
        found = next((t for t in self.tables.tables if t.lost == lost), None)
        return self._ordered(found.orders) if found is not None else api.Plan()

    def _stage(self, name: str, then: Return, now: int) -> Return:
        if self.returns.get(name) != then:
            self.returns[name] = then
            self.since[name] = now
            self.counted[name] = [0, 0]
        return then

    def _own_return(self, name: str, now: int) -> float:
        """The same stages, by what this balancer sees alone."""
        was = self.returns[name]
        answers, good = self.counted.get(name, [0, 0])
        seen = Seen(False, answers, good / answers if answers else 1.0, self.paces.get(name, 1.0))
        then = self._stage(name, recovery.step(was, seen, (now - self.since[name]) / 1e9), now)
        return then.share

    def verdicts(self) -> Mapping[str, Verdict]:
        return {name: self.evidence.verdict(name) for name in self.evidence.sites if name}


def with_course(doc: PlanDoc, course: Course) -> PlanDoc:
    """The document with this course in place of its site's."""
    courses = tuple(course if c.site == course.site else c for c in doc.courses)
    if course not in courses:
        courses += (course,)
    return msgspec.structs.replace(doc, courses=courses)


def course_of(doc: PlanDoc, site: str) -> Course:
    return next((c for c in doc.courses if c.site == site), Course(site))
