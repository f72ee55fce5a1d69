"""A balancer's part in what the fleet does about its sites, on the store and the wire: the
decisions are `loadbalancer.failover.observer`'s.

    site/SERVICE/row/BALANCER    what this balancer sees, some times a minute
    site/SERVICE/plan            courses and orders; their one owner puts them, and operators change
    courses
    site/SERVICE/stands          that the plan still stands
    site/SERVICE/tables          for each loss of a site, and of two, where the load goes: worked
    out
    beforehand
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import replace
from functools import partial

import msgspec

from loadbalancer.daemon.persisted import decoded
from loadbalancer.failover.evidence import Said
from loadbalancer.failover.observer import Member
from loadbalancer.failover.site_reports import Row as Own
from loadbalancer.failover.site_state import Aim, Course
from loadbalancer.failover.traffic_shares import Orders
from loadbalancer.leases.fence import FencedReceiver, FencingPosition
from loadbalancer.leases.table import format_token
from loadbalancer.policy import api
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream import Report
from loadbalancer.store.client import Client
from loadbalancer.store.commands import LEASE_PREFIX, Op
from loadbalancer.store.errors import NotLeaseHolderError
from loadbalancer.store.lease_client import LeaseClient, boot_clock_ns
from loadbalancer.store.wire.protocol import Row
from loadbalancer.store.write_session import WriteOptions

log = logging.getLogger(__name__)

TICK_S = 0.25
SILENT = 2  # renewals in a row that failed: the store does not answer


class PlanDoc(msgspec.Struct, frozen=True):
    """As it stands in the store. `number` counts the owner's words under its token; `sites`: those
    that it is for; what operators change of `courses` leaves both as they are.
    """

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
    shares: dict[str, dict[str, float]] = {}  # the same in each of them, so they stand here once


class SiteKeys:
    def __init__(self, service: str) -> None:
        self.rows = f"site/{service}/row/"
        self.plan = f"site/{service}/plan"
        self.stands = f"site/{service}/stands"
        self.tables = f"site/{service}/tables"
        self.prefix = f"site/{service}"
        self.names = f"{LEASE_PREFIX}name/{service}/"


class SiteWatch:
    """Beside a driver; nothing of it holds the balancer up."""

    def __init__(
        self,
        driver: Driver,
        client: Client,
        name: LeaseClient,
        service: str,
        balancer: str,
        rng: random.Random,
    ) -> None:
        self.driver = driver
        self.client = client
        self.name = name
        self.balancer = balancer
        self.keys = SiteKeys(service)
        self.key = self.keys.rows + balancer
        self.member = Member(
            driver.settings.zone, balancer, driver.settings.instance_count, rng, boot_clock_ns()
        )
        self.receiver = FencedReceiver(FencingPosition())
        self.doc = PlanDoc()
        self.beat = 0
        self.fresh = False
        self.there = False  # a row of this process stands in the store
        driver.tap = self._tap

    # ---- what is seen ----------------------------------------------------------------------------

    def _tap(self, now: int, events: Sequence[api.Event]) -> None:
        """Beside the module, after each turn. Never raises: the balancer goes on without it."""
        try:
            for e in events:
                if type(e) is api.RequestArrived:
                    self.member.arrived(e)
                elif type(e) is api.AttemptFinished:
                    request = self.driver.requests.get(e.request)
                    if request is not None:
                        cls = self.driver.settings.classes[request.arrival.class_name]
                        usual = self.driver.balancer.crowding.taken.get(cls.name, 0.0)
                        self.member.tried(e, cls.latency_objective_ns, usual, boot_clock_ns())
        except Exception:
            log.exception("sites")

    async def look(self) -> None:
        """Judge what was seen, sound what is not used, and have the module follow."""
        while True:
            self._turn()
            await asyncio.sleep(TICK_S)

    def _turn(self) -> None:
        now = boot_clock_ns()
        boxes = {
            n: t.endpoint.entry.zone
            for n, t in self.driver.upstreams.targets.items()
            if t.endpoint.entry.state is api.UpstreamState.READY and t.endpoint.entry.zone
        }
        if boxes.keys() != self.member.evidence.boxes.keys():
            self.member.evidence.listed(boxes, now)
        turn = self.member.turn(now, self.name.holder.failures < SILENT)
        for name, verdict in turn.changes:
            log.info("site %s: %s: %s", name, verdict.state.value, verdict.why)
        for number in turn.sounds:
            self.driver.upstreams.probe(number, partial(self._sounded, number))
        if turn.plan is not None:
            self.driver.post(turn.plan)
        owned = self.member.owned(now)
        if owned is not self.fresh and self.member.heard_ns:
            log.info(
                "sites: the owner's plan is %s",
                "followed" if owned else "old, or for other sites: going by what is seen here",
            )
        self.fresh = owned

    def _sounded(self, number: int, result: api.AttemptResult, report: Report) -> None:
        self.member.sounded(number, result, boot_clock_ns())

    async def tell(self) -> None:
        """Raises StoreError."""
        while True:
            if self.member.row_due(boot_clock_ns()) and self.name.token():
                row = self.member.row(self.driver.balancer.crowding.taken, boot_clock_ns())
                with suppress(NotLeaseHolderError):
                    await self.name.write([Op(self.key, msgspec.json.encode(row))])
                    self.there = True
            await asyncio.sleep(TICK_S * self.member.rng.uniform(0.5, 1.0))

    async def leave(self) -> None:
        """Raises StoreError."""
        if self.there and self.name.token():
            with suppress(NotLeaseHolderError):
                await self.name.write([Op(self.key, None)], WriteOptions(timeout_s=0.3))

    # ---- the plan --------------------------------------------------------------------------------

    async def follow(self) -> None:
        """First what a majority has, then each change behind it. Raises StoreError."""
        found = await self.client.get(self.keys.plan, self.keys.stands, self.keys.tables)
        doc = decoded(found.rows[0], PlanDoc)
        self.receiver.learn(FencingPosition(doc.token, doc.number) if doc else FencingPosition())
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
        if not self.receiver.accept(FencingPosition(doc.token, doc.number)):
            log.info(
                "%s: the word of token %s is not heeded: token %s was heard",
                row.key,
                format_token(doc.token),
                format_token(self.receiver.highest.token),
            )
            return
        for course in doc.courses:
            was = course_of(self.doc, course.site)
            if was.count != course.count:
                log.info(
                    "site %s: %s at %.0f%%: %s",
                    course.site,
                    course.stage.value,
                    100 * course.part,
                    course.why,
                )
        self.doc = doc
        held = {c.site: c.by for c in doc.courses if c.aim is not Aim.IN and c.part <= 0}
        self.member.ordered(doc.orders, frozenset(doc.sites), held, boot_clock_ns())

    def _stands(self, row: Row) -> None:
        stands = decoded(row, Stands)
        if stands is not None:
            if (
                FencingPosition(stands.token, stands.number) == self.receiver.highest
                and stands.beat != self.beat
            ):
                self.member.stands(boot_clock_ns())
            self.beat = stands.beat

    def _tabled(self, row: Row) -> None:
        doc = decoded(row, TablesDoc)
        if doc is not None and not FencingPosition(doc.token).is_before(
            FencingPosition(self.receiver.highest.token)
        ):
            self.member.tables = {
                frozenset(t.lost): replace(t.orders, shares=doc.shares) for t in doc.tables
            }
            self.member.tabled = frozenset(doc.sites)

    def _others(self, row: Row) -> None:
        name = row.key.removeprefix(self.keys.rows)
        own = decoded(row, Own)
        evidence = self.member.evidence
        if own is None or name == self.balancer or own.alone:
            evidence.said.pop(name, None)
            return
        evidence.heard(
            name, Said(own.site, frozenset(own.answers), frozenset(own.silent)), 0, boot_clock_ns()
        )


def with_course(doc: PlanDoc, course: Course) -> PlanDoc:
    """The document with this course in place of its site's."""
    courses = tuple(course if c.site == course.site else c for c in doc.courses)
    if course not in courses:
        courses += (course,)
    return msgspec.structs.replace(doc, courses=courses)


def course_of(doc: PlanDoc, site: str) -> Course:
    return next((c for c in doc.courses if c.site == site), Course(site))
