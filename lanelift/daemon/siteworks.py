"""What the fleet does about its sites, as the work of one owner: it puts the rows together, takes one step of
each site's course at a time, and says what follows for every balancer, under its token.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from lanelift import interface as api
from lanelift.daemon import documents, places
from lanelift.daemon.roller import Ages
from lanelift.daemon.saved import SavedList, decoded
from lanelift.daemon.sitewatch import PlanDoc, SiteKeys, Stands, TableRow, TablesDoc
from lanelift.leases import table
from lanelift.settings import Malformed
from lanelift.sites import recovery
from lanelift.sites.course import Course, View, advance
from lanelift.sites.evidence import State, Verdict
from lanelift.sites.orders import Orders, fleet_of, orders
from lanelift.sites.plan import Fleet, Ladder, Load, Place, Table, bearable, tables
from lanelift.sites.recovery import Seen
from lanelift.sites.words import Row as Own
from lanelift.sites.words import Told, heard, verdict
from lanelift.store.client import Client, Conflict, StoreError
from lanelift.store.commands import Op
from lanelift.store.documents import key as document_key
from lanelift.store.owner import NotOwner, Owner
from lanelift.store.wire.protocol import Row

log = logging.getLogger(__name__)

LOOK_S, CALM_S = 0.5, 1.0  # between two looks: while a site is not as usual, and while all are
BEAT_S = 3.5
AGAIN_S = 1.5  # orders that changed by figures alone are put no more often
TABLES_S, TABLES_PART = 30.0, 0.1  # tables are put anew so often, where load changed by so much
LIST_OLD_S = 12.0
CALM = Orders()
SMOOTH = 0.15  # by each look


@dataclass(slots=True)
class Looked:
    """All that one look read. `why`: what is missing to act by, empty: nothing."""

    plan: Row
    doc: PlanDoc
    fleet: Fleet
    rows: Mapping[str, Told]
    verdicts: Mapping[str, Verdict]
    listed: SavedList | None
    why: str = ""
    served: float = -1.0
    cold: Mapping[int, float] = field(default_factory=dict)


async def look(client: Client, service: str, settings: api.Settings | None, ages: Ages,
               usual: dict[str, int], linear: bool = True) -> Looked:
    """Raises StoreError, Malformed where the operators' document does not read."""
    keys = SiteKeys(service)
    document = f"{places.DOCUMENT}/{service}"
    found = await client.get(keys.plan, document_key(document), f"list/{service}", f"listed/{service}",
                             stale=not linear)
    plan_row, place_row, list_row, standing = found.rows
    scanned = await client.scan(keys.rows, stale=not linear)
    names = await client.scan(keys.names, stale=not linear)
    live = {row.key.removeprefix(keys.names) for row in names.rows
            if row.value is not None and table.unpack(row.value).held}
    rows: dict[str, Told] = {}
    for row in scanned.rows:
        own = decoded(row, Own)
        if own is not None:
            name = row.key.removeprefix(keys.rows)
            rows[name] = Told(own, ages.age_s(row.key, row.version), name in live)
    described: dict[str, Place] = {}
    if place_row.value is not None:
        described = documents.sites(document, place_row.value.decode())
    saved = decoded(list_row, SavedList)
    fixed = saved is not None and not saved.source
    list_age = 0.0 if fixed else ages.age_s("list", standing.version + list_row.version)
    ages.keep({"list", *(k for k in ages.seen if k.startswith("course ")), *(r.key for r in scanned.rows)})
    worths = {k: c.worth for k, c in settings.classes.items()} if settings is not None else {
        kind: 1.0 for t in rows.values() for kind, *_ in t.row.loads}
    quotas = _quotas(settings, described)
    fleet = fleet_of(described.values(), worths, quotas, rows)
    listed: dict[str, int] = {}
    for server in saved.servers if saved else ():
        listed[server.zone] = listed.get(server.zone, 0) + (not server.draining)
    for name, count in listed.items():
        usual[name] = max(usual.get(name, 0), count)
    what = heard(rows)
    verdicts = {n: verdict(n, what, listed.get(n, 0), usual.get(n, 0)) for n in described}
    fresh = [t for t in rows.values() if t.fresh]
    why = (f"there is no document {document}" if not described else
           "no balancer tells what it sees" if not fresh else
           f"the list of boxes is {list_age:.0f} s old" if list_age > LIST_OLD_S else "")
    told = [(t.row.served, sum(load[2] for load in t.row.loads)) for t in fresh if t.row.served >= 0]
    weight = sum(w for _, w in told)
    served = sum(s * w for s, w in told) / weight if weight > 0 else -1.0
    return Looked(plan_row, decoded(plan_row, PlanDoc) or PlanDoc(), fleet, rows, verdicts, saved, why,
    served)


def _quotas(settings: api.Settings | None, described: Mapping[str, Place]) -> dict[str, float]:
    """Each tenant's share in requests a second over all: as it is told, or of what all sites bear."""
    if settings is None or not settings.tenants:
        return {}
    whole = sum(t.share for t in settings.tenants.values()) or 1.0
    bears = sum(p.bears for p in described.values())
    return {n: t.quota_per_s or bears * t.share / whole for n, t in settings.tenants.items()}


class SiteWorks:
    def __init__(self, client: Client, owner: Owner, service: str, settings: api.Settings) -> None:
        self.client = client
        self.owner = owner
        self.service = service
        self.settings = settings
        self.keys = SiteKeys(service)
        self.usual: dict[str, int] = {}
        self.working: asyncio.Task[None] | None = None
        self._anew()
        owner.began, owner.ended = self.began, self.ended

    def _anew(self) -> None:
        self.ages = Ages()
        self.ladder = Ladder(time.monotonic_ns())
        self.number = self.beat = 0
        self.put_s = 0.0
        self.said = ""
        self.answers: dict[str, list[float]] = {}  # by site, since its course changed: tries, good ones
        self.paces: dict[str, float] = {}
        self.counts: dict[str, int] = {}  # rows that were counted
        self.tabled_s, self.tabled_load = -TABLES_S, -1.0
        self.warned: set[frozenset[str]] = set()
        self.refusing = False
        self.rates: dict[tuple[str, str, str], float] = {}

    def began(self, token: int) -> None:
        self._anew()  # what this process saw as an owner of before is old
        self.working = asyncio.get_running_loop().create_task(self._work())

    def ended(self) -> None:
        if self.working is not None:
            self.working.cancel()
            self.working = None

    async def _work(self) -> None:
        while True:
            wait = CALM_S
            try:
                wait = await self.turn()
            except NotOwner:
                return
            except Conflict:
                wait = 0.05  # an operator said something meanwhile
            except Malformed as error:
                self._say(str(error))
            except StoreError as error:
                log.warning("sites: %s", error)
            except Exception:
                log.exception("sites")
            await asyncio.sleep(wait)

    def _say(self, why: str) -> None:
        """Once, until it changes."""
        if why != self.said:
            self.said = why
            if why:
                log.warning("sites: the work rests: %s", why)

    # ---- one look and one step ---------------------------------------------------------------------------

    async def turn(self) -> float:
        """Seconds until the next. Raises StoreError, Malformed."""
        seen = await look(self.client, self.service, self.settings, self.ages, self.usual)
        self._say(seen.why)
        if seen.why:
            return CALM_S
        if not self.number:
            # Words under this token may have been put before this task began.
            self.number = seen.doc.number if seen.doc.token == self.owner.token() else 0
        known = {c.site: c for c in seen.doc.courses}
        courses = tuple(known.get(n, Course(n)) for n in sorted(seen.fleet.places))
        self._count(seen)
        view = View(seen.verdicts, self._seen(seen), {
            c.site: self.ages.age_s(f"course {c.site}", c.count) for c in courses},
            {n: p.bears for n, p in seen.fleet.places.items()}, seen.served)
        then = advance(courses, view)
        for was, now in zip(courses, then, strict=True):
            if was != now:
                log.info("site %s: %s %.0f%% -> %s %.0f%%: %s", now.site, was.stage.value, 100 * was.part,
                         now.stage.value, 100 * now.part, now.why)
                self.answers.pop(now.site, None)
        rows = {n: t for n, t in seen.rows.items() if t.fresh}
        seen.fleet = self._smooth(seen.fleet)
        made = orders(seen.fleet, then, self.ladder, rows, self._cold(seen, then), time.monotonic_ns())
        await self._put(seen, then, made)
        for c in then:
            self.ages.age_s(f"course {c.site}", c.count)  # its time runs from here
        await self._tables(seen)
        return CALM_S if all(c.well for c in then) else LOOK_S

    def _count(self, seen: Looked) -> None:
        """Tries that the rows tell of, each row once."""
        for name, told in seen.rows.items():
            if not told.fresh or self.counts.get(name) == told.row.count:
                continue
            self.counts[name] = told.row.count
            for site, tries, good, pace in told.row.sites:
                row = self.answers.setdefault(site, [0.0, 0.0])
                row[0] += tries
                row[1] += tries * good
                if told.row.site != site or tries > 1:
                    self.paces[site] = self.paces.get(site, 1.0) + 0.2 * (pace - self.paces.get(site, 1.0))

    def _smooth(self, fleet: Fleet) -> Fleet:
        """Over some rows: a ladder that follows each of them would climb by chance."""
        now = {(x.site, x.kind, x.tenant): x for x in fleet.loads}
        for key in now.keys() | self.rates.keys():
            rate = now[key].rate if key in now else 0.0
            self.rates[key] = self.rates.get(key, rate) + SMOOTH * (rate - self.rates.get(key, rate))
        self.rates = {key: rate for key, rate in self.rates.items() if rate > 0.01}
        # What came in at balancers that are silent now fades as fast as it is seen to come in elsewhere.
        loads = tuple(replace(now.get(key, Load(*key, 0.0)), rate=rate) for key, rate in sorted(
            self.rates.items()) if key[1] in fleet.kinds and key[0] in fleet.places)
        whole: dict[str, float] = {}
        for x in loads:
            whole[x.tenant] = whole.get(x.tenant, 0.0) + x.rate
        loads = tuple(replace(x, excess=max(0.0, 1.0 - fleet.quotas[x.tenant] / whole[x.tenant]))
                      if fleet.quotas.get(x.tenant) and whole[x.tenant] > 0 else x for x in loads)
        return replace(fleet, loads=loads)

    def _seen(self, seen: Looked) -> dict[str, Seen]:
        usual = sorted(self.paces.values())[len(self.paces) // 2] if self.paces else 1.0
        found = {}
        for name, v in seen.verdicts.items():
            tries, good = self.answers.get(name, [0.0, 0.0])
            found[name] = Seen(v.state is State.LOST, int(tries), good / tries if tries else 1.0,
                               self.paces.get(name, 1.0) / max(0.1, usual))
        return found

    def _cold(self, seen: Looked, courses: tuple[Course, ...]) -> dict[int, float]:
        """Cold boxes of the sites that come back, and what each bears now from all balancers together."""
        rules, now = self.settings.rules, time.time()
        back = {c.site for c in courses if not c.well and c.part > 0}
        found: dict[int, float] = {}
        for server in seen.listed.servers if seen.listed is not None else ():
            age = now - server.started
            if server.zone in back and server.started and not server.draining and age < rules.cold_ns / 1e9:
                boxes = max(1, self.usual.get(server.zone, 1))
                warm = seen.fleet.places[server.zone].bears / boxes
                found[server.id] = recovery.bears_now(warm, age, rules.cold_ns / 1e9, rules.cold_from,
                                                      rules.fall_multiple)
        return found

    async def _put(self, seen: Looked, courses: tuple[Course, ...], made: Orders) -> None:
        """One write, at the version that was read, or a word that what stands still does."""
        token, now = self.owner.token(), time.monotonic()
        if not token:
            raise NotOwner("sites")
        doc = seen.doc
        sites = tuple(sorted(seen.fleet.places))
        moved = tuple(c for c in courses if not c.well or c.count)
        steps = moved != doc.courses or sites != doc.sites or token != doc.token
        figures = made != doc.orders and (now - self.put_s >= AGAIN_S or made == CALM)
        if steps or figures:
            self.number += 1
            fresh = PlanDoc(token, self.number, sites, moved, made, time.time())
            await self.owner.write([Op(self.keys.plan, msgspec.json.encode(fresh), seen.plan.version)])
            self.put_s = now
            self._tell_refused(made)
        elif now - self.put_s >= BEAT_S:
            self.beat += 1
            stands = Stands(token, self.number, self.beat)
            await self.owner.write([Op(self.keys.stands, msgspec.json.encode(stands))])
            self.put_s = now

    def _tell_refused(self, made: Orders) -> None:
        classes = ", ".join(f"{part:.0%} of {k}" for k, part in made.classes.items())
        now = (f"{made.excess:.0%} beyond shares, {made.repeats:.0%} of repeats"
               + (", no copies" if not made.copies else "") + (f", {classes}" if classes else ""))
        if made.excess or self.refusing:
            log.info("sites: refused: %s", now if made.excess else "nothing more")
        self.refusing = bool(made.excess)

    async def _tables(self, seen: Looked) -> None:
        """What each loss would come to, before it happens."""
        now, load = time.monotonic(), sum(x.rate for x in seen.fleet.loads)
        changed = abs(load - self.tabled_load) > TABLES_PART * max(1.0, self.tabled_load)
        if now - self.tabled_s < (TABLES_S if not changed or self.tabled_load >= 0 else 1.0) or not load:
            return
        if not changed and self.tabled_load >= 0:
            return
        found = tables(seen.fleet)
        short = set(bearable(found))
        for gone in sorted(short - self.warned, key=sorted):
            log.warning("sites: the others do not bear the loss of %s: %.0f%% of the worth would be left",
                        " and ".join(sorted(gone)), 100 * found[gone].worth / max(1e-9, found[gone].usual))
        self.warned = short
        rows = tuple(saved(seen.fleet, t, seen.rows) for t in found.values() if t.lost)
        doc = TablesDoc(self.owner.token(), self.number, time.time(), tuple(sorted(seen.fleet.places)), rows)
        await self.owner.write([Op(self.keys.tables, msgspec.json.encode(doc))])
        self.tabled_s, self.tabled_load = now, load


def saved(fleet: Fleet, t: Table, rows: Mapping[str, Told]) -> TableRow:
    """A table as it stands in the store, with what would follow for each balancer."""
    courses = [Course(n, stage=recovery.Stage.OUT, part=0.0) if n in t.lost else Course(n)
               for n in sorted(fleet.places)]
    made = orders(fleet, courses, Ladder(0), rows, {}, 0)
    return TableRow(tuple(sorted(t.lost)), {o: dict(to) for o, to in t.shares.items()}, t.admission.rung,
                    round(t.admission.part, 4), {n: round(f, 4) for n, f in t.fill.items()},
                    round(t.worth, 3), round(t.usual, 3), made)
