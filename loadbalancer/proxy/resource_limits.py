"""The descriptors and the memory that the configuration allows, and who may hold how much.

The limits count all processes of a balancer together: while there are two, each makes do with half.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Protocol

from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.process_handover import Siblings

# Descriptors kept for the listener, discovery (an old and a new one), peers, the configuration and
# the interpreter, and for sockets that were closed on this turn of the loop and still count.
RESERVE = 32
SECOND_RESERVE = 14  # of these a second process needs its own, less what only a crowded turn takes
# MB that a process takes before it holds any body, with its connections and requests; and of the
# rest, the part that bodies in pieces may hold: as much again lies in buffers to be written, and
# memory is not given back at once.
PROCESS_MB, BODIES_PART = 24, 0.25
LEAST_BODIES = 1024 * 1024  # below that they would crawl
CLIENTS_PART = (
    0.55  # of the others. Of a third of all, a client has a request open, with one attempt out
)


class Holder(Protocol):
    """Whoever opens connections under a cap."""

    def allow(self, connections: int) -> None: ...

    @property
    def held(self) -> int: ...


@dataclass(frozen=True, slots=True)
class Part:
    clients: int
    upstreams: int
    bodies: int  # bytes


def part_of(sockets: int, memory_mb: int, door: int, processes: int) -> Part:
    """What one of so many processes may hold; `door` are those kept for the operators."""
    spare = max(
        2, (sockets - RESERVE - processes * door - (processes - 1) * SECOND_RESERVE) // processes
    )
    clients = max(1, int(spare * CLIENTS_PART))
    bodies = int((memory_mb / processes - PROCESS_MB) * BODIES_PART * 1024 * 1024)
    return Part(clients, spare - clients, max(LEAST_BODIES, bodies))


class Budget:
    def __init__(self, sockets: int, memory_mb: int, door: int, siblings: Siblings) -> None:
        self.sockets = sockets
        self.memory_mb = memory_mb
        self.door = door
        self.siblings = siblings
        self.clients: Holder | None = None
        self.upstreams: Holder | None = None
        self.memory: BodyMemory | None = None
        self.part = self._now()

    def _now(self) -> Part:
        return part_of(self.sockets, self.memory_mb, self.door, 1 if self.siblings.alone else 2)

    def start(self, clients: Holder, upstreams: Holder, memory: BodyMemory) -> None:
        self.clients, self.upstreams, self.memory = clients, upstreams, memory
        self.siblings.changed.append(self.look)

    def look(self) -> None:
        """A process came or went: share out anew, and say so once what is held fits."""
        assert self.clients is not None and self.upstreams is not None and self.memory is not None
        part = self._now()
        if part != self.part:
            self.part = part
            self.clients.allow(part.clients)
            self.upstreams.allow(part.upstreams)
            self.memory.limit = part.bodies
        fits = self.clients.held <= part.clients and self.upstreams.held <= part.upstreams
        siblings = self.siblings
        siblings.publish(replace(siblings.note, shares=not siblings.alone and fits))
