"""The list of upstreams as the fleet's work: its owner watches discovery and puts the list into the store,
under its token; the others follow the store.

    list/SERVICE      the list, with the owner's token and its count of lists
    listed/SERVICE    that it still stands, some times a minute
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

import msgspec

from lanelift import interface as api
from lanelift.daemon.follow import Follower
from lanelift.daemon.reach import Reach
from lanelift.daemon.saved import SavedList, decoded, load_list, save_list
from lanelift.leases.fence import Word
from lanelift.leases.table import written
from lanelift.net.calls import HOLD_MS, PACE_S
from lanelift.net.discovery import Discovery
from lanelift.net.driver import Driver
from lanelift.net.upstream import Endpoint
from lanelift.store.client import Client, StoreError
from lanelift.store.commands import Op
from lanelift.store.owner import NotOwner, Owner, clock_ns
from lanelift.store.wire.protocol import Row

log = logging.getLogger(__name__)

TOGETHER_S = 0.1  # changes that come so close are one list
BEAT_S = 3.5  # that the list stands is not said more often
# A stored list of a later version than discovery tells is left in place so long: then discovery began anew.
ANEW_S = 30.0
RETRY_S = 0.5


class Standing(msgspec.Struct, frozen=True):
    """The owner's list `number` is still what discovery tells."""

    token: int
    number: int
    beat: int


class FleetList:
    """Takes the place of discovery beside a driver."""

    def __init__(self, driver: Driver, discovery: Discovery, client: Client, owner: Owner,
                 service: str, reach: Reach) -> None:
        self.driver = driver
        self.discovery = discovery
        self.client = client
        self.owner = owner
        self.reach = reach
        self.keys = f"list/{service}", f"listed/{service}"
        self.follower = Follower(driver.settings.replicas_of_me, random.Random(os.urandom(8)), clock_ns())
        self.changed = asyncio.Event()
        self.number = self.beat = 0  # of this owner's lists, and of its words that they stand
        # What was put last: the token, discovery's version, the list.
        self.put: tuple[int, int, list[object]] = (0, -1, [])
        self.put_s = 0.0
        self.overwritten = False  # by a program that knows no owners
        self.heard_s = 0.0  # discovery's last word here
        self.floor = -1  # a version that the next list must reach
        self.floor_s = 0.0
        self.working: asyncio.Task[None] | None = None
        self.holds = discovery.calls.hold_ms, discovery.calls.pace_s
        discovery.tell = self._told

    @property
    def source(self) -> str:
        return "{}:{}".format(*self.discovery.address)

    # ---- beside the driver -------------------------------------------------------------------------------

    def subscribe(self, on: bool) -> None:
        """The module wants to be told of changes: it is, by the owner's list or by discovery."""
        if self.owner.working:
            self.discovery.subscribe(on)

    def fetch(self) -> None:
        self.discovery.fetch()

    def _told(self, kind: api.ListKind, endpoints: list[Endpoint]) -> None:
        if kind is not api.ListKind.FAILED:
            self.heard_s = time.monotonic()
            if kind is api.ListKind.FULL or endpoints:
                self.follower.empty = False
        elif not self.owner.working:
            return  # asked by this process itself, and it asks again: the module need not
        if self._older():
            return
        self.driver.learn(kind, self.reach.from_here(endpoints))
        self.changed.set()

    # ---- as the owner ------------------------------------------------------------------------------------

    def began(self, token: int) -> None:
        self.follower.owns(True, clock_ns())
        # One caller in place of all: it need not spare discovery as one of many would.
        self.discovery.calls.hold_ms, self.discovery.calls.pace_s = HOLD_MS, PACE_S
        if token != self.put[0]:  # one that is lost and found again goes on counting
            self.number = self.beat = 0
        self.discovery.calls.forget()  # what was heard of the other owner is not counted there
        self.working = asyncio.get_running_loop().create_task(self._work())
        self.discovery.subscribe(True)

    def ended(self) -> None:
        self.follower.owns(False, clock_ns())
        self.discovery.calls.hold_ms, self.discovery.calls.pace_s = self.holds
        self.discovery.subscribe(False)
        if self.working is not None:
            self.working.cancel()
            self.working = None

    async def _work(self) -> None:
        """Put each list, and say now and then that it stands."""
        await self._until_done(self._floor)
        while True:
            with suppress(TimeoutError):
                async with asyncio.timeout(BEAT_S):
                    await self.changed.wait()
            await asyncio.sleep(TOGETHER_S)
            self.changed.clear()
            try:
                await self._say()
            except NotOwner:
                return
            except StoreError as error:
                log.warning("%s: not put: %s", self.keys[0], error)
                self.changed.set()
                await asyncio.sleep(RETRY_S)

    async def _until_done(self, what: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await what()
                return
            except StoreError:
                await asyncio.sleep(RETRY_S)

    async def _floor(self) -> None:
        """What the owner before this one knew of discovery: read after the token was granted, so nothing that
        it still may say comes behind it."""
        saved = decoded((await self.client.get(self.keys[0])).rows[0], SavedList)
        if saved is not None and saved.source == self.source:
            self.floor, self.floor_s = saved.version, time.monotonic()

    def _older(self) -> bool:
        """Does discovery tell less than its owner of before knew, and that not for long?"""
        return (bool(self.owner.working) and self.discovery.version < self.floor
                and time.monotonic() - self.floor_s < ANEW_S)

    async def _say(self) -> None:
        if self.discovery.version < 0 or (self.heard_s <= self.put_s and not self.overwritten):
            return  # discovery said nothing since
        heard = self.heard_s
        if self._older():
            return
        if self.discovery.version < self.floor:
            log.warning("discovery tells version %d, and version %d is stored: it began anew",
                        self.discovery.version, self.floor)
            self.floor = -1
        servers = save_list(self.reach.as_known(t.endpoint for t in self.driver.upstreams.targets.values()))
        token = self.owner.token()
        if not servers or not token:
            return
        if self.overwritten or self.put != (token, self.discovery.version, servers):
            self.overwritten = False
            number = self.number + 1
            saved = SavedList(time.time(), servers, token, number, self.discovery.version, self.source)
            await self.owner.write([Op(self.keys[0], msgspec.json.encode(saved))])
            self.number, self.put, self.put_s = number, (token, saved.version, list(servers)), heard
        elif time.monotonic() - self.put_s >= BEAT_S:
            self.beat += 1
            standing = Standing(token, self.number, self.beat)
            await self.owner.write([Op(self.keys[1], msgspec.json.encode(standing))])
            self.put_s = heard

    # ---- as one of the others ----------------------------------------------------------------------------

    async def follow(self) -> None:
        """Hear the owner's word: first what a majority holds, then each change behind that. Raises
        StoreError."""
        found = await self.client.get(*self.keys)
        now = clock_ns()
        saved = decoded(found.rows[0], SavedList)
        self.follower.learn(Word(saved.token, saved.number) if saved else Word(), now)
        self._list(found.rows[0])
        async for told in self.client.watch("list", found.revision):
            for change in told.changes:
                row = Row(change.key, change.value, change.version, change.revision)
                if change.key == self.keys[0]:
                    self._list(row)
                elif change.key == self.keys[1]:
                    self._stands(row)

    def _list(self, row: Row) -> None:
        saved = decoded(row, SavedList)
        if self.owner.working:
            if (saved is None or not saved.token) and row.version:
                # A program without owners put its list over this one's, and who starts now would find no
                # owner's word: it is said again.
                self.overwritten = True
                self.changed.set()
            return
        if saved is None or not saved.token:
            return  # of a program without owners
        if not self.follower.listed(Word(saved.token, saved.number), clock_ns()):
            log.info("%s: the word of token %s is not heeded: token %s was heard", row.key,
                     written(saved.token), written(self.follower.receiver.highest.token))
            return
        self.driver.learn(api.ListKind.FULL, self.reach.from_here(load_list(saved)))

    def _stands(self, row: Row) -> None:
        standing = decoded(row, Standing)
        if standing is not None:
            self.follower.stands(Word(standing.token, standing.number), standing.beat, clock_ns())

    async def look(self) -> None:
        """Ask discovery by itself, where the owner's word is old or missing."""
        said = False
        while True:
            now = clock_ns()
            if self.follower.asks(now):
                self.discovery.fetch()
            if self.follower.alone is not said:
                said = self.follower.alone
                log.info("the list's owner is %s", "silent: discovery is asked from here now and then" if said
                         else "heard again")
            wait = (self.follower.wake_ns - clock_ns()) / 1e9
            await asyncio.sleep(min(1.0, max(0.05, wait)))

    def close(self) -> None:
        if self.working is not None:
            self.working.cancel()
