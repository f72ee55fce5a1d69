"""Divides the configured descriptors and memory among the processes and connections.

The limits apply to all processes of a balancer together: while two run, each uses at most half.
"""

from __future__ import annotations

import logging
import os
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Protocol

from loadbalancer.proxy.memory_account import MemoryAccount
from loadbalancer.proxy.process_handover import ProcessRegistry

log = logging.getLogger(__name__)

# Descriptors reserved for the listener, discovery (an old and a new connection), peers, the
# configuration and the interpreter, and for sockets that were closed in the current event-loop
# iteration and still hold a descriptor.
RESERVE = 32
# The part of RESERVE that a second process needs as well; it excludes the descriptors that are used
# only in an event-loop iteration under load.
SECOND_RESERVE = 14
# Fraction of the memory beyond what the process holds at rest that the account may hold. The rest
# is for what allocators keep and for what is not charged, as learned state.
ACCOUNT_FRACTION = 0.8
MIN_ACCOUNT_BYTES = 4_000_000  # less would hardly hold the connections of few clients
# Fraction of the remaining descriptors for clients; the others are for upstreams. About a third of
# all descriptors belong to clients with an open request, each with one attempt in flight.
CLIENTS_FRACTION = 0.55
MIN_SPARE = 2
BYTES_PER_MB = 1_000_000  # the smaller of the two meanings of the unit
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STATM = Path("/proc/self/statm")


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
        account_bytes: What it may hold for its peers.
    """

    clients: int
    upstreams: int
    account_bytes: int


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Resources that all processes of one balancer may use together.

    Attributes:
        admin_descriptors: Descriptors that each process reserves for the admin API.
    """

    sockets: int
    memory_mb: int
    admin_descriptors: int

    def shares(self, processes: int, rest_bytes: int) -> Shares:
        """Return the share of one process out of this number.

        Args:
            processes: How many processes run.
            rest_bytes: What this process holds at rest, without any peer.
        """
        reserved = RESERVE + processes * self.admin_descriptors + (processes - 1) * SECOND_RESERVE
        spare = max(MIN_SPARE, (self.sockets - reserved) // processes)
        clients = max(1, int(spare * CLIENTS_FRACTION))
        free_bytes = self.memory_mb * BYTES_PER_MB / processes - rest_bytes
        account_bytes = max(MIN_ACCOUNT_BYTES, int(free_bytes * ACCOUNT_FRACTION))
        return Shares(clients, spare - clients, account_bytes)


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not tell."""
    try:
        return int(STATM.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


class LimitEnforcer:
    """Applies the shares of this process, and updates them when a process starts or exits.

    Attributes:
        shares: The resources that this process may use now.
        rest_bytes: What this process holds at rest.
    """

    def __init__(self, limits: ResourceLimits, registry: ProcessRegistry) -> None:
        self.limits = limits
        self.registry = registry
        self.clients: ConnectionHolder | None = None
        self.upstreams: ConnectionHolder | None = None
        self.memory: MemoryAccount | None = None
        self.rest_bytes = resident_bytes()
        self.shares = self._current_shares()

    def _current_shares(self) -> Shares:
        return self.limits.shares(1 if self.registry.is_alone else 2, self.rest_bytes)

    def start(
        self, clients: ConnectionHolder, upstreams: ConnectionHolder, memory: MemoryAccount
    ) -> None:
        """Enforce the shares on these components from now on."""
        self.clients = clients
        self.upstreams = upstreams
        self.memory = memory
        self.registry.on_check(self.check)

    def measure_rest(self) -> None:
        """Measure what this process holds at rest, before it accepts clients."""
        self.rest_bytes = resident_bytes()
        self.check()
        log.info("memory account: rest=%d limit=%d", self.rest_bytes, self.shares.account_bytes)

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
            self.memory.set_limit(shares.account_bytes)
        is_within_limits = (
            self.clients.connections_open <= shares.clients
            and self.upstreams.connections_open <= shares.upstreams
        )
        registry = self.registry
        registry.publish(
            replace(registry.note, is_within_share=not registry.is_alone and is_within_limits)
        )
