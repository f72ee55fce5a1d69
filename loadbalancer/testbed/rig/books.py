"""What a run is judged by. Nothing here is taken from the program's own account of itself but where
the timeline says so: the store's changes are read past all relays, boxes write down what they
begin, clients what they were told.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import msgspec

from loadbalancer.leases import table
from loadbalancer.leases.table import Lease
from loadbalancer.store.client import Client
from loadbalancer.store.commands import LEASE_PREFIX
from loadbalancer.store.errors import StoreError
from loadbalancer.store.wire.protocol import Change

# what stands there is put by who owns that
WORKS = {"list/": "work/list/", "listed/": "work/list/", "site/": "work/site/"}
ROLL, DISABLED = "roll/orders", "disabled/orders"
ORDER = ("waiting", "out", "quiet", "back", "done")


@dataclass(slots=True)
class Owned:
    """A lease's owner over time, as the log has it."""

    lease: str
    token: int
    holder: str
    begin: float
    end: float = 0.0


@dataclass(eq=False)
class Books:
    wrong: list[str] = field(default_factory=list)
    owned: list[Owned] = field(default_factory=list)
    leases: dict[str, Lease] = field(default_factory=dict)
    granted: dict[int, str] = field(default_factory=dict)  # token: which lease and claim
    newest: dict[str, tuple[int, int, int]] = field(
        default_factory=dict
    )  # key: token, number, version
    lists: list[tuple[float, int, int]] = field(
        default_factory=list
    )  # when, token, discovery's version
    phases: dict[str, str] = field(
        default_factory=dict
    )  # boxes of the roll, as its document has them
    roll: dict[str, Any] = field(default_factory=dict)
    out: set[str] = field(default_factory=set)  # the set of disabled names
    turned: Callable[[str, str], None] = lambda box, phase: None
    most_out: int = 0
    revision: int = 0
    seen: dict[str, int] = field(default_factory=dict)  # key: its version
    counts: Counter[str] = field(default_factory=Counter)
    older: bool = False  # an older program puts words without a token, which nobody heeds
    overwritten: set[str] = field(default_factory=set)  # keys where such a word stands
    poked: Callable[[], None] = lambda: None

    def say(self, what: str) -> None:
        if len(self.wrong) < 20:
            self.wrong.append(what)

    def owner(self, lease: str) -> str:
        """The process that holds a lease now; empty: nobody."""
        found = self.leases.get(lease)
        return found.holder.split("@")[0] if found is not None and found.is_held else ""

    async def watch(self, client: Client) -> None:
        """Each change of the store, once and in order, from the first on."""
        while True:
            with suppress(StoreError):
                async for told in client.watch("", self.revision):
                    for change in told.changes:
                        self.note(change)
                    self.whole()
                    self.revision = told.revision
            await asyncio.sleep(0.05)

    def note(self, change: Change) -> None:
        self.counts["changes"] += 1
        before = self.seen.get(change.key, 0)
        if change.version != before + 1:
            self.say(f"store: version {change.version} of {change.key} was told after {before}")
        self.seen[change.key] = change.version
        if change.value is None:
            return
        if change.key.startswith(LEASE_PREFIX):
            self._lease(change.value)
        elif change.key.startswith("learnt/"):
            self.counts["learnt"] += 1
        elif change.key == ROLL:
            self._roll(msgspec.json.decode(change.value))
        elif change.key == DISABLED:
            self.out = set(msgspec.json.decode(change.value))
        else:
            prefix, _, rest = change.key.partition("/")
            service, _, what = rest.partition("/")
            work = WORKS.get(prefix + "/")
            if work is not None and not what.startswith("row/"):
                self._word(change.key, work + service, change.value)
        self.poked()

    def _roll(self, roll: dict[str, Any]) -> None:
        """Each box goes once through all phases, in their order."""
        self.roll = roll
        self.counts["roll's steps"] += 1
        for box in roll["boxes"]:
            name, now = box["name"], box["phase"]
            was = self.phases.get(name, "waiting")
            if now != was and ORDER.index(now) != ORDER.index(was) + 1:
                self.say(f"the roll took {name} from {was} to {now}")
            self.phases[name] = now
            if now != was:
                self.turned(name, now)

    def whole(self) -> None:
        """After all changes of a write: the set and the document say the same, and no more are
        out.
        """
        if not self.roll:
            return
        out = {name for name, phase in self.phases.items() if phase in ("out", "quiet")}
        if out != self.out & set(self.phases):
            self.say(
                f"the roll says that {sorted(out)} are out, and the set has {sorted(self.out)}"
            )
        self.most_out = max(self.most_out, len(out))
        if len(out) > self.roll["at_once"]:
            self.say(f"{len(out)} boxes are out at once, and {self.roll['at_once']} may be")

    def _lease(self, value: bytes) -> None:
        lease, now = table.unpack(value), time.monotonic()
        was = self.leases.get(lease.name)
        self.leases[lease.name] = lease
        mine = f"{lease.name} {lease.claim}"
        if lease.holder and self.granted.setdefault(lease.token, mine) != mine:
            self.say(f"token {lease.token} stands for {self.granted[lease.token]} and for {mine}")
        if was is not None and lease.token < was.token:
            self.say(f"{lease.name}: token {lease.token} came after {was.token}")
        before = (was.token, was.is_held) if was is not None else (0, False)
        if before == (lease.token, lease.is_held):
            return
        if before[1]:
            for one in reversed(self.owned):
                if one.lease == lease.name and not one.end:
                    one.end = now
                    break
        if lease.is_held:
            self.owned.append(Owned(lease.name, lease.token, lease.holder, now))
            self.counts["owners"] += 1

    def _word(self, key: str, lease: str, value: bytes) -> None:
        """An owner's word: by who owns it at that point of the log, and never older than one before
        it.
        """
        raw = msgspec.json.decode(value)
        token, number = int(raw.get("token", 0)), int(raw.get("number", 0))
        holds = self.leases.get(lease)
        if change_of_operators(key, (token, number), self.newest.get(key)):
            return
        if self.older and not token:
            self.counts["older words"] += 1
            self.overwritten.add(key)
            return
        self.overwritten.discard(key)
        self.counts["owners' words"] += 1
        if holds is None or not holds.is_held or holds.token != token:
            self.say(
                f"{key} was put under token {token}, and {lease} is held under"
                f" {holds.token if holds is not None and holds.is_held else 'none'}"
            )
        version = int(raw.get("version", -1))
        old = self.newest.get(key, (0, 0, -1))
        if (token, number) < old[:2]:
            self.say(f"{key}: the word ({token}, {number}) came after {old[:2]}")
        if key.startswith("list/"):
            if version < old[2]:
                self.say(f"{key}: discovery's version {version} was put over {old[2]}")
            self.lists.append((time.monotonic(), token, version))
        self.newest[key] = token, number, version


def change_of_operators(
    key: str, word: tuple[int, int], before: tuple[int, int, int] | None
) -> bool:
    """They change the courses of sites, and leave the owner's word as it is."""
    return key.endswith("/plan") and word == (before[:2] if before else (0, 0))
