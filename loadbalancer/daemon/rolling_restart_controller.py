"""A roll as a work of the fleet: its owner reads, decides with `rolling` and writes, one step at a
time; every balancer reports what it has under way while there is a roll.

    roll/SERVICE               the roll's document; operators begin, pause and abort it, its owner
    goes on
    report/SERVICE/BALANCER    what a balancer has under way; gone when it leaves as it should
"""

from __future__ import annotations

import asyncio
import logging
import time
from contextlib import suppress

import msgspec

from loadbalancer.daemon import upstream_admin
from loadbalancer.daemon.address_map import Reach
from loadbalancer.daemon.endpoint_rows import StoredList
from loadbalancer.daemon.leased_task import OwnedWork
from loadbalancer.daemon.persisted import decoded
from loadbalancer.daemon.rolling_restart import (
    Box,
    Listed,
    Phase,
    Report,
    Roll,
    Seen,
    State,
    Step,
    View,
    blind,
    decide,
    meant,
    name_of,
    to_ask,
)
from loadbalancer.leases import table
from loadbalancer.proxy.disabled_upstreams import DisabledUpstreams
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream import number_of
from loadbalancer.store.client import Client
from loadbalancer.store.commands import LEASE_PREFIX, Op
from loadbalancer.store.errors import NotLeaseHolderError
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.wire.protocol import Row
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.wallclock import unix_ms

log = logging.getLogger(__name__)

PHASES = list(Phase)
LOOK_S = 0.5  # between two looks of the owner, and two reports of a balancer that changed nothing
ASK_AGAIN_S = 5.0  # a box that was asked to restart and is not seen to
IDLE_S = 2.0  # while there is no roll
REPORT_S, REPORT_EACH_S, REPORT_MOST_S = (
    2.0,
    0.025,
    5.0,
)  # of one among many, longer: half of what is old


class Ages:
    """For how long each thing has stood as it is, by this process's own clock: no other clock is
    believed.
    """

    def __init__(self) -> None:
        self.seen: dict[str, tuple[int, float]] = {}

    def age_s(self, key: str, version: int) -> float:
        """Since the key was first seen at this version."""
        now = time.monotonic()
        if self.seen.get(key, (-1, 0.0))[0] != version:
            self.seen[key] = version, now
        return now - self.seen[key][1]

    def keep(self, keys: set[str]) -> None:
        for gone in self.seen.keys() - keys:
            del self.seen[gone]


class Keys:
    def __init__(self, service: str) -> None:
        self.roll = f"roll/{service}"
        self.disabled = f"disabled/{service}"
        self.list = f"list/{service}"
        self.standing = f"listed/{service}"
        self.reports = f"report/{service}/"
        self.names = f"{LEASE_PREFIX}name/{service}/"


async def look(
    client: Client, keys: Keys, ages: Ages, stored: StoredList, linear: bool = True
) -> tuple[Row, Row, Roll | None, View]:
    """The roll's row, the set's, the roll and what is seen. Raises StoreError."""
    stale = not linear
    found = await client.get(
        keys.roll, keys.disabled, keys.list, keys.standing, stored.keys.list, stale=stale
    )
    roll_row, disabled_row, list_row, standing, word = found.rows
    roll = decoded(roll_row, Roll)
    reports = await client.scan(keys.reports, stale=stale)
    names = await client.scan(keys.names, stale=stale)
    live = set()
    for row in names.rows:
        if row.value is not None and table.unpack(row.value).is_held:
            live.add(row.key.removeprefix(keys.names))
    seen: dict[str, Seen] = {}
    for row in reports.rows:
        report = decoded(row, Report)
        name = row.key.removeprefix(keys.reports)
        if report is not None:
            seen[name] = Seen(report, ages.age_s(row.key, row.version), name in live)
    for name in live - seen.keys():  # it holds its name and says nothing yet
        seen[name] = Seen(Report(0, (), 0.0, 0.0, 0), ages.age_s(keys.reports + name, 0), True)
    saved = await stored.of(list_row, word, stale)
    boxes = (
        {s.id: Listed(s.zone, s.started, not s.draining, (s.host, s.port)) for s in saved.servers}
        if saved
        else {}
    )
    # A list is as old as the last word that it stands; one that operators wrote down stands by
    # itself.
    fixed = saved is not None and not saved.source
    list_age = (
        ages.age_s(keys.standing, standing.version + list_row.version + word.version)
        if saved
        else 1e9
    )
    list_age = 0.0 if fixed else list_age
    names_out = frozenset(
        msgspec.json.decode(disabled_row.value, type=list[str])
        if disabled_row.value is not None
        else []
    )
    phases = {b.name: f"phase/{roll.id}/{b.name}" for b in roll.boxes} if roll is not None else {}
    phase_ages = {
        b.name: ages.age_s(phases[b.name], PHASES.index(b.phase))
        for b in (roll.boxes if roll is not None else ())
    }
    ages.keep(
        {
            keys.standing,
            *(keys.reports + n for n in seen),
            *(r.key for r in reports.rows),
            *phases.values(),
        }
    )
    return (
        roll_row,
        disabled_row,
        roll,
        View(unix_ms(), names_out, disabled_row.version, seen, boxes, list_age, phase_ages),
    )


class Roller(OwnedWork):
    def __init__(self, client: Client, owner: LeaseClient, service: str, reach: Reach) -> None:
        super().__init__(owner, "roll")
        self.client = client
        self.reach = reach
        self.service = service
        self.keys = Keys(service)
        self.anew()

    def anew(self) -> None:
        self.ages = Ages()
        self.stored = StoredList(self.client, self.service)
        self.blind_s = 0.0  # since when nothing could be seen
        self.owned_s = time.monotonic()  # since when it is owned
        self.asked: dict[
            str, float
        ] = {}  # restarts by name, and when this owner last asked for them

    async def turn(self) -> float:
        """One look and at most one step; seconds until the next. Raises StoreError."""
        roll_row, disabled_row, roll, view = await look(
            self.client, self.keys, self.ages, self.stored
        )
        if roll is None or roll.state is State.ENDED:
            return IDLE_S
        if blind(view):
            self.blind_s = self.blind_s or time.monotonic()
        else:
            self.blind_s = 0.0
        step = decide(roll, view, time.monotonic() - self.blind_s if self.blind_s else 0.0)
        token = self.owner.token()
        if step is None:
            step = meant(roll, token, time.monotonic() - self.owned_s, self.owner.ttl_s)
        if step is None:
            for box in to_ask(roll, token):
                await self._ask(roll, box, view)
            return LOOK_S
        await self._write(step, roll_row, disabled_row)
        log.info("roll %s: %s", roll.id, step.say)
        return 0.0

    async def _ask(self, roll: Roll, box: Box, view: View) -> None:
        """Its own door, which checks no token: at once after a look at the clock, and under a name
        that makes a second time the same as the first.
        """
        name, listed = name_of(roll, box), view.boxes.get(box.number)
        now = time.monotonic()
        if listed is None or now - self.asked.get(name, -ASK_AGAIN_S) < ASK_AGAIN_S:
            return
        self.asked[name] = now
        try:
            said = await upstream_admin.ask(
                self.reach.dialled(listed.address),
                roll.door,
                name,
                lambda: self.owner.token() == box.asked,
            )
        except (OSError, TimeoutError) as error:
            log.warning(
                "roll %s: %s was not reached at its door: %s",
                roll.id,
                box.name,
                error or "no answer in time",
            )
            return
        if said:
            log.warning("roll %s: %s was asked to restart: %s", roll.id, box.name, said)

    async def _write(self, step: Step, roll_row: Row, disabled_row: Row) -> None:
        ops = [Op(self.keys.roll, msgspec.json.encode(step.roll), roll_row.version)]
        checks = []
        if step.disabled is not None:
            names = msgspec.json.encode(sorted(step.disabled))
            ops.append(Op(self.keys.disabled, names, disabled_row.version))
        else:
            checks.append((self.keys.disabled, disabled_row.version))
        await self.owner.write(ops, WriteOptions(checks=checks, note=step.say[:200]))


class Reporter:
    """A balancer's reports, while there is a roll that is not over."""

    def __init__(
        self,
        driver: Driver,
        disabled: DisabledUpstreams,
        client: Client,
        name: LeaseClient,
        service: str,
        balancer: str,
    ) -> None:
        self.driver = driver
        self.disabled = disabled
        self.client = client
        self.name = name
        self.keys = Keys(service)
        self.key = self.keys.reports + balancer
        self.version = 0  # of the set that this balancer goes by
        self.active = False
        self.count = 0
        self.more = asyncio.Event()
        self.there = False  # a report of this process stands in the store
        balancers = driver.settings.instance_count
        self.every_s = min(REPORT_MOST_S, max(REPORT_S, REPORT_EACH_S * balancers))

    def took(self, version: int) -> None:
        """The set of this version holds here."""
        self.version = version
        self.more.set()

    async def rolled(self, value: bytes | None, version: int) -> None:
        """The roll's document changed."""
        roll = decoded(Row(self.keys.roll, value, version, 0), Roll)
        self.active = roll is not None and roll.state is not State.ENDED
        self.more.set()

    def busy(self) -> tuple[str, ...]:
        """Disabled upstreams that still have attempts of this balancer."""
        numbers = {number_of(name): name for name in self.disabled.names}
        found = {
            numbers[a.server.id]
            for r in self.driver.balancer.requests.values()
            for a in r.attempts
            if a.result is None and a.server.id in numbers
        }
        return tuple(sorted(found))

    async def run(self) -> None:
        """Raises StoreError."""
        said: tuple[int, tuple[str, ...]] = -1, ()
        at = 0.0
        while True:
            now = self.version, self.busy()
            due = now != said or time.monotonic() - at >= self.every_s
            if self.active and due and self.name.token():
                self.count += 1
                rate = self.driver.balancer.rate
                report = Report(
                    *now, round(rate.sent, 2), round(min(rate.served, rate.sent), 2), self.count
                )
                with suppress(NotLeaseHolderError):
                    await self.name.write([Op(self.key, msgspec.json.encode(report))])
                    said, at, self.there = now, time.monotonic(), True
            self.more.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(LOOK_S if self.active else IDLE_S):
                    await self.more.wait()

    async def leave(self) -> None:
        """Nothing is under way here any more. Raises StoreError."""
        if self.there and self.name.token():
            with suppress(NotLeaseHolderError):
                await self.name.write([Op(self.key, None)], WriteOptions(timeout_s=0.3))
