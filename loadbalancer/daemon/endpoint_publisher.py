"""The list of upstreams as the fleet's work: its owner watches discovery and puts the list into the
store, under its token; the others follow the store.

    list/SERVICE      the list, with the owner's token and its count of lists
    listed/SERVICE    that it still stands, some times a minute

With `rows` the list is rows of the feed (`rowlist`) in place of that document, which then stands
only beside them where `documents` says so. Whoever knows rows goes by both, by the later owner's
word: so rows may be switched on one balancer after the other.
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress

import msgspec

from loadbalancer.changefeed.messages import Row as FeedRow
from loadbalancer.changefeed.subscription import Apply
from loadbalancer.daemon import row_codec
from loadbalancer.daemon.address_map import Reach
from loadbalancer.daemon.endpoint_rows import RowTable, RowWriter, said
from loadbalancer.daemon.endpoint_source import Follower
from loadbalancer.daemon.persisted import SavedEndpoint, SavedList, decoded, load_list, save_list
from loadbalancer.leases.fence import FencingPosition
from loadbalancer.leases.table import format_token
from loadbalancer.policy import api
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream import Endpoint
from loadbalancer.settings import Malformed
from loadbalancer.store.client import Client
from loadbalancer.store.commands import Op
from loadbalancer.store.errors import NotLeaseHolderError, StoreError
from loadbalancer.store.lease_client import LeaseClient, boot_clock_ns
from loadbalancer.store.wire.protocol import Row
from loadbalancer.wallclock import age_s, shown_age, unix_s

log = logging.getLogger(__name__)

TOGETHER_S = 0.1  # changes that come so close are one list
BEAT_S = 3.5  # that the list stands is not said more often
# A stored list of a later version than discovery tells is left in place so long: then discovery
# began anew.
ANEW_S = 30.0
RETRY_S = 0.5
REFUSALS_S = 10.0  # rows that this program can't take are told no more often
OLDEST_S = 24 * 3600.0  # a list that was put longer ago is none to begin with


class Standing(msgspec.Struct, frozen=True):
    """The owner's list `number` is still what discovery tells."""

    token: int
    number: int
    beat: int


class FleetList:
    """Takes the place of discovery beside a driver."""

    def __init__(
        self,
        driver: Driver,
        discovery: Discovery,
        client: Client,
        owner: LeaseClient,
        service: str,
        reach: Reach,
        writer: RowWriter | None = None,
        documents: bool = True,
    ) -> None:
        """`writer`: of rows; None: the list is a document alone. `documents`: there is one, too."""
        self.driver = driver
        self.discovery = discovery
        self.client = client
        self.owner = owner
        self.reach = reach
        self.keys = f"list/{service}", f"listed/{service}"
        self.writer = writer
        self.table = RowTable(service) if writer is not None else None
        self.mirrors = (
            False  # does the module have the table's rows, so that a change of them suffices?
        )
        self.documents = documents
        self.document_due = False  # beside rows: it is to be put, or taken away
        self.refused_s = -REFUSALS_S
        self.bad = ""  # why the list can't be put, as last said
        self.follower = Follower(
            driver.settings.instance_count, random.Random(os.urandom(8)), boot_clock_ns()
        )
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
        discovery.tell = self._told

    @property
    def source(self) -> str:
        return "{}:{}".format(*self.discovery.address)

    # ---- beside the driver -----------------------------------------------------------------------

    def subscribe(self, on: bool) -> None:
        """The module wants to be told of changes: it is, by the owner's list or by discovery."""
        if self.owner.active_token:
            self.discovery.subscribe(on)

    def fetch(self) -> None:
        self.discovery.fetch()

    def _told(self, kind: api.EndpointListKind, endpoints: list[Endpoint]) -> None:
        if kind is not api.EndpointListKind.FAILED:
            self.heard_s = time.monotonic()
            if kind is api.EndpointListKind.FULL or endpoints:
                self.follower.empty = False
        elif not self.owner.active_token:
            return  # asked by this process itself, and it asks again: the module need not
        if self._older():
            return
        if kind is not api.EndpointListKind.FAILED:
            self.mirrors = False
            if self.writer is not None:
                self.writer.touch(
                    None
                    if kind is not api.EndpointListKind.DELTA
                    else [e.entry.id for e in endpoints]
                )
        self.driver.learn(kind, self.reach.from_here(endpoints))
        self.changed.set()

    # ---- as the owner ----------------------------------------------------------------------------

    def began(self, token: int) -> None:
        self.follower.owns(True, boot_clock_ns())
        self.discovery.calls.speak_for_all(True)
        if token != self.put[0]:  # one that is lost and found again goes on counting
            self.number = self.beat = 0
        if self.writer is not None:
            self.writer.began()
        self.discovery.calls.forget()  # what was heard of the other owner is not counted there
        self.working = asyncio.get_running_loop().create_task(self._work())
        self.discovery.subscribe(True)

    def ended(self) -> None:
        self.follower.owns(False, boot_clock_ns())
        self.mirrors = False  # rows that came meanwhile changed nothing here
        if self.table is not None and self.table.said.token > self.put[0]:
            self._settle(None)  # the next owner's are there already
        self.discovery.calls.speak_for_all(False)
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
            except NotLeaseHolderError:
                return
            except Malformed as error:
                if str(error) != self.bad:  # it stands until discovery says otherwise
                    log.error("%s: nothing of it is put: %s", self.keys[0], error)
                self.bad = str(error)
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
        """What the owner before this one knew of discovery: read after the token was granted, so
        nothing that it still may say comes behind it.
        """
        row = (await self.client.get(self.keys[0])).rows[0]
        saved = decoded(row, SavedList)
        known = (saved.token, saved.source, saved.version) if saved is not None else (0, "", -1)
        if self.writer is not None:
            word = await self.writer.read()
            if word is not None:
                known = max(known, (word.token, word.source, word.version))
            self.document_due = self.documents or row.value is not None
        if known[1] == self.source:
            self.floor, self.floor_s = known[2], time.monotonic()

    def _older(self) -> bool:
        """Does discovery tell less than its owner of before knew, and that not for long?"""
        return (
            bool(self.owner.active_token)
            and self.discovery.version < self.floor
            and time.monotonic() - self.floor_s < ANEW_S
        )

    async def _say(self) -> None:
        heard = self.heard_s
        if self.writer is not None:
            # That nothing changed is a word, too: without it the others count the owner as silent
            # after 12 s of a quiet day, and ask by themselves, each for a whole list. (Documents
            # keep to changes.)
            heard = max(heard, self.discovery.answered_s)
        if self.discovery.version < 0 or (heard <= self.put_s and not self.overwritten):
            return  # discovery said nothing since
        if self._older():
            return
        if self.discovery.version < self.floor:
            log.warning(
                "discovery tells version %d, and version %d is stored: it began anew",
                self.discovery.version,
                self.floor,
            )
            self.floor = -1
        token = self.owner.token()
        if not self.driver.upstreams.targets or not token:
            return
        put = self._put_document if self.writer is None else self._put_rows
        if await put(token):
            self.put_s = heard
        elif time.monotonic() - self.put_s >= BEAT_S:
            self.beat += 1
            standing = Standing(token, self.number, self.beat)
            await self.owner.write([Op(self.keys[1], msgspec.json.encode(standing))])
            self.put_s = heard

    def _known(self, numbers: Iterable[int] | None = None) -> list[Endpoint]:
        """What is listed of these, or all of it, with the addresses that all know."""
        targets = self.driver.upstreams.targets
        found = (
            targets.values() if numbers is None else [targets[n] for n in numbers if n in targets]
        )
        return self.reach.as_known(t.endpoint for t in found)

    async def _put_document(self, token: int) -> bool:
        """Where it is another than what was put last; was it?"""
        servers = save_list(self._known())
        if not self.overwritten and self.put == (token, self.discovery.version, servers):
            return False
        self.overwritten = False
        await self._write_document(token, self.number + 1, servers)
        return True

    async def _write_document(self, token: int, number: int, servers: list[SavedEndpoint]) -> None:
        saved = SavedList(unix_s(), servers, token, number, self.discovery.version, self.source)
        await self.owner.write([Op(self.keys[0], msgspec.json.encode(saved))])
        self.number, self.put = number, (token, saved.version, list(servers))

    async def _put_rows(self, token: int) -> bool:
        """Those that differ, and the document where there is to be one beside them; was anything to
        do?
        """
        assert self.writer is not None
        wrote = await self.writer.put(self._known, token, self.discovery.version, self.source)
        self.number, self.put, self.bad = (
            self.writer.number,
            (token, self.discovery.version, []),
            "",
        )
        self.document_due = self.document_due or self.overwritten or (wrote and self.documents)
        if self.document_due:
            if self.documents:
                await self._write_document(token, self.number, save_list(self._known()))
            else:  # who does not know rows would take it for the list, however old
                await self.owner.write([Op(self.keys[0], None)])
            self.document_due = self.overwritten = False
            return True
        return wrote

    # ---- as one of the others --------------------------------------------------------------------

    async def follow(self) -> None:
        """Hear the owner's word: first what a majority holds, then each change behind that. Raises
        StoreError."""
        if self.table is None:
            found = await self.client.get(*self.keys)
        else:
            found = await self.client.get(*self.keys, self.table.keys.list)
        now = boot_clock_ns()
        saved = decoded(found.rows[0], SavedList)
        self.follower.learn(
            FencingPosition(saved.token, saved.number) if saved else FencingPosition(), now
        )
        if self.table is not None:
            self.follower.learn(said(found.rows[2]), now)
        self._list(found.rows[0])
        if self.table is not None:
            self._settle(None)
        # With rows, of this service alone: what all services say together is too much for each
        # balancer.
        await self._hear("list" if self.table is None else self.keys[0], found.revision)

    async def follow_beat(self) -> None:
        """With rows: hear that the list stands. Raises StoreError."""
        found = await self.client.get(self.keys[1], stale=True)
        self._stands(found.rows[0])
        await self._hear(self.keys[1], found.revision)

    async def _hear(self, prefix: str, revision: int) -> None:
        async for told in self.client.watch(prefix, revision):
            for change in told.changes:
                row = Row(change.key, change.value, change.version, change.revision)
                if change.key == self.keys[0]:
                    self._list(row)
                elif change.key == self.keys[1]:
                    self._stands(row)

    def _list(self, row: Row) -> None:
        saved = decoded(row, SavedList)
        if self.owner.active_token:
            foreign = saved is None or not saved.token
            if foreign and row.version and (self.documents or row.value is not None):
                # A program without owners put its list over this one's, and who starts now would
                # find no owner's word: it is said again.
                self.overwritten = True
                self.changed.set()
            return
        if saved is None or not saved.token:
            return  # of a program without owners
        if self.table is not None and self.table.said.token >= saved.token:
            return  # the rows say it
        if self._heeds(row.key, FencingPosition(saved.token, saved.number)):
            self.mirrors = False
            self.driver.learn(api.EndpointListKind.FULL, self.reach.from_here(load_list(saved)))

    def _heeds(self, key: str, word: FencingPosition) -> bool:
        if self.follower.listed(word, boot_clock_ns()):
            return True
        log.info(
            "%s: the word of token %s is not heeded: token %s was heard",
            key,
            format_token(word.token),
            format_token(self.follower.receiver.highest.token),
        )
        return False

    def check(self, scope: str, row: FeedRow) -> str:
        """For the feed: why this program can't go by a row; empty: it can. The feed tells the
        node.
        """
        why = row_codec.check(scope, row)
        now = time.monotonic()
        if why and now - self.refused_s >= REFUSALS_S:
            self.refused_s = now
            log.warning(
                "feed: %s of %s at version %d is refused: %s; what was taken before stands",
                row.key,
                scope,
                row.version,
                why,
            )
        return why

    def apply(self, told: Apply) -> None:
        """Rows came."""
        if self.table is None or told.scope != self.table.keys.scope:
            return
        changed = self.table.take(told.whole, told.rows)
        self._settle(None if told.whole else changed)

    def _settle(self, changed: list[Endpoint] | None) -> None:
        """Go by the table, of which this changed; None: anything."""
        table = self.table
        if table is None or self.owner.active_token:
            return
        if table.word is None or not table.endpoints:
            self.mirrors = (
                False  # a list without an upstream is not believed; nor does its owner put one
            )
            return
        if not self.follower.receiver.is_initialized:
            # No majority was heard yet: good enough to begin with, where there is nothing else.
            age = age_s(table.word.at)
            young = age is None or age < OLDEST_S
            if young and not self.driver.told.is_set() and not self.driver.upstreams.targets:
                self.driver.learn(api.EndpointListKind.CACHED, self.reach.from_here(table.all()))
                log.info(
                    "store: %d upstreams from rows %s old", len(table.endpoints), shown_age(age)
                )
            return
        if not self._heeds(table.keys.list, table.said):
            self.mirrors = False
        elif changed is None or not self.mirrors:
            self.mirrors = True
            self.driver.learn(api.EndpointListKind.FULL, self.reach.from_here(table.all()))
        elif changed:
            self.driver.learn(api.EndpointListKind.DELTA, self.reach.from_here(changed))

    def _stands(self, row: Row) -> None:
        standing = decoded(row, Standing)
        if standing is not None:
            self.follower.stands(
                FencingPosition(standing.token, standing.number), standing.beat, boot_clock_ns()
            )

    async def look(self) -> None:
        """Ask discovery by itself, where the owner's word is old or missing."""
        said = False
        while True:
            now = boot_clock_ns()
            if self.follower.asks(now):
                self.discovery.fetch()
            if self.follower.alone is not said:
                said = self.follower.alone
                log.info(
                    "the list's owner is %s",
                    "silent: discovery is asked from here now and then" if said else "heard again",
                )
            wait = (self.follower.wake_ns - boot_clock_ns()) / 1e9
            await asyncio.sleep(min(1.0, max(0.05, wait)))

    def close(self) -> None:
        if self.working is not None:
            self.working.cancel()
