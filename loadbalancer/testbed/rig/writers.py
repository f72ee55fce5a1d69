"""Writers of the store under faults, and a ledger that shares nothing with it: no write that was
answered may be lost, none may be made twice, none by half, and every node must come to hold the
same.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from loadbalancer.store.client import Client
from loadbalancer.store.commands import Op
from loadbalancer.store.durable import state_files
from loadbalancer.store.durable.state_directory import STATE
from loadbalancer.store.errors import ConflictError, StoreError, UndecidedError
from loadbalancer.store.write_session import WriteOptions

PREFIX = "churn/"
COUNTER = "churn/counter"
CALM_S = 20.0  # after the last fault, all must be level within this


@dataclass(eq=False)
class Ledger:
    """What clients were told."""

    acknowledged: Counter[str] = field(
        default_factory=Counter
    )  # writes of a key that were answered
    undecided: Counter[str] = field(default_factory=Counter)
    last: dict[str, tuple[int, str]] = field(
        default_factory=dict
    )  # version and value as last answered
    maybe: dict[str, set[str]] = field(default_factory=dict)  # values that may stand since
    wrong: list[str] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)
    pairs: int = 0  # looked at, and found whole

    def say(self, what: str) -> None:
        if len(self.wrong) < 20:
            self.wrong.append(what)


class Writer:
    """Writes a pair of keys of its own, always alike, and adds to a counter that all share."""

    def __init__(self, client: Client, number: int, ledger: Ledger, stop: asyncio.Event) -> None:
        self.client = client
        self.number = number
        self.ledger = ledger
        self.stop = stop
        self.count = 0

    async def run(self) -> None:
        while not self.stop.is_set():
            self.count += 1
            began = time.monotonic()
            if self.count % 3 == 0:
                await self._add()
            else:
                await self._pair()
            self.ledger.latencies.append(time.monotonic() - began)
            await asyncio.sleep(0)

    async def _pair(self) -> None:
        keys = [f"{PREFIX}w{self.number}/{side}" for side in "ab"]
        value = f"{self.number}.{self.count}"
        for key in keys:
            self.ledger.maybe.setdefault(key, set()).add(value)
        try:
            result = await self.client.write(
                [Op(key, value.encode()) for key in keys], WriteOptions(timeout_s=3.0)
            )
        except UndecidedError:
            for key in keys:
                self.ledger.undecided[key] += 1
            return
        except StoreError:
            for key in keys:
                self.ledger.maybe[key].discard(value)
            return
        for key, version in zip(keys, result.versions, strict=True):
            self.ledger.acknowledged[key] += 1
            before = self.ledger.last.get(key, (0, ""))[0]
            if version <= before:
                self.ledger.say(f"{key}: version {version} was answered after {before}")
            self.ledger.last[key] = version, value
            self.ledger.maybe[key] = {value}

    async def _add(self) -> None:
        try:
            row = (await self.client.get(COUNTER, timeout_s=3.0)).rows[0]
            now = int(row.value or b"0")
            await self.client.put(
                COUNTER, str(now + 1).encode(), row.version, WriteOptions(timeout_s=3.0)
            )
            self.ledger.acknowledged[COUNTER] += 1
        except ConflictError:
            pass
        except UndecidedError:
            self.ledger.undecided[COUNTER] += 1
        except StoreError:
            pass


async def look(client: Client, writers: int, ledger: Ledger, stop: asyncio.Event) -> None:
    """Reads pairs: both keys bear one value, whenever they are read."""
    rng = random.Random(1)
    while not stop.is_set():
        number = rng.randrange(writers)
        with suppress(StoreError):
            a, b = (
                await client.get(f"{PREFIX}w{number}/a", f"{PREFIX}w{number}/b", timeout_s=3.0)
            ).rows
            if a.value != b.value:
                ledger.say(
                    f"writer {number}: half of a write was seen: {a.value!r} and {b.value!r}"
                )
            ledger.pairs += 1
        await asyncio.sleep(0.002)


async def judge(client: Client, ledger: Ledger) -> Mapping[str, int]:
    """What stands against what was answered; the version that each key is at. Raises StoreError."""
    found = await client.scan(PREFIX)
    rows = {row.key: row for row in found.rows}
    for key, (version, value) in ledger.last.items():
        row = rows.get(key)
        if row is None:
            ledger.say(f"{key}: lost, though {value} was answered")
        elif row.version < version or (row.value or b"").decode() not in ledger.maybe[key]:
            ledger.say(
                f"{key}: {row.value!r} at version {row.version}, and {value} was answered"
                f" at {version}"
            )
    for key, row in rows.items():
        least, most = ledger.acknowledged[key], ledger.acknowledged[key] + ledger.undecided[key]
        if not least <= row.version <= most:
            ledger.say(
                f"{key}: at version {row.version}, and {least} writes were answered, {most} at most"
                " made"
            )
    counter = rows.get(COUNTER)
    if counter is not None and int(counter.value or b"0") != counter.version:
        ledger.say(f"the counter is {counter.value!r} after {counter.version} additions")
    return {key: row.version for key, row in rows.items()}


def digest(folder: Path) -> tuple[int, int]:
    """Of a node that does not run: what it applied, and a checksum of all that it holds."""
    state = state_files.open_state(folder / STATE)
    try:
        return state.applied, state.digest()
    finally:
        state.close()
