"""What a balancer keeps in the store, and takes from it: its settings, the upstreams that operators
took out, the last box list, and what the module learnt. It never holds up the balancer: without a
store, or one without a leader, the balancer goes on with what it has, and the log says since when.

    config/DOCUMENT            the operators' settings, TOML
    disabled/SERVICE           names, JSON
    list/SERVICE               the last box list; its one owner puts it
    learnt/SERVICE/BALANCER    what its module learnt; the one process of that name puts it
    site/SERVICE/...           what the fleet does about its sites, where it is switched on
    feed/service:SERVICE/...   the box list as rows, where they are switched on
"""

from __future__ import annotations

import asyncio
import logging
import os
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from pathlib import Path

import msgspec

from loadbalancer.__main__ import Parts
from loadbalancer.changefeed.messages import GLOBAL
from loadbalancer.daemon.address_map import Reach
from loadbalancer.daemon.endpoint_publisher import OLDEST_S, FleetList
from loadbalancer.daemon.endpoint_rows import RowWriter
from loadbalancer.daemon.persisted import (
    SavedEndpoint,
    SavedLearnt,
    SavedList,
    decoded,
    load_learnt,
    load_list,
    save_learnt,
    save_list,
)
from loadbalancer.daemon.rolling_restart_controller import Reporter, Roller
from loadbalancer.daemon.site_agent import SiteWatch
from loadbalancer.daemon.site_controller import SiteWorks
from loadbalancer.leases.table import Lease
from loadbalancer.policy import api
from loadbalancer.proxy.atomic_files import write_whole
from loadbalancer.proxy.discovery import Discovery
from loadbalancer.proxy.policy_driver import Driver
from loadbalancer.proxy.upstream import Endpoint
from loadbalancer.store.changefeed_client import ChangefeedClient, ChangefeedTarget
from loadbalancer.store.client import Client
from loadbalancer.store.commands import Op
from loadbalancer.store.documents import PREFIX
from loadbalancer.store.errors import (
    ConflictError,
    NotLeaseHolderError,
    StoreError,
    WatchCompactedError,
)
from loadbalancer.store.lease_client import LeaseClient
from loadbalancer.store.write_session import WriteOptions
from loadbalancer.wallclock import age_s, shown_age, unix_s

log = logging.getLogger(__name__)

SAVE_S = 5.0  # between two looks at what is to be saved
ASK_S = 1.0  # a start waits no longer for the store
RETRY_S = 0.5
CACHE_MOST_S = 5.0  # the longest pause where the copy of the settings can't be written
LEASE_S = 10.0
SILENT = 2  # claims in a row that failed: the store does not answer


class Keeper:
    def __init__(
        self,
        client: Client,
        service: str,
        balancer: str,
        document: str,
        cache: Path | None,
        parts: Parts,
        lease_s: float = LEASE_S,
        rank: int = 0,
        reach: Mapping[str, str] | None = None,
        sites: bool = False,
        rows: bool = False,
        documents: bool = False,
    ) -> None:
        """`rows`: the box list is rows of the feed; `documents`: beside them it is a document,
        too.
        """
        self.client = client
        self.balancer = balancer
        self.document = document
        self.cache = cache
        self.reach = Reach(reach or {})
        self.parts = parts
        self.keys = f"disabled/{service}", f"list/{service}", f"learnt/{service}/{balancer}"
        self.asked: list[
            tuple[str, bool]
        ] = []  # what operators changed here and the store has not yet
        self.more = asyncio.Event()
        self.saved: list[SavedEndpoint] = []  # as this owner put it, where the list is a fixed one
        self.lost_s = 0.0  # since when the store does not answer
        self.tasks: list[asyncio.Task[None]] = []
        parts.disabled.heard.append(self._heard)
        # Of one name, what is learnt has one writer; a name that two processes were given is told.
        self.name = LeaseClient(client, f"name/{service}/{balancer}", balancer, lease_s)
        self.name.on_change(self._named)
        self.named_s = 0.0
        self.list: FleetList | None = None
        self.lister = LeaseClient(client, f"work/list/{service}", balancer, lease_s, rank)
        self.reporter = Reporter(parts.driver, parts.disabled, client, self.name, service, balancer)
        self.roller = LeaseClient(client, f"work/roll/{service}", balancer, lease_s, rank)
        Roller(client, self.roller, service, self.reach)
        self.sites: SiteWatch | None = None
        self.site_owner = LeaseClient(client, f"work/site/{service}", balancer, lease_s, rank)
        if sites:
            rng = random.Random(os.urandom(8))
            self.sites = SiteWatch(parts.driver, client, self.name, service, balancer, rng)
            SiteWorks(client, self.site_owner, service, parts.driver.settings)
        self.feed: ChangefeedClient | None = None
        discovery = parts.driver.discovery
        if isinstance(discovery, Discovery):
            writer = RowWriter(client, self.lister, service) if rows else None
            self.list = FleetList(
                parts.driver,
                discovery,
                client,
                self.lister,
                service,
                self.reach,
                writer,
                documents or not rows,
            )
            self.lister.on_tenure(self.list.began, self.list.ended)
            discovery.subscribe(False)
            parts.driver.discovery = self.list
        elif rows:
            log.warning(
                "store.rows: the list of upstreams is written down in the settings: there are "
                "no rows"
                " of it"
            )
        if self.list is not None and self.list.table is not None:
            self.feed = ChangefeedClient(
                ChangefeedTarget(client.addresses, client.tls, balancer, address_map=client.reach),
                [self.list.table.keys.scope, GLOBAL],
                self.list.check,
                self.list.apply,
            )

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        works = [
            self._begin,
            self._watch_disabled,
            self._tell_disabled,
            self._save,
            self.reporter.run,
            self._watch_roll,
        ]
        if self.list is not None:
            works += [self.list.follow, self.list.look]
        if self.list is not None and self.feed is not None:
            works.append(self.list.follow_beat)
            self.feed.start()
        if self.document:
            works.append(self._watch_document)
        owners = [self.name, self.lister, self.roller]
        if self.sites is not None:
            works += [self.sites.look, self.sites.tell, self.sites.follow]
            owners.append(self.site_owner)
        self.tasks = [loop.create_task(self._kept(work)) for work in works]
        for owner in owners:
            owner.start()

    def _named(self, lease: Lease) -> None:
        """Another process has this name, and none of the two is taking over from the other."""
        if not lease.is_held or lease.claim == self.name.holder.claim or self.named_s:
            return
        if self.parts.disabled.siblings.alone:
            self.named_s = time.monotonic()
            log.warning(
                "the name %s belongs to %s: what is learnt here is not kept while it does",
                self.balancer,
                lease.note,
            )

    async def _kept(self, work: Callable[[], Awaitable[None]]) -> None:
        """Whatever goes wrong here is told, tried again, and does the balancer no harm."""
        while True:
            try:
                await work()
                return
            except StoreError as error:
                self._lost(str(error))
            except Exception:
                log.exception("the store's keeper")
            await asyncio.sleep(RETRY_S)

    def _lost(self, why: str) -> None:
        if not self.lost_s:
            self.lost_s = time.monotonic()
            log.warning("the store does not answer (%s): going on with what is known", why)

    def _found(self) -> None:
        if self.lost_s:
            log.info("the store answers again after %.1f s", time.monotonic() - self.lost_s)
            self.lost_s = 0.0

    async def _follow(self, key: str, take: Callable[[bytes | None, int], Awaitable[None]]) -> None:
        """Hand over what a key is, as the nearest node knows it, and each value and version that it
        gets; None where it is not there, at version 0 where it never changed while this looked.
        """
        while True:
            found = await self.client.get(key, stale=True)
            self._found()
            await take(found.rows[0].value, found.rows[0].version)
            with suppress(WatchCompactedError):
                async for told in self.client.watch(key, found.revision):
                    self._found()
                    for change in told.changes:
                        if change.key == key:
                            await take(change.value, change.version)

    # ---- at the start ----------------------------------------------------------------------------

    async def _begin(self) -> None:
        """The last list, where discovery has not told one, and what was learnt; from whichever node
        is there.
        """
        driver = self.parts.driver
        if self.list is not None and self.list.table is not None:
            with suppress(TimeoutError):  # the list first: what was learnt is of its upstreams
                async with asyncio.timeout(ASK_S):
                    await self.list.table.came.wait()
        found = await self.client.get(*self.keys, stale=True, timeout_s=ASK_S)
        self._found()
        _, listed, learnt = found.rows
        saved = decoded(listed, SavedList)
        if saved is not None:
            age = age_s(saved.at)
            young = age is None or age < OLDEST_S
            if young and not driver.told.is_set() and not driver.upstreams.targets:
                endpoints = self.reach.from_here(load_list(saved))
                driver.learn(api.EndpointListKind.CACHED, endpoints)
                log.info("store: %d upstreams from a list %s old", len(endpoints), shown_age(age))
        past = decoded(learnt, SavedLearnt)
        if past is not None:
            recalled = load_learnt(past, endpoints_of(driver))
            if recalled is not None:
                driver.post(recalled)
            log.info(
                "store: what was learnt is %s old%s",
                shown_age(age_s(past.at)),
                "" if recalled is not None else ", and left aside",
            )

    # ---- what operators took out -----------------------------------------------------------------

    def _heard(self, name: str, on: bool) -> None:
        self.asked.append((name, on))
        self.more.set()

    def _with_asked(self, names: frozenset[str]) -> frozenset[str]:
        for name, on in self.asked:
            names = names | {name} if on else names - {name}
        return names

    async def _watch_disabled(self) -> None:
        await self._follow(self.keys[0], self._take_disabled)

    async def _take_disabled(self, value: bytes | None, version: int) -> None:
        if value is not None or version:
            await self.parts.disabled.adopt(self._with_asked(_names(value or b"[]")))
            self.reporter.took(version)
        elif self.parts.disabled.names and not self.asked:
            # The store never heard of a set: it begins with this one.
            self.asked = [(name, True) for name in sorted(self.parts.disabled.names)]
            self.more.set()

    async def _tell_disabled(self) -> None:
        """Each change of the operators here, merged into what the others have."""
        key = self.keys[0]
        while True:
            await self.more.wait()
            self.more.clear()
            while self.asked:
                done = len(self.asked)
                try:
                    row = (await self.client.get(key)).rows[0]
                    names = self._with_asked(_names(row.value or b"[]"))
                    await self.client.put(key, msgspec.json.encode(sorted(names)), row.version)
                except ConflictError:
                    continue
                except StoreError as error:
                    self._lost(str(error))
                    await asyncio.sleep(RETRY_S)
                    continue
                del self.asked[:done]

    async def _watch_roll(self) -> None:
        await self._follow(self.reporter.keys.roll, self.reporter.rolled)

    # ---- settings --------------------------------------------------------------------------------

    async def _watch_document(self) -> None:
        await self._follow(PREFIX + self.document, self._take_document)

    async def _take_document(self, value: bytes | None, version: int) -> None:
        if (
            value is None
            or self.cache is None
            or (self.cache.exists() and self.cache.read_bytes() == value)
        ):
            return
        await self._cached(self.cache, value)
        log.info("store: %s is at version %d", self.document, version)
        self.parts.reload()

    async def _cached(self, path: Path, value: bytes) -> None:
        """Written until it is written: the reload behind it reads this file."""
        pause_s = RETRY_S
        while True:
            try:
                write_whole(path, value)
                return
            except OSError as error:
                log.error("%s is not written yet: %s", path, error)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, CACHE_MOST_S)

    # ---- saving ----------------------------------------------------------------------------------

    async def _save(self) -> None:
        while True:
            await asyncio.sleep(SAVE_S)
            await self.save()

    async def save(self, within_s: float = 0.0) -> None:
        """What this process owns. Raises StoreError."""
        driver = self.parts.driver
        _, listed, learnt = self.keys
        if self.list is None and self.lister.token():
            servers = save_list(
                self.reach.as_known(t.endpoint for t in driver.upstreams.targets.values())
            )
            if servers and servers != self.saved:
                saved = SavedList(unix_s(), servers, self.lister.token())
                with suppress(NotLeaseHolderError):
                    await self.lister.write(
                        [Op(listed, msgspec.json.encode(saved))],
                        WriteOptions(timeout_s=within_s or None),
                    )
                    self.saved = servers
        known = driver.balancer.learnt()
        if known.taken and self.name.token():
            with suppress(NotLeaseHolderError):
                value = msgspec.json.encode(save_learnt(known, endpoints_of(driver)))
                await self.name.write([Op(learnt, value)], WriteOptions(timeout_s=within_s or None))
        if self.name.holder.failures >= SILENT:
            self._lost(self.name.holder.reason)
        else:
            self._found()

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.list is not None:
            self.list.close()
        if self.feed is not None:
            await self.feed.close()
        with suppress(StoreError):
            await self.save(0.5)
            await self.reporter.leave()
            if self.sites is not None:
                await self.sites.leave()
        await asyncio.gather(
            *(
                owner.close()
                for owner in (
                    self.name,
                    self.lister,
                    self.roller,
                    *([self.site_owner] if self.sites is not None else []),
                )
            )
        )
        await self.client.close()


def endpoints_of(driver: Driver) -> dict[int, Endpoint]:
    """The upstreams as they are listed now, by their numbers."""
    return {number: target.endpoint for number, target in driver.upstreams.targets.items()}


def _names(value: bytes) -> frozenset[str]:
    try:
        return frozenset(msgspec.json.decode(value, type=list[str]))
    except ValueError as error:
        log.error("store: the set of disabled upstreams does not read: %s", error)
        return frozenset()
