"""What the fleet does about its sites, as the work of one owner: it reads, has
`loadbalancer.failover.controller` decide, and writes one step at a time, under its token.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Mapping
from dataclasses import dataclass, replace

import msgspec

from loadbalancer.daemon import documents, site_config
from loadbalancer.daemon.endpoint_rows import StoredList
from loadbalancer.daemon.leased_task import OwnedWork
from loadbalancer.daemon.persisted import decoded
from loadbalancer.daemon.rolling_restart_controller import Ages
from loadbalancer.daemon.site_agent import PlanDoc, SiteKeys, Stands, TableRow, TablesDoc
from loadbalancer.failover.controller import ColdBox, Look, Planner, Rules
from loadbalancer.failover.plan import Fleet, Ladder, Place, Table, bearable, tables
from loadbalancer.failover.recovery import Stage
from loadbalancer.failover.site_reports import Row as Own
from loadbalancer.failover.site_reports import Told
from loadbalancer.failover.site_state import Course
from loadbalancer.failover.traffic_shares import Orders, fleet_of, orders, quotas
from loadbalancer.leases import table as leases
from loadbalancer.policy import api
from loadbalancer.settings import Malformed
from loadbalancer.store.client import Client
from loadbalancer.store.commands import Op
from loadbalancer.store.documents import key as document_key
from loadbalancer.store.errors import NotLeaseHolderError
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import StartTimes, unix_s

log = logging.getLogger(__name__)

LOOK_S, CALM_S = 0.3, 0.6  # between two looks: while a site is not as usual, and while all are
BEAT_S = 3.5
AGAIN_S = 1.5  # orders that changed by figures alone are put no more often
TABLES_PART, TABLES_S = (
    0.1,
    5.0,
)  # tables are put anew where the load changed by so much, and no more often
LIST_OLD_S = 12.0
CALM = Orders()


@dataclass(frozen=True, slots=True)
class Looked:
    """What one look read."""

    plan: Row
    doc: PlanDoc
    look: Look
    sites: tuple[str, ...]

    @property
    def fleet(self) -> Fleet:
        """As it is now, not smoothed."""
        rows = {n: t for n, t in self.look.rows.items() if t.fresh}
        return fleet_of(self.look.places.values(), self.look.worths, self.look.quotas, rows)


async def look(
    client: Client,
    service: str,
    settings: api.Settings | None,
    ages: Ages,
    usual: dict[str, int],
    stored: StoredList,
    starts: StartTimes,
) -> Looked:
    """Raises StoreError, Malformed where the operators' document does not read."""
    keys = SiteKeys(service)
    document = f"{site_config.DOCUMENT}/{service}"
    found = await client.get(
        keys.plan, document_key(document), f"list/{service}", f"listed/{service}", stored.keys.list
    )
    plan_row, place_row, list_row, standing, word = found.rows
    scanned, names = await client.scan(keys.rows), await client.scan(keys.names)
    live = {
        row.key.removeprefix(keys.names)
        for row in names.rows
        if row.value is not None and leases.unpack(row.value).is_held
    }
    rows: dict[str, Told] = {}
    for row in scanned.rows:
        own = decoded(row, Own)
        if own is not None:
            name = row.key.removeprefix(keys.rows)
            rows[name] = Told(own, ages.age_s(row.key, row.version), name in live)
    described: dict[str, Place] = {}
    if place_row.value is not None:
        described = documents.sites(document, place_row.value.decode())
    saved = await stored.of(list_row, word)
    fixed = saved is not None and not saved.source
    list_age = (
        0.0 if fixed else ages.age_s("list", standing.version + list_row.version + word.version)
    )
    ages.keep({"list", *(r.key for r in scanned.rows)})
    listed: dict[str, int] = {}
    cold = []
    now_ns = time.monotonic_ns()
    for server in saved.servers if saved else ():
        listed[server.zone] = listed.get(server.zone, 0) + (not server.draining)
        if server.started and not server.draining:
            started_ns = starts.started_ns(server.id, round(server.started * 1000), now_ns)
            cold.append(ColdBox(server.id, server.zone, (now_ns - started_ns) / 1e9))
    if saved is not None and list_age < LIST_OLD_S:
        starts.listed(now_ns)
    for name, count in listed.items():
        usual[name] = max(usual.get(name, 0), count)
    fresh = [t for t in rows.values() if t.fresh]
    blind = (
        f"there is no document {document}"
        if not described
        else "no balancer tells what it sees"
        if not fresh
        else f"the list of boxes is {list_age:.0f} s old"
        if list_age > LIST_OLD_S
        else ""
    )
    told = [
        (t.row.served, sum(load[2] for load in t.row.loads)) for t in fresh if t.row.served >= 0
    ]
    weight = sum(w for _, w in told)
    served = sum(s * w for s, w in told) / weight if weight > 0 else -1.0
    worths = (
        {k: c.worth for k, c in settings.classes.items()}
        if settings is not None
        else {kind: 1.0 for t in rows.values() for kind, *_ in t.row.loads}
    )
    seen = Look(
        described,
        rows,
        worths,
        _quotas(settings, described),
        listed,
        dict(usual),
        tuple(cold),
        served,
        blind,
    )
    return Looked(plan_row, decoded(plan_row, PlanDoc) or PlanDoc(), seen, tuple(sorted(described)))


def _quotas(settings: api.Settings | None, described: Mapping[str, Place]) -> dict[str, float]:
    """Each tenant's share in requests a second over all: as it is told, or of what all sites
    bear.
    """
    if settings is None or not settings.tenants:
        return {}
    whole = sum(t.share for t in settings.tenants.values()) or 1.0
    bears = sum(p.bears for p in described.values())
    return {n: t.quota_per_s or bears * t.share / whole for n, t in settings.tenants.items()}


class SiteWorks(OwnedWork):
    def __init__(
        self, client: Client, owner: LeaseClient, service: str, settings: api.Settings
    ) -> None:
        super().__init__(owner, "sites")
        self.client = client
        self.service = service
        self.settings = settings
        self.keys = SiteKeys(service)
        self.usual: dict[str, int] = {}
        self.anew()

    def anew(self) -> None:
        rules = self.settings.rules
        self.ages = Ages()
        self.stored = StoredList(self.client, self.service)
        self.starts = StartTimes()
        self.planner = Planner(
            Rules(rules.slow_start_ns / 1e9, rules.slow_start_capacity, rules.overload_multiple),
            time.monotonic_ns(),
        )
        self.number = self.beat = 0
        self.put_s = 0.0
        self.said = ""
        self.refusing = False
        self.tabled_s, self.tabled_load = 0.0, -1.0
        self.warned: set[frozenset[str]] = set()

    def _say(self, why: str) -> None:
        """Once, until it changes."""
        if why and why != self.said:
            log.warning("sites: the work rests: %s", why)
        self.said = why

    # ---- one look and one step -------------------------------------------------------------------

    async def turn(self) -> float:
        try:
            seen = await look(
                self.client,
                self.service,
                self.settings,
                self.ages,
                self.usual,
                self.stored,
                self.starts,
            )
        except Malformed as error:
            self._say(str(error))
            return CALM_S
        self._say(seen.look.blind)
        if seen.look.blind:
            return CALM_S
        if not self.number:
            # Words under this token may have been put before this task began.
            self.number = seen.doc.number if seen.doc.token == self.owner.token() else 0
        known = {c.site: c for c in seen.doc.courses}
        courses = tuple(known.get(n, Course(n)) for n in seen.sites)
        planned = self.planner.plan(courses, seen.look, time.monotonic_ns())
        for was, now in zip(courses, planned.courses, strict=True):
            if was != now:
                log.info(
                    "site %s: %s %.0f%% -> %s %.0f%%: %s",
                    now.site,
                    was.stage.value,
                    100 * was.part,
                    now.stage.value,
                    100 * now.part,
                    now.why,
                )
        await self._put(seen, planned.courses, planned.orders)
        await self._tables(seen, planned.fleet)
        return CALM_S if all(c.well for c in planned.courses) else LOOK_S

    async def _put(self, seen: Looked, courses: tuple[Course, ...], made: Orders) -> None:
        """One write, at the version that was read, or a word that what stands still does."""
        token, now = self.owner.token(), time.monotonic()
        if not token:
            raise NotLeaseHolderError("sites")
        doc = seen.doc
        moved = tuple(c for c in courses if not c.well or c.count)
        steps = moved != doc.courses or seen.sites != doc.sites or token != doc.token
        figures = made != doc.orders and (now - self.put_s >= AGAIN_S or made == CALM)
        if steps or figures:
            self.number += 1
            fresh = PlanDoc(token, self.number, seen.sites, moved, made, unix_s())
            await self.owner.write(
                [Op(self.keys.plan, msgspec.json.encode(fresh), seen.plan.version)]
            )
            self.put_s = now
            self._tell_refused(made)
        elif now - self.put_s >= BEAT_S:
            self.beat += 1
            stands = Stands(token, self.number, self.beat)
            await self.owner.write([Op(self.keys.stands, msgspec.json.encode(stands))])
            self.put_s = now

    def _tell_refused(self, made: Orders) -> None:
        classes = ", ".join(f"{part:.0%} of {k}" for k, part in made.classes.items())
        now = (
            f"{made.excess:.0%} beyond shares, {made.repeats:.0%} of repeats"
            + (", no copies" if not made.copies else "")
            + (f", {classes}" if classes else "")
        )
        if made.excess or self.refusing:
            log.info("sites: refused: %s", now if made.excess else "nothing more")
        self.refusing = bool(made.excess)

    async def _tables(self, seen: Looked, fleet: Fleet) -> None:
        """What each loss would come to, before it happens: while all sites are as usual."""
        now, load = time.monotonic(), sum(x.rate for x in fleet.loads)
        changed = abs(load - self.tabled_load) > TABLES_PART * max(1.0, self.tabled_load)
        usual = all(c.well for c in seen.doc.courses)
        if not load or not changed or now - self.tabled_s < TABLES_S or not usual:
            return
        found = await asyncio.to_thread(tables, fleet)  # it takes too long for a turn of the loop
        short = set(bearable(found))
        for gone in sorted(short - self.warned, key=sorted):
            log.warning(
                "sites: the others do not bear the loss of %s: %.0f%% of the worth would be left",
                " and ".join(sorted(gone)),
                100 * found[gone].worth / max(1e-9, found[gone].usual),
            )
        self.warned = short
        rows = await asyncio.to_thread(
            lambda: tuple(saved(fleet, t, seen.look.rows) for t in found.values() if t.lost)
        )
        shares = quotas(seen.look.rows, fleet)
        doc = TablesDoc(self.owner.token(), self.number, unix_s(), seen.sites, rows, shares)
        await self.owner.write([Op(self.keys.tables, msgspec.json.encode(doc))])
        self.tabled_s, self.tabled_load = now, load


def saved(fleet: Fleet, t: Table, rows: Mapping[str, Told]) -> TableRow:
    """A table as it stands in the store, with what would follow for each balancer."""
    courses = [
        Course(n, stage=Stage.OUT, part=0.0) if n in t.lost else Course(n)
        for n in sorted(fleet.places)
    ]
    made = orders(fleet, courses, Ladder(0), rows, {}, 0)
    return TableRow(
        tuple(sorted(t.lost)),
        {o: dict(to) for o, to in t.shares.items()},
        t.admission.rung,
        round(t.admission.part, 4),
        {n: round(f, 4) for n, f in t.fill.items()},
        round(t.worth, 3),
        round(t.usual, 3),
        replace(made, shares={}),
    )
