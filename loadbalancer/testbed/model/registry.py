"""The box list: what it says of each box, seconds late, and how its calls queue. Pure."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from loadbalancer.policy.api import UpstreamState
from loadbalancer.testbed.model.box import Draw
from loadbalancer.testbed.topology import Discovery

STOP_TAKING_NS = 1_000_000_000  # a draining box turns new work away so long after the list says so
LOG = 4096  # changes that are kept for watches; who asks for older ones gets the whole list


class Entry(NamedTuple):
    """A box as the list has it. `number` is its place in the fleet, `id` what balancers know it
    by.
    """

    number: int
    id: int
    zone: str
    kind: str
    cell: int
    state: UpstreamState
    started_ns: int  # on the lab's clock; 0: long ago


class Registry:
    def __init__(self, spec: Discovery, entries: Iterable[Entry], rng: random.Random) -> None:
        self.spec = spec
        self.draw = Draw(rng)
        self.entries = {entry.number: entry for entry in entries}
        self.version = 1
        self.log: deque[tuple[int, Entry]] = deque(maxlen=LOG)
        self.pending: list[tuple[int, int, Entry]] = []
        self.order = 0
        self.busy_until = 0
        self.down = False

    def note(self, entry: Entry, now: int) -> int:
        """Something happened to a box; the list says so later. Returns when."""
        late = self.spec.added if entry.state is UpstreamState.READY else self.spec.notice
        at = now + self.draw.ns(late)
        self.order += 1
        heapq.heappush(self.pending, (at, self.order, entry))
        return at

    def advance(self, now: int) -> list[Entry]:
        """What the list says by now that it did not say before, in order."""
        news = []
        while self.pending and self.pending[0][0] <= now:
            entry = heapq.heappop(self.pending)[2]
            self.show(entry)
            news.append(entry)
        return news

    def show(self, entry: Entry) -> None:
        self.version += 1
        self.log.append((self.version, entry))
        if entry.state is UpstreamState.REMOVED:
            self.entries.pop(entry.number, None)
        else:
            self.entries[entry.number] = entry

    def since(self, version: int) -> list[Entry] | None:
        """Changes after that version, or None where the whole list is needed."""
        if (
            version > self.version
            or (self.log and version + 1 < self.log[0][0])
            or (not self.log and version < self.version)
        ):
            return None
        return [entry for number, entry in self.log if number > version]

    def call(self, now: int) -> tuple[int, bool]:
        """A call comes in; when it is answered, and whether well. Calls wait in turn."""
        if self.down:
            return now, False
        begins = max(now, self.busy_until)
        if begins - now > self.spec.patience:
            return now + self.spec.patience, False
        self.busy_until = begins + int(self.spec.service)
        return self.busy_until, True
