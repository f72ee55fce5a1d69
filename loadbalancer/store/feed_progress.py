"""How far balancers have come: what each member of the store says of its feed, added up."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from typing import Any

import msgspec

from loadbalancer.changefeed.status import FeedStatus, RefusedRow
from loadbalancer.store.client import Client, StoreError

ASK_S = 2.0  # a member that has not answered by then is told as one that does not
POLL_S = 0.05  # between two questions of one who waits
NAMED = 5  # balancers that one line names
Statuses = Sequence[Mapping[str, Any]]


class NotInForce(StoreError):
    """A revision, within the time."""


class Members:
    """Every member asked for itself, those that were not named as well. `make`: a client of one
    address.
    """

    def __init__(self, addresses: Iterable[str], make: Callable[[str], Client]) -> None:
        self.make = make
        self.clients = {address: make(address) for address in addresses}

    async def statuses(self, within_s: float = ASK_S) -> list[dict[str, Any]]:
        """Of one that does not answer: its `address` and `trouble`."""
        asked = list(self.clients)
        found = await asyncio.gather(*(self.status(address, within_s) for address in asked))
        others = sorted({address for s in found for address in known(s)} - set(asked))
        return [
            *found,
            *await asyncio.gather(*(self.status(address, within_s) for address in others)),
        ]

    async def status(self, address: str, within_s: float = ASK_S) -> dict[str, Any]:
        """Of one; its `address` and `trouble` where it does not answer."""
        if address not in self.clients:
            self.clients[address] = self.make(address)
        try:
            return await self.clients[address].status(within_s)
        except (StoreError, OSError) as error:
            return {"address": address, "trouble": str(error)}

    async def close(self) -> None:
        for client in self.clients.values():
            await client.close()


def known(status: Mapping[str, Any]) -> set[str]:
    """Addresses of the members that it tells of."""
    return {member["address"] for member in status.get("members", ()) if member["address"]}


class Late(msgspec.Struct, frozen=True):
    """A balancer on which a revision is not in force. `since_ms`: it has not been where its node
    is.
    """

    name: str
    node: str
    revision: int
    since_ms: int


class Rollout(msgspec.Struct, frozen=True):
    """`reached`: on so many of the balancers it is in force, but for rows refused. `late`: those
    that are furthest behind, as far as nodes name them. `trailing`: nodes that have not heard of
    the revision themselves; `silent`: members that do not answer, so that nobody knows of their
    balancers.
    """

    revision: int
    balancers: int
    reached: int
    late: tuple[Late, ...]
    refusals: int
    refused: tuple[RefusedRow, ...]
    trailing: tuple[str, ...]
    silent: tuple[str, ...]

    def wrong(self, balancers: int = 0, despite_refusals: bool = False) -> str:
        """Why it is not in force everywhere, in one line; empty: it is. `balancers`: there must be
        so many that have it, and whoever does not answer has none that counts.
        """
        found = []
        if self.reached < self.balancers:
            found.append(
                f"on {self.balancers - self.reached} of {self.balancers} balancers" + self._who()
            )
        if balancers and self.reached < balancers:
            found.append(f"on {self.reached}, and {balancers} are wanted")
        if not balancers and self.silent:
            found.append("as far as can be told: " + "; ".join(self.silent))
        if self.refusals and not despite_refusals:
            first = self.refused[0]
            found.append(
                f"where {self.refusals} rows are refused: {first.name} has {first.refusal.scope}"
                f" {first.refusal.key} at version {first.refusal.version}: {first.refusal.reason}"
            )
        return f"revision {self.revision} is not in force " + "; ".join(found) if found else ""

    def _who(self) -> str:
        named = [
            f"{one.name} at {one.node} is at {one.revision}, {one.since_ms / 1000:.1f} s behind"
            for one in self.late[:NAMED]
        ] + list(self.trailing[:NAMED])
        return ": " + ", ".join(named) if named else ""


def add_up(statuses: Statuses, revision: int = 0) -> Rollout:
    """`revision` 0: the newest that a member has applied."""
    by_node = {
        s["node"]: s for s in statuses if "trouble" not in s
    }  # one may have several addresses
    revision = revision or max((s["applied"] for s in by_node.values()), default=0)
    late: list[Late] = []
    refused: list[RefusedRow] = []
    trailing: list[str] = []
    balancers = reached = refusals = 0
    for number, s in by_node.items():
        if s.get("feed") is None:
            continue
        feed = msgspec.convert(s["feed"], FeedStatus)
        where = next((m["address"] for m in s["members"] if m["here"]), "") or f"node {number}"
        balancers += feed.subscribers
        reached += feed.subscribers - _behind(feed, revision)
        late += [
            Late(one.name, where, one.revision, one.since_ms)
            for one in feed.laggards
            if one.revision < revision
        ]
        refusals += feed.refusals
        refused += feed.refused
        if feed.revision < revision and feed.subscribers:
            trailing.append(f"node {number} at {where} is itself at {feed.revision}")
    members = {m["node"]: m["address"] for s in by_node.values() for m in s["members"]}
    why = {s["address"]: s["trouble"] for s in statuses if "trouble" in s}
    silent = [
        f"node {number} at {address} does not answer: {why.get(address, 'it was not asked')}"
        for number, address in sorted(members.items())
        if number not in by_node
    ]
    if not by_node:
        silent = [f"{address} does not answer: {text}" for address, text in why.items()]
    return Rollout(
        revision,
        balancers,
        reached,
        tuple(sorted(late, key=lambda one: one.revision)),
        refusals,
        tuple(refused),
        tuple(trailing),
        tuple(silent),
    )


def _behind(feed: FeedStatus, revision: int) -> int:
    """Subscribers that have not reached it. Where more revisions were reached than a status lists,
    those that are not listed have come further than the last that is, and count once that has come
    so far.
    """
    below = sum(count for reached, count in feed.acknowledged if reached < revision)
    unlisted = feed.subscribers - sum(count for _, count in feed.acknowledged)
    if unlisted and feed.acknowledged and feed.acknowledged[-1][0] < revision:
        below += unlisted
    return below


async def wait(
    members: Members,
    revision: int,
    within_s: float,
    balancers: int = 0,
    despite_refusals: bool = False,
) -> tuple[Rollout, float]:
    """Until it is in force everywhere, and how many seconds that took. Each member is asked again
    and again by itself, so that one that does not answer holds up nothing. Raises NotInForce.
    """
    began = time.monotonic()
    latest: dict[str, dict[str, Any]] = {}
    asking: dict[str, asyncio.Task[None]] = {}
    told = asyncio.Event()

    async def ask(address: str) -> None:
        while True:
            latest[address] = status = await members.status(address)
            for other in known(status):
                if other not in asking:
                    asking[other] = asyncio.create_task(ask(other))
            told.set()
            await asyncio.sleep(POLL_S)

    for address in members.clients:
        asking[address] = asyncio.create_task(ask(address))
    wrong = ""
    try:
        while True:
            left = began + within_s - time.monotonic()
            whole = latest.keys() == asking.keys()
            if left <= 0 and whole:
                raise NotInForce(f"{wrong} (after {within_s:g} s)")
            with suppress(TimeoutError):
                async with asyncio.timeout(left if left > 0 else None):  # each is heard of once
                    await told.wait()
            told.clear()
            if latest.keys() == asking.keys():
                found = add_up(list(latest.values()), revision)
                wrong = found.wrong(balancers, despite_refusals)
                if not wrong:
                    return found, time.monotonic() - began
    finally:
        for task in asking.values():
            task.cancel()
        await asyncio.gather(*asking.values(), return_exceptions=True)
