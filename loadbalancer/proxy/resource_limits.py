"""Divides the configured descriptors and memory among connections and bodies.

The limits apply to all processes of a balancer together: while two run, each uses at most half.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Protocol

from loadbalancer.proxy.body_stream import BodyMemory
from loadbalancer.proxy.process_handover import ProcessRegistry

# Descriptors reserved for the listener, discovery (an old and a new connection), peers, the
# configuration and the interpreter, and for sockets that were closed in the current event-loop
# iteration and still hold a descriptor.
RESERVE = 32
# The part of RESERVE that a second process needs as well; it excludes the descriptors that are used
# only in an event-loop iteration under load.
SECOND_RESERVE = 14
PROCESS_MB = 24  # memory of a process with its connections and requests, without bodies
# Fraction of the remaining memory for streamed bodies. Write buffers hold as much again, and freed
# memory does not return to the system immediately.
BODIES_FRACTION = 0.25
MIN_BODIES_BYTES = 1024 * 1024  # less would make bodies very slow
# Fraction of the remaining descriptors for clients; the others are for upstreams. About a third of
# all descriptors belong to clients with an open request, each with one attempt in flight.
CLIENTS_FRACTION = 0.55
MIN_SPARE = 2
BYTES_PER_MB = 1024 * 1024


class ConnectionHolder(Protocol):
    """Component that opens connections up to a limit."""

    def set_max_connections(self, connections: int) -> None:
        """Set the connection limit."""

    @property
    def connections_open(self) -> int:
        """The number of open connections."""


@dataclass(frozen=True, slots=True)
class Shares:
    """Resources that one process may use.

    Attributes:
        clients: Client connections.
        upstreams: Upstream connections.
        bodies: Bytes of streamed bodies.
    """

    clients: int
    upstreams: int
    bodies: int


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Resources that all processes of one balancer may use together.

    Attributes:
        admin_descriptors: Descriptors that each process reserves for the admin API.
    """

    sockets: int
    memory_mb: int
    admin_descriptors: int

    def shares(self, processes: int) -> Shares:
        """Return the share of one process out of this number."""
        reserved = RESERVE + processes * self.admin_descriptors + (processes - 1) * SECOND_RESERVE
        spare = max(MIN_SPARE, (self.sockets - reserved) // processes)
        clients = max(1, int(spare * CLIENTS_FRACTION))
        bodies_mb = (self.memory_mb / processes - PROCESS_MB) * BODIES_FRACTION
        bodies = int(bodies_mb * BYTES_PER_MB)
        return Shares(clients, spare - clients, max(MIN_BODIES_BYTES, bodies))


class LimitEnforcer:
    """Applies the shares of this process, and updates them when a process starts or exits.

    Attributes:
        shares: The resources that this process may use now.
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
        """Enforce the shares on these components from now on."""
        self.clients = clients
        self.upstreams = upstreams
        self.memory = memory
        self.registry.on_check(self.check)

    def check(self) -> None:
        """Apply changed shares, and publish whether the usage is within them."""
        assert self.clients is not None
        assert self.upstreams is not None
        assert self.memory is not None
        shares = self._current_shares()
        if shares != self.shares:
            self.shares = shares
            self.clients.set_max_connections(shares.clients)
            self.upstreams.set_max_connections(shares.upstreams)
            self.memory.limit = shares.bodies
        is_within_limits = (
            self.clients.connections_open <= shares.clients
            and self.upstreams.connections_open <= shares.upstreams
        )
        registry = self.registry
        registry.publish(
            replace(registry.note, is_within_share=not registry.is_alone and is_within_limits)
        )
