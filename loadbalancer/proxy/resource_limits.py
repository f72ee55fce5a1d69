"""The descriptors and the memory that the configuration allows, divided among their users.

The limits count all processes of a balancer together: while there are two, each keeps to half.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Protocol

from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.process_handover import ProcessRegistry

# Descriptors kept for the listener, discovery (an old and a new one), peers, the configuration and
# the interpreter, and for sockets that were closed on this turn of the loop and still count.
RESERVE = 32
# Of these a second process needs its own, less what only a turn under load takes.
SECOND_RESERVE = 14
PROCESS_MB = 24  # of a process without bodies, with its connections and requests
# Of the remaining memory, for bodies in pieces: as much again lies in buffers to be written, and
# memory is not given back at once.
BODIES_FRACTION = 0.25
MIN_BODIES_BYTES = 1024 * 1024  # below that bodies would crawl
# Of the remaining descriptors. Of a third of all, a client has a request open, with one attempt
# out.
CLIENTS_FRACTION = 0.55
MIN_SPARE = 2
BYTES_PER_MB = 1024 * 1024


class ConnectionHolder(Protocol):
    """A part that opens connections under a cap."""

    def set_limit(self, connections: int) -> None:
        """Set the cap."""

    @property
    def connections_open(self) -> int:
        """Connections that are open."""


@dataclass(frozen=True, slots=True)
class Shares:
    """What one process may use.

    Attributes:
        clients: Connections of clients.
        upstreams: Connections to upstreams.
        bodies: Bytes of bodies in pieces.
    """

    clients: int
    upstreams: int
    bodies: int


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """What the processes of one balancer may use together.

    Attributes:
        admin_descriptors: Descriptors that each process keeps for the admin API.
    """

    sockets: int
    memory_mb: int
    admin_descriptors: int

    def shares(self, processes: int) -> Shares:
        """Divide the limits among so many processes."""
        reserved = RESERVE + processes * self.admin_descriptors + (processes - 1) * SECOND_RESERVE
        spare = max(MIN_SPARE, (self.sockets - reserved) // processes)
        clients = max(1, int(spare * CLIENTS_FRACTION))
        bodies_mb = (self.memory_mb / processes - PROCESS_MB) * BODIES_FRACTION
        bodies = int(bodies_mb * BYTES_PER_MB)
        return Shares(clients, spare - clients, max(MIN_BODIES_BYTES, bodies))


class LimitEnforcer:
    """Applies the shares of this process, anew whenever a process starts or ends.

    Attributes:
        shares: What this process may use now.
    """

    def __init__(self, limits: ResourceLimits, registry: ProcessRegistry) -> None:
        self.limits = limits
        self.registry = registry
        self.clients: ConnectionHolder | None = None
        self.upstreams: ConnectionHolder | None = None
        self.memory: BodyMemory | None = None
        self.shares = self._current_shares()

    def _current_shares(self) -> Shares:
        return self.limits.shares(1 if self.registry.is_alone else 2)

    def start(
        self, clients: ConnectionHolder, upstreams: ConnectionHolder, memory: BodyMemory
    ) -> None:
        """Begin to enforce the shares on these."""
        self.clients = clients
        self.upstreams = upstreams
        self.memory = memory
        self.registry.on_check(self.check)

    def check(self) -> None:
        """Apply changed shares, and publish once what is in use fits."""
        assert self.clients is not None
        assert self.upstreams is not None
        assert self.memory is not None
        shares = self._current_shares()
        if shares != self.shares:
            self.shares = shares
            self.clients.set_limit(shares.clients)
            self.upstreams.set_limit(shares.upstreams)
            self.memory.limit = shares.bodies
        fits = (
            self.clients.connections_open <= shares.clients
            and self.upstreams.connections_open <= shares.upstreams
        )
        registry = self.registry
        registry.publish(replace(registry.note, is_within_share=not registry.is_alone and fits))
