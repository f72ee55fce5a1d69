"""What the parties of a socket run saw, each in a file of its own, and how the ledger reads them
afterwards.

Every party reads one clock, the machine's monotonic one, so facts of different processes can be put
in order. A file is a row of blocks: four bytes of length and a MessagePack array of facts.
"""

from __future__ import annotations

import heapq
import struct
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from loadbalancer.testbed.ledger import Answer, Ledger, Root, Rule
from loadbalancer.testbed.model.series import Series
from loadbalancer.testbed.topology import Topology

HORIZON_NS = 8_000_000_000  # a fact stands in its file at most this far from its place
LENGTH = struct.Struct(">I")
BLOCK = 2000

# At one instant, a cause comes before what it causes.
KINDS = (
    "killed",
    "born",
    "told",
    "root",
    "asked",
    "taken",
    "sent",
    "executed",
    "finished",
    "fell",
    "served",
    "answered",
    "cut",
    "foreign",
)
PLACE = {kind: place for place, kind in enumerate(KINDS)}


class Fact(NamedTuple):
    at_ns: int
    place: int  # of its kind among those of one instant
    what: list[Any]


class Writer:
    """Facts of one party, on their way to its file."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("wb")
        self.waiting: list[tuple[int, int, list[Any]]] = []

    def note(self, at_ns: int, kind: str, *what: Any) -> None:
        self.waiting.append((at_ns, PLACE[kind], list(what)))
        if len(self.waiting) >= BLOCK:
            self.flush()

    def flush(self) -> None:
        if self.waiting:
            block = msgspec.msgpack.encode(self.waiting)
            self.file.write(LENGTH.pack(len(block)) + block)
            self.waiting.clear()

    def close(self) -> None:
        self.flush()
        self.file.close()


def read(path: Path) -> Iterator[Fact]:
    """Facts of one file, in order of time. A last block that was cut off is left out."""
    heap: list[Fact] = []
    decoder = msgspec.msgpack.Decoder(list[Fact])
    with path.open("rb") as file:
        while len(head := file.read(LENGTH.size)) == LENGTH.size:
            block = file.read(LENGTH.unpack(head)[0])
            if len(block) < LENGTH.unpack(head)[0]:
                break
            for fact in decoder.decode(block):
                heapq.heappush(heap, fact)
                while heap and heap[0].at_ns < fact.at_ns - HORIZON_NS:
                    yield heapq.heappop(heap)
    while heap:
        yield heapq.heappop(heap)


class Books:
    """Facts in, a ledger out: the same ledger as in virtual time."""

    def __init__(self, t: Topology, start_by_ns: int) -> None:
        self.ledger = Ledger(t)
        self.series = Series(start_by_ns, t.length)
        self.classes = {c.name: c for c in t.classes}
        self.roots: dict[int, Root] = {}
        self.open: dict[
            int, dict[str, None]
        ] = {}  # tries that each balancer has taken and not answered
        self.dead: set[int] = set()  # balancers killed and not started again
        self.crossed = 0
        self.last_ns = 0

    def post(self, paths: Iterable[Path]) -> None:
        for at, place, what in heapq.merge(*map(read, paths)):
            self.last_ns = at
            self._take(at, KINDS[place], what)

    def _take(self, now: int, kind: str, what: list[Any]) -> None:
        ledger = self.ledger
        match kind:
            case "told":
                balancer, box, ready, started = what
                ledger.tell(balancer, box, ready, started, now)
            case "root":
                number, cls, tenant, key, within = what
                self.roots[number] = ledger.root(
                    number, self.classes[cls], tenant, key, now, within
                )
                self.series.at(now).asked += 1
            case "asked":
                ticket, number, deadline, balancer = what
                self.series.at(now).retries += (
                    ledger.asked(ticket, self.roots[number], now, deadline, balancer).root.tries > 1
                )
                while len(self.roots) > 200_000:
                    self.roots.pop(next(iter(self.roots)))
            case "taken":
                ledger.taken(what[0])
                if (
                    ledger.tries[what[0]].balancer in self.dead
                ):  # written to what nobody reads any more
                    ledger.excuse(what[0])
                self.open.setdefault(ledger.tries[what[0]].balancer, {})[what[0]] = None
            case "sent":
                balancer, box, crosses = what
                self.crossed += crosses
                self.series.at(now).attempts += 1
                ledger.sent(balancer, box, now)
            case "executed":
                ledger.executed(what[0], what[1], now)
            case "finished":
                ledger.finished(what[0])
            case "fell":
                box, work, started = what
                ledger.fell(box, now, dict(work), started)
            case "answered":
                self._answered(what[0], Answer(what[1]), now)
            case "cut":
                found = ledger.tries.get(what[0])
                if found is not None and found.taken and not found.excused:
                    ledger.breach(
                        Rule.ANSWER, now, f"balancer {found.balancer} closed on {what[0]}"
                    )
                self._answered(what[0], Answer.FAILED, now)
            case "foreign":
                ledger.breach(
                    Rule.ANSWER, now, f"{what[0]} was served with the answer of {what[1]}"
                )
            case "killed":
                self.dead.add(what[0])
                for ticket in self.open.pop(what[0], {}):
                    ledger.excuse(ticket)
            case "born":
                self.dead.discard(what[0])
                ledger.restarted(what[0])

    def _answered(self, ticket: str, answer: Answer, now: int) -> None:
        found = self.ledger.tries.get(ticket)
        if found is not None:
            self.open.get(found.balancer, {}).pop(ticket, None)
            if found.answer is None:
                self.series.answered(found, answer, now)
        if answer is Answer.NONE:
            if found is not None:
                self.ledger.silent(ticket, now)
            return
        self.ledger.answered(ticket, answer, now)


class Lag:
    """How late a party's loop runs: a lab that is itself late must say so."""

    EVERY_S = 0.02

    def __init__(self) -> None:
        self.seen: list[int] = []
        self.most_ns = 0
        self.due_ns = 0

    def tick(self) -> None:
        """Called every EVERY_S; the difference to when it should have been called is the lag."""
        now = time.monotonic_ns()
        if self.due_ns:
            late = max(0, now - self.due_ns)
            self.most_ns = max(self.most_ns, late)
            self.seen.append(late)
            if len(self.seen) > 100_000:
                self.seen = sorted(self.seen)[::2]
        self.due_ns = now + int(self.EVERY_S * 1e9)

    def p99_ms(self) -> float:
        return sorted(self.seen)[int(len(self.seen) * 0.99)] / 1e6 if self.seen else 0.0
